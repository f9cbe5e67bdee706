#include "fescue/admission.h"

#include "admission_state.h"
#include "fescue/error.h"

#include <assert.h>
#include <math.h>

#define BACKGROUND_GRANT_PERIOD 10
/* Hosts with fewer slots reserve none for shorter calls. */
#define SHORTER_RESERVE_SLOTS_MIN 6
/* Slots that shorter calls must have used lately to get one reserved. */
#define SHORTER_CALLS_SLOTS_MIN 0.25
/* The reserve for a depth ends when no call of it has come for this long. */
#define DEPTH_RESERVE_TIMEOUT_MS 10000

struct admission *admission_create(enum admission_policy policy)
{
	struct admission *a = g_new0(struct admission, 1);

	a->policy = policy;
	a->kinds = kind_stats_create();
	a->accounts = account_stats_create();
	for (int i = 0; i < CALL_CLASS_COUNT; i++)
		g_queue_init(&a->queues[i]);
	return a;
}

void admission_destroy(struct admission *a)
{
	if (!a)
		return;
	for (int i = 0; i < CALL_CLASS_COUNT; i++)
		g_queue_clear_full(&a->queues[i], g_free);
	kind_stats_destroy(a->kinds);
	account_stats_destroy(a->accounts);
	g_free(a);
}

void admission_set_slots(struct admission *a, uint32_t slots)
{
	a->slots = slots;
}

void admission_set_draining(struct admission *a, int draining)
{
	a->draining = draining;
}

static uint32_t depth_index(uint32_t depth)
{
	return MIN(depth, DEPTH_LEVELS - 1);
}

/* Greatest depth with a call in the last DEPTH_RESERVE_TIMEOUT_MS. */
static uint32_t deepest_recent_depth(const struct admission *a, uint64_t now_ms)
{
	for (uint32_t i = DEPTH_LEVELS - 1; i > 0; i--)
		if (now_ms < a->depth_end_ms[i])
			return i;
	return 0;
}

/*
 * Returns 1 if a call of this depth can start and still leave one slot for each
 * greater depth, or half of the slots if that is less. All calls up to a depth
 * may be waiting for deeper ones, so together they must not take the slots
 * reserved for those.
 */
static int keeps_nested_reserve(const struct admission *a, uint32_t depth,
				uint64_t now_ms)
{
	uint32_t deepest = deepest_recent_depth(a, now_ms), in_use = 0;

	for (uint32_t i = 0; i <= deepest; i++) {
		uint32_t reserved = MIN(deepest - i, a->slots / 2);

		in_use += a->in_use_by_depth[i];
		if (i >= depth && in_use + reserved >= a->slots)
			return 0;
	}
	return 1;
}

/* A call of the class starts only while fewer slots than this are in use. */
static uint32_t class_slot_limit(const struct admission *a,
				 const struct admission_call *call)
{
	uint32_t reserved;

	if (a->policy == ADMISSION_FIFO ||
	    call->call_class == CALL_CLASS_URGENT)
		return a->slots;
	reserved = a->slots * call->reserve_percent / 100;
	return MAX(a->slots - reserved, 1);
}

/*
 * Returns 1 if the call can start and still leave a slot to much shorter calls
 * of the same or a lower rank, if such calls come often. They would wait behind
 * long ones otherwise, and are usually calls for which others hold slots.
 */
static int leaves_slot_to_shorter(const struct admission *a,
				  const struct admission_call *call,
				  uint64_t now_ms)
{
	double us = mean_service_us(a, call->kind) / COST_PRECEDENCE_FACTOR;

	if (a->in_use + 1 < a->slots || a->slots < SHORTER_RESERVE_SLOTS_MIN)
		return 1;
	return kind_stats_shorter_slots(a->kinds, us, call->rank, now_ms) <
	       SHORTER_CALLS_SLOTS_MIN;
}

static int can_start(const struct admission *a,
		     const struct admission_call *call, uint64_t now_ms)
{
	if (a->in_use >= class_slot_limit(a, call))
		return 0;
	if (a->policy == ADMISSION_FIFO)
		return 1;
	if (!account_stats_starves(a->accounts, call) &&
	    !leaves_slot_to_shorter(a, call, now_ms))
		return 0;
	return keeps_nested_reserve(a, depth_index(call->depth), now_ms);
}

static uint32_t precedence_level(const struct admission *a,
				 const struct admission_call *call,
				 uint64_t now_ms)
{
	return admission_level(a, rank_index(call),
			       admission_is_late(a, call, now_ms));
}

static void decay_granted_work(struct admission *a, uint64_t now_ms)
{
	double age = (double)(now_ms - a->granted_work_updated_ms);
	double factor = exp2(-age / GRANTED_WORK_HALF_LIFE_MS);

	if (now_ms <= a->granted_work_updated_ms)
		return;
	for (int i = 0; i < PRECEDENCE_LEVELS; i++)
		a->granted_work_us[i] *= factor;
	a->granted_work_updated_ms = now_ms;
}

