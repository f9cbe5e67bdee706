/*
 * A whole node with the platform's interface, its backend server and the
 * stand-in of the store, in real time.
 */
#ifndef FESCUE_TEST_NODE_FIXTURE_H
#define FESCUE_TEST_NODE_FIXTURE_H

#include "scripted_peer.h"

#include <csignal>

extern "C" {
#include "backend_server.h"
#include "fescue/error.h"
#include "http_client.h"
#include "node.h"
#include "standin/store_standin.h"
}

namespace
{

const struct address store_address = { own_loopback(), 17181 };

/* Servers of earlier nodes keep their ports until the program ends. */
uint16_t take_ports(uint16_t count)
{
	static uint16_t next_port = 17182;

	next_port = (uint16_t)(next_port + count);
	return (uint16_t)(next_port - count);
}

uint64_t real_ms()
{
	return uv_hrtime() / 1000000;
}

/* A node on a loop of its own. Ending it is like SIGKILL. */
struct test_node {
	uv_loop_t loop;
	struct node_settings settings;
	struct node *node = nullptr;
	struct event_log *events = nullptr;
	struct address announcements;

	explicit test_node(uint16_t peer_port)
	{
		uint16_t first_port = take_ports(3);

		uv_loop_init(&loop);
		node_settings_init(&settings);
		settings.address = own_loopback();
		settings.peer_port = peer_port;
		settings.operator_port = first_port;
		settings.operator_address = own_loopback();
		settings.callers = { own_loopback(),
				     (uint16_t)(first_port + 1) };
		settings.announcements = { own_loopback(),
					   (uint16_t)(first_port + 2) };
		settings.store = store_address;
		settings.start_jitter_ms = 20;
		settings.announce_delay_ms = 0;
		settings.interface = INTERFACE_PLATFORM;
		settings.floor_policy = FLOOR_PROMPT;
		strcpy(settings.failure_domain, "a");
		announcements = settings.announcements;
		EXPECT_EQ(event_log_open(nullptr, "node", &events), FESCUE_OK);
		EXPECT_EQ(node_create(&loop, &settings, nullptr, events, &node),
			  FESCUE_OK);
	}
	/*
	 * Frees the peer port. The rest stays as it is, and the loop does not
	 * run any more.
	 */
	void end()
	{
		for (uv_signal_t *signal :
		     { &node->sigterm, &node->sigint, &node->sighup })
			uv_signal_stop(signal);
		transport_stop(node->transport);
	}
	bool is_serving() const
	{
		const struct host *self = membership_self(node->membership);

		return host_is_serving(self);
	}
};

/* Nodes that have ended are kept, because their loops still refer to them. */
test_node *create_node(uint16_t peer_port)
{
	static auto *nodes = new std::vector<test_node *>;

	nodes->push_back(new test_node(peer_port));
	return nodes->back();
}

/* The store, and the backend server beside the node. */
struct fixture {
	uv_loop_t *loop = uv_default_loop();
	struct store *store = nullptr;
	uint16_t peer_port = take_ports(1);
	test_node *node = nullptr; /* runs if set */
	test_node *peer = nullptr; /* as well */
	int status = 0; /* of the last request; 0: none */

	fixture()
	{
		signal(SIGPIPE, SIG_IGN);
		uv_update_time(loop);
		EXPECT_EQ(store_standin_create(loop, store_address, &store),
			  FESCUE_OK);
	}
	~fixture()
	{
		kill_node();
		store_standin_destroy(store);
		run_for(50);
	}
	void start_node()
	{
		node = create_node(peer_port);
		run_for(300);
	}
	void kill_node()
	{
		if (node)
			node->end();
		node = nullptr;
	}
	void run_for(uint64_t ms)
	{
		uint64_t end = real_ms() + ms;

		while (real_ms() < end) {
			uv_run(loop, UV_RUN_NOWAIT);
			if (node)
				uv_run(&node->loop, UV_RUN_NOWAIT);
			if (peer)
				uv_run(&peer->loop, UV_RUN_NOWAIT);
			usleep(200);
		}
	}
	void put_config(int version)
	{
		const std::string text =
			"{\"version\":" + std::to_string(version) +
			",\"resources\":[{\"type\":\"services\",\"metadata\":"
			"{\"name\":\"shop\"},\"spec\":{}}]}";

		store_standin_put(store, "op/config", text.data(), text.size());
	}
	static void on_done(void *data, const struct http_result *result)
	{
		((fixture *)data)->status = result->error ? -1 : result->status;
	}
	/* Returns the time to the acknowledgement, in ms, or -1. */
	int64_t send(const char *method, const char *id,
		     const std::string &body)
	{
		struct http_pool *pool =
			http_pool_create(loop, node->announcements, 1);
		std::string path = std::string("/fescuehitch/instances/") + id;
		struct http_request request = {};
		uint64_t start = real_ms();

		request.method = method;
		request.path = path.c_str();
		request.body = body.data();
		request.body_size = body.size();
		request.timeout_ms = 1000;
		status = 0;
		http_pool_send(pool, &request, on_done, this);
		while (!status)
			run_for(1);
		http_pool_release(pool);
		return status == 200 ? (int64_t)(real_ms() - start) : -1;
	}
	/* The first heartbeats, up to this number. */
	bool introduce(const char *id, int sequence, int born = 1000)
	{
		int first = sequence - ANNOUNCEMENT_REPEATS;

		for (int i = first; i < sequence; i++)
			heartbeat(id, i, born);
		return heartbeat(id, sequence, born) >= 0;
	}
	std::string leaving_key()
	{
		return "fescue/leaving/" + own_loopback_text() + ":" +
		       std::to_string(peer_port);
	}
	bool has_leaving_record()
	{
		return store_standin_has(store, leaving_key().c_str());
	}
	int64_t heartbeat(const char *id, int sequence, int born = 1000,
			  int slots = 4)
	{
		return send(
			"PUT", id,
			"{\"address\":\"127.0.0.1:17999\",\"born\":" +
				std::to_string(born) +
				",\"info\":{\"service\":\"shop\",\"slots\":" +
				std::to_string(slots) +
				"},"
				"\"status\":{\"state\":\"ready\",\"sequence\":" +
				std::to_string(sequence) + "}}");
	}
};

} // namespace

#endif
