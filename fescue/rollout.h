/*
 * Roll-outs, host side: which version of a service's backend servers a call may
 * go to, and the evidence about them that goes to the leader.
 *
 * A roll-out moves a service from the old version to the target version of an
 * operator's order. In this module "new" is the target version and "old" every
 * other one. The leader (rollout_leader.h) sends the state of each roll-out; a
 * state whose age is below its lease_ms is a lease to use the new version within
 * the state's share. Every host holds to the share on its own, by credit
 * that each call earns and each attempt at the new version uses up, so that the
 * sum over all hosts is bounded without any message.
 *
 * The module does no I/O and reads no clock: now_ms is one monotonic clock.
 * Versions are compared by rollout_version_hash() of their text.
 */
#ifndef FESCUE_ROLLOUT_H
#define FESCUE_ROLLOUT_H

#include "fescue/rules.h"

#include <stddef.h>
#include <stdint.h>

#define ROLLOUT_VERSION_MAX_BYTES 127
/* No call goes to a version that appears without an order for this time. */
#define ROLLOUT_HOLD_MS 5000
#define ROLLOUT_STATE_INTERVAL_MS 250 /* of states and reports, at most */
#define ROLLOUT_ROWS_MAX 64

enum rollout_phase {
	ROLLOUT_WAITING, /* an order is known; the new version gets no calls */
	ROLLOUT_CANARY,
	ROLLOUT_RAMP,
	ROLLOUT_FULL, /* the old version gets no calls any more */
	ROLLOUT_COMPLETED, /* final, in the store: old servers are stopped */
	ROLLOUT_ROLLED_BACK, /* final: the new version gets no calls */
};

/* Returns "waiting", "canary" and so on, a static string. */
const char *rollout_phase_name(enum rollout_phase phase);

static inline int rollout_phase_is_final(uint32_t phase)
{
	return phase == ROLLOUT_COMPLETED || phase == ROLLOUT_ROLLED_BACK;
}

/* State of a roll-out, from the leader to all hosts. */
struct rollout_state {
	char service[RULES_NAME_MAX_BYTES + 1];
	uint64_t order_id; /* store revision of the order's key */
	char target[ROLLOUT_VERSION_MAX_BYTES + 1];
	/* Last other version that was rolled back or replaced; may be empty. */
	char rejected[ROLLOUT_VERSION_MAX_BYTES + 1];
	uint32_t phase; /* enum rollout_phase */
	uint32_t step; /* counts the changes of phase and share in a term */
	uint32_t share_permille; /* of calls that may go to the new version */
	/* Age up to which the state permits calls to the new version. */
	uint32_t lease_ms;
	uint64_t term; /* grows with each change of leader and each order */
	uint64_t sequence; /* of states within the term */
	uint32_t remaining_ms; /* until the deadline, when it was sent */
	/*
	 * Since the leader sent it: 0 in the leader's own packets, the time it
	 * was held in packets of peers that pass it on.
	 */
	uint32_t age_ms;
};

/*
 * Evidence about the new version is of the last ROLLOUT_NEW_WINDOW_MS. The
 * window of the old one is shorter because it answers far more calls; at the
 * full share it is that before the share began.
 */
#define ROLLOUT_NEW_WINDOW_MS 4000
#define ROLLOUT_OLD_WINDOW_MS 2000

/* Answers of one backend server to calls of one kind, within the window. */
struct rollout_row {
	uint64_t server; /* address key of its host */
	uint32_t kind; /* route kind */
	uint32_t is_new; /* 1: of the new version */
	uint32_t answers; /* with failures, slow ones and open calls (new) */
	uint32_t failures; /* 5xx of the backend server, or no answer */
	uint32_t slow; /* answers or open calls of much more than usual time */
};

/*
 * Report of a host to the leader. A report replaces the host's former one, so
 * lost or repeated reports do no harm.
 */
