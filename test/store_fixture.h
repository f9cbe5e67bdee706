/* A store client on the default loop, and answers for scripted servers. */
#ifndef FESCUE_TEST_STORE_FIXTURE_H
#define FESCUE_TEST_STORE_FIXTURE_H

#include "support.h"

#include <csignal>

extern "C" {
#include "fescue/error.h"
#include "platform/store_client.h"
}

/* era: that the answer tells, or NULL. */
inline std::string answer(int status, const std::string &body,
			  const char *era = nullptr)
{
	return "HTTP/1.1 " + std::to_string(status) +
	       " X\r\ncontent-type: application/json\r\n" +
	       (era ? std::string("store-era: ") + era + "\r\n" : "") +
	       "content-length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

struct call_result {
	int done = 0, error = 0, maybe_applied = 0;
	uint64_t revision = 0, store_revision = 0, lease = 0;
	std::string value;
	std::vector<std::string> keys;
};

struct store_fixture {
	uv_loop_t *loop = uv_default_loop();
	struct store_client *client;
	struct call_result result;

	explicit store_fixture(struct address address)
	{
		signal(SIGPIPE, SIG_IGN);
		client = store_client_create(loop, address, nullptr);
	}
	~store_fixture()
	{
		store_client_destroy(client);
		/* A server on the loop keeps handles, so it may not end. */
		for (int i = 0; i < 20 && uv_run(loop, UV_RUN_NOWAIT); i++)
			usleep(1000);
	}
	static void on_done(void *data, const struct store_result *r)
	{
		struct call_result *o = &((store_fixture *)data)->result;

		o->done = 1;
		o->error = r->error;
		o->maybe_applied = r->maybe_applied;
		o->revision = r->revision;
		o->store_revision = r->store_revision;
		o->lease = r->lease;
		if (r->value)
			o->value.assign(r->value, r->size);
		for (size_t i = 0; i < r->item_count; i++)
			o->keys.push_back(r->items[i].key);
	}
	struct call_result wait()
	{
		while (!result.done)
			uv_run(loop, UV_RUN_ONCE);
		struct call_result completed = result;
		result = {};
		return completed;
	}
	struct call_result get()
	{
		store_get(client, "op/config", on_done, this);
		return wait();
	}
	struct call_result put()
	{
		store_put(client, "k", "v", 1, 4, 9, on_done, this);
		return wait();
	}
	struct call_result watch()
	{
		store_watch(client, "op/config", 5, 900, on_done, this);
		return wait();
	}
};

#endif
