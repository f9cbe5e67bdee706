#include "support.h"

extern "C" {
#include "fescue/admission.h"
#include "fescue/error.h"
}

#include <map>
#include <vector>

namespace
{

struct fixture {
	uint64_t queue_until = 0;
	struct admission *admission;
	enum admission_reason reason;

	explicit fixture(uint32_t slots,
			 enum admission_policy policy = ADMISSION_CLASSES)
	{
		admission = admission_create(policy);
		admission_set_slots(admission, slots);
	}
	~fixture()
	{
		admission_destroy(admission);
	}
	enum admission_decision offer(uint64_t ticket, enum call_class c,
				      uint64_t now = 0,
				      uint64_t deadline = 1000,
				      uint32_t queue_limit = 2)
	{
		struct admission_call call = {};

		call.ticket = ticket;
		call.call_class = c;
		call.deadline_ms = deadline;
		call.queue_until_ms = queue_until ? queue_until : deadline;
		call.queue_limit = queue_limit;
		call.reserve_percent = 50;
		return admission_offer(admission, &call, now, &reason);
	}
};

TEST(admission, background_calls_leave_the_reserve_free)
{
	fixture f(4);

	EXPECT_EQ(f.offer(1, CALL_CLASS_BACKGROUND), ADMISSION_ADMITTED);
	EXPECT_EQ(f.offer(2, CALL_CLASS_BACKGROUND), ADMISSION_ADMITTED);
	EXPECT_EQ(f.offer(3, CALL_CLASS_BACKGROUND), ADMISSION_QUEUED);
	EXPECT_EQ(f.offer(4, CALL_CLASS_URGENT), ADMISSION_ADMITTED);
	EXPECT_EQ(f.offer(5, CALL_CLASS_URGENT), ADMISSION_ADMITTED);
	EXPECT_EQ(f.offer(6, CALL_CLASS_URGENT), ADMISSION_QUEUED);
	EXPECT_EQ(admission_in_use(f.admission), 4u);
}

TEST(admission, urgent_calls_start_first)
{
	fixture f(1);
	uint64_t ticket;

	f.offer(1, CALL_CLASS_URGENT);
	f.offer(2, CALL_CLASS_BACKGROUND);
	f.offer(3, CALL_CLASS_URGENT);
	admission_finish(f.admission, 0, 0, 1000);
	EXPECT_EQ(admission_dequeue(f.admission, 0, &ticket),
		  ADMISSION_ADMITTED);
	EXPECT_EQ(ticket, 3u);
	EXPECT_EQ(admission_dequeue(f.admission, 0, &ticket), ADMISSION_QUEUED);
	admission_finish(f.admission, 0, 0, 1000);
	EXPECT_EQ(admission_dequeue(f.admission, 0, &ticket),
		  ADMISSION_ADMITTED);
	EXPECT_EQ(ticket, 2u);
}

TEST(admission, queue_is_bounded)
{
	fixture f(1);

	f.offer(1, CALL_CLASS_URGENT);
	f.offer(2, CALL_CLASS_URGENT);
	f.offer(3, CALL_CLASS_URGENT);
	EXPECT_EQ(f.offer(4, CALL_CLASS_URGENT), ADMISSION_REFUSED);
	EXPECT_EQ(f.reason, ADMISSION_QUEUE_FULL);
}

TEST(admission, unreachable_deadline_is_refused_on_arrival)
{
	fixture f(1);

	f.offer(1, CALL_CLASS_URGENT);
	admission_finish(f.admission, 0, 0, 100000);
	f.offer(2, CALL_CLASS_URGENT);
	EXPECT_EQ(f.offer(3, CALL_CLASS_URGENT, 0, 150), ADMISSION_REFUSED);
	EXPECT_EQ(f.reason, ADMISSION_DEADLINE);
	EXPECT_EQ(f.offer(4, CALL_CLASS_URGENT, 0, 500), ADMISSION_QUEUED);
	EXPECT_EQ(f.offer(5, CALL_CLASS_URGENT, 10, 10), ADMISSION_REFUSED);
}

TEST(admission, expired_queued_call_is_refused)
{
	fixture f(1);
	uint64_t ticket;

	f.offer(1, CALL_CLASS_URGENT);
	f.offer(2, CALL_CLASS_URGENT, 0, 50);
	EXPECT_EQ(admission_dequeue(f.admission, 60, &ticket),
		  ADMISSION_REFUSED);
	EXPECT_EQ(ticket, 2u);
	EXPECT_EQ(admission_dequeue(f.admission, 60, &ticket),
		  ADMISSION_QUEUED);
}

/* The queue timeout leaves the caller time for another attempt. */
TEST(admission, queue_timeout_refuses_call_before_its_deadline)
{
	fixture f(1);
	uint64_t ticket;

	f.offer(1, CALL_CLASS_URGENT);
	f.queue_until = 500;
	EXPECT_EQ(f.offer(2, CALL_CLASS_URGENT, 0, 1000), ADMISSION_QUEUED);
	EXPECT_EQ(admission_dequeue(f.admission, 499, &ticket),
		  ADMISSION_QUEUED);
	EXPECT_EQ(admission_dequeue(f.admission, 500, &ticket),
		  ADMISSION_REFUSED);
	EXPECT_EQ(ticket, 2u);
	admission_finish(f.admission, 0, 0, 600000);
	f.offer(3, CALL_CLASS_URGENT);
	EXPECT_EQ(f.offer(4, CALL_CLASS_URGENT, 0, 2000), ADMISSION_REFUSED)
		<< "the expected wait is 600 ms";
}

TEST(admission, draining_and_missing_backend_refuse_calls)
{
	fixture f(1);

	admission_set_draining(f.admission, 1);
	EXPECT_EQ(f.offer(1, CALL_CLASS_URGENT), ADMISSION_REFUSED);
	EXPECT_EQ(f.reason, ADMISSION_DRAINING);
	admission_set_draining(f.admission, 0);
	admission_set_slots(f.admission, 0);
	EXPECT_EQ(f.offer(1, CALL_CLASS_URGENT), ADMISSION_REFUSED);
	EXPECT_EQ(f.reason, ADMISSION_NO_BACKEND);
}

TEST(admission, queued_background_calls_are_not_starved)
{
	fixture f(1);
	uint64_t ticket = 0;
	int background = 0;

	f.offer(1, CALL_CLASS_URGENT);
	for (uint64_t i = 0; i < 200; i++) {
		f.offer(1000 + i, CALL_CLASS_BACKGROUND, 0, 1000, 1);
		f.offer(2000 + i, CALL_CLASS_URGENT, 0, 1000, 2);
		admission_finish(f.admission, 0, 0, 1);
		ASSERT_EQ(admission_dequeue(f.admission, 0, &ticket),
			  ADMISSION_ADMITTED);
		background += ticket < 2000;
	}
	EXPECT_GE(background, 15);
	EXPECT_LE(background, 25);
}

TEST(admission, cancel_removes_queued_call)
{
	fixture f(1);
	uint64_t ticket;

	f.offer(1, CALL_CLASS_URGENT);
	f.offer(2, CALL_CLASS_URGENT);
	EXPECT_EQ(admission_cancel(f.admission, 2), FESCUE_OK);
	EXPECT_EQ(admission_cancel(f.admission, 2), FESCUE_ENOTFOUND);
	admission_finish(f.admission, 0, 0, 1);
	EXPECT_EQ(admission_dequeue(f.admission, 0, &ticket), ADMISSION_QUEUED);
}

/* Random events: slots are never overcommitted and no queued call is lost. */
TEST(admission, random_events_keep_slot_and_queue_limits)
{
	GRand *random = g_rand_new_with_seed(21);
	fixture f(5);
	std::map<uint64_t, bool> queued;
	uint64_t now = 0, ticket = 0, next;
	uint32_t running = 0;

	for (int i = 0; i < 100000; i++) {
		enum call_class c = g_rand_boolean(random) ?
					    CALL_CLASS_URGENT :
					    CALL_CLASS_BACKGROUND;
		enum admission_decision decision;

		now += g_rand_int_range(random, 0, 3);
		switch (g_rand_int_range(random, 0, 3)) {
		case 0:
			decision = f.offer(
				++ticket, c, now,
				now + g_rand_int_range(random, 1, 200), 8);
			running += decision == ADMISSION_ADMITTED;
			if (decision == ADMISSION_QUEUED)
				queued[ticket] = true;
			break;
		case 1:
			if (running) {
				admission_finish(f.admission, 0, 0, 10000);
				running--;
			}
			break;
		default:
			if (!queued.empty() && g_rand_boolean(random)) {
				next = queued.begin()->first;
				EXPECT_EQ(admission_cancel(f.admission, next),
					  FESCUE_OK);
				queued.erase(next);
			}
		}
		while ((decision = admission_dequeue(
				f.admission, now, &next)) != ADMISSION_QUEUED) {
			EXPECT_EQ(queued.erase(next), 1u);
			running += decision == ADMISSION_ADMITTED;
		}
		ASSERT_LE(running, 5u);
		ASSERT_EQ(admission_in_use(f.admission), running);
		ASSERT_EQ(admission_queued(f.admission), queued.size());
		ASSERT_LE(queued.size(), 16u);
	}
	g_rand_free(random);
}

/* Service times of the kinds of calls in the random histories. */
const uint64_t kind_service_ms[] = { 10, 50 };

/* A queued call in the reference model. */
struct queued_call {
	struct admission_call call;
	uint64_t service_ms() const
	{
		return kind_service_ms[call.kind];
	}
	bool misses_target(uint64_t now) const
	{
		/* Less than 1.5 times its service time is left. */
		return now + service_ms() * 3 / 2 > call.due_ms;
	}
	uint64_t cost(uint64_t now) const
	{
		return service_ms() * (misses_target(now) ? 2 : 1);
	}
	/*
	 * The order of service: lower rank, greater depth, less than half the
	 * cost, can meet its target latency, earliest due; of calls that miss
	 * it, latest due.
	 */
	bool precedes(const queued_call &y, uint64_t now) const
	{
		if (call.rank != y.call.rank)
			return call.rank < y.call.rank;
		if (call.depth != y.call.depth)
			return call.depth > y.call.depth;
		if (cost(now) * 2 < y.cost(now))
			return true;
		if (y.cost(now) * 2 < cost(now))
			return false;
		if (misses_target(now) != y.misses_target(now))
			return y.misses_target(now);
		return misses_target(now) ? call.due_ms > y.call.due_ms :
					    call.due_ms < y.call.due_ms;
	}
};

/* Runs one call of each kind, so that admission has mean service times. */
void train_kind_means(fixture &f)
{
	struct admission_call call = {};

	call.deadline_ms = 1000;
	for (uint32_t kind = 0; kind < 2; kind++) {
		call.kind = kind;
		ASSERT_EQ(admission_offer(f.admission, &call, 0, &f.reason),
			  ADMISSION_ADMITTED);
		admission_finish(f.admission, kind, 0,
				 kind_service_ms[kind] * 1000);
	}
}

/*
 * Random histories against a model: slots are neither overcommitted nor idle
 * while a queued call can start, no call starts while another one precedes it,
 * and no call stays queued past its queue timeout.
 */
void run_history(guint32 seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	uint32_t slots = (uint32_t)g_rand_int_range(random, 1, 9);
	int nested = g_rand_boolean(random);
	fixture f(slots);
	std::map<uint64_t, queued_call> queue;
	std::vector<struct admission_call> running;
	uint64_t now = 0, ticket = 0, next;
	enum admission_decision decision;

	train_kind_means(f);
	for (int i = 0; i < 400; i++) {
		now += (uint64_t)g_rand_int_range(random, 0, 8);
		if (g_rand_int_range(random, 0, 2)) {
			queued_call w = {};

			w.call.ticket = ++ticket;
			w.call.rank = (uint32_t)g_rand_int_range(random, 0, 4);
			w.call.depth = nested ? (uint32_t)g_rand_int_range(
							random, 0, 3) :
						0;
			w.call.kind = (uint32_t)g_rand_int_range(random, 0, 2);
			w.call.due_ms = now + (uint64_t)g_rand_int_range(
						      random, 1, 160);
			w.call.deadline_ms = now + 200;
			w.call.queue_until_ms = now + 100;
			w.call.queue_limit = 50;
			decision = admission_offer(f.admission, &w.call, now,
						   &f.reason);
			if (decision == ADMISSION_ADMITTED)
				running.push_back(w.call);
			else if (decision == ADMISSION_QUEUED)
				queue[ticket] = w;
		} else if (!running.empty()) {
			const struct admission_call &last = running.back();

			admission_finish(f.admission, last.kind, last.depth,
					 kind_service_ms[last.kind] * 1000);
			running.pop_back();
		}
		while ((decision = admission_dequeue(
				f.admission, now, &next)) != ADMISSION_QUEUED) {
			ASSERT_EQ(queue.count(next), 1u);
			queued_call w = queue[next];

			queue.erase(next);
			if (decision == ADMISSION_REFUSED) {
				ASSERT_TRUE(now >= w.call.queue_until_ms ||
					    now + w.service_ms() * 3 / 2 >=
						    w.call.deadline_ms);
				continue;
			}
			running.push_back(w.call);
			/* A deeper call may take a slot of its reserve. */
			for (auto &q : queue)
				ASSERT_FALSE(q.second.precedes(w, now) &&
					     (!nested || q.second.call.depth >=
								 w.call.depth))
					<< "seed " << seed << " at " << now;
		}
		ASSERT_LE(running.size(), slots);
		ASSERT_EQ(admission_in_use(f.admission), running.size());
		ASSERT_EQ(admission_queued(f.admission), queue.size());
		for (auto &q : queue)
			ASSERT_LT(now, q.second.call.queue_until_ms);
		if (!nested && !queue.empty()) {
			ASSERT_EQ(running.size(), slots) << "seed " << seed;
		}
	}
	g_rand_free(random);
}

TEST(admission, random_histories_follow_the_order_of_service)
{
	for (int seed = 0; seed < history_count(2000); seed++) {
		run_history((guint32)seed);
		ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
	}
}

/*
 * Long calls arrive at 1.2 times the capacity of the slots, with short calls of
 * the same rank that calls of another service wait for.
 */
TEST(admission, short_calls_are_served_during_overload_by_long_calls)
{
	const uint64_t long_ms = 80, short_ms = 15, short_deadline_ms = 200;
	GRand *random = g_rand_new_with_seed(7);
	std::multimap<uint64_t, uint32_t> ends; /* end time -> kind */
	std::map<uint64_t, uint32_t> kinds; /* of queued calls */
	uint64_t ticket = 0, next;
	unsigned short_calls = 0, short_runs = 0;
	enum admission_decision decision;
	fixture f(9);

	for (uint64_t now = 0; now < 20000; now++) {
		double draw = g_rand_double(random);
		uint32_t kind = draw < 0.05; /* 50 short calls a second */
		struct admission_call call = {};

		while (!ends.empty() && ends.begin()->first <= now) {
			uint32_t k = ends.begin()->second;

			admission_finish(f.admission, k, 0,
					 (k ? short_ms : long_ms) * 1000);
			ends.erase(ends.begin());
		}
		call.ticket = ++ticket;
		call.kind = kind;
		call.rank = 1;
		call.due_ms = now + (kind ? 60 : 250);
		call.deadline_ms = now + (kind ? short_deadline_ms : 1000);
		call.queue_until_ms =
			now + (kind ? short_deadline_ms : 1000) / 2;
		call.queue_limit = 1000;
		if (draw < 0.05 + 9.0 / long_ms * 1.2) {
			short_calls += kind;
			decision = admission_offer(f.admission, &call, now,
						   &f.reason);
			if (decision == ADMISSION_ADMITTED)
				ends.insert({ now + (kind ? short_ms : long_ms),
					      kind });
			else if (decision == ADMISSION_QUEUED)
				kinds[ticket] = kind;
			short_runs += kind && decision == ADMISSION_ADMITTED;
		}
		while ((decision = admission_dequeue(
				f.admission, now, &next)) != ADMISSION_QUEUED) {
			kind = kinds[next];
			if (decision == ADMISSION_REFUSED)
				continue;
			short_runs += kind;
			ends.insert(
				{ now + (kind ? short_ms : long_ms), kind });
		}
	}
	EXPECT_GT(short_runs, short_calls * 0.99);
	g_rand_free(random);
}

/*
 * Chains of nested calls to one service. Each call holds its slot until its
 * nested call has ended. Without a reserve for greater depths, callers can hold
 * all slots while their nested calls wait for one.
 */
struct nested_chains {
	fixture f;
	uint64_t now = 0, done = 0, refused = 0, next_ticket = 0;
	static constexpr uint32_t depth_max = 5;
	static constexpr uint64_t work_ms = 2;
	struct nested_call {
		uint32_t depth;
		uint64_t entered_ms, parent, busy_until;
		bool running, has_child;
	};
	std::map<uint64_t, nested_call> calls;

