/*
 * Counters of one node, read by operators as text, one a line.
 */
#ifndef FESCUE_COUNTERS_H
#define FESCUE_COUNTERS_H

#include "fescue/histogram.h"
#include "fescue/rules.h"
#include "packet.h"

#include <glib.h>

/* X(name): each becomes COUNTER_<name> and one line of text. */
#define COUNTERS(X)              \
	X(calls_received)        \
	X(calls_ran)             \
	X(calls_not_run)         \
	X(calls_unknown)         \
	X(calls_canceled)        \
	X(attempts)              \
	X(retries)               \
	X(retries_denied)        \
	X(no_route)              \
	X(route_withdrawn)       \
	X(served_runs)           \
	X(served_refused)        \
	X(served_expired)        \
	X(backend_failures)      \
	X(call_queries)          \
	X(backend_announcements) \
	X(backend_expired)       \
	X(quarantine_suspected)  \
	X(quarantine_refused)    \
	X(config_applied)        \
	X(config_rejected)       \
	X(snapshots_compiled)    \
	X(store_calls)           \
	X(store_failures)        \
	X(store_watches)         \
	X(freezes)               \
	X(packets_malformed)     \
	X(links_opened)          \
	X(links_failed)

enum counter {
#define COUNTER_ENUM(name) COUNTER_##name,
	COUNTERS(COUNTER_ENUM)
#undef COUNTER_ENUM
		COUNTER_COUNT
};

struct counters {
	uint64_t values[COUNTER_COUNT];
	uint64_t bytes_sent[PACKET_PURPOSE_COUNT];
	uint64_t bytes_received[PACKET_PURPOSE_COUNT];
	uint64_t store_bytes; /* sent and received */
	struct histogram latency_us[CALL_CLASS_COUNT]; /* of whole calls */
	struct histogram link_us[CALL_CLASS_COUNT]; /* to a host and back */
	struct histogram gate_us[CALL_CLASS_COUNT]; /* before a slot was free */
	struct histogram service_us[CALL_CLASS_COUNT]; /* in the own slot */
};

/* Append "name value" lines to out. */
void counters_format(const struct counters *counters, GString *out);

/*
 * Append the same in the usual exposition format: counters named
 * fescue_NAME_total, and histograms with buckets in seconds for each class.
 */
void counters_expose(const struct counters *counters, GString *out);

#endif
