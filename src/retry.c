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

enum call_outcome call_outcome_add(enum call_outcome before,
				   enum call_outcome last)
{
	return before == CALL_NOT_RUN ? last : before;
}

void retry_budget_earn(struct retry_budget *budget)
{
	budget->tokens += RETRY_TOKENS_PER_CALL;
	if (budget->tokens > RETRY_TOKENS_MAX)
		budget->tokens = RETRY_TOKENS_MAX;
}

static int is_safe(const struct retry_question *q)
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

int retry_allow(struct retry_budget *budget, const struct retry_question *q)
{
	if (q->final || !is_safe(q) || q->remaining_ms < MIN_REMAINING_MS)
		return 0;
	if (!q->arrived)
		return q->moves <= RETRY_MOVES_MAX;
	if (q->attempts > q->contract->retries || budget->tokens < 1)
		return 0;
	budget->tokens -= 1;
	return 1;
}
