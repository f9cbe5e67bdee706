#include "call_sizes.h"

#include <glib.h>

/* Headers of request and answer in frames, and those of TCP and IP. */
#define OVERHEAD_BYTES 700.0
#define BODY_DEFAULT_BYTES 500.0
#define WEIGHT 0.05
#define ROUTES_MAX 4096 /* routes come and go with versions */

struct call_sizes {
	GHashTable *bodies; /* route's prefix -> double, mean bytes */
};

struct call_sizes *call_sizes_create(void)
{
	struct call_sizes *sizes = g_new0(struct call_sizes, 1);

	sizes->bodies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      g_free);
	return sizes;
}

void call_sizes_destroy(struct call_sizes *sizes)
{
	if (!sizes)
		return;
	g_hash_table_destroy(sizes->bodies);
	g_free(sizes);
}

void call_sizes_note(struct call_sizes *sizes, const struct route_rule *route,
		     size_t body_bytes)
{
	double *mean = g_hash_table_lookup(sizes->bodies, route->prefix);

	if (mean) {
		*mean += WEIGHT * ((double)body_bytes - *mean);
		return;
	}
	if (g_hash_table_size(sizes->bodies) >= ROUTES_MAX)
		g_hash_table_remove_all(sizes->bodies);
	mean = g_new(double, 1);
	*mean = (double)body_bytes;
	g_hash_table_insert(sizes->bodies, g_strdup(route->prefix), mean);
}

double call_sizes_kilobytes(const struct call_sizes *sizes,
			    const struct route_rule *route)
{
	const double *mean = g_hash_table_lookup(sizes->bodies, route->prefix);

	return (OVERHEAD_BYTES + (mean ? *mean : BODY_DEFAULT_BYTES)) / 1000;
}
