#include "router_state.h"

#include "fescue/error.h"
#include "fescue/link_budget.h"

#include <math.h>
#include <string.h>

/*
 * ROUTER_TWO_CHOICES ignores smaller cost differences: they are noise and must
 * not direct all calls to one host.
 */
#define COST_NOISE_FACTOR 0.8
/* Ejections are ignored if more than one in this many hosts is ejected. */
#define EJECTED_HOSTS_DIVISOR 2
#define SERVICE_TIME_DEFAULT_MS 10.0 /* while no call has ended yet */
/* Weight of an assumed free slot; a new load report weighs 1. */
#define FREE_SLOT_PRIOR_WEIGHT 0.25
#define FREE_SLOT_PROBABILITY_MIN 0.5
/* Service time of a host grows by up to this share with its utilization. */
#define UTILIZATION_WEIGHT 0.3
/*
 * Costs this close count as equal, so that entry nodes don't all choose the
 * same host.
 */
#define EQUAL_COST_FACTOR 1.1
#define EQUAL_COST_MS 2.0

const struct router_settings router_defaults = {
	.policy = ROUTER_COST,
	.slow_start_ms = 5000,
	.load_half_life_ms = 500,
	.latency_half_life_ms = 5000,
	.failures_to_eject = 3,
	.ejection_ms = 1000,
	.ejection_max_ms = 30000,
	.failure_cost_ms = 400,
	.failure_half_life_ms = 3000,
	.cross_domain_ms = 5,
	.cross_domain_ms_per_kb = 20,
};

struct router *router_create(const struct router_settings *settings,
			     uint32_t seed)
{
	struct router *r = g_new0(struct router, 1);

	r->settings = *settings;
	r->random = g_rand_new_with_seed(seed);
	r->stats = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	return r;
}

void router_destroy(struct router *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->stats);
	g_rand_free(r->random);
	g_free(r);
}

static double two_choices_cost(const struct router *r,
			       const struct candidate *c, uint64_t now_ms)
{
	double slots = MAX(c->host->slots, 1);
	double load = MAX((double)c->stats->outstanding,
			  host_stats_load(r, c->stats, now_ms));

	return (load + 1) * host_stats_latency_us(r, c->stats, now_ms) /
	       (slots * host_stats_slow_start_share(r, c->stats, now_ms));
}

static int has_free_slot(const struct router *r, const struct candidate *c,
			 uint64_t now_ms)
{
	double share = host_stats_slow_start_share(r, c->stats, now_ms);
	double usable_slots = c->host->slots * share;

	return c->stats->outstanding < usable_slots &&
	       host_stats_load(r, c->stats, now_ms) < usable_slots;
}

int router_is_excluded(uint64_t address, const uint64_t *excluded, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (excluded[i] == address)
			return 1;
	return 0;
}

int router_is_permitted(const struct router_request *req,
			const struct snapshot_host *host)
{
	return !req->rollout ||
	       rollout_permits(req->rollout, req->rollout_class,
			       host->version_hash, req->now_ms);
}

int router_most_are_ejected(const struct router *r,
			    const struct router_request *req)
{
	size_t n = snapshot_service_host_count(req->snapshot, req->service);
	size_t permitted = 0, ejected = 0;

	for (size_t i = 0; i < n; i++) {
		const struct snapshot_host *host =
			snapshot_service_host(req->snapshot, req->service, i);

		if (!router_is_permitted(req, host))
			continue;
		permitted++;
		ejected +=
			(size_t)router_is_ejected(r, host->host, req->now_ms);
	}
	return ejected * EJECTED_HOSTS_DIVISOR > permitted;
}

/*
 * Hosts of the service that are permitted and not excluded. Ejected hosts are
 * left out, unless more than half of the permitted hosts are ejected.
 */
static GArray *find_candidates(struct router *r,
			       const struct router_request *req)
{
	size_t n = snapshot_service_host_count(req->snapshot, req->service);
	int skip_ejected = !router_most_are_ejected(r, req);
	GArray *candidates = g_array_sized_new(
		FALSE, FALSE, sizeof(struct candidate), (guint)n);

	for (size_t i = 0; i < n; i++) {
		struct candidate c;

		c.host = snapshot_service_host(req->snapshot, req->service, i);
		if (router_is_excluded(c.host->host, req->excluded,
				       req->excluded_count) ||
		    !router_is_permitted(req, c.host))
			continue;
		if (skip_ejected &&
		    router_is_ejected(r, c.host->host, req->now_ms))
			continue;
		c.stats = router_get_host_stats(r, c.host->host, req->now_ms);
		if (req->needs_free_slot &&
		    !host_stats_reports_free_slot(c.stats))
			continue;
		g_array_append_val(candidates, c);
	}
	r->first_hosts_seen = 1;
	return candidates;
}

