#include "fescue/retry.h"

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

void retry_budget_earn(struct retry_budget *budget)
{
	budget->tokens += RETRY_TOKENS_PER_CALL;
	if (budget->tokens > RETRY_TOKENS_MAX)
		budget->tokens = RETRY_TOKENS_MAX;
}

static int is_safe(const struct retry_question *q)
{
	if (q->outcome == CALL_NOT_RUN)
		return 1;
	return q->outcome == CALL_UNKNOWN && q->contract->idempotent;
}

int retry_allow(struct retry_budget *budget, const struct retry_question *q)
{
	if (q->final || !is_safe(q))
		return 0;
	if (q->attempts > q->contract->retries)
		return 0;
	if (q->remaining_ms < MIN_REMAINING_MS)
		return 0;
	if (budget->tokens < 1)
		return 0;
	budget->tokens -= 1;
	return 1;
}