static void acquire_slot(struct admission *a, const struct admission_call *call,
			 uint64_t now_ms)
{
	a->in_use++;
	a->in_use_by_depth[depth_index(call->depth)]++;
	decay_granted_work(a, now_ms);
	a->granted_work_us[precedence_level(a, call, now_ms)] +=
		mean_service_us(a, call->kind);
	kind_stats_record_grant(a->kinds, call->kind, call->rank, now_ms);
	account_stats_record_grant(a->accounts, call,
				   mean_service_us(a, call->kind));
}

/* Share of the slots that work which goes before it leaves to the call. */
static double available_to(const struct admission *a,
			   const struct admission_call *call, double limit,
			   uint64_t now_ms)
{
	uint32_t level = precedence_level(a, call, now_ms);

	if (account_stats_starves(a->accounts, call))
		return 1;
	if (account_stats_precedence(a->accounts, call->account) !=
	    PRECEDENCE_OVER_SHARE)
		return admission_available_share(a, level, 0, limit);
	return admission_available_share(
		a, level,
		account_stats_fair_work_us(a->accounts, rank_index(call)),
		limit);
}

/* Expected wait for a slot of a call that is queued now. */
static uint64_t expected_wait_ms(const struct admission *a,
				 const struct admission_call *call,
				 uint64_t now_ms)
{
	double limit = class_slot_limit(a, call);
	double ahead_us = a->service_us; /* until the next slot is free */

	for (int i = 0; i <= (int)call->call_class; i++)
		for (GList *l = a->queues[i].head; l; l = l->next)
			if (i < (int)call->call_class ||
			    admission_precedes(a, l->data, call, now_ms))
				ahead_us += mean_service_us(
					a, ((struct admission_call *)l->data)
						   ->kind);
	return (uint64_t)(ahead_us / 1000 /
			  (limit * available_to(a, call, limit, now_ms)));
}

static enum admission_reason refusal_reason(const struct admission *a,
					    const struct admission_call *call,
					    uint64_t now_ms)
{
	if (a->draining)
		return ADMISSION_DRAINING;
	if (!a->slots)
		return ADMISSION_NO_BACKEND;
	if (now_ms >= call->deadline_ms)
		return ADMISSION_DEADLINE;
	return ADMISSION_OK;
}

static enum admission_reason
queue_refusal_reason(struct admission *a, const struct admission_call *call,
		     uint64_t now_ms)
{
	uint64_t wait_ms, done_ms;

	if (a->policy == ADMISSION_FIFO)
		return ADMISSION_OK;
	if (!account_stats_has_several(a->accounts) &&
	    !admission_has_room(a, call, now_ms))
		return ADMISSION_QUEUE_FULL;
	wait_ms = expected_wait_ms(a, call, now_ms);
	done_ms = now_ms + wait_ms +
		  (uint64_t)(mean_service_us(a, call->kind) / 1000);
	if (done_ms > call->deadline_ms ||
	    now_ms + wait_ms > call->queue_until_ms)
		return ADMISSION_DEADLINE;
	return admission_has_room(a, call, now_ms) ? ADMISSION_OK :
						     ADMISSION_QUEUE_FULL;
}

/* Is there a queued call that can start now and goes before this one? */
static int has_queued_predecessor(const struct admission *a,
				  const struct admission_call *call,
				  uint64_t now_ms)
{
	if (a->policy == ADMISSION_FIFO)
		return admission_queued(a) > 0;
	for (int i = 0; i <= (int)call->call_class; i++)
		for (GList *l = a->queues[i].head; l; l = l->next)
			if (can_start(a, l->data, now_ms) &&
			    (i < (int)call->call_class ||
			     admission_precedes(a, l->data, call, now_ms)))
				return 1;
	return 0;
}

enum admission_decision admission_offer(struct admission *a,
					const struct admission_call *call,
					uint64_t now_ms,
					enum admission_reason *reason)
{
	enum call_class queue = a->policy == ADMISSION_FIFO ?
					CALL_CLASS_URGENT :
					call->call_class;

	*reason = refusal_reason(a, call, now_ms);
	if (*reason != ADMISSION_OK)
		return ADMISSION_REFUSED;
	account_stats_refresh(a->accounts, now_ms);
	account_stats_record_offer(a->accounts, call,
				   mean_service_us(a, call->kind));
	a->depth_end_ms[depth_index(call->depth)] =
		now_ms + DEPTH_RESERVE_TIMEOUT_MS;
	if (can_start(a, call, now_ms) &&
	    !has_queued_predecessor(a, call, now_ms)) {
		acquire_slot(a, call, now_ms);
		return ADMISSION_ADMITTED;
	}
	*reason = queue_refusal_reason(a, call, now_ms);
	if (*reason != ADMISSION_OK)
		return ADMISSION_REFUSED;
	g_queue_push_tail(&a->queues[queue], g_memdup2(call, sizeof(*call)));
	return ADMISSION_QUEUED;
}

