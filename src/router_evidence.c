/* What own calls have shown of each host. */
#include "router_state.h"

#include <assert.h>
#include <math.h>

#define LATENCY_WEIGHT 0.2
#define LATENCY_INITIAL_US 1000.0
#define SLOW_START_FLOOR 0.1
#define EJECTION_DOUBLINGS_MAX 5
#define FAILURE_WEIGHT 0.15 /* of the latest result in the share that fails */
#define PACE_WEIGHT 0.2

struct host_evidence *router_find_evidence(const struct router *r,
					   uint64_t address)
{
	return g_hash_table_lookup(r->evidence, &address);
}

struct host_evidence *router_get_evidence(struct router *r, uint64_t address,
					  uint64_t now_ms)
{
	struct host_evidence *e = router_find_evidence(r, address);

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

double evidence_load(const struct router *r, const struct host_evidence *e,
		     uint64_t now_ms)
{
	double age = (double)(now_ms - e->load_at_ms);
	double factor = exp2(-age / r->settings.load_half_life_ms);

	return (e->load.in_use + e->load.queued) * factor;
}

double evidence_slow_start(const struct router *r,
			   const struct host_evidence *e, uint64_t now_ms)
{
	uint64_t age = now_ms - e->first_seen_ms;
	double share;

	if (!e->first_seen_ms || age >= r->settings.slow_start_ms)
		return 1.0;
	share = (double)age / r->settings.slow_start_ms;
	return MAX(share, SLOW_START_FLOOR);
}

double evidence_latency(const struct router *r, const struct host_evidence *e,
			uint64_t now_ms)
{
	double age = (double)(now_ms - e->last_used_ms);
	double factor = exp2(-age / r->settings.latency_half_life_ms);

	return LATENCY_INITIAL_US +
	       (e->latency_us - LATENCY_INITIAL_US) * factor;
}

double evidence_failing(const struct router *r, const struct host_evidence *e,
			uint64_t now_ms)
{
	double age = (double)(now_ms - e->failing_at_ms);

	return e->failing * exp2(-age / r->settings.failure_half_life_ms);
}

double evidence_pace(const struct router *r, const struct host_evidence *e,
		     uint64_t now_ms)
{
	double age = (double)(now_ms - e->load_at_ms);
	double factor = exp2(-age / r->settings.latency_half_life_ms);

	return e->pace ? 1 + (e->pace - 1) * factor : 1;
}

void router_started(struct router *r, uint64_t host, uint64_t now_ms)
{
	struct host_evidence *e = router_get_evidence(r, host, now_ms);

	e->outstanding++;
	e->sent_since++;
	e->latency_us = evidence_latency(r, e, now_ms);
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
	e->failing = evidence_failing(r, e, now_ms) * (1 - FAILURE_WEIGHT) +
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
	struct host_evidence *e = router_get_evidence(r, host, now_ms);

	assert(e->outstanding > 0);
	e->outstanding--;
	e->last_used_ms = now_ms;
	if (load) {
		if (e->pace)
			e->pace = evidence_pace(r, e, now_ms);
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
	const struct host_evidence *e = router_find_evidence(r, host);

	return e ? e->outstanding : 0;
}

int router_is_ejected(const struct router *r, uint64_t host, uint64_t now_ms)
{
	const struct host_evidence *e = router_find_evidence(r, host);

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
