/*
 * Refusals: recognizes callers that come back after a refusal.
 *
 * A caller that repeats a refused request has waited since its first attempt,
 * while a new caller has not. The two are told apart by the time at which the
 * caller gives up, which is the same for all attempts of one request, together
 * with the request's fingerprint. The module reads no clock: its user passes
 * times in milliseconds of a monotonic clock.
 */
#ifndef FESCUE_REFUSALS_H
#define FESCUE_REFUSALS_H

#include <stdint.h>

/* The oldest refusals are forgotten beyond this number. */
#define REFUSALS_MAX 1024
/* Kinds of calls whose refusals are counted. */
#define REFUSALS_KINDS_MAX 64
/* Difference of the times to give up that is due to delays on the way. */
#define REFUSALS_TOLERANCE_MS 10

struct refusals;

/* Never returns NULL. */
struct refusals *refusals_create(void);

/* Does nothing for NULL. */
void refusals_destroy(struct refusals *refusals);

/*
 * Record a refused request of a kind of call that first arrived at arrived_ms
 * and whose caller gives up at deadline_ms.
 */
void refusals_add(struct refusals *refusals, uint32_t kind,
		  uint64_t fingerprint, uint64_t deadline_ms,
		  uint64_t arrived_ms, uint64_t now_ms);

/*
 * Returns the time when the request first arrived and forgets its refusal;
 * now_ms if it has not been refused.
 */
uint64_t refusals_take(struct refusals *refusals, uint64_t fingerprint,
		       uint64_t deadline_ms, uint64_t now_ms);

/*
 * Returns 0 if few of the recent refusals of this kind were followed by another
 * attempt before the caller gave up: then a refusal ends the request. Such are
 * the calls that backend servers make themselves.
 */
int refusals_callers_return(const struct refusals *refusals, uint32_t kind);

#endif
