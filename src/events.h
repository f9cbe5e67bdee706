/*
 * Event record of one process for fescue-check: one JSON object a line.
 */
#ifndef FESCUE_EVENTS_H
#define FESCUE_EVENTS_H

#include <stdint.h>

struct event_log;

/*
 * source names the process in each line. path NULL gives a log that drops
 * everything. Returns 0 or FESCUE_EIO.
 */
int event_log_open(const char *path, const char *source,
		   struct event_log **out);
void event_log_close(struct event_log *log);

/*
 * Write {"t_us":<clock>,"source":"<source>","type":"<type>",<fields>}; fields is JSON
 * without braces, built by the format, or "".
 */
void event_log_write(struct event_log *log, const char *type,
		     const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Wall clock in microseconds, comparable between processes of one host. */
uint64_t wall_clock_us(void);

/* Milliseconds of a clock that only rises and counts suspensions. */
uint64_t boot_clock_ms(void);

/* Microseconds of a clock that only rises, for durations. */
uint64_t monotonic_clock_us(void);

#endif
