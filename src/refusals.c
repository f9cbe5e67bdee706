#include "fescue/refusals.h"

#include <glib.h>

#define RETURN_RATE_SAMPLE_WEIGHT 0.1
#define RETURN_RATE_MIN 0.25 /* below it, callers do not return */

struct refusal {
	uint32_t kind;
	uint64_t fingerprint;
	uint64_t deadline_ms;
	uint64_t arrived_ms;
};

struct refusals {
	GQueue queue; /* struct refusal, the oldest first */
	GHashTable *return_rates; /* kind -> double, a moving average */
};

struct refusals *refusals_create(void)
{
	struct refusals *r = g_new0(struct refusals, 1);

	g_queue_init(&r->queue);
	r->return_rates = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return r;
}

void refusals_destroy(struct refusals *r)
{
	if (!r)
		return;
	g_queue_clear_full(&r->queue, g_free);
	g_hash_table_destroy(r->return_rates);
	g_free(r);
}

static void record_end(struct refusals *r, uint32_t kind, int returned)
{
	double *rate =
		g_hash_table_lookup(r->return_rates, GUINT_TO_POINTER(kind));

	if (!rate) {
		if (g_hash_table_size(r->return_rates) >= REFUSALS_KINDS_MAX)
			g_hash_table_remove_all(r->return_rates);
		rate = g_new(double, 1);
		*rate = 1;
		g_hash_table_insert(r->return_rates, GUINT_TO_POINTER(kind),
				    rate);
	}
	*rate += RETURN_RATE_SAMPLE_WEIGHT * (returned - *rate);
}

int refusals_callers_return(const struct refusals *r, uint32_t kind)
{
	const double *rate =
		g_hash_table_lookup(r->return_rates, GUINT_TO_POINTER(kind));

	return !rate || *rate >= RETURN_RATE_MIN;
}

static void remove_link(struct refusals *r, GList *link)
{
	g_free(link->data);
	g_queue_delete_link(&r->queue, link);
}

void refusals_add(struct refusals *r, uint32_t kind, uint64_t fingerprint,
		  uint64_t deadline_ms, uint64_t arrived_ms, uint64_t now_ms)
{
	struct refusal *refusal;

	if (deadline_ms <= now_ms)
		return;
	if (g_queue_get_length(&r->queue) >= REFUSALS_MAX)
		remove_link(r, r->queue.head);
	refusal = g_new(struct refusal, 1);
	refusal->kind = kind;
	refusal->fingerprint = fingerprint;
	refusal->deadline_ms = deadline_ms;
	refusal->arrived_ms = arrived_ms;
	g_queue_push_tail(&r->queue, refusal);
}

static int matches(const struct refusal *refusal, uint64_t fingerprint,
		   uint64_t deadline_ms)
{
	return refusal->fingerprint == fingerprint &&
	       refusal->deadline_ms <= deadline_ms + REFUSALS_TOLERANCE_MS &&
	       deadline_ms <= refusal->deadline_ms + REFUSALS_TOLERANCE_MS;
}

uint64_t refusals_take(struct refusals *r, uint64_t fingerprint,
		       uint64_t deadline_ms, uint64_t now_ms)
{
	uint64_t arrived_ms = now_ms;
	GList *next;

	for (GList *l = r->queue.head; l; l = next) {
		const struct refusal *refusal = l->data;

		next = l->next;
		if (matches(refusal, fingerprint, deadline_ms)) {
			arrived_ms = refusal->arrived_ms;
			record_end(r, refusal->kind, 1);
			remove_link(r, l);
			break;
		}
		if (refusal->deadline_ms + REFUSALS_TOLERANCE_MS < now_ms) {
			record_end(r, refusal->kind, 0);
			remove_link(r, l);
		}
	}
	return arrived_ms;
}
