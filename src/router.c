#include "fescue/router.h"

#include "fescue/error.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#define LATENCY_WEIGHT 0.2
#define LATENCY_INITIAL_US 1000.0
#define SLOW_START_FLOOR 0.1
#define CLEARLY_CHEAPER 0.8
#define EJECTED_SHARE_MAX 2 /* at most one in this many */
#define EJECTION_DOUBLINGS_MAX 5
#define FAILURE_WEIGHT 0.15 /* of the latest result in the share that fails */
#define PACE_WEIGHT 0.2
#define SERVICE_INITIAL_MS 10.0 /* before any call has ended */
/*
 * What is known of a host is old when many entry nodes send to it: each looks
 * at a few hosts only, or all would send to the same one.
 */
#define SAMPLE 2
#define SAMPLE_ALL_MAX 3 /* so few hosts are all looked at */
/* Work times vary: with this part of the mean left most calls end in time. */
#define IN_TIME_FACTOR 1.5
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

static struct host_evidence *find_evidence(const struct router *r,
					   uint64_t address)
{
	return g_hash_table_lookup(r->evidence, &address);
}

static struct host_evidence *get_evidence(struct router *r, uint64_t address,
					  uint64_t now_ms)
{
	struct host_evidence *e = find_evidence(r, address);

	if (e)
		return e;
	e = g_new0(struct host_evidence, 1);
	e->address = address;
	e->latency_us = LATENCY_INITIAL_US;
	e->last_used_ms = now_ms;
	e->first_seen_ms = r->warm ? now_ms : 0;
	g_hash_table_insert(r->evidence, &e->address, e);
	return e;
}

/* Reported load, halved for each half-life since it was reported. */
static double aged_load(const struct router *r, const struct host_evidence *e,
			uint64_t now_ms)
{
	double age = (double)(now_ms - e->load_at_ms);
	double factor = exp2(-age / r->settings.load_half_life_ms);

	return (e->load.in_use + e->load.queued) * factor;
}

static double slow_start_share(const struct router *r,
			       const struct host_evidence *e, uint64_t now_ms)
{
	uint64_t age = now_ms - e->first_seen_ms;
	double share;

	if (!e->first_seen_ms || age >= r->settings.slow_start_ms)
		return 1.0;
	share = (double)age / r->settings.slow_start_ms;
	return MAX(share, SLOW_START_FLOOR);
}

/* Latency seen, forgotten while the host is not used, so that it is tried. */
static double aged_latency(const struct router *r,
			   const struct host_evidence *e, uint64_t now_ms)
{
	double age = (double)(now_ms - e->last_used_ms);
	double factor = exp2(-age / r->settings.latency_half_life_ms);

	return LATENCY_INITIAL_US +
	       (e->latency_us - LATENCY_INITIAL_US) * factor;
}

static double candidate_cost(const struct router *r, const struct candidate *c,
			     uint64_t now_ms)
{
	double slots = MAX(c->host->slots, 1);
	double load = MAX((double)c->evidence->outstanding,
			  aged_load(r, c->evidence, now_ms));

	return (load + 1) * aged_latency(r, c->evidence, now_ms) /
	       (slots * slow_start_share(r, c->evidence, now_ms));
}

static int has_room(const struct router *r, const struct candidate *c,
		    uint64_t now_ms)
{
	double share = slow_start_share(r, c->evidence, now_ms);
	double room = c->host->slots * share;

	return c->evidence->outstanding < room &&
	       aged_load(r, c->evidence, now_ms) < room;
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
		c.evidence = get_evidence(r, c.host->host, q->now_ms);
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

/* The share of failures, forgotten with time so that a host is tried again. */
static double aged_failing(const struct router *r,
			   const struct host_evidence *e, uint64_t now_ms)
{
	double age = (double)(now_ms - e->failing_at_ms);

	return e->failing * exp2(-age / r->settings.failure_half_life_ms);
}

/* How slow the host is, forgotten while it is not used. */
static double aged_pace(const struct router *r, const struct host_evidence *e,
			uint64_t now_ms)
{
	double age = (double)(now_ms - e->load_at_ms);
	double factor = exp2(-age / r->settings.latency_half_life_ms);

	return e->pace ? 1 + (e->pace - 1) * factor : 1;
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
		MAX(c->host->slots, 1) * slow_start_share(r, e, q->now_ms);
	double load = MAX((double)e->outstanding,
			  aged_load(r, e, q->now_ms) + e->sent_since);
	double crowding = MIN(load / slots, 1.0), ms;

	ms = mean_ms * aged_pace(r, e, q->now_ms);
	*service = ms * (1 + CROWDING_WEIGHT * crowding * crowding);
	return expected_wait(r, e, q, ms, ms * (load + 1 - slots) / slots);
}

/* Time until a call sent now would be answered, and what else it costs. */
static double expected_cost(const struct router *r, const struct candidate *c,
			    const struct router_question *q)
{
	double service, cost = expected_times(r, c, q, &service);

	cost += service;
	cost += aged_failing(r, c->evidence, q->now_ms) *
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

/* One of the cheapest hosts, at random; NULL: none is worth its cost. */
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
	if (chosen)
		*host = chosen->host->host;
	g_array_free(candidates, TRUE);
	return chosen ? FESCUE_OK : FESCUE_ETIMEOUT;
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
		reason->failing = aged_failing(r, c->evidence, q->now_ms);
		if (c->evidence->load_at_ms)
			reason->age_ms = q->now_ms - c->evidence->load_at_ms;
	}
	g_array_free(candidates, TRUE);
}

