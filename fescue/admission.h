/*
 * Admission: which calls the own backend server runs, which wait and which
 * are refused before anything ran.
 *
 * Urgent calls may take every slot; background calls leave a reserved share
 * free, yet get one grant in ten while they wait. Within a class lower ranks
 * go first; within a rank calls that running calls made go before new ones,
 * deepest first, then calls that take far less time in a slot for what they are
 * worth, then calls that can still end in time, the earlier due first, then late
 * ones, the newest first. While calls of several depths come, calls leave one
 * slot to each greater depth, so that callers that hold slots do not starve the
 * calls they wait for. Queues are bounded. A call that cannot be done before its
 * deadline is refused at once, by the time its kind takes in a slot, the work
 * that goes before it and the share of the slots that lower ranks take; one that
 * would probably not end in time any more does not start. The module owns no
 * socket and reads no clock.
 */
#ifndef FESCUE_ADMISSION_H
#define FESCUE_ADMISSION_H

#include "fescue/rules.h"

struct admission;

enum admission_verdict {
	ADMISSION_RUN, /* holds a slot; pair with admission_finish() */
	ADMISSION_QUEUED,
	ADMISSION_REFUSED,
};

enum admission_reason {
	ADMISSION_OK,
	ADMISSION_QUEUE_FULL,
	ADMISSION_DEADLINE, /* would not finish in time */
	ADMISSION_DRAINING,
	ADMISSION_NO_BACKEND,
};

enum admission_policy {
	ADMISSION_CLASSES, /* the policy described above */
	ADMISSION_FIFO, /* one unbounded queue; baseline */
};

struct admission_call {
	uint64_t ticket; /* chosen by the caller of this module */
	enum call_class call_class;
	uint32_t rank; /* lower ones go first */
	uint32_t depth; /* of callers above it that hold slots; 0: none known */
	uint32_t kind; /* calls of one kind take about as long */
	uint64_t due_ms; /* worth less afterwards; 0: no such time */
	uint64_t deadline_ms; /* absolute */
	uint64_t queue_until_ms; /* absolute; it is refused if it still waits */
	uint32_t queue; /* limit of its class */
	uint32_t reserve_percent;
};

struct admission *admission_create(enum admission_policy policy);
void admission_destroy(struct admission *admission);

/* Slots of the backend server; 0 while there is none. */
void admission_set_slots(struct admission *admission, uint32_t slots);

/* While draining, every new call is refused; queued ones still run. */
void admission_set_draining(struct admission *admission, int draining);

enum admission_verdict admission_offer(struct admission *admission,
				       const struct admission_call *call,
				       uint64_t now_ms,
				       enum admission_reason *reason);

/* A running call ended after service_us; its slot is free. */
void admission_finish(struct admission *admission, uint32_t kind,
		      uint32_t depth, uint64_t service_us);

/*
 * Take the next queued call that may run or whose deadline has passed.
 * Returns ADMISSION_RUN or ADMISSION_REFUSED with its ticket, or
 * ADMISSION_QUEUED when there is nothing to do.
 */
enum admission_verdict admission_next(struct admission *admission,
				      uint64_t now_ms, uint64_t *ticket);

/* Remove a queued call; returns 0 or FESCUE_ENOTFOUND. */
int admission_cancel(struct admission *admission, uint64_t ticket);

/* Mean time of such a call in its slot, 0 before the first one ended. */
uint32_t admission_service_us(const struct admission *admission, uint32_t kind);

/*
 * Expected time until a call of each rank that comes now would get a slot,
 * in milliseconds.
 */
void admission_rank_waits(const struct admission *admission,
			  uint32_t waits_ms[RULES_RANK_LEVELS]);

/* Expected time until the queue as it is now would be worked off. */
uint32_t admission_wait_ms(const struct admission *admission);

uint32_t admission_in_use(const struct admission *admission);
uint32_t admission_queued(const struct admission *admission);
uint32_t admission_slots(const struct admission *admission);

const char *admission_reason_text(enum admission_reason reason);

#endif
