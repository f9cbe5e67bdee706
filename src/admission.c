#include "fescue/admission.h"

#include "fescue/error.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

#define SERVICE_TIME_WEIGHT 0.05
#define KINDS_MAX 256 /* routes come and go with versions */
#define SHARE_HALF_LIFE_MS 1000.0 /* of the work that ranks were granted */
#define SHARE_LEFT_MIN 0.1 /* even under a flood of lower ranks */
/* Work times vary: below this part of the mean a call has no real chance. */
#define CHANCE_SHARE 0.6
#define BACKGROUND_GRANT_PERIOD 10

struct admission {
	enum admission_policy policy;
	uint32_t slots;
	uint32_t in_use;
	int draining;
	double service_us; /* moving average of the time in the slot */
	GHashTable *kinds; /* kind -> double, the same for its calls */
	double granted_us[RULES_RANK_LEVELS]; /* work granted lately, decaying */
	uint64_t granted_at_ms;
	uint32_t grants; /* since a waiting background call last got a slot */
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

static void note_grant(struct admission *a, const struct admission_call *call,
		       uint64_t now_ms)
{
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

static int is_late(const struct admission *a, const struct admission_call *call,
		   uint64_t now_ms)
{
	return call->due_ms &&
	       now_ms + (uint64_t)(kind_us(a, call->kind) / 1000) >
		       call->due_ms;
}

/* Which of two waiting calls goes first; x came before y if they are equal. */
static int goes_before(const struct admission *a,
		       const struct admission_call *x,
		       const struct admission_call *y, uint64_t now_ms)
{
	int late_x, late_y;

	if (x->rank != y->rank)
		return x->rank < y->rank;
	late_x = is_late(a, x, now_ms);
	late_y = is_late(a, y, now_ms);
	if (late_x != late_y)
		return late_y;
	return x->due_ms <= y->due_ms;
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

static int queues_are_empty(const struct admission *a)
{
	return !admission_queued(a);
}

enum admission_verdict admission_offer(struct admission *a,
				       const struct admission_call *call,
				       uint64_t now_ms,
				       enum admission_reason *reason)
{
	enum call_class queue = a->policy == ADMISSION_FIFO ?
					CALL_CLASS_URGENT :
					call->call_class;
	int first = call->call_class == CALL_CLASS_URGENT &&
				    a->policy == ADMISSION_CLASSES ?
			    !queue_length(a, CALL_CLASS_URGENT) :
			    queues_are_empty(a);

	*reason = refusal(a, call, now_ms);
	if (*reason != ADMISSION_OK)
		return ADMISSION_REFUSED;
	if (first && a->in_use < class_limit(a, call)) {
		a->in_use++;
		note_grant(a, call, now_ms);
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

void admission_finish(struct admission *a, uint32_t kind, uint64_t service_us)
{
	assert(a->in_use > 0);
	a->in_use--;
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
		needed_ms = kind_us(a, call->kind) / 1000 * CHANCE_SHARE;
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

static GList *best_waiting(struct admission *a, enum call_class c,
			   uint64_t now_ms)
{
	GList *best = a->queues[c].head;

	if (a->policy == ADMISSION_FIFO)
		return best;
	for (GList *l = best ? best->next : NULL; l; l = l->next)
		if (!goes_before(a, best->data, l->data, now_ms))
			best = l;
	return best;
}

static int pop_class(struct admission *a, enum call_class c, int floor,
		     uint64_t now_ms, uint64_t *ticket)
{
	GList *best = best_waiting(a, c, now_ms);
	struct admission_call *call = best ? best->data : NULL;

	if (!call)
		return 0;
	if (a->in_use >= (floor ? a->slots : class_limit(a, call)))
		return 0;
	*ticket = call->ticket;
	note_grant(a, call, now_ms);
	g_free(call);
	g_queue_delete_link(&a->queues[c], best);
	a->in_use++;
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
