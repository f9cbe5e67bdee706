#include "fleet_sim.h"

namespace
{

void start_all(fleet_sim &sim)
{
	for (auto &n : sim.nodes)
		sim.start(*n);
	sim.run(6000);
}

size_t count_at(fleet_sim &sim, uint64_t version)
{
	size_t count = 0;

	for (auto &n : sim.nodes)
		count += n->up && n->version == version;
	return count;
}

TEST(distribution, accepted_version_reaches_all)
{
	fleet_sim sim(1, 12, 3);

	start_all(sim);
	sim.accept();
	sim.run(1000);
	EXPECT_EQ(count_at(sim, sim.newest_good()), 12u);
	sim.check_converged();
	sim.expect_good();
}

TEST(distribution, bad_version_is_refused_and_skipped)
{
	fleet_sim sim(2, 9, 3);

	start_all(sim);
	uint64_t good = sim.accept();
	sim.run(1000);
	sim.store_bad_bytes();
	sim.run(3000);
	EXPECT_EQ(count_at(sim, good), 9u);
	EXPECT_GT(sim.rejected, 0u);
	good = sim.accept();
	sim.run(1000);
	EXPECT_EQ(count_at(sim, good), 9u);
}

/* The source goes out right after one relay got the accepted version. */
TEST(distribution, source_out_after_acceptance)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(100 + seed, 12, 3);

		start_all(sim);
		uint64_t version = sim.accept();
		while (!count_at(sim, version))
			sim.tick();
		sim.store.up = false;
		sim.run(3000);
		EXPECT_EQ(count_at(sim, version), 12u) << "seed " << seed;
	}
}

/* Every host has each of some changes within two seconds. */
void expect_changes(fleet_sim &sim, int changes, int seed)
{
	for (int change = 0; change < changes; change++) {
		uint64_t version = sim.accept();

		sim.run(2000);
		EXPECT_EQ(count_at(sim, version), sim.nodes.size())
			<< "seed " << seed << " change " << change;
	}
}

/*
 * Every host watches, the store turns a third of them away and packets are
 * lost: these still have a change within two seconds, from their peers.
 */
TEST(distribution, hosts_without_the_store_get_changes_from_peers)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(900 + seed, 9, 3);

		sim.settings.mode = DISTRIBUTION_POLL;
		sim.settings.fetch_delay_ms = 900;
		start_all(sim);
		for (size_t i = 0; i < 3; i++)
			sim.nodes[i]->store_refuses = true;
		sim.loss = 0.05;
		expect_changes(sim, 4, seed);
	}
}

/* The store turns the relays of every domain away: others read it instead. */
TEST(distribution, relays_without_the_store_yield)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(1100 + seed, 15, 3);

		start_all(sim);
		for (auto &n : sim.nodes)
			n->store_refuses =
				distribution_is_relay(n->distribution);
		sim.run(2000);
		expect_changes(sim, 3, seed);
	}
}

/* An outage of the whole store does not make every host try it. */
TEST(distribution, hosts_that_try_a_lost_store_are_few)
{
	fleet_sim sim(1200, 60, 3);
	size_t watching = 0;

	start_all(sim);
	sim.store.up = false;
	sim.run(20000);
	for (auto &n : sim.nodes)
		watching += n->watching;
	EXPECT_LE(watching, 12u);
	sim.store.up = true;
	sim.run(5000);
	watching = 0;
	for (auto &n : sim.nodes)
		watching += n->watching;
	EXPECT_EQ(watching, 6u);
}

TEST(distribution, relay_frozen_before_a_change)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(200 + seed, 12, 3);
		size_t running = 0;

		start_all(sim);
		for (auto &n : sim.nodes)
			if (distribution_is_relay(n->distribution) &&
			    distribution_rank(n->distribution) == 0)
				sim.freeze(*n, 60000);
		uint64_t version = sim.accept();
		sim.run(3000);
		for (auto &n : sim.nodes)
			running += n->frozen_until <= sim.now;
		EXPECT_EQ(count_at(sim, version), running) << "seed " << seed;
	}
}

