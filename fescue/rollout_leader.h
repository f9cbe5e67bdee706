/*
 * Roll-outs, leader: advances the phases of all roll-outs on the evidence of
 * all hosts. See rollout.h for the host side and the terms.
 *
 * One host is the leader for all services. Every phase is a record in the
 * store, written in one transaction with the operator's status key and
 * conditional on the record's last known revision; a new leader takes a
 * roll-out over by such a write with a higher term, which makes late writes of
 * the former one fail. A phase is sent to hosts only after its write is
 * confirmed. The exception is a roll-back, which is sent at once and written as
 * soon as the store answers.
 *
 * The module does no I/O and reads no clock: now_ms is one monotonic clock. Its
 * owner calls rollout_leader_tick() each ROLLOUT_TICK_MS, carries out the reads
 * and writes that it asks for, and sends the states every
 * ROLLOUT_STATE_INTERVAL_MS and at once when rollout_leader_tick() says so.
 */
#ifndef FESCUE_ROLLOUT_LEADER_H
#define FESCUE_ROLLOUT_LEADER_H

#include "fescue/rollout.h"

struct rollout_leader_settings {
	uint64_t self; /* address key of this host */
	/*
	 * Share of a service's calls between order and deadline that a bad
	 * version may get, 0 to 1. The shares of all phases are multiples of
	 * it.
	 */
	double exposure;
	/*
	 * Calls beyond that share. Half of them are added to the canary's, so
	 * that a service of few calls gets evidence.
	 */
	uint32_t exposure_slack;
	/* From the 50th bad answer until no host uses the version. */
	uint32_t rollback_ms;
};

/* All but self. */
extern const struct rollout_leader_settings rollout_leader_defaults;

/* An operator's order, decoded and checked. */
struct rollout_order {
	char service[RULES_NAME_MAX_BYTES + 1];
	char target[ROLLOUT_VERSION_MAX_BYTES + 1];
	uint64_t order_id; /* revision of the order's key */
	uint32_t period_ms;
	/* Since the order was written, as far as known; 0 if just seen. */
	uint32_t age_ms;
};

/* What the store holds of a roll-out, in a key of our own. */
struct rollout_record {
	char service[RULES_NAME_MAX_BYTES + 1];
	char target[ROLLOUT_VERSION_MAX_BYTES + 1];
	char rejected[ROLLOUT_VERSION_MAX_BYTES + 1]; /* see rollout_state */
	uint64_t order_id;
	uint64_t term;
	uint64_t leader; /* address key of the host that wrote it */
	uint32_t phase; /* enum rollout_phase, never ROLLOUT_WAITING */
	uint32_t period_ms;
	uint32_t elapsed_ms; /* since the order, when it was written */
};

/*
 * Text of "state" in the operator's status key: "running", "completed" or
 * "rolled_back".
 */
const char *rollout_status_name(enum rollout_phase phase);

/* Fills in a state from a record, for rollout_apply_stored(). */
void rollout_state_of_record(const struct rollout_record *record,
			     struct rollout_state *state);

struct rollout_leader;

struct rollout_leader *
rollout_leader_create(const struct rollout_leader_settings *settings);

/* leader may be NULL. */
void rollout_leader_destroy(struct rollout_leader *leader);

/*
 * Starts or ends the work as the leader. A start forgets all records and
 * evidence: each roll-out is read and taken over again.
 */
void rollout_leader_set_active(struct rollout_leader *leader, int active);

/* Sets the live hosts, by address key, this one included. */
void rollout_leader_set_hosts(struct rollout_leader *leader,
			      const uint64_t *hosts, size_t count,
			      uint64_t now_ms);

struct rollout_leader_server {
	uint64_t server; /* address key of its host */
	uint32_t version_hash;
	uint32_t slots; /* 0: not known */
};

/* Sets the backend servers of a service that are up; call when they change. */
void rollout_leader_set_servers(struct rollout_leader *leader,
				const char *service,
				const struct rollout_leader_server *servers,
				size_t count);

