/*
 * The state behind the router: what own calls have shown of each host, and how
 * that ages.
 */
#ifndef FESCUE_ROUTER_STATE_H
#define FESCUE_ROUTER_STATE_H

#include "fescue/router.h"

#include <glib.h>

/* What own calls have shown of one host. */
struct host_evidence {
	uint64_t address;
	uint32_t outstanding;
	struct router_load load;
	uint64_t load_at_ms;
	double latency_us;
	double pace; /* moving average of what its answers told; 0: nothing */
	uint32_t sent_since; /* calls sent since the load was reported */
	double failing; /* share of its calls that fail */
	uint64_t failing_at_ms;
	uint32_t failures;
	uint32_t ejections;
	uint64_t ejected_until_ms;
	uint64_t first_seen_ms;
	uint64_t last_used_ms;
};

struct router {
	struct router_settings settings;
	GRand *random;
	GHashTable *evidence; /* address -> struct host_evidence */
	int warm; /* the first hosts seen at start-up do not start slowly */
};

/* NULL: nothing is known of the host. */
struct host_evidence *router_find_evidence(const struct router *router,
					   uint64_t address);
struct host_evidence *router_get_evidence(struct router *router,
					  uint64_t address, uint64_t now_ms);

/* Reported load, halved for each half-life since it was reported. */
double evidence_load(const struct router *router,
		     const struct host_evidence *evidence, uint64_t now_ms);

/* The share of its slots that a host seen for the first time may use. */
double evidence_slow_start(const struct router *router,
			   const struct host_evidence *evidence,
			   uint64_t now_ms);

/* Latency seen, forgotten while the host is not used, so that it is tried. */
double evidence_latency(const struct router *router,
			const struct host_evidence *evidence, uint64_t now_ms);

/* The share of failures, forgotten with time so that a host is tried again. */
double evidence_failing(const struct router *router,
			const struct host_evidence *evidence, uint64_t now_ms);

/* How slow the host is, forgotten while it is not used. */
double evidence_pace(const struct router *router,
		     const struct host_evidence *evidence, uint64_t now_ms);

#endif
