#include "account_stats.h"

#include "kind_stats.h"

#include <glib.h>
#include <math.h>

#define ACCOUNTS_MAX 1000
#define KINDS_MAX 256 /* rules versions add and remove routes */
#define REFRESH_MS 20
/* Longer than for accounts, so that calls of rare kinds are counted as well. */
#define KIND_HALF_LIFE_MS 5000.0
/* Of kinds whose service time is not known yet. */
#define SERVICE_DEFAULT_US 1000.0
/* Entries with less than this are removed. */
#define IDLE_US 100.0
#define IDLE_CALLS 0.01

/*
 * An account has used clearly more than its share if it got more than twice
 * the mean of the accounts, and a twentieth of all: single calls of many small
 * accounts differ by that much.
 */
#define OVER_MEAN_FACTOR 2.0
#define OVER_TOTAL_MIN 0.05
/*
 * It is not held back below half of the served part of all calls, nor is a kind
 * of calls left below two fifths of it: no account or kind is to fall below a
 * quarter.
 */
#define HELD_BACK_MIN 0.5
#define STARVED_MAX 0.4
/* Calls of a kind that show that it is starved, not only unlucky. */
#define STARVED_EVIDENCE_CALLS 3.0
/* Calls without an account go first only while they use less of the work. */
#define NESTED_FIRST_MAX 0.75

/* Decaying sums: service times in us of an account, or calls of a kind. */
struct demand {
	double offered, granted;
	uint32_t level; /* rank level of the last call */
	int is_over; /* of an account: has used more than its share */
	int starves; /* of a kind */
};

struct account_stats {
	GHashTable *accounts, *kinds; /* id -> struct demand */
	struct demand total; /* of the calls with an account */
	struct demand others; /* of the calls without an account */
	struct demand all; /* for comparison with kinds */
	double others_by_level_us[RULES_RANK_LEVELS]; /* granted to those */
	double fair_work_us[RULES_RANK_LEVELS];
	int several; /* accounts */
	int nested_first;
	uint64_t refreshed_ms;
};

struct account_stats *account_stats_create(void)
{
	struct account_stats *stats = g_new0(struct account_stats, 1);

	stats->accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	stats->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return stats;
}

void account_stats_destroy(struct account_stats *stats)
{
	if (!stats)
		return;
	g_hash_table_destroy(stats->accounts);
	g_hash_table_destroy(stats->kinds);
	g_free(stats);
}

static struct demand *find(GHashTable *table, uint32_t id)
{
	return g_hash_table_lookup(table, GUINT_TO_POINTER(id));
}

static void remove_smallest(GHashTable *table)
{
	double smallest_us = INFINITY;
	gpointer key, value, smallest = NULL;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct demand *d = value;

		if (d->offered >= smallest_us)
			continue;
		smallest_us = d->offered;
		smallest = key;
	}
	g_hash_table_remove(table, smallest);
}

static struct demand *find_or_add(GHashTable *table, uint32_t id, guint max)
{
	struct demand *d = find(table, id);

	if (d)
		return d;
	if (g_hash_table_size(table) >= max)
		remove_smallest(table);
	d = g_new0(struct demand, 1);
	g_hash_table_insert(table, GUINT_TO_POINTER(id), d);
	return d;
}

static void add_offer(struct demand *d, const struct admission_call *call,
		      double amount)
{
	d->offered += amount;
	d->level = rules_rank_level(call->rank);
}

void account_stats_record_offer(struct account_stats *stats,
				const struct admission_call *call,
				double service_us)
{
	double us = service_us > 0 ? service_us : SERVICE_DEFAULT_US;

	add_offer(find_or_add(stats->kinds, call->kind, KINDS_MAX), call, 1);
	add_offer(&stats->all, call, 1);
	if (!call->account) {
		add_offer(&stats->others, call, us);
		return;
	}
	add_offer(&stats->total, call, us);
	add_offer(find_or_add(stats->accounts, call->account, ACCOUNTS_MAX),
		  call, us);
}

