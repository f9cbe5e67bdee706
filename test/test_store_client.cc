/*
 * The client of the platform's store against answers that are lost, late,
 * refused or malformed.
 */
#include "scripted_peer.h"

#include <csignal>

extern "C" {
#include "fescue/error.h"
#include "platform/store_client.h"
}

namespace
{

std::string answer(int status, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) +
	       " X\r\ncontent-type: application/json\r\ncontent-length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct outcome {
	int done = 0, error = 0, unsettled = 0;
	uint64_t revision = 0, store_revision = 0, lease = 0;
	std::string value;
	std::vector<std::string> keys;
};

struct store {
	uv_loop_t *loop = uv_default_loop();
	struct store_client *client;
	struct outcome out;

	explicit store(struct address address)
	{
		signal(SIGPIPE, SIG_IGN);
		client = store_client_create(loop, address, nullptr);
	}
	~store()
	{
		store_client_destroy(client);
		uv_run(loop, UV_RUN_DEFAULT);
	}
	static void on_done(void *data, const struct store_result *r)
	{
		struct outcome *o = &((store *)data)->out;

		o->done = 1;
		o->error = r->error;
		o->unsettled = r->unsettled;
		o->revision = r->revision;
		o->store_revision = r->store_revision;
		o->lease = r->lease;
		if (r->value)
			o->value.assign(r->value, r->size);
		for (size_t i = 0; i < r->item_count; i++)
			o->keys.push_back(r->items[i].key);
	}
	struct outcome wait()
	{
		while (!out.done)
			uv_run(loop, UV_RUN_ONCE);
		struct outcome result = out;
		out = {};
		return result;
	}
	struct outcome get()
	{
		store_get(client, "op/config", on_done, this);
		return wait();
	}
	struct outcome put()
	{
		store_put(client, "k", "v", 1, 4, 9, on_done, this);
		return wait();
	}
	struct outcome watch()
	{
		store_watch(client, "op/config", 5, on_done, this);
		return wait();
	}
};

const char item[] =
	R"({"key":"op/config","value":"bm9kZS0x","revision":412,"created":4,"lease":0,"storeRevision":530})";

TEST(store_client, reads_a_key)
{
	scripted_peer peer(
		{ { answer(200, item), step::KEEP },
		  { answer(404, R"({"storeRevision":531})"), step::CLOSE } });
	store s(peer.address);
	struct outcome o = s.get();

	EXPECT_EQ(o.error, FESCUE_OK);
	EXPECT_EQ(o.value, "node-1");
	EXPECT_EQ(o.revision, 412u);
	EXPECT_EQ(o.store_revision, 530u);
	o = s.get();
	EXPECT_EQ(o.error, FESCUE_ENOTFOUND);
	EXPECT_EQ(o.store_revision, 531u);
}

TEST(store_client, refusals_and_nonsense_are_told_apart)
{
	scripted_peer peer({ { answer(429, ""), step::KEEP },
			     { answer(503, "{}"), step::KEEP },
			     { answer(200, "[1]"), step::KEEP },
			     { answer(200, "{"), step::CLOSE } });
	store s(peer.address);

	EXPECT_EQ(s.get().error, FESCUE_EUNAVAILABLE);
	EXPECT_EQ(s.get().error, FESCUE_EUNAVAILABLE);
	EXPECT_EQ(s.get().error, FESCUE_EINVAL);
	EXPECT_EQ(s.get().error, FESCUE_EINVAL);
}

/* A write without an answer may have been done; a conflict was not. */
TEST(store_client, writes)
{
	scripted_peer peer(
		{ { answer(200, R"({"revision":7})"), step::KEEP },
		  { answer(412, R"({"items":[{"key":"k","revision":6}]})"),
		    step::KEEP },
		  { answer(404, "{}"), step::KEEP },
		  { "", step::CLOSE } });
	store s(peer.address);
	struct outcome o = s.put();

	EXPECT_EQ(o.error, FESCUE_OK);
	EXPECT_EQ(o.revision, 7u);
	o = s.put();
	EXPECT_EQ(o.error, FESCUE_ECONFLICT);
	EXPECT_EQ(o.revision, 6u);
	EXPECT_FALSE(o.unsettled);
	EXPECT_EQ(s.put().error, FESCUE_ENOTFOUND) << "no such lease";
	o = s.put();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_TRUE(o.unsettled);
	EXPECT_NE(peer.requests[0].find(
			  R"({"expectedRevision":[{"key":"k","revision":4}],)"
			  R"("puts":[{"key":"k","value":"dg==","lease":9}],)"
			  R"("deletes":[]})"),
		  std::string::npos)
		<< peer.requests[0];
}

/* The newest event of the key counts; other keys of the prefix do not. */
TEST(store_client, watches)
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
	store s(peer.address);
	struct outcome o = s.watch();

	EXPECT_EQ(o.error, FESCUE_OK);
	EXPECT_EQ(o.value, "b");
	EXPECT_EQ(o.store_revision, 9u);
	o = s.watch();
	EXPECT_EQ(o.error, FESCUE_ETIMEOUT);
	EXPECT_EQ(o.store_revision, 11u);
	EXPECT_EQ(s.watch().error, FESCUE_ENOTFOUND);
	EXPECT_EQ(s.watch().error, FESCUE_EGONE);
}

TEST(store_client, listing_follows_its_pages)
{
	scripted_peer peer(
		{ { answer(200,
			   R"({"items":[{"key":"p/a"},{"key":"p/b"}],"hasMore":true})"),
		    step::KEEP },
		  { answer(200, R"({"items":[{"key":"p/c"}],"hasMore":false})"),
		    step::CLOSE } });
	store s(peer.address);

	store_list(s.client, "p/", 0, store::on_done, &s);
	EXPECT_EQ(s.wait().keys,
		  (std::vector<std::string>{ "p/a", "p/b", "p/c" }));
	EXPECT_NE(peer.requests[1].find("after=p/b"), std::string::npos);
	EXPECT_EQ(peer.requests[1].find("staleOk"), std::string::npos);
}

/* Each page of a listing that may be stale is asked for as such. */
TEST(store_client, stale_listing)
{
	const char *page = R"({"items":[{"key":"p/a"}],"hasMore":true})";
	const char *last = R"({"items":[{"key":"p/b"}],"hasMore":false})";
	scripted_peer peer({ { answer(200, page), step::KEEP },
			     { answer(200, last), step::CLOSE } });
	store s(peer.address);

	store_list(s.client, "p/", 1, store::on_done, &s);
	EXPECT_EQ(s.wait().keys, (std::vector<std::string>{ "p/a", "p/b" }));
	for (const std::string &request : peer.requests)
		EXPECT_NE(request.find("&staleOk=1"), std::string::npos);
}

/* Silence ends with the time-out, and its connection is not used again. */
TEST(store_client, silence_is_given_up)
{
	scripted_peer peer(
		{ { "", step::HANG }, { answer(200, item), step::CLOSE } });
	store s(peer.address);

	EXPECT_EQ(s.get().error, FESCUE_ETIMEOUT);
	EXPECT_EQ(s.get().error, FESCUE_OK);
	EXPECT_EQ(peer.connections, 2);
}

} // namespace
