/*
 * Internal state of the router: per-host statistics from this node's own calls,
 * and their decay over time.
 */
#ifndef FESCUE_ROUTER_STATE_H
#define FESCUE_ROUTER_STATE_H

#include "fescue/router.h"

#include <glib.h>
#include <string.h>

/*
 * Load reports are stale when many entry nodes send to a host. Each decision
 * compares a random sample, so that the nodes don't all choose the same host.
 */
#define SAMPLE_HOSTS 4
#define SAMPLE_ALL_HOSTS_MAX 4 /* up to this many are all compared */

struct host_stats {
	uint64_t address; /* key of router.stats */
	uint32_t outstanding;
	struct router_load load; /* last load report */
	uint64_t load_reported_ms; /* 0: no report yet */
	double latency_us; /* moving average */
	double service_time_ratio; /* moving average; 0: no report yet */
	uint32_t sent_since_report; /* calls sent after the last report */
	double failure_rate; /* moving average */
	uint64_t failure_rate_updated_ms;
	uint32_t consecutive_failures;
	uint32_t consecutive_ejections; /* without an answer in between */
	uint64_t ejected_until_ms;
	uint64_t slow_start_began_ms; /* 0: no slow start */
	uint64_t last_used_ms;
};

struct router {
	struct router_settings settings;
	GRand *random;
	GHashTable *stats; /* address -> struct host_stats */
	/* Hosts of the first routing decision are exempt from slow start. */
	int first_hosts_seen;
};

struct candidate {
	const struct snapshot_host *host;
	struct host_stats *stats;
};

/* How many of the candidates of a group of domains are compared. */
static inline uint32_t router_sample_size(uint32_t candidates)
{
	return candidates <= SAMPLE_ALL_HOSTS_MAX ? candidates : SAMPLE_HOSTS;
}

/* Returns NULL if the host has no statistics. */
struct host_stats *router_find_host_stats(const struct router *router,
					  uint64_t address);

/* Creates the statistics if the host has none. */
struct host_stats *router_get_host_stats(struct router *router,
					 uint64_t address, uint64_t now_ms);

/* Initial statistics of a host that is first used at now_ms. */
void host_stats_init(const struct router *router, struct host_stats *stats,
		     uint64_t address, uint64_t now_ms);

/*
 * Whether the host's last load report and the calls sent since leave a free
 * slot; 0 without a report.
 */
int host_stats_reports_free_slot(const struct host_stats *stats);

/* Weight of the host's last load report: 1 when it is new, decaying to 0. */
double host_stats_report_weight(const struct router *router,
				const struct host_stats *stats,
				uint64_t now_ms);

/* Calls at the host by its last load report, decaying to 0. */
double host_stats_load(const struct router *router,
		       const struct host_stats *stats, uint64_t now_ms);

/* Share of its slots that the host may use during slow start; then 1. */
double host_stats_slow_start_share(const struct router *router,
				   const struct host_stats *stats,
				   uint64_t now_ms);

/*
 * Mean latency, decaying to the default while the host is unused, so that a
 * host that was slow is tried again.
 */
double host_stats_latency_us(const struct router *router,
			     const struct host_stats *stats, uint64_t now_ms);

/* Failure rate, decaying to 0 so that a host that failed is tried again. */
double host_stats_failure_rate(const struct router *router,
			       const struct host_stats *stats, uint64_t now_ms);

/*
 * Service time at the host over the mean of all hosts, decaying to 1 while the
 * host sends no load reports.
 */
double host_stats_service_time_ratio(const struct router *router,
				     const struct host_stats *stats,
				     uint64_t now_ms);

static inline int candidate_is_own_domain(const struct candidate *candidate,
					  const struct router_request *request)
{
	return !strcmp(candidate->host->failure_domain, request->own_domain);
}

/* Decisions and estimates of router.c. None changes the router. */

int router_is_excluded(uint64_t address, const uint64_t *excluded, size_t n);

/* Whether a roll-out lets the call go to a host of this version. */
int router_is_permitted(const struct router_request *request,
			const struct snapshot_host *host);

/* Are so many of the permitted hosts ejected that ejections are ignored? */
int router_most_are_ejected(const struct router *router,
			    const struct router_request *request);

/*
 * Returns the expected queueing time of a call sent now and stores its expected
 * service time, both in ms.
 */
double expected_wait_and_service(const struct router *router,
				 const struct candidate *candidate,
				 const struct router_request *request,
				 double *service_ms);

/* Expected time until the host's link has sent a long answer of such calls. */
double expected_link_ms(const struct candidate *candidate,
			const struct router_request *request);

/*
 * Expected time until a call sent now is answered, plus the penalties for
 * failures and for another failure domain.
 */
double expected_cost(const struct router *router,
		     const struct candidate *candidate,
		     const struct router_request *request);

/* Whether the cost is so close to the least one that chance decides. */
int router_costs_are_equal(double cost, double least);

/*
 * Removes the candidates that would refuse the call from an array of struct
 * candidate. Returns the least expected wait of these, in ms; HUGE_VAL if there
 * are none.
 */
double router_drop_refusing(const struct router *router, GArray *candidates,
			    const struct router_request *request);

#endif
