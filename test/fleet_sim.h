/*
 * A fake network, store and fleet for the decision modules: seeded, with a
 * clock that only the test advances. Packets are lost, delayed, duplicated
 * and reordered; nodes are killed, restarted and frozen; domains are cut off.
 */
#ifndef FESCUE_TEST_FLEET_SIM_H
#define FESCUE_TEST_FLEET_SIM_H

#include "support.h"

extern "C" {
#include "fescue/distribution.h"
#include "fescue/floor.h"
#include "fescue/membership.h"
#include "fescue/snapshot.h"
#include "packet.h"
}

#include <map>
#include <memory>
#include <set>

const uint64_t SIM_TICK_MS = 50;
const uint64_t SIM_RECORD_TTL_MS = 10000;

struct sim_packet {
	uint64_t from, to;
	std::string bytes;
};

struct sim_store {
	bool up = true;
	uint64_t revision = 0;
	std::string text;
	bool garbage = false; /* the stored bytes have no envelope */
	std::map<uint64_t, std::string> accepted; /* good ones */
	std::map<std::string, std::pair<uint64_t, uint64_t>> records;
	uint64_t reads = 0;
};

struct sim_node {
	uint64_t address = 0;
	std::string domain;
	bool up = false;
	uint64_t frozen_until = 0;
	struct membership *membership = nullptr;
	struct distribution *distribution = nullptr;
	struct floor floor = {};
	bool watching = false;
	bool store_refuses = false; /* this host alone */
	bool booted = false;
	uint64_t boot_at = 0, watch_at = 0, record_at = 0, probe_at = 0;
	uint64_t repair_at = 0; /* when to ask a peer in the store's place */
	uint64_t watch_after = 0;
	uint64_t version = 0; /* in force in this life */
	uint64_t served = 0; /* highest at this address in any life */
	std::multimap<uint64_t, sim_packet> inbox;
};

/* Faults planted to show that the checks find them. */
enum sim_fault {
	SIM_NO_FAULT,
	SIM_NO_FLOOR, /* a starting node serves whatever it gets first */
	SIM_NO_REPAIR, /* requests for a missing version are lost */
	SIM_STALE_STORE, /* the store hands out a text nobody accepted */
};

struct fleet_sim {
	enum sim_fault fault = SIM_NO_FAULT;
	std::vector<std::string> violations;
	std::vector<std::string> trace; /* what happened, for a violation */
	GRand *random;
	uint64_t now = 1000;
	uint64_t lives = 1;
	double loss = 0, duplicate = 0;
	uint64_t delay_ms = 5;
	std::set<std::string> cut; /* domains that reach no other */
	sim_store store;
	std::vector<std::unique_ptr<sim_node>> nodes;
	std::map<uint64_t, sim_node *> by_address;
	struct distribution_settings settings = distribution_defaults;
	uint64_t control_bytes = 0;
	uint64_t rejected = 0;

	fleet_sim(uint32_t seed, int count, int domains)
	{
		random = g_rand_new_with_seed(seed);
		for (int i = 0; i < count; i++) {
			auto n = std::make_unique<sim_node>();

			n->address = (uint64_t)(0x7f000001 + i) << 16 | 7000;
			n->domain = "d" + std::to_string(i % domains);
			by_address[n->address] = n.get();
			nodes.push_back(std::move(n));
		}
	}
	~fleet_sim()
	{
		for (auto &n : nodes)
			kill(*n);
		g_rand_free(random);
	}
	int draw(int from, int to)
	{
		return g_rand_int_range(random, from, to);
	}
	bool chance(double p)
	{
		return g_rand_double(random) < p;
	}

	void note(const char *what, const sim_node &n, uint64_t number = 0)
	{
		trace.push_back(std::to_string(now) + " ms " + what + " host " +
				std::to_string((n.address >> 16) & 255) + " " +
				n.domain + " " + std::to_string(number));
	}
	void start(sim_node &n)
	{
		struct host self = {};

		if (n.up)
			return;
		self.address = n.address;
		self.incarnation = now * 1000 + lives++;
		self.state = HOST_ALIVE;
		strcpy(self.failure_domain, n.domain.c_str());
		n.membership = membership_create(&membership_defaults, &self,
						 g_rand_int(random), now);
		n.distribution = distribution_create(&settings, n.membership);
		n.floor = {};
		if (fault == SIM_NO_FLOOR)
			floor_confirm_by_store(&n.floor, 0);
		n.up = true;
		n.watching = n.booted = false;
		n.boot_at = now + draw(0, 300);
		n.watch_at = n.record_at = n.probe_at = 0;
		n.watch_after = n.version = n.frozen_until = 0;
		note("start", n);
	}
	void kill(sim_node &n)
	{
		if (!n.up)
			return;
		distribution_destroy(n.distribution);
		membership_destroy(n.membership);
		n.up = false;
		n.inbox.clear();
		note("kill", n);
	}
	void freeze(sim_node &n, uint64_t ms)
	{
		if (!n.up)
			return;
		n.frozen_until = now + ms;
		note("freeze", n, ms);
	}