/*
 * Takes an order, the latest of its service. Orders with a lower or the same
 * order_id are ignored, so it may be called after every read of the store.
 */
void rollout_leader_put_order(struct rollout_leader *leader,
			      const struct rollout_order *order,
			      uint64_t now_ms);

/*
 * Answers a read that rollout_leader_next_read() asked for: the record, or NULL
 * if the key does not exist, and its revision (0 without a key). The read must
 * not be a stale one and must have started after it was asked for.
 */
void rollout_leader_put_record(struct rollout_leader *leader,
			       const char *service,
			       const struct rollout_record *record,
			       uint64_t revision, uint64_t now_ms);

/*
 * Call when the store came back from an older copy of itself: all records are
 * read again, and those that it lacks or has of an earlier phase are written
 * again.
 */
void rollout_leader_read_again(struct rollout_leader *leader);

/*
 * Returns 1 and the service whose record is to be read, or 0. A read that gets
 * no answer is asked for again after a while; there is nothing to report.
 */
int rollout_leader_next_read(struct rollout_leader *leader, uint64_t now_ms,
			     char service[RULES_NAME_MAX_BYTES + 1]);

/* One transaction: the record, and the status key with rollout_status_name(). */
struct rollout_write {
	struct rollout_record record;
	uint64_t expected_revision; /* of the record's key; 0: has to be absent */
};

/*
 * Returns 1 and the next write, or 0. Each write is returned once and has to be
 * answered by rollout_leader_put_result(). At most one write of a service is
 * open at any time.
 */
int rollout_leader_next_write(struct rollout_leader *leader, uint64_t now_ms,
			      struct rollout_write *write);

enum rollout_write_result {
	ROLLOUT_WRITTEN, /* applied; revision is the new one */
	ROLLOUT_CONFLICT, /* the condition failed */
	ROLLOUT_REFUSED, /* certainly not applied; it is tried again */
	ROLLOUT_UNKNOWN, /* no answer: it may be applied, or be so later */
};

void rollout_leader_put_result(struct rollout_leader *leader,
			       const char *service,
			       enum rollout_write_result result,
			       uint64_t revision, uint64_t now_ms);

/*
 * Takes a host's report. Those of older terms or other orders are ignored; one
 * of a newer term shows that another leader has taken over.
 */
void rollout_leader_receive(struct rollout_leader *leader, uint64_t host,
			    const struct rollout_report *report,
			    uint64_t now_ms);

/*
 * Judges and advances all roll-outs. Returns 1 if a state changed and is to be
 * sent at once.
 */
int rollout_leader_tick(struct rollout_leader *leader, uint64_t now_ms);

/*
 * Iterates over the states to send: set *position to 0 before the first call.
 * Returns 0 after the last. Each call uses a new sequence number. States of
 * final roll-outs are included for ROLLOUT_FINAL_MS, so that all hosts learn
 * the result.
 */
int rollout_leader_next_state(struct rollout_leader *leader, size_t *position,
			      uint64_t now_ms, struct rollout_state *state);

#define ROLLOUT_FINAL_MS 30000

/* Returns the term of the service's roll-out, or 0 if it has no order or term. */
uint64_t rollout_leader_term(const struct rollout_leader *leader,
			     const char *service);

/* For counters and log lines. */
struct rollout_progress {
	uint32_t phase;
	uint32_t share_permille;
	uint64_t term;
	uint32_t hosts; /* live */
	uint32_t reporting; /* of them, with a recent report */
	uint32_t acknowledged; /* of them, with nothing in flight at the old */
	uint32_t total_calls; /* since the order, by the latest reports */
	uint32_t new_calls;
	uint32_t bad_calls;
	char reason[160]; /* of the last change or the present wait */
};

/* Returns 0 if the service has no order. Looks at the reports of all hosts. */
int rollout_leader_progress(const struct rollout_leader *leader,
			    const char *service, uint64_t now_ms,
			    struct rollout_progress *progress);

#endif
