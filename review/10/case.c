/*
 * A node acknowledges that its instance leaves while the platform's store is down,
 * so that the leaving isn't stored. When all nodes are killed before the store is
 * back, nobody knows of it, and a late heartbeat brings the instance back into use.
 *
 * With COPY=1 the store takes the record, and comes back from a copy without it.
 */
#include "../lab-2/lab.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES 3
#define WORK_MS 20
#define CALL_MS 60
#define DEADLINE_MS 2500
#define DRAIN_MS 2000
#define STABLE_MS 3000
#define AWAY_BEFORE_MS 1000 /* the store, before the DELETE */
/* After the acknowledgement. */
#define KILL_MS 700
#define RETURN_MS 1500 /* of the store */
#define COPY_AWAY_MS 500
#define COPY_RETURN_MS 900
#define COPY_KILL_MS 1500
#define LATE_MS 3500 /* the late heartbeat */
#define SERVES_MS 9000
#define DOWN_MS 500 /* processes, after the kill */

static const char config[] =
	"{\"version\":7,\"resources\":[{\"type\":\"routes\",\"metadata\":"
	"{\"name\":\"r-a\"},\"spec\":{\"host\":\"lab.example\",\"prefix\":"
	"\"/a/\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":400,"
	"\"priority\":0,\"service\":\"rounds\",\"maxAttempts\":2}},"
	"{\"type\":\"services\",\"metadata\":{\"name\":\"rounds\"},\"spec\":"
	"{\"healthPath\":\"/healthz\",\"maxConnections\":110}},"
	"{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":"
	"16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}]}";

static const char *const zones[NODES] = { "zone-a", "zone-b", "zone-c" };
static struct lab_instance instances[NODES];
static volatile int64_t acknowledged_ms; /* of instance 1; 0: not yet */
static volatile int64_t in_touch_ms; /* all nodes are, from then on */
static int has_outage, has_kills, has_copy;
static volatile int is_over;
static int late_count;

static int run(struct lab_request *request)
{
	int64_t now_ms = lab_now_ms();

	if (request->node == 1 && acknowledged_ms) {
		lab_note("instance 1: gets %s %d ms after the acknowledgement",
			 request->id, (int)(now_ms - acknowledged_ms));
		if (now_ms > acknowledged_ms + DRAIN_MS &&
		    now_ms > in_touch_ms + DEADLINE_MS)
			__atomic_add_fetch(&late_count, 1, __ATOMIC_SEQ_CST);
	}
	lab_sleep_ms(WORK_MS);
	return !lab_reply(request, 200, "", "done", 4);
}

static void *call_always(void *data)
{
	int node = *(int *)data;
	char text[512];

	for (int i = 0; !is_over; i++) {
		struct lab_answer answer = { 0 };
		int fd = lab_connect_client(node);

		snprintf(text, sizeof(text),
			 "GET /a/%d HTTP/1.1\r\nHost: lab.example\r\n"
			 "Fescuehitch-Request-Id: n%d-%d\r\n"
			 "Fescuehitch-Deadline-Ms: %d\r\n\r\n",
			 i, node, i, DEADLINE_MS);
		if (fd >= 0 && !lab_send(fd, text, strlen(text)))
			lab_read_answer(fd, lab_now_ms() + DEADLINE_MS, NULL,
					&answer);
		if (fd >= 0)
			close(fd);
		lab_sleep_ms(CALL_MS);
	}
	return NULL;
}

static void sleep_until(int64_t at_ms)
{
	lab_sleep_ms(at_ms - lab_now_ms());
}

static void restart_nodes(void)
{
	for (int i = 1; i <= NODES; i++)
		lab_signal_node(i, SIGKILL);
	for (int i = 1; i <= NODES; i++)
		lab_wait_node(i);
	lab_sleep_ms(DOWN_MS);
	for (int i = 1; i <= NODES; i++)
		lab_start_node(i, "rounds", zones[i - 1]);
}

/* What happens after the acknowledgement, up to the late heartbeat. */
static void make_trouble(void)
{
	if (has_copy) {
		sleep_until(acknowledged_ms + COPY_AWAY_MS);
		lab_store_leave();
		sleep_until(acknowledged_ms + COPY_RETURN_MS);
		lab_store_return(1);
	}
	if (has_kills) {
		sleep_until(acknowledged_ms +
			    (has_copy ? COPY_KILL_MS : KILL_MS));
		restart_nodes();
	}
	if (has_outage) {
		sleep_until(acknowledged_ms + RETURN_MS);
		lab_store_return(0);
	}
	if (has_kills || has_outage || has_copy)
		in_touch_ms = lab_now_ms() + STABLE_MS;
}

static void start(void)
{
	static int numbers[NODES];
	pthread_t thread;

	lab_store_serve();
	lab_store_write("op/config", config);
	for (int i = 0; i < NODES; i++) {
		lab_instance_init(&instances[i], i + 1, "rounds", run);
		lab_start_node(i + 1, "rounds", zones[i]);
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
	static const struct lab_deployment deployment = { .grace_s = 6,
							  .link_mbps = 1000,
							  .memory_mb = 260 };
	struct lab_instance late;
	char text[160];

	has_copy = lab_has_trouble() && getenv("COPY");
	has_outage = lab_has_trouble() && !has_copy && !getenv("NO_OUTAGE");
	has_kills = lab_has_trouble() && !getenv("NO_KILLS");
	lab_begin(argc > 1 ? argv[1] : ".", &deployment);
	start();
	if (has_copy)
		lab_store_copy();
	if (has_outage)
		lab_store_leave();
	lab_sleep_ms(AWAY_BEFORE_MS);
	instances[0].stopped = 1;
	/* The heartbeat that is late was sent before the DELETE. */
	late = instances[0];
	late.sequence++;
	if (lab_announce(&instances[0], NULL) != 200)
		lab_end(LAB_NOT_RUN, "the leaving is not acknowledged");
	acknowledged_ms = lab_now_ms();
	make_trouble();
	sleep_until(acknowledged_ms + LATE_MS);
	lab_note("instance 1: a heartbeat that was sent before the DELETE "
		 "arrives, gets %d",
		 lab_announce(&late, "ready"));
	sleep_until(acknowledged_ms + SERVES_MS);
	is_over = 1;
	snprintf(text, sizeof(text),
		 "%d requests of nodes in touch reached instance 1 later than "
		 "%d ms after the acknowledgement",
		 late_count, DRAIN_MS);
	lab_end(late_count ? LAB_BROKEN : LAB_HELD, text);
}
