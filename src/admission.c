#include "fescue/admission.h"

#include "fescue/error.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

#define SERVICE_TIME_WEIGHT 0.05
#define KINDS_MAX 256 /* routes come and go with versions */
#define SHARE_HALF_LIFE_MS 1000.0 /* of the work that ranks were granted */
#define SHARE_LEFT_MIN 0.1 /* even under a flood of lower ranks */
#define LATE_WORTH 0.5 /* of an answer in time */
#define FAR_SHORTER_FACTOR 2.0
#define BACKGROUND_GRANT_PERIOD 10
#define DEPTH_LEVELS 16 /* of nested calls that are told apart */
/* Longest time between two calls of a depth for which slots are kept. */
#define DEPTH_MEMORY_MS 10000

struct admission {
	enum admission_policy policy;
	uint32_t slots;
	uint32_t in_use;
	uint32_t in_use_at[DEPTH_LEVELS]; /* of them, by depth of the call */
	int draining;
	double service_us; /* moving average of the time in the slot */
	GHashTable *kinds; /* kind -> double, the same for its calls */
	double granted_us[RULES_RANK_LEVELS]; /* work granted lately, decaying */
	uint64_t granted_at_ms;
	uint32_t grants; /* since a waiting background call last got a slot */
	uint64_t depth_until_ms[DEPTH_LEVELS]; /* slots are kept for it till then */
	GQueue queues[CALL_CLASS_COUNT]; /* struct admission_call */
};

struct admission *admission_create(enum admission_policy policy)
{
	struct admission *a = g_new0(struct admission, 1);

