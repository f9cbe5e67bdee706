/*
 * The task beside a backend server, with its packets collected and time under
 * the test's control; no other node and no bench.
 */
#include "scripted_peer.h"

#include <csignal>

extern "C" {
#include "backend_server.h"
#include "events.h"
}

namespace
{

struct fixture {
	uv_loop_t *loop = uv_default_loop();
	struct counters counters = {};
	struct node_context context = {};
	struct quarantine *quarantine = quarantine_create();
	struct backend_server *backend;
	std::vector<Fescue__Packet *> sent;

	explicit fixture(struct address address, uint32_t slots = 1)
	{
		struct backend_server_settings settings = {};
		struct announcement a = {};

		signal(SIGPIPE, SIG_IGN);
		context.loop = loop;
		context.counters = &counters;
		context.headers = interface_headers(INTERFACE_PLATFORM);
		context.own = 1;
		context.epoch = 99;
		context.send = [](void *data, uint64_t, Fescue__Packet *p) {
			((fixture *)data)->sent.push_back(p);
		};
		context.data = this;
		settings.quarantine = quarantine;
		settings.changed = [](void *, const struct backend_state *) {};
		backend = backend_server_create(&context, &settings);
		g_strlcpy(a.id, "i-1", sizeof(a.id));
		g_strlcpy(a.service, "s", sizeof(a.service));
		a.address = address;
		a.slots = slots;
		a.sequence = 1;
		backend_server_announce(backend, &a);
	}
	~fixture()
	{
		backend_server_destroy(backend);
		for (auto *p : sent)
			packet_destroy(p);
		quarantine_destroy(quarantine);
		turn();
	}
	void call(uint64_t id, uint64_t from = 7)
	{
		Fescue__CallRequest *r = g_new(Fescue__CallRequest, 1);

		fescue__call_request__init(r);
		r->call_id = id;
		packet_set_string(&r->service, "s");
		packet_set_string(&r->method, "GET");
		packet_set_string(&r->path, "/x");
		r->deadline_ms = 5000;
		r->queue_ms = 2500;
		r->queue = 10;
		r->idempotent = 1;
		backend_server_call(backend, from, r);
	}
	void turn()
	{
		for (int i = 0; i < 3; i++)
			uv_run(loop, UV_RUN_NOWAIT);
	}
	uint64_t runs() const
	{
		return counters.values[COUNTER_served_runs];
	}
	/* Outcomes of the answers sent so far. */
	std::vector<int> outcomes() const
	{
		std::vector<int> out;

		for (auto *p : sent)
			if (p->body_case == FESCUE__PACKET__BODY_CALL_ANSWER)
				out.push_back(p->call_answer->outcome);
		return out;
	}
};

const struct address nobody = { 0x7f000001, 47181 };

/* After a stall of the link a request and its cancel arrive together. */
TEST(backend_server, call_canceled_in_the_same_turn_never_runs)
{
	fixture f(nobody);

	f.call(1);
	backend_server_cancel(f.backend, 7, 1);
	f.turn();
	EXPECT_EQ(f.runs(), 0u);
	f.call(2);
	f.turn();
	EXPECT_EQ(f.runs(), 1u);
}

/* A query overtakes its request, which then must not run any more. */
TEST(backend_server, call_that_was_asked_about_is_barred)
{
	fixture f(nobody);

	backend_server_query(f.backend, 7, 1, 99);
	EXPECT_EQ(f.outcomes(), std::vector<int>{ FESCUE__OUTCOME__NOT_RUN });
	f.call(1);
	f.turn();
	EXPECT_EQ(f.runs(), 0u);
}

/* The node that got the call is gone: the one in its place cannot tell. */
TEST(backend_server, call_of_an_earlier_start_may_have_run)
{
	fixture f(nobody);

	backend_server_query(f.backend, 7, 1, 98);
	EXPECT_EQ(f.outcomes(), std::vector<int>{ FESCUE__OUTCOME__UNKNOWN });
	EXPECT_TRUE(f.sent.back()->call_answer->arrived);
	backend_server_query(f.backend, 7, 2, 0);
	EXPECT_EQ(f.outcomes().back(), FESCUE__OUTCOME__UNKNOWN);
}

TEST(backend_server, call_that_waits_is_reported_as_running)
{
	fixture f(nobody);

	f.call(1);
	backend_server_query(f.backend, 7, 1, 99);
	ASSERT_FALSE(f.sent.empty());
	EXPECT_EQ(f.sent.back()->body_case, FESCUE__PACKET__BODY_CALL_RUNNING);
}

/* What a call took is split into the link, the gate and the run. */
TEST(backend_server, time_at_the_gate_is_told_apart)
{
	fixture f(nobody);
	const struct histogram &gate = f.counters.gate_us[CALL_CLASS_URGENT];

	f.call(1);
	f.call(2);
	usleep(20000); /* the loop is busy with something else */
	f.turn();
	f.turn();
	ASSERT_EQ(f.outcomes().size(), 2u);
	EXPECT_EQ(gate.count, 2u);
	EXPECT_GE(gate.sum, 2 * 20000u);
	for (auto *p : f.sent)
		EXPECT_GE(p->call_answer->held_us, 20000u);
}

/* Each run needs a connection: more than the rules allow wait for a slot. */
TEST(backend_server, runs_keep_the_limit_of_connections)
{
	scripted_peer busy({ { "", step::HANG } });
	fixture f(busy.address, 8);

	backend_server_limit_connections(f.backend, 1);
	f.call(1);
	f.call(2);
	f.turn();
	EXPECT_EQ(f.runs(), 1u);
	while (busy.requests.empty())
		f.turn();
	backend_server_limit_connections(f.backend, 0);
	backend_server_tick(f.backend);
	EXPECT_EQ(f.runs(), 2u);
}

/* Queued calls go back at once when the backend server leaves. */
TEST(backend_server, leaving_hands_queued_calls_back)
{
	scripted_peer busy({ { "", step::HANG } });
	fixture f(busy.address);

	f.call(1);
	f.call(2);
	f.call(3);
	while (busy.requests.empty())
		f.turn();
	f.sent.clear();
	backend_server_leave(f.backend, "i-1");
	EXPECT_EQ(f.outcomes().size(), 2u);
	f.call(4);
	f.turn();
	EXPECT_LE(f.runs(), 1u);
}

/* The host was suspended: what waited past its deadline does not run. */
TEST(backend_server, time_of_a_suspension_counts)
{
	scripted_peer busy({ { "", step::HANG } });
	fixture f(busy.address);

	f.call(1);
	f.call(2);
	while (busy.requests.empty())
		f.turn();
	f.context.suspended_ms = 6000;
	backend_server_tick(f.backend);
	EXPECT_EQ(f.outcomes(), std::vector<int>{ FESCUE__OUTCOME__NOT_RUN });
	EXPECT_EQ(f.runs(), 1u);
}

/* Peers tell of a leaving that an earlier start of the node acknowledged. */
TEST(backend_server, leaving_known_to_peers_ends_new_calls)
{
	scripted_peer busy({ { "", step::HANG } });
	fixture f(busy.address);
	struct announcement a = {};

	g_strlcpy(a.id, "i-1", sizeof(a.id));
	f.call(1);
	f.call(2);
	while (busy.requests.empty())
		f.turn();
	backend_server_note_left(f.backend, announcement_fingerprint(&a));
	EXPECT_EQ(f.outcomes().size(), 1u);
	f.call(3);
	f.turn();
	EXPECT_EQ(f.runs(), 1u);
	EXPECT_EQ(f.outcomes().size(), 2u);
}

} // namespace