/*
 * How likely a host of one side, the own domain or the others, has a free slot:
 * the share of those that lately told their load. What was never told is taken
 * for room, with little weight, so that a side without news is tried at times.
 */
static double likely_room(const struct router *r, const GArray *candidates,
			  const struct router_question *q, uint64_t but,
			  int own)
{
	double roomy = NO_NEWS_WEIGHT, all = NO_NEWS_WEIGHT;
	int any = 0;

	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *c = candidate_at(candidates, i);
		const struct host_evidence *e = c->evidence;
		double age = (double)(q->now_ms - e->load_at_ms);
		double weight = exp2(-age / r->settings.load_half_life_ms);

		if (c->host->host == but || is_own_domain(c, q) != own)
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
	const struct host_evidence *e = find_evidence(r, host);

	return !e || aged_load(r, e, now_ms) + e->sent_since < e->load.slots;
}

uint32_t router_wait_max(struct router *r, const struct router_question *q,
			 uint64_t host, uint32_t limit_ms)
{
	double service = q->service_ms ? q->service_ms : SERVICE_INITIAL_MS;
	double in_time = q->latency_ms - service * IN_TIME_FACTOR;

	if (in_time <= 0 || in_time >= limit_ms ||
	    seems_free(r, host, q->now_ms) || !another_has_room(r, q, host))
		return limit_ms;
	return (uint32_t)in_time;
}

void router_started(struct router *r, uint64_t host, uint64_t now_ms)
{
	struct host_evidence *e = get_evidence(r, host, now_ms);

	e->outstanding++;
	e->sent_since++;
	e->latency_us = aged_latency(r, e, now_ms);
	e->last_used_ms = now_ms;
}

static void eject(struct router *r, struct host_evidence *e, uint64_t now_ms)
{
	uint64_t ms;

	ms = (uint64_t)r->settings.ejection_ms
	     << MIN(e->ejections, EJECTION_DOUBLINGS_MAX);
	e->ejected_until_ms = now_ms + MIN(ms, r->settings.ejection_max_ms);
	e->ejections++;
	e->failures = 0;
}

static void note_result(struct router *r, struct host_evidence *e, int failed,
			uint64_t now_ms)
{
	e->failing = aged_failing(r, e, now_ms) * (1 - FAILURE_WEIGHT) +
		     FAILURE_WEIGHT * failed;
	e->failing_at_ms = now_ms;
}

static void record_failure(struct router *r, struct host_evidence *e,
			   uint64_t now_ms)
{
	note_result(r, e, 1, now_ms);
	if (r->settings.policy == ROUTER_COST)
		return;
	if (++e->failures >= r->settings.failures_to_eject)
		eject(r, e, now_ms);
}

/* A backend server that sheds while it has free slots is not well. */
static int refused_with_room(const struct router_load *load)
{
	return load && load->in_use + load->queued < load->slots;
}

static void note_pace(struct host_evidence *e, double pace)
{
	if (!pace)
		return;
	e->pace = e->pace ? e->pace + PACE_WEIGHT * (pace - e->pace) : pace;
}

void router_finished(struct router *r, uint64_t host, enum router_result result,
		     uint64_t latency_us, const struct router_load *load,
		     uint64_t now_ms)
{
	struct host_evidence *e = get_evidence(r, host, now_ms);

	assert(e->outstanding > 0);
	e->outstanding--;
	e->last_used_ms = now_ms;
	if (load) {
		if (e->pace)
			e->pace = aged_pace(r, e, now_ms);
		e->load = *load;
		e->load_at_ms = now_ms;
		e->sent_since = 0;
		note_pace(e, load->pace);
	}
	switch (result) {
	case ROUTER_ANSWERED:
		note_result(r, e, 0, now_ms);
		e->failures = 0;
		e->ejections = 0;
		e->latency_us +=
			LATENCY_WEIGHT * ((double)latency_us - e->latency_us);
		break;
	case ROUTER_FAILED:
		record_failure(r, e, now_ms);
		break;
	case ROUTER_UNREACHABLE:
		if (!router_is_ejected(r, host, now_ms))
			eject(r, e, now_ms);
		break;
	case ROUTER_REFUSED:
		if (refused_with_room(load))
			record_failure(r, e, now_ms);
		break;
	case ROUTER_CANCELED:
		break;
	}
}

uint32_t router_outstanding(const struct router *r, uint64_t host)
{
	const struct host_evidence *e = find_evidence(r, host);

	return e ? e->outstanding : 0;
}

int router_is_ejected(const struct router *r, uint64_t host, uint64_t now_ms)
{
	const struct host_evidence *e = find_evidence(r, host);

	return e && now_ms < e->ejected_until_ms;
}

void router_expire(struct router *r, uint64_t now_ms, uint64_t idle_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->evidence);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct host_evidence *e = value;

		if (!e->outstanding && now_ms > e->last_used_ms + idle_ms)
			g_hash_table_iter_remove(&iter);
	}
}
