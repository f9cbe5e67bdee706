/*
 * Tests of the reports by which hosts know that their version is the newest,
 * and of hosts that read the store because they miss these reports.
 */
#include "fleet_sim.h"
#include "lone_distribution.h"

namespace
{

/* Returns how many running hosts do not have the version. */
size_t count_late(fleet_sim &sim, uint64_t version)
{
	size_t late = 0;

	for (auto &node : sim.nodes)
		late += node->frozen_until_ms <= sim.now_ms &&
			node->version != version;
	return late;
}

/* Each of three changes is active on the running hosts within two seconds. */
void expect_changes_in_time(fleet_sim &sim, int seed)
{
	for (int change = 0; change < 3; change++) {
		sim.run_for((uint64_t)sim.random_int(0, 1500));
		uint64_t version = sim.accept_version();
		sim.run_for(2000);
		EXPECT_EQ(count_late(sim, version), 0u)
			<< "seed " << seed << " change " << change;
	}
}

/* Guards against domains whose relays all stand still when a change comes. */
TEST(freshness, hosts_read_the_store_when_no_relay_reports)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(2100 + seed, 15, 3);

		sim.settings.fetch_delay_ms = 1000;
		start_all(sim);
		for (auto &node : sim.nodes)
			if (distribution_is_relay(node->distribution))
				sim.freeze(*node, 60000);
		expect_changes_in_time(sim, seed);
	}
}

/*
 * Guards against hosts that reach the store, but that others do not reach, or
 * that do not reach others.
 */
TEST(freshness, hosts_read_the_store_when_links_are_cut_one_way)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(2200 + seed, 15, 3);
		uint64_t host = sim.nodes[(size_t)seed % 15]->address;

		sim.settings.fetch_delay_ms = 1000;
		sim.settings.require_peer_copy = 0;
		start_all(sim);
		for (auto &node : sim.nodes)
			sim.cut_links.insert(
				seed % 2 ? std::make_pair(node->address, host) :
					   std::make_pair(host, node->address));
		expect_changes_in_time(sim, seed);
	}
}

/* Guards against hosts that the relays of their domain do not know yet. */
TEST(freshness, hosts_that_no_relay_knows_get_versions_in_time)
{
	for (int seed = 0; seed < 50; seed++) {
		fleet_sim sim(2000 + seed, 30, 1);

		sim.settings.fetch_delay_ms = 60000;
		start_all(sim);
		uint64_t version = sim.accept_version();
		sim.run_for(2000);
		EXPECT_EQ(count_late(sim, version), 0u) << "seed " << seed;
	}
}

Fescue__Packet *create_state(uint64_t version, uint32_t age_ms)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_STATE);

	packet->config_state->confirmed = 1;
	packet->config_state->version = version;
	packet->config_state->age_ms = age_ms;
	return packet;
}

/* Guards against trust in what a relay knew before it was suspended. */
TEST(freshness, old_reports_do_not_confirm_a_version)
{
	fleet_sim sim(2300, 9, 1);
	sim_node *host = nullptr;
	struct outbox outbox = {};

	g_queue_init(&outbox.queue);
	start_all(sim);
	uint64_t version = sim.accept_version();
	sim.run_for(1000);
	for (auto &node : sim.nodes)
		if (!distribution_is_candidate(node->distribution))
			host = node.get();
	for (uint32_t age_ms : { 0u, 4000u }) {
		Fescue__Packet *packet = create_state(version, age_ms);
		uint64_t from = sim.nodes[host == sim.nodes[0].get()]->address;

		sim.run_for(50);
		distribution_receive(host->distribution, from, packet,
				     sim.now_ms + 900, &outbox);
		EXPECT_EQ(distribution_unconfirmed_ms(host->distribution,
						      sim.now_ms + 900) == 0,
			  age_ms == 0);
		packet_destroy(packet);
		sim.run_for(1000);
	}
	outbox_clear(&outbox);
}

/* In large domains other hosts forward the reports of relays. */
TEST(freshness, reports_of_relays_reach_large_domains)
{
	fleet_sim sim(2400, 120, 1);
	size_t others = 0;

	start_all(sim);
	sim.run_for(30000); /* until the hosts know each other */
	for (int i = 0; i < 200; i++) {
		if (i % 40 == 0)
			sim.accept_version();
		sim.tick();
		for (auto &node : sim.nodes)
			others += node->watching &&
				  !distribution_is_relay(node->distribution);
	}
	EXPECT_EQ(others, 0u);
	EXPECT_EQ(count_late(sim, sim.newest_accepted()), 0u);
}

TEST(freshness, versions_pass_by_frozen_hosts_in_large_domains)
{
	for (int seed = 0; seed < 20; seed++) {
		fleet_sim sim(2500 + seed, 120, 1);

		sim.settings.fetch_delay_ms = 60000;
		sim.settings.require_peer_copy = 0;
		start_all(sim);
		sim.run_for(30000);
		for (auto &node : sim.nodes)
			if (sim.chance(0.5))
				sim.freeze(*node, 60000);
		sim.run_for((uint64_t)sim.random_int(0, 1500));
		uint64_t version = sim.accept_version();
		sim.run_for(2000);
		EXPECT_EQ(count_late(sim, version), 0u) << "seed " << seed;
	}
}

/* Guards against a second call to the store for each read in place of a relay. */
TEST(freshness, answer_ends_a_read_at_once)
{
	lone_distribution host;
	uint64_t reads = 0;

	distribution_tick(host.d, 1000, &host.outbox);
	host.take_actions();
	host.add_peers(8);
	for (uint64_t now_ms = 1050; now_ms < 10000; now_ms += 50) {
		distribution_tick(host.d, now_ms, &host.outbox);
		host.take_actions();
		if (!host.watching)
			continue;
		reads++;
		distribution_confirm(host.d, now_ms, 1, now_ms, &host.outbox);
		host.take_actions();
		EXPECT_FALSE(host.watching) << now_ms;
	}
	EXPECT_FALSE(distribution_is_candidate(host.d));
	EXPECT_GE(reads, 4u);
}

} // namespace
