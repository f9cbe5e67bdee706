#include "admission_support.h"
#include "support.h"

extern "C" {
#include "fescue/admission.h"
#include "fescue/error.h"
}

#include <cmath>
#include <map>
#include <vector>

namespace
{

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
/*
 * The time of a kind is measured once one of its calls ends, so the time of
 * other calls must not keep the first one from being started.
 */
TEST(admission, first_call_of_a_kind_is_not_judged_by_other_kinds)
{
	fixture f(1);
	struct admission_call call = {};
	uint64_t ticket;

	f.offer(1, CALL_CLASS_URGENT);
	admission_finish(f.admission, 0, 0, 150000);
	f.offer(2, CALL_CLASS_URGENT);
	call.ticket = 3;
	call.kind = 7;
	call.deadline_ms = call.queue_until_ms = 200;
	call.queue_limit = 2;
	EXPECT_EQ(admission_offer(f.admission, &call, 0, &f.reason),
		  ADMISSION_QUEUED);
	admission_finish(f.admission, 0, 0, 150000);
	EXPECT_EQ(admission_dequeue(f.admission, 120, &ticket),
		  ADMISSION_ADMITTED);
	EXPECT_EQ(ticket, 3u);
}

/*
 * A long call leaves the last slot to much shorter calls that come often; it
 * gets the slot when they stop coming.
 */
TEST(admission, long_calls_leave_a_slot_to_frequent_short_ones)
{
	fixture f(6);
	struct admission_call call = {};
	uint64_t ticket;

	call.deadline_ms = call.queue_until_ms = 60000;
	call.queue_limit = 10;
	for (uint64_t now = 0; now <= 2000; now += 20) {
		admission_offer(f.admission, &call, now, &f.reason);
		admission_finish(f.admission, 0, 0, 20000);
	}
	call.kind = 1;
	admission_offer(f.admission, &call, 2000, &f.reason);
	admission_finish(f.admission, 1, 0, 100000);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(admission_offer(f.admission, &call, 2000, &f.reason),
			  ADMISSION_ADMITTED);
	EXPECT_EQ(admission_offer(f.admission, &call, 2000, &f.reason),
		  ADMISSION_QUEUED);
	call.kind = 0;
	EXPECT_EQ(admission_offer(f.admission, &call, 2000, &f.reason),
		  ADMISSION_ADMITTED);
	admission_finish(f.admission, 0, 0, 20000);
	EXPECT_EQ(admission_dequeue(f.admission, 2100, &ticket),
		  ADMISSION_QUEUED);
	EXPECT_EQ(admission_dequeue(f.admission, 6000, &ticket),
		  ADMISSION_ADMITTED);
}

/* Calls that are late already do not delay one that can be on time. */
TEST(admission, reported_waits_tell_timely_calls_from_late_ones)
{
	fixture f(1);
	struct admission_call call = {};
	struct rank_waits waits;

	call.deadline_ms = call.queue_until_ms = 5000;
	call.queue_limit = 10;
	call.due_ms = 50;
	admission_offer(f.admission, &call, 0, &f.reason);
	admission_finish(f.admission, 0, 0, 100000);
	for (call.ticket = 1; call.ticket <= 4; call.ticket++)
		admission_offer(f.admission, &call, 0, &f.reason);
	call.due_ms = 1000;
	admission_offer(f.admission, &call, 0, &f.reason);
	admission_rank_waits(f.admission, 0, &waits);
	EXPECT_EQ(waits.any_ms[0], 500u);
	EXPECT_EQ(waits.timely_ms[0], 200u);
}

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

/*
 * The work of calls of kind 0 in the reference model. While it keeps a quarter
 * of a slot busy, calls of kind 1 leave one slot free for it.
 */
struct short_work {
	double granted_ms = 0; /* decaying */
	uint64_t updated_ms = 0;
	uint32_t rank = UINT32_MAX; /* of the last call granted */

	void grant(const struct admission_call &call, uint64_t now)
	{
		if (call.kind)
			return;
		granted_ms = decayed_ms(now) + (double)kind_service_ms[0];
		updated_ms = now;
		rank = call.rank;
	}
	double decayed_ms(uint64_t now) const
	{
		return granted_ms * exp2(-(double)(now - updated_ms) / 1000);
	}
	bool allows(const struct admission_call &call, size_t running,
		    uint32_t slots, uint64_t now) const
	{
		return !call.kind || slots < 6 || running + 1 < slots ||
		       rank > call.rank ||
		       decayed_ms(now) / (1000 / M_LN2) < 0.25;
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
	struct short_work shorter;
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
			if (decision == ADMISSION_ADMITTED) {
				ASSERT_TRUE(shorter.allows(
					w.call, running.size(), slots, now));
				shorter.grant(w.call, now);
				running.push_back(w.call);
			} else if (decision == ADMISSION_QUEUED) {
				queue[ticket] = w;
			}
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
			ASSERT_TRUE(shorter.allows(w.call, running.size(),
						   slots, now));
			/* A deeper call may take a slot of its reserve. */
			for (auto &q : queue)
				ASSERT_FALSE(q.second.precedes(w, now) &&
					     shorter.allows(q.second.call,
							    running.size(),
							    slots, now) &&
					     (!nested || q.second.call.depth >=
								 w.call.depth))
					<< "seed " << seed << " at " << now;
			shorter.grant(w.call, now);
			running.push_back(w.call);
		}
		ASSERT_LE(running.size(), slots);
		ASSERT_EQ(admission_in_use(f.admission), running.size());
		ASSERT_EQ(admission_queued(f.admission), queue.size());
		for (auto &q : queue)
			ASSERT_LT(now, q.second.call.queue_until_ms);
		for (auto &q : queue)
			ASSERT_TRUE(nested || running.size() == slots ||
				    !shorter.allows(q.second.call,
						    running.size(), slots, now))
				<< "seed " << seed;
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
