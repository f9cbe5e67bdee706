#include "src/rollout_verdict.h"

#include <math.h>
#include <string.h>

/*
 * A backend server is an outlier if this share of its answers is bad, and more
 * than this multiple of the median server's: what all have is the version's.
 */
#define OUTLIER_SHARE 0.3
#define OUTLIER_MULTIPLE 1.6
#define OUTLIER_SHARE_MAX 0.95 /* above it always */
/* Bad answers, beyond those of outliers, that a verdict needs. */
#define BAD_MIN 5
#define SUSPECT_MIN 3
/*
 * They must come from this share of the version's backend servers: with a few
 * answers of each, some failing servers look like a bad version.
 */
#define SERVER_SHARE_MIN 0.3
#define SERVERS_NEEDED_MAX 15u
/*
 * Difference of the shares of bad answers. Servers that fail half of their few
 * answers are not all known as outliers, and leave up to 0.06.
 */
#define DIFFERENCE_MIN 0.08
#define MULTIPLE_MIN 1.4
/*
 * Standard errors between the two shares. A roll-out is judged some 200 times;
 * 4 keeps the chance of a wrong verdict in it below one in a hundred.
 */
#define ERRORS_BAD 4.0
#define ERRORS_SUSPECT 2.5
/* A baseline of fewer answers does not replace an earlier one. */
#define BASELINE_MIN 20
/* Kinds of a smaller share of the old version's answers need no evidence. */
#define KIND_SHARE_MIN 0.05
/* For a kind that the old version was never seen to answer. */
static const struct rollout_baseline unknown_baseline = { 0, 20, 2 };
/* The same for a leader that took over when the old version got no calls. */
static const struct rollout_baseline full_baseline = { 0, 20, 8 };

static int compare_rows(gconstpointer left, gconstpointer right)
{
	const struct rollout_row *a = left;
	const struct rollout_row *b = right;

	if (a->is_new != b->is_new)
		return a->is_new < b->is_new ? -1 : 1;
	if (a->kind != b->kind)
		return a->kind < b->kind ? -1 : 1;
	if (a->server != b->server)
		return a->server < b->server ? -1 : 1;
	return 0;
}

/* Adds up the rows of the same server, kind and version. */
static void merge_rows(GArray *rows)
{
	struct rollout_row *all = (struct rollout_row *)(void *)rows->data;
	guint kept = 0;

	g_array_sort(rows, compare_rows);
	for (guint i = 0; i < rows->len; i++) {
		if (kept && compare_rows(&all[kept - 1], &all[i]) == 0) {
			all[kept - 1].answers += all[i].answers;
			all[kept - 1].failures += all[i].failures;
			all[kept - 1].slow += all[i].slow;
		} else {
			all[kept++] = all[i];
		}
	}
	g_array_set_size(rows, kept);
}

static uint32_t bad_of(const struct rollout_row *row)
{
	return MIN(row->failures + row->slow, row->answers);
}

static double share_of(const struct rollout_row *row)
{
	return (double)bad_of(row) / MAX(row->answers, 1);
}

/* The answers to one kind at the servers of one version. */
struct kind_result {
	uint32_t kind;
	uint32_t answers; /* without outliers */
	uint32_t bad;
	uint32_t all_answers;
	uint32_t bad_servers; /* outliers included */
};

static int compare_badness(const void *left, const void *right)
{
	const struct rollout_row *a = left;
	const struct rollout_row *b = right;
	double a_share = share_of(a);
	double b_share = share_of(b);

	if (a_share != b_share)
		return a_share > b_share ? -1 : 1;
	if (a->answers != b->answers)
		return a->answers > b->answers ? -1 : 1;
	return 0;
}

static void sum_kind(struct rollout_row *rows, guint count,
		     struct kind_result *result)
{
	guint outliers_max = (guint)(ROLLOUT_OUTLIERS * count);
	double limit;

	memset(result, 0, sizeof(*result));
	result->kind = rows->kind;
	qsort(rows, count, sizeof(*rows), compare_badness);
	limit = CLAMP(OUTLIER_MULTIPLE * share_of(&rows[count / 2]),
		      OUTLIER_SHARE, OUTLIER_SHARE_MAX);
	for (guint i = 0; i < count; i++) {
		uint32_t bad = bad_of(&rows[i]);

		result->all_answers += rows[i].answers;
		result->bad_servers += bad > 0;
		if (i < outliers_max && share_of(&rows[i]) >= limit)
			continue;
		result->answers += rows[i].answers;
		result->bad += bad;
	}
}

/* Returns the end of the run of rows with the version and kind of the first. */
static guint run_end(const struct rollout_row *rows, guint first, guint count)
{
	guint end = first + 1;

	while (end < count && rows[end].is_new == rows[first].is_new &&
	       rows[end].kind == rows[first].kind)
		end++;
	return end;
}