/*
 * Removes all candidates but those with a free slot in the domain, or in any
 * domain if domain is NULL. If there are none, keeps all and returns 0.
 */
static int keep_hosts_with_free_slot(struct router *r, GArray *candidates,
				     const char *domain, uint64_t now_ms)
{
	guint kept = 0;

	for (guint i = 0; i < candidates->len; i++) {
		struct candidate *c =
			&g_array_index(candidates, struct candidate, i);
		struct candidate swap;

		if ((domain && strcmp(c->host->failure_domain, domain)) ||
		    !has_free_slot(r, c, now_ms))
			continue;
		swap = g_array_index(candidates, struct candidate, kept);
		g_array_index(candidates, struct candidate, kept) = *c;
		*c = swap;
		kept++;
	}
	if (kept)
		g_array_set_size(candidates, kept);
	return kept > 0;
}

static const struct candidate *get_candidate(const GArray *candidates, guint i)
{
	return &g_array_index(candidates, struct candidate, i);
}

/* Returns the cheaper of two different random candidates. */
static const struct candidate *
two_choices(struct router *r, const GArray *candidates, uint64_t now_ms)
{
	guint n = candidates->len;
	guint i = (guint)g_rand_int_range(r->random, 0, (gint)n);
	guint j;
	const struct candidate *a = get_candidate(candidates, i), *b;

	if (n == 1)
		return a;
	j = (i + (guint)g_rand_int_range(r->random, 1, (gint)n)) % n;
	b = get_candidate(candidates, j);
	return two_choices_cost(r, b, now_ms) < two_choices_cost(r, a, now_ms) *
							COST_NOISE_FACTOR ?
		       b :
		       a;
}

/* Reported wait of a call of this rank that can, or can't, be on time. */
static uint32_t reported_wait(const struct host_stats *s,
			      const struct router_request *req,
			      double service_ms)
{
	uint32_t rank = rules_rank_level(req->rank);
	int timely = req->latency_ms >= service_ms * SERVICE_TIME_MARGIN_FACTOR;

	return timely ? s->load.waits.timely_ms[rank] :
			s->load.waits.any_ms[rank];
}

/*
 * Expected queueing time: the reported wait of the call's rank plus the work
 * sent since the report, at most wait_by_load_ms. Without reported waits it is
 * wait_by_load_ms, the time that follows from the number of calls at the host.
 */
static double expected_wait(const struct router *r, const struct host_stats *s,
			    const struct router_request *req, double service_ms,
			    double wait_by_load_ms)
{
	double factor = host_stats_report_weight(r, s, req->now_ms);
	double slots = MAX(s->load.slots, 1);
	double reported_ms, sent_ms;

	if (wait_by_load_ms <= 0 || !s->load.has_waits)
		return MAX(wait_by_load_ms, 0);
	reported_ms = reported_wait(s, req, service_ms) * factor;
	sent_ms = service_ms * s->sent_since_report / slots;
	return MIN(reported_ms + sent_ms, wait_by_load_ms);
}

double expected_wait_and_service(const struct router *r,
				 const struct candidate *c,
				 const struct router_request *req,
				 double *service_ms)
{
	const struct host_stats *s = c->stats;
	double mean_ms = req->service_ms ? req->service_ms :
					   SERVICE_TIME_DEFAULT_MS;
	double slots = MAX(c->host->slots, 1) *
		       host_stats_slow_start_share(r, s, req->now_ms);
	double load =
		MAX((double)s->outstanding,
		    host_stats_load(r, s, req->now_ms) + s->sent_since_report);
	double utilization = MIN(load / slots, 1.0), ms;

	ms = mean_ms * host_stats_service_time_ratio(r, s, req->now_ms);
	*service_ms = ms * (1 + UTILIZATION_WEIGHT * utilization * utilization);
	return expected_wait(r, s, req, ms, ms * (load + 1 - slots) / slots);
}

double expected_link_ms(const struct candidate *c,
			const struct router_request *req)
{
	const struct host_stats *s = c->stats;
	double bytes = req->kilobytes * 1000;
	double age = (double)(req->now_ms - s->load_reported_ms);
	double send_ms;

	if (bytes < LINK_LONG_ANSWER_BYTES || !s->load.link_mbit)
		return 0;
	send_ms = bytes * 8 / 1000 / s->load.link_mbit;
	return MAX(s->load.link_wait_ms - age, 0) +
	       send_ms * (s->sent_since_report + 1);
}

