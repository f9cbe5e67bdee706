/*
 * The platform's store is away for a moment and comes back from a copy some
 * seconds old. A version that is written then is not in force on any node for as
 * long as the run lasts, and a key that it takes away is still accepted.
 */
#include "../lab-2/lab.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define NODES 3
#define HISTORY_NODE 3
#define CALL_MS 100
#define DEADLINE_MS 2500
#define OTHERS_MS 80 /* between two writes of the store's other users */
#define COPY_AGE_MS 3000
#define AWAY_AFTER_MS 60 /* after a change of the configuration */
#define AWAY_MS 400
/* Later than any bound: propagationMs and stableWindowMs, and revokeMs. */
#define JUDGED_AFTER_MS 6000
#define JUDGED_FOR_MS 10000

#define CONFIG(version, service, keys)                                        \
	"{\"version\":" version ",\"resources\":[{\"type\":\"routes\","       \
	"\"metadata\":{\"name\":\"r-a\"},\"spec\":{\"host\":\"lab.example\"," \
	"\"prefix\":\"/a/\",\"kind\":\"safe\",\"timeoutMs\":2500,"            \
	"\"targetLatencyMs\":400,\"priority\":0,\"service\":\"" service       \
	"\",\"maxAttempts\":2,\"public\":false}},{\"type\":\"services\","     \
	"\"metadata\":{\"name\":\"rounds\"},\"spec\":{\"healthPath\":"        \
	"\"/healthz\",\"maxConnections\":110}},{\"type\":\"services\","       \
	"\"metadata\":{\"name\":\"history\"},\"spec\":{\"healthPath\":"       \
	"\"/healthz\",\"maxConnections\":110}},{\"type\":\"tenants\","        \
	"\"metadata\":{\"name\":\"huka270\"},\"spec\":{\"apiKeys\":" keys     \
	",\"priority\":1}},{\"type\":\"limits\",\"metadata\":{},\"spec\":"    \
	"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"                 \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}"

static const char first[] =
	CONFIG("7", "rounds", "[\"key-that-stays\",\"key-that-goes\"]");
/* Adds a key; written shortly before the store is away. */
static const char second[] = CONFIG(
	"8", "rounds", "[\"key-that-stays\",\"key-that-goes\",\"new-key\"]");
/* Moves the route to the other service and takes a key away. */
static const char third[] = CONFIG("9", "history", "[\"key-that-stays\"]");

static volatile int64_t acknowledged_ms; /* the third one; 0: not yet */
static volatile int is_over, others_pause;
static int other_count;
static int judged_count, stale_count, revoked_count;

static void count(int *counter)
{
	__atomic_add_fetch(counter, 1, __ATOMIC_SEQ_CST);
}

/* The body says which service has run the request. */
static int run(struct lab_request *request)
{
	const char *service = request->node == HISTORY_NODE ? "history" :
							      "rounds";

	lab_sleep_ms(10);
	return !lab_reply(request, 200,
			  request->node == HISTORY_NODE ?
				  "X-Service: history\r\n" :
				  "X-Service: rounds\r\n",
			  service, strlen(service));
}

static int is_judged(int64_t sent_ms)
{
	return acknowledged_ms && sent_ms > acknowledged_ms + JUDGED_AFTER_MS;
}

static void judge(const char *id, int64_t sent_ms, int has_old_key, int status,
		  const char *service)
{
	if (!is_judged(sent_ms))
		return;
	count(&judged_count);
	if (has_old_key && status == 200) {
		lab_note("%s, %d ms after the acknowledgement: runs with the "
			 "key that was taken away",
			 id, (int)(sent_ms - acknowledged_ms));
		count(&revoked_count);
	}
	if (status == 200 && !strcmp(service, "rounds")) {
		lab_note("%s, %d ms after the acknowledgement: run by rounds, "
			 "as only version 8 and older allow",
			 id, (int)(sent_ms - acknowledged_ms));
		count(&stale_count);
	}
}

