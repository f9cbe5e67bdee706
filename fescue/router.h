/*
 * Router: which host gets a call.
 *
 * Each host is given the time that a call is expected to take there: time in
 * a slot, wait for one, what its failures cost, and for a host of another
 * failure domain what the bytes between domains are worth. One of the
 * cheapest gets the call. Hosts that cannot be reached are left out for a
 * while, but never more than half of a service's hosts. A host seen for the
 * first time starts slowly. The module owns no socket and reads no clock.
 */
#ifndef FESCUE_ROUTER_H
#define FESCUE_ROUTER_H

#include "fescue/snapshot.h"

enum router_policy {
	ROUTER_COST, /* the policy described above */
	/*
	 * Baseline: the cheaper of two random hosts, by load and latency, own
	 * domain first while it has room; three failures in a row eject.
	 */
	ROUTER_TWO_CHOICES,
	ROUTER_RANDOM, /* baseline: any host */
};

struct router_settings {
	enum router_policy policy;
	uint32_t slow_start_ms;
	uint32_t load_half_life_ms; /* ageing of reported load */
	uint32_t latency_half_life_ms; /* ageing of latency while unused */
	uint32_t failures_to_eject; /* consecutive */
	uint32_t ejection_ms; /* doubled each time in a row */
	uint32_t ejection_max_ms;
	uint32_t failure_cost_ms; /* a failed call costs as much as this time */
	uint32_t failure_half_life_ms; /* ageing of the share that fails */
	uint32_t cross_domain_ms; /* added for a host of another domain */
	uint32_t cross_domain_ms_per_kb; /* and for each kB of the call */
};

extern const struct router_settings router_defaults;

/* How a call sent to a host ended, as evidence on that host. */
enum router_result {
	ROUTER_ANSWERED,
	ROUTER_REFUSED, /* full; with free slots it counts as a failure */
	ROUTER_FAILED, /* crash or timeout */
	ROUTER_UNREACHABLE, /* no connection: not tried again for a while */
	ROUTER_CANCELED, /* says nothing on the host */
};

struct router_load {
	uint32_t in_use;
	uint32_t queued;
	uint32_t slots;
	double pace; /* time in a slot there, of that anywhere; 0: not known */
	int has_waits;
	uint32_t waits_ms[RULES_RANK_LEVELS]; /* for a slot, by rank */
};

/* What spoke for a chosen host. */
struct router_reason {
	double cost_ms; /* expected, of the chosen host */
	double wait_ms; /* of it, until a slot is free */
	double failing; /* share of its calls that failed lately */
	uint64_t age_ms; /* since the host last told its load */
	uint32_t candidates; /* hosts that could have been chosen */
};

struct router;

struct router *router_create(const struct router_settings *settings,
			     uint32_t seed);
void router_destroy(struct router *router);

/* What is to be routed. */
struct router_question {
	const struct snapshot *snapshot;
	struct service_handle service;
	const char *own_domain;
	const uint64_t *excluded; /* hosts that were tried already */
	size_t excluded_count;
	uint32_t rank;
	double service_ms; /* time of such a call in a slot; 0: not known */
	double kilobytes; /* of request and answer, expected */
	uint32_t remaining_ms; /* until the call's deadline */
	uint32_t latency_ms; /* until its answer is worth less; 0: it is late */
	uint64_t now_ms;
};

/*
 * Choose a host of the service. Returns 0 and stores its address key, or
 * FESCUE_ENOTFOUND when none is left. A host of another failure domain is chosen
 * rather than none, whatever the call costs to cross.
 */
int router_choose(struct router *router, const struct router_question *question,
		  uint64_t *host);

/* What speaks for a host that was just chosen for the question. */
void router_explain(struct router *router,
		    const struct router_question *question, uint64_t host,
		    struct router_reason *reason);

/*
 * How long the call may wait for a slot of the host that was chosen for it, in
 * ms and at most limit_ms: no longer than another host that seems to have room
 * could still end it in time. It is to be handed back then.
 */
uint32_t router_wait_max(struct router *router,
			 const struct router_question *question, uint64_t host,
			 uint32_t limit_ms);

/* A call was sent to the host. Pair with router_finished(). */
void router_started(struct router *router, uint64_t host, uint64_t now_ms);

/* load is NULL when the answer carried none, or does not speak of the host. */
void router_finished(struct router *router, uint64_t host,
		     enum router_result result, uint64_t latency_us,
		     const struct router_load *load, uint64_t now_ms);

/* Calls sent to the host that have not ended. */
uint32_t router_outstanding(const struct router *router, uint64_t host);
int router_is_ejected(const struct router *router, uint64_t host,
		      uint64_t now_ms);

/* Drop what is known of hosts unused for idle_ms; in-flight ones stay. */
void router_expire(struct router *router, uint64_t now_ms, uint64_t idle_ms);

#endif
