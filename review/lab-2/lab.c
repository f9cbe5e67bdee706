#include "lab_state.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORTS 16

static struct {
	struct lab_deployment deployment;
	char folder[64];
	char net[32]; /* first three parts of all addresses */
	int port;
	int64_t started_ms;
	FILE *record;
	pid_t store;
	pid_t nodes[LAB_NODES + 1];
	pthread_mutex_t mutex;
} lab = { .mutex = PTHREAD_MUTEX_INITIALIZER };

int64_t lab_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void lab_sleep_ms(int64_t ms)
{
	struct timespec left = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&left, &left) && errno == EINTR)
		;
}

int lab_has_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void lab_note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&lab.mutex);
	fprintf(lab.record, "%9.3f ",
		(double)(lab_now_ms() - lab.started_ms) / 1000);
	va_start(args, format);
	vfprintf(lab.record, format, args);
	va_end(args);
	fputc('\n', lab.record);
	fflush(lab.record);
	pthread_mutex_unlock(&lab.mutex);
}

static void end_process(pid_t *pid)
{
	if (*pid > 0 && !kill(*pid, SIGKILL))
		waitpid(*pid, NULL, 0);
	*pid = 0;
}

void lab_end(enum lab_result result, const char *text)
{
	static const char *const names[] = { "held", "BROKEN", "not run" };
	char command[96];

	lab_note("result: %s: %s", names[result], text);
	printf("%s: %s\n", names[result], text);
	fflush(stdout);
	for (int i = 1; i <= LAB_NODES; i++)
		end_process(&lab.nodes[i]);
	end_process(&lab.store);
	for (int i = 1; i <= LAB_NODES; i++) {
		snprintf(command, sizeof(command), "%s/node-%d.json",
			 lab.folder, i);
		unlink(command);
		snprintf(command, sizeof(command), "%s/node-%d.log", lab.folder,
			 i);
		if (!getenv("LAB_KEEP"))
			unlink(command);
	}
	snprintf(command, sizeof(command), "%s/store.log", lab.folder);
	unlink(command);
	rmdir(lab.folder);
	_exit(result);
}

void lab_fail(const char *text)
{
	lab_end(LAB_NOT_RUN, text);
}

struct sockaddr_in lab_address(int number, enum port port)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	char ip[48];

	snprintf(ip, sizeof(ip), "%s.%d", lab.net, number);
	inet_pton(AF_INET, ip, &in.sin_addr);
	in.sin_port = htons((uint16_t)(lab.port + (int)port));
	return in;
}

int lab_listen(int number, enum port port)
{
	struct sockaddr_in in = lab_address(number, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (struct sockaddr *)&in, sizeof(in)) && !listen(fd, 512))
		return fd;
	close(fd);
	return -1;
}

static int network_is_free(void)
{
	for (int i = 1; i <= LAB_NODES; i++)
		for (int port = 0; port < PORTS; port++) {
			int fd = lab_listen(i, (enum port)port);

			if (fd < 0)
				return 0;
			close(fd);
		}
	return 1;
}

void lab_begin(const char *folder, const struct lab_deployment *deployment)
{
	char path[256];
	struct timespec now;

	lab.deployment = *deployment;
	lab.started_ms = lab_now_ms();
	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	lab.record = fopen(path, "w");
	if (!lab.record) {
		printf("not run: cannot write %s\n", path);
		exit(LAB_NOT_RUN);
	}
	strcpy(lab.folder, "/tmp/review-2-XXXXXX");
	if (!mkdtemp(lab.folder))
		lab_fail("no temporary folder");
	clock_gettime(CLOCK_REALTIME, &now);
	srand((unsigned)(now.tv_nsec ^ getpid()));
	for (int i = 0; i < 20; i++) {
		snprintf(lab.net, sizeof(lab.net), "127.%d.%d",
			 1 + rand() % 250, rand() % 250);
		lab.port = 12000 + rand() % 15000;
		if (network_is_free())
			return;
	}
	lab_fail("no free ports");
}

static pid_t start_process(const char *log, char *const *argv,
			   const char *settings)
{
	pid_t pid = fork();

	if (pid)
		return pid;
	/* Ends with this program, whatever ends that. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (!freopen(log, "a", stdout) || dup2(fileno(stdout), 2) < 0)
		_exit(127);
	if (settings)
		setenv("FESCUEHITCH_NODE_FILE", settings, 1);
	execv(argv[0], argv);
	_exit(127);
}

int lab_connect(int number, enum port port)
{
	struct sockaddr_in in = lab_address(number, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&in, sizeof(in)))
		return fd;
	close(fd);
	return -1;
}

/* Sends a request on a connection of its own; returns the status, or 0. */
int lab_request_once(int number, enum port port, const char *method,
		     const char *path, const char *body)
{
	char text[LAB_HEAD_BYTES];
	struct lab_answer answer = { 0 };
	int fd = lab_connect(number, port);

	if (fd < 0)
		return 0;
	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: lab\r\nContent-Type: "
		 "application/json\r\nContent-Length: %zu\r\n\r\n%s",
		 method, path, strlen(body), body);
	if (!lab_send(fd, text, strlen(text)))
		lab_read_answer(fd, lab_now_ms() + 1000, NULL, &answer);
	close(fd);
	return answer.status;
}

