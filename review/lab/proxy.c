/*
 * Proxy between the nodes and the store. While it is silent it takes what
 * comes and answers nothing; a connection on which it has swallowed anything
 * returns nothing further, also later.
 */
#include "lab.h"

#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

struct pair {
	struct lab_proxy *proxy;
	int fds[2]; /* node, store */
	int dead; /* something was swallowed */
};

/* Passes on what is readable at one end; returns 0 if the pair goes on. */
static int pass(struct pair *p, int from)
{
	char bytes[16384];
	ssize_t n = recv(p->fds[from], bytes, sizeof(bytes), 0);

	if (p->proxy->silent)
		p->dead = 1;
	if (p->dead)
		return n <= 0 && from == 0 ? -1 : 0;
	if (n <= 0)
		return -1;
	return lab_write(p->fds[!from], bytes, (size_t)n);
}

static void *run_pair(void *data)
{
	struct pair *p = data;
	int ended = 0;

	while (!ended) {
		struct pollfd polled[2] = {
			{ .fd = p->fds[0], .events = POLLIN },
			{ .fd = p->dead ? -1 : p->fds[1], .events = POLLIN },
		};

		if (poll(polled, 2, 1000) < 0)
			break;
		for (int i = 0; i < 2 && !ended; i++)
			if (polled[i].revents)
				ended = pass(p, i) != 0;
	}
	close(p->fds[0]);
	close(p->fds[1]);
	free(p);
	return NULL;
}

static void *run_proxy(void *data)
{
	struct lab_proxy *proxy = data;

	for (;;) {
		struct pair *p = calloc(1, sizeof(*p));
		pthread_t thread;

		if (!p)
			return NULL;
		p->proxy = proxy;
		p->fds[0] = accept(proxy->listener, NULL, NULL);
		p->fds[1] = lab_connect(proxy->ip, proxy->target_port, 1000);
		if (p->fds[0] < 0 || p->fds[1] < 0) {
			close(p->fds[0]);
			free(p);
			continue;
		}
		pthread_create(&thread, NULL, run_pair, p);
		pthread_detach(thread);
	}
}

int lab_proxy_start(struct lab_proxy *proxy, const char *ip, int port,
		    int target_port)
{
	for (size_t i = 0; i < sizeof(proxy->ip); i++) {
		proxy->ip[i] = ip[i];
		if (!ip[i])
			break;
	}
	proxy->port = port;
	proxy->target_port = target_port;
	proxy->listener = lab_listen(ip, port);
	if (proxy->listener < 0)
		return -1;
	return pthread_create(&proxy->thread, NULL, run_proxy, proxy);
}