void admission_release(struct admission *a, uint32_t depth)
{
	assert(a->in_use > 0 && a->in_use_by_depth[depth_index(depth)] > 0);
	a->in_use--;
	a->in_use_by_depth[depth_index(depth)]--;
}

void admission_finish(struct admission *a, uint32_t kind, uint32_t depth,
		      uint64_t service_us)
{
	admission_release(a, depth);
	if (a->service_us == 0)
		a->service_us = (double)service_us;
	a->service_us +=
		SERVICE_TIME_EWMA_WEIGHT * ((double)service_us - a->service_us);
	kind_stats_record_run(a->kinds, kind, (double)service_us);
}

/* Can the call stay queued, and meet its deadline if it starts now? */
static int can_meet_deadline(const struct admission *a,
			     const struct admission_call *call, uint64_t now_ms)
{
	double needed_ms = 0;

	if (a->policy != ADMISSION_FIFO)
		needed_ms = mean_service_us(a, call->kind) / 1000 *
			    SERVICE_TIME_MARGIN_FACTOR;
	return now_ms < call->queue_until_ms &&
	       now_ms + (uint64_t)needed_ms < call->deadline_ms;
}

static int dequeue_expired(struct admission *a, uint64_t now_ms,
			   uint64_t *ticket)
{
	for (int i = 0; i < CALL_CLASS_COUNT; i++) {
		for (GList *l = a->queues[i].head; l; l = l->next) {
			struct admission_call *call = l->data;

			if (can_meet_deadline(a, call, now_ms))
				continue;
			*ticket = call->ticket;
			g_free(call);
			g_queue_delete_link(&a->queues[i], l);
			return 1;
		}
	}
	return 0;
}

/* The call that goes first among those that can start now, or NULL. */
static GList *find_next_eligible(struct admission *a, enum call_class c,
				 int ignore_reserves, uint64_t now_ms)
{
	GList *best = NULL;

	for (GList *l = a->queues[c].head; l; l = l->next) {
		/* The guaranteed background grant ignores reserves. */
		if (ignore_reserves ? a->in_use >= a->slots :
				      !can_start(a, l->data, now_ms))
			continue;
		if (a->policy == ADMISSION_FIFO)
			return l;
		if (!best ||
		    !admission_precedes(a, best->data, l->data, now_ms))
			best = l;
	}
	return best;
}

static int dequeue_class(struct admission *a, enum call_class c,
			 int ignore_reserves, uint64_t now_ms, uint64_t *ticket)
{
	GList *best = find_next_eligible(a, c, ignore_reserves, now_ms);
	struct admission_call *call;

	if (!best)
		return 0;
	call = best->data;
	*ticket = call->ticket;
	acquire_slot(a, call, now_ms);
	g_free(call);
	g_queue_delete_link(&a->queues[c], best);
	return 1;
}

enum admission_decision admission_dequeue(struct admission *a, uint64_t now_ms,
					  uint64_t *ticket)
{
	int background_due = queue_length(a, CALL_CLASS_BACKGROUND) &&
			     a->urgent_grants >= BACKGROUND_GRANT_PERIOD;

	account_stats_refresh(a->accounts, now_ms);
	if (dequeue_expired(a, now_ms, ticket))
		return ADMISSION_REFUSED;
	if (background_due &&
	    dequeue_class(a, CALL_CLASS_BACKGROUND, 1, now_ms, ticket)) {
		a->urgent_grants = 0;
		return ADMISSION_ADMITTED;
	}
	if (dequeue_class(a, CALL_CLASS_URGENT, 0, now_ms, ticket)) {
		a->urgent_grants++;
		return ADMISSION_ADMITTED;
	}
	if (dequeue_class(a, CALL_CLASS_BACKGROUND, 0, now_ms, ticket)) {
		a->urgent_grants = 0;
		return ADMISSION_ADMITTED;
	}
	return ADMISSION_QUEUED;
}

int admission_cancel(struct admission *a, uint64_t ticket)
{
	for (int i = 0; i < CALL_CLASS_COUNT; i++) {
		for (GList *l = a->queues[i].head; l; l = l->next) {
			struct admission_call *call = l->data;

			if (call->ticket != ticket)
				continue;
			g_free(call);
			g_queue_delete_link(&a->queues[i], l);
			return FESCUE_OK;
		}
	}
	return FESCUE_ENOTFOUND;
}
