/*
 * Structured log of the process: one JSON object per line on standard output,
 * written through log4c. Every line has "t" (wall clock, Unix seconds), "host"
 * and "event".
 *
 * Lines are collected in a bounded buffer and written without blocking. A line
 * is dropped when its kind exceeds its rate limit or when the buffer is full
 * because the reader is slow. Dropped lines are counted per kind and reported
 * by "left_out" events. Each kind has its own rate limit, so that a flood of
 * ordinary lines does not displace failures.
 */
#ifndef FESCUE_LOG_H
#define FESCUE_LOG_H

#include <stdarg.h>
#include <stdint.h>

enum log_kind {
	LOG_STATE, /* the process, its cluster view or its config changed */
	LOG_FAILURE, /* a request was refused, canceled or failed */
	LOG_RETRY, /* a failed attempt is retried or given up */
	LOG_DECISION, /* ordinary routing and admission of a request */
	LOG_KIND_COUNT
};

/* Size of a log_quote() buffer: text, quotes and terminating NUL. */
#define LOG_QUOTED_BYTES 160

/*
 * Open the log at start-up and make standard output non-blocking. Lines logged
 * before log_open() or after log_close() are dropped without being counted.
 */
void log_open(const char *program);

/* Write as much of the buffer as does not block, and close the log. */
void log_close(void);

/* Set the "host" member of all later lines. */
void log_set_host(const char *host);

/*
 * Returns whether a line of the kind may be written now. If not, and the log is
 * open, counts it as dropped, so call this once per line and skip the line.
 */
int log_allows(enum log_kind kind);

/*
 * Log one line if its kind is within its rate limit. members is a printf format
 * of further JSON members without braces, or "". Pass external text through
 * log_quote(). If the members are too long, an "error" member replaces them.
 */
void log_event(enum log_kind kind, const char *event, const char *members, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * va_list form of log_event(). common is put before members and is already
 * formatted, with a trailing comma if members follow.
 */
void log_event_va(enum log_kind kind, const char *event, const char *common,
		  const char *members, va_list args)
	__attribute__((format(printf, 4, 0)));

/*
 * Log a change of state, or a failure that needs an operator, as free text in
 * the "text" member. Both are subject to the rate limit of LOG_STATE.
 */
void log_state(const char *format, ...) __attribute__((format(printf, 1, 2)));
void log_error(const char *format, ...) __attribute__((format(printf, 1, 2)));

/*
 * Write text as a quoted JSON string, truncated to the buffer. NULL becomes "".
 * Returns out.
 */
const char *log_quote(const char *text, char out[LOG_QUOTED_BYTES]);

/*
 * Write the buffered lines and, once a second, reset the rate limits and report
 * dropped lines. now_ms is the time of the caller's monotonic clock. Call this
 * regularly.
 */
void log_flush(uint64_t now_ms);

#endif
