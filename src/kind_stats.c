#include "kind_stats.h"

#include <glib.h>
#include <math.h>

#define KINDS_MAX 256 /* rules versions add and remove routes */

struct kind {
	double service_us; /* moving average of the service time */
	uint32_t rank; /* of the last call granted; UINT32_MAX: none yet */
	double granted_us; /* recent work, decaying */
	uint64_t granted_updated_ms;
};

struct kind_stats {
	GHashTable *kinds; /* kind -> struct kind */
};

struct kind_stats *kind_stats_create(void)
{
	struct kind_stats *stats = g_new0(struct kind_stats, 1);

	stats->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return stats;
}

void kind_stats_destroy(struct kind_stats *stats)
{
	if (!stats)
		return;
	g_hash_table_destroy(stats->kinds);
	g_free(stats);
}

static struct kind *find_kind(const struct kind_stats *stats, uint32_t kind)
{
	return g_hash_table_lookup(stats->kinds, GUINT_TO_POINTER(kind));
}

void kind_stats_record_run(struct kind_stats *stats, uint32_t kind, double us)
{
	struct kind *k = find_kind(stats, kind);

	if (k) {
		k->service_us +=
			SERVICE_TIME_EWMA_WEIGHT * (us - k->service_us);
		return;
	}
	if (g_hash_table_size(stats->kinds) >= KINDS_MAX)
		g_hash_table_remove_all(stats->kinds);
	k = g_new0(struct kind, 1);
	k->service_us = us;
	k->rank = UINT32_MAX;
	g_hash_table_insert(stats->kinds, GUINT_TO_POINTER(kind), k);
}

static double decayed_work_us(const struct kind *k, uint64_t now_ms)
{
	double age = (double)(now_ms - k->granted_updated_ms);

	return k->granted_us * exp2(-age / GRANTED_WORK_HALF_LIFE_MS);
}

void kind_stats_record_grant(struct kind_stats *stats, uint32_t kind,
			     uint32_t rank, uint64_t now_ms)
{
	struct kind *k = find_kind(stats, kind);

	if (!k)
		return;
	k->granted_us = decayed_work_us(k, now_ms) + k->service_us;
	k->granted_updated_ms = now_ms;
	k->rank = rank;
}

double kind_stats_service_us(const struct kind_stats *stats, uint32_t kind)
{
	const struct kind *k = find_kind(stats, kind);

	return k ? k->service_us : 0;
}

double kind_stats_shorter_slots(const struct kind_stats *stats,
				double service_us, uint32_t rank,
				uint64_t now_ms)
{
	/* Granting w us of work each ms converges to w * half-life / ln 2. */
	double slot_us = 1000 * GRANTED_WORK_HALF_LIFE_MS / M_LN2;
	double work_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, stats->kinds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kind *k = value;

		if (k->rank <= rank && k->service_us < service_us)
			work_us += decayed_work_us(k, now_ms);
	}
	return work_us / slot_us;
}
