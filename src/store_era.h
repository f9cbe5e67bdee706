/*
 * The era of the platform's store. The store tells it in each answer; it rises
 * by one when the store comes back from an older copy of itself. Then what was
 * written to it since the copy is gone, and its revisions are given out again, so
 * that a revision or a lease of an earlier era means nothing.
 *
 * This module decides what an era means. All that keeps something of the store
 * over the end of a call subscribes here. A store that tells no era stays at 0.
 */
#ifndef FESCUE_STORE_ERA_H
#define FESCUE_STORE_ERA_H

#include <stdint.h>

struct store_era;

struct store_era *store_era_create(void);

/* era may be NULL. */
void store_era_destroy(struct store_era *era);

/* Returns the newest era that is known, or 0. */
uint64_t store_era_now(const struct store_era *era);

/* Calls changed after each change of the era, other than the first sight of it. */
void store_era_subscribe(struct store_era *era, void (*changed)(void *data),
			 void *data);

/* Ends all subscriptions with this data. */
void store_era_unsubscribe(struct store_era *era, const void *data);

enum store_answer_age {
	STORE_ANSWER_CURRENT,
	/*
	 * The store came back while the call was under way: its answer is
	 * valid, but the call was made by what is known of an earlier era.
	 */
	STORE_ANSWER_NEWER,
	/* The answer is of an earlier era and must change nothing. */
	STORE_ANSWER_OUTDATED,
};

/*
 * Judges an answer by the era that it tells, 0 if none, and by the era that was
 * known when the call was sent. An answer to a later call that tells an earlier
 * era is logged once, and the era in it is ignored. Subscribers hear of a new
 * era from store_era_publish(), which is to be called after the answer has been
 * handled.
 */
enum store_answer_age store_era_judge(struct store_era *era, uint64_t told,
				      uint64_t when_sent);
void store_era_publish(struct store_era *era);

/* Learns the era that a peer knows; 0: none. */
void store_era_learn(struct store_era *era, uint64_t told);

/* Reports an era that cannot be read; only the first one is logged. */
void store_era_reject(struct store_era *era, const char *text);

#endif