void lab_start_store(void)
{
	char log[96], address[48];
	char *argv[] = { "target/fescue-store-standin", address, NULL };

	snprintf(log, sizeof(log), "%s/store.log", lab.folder);
	snprintf(address, sizeof(address), "%s.%d:%d", lab.net,
		 LAB_STORE_NUMBER, lab.port);
	lab.store = start_process(log, argv, NULL);
	for (int i = 0; i < 100; i++) {
		if (lab_request_once(LAB_STORE_NUMBER, 0, "GET",
				     "/control/counters", ""))
			return;
		lab_sleep_ms(50);
	}
	lab_fail("the stand-in of the store does not answer");
}

void lab_encode_base64(const char *text, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijkl"
				     "mnopqrstuvwxyz0123456789+/";
	size_t size = strlen(text);

	for (size_t i = 0; i < size; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < size)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < size)
			bits |= (unsigned char)text[i + 2];
		*out++ = digits[bits >> 18];
		*out++ = digits[bits >> 12 & 63];
		*out++ = (char)(i + 1 < size ? digits[bits >> 6 & 63] : '=');
		*out++ = (char)(i + 2 < size ? digits[bits & 63] : '=');
	}
	*out = '\0';
}

void lab_put(const char *key, const char *value)
{
	static char base64[LAB_HEAD_BYTES], body[LAB_HEAD_BYTES];

	lab_encode_base64(value, base64);
	snprintf(body, sizeof(body),
		 "{\"expectedRevision\":[],\"puts\":[{\"key\":\"%s\","
		 "\"value\":\"%.6000s\",\"lease\":0}],\"deletes\":[]}",
		 key, base64);
	if (lab_request_once(LAB_STORE_NUMBER, 0, "POST", "/fescuehitch/kv-txn",
			     body) != 200)
		lab_fail("the stand-in of the store refuses a write");
	lab_note("operator: %s is written", key);
}

/* As deploy/settings.json.in has it. */
static void write_settings(const char *path, int node, const char *service,
			   const char *zone)
{
	const struct lab_deployment *d = &lab.deployment;
	FILE *out = fopen(path, "w");

	if (!out)
		lab_fail("cannot write the settings");
	fprintf(out,
		"{\"interface\": \"platform\", \"address\": \"%s.%d\",\n"
		"\"peer_port\": %d, \"operator_port\": %d,\n"
		"\"operator_address\": \"%s.%d\",\n"
		"\"callers\": \"%s.%d:%d\", \"announcements\": \"%s.%d:%d\",\n"
		"\"readiness\": \"%s.%d:%d\", \"caller_connections\": 2000,\n"
		"\"memory_mb\": %d, \"capacity\": %.1f,\n"
		"\"failure_domain\": \"%s\", \"service\": \"%s\",\n"
		"\"store\": \"%s.%d:%d\", \"distribution\": \"relay\",\n",
		lab.net, node, lab.port + PORT_PEERS, lab.port + PORTS - 1,
		lab.net, node, lab.net, node, lab.port + PORT_CALLERS, lab.net,
		node, lab.port + PORT_CONTROL, lab.net, node,
		lab.port + PORT_READY, d->memory_mb, d->link_mbps, zone,
		service, lab.net, LAB_STORE_NUMBER, lab.port);
	fprintf(out,
		"\"witness\": 0, \"floor\": \"prompt\",\n"
		"\"start_jitter_ms\": 100, \"announce_delay_ms\": 0,\n"
		"\"cross_domain_ms_per_kb\": 150, \"retry_burst\": 58, %s\n"
		"\"fetch_delay_ms\": 1000, \"dead_probe_periods\": 1,\n"
		"\"stop_serve_ms\": 1500, \"stop_min_ms\": 2500,\n"
		"\"stop_grace_s\": %d}\n",
		d->more_settings ? d->more_settings : "", d->grace_s);
	fclose(out);
}

void lab_start_node(int node, const char *service, const char *zone)
{
	char log[96], settings[96];
	char *argv[] = { "target/fescue-node", NULL };

	snprintf(log, sizeof(log), "%s/node-%d.log", lab.folder, node);
	snprintf(settings, sizeof(settings), "%s/node-%d.json", lab.folder,
		 node);
	write_settings(settings, node, service, zone);
	lab.nodes[node] = start_process(log, argv, settings);
	lab_note("platform: starts node %d", node);
}

void lab_signal_node(int node, int number)
{
	lab_note("platform: sends signal %d to node %d", number, node);
	kill(lab.nodes[node], number);
}

void lab_wait_node(int node)
{
	waitpid(lab.nodes[node], NULL, 0);
	lab.nodes[node] = 0;
	lab_note("node %d has ended", node);
}

int lab_node_is_ready(int node)
{
	return lab_request_once(node, PORT_READY, "GET", "/fescuehitch/readyz",
				"") == 200;
}

void lab_wait_ready(int nodes)
{
	for (int i = 1; i <= nodes; i++) {
		int tries = 200;

		while (tries-- && !lab_node_is_ready(i))
			lab_sleep_ms(50);
		if (tries < 0)
			lab_fail("a node does not become ready");
	}
}

void lab_format_address(int number, enum port port, char out[48])
{
	snprintf(out, 48, "%s.%d:%d", lab.net, number, lab.port + (int)port);
}
