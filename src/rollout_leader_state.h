/*
 * What the files of the leader of roll-outs share: rollout_leader.c keeps the
 * hosts' reports, rollout_leader_records.c the store's records, and
 * rollout_phases.c advances the phases.
 */
#ifndef FESCUE_ROLLOUT_LEADER_STATE_H
#define FESCUE_ROLLOUT_LEADER_STATE_H

#include "fescue/rollout_leader.h"
#include "src/rollout_verdict.h"

#include <glib.h>

#define ROLLOUT_RAMP_STEPS 2

/* The latest report of a host, with as many rows as it has. */
struct host_report {
	uint64_t received_ms;
	struct rollout_report head; /* its rows are not set */
	struct rollout_row *rows;
};

/* A roll-out at the leader. */
struct led_rollout {
	char service[RULES_NAME_MAX_BYTES + 1];
	int has_order;
	struct rollout_order order;
	uint64_t start_ms; /* of the order, on this host's clock */
	uint64_t deadline_ms;

	int is_record_known; /* record and revision are what the store holds */
	int has_record; /* the key exists */
	struct rollout_record record;
	uint64_t revision;
	int wants_read;
	uint64_t read_after_ms;
	int may_be_lost; /* the store may hold an older record, or none */

	/* Phase to be written, or ROLLOUT_WAITING: none. */
	uint32_t wanted_phase;
	int is_write_open;
	int is_write_unknown; /* no answer: to be read back */
	uint64_t write_after_ms;
	struct rollout_write write; /* the last one */
	/*
	 * A write of ROLLOUT_COMPLETED got no answer and may still be applied:
	 * a roll-back is not sent before the store has taken it.
	 */
	int may_complete;
	uint64_t fenced_until_ms; /* another leader has taken over */

	/* What hosts are told. */
	int is_led; /* taken over by a confirmed write */
	int is_full_stored; /* the record permits ROLLOUT_FULL */
	uint32_t phase;
	uint32_t step;
	uint32_t ramp_step;
	uint32_t share_permille;
	uint32_t extra_permille; /* of the canary, for services of few calls */
	uint64_t term;
	uint64_t sequence;
	uint64_t phase_since_ms; /* of phase and share */
	uint64_t sent_ms; /* last state */
	int is_changed; /* to be sent at once */

	struct rollout_leader_server *servers;
	size_t server_count;
	GHashTable *reports; /* host -> struct host_report */
	/*
	 * Hosts that were live since it is led. One that was lost may only be
	 * cut off, so completion waits for it as for any that does not answer.
	 */
	GHashTable *expected;
	struct rollout_baselines baselines;
	struct rollout_verdict verdict;
	int has_news; /* reports since the last judgement */
	uint64_t judged_ms;
	char reason[160];
};

struct rollout_leader {
	struct rollout_leader_settings settings;
	int is_active;
	GHashTable *hosts; /* live, a set of address keys */
	/* Most live hosts in the present and the former PEAK_MS. */
	uint32_t peak;
	uint32_t former_peak;
	uint64_t peak_since_ms;
	GPtrArray *rollouts; /* struct led_rollout */
};

/* Returns the roll-out of a service; find returns NULL if there is none. */
struct led_rollout *rollout_leader_find(const struct rollout_leader *leader,
					const char *service);
struct led_rollout *rollout_leader_get(struct rollout_leader *leader,
				       const char *service);

/* Asks for the record; nothing is written until it is there. */
void rollout_want_read(struct led_rollout *led);

/*
 * Ends the sending of states and forgets the evidence, because another leader
 * has taken over.
 */
void rollout_yield_lead(struct led_rollout *led, uint64_t now_ms);

/* Begins to lead by the phase of the record. */
void rollout_lead(const struct rollout_leader *leader, struct led_rollout *led,
		  uint64_t term, uint64_t now_ms);

/* Decides how a roll-out that is not led yet is taken over. */
void rollout_plan_takeover(const struct rollout_leader *leader,
			   struct led_rollout *led, uint64_t now_ms);

/* The phase with which a new leader goes on from the record. */
uint32_t rollout_resumed_phase(const struct led_rollout *led, uint64_t now_ms);

/* Begins a phase, or another step of it, that is sent to hosts. */
void rollout_enter_phase(const struct rollout_leader *leader,
			 struct led_rollout *led, uint32_t phase,
			 uint64_t now_ms);

/* Age up to which the state to be sent permits calls to the new version. */
uint32_t rollout_lease_ms(const struct rollout_leader *leader,
			  const struct led_rollout *led);

/* Judges the reports and moves on as far as they and the time allow. */
void rollout_advance(const struct rollout_leader *leader,
		     struct led_rollout *led, uint64_t now_ms);

struct report_summary {
	uint32_t hosts;
	uint32_t heard; /* in the last seconds */
	uint32_t fresh; /* with a recent report of this order and term */
	uint32_t in_step; /* of them, in the present phase and step */
	uint32_t acknowledged; /* of them, with nothing at the old version */
	uint32_t slow_ms; /* largest of the reports */
	uint32_t full_ms; /* smallest of those in step; 0 without any */
	uint32_t stuck; /* of the others in step, with overdue calls only */
	uint32_t knows_roll_back;
};

void rollout_summarize(const struct led_rollout *led, uint64_t now_ms,
		       struct report_summary *summary);

#endif