double expected_cost(const struct router *r, const struct candidate *c,
		     const struct router_request *req)
{
	double service_ms;
	double cost = expected_wait_and_service(r, c, req, &service_ms);

	cost += service_ms + expected_link_ms(c, req);
	cost += host_stats_failure_rate(r, c->stats, req->now_ms) *
		r->settings.failure_cost_ms;
	if (!candidate_is_own_domain(c, req))
		cost += r->settings.cross_domain_ms +
			r->settings.cross_domain_ms_per_kb * req->kilobytes;
	return cost;
}

/*
 * Reduces the candidates to a random sample of the own domain's hosts and one
 * of the other hosts.
 */
static void sample(struct router *r, GArray *candidates,
		   const struct router_request *req)
{
	guint left[2] = { 0, 0 }, wanted[2], kept = 0;

	for (guint i = 0; i < candidates->len; i++)
		left[candidate_is_own_domain(get_candidate(candidates, i),
					     req)]++;
	for (int own = 0; own < 2; own++)
		wanted[own] = router_sample_size(left[own]);
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate c = *get_candidate(candidates, i);
		int own = candidate_is_own_domain(&c, req);
		guint drawn = (guint)g_rand_int_range(r->random, 0,
						      (gint)left[own]--);

		/* Selection sampling: all subsets are equally likely. */
		if (drawn >= wanted[own])
			continue;
		wanted[own]--;
		g_array_index(candidates, struct candidate, kept++) = c;
	}
	g_array_set_size(candidates, kept);
}

int router_costs_are_equal(double cost, double least)
{
	return cost <= least * EQUAL_COST_FACTOR + EQUAL_COST_MS;
}

/* Returns a random one of the candidates with the lowest cost. */
static const struct candidate *cheapest(struct router *r,
					const GArray *candidates,
					const struct router_request *req)
{
	double *costs = g_new(double, candidates->len);
	double least = HUGE_VAL;
	const struct candidate *chosen = NULL;
	guint32 equals = 0;

	for (guint i = 0; i < candidates->len; i++) {
		costs[i] = expected_cost(r, get_candidate(candidates, i), req);
		least = MIN(least, costs[i]);
	}
	for (guint i = 0; i < candidates->len; i++) {
		if (!router_costs_are_equal(costs[i], least))
			continue;
		if (!g_rand_int_range(r->random, 0, (gint32)++equals))
			chosen = get_candidate(candidates, i);
	}
	g_free(costs);
	return chosen;
}

/*
 * Estimates how likely a host has a free slot, among the hosts of the own
 * domain (own is 1) or of all others (0): the share of load reports with a free
 * slot, weighted by age. free_weight is the weight of a report of a free slot
 * that is added, so that a group without recent reports is tried again.
 */
static double free_slot_probability(const struct router *r,
				    const GArray *candidates,
				    const struct router_request *req,
				    uint64_t except, int own,
				    double free_weight)
{
	double total_weight = FREE_SLOT_PRIOR_WEIGHT;
	int any = 0;

	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *c = get_candidate(candidates, i);
		const struct host_stats *s = c->stats;
		double weight = host_stats_report_weight(r, s, req->now_ms);

		if (c->host->host == except ||
		    candidate_is_own_domain(c, req) != own)
			continue;
		any = 1;
		if (!s->load.slots)
			continue;
		total_weight += weight;
		if (host_stats_reports_free_slot(s))
			free_weight += weight;
	}
	return any ? free_weight / total_weight : 0;
}

/*
 * Returns 1 if the host probably has a free slot: by its own load report while
 * that is recent, then by those of the other hosts of its group.
 */
static int free_slot_is_likely(const struct router *r,
			       const struct candidate *c,
			       const struct router_request *req,
			       double group_probability)
{
	const struct host_stats *s = c->stats;
	double weight = host_stats_report_weight(r, s, req->now_ms);

	return weight * host_stats_reports_free_slot(s) +
		       (1 - weight) * group_probability >
	       FREE_SLOT_PROBABILITY_MIN;
}

/*
 * Returns 1 if the host would probably refuse the call. A call that can't be
 * queued any more needs a free slot. One that can is refused if it would not
 * start in time, which counts in other domains only: an offer that is refused
 * there costs traffic between domains.
 */
static int would_refuse(const struct router *r, const struct candidate *c,
			const struct router_request *req, double wait_ms,
			double group_probability)
{
	if (!req->queue_ms)
		return !free_slot_is_likely(r, c, req, group_probability);
	return !candidate_is_own_domain(c, req) && c->stats->load.has_waits &&
	       wait_ms > req->queue_ms;
}

