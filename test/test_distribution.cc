#include "fleet_sim.h"
#include "lone_distribution.h"

namespace
{

size_t count_with_version(fleet_sim &sim, uint64_t version)
{
	size_t count = 0;

	for (auto &node : sim.nodes)
		count += node->up && node->version == version;
	return count;
}

TEST(distribution, accepted_version_reaches_all_hosts)
{
	fleet_sim sim(1, 12, 3);

	start_all(sim);
	sim.accept_version();
	sim.run_for(1000);
	EXPECT_EQ(count_with_version(sim, sim.newest_accepted()), 12u);
	sim.check_converged();
	sim.expect_no_violations();
}

TEST(distribution, invalid_version_is_rejected_and_skipped)
{
	fleet_sim sim(2, 9, 3);

	start_all(sim);
	uint64_t version = sim.accept_version();
	sim.run_for(1000);
	sim.store_invalid_value();
	sim.run_for(3000);
	EXPECT_EQ(count_with_version(sim, version), 9u);
	EXPECT_GT(sim.rejected, 0u);
	version = sim.accept_version();
	sim.run_for(1000);
	EXPECT_EQ(count_with_version(sim, version), 9u);
}

/* Guards against a refused value whose number keeps all later versions out. */
TEST(distribution, versions_below_a_refused_one_are_applied)
{
	lone_distribution host;

	host.read(5, "service s # a\n");
	host.read(9007199254740991, nullptr);
	host.read(9007199254740991, nullptr);
	host.read(6, "service s # b\n");
	host.read(9007199254740990, "nonsense\n");
	host.push(9007199254740990, "nonsense\n");
	host.push(7, "service s # c\n");
	host.read(8, "nonsense\n");
	host.read(8, "service s # d\n");
	EXPECT_EQ(host.applied, (std::vector<uint64_t>{ 5, 6, 7, 8 }));
	EXPECT_EQ(host.rejected,
		  (std::vector<uint64_t>{ 9007199254740991, 9007199254740990,
					  8 }));
}

/*
 * The store goes down as soon as any host has applied a new version. The other
 * hosts must get it from their peers.
 */
TEST(distribution, store_outage_after_first_apply)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(100 + seed, 12, 3);

		start_all(sim);
		uint64_t version = sim.accept_version();
		while (!count_with_version(sim, version))
			sim.tick();
		sim.store.up = false;
		sim.run_for(3000);
		EXPECT_EQ(count_with_version(sim, version), 12u)
			<< "seed " << seed;
	}
}

/* Every host applies each of a number of changes within two seconds. */
void expect_changes_within_2s(fleet_sim &sim, int changes, int seed)
{
	for (int change = 0; change < changes; change++) {
		uint64_t version = sim.accept_version();

		sim.run_for(2000);
		EXPECT_EQ(count_with_version(sim, version), sim.nodes.size())
			<< "seed " << seed << " change " << change;
	}
}

/*
 * All hosts watch the store, but a third of them cannot reach it, and packets
 * are lost. These hosts still get each change from peers within two seconds.
 */
TEST(distribution, hosts_without_store_get_changes_from_peers)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(900 + seed, 9, 3);

		sim.settings.mode = DISTRIBUTION_POLL;
		sim.settings.fetch_delay_ms = 900;
		start_all(sim);
		for (size_t i = 0; i < 3; i++)
			sim.nodes[i]->store_unreachable = true;
		sim.loss_probability = 0.05;
		expect_changes_within_2s(sim, 4, seed);
	}
}

/* The relays of all domains lose the store: standby hosts watch it instead. */
/* Peer of the fetch that the distribution sends now; 0: none. */
uint64_t sent_fetch(struct outbox *outbox)
{
	uint64_t peer = 0;

	while (struct outgoing *out = outbox_pop(outbox)) {
		if (out->packet->body_case == FESCUE__PACKET__BODY_CONFIG_FETCH)
			peer = out->to;
		outgoing_destroy(out);
	}
	return peer;
}

/*
 * The delay of a fetch counts once for a version. If the first peer is lost,
 * the next one that has the version is asked at once.
 */