TEST(distribution, both_relays_die_with_the_change)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(300 + seed, 15, 3);
		size_t up = 0;

		start_all(sim);
		for (auto &n : sim.nodes)
			if (n->domain == "d0" &&
			    distribution_is_relay(n->distribution))
				sim.kill(*n);
		uint64_t version = sim.accept();
		sim.run(3000);
		for (auto &n : sim.nodes)
			up += n->up;
		EXPECT_EQ(up, 13u);
		EXPECT_EQ(count_at(sim, version), up) << "seed " << seed;
	}
}

TEST(distribution, domain_cut_off_keeps_and_catches_up)
{
	fleet_sim sim(4, 12, 3);

	start_all(sim);
	sim.accept();
	sim.run(1000);
	sim.cut.insert("d1");
	uint64_t version = sim.accept();
	sim.run(20000);
	EXPECT_EQ(count_at(sim, version), 12u); /* it still has the store */
	sim.store.up = false;
	sim.run(60000);
	sim.cut.clear();
	sim.store.up = true;
	version = sim.accept();
	sim.run(10000);
	sim.check_converged();
	sim.expect_good();
}

/* Store calls of a change do not grow with the hosts of a domain. */
TEST(distribution, store_reads_do_not_grow_with_hosts)
{
	std::vector<uint64_t> reads;

	for (int count : { 9, 18, 60 }) {
		fleet_sim sim(5, count, 3);

		start_all(sim);
		sim.run(10000); /* until a fleet of 60 knows all its hosts */
		uint64_t before = sim.store.reads;
		for (int i = 0; i < 5; i++) {
			sim.accept();
			sim.run(1000);
		}
		reads.push_back(sim.store.reads - before);
	}
	EXPECT_EQ(reads[0], 5u * 3 * 2);
	EXPECT_EQ(reads[1], reads[0]);
	EXPECT_EQ(reads[2], reads[0]);
}

TEST(distribution, restart_with_the_store_out_reaches_the_floor)
{
	fleet_sim sim(6, 9, 3);

	start_all(sim);
	uint64_t version = sim.accept();
	sim.run(2000);
	sim.store.up = false;
	sim.kill(*sim.nodes[4]);
	sim.run(500);
	sim.start(*sim.nodes[4]);
	sim.run(20000);
	EXPECT_EQ(sim.nodes[4]->version, version);
	EXPECT_TRUE(floor_allows(&sim.nodes[4]->floor, version));
}

size_t serving(fleet_sim &sim)
{
	size_t count = 0;

	for (auto &n : sim.nodes)
		count += n->up && floor_allows(&n->floor, n->version);
	return count;
}

/*
 * When many hosts restart during an outage, those that restarted get the
 * version from peers at once but serve only when the store confirms it:
 * nobody can know what was lost with them.
 */
/*
 * A host that starts again while the store is out knows nobody: its peers
 * find it, and it serves within six seconds, three of them the settle time.
 */
TEST(distribution, restart_with_the_store_out_is_found_in_time)
{
	for (int seed = 0; seed < 200; seed++) {
		fleet_sim sim(5000 + seed, 9, 3);

		start_all(sim);
		sim.accept();
		sim.run(1000);
		sim.store.up = false;
		sim.kill(*sim.nodes[3]);
		sim.run(300);
		sim.start(*sim.nodes[3]);
		sim.run(6000);
		EXPECT_TRUE(floor_allows(&sim.nodes[3]->floor,
					 sim.nodes[3]->version))
			<< "seed " << seed;
	}
}

TEST(distribution, herd_returns_with_the_store_out)
{
	fleet_sim sim(7, 12, 3);

	start_all(sim);
	uint64_t version = sim.accept();
	sim.run(2000);
	sim.store.up = false;
	for (int i = 0; i < 12; i++)
		if (i % 4)
			sim.kill(*sim.nodes[i]);
	sim.run(1000);
	for (auto &n : sim.nodes)
		sim.start(*n);
	sim.run(40000);
	EXPECT_EQ(count_at(sim, version), 12u);
	EXPECT_EQ(serving(sim), 3u);
	sim.store.up = true;
	sim.run(3000);
	EXPECT_EQ(serving(sim), 12u);
	sim.check_converged();
	sim.expect_good();
}