	a->policy = policy;
	a->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
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
	g_hash_table_destroy(a->kinds);
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

static uint32_t queue_length(const struct admission *a, enum call_class c)
{
	return g_queue_get_length((GQueue *)&a->queues[c]);
}

static uint32_t depth_index(uint32_t depth)
{
	return MIN(depth, DEPTH_LEVELS - 1);
}

/* The greatest depth of calls that came lately. */
static uint32_t deepest(const struct admission *a, uint64_t now_ms)
{
	for (uint32_t i = DEPTH_LEVELS - 1; i > 0; i--)
		if (now_ms < a->depth_until_ms[i])
			return i;
	return 0;
}

/*
 * Does a slot for a call of this depth leave one to each greater depth? Calls
 * up to any depth, which may all wait for deeper ones, never hold the slots
 * that are left to those.
 */
static int leaves_nested_slots(const struct admission *a, uint32_t depth,
			       uint64_t now_ms)
{
	uint32_t last = deepest(a, now_ms), held = 0;

	for (uint32_t i = 0; i <= last; i++) {
		uint32_t left = MIN(last - i, a->slots / 2);

		held += a->in_use_at[i];
		if (i >= depth && held + left >= a->slots)
			return 0;
	}
	return 1;
}

/* Slots that calls of the class may hold in total. */
static uint32_t class_limit(const struct admission *a,
			    const struct admission_call *call)
{
	uint32_t reserved;

	if (a->policy == ADMISSION_FIFO ||
	    call->call_class == CALL_CLASS_URGENT)
		return a->slots;
	reserved = a->slots * call->reserve_percent / 100;
	return MAX(a->slots - reserved, 1);
}

static int may_start(const struct admission *a,
		     const struct admission_call *call, uint64_t now_ms)
{
	if (a->in_use >= class_limit(a, call))
		return 0;
	return a->policy == ADMISSION_FIFO ||
	       leaves_nested_slots(a, depth_index(call->depth), now_ms);
}

/* Time in a slot of a call of this kind. */
static double kind_us(const struct admission *a, uint32_t kind)
{
	const double *us =
		g_hash_table_lookup(a->kinds, GUINT_TO_POINTER(kind));

	return us ? *us : a->service_us;
}

static uint32_t rank_index(const struct admission_call *call)
{
	return MIN(call->rank, RULES_RANK_LEVELS - 1);
}

static void age_grants(struct admission *a, uint64_t now_ms)
{
	double age = (double)(now_ms - a->granted_at_ms);
	double factor = exp2(-age / SHARE_HALF_LIFE_MS);

	if (now_ms <= a->granted_at_ms)
		return;
	for (int i = 0; i < RULES_RANK_LEVELS; i++)
		a->granted_us[i] *= factor;
	a->granted_at_ms = now_ms;
}

static void take_slot(struct admission *a, const struct admission_call *call,
		      uint64_t now_ms)
{
	a->in_use++;
	a->in_use_at[depth_index(call->depth)]++;
	age_grants(a, now_ms);
	a->granted_us[rank_index(call)] += kind_us(a, call->kind);
}

/* Share of the slots that is left to a rank by lower ones. */
static double share_left(const struct admission *a, uint32_t rank, double limit)
{
	/* A steady flow of w us each ms adds up to w * half-life / ln 2. */
	double full_us = limit * 1000 * SHARE_HALF_LIFE_MS / M_LN2;
	double before_us = 0;

	for (uint32_t i = 0; i < rank; i++)
		before_us += a->granted_us[i];
	return MAX(1 - before_us / full_us, SHARE_LEFT_MIN);
}

/* Would most calls that take us in a slot end late if they started now? */
static int is_late(const struct admission_call *call, double us,
		   uint64_t now_ms)
{
	double ms = us / 1000 * CALL_IN_TIME_FACTOR;

	return call->due_ms && now_ms + (uint64_t)ms > call->due_ms;
}

/*
 * Which of two waiting calls of one rank and depth goes first. Far shorter ones
 * do: calls that running calls wait for are, and a slot serves more of them. Of
 * calls that are late the newest goes first, which may still be in time.
 */
static int is_better_use(const struct admission *a,
			 const struct admission_call *x,
			 const struct admission_call *y, uint64_t now_ms)
{
	double us_x = kind_us(a, x->kind), us_y = kind_us(a, y->kind);
	int late_x = is_late(x, us_x, now_ms);
	int late_y = is_late(y, us_y, now_ms);
	/* Time in a slot for what the answer is worth. */
	double price_x = late_x ? us_x / LATE_WORTH : us_x;
	double price_y = late_y ? us_y / LATE_WORTH : us_y;

	if (price_x * FAR_SHORTER_FACTOR < price_y)
		return 1;
	if (price_y * FAR_SHORTER_FACTOR < price_x)
		return 0;
	if (late_x != late_y)
		return late_y;
	return late_x ? x->due_ms >= y->due_ms : x->due_ms <= y->due_ms;
}

/* Which of two waiting calls goes first; x came before y if they are equal. */
static int goes_before(const struct admission *a,
		       const struct admission_call *x,
		       const struct admission_call *y, uint64_t now_ms)
{
	if (x->rank != y->rank)
		return x->rank < y->rank;
	if (x->depth != y->depth)
		return x->depth > y->depth;
	return is_better_use(a, x, y, now_ms);
}

/* Expected milliseconds until a call that joins the queue now has a slot. */
static uint64_t expected_wait_ms(const struct admission *a,
				 const struct admission_call *call,
				 uint64_t now_ms)
{
	double limit = class_limit(a, call);
	double ahead_us = a->service_us; /* until a slot is free */

	for (int i = 0; i <= (int)call->call_class; i++)
		for (GList *l = a->queues[i].head; l; l = l->next)
			if (i < (int)call->call_class ||
			    goes_before(a, l->data, call, now_ms))
				ahead_us += kind_us(
					a, ((struct admission_call *)l->data)
						   ->kind);
	return (uint64_t)(ahead_us / 1000 /
			  (limit * share_left(a, rank_index(call), limit)));
}

static enum admission_reason refusal(const struct admission *a,
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

static enum admission_reason queue_refusal(const struct admission *a,
					   const struct admission_call *call,
					   uint64_t now_ms)
{
	uint64_t wait_ms, done_ms;

	if (a->policy == ADMISSION_FIFO)
		return ADMISSION_OK;
	if (queue_length(a, call->call_class) >= call->queue)
		return ADMISSION_QUEUE_FULL;
	wait_ms = expected_wait_ms(a, call, now_ms);
	done_ms = now_ms + wait_ms + (uint64_t)(kind_us(a, call->kind) / 1000);
	if (done_ms > call->deadline_ms ||
	    now_ms + wait_ms > call->queue_until_ms)
		return ADMISSION_DEADLINE;
	return ADMISSION_OK;
}

/* Does a waiting call that could start now go before this one? */
static int must_wait(const struct admission *a,
		     const struct admission_call *call, uint64_t now_ms)
{
	if (a->policy == ADMISSION_FIFO)
		return admission_queued(a) > 0;
	for (int i = 0; i <= (int)call->call_class; i++)
		for (GList *l = a->queues[i].head; l; l = l->next)
			if (may_start(a, l->data, now_ms) &&
			    (i < (int)call->call_class ||
			     goes_before(a, l->data, call, now_ms)))
				return 1;
	return 0;
}

enum admission_verdict admission_offer(struct admission *a,
				       const struct admission_call *call,
				       uint64_t now_ms,
				       enum admission_reason *reason)
{
	enum call_class queue = a->policy == ADMISSION_FIFO ?
					CALL_CLASS_URGENT :
					call->call_class;

	*reason = refusal(a, call, now_ms);
	if (*reason != ADMISSION_OK)
		return ADMISSION_REFUSED;
	a->depth_until_ms[depth_index(call->depth)] = now_ms + DEPTH_MEMORY_MS;
	if (may_start(a, call, now_ms) && !must_wait(a, call, now_ms)) {
		take_slot(a, call, now_ms);
		return ADMISSION_RUN;
	}
	*reason = queue_refusal(a, call, now_ms);
	if (*reason != ADMISSION_OK)
		return ADMISSION_REFUSED;
	g_queue_push_tail(&a->queues[queue], g_memdup2(call, sizeof(*call)));
	return ADMISSION_QUEUED;
}

static void note_kind(struct admission *a, uint32_t kind, double us)
{
	gpointer key = GUINT_TO_POINTER(kind);
	double *mean = g_hash_table_lookup(a->kinds, key);

	if (mean) {
		*mean += SERVICE_TIME_WEIGHT * (us - *mean);
		return;
	}
	if (g_hash_table_size(a->kinds) >= KINDS_MAX)
		g_hash_table_remove_all(a->kinds);
	mean = g_new(double, 1);
	*mean = us;
	g_hash_table_insert(a->kinds, key, mean);
}

void admission_finish(struct admission *a, uint32_t kind, uint32_t depth,
		      uint64_t service_us)
{
	assert(a->in_use > 0 && a->in_use_at[depth_index(depth)] > 0);
	a->in_use--;
	a->in_use_at[depth_index(depth)]--;
	if (a->service_us == 0)
		a->service_us = (double)service_us;
	a->service_us +=
		SERVICE_TIME_WEIGHT * ((double)service_us - a->service_us);
	note_kind(a, kind, (double)service_us);
}

/* May the call wait on, and be done before its deadline if it starts now? */
static int has_chance(const struct admission *a,
		      const struct admission_call *call, uint64_t now_ms)
{
	double needed_ms = 0;

	if (a->policy != ADMISSION_FIFO)
		needed_ms = kind_us(a, call->kind) / 1000 * CALL_IN_TIME_FACTOR;
	return now_ms < call->queue_until_ms &&
	       now_ms + (uint64_t)needed_ms < call->deadline_ms;
}

static int pop_expired(struct admission *a, uint64_t now_ms, uint64_t *ticket)
{
	for (int i = 0; i < CALL_CLASS_COUNT; i++) {
		for (GList *l = a->queues[i].head; l; l = l->next) {
			struct admission_call *call = l->data;

			if (has_chance(a, call, now_ms))
				continue;
			*ticket = call->ticket;
			g_free(call);
			g_queue_delete_link(&a->queues[i], l);
			return 1;
		}
	}
	return 0;
}

/* The call that goes first of those that may start now, or NULL. */
static GList *best_waiting(struct admission *a, enum call_class c, int floor,
			   uint64_t now_ms)
{
	GList *best = NULL;

	for (GList *l = a->queues[c].head; l; l = l->next) {
		/* The least share of background calls may use the reserve. */
		if (floor ? a->in_use >= a->slots :
			    !may_start(a, l->data, now_ms))
			continue;
		if (a->policy == ADMISSION_FIFO)
			return l;
		if (!best || !goes_before(a, best->data, l->data, now_ms))
			best = l;
	}
	return best;
}

static int pop_class(struct admission *a, enum call_class c, int floor,
		     uint64_t now_ms, uint64_t *ticket)
{
	GList *best = best_waiting(a, c, floor, now_ms);
	struct admission_call *call;

	if (!best)
		return 0;
	call = best->data;
	*ticket = call->ticket;
	take_slot(a, call, now_ms);
	g_free(call);
	g_queue_delete_link(&a->queues[c], best);
	return 1;
}

enum admission_verdict admission_next(struct admission *a, uint64_t now_ms,
				      uint64_t *ticket)
{
	int background_due = queue_length(a, CALL_CLASS_BACKGROUND) &&
			     a->grants >= BACKGROUND_GRANT_PERIOD;

	if (pop_expired(a, now_ms, ticket))
		return ADMISSION_REFUSED;
	if (background_due &&
	    pop_class(a, CALL_CLASS_BACKGROUND, 1, now_ms, ticket)) {
		a->grants = 0;
		return ADMISSION_RUN;
	}
	if (pop_class(a, CALL_CLASS_URGENT, 0, now_ms, ticket)) {
		a->grants++;
		return ADMISSION_RUN;
	}
	if (pop_class(a, CALL_CLASS_BACKGROUND, 0, now_ms, ticket)) {
		a->grants = 0;
		return ADMISSION_RUN;
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

uint32_t admission_service_us(const struct admission *a, uint32_t kind)
{
	const double *us =
		g_hash_table_lookup(a->kinds, GUINT_TO_POINTER(kind));

	return us ? (uint32_t)*us : 0;
}

void admission_rank_waits(const struct admission *a,
			  uint32_t waits_ms[RULES_RANK_LEVELS])
{
	double queued_us[RULES_RANK_LEVELS] = { 0 }, ahead_us = 0;
	double slots = MAX(a->slots, 1);

	for (int i = 0; i < CALL_CLASS_COUNT; i++)
		for (GList *l = a->queues[i].head; l; l = l->next) {
			const struct admission_call *call = l->data;

			queued_us[rank_index(call)] += kind_us(a, call->kind);
		}
	if (a->in_use >= a->slots)
		ahead_us = a->service_us;
	for (uint32_t i = 0; i < RULES_RANK_LEVELS; i++) {
		ahead_us += queued_us[i];
		waits_ms[i] = (uint32_t)(ahead_us / 1000 /
					 (slots * share_left(a, i, slots)));
	}
}

uint32_t admission_wait_ms(const struct admission *a)
{
	double us = a->service_us;

	for (int i = 0; i < CALL_CLASS_COUNT; i++)
		for (GList *l = a->queues[i].head; l; l = l->next)
			us += kind_us(a,
				      ((struct admission_call *)l->data)->kind);
	return (uint32_t)(us / 1000 / MAX(a->slots, 1));
}

uint32_t admission_in_use(const struct admission *a)
{
	return a->in_use;
}

uint32_t admission_queued(const struct admission *a)
{
	return queue_length(a, CALL_CLASS_URGENT) +
	       queue_length(a, CALL_CLASS_BACKGROUND);
}

uint32_t admission_slots(const struct admission *a)
{
	return a->slots;
}

const char *admission_reason_text(enum admission_reason reason)
{
	switch (reason) {
	case ADMISSION_OK:
		return "admitted";
	case ADMISSION_QUEUE_FULL:
		return "the queue is full";
	case ADMISSION_DEADLINE:
		return "the deadline cannot be met";
	case ADMISSION_DRAINING:
		return "the host is leaving";
	case ADMISSION_NO_BACKEND:
		return "the host has no backend server";
	}
	return "unknown";
}
