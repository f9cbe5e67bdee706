/*
 * Router: selects the host that serves a call.
 *
 * The default policy estimates for each host the time until the call would be
 * answered: queueing time and service time, plus penalties for the host's
 * failure rate and for the traffic to another failure domain. The call goes to
 * one of the hosts with the lowest cost. Unreachable hosts are ejected for a
 * while; ejections are ignored when more than half of a service's hosts are
 * ejected. Hosts first seen after the first decision go through slow start.
 *
 * The module does no I/O and reads no clock: every function that needs the
 * time takes now_ms, in milliseconds of one monotonic clock. Hosts are named
 * by their address key, see address_key().
 */
#ifndef FESCUE_ROUTER_H
#define FESCUE_ROUTER_H

#include "fescue/admission.h"
#include "fescue/rollout.h"
#include "fescue/snapshot.h"

enum router_policy {
	/* Least expected cost, as described above. */
	ROUTER_COST,
	/*
	 * Baseline: the cheaper of two random hosts by load and latency. Hosts
	 * with a free slot are preferred, those of the own failure domain
	 * first. Consecutive failures eject a host.
	 */
	ROUTER_TWO_CHOICES,
	/* Baseline: a random host that is not ejected. */
	ROUTER_RANDOM,
};

struct router_settings {
	enum router_policy policy;
	uint32_t slow_start_ms; /* until a new host gets its full share */
	uint32_t load_half_life_ms; /* decay of a load report */
	/* Decay of latency and service time ratio of an unused host. */
	uint32_t latency_half_life_ms;
	uint32_t failures_to_eject; /* consecutive; not for ROUTER_COST */
	uint32_t ejection_ms; /* of the first; doubles for each in a row */
	uint32_t ejection_max_ms;
	uint32_t failure_cost_ms; /* cost of a failed call */
	uint32_t failure_half_life_ms; /* decay of the failure rate */
	uint32_t cross_domain_ms; /* cost of using another failure domain */
	uint32_t cross_domain_ms_per_kb; /* and for each kB of the call */
};

extern const struct router_settings router_defaults;

/* How an attempt at a host ended. */
enum router_result {
	ROUTER_ANSWERED,
	/* A failure if the host reports free slots; without slots: ejects it. */
	ROUTER_REFUSED,
	ROUTER_FAILED, /* crash, timeout or server error */
	ROUTER_UNREACHABLE, /* no connection, or it broke; ejects the host */
	ROUTER_CANCELED, /* not counted for or against the host */
};

/* Load report: the state of a host when it answered a call. */
struct router_load {
	uint32_t in_use; /* slots */
	uint32_t queued; /* calls */
	uint32_t slots;
	/*
	 * Service time of the call over the mean of such calls at all hosts;
	 * 0: not known.
	 */
	double service_time_ratio;
	uint32_t link_wait_ms; /* until the host's link has sent long answers */
	uint32_t link_mbit; /* its capacity; 0: not known */
	int has_waits; /* waits is set */
	struct rank_waits waits;
};

/* Estimates for a host that was chosen, for the log. */
struct router_estimate {
	double cost_ms; /* expected cost of the call */
	double wait_ms; /* part of cost_ms: until a slot is free */
	double failure_rate; /* 0 to 1, recent calls weigh most */
	uint64_t load_age_ms; /* of the last load report; 0 without one */
	uint32_t candidates; /* hosts that were neither excluded nor ejected */
};

struct router;

/* Copies the settings. seed: for the random choice between hosts. */
struct router *router_create(const struct router_settings *settings,
			     uint32_t seed);

/* router may be NULL. */
void router_destroy(struct router *router);

/* One attempt to be routed. The pointers are borrowed for each call. */
struct router_request {
	const struct snapshot *snapshot;
	struct service_handle service;
	const char *own_domain; /* failure domain of this node */
	const uint64_t *excluded; /* hosts that were tried already */
	size_t excluded_count;
	uint32_t rank; /* priority level of the call */
	double service_ms; /* mean service time of such calls; 0: not known */
	double kilobytes; /* expected size of request and answer */
	uint32_t remaining_ms; /* until the deadline; no policy uses it */
	uint32_t latency_ms; /* until the target latency; 0: missed */
	uint32_t queue_ms; /* left of the time that it may be queued */
	uint64_t now_ms;
	/*
	 * Roll-out of the service, and the class of the call in it. Hosts whose
	 * version it does not permit are left out. NULL: no roll-outs.
	 */
	const struct rollout *rollout;
	enum rollout_class rollout_class;
	/* Leave out hosts whose last load report shows no free slot, or none. */
	int needs_free_slot;
};