static struct rollout_baseline *
find_baseline(const struct rollout_baselines *baselines, uint32_t kind)
{
	for (guint i = 0; i < baselines->kinds->len; i++) {
		struct rollout_baseline *baseline = &g_array_index(
			baselines->kinds, struct rollout_baseline, i);

		if (baseline->kind == kind)
			return baseline;
	}
	return NULL;
}

static void set_baseline(struct rollout_baselines *baselines,
			 const struct kind_result *result)
{
	struct rollout_baseline *baseline =
		find_baseline(baselines, result->kind);
	struct rollout_baseline value = { result->kind, result->answers,
					  result->bad };

	if (!baseline)
		g_array_append_val(baselines->kinds, value);
	else if (result->answers >= BASELINE_MIN ||
		 result->answers >= baseline->answers)
		*baseline = value;
}

/* Standard errors by which the new share is above the old one. */
static double errors_above(const struct kind_result *result,
			   const struct rollout_baseline *baseline,
			   double *new_share, double *old_share)
{
	double new_count = result->answers;
	double old_count = baseline->answers + 1;
	double pooled;

	*new_share = result->bad / MAX(new_count, 1);
	/* Half a bad answer in one more: none in a few proves little. */
	*old_share = (baseline->bad + 0.5) / old_count;
	if (new_count < 1)
		return 0;
	pooled = (result->bad + baseline->bad + 0.5) / (new_count + old_count);
	return (*new_share - *old_share) /
	       sqrt(pooled * (1 - pooled) * (1 / new_count + 1 / old_count) +
		    1e-9);
}

static void judge_kind(const struct kind_result *result,
		       const struct rollout_baseline *baseline,
		       uint32_t servers_min, struct rollout_verdict *verdict)
{
	enum rollout_judgement judgement = ROLLOUT_GOOD;
	double new_share;
	double old_share;
	double errors = errors_above(result, baseline, &new_share, &old_share);

	if (result->bad_servers < servers_min ||
	    new_share < MULTIPLE_MIN * old_share + DIFFERENCE_MIN)
		return;
	if (result->bad >= BAD_MIN && errors >= ERRORS_BAD)
		judgement = ROLLOUT_BAD;
	else if (result->bad >= SUSPECT_MIN && errors >= ERRORS_SUSPECT)
		judgement = ROLLOUT_SUSPECT;
	if (judgement <= verdict->judgement)
		return;
	verdict->judgement = judgement;
	verdict->kind = result->kind;
	verdict->new_share = new_share;
	verdict->old_share = old_share;
}

static uint32_t servers_needed(uint32_t server_count)
{
	uint32_t needed = (uint32_t)ceil(SERVER_SHARE_MIN * server_count);

	if (server_count == 1)
		return 1;
	return CLAMP(needed, 2, SERVERS_NEEDED_MAX);
}

/* Counts the kinds with traffic that the new version has not answered. */
static uint32_t count_missing(const struct rollout_row *rows, guint count)
{
	uint32_t missing = 0;
	double total = 0;

	for (guint i = 0; i < count && !rows[i].is_new; i++)
		total += rows[i].answers;
	for (guint first = 0; first < count && !rows[first].is_new;) {
		guint end = run_end(rows, first, count);
		double answers = 0;
		int is_answered = 0;

		for (guint i = first; i < end; i++)
			answers += rows[i].answers;
		for (guint i = end; i < count && !is_answered; i++)
			is_answered = rows[i].is_new &&
				      rows[i].kind == rows[first].kind;
		missing += !is_answered && answers >= KIND_SHARE_MIN * total;
		first = end;
	}
	return missing;
}

void rollout_judge(GArray *rows, uint32_t server_count, int is_full,
		   struct rollout_baselines *baselines,
		   struct rollout_verdict *verdict)
{
	int keeps_baselines = is_full && baselines->kinds->len &&
			      !baselines->is_of_full;
	struct rollout_row *all;
	guint end;

	if (!keeps_baselines)
		baselines->is_of_full = is_full;
	memset(verdict, 0, sizeof(*verdict));
	merge_rows(rows);
	all = (struct rollout_row *)(void *)rows->data;
	verdict->kinds_without_evidence = count_missing(all, rows->len);
	/* The rows of the old version come first. */
	for (guint first = 0; first < rows->len; first = end) {
		const struct rollout_baseline *baseline;
		struct kind_result result;
		uint32_t is_new = all[first].is_new;

		end = run_end(all, first, rows->len);
		sum_kind(&all[first], end - first, &result);
		if (!is_new) {
			if (!keeps_baselines)
				set_baseline(baselines, &result);
			continue;
		}
		verdict->new_answers += result.all_answers;
		baseline = find_baseline(baselines, result.kind);
		if (!baseline)
			baseline = is_full ? &full_baseline : &unknown_baseline;
		judge_kind(&result, baseline, servers_needed(server_count),
			   verdict);
	}
}
