#include "log.h"

#include "events.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <limits.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines per second. Under load, ordinary requests are only sampled. */
#define STATE_LINES_PER_S 200
#define FAILURE_LINES_PER_S 400
#define RETRY_LINES_PER_S 60
#define DECISION_LINES_PER_S 20
#define BUFFER_MAX_BYTES ((size_t)256 << 10)
#define WRITE_THRESHOLD_BYTES ((size_t)16 << 10)
#define LINE_MAX_BYTES 1024
#define RATE_PERIOD_MS 1000

struct rate_limit {
	const char *name;
	uint32_t lines_per_period;
	uint32_t remaining; /* in the current period */
	uint64_t dropped; /* since the last "left_out" event */
};

static struct rate_limit rate_limits[LOG_KIND_COUNT] = {
	[LOG_STATE] = { "state", STATE_LINES_PER_S, STATE_LINES_PER_S, 0 },
	[LOG_FAILURE] = { "failure", FAILURE_LINES_PER_S, FAILURE_LINES_PER_S,
			  0 },
	[LOG_RETRY] = { "repeat", RETRY_LINES_PER_S, RETRY_LINES_PER_S, 0 },
	[LOG_DECISION] = { "decision", DECISION_LINES_PER_S,
			   DECISION_LINES_PER_S, 0 },
};
static log4c_category_t *category;
static GString *buffer;
static char host_name[64];
static uint64_t rate_period_end_ms;

/*
 * Size of the next write: whole lines up to PIPE_BUF bytes, which a pipe writes
 * atomically. Avoids torn lines when a non-blocking pipe is nearly full.
 */
static size_t next_write_size(size_t from)
{
	const char *begin = buffer->str + from;
	size_t remaining = buffer->len - from;
	const char *end;

	if (remaining <= PIPE_BUF)
		return remaining;
	end = memrchr(begin, '\n', PIPE_BUF);
	return end ? (size_t)(end - begin) + 1 : PIPE_BUF;
}

/* Data that would block stays in the buffer. */
static void write_buffer(void)
{
	size_t done = 0;

	while (done < buffer->len) {
		ssize_t n = write(STDOUT_FILENO, buffer->str + done,
				  next_write_size(done));

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	g_string_erase(buffer, 0, (gssize)done);
}

static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	(void)appender;
	g_string_append(buffer, event->evt_msg);
	g_string_append_c(buffer, '\n');
	return 0;
}

static const log4c_appender_type_t appender_type = { "fescue-buffer", NULL,
						     append_line, NULL };

void log_open(const char *program)
{
	log4c_appender_t *appender;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	/* log4c cannot be initialized twice, so it stays open. */
	if (!category && log4c_init())
		return;
	/* A blocked reader must not block the process. */
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffer = g_string_new(NULL);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get(appender_type.name);
	log4c_appender_set_type(appender, &appender_type);
	category = log4c_category_get(program);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
}

void log_close(void)
{
	if (!buffer)
		return;
	write_buffer();
	g_string_free(buffer, TRUE);
	buffer = NULL;
}

void log_set_host(const char *host)
{
	g_strlcpy(host_name, host, sizeof(host_name));
}

const char *log_quote(const char *text, char out[LOG_QUOTED_BYTES])
{
	size_t n = 0;

	out[n++] = '"';
	/* Leave room for the longest escape (6), the quote and the NUL. */
	for (const char *c = text ? text : ""; *c && n < LOG_QUOTED_BYTES - 8;
	     c++) {
		unsigned char byte = (unsigned char)*c;

		if (byte == '"' || byte == '\\') {
			out[n++] = '\\';
			out[n++] = *c;
		} else if (byte < ' ' || byte > '~') {
			n += (size_t)g_snprintf(out + n, 7, "\\u%04x", byte);
		} else {
			out[n++] = *c;
		}
	}
	out[n++] = '"';
	out[n] = '\0';
	return out;
}

int log_allows(enum log_kind kind)
{
	struct rate_limit *limit = &rate_limits[kind];

	if (!buffer)
		return 0;
	if (limit->remaining && buffer->len < BUFFER_MAX_BYTES)
		return 1;
	limit->dropped++;
	return 0;
}

static int consume_rate(enum log_kind kind)
{
	if (!log_allows(kind))
		return 0;
	rate_limits[kind].remaining--;
	return 1;
}

static void write_line(int priority, const char *event, const char *members)
{
	uint64_t us = wall_clock_us();

	log4c_category_log(category, priority,
			   "{\"t\":%" PRIu64 ".%06" PRIu64
			   ",\"host\":\"%s\",\"event\":\"%s\"%s%s}",
			   us / 1000000, us % 1000000, host_name, event,
			   *members ? "," : "", members);
	if (buffer->len >= WRITE_THRESHOLD_BYTES)
		write_buffer();
}

void log_event_va(enum log_kind kind, const char *event, const char *common,
		  const char *members, va_list args)
{
	char text[LINE_MAX_BYTES];
	gsize n;

	if (!consume_rate(kind))
		return;
	n = g_strlcpy(text, common, sizeof(text));
	if (n >= sizeof(text) ||
	    g_vsnprintf(text + n, sizeof(text) - n, members, args) >=
		    (gint)(sizeof(text) - n))
		g_strlcpy(text, "\"error\":\"the line is too long\"",
			  sizeof(text));
	write_line(LOG4C_PRIORITY_INFO, event, text);
}

void log_event(enum log_kind kind, const char *event, const char *members, ...)
{
	va_list args;

	va_start(args, members);
	log_event_va(kind, event, "", members, args);
	va_end(args);
}

static void log_text(int priority, const char *event, const char *format,
		     va_list args)
{
	char text[LINE_MAX_BYTES / 2], quoted[LINE_MAX_BYTES - 16];
	char members[LINE_MAX_BYTES];
	size_t n = 0;

	if (!consume_rate(LOG_STATE))
		return;
	g_vsnprintf(text, sizeof(text), format, args);
	/* Escape quotes and backslashes; replace non-printable bytes. */
	for (const char *c = text; *c && n < sizeof(quoted) - 3; c++) {
		if (*c == '"' || *c == '\\')
			quoted[n++] = '\\';
		quoted[n++] = (char)(g_ascii_isprint(*c) ? *c : '?');
	}
	quoted[n] = '\0';
	g_snprintf(members, sizeof(members), "\"text\":\"%s\"", quoted);
	write_line(priority, event, members);
}

void log_state(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_text(LOG4C_PRIORITY_INFO, "state", format, args);
	va_end(args);
}

void log_error(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_text(LOG4C_PRIORITY_ERROR, "error", format, args);
	va_end(args);
}

static void reset_rate_limits(void)
{
	char members[96];

	for (int i = 0; i < LOG_KIND_COUNT; i++) {
		struct rate_limit *limit = &rate_limits[i];

		limit->remaining = limit->lines_per_period;
		if (!limit->dropped || buffer->len >= BUFFER_MAX_BYTES)
			continue;
		g_snprintf(members, sizeof(members),
			   "\"kind\":\"%s\",\"lines\":%" PRIu64, limit->name,
			   limit->dropped);
		write_line(LOG4C_PRIORITY_INFO, "left_out", members);
		limit->dropped = 0;
	}
}

void log_flush(uint64_t now_ms)
{
	if (!buffer)
		return;
	if (now_ms >= rate_period_end_ms) {
		rate_period_end_ms = now_ms + RATE_PERIOD_MS;
		reset_rate_limits();
	}
	if (buffer->len)
		write_buffer();
}