TEST(distribution, fetch_from_a_second_peer_is_not_delayed_again)
{
	struct distribution_settings settings = distribution_defaults;
	struct outbox outbox = {};
	struct host self = {};
	struct membership *membership;
	struct distribution *d;

	self.address = 1;
	membership = membership_create(&membership_defaults, &self, 1, 0);
	settings.fetch_delay_ms = 1000;
	settings.fetch_timeout_ms = 500;
	d = distribution_create(&settings, membership);
	g_queue_init(&outbox.queue);
	distribution_receive_peer_version(d, 2, 7, 0, 1000, &outbox);
	EXPECT_EQ(sent_fetch(&outbox), 0u);
	distribution_tick(d, 2000, &outbox);
	EXPECT_EQ(sent_fetch(&outbox), 2u);
	distribution_tick(d, 2500, &outbox);
	distribution_receive_peer_version(d, 3, 7, 0, 2600, &outbox);
	EXPECT_EQ(sent_fetch(&outbox), 3u);
	distribution_destroy(d);
	membership_destroy(membership);
}

TEST(distribution, standby_hosts_replace_relays_without_store)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(1100 + seed, 15, 3);

		start_all(sim);
		for (auto &node : sim.nodes)
			node->store_unreachable =
				distribution_is_relay(node->distribution);
		sim.run_for(2000);
		expect_changes_within_2s(sim, 3, seed);
	}
}

/* While the whole store is down, only a few hosts per domain keep trying it. */
TEST(distribution, few_hosts_watch_during_store_outage)
{
	fleet_sim sim(1200, 60, 3);
	size_t watching = 0;

	start_all(sim);
	sim.store.up = false;
	sim.run_for(20000);
	for (auto &node : sim.nodes)
		watching += node->watching;
	EXPECT_LE(watching, 12u);
	sim.store.up = true;
	sim.run_for(5000);
	watching = 0;
	for (auto &node : sim.nodes)
		watching += node->watching;
	EXPECT_EQ(watching, 6u);
}

TEST(distribution, change_while_first_relays_are_frozen)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(200 + seed, 12, 3);
		size_t running = 0;

		start_all(sim);
		for (auto &node : sim.nodes)
			if (distribution_is_relay(node->distribution) &&
			    distribution_rank(node->distribution) == 0)
				sim.freeze(*node, 60000);
		uint64_t version = sim.accept_version();
		sim.run_for(3000);
		for (auto &node : sim.nodes)
			running += node->frozen_until_ms <= sim.now_ms;
		EXPECT_EQ(count_with_version(sim, version), running)
			<< "seed " << seed;
	}
}

TEST(distribution, both_relays_of_a_domain_die_before_a_change)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(300 + seed, 15, 3);
		size_t up = 0;

		start_all(sim);
		for (auto &node : sim.nodes)
			if (node->domain == "d0" &&
			    distribution_is_relay(node->distribution))
				sim.kill(*node);
		uint64_t version = sim.accept_version();
		sim.run_for(3000);
		for (auto &node : sim.nodes)
			up += node->up;
		EXPECT_EQ(up, 13u);
		EXPECT_EQ(count_with_version(sim, version), up)
			<< "seed " << seed;
	}
}

/*
 * Guards against hosts below a frozen one in the push tree that get a version
 * only when gossip reports it.
 */
TEST(distribution, hosts_below_frozen_ones_get_pushes_in_time)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(2000 + seed, 30, 1);
		size_t running = 0;

		sim.settings.fetch_delay_ms = 60000;
		start_all(sim);
		sim.run_for(10000); /* until the hosts know each other */
		for (auto &node : sim.nodes)
			if (!distribution_is_relay(node->distribution) &&
			    sim.chance(0.5))
				sim.freeze(*node, 60000);
		uint64_t version = sim.accept_version();
		sim.run_for(1500);
		for (auto &node : sim.nodes)
			running += node->frozen_until_ms <= sim.now_ms;
		EXPECT_EQ(count_with_version(sim, version), running)
			<< "seed " << seed;
	}
}

