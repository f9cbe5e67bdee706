/* Admission under test, and a simulation of chains of nested calls. */
#ifndef FESCUE_ADMISSION_SUPPORT_H
#define FESCUE_ADMISSION_SUPPORT_H

#include "support.h"

extern "C" {
#include "fescue/admission.h"
}

#include <map>
#include <vector>

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

#endif
