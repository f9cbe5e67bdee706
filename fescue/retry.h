/*
 * Retry: may a call be attempted again, and within which budget.
 *
 * Only a call that certainly did not run, or an idempotent one, is attempted
 * again. Moving a call that no backend server has seen is free. Any other
 * repeat spends a token that first attempts of the same service earn, so that
 * repeats stay a bounded share of the calls of each service.
 */
#ifndef FESCUE_RETRY_H
#define FESCUE_RETRY_H

#include "fescue/rules.h"

#include <stddef.h>

enum call_outcome {
	CALL_RAN,
	CALL_NOT_RUN, /* certainly */
	CALL_UNKNOWN, /* may have run */
};

const char *call_outcome_name(enum call_outcome outcome);

/*
 * Outcome of a call whose attempts ended so far as before, and then as last:
 * once one may have run, the call is not known not to have run.
 */
enum call_outcome call_outcome_merge(enum call_outcome before,
				     enum call_outcome last);

/* Token bucket; zero-initialised it holds no tokens. */
struct retry_budget {
	double tokens;
	double max; /* that it holds; 0: RETRY_TOKENS_MAX */
};

#define RETRY_DEPOSIT_TOKENS 0.1
/* The repeat of a run makes the calls of that run again. */
#define RETRY_RERUN_COST_TOKENS 2.0
#define RETRY_TOKENS_MAX 10.0
#define RETRY_TOKENS_MIN 1.0 /* a budget that holds less allows nothing */
/* Hosts that may turn a call away, unseen by their backend servers. */
#define RETRY_REROUTES_MAX 4

/*
 * The budgets of one node, one for each service: what the calls of one service
 * earn is not spent on another, which has to bear the repeats.
 */
struct retry_budgets;

/*
 * fleet_burst is how many repeats of a service all nodes together may send at
 * once beyond their share; 0: RETRY_TOKENS_MAX each.
 */
struct retry_budgets *retry_budgets_create(uint32_t fleet_burst);
void retry_budgets_destroy(struct retry_budgets *budgets);

/* The nodes that share the burst, from now on. */
void retry_budgets_set_nodes(struct retry_budgets *budgets, size_t nodes);

/* The budget of a service; valid until the budgets are destroyed. */
struct retry_budget *retry_budgets_get(struct retry_budgets *budgets,
				       const char *service);

/* A first attempt earns its share of a token. */
void retry_budget_deposit(struct retry_budget *budget);

struct retry_attempt {
	const struct contract *contract;
	uint32_t attempts; /* that a backend server has seen, this one too */
	uint32_t reroutes; /* that none has seen, this one too */
	enum call_outcome outcome; /* of the last one */
	int arrived; /* a backend server has seen the last one */
	int server_error; /* it ran and its answer is a failure of the server */
	int final; /* the answer says another attempt cannot help */
	uint64_t remaining_ms; /* until the call's deadline */
};

/* Returns 1, and spends a token if need be, when it may be attempted again. */
int retry_allow(struct retry_budget *budget,
		const struct retry_attempt *question);

#endif