double router_drop_refusing(const struct router *r, GArray *candidates,
			    const struct router_request *req)
{
	double probability[2] = { 0, 0 }, least_ms = HUGE_VAL;
	guint kept = 0;

	/* Other domains are not tried without a report of a free slot there. */
	if (!req->queue_ms) {
		probability[0] =
			free_slot_probability(r, candidates, req, 0, 0, 0);
		probability[1] = free_slot_probability(r, candidates, req, 0, 1,
						       FREE_SLOT_PRIOR_WEIGHT);
	}
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate c = *get_candidate(candidates, i);
		int own = candidate_is_own_domain(&c, req);
		double service_ms, wait_ms;

		wait_ms = expected_wait_and_service(r, &c, req, &service_ms);
		if (would_refuse(r, &c, req, wait_ms, probability[own]))
			least_ms = MIN(least_ms, wait_ms);
		else
			g_array_index(candidates, struct candidate, kept++) = c;
	}
	g_array_set_size(candidates, kept);
	return least_ms;
}

static const struct candidate *pick(struct router *r, GArray *candidates,
				    const struct router_request *req)
{
	switch (r->settings.policy) {
	case ROUTER_COST:
		sample(r, candidates, req);
		return cheapest(r, candidates, req);
	case ROUTER_RANDOM:
		return get_candidate(
			candidates,
			(guint)g_rand_int_range(r->random, 0,
						(gint)candidates->len));
	case ROUTER_TWO_CHOICES:
		break;
	}
	if (!keep_hosts_with_free_slot(r, candidates, req->own_domain,
				       req->now_ms))
		keep_hosts_with_free_slot(r, candidates, NULL, req->now_ms);
	return two_choices(r, candidates, req->now_ms);
}

int router_choose(struct router *r, const struct router_request *req,
		  uint64_t *host, uint32_t *busy_ms)
{
	GArray *candidates = find_candidates(r, req);
	double least_ms = HUGE_VAL;
	int error = FESCUE_OK;

	if (r->settings.policy == ROUTER_COST)
		least_ms = router_drop_refusing(r, candidates, req);
	if (candidates->len) {
		*host = pick(r, candidates, req)->host->host;
	} else if (isinf(least_ms)) {
		error = FESCUE_ENOTFOUND;
	} else {
		*busy_ms = (uint32_t)ceil(least_ms);
		error = FESCUE_EUNAVAILABLE;
	}
	g_array_free(candidates, TRUE);
	return error;
}

void router_explain(struct router *r, const struct router_request *req,
		    uint64_t host, struct router_estimate *estimate)
{
	GArray *candidates = find_candidates(r, req);
	double service_ms;

	memset(estimate, 0, sizeof(*estimate));
	estimate->candidates = candidates->len;
	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *c = get_candidate(candidates, i);

		if (c->host->host != host)
			continue;
		estimate->cost_ms = expected_cost(r, c, req);
		estimate->wait_ms =
			expected_wait_and_service(r, c, req, &service_ms);
		estimate->failure_rate =
			host_stats_failure_rate(r, c->stats, req->now_ms);
		if (c->stats->load_reported_ms)
			estimate->load_age_ms =
				req->now_ms - c->stats->load_reported_ms;
	}
	g_array_free(candidates, TRUE);
}

/* Returns 1 if a host other than this one probably has a free slot. */
static int other_host_has_free_slot(struct router *r,
				    const struct router_request *req,
				    uint64_t host)
{
	GArray *candidates = find_candidates(r, req);
	double probability =
		MAX(free_slot_probability(r, candidates, req, host, 1,
					  FREE_SLOT_PRIOR_WEIGHT),
		    free_slot_probability(r, candidates, req, host, 0,
					  FREE_SLOT_PRIOR_WEIGHT));

	g_array_free(candidates, TRUE);
	return probability > FREE_SLOT_PROBABILITY_MIN;
}

/*
 * Returns 1 if the last load report, plus the calls sent since, leaves a free
 * slot, or if the host has no statistics.
 */
static int host_reports_free_slot(const struct router *r, uint64_t host,
				  uint64_t now_ms)
{
	const struct host_stats *s = router_find_host_stats(r, host);

	return !s || host_stats_load(r, s, now_ms) + s->sent_since_report <
			     s->load.slots;
}

uint32_t router_wait_max(struct router *r, const struct router_request *req,
			 uint64_t host, uint32_t limit_ms)
{
	double service_ms = req->service_ms ? req->service_ms :
					      SERVICE_TIME_DEFAULT_MS;
	double slack_ms =
		req->latency_ms - service_ms * SERVICE_TIME_MARGIN_FACTOR;

	if (slack_ms <= 0 || slack_ms >= limit_ms ||
	    host_reports_free_slot(r, host, req->now_ms) ||
	    !other_host_has_free_slot(r, req, host))
		return limit_ms;
	return (uint32_t)slack_ms;
}