static void *call_always(void *data)
{
	int node = *(int *)data;
	char text[512], id[32], service[32];

	for (int i = 0; !is_over; i++) {
		struct lab_answer answer = { 0 };
		int fd = lab_connect_client(node), has_old_key = i % 2;
		int64_t sent_ms = lab_now_ms();

		snprintf(id, sizeof(id), "n%d-%d", node, i);
		snprintf(text, sizeof(text),
			 "GET /a/%d HTTP/1.1\r\nHost: lab.example\r\n"
			 "Fescuehitch-Request-Id: %s\r\n"
			 "Fescuehitch-Deadline-Ms: %d\r\n"
			 "Authorization: Token %s\r\n\r\n",
			 i, id, DEADLINE_MS,
			 has_old_key ? "key-that-goes" : "key-that-stays");
		if (fd >= 0 && !lab_send(fd, text, strlen(text)))
			lab_read_answer(fd, sent_ms + DEADLINE_MS, NULL,
					&answer);
		lab_header(answer.head, "X-Service", service, sizeof(service));
		judge(id, sent_ms, has_old_key, answer.status, service);
		if (fd >= 0)
			close(fd);
		lab_sleep_ms(CALL_MS);
	}
	return NULL;
}

static void write_other(void)
{
	char key[64];

	snprintf(key, sizeof(key), "app/item-%d", ++other_count);
	lab_store_write(key, "x");
}

/* Other users of the platform's store write all the time. */
static void *write_always(void *data)
{
	(void)data;
	while (!is_over) {
		if (!others_pause)
			write_other();
		lab_sleep_ms(OTHERS_MS);
	}
	return NULL;
}

static void start(struct lab_instance *instances)
{
	static int numbers[NODES];
	static const char *const zones[NODES] = { "zone-a", "zone-b",
						  "zone-c" };
	pthread_t thread;

	lab_store_serve();
	lab_store_write("op/config", first);
	pthread_create(&thread, NULL, write_always, NULL);
	for (int i = 0; i < NODES; i++) {
		const char *service = i + 1 == HISTORY_NODE ? "history" :
							      "rounds";

		lab_instance_init(&instances[i], i + 1, service, run);
		lab_start_node(i + 1, service, zones[i]);
		lab_start_instance(&instances[i]);
	}
	lab_wait_ready(NODES);
	lab_sleep_ms(5000);
	for (int i = 0; i < NODES; i++) {
		numbers[i] = i + 1;
		pthread_create(&thread, NULL, call_always, &numbers[i]);
	}
	lab_sleep_ms(2000);
}

int main(int argc, char **argv)
{
	static const struct lab_deployment deployment = {
		.more_settings = "\"key_freshness_ms\": 5000,",
		.grace_s = 6,
		.link_mbps = 1000,
		.memory_mb = 260
	};
	static struct lab_instance instances[NODES];
	long long copied, lost;
	char text[160];

	lab_begin(argc > 1 ? argv[1] : ".", &deployment);
	start(instances);
	lab_store_copy();
	copied = lab_store_revision();
	lab_sleep_ms(COPY_AGE_MS);
	lab_store_write("op/config", second);
	lab_note("operator: version 8 is acknowledged, at revision %lld",
		 lab_store_revision());
	lab_sleep_ms(AWAY_AFTER_MS);
	others_pause = 1;
	lost = lab_store_revision() - copied;
	if (lab_has_trouble()) {
		lab_store_leave();
		lab_sleep_ms(AWAY_MS);
		lab_store_return(1);
	}
	lab_store_write("op/config", third);
	acknowledged_ms = lab_now_ms();
	lab_note("operator: version 9 is acknowledged, at revision %lld",
		 lab_store_revision());
	/* What was written since the copy is written again. */
	for (long long i = 0; i < lost + 1; i++)
		write_other();
	lab_note("others: have written again, revision %lld",
		 lab_store_revision());
	others_pause = 0;
	lab_sleep_ms(JUDGED_AFTER_MS + JUDGED_FOR_MS);
	is_over = 1;
	snprintf(text, sizeof(text),
		 "of %d requests, %d were run by the old service and %d with "
		 "the key that was taken away",
		 judged_count, stale_count, revoked_count);
	lab_end(!judged_count		     ? LAB_NOT_RUN :
		stale_count || revoked_count ? LAB_BROKEN :
					       LAB_HELD,
		text);
}
