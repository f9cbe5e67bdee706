/*
 * Tests of what the era of the store means, alone and in the answers that the
 * store client gets.
 */
#include "scripted_peer.h"

#include <csignal>

extern "C" {
#include "fescue/error.h"
#include "platform/store_client.h"
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

std::string answer(const char *era, int status, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) +
	       " X\r\ncontent-type: application/json\r\n" +
	       (era ? std::string("store-era: ") + era + "\r\n" : "") +
	       "content-length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

const char item[] =
	R"({"key":"k","value":"djE=","revision":412,"storeRevision":530})";
const char no_events[] = R"({"events":[],"storeRevision":531})";

struct client_fixture {
	uv_loop_t *loop = uv_default_loop();
	struct store_client *client;
	int done = 0, error = 0, maybe_applied = 0;
	uint64_t store_revision = 0;

	explicit client_fixture(struct address address)
	{
		signal(SIGPIPE, SIG_IGN);
		client = store_client_create(loop, address, nullptr);
	}
	~client_fixture()
	{
		store_client_destroy(client);
		for (int i = 0; i < 20 && uv_run(loop, UV_RUN_NOWAIT); i++)
			usleep(1000);
	}
	static void on_done(void *data, const struct store_result *r)
	{
		client_fixture *f = (client_fixture *)data;

		f->done++;
		f->error = r->error;
		f->maybe_applied = r->maybe_applied;
		f->store_revision = r->store_revision;
	}
	void wait(int count)
	{
		while (done < count)
			uv_run(loop, UV_RUN_ONCE);
		done = 0;
	}
	int get()
	{
		store_get(client, "k", on_done, this);
		wait(1);
		return error;
	}
	int watch()
	{
		store_watch(client, "k", 5, 900, on_done, this);
		wait(1);
		return error;
	}
	uint64_t era()
	{
		return store_era_now(store_client_era(client));
	}
};

/*
 * Guards against a watch that goes on from a revision of the store before its
 * return from a copy, and takes silence for the news that nothing changed.
 */
TEST(store_era, watch_over_a_return_from_a_copy_has_no_result)
{
	scripted_peer peer({ { answer("1", 200, item), step::KEEP },
			     { answer("1", 200, no_events), step::KEEP },
			     { answer("2", 200, no_events), step::KEEP },
			     { answer("2", 200, no_events), step::CLOSE } });
	client_fixture f(peer.address);

	EXPECT_EQ(f.get(), FESCUE_OK);
	EXPECT_EQ(f.watch(), FESCUE_ETIMEOUT);
	EXPECT_EQ(f.store_revision, 531u);
	EXPECT_EQ(f.watch(), FESCUE_EGONE);
	EXPECT_EQ(f.store_revision, 0u);
	EXPECT_EQ(f.era(), 2u);
	EXPECT_EQ(f.watch(), FESCUE_ETIMEOUT);
	EXPECT_EQ(f.store_revision, 531u);
}

TEST(store_era, answer_of_an_earlier_era_has_no_result)
{
	scripted_peer peer(
		{ { answer("1", 200, R"({"revision":413})"), step::CLOSE } });
	client_fixture f(peer.address);

	store_put(f.client, "k", "v", 1, 4, 0, client_fixture::on_done, &f);
	store_era_learn(store_client_era(f.client), 2);
	f.wait(1);
	EXPECT_EQ(f.error, FESCUE_ETIMEOUT);
	EXPECT_TRUE(f.maybe_applied);
}

/* Refusals tell it too; other stores tell none. */
TEST(store_era, era_is_read_from_any_answer_and_odd_ones_are_ignored)
{
	std::vector<step> steps = { { answer(nullptr, 200, item), step::KEEP },
				    { answer("7", 503, "{}"), step::KEEP } };
	const char *odd[] = { "",    "0",   "-8",
			      "8x",  "0x8", "8.",
			      "1e3", " ",   "99999999999999999999999" };
	int n = 0;

	for (const char *text : odd)
		steps.push_back({ answer(text, 200, item), step::KEEP });
	steps.back().end = step::CLOSE;
	scripted_peer peer(steps);
	client_fixture f(peer.address);

	EXPECT_EQ(f.get(), FESCUE_OK);
	EXPECT_EQ(f.era(), 0u);
	EXPECT_EQ(f.get(), FESCUE_EUNAVAILABLE);
	EXPECT_EQ(f.era(), 7u);
	for (const char *text : odd) {
		EXPECT_EQ(f.get(), FESCUE_OK) << n++ << ": " << text;
		EXPECT_EQ(f.era(), 7u) << text;
	}
}

} // namespace
