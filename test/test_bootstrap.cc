/*
 * Tests of the bootstrap of one node against the stand-in of the store, in real
 * time: new versions must be active within seconds of their acknowledgement,
 * whatever happened to the connections before.
 */
#include "silent_proxy.h"

#include <csignal>
#include <map>
#include <set>

extern "C" {
#include "bootstrap.h"
#include "fescue/envelope.h"
#include "member_table.h"
#include "standin/store_standin.h"
}

namespace
{

const struct address store_address = { own_loopback(), 17171 };
const uint64_t TICK_MS = 50;
/* Within which an accepted change must be active everywhere. */
const uint64_t ACTIVE_WITHIN_MS = 3000;

struct fixture {
	uv_loop_t *loop = uv_default_loop();
	struct node_context context = {};
	struct counters counters = {};
	struct outbox outbox = {};
	struct store *store = nullptr;
	struct store_client *client;
	struct membership *membership;
	struct distribution *distribution;
	struct bootstrap *bootstrap;
	uv_timer_t tick_timer;
	uint64_t change = 0;
	uint64_t active = 0;
	uint64_t rejected = 0, expected_rejection = 0;
	std::map<uint64_t, int> pings; /* sent, by address */

	/* The node reaches the store at address. */
	explicit fixture(struct address address,
			 enum interface_type interface = INTERFACE_FESCUE,
			 int join_quickly = 0)
	{
		struct bootstrap_settings settings = {};
		struct host self = {};

		signal(SIGPIPE, SIG_IGN);
		uv_update_time(loop);
		EXPECT_EQ(store_standin_create(loop, store_address, &store), 0);
		client = store_client_create(loop, address, &counters);
		self.address = (uint64_t)own_loopback() << 16 | 7660;
		self.incarnation = 1;
		strcpy(self.failure_domain, "a");
		context.loop = loop;
		g_queue_init(&outbox.queue);
		membership = membership_create(&membership_defaults, &self, 1,
					       uv_now(loop));
		distribution =
			distribution_create(&distribution_defaults, membership);
		settings.context = &context;
		settings.store = client;
		settings.membership = membership;
		settings.distribution = distribution;
		settings.outbox = &outbox;
		settings.interface = interface;
		settings.peer_address = { own_loopback(), 7660 };
		settings.failure_domain = "a";
		settings.start_jitter_ms = 10;
		settings.relays_per_domain = 2;
		settings.join_quickly = join_quickly;
		settings.seed = 1;
		settings.changed = on_changed;
		settings.version_read = on_version_read;
		settings.data = this;
		bootstrap = bootstrap_create(&settings);
		uv_timer_init(loop, &tick_timer);
		tick_timer.data = this;
		uv_timer_start(&tick_timer, on_tick, TICK_MS, TICK_MS);
	}
	~fixture()
	{
		EXPECT_EQ(rejected, expected_rejection);
		bootstrap_destroy(bootstrap);
		store_client_destroy(client);
		distribution_destroy(distribution);
		membership_destroy(membership);
		outbox_clear(&outbox);
		uv_close((uv_handle_t *)&tick_timer, nullptr);
		store_standin_destroy(store);
		run_for(50);
	}
	static void on_changed(void *data)
	{
		((fixture *)data)->take_actions();
	}
	static void on_version_read(void *, uint64_t)
	{
	}
	static void on_tick(uv_timer_t *timer)
	{
		fixture *f = (fixture *)timer->data;
		uint64_t now_ms = uv_now(f->loop);

		membership_tick(f->membership, now_ms, &f->outbox);
		distribution_tick(f->distribution, now_ms, &f->outbox);
		bootstrap_tick(f->bootstrap);
		f->take_actions();
		f->count_pings();
	}
	void count_pings()
	{
		struct outgoing *outgoing;

		while ((outgoing = outbox_pop(&outbox))) {
			pings[outgoing->to] += outgoing->packet->body_case ==
					       FESCUE__PACKET__BODY_PING;
			outgoing_destroy(outgoing);
		}
	}
	static void on_listed(void *data, const struct store_result *result)
	{
		auto *found = (std::set<uint64_t> *)data;
		struct address address;

		EXPECT_EQ(result->error, 0);
		for (size_t i = 0; i < result->item_count; i++) {
			std::string text(result->items[i].value,
					 result->items[i].size);

			if (!address_parse(text.c_str(), &address))
				found->insert(address_key(address));
		}
	}
	/* Addresses that a host reads from the rendezvous records. */
	std::set<uint64_t> listed_by_another_host()
	{
		struct store_client *other =
			store_client_create(loop, store_address, nullptr);
		std::set<uint64_t> found;

		store_list(other, "fescue/rendezvous/", 0, on_listed, &found);
		run_for(200);
		store_client_destroy(other);
		return found;
	}
	/* A record of a relay that does not answer. */
	uint64_t list_relay(int number)
	{
		struct address address = { own_loopback(),
					   (uint16_t)(7670 + number) };
		std::string key =
			"fescue/rendezvous/a/" + std::to_string(number);
		char text[ADDRESS_TEXT_BYTES];

		address_format(address, text);
		store_standin_put(store, key.c_str(), text, strlen(text));
		return address_key(address);
	}
	void receive_from(uint64_t from, Fescue__Packet *packet)
	{
		membership_receive(membership, from, packet, uv_now(loop),
				   &outbox);
		packet_destroy(packet);
	}
	/* A host answers with its own record and the whole table. */
	void receive_table(uint64_t from)
	{
		Fescue__Packet *reply =
			packet_create(FESCUE__PACKET__BODY_SYNC_REPLY);
		struct host host = {};

		host.address = from;
		host.incarnation = 1;
		strcpy(host.failure_domain, "a");
		reply->sync_reply->members = g_new(Fescue__Member *, 1);
		reply->sync_reply->members[0] = member_record_create(&host);
		reply->sync_reply->n_members = 1;
		receive_from(from, reply);
	}
	void take_actions()
	{
		struct distribution_action action;

		while (distribution_next_action(distribution, &action)) {
			switch (action.type) {
			case DISTRIBUTION_APPLY:
				active = action.version;
				rules_destroy(action.u.apply.rules);
				break;
			case DISTRIBUTION_WATCH:
			case DISTRIBUTION_UNWATCH:
				bootstrap_set_watching(
					bootstrap,
					action.type == DISTRIBUTION_WATCH);
				break;
			case DISTRIBUTION_REJECT:
				rejected = action.version;
				break;
			}
		}
	}
	void run_for(uint64_t ms)
	{
		uint64_t end = uv_hrtime() / 1000000 + ms;

		while (uv_hrtime() / 1000000 < end) {
			uv_run(loop, UV_RUN_NOWAIT);
			usleep(500);
		}
	}
	void put_version()
	{
		const std::string text = "service shop deadline=" +
					 std::to_string(1000 + ++change) +
					 " # Ilona\n";
		size_t size;
		char *value = envelope_build(change, nullptr, text.data(),
					     text.size(), &size);

		store_standin_put(store, interface_config_key(INTERFACE_FESCUE),
				  value, size);
		g_free(value);
	}
	void put_document(const std::string &text)
	{
		store_standin_put(store,
				  interface_config_key(INTERFACE_PLATFORM),
				  text.data(), text.size());
	}
	void put_numbered_document(int version)
	{
		put_document("{\"version\":" + std::to_string(version) +
			     ",\"resources\":[{\"type\":\"services\","
			     "\"metadata\":{\"name\":\"shop\"},\"spec\":{}}]}");
	}
	/* Other users of the store. */
	void put_others(int count)
	{
		for (int i = 0; i < count; i++)
			store_standin_put(store, "app/x", "x", 1);
	}
	/* Starts with version 7, and stores version 8 after a copy was taken. */
	void start_with_copy()
	{
		store_standin_set_era(store, 1);
		put_numbered_document(7);
		ASSERT_TRUE(becomes_active(5000));
		run_for(1500);
		store_standin_copy(store);
		put_others(40);
		put_numbered_document(8);
		ASSERT_TRUE(becomes_active(ACTIVE_WITHIN_MS));
	}
	uint64_t store_calls()
	{
		return counters.values[COUNTER_store_calls];
	}
	/* Returns whether another version becomes active in time. */
	bool becomes_active(uint64_t within_ms)
	{
		uint64_t before = active;
		uint64_t end = uv_hrtime() / 1000000 + within_ms;

		while (active == before && uv_hrtime() / 1000000 < end)
			run_for(5);
		return active != before;
	}
	void start_with_watch()
	{
		put_version();
		ASSERT_TRUE(becomes_active(5000));
		run_for(1500); /* the node joins and starts its watch */
		put_version();
		ASSERT_TRUE(becomes_active(ACTIVE_WITHIN_MS));
	}
};

/*
 * Guards against a watch that is sent during a silent outage of the store and
 * is waited for long after the store is back: no change was seen for 27 s.
 */
TEST(bootstrap, change_after_silent_outage_is_active_in_time)
{
	fixture f(store_address);

	f.start_with_watch();
	/* The pause of the watch after a change ends during the outage. */
	store_standin_set_outage(f.store, OUTAGE_HANG);
	f.run_for(2000);
	store_standin_set_outage(f.store, OUTAGE_NONE);
	f.put_version();
	EXPECT_TRUE(f.becomes_active(ACTIVE_WITHIN_MS));
}

/*
 * Guards against a watch from a revision of the store before it came back from a
 * copy: a version that is written then, at a lower revision, was never read.
 */
TEST(bootstrap, change_after_return_from_a_copy_is_active_in_time)
{
	fixture f(store_address, INTERFACE_PLATFORM);

	f.start_with_copy();
	/* In the pause of the watch after a change. */
	store_standin_restore(f.store);
	f.put_numbered_document(9);
	f.put_others(80);
	EXPECT_TRUE(f.becomes_active(ACTIVE_WITHIN_MS));
	EXPECT_EQ(f.active, 9u);
}

/* The same while a watch waits, twice, and after a silent outage. */
TEST(bootstrap, changes_after_returns_in_series_are_active_in_time)
{
	fixture f(store_address, INTERFACE_PLATFORM);

	f.start_with_copy();
	f.run_for(1000);
	for (int version = 9; version < 12; version++) {
		store_standin_set_outage(f.store, version == 11 ? OUTAGE_HANG :
								  OUTAGE_NONE);
		f.run_for(400);
		store_standin_restore(f.store);
		store_standin_set_outage(f.store, OUTAGE_NONE);
		f.put_numbered_document(version);
		f.put_others(80);
		ASSERT_TRUE(f.becomes_active(ACTIVE_WITHIN_MS)) << version;
		EXPECT_EQ(f.active, (uint64_t)version);
	}
}

/* Guards against a version of before that the copy has, and an old node. */
TEST(bootstrap, older_version_of_a_copy_does_not_become_active)
{
	fixture f(store_address, INTERFACE_PLATFORM);

	f.start_with_copy();
	store_standin_restore(f.store);
	f.run_for(3000);
	EXPECT_EQ(f.active, 8u);
}

/*
 * Guards against reads and watches without a pause while the store's revision
 * is below the one that was known before: 20 calls a second and more.
 */
TEST(bootstrap, return_from_a_copy_brings_no_storm_of_calls)
{
	fixture f(store_address, INTERFACE_PLATFORM);
	uint64_t before, after;

	f.start_with_copy();
	f.run_for(1000);
	before = f.store_calls();
	f.run_for(5000);
	before = f.store_calls() - before;
	store_standin_restore(f.store);
	after = f.store_calls();
	f.run_for(5000);
	after = f.store_calls() - after;
	printf("calls in 5 s before and after the return: %d, %d\n",
	       (int)before, (int)after);
	EXPECT_LE(after, 2 * before);
}

/*
 * Guards against a relay whose rendezvous record the store lost, so that hosts
 * that start do not find it until its lease is missed.
 */
TEST(bootstrap, rendezvous_record_is_written_again_after_return_from_a_copy)
{
	fixture f(store_address, INTERFACE_PLATFORM);

	store_standin_set_era(f.store, 1);
	store_standin_copy(f.store);
	f.put_numbered_document(7);
	f.run_for(4500);
	ASSERT_TRUE(store_standin_has(f.store, "fescue/rendezvous/a/0"));
	store_standin_restore(f.store);
	ASSERT_FALSE(store_standin_has(f.store, "fescue/rendezvous/a/0"));
	f.run_for(2500);
	EXPECT_TRUE(store_standin_has(f.store, "fescue/rendezvous/a/0"));
}

/*
 * Guards against waiting on connections that went silent without a reset: the
 * one of the watch, and then the idle ones, on which the next call is sent.
 */
TEST(bootstrap, change_after_connections_went_silent_is_active_in_time)
{
	silent_proxy proxy(store_address);
	fixture f(proxy.address);

	f.start_with_watch();
	f.run_for(1000); /* the next watch waits */
	proxy.silence();
	f.put_version();
	EXPECT_TRUE(f.becomes_active(ACTIVE_WITHIN_MS));
	f.put_version();
	EXPECT_TRUE(f.becomes_active(ACTIVE_WITHIN_MS));
}

/* Guards against a refused version that a restarted node then waits for. */
TEST(bootstrap, refused_version_is_no_floor)
{
	fixture f(store_address, INTERFACE_PLATFORM);

	f.expected_rejection = 9007199254740991;
	f.put_document("{\"version\":9007199254740991,\"resources\":[{}]}");
	f.run_for(1500);
	EXPECT_EQ(f.rejected, 9007199254740991u);
	f.put_document("{\"version\":5,\"resources\":[{\"type\":\"services\","
		       "\"metadata\":{\"name\":\"shop\"},\"spec\":{}}]}");
	ASSERT_TRUE(f.becomes_active(ACTIVE_WITHIN_MS));
	EXPECT_TRUE(floor_allows(bootstrap_floor(f.bootstrap), f.active));
}

/*
 * Guards against a host that starts beside the relays it finds in the store and
 * loses its only probe to each: after a kill of all processes hosts met others
 * up to 3 s later, while quotas count the hosts known after 1 s.
 */
TEST(bootstrap, listed_hosts_are_probed_until_they_answer)
{
	fixture f(store_address, INTERFACE_FESCUE, 1);
	uint64_t first = f.list_relay(0), second = f.list_relay(1);

	f.run_for(1000);
	EXPECT_GE(f.pings[first], 5);
	EXPECT_GE(f.pings[second], 5);
	f.receive_table(first);
	f.pings.clear();
	f.run_for(500);
	/* It is introduced to the host that answered, and probed in turn. */
	EXPECT_GE(f.pings[first], 1);
	EXPECT_LE(f.pings[first], 2);
	EXPECT_GE(f.pings[second], 3);
}

/*
 * Guards against a host that is added while the store is down, finds no other
 * when the leases have ended meanwhile, and counts itself only.
 */
TEST(bootstrap, host_is_found_after_its_lease_has_ended)
{
	fixture f(store_address, INTERFACE_PLATFORM, 1);
	uint64_t self = membership_self(f.membership)->address;

	f.put_numbered_document(7);
	f.run_for(4500);
	ASSERT_TRUE(store_standin_has(f.store, "fescue/rendezvous/a/0"));
	store_standin_set_outage(f.store, OUTAGE_HANG);
	store_standin_end_leases(f.store);
	ASSERT_FALSE(store_standin_has(f.store, "fescue/rendezvous/a/0"));
	store_standin_set_outage(f.store, OUTAGE_NONE);
	EXPECT_EQ(f.listed_by_another_host(), std::set<uint64_t>{ self });
}

/* Until one that is listed has answered, or all seem to be gone. */
TEST(bootstrap, host_awaits_the_others_that_are_listed)
{
	fixture f(store_address, INTERFACE_PLATFORM, 1);
	uint64_t listed = f.list_relay(0);

	EXPECT_TRUE(bootstrap_awaits_peers(f.bootstrap));
	f.run_for(2000);
	EXPECT_TRUE(bootstrap_awaits_peers(f.bootstrap));
	/* Another one that is added knows no more. */
	f.receive_table(listed + 1);
	f.run_for(100);
	EXPECT_TRUE(bootstrap_awaits_peers(f.bootstrap));
	f.receive_table(listed);
	f.run_for(100);
	EXPECT_FALSE(bootstrap_awaits_peers(f.bootstrap));
}

TEST(bootstrap, host_awaits_no_others_where_none_are_listed)
{
	fixture f(store_address, INTERFACE_PLATFORM, 1);

	f.run_for(1500);
	EXPECT_FALSE(bootstrap_awaits_peers(f.bootstrap));
}

TEST(bootstrap, listed_hosts_that_are_gone_are_not_awaited_for_good)
{
	fixture f(store_address, INTERFACE_PLATFORM, 1);

	f.list_relay(0);
	f.run_for(9000);
	EXPECT_TRUE(bootstrap_awaits_peers(f.bootstrap));
	f.run_for(2000);
	EXPECT_FALSE(bootstrap_awaits_peers(f.bootstrap));
}

/* Guards against more traffic of nodes whose settings have no quotas. */
TEST(bootstrap, listed_hosts_are_probed_once_without_quick_joins)
{
	fixture f(store_address);
	uint64_t first = f.list_relay(0);

	f.run_for(1000);
	EXPECT_EQ(f.pings[first], 1);
}

} // namespace