	bool reachable(const sim_node &a, const sim_node &b)
	{
		return a.domain == b.domain ||
		       (!cut.count(a.domain) && !cut.count(b.domain));
	}
	void deliver(const sim_node &from, uint64_t to,
		     const std::string &bytes)
	{
		sim_node *n = by_address[to];

		if (!n || !reachable(from, *n) || chance(loss))
			return;
		for (int copies = chance(duplicate) ? 2 : 1; copies; copies--)
			n->inbox.insert({ now + 1 + draw(0, delay_ms + 1),
					  { from.address, to, bytes } });
	}
	void flush(sim_node &n, struct outbox &outbox)
	{
		struct outgoing *out;

		while ((out = outbox_take(&outbox))) {
			std::string bytes(
				fescue__packet__get_packed_size(out->packet),
				0);

			fescue__packet__pack(out->packet, (uint8_t *)&bytes[0]);
			control_bytes += bytes.size() + 28;
			if (fault != SIM_NO_REPAIR ||
			    out->packet->body_case !=
				    FESCUE__PACKET__BODY_CONFIG_FETCH)
				deliver(n, out->to, bytes);
			outgoing_destroy(out);
		}
	}
	void act(sim_node &n)
	{
		struct distribution_action a;

		while (distribution_next_action(n.distribution, &a)) {
			switch (a.type) {
			case DISTRIBUTION_APPLY:
				apply(n, a);
				rules_destroy(a.u.apply.rules);
				break;
			case DISTRIBUTION_REJECT:
				rejected++;
				break;
			case DISTRIBUTION_WATCH:
				n.watching = true;
				break;
			case DISTRIBUTION_UNWATCH:
				n.watching = false;
				break;
			}
		}
	}
	void check(bool good, const sim_node &n, const char *what)
	{
		if (!good)
			violations.push_back(
				std::string(what) + ", host " +
				std::to_string(n.address) + ", version " +
				std::to_string(n.version) + ", at " +
				std::to_string(now) + " ms");
	}
	void apply(sim_node &n, const struct distribution_action &a)
	{
		std::string text(a.u.apply.text, a.u.apply.size);

		check(a.version > n.version, n, "applied an older version");
		check(store.accepted.count(a.version) &&
			      store.accepted[a.version] == text,
		      n, "applied a text that was never accepted");
		n.version = a.version;
		note("apply", n, a.version);
		membership_set_version(n.membership, a.version, a.u.apply.hash);
	}
	void check_served(sim_node &n)
	{
		if (!n.version || !floor_allows(&n.floor, n.version))
			return;
		check(n.version >= n.served, n, "serves an older version");
		if (n.served != n.version)
			note("serve", n, n.version);
		n.served = n.version;
	}

	void boot(sim_node &n, struct outbox &outbox)
	{
		if (n.booted || now < n.boot_at)
			return;
		if (!store.up) {
			n.boot_at = now + draw(250, 1000);
			return;
		}
		store.reads += 2;
		for (auto &r : store.records)
			if (r.second.second > now)
				membership_join(n.membership, r.second.first,
						&outbox);
		if (fault != SIM_NO_FLOOR)
			floor_confirm_by_store(&n.floor, store.revision);
		n.booted = true;
	}
	void confirm(sim_node &n, struct outbox &outbox)
	{
		struct membership *m = n.membership;

		membership_set_floor(m, n.floor.confirmed, n.floor.version);
		if (!n.floor.confirmed && now >= n.probe_at) {
			membership_ask_peers(m, 32, &outbox);
			n.probe_at = now + 1000;
		}
		if (floor_confirm_by_peers(&n.floor,
					   membership_is_synced(m) &&
						   membership_peers_vouch(m),
					   membership_highest_version(m), now))
			n.booted = true;
	}
	void publish(sim_node &n, struct outbox &outbox)
	{
		size_t rank = distribution_rank(n.distribution);

		if (!n.booted || !store.up || rank >= 2 || now < n.record_at)
			return;
		n.record_at = now + 3000;
		for (auto &r : store.records)
			if (r.second.second > now)
				membership_join(n.membership, r.second.first,
						&outbox);
		store.records[n.domain + "/" + std::to_string(rank)] = {
			n.address, now + SIM_RECORD_TTL_MS
		};
	}
	void watch(sim_node &n, struct outbox &outbox)
	{
		bool lost = !store.up || n.store_refuses;

		distribution_set_store_reachable(n.distribution, !lost);
		if (n.watching)
			membership_set_store(n.membership, lost);
		if (lost && now >= n.repair_at) {
			n.repair_at = now + 300;
			membership_probe_some(n.membership, 1, &outbox);
		}
		if (!n.watching || !n.booted || lost || now < n.watch_at ||
		    store.revision <= n.watch_after)
			return;
		n.watch_at = now + draw(0, 20);
		n.watch_after = store.revision;
		store.reads++;
		std::string text = store.text;
		if (fault == SIM_STALE_STORE && chance(0.2))
			text = "# another text\n";
		distribution_receive_store_value(
			n.distribution, store.revision,
			store.garbage ? nullptr : text.data(), text.size(),
			"no header", now, &outbox);
	}

