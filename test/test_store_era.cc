/*
 * Tests of what the era of the store means, alone and in the answers that the
 * store client gets.
 */
#include "scripted_peer.h"
#include "store_fixture.h"

extern "C" {
#include "store_era.h"
}

namespace
{

struct fixture {
	struct store_era *era = store_era_create();
	int changes = 0;

	fixture()
	{
		store_era_subscribe(era, on_changed, this);
	}
	~fixture()
	{
		store_era_destroy(era);
	}
	static void on_changed(void *data)
	{
		((fixture *)data)->changes++;
	}
};

TEST(store_era, first_era_is_no_change)
{
	fixture f;

	EXPECT_EQ(store_era_judge(f.era, 3, 0), STORE_ANSWER_CURRENT);
	store_era_publish(f.era);
	EXPECT_EQ(store_era_now(f.era), 3u);
	EXPECT_EQ(f.changes, 0);
}

TEST(store_era, change_is_published_once_after_the_answer)
{
	fixture f;

	store_era_judge(f.era, 1, 0);
	EXPECT_EQ(store_era_judge(f.era, 2, 1), STORE_ANSWER_NEWER);
	EXPECT_EQ(f.changes, 0);
	store_era_publish(f.era);
	store_era_publish(f.era);
	EXPECT_EQ(f.changes, 1);
	EXPECT_EQ(store_era_judge(f.era, 2, 2), STORE_ANSWER_CURRENT);
}

/* Guards against an answer of the store as it was that undoes what is known. */
TEST(store_era, late_answer_of_an_earlier_era_is_outdated)
{
	fixture f;

	store_era_judge(f.era, 1, 0);
	store_era_judge(f.era, 2, 1);
	EXPECT_EQ(store_era_judge(f.era, 1, 1), STORE_ANSWER_OUTDATED);
	EXPECT_EQ(store_era_judge(f.era, 1, 0), STORE_ANSWER_OUTDATED);
	EXPECT_EQ(store_era_now(f.era), 2u);
}

/* Guards against a node that refuses all answers for good. */
TEST(store_era, era_that_goes_back_is_ignored)
{
	fixture f;

	store_era_judge(f.era, 5, 0);
	EXPECT_EQ(store_era_judge(f.era, 1, 5), STORE_ANSWER_CURRENT);
	store_era_publish(f.era);
	EXPECT_EQ(store_era_now(f.era), 5u);
	EXPECT_EQ(f.changes, 0);
}

TEST(store_era, peers_may_know_first_or_be_an_era_behind)
{
	fixture f;

	store_era_judge(f.era, 2, 0);
	store_era_learn(f.era, 0);
	store_era_learn(f.era, 1);
	EXPECT_EQ(f.changes, 0);
	store_era_learn(f.era, 3);
	EXPECT_EQ(f.changes, 1);
	EXPECT_EQ(store_era_judge(f.era, 2, 2), STORE_ANSWER_OUTDATED);
	store_era_unsubscribe(f.era, &f);
	store_era_learn(f.era, 4);
	EXPECT_EQ(f.changes, 1);
}

const char item[] =
	R"({"key":"k","value":"djE=","revision":412,"storeRevision":530})";
const char no_events[] = R"({"events":[],"storeRevision":531})";

uint64_t era_of(const store_fixture &s)
{
	return store_era_now(store_client_era(s.client));
}

/*
 * Guards against a watch that goes on from a revision of the store before its
 * return from a copy, and takes silence for the news that nothing changed.
 */
TEST(store_era, watch_over_a_return_from_a_copy_has_no_result)
{
	scripted_peer peer({ { answer(200, item, "1"), step::KEEP },
			     { answer(200, no_events, "1"), step::KEEP },
			     { answer(200, no_events, "2"), step::KEEP },
			     { answer(200, no_events, "2"), step::CLOSE } });
	store_fixture f(peer.address);

	struct call_result o;

	EXPECT_EQ(f.get().error, FESCUE_OK);
	o = f.watch();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_EQ(o.store_revision, 531u);
	o = f.watch();
	EXPECT_EQ(o.error, FESCUE_EGONE);
	EXPECT_EQ(o.store_revision, 0u);
	EXPECT_EQ(era_of(f), 2u);
	o = f.watch();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_EQ(o.store_revision, 531u);
}

TEST(store_era, answer_of_an_earlier_era_has_no_result)
{
	scripted_peer peer(
		{ { answer(200, R"({"revision":413})", "1"), step::CLOSE } });
	store_fixture f(peer.address);

	struct call_result o;

	store_put(f.client, "k", "v", 1, 4, 0, store_fixture::on_done, &f);
	store_era_learn(store_client_era(f.client), 2);
	o = f.wait();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_TRUE(o.maybe_applied);
}

/* Refusals tell it too; other stores tell none. */
TEST(store_era, era_is_read_from_any_answer_and_odd_ones_are_ignored)
{
	std::vector<step> steps = { { answer(200, item), step::KEEP },
				    { answer(503, "{}", "7"), step::KEEP } };
	const char *odd[] = { "",    "0",   "-8",
			      "8x",  "0x8", "8.",
			      "1e3", " ",   "99999999999999999999999" };
	int n = 0;

	for (const char *text : odd)
		steps.push_back({ answer(200, item, text), step::KEEP });
	steps.back().end = step::CLOSE;
	scripted_peer peer(steps);
	store_fixture f(peer.address);

	EXPECT_EQ(f.get().error, FESCUE_OK);
	EXPECT_EQ(era_of(f), 0u);
	EXPECT_EQ(f.get().error, FESCUE_EUNAVAILABLE);
	EXPECT_EQ(era_of(f), 7u);
	for (const char *text : odd) {
		EXPECT_EQ(f.get().error, FESCUE_OK) << n++ << ": " << text;
		EXPECT_EQ(era_of(f), 7u) << text;
	}
}

} // namespace
