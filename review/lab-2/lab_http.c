#include "lab_state.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1500

int lab_send(int fd, const char *bytes, size_t size)
{
	while (size) {
		ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		bytes += n;
		size -= (size_t)n;
	}
	return 0;
}

void lab_header(const char *head, const char *name, char *out, size_t size)
{
	size_t length = strlen(name), n = 0;

	for (const char *line = strstr(head, "\r\n"); line;
	     line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, length) || line[length] != ':')
			continue;
		line += length + 1;
		while (*line == ' ')
			line++;
		while (line[n] && line[n] != '\r' && n + 1 < size) {
			out[n] = line[n];
			n++;
		}
		break;
	}
	out[n] = '\0';
}

/* Reads up to the end of a head; returns the bytes of the body read, or -1. */
static ssize_t read_head(int fd, int64_t deadline_ms, char *head, size_t *size)
{
	*size = 0;
	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		int64_t left_ms = deadline_ms - lab_now_ms();
		ssize_t n;
		char *end;

		if (left_ms <= 0 || poll(&p, 1, (int)left_ms) <= 0)
			return -1;
		n = recv(fd, head + *size, LAB_HEAD_BYTES - 1 - *size, 0);
		if (n <= 0)
			return -1;
		*size += (size_t)n;
		head[*size] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (end)
			return (ssize_t)*size - (end + 4 - head);
		if (*size == LAB_HEAD_BYTES - 1)
			return -1;
	}
}

static size_t number_of(const char *head, const char *name)
{
	char text[32];

	lab_header(head, name, text, sizeof(text));
	return strtoul(text, NULL, 10);
}

void lab_read_answer(int fd, int64_t deadline_ms, void (*pace)(size_t bytes),
		     struct lab_answer *answer)
{
	char buffer[4096], text[64];
	size_t size, length;
	ssize_t n;

	memset(answer, 0, sizeof(*answer));
	n = read_head(fd, deadline_ms, answer->head, &size);
	if (n < 0)
		return;
	answer->status =
		(int)strtol(answer->head + strlen("HTTP/1.1 "), NULL, 10);
	lab_header(answer->head, "Fescuehitch-Response-Signature", text,
		   sizeof(text));
	answer->is_signed = text[0] != '\0';
	length = number_of(answer->head, "Content-Length");
	answer->body_size = (size_t)n;
	while (answer->body_size < length) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		int64_t left_ms = deadline_ms - lab_now_ms();

		if (left_ms <= 0 || poll(&p, 1, (int)left_ms) <= 0)
			return;
		if (pace)
			pace(sizeof(buffer));
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			return;
		answer->body_size += (size_t)n;
	}
	answer->is_whole = 1;
}

int lab_connect_client(int node)
{
	struct sockaddr_in in = lab_address(node, PORT_CALLERS);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	/* The segments and the small window of a link between machines. */
	int segment = 1448, window = 16384;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	if (!connect(fd, (struct sockaddr *)&in, sizeof(in)))
		return fd;
	close(fd);
	return -1;
}

void lab_instance_init(struct lab_instance *instance, int node,
		       const char *service, lab_handler handler)
{
	*instance = (struct lab_instance){ .node = node,
					   .slots = 18,
					   .handler = handler };
	snprintf(instance->id, sizeof(instance->id), "i-%d", node);
	snprintf(instance->service, sizeof(instance->service), "%s", service);
}

/* Fills in the body of a heartbeat; born: a member, or nothing. */
static void format_heartbeat(const struct lab_instance *instance,
			     const char *born, const char *state,
			     long long sequence, char out[512])
{
	char address[48];

	lab_format_address(instance->node, PORT_SERVER, address);
	snprintf(out, 512,
		 "{\"address\":\"%s\",%s\"info\":{\"service\":\"%s\","
		 "\"version\":\"v1\",\"zone\":\"z\",\"slots\":%d},\"status\":"
		 "{\"state\":\"%s\",\"sequence\":%lld,\"warmupLeftMs\":0}}",
		 address, born, instance->service, instance->slots, state,
		 sequence);
}

