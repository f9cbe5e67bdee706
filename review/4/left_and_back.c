/*
 * An instance leaves: it sends DELETE, which is acknowledged, and goes on
 * serving for some seconds. A heartbeat that it sent before arrives late. With
 * the disruption, all nodes are killed at once in between (herd_kill) and start
 * again. Counts the requests that reach the instance later than drainMs after
 * the acknowledgement, sent by machines in touch.
 */
#include "../lab/lab.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 4
#define STABLE_WINDOW_MS 3000
#define DRAIN_MS 2000
#define KILL_AFTER_MS 500 /* after the acknowledgement */
#define DOWN_MS 500
#define LATE_AFTER_MS 3000 /* after the acknowledgement */
#define SERVES_ON_MS 9000 /* after the acknowledgement */
#define AUTHORITY "shop.example"

struct watch {
	struct lab *lab;
	pthread_mutex_t lock;
	uint64_t left_ms; /* time of the acknowledgement; 0: before it */
	int late; /* requests that the rule forbids */
};

/* Has the node of this host run for longer than stableWindowMs? */
static int is_in_touch(const struct lab_host *host)
{
	return lab_now_ms() > host->started_ms + STABLE_WINDOW_MS;
}

static void on_arrival(void *data, int number, const char *id, const char *path,
		       enum lab_fate fate)
{
	struct watch *w = data;
	int entry = 0;

	(void)path;
	if (number != 1 || fate != LAB_RAN)
		return;
	sscanf(id, "look-%d", &entry); /* the host where it was sent */
	pthread_mutex_lock(&w->lock);
	if (w->left_ms && lab_now_ms() > w->left_ms + DRAIN_MS &&
	    is_in_touch(&w->lab->hosts[0]) &&
	    is_in_touch(&w->lab->hosts[entry - 1]))
		w->late++;
	pthread_mutex_unlock(&w->lock);
}

static const char resources[] =
	"{\"type\":\"services\",\"metadata\":{\"name\":\"shop\"},\"spec\":{"
	"\"healthPath\":\"/healthz\",\"maxConnections\":130}},"
	"{\"type\":\"routes\",\"metadata\":{\"name\":\"r-look\"},\"spec\":{"
	"\"host\":\"" AUTHORITY "\",\"prefix\":\"/look/\",\"kind\":\"safe\","
	"\"timeoutMs\":1200,\"targetLatencyMs\":400,\"priority\":2,"
	"\"service\":\"shop\",\"maxAttempts\":2}},"
	"{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

/* Sends requests from all machines in turn until a time. */
static void send_until(struct lab *lab, uint64_t end_ms)
{
	static int sent;
	struct lab_answer answer;
	char id[LAB_TEXT], path[LAB_TEXT];

	for (; lab_now_ms() < end_ms; sent++) {
		struct lab_host *host = &lab->hosts[sent % lab->host_count];

		snprintf(id, sizeof(id), "look-%d-%d", host->number, sent);
		snprintf(path, sizeof(path), "/look/%d", sent);
		lab_request(host, "GET", AUTHORITY, path, id, 2500, "",
			    &answer);
		lab_sleep_ms(10);
	}
}

static void kill_all_nodes(struct lab *lab)
{
	for (int i = 0; i < lab->host_count; i++)
		lab_signal_node(&lab->hosts[i], SIGKILL, 0);
	for (int i = 0; i < lab->host_count; i++)
		lab_signal_node(&lab->hosts[i], SIGKILL, 1);
	lab_sleep_ms(DOWN_MS);
	for (int i = 0; i < lab->host_count; i++)
		lab_start_node(&lab->hosts[i]);
}

static int play(struct lab *lab, struct watch *w, int trouble)
{
	if (lab_start(lab) || lab_put_config(lab, resources) ||
	    lab_wait_ready(lab, 15000))
		return -1;
	send_until(lab, lab_now_ms() + STABLE_WINDOW_MS + 1000);
	if (lab_instance_leave(lab->hosts[0].instance))
		return -1;
	pthread_mutex_lock(&w->lock);
	w->left_ms = lab_now_ms();
	pthread_mutex_unlock(&w->lock);
	send_until(lab, w->left_ms + KILL_AFTER_MS);
	if (trouble)
		kill_all_nodes(lab);
	send_until(lab, w->left_ms + LATE_AFTER_MS);
	lab_instance_late_heartbeat(lab->hosts[0].instance);
	send_until(lab, w->left_ms + SERVES_ON_MS);
	return 0;
}

int main(int argc, char **argv)
{
	static const char *const services[HOSTS] = { "shop", "shop", "shop",
						     "shop" };
	static const int slots[HOSTS] = { 6, 6, 6, 6 };
	static struct lab lab;
	static struct watch watch = { .lab = &lab,
				      .lock = PTHREAD_MUTEX_INITIALIZER };
	const char *trouble = getenv("TROUBLE");
	int error;

	if (argc != 3)
		return 2;
	lab_record_open(argv[1]);
	lab_create(&lab, argv[2], services, slots, HOSTS);
	lab.observer = (struct lab_observer){ on_arrival, &watch };
	error = play(&lab, &watch, !trouble || strcmp(trouble, "0"));
	lab_stop(&lab);
	if (error)
		return 2;
	lab_record("%d requests of machines in touch reached the instance more "
		   "than %d ms after its leaving was acknowledged: %s",
		   watch.late, DRAIN_MS, watch.late ? "BROKEN" : "held");
	return watch.late > 0;
}
