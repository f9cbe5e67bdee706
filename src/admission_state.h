/* Internal state of an admission, and functions that its files share. */
#ifndef FESCUE_ADMISSION_STATE_H
#define FESCUE_ADMISSION_STATE_H

#include "account_stats.h"
#include "fescue/admission.h"
#include "kind_stats.h"

#include <glib.h>

#define PRECEDENCE_LEVELS (RULES_RANK_LEVELS * 2)
#define DEPTH_LEVELS 16 /* greater depths share the last level */
/* A call whose service time is smaller by this factor is much shorter. */
#define COST_PRECEDENCE_FACTOR 2.0

struct admission {
	enum admission_policy policy;
	uint32_t slots;
	uint32_t in_use;
	uint32_t in_use_by_depth[DEPTH_LEVELS]; /* by depth of the call */
	int draining;
	double service_us; /* moving average of the service time of all calls */
	struct kind_stats *kinds;
	struct account_stats *accounts;
	/* Decaying, by precedence level. */
	double granted_work_us[PRECEDENCE_LEVELS];
	uint64_t granted_work_updated_ms;
	uint32_t urgent_grants; /* since the last queued background call */
	uint64_t depth_end_ms[DEPTH_LEVELS]; /* end of the depth's reserve */
	GQueue queues[CALL_CLASS_COUNT]; /* struct admission_call */
};

static inline uint32_t queue_length(const struct admission *a,
				    enum call_class c)
{
	return g_queue_get_length((GQueue *)&a->queues[c]);
}

static inline uint32_t rank_index(const struct admission_call *call)
{
	return rules_rank_level(call->rank);
}

static inline double mean_service_us(const struct admission *a, uint32_t kind)
{
	return kind_stats_service_us(a->kinds, kind);
}

/*
 * Whether calls that can meet their target latency go before all that cannot,
 * whatever the ranks. Only beside calls of several accounts: there, calls
 * without an account are known to be nested ones, whose callers hold slots, and
 * count as timely.
 */
int admission_lateness_first(const struct admission *a);

/* Whether the call counts as late in its precedence level. */
int admission_is_late(const struct admission *a,
		      const struct admission_call *call, uint64_t now_ms);

/* Precedence level of calls of a rank; lower levels are served first. */
uint32_t admission_level(const struct admission *a, uint32_t rank_index,
			 int late);

/*
 * Share of the slots that recent work of lower levels, and other work that goes
 * before, leaves to a level.
 */
double admission_available_share(const struct admission *a, uint32_t level,
				 double other_us, double limit);

/* Returns 1 if x goes before y. x is the one that arrived first. */
int admission_precedes(const struct admission *a,
		       const struct admission_call *x,
		       const struct admission_call *y, uint64_t now_ms);

/*
 * Whether the queue of the call's class has room for it. If it is full, a
 * queued call that goes after this one is displaced: the next
 * admission_dequeue() refuses it.
 */
int admission_has_room(struct admission *a, const struct admission_call *call,
		       uint64_t now_ms);

#endif
