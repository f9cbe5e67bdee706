/*
 * A request that crashes the instances that run it comes again and again. With
 * the disruption, the nodes are stopped and started in turn meanwhile
 * (roll_term); the instances go on. Counts the retries that reach instances
 * later than stableWindowMs after it has crashed the third, sent by machines in
 * touch.
 */
#include "../lab/lab.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 4
#define STABLE_WINDOW_MS 3000
#define RETRIES_MAX 3 /* that the rule allows */
#define SENDS 28 /* of the poison after each restart */
#define POISON_INTERVAL_MS 320
#define AUTHORITY "shop.example"

struct watch {
	struct lab *lab;
	pthread_mutex_t lock;
	int crashes;
	uint64_t third_ms; /* time of the third crash */
	int late_retries; /* that reached an instance later than the rule says */
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

	if (strncmp(path, "/poison/", 8) || fate == LAB_REFUSED)
		return;
	sscanf(id, "poison-%d", &entry); /* the host where it was sent */
	pthread_mutex_lock(&w->lock);
	if (w->third_ms && lab_now_ms() > w->third_ms + STABLE_WINDOW_MS &&
	    is_in_touch(&w->lab->hosts[number - 1]) &&
	    is_in_touch(&w->lab->hosts[entry - 1]))
		w->late_retries++;
	if (++w->crashes == 3)
		w->third_ms = lab_now_ms();
	pthread_mutex_unlock(&w->lock);
}

static const char resources[] =
	"{\"type\":\"services\",\"metadata\":{\"name\":\"shop\"},\"spec\":{"
	"\"healthPath\":\"/healthz\",\"maxConnections\":130}},"
	"{\"type\":\"routes\",\"metadata\":{\"name\":\"r-poison\"},\"spec\":{"
	"\"host\":\"" AUTHORITY "\",\"prefix\":\"/poison/\",\"kind\":\"safe\","
	"\"timeoutMs\":1200,\"targetLatencyMs\":400,\"priority\":2,"
	"\"service\":\"shop\",\"maxAttempts\":2}},"
	"{\"type\":\"routes\",\"metadata\":{\"name\":\"r-look\"},\"spec\":{"
	"\"host\":\"" AUTHORITY "\",\"prefix\":\"/look/\",\"kind\":\"safe\","
	"\"timeoutMs\":1200,\"targetLatencyMs\":400,\"priority\":2,"
	"\"service\":\"shop\",\"maxAttempts\":2}},"
	"{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

/* Sends the poison and an ordinary request in turn, from all machines. */
static void send_requests(struct lab *lab)
{
	static int sent;
	struct lab_answer answer;
	char id[LAB_TEXT], path[LAB_TEXT];

	for (int i = 0; i < SENDS; i++, sent++) {
		struct lab_host *host = &lab->hosts[sent % lab->host_count];

		snprintf(id, sizeof(id), "poison-%d-%d", host->number, sent);
		lab_request(host, "GET", AUTHORITY, "/poison/order", id, 2500,
			    "", &answer);
		snprintf(id, sizeof(id), "look-%d-%d", host->number, sent);
		snprintf(path, sizeof(path), "/look/%d", sent);
		lab_request(host, "GET", AUTHORITY, path, id, 2500, "",
			    &answer);
		lab_sleep_ms(POISON_INTERVAL_MS);
	}
}

/* One pass over the machines: SIGTERM, start again, traffic. */
static void roll(struct lab *lab, int trouble)
{
	for (int i = 0; i < lab->host_count; i++) {
		if (trouble) {
			lab_signal_node(&lab->hosts[i], SIGTERM, 1);
			lab_start_node(&lab->hosts[i]);
		}
		lab_sleep_ms(STABLE_WINDOW_MS + 1500);
		send_requests(lab);
	}
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
	int broken;

	if (argc != 3)
		return 2;
	lab_record_open(argv[1]);
	lab_create(&lab, argv[2], services, slots, HOSTS);
	lab.observer = (struct lab_observer){ on_arrival, &watch };
	if (lab_start(&lab) || lab_put_config(&lab, resources) ||
	    lab_wait_ready(&lab, 15000)) {
		lab_stop(&lab);
		return 2;
	}
	lab_sleep_ms(STABLE_WINDOW_MS + 1000);
	send_requests(&lab);
	roll(&lab, !trouble || strcmp(trouble, "0"));
	lab_stop(&lab);
	broken = watch.late_retries > RETRIES_MAX;
	lab_record("%d crashes; %d retries of machines in touch reached "
		   "instances later than %d ms after the third; at most %d are "
		   "allowed: %s",
		   watch.crashes, watch.late_retries, STABLE_WINDOW_MS,
		   RETRIES_MAX, broken ? "BROKEN" : "held");
	return broken;
}
