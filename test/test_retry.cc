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

struct retry_attempt question(struct contract *contract,
			      enum call_outcome outcome)
{
	struct retry_attempt q = {};

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
	struct retry_budget budget = { 10, 0 };
	struct retry_attempt q = question(&plain, CALL_NOT_RUN);

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
	struct retry_budget budget = { 10, 0 };
	struct retry_attempt q = question(&c, CALL_NOT_RUN);

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
	struct retry_budget budget = { 0, 0 };
	struct retry_attempt q = question(&plain, CALL_NOT_RUN);

	q.arrived = 0;
	for (q.reroutes = 1; q.reroutes <= RETRY_REROUTES_MAX; q.reroutes++)
		EXPECT_TRUE(retry_allow(&budget, &q));
	EXPECT_FALSE(retry_allow(&budget, &q));
	q.reroutes = 1;
	q.final = 1;
	EXPECT_FALSE(retry_allow(&budget, &q));
	q.final = 0;
	q.arrived = 1;
	EXPECT_FALSE(retry_allow(&budget, &q)) << "it costs a token";
}

TEST(retry, call_that_may_have_run_stays_so)
{
	EXPECT_EQ(call_outcome_merge(CALL_NOT_RUN, CALL_NOT_RUN), CALL_NOT_RUN);
	EXPECT_EQ(call_outcome_merge(CALL_NOT_RUN, CALL_UNKNOWN), CALL_UNKNOWN);
	EXPECT_EQ(call_outcome_merge(CALL_UNKNOWN, CALL_NOT_RUN), CALL_UNKNOWN);
	EXPECT_EQ(call_outcome_merge(CALL_RAN, CALL_NOT_RUN), CALL_RAN);
}

TEST(retry, failures_of_the_server_are_repeated_if_idempotent)
{
	struct contract plain = contract_of(0, 100, 3);
	struct contract idempotent = contract_of(1, 100, 3);
	struct retry_budget budget = { 10, 0 };
	struct retry_attempt q = question(&idempotent, CALL_RAN);

	q.server_error = 1;
	EXPECT_TRUE(retry_allow(&budget, &q));
	q.contract = &plain;
	EXPECT_FALSE(retry_allow(&budget, &q));
}

/* While everything fails, retries stay a tenth of the calls. */
TEST(retry, budget_bounds_amplification)
{
	struct contract c = contract_of(1, 100, 5);
	struct retry_budget budget = { RETRY_TOKENS_MAX, 0 };
	struct retry_attempt q = question(&c, CALL_NOT_RUN);
	int retries = 0;

	for (int i = 0; i < 10000; i++) {
		retry_budget_deposit(&budget);
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

/*
 * Load: all backend servers of a service turn 45% of their calls away for 8.5
 * s, on 58 nodes. Calls of "rounds" make calls of "history" of their own and
 * fail with them; a repeat makes them again. Returns by how much the repeats
 * that history gets in some 10 s go over a fifth of its calls and 156.
 */
double repeats_over_budget()
{
	const int nodes = 58, seconds = 30;
	GRand *random = g_rand_new_with_seed(11);
	std::vector<struct retry_budgets *> budgets;
	std::vector<double> calls(seconds), repeats(seconds);
	struct contract contract = {};
	double worst = -1e9;

	contract.idempotent = 1;
	contract.retries = 2;
	for (int i = 0; i < nodes; i++) {
		budgets.push_back(retry_budgets_create(156));
		retry_budgets_set_nodes(budgets.back(), nodes);
	}
	/* One call at a history server; 1 if it was served. */
	auto history = [&](int second, bool first) {
		int node = g_rand_int_range(random, 0, nodes);
		bool grey = second >= 10 && second < 18;
		struct retry_budget *b =
			retry_budgets_get(budgets[(size_t)node], "history");
		struct retry_attempt q = {};

		q.contract = &contract;
		q.outcome = CALL_NOT_RUN;
		q.arrived = 1;
		q.remaining_ms = 500;
		calls[(size_t)second] += first;
		repeats[(size_t)second] += !first;
		retry_budget_deposit(b);
		for (q.attempts = 1;; q.attempts++) {
			if (!grey || g_rand_double(random) > 0.45)
				return true;
			if (!retry_allow(b, &q))
				return false;
			repeats[(size_t)second]++;
		}
	};
	for (int second = 0; second < seconds; second++) {
		for (int i = 0; i < 457; i++)
			history(second, true);
		for (int i = 0; i < 1239; i++) {
			struct retry_budget *b = retry_budgets_get(
				budgets[(size_t)(i % nodes)], "rounds");
			struct retry_attempt q = {};
			bool nests = g_rand_double(random) < 0.5;

			q.contract = &contract;
			q.outcome = CALL_RAN;
			q.arrived = q.server_error = 1;
			q.remaining_ms = 500;
			retry_budget_deposit(b);
			for (q.attempts = 1;; q.attempts++) {
				bool first = q.attempts == 1, good = true;

				for (int n = 0; nests && n < 2; n++)
					good &= history(second, first);
				if (good || q.attempts == 2 ||
				    !retry_allow(b, &q))
					break;
			}
		}
	}
	for (size_t from = 0; from + 10 <= seconds; from++) {
		double all = 0, again = 0;

		for (size_t i = from; i < from + 10; i++) {
			all += calls[i];
			again += repeats[i];
		}
		worst = MAX(worst, again - 0.2 * all - 156);
	}
	for (auto *b : budgets)
		retry_budgets_destroy(b);
	g_rand_free(random);
	return worst;
}

TEST(retry, repeats_of_a_service_keep_the_fleets_budget)
{
	EXPECT_LE(repeats_over_budget(), 0);
}

TEST(retry, burst_is_shared_by_the_nodes)
{
	struct retry_budgets *b = retry_budgets_create(60);
	struct retry_budget *a;

	retry_budgets_set_nodes(b, 12);
	a = retry_budgets_get(b, "a");
	EXPECT_EQ(a->tokens, 5);
	for (int i = 0; i < 1000; i++)
		retry_budget_deposit(a);
	EXPECT_EQ(a->tokens, 5);
	retry_budgets_set_nodes(b, 600);
	retry_budget_deposit(a);
	EXPECT_EQ(a->tokens, RETRY_TOKENS_MIN);
	EXPECT_NE(retry_budgets_get(b, "b"), a);
	retry_budgets_destroy(b);
}

} // namespace