struct rollout_report {
	char service[RULES_NAME_MAX_BYTES + 1];
	uint64_t order_id;
	uint64_t term; /* of the latest state */
	uint64_t sequence; /* of the latest state */
	uint64_t number; /* grows with each report of this host */
	uint32_t phase; /* in force at this host */
	uint32_t step;
	/*
	 * 1: the host sends nothing to the new version on its own evidence, or
	 * knows a roll-back of this order (phase is then ROLLOUT_ROLLED_BACK).
	 */
	uint32_t stopped;
	/*
	 * Attempts at the old version that have not ended. Whoever sends the
	 * report adds the calls that queue or run at the own backend server if
	 * that is an old one: their sender may have given up on them.
	 */
	uint32_t old_in_flight;
	/* Part of it that is open for much longer than usual. */
	uint32_t old_overdue;
	uint32_t new_in_flight;
	/* Open calls of all but rare kinds count as slow after this time. */
	uint32_t slow_ms;
	/*
	 * Time for which all calls have gone to the new version while a leader
	 * was heard. It ends with the full share, the lease or a stop, and goes
	 * on after a change of leader, without the time between them.
	 */
	uint32_t full_ms;
	uint32_t total_calls; /* since this host knows of the order */
	uint32_t new_calls; /* attempts at the new version among them */
	uint32_t bad_calls; /* bad ones of the new version */
	uint32_t bad_servers; /* distinct, of the new version, in the rows */
	uint32_t row_count;
	struct rollout_row rows[ROLLOUT_ROWS_MAX];
};

/* All roll-outs of a node, and one of them, by service. */
struct rollouts;
struct rollout;

/* seed differs between hosts, so that their first calls to a new version do. */
struct rollouts *rollouts_create(uint32_t seed);

/* rollouts may be NULL. */
void rollouts_destroy(struct rollouts *rollouts);

/*
 * Returns the roll-out of a service. It exists without any order and is valid
 * until rollouts is destroyed; keep the pointer to save the look-up.
 */
struct rollout *rollouts_get(struct rollouts *rollouts, const char *service);

/* Returns NULL if the service's roll-out was never asked for; creates none. */
const struct rollout *rollouts_find(const struct rollouts *rollouts,
				    const char *service);

/* Calls function for each service that has a state. */
void rollouts_foreach(struct rollouts *rollouts,
		      void (*function)(struct rollout *rollout, void *data),
		      void *data);

/* Hash of a version text; never 0, which stands for an unknown version. */
uint32_t rollout_version_hash(const char *version);

struct rollout_server {
	uint64_t server; /* address key of its host */
	uint32_t version_hash; /* 0: not known */
};

/*
 * Sets the backend servers of the service that are up. Call it whenever they
 * change, and also for a service without any. The versions of the first call
 * serve at once; a version that appears later is held back.
 */
void rollout_set_servers(struct rollout *rollout,
			 const struct rollout_server *servers, size_t count,
			 uint64_t now_ms);

/*
 * Lets the versions that are held back serve at once. For a host that started a
 * moment ago: it learns of backend servers one after another, and would keep the
 * serving version back if it saw another one first.
 */
void rollout_release_versions(struct rollout *rollout);

/*
 * Takes over a state. Returns 1 if it is newer than the one in force, 0 if it
 * was ignored: an older term or sequence, or a phase that is not final for an
 * order that this host knows as final.
 */
int rollout_apply(struct rollout *rollout, const struct rollout_state *state,
		  uint64_t now_ms);

/*
 * Takes over what the store holds, at a start or when an order is seen before
 * the leader's state. It gives no lease: until the leader's state arrives, the
 * new version gets no calls unless it is completed. Sequence and age of the
 * state are ignored. Returns like rollout_apply().
 */
int rollout_apply_stored(struct rollout *rollout,
			 const struct rollout_state *state, uint64_t now_ms);

/*
 * Stores the state in force with its age and remaining time as of now, for
 * peers that do not hear the leader. Returns 0 if there is none.
 */
int rollout_forward(const struct rollout *rollout, uint64_t now_ms,
		    struct rollout_state *state);

/* Target version of the state in force; "" if there is none. */
const char *rollout_target(const struct rollout *rollout);

