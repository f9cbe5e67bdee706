#include "call_stats.h"

#include <glib.h>

/* Headers of request and answer in frames, plus TCP and IP headers. */
#define OVERHEAD_BYTES 300.0
#define BODY_DEFAULT_BYTES 500.0
#define SAMPLE_WEIGHT 0.02 /* of a new sample in the moving averages */
/* All are dropped at this number, as old versions of the rules leave some. */
#define ROUTE_STATS_MAX 4096

struct route_stats {
	double body_bytes; /* mean size of an answer's body */
	double service_us; /* mean service time; 0: unknown */
};

struct call_stats {
	GHashTable *routes; /* kind -> struct route_stats */
};

struct call_stats *call_stats_create(void)
{
	struct call_stats *stats = g_new0(struct call_stats, 1);

	stats->routes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return stats;
}

void call_stats_destroy(struct call_stats *stats)
{
	if (!stats)
		return;
	g_hash_table_destroy(stats->routes);
	g_free(stats);
}

static struct route_stats *find_route_stats(const struct call_stats *stats,
					    const struct route_rule *route)
{
	return g_hash_table_lookup(stats->routes,
				   GUINT_TO_POINTER(route->kind));
}

static struct route_stats *get_route_stats(struct call_stats *stats,
					   const struct route_rule *route)
{
	struct route_stats *s = find_route_stats(stats, route);

	if (s)
		return s;
	if (g_hash_table_size(stats->routes) >= ROUTE_STATS_MAX)
		g_hash_table_remove_all(stats->routes);
	s = g_new0(struct route_stats, 1);
	s->body_bytes = BODY_DEFAULT_BYTES;
	g_hash_table_insert(stats->routes, GUINT_TO_POINTER(route->kind), s);
	return s;
}

void call_stats_record_body_size(struct call_stats *stats,
				 const struct route_rule *route,
				 size_t body_bytes)
{
	struct route_stats *s = get_route_stats(stats, route);

	s->body_bytes += SAMPLE_WEIGHT * ((double)body_bytes - s->body_bytes);
}

double call_stats_record_service_time(struct call_stats *stats,
				      const struct route_rule *route,
				      uint32_t service_us)
{
	struct route_stats *s = get_route_stats(stats, route);

	if (!service_us)
		return 0;
	if (!s->service_us)
		s->service_us = service_us;
	s->service_us += SAMPLE_WEIGHT * ((double)service_us - s->service_us);
	return service_us / s->service_us;
}

double call_stats_expected_kilobytes(const struct call_stats *stats,
				     const struct route_rule *route)
{
	const struct route_stats *s = find_route_stats(stats, route);

	return (OVERHEAD_BYTES + (s ? s->body_bytes : BODY_DEFAULT_BYTES)) /
	       1000;
}

double call_stats_expected_service_ms(const struct call_stats *stats,
				      const struct route_rule *route)
{
	const struct route_stats *s = find_route_stats(stats, route);

	return s ? s->service_us / 1000 : 0;
}
