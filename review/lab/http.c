/* Sockets, HTTP messages, clocks and the record. */
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static uint64_t clock_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t lab_now_ms(void)
{
	static _Atomic uint64_t start;
	uint64_t now = clock_ms(CLOCK_MONOTONIC), expected = 0;

	atomic_compare_exchange_strong(&start, &expected, now);
	return now - start;
}

uint64_t lab_wall_ms(void)
{
	return clock_ms(CLOCK_REALTIME);
}

void lab_sleep_ms(uint64_t ms)
{
	struct timespec time = { (time_t)(ms / 1000),
				 (long)(ms % 1000) * 1000000 };

	while (nanosleep(&time, &time) && errno == EINTR)
		continue;
}

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

void lab_record_open(const char *path)
{
	record = fopen(path, "w");
}

void lab_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	if (record) {
		fprintf(record, "%7.3f ", (double)lab_now_ms() / 1000);
		va_start(args, format);
		vfprintf(record, format, args);
		va_end(args);
		fputc('\n', record);
		fflush(record);
	}
	pthread_mutex_unlock(&record_lock);
}

static struct sockaddr_in to_address(const char *ip, int port)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &in.sin_addr);
	return in;
}

static int open_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	return fd;
}

int lab_listen(const char *ip, int port)
{
	struct sockaddr_in in = to_address(ip, port);
	int fd = open_socket();

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) || listen(fd, 256)) {
		close(fd);
		return -1;
	}
	return fd;
}

int lab_connect(const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in in = to_address(ip, port);
	int fd = open_socket(), on = 1, error = 0;
	socklen_t size = sizeof(error);
	struct pollfd p = { .fd = fd, .events = POLLOUT };

	if (fd < 0)
		return -1;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (struct sockaddr *)&in, sizeof(in)) &&
	    (errno != EINPROGRESS || poll(&p, 1, timeout_ms) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) || error)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

int lab_write(int fd, const char *bytes, size_t size)
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

void lab_reset(int fd)
{
	struct linger linger = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

int lab_header(const struct lab_message *m, const char *name, char *out,
	       size_t size)
{
	const char *line = strstr(m->bytes, "\r\n");
	size_t len = strlen(name), value;

	out[0] = '\0';
	while (line && line + 2 < m->body) {
		line += 2;
		if (!strncasecmp(line, name, len) && line[len] == ':') {
			line += len + 1;
			line += strspn(line, " ");
			value = strcspn(line, "\r\n");
			if (value >= size)
				value = size - 1;
			memcpy(out, line, value);
			out[value] = '\0';
			return 1;
		}
		line = strstr(line, "\r\n");
	}
	return 0;
}

/* Returns 1 if the message is complete. */
static int is_complete(struct lab_message *m, size_t used)
{
	char *end, text[LAB_TEXT];

	m->bytes[used] = '\0';
	end = strstr(m->bytes, "\r\n\r\n");
	if (!end)
		return 0;
	m->body = end + 4;
	lab_header(m, "content-length", text, sizeof(text));
	m->body_size = strtoul(text, NULL, 10);
	return used >= (size_t)(m->body - m->bytes) + m->body_size;
}

int lab_read_message(int fd, struct lab_message *m, int timeout_ms)
{
	uint64_t deadline = lab_now_ms() + (uint64_t)timeout_ms;
	size_t used = 0;

	m->body = m->bytes;
	m->body_size = 0;
	while (!is_complete(m, used)) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		uint64_t now = lab_now_ms();
		ssize_t n;

		if (now >= deadline || used >= sizeof(m->bytes) - 1 ||
		    poll(&p, 1, (int)(deadline - now)) != 1)
			return -1;
		n = recv(fd, m->bytes + used, sizeof(m->bytes) - 1 - used, 0);
		if (n <= 0)
			return -1;
		used += (size_t)n;
	}
	return 0;
}