TEST(distribution, isolated_domain_catches_up)
{
	fleet_sim sim(4, 12, 3);

	start_all(sim);
	sim.accept_version();
	sim.run_for(1000);
	sim.isolated.insert("d1");
	uint64_t version = sim.accept_version();
	sim.run_for(20000);
	/* d1 can still reach the store. */
	EXPECT_EQ(count_with_version(sim, version), 12u);
	sim.store.up = false;
	sim.run_for(60000);
	sim.isolated.clear();
	sim.store.up = true;
	version = sim.accept_version();
	sim.run_for(10000);
	sim.check_converged();
	sim.expect_no_violations();
}

/* The store reads per change do not depend on the number of hosts. */
TEST(distribution, store_reads_do_not_grow_with_hosts)
{
	std::vector<uint64_t> reads;

	for (int count : { 9, 18, 60 }) {
		fleet_sim sim(5, count, 3);

		start_all(sim);
		sim.run_for(10000); /* until 60 hosts know each other */
		uint64_t before = sim.store.reads;
		for (int i = 0; i < 5; i++) {
			sim.accept_version();
			sim.run_for(1000);
		}
		reads.push_back(sim.store.reads - before);
	}
	EXPECT_EQ(reads[0], 5u * 3 * 2);
	EXPECT_EQ(reads[1], reads[0]);
	EXPECT_EQ(reads[2], reads[0]);
}

TEST(distribution, restart_during_store_outage_reaches_the_floor)
{
	fleet_sim sim(6, 9, 3);

	start_all(sim);
	uint64_t version = sim.accept_version();
	sim.run_for(2000);
	sim.store.up = false;
	sim.kill(*sim.nodes[4]);
	sim.run_for(500);
	sim.start(*sim.nodes[4]);
	sim.run_for(20000);
	EXPECT_EQ(sim.nodes[4]->version, version);
	EXPECT_TRUE(floor_allows(&sim.nodes[4]->floor, version));
}

size_t count_serving(fleet_sim &sim)
{
	size_t count = 0;

	for (auto &node : sim.nodes)
		count += node->up && floor_allows(&node->floor, node->version);
	return count;
}

/*
 * A host that restarts while the store is down has no addresses of peers. They
 * must find it, so that it serves within six seconds, of which three are the
 * settle time of the floor.
 */
TEST(distribution, peers_find_host_restarted_during_store_outage)
{
	for (int seed = 0; seed < 200; seed++) {
		fleet_sim sim(5000 + seed, 9, 3);

		start_all(sim);
		sim.accept_version();
		sim.run_for(1000);
		sim.store.up = false;
		sim.kill(*sim.nodes[3]);
		sim.run_for(300);
		sim.start(*sim.nodes[3]);
		sim.run_for(6000);
		EXPECT_TRUE(floor_allows(&sim.nodes[3]->floor,
					 sim.nodes[3]->version))
			<< "seed " << seed;
	}
}

/*
 * Three quarters of the hosts restart during a store outage. They get the
 * version from peers, but serve only after the store has confirmed it, because
 * a newer version may have been lost with the hosts that restarted.
 */
TEST(distribution, mass_restart_during_store_outage)
{
	fleet_sim sim(7, 12, 3);

	start_all(sim);
	uint64_t version = sim.accept_version();
	sim.run_for(2000);
	sim.store.up = false;
	for (int i = 0; i < 12; i++)
		if (i % 4)
			sim.kill(*sim.nodes[i]);
	sim.run_for(1000);
	for (auto &node : sim.nodes)
		sim.start(*node);
	sim.run_for(40000);
	EXPECT_EQ(count_with_version(sim, version), 12u);
	EXPECT_EQ(count_serving(sim), 3u);
	sim.store.up = true;
	sim.run_for(3000);
	EXPECT_EQ(count_serving(sim), 12u);
	sim.check_converged();
	sim.expect_no_violations();
}