int lab_announce(struct lab_instance *instance, const char *state)
{
	char path[128], body[512] = "", born[48];
	int status;

	snprintf(path, sizeof(path), "/fescuehitch/instances/%s", instance->id);
	snprintf(born, sizeof(born), "\"born\":%lld,",
		 (long long)instance->born);
	if (state)
		format_heartbeat(instance, born, state,
				 __atomic_add_fetch(&instance->sequence, 1,
						    __ATOMIC_SEQ_CST),
				 body);
	status = lab_request_once(instance->node, PORT_CONTROL,
				  state ? "PUT" : "DELETE", path, body);
	if (!state || strcmp(state, "ready") != 0)
		lab_note("instance %s: says %s, gets %d", instance->id,
			 state ? state : "DELETE", status);
	return status;
}

int lab_announce_odd(const struct lab_instance *instance, long long sequence)
{
	char path[128], body[512];
	int status;

	snprintf(path, sizeof(path), "/fescuehitch/instances/%s", instance->id);
	format_heartbeat(instance, "", "ready", sequence, body);
	status = lab_request_once(instance->node, PORT_CONTROL, "PUT", path,
				  body);
	lab_note("another writer: PUT %s at node %d: %s: gets %d", path,
		 instance->node, body, status);
	return status;
}

static void *announce_always(void *data)
{
	struct lab_instance *instance = data;

	while (!instance->stopped) {
		int status = lab_announce(
			instance, instance->is_draining ? "draining" : "ready");

		lab_sleep_ms(status == 200 ? HEARTBEAT_MS : 100);
	}
	return NULL;
}

int lab_reply(const struct lab_request *request, int status,
	      const char *headers, const char *body, size_t size)
{
	char head[1024];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Answer\r\nContent-Length: %zu\r\n"
		 "Fescuehitch-Request-Id: %s\r\n"
		 "Fescuehitch-Response-Signature: lab.%s.%d\r\n%s\r\n",
		 status, size, request->id, request->id, status, headers);
	return lab_send(request->fd, head, strlen(head)) ||
	       lab_send(request->fd, body, size);
}

struct server {
	int number;
	int listener;
	lab_handler handler;
};

struct connection {
	const struct server *server;
	int fd;
};

static int read_request(int fd, struct lab_request *r)
{
	size_t size, length;
	ssize_t n = read_head(fd, lab_now_ms() + 60000, r->head, &size);

	if (n < 0 || sscanf(r->head, "%15s %255s", r->method, r->path) != 2)
		return 0;
	lab_header(r->head, "Fescuehitch-Request-Id", r->id, sizeof(r->id));
	length = number_of(r->head, "Content-Length");
	r->body = malloc(length + 1);
	if (!r->body || (size_t)n > length)
		return 0;
	memcpy(r->body, r->head + size - n, (size_t)n);
	r->body_size = (size_t)n;
	while (r->body_size < length) {
		n = recv(fd, r->body + r->body_size, length - r->body_size, 0);
		if (n <= 0)
			return 0;
		r->body_size += (size_t)n;
	}
	return 1;
}

static void *serve_connection(void *data)
{
	struct connection c = *(struct connection *)data;
	struct lab_request request = { .fd = c.fd };
	int goes_on;

	free(data);
	request.node = c.server->number;
	do {
		request.body = NULL;
		goes_on = read_request(c.fd, &request) &&
			  c.server->handler(&request);
		free(request.body);
	} while (goes_on);
	close(c.fd);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *data)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, data))
		lab_fail("no thread");
	pthread_detach(thread);
}

static void *accept_always(void *data)
{
	const struct server *server = data;

	for (;;) {
		int fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
		int on = 1;
		struct connection *c = malloc(sizeof(*c));

		if (fd < 0 || !c) {
			free(c);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c->server = server;
		c->fd = fd;
		start_thread(serve_connection, c);
	}
	return NULL;
}

void lab_serve(int number, enum port port, lab_handler handler)
{
	struct server *server = malloc(sizeof(*server));

	if (!server)
		lab_fail("no memory");
	server->number = number;
	server->handler = handler;
	server->listener = lab_listen(number, port);
	if (server->listener < 0)
		lab_fail("a stand-in cannot listen");
	start_thread(accept_always, server);
}

void lab_start_instance(struct lab_instance *instance)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	instance->born = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	lab_serve(instance->node, PORT_SERVER, instance->handler);
	start_thread(announce_always, instance);
}