void account_stats_record_grant(struct account_stats *stats,
				const struct admission_call *call,
				double service_us)
{
	double us = service_us > 0 ? service_us : SERVICE_DEFAULT_US;

	find_or_add(stats->kinds, call->kind, KINDS_MAX)->granted++;
	stats->all.granted++;
	if (!call->account) {
		stats->others.granted += us;
		stats->others_by_level_us[rules_rank_level(call->rank)] += us;
		return;
	}
	stats->total.granted += us;
	find_or_add(stats->accounts, call->account, ACCOUNTS_MAX)->granted +=
		us;
}

static void decay(struct demand *d, double factor)
{
	d->offered *= factor;
	d->granted *= factor;
}

static void decay_table(GHashTable *table, double factor, double idle)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct demand *d = value;

		decay(d, factor);
		if (d->offered < idle && d->granted < idle)
			g_hash_table_iter_remove(&iter);
	}
}

static double served_part(const struct demand *d)
{
	return d->offered > 0 ? d->granted / d->offered : 1;
}

static void judge_accounts(struct account_stats *stats)
{
	const struct demand *total = &stats->total;
	double n = g_hash_table_size(stats->accounts);
	double limit_us = MAX(total->granted / MAX(n, 1) * OVER_MEAN_FACTOR,
			      total->granted * OVER_TOTAL_MIN);
	GHashTableIter iter;
	gpointer value;

	stats->several = n > 1;
	g_hash_table_iter_init(&iter, stats->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct demand *d = value;

		d->is_over = d->granted > limit_us &&
			     served_part(d) >
				     served_part(total) * HELD_BACK_MIN;
		if (!d->is_over)
			stats->fair_work_us[d->level] += d->granted;
	}
}

static void judge_kinds(struct account_stats *stats)
{
	double granted = stats->total.granted + stats->others.granted;
	GHashTableIter iter;
	gpointer value;

	stats->nested_first = stats->others.granted <=
			      granted * NESTED_FIRST_MAX;
	g_hash_table_iter_init(&iter, stats->kinds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct demand *d = value;

		d->starves = d->offered > STARVED_EVIDENCE_CALLS &&
			     served_part(d) <
				     served_part(&stats->all) * STARVED_MAX;
	}
}

void account_stats_refresh(struct account_stats *stats, uint64_t now_ms)
{
	double age_ms = (double)(now_ms - MIN(now_ms, stats->refreshed_ms));
	double factor = exp2(-age_ms / GRANTED_WORK_HALF_LIFE_MS);

	if (now_ms < stats->refreshed_ms + REFRESH_MS)
		return;
	stats->refreshed_ms = now_ms;
	decay(&stats->total, factor);
	decay(&stats->others, factor);
	decay_table(stats->accounts, factor, IDLE_US);
	for (size_t i = 0; i < RULES_RANK_LEVELS; i++) {
		stats->others_by_level_us[i] *= factor;
		stats->fair_work_us[i] = stats->others_by_level_us[i];
	}
	factor = exp2(-age_ms / KIND_HALF_LIFE_MS);
	decay(&stats->all, factor);
	decay_table(stats->kinds, factor, IDLE_CALLS);
	judge_accounts(stats);
	judge_kinds(stats);
}

enum account_precedence
account_stats_precedence(const struct account_stats *stats, uint32_t account)
{
	const struct demand *d;

	if (!stats->several)
		return PRECEDENCE_FAIR;
	if (!account)
		return stats->nested_first ? PRECEDENCE_NESTED :
					     PRECEDENCE_FAIR;
	d = find(stats->accounts, account);
	return d && d->is_over ? PRECEDENCE_OVER_SHARE : PRECEDENCE_FAIR;
}

int account_stats_has_several(const struct account_stats *stats)
{
	return stats->several;
}

int account_stats_starves(const struct account_stats *stats,
			  const struct admission_call *call)
{
	const struct demand *d = find(stats->kinds, call->kind);

	return stats->several && d && d->starves &&
	       account_stats_precedence(stats, call->account) !=
		       PRECEDENCE_OVER_SHARE;
}

double account_stats_fair_work_us(const struct account_stats *stats,
				  uint32_t level)
{
	return stats->fair_work_us[level];
}
