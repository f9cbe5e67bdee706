/*
 * Comparison of the two versions of a roll-out by the rows of all hosts.
 *
 * Each kind is judged on its own. Backend servers of either version that answer
 * badly most of the time are left out, up to ROLLOUT_OUTLIERS of them: some
 * failing servers must neither condemn a good version nor, among the old ones,
 * hide a bad one. The rest of the new version is bad if its share of bad
 * answers is higher than that of the old version's rest beyond chance.
 */
#ifndef FESCUE_ROLLOUT_VERDICT_H
#define FESCUE_ROLLOUT_VERDICT_H

#include "fescue/rollout.h"

#include <glib.h>

#define ROLLOUT_OUTLIERS 0.4

/* Bad answers of the old version at one kind. */
struct rollout_baseline {
	uint32_t kind;
	uint32_t answers;
	uint32_t bad;
};

/*
 * The last known baselines by kind. They remain when the old version gets no
 * calls any more.
 */
struct rollout_baselines {
	GArray *kinds; /* struct rollout_baseline */
	int is_of_full; /* of reports at the full share */
};

enum rollout_judgement {
	ROLLOUT_GOOD,
	ROLLOUT_SUSPECT, /* worse than the old version, perhaps by chance */
	ROLLOUT_BAD,
};

struct rollout_verdict {
	enum rollout_judgement judgement;
	uint32_t kind; /* the worst one, if it is not ROLLOUT_GOOD */
	double new_share; /* of bad answers, without outliers */
	double old_share;
	uint32_t new_answers; /* of all kinds, outliers included */
	/* Of the kinds that the old version answers, those with none yet. */
	uint32_t kinds_without_evidence;
};

/*
 * Judges the rows and updates the baselines. rows is reordered. server_count is
 * the number of the new version's backend servers, 0 if it is not known. With
 * is_full baselines of an earlier phase stay: of the last calls to the old
 * version, the fast failures are answered first.
 */
void rollout_judge(GArray *rows, uint32_t server_count, int is_full,
		   struct rollout_baselines *baselines,
		   struct rollout_verdict *verdict);

#endif
