/*
 * Stand-in of an instance. It follows the platform's pages: heartbeats, target
 * ids, refusals that say "not executed", and requests that crash it. After a
 * crash it is back with a new id.
 */
#include "lab.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEARTBEAT_MS 870
#define BACK_AFTER_MS 2500
#define CONNECTIONS_MAX 256
#define POISON_PREFIX "/poison/"

struct lab_instance {
	struct lab *lab;
	struct lab_host *host;
	pthread_t server, heart;
	pthread_mutex_t lock;
	int listener; /* -1: down */
	int connections[CONNECTIONS_MAX]; /* 0: free */
	char id[LAB_TEXT];
	uint64_t born_ms, back_at_ms;
	int incarnation, sequence;
	atomic_int shed_percent, work_ms, stopping;
	atomic_int unannounced; /* no heartbeat since its start */
	atomic_int leaving; /* sends no heartbeats any more */
};

struct connection {
	struct lab_instance *instance;
	int slot, fd, incarnation;
	unsigned int seed;
};

/* Expects the lock. */
static void open_listener(struct lab_instance *in)
{
	in->listener = lab_listen(in->host->ip, LAB_INSTANCE);
	if (in->listener < 0)
		return;
	in->born_ms = lab_wall_ms();
	in->sequence = 0;
	in->unannounced = 1;
	in->incarnation++;
	snprintf(in->id, sizeof(in->id), "i-%d-%d", in->host->number,
		 in->incarnation);
	lab_record("instance %s of %s starts at host %d", in->id,
		   in->host->service, in->host->number);
}

/* The process ends: nothing listens, all connections are closed. */
static void crash(struct lab_instance *in)
{
	pthread_mutex_lock(&in->lock);
	if (in->listener >= 0)
		close(in->listener);
	in->listener = -1;
	in->back_at_ms = lab_now_ms() + BACK_AFTER_MS;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (in->connections[i])
			shutdown(in->connections[i], SHUT_RDWR);
	pthread_mutex_unlock(&in->lock);
}

static int is_current(struct lab_instance *in, int incarnation)
{
	int current;

	pthread_mutex_lock(&in->lock);
	current = in->listener >= 0 && in->incarnation == incarnation;
	pthread_mutex_unlock(&in->lock);
	return current;
}

static int reply(int fd, const char *status, const char *headers,
		 const char *body)
{
	char out[1024];
	int n = snprintf(out, sizeof(out),
			 "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s",
			 status, headers, strlen(body), body);

	return lab_write(fd, out, (size_t)n);
}

static void observe(struct lab_instance *in, const char *id, const char *path,
		    enum lab_fate fate)
{
	static const char *const names[] = { "runs", "refuses", "crashes on" };

	lab_record("instance at host %d %s %s (id %s)", in->host->number,
		   names[fate], path, id);
	if (in->lab->observer.arrived)
		in->lab->observer.arrived(in->lab->observer.data,
					  in->host->number, id, path, fate);
}

/* Runs one request; returns 0 if the connection goes on. */
static int serve(struct connection *c, const struct lab_message *m)
{
	struct lab_instance *in = c->instance;
	char id[LAB_TEXT], target[LAB_TEXT], own[LAB_TEXT], path[256] = "";
	char headers[256], body[256];

	sscanf(m->bytes, "%*15s %255s", path);
	lab_header(m, "fescuehitch-request-id", id, sizeof(id));
	lab_header(m, "fescuehitch-target-instance", target, sizeof(target));
	pthread_mutex_lock(&in->lock);
	snprintf(own, sizeof(own), "%s", in->id);
	pthread_mutex_unlock(&in->lock);
	snprintf(
		headers, sizeof(headers),
		"Fescuehitch-Request-Id: %s\r\nFescuehitch-Instance-Id: %s\r\n",
		id, own);
	if (*target && strcmp(target, own)) {
		observe(in, id, path, LAB_REFUSED);
		return reply(c->fd, "421 Misdirected Request", headers, "");
	}
	if ((int)(rand_r(&c->seed) % 100) < in->shed_percent) {
		strncat(headers, "Fescuehitch-Not-Executed: 1\r\n",
			sizeof(headers) - strlen(headers) - 1);
		observe(in, id, path, LAB_REFUSED);
		return reply(c->fd, "503 Service Unavailable", headers, "");
	}
	if (!strncmp(path, POISON_PREFIX, strlen(POISON_PREFIX))) {
		observe(in, id, path, LAB_CRASHED);
		crash(in);
		return -1;
	}
	observe(in, id, path, LAB_RAN);
	lab_sleep_ms((uint64_t)in->work_ms);
	if (!is_current(in, c->incarnation))
		return -1;
	strncat(headers, "Fescuehitch-Response-Signature: s\r\n",
		sizeof(headers) - strlen(headers) - 1);
	snprintf(body, sizeof(body), "%s %s %s\n", own, in->host->service, id);
	return reply(c->fd, "200 OK", headers, body);
}

static void *run_connection(void *data)
{
	struct connection *c = data;
	struct lab_instance *in = c->instance;
	struct lab_message *m = malloc(sizeof(*m));

	while (m && !lab_read_message(c->fd, m, 60000))
		if (serve(c, m))
			break;
	pthread_mutex_lock(&in->lock);
	in->connections[c->slot] = 0;
	close(c->fd);
	pthread_mutex_unlock(&in->lock);
	free(m);
	free(c);
	return NULL;
}

