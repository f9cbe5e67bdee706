#include "support.h"

extern "C" {
#include "fescue/announcement.h"
#include "fescue/answer_cache.h"
}

namespace
{

struct announcement beat(const char *id, uint64_t started, uint64_t sequence,
			 int leaving = 0)
{
	struct announcement a = {};

	g_strlcpy(a.id, id, sizeof(a.id));
	g_strlcpy(a.service, "s", sizeof(a.service));
	a.slots = 1;
	a.started_ms = started;
	a.sequence = sequence;
	a.leaving = leaving;
	return a;
}

struct record {
	struct announcement_record r = {};

	enum announcement_verdict take(const struct announcement &a)
	{
		return announcement_take(&r, &a);
	}
};

TEST(announcement, overtaken_heartbeats_are_stale)
{
	record x;

	EXPECT_EQ(x.take(beat("a", 10, 5)), ANNOUNCEMENT_NEW);
	EXPECT_EQ(x.take(beat("a", 10, 6)), ANNOUNCEMENT_RENEWED);
	EXPECT_EQ(x.take(beat("a", 10, 5)), ANNOUNCEMENT_STALE);
}

/* A delayed heartbeat of an earlier incarnation, under either id. */
TEST(announcement, earlier_incarnations_are_stale)
{
	record x;

	x.take(beat("b", 20, 1));
	EXPECT_EQ(x.take(beat("a", 10, 90)), ANNOUNCEMENT_STALE);
	EXPECT_EQ(x.take(beat("b", 15, 90)), ANNOUNCEMENT_STALE);
	EXPECT_EQ(x.take(beat("b", 30, 1)), ANNOUNCEMENT_NEW);
	EXPECT_STREQ(x.r.current.id, "b");
}

TEST(announcement, leaving_is_for_good)
{
	record x;

	x.take(beat("a", 10, 1));
	x.take(beat("a", 10, 2, 1));
	EXPECT_TRUE(x.r.leaving);
	x.take(beat("a", 10, 3));
	EXPECT_TRUE(x.r.leaving);
	EXPECT_EQ(x.take(beat("a", 11, 1)), ANNOUNCEMENT_NEW);
	EXPECT_FALSE(x.r.leaving);
	EXPECT_TRUE(announcement_end(&x.r, "a"));
	EXPECT_TRUE(x.r.leaving);
	EXPECT_FALSE(announcement_end(&x.r, "other"));
}

/* A node that starts beside a leaving backend server hears of its end only. */
TEST(announcement, end_of_an_unknown_one_outlives_late_heartbeats)
{
	record x;

	announcement_end(&x.r, "a");
	x.take(beat("a", 10, 7));
	EXPECT_TRUE(x.r.leaving);
	EXPECT_EQ(x.take(beat("b", 20, 1)), ANNOUNCEMENT_NEW);
	EXPECT_FALSE(x.r.leaving);
}

/* A node that starts beside one that left is told by its peers. */
TEST(announcement, one_that_left_before_the_node_started_stays_so)
{
	struct announcement left = beat("a", 10, 7);
	record early, late, plain;

	early.take(left);
	announcement_note_left(&early.r, announcement_fingerprint(&left));
	EXPECT_TRUE(early.r.leaving);
	early.take(beat("a", 10, 8));
	EXPECT_TRUE(early.r.leaving);
	announcement_note_left(&late.r, announcement_fingerprint(&left));
	late.take(left);
	EXPECT_TRUE(late.r.leaving);
	late.take(beat("a", 11, 1)); /* it started again */
	EXPECT_FALSE(late.r.leaving);
	EXPECT_EQ(announcement_fingerprint(&plain.r.current), 0u);
	announcement_note_left(&plain.r, 0);
	plain.take(beat("", 0, 0));
	EXPECT_FALSE(plain.r.leaving);
}

/* Without identity, the latest word counts. */
TEST(announcement, plain_announcements)
{
	record x;

	x.take(beat("", 0, 0));
	x.r.leaving = 1;
	x.take(beat("", 0, 0));
	EXPECT_FALSE(x.r.leaving);
}

/*
 * Heartbeats in any order: the incarnation that is kept never gets older,
 * and its sequence never falls.
 */
TEST(announcement, random_orders_never_go_back)
{
	GRand *random = g_rand_new_with_seed(3);

	for (int run = 0; run < 2000; run++) {
		record x;
		uint64_t started = 0, sequence = 0;

		for (int i = 0; i < 40; i++) {
			uint64_t s = g_rand_int_range(random, 1, 5);
			char id[8];

			g_snprintf(id, sizeof(id), "i%d", (int)s % 3);
			x.take(beat(id, s, g_rand_int_range(random, 1, 9),
				    g_rand_int_range(random, 0, 8) == 0));
			ASSERT_GE(x.r.current.started_ms, started);
			if (x.r.current.started_ms == started) {
				ASSERT_GE(x.r.current.sequence, sequence);
			}
			started = x.r.current.started_ms;
			sequence = x.r.current.sequence;
		}
	}
	g_rand_free(random);
}

int released;

void release(void *answer)
{
	released++;
	g_free(answer);
}

TEST(answer_cache, keeps_answers_for_a_while)
{
	struct answer_cache *m = answer_cache_create(release);
	void *answer;

	released = 0;
	answer_cache_store(m, 1, 2, g_strdup("x"), 10, 1000);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_CACHED);
	EXPECT_STREQ((char *)answer, "x");
	EXPECT_EQ(answer_cache_find(m, 1, 3, &answer), ANSWER_NO_RECORD);
	EXPECT_EQ(answer_cache_find(m, 2, 2, &answer), ANSWER_NO_RECORD);
	answer_cache_expire(m, 1000 + ANSWER_CACHE_TTL_MS);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_NO_RECORD);
	EXPECT_EQ(released, 1);
	EXPECT_EQ(answer_cache_bytes(m), 0u);
	answer_cache_destroy(m);
}

