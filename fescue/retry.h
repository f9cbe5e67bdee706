/*
 * Retry: may a call be attempted again, and within which budget.
 *
 * Only a call that certainly did not run, or an idempotent one, is attempted
 * again. Retries spend tokens that first attempts earn, so that they stay a
 * bounded share of all calls.
 */
#ifndef FESCUE_RETRY_H
#define FESCUE_RETRY_H

#include "fescue/rules.h"

enum call_outcome {
	CALL_RAN,
	CALL_NOT_RUN, /* certainly */
	CALL_UNKNOWN, /* may have run */
};

const char *call_outcome_name(enum call_outcome outcome);

/* Token bucket; zero-initialised it holds no tokens. */
struct retry_budget {
	double tokens;
};

#define RETRY_TOKENS_PER_CALL 0.1
#define RETRY_TOKENS_MAX 10.0

/* A first attempt earns its share of a token. */
void retry_budget_earn(struct retry_budget *budget);

struct retry_question {
	const struct contract *contract;
	uint32_t attempts; /* made so far */
	enum call_outcome outcome; /* of the last one */
	int final; /* the answer says another attempt cannot help */
	uint64_t remaining_ms; /* until the call's deadline */
};

/* Returns 1 and spends a token when the call may be attempted again. */
int retry_allow(struct retry_budget *budget,
		const struct retry_question *question);

#endif
