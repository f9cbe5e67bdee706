/*
 * Retry: decides whether a call is retried, within a retry budget.
 *
 * A call is retried only if it certainly did not run or is idempotent.
 * Rerouting a call that no backend server received costs nothing. Any other
 * retry withdraws tokens from the budget of its service, into which first
 * attempts deposit, so that retries stay a bounded share of each service's
 * calls. The module does no I/O and reads no clock.
 */
#ifndef FESCUE_RETRY_H
#define FESCUE_RETRY_H

#include "fescue/rules.h"

#include <stddef.h>

enum call_outcome {
	CALL_RAN,
	CALL_NOT_RUN, /* certainly not executed */
	CALL_UNKNOWN, /* may have been executed */
};

/* Returns the name in answer headers and logs, a static string. */
const char *call_outcome_name(enum call_outcome outcome);

/*
 * Merges the outcome of the earlier attempts of a call with that of its last
 * attempt. The result is CALL_NOT_RUN only if both are.
 */
enum call_outcome call_outcome_merge(enum call_outcome before,
				     enum call_outcome last);

/* Token buckets. Initialized with zeros they are empty. */
struct retry_budget {
	double tokens;
	double max_tokens; /* 0: RETRY_TOKENS_MAX */
	/* For calls whose callers do not come back after a refusal. */
	double final_tokens;
	/* Such a call got no token since the bucket was full; others wait. */
	int contended;
};

#define RETRY_DEPOSIT_TOKENS 0.1 /* by each first attempt */
/*
 * Deposit for calls whose callers do not come back. With the retries of runs,
 * which cost 2 of 0.1 and repeat nested calls, the sum is a fifth of the calls.
 */
#define RETRY_FINAL_DEPOSIT_TOKENS 0.05
#define RETRY_FINAL_TOKENS_MAX 1.0
#define RETRY_COST_TOKENS 1.0
/* Of a call that may have run: its nested calls are made again as well. */
#define RETRY_RERUN_COST_TOKENS 2.0
#define RETRY_TOKENS_MAX 10.0
#define RETRY_TOKENS_MIN 1.0 /* least max_tokens: the cost of one retry */
/* Reroutes per call, each after an attempt that no backend server received. */
#define RETRY_REROUTES_MAX 4

/*
 * The retry budgets of one node, one for each service, so that a service gets
 * no retries out of the deposits of another.
 */
struct retry_budgets;

/*
 * fleet_burst: retries of one service that all nodes together may send at once
 * beyond the deposits. It is divided equally among the nodes, within the limits
 * RETRY_TOKENS_MIN and RETRY_TOKENS_MAX; until retry_budgets_set_nodes() is
 * called each budget holds RETRY_TOKENS_MIN. 0: each holds RETRY_TOKENS_MAX.
 */
struct retry_budgets *retry_budgets_create(uint32_t fleet_burst);

/* budgets may be NULL. */
void retry_budgets_destroy(struct retry_budgets *budgets);

/* Sets the number of nodes that share the burst; call when it changes. */
void retry_budgets_set_nodes(struct retry_budgets *budgets, size_t nodes);

/*
 * Returns the budget of a service, which is created full. It is owned by
 * budgets and valid until these are destroyed.
 */
struct retry_budget *retry_budgets_get(struct retry_budgets *budgets,
				       const char *service);

/* Adds the deposits. Call once for the first attempt of a call. */
void retry_budget_deposit(struct retry_budget *budget);

/* An attempt that failed. The counts are of the call and include it. */
struct retry_attempt {
	const struct call_policy *call_policy;
	uint32_t attempts; /* that a backend server received */
	uint32_t reroutes; /* attempts that no backend server received */
	enum call_outcome outcome; /* of this attempt */
	int arrived; /* a backend server received it, or may have */
	int server_error; /* it ran, and the backend server itself failed */
	int final; /* the host reports that a retry cannot succeed */
	/*
	 * The caller would not come back after a refusal, as that of a nested
	 * call, whose failure wastes the run that made it. Such calls get tokens
	 * first.
	 */
	int last_chance;
	uint64_t remaining_ms; /* until the call's deadline */
};

/*
 * Returns 1 if the call may be attempted again, after withdrawing the cost of
 * the retry from the budget; otherwise 0.
 */
int retry_allow(struct retry_budget *budget,
		const struct retry_attempt *attempt);

/*
 * Share of a service's calls that the deposits let be hedged, each at the cost
 * of the retry of a run.
 */
double retry_budget_hedge_share(const struct retry_budget *budget);

/*
 * Returns 1 if a hedge may be sent: the budget holds its cost, is more than half
 * full, so that retries after failures find tokens, and is not contended.
 */
int retry_budget_allows_hedge(const struct retry_budget *budget);

/* Withdraws the cost of a hedge, which retry_budget_allows_hedge() permits. */
void retry_budget_take_hedge(struct retry_budget *budget);

#endif
