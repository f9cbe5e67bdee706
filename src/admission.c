#include "fescue/admission.h"

#include "fescue/error.h"

#include <assert.h>
#include <glib.h>

#define SERVICE_TIME_WEIGHT 0.1
#define BACKGROUND_GRANT_PERIOD 10

struct admission {
	enum admission_policy policy;
	uint32_t slots;
	uint32_t in_use;
	int draining;
	double service_us; /* moving average of the time in the slot */
	uint32_t grants; /* since a waiting background call last got a slot */
	GQueue queues[CALL_CLASS_COUNT]; /* struct admission_call */
};

struct admission *admission_create(enum admission_policy policy)
{
	struct admission *a = g_new0(struct admission, 1);

	a->policy = policy;
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

/* Expected milliseconds until a call that joins the queue now is done. */
static uint64_t expected_ms(const struct admission *a,
			    const struct admission_call *call)
{
	uint32_t ahead = queue_length(a, CALL_CLASS_URGENT);
	double us;

	if (call->call_class == CALL_CLASS_BACKGROUND)
		ahead += queue_length(a, CALL_CLASS_BACKGROUND);
	us = a->service_us * (1.0 + (ahead + 1.0) / class_limit(a, call));
	return (uint64_t)(us / 1000);
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
	if (a->policy == ADMISSION_FIFO)
		return ADMISSION_OK;
	if (queue_length(a, call->call_class) >= call->queue)
		return ADMISSION_QUEUE_FULL;
	if (now_ms + expected_ms(a, call) > call->deadline_ms)
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
		return ADMISSION_RUN;
	}
	*reason = queue_refusal(a, call, now_ms);
	if (*reason != ADMISSION_OK)
		return ADMISSION_REFUSED;
	g_queue_push_tail(&a->queues[queue], g_memdup2(call, sizeof(*call)));
	return ADMISSION_QUEUED;
}

void admission_finish(struct admission *a, uint64_t service_us)
{
	assert(a->in_use > 0);
	a->in_use--;
	if (a->service_us == 0)
		a->service_us = (double)service_us;
	a->service_us +=
		SERVICE_TIME_WEIGHT * ((double)service_us - a->service_us);
}

static int pop_expired(struct admission *a, uint64_t now_ms, uint64_t *ticket)
{
	for (int i = 0; i < CALL_CLASS_COUNT; i++) {
		for (GList *l = a->queues[i].head; l; l = l->next) {
			struct admission_call *call = l->data;

			if (now_ms < call->deadline_ms)
				continue;
			*ticket = call->ticket;
			g_free(call);
			g_queue_delete_link(&a->queues[i], l);
			return 1;
		}
	}
	return 0;
}

static int is_late(const struct admission *a, const struct admission_call *call,
		   uint64_t now_ms)
{
	return call->due_ms &&
	       now_ms + (uint64_t)(a->service_us / 1000) > call->due_ms;
}

/* Which of two waiting calls goes first; the queue is in order of arrival. */
static int goes_before(const struct admission *a,
		       const struct admission_call *x,
		       const struct admission_call *y, uint64_t now_ms)
{
	int late_x = is_late(a, x, now_ms), late_y = is_late(a, y, now_ms);

	return late_x != late_y ? late_x < late_y : x->rank < y->rank;
}

static GList *best_waiting(struct admission *a, enum call_class c,
			   uint64_t now_ms)
{
	GList *best = a->queues[c].head;

	if (a->policy == ADMISSION_FIFO)
		return best;
	for (GList *l = best; l; l = l->next)
		if (goes_before(a, l->data, best->data, now_ms))
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

uint32_t admission_service_us(const struct admission *a)
{
	return (uint32_t)a->service_us;
}

uint32_t admission_wait_ms(const struct admission *a)
{
	double queued = admission_queued(a);

	return (uint32_t)(a->service_us / 1000 * (queued + 1) /
			  MAX(a->slots, 1));
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