/* One random fault or change. */
void disturb(fleet_sim &sim)
{
	sim_node &n = *sim.nodes[sim.draw(0, (int)sim.nodes.size())];

	switch (sim.draw(0, 15)) {
	case 0:
	case 1:
	case 2:
		sim.accept();
		break;
	case 3:
		sim.store_bad_bytes();
		break;
	case 4:
		sim.store.up = !sim.store.up;
		sim.note(sim.store.up ? "store up, not" : "store out, not", n);
		break;
	case 5:
		sim.kill(n);
		break;
	case 6:
	case 7:
		sim.start(n);
		break;
	case 8:
		sim.freeze(n, (uint64_t)sim.draw(100, 8000));
		break;
	case 9:
	case 10:
	case 11:
	case 12:
		sim.kill(n);
		sim.start(n);
		break;
	case 13:
		sim.loss = sim.chance(0.5) ? 0 : 0.2;
		sim.duplicate = sim.chance(0.5) ? 0 : 0.2;
		sim.delay_ms = sim.chance(0.5) ? 5 : 200;
		break;
	default:
		if (!sim.cut.erase(n.domain))
			sim.cut.insert(n.domain);
		sim.note("cut or join the domain of", n);
	}
}

/* One random history; the simulation holds what was violated. */
void run_history(fleet_sim &sim)
{
	for (auto &n : sim.nodes)
		sim.start(*n);
	sim.accept();
	sim.run(1500);
	for (int i = 0; i < 20; i++) {
		disturb(sim);
		sim.run((uint64_t)sim.draw(20, 800));
	}
	sim.heal();
	sim.run(1000);
	sim.accept();
	sim.run(20000);
	sim.check_converged();
}

/*
 * At every step: versions only rise, across restarts too; only accepted texts
 * are in force. After the faults end all hosts agree within bounded time.
 */
TEST(distribution, random_histories)
{
	int count = histories(10000);

	for (int seed = 0; seed < count; seed++) {
		fleet_sim sim(10000 + seed, 3 + seed % 6, 1 + seed % 3);

		run_history(sim);
		sim.expect_good();
		ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
	}
}

/* Histories in which a fault of the program was found and mended. */
TEST(distribution, histories_that_once_failed)
{
	for (int seed : { 5682, 60162 }) {
		fleet_sim sim(10000 + seed, 3 + seed % 6, 1 + seed % 3);

		run_history(sim);
		sim.expect_good();
	}
}

/* The first seed whose history shows the planted fault, or -1. */
int first_finding(enum sim_fault fault, const char *what)
{
	for (int seed = 0; seed < 1000; seed++) {
		fleet_sim sim(10000 + seed, 3 + seed % 6, 1 + seed % 3);

		sim.fault = fault;
		run_history(sim);
		for (auto &violation : sim.violations)
			if (violation.find(what) != std::string::npos)
				return seed;
	}
	return -1;
}

TEST(distribution, planted_faults_are_found)
{
	EXPECT_GE(first_finding(SIM_NO_FLOOR, "serves an older version"), 0);
	EXPECT_GE(first_finding(SIM_NO_REPAIR, "did not reach"), 0);
	EXPECT_GE(first_finding(SIM_STALE_STORE, "never accepted"), 0);
}

/* A relay dies with the source right after it put a version in force. */
size_t violations_of_lost_relay(int require_peer_copy)
{
	size_t violations = 0;

	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(400 + seed, 9, 3);
		sim_node *relay = nullptr;

		sim.settings.require_peer_copy = require_peer_copy;
		start_all(sim);
		sim.accept();
		sim.run(2000);
		for (auto &n : sim.nodes)
			if (distribution_is_relay(n->distribution))
				relay = n.get();
		for (auto &n : sim.nodes)
			if (n.get() != relay)
				sim.freeze(*n, 400);
		sim.accept();
		sim.run(300);
		sim.store.up = false;
		for (auto &n : sim.nodes)
			n->inbox.clear();
		sim.kill(*relay);
		sim.run(300);
		sim.start(*relay);
		sim.run(20000);
		violations += sim.violations.size();
	}
	return violations;
}

TEST(distribution, witness_keeps_a_version_past_its_relay)
{
	EXPECT_EQ(violations_of_lost_relay(1), 0u);
	EXPECT_GT(violations_of_lost_relay(0), 0u);
}

} // namespace
