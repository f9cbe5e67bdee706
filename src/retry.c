#include "fescue/retry.h"

#include <glib.h>

#define MIN_REMAINING_MS 2

const char *call_outcome_name(enum call_outcome outcome)
{
	switch (outcome) {
	case CALL_RAN:
		return "ran";
	case CALL_NOT_RUN:
		return "not-run";
	case CALL_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

enum call_outcome call_outcome_merge(enum call_outcome before,
				     enum call_outcome last)
{
	return before == CALL_NOT_RUN ? last : before;
}

struct retry_budgets {
	uint32_t fleet_burst;
	double max; /* of each budget */
	GHashTable *services; /* name -> struct retry_budget */
};

struct retry_budgets *retry_budgets_create(uint32_t fleet_burst)
{
	struct retry_budgets *b = g_new0(struct retry_budgets, 1);

	b->fleet_burst = fleet_burst;
	b->max = fleet_burst ? RETRY_TOKENS_MIN : RETRY_TOKENS_MAX;
	b->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void retry_budgets_destroy(struct retry_budgets *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->services);
	g_free(b);
}

void retry_budgets_set_nodes(struct retry_budgets *b, size_t nodes)
{
	GHashTableIter iter;
	gpointer value;

	if (!b->fleet_burst)
		return;
	b->max = (double)b->fleet_burst / (double)MAX(nodes, 1);
	b->max = CLAMP(b->max, RETRY_TOKENS_MIN, RETRY_TOKENS_MAX);
	g_hash_table_iter_init(&iter, b->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct retry_budget *)value)->max = b->max;
}

struct retry_budget *retry_budgets_get(struct retry_budgets *b,
				       const char *service)
{
	struct retry_budget *budget = g_hash_table_lookup(b->services, service);

	if (budget)
		return budget;
	budget = g_new0(struct retry_budget, 1);
	budget->max = b->max;
	budget->tokens = b->max;
	g_hash_table_insert(b->services, g_strdup(service), budget);
	return budget;
}

void retry_budget_deposit(struct retry_budget *budget)
{
	double max = budget->max ? budget->max : RETRY_TOKENS_MAX;

	budget->tokens = MIN(budget->tokens + RETRY_DEPOSIT_TOKENS, max);
}

static int is_safe_to_retry(const struct retry_attempt *q)
{
	switch (q->outcome) {
	case CALL_NOT_RUN:
		return 1;
	case CALL_UNKNOWN:
		return q->contract->idempotent;
	case CALL_RAN:
		return q->contract->idempotent && q->server_error;
	}
	return 0;
}

int retry_allow(struct retry_budget *budget, const struct retry_attempt *q)
{
	double cost;

	if (q->final || !is_safe_to_retry(q) ||
	    q->remaining_ms < MIN_REMAINING_MS)
		return 0;
	if (!q->arrived)
		return q->reroutes <= RETRY_REROUTES_MAX;
	cost = q->outcome == CALL_NOT_RUN ? 1 : RETRY_RERUN_COST_TOKENS;
	cost = MIN(cost, budget->max ? budget->max : RETRY_TOKENS_MAX);
	if (q->attempts > q->contract->retries || budget->tokens < cost)
		return 0;
	budget->tokens -= cost;
	return 1;
}
