/* Per-host statistics from the results of own calls. */
#include "router_state.h"

#include <assert.h>
#include <math.h>

/* Weights of the latest value in the moving averages. */
#define LATENCY_WEIGHT 0.2
#define FAILURE_WEIGHT 0.15
#define SERVICE_TIME_RATIO_WEIGHT 0.2
#define LATENCY_DEFAULT_US 1000.0
#define SLOW_START_SHARE_MIN 0.1
#define EJECTION_DOUBLINGS_MAX 5

struct host_stats *router_find_host_stats(const struct router *r,
					  uint64_t address)
{
	return g_hash_table_lookup(r->stats, &address);
}

void host_stats_init(const struct router *r, struct host_stats *s,
		     uint64_t address, uint64_t now_ms)
{
	*s = (struct host_stats){
		.address = address,
		.latency_us = LATENCY_DEFAULT_US,
		.last_used_ms = now_ms,
		.slow_start_began_ms = r->first_hosts_seen ? now_ms : 0,
	};
}

struct host_stats *router_get_host_stats(struct router *r, uint64_t address,
					 uint64_t now_ms)
{
	struct host_stats *s = router_find_host_stats(r, address);

	if (s)
		return s;
	s = g_new(struct host_stats, 1);
	host_stats_init(r, s, address, now_ms);
	g_hash_table_insert(r->stats, &s->address, s);
	return s;
}

double host_stats_report_weight(const struct router *r,
				const struct host_stats *s, uint64_t now_ms)
{
	double age = (double)(now_ms - s->load_reported_ms);

	return exp2(-age / r->settings.load_half_life_ms);
}

double host_stats_load(const struct router *r, const struct host_stats *s,
		       uint64_t now_ms)
{
	return (s->load.in_use + s->load.queued) *
	       host_stats_report_weight(r, s, now_ms);
}

double host_stats_slow_start_share(const struct router *r,
				   const struct host_stats *s, uint64_t now_ms)
{
	uint64_t age = now_ms - s->slow_start_began_ms;
	double share;

	if (!s->slow_start_began_ms || age >= r->settings.slow_start_ms)
		return 1.0;
	share = (double)age / r->settings.slow_start_ms;
	return MAX(share, SLOW_START_SHARE_MIN);
}

double host_stats_latency_us(const struct router *r, const struct host_stats *s,
			     uint64_t now_ms)
{
	double age = (double)(now_ms - s->last_used_ms);
	double factor = exp2(-age / r->settings.latency_half_life_ms);

	return LATENCY_DEFAULT_US +
	       (s->latency_us - LATENCY_DEFAULT_US) * factor;
}

double host_stats_failure_rate(const struct router *r,
			       const struct host_stats *s, uint64_t now_ms)
{
	double age = (double)(now_ms - s->failure_rate_updated_ms);

	return s->failure_rate * exp2(-age / r->settings.failure_half_life_ms);
}

double host_stats_service_time_ratio(const struct router *r,
				     const struct host_stats *s,
				     uint64_t now_ms)
{
	double age = (double)(now_ms - s->load_reported_ms);
	double factor = exp2(-age / r->settings.latency_half_life_ms);

	return s->service_time_ratio ?
		       1 + (s->service_time_ratio - 1) * factor :
		       1;
}

void router_started(struct router *r, uint64_t host, uint64_t now_ms)
{
	struct host_stats *s = router_get_host_stats(r, host, now_ms);

	s->outstanding++;
	s->sent_since_report++;
	s->latency_us = host_stats_latency_us(r, s, now_ms);
	s->last_used_ms = now_ms;
}

static void eject(struct router *r, struct host_stats *s, uint64_t now_ms)
{
	uint64_t ms;

	ms = (uint64_t)r->settings.ejection_ms
	     << MIN(s->consecutive_ejections, EJECTION_DOUBLINGS_MAX);
	s->ejected_until_ms = now_ms + MIN(ms, r->settings.ejection_max_ms);
	s->consecutive_ejections++;
	s->consecutive_failures = 0;
}

static void update_failure_rate(struct router *r, struct host_stats *s,
				int failed, uint64_t now_ms)
{
	s->failure_rate =
		host_stats_failure_rate(r, s, now_ms) * (1 - FAILURE_WEIGHT) +
		FAILURE_WEIGHT * failed;
	s->failure_rate_updated_ms = now_ms;
}

static void record_failure(struct router *r, struct host_stats *s,
			   uint64_t now_ms)
{
	update_failure_rate(r, s, 1, now_ms);
	if (r->settings.policy == ROUTER_COST)
		return;
	if (++s->consecutive_failures >= r->settings.failures_to_eject)
		eject(r, s, now_ms);
}

/* A backend server that refuses calls despite free slots is faulty. */
static int refused_with_free_slot(const struct router_load *load)
{
	return load && load->in_use + load->queued < load->slots;
}

static void update_service_time_ratio(struct host_stats *s, double ratio)
{
	if (!ratio)
		return;
	s->service_time_ratio =
		s->service_time_ratio ?
			s->service_time_ratio +
				SERVICE_TIME_RATIO_WEIGHT *
					(ratio - s->service_time_ratio) :
			ratio;
}

void router_finished(struct router *r, uint64_t host, enum router_result result,
		     uint64_t latency_us, const struct router_load *load,
		     uint64_t now_ms)
{
	struct host_stats *s = router_get_host_stats(r, host, now_ms);

	assert(s->outstanding > 0);
	s->outstanding--;
	s->last_used_ms = now_ms;
	if (load) {
		if (s->service_time_ratio)
			s->service_time_ratio =
				host_stats_service_time_ratio(r, s, now_ms);
		s->load = *load;
		s->load_reported_ms = now_ms;
		s->sent_since_report = 0;
		update_service_time_ratio(s, load->service_time_ratio);
	}
	switch (result) {
	case ROUTER_ANSWERED:
		update_failure_rate(r, s, 0, now_ms);
		s->consecutive_failures = 0;
		s->consecutive_ejections = 0;
		s->latency_us +=
			LATENCY_WEIGHT * ((double)latency_us - s->latency_us);
		break;
	case ROUTER_FAILED:
		record_failure(r, s, now_ms);
		break;
	case ROUTER_UNREACHABLE:
		if (!router_is_ejected(r, host, now_ms))
			eject(r, s, now_ms);
		break;
	case ROUTER_REFUSED:
		if (load && !load->slots)
			eject(r, s, now_ms);
		else if (refused_with_free_slot(load))
			record_failure(r, s, now_ms);
		break;
	case ROUTER_CANCELED:
		break;
	}
}

uint32_t router_outstanding(const struct router *r, uint64_t host)
{
	const struct host_stats *s = router_find_host_stats(r, host);

	return s ? s->outstanding : 0;
}

int router_is_ejected(const struct router *r, uint64_t host, uint64_t now_ms)
{
	const struct host_stats *s = router_find_host_stats(r, host);

	return s && now_ms < s->ejected_until_ms;
}

void router_expire(struct router *r, uint64_t now_ms, uint64_t idle_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->stats);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct host_stats *s = value;

		if (!s->outstanding && now_ms > s->last_used_ms + idle_ms)
			g_hash_table_iter_remove(&iter);
	}
}
