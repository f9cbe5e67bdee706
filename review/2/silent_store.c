/*
 * With the disruption the store is silent for 8 s (platform_down, how silent),
 * just after a version was acknowledged. Later, when all machines are in touch
 * again, the operator writes a version that moves a route to another service
 * and adds one. Counts the requests sent later than propagationMs after its
 * acknowledgement that are handled as only an older version allows.
 */
#include "../lab/lab.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 6
#define STABLE_WINDOW_MS 3000
#define PROPAGATION_MS 2000
#define SILENT_AFTER_MS 150 /* after the acknowledgement of a version */
#define SILENT_MS 8000 /* as on day trouble-3 of the site file */
#define CHECK_MS 8000
#define AUTHORITY "shop.example"

#define SERVICES                                                          \
	"{\"type\":\"services\",\"metadata\":{\"name\":\"shop\"},"        \
	"\"spec\":{\"healthPath\":\"/healthz\",\"maxConnections\":130}}," \
	"{\"type\":\"services\",\"metadata\":{\"name\":\"store\"},"       \
	"\"spec\":{\"healthPath\":\"/healthz\",\"maxConnections\":130}}," \
	"{\"type\":\"limits\",\"metadata\":{},\"spec\":{"                 \
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"             \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"

#define ROUTE(name, prefix, timeout, service)                             \
	",{\"type\":\"routes\",\"metadata\":{\"name\":\"" name "\"},"     \
	"\"spec\":{\"host\":\"" AUTHORITY "\",\"prefix\":\"" prefix "\"," \
	"\"kind\":\"safe\",\"timeoutMs\":" timeout ","                    \
	"\"targetLatencyMs\":400,\"priority\":2,"                         \
	"\"service\":\"" service "\",\"maxAttempts\":2}}"

static const char first_version[] =
	SERVICES ROUTE("r-1", "/stock/", "1200", "shop");
static const char second_version[] =
	SERVICES ROUTE("r-1", "/stock/", "1300", "shop");
static const char third_version[] =
	SERVICES ROUTE("r-1", "/stock/", "1300", "store")
		ROUTE("r-2", "/new/", "1200", "shop");

/* Returns the number of requests that were handled by an older version. */
static int check_versions(struct lab *lab)
{
	uint64_t end_ms = lab_now_ms() + CHECK_MS;
	struct lab_answer answer;
	char id[LAB_TEXT], path[LAB_TEXT];
	int old = 0;

	for (int n = 0; lab_now_ms() < end_ms; n++) {
		struct lab_host *host = &lab->hosts[n % lab->host_count];
		int number = 0;

		snprintf(id, sizeof(id), "moved-%d", n);
		snprintf(path, sizeof(path), "/stock/%d", n);
		lab_request(host, "GET", AUTHORITY, path, id, 2500, "",
			    &answer);
		sscanf(answer.by, "i-%d", &number);
		if (answer.status == 200 && number % 2)
			old++; /* the instances of "shop" are at odd hosts */
		snprintf(id, sizeof(id), "added-%d", n);
		snprintf(path, sizeof(path), "/new/%d", n);
		lab_request(host, "GET", AUTHORITY, path, id, 2500, "",
			    &answer);
		old += answer.status == 404;
		lab_sleep_ms(100);
	}
	return old;
}

static int play(struct lab *lab, int trouble)
{
	if (lab_start(lab) || lab_put_config(lab, first_version) ||
	    lab_wait_ready(lab, 15000))
		return -1;
	lab_sleep_ms(STABLE_WINDOW_MS + 2000);
	if (lab_put_config(lab, second_version))
		return -1;
	lab_sleep_ms(SILENT_AFTER_MS);
	if (trouble) {
		lab_record("the store falls silent");
		lab->store_proxy.silent = 1;
	}
	lab_sleep_ms(SILENT_MS);
	if (trouble) {
		lab->store_proxy.silent = 0;
		lab_record("the store answers again");
	}
	lab_sleep_ms(STABLE_WINDOW_MS + 1000);
	if (lab_put_config(lab, third_version))
		return -1;
	lab_sleep_ms(PROPAGATION_MS + 100);
	return check_versions(lab);
}

int main(int argc, char **argv)
{
	static const char *const services[HOSTS] = {
		"shop", "store", "shop", "store", "shop", "store"
	};
	static const int slots[HOSTS] = { 6, 6, 6, 6, 6, 6 };
	static struct lab lab;
	const char *trouble = getenv("TROUBLE");
	int old;

	if (argc != 3)
		return 2;
	lab_record_open(argv[1]);
	lab_create(&lab, argv[2], services, slots, HOSTS);
	old = play(&lab, !trouble || strcmp(trouble, "0"));
	lab_stop(&lab);
	if (old < 0)
		return 2;
	lab_record("%d requests were handled as only an older version allows, "
		   "more than %d ms after the newest was acknowledged: %s",
		   old, PROPAGATION_MS, old ? "BROKEN" : "held");
	return old > 0;
}