/* Cause one random fault, recovery or change. */
void inject_random_event(fleet_sim &sim)
{
	sim_node &node = *sim.nodes[sim.random_int(0, (int)sim.nodes.size())];

	switch (sim.random_int(0, 15)) {
	case 0:
	case 1:
	case 2:
		sim.accept_version();
		break;
	case 3:
		sim.store_invalid_value();
		break;
	case 4:
		sim.store.up = !sim.store.up;
		sim.record_event(sim.store.up ? "store up" : "store down");
		break;
	case 5:
		sim.kill(node);
		break;
	case 6:
	case 7:
		sim.start(node);
		break;
	case 8:
		sim.freeze(node, (uint64_t)sim.random_int(100, 8000));
		break;
	case 9:
	case 10:
	case 11:
	case 12:
		sim.kill(node);
		sim.start(node);
		break;
	case 13:
		sim.loss_probability = sim.chance(0.5) ? 0 : 0.2;
		sim.duplicate_probability = sim.chance(0.5) ? 0 : 0.2;
		sim.max_delay_ms = sim.chance(0.5) ? 5 : 200;
		break;
	default:
		if (!sim.isolated.erase(node.domain))
			sim.isolated.insert(node.domain);
		sim.record_event("isolate or reconnect the domain of", node);
	}
}

/* Run one random history, which records violations in the simulation. */
void run_random_history(fleet_sim &sim)
{
	for (auto &node : sim.nodes)
		sim.start(*node);
	sim.accept_version();
	sim.run_for(1500);
	for (int i = 0; i < 20; i++) {
		inject_random_event(sim);
		sim.run_for((uint64_t)sim.random_int(20, 800));
	}
	sim.end_faults();
	sim.run_for(1000);
	sim.accept_version();
	sim.run_for(20000);
	sim.check_converged();
}

/*
 * At every step hosts apply only accepted texts, and the version that a host
 * serves never decreases, not even after a restart. Within 20 s after the last
 * change and the end of the faults, all hosts serve the newest version.
 */
TEST(distribution, random_histories)
{
	int count = history_count(10000);

	for (int seed = 0; seed < count; seed++) {
		fleet_sim sim(10000 + seed, 3 + seed % 6, 1 + seed % 3);

		run_random_history(sim);
		sim.expect_no_violations();
		ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
	}
}

/* Seeds of random histories that failed before a bug was fixed. */
TEST(distribution, regression_histories)
{
	for (int seed : { 5682, 60162 }) {
		fleet_sim sim(10000 + seed, 3 + seed % 6, 1 + seed % 3);

		run_random_history(sim);
		sim.expect_no_violations();
	}
}

/* The first seed whose history has this violation with the fault, or -1. */
int first_seed_with_violation(enum sim_fault fault, const char *expected)
{
	for (int seed = 0; seed < 1000; seed++) {
		fleet_sim sim(10000 + seed, 3 + seed % 6, 1 + seed % 3);

		sim.fault = fault;
		run_random_history(sim);
		for (auto &violation : sim.violations)
			if (violation.find(expected) != std::string::npos)
				return seed;
	}
	return -1;
}

TEST(distribution, injected_faults_are_detected)
{
	EXPECT_GE(first_seed_with_violation(SIM_NO_FLOOR,
					    "serves an older version"),
		  0);
	EXPECT_GE(first_seed_with_violation(SIM_NO_REPAIR, "did not reach"), 0);
	EXPECT_GE(first_seed_with_violation(SIM_UNACCEPTED_TEXT,
					    "never accepted"),
		  0);
}

/*
 * A relay reads a version while all other hosts are frozen, then the store goes
 * down and the relay restarts. Without a peer copy it may have applied and
 * served the version, which nobody else has. Returns the violations in 50 runs.
 */
size_t count_violations_after_relay_loss(int require_peer_copy)
{
	size_t violations = 0;

	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(400 + seed, 9, 3);
		sim_node *relay = nullptr;

		sim.settings.require_peer_copy = require_peer_copy;
		start_all(sim);
		sim.accept_version();
		sim.run_for(2000);
		for (auto &node : sim.nodes)
			if (distribution_is_relay(node->distribution))
				relay = node.get();
		for (auto &node : sim.nodes)
			if (node.get() != relay)
				sim.freeze(*node, 400);
		sim.accept_version();
		sim.run_for(300);
		sim.store.up = false;
		for (auto &node : sim.nodes)
			node->inbox.clear();
		sim.kill(*relay);
		sim.run_for(300);
		sim.start(*relay);
		sim.run_for(20000);
		violations += sim.violations.size();
	}
	return violations;
}

TEST(distribution, peer_copy_preserves_version_after_relay_loss)
{
	EXPECT_EQ(count_violations_after_relay_loss(1), 0u);
	EXPECT_GT(count_violations_after_relay_loss(0), 0u);
}

} // namespace
