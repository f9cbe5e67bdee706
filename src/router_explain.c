/* What the router would decide, for operators; nothing is changed by it. */
#include "router_state.h"

#include "fescue/error.h"
#include "fescue/link_budget.h"

#include <math.h>
#include <string.h>

const char *router_host_state_name(enum router_host_state state)
{
	switch (state) {
	case ROUTER_CANDIDATE:
		return "candidate";
	case ROUTER_TRIED:
		return "tried";
	case ROUTER_NOT_PERMITTED:
		return "not-permitted";
	case ROUTER_EJECTED:
		return "ejected";
	case ROUTER_FULL:
		return "full";
	case ROUTER_LATE:
		return "would-refuse";
	}
	return "unknown";
}

/* Why the host is no candidate whatever its load; or ROUTER_CANDIDATE. */
static enum router_host_state find_state(const struct router *r,
					 const struct router_request *req,
					 const struct snapshot_host *host,
					 int skip_ejected)
{
	if (router_is_excluded(host->host, req->excluded, req->excluded_count))
		return ROUTER_TRIED;
	if (!router_is_permitted(req, host))
		return ROUTER_NOT_PERMITTED;
	if (skip_ejected && router_is_ejected(r, host->host, req->now_ms))
		return ROUTER_EJECTED;
	return ROUTER_CANDIDATE;
}

/*
 * Splits the cost into its parts. The penalties are the differences to the cost
 * of the same host without failures and in the own domain, so that they follow
 * the estimate of router.c.
 */
static void estimate_cost(const struct router *r, const struct candidate *c,
			  const struct router_request *req,
			  struct router_host *out)
{
	struct host_stats no_failures = *c->stats;
	struct candidate reliable = { c->host, &no_failures };
	struct router_request near = *req;

	no_failures.failure_rate = 0;
	near.own_domain = c->host->failure_domain;
	out->cost_ms = expected_cost(r, c, req);
	out->wait_ms = expected_wait_and_service(r, c, req, &out->service_ms);
	out->link_ms = expected_link_ms(c, req);
	out->failures_ms = out->cost_ms - expected_cost(r, &reliable, req);
	out->distance_ms = out->cost_ms - expected_cost(r, c, &near);
}

static void describe_host(const struct router *r, const struct candidate *c,
			  const struct router_request *req,
			  struct router_host *out)
{
	const struct host_stats *s = c->stats;

	estimate_cost(r, c, req, out);
	/* The host itself decides, by its link budget. */
	out->link_is_late =
		out->link_ms >
		link_budget_limit_ms(req->latency_ms, req->remaining_ms);
	if (req->now_ms < s->ejected_until_ms)
		out->ejected_ms = s->ejected_until_ms - req->now_ms;
	out->outstanding = s->outstanding;
	out->has_load = s->load_reported_ms != 0;
	if (!out->has_load)
		return;
	out->in_use = s->load.in_use;
	out->queued = s->load.queued;
	out->slots = s->load.slots;
	out->load_age_ms = req->now_ms - s->load_reported_ms;
}

/* Copies the host's statistics, or those that it would get when first used. */
static void copy_stats(const struct router *r, uint64_t host, uint64_t now_ms,
		       struct host_stats *out)
{
	const struct host_stats *s = router_find_host_stats(r, host);

	if (s)
		*out = *s;
	else
		host_stats_init(r, out, host, now_ms);
}

/* Marks hosts that would refuse the call; returns the least of their waits. */
static double mark_refusing(const struct router *r,
			    const struct router_request *req,
			    GArray *candidates, struct router_host *hosts,
			    size_t n)
{
	double least_ms;
	guint kept = 0;

	if (r->settings.policy != ROUTER_COST)
		return HUGE_VAL;
	least_ms = router_drop_refusing(r, candidates, req);
	/* The candidates that are left have the order of the hosts. */
	for (size_t i = 0; i < n; i++) {
		if (hosts[i].state != ROUTER_CANDIDATE)
			continue;
		if (kept < candidates->len &&
		    g_array_index(candidates, struct candidate, kept).host ==
			    hosts[i].host)
			kept++;
		else
			hosts[i].state = req->queue_ms ? ROUTER_LATE :
							 ROUTER_FULL;
	}
	return least_ms;
}

static void mark_cheapest(struct router_host *hosts, size_t n)
{
	double least = HUGE_VAL;

	for (size_t i = 0; i < n; i++)
		if (hosts[i].state == ROUTER_CANDIDATE)
			least = MIN(least, hosts[i].cost_ms);
	for (size_t i = 0; i < n; i++)
		hosts[i].is_cheapest =
			hosts[i].state == ROUTER_CANDIDATE &&
			router_costs_are_equal(hosts[i].cost_ms, least);
}

static void fill_forecast(const GArray *candidates, double least_ms,
			  const struct router_request *req,
			  struct router_forecast *out)
{
	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		if (candidate_is_own_domain(c, req))
			out->own_candidates++;
		else
			out->other_candidates++;
	}
	out->own_compared = router_sample_size(out->own_candidates);
	out->other_compared = router_sample_size(out->other_candidates);
	if (candidates->len)
		return;
	out->error = isinf(least_ms) ? FESCUE_ENOTFOUND : FESCUE_EUNAVAILABLE;
	if (!isinf(least_ms))
		out->busy_ms = (uint32_t)ceil(least_ms);
}

void router_forecast_hosts(const struct router *r,
			   const struct router_request *req,
			   struct router_host *hosts,
			   struct router_forecast *forecast)
{
	size_t n = snapshot_service_host_count(req->snapshot, req->service);
	int skip_ejected = !router_most_are_ejected(r, req);
	struct host_stats *stats = g_new0(struct host_stats, n);
	GArray *candidates = g_array_sized_new(
		FALSE, FALSE, sizeof(struct candidate), (guint)n);
	double least_ms;

	memset(hosts, 0, n * sizeof(*hosts));
	for (size_t i = 0; i < n; i++) {
		struct candidate c = { snapshot_service_host(req->snapshot,
							     req->service, i),
				       &stats[i] };

		copy_stats(r, c.host->host, req->now_ms, c.stats);
		hosts[i].host = c.host;
		hosts[i].state = find_state(r, req, c.host, skip_ejected);
		describe_host(r, &c, req, &hosts[i]);
		if (hosts[i].state == ROUTER_CANDIDATE)
			g_array_append_val(candidates, c);
	}
	least_ms = mark_refusing(r, req, candidates, hosts, n);
	mark_cheapest(hosts, n);
	memset(forecast, 0, sizeof(*forecast));
	forecast->policy = r->settings.policy;
	fill_forecast(candidates, least_ms, req, forecast);
	g_array_free(candidates, TRUE);
	g_free(stats);
}
