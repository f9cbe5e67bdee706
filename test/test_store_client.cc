/*
 * Tests of the store client against a scripted server whose answers are lost,
 * missing, refused or malformed.
 */
#include "broken_answers.h"
#include "silent_proxy.h"
#include "store_fixture.h"

#include <memory>

extern "C" {
#include "standin/store_data.h"
#include "standin/store_standin.h"
}

namespace
{

const char config_item[] =
	R"({"key":"op/config","value":"bm9kZS0x","revision":412,"created":4,"lease":0,"storeRevision":530})";

TEST(store_client, reads_a_key)
{
	scripted_peer peer(
		{ { answer(200, config_item), step::KEEP },
		  { answer(404, R"({"storeRevision":531})"), step::CLOSE } });
	store_fixture s(peer.address);
	struct call_result o = s.get();

	EXPECT_EQ(o.error, FESCUE_OK);
	EXPECT_EQ(o.value, "node-1");
	EXPECT_EQ(o.revision, 412u);
	EXPECT_EQ(o.store_revision, 530u);
	o = s.get();
	EXPECT_EQ(o.error, FESCUE_ENOTFOUND);
	EXPECT_EQ(o.store_revision, 531u);
}

TEST(store_client, distinguishes_refused_calls_from_malformed_answers)
{
	scripted_peer peer({ { answer(429, ""), step::KEEP },
			     { answer(503, "{}"), step::KEEP },
			     { answer(200, "[1]"), step::KEEP },
			     { answer(200, "{"), step::CLOSE } });
	store_fixture s(peer.address);

	EXPECT_EQ(s.get().error, FESCUE_EUNAVAILABLE);
	EXPECT_EQ(s.get().error, FESCUE_EUNAVAILABLE);
	EXPECT_EQ(s.get().error, FESCUE_EINVAL);
	EXPECT_EQ(s.get().error, FESCUE_EINVAL);
}

/* A write without an answer may have been applied; a conflict was not. */
TEST(store_client, reports_the_result_of_writes)
{
	scripted_peer peer(
		{ { answer(200, R"({"revision":7})"), step::KEEP },
		  { answer(412, R"({"items":[{"key":"k","revision":6}]})"),
		    step::KEEP },
		  { answer(404, "{}"), step::KEEP },
		  { "", step::CLOSE } });
	store_fixture s(peer.address);
	struct call_result o = s.put();

	EXPECT_EQ(o.error, FESCUE_OK);
	EXPECT_EQ(o.revision, 7u);
	o = s.put();
	EXPECT_EQ(o.error, FESCUE_ECONFLICT);
	EXPECT_EQ(o.revision, 6u);
	EXPECT_FALSE(o.maybe_applied);
	EXPECT_EQ(s.put().error, FESCUE_ENOTFOUND) << "no such lease";
	o = s.put();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_TRUE(o.maybe_applied);
	EXPECT_NE(peer.requests[0].find(
			  R"({"expectedRevision":[{"key":"k","revision":4}],)"
			  R"("puts":[{"key":"k","value":"dg==","lease":9}],)"
			  R"("deletes":[]})"),
		  std::string::npos)
		<< peer.requests[0];
}

/* Guards against a broken answer that passes for a refusal of the store. */
TEST(store_client, write_with_a_broken_answer_may_have_been_applied)
{
	for (const auto &broken : broken_answers("", R"({"revision":7})")) {
		scripted_peer peer({ { broken.bytes, step::KEEP },
				     { broken.bytes, step::HANG } });
		store_fixture s(peer.address);
		struct call_result o = s.put();

		EXPECT_EQ(o.error, FESCUE_ETIMEOUT) << broken.bytes;
		EXPECT_TRUE(o.maybe_applied) << broken.bytes;
		o = s.get();
		EXPECT_EQ(o.error, FESCUE_ETIMEOUT) << broken.bytes;
		EXPECT_EQ(o.store_revision, 0u);
		EXPECT_EQ(peer.connections, 2) << broken.bytes;
	}
}

/* Guards against an answer that cannot be read and passes for a refusal. */
TEST(store_client, write_with_an_unreadable_answer_may_have_been_applied)
{
	scripted_peer peer({ { answer(200, "{\"revision\":"), step::KEEP },
			     { answer(200, "[7]"), step::KEEP },
			     { answer(429, "{"), step::KEEP } });
	store_fixture s(peer.address);

	for (int i = 0; i < 2; i++) {
		struct call_result o = s.put();

		EXPECT_EQ(o.error, FESCUE_EINVAL);
		EXPECT_TRUE(o.maybe_applied);
	}
	EXPECT_FALSE(s.put().maybe_applied) << "refused";
}

/*
 * A watch covers all keys that start with the key, and one answer may hold
 * several events: only the newest event of the key itself is reported.
 */
TEST(store_client, watch_reports_newest_event_of_the_key)
{
	scripted_peer peer(
		{ { answer(200,
			   R"({"events":[{"key":"op/config","value":"YQ==","revision":6},{"key":"op/config","value":"Yg==","revision":8},{"key":"op/config2","value":"Yw==","revision":9}],"storeRevision":9})"),
		    step::KEEP },
		  { answer(200, R"({"events":[],"storeRevision":11})"),
		    step::KEEP },
		  { answer(200,
			   R"({"events":[{"key":"op/config","revision":12,"removed":true}],"storeRevision":12})"),
		    step::KEEP },
		  { answer(410, "{}"), step::CLOSE } });
	store_fixture s(peer.address);
	struct call_result o = s.watch();

	EXPECT_EQ(o.error, FESCUE_OK);
	EXPECT_EQ(o.value, "b");
	EXPECT_EQ(o.store_revision, 9u);
	o = s.watch();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_EQ(o.store_revision, 11u);
	EXPECT_EQ(s.watch().error, FESCUE_ENOTFOUND);
	EXPECT_EQ(s.watch().error, FESCUE_EGONE);
}

/* An order that changed twice must be taken once, as it is now. */
TEST(store_client, prefix_watch_reports_newest_state_of_each_key)
{
	scripted_peer peer(
		{ { answer(200, R"({"events":[)"
				R"({"key":"p/a","value":"YQ==","revision":7},)"
				R"({"key":"p/b","value":"Yg==","revision":8},)"
				R"({"key":"q","value":"cQ==","revision":9},)"
				R"({"key":"p/a","revision":10,"removed":true})"
				R"(],"storeRevision":12})"),
		    step::KEEP },
		  { answer(200, R"({"events":[],"storeRevision":13})"),
		    step::KEEP },
		  { answer(410, "{}"), step::CLOSE } });
	store_fixture s(peer.address);
	auto watch = [&s] {
		store_watch_prefix(s.client, "p/", 5, 900,
				   store_fixture::on_done, &s);
		return s.wait();
	};
	struct call_result o = watch();

	EXPECT_EQ(o.error, FESCUE_OK);
	EXPECT_EQ(o.keys, (std::vector<std::string>{ "p/b", "p/a" }));
	EXPECT_EQ(o.store_revision, 12u);
	o = watch();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_EQ(o.store_revision, 13u);
	EXPECT_EQ(watch().error, FESCUE_EGONE);
	EXPECT_NE(peer.requests[0].find("prefix=p/&after=5&waitMs=900"),
		  std::string::npos);
}

TEST(store_client, list_reads_all_pages)
{
	scripted_peer peer(
		{ { answer(200,
			   R"({"items":[{"key":"p/a"},{"key":"p/b"}],"hasMore":true})"),
		    step::KEEP },
		  { answer(200, R"({"items":[{"key":"p/c"}],"hasMore":false})"),
		    step::CLOSE } });
	store_fixture s(peer.address);

	store_list(s.client, "p/", 0, store_fixture::on_done, &s);
	EXPECT_EQ(s.wait().keys,
		  (std::vector<std::string>{ "p/a", "p/b", "p/c" }));
	EXPECT_NE(peer.requests[1].find("after=p/b"), std::string::npos);
	EXPECT_EQ(peer.requests[1].find("staleOk"), std::string::npos);
}

/* The requests of all pages of a stale list say that it may be stale. */
TEST(store_client, stale_list_sets_parameter_on_every_page)
{
	const char *page = R"({"items":[{"key":"p/a"}],"hasMore":true})";
	const char *last = R"({"items":[{"key":"p/b"}],"hasMore":false})";
	scripted_peer peer({ { answer(200, page), step::KEEP },
			     { answer(200, last), step::CLOSE } });
	store_fixture s(peer.address);

	store_list(s.client, "p/", 1, store_fixture::on_done, &s);
	EXPECT_EQ(s.wait().keys, (std::vector<std::string>{ "p/a", "p/b" }));
	for (const std::string &request : peer.requests)
		EXPECT_NE(request.find("&staleOk=1"), std::string::npos);
}

/* A call without an answer times out, and its connection is not reused. */
TEST(store_client, call_without_answer_times_out)
{
	scripted_peer peer({ { "", step::HANG },
			     { answer(200, config_item), step::CLOSE } });
	store_fixture s(peer.address);

	EXPECT_EQ(s.get().error, FESCUE_ETIMEOUT);
	EXPECT_EQ(s.get().error, FESCUE_OK);
	EXPECT_EQ(peer.connections, 2);
}

/*
 * Guards against one timeout per idle connection when all connections went
 * silent at the same time: only the first call may fail.
 */
TEST(store_client, only_first_call_fails_after_connections_went_silent)
{
	const struct address store_address = { own_loopback(), 17172 };
	struct store *store = nullptr;

	signal(SIGPIPE, SIG_IGN);
	ASSERT_EQ(store_standin_create(uv_default_loop(), store_address,
				       &store),
		  FESCUE_OK);
	store_standin_put(store, "op/config", "a", 1);
	auto proxy = std::make_unique<silent_proxy>(store_address);
	store_fixture s(proxy->address);
	int others = 0;
	auto count = [](void *data, const struct store_result *r) {
		*(int *)data += !r->error;
	};

	store_get(s.client, "op/config", count, &others);
	store_get(s.client, "op/config", count, &others);
	EXPECT_EQ(s.get().error, FESCUE_OK);
	while (others < 2)
		uv_run(s.loop, UV_RUN_ONCE);
	proxy->silence();
	EXPECT_EQ(s.get().error, FESCUE_ETIMEOUT);
	EXPECT_EQ(s.get().error, FESCUE_OK);
	store_standin_destroy(store);
	proxy.reset();
}

/*
 * Guards against a stand-in that answers a call after its end, out of freed
 * tables: a test program aborted with "realloc(): invalid pointer".
 */
TEST(store_standin, call_that_is_under_way_at_its_end_is_dropped)
{
	const struct address store_address = { own_loopback(), 17174 };
	struct store *store = nullptr;

	signal(SIGPIPE, SIG_IGN);
	ASSERT_EQ(store_standin_create(uv_default_loop(), store_address,
				       &store),
		  FESCUE_OK);
	store->delay_ms = 100;
	{
		store_fixture s(store_address);

		store_watch(s.client, "op/config", 0, 900,
			    store_fixture::on_done, &s);
		while (!store->watch_calls)
			uv_run(s.loop, UV_RUN_ONCE);
		store_standin_destroy(store);
		EXPECT_EQ(s.wait().error, FESCUE_ETIMEOUT);
	}
}

/* A status without its record, or the reverse, would mislead the next leader. */
TEST(store_client, transaction_writes_all_or_nothing)
{
	const struct address store_address = { own_loopback(), 17173 };
	struct store *store = nullptr;
	const struct store_write writes[] = {
		{ "own/a", "1", 1, 0, 0 },
		{ "status/a", "2", 1, STORE_ANY_REVISION, 0 },
	};

	signal(SIGPIPE, SIG_IGN);
	ASSERT_EQ(store_standin_create(uv_default_loop(), store_address,
				       &store),
		  FESCUE_OK);
	{
		store_fixture s(store_address);
		auto put = [&s, &writes] {
			store_put_all(s.client, writes, 2,
				      store_fixture::on_done, &s);
			return s.wait();
		};
		auto value = [&s] {
			store_get(s.client, "status/a", store_fixture::on_done,
				  &s);
			return s.wait().value;
		};
		struct call_result written = put();

		EXPECT_EQ(written.error, FESCUE_OK);
		EXPECT_EQ(value(), "2");
		store_standin_put(store, "status/a", "x", 1);
		struct call_result refused = put();
		EXPECT_EQ(refused.error, FESCUE_ECONFLICT);
		EXPECT_EQ(refused.revision, written.revision);
		EXPECT_FALSE(refused.maybe_applied);
		EXPECT_EQ(value(), "x");
		store_standin_destroy(store);
	}
}

} // namespace
