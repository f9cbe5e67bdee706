/*
 * Event log of one process, which fescue-check reads: one JSON object per line.
 * Also the clocks that the programs use.
 */
#ifndef FESCUE_EVENTS_H
#define FESCUE_EVENTS_H

#include <stdint.h>

struct event_log;

/*
 * Open the event log at path and append to it. source names the process in each
 * line and is copied. With path NULL the log drops every event. Returns 0 or
 * FESCUE_EIO. *out is set in both cases; release it with event_log_close().
 */
int event_log_open(const char *path, const char *source,
		   struct event_log **out);
/* Close and free the log; does nothing for NULL. */
void event_log_close(struct event_log *log);

/*
 * Write one line:
 * {"t_us":<wall clock>,"source":"<source>","type":"<type>",<members>}
 * members are JSON members without braces, formatted as by printf. An empty
 * format adds none. Texts are not escaped.
 */
void event_log_write(struct event_log *log, const char *type,
		     const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Wall clock in microseconds, comparable between the processes of a host. */
uint64_t wall_clock_us(void);

/* Monotonic clock in milliseconds, including time the host is suspended. */
uint64_t boot_clock_ms(void);

/* Monotonic clock in microseconds, for durations. */
uint64_t monotonic_clock_us(void);

#endif
