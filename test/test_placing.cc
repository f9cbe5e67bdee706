/*
 * Entry nodes and gates together: the router places calls of an uneven load,
 * admission queues and refuses them. What callers get is checked, on a
 * simulated clock and without a network.
 */
#include "support.h"

extern "C" {
#include "fescue/admission.h"
#include "fescue/router.h"
}

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace
{

const char text[] = "service a # A\nroute GET */ a # A\n";

struct domain_load {
	const char *name;
	unsigned hosts;
	double calls_per_s;
};

struct load_shape {
	explicit load_shape(std::vector<domain_load> loads) : domains(loads)
	{
	}
	std::vector<domain_load> domains;
	uint32_t slots = 9;
	double work_ms = 65; /* mean time in a slot */
	std::vector<double> paces = { 1 }; /* of the hosts in turn */
	uint32_t latency_ms = 200;
	uint32_t deadline_ms = 800;
	double kilobytes = 5.5;
	uint32_t run_ms = 20000;
};

struct call_state {
	size_t entry;
	uint64_t came_ms;
	std::vector<uint64_t> tried;
	double work_ms;
};

struct tally {
	unsigned calls = 0, in_time = 0, late = 0, refused = 0, crossed = 0;

	double share(unsigned n) const
	{
		return calls ? (double)n / calls : 0;
	}
};

/* Hosts of one service; each is an entry node and a gate as well. */
class fleet
{
      public:
	fleet(const load_shape &shape, uint32_t seed) : s(shape), random(seed)
	{
		struct diagnostic bad;
		struct route_handle route;
		const struct route_rule *rule;
		size_t count;

		for (const domain_load &d : s.domains)
			for (unsigned i = 0; i < d.hosts; i++)
				hosts.push_back({ hosts.size() + 1, "a", d.name,
						  s.slots });
		snapshot_create(1, text, strlen(text), hosts.data(),
				hosts.size(), &snapshot, &bad, 1, &count);
		snapshot_find_route(snapshot, "GET", 3, "", 0, "/", 1, &route,
				    &rule);
		snapshot_route_service(snapshot, route, 0, &service);
		for (size_t i = 0; i < hosts.size(); i++) {
			struct router_settings settings = router_defaults;

			settings.cross_domain_ms_per_kb = 150;
			routers.push_back(
				router_create(&settings, seed + (uint32_t)i));
			gates.push_back(admission_create(ADMISSION_CLASSES));
			admission_set_slots(gates.back(), s.slots);
		}
		for (const domain_load &d : s.domains)
			next_call(d);
	}
	~fleet()
	{
		for (struct router *r : routers)
			router_destroy(r);
		for (struct admission *a : gates)
			admission_destroy(a);
		snapshot_unref(snapshot);
	}
	/* Warm up for a second, then count the calls of the run. */
	tally run()
	{
		while (!events.empty() && events.top().at_ms <= end_ms()) {
			event e = events.top();

			events.pop();
			now = e.at_ms;
			e.what();
		}
		return counts;
	}

      private:
	struct event {
		uint64_t at_ms;
		uint64_t order;
		std::function<void()> what;
		bool operator<(const event &other) const
		{
			return at_ms != other.at_ms ? at_ms > other.at_ms :
						      order > other.order;
		}
	};
	typedef std::shared_ptr<call_state> call;

	uint64_t end_ms() const
	{
		return begin_ms + s.run_ms + 2 * s.deadline_ms;
	}
	void after(uint64_t ms, std::function<void()> what)
	{
		events.push({ now + ms, ++orders, what });
	}
	void next_call(const domain_load &d)
	{
		std::exponential_distribution<double> gap(d.calls_per_s / 1000);

		due[d.name] = MAX(due[d.name], (double)begin_ms) + gap(random);
		if (due[d.name] > begin_ms + s.run_ms)
			return;
		events.push({ (uint64_t)due[d.name], ++orders, [this, &d] {
				     enter(d);
				     next_call(d);
			     } });
	}
	void enter(const domain_load &d)
	{
		std::lognormal_distribution<double> spread(-0.045, 0.3);
		call c = std::make_shared<call_state>();
		size_t first = 0, i = 0;

		while (strcmp(hosts[first].failure_domain, d.name))
			first++;
		i = std::uniform_int_distribution<size_t>(0,
							  d.hosts - 1)(random);
		c->entry = first + i;
		c->came_ms = now;
		c->work_ms = s.work_ms * spread(random);
		counts.calls++;
		attempt(c);
	}
	uint32_t left_ms(const call &c, uint32_t of) const
	{
		uint64_t age = now - c->came_ms;

		return age < of ? (uint32_t)(of - age) : 0;
	}
	bool crosses(const call &c, uint64_t host) const
	{
		return strcmp(hosts[c->entry].failure_domain,
			      hosts[host - 1].failure_domain);
	}
	void attempt(const call &c)
	{
		struct router_request q = {};
		uint64_t host;

		q.snapshot = snapshot;
		q.service = service;
		q.own_domain = hosts[c->entry].failure_domain;
		q.excluded = c->tried.data();
		q.excluded_count = c->tried.size();
		q.rank = 2;
		q.service_ms = s.work_ms;
		q.kilobytes = s.kilobytes;
		q.remaining_ms = left_ms(c, s.deadline_ms);
		q.latency_ms = left_ms(c, s.latency_ms);
		q.now_ms = now;
		if (c->tried.size() > MOVES_MAX ||
		    router_choose(routers[c->entry], &q, &host)) {
			counts.refused++;
			return;
		}
		uint32_t wait_ms =
			router_wait_max(routers[c->entry], &q, host,
					left_ms(c, s.deadline_ms / 2));

		c->tried.push_back(host);
		router_started(routers[c->entry], host, now);
		after(crosses(c, host), [=] { arrive(c, host, wait_ms); });
	}
	void arrive(const call &c, uint64_t host, uint32_t wait_ms)
	{
		struct admission_call a = {};
		enum admission_reason reason;
		uint32_t latency = left_ms(c, s.latency_ms);

		a.ticket = ++tickets;
		a.rank = 2;
		a.kind = 1;
		a.due_ms = now + latency;
		a.deadline_ms = now + left_ms(c, s.deadline_ms);
		a.queue_until_ms = now + wait_ms;
		a.queue = 1000;
		waiting[a.ticket] = c;
		switch (admission_offer(gates[host - 1], &a, now, &reason)) {
		case ADMISSION_RUN:
			start(a.ticket, host);
			break;
		case ADMISSION_QUEUED:
			after(wait_ms, [=] { review(host); });
			break;
		case ADMISSION_REFUSED:
			refuse(a.ticket, host);
			break;
		}
	}
	struct router_load load_of(uint64_t host) const
	{
		struct admission *a = gates[host - 1];
		struct router_load load = {};

		load.in_use = admission_in_use(a);
		load.queued = admission_queued(a);
		load.slots = admission_slots(a);
		load.service_time_ratio = service_time_ratio(host);
		load.has_waits = 1;
		admission_rank_waits(a, load.waits_ms);
		return load;
	}
	void refuse(uint64_t ticket, uint64_t host)
	{
		call c = waiting[ticket];
		struct router_load load = load_of(host);

		waiting.erase(ticket);
		after(crosses(c, host), [=] {
			router_finished(routers[c->entry], host, ROUTER_REFUSED,
					0, &load, now);
			attempt(c);
		});
	}
	double service_time_ratio(uint64_t host) const
	{
		return s.paces[host % s.paces.size()];
	}
	void start(uint64_t ticket, uint64_t host)
	{
		call c = waiting[ticket];
		double ms = c->work_ms * service_time_ratio(host);

		waiting.erase(ticket);
		after((uint64_t)ms, [=] {
			struct router_load load;

			admission_finish(gates[host - 1], 1, 0,
					 (uint64_t)(ms * 1000));
			load = load_of(host);
			review(host);
			after(crosses(c, host),
			      [=] { answered(c, host, load); });
		});
	}
	void review(uint64_t host)
	{
		enum admission_verdict verdict;
		uint64_t ticket;

		while ((verdict = admission_next(gates[host - 1], now,
						 &ticket)) !=
		       ADMISSION_QUEUED) {
			if (verdict == ADMISSION_RUN)
				start(ticket, host);
			else
				refuse(ticket, host);
		}
	}
	void answered(const call &c, uint64_t host,
		      const struct router_load &load)
	{
		uint64_t age = now - c->came_ms;

		router_finished(routers[c->entry], host, ROUTER_ANSWERED,
				age * 1000, &load, now);
		counts.in_time += age <= s.latency_ms;
		counts.late += age > s.latency_ms && age <= s.deadline_ms;
		counts.crossed += crosses(c, host);
	}

	static constexpr size_t MOVES_MAX = 4;
	static constexpr uint64_t begin_ms = 100000;
	load_shape s;
	std::mt19937 random;
	std::vector<snapshot_host> hosts;
	struct snapshot *snapshot;
	struct service_handle service;
	std::vector<struct router *> routers;
	std::vector<struct admission *> gates;
	std::priority_queue<event> events;
	std::map<std::string, double> due;
	std::map<uint64_t, call> waiting;
	uint64_t now = begin_ms, orders = 0, tickets = 0;
	tally counts;
};

tally play(const load_shape &shape)
{
	tally sum;

	for (uint32_t seed = 1; seed <= 5; seed++) {
		tally t = fleet(shape, seed).run();

		sum.calls += t.calls;
		sum.in_time += t.in_time;
		sum.late += t.late;
		sum.refused += t.refused;
		sum.crossed += t.crossed;
	}
	printf("%u calls: in time %.3f, late %.3f, refused %.3f, crossed %.3f\n",
	       sum.calls, sum.share(sum.in_time), sum.share(sum.late),
	       sum.share(sum.refused), sum.share(sum.crossed));
	return sum;
}

/*
 * Two thirds of the fleet's slots are enough for all calls, but one domain
 * has fewer than its callers need: theirs go where there is room.
 */
TEST(placing, calls_of_a_crowded_domain_go_where_there_is_room)
{
	load_shape shape({ { "x", 2, 105 }, { "y", 1, 150 }, { "z", 1, 110 } });
	tally t = play(shape);

	EXPECT_LT(t.share(t.refused), 0.005);
	EXPECT_GT(t.share(t.in_time), 0.95);
}

/* Calls stay in their domain while it has room. */
TEST(placing, calls_stay_in_a_domain_with_room)
{
	load_shape shape({ { "x", 2, 140 }, { "y", 2, 140 }, { "z", 2, 140 } });
	tally t = play(shape);

	EXPECT_GT(t.share(t.in_time), 0.95);
	EXPECT_LT(t.share(t.crossed), 0.05);
}

/* A third more comes than all slots can do: what they can is in time. */
TEST(placing, overloaded_slots_answer_in_time)
{
	load_shape shape({ { "x", 2, 360 }, { "y", 2, 360 }, { "z", 2, 360 } });
	tally t = play(shape);
	double possible = 6 * 9 / (1080 * 65 / 1000.0);

	EXPECT_GT(t.share(t.in_time), 0.9 * possible);
}

/*
 * A tenth more than the slots of hosts of unequal speed can do, of calls that
 * are due in little more than the slowest host takes.
 */
TEST(placing, overloaded_slow_hosts_answer_in_time)
{
	load_shape shape({ { "x", 9, 500 }, { "y", 9, 500 }, { "z", 9, 500 } });

	shape.slots = 6;
	shape.work_ms = 140;
	shape.paces = { 0.71, 1, 1.67 };
	shape.latency_ms = 300;
	shape.deadline_ms = 1200;
	tally t = play(shape);
	double rate = 9 * 6 / 140.0 * (1 / 0.71 + 1 + 1 / 1.67) * 1000;

	EXPECT_GT(t.share(t.in_time), 0.9 * MIN(rate / 1500, 1));
}

} // namespace
