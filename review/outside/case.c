/*
 * No case of the review, as no page names what is sent here: a request with a
 * folded field (RFC 9112, 5.2) ends the process of the node that reads it.
 */
#include "../lab-2/lab.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define NODES 2
#define CALLERS 8
#define WORK_MS 400
#define DEADLINE_MS 2500

struct caller {
	int number;
	pthread_t thread;
	int statuses[2]; /* of the two requests on its connection; 0: none */
};

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

static int run(struct lab_request *request)
{
	lab_note("instance %d: runs %s", request->node, request->id);
	lab_sleep_ms(WORK_MS);
	return !lab_reply(request, 200, "", "done", 4);
}

/* Returns the status, or 0 if the connection ends without a whole answer. */
static int call(int fd, const char *id, const char *field)
{
	struct lab_answer answer = { 0 };
	char text[512];

	snprintf(text, sizeof(text),
		 "GET /a/%s HTTP/1.1\r\nHost: lab.example\r\n"
		 "Fescuehitch-Request-Id: %s\r\n"
		 "Fescuehitch-Deadline-Ms: %d\r\n%s\r\n",
		 id, id, DEADLINE_MS, field);
	if (fd < 0 || lab_send(fd, text, strlen(text))) {
		lab_note("request %s: cannot be sent", id);
		return 0;
	}
	lab_read_answer(fd, lab_now_ms() + DEADLINE_MS, NULL, &answer);
	lab_note("request %s: status %d", id, answer.status);
	return answer.is_whole ? answer.status : 0;
}

static void *call_twice(void *data)
{
	struct caller *c = data;
	int fd = lab_connect_client(1);
	char id[32];

	for (int i = 0; i < 2; i++) {
		snprintf(id, sizeof(id), "caller%d-%d", c->number, i + 1);
		c->statuses[i] = call(fd, id, "");
	}
	close(fd);
	return NULL;
}

static void start(void)
{
	static struct lab_instance instances[NODES];

	lab_start_store();
	lab_put("op/config", config);
	for (int i = 0; i < NODES; i++) {
		lab_instance_init(&instances[i], i + 1, "rounds", run);
		lab_start_node(i + 1, "rounds", i ? "zone-b" : "zone-a");
		lab_start_instance(&instances[i]);
	}
	lab_wait_ready(NODES);
	lab_sleep_ms(5000);
}

int main(int argc, char **argv)
{
	static const struct lab_deployment deployment = { .grace_s = 6,
							  .link_mbps = 1000,
							  .memory_mb = 260 };
	static struct caller callers[CALLERS];
	int unanswered = 0, fd;
	char text[128];

	lab_begin(argc > 1 ? argv[1] : ".", &deployment);
	start();
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i + 1;
		pthread_create(&callers[i].thread, NULL, call_twice,
			       &callers[i]);
	}
	lab_sleep_ms(WORK_MS * 3 / 2);
	fd = lab_connect_client(1);
	call(fd, "folded",
	     lab_has_trouble() ? "X-Agent: dispatcher\r\n  mobile\r\n" :
				 "X-Agent: dispatcher mobile\r\n");
	if (fd >= 0)
		close(fd);
	for (int i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		unanswered += callers[i].statuses[0] && !callers[i].statuses[1];
	}
	snprintf(text, sizeof(text),
		 "%d of %d requests on kept connections got no answer, node 1 "
		 "is %s",
		 unanswered, CALLERS, lab_node_is_ready(1) ? "ready" : "gone");
	lab_end(unanswered ? LAB_BROKEN : LAB_HELD, text);
}
