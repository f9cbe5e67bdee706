/*
 * Requests that crash the instances that run them come again and again. With
 * the disruption, the instances of their service shed part of their requests at
 * first (srv_grey, how shed). Counts, for each of these requests, the retries
 * that reach instances later than stableWindowMs after it has crashed the
 * third.
 */
#include "../lab/lab.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 5
#define SHED_PERCENT 55 /* srv_grey of the standard day scale-1 */
#define SHED_MS 8500 /* its length there */
#define STABLE_WINDOW_MS 3000
#define RETRIES_MAX 3 /* that the rule allows */
#define POISON_INTERVAL_MS 250
#define RUN_MS 55000
#define AUTHORITY "shop.example"

#define POISONS 5 /* different requests */

struct poison {
	int crashes;
	uint64_t third_ms; /* time of the third crash */
	int late_retries; /* that reached an instance later than the rule says */
};

struct watch {
	pthread_mutex_t lock;
	struct poison poisons[POISONS];
};

static void on_arrival(void *data, int number, const char *id, const char *path,
		       enum lab_fate fate)
{
	struct watch *w = data;
	struct poison *p;

	(void)number;
	(void)id;
	if (strncmp(path, "/poison/", 8) || fate == LAB_REFUSED)
		return;
	p = &w->poisons[(path[8] - '0') % POISONS];
	pthread_mutex_lock(&w->lock);
	if (p->third_ms && lab_now_ms() > p->third_ms + STABLE_WINDOW_MS)
		p->late_retries++;
	if (++p->crashes == 3)
		p->third_ms = lab_now_ms();
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

static void set_shed(struct lab *lab, int percent)
{
	lab_record("instances shed %d%% of their requests from now on",
		   percent);
	for (int i = 0; i < lab->host_count; i++)
		lab_instance_set_shed(lab->hosts[i].instance, percent);
}

/* Sends the poisons and an ordinary request in turn, from all machines. */
static void send_requests(struct lab *lab, int trouble)
{
	uint64_t start = lab_now_ms();
	int shedding = trouble;
	struct lab_answer answer;
	char id[LAB_TEXT], path[LAB_TEXT];

	if (trouble)
		set_shed(lab, SHED_PERCENT);
	for (int n = 0; lab_now_ms() < start + RUN_MS; n++) {
		struct lab_host *host = &lab->hosts[n % lab->host_count];

		if (shedding && lab_now_ms() >= start + SHED_MS) {
			shedding = 0;
			set_shed(lab, 0);
		}
		snprintf(id, sizeof(id), "poison-%d", n);
		snprintf(path, sizeof(path), "/poison/%d", n % POISONS);
		lab_request(host, "GET", AUTHORITY, path, id, 2500, "",
			    &answer);
		snprintf(id, sizeof(id), "look-%d", n);
		snprintf(path, sizeof(path), "/look/%d", n);
		lab_request(host, "GET", AUTHORITY, path, id, 2500, "",
			    &answer);
		lab_sleep_ms(POISON_INTERVAL_MS);
	}
}

int main(int argc, char **argv)
{
	static const char *const services[HOSTS] = { "shop", "shop", "shop",
						     "shop", "shop" };
	static const int slots[HOSTS] = { 6, 6, 6, 6, 6 };
	static struct watch watch = { .lock = PTHREAD_MUTEX_INITIALIZER };
	static struct lab lab;
	const char *trouble = getenv("TROUBLE");
	int broken = 0;

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
	send_requests(&lab, !trouble || strcmp(trouble, "0"));
	lab_stop(&lab);
	for (int i = 0; i < POISONS; i++) {
		const struct poison *p = &watch.poisons[i];

		lab_record("/poison/%d: %d crashes; %d retries reached "
			   "instances later than %d ms after the third, at "
			   "most %d are allowed",
			   i, p->crashes, p->late_retries, STABLE_WINDOW_MS,
			   RETRIES_MAX);
		broken |= p->late_retries > RETRIES_MAX;
	}
	lab_record("rule %s", broken ? "BROKEN" : "held");
	return broken;
}
