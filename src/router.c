#include "router_state.h"

#include "fescue/error.h"

#include <math.h>
#include <string.h>

#define CLEARLY_CHEAPER 0.8
#define EJECTED_SHARE_MAX 2 /* at most one in this many */
#define SERVICE_INITIAL_MS 10.0 /* before any call has ended */
/*
 * What is known of a host is old when many entry nodes send to it: each looks
 * at a few hosts only, or all would send to the same one.
 */
#define SAMPLE 2
#define SAMPLE_ALL_MAX 3 /* so few hosts are all looked at */
/* Of a side of the fleet, against one host that has just told its load. */
#define NO_NEWS_WEIGHT 0.25
#define ROOM_LIKELY 0.5
/* A host whose slots are nearly all taken is slower than an idle one. */
#define CROWDING_WEIGHT 0.3
/* Costs this close are equal: entry nodes must not all pick the same host. */
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

struct candidate {
	const struct snapshot_host *host;
	struct host_evidence *evidence;
};

struct router *router_create(const struct router_settings *settings,
			     uint32_t seed)
{
	struct router *r = g_new0(struct router, 1);

	r->settings = *settings;
	r->random = g_rand_new_with_seed(seed);
	r->evidence = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	return r;
}

void router_destroy(struct router *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->evidence);
	g_rand_free(r->random);
	g_free(r);
}

static double candidate_cost(const struct router *r, const struct candidate *c,
			     uint64_t now_ms)
{
	double slots = MAX(c->host->slots, 1);
	double load = MAX((double)c->evidence->outstanding,
			  evidence_load(r, c->evidence, now_ms));

	return (load + 1) * evidence_latency(r, c->evidence, now_ms) /
	       (slots * evidence_slow_start(r, c->evidence, now_ms));
}

static int has_room(const struct router *r, const struct candidate *c,
		    uint64_t now_ms)
{
	double share = evidence_slow_start(r, c->evidence, now_ms);
	double room = c->host->slots * share;

	return c->evidence->outstanding < room &&
	       evidence_load(r, c->evidence, now_ms) < room;
}

static int is_excluded(uint64_t address, const uint64_t *excluded, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (excluded[i] == address)
			return 1;
	return 0;
}

static size_t count_ejected(struct router *r, const struct snapshot *snapshot,
			    struct service_handle service, uint64_t now_ms)
{
	size_t n = snapshot_service_host_count(snapshot, service);
	size_t ejected = 0;

	for (size_t i = 0; i < n; i++)
		ejected += (size_t)router_is_ejected(
			r, snapshot_service_host(snapshot, service, i)->host,
			now_ms);
	return ejected;
}

/* Hosts that may get the call; ejected ones only when too many are. */
static GArray *find_candidates(struct router *r,
			       const struct router_question *q)
{
	size_t n = snapshot_service_host_count(q->snapshot, q->service);
	size_t ejected = count_ejected(r, q->snapshot, q->service, q->now_ms);
	int honour = ejected * EJECTED_SHARE_MAX <= n;
	GArray *candidates = g_array_sized_new(
		FALSE, FALSE, sizeof(struct candidate), (guint)n);

	for (size_t i = 0; i < n; i++) {
		struct candidate c;

		c.host = snapshot_service_host(q->snapshot, q->service, i);
		if (is_excluded(c.host->host, q->excluded, q->excluded_count))
			continue;
		if (honour && router_is_ejected(r, c.host->host, q->now_ms))
			continue;
		c.evidence = router_get_evidence(r, c.host->host, q->now_ms);
		g_array_append_val(candidates, c);
	}
	r->warm = 1;
	return candidates;
}

/*
 * Keep only the hosts with room, of the given domain or of any when domain
 * is NULL. Returns 0, and keeps all, when there are none.
 */
