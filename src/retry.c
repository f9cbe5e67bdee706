#include "fescue/retry.h"

#include <glib.h>

#define REMAINING_MS_MIN 2 /* to the deadline, for a retry */

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
	double max_tokens; /* of each budget */
	GHashTable *services; /* name -> struct retry_budget */
};

struct retry_budgets *retry_budgets_create(uint32_t fleet_burst)
{
	struct retry_budgets *budgets = g_new0(struct retry_budgets, 1);

	budgets->fleet_burst = fleet_burst;
	budgets->max_tokens = fleet_burst ? RETRY_TOKENS_MIN : RETRY_TOKENS_MAX;
	budgets->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budgets;
}

void retry_budgets_destroy(struct retry_budgets *budgets)
{
	if (!budgets)
		return;
	g_hash_table_destroy(budgets->services);
	g_free(budgets);
}

void retry_budgets_set_nodes(struct retry_budgets *budgets, size_t nodes)
{
	GHashTableIter iter;
	gpointer value;

	if (!budgets->fleet_burst)
		return;
	budgets->max_tokens =
		(double)budgets->fleet_burst / (double)MAX(nodes, 1);
	budgets->max_tokens =
		CLAMP(budgets->max_tokens, RETRY_TOKENS_MIN, RETRY_TOKENS_MAX);
	g_hash_table_iter_init(&iter, budgets->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct retry_budget *)value)->max_tokens =
			budgets->max_tokens;
}

struct retry_budget *retry_budgets_get(struct retry_budgets *budgets,
				       const char *service)
{
	struct retry_budget *budget =
		g_hash_table_lookup(budgets->services, service);

	if (budget)
		return budget;
	budget = g_new0(struct retry_budget, 1);
	budget->max_tokens = budgets->max_tokens;
	budget->tokens = budgets->max_tokens;
	g_hash_table_insert(budgets->services, g_strdup(service), budget);
	return budget;
}

static double budget_max_tokens(const struct retry_budget *budget)
{
	return budget->max_tokens ? budget->max_tokens : RETRY_TOKENS_MAX;
}

/* Cost of an attempt after or beside one that may have run. */
static double rerun_cost(const struct retry_budget *budget)
{
	return MIN(RETRY_RERUN_COST_TOKENS, budget_max_tokens(budget));
}

void retry_budget_deposit(struct retry_budget *budget)
{
	double max_tokens = budget_max_tokens(budget);

	budget->tokens = MIN(budget->tokens + RETRY_DEPOSIT_TOKENS, max_tokens);
	budget->final_tokens =
		MIN(budget->final_tokens + RETRY_FINAL_DEPOSIT_TOKENS,
		    RETRY_FINAL_TOKENS_MAX);
	if (budget->tokens >= max_tokens)
		budget->contended = 0;
}

static int is_safe_to_retry(const struct retry_attempt *attempt)
{
	switch (attempt->outcome) {
	case CALL_NOT_RUN:
		return 1;
	case CALL_UNKNOWN:
		return attempt->call_policy->idempotent;
	case CALL_RAN:
		return attempt->call_policy->idempotent &&
		       attempt->server_error;
	}
	return 0;
}

/* Returns 1 after withdrawing the cost, or 0 if the tokens do not suffice. */
static int withdraw(struct retry_budget *budget, double cost, int last_chance)
{
	if (last_chance && budget->final_tokens >= cost) {
		budget->final_tokens -= cost;
		return 1;
	}
	if (!last_chance && budget->contended)
		return 0;
	if (budget->tokens < cost) {
		budget->contended |= last_chance;
		return 0;
	}
	budget->tokens -= cost;
	return 1;
}

int retry_allow(struct retry_budget *budget,
		const struct retry_attempt *attempt)
{
	double cost;

	if (attempt->final || !is_safe_to_retry(attempt) ||
	    attempt->remaining_ms < REMAINING_MS_MIN)
		return 0;
	if (!attempt->arrived)
		return attempt->reroutes <= RETRY_REROUTES_MAX;
	cost = attempt->outcome == CALL_NOT_RUN ?
		       MIN(RETRY_COST_TOKENS, budget_max_tokens(budget)) :
		       rerun_cost(budget);
	if (attempt->attempts > attempt->call_policy->retries)
		return 0;
	return withdraw(budget, cost, attempt->last_chance);
}

double retry_budget_hedge_share(const struct retry_budget *budget)
{
	return RETRY_DEPOSIT_TOKENS / rerun_cost(budget);
}

int retry_budget_allows_hedge(const struct retry_budget *budget)
{
	return !budget->contended && budget->tokens >= rerun_cost(budget) &&
	       budget->tokens > budget_max_tokens(budget) / 2;
}

void retry_budget_take_hedge(struct retry_budget *budget)
{
	budget->tokens -= rerun_cost(budget);
}
