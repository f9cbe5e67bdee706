/*
 * The platform's store is down, and leases end meanwhile. The node of a machine
 * that is added then finds no other one when the store is back, and takes the
 * whole quota of a tenant for its own share.
 */
#include "../lab-2/lab.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define OLD_NODES 3
#define NODES 4 /* with the one that is added */
#define CALLERS 4 /* of each node */
#define WORK_MS 5
#define DEADLINE_MS 2500
/* At the limit / 1.6, and 7.5 times as much while the tenant is hot. */
#define PAUSE_MS 375
#define HOT_PAUSE_MS 50
#define OUTAGE_MS 4500
/* After the outage began. */
#define ADDED_MS 1500
#define HOT_MS 3500
#define OVER_MS 10000
#define RATE 60
#define BURST 60
#define WINDOW_MS 5000
#define RUNS_MAX 100000

#define TEXT(x) #x
#define NUMBER(x) TEXT(x)

static const char config[] =
	"{\"version\":7,\"resources\":[{\"type\":\"routes\",\"metadata\":"
	"{\"name\":\"r-a\"},\"spec\":{\"host\":\"lab.example\",\"prefix\":"
	"\"/a/\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":400,"
	"\"priority\":0,\"service\":\"lobby\",\"maxAttempts\":2}},"
	"{\"type\":\"services\",\"metadata\":{\"name\":\"lobby\"},\"spec\":"
	"{\"healthPath\":\"/healthz\",\"maxConnections\":430}},"
	"{\"type\":\"tenants\",\"metadata\":{\"name\":\"club\"},\"spec\":"
	"{\"apiKeys\":[\"key-1\"],\"priority\":1,\"ratePerS\":" NUMBER(RATE) ",\"burst\":" NUMBER(
		BURST) "}},"
		       "{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":"
		       "16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
		       "\"idleTimeoutMs\":15000}}]}";

static const char *const zones[NODES] = { "zone-a", "zone-b", "zone-c",
					  "zone-a" };
static struct lab_instance instances[NODES];
static volatile int is_over, is_hot;
static int64_t sent_ms[RUNS_MAX]; /* of requests that ran */
static int run_nodes[RUNS_MAX];
static int run_count;

static int run(struct lab_request *request)
{
	int i = __atomic_fetch_add(&run_count, 1, __ATOMIC_SEQ_CST);
	long long at_ms;

	if (i < RUNS_MAX &&
	    sscanf(request->path, "/a/%lld/%d", &at_ms, &run_nodes[i]) == 2)
		sent_ms[i] = at_ms;
	lab_sleep_ms(WORK_MS);
	return !lab_reply(request, 200, "", "done", 4);
}

static void *call_always(void *data)
{
	int number = *(int *)data, node = number / CALLERS + 1;
	char text[512];

	for (int i = 0; !is_over; i++) {
		struct lab_answer answer = { 0 };
		int64_t now_ms = lab_now_ms();
		int fd = lab_node_is_ready(node) ? lab_connect_client(node) :
						   -1;

		snprintf(text, sizeof(text),
			 "GET /a/%lld/%d HTTP/1.1\r\nHost: lab.example\r\n"
			 "Fescuehitch-Request-Id: n%d-%d\r\n"
			 "Authorization: Token key-1\r\n"
			 "Fescuehitch-Deadline-Ms: %d\r\n\r\n",
			 (long long)now_ms, node, number, i, DEADLINE_MS);
		if (fd >= 0 && !lab_send(fd, text, strlen(text)))
			lab_read_answer(fd, now_ms + DEADLINE_MS, NULL,
					&answer);
		if (fd >= 0)
			close(fd);
		for (int k = 0; k < PAUSE_MS / HOT_PAUSE_MS && (!k || !is_hot);
		     k++)
			lab_sleep_ms(HOT_PAUSE_MS);
	}
	return NULL;
}

static void add_node(int i)
{
	lab_instance_init(&instances[i], i + 1, "lobby", run);
	lab_start_node(i + 1, "lobby", zones[i]);
	lab_start_instance(&instances[i]);
}

static void sleep_until(int64_t at_ms)
{
	lab_sleep_ms(at_ms - lab_now_ms());
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Returns the most requests of any window that ran. */
static int count_most(int count)
{
	int most = 0, first = 0;
	int64_t from_ms = 0;

	qsort(sent_ms, (size_t)count, sizeof(*sent_ms), compare);
	for (int i = 0; i < count; i++) {
		while (sent_ms[first] <= sent_ms[i] - WINDOW_MS)
			first++;
		if (i - first + 1 > most) {
			most = i - first + 1;
			from_ms = sent_ms[first];
		}
	}
	lab_note("%d requests that were sent in the %d ms from %.3f on ran",
		 most, WINDOW_MS, (double)from_ms / 1000);
	return most;
}

static void note_runs(int count, int64_t begin_ms)
{
	for (int s = -2; s < OVER_MS / 1000; s++) {
		int64_t from_ms = begin_ms + (int64_t)s * 1000;
		int counts[NODES + 1] = { 0 };

		for (int i = 0; i < count; i++)
			if (sent_ms[i] >= from_ms &&
			    sent_ms[i] < from_ms + 1000)
				counts[run_nodes[i]]++;
		lab_note("sent in second %d of the outage, ran, by node: "
			 "%d %d %d, added: %d",
			 s, counts[1], counts[2], counts[3], counts[4]);
	}
}

int main(int argc, char **argv)
{
	static const struct lab_deployment deployment = {
		.more_settings = "\"quota_window_s\": 5, "
				 "\"quota_overage\": 0.1, "
				 "\"quota_slack\": 20, "
				 "\"key_freshness_ms\": 5000,",
		.grace_s = 6,
		.link_mbps = 15,
		.memory_mb = 160
	};
	static int numbers[NODES * CALLERS];
	const int limit = RATE * (WINDOW_MS / 1000) + BURST;
	double bound = limit * 1.1 + 20;
	int64_t begin_ms;
	pthread_t thread;
	char text[160];
	int most;

	lab_begin(argc > 1 ? argv[1] : ".", &deployment);
	lab_store_serve();
	lab_store_write("op/config", config);
	for (int i = 0; i < OLD_NODES; i++)
		add_node(i);
	lab_wait_ready(OLD_NODES);
	lab_sleep_ms(5000);
	for (int i = 0; i < NODES * CALLERS; i++) {
		numbers[i] = i;
		pthread_create(&thread, NULL, call_always, &numbers[i]);
	}
	lab_sleep_ms(3000);
	begin_ms = lab_now_ms();
	if (lab_has_trouble())
		lab_store_leave();
	sleep_until(begin_ms + ADDED_MS);
	add_node(NODES - 1);
	sleep_until(begin_ms + HOT_MS);
	is_hot = 1;
	sleep_until(begin_ms + OUTAGE_MS);
	if (lab_has_trouble() && !getenv("KEEP_LEASES"))
		lab_store_end_leases();
	if (lab_has_trouble())
		lab_store_return(0);
	sleep_until(begin_ms + OVER_MS);
	is_over = 1;
	lab_sleep_ms(500);
	note_runs(run_count, begin_ms);
	most = count_most(run_count);
	snprintf(text, sizeof(text),
		 "%d requests of a tenant ran in %d ms, the bound is %.0f",
		 most, WINDOW_MS, bound);
	lab_end(most > bound ? LAB_BROKEN : LAB_HELD, text);
}
