/*
 * What the files of the host side of roll-outs share: rollout.c decides,
 * rollout_evidence.c keeps the attempts and their results.
 */
#ifndef FESCUE_ROLLOUT_STATE_H
#define FESCUE_ROLLOUT_STATE_H

#include "fescue/rollout.h"

#include <glib.h>

#define ROLLOUT_VERSIONS_MAX 16
#define ROLLOUT_BANNED_MAX 4
#define ROLLOUT_KINDS_MAX 32
#define ROLLOUT_EVENTS_MAX 512

/* A version that has, or recently had, backend servers. */
struct known_version {
	uint32_t hash;
	uint32_t servers; /* up */
	uint64_t held_until_ms; /* 0: not held */
	uint64_t lost_ms; /* when its last server went, if servers is 0 */
};

/* Usual time of a kind at the old version: a running median. */
struct usual_time {
	uint32_t kind;
	uint32_t samples;
	double median_us;
};

/* An attempt that ended. */
struct rollout_event {
	/* When it ended, or became overdue if that was earlier. */
	uint64_t result_ms;
	uint64_t server;
	uint32_t version_hash;
	uint32_t kind;
	uint32_t failed;
	uint32_t slow;
};

struct rollout {
	char service[RULES_NAME_MAX_BYTES + 1];
	uint32_t seed;
	int has_state;
	int from_leader; /* the state is a lease */
	struct rollout_state state;
	uint64_t sent_ms; /* by the leader, on this host's clock */
	uint64_t deadline_ms;
	uint32_t target_hash;
	uint32_t serving_hash; /* last completed version; 0: not known */
	uint32_t banned[ROLLOUT_BANNED_MAX]; /* rolled back or replaced */
	uint32_t banned_next;

	struct known_version versions[ROLLOUT_VERSIONS_MAX];
	uint32_t version_count;
	int has_servers; /* versions that appear now are held */
	uint32_t old_servers; /* up, that ROLLOUT_OLD may use */
	uint32_t new_servers; /* up */
	GHashTable *servers; /* address key -> time it was first seen */

	double credit; /* calls that may go to the new version */
	uint64_t stopped_until_ms;
	uint64_t evidence_since_ms; /* for a stop: none from before the last */
	uint64_t stopped_order;
	uint32_t stopped_step; /* step and order of the last stop */
	/* Latest state at the full share, if it is in force without a break. */
	uint64_t full_heard_ms; /* 0: none */
	uint64_t full_since_ms; /* first of these states; 0: none */
	uint32_t full_ms; /* see struct rollout_report */
	uint64_t report_number;
	uint32_t total_calls;
	uint32_t new_calls;
	uint32_t bad_calls;

	struct rollout_attempt *attempts; /* in flight */
	struct usual_time usual[ROLLOUT_KINDS_MAX];
	uint32_t usual_count;
	struct rollout_event *events; /* ring, allocated for the first order */
	uint32_t event_count; /* at most ROLLOUT_EVENTS_MAX */
	uint32_t event_next;
};

/* Returns 1 if the order in force is not final. */
static inline int rollout_has_running(const struct rollout *rollout)
{
	return rollout->has_state &&
	       !rollout_phase_is_final(rollout->state.phase);
}

static inline int rollout_is_new(const struct rollout *rollout,
				 uint32_t version_hash)
{
	return rollout->has_state && version_hash == rollout->target_hash;
}

/* Drops the results of ended attempts, for a new order. */
void rollout_evidence_reset(struct rollout *rollout);

struct rollout_in_flight {
	uint32_t old_count;
	uint32_t old_overdue;
	uint32_t new_count;
};

void rollout_count_in_flight(const struct rollout *rollout, uint64_t now_ms,
			     struct rollout_in_flight *in_flight);

/* Fills in rows, bad_servers and what is in flight. */
void rollout_fill_rows(const struct rollout *rollout, uint64_t now_ms,
		       struct rollout_report *report);

/* Returns 1 if this host alone has seen that the new version is bad. */
int rollout_sees_bad(const struct rollout *rollout, uint64_t now_ms);

#endif