	explicit nested_chains(uint32_t slots) : f(slots)
	{
	}

	void fail(uint64_t ticket)
	{
		while (ticket) {
			nested_call n = calls.at(ticket);

			if (n.running)
				finish(n);
			else
				admission_cancel(f.admission, ticket);
			calls.erase(ticket);
			ticket = n.parent;
		}
		refused++;
	}
	void finish(const nested_call &n)
	{
		admission_finish(f.admission, 7 + n.depth, n.depth,
				 (now - n.entered_ms + 1) * 1000);
	}
	void call(uint32_t depth, uint64_t entered, uint64_t parent)
	{
		struct admission_call call = {};
		enum admission_decision decision;

		call.ticket = ++next_ticket;
		call.call_class = CALL_CLASS_URGENT;
		call.depth = depth;
		call.kind = 7 + depth;
		call.deadline_ms = entered + 1000;
		call.queue_until_ms = now + 500;
		call.queue_limit = 1000;
		decision = admission_offer(f.admission, &call, now, &f.reason);
		calls[call.ticket] = { depth,
				       entered,
				       parent,
				       now + work_ms,
				       decision == ADMISSION_ADMITTED,
				       false };
		if (decision == ADMISSION_REFUSED) {
			calls.erase(call.ticket);
			if (parent)
				fail(parent);
			else
				refused++;
		}
	}
	/* Advances 1 ms: running calls make their nested call, or end. */
	void step()
	{
		enum admission_decision decision;
		std::vector<uint64_t> tickets;
		uint64_t ticket;

		now++;
		while ((decision =
				admission_dequeue(f.admission, now, &ticket)) !=
		       ADMISSION_QUEUED) {
			if (decision == ADMISSION_REFUSED) {
				fail(ticket);
				continue;
			}
			calls.at(ticket).running = true;
			calls.at(ticket).busy_until = now + work_ms;
		}
		for (auto &entry : calls)
			tickets.push_back(entry.first);
		for (uint64_t t : tickets)
			advance(t);
	}
	void advance(uint64_t ticket)
	{
		if (!calls.count(ticket))
			return;
		nested_call n = calls.at(ticket);

		if (!n.running || now < n.busy_until || n.has_child)
			return;
		if (n.depth < depth_max) {
			calls.at(ticket).has_child = true;
			call(n.depth + 1, n.entered_ms, ticket);
			return;
		}
		for (done++; ticket; ticket = n.parent) {
			n = calls.at(ticket);
			finish(n);
			calls.erase(ticket);
		}
	}
};

TEST(admission, nested_calls_of_one_service_do_not_deadlock)
{
	nested_chains c(12);

	/* Capacity: 12 slots / 42 ms of slots a chain, about 285 a second. */
	for (int i = 0; i < 20000; i++) {
		if (i % 5 == 0)
			c.call(0, c.now, 0);
		c.step();
	}
	EXPECT_GE(c.done, 3900u) << c.refused << " refused";
}

/*
 * More chains start at once than there are slots. An earlier chain has made the
 * depths known.
 */
TEST(admission, nested_chains_that_start_together_all_end)
{
	nested_chains c(12);

	c.call(0, c.now, 0);
	for (int i = 0; i < 50; i++)
		c.step();
	for (int i = 0; i < 24; i++)
		c.call(0, c.now, 0);
	for (int i = 0; i < 1000; i++)
		c.step();
	EXPECT_EQ(c.done, 25u) << c.refused << " refused";
	EXPECT_EQ(admission_in_use(c.f.admission), 0u);
}

TEST(admission, no_slot_is_reserved_without_nested_calls)
{
	fixture f(2);

	EXPECT_EQ(f.offer(1, CALL_CLASS_URGENT), ADMISSION_ADMITTED);
	EXPECT_EQ(f.offer(2, CALL_CLASS_URGENT), ADMISSION_ADMITTED);
}

} // namespace
