/*
 * Judges which running calls the local backend server will not answer. A backend
 * server that cannot queue a request may never answer it, nor any later request
 * on that connection.
 *
 * A run is judged silent only if its call is idempotent and a repeat at another
 * host can still end before the deadline. The evidence is
 *
 * - its age, against the times in which calls of its kind were answered here: at
 *   least five times their mean, their mean and eight times their mean deviation,
 *   and one and a half times the longest lately;
 * - witnesses: calls of its kind that started later, on other connections, and
 *   were answered. Four are needed.
 *
 * With witnesses, a run is judged when it is 13 times as old as the mean, since a
 * backend server may be up to 12 times as slow for seconds, or earlier when a
 * repeat would not end in time later. Without any answer since it started, one
 * run at a time is judged at that age: while silent runs hold all slots no call
 * can start that could become a witness, so the slot that this frees is a probe
 * on a new connection.
 *
 * Times are in milliseconds of one monotonic clock. The module does no I/O and
 * reads no clock.
 */
#ifndef FESCUE_SILENCE_H
#define FESCUE_SILENCE_H

#include <stdint.h>

/* Interval at which silence_tick() is expected. */
#define SILENCE_TICK_MS 50

struct silence;

struct silence_run {
	uint64_t ticket; /* identifies the run; chosen by the user */
	uint32_t kind; /* calls of one kind take similar time */
	int idempotent;
	uint64_t started_ms;
	uint64_t deadline_ms;
};

/* Never returns NULL. */
struct silence *silence_create(void);

/* NULL is allowed. */
void silence_destroy(struct silence *silence);

/* Forget all times and runs: another backend server gets the calls now. */
void silence_reset(struct silence *silence);

/* Record that a run was sent to the backend server. */
void silence_started(struct silence *silence, const struct silence_run *run);

/* Record that a run was answered. Unknown tickets are ignored. */
void silence_answered(struct silence *silence, uint64_t ticket,
		      uint64_t now_ms);

/* Record that a run ended in another way. Unknown tickets are ignored. */
void silence_dropped(struct silence *silence, uint64_t ticket);

/*
 * To be called every SILENCE_TICK_MS, before silence_next(). The time of a longer
 * gap does not count for the age of runs: this process or the host stood still,
 * so answers may be unread.
 */
void silence_tick(struct silence *silence, uint64_t now_ms);

/*
 * Stores the ticket of a run that is judged silent and forgets the run. Returns
 * 0 if there is none. Call it in a loop.
 */
int silence_next(struct silence *silence, uint64_t now_ms, uint64_t *ticket);

/*
 * How long a run of this kind and age may still occupy a slot of the backend
 * server after its connection was closed: until the usual time of its kind has
 * passed, and once more that time if it has passed already. From 20 to 2,000 ms;
 * 200 ms for a kind whose times are not known.
 */
uint32_t silence_hold_ms(const struct silence *silence, uint32_t kind,
			 uint32_t age_ms);

#endif
