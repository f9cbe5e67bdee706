#include "support.h"

extern "C" {
#include "fescue/floor.h"
#include "fescue/histogram.h"
#include "fescue/retry.h"
}

namespace
{

struct contract contract_of(int idempotent, uint32_t deadline_ms,
			    uint32_t retries)
{
	struct contract c = {};

	c.idempotent = idempotent;
	c.deadline_ms = deadline_ms;
	c.retries = retries;
	return c;
}

struct retry_question question(struct contract *contract,
			       enum call_outcome outcome)
{
	struct retry_question q = {};

	q.contract = contract;
	q.attempts = 1;
	q.outcome = outcome;
	q.arrived = 1;
	q.remaining_ms = 100;
	return q;
}

TEST(retry, only_safe_calls_are_attempted_again)
{
	struct contract plain = contract_of(0, 100, 3);
	struct contract idempotent = contract_of(1, 100, 3);
	struct retry_budget budget = { 10 };
	struct retry_question q = question(&plain, CALL_NOT_RUN);

	EXPECT_TRUE(retry_allow(&budget, &q));
	q = question(&plain, CALL_UNKNOWN);
	EXPECT_FALSE(retry_allow(&budget, &q));
	q = question(&idempotent, CALL_UNKNOWN);
	EXPECT_TRUE(retry_allow(&budget, &q));
	q = question(&idempotent, CALL_RAN);
	EXPECT_FALSE(retry_allow(&budget, &q));
}

TEST(retry, bounds)
{
	struct contract c = contract_of(1, 100, 2);
	struct retry_budget budget = { 10 };
	struct retry_question q = question(&c, CALL_NOT_RUN);

	q.attempts = 3;
	EXPECT_FALSE(retry_allow(&budget, &q));
	q.attempts = 2;
	EXPECT_TRUE(retry_allow(&budget, &q));
	q.final = 1;
	EXPECT_FALSE(retry_allow(&budget, &q));
	q.final = 0;
	q.remaining_ms = 1;
	EXPECT_FALSE(retry_allow(&budget, &q));
}

/* A call that no backend server has seen moves on, even without tokens. */
TEST(retry, moves_are_free_and_bounded)
{
	struct contract plain = contract_of(0, 100, 0);
	struct retry_budget budget = { 0 };
	struct retry_question q = question(&plain, CALL_NOT_RUN);

	q.arrived = 0;
	for (q.moves = 1; q.moves <= RETRY_MOVES_MAX; q.moves++)
		EXPECT_TRUE(retry_allow(&budget, &q));
	EXPECT_FALSE(retry_allow(&budget, &q));
	q.moves = 1;
	q.final = 1;
	EXPECT_FALSE(retry_allow(&budget, &q));
	q.final = 0;
	q.arrived = 1;
	EXPECT_FALSE(retry_allow(&budget, &q)) << "it costs a token";
}

TEST(retry, call_that_may_have_run_stays_so)
{
	EXPECT_EQ(call_outcome_add(CALL_NOT_RUN, CALL_NOT_RUN), CALL_NOT_RUN);
	EXPECT_EQ(call_outcome_add(CALL_NOT_RUN, CALL_UNKNOWN), CALL_UNKNOWN);
	EXPECT_EQ(call_outcome_add(CALL_UNKNOWN, CALL_NOT_RUN), CALL_UNKNOWN);
	EXPECT_EQ(call_outcome_add(CALL_RAN, CALL_NOT_RUN), CALL_RAN);
}

TEST(retry, failures_of_the_server_are_repeated_if_idempotent)
{
	struct contract plain = contract_of(0, 100, 3);
	struct contract idempotent = contract_of(1, 100, 3);
	struct retry_budget budget = { 10 };
	struct retry_question q = question(&idempotent, CALL_RAN);

	q.server_error = 1;
	EXPECT_TRUE(retry_allow(&budget, &q));
	q.contract = &plain;
	EXPECT_FALSE(retry_allow(&budget, &q));
}

/* While everything fails, retries stay a tenth of the calls. */
TEST(retry, budget_bounds_amplification)
{
	struct contract c = contract_of(1, 100, 5);
	struct retry_budget budget = { RETRY_TOKENS_MAX };
	struct retry_question q = question(&c, CALL_NOT_RUN);
	int retries = 0;

	for (int i = 0; i < 10000; i++) {
		retry_budget_earn(&budget);
		for (q.attempts = 1; retry_allow(&budget, &q); q.attempts++)
			retries++;
	}
	EXPECT_LE(retries, 10000 / 10 + (int)RETRY_TOKENS_MAX);
	EXPECT_GE(retries, 990);
}

TEST(histogram, percentiles_are_close)
{
	static struct histogram h, other;

	for (uint64_t i = 1; i <= 100000; i++)
		histogram_record(&h, i);
	for (double share : { 0.01, 0.5, 0.9, 0.99, 0.999 }) {
		double value = (double)histogram_percentile(&h, share);

		EXPECT_GE(value, share * 100000 * 0.99);
		EXPECT_LE(value, share * 100000 * 1.25);
	}
	EXPECT_EQ(histogram_percentile(&h, 1), 100000u);
	histogram_record(&other, 200000);
	histogram_merge(&h, &other);
	EXPECT_EQ(h.count, 100001u);
	EXPECT_EQ(h.max, 200000u);
	histogram_record(&h, UINT64_MAX);
	EXPECT_EQ(h.max, UINT64_MAX);
}

TEST(histogram, empty)
{
	static struct histogram h;

	EXPECT_EQ(histogram_percentile(&h, 0.5), 0u);
}

TEST(floor, store_confirms_at_once)
{
	struct floor f = {};

	EXPECT_FALSE(floor_allows(&f, 9));
	floor_confirm_by_store(&f, 5);
	EXPECT_FALSE(floor_allows(&f, 4));
	EXPECT_TRUE(floor_allows(&f, 5));
}

TEST(floor, peers_confirm_after_the_settle_time)
{
	struct floor f = {};

	EXPECT_FALSE(floor_confirm_by_peers(&f, 0, 3, 1));
	EXPECT_FALSE(floor_confirm_by_peers(&f, 1, 3, 1000));
	EXPECT_FALSE(floor_confirm_by_peers(&f, 1, 7, 3999));
	EXPECT_FALSE(floor_allows(&f, 7));
	EXPECT_TRUE(floor_confirm_by_peers(&f, 1, 7, 4000));
	EXPECT_FALSE(floor_allows(&f, 6));
	EXPECT_TRUE(floor_allows(&f, 7));
	/* A change under way does not stop a node that serves. */
	floor_confirm_by_peers(&f, 1, 8, 5000);
	EXPECT_TRUE(floor_allows(&f, 7));
	floor_reset(&f);
	EXPECT_FALSE(floor_allows(&f, 7));
}

} // namespace
