/*
 * The member table of a membership: one record per host, the rule by which one
 * record overrides another, the digests by which tables are compared, and the
 * queue of records to gossip.
 */
#ifndef FESCUE_MEMBER_TABLE_H
#define FESCUE_MEMBER_TABLE_H

#include "fescue/host.h"
#include "packet.h"

#define MEMBER_BUCKETS 64

struct member {
	struct host host;
	uint32_t transmits; /* times the queued record was gossiped */
	int queued; /* in the update queue */
	/*
	 * The host's node restarted and its own record lacks the fingerprint of
	 * the leaving backend server that it had announced before. host.left
	 * keeps the fingerprint until the node has restored it.
	 */
	int leaving_unrestored;
	/*
	 * The host itself announced, since the own start or last freeze, that
	 * its version floor is confirmed.
	 */
	int floor_confirmed;
	uint64_t state_since_ms;
	uint64_t probed_ms; /* last choice as a probe target; 0: never */
};

struct member_table {
	GPtrArray *members; /* struct member; index 0 is the own host */
	GHashTable *by_address;
	GQueue updates; /* struct member with records to gossip */
	uint64_t generation; /* changes with what routing depends on */
	uint64_t store_changes; /* number of changes of any store_lost */
	uint64_t now_ms; /* set by the owner before it changes the table */
	size_t up_count;
	uint32_t digests[MEMBER_BUCKETS]; /* of the hosts that are up */
};

/* Create a table that holds only the own host. */
void member_table_init(struct member_table *table, const struct host *self,
		       uint64_t now_ms);

/* Free what the table holds, not the table itself. */
void member_table_clear(struct member_table *table);

struct member *member_table_self(const struct member_table *table);

/* Returns NULL when the address is not known. */
struct member *member_table_find(const struct member_table *table,
				 uint64_t address);

/* Bucket of an address, below MEMBER_BUCKETS. */
uint32_t member_bucket(uint64_t address);

/* Digest of all hosts that are up. */
uint32_t member_table_digest(const struct member_table *table);

/*
 * Store a received record if it overrides the known one. A record of the own
 * host is never stored: one that would override the own record, or has another
 * state at the same incarnation, is refuted by raising the own incarnation
 * above it. Only the leaving backend server is restored from it, if the own
 * record has none. gossip_new: also gossip the record of a host that was
 * unknown; not needed for records of a table sync, because other nodes sync as
 * well.
 */
void member_table_merge(struct member_table *table,
			const Fescue__Member *record, int gossip_new);

/* Replace the own record, whose incarnation the caller has raised. */
void member_table_update_own(struct member_table *table,
			     const struct host *host);

/*
 * Raise the own incarnation above the given one and above its present value, so
 * that the own record overrides all others of this host.
 */
void member_table_raise_incarnation(struct member_table *table, uint64_t above);

/* Change a host's state at the same incarnation. */
void member_table_set_state(struct member_table *table, struct member *member,
			    enum host_state state);

/*
 * Allocate and fill gossip->updates for a packet to the address to: up to
 * max_updates of the queued records, newly queued ones first. A record is sent
 * a bounded number of times. The receiver's own record goes first if the
 * receiver must refute it or restore something from it.
 */
void member_table_add_updates(struct member_table *table, uint64_t to,
			      uint32_t max_updates, Fescue__Gossip *gossip);

/*
 * Declare hosts dead that have been suspect for suspicion_ms, and remove those
 * that have been dead or left for dead_retention_ms.
 */
void member_table_expire(struct member_table *table, uint32_t suspicion_ms,
			 uint32_t dead_retention_ms);

/* Allocate the message for a host's record; owned by the caller. */
Fescue__Member *member_record_create(const struct host *host);

/*
 * Abort when the digests or the number of up hosts do not match the records.
 */
void member_table_assert_valid(const struct member_table *table);

#endif
