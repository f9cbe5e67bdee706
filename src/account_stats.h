/*
 * Work that was lately asked for and granted at this host, by account and by
 * kind of calls, from which admission derives who has used more than a fair
 * share of the slots and who is starved. All sums decay. The module does no I/O
 * and reads no clock.
 */
#ifndef FESCUE_ACCOUNT_STATS_H
#define FESCUE_ACCOUNT_STATS_H

#include "fescue/admission.h"

struct account_stats;

/* Order of the calls of one rank and depth; lower values go first. */
enum account_precedence {
	PRECEDENCE_NESTED, /* no account, so that a caller may hold a slot */
	PRECEDENCE_FAIR,
	PRECEDENCE_OVER_SHARE,
};

/* Never returns NULL. */
struct account_stats *account_stats_create(void);
void account_stats_destroy(struct account_stats *stats);

/* Record a call that arrives, and the work that it takes. */
void account_stats_record_offer(struct account_stats *stats,
				const struct admission_call *call,
				double service_us);

/* Record that a call got a slot. */
void account_stats_record_grant(struct account_stats *stats,
				const struct admission_call *call,
				double service_us);

/*
 * Let the sums decay and derive the results below from them, which stay the
 * same until the next call. Does nothing if the last one was just before.
 */
void account_stats_refresh(struct account_stats *stats, uint64_t now_ms);

/* PRECEDENCE_FAIR for all calls unless several accounts send calls. */
enum account_precedence
account_stats_precedence(const struct account_stats *stats, uint32_t account);

/* Whether several accounts send calls. */
int account_stats_has_several(const struct account_stats *stats);

/*
 * Whether far less is served of the calls of this kind than of all, so that the
 * call goes first. 0 for accounts that have used more than their share, and
 * unless several accounts send calls.
 */
int account_stats_starves(const struct account_stats *stats,
			  const struct admission_call *call);

/*
 * Work lately granted to calls of a rank level without an account, or of
 * accounts that have not used more than their share.
 */
double account_stats_fair_work_us(const struct account_stats *stats,
				  uint32_t level);

#endif
