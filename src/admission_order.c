/* Which calls go first, and which have room in the queue. */
#include "admission_state.h"

#include <math.h>

#define AVAILABLE_SHARE_MIN 0.1 /* even if lower levels flood the host */
#define LATE_ANSWER_VALUE 0.5 /* an answer in time has the value 1 */

/* Would the call, of mean service time us, likely miss its target latency? */
static int would_miss_target(const struct admission_call *call, double us,
			     uint64_t now_ms)
{
	double ms = us / 1000 * SERVICE_TIME_MARGIN_FACTOR;

	return call->due_ms && now_ms + (uint64_t)ms > call->due_ms;
}

int admission_lateness_first(const struct admission *a)
{
	return account_stats_has_several(a->accounts);
}

/* Whether the call goes behind all timely calls, whatever its rank. */
static int is_deferred(const struct admission *a,
		       const struct admission_call *call, uint64_t now_ms)
{
	return admission_lateness_first(a) && call->account &&
	       would_miss_target(call, mean_service_us(a, call->kind), now_ms);
}

int admission_is_late(const struct admission *a,
		      const struct admission_call *call, uint64_t now_ms)
{
	if (admission_lateness_first(a))
		return is_deferred(a, call, now_ms);
	return would_miss_target(call, mean_service_us(a, call->kind), now_ms);
}

uint32_t admission_level(const struct admission *a, uint32_t rank_index,
			 int late)
{
	if (admission_lateness_first(a))
		return (uint32_t)late * RULES_RANK_LEVELS + rank_index;
	return rank_index * 2 + (uint32_t)late;
}

double admission_available_share(const struct admission *a, uint32_t level,
				 double other_us, double limit)
{
	/* Granting w us of work each ms converges to w * half-life / ln 2. */
	double full_us = limit * 1000 * GRANTED_WORK_HALF_LIFE_MS / M_LN2;
	double lower_us = other_us;

	for (uint32_t i = 0; i < level; i++)
		lower_us += a->granted_work_us[i];
	return MAX(1 - lower_us / full_us, AVAILABLE_SHARE_MIN);
}

/*
 * Order of two calls by what comes before costs: negative if x goes first,
 * positive if y does, else 0.
 */
static int compare(const struct admission *a, const struct admission_call *x,
		   const struct admission_call *y, uint64_t now_ms)
{
	int starves_x = account_stats_starves(a->accounts, x);
	int starves_y = account_stats_starves(a->accounts, y);
	int deferred_x = is_deferred(a, x, now_ms);
	int deferred_y = is_deferred(a, y, now_ms);

	if (starves_x != starves_y)
		return starves_x ? -1 : 1;
	if (deferred_x != deferred_y)
		return deferred_y ? -1 : 1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->depth != y->depth)
		return x->depth > y->depth ? -1 : 1;
	return (int)account_stats_precedence(a->accounts, x->account) -
	       (int)account_stats_precedence(a->accounts, y->account);
}

/*
 * Orders two queued calls of one rank and depth; returns 1 if x goes first.
 * Much shorter calls go first, because a slot serves more of them and because
 * calls that running calls wait for are usually short. Of calls expected to
 * miss their target latency, the one due last goes first: it may still meet it.
 */
static int precedes_by_cost(const struct admission *a,
			    const struct admission_call *x,
			    const struct admission_call *y, uint64_t now_ms)
{
	double us_x = mean_service_us(a, x->kind);
	double us_y = mean_service_us(a, y->kind);
	int late_x = would_miss_target(x, us_x, now_ms);
	int late_y = would_miss_target(y, us_y, now_ms);
	/* Service time per value of the answer. */
	double cost_x = late_x ? us_x / LATE_ANSWER_VALUE : us_x;
	double cost_y = late_y ? us_y / LATE_ANSWER_VALUE : us_y;

	if (cost_x * COST_PRECEDENCE_FACTOR < cost_y)
		return 1;
	if (cost_y * COST_PRECEDENCE_FACTOR < cost_x)
		return 0;
	if (late_x != late_y)
		return late_y;
	return late_x ? x->due_ms >= y->due_ms : x->due_ms <= y->due_ms;
}

int admission_precedes(const struct admission *a,
		       const struct admission_call *x,
		       const struct admission_call *y, uint64_t now_ms)
{
	int order = compare(a, x, y, now_ms);

	if (order)
		return order < 0;
	return precedes_by_cost(a, x, y, now_ms);
}

/* A displaced call stays in the queue until it is refused. */
static int is_displaced(const struct admission_call *call)
{
	return !call->queue_until_ms;
}

/* The rest of the queue is left to accounts within their share. */
static uint32_t queue_limit(const struct admission *a,
			    const struct admission_call *call)
{
	if (account_stats_precedence(a->accounts, call->account) ==
	    PRECEDENCE_OVER_SHARE)
		return call->queue_limit / 2;
	return call->queue_limit;
}

int admission_has_room(struct admission *a, const struct admission_call *call,
		       uint64_t now_ms)
{
	struct admission_call *last = NULL;
	uint32_t limit = queue_limit(a, call), waiting = 0;
	GList *head = a->queues[call->call_class].head;

	if (queue_length(a, call->call_class) < limit)
		return 1;
	if (!account_stats_has_several(a->accounts))
		return 0;
	for (GList *l = head; l; l = l->next) {
		struct admission_call *queued = l->data;

		if (is_displaced(queued))
			continue;
		waiting++;
		if (!last || compare(a, last, queued, now_ms) <= 0)
			last = queued;
	}
	if (waiting < limit)
		return 1;
	if (!last || compare(a, call, last, now_ms) >= 0)
		return 0;
	last->queue_until_ms = 0;
	return 1;
}