/*
 * Selects a host of the service and stores its address key in host. Returns
 * FESCUE_OK, or FESCUE_ENOTFOUND if no host is left.
 *
 * Hosts that would probably refuse the call are left out: those without a free
 * slot if the call's queue time has ended, else those of other domains where it
 * would not start before that. If only such hosts are left, returns
 * FESCUE_EUNAVAILABLE and stores in *busy_ms the time in ms after which the
 * first of them expects to have room.
 *
 * The cost of crossing to another failure domain affects the order of hosts
 * only: if just hosts of other domains are left, one of them is chosen.
 */
int router_choose(struct router *router, const struct router_request *request,
		  uint64_t *host, uint32_t *busy_ms);

/*
 * Fills in the estimates for the host that router_choose() has just returned
 * for the same request. Call before router_started().
 */
void router_explain(struct router *router, const struct router_request *request,
		    uint64_t host, struct router_estimate *estimate);

/* Whether a host is a candidate for a call, or why not. */
enum router_host_state {
	ROUTER_CANDIDATE,
	ROUTER_TRIED, /* among the excluded hosts of the request */
	ROUTER_NOT_PERMITTED, /* its version, by a roll-out */
	ROUTER_EJECTED,
	ROUTER_FULL, /* the call can't be queued, and it has no free slot */
	ROUTER_LATE, /* the call would wait there for too long */
};

/* Returns "candidate", "ejected" and so on, a static string. */
const char *router_host_state_name(enum router_host_state state);

/* Estimate for one host of a service, for operators. Times are in ms. */
struct router_host {
	const struct snapshot_host *host; /* of the request's snapshot */
	enum router_host_state state;
	double cost_ms; /* sum of the five parts that follow */
	double wait_ms; /* until a slot is free */
	double service_ms;
	double failures_ms; /* penalty for the failure rate */
	double distance_ms; /* penalty for another failure domain */
	double link_ms; /* until the host's link has sent a long answer */
	int is_cheapest; /* chance decides between the candidates with this */
	/* The host would probably refuse the call: its link would be late. */
	int link_is_late;
	uint64_t ejected_ms; /* left of its ejection, also if that is ignored */
	uint32_t outstanding; /* own attempts that have not ended */
	int has_load; /* a load report is known: */
	uint32_t in_use;
	uint32_t queued;
	uint32_t slots;
	uint64_t load_age_ms;
};

/* What router_choose() would do with a request. */
struct router_forecast {
	enum router_policy policy; /* of the router */
	int error; /* as router_choose() returns it */
	uint32_t busy_ms; /* with FESCUE_EUNAVAILABLE */
	/* Candidates of the own domain and of others, and how many a call compares. */
	uint32_t own_candidates;
	uint32_t own_compared;
	uint32_t other_candidates;
	uint32_t other_compared;
};

/*
 * Estimates all hosts of the request's service, in the snapshot's order. The
 * other policies than ROUTER_COST do not compare the costs, and their choice
 * among the candidates is not forecast. hosts has room for snapshot_service_host_count() of them.
 * Nothing changes by it: no random number is drawn and no statistics are
 * created, so that it can be asked at any time.
 */
void router_forecast_hosts(const struct router *router,
			   const struct router_request *request,
			   struct router_host *hosts,
			   struct router_forecast *forecast);

/*
 * Returns how long the call may be queued at the chosen host, in ms, at most
 * limit_ms. The limit is lowered when the host reports no free slot and another
 * host probably has one: the call then returns early enough to meet its target
 * latency at the other host.
 */
uint32_t router_wait_max(struct router *router,
			 const struct router_request *request, uint64_t host,
			 uint32_t limit_ms);

/*
 * Records that an attempt was sent to the host. Each must be paired with one
 * router_finished().
 */
void router_started(struct router *router, uint64_t host, uint64_t now_ms);

/*
 * Records the end of an attempt that took latency_us. load is the load report
 * of the answer, or NULL if there was none or the result does not depend on
 * the host's load.
 */
void router_finished(struct router *router, uint64_t host,
		     enum router_result result, uint64_t latency_us,
		     const struct router_load *load, uint64_t now_ms);

/*
 * Share of the service's slots that are in use or have a call queued for them,
 * above 1 if more calls wait than fit; by the last load reports of the hosts
 * that the request may go to, recent reports weighing most. 1 without reports.
 */
double router_utilization(const struct router *router,
			  const struct router_request *request);

/* Attempts sent to the host that have not ended. */
uint32_t router_outstanding(const struct router *router, uint64_t host);
int router_is_ejected(const struct router *router, uint64_t host,
		      uint64_t now_ms);

/*
 * Drops the statistics of hosts that were unused for more than idle_ms and
 * have no outstanding attempts.
 */
void router_expire(struct router *router, uint64_t now_ms, uint64_t idle_ms);

#endif
