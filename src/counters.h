/*
 * Counters and latency histograms of one node, and their text formats.
 */
#ifndef FESCUE_COUNTERS_H
#define FESCUE_COUNTERS_H

#include "fescue/histogram.h"
#include "fescue/rules.h"
#include "packet.h"

#include <glib.h>

/* X(name) declares COUNTER_<name>; its text output uses the name as it is. */
#define COUNTERS(X)               \
	X(calls_received)         \
	X(calls_ran)              \
	X(calls_not_run)          \
	X(calls_unknown)          \
	X(calls_canceled)         \
	X(attempts)               \
	X(retries)                \
	X(retries_denied)         \
	X(hedges_sent)            \
	X(hedges_won)             \
	X(hedges_denied)          \
	X(no_route)               \
	X(route_withdrawn)        \
	X(no_account)             \
	X(memory_closed)          \
	X(stalled_closed)         \
	X(quota_refused)          \
	X(quota_waits)            \
	X(quota_own_share)        \
	X(quota_returned)         \
	X(quota_requests)         \
	X(quota_grants)           \
	X(keys_unconfirmed)       \
	X(rollout_orders)         \
	X(rollout_orders_refused) \
	X(rollout_changes)        \
	X(rollouts_completed)     \
	X(rollouts_rolled_back)   \
	X(rollout_states)         \
	X(rollout_reports)        \
	X(rollout_leads)          \
	X(rollout_calls_new)      \
	X(rollout_calls_none)     \
	X(served_runs)            \
	X(served_refused)         \
	X(served_unconfirmed)     \
	X(served_expired)         \
	X(backend_failures)       \
	X(silent_runs)            \
	X(slots_held)             \
	X(call_queries)           \
	X(backend_announcements)  \
	X(backend_expired)        \
	X(backend_repeats)        \
	X(quarantine_suspected)   \
	X(quarantine_refused)     \
	X(config_applied)         \
	X(config_rejected)        \
	X(snapshots_compiled)     \
	X(store_calls)            \
	X(store_failures)         \
	X(store_watches)          \
	X(freezes)                \
	X(packets_malformed)      \
	X(links_opened)           \
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
	uint64_t answer_bytes; /* of answers to callers of this node */
	uint64_t store_bytes; /* both directions, store traffic */
	struct histogram latency_us[CALL_CLASS_COUNT]; /* whole calls */
	/* Round trip of an attempt, without the time at the target host. */
	struct histogram link_us[CALL_CLASS_COUNT];
	/* Wait for a free slot. */
	struct histogram admission_delay_us[CALL_CLASS_COUNT];
	struct histogram service_us[CALL_CLASS_COUNT]; /* runs at this host */
};

/* Append one "name value" line per counter and percentile to out. */
void counters_format(const struct counters *counters, GString *out);

/*
 * Append the counters and histograms in the Prometheus text format: counters
 * are named fescue_NAME_total, and histograms have a "class" label and buckets
 * in seconds.
 */
void counters_format_prometheus(const struct counters *counters, GString *out);

#endif
