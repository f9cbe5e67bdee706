#include "support.h"

extern "C" {
#include "fescue/announcement.h"
#include "fescue/answer_cache.h"
}

namespace
{

struct announcement heartbeat(const char *id, uint64_t started,
			      uint64_t sequence, int leaving = 0)
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

struct fixture {
	struct announcement_record record = {};

	enum announcement_result update(const struct announcement &a)
	{
		return announcement_record_update(&record, &a);
	}
};

TEST(announcement, out_of_order_heartbeats_are_stale)
{
	fixture f;

	EXPECT_EQ(f.update(heartbeat("a", 10, 5)), ANNOUNCEMENT_NEW);
	EXPECT_EQ(f.update(heartbeat("a", 10, 6)), ANNOUNCEMENT_RENEWED);
	EXPECT_EQ(f.update(heartbeat("a", 10, 5)), ANNOUNCEMENT_STALE);
}

/* Delayed heartbeats of an earlier incarnation, with the same or another id. */
TEST(announcement, earlier_incarnations_are_stale)
{
	fixture f;

	f.update(heartbeat("b", 20, 1));
	EXPECT_EQ(f.update(heartbeat("a", 10, 90)), ANNOUNCEMENT_STALE);
	EXPECT_EQ(f.update(heartbeat("b", 15, 90)), ANNOUNCEMENT_STALE);
	EXPECT_EQ(f.update(heartbeat("b", 30, 1)), ANNOUNCEMENT_NEW);
	EXPECT_STREQ(f.record.current.id, "b");
}

/*
 * Guards against late heartbeats of one that left before the node started: less
 * than the repeats that are wanted, and duplicates, do not put it into service.
 */
TEST(announcement, first_heartbeats_are_repeated_where_a_leaving_may_be_unknown)
{
	fixture f;

	announcement_record_want_repeats(&f.record, 1);
	EXPECT_EQ(f.update(heartbeat("a", 10, 5)), ANNOUNCEMENT_NEW);
	EXPECT_EQ(f.record.repeats_due, (uint32_t)ANNOUNCEMENT_REPEATS);
	EXPECT_EQ(f.update(heartbeat("a", 10, 5)), ANNOUNCEMENT_STALE);
	EXPECT_EQ(f.update(heartbeat("a", 10, 4)), ANNOUNCEMENT_STALE);
	EXPECT_EQ(f.record.repeats_due, (uint32_t)ANNOUNCEMENT_REPEATS);
	for (uint64_t i = 0; i < ANNOUNCEMENT_REPEATS; i++) {
		EXPECT_NE(f.record.repeats_due, 0u);
		EXPECT_EQ(f.update(heartbeat("a", 10, 6 + i)),
			  ANNOUNCEMENT_RENEWED);
	}
	EXPECT_EQ(f.record.repeats_due, 0u);
	/* Each incarnation has to, until the repeats are waived. */
	f.update(heartbeat("b", 20, 1));
	EXPECT_NE(f.record.repeats_due, 0u);
	announcement_record_want_repeats(&f.record, 0);
	EXPECT_EQ(f.record.repeats_due, 0u);
	f.update(heartbeat("c", 30, 1));
	EXPECT_EQ(f.record.repeats_due, 0u);
}

/* A heartbeat without a number shows nothing by being repeated. */
TEST(announcement, heartbeats_without_a_number_are_not_repeated)
{
	fixture f;

	announcement_record_want_repeats(&f.record, 1);
	f.update(heartbeat("a", 10, 0));
	EXPECT_EQ(f.record.repeats_due, 0u);
}

TEST(announcement, leaving_lasts_until_next_incarnation)
{
	fixture f;

	f.update(heartbeat("a", 10, 1));
	f.update(heartbeat("a", 10, 2, 1));
	EXPECT_TRUE(f.record.leaving);
	f.update(heartbeat("a", 10, 3));
	EXPECT_TRUE(f.record.leaving);
	EXPECT_EQ(f.update(heartbeat("a", 11, 1)), ANNOUNCEMENT_NEW);
	EXPECT_FALSE(f.record.leaving);
	EXPECT_TRUE(announcement_record_end(&f.record, "a"));
	EXPECT_TRUE(f.record.leaving);
	EXPECT_FALSE(announcement_record_end(&f.record, "other"));
}

/*
 * A node that starts while its backend server is leaving may receive the end
 * before the last heartbeats, which must not revoke it.
 */
TEST(announcement, end_of_unknown_instance_is_not_revoked)
{
	fixture f;

	announcement_record_end(&f.record, "a");
	f.update(heartbeat("a", 10, 7));
	EXPECT_TRUE(f.record.leaving);
	EXPECT_EQ(f.update(heartbeat("b", 20, 1)), ANNOUNCEMENT_NEW);
	EXPECT_FALSE(f.record.leaving);
}

/*
 * A node that restarts while its backend server is leaving learns this from its
 * peers, before or after the next heartbeat.
 */
TEST(announcement, leaving_is_restored_after_node_restart)
{
	struct announcement left = heartbeat("a", 10, 7);
	fixture known, unknown, plain;

	known.update(left);
	announcement_record_restore_leaving(&known.record, LEAVING_FROM_PEERS,
					    announcement_fingerprint(&left));
	EXPECT_TRUE(known.record.leaving);
	known.update(heartbeat("a", 10, 8));
	EXPECT_TRUE(known.record.leaving);
	announcement_record_restore_leaving(&unknown.record, LEAVING_FROM_PEERS,
					    announcement_fingerprint(&left));
	unknown.update(left);
	EXPECT_TRUE(unknown.record.leaving);
	/* The backend server restarts. */
	unknown.update(heartbeat("a", 11, 1));
	EXPECT_FALSE(unknown.record.leaving);
	EXPECT_EQ(announcement_fingerprint(&plain.record.current), 0u);
	announcement_record_restore_leaving(&plain.record, LEAVING_FROM_PEERS,
					    0);
	plain.update(heartbeat("", 0, 0));
	EXPECT_FALSE(plain.record.leaving);
}

/* Peers and store may remember different runs; neither hides the other's. */
TEST(announcement, leaving_is_restored_from_peers_and_store)
{
	struct announcement earlier = heartbeat("a", 10, 7);
	struct announcement later = heartbeat("b", 20, 3);

	for (int order = 0; order < 2; order++) {
		fixture f;
		enum leaving_source first = order ? LEAVING_FROM_STORE :
						    LEAVING_FROM_PEERS;
		enum leaving_source second = order ? LEAVING_FROM_PEERS :
						     LEAVING_FROM_STORE;

		announcement_record_restore_leaving(
			&f.record, first, announcement_fingerprint(&later));
		announcement_record_restore_leaving(
			&f.record, second, announcement_fingerprint(&earlier));
		f.update(earlier);
		EXPECT_TRUE(f.record.leaving);
		f.update(later);
		EXPECT_TRUE(f.record.leaving);
		f.update(heartbeat("c", 30, 1));
		EXPECT_FALSE(f.record.leaving);
	}
}

/* Without id and sequence number, the last heartbeat counts. */
TEST(announcement, heartbeat_without_sequence_revokes_leaving)
{
	fixture f;

	f.update(heartbeat("", 0, 0));
	f.record.leaving = 1;
	f.update(heartbeat("", 0, 0));
	EXPECT_FALSE(f.record.leaving);
}

/*
 * Whatever the order of heartbeats, the start time in the record never
 * decreases, nor does the sequence number of one start time.
 */
TEST(announcement, random_orders_never_revert)
{
	GRand *random = g_rand_new_with_seed(3);

	for (int run = 0; run < 2000; run++) {
		fixture f;
		uint64_t started = 0, sequence = 0;

		for (int i = 0; i < 40; i++) {
			uint64_t s = g_rand_int_range(random, 1, 5);
			char id[8];

			g_snprintf(id, sizeof(id), "i%d", (int)s % 3);
			f.update(
				heartbeat(id, s, g_rand_int_range(random, 1, 9),
					  g_rand_int_range(random, 0, 8) == 0));
			ASSERT_GE(f.record.current.started_ms, started);
			if (f.record.current.started_ms == started) {
				ASSERT_GE(f.record.current.sequence, sequence);
			}
			started = f.record.current.started_ms;
			sequence = f.record.current.sequence;
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

TEST(answer_cache, keeps_answers_until_expiry)
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

/* A call whose answer was dropped must not be reported as never received. */
TEST(answer_cache, dropped_answers_are_not_unknown_calls)
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

TEST(answer_cache, blocked_calls_stay_blocked)
{
	struct answer_cache *m = answer_cache_create(release);
	void *answer;

	answer_cache_block(m, 1, 2, 0);
	answer_cache_expire(m, ANSWER_BLOCK_TTL_MS - 1);
	EXPECT_EQ(answer_cache_find(m, 1, 2, &answer), ANSWER_BLOCKED);
	answer_cache_destroy(m);
}

/* The size limit holds; the oldest answers are evicted first. */
TEST(answer_cache, size_is_bounded)
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
 * A query and the request of its call may arrive in either order, and the
 * answer may have been lost. If the query was answered with "not run", the call
 * must never run.
 */
TEST(answer_cache, not_run_holds_for_every_order)
{
	GRand *random = g_rand_new_with_seed(5);

	for (int run = 0; run < 5000; run++) {
		struct answer_cache *m = answer_cache_create(release);
		bool request_in_flight = true, ran = false,
		     answered_not_run = false;
		uint64_t now = 0;

		for (int i = 0; i < 12; i++) {
			void *answer;
			enum answer_status status =
				answer_cache_find(m, 1, 9, &answer);

			now += (uint64_t)g_rand_int_range(random, 0, 1500);
			answer_cache_expire(m, now);
			if (request_in_flight && g_rand_boolean(random)) {
				request_in_flight = false;
				if (status != ANSWER_NO_RECORD)
					continue;
				ran = true;
				answer_cache_store(m, 1, 9, g_strdup("x"), 1,
						   now);
			} else if (status == ANSWER_NO_RECORD && !ran) {
				answer_cache_block(m, 1, 9, now);
				answered_not_run = true;
			}
		}
		EXPECT_FALSE(ran && answered_not_run);
		answer_cache_destroy(m);
	}
	g_rand_free(random);
}

} // namespace