/* An answer that is kept no more must not pass for a call that never came. */
TEST(answer_cache, forgotten_answers_are_not_unknown_calls)
{
	struct answer_cache *m = answer_cache_create(release);
	void *answer;

	answer_cache_record_received(m, 1, 2, 0);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_EXPIRED);
	answer_cache_store(m, 1, 2, g_strdup("x"), 1, 100);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_CACHED);
	answer_cache_expire(m, ANSWER_RECEIVED_TTL_MS - 1);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_EXPIRED);
	answer_cache_expire(m, ANSWER_RECEIVED_TTL_MS);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_NO_RECORD);
	answer_cache_destroy(m);
}

TEST(answer_cache, barred_calls_stay_barred)
{
	struct answer_cache *m = answer_cache_create(release);
	void *answer;

	answer_cache_block(m, 1, 2, 0);
	answer_cache_expire(m, ANSWER_BLOCK_TTL_MS - 1);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_BLOCKED);
	answer_cache_destroy(m);
}

/* Bytes stay within the bound; the oldest answers go first. */
TEST(answer_cache, is_bounded)
{
	struct answer_cache *m = answer_cache_create(release);
	size_t size = ANSWER_CACHE_MAX_BYTES / 8;
	void *answer;

	for (uint64_t id = 1; id <= 20; id++) {
		answer_cache_store(m, 1, id, g_strdup("x"), size, id);
		EXPECT_LE(answer_cache_bytes(m), ANSWER_CACHE_MAX_BYTES);
	}
	EXPECT_EQ(answer_cache_find(m, 1, 1, &answer), ANSWER_NO_RECORD);
	EXPECT_EQ(answer_cache_find(m, 1, 20, &answer), ANSWER_CACHED);
	answer_cache_destroy(m);
}

/*
 * A query and its request may arrive in either order, with the answer lost on
 * the way: whenever the sender was told "not run", the call never runs.
 */
TEST(answer_cache, not_run_is_true_in_every_order)
{
	GRand *random = g_rand_new_with_seed(5);

	for (int run = 0; run < 5000; run++) {
		struct answer_cache *m = answer_cache_create(release);
		bool request_waits = true, ran = false, told_not_run = false;
		uint64_t now = 0;

		for (int i = 0; i < 12; i++) {
			void *answer;
			enum answer_status fate =
				answer_cache_find(m, 1, 9, &answer);

			now += (uint64_t)g_rand_int_range(random, 0, 1500);
			answer_cache_expire(m, now);
			if (request_waits && g_rand_boolean(random)) {
				request_waits = false;
				if (fate != ANSWER_NO_RECORD)
					continue;
				ran = true;
				answer_cache_store(m, 1, 9, g_strdup("x"), 1,
						   now);
			} else if (fate == ANSWER_NO_RECORD && !ran) {
				answer_cache_block(m, 1, 9, now);
				told_not_run = true;
			}
		}
		EXPECT_FALSE(ran && told_not_run);
		answer_cache_destroy(m);
	}
	g_rand_free(random);
}

} // namespace
