/*
 * Link budget: the use of a host's network link by long answers.
 *
 * Long answers to other hosts are sent one after the other at the rate of the
 * link, so that short answers and control packets wait behind one of them at
 * most. Other traffic of the host takes its part of the same link and is never
 * held back, so long answers get the rest. A call whose answer will probably be
 * long is admitted only if the link can carry the answer in time, besides those
 * promised to the calls admitted before. The sizes of answers are learned by
 * kind of call.
 *
 * The load it answers: answers of 90 kB on links of 15 Mbit/s, of which more are
 * requested than the links carry, beside short calls that others wait for.
 *
 * Times are in milliseconds of one monotonic clock. The module does no I/O and
 * reads no clock.
 */
#ifndef FESCUE_LINK_BUDGET_H
#define FESCUE_LINK_BUDGET_H

#include <stddef.h>
#include <stdint.h>

#define LINK_LONG_ANSWER_BYTES 16384
/* Of the paced rate; other traffic cannot stop long answers altogether. */
#define LINK_LONG_SHARE_MIN 0.25

struct link_budget;

/* capacity_mbit: of the link in Mbit/s; 0: not known, nothing is limited. */
struct link_budget *link_budget_create(uint32_t capacity_mbit);

/* budget may be NULL. */
void link_budget_destroy(struct link_budget *budget);

/* Returns 1 if an answer of this size is paced. */
int link_budget_is_long(const struct link_budget *budget, size_t bytes);

/* Record the size of an answer to a call of this kind. */
void link_budget_record_size(struct link_budget *budget, uint32_t kind,
			     size_t bytes);

/*
 * Time within which the answer to a call has to be sent: before it is late by
 * its target latency, or, if it is late already (latency_ms is 0), within half
 * of the time left until the deadline.
 */
uint32_t link_budget_limit_ms(uint32_t latency_ms, uint32_t deadline_ms);

/*
 * Returns 1 if the answer to a call of this kind will probably be sent within
 * limit_ms, or is short.
 */
int link_budget_admits(const struct link_budget *budget, uint32_t kind,
		       uint32_t limit_ms, uint64_t now_ms);

/*
 * Count the answer of an admitted call until link_budget_release() with the
 * returned number of bytes.
 */
size_t link_budget_promise(struct link_budget *budget, uint32_t kind);
void link_budget_release(struct link_budget *budget, size_t bytes);

/* A long answer waits to be sent, or waits no longer. */
void link_budget_queue(struct link_budget *budget, size_t bytes);
void link_budget_unqueue(struct link_budget *budget, size_t bytes);

/* Time from now until the next long answer may be sent; 0: at once. */
uint32_t link_budget_delay_ms(const struct link_budget *budget,
			      uint64_t now_ms);

/* A long answer is sent. */
void link_budget_sent(struct link_budget *budget, size_t bytes,
		      uint64_t now_ms);

/*
 * Record what the host has sent in all since its start, besides long answers
 * that link_budget_sent() counts: short answers, requests, control packets and
 * answers to own callers. All together are to use 0.9 of the link, so long
 * answers get what these leave of it, but LINK_LONG_SHARE_MIN at least. Call
 * often; the first call sets the base.
 */
void link_budget_record_total(struct link_budget *budget, uint64_t bytes,
			      uint64_t now_ms);

/* Time until the link has carried all that is sent, queued and promised. */
uint32_t link_budget_wait_ms(const struct link_budget *budget, uint64_t now_ms);

/* Capacity in Mbit/s, 0 if it is not known. */
uint32_t link_budget_capacity(const struct link_budget *budget);

#endif