/* Expects the lock. */
static void start_connection(struct lab_instance *in, int fd)
{
	struct connection *c = calloc(1, sizeof(*c));
	pthread_t thread;

	for (int i = 0; c && i < CONNECTIONS_MAX; i++) {
		if (in->connections[i])
			continue;
		in->connections[i] = fd;
		*c = (struct connection){
			.instance = in,
			.slot = i,
			.fd = fd,
			.incarnation = in->incarnation,
			.seed = (unsigned int)(lab_wall_ms() + (uint64_t)fd),
		};
		pthread_create(&thread, NULL, run_connection, c);
		pthread_detach(thread);
		return;
	}
	free(c);
	close(fd);
}

static void *run_server(void *data)
{
	struct lab_instance *in = data;

	while (!in->stopping) {
		struct pollfd p = { .events = POLLIN };
		int fd;

		pthread_mutex_lock(&in->lock);
		if (in->listener < 0 && lab_now_ms() >= in->back_at_ms)
			open_listener(in);
		p.fd = in->listener;
		pthread_mutex_unlock(&in->lock);
		if (p.fd < 0 || poll(&p, 1, 20) != 1) {
			lab_sleep_ms(1);
			continue;
		}
		pthread_mutex_lock(&in->lock);
		if (in->listener == p.fd) {
			fd = accept(p.fd, NULL, NULL);
			if (fd >= 0)
				start_connection(in, fd);
		}
		pthread_mutex_unlock(&in->lock);
	}
	return NULL;
}

static void send_heartbeat(struct lab_instance *in)
{
	char body[512], out[1024], id[LAB_TEXT];
	struct lab_message *answer = malloc(sizeof(*answer));
	int fd, n;

	pthread_mutex_lock(&in->lock);
	snprintf(id, sizeof(id), "%s", in->id);
	n = snprintf(body, sizeof(body),
		     "{\"address\":\"%s:%d\",\"born\":%llu,\"info\":{"
		     "\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
		     "\"slots\":%d},\"status\":{\"state\":\"ready\","
		     "\"sequence\":%d,\"warmupLeftMs\":0}}",
		     in->host->ip, LAB_INSTANCE,
		     (unsigned long long)in->born_ms, in->host->service,
		     in->host->zone, in->host->slots, ++in->sequence);
	if (in->listener < 0)
		n = 0;
	pthread_mutex_unlock(&in->lock);
	fd = n ? lab_connect(in->host->ip, LAB_CONTROL, 1000) : -1;
	if (fd >= 0 && answer) {
		n = snprintf(out, sizeof(out),
			     "PUT /fescuehitch/instances/%s HTTP/1.1\r\n"
			     "Host: node\r\nContent-Type: application/json\r\n"
			     "Connection: close\r\nContent-Length: %d\r\n\r\n"
			     "%s",
			     id, n, body);
		if (!lab_write(fd, out, (size_t)n))
			lab_read_message(fd, answer, 1000);
	}
	if (fd >= 0)
		close(fd);
	free(answer);
}

static void *run_heart(void *data)
{
	struct lab_instance *in = data;

	uint64_t next_ms = 0;

	while (!in->stopping) {
		if (!in->leaving &&
		    (in->unannounced || lab_now_ms() >= next_ms)) {
			in->unannounced = 0;
			next_ms = lab_now_ms() + HEARTBEAT_MS;
			send_heartbeat(in);
		}
		lab_sleep_ms(2);
	}
	return NULL;
}

int lab_instance_leave(struct lab_instance *in)
{
	struct lab_message *answer = malloc(sizeof(*answer));
	char out[256];
	int fd = lab_connect(in->host->ip, LAB_CONTROL, 1000), error = -1, n;

	in->leaving = 1;
	n = snprintf(out, sizeof(out),
		     "DELETE /fescuehitch/instances/%s HTTP/1.1\r\n"
		     "Host: node\r\nConnection: close\r\n\r\n",
		     in->id);
	if (fd >= 0 && answer && !lab_write(fd, out, (size_t)n) &&
	    !lab_read_message(fd, answer, 1000))
		error = !strstr(answer->bytes, " 200 ");
	if (fd >= 0)
		close(fd);
	free(answer);
	lab_record("instance %s sends DELETE: %s", in->id,
		   error ? "no acknowledgement" : "acknowledged");
	return error;
}

void lab_instance_late_heartbeat(struct lab_instance *in)
{
	lab_record("a heartbeat of %s, sent before it left, arrives late",
		   in->id);
	send_heartbeat(in);
}

struct lab_instance *lab_instance_start(struct lab *lab, struct lab_host *host)
{
	struct lab_instance *in = calloc(1, sizeof(*in));

	if (!in)
		return NULL;
	in->lab = lab;
	in->host = host;
	in->work_ms = 20;
	in->listener = -1;
	pthread_mutex_init(&in->lock, NULL);
	pthread_mutex_lock(&in->lock);
	open_listener(in);
	pthread_mutex_unlock(&in->lock);
	pthread_create(&in->server, NULL, run_server, in);
	pthread_create(&in->heart, NULL, run_heart, in);
	return in;
}

void lab_instance_stop(struct lab_instance *in)
{
	in->stopping = 1;
	pthread_join(in->server, NULL);
	pthread_join(in->heart, NULL);
}

void lab_instance_set_shed(struct lab_instance *in, int percent)
{
	in->shed_percent = percent;
}

void lab_instance_set_work(struct lab_instance *in, int ms)
{
	in->work_ms = ms;
}

int lab_instance_is_up(struct lab_instance *in)
{
	int up;

	pthread_mutex_lock(&in->lock);
	up = in->listener >= 0;
	pthread_mutex_unlock(&in->lock);
	return up;
}