	void receive(sim_node &n, const sim_packet &p, struct outbox &outbox)
	{
		Fescue__Packet *packet = fescue__packet__unpack(
			nullptr, p.bytes.size(), (const uint8_t *)&p.bytes[0]);
		const Fescue__Gossip *gossip = nullptr;

		ASSERT_NE(packet, nullptr);
		if (packet->body_case == FESCUE__PACKET__BODY_PING)
			gossip = packet->ping->gossip;
		else if (packet->body_case == FESCUE__PACKET__BODY_ACK)
			gossip = packet->ack->gossip;
		membership_receive(n.membership, p.from, packet, now, &outbox);
		if (gossip)
			distribution_receive_peer_version(
				n.distribution, p.from, gossip->version,
				gossip->hash, now, &outbox);
		distribution_receive(n.distribution, p.from, packet, now,
				     &outbox);
		fescue__packet__free_unpacked(packet, nullptr);
	}
	void step(sim_node &n)
	{
		struct outbox outbox;

		g_queue_init(&outbox.queue);
		while (!n.inbox.empty() && n.inbox.begin()->first <= now) {
			sim_packet p = n.inbox.begin()->second;

			n.inbox.erase(n.inbox.begin());
			receive(n, p, outbox);
			act(n);
			check_served(n);
		}
		if (membership_tick(n.membership, now, &outbox)) {
			floor_reset(&n.floor);
			n.booted = false;
			n.boot_at = now;
		}
		distribution_tick(n.distribution, now, &outbox);
		boot(n, outbox);
		confirm(n, outbox);
		publish(n, outbox);
		watch(n, outbox);
		act(n);
		check_served(n);
		flush(n, outbox);
	}
	void tick()
	{
		now += SIM_TICK_MS;
		for (auto &n : nodes)
			if (n->up && now >= n->frozen_until)
				step(*n);
	}
	void run(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end;)
			tick();
	}

	uint64_t accept()
	{
		store.revision += draw(1, 4);
		store.text = "service s # v" + std::to_string(store.revision) +
			     "\n# padding padding padding padding\n";
		store.garbage = false;
		store.accepted[store.revision] = store.text;
		trace.push_back(std::to_string(now) + " ms accept " +
				std::to_string(store.revision) +
				(store.up ? "" : " (store out)"));
		return store.revision;
	}
	void store_bad_bytes()
	{
		store.revision += draw(1, 4);
		store.garbage = chance(0.5);
		store.text = "nonsense\n";
	}
	uint64_t newest_good()
	{
		return store.accepted.empty() ? 0 :
						store.accepted.rbegin()->first;
	}
	void heal()
	{
		loss = duplicate = 0;
		delay_ms = 5;
		cut.clear();
		store.up = true;
		for (auto &n : nodes) {
			n->frozen_until = 0;
			start(*n);
		}
	}
	/* Every host serves the newest version and knows every host. */
	void check_converged()
	{
		for (auto &n : nodes) {
			check(n->version == newest_good(), *n,
			      "did not reach the newest version");
			check(floor_allows(&n->floor, n->version), *n,
			      "does not serve");
			check(membership_up_count(n->membership) ==
				      nodes.size(),
			      *n, "does not know every host");
			membership_assert_valid(n->membership);
		}
	}
	void expect_good()
	{
		EXPECT_TRUE(violations.empty())
			<< violations.size()
			<< " violations, first: " << violations[0] << "\n"
			<< print_trace();
	}
	std::string print_trace()
	{
		std::string all;

		for (auto &line : trace)
			all += line + "\n";
		return all;
	}
};

#endif
