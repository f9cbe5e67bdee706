/*
 * Admission control for the local backend server: decides which calls start,
 * which are queued and which are refused before anything has run.
 *
 * - Classes: urgent calls may use every slot. Background calls start only
 *   while the reserve for urgent calls stays free, except that a queued
 *   background call gets the next free slot after every 10 grants to queued
 *   urgent calls, so that background work is not starved.
 * - Order in the queue of a class: the lower rank first; within a rank the
 *   deeper nested call first; then the call with less than half the service
 *   time, which counts double for a call expected to miss its target latency;
 *   then calls that can still meet their target latency, earliest due time
 *   first; then those that miss it, latest due time first.
 * - Accounts: while several send calls, an account that has lately used clearly
 *   more than its share goes behind the others of its rank and depth, and calls
 *   without an account, which are nested ones, go before. A kind of which far
 *   less is served than of all goes first, whatever its rank. Calls with an
 *   account that cannot meet their target latency go behind all that can.
 * - Nested calls: while calls of several depths arrive, a call leaves one slot
 *   free for each greater depth. Otherwise callers that hold slots could starve
 *   the nested calls they wait for.
 * - Short calls: while calls of less than half the service time, and of the
 *   same or a lower rank, keep a quarter of a slot busy, a call leaves one slot
 *   free for them. Otherwise they would wait behind long ones.
 * - Bounds: queues are bounded. A call that cannot start at once is refused if
 *   its expected wait exceeds its queue timeout, or together with the mean
 *   service time of its kind exceeds its deadline. The expected wait includes
 *   the queued work ahead of the call and the share of the slots that lower
 *   ranks use. For a call that will miss its target latency it also includes
 *   the share of the calls of its rank that can meet theirs. A queued call that
 *   would probably miss its deadline is refused instead of started.
 *
 * Service time is the time a call holds a slot. The module does no I/O and
 * reads no clock; its user passes the current time in milliseconds.
 */
#ifndef FESCUE_ADMISSION_H
#define FESCUE_ADMISSION_H

#include "fescue/rules.h"

struct admission;

enum admission_decision {
	ADMISSION_ADMITTED, /* holds a slot until admission_finish() */
	ADMISSION_QUEUED,
	ADMISSION_REFUSED,
};

enum admission_reason {
	ADMISSION_OK,
	ADMISSION_QUEUE_FULL,
	ADMISSION_DEADLINE, /* expected to miss its deadline or queue timeout */
	ADMISSION_DRAINING,
	ADMISSION_NO_BACKEND,
	ADMISSION_LINK, /* the link cannot carry the answer in time */
};

enum admission_policy {
	ADMISSION_CLASSES, /* the policy described above */
	ADMISSION_FIFO, /* baseline: one unbounded first-in first-out queue */
};

struct admission_call {
	uint64_t ticket; /* identifies a queued call; chosen by the user */
	enum call_class call_class;
	uint32_t rank; /* priority; 0 is served first */
	uint32_t depth; /* callers above it that hold slots; 0: none known */
	uint32_t kind; /* calls of one kind have similar service times */
	uint32_t account; /* id of the client account; 0: none */
	uint64_t due_ms; /* absolute end of the target latency; 0: none */
	uint64_t deadline_ms; /* absolute */
	uint64_t queue_until_ms; /* absolute; a call still queued is refused */
	uint32_t queue_limit; /* of calls queued in its class */
	uint32_t reserve_percent; /* of the slots, kept free for urgent calls */
};

struct admission *admission_create(enum admission_policy policy);

/* Frees the queued calls as well. NULL is allowed. */
void admission_destroy(struct admission *admission);

/*
 * Sets the slots of the backend server, 0 while there is none. If more are in
 * use, no call starts until enough calls have finished.
 */
void admission_set_slots(struct admission *admission, uint32_t slots);

/* While draining, every new call is refused; queued calls can still start. */
void admission_set_draining(struct admission *admission, int draining);

/*
 * Admits, queues or refuses a call. call is copied. *reason is set to the
 * reason of a refusal, else to ADMISSION_OK.
 */
enum admission_decision admission_offer(struct admission *admission,
					const struct admission_call *call,
					uint64_t now_ms,
					enum admission_reason *reason);

/*
 * Releases the slot of an admitted call that ended after service_us. kind and
 * depth are those of the call. Call admission_dequeue() afterwards.
 */
void admission_finish(struct admission *admission, uint32_t kind,
		      uint32_t depth, uint64_t service_us);

/* As admission_finish(), for a call that did not run. */
void admission_release(struct admission *admission, uint32_t depth);

/*
 * Removes the next call that leaves the queue and stores its ticket:
 * ADMISSION_ADMITTED if it now holds a slot, ADMISSION_REFUSED if it can no
 * longer meet its deadline or has reached its queue timeout. Returns
 * ADMISSION_QUEUED, without a ticket, when no call leaves the queue. Call it in
 * a loop after slots are released or added, and periodically for timeouts.
 */
enum admission_decision admission_dequeue(struct admission *admission,
					  uint64_t now_ms, uint64_t *ticket);

/* Removes a queued call. Returns 0 or FESCUE_ENOTFOUND. */
int admission_cancel(struct admission *admission, uint64_t ticket);

/* Mean service time of a kind in microseconds; 0 if none has finished. */
uint32_t admission_service_us(const struct admission *admission, uint32_t kind);

/* Expected wait for a slot, in milliseconds, of a call that arrives now. */
struct rank_waits {
	uint32_t any_ms[RULES_RANK_LEVELS]; /* behind all queued calls */
	/*
	 * Of a call that can meet its target latency: it overtakes the queued
	 * calls of its rank that can't.
	 */
	uint32_t timely_ms[RULES_RANK_LEVELS];
};

void admission_rank_waits(const struct admission *admission, uint64_t now_ms,
			  struct rank_waits *waits);

/*
 * Expected time in milliseconds to work off the calls that are queued now.
 */
uint32_t admission_wait_ms(const struct admission *admission);

/* Slots in use, calls queued and slots in total. */
uint32_t admission_in_use(const struct admission *admission);
uint32_t admission_queued(const struct admission *admission);
uint32_t admission_slots(const struct admission *admission);

/* A static text that callers and peers receive as the reason of a refusal. */
const char *admission_reason_text(enum admission_reason reason);

#endif