/* Which backend servers a call may use. */
enum rollout_class {
	ROLLOUT_ANY, /* no roll-out; held or rejected versions are excluded */
	ROLLOUT_OLD,
	ROLLOUT_NEW,
	/*
	 * None now: a roll-out's result is unknown here, and the only version
	 * that is up may have been rolled back. Refuse the call as not run.
	 */
	ROLLOUT_NONE,
};

/*
 * Decides once for a call, before hosts are chosen. Each call earns its share
 * of credit, so call it for each call exactly once, whatever comes of it.
 */
enum rollout_class rollout_choose(struct rollout *rollout, uint64_t now_ms);

/* Returns what rollout_choose() would return, and changes nothing. */
enum rollout_class rollout_preview(const struct rollout *rollout,
				   uint64_t now_ms);

/*
 * Decides for a further attempt of a call. It goes to the old version unless that
 * gets no calls any more, so that retries do not add to the exposure.
 */
enum rollout_class rollout_choose_again(const struct rollout *rollout,
					uint64_t now_ms);

/*
 * Returns 1 if a call of the class may go to a backend server of the version.
 * Cheap: compares a few integers. ROLLOUT_OLD permits nothing once the phase is
 * ROLLOUT_FULL; a call that was decided before asks rollout_choose_again().
 */
int rollout_permits(const struct rollout *rollout,
		    enum rollout_class call_class, uint32_t version_hash,
		    uint64_t now_ms);

/* How an attempt at a backend server ended. */
enum rollout_result {
	ROLLOUT_ANSWERED, /* the backend server's answer, no 5xx */
	/* 5xx of the backend server, its crash, or no answer in time. */
	ROLLOUT_FAILED,
	/* Not run, host unreachable or call canceled: says nothing about it. */
	ROLLOUT_NO_EVIDENCE,
};

/*
 * An attempt in flight. The caller owns it, keeps it at one place until
 * rollout_finished(), and reads nothing from it.
 */
struct rollout_attempt {
	struct rollout *rollout; /* NULL: not started, or finished */
	struct rollout_attempt *next;
	struct rollout_attempt *previous;
	uint64_t server;
	uint64_t started_ms;
	uint64_t order_id; /* of the roll-out when it was started, or 0 */
	uint32_t version_hash;
	uint32_t kind;
};

/*
 * Records that an attempt is sent to a backend server. Call it for every
 * attempt, also without a roll-out: the usual times of the serving version are
 * learned from all.
 */
void rollout_started(struct rollout *rollout, struct rollout_attempt *attempt,
		     uint64_t server, uint32_t version_hash, uint32_t kind,
		     uint64_t now_ms);

/*
 * Records the end of an attempt. service_us is the time at the backend server,
 * without the wait in a queue, or 0 if that is not known. Does nothing for an
 * attempt that was not started or has ended.
 */
void rollout_finished(struct rollout_attempt *attempt,
		      enum rollout_result result, uint64_t service_us,
		      uint64_t now_ms);

/*
 * Looks for open calls that take much longer than usual and decides whether
 * this host stops on its own. Call it each ROLLOUT_TICK_MS.
 */
void rollout_tick(struct rollout *rollout, uint64_t now_ms);

#define ROLLOUT_TICK_MS 50

/*
 * Fills in the report for the leader. Returns 0 if no state is known. Send it
 * as the reply to each state of the leader.
 */
int rollout_fill_report(struct rollout *rollout, uint64_t now_ms,
			struct rollout_report *report);

/*
 * Returns 1 if the service has an order that is not final, and stores the time
 * until its deadline.
 */
int rollout_is_running(const struct rollout *rollout, uint64_t now_ms,
		       uint32_t *remaining_ms);

/* For counters and logs. */
struct rollout_counters {
	uint32_t phase; /* in force; ROLLOUT_WAITING without an order */
	uint32_t share_permille;
	uint32_t has_lease;
	uint32_t stopped;
	uint32_t held_versions;
	uint32_t total_calls; /* since the order is known here */
	uint32_t new_calls;
	uint32_t bad_calls;
	uint32_t old_in_flight;
	uint32_t new_in_flight;
};

void rollout_get_counters(const struct rollout *rollout, uint64_t now_ms,
			  struct rollout_counters *counters);

#endif
