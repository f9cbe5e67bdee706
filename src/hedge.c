#include "fescue/hedge.h"

#include "fescue/error.h"
#include "fescue/histogram.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/*
 * The distribution is that of the current and the previous window. With few
 * samples a window is longer, so that rarely called routes learn as well.
 */
#define WINDOW_MS 5000
#define WINDOW_MAX_MS 20000
#define SAMPLES_MIN 30
#define DELAY_VALID_MS 100 /* a delay is computed anew after this time */
/* Hedges that may be saved up, for slow hosts that hold many calls at once. */
#define CREDIT_MAX 10.0
/* Below, hosts with a free slot are found easily and calls rarely queue. */
#define UTILIZATION_MAX 0.8
/* All are dropped at this number, as old versions of the rules leave some. */
#define KINDS_MAX 256

struct kind_hedges {
	struct histogram current_us;
	struct histogram previous_us;
	uint64_t current_began_ms;
	double credit; /* hedges that the share permits */
	uint64_t delay_us;
	double delay_fraction; /* percentile that delay_us is */
	uint64_t delay_valid_until_ms;
};

struct hedges {
	GHashTable *kinds; /* kind -> struct kind_hedges */
};

struct hedges *hedges_create(void)
{
	struct hedges *h = g_new0(struct hedges, 1);

	h->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return h;
}

void hedges_destroy(struct hedges *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->kinds);
	g_free(h);
}

static struct kind_hedges *find_kind(const struct hedges *h, uint32_t kind)
{
	return g_hash_table_lookup(h->kinds, GUINT_TO_POINTER(kind));
}

static struct kind_hedges *get_kind(struct hedges *h, uint32_t kind)
{
	struct kind_hedges *k = find_kind(h, kind);

	if (k)
		return k;
	if (g_hash_table_size(h->kinds) >= KINDS_MAX)
		g_hash_table_remove_all(h->kinds);
	k = g_new0(struct kind_hedges, 1);
	g_hash_table_insert(h->kinds, GUINT_TO_POINTER(kind), k);
	return k;
}

void hedges_count_call(struct hedges *h, uint32_t kind, uint32_t percent)
{
	struct kind_hedges *k = get_kind(h, kind);

	k->credit = MIN(k->credit + percent / 100.0, CREDIT_MAX);
}

static void advance_window(struct kind_hedges *k, uint64_t now_ms)
{
	uint64_t age = now_ms - k->current_began_ms;

	if (age < WINDOW_MS ||
	    (k->current_us.count < SAMPLES_MIN && age < WINDOW_MAX_MS))
		return;
	k->previous_us = k->current_us;
	memset(&k->current_us, 0, sizeof(k->current_us));
	k->current_began_ms = now_ms;
}

void hedges_record(struct hedges *h, uint32_t kind, uint64_t latency_us,
		   uint64_t now_ms)
{
	struct kind_hedges *k = get_kind(h, kind);

	advance_window(k, now_ms);
	histogram_record(&k->current_us, latency_us);
}

/* Percentile of both windows; 0 if they hold too few samples. */
static uint64_t percentile_us(const struct kind_hedges *k, double fraction)
{
	struct histogram all;

	if (k->current_us.count + k->previous_us.count < SAMPLES_MIN)
		return 0;
	all = k->current_us;
	histogram_merge(&all, &k->previous_us);
	return histogram_percentile(&all, fraction);
}

int hedges_delay(struct hedges *h, uint32_t kind, uint32_t percent,
		 const struct retry_budget *budget, uint64_t now_ms,
		 uint32_t *delay_ms)
{
	double fraction =
		1 - MIN(percent / 100.0, retry_budget_hedge_share(budget));
	struct kind_hedges *k = percent ? find_kind(h, kind) : NULL;

	if (!k)
		return FESCUE_ENOTFOUND;
	advance_window(k, now_ms);
	if (!k->delay_us || now_ms >= k->delay_valid_until_ms ||
	    k->delay_fraction < fraction || k->delay_fraction > fraction) {
		k->delay_us = percentile_us(k, fraction);
		k->delay_fraction = fraction;
		k->delay_valid_until_ms = now_ms + DELAY_VALID_MS;
	}
	if (!k->delay_us)
		return FESCUE_ENOTFOUND;
	*delay_ms = (uint32_t)MIN((k->delay_us + 999) / 1000, UINT32_MAX);
	return FESCUE_OK;
}

static double usual_service_ms(const struct kind_hedges *k,
			       const struct hedge_call *call)
{
	return call->service_ms > 0 ? call->service_ms :
				      (double)percentile_us(k, 0.5) / 1000;
}

enum hedge_decision hedges_check(struct hedges *h,
				 const struct hedge_call *call)
{
	const struct kind_hedges *k = find_kind(h, call->kind);

	if (!call->call_policy->idempotent)
		return HEDGE_NOT_IDEMPOTENT;
	if (call->attempts > call->call_policy->retries)
		return HEDGE_NO_RETRIES;
	if (call->stopping)
		return HEDGE_STOPPING;
	if (call->rollout)
		return HEDGE_ROLLOUT;
	if (!k || k->credit < 1)
		return HEDGE_SHARE;
	if ((double)call->remaining_ms < usual_service_ms(k, call))
		return HEDGE_DEADLINE;
	if (call->utilization > UTILIZATION_MAX)
		return HEDGE_BUSY;
	if (!retry_budget_allows_hedge(call->budget))
		return HEDGE_BUDGET;
	return HEDGE_SEND;
}

void hedges_take(struct hedges *h, uint32_t kind, struct retry_budget *budget)
{
	struct kind_hedges *k = find_kind(h, kind);

	assert(k && k->credit >= 1);
	k->credit -= 1;
	retry_budget_take_hedge(budget);
}