static int keep_roomy(struct router *r, GArray *candidates, const char *domain,
		      uint64_t now_ms)
{
	guint kept = 0;

	for (guint i = 0; i < candidates->len; i++) {
		struct candidate *c =
			&g_array_index(candidates, struct candidate, i);
		struct candidate swap;

		if ((domain && strcmp(c->host->failure_domain, domain)) ||
		    !has_room(r, c, now_ms))
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

static const struct candidate *candidate_at(const GArray *candidates, guint i)
{
	return &g_array_index(candidates, struct candidate, i);
}

/* The cheaper of two different random candidates. */
static const struct candidate *
two_choices(struct router *r, const GArray *candidates, uint64_t now_ms)
{
	guint n = candidates->len;
	guint i = (guint)g_rand_int_range(r->random, 0, (gint)n);
	guint j;
	const struct candidate *a = candidate_at(candidates, i), *b;

	if (n == 1)
		return a;
	j = (i + (guint)g_rand_int_range(r->random, 1, (gint)n)) % n;
	b = candidate_at(candidates, j);
	/* Small differences are noise: they must not send all to one host. */
	return candidate_cost(r, b, now_ms) <
			       candidate_cost(r, a, now_ms) * CLEARLY_CHEAPER ?
		       b :
		       a;
}

/*
 * Time until a call gets a slot: as its rank was told to wait, and for what
 * was sent since; by the calls there alone if the host did not tell.
 */
static double expected_wait(const struct router *r,
			    const struct host_evidence *e,
			    const struct router_question *q, double service_ms,
			    double by_load)
{
	double age = (double)(q->now_ms - e->load_at_ms);
	double factor = exp2(-age / r->settings.load_half_life_ms);
	uint32_t rank = MIN(q->rank, RULES_RANK_LEVELS - 1);
	double slots = MAX(e->load.slots, 1);
	double told, since;

	if (by_load <= 0 || !e->load.has_waits)
		return MAX(by_load, 0);
	told = e->load.waits_ms[rank] * factor;
	since = service_ms * e->sent_since / slots;
	return MIN(told + since, by_load);
}

static int is_own_domain(const struct candidate *c,
			 const struct router_question *q)
{
	return !strcmp(c->host->failure_domain, q->own_domain);
}

/* Time until a call sent now would have a slot, and its time in there. */
static double expected_times(const struct router *r, const struct candidate *c,
			     const struct router_question *q, double *service)
{
	const struct host_evidence *e = c->evidence;
	double mean_ms = q->service_ms ? q->service_ms : SERVICE_INITIAL_MS;
	double slots =
		MAX(c->host->slots, 1) * evidence_slow_start(r, e, q->now_ms);
	double load = MAX((double)e->outstanding,
			  evidence_load(r, e, q->now_ms) + e->sent_since);
	double crowding = MIN(load / slots, 1.0), ms;

	ms = mean_ms * evidence_pace(r, e, q->now_ms);
	*service = ms * (1 + CROWDING_WEIGHT * crowding * crowding);
	return expected_wait(r, e, q, ms, ms * (load + 1 - slots) / slots);
}

/* Time until a call sent now would be answered, and what else it costs. */
static double expected_cost(const struct router *r, const struct candidate *c,
			    const struct router_question *q)
{
	double service, cost = expected_times(r, c, q, &service);

	cost += service;
	cost += evidence_failing(r, c->evidence, q->now_ms) *
		r->settings.failure_cost_ms;
	if (!is_own_domain(c, q))
		cost += r->settings.cross_domain_ms +
			r->settings.cross_domain_ms_per_kb * q->kilobytes;
	return cost;
}

/* Keep a random sample of the own domain's hosts and one of the others. */
static void sample(struct router *r, GArray *candidates,
		   const struct router_question *q)
{
	guint left[2] = { 0, 0 }, wanted[2], kept = 0;

	for (guint i = 0; i < candidates->len; i++)
		left[is_own_domain(candidate_at(candidates, i), q)]++;
	for (int own = 0; own < 2; own++)
		wanted[own] = left[own] <= SAMPLE_ALL_MAX ? left[own] : SAMPLE;
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate c = *candidate_at(candidates, i);
		int own = is_own_domain(&c, q);
		guint drawn = (guint)g_rand_int_range(r->random, 0,
						      (gint)left[own]--);

		/* Selection sampling: each subset is equally likely. */
		if (drawn >= wanted[own])
			continue;
		wanted[own]--;
		g_array_index(candidates, struct candidate, kept++) = c;
	}
	g_array_set_size(candidates, kept);
}

/* One of the cheapest hosts, at random. */
static const struct candidate *cheapest(struct router *r,
					const GArray *candidates,
					const struct router_question *q)
{
	double *costs = g_new(double, candidates->len);
	double least = HUGE_VAL;
	const struct candidate *chosen = NULL;
	guint32 equals = 0;

	for (guint i = 0; i < candidates->len; i++) {
		costs[i] = expected_cost(r, candidate_at(candidates, i), q);
		least = MIN(least, costs[i]);
	}
	for (guint i = 0; i < candidates->len; i++) {
		if (costs[i] > least * EQUAL_COST_FACTOR + EQUAL_COST_MS)
			continue;
		if (!g_rand_int_range(r->random, 0, (gint32)++equals))
			chosen = candidate_at(candidates, i);
	}
	g_free(costs);
	return chosen;
}

static const struct candidate *pick(struct router *r, GArray *candidates,
				    const struct router_question *q)
{
	switch (r->settings.policy) {
	case ROUTER_COST:
		sample(r, candidates, q);
		return cheapest(r, candidates, q);
	case ROUTER_RANDOM:
		return candidate_at(candidates, (guint)g_rand_int_range(
							r->random, 0,
							(gint)candidates->len));
	case ROUTER_TWO_CHOICES:
		break;
	}
	if (!keep_roomy(r, candidates, q->own_domain, q->now_ms))
		keep_roomy(r, candidates, NULL, q->now_ms);
	return two_choices(r, candidates, q->now_ms);
}

int router_choose(struct router *r, const struct router_question *q,
		  uint64_t *host)
{
	GArray *candidates = find_candidates(r, q);
	const struct candidate *chosen;

	if (!candidates->len) {
		g_array_free(candidates, TRUE);
		return FESCUE_ENOTFOUND;
	}
	chosen = pick(r, candidates, q);
	*host = chosen->host->host;
	g_array_free(candidates, TRUE);
	return FESCUE_OK;
}

void router_explain(struct router *r, const struct router_question *q,
		    uint64_t host, struct router_reason *reason)
{
	GArray *candidates = find_candidates(r, q);
	double service;

	memset(reason, 0, sizeof(*reason));
	reason->candidates = candidates->len;
	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *c = candidate_at(candidates, i);

		if (c->host->host != host)
			continue;
		reason->cost_ms = expected_cost(r, c, q);
		reason->wait_ms = expected_times(r, c, q, &service);
		reason->failing = evidence_failing(r, c->evidence, q->now_ms);
		if (c->evidence->load_at_ms)
			reason->age_ms = q->now_ms - c->evidence->load_at_ms;
	}
	g_array_free(candidates, TRUE);
}

