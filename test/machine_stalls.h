/*
 * Times at which a processor of this machine did not run a thread that was ready
 * to run. Nodes on it stood still then, which no test of them can tell from a
 * node that is slow.
 */
#ifndef FESCUE_TEST_MACHINE_STALLS_H
#define FESCUE_TEST_MACHINE_STALLS_H

#include "support.h"

#include <atomic>
#include <mutex>
#include <sched.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "events.h"
}

struct time_span {
	uint64_t from_ms, to_ms;
};

/* Far above the time slices of a machine that is only busy. */
const uint64_t STALL_MIN_MS = 300;

struct machine_stalls {
	std::atomic<bool> stopping{ false };
	std::mutex mutex;
	std::vector<time_span> spans;
	std::vector<std::thread> threads;

	machine_stalls()
	{
		for (int cpu = 0; cpu < CPU_SETSIZE; cpu++)
			if (may_use(cpu))
				threads.emplace_back([this, cpu] { run(cpu); });
	}
	~machine_stalls()
	{
		stopping = true;
		for (std::thread &thread : threads)
			thread.join();
	}
	static bool may_use(int cpu)
	{
		cpu_set_t set;

		return !sched_getaffinity(0, sizeof(set), &set) &&
		       CPU_ISSET(cpu, &set);
	}
	void run(int cpu)
	{
		uint64_t last_ms = wall_clock_us() / 1000;
		cpu_set_t set;

		CPU_ZERO(&set);
		CPU_SET(cpu, &set);
		sched_setaffinity(0, sizeof(set), &set);
		while (!stopping) {
			uint64_t now_ms;

			usleep(20000);
			now_ms = wall_clock_us() / 1000;
			if (now_ms > last_ms + STALL_MIN_MS) {
				std::lock_guard<std::mutex> lock(mutex);

				spans.push_back({ last_ms, now_ms });
			}
			last_ms = now_ms;
		}
	}
	bool overlap(uint64_t from_ms, uint64_t to_ms)
	{
		std::lock_guard<std::mutex> lock(mutex);

		for (const time_span &span : spans)
			if (span.from_ms <= to_ms && span.to_ms >= from_ms)
				return true;
		return false;
	}
	uint64_t total_ms()
	{
		std::lock_guard<std::mutex> lock(mutex);
		uint64_t total = 0;

		for (const time_span &span : spans)
			total += span.to_ms - span.from_ms;
		return total;
	}
};

#endif
