/*
 * Calls with an idempotency key at the host that runs them: each key is
 * claimed before its call runs; a resend gets the first answer while this
 * host still holds it, waits for it, or is told that the outcome is unknown.
 */
#ifndef FESCUE_KEYED_CALLS_H
#define FESCUE_KEYED_CALLS_H

#include "node.h"

struct keyed_calls;

/* How a call goes on: one of them is called, perhaps before begin returns. */
struct keyed_call_owner {
	/* The claim is granted: run it, then call keyed_calls_finish(). */
	void (*run)(void *data);
	/* It must not run: this is its answer, valid during the call. */
	void (*answer)(void *data, const Fescue__CallAnswer *answer);
	void *data;
};

struct keyed_calls *keyed_calls_create(struct node *node);
void keyed_calls_destroy(struct keyed_calls *calls);

/* Is the key's outcome known here, or about to be, without a further run? */
int keyed_calls_knows(const struct keyed_calls *calls, const char *key);

/*
 * Begin a call. One of owner's functions follows, unless it is abandoned.
 * Returns an id for keyed_calls_abandon().
 */
uint64_t keyed_calls_begin(struct keyed_calls *calls, const char *key,
			   uint64_t deadline_ms,
			   const struct keyed_call_owner *owner);

/* The owner no longer waits. A claim that is granted later never runs. */
void keyed_calls_abandon(struct keyed_calls *calls, uint64_t id);

/* The call that was told to run has ended with this answer. */
void keyed_calls_finish(struct keyed_calls *calls, const char *key,
			const Fescue__CallAnswer *answer);

/* Handle ReplayRequest from another host, and answers to our own. */
void keyed_calls_replay(struct keyed_calls *calls, uint64_t from,
			const Fescue__ReplayRequest *request);

/* Returns 1 when the answer belongs to a replay this host asked for. */
int keyed_calls_take_answer(struct keyed_calls *calls, uint64_t from,
			    const Fescue__CallAnswer *answer);

/* Advance time: forget old answers, end overdue waits. */
void keyed_calls_tick(struct keyed_calls *calls);

#endif