/*
 * How likely a host of one side, the own domain or the others, has a free slot:
 * the share of those that told so, the latest answers counting most. Silence
 * counts as room, with little weight: a side without news is tried at times.
 */
static double likely_room(const struct router *r, const GArray *candidates,
			  const struct router_question *q, uint64_t except,
			  int own)
{
	double roomy = NO_NEWS_WEIGHT, all = NO_NEWS_WEIGHT;
	int any = 0;

	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *c = candidate_at(candidates, i);
		const struct host_evidence *e = c->evidence;
		double age = (double)(q->now_ms - e->load_at_ms);
		double weight = exp2(-age / r->settings.load_half_life_ms);

		if (c->host->host == except || is_own_domain(c, q) != own)
			continue;
		any = 1;
		if (!e->load.slots)
			continue;
		all += weight;
		if (e->load.in_use + e->load.queued + e->sent_since <
		    e->load.slots)
			roomy += weight;
	}
	return any ? roomy / all : 0;
}

/* May another host than this one take the call at once? */
static int another_has_room(struct router *r, const struct router_question *q,
			    uint64_t host)
{
	GArray *candidates = find_candidates(r, q);
	double room = MAX(likely_room(r, candidates, q, host, 1),
			  likely_room(r, candidates, q, host, 0));

	g_array_free(candidates, TRUE);
	return room > ROOM_LIKELY;
}

/* By its latest answer and what was sent since, a slot is free there. */
static int seems_free(const struct router *r, uint64_t host, uint64_t now_ms)
{
	const struct host_evidence *e = router_find_evidence(r, host);

	return !e ||
	       evidence_load(r, e, now_ms) + e->sent_since < e->load.slots;
}

uint32_t router_wait_max(struct router *r, const struct router_question *q,
			 uint64_t host, uint32_t limit_ms)
{
	double service = q->service_ms ? q->service_ms : SERVICE_INITIAL_MS;
	double in_time = q->latency_ms - service * CALL_IN_TIME_FACTOR;

	if (in_time <= 0 || in_time >= limit_ms ||
	    seems_free(r, host, q->now_ms) || !another_has_room(r, q, host))
		return limit_ms;
	return (uint32_t)in_time;
}
