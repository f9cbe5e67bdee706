/*
 * The table behind membership: one record a host, the rule by which records
 * win, the digests by which tables are compared, and the queue of records to
 * pass on.
 */
#ifndef FESCUE_MEMBER_TABLE_H
#define FESCUE_MEMBER_TABLE_H

#include "fescue/host.h"
#include "packet.h"

#define MEMBER_BUCKETS 64

struct member {
	struct host host;
	uint32_t transmits; /* times the record was passed on */
	int queued; /* in the update queue */
	/*
	 * Its node started again and does not know of the backend server that
	 * had left before.
	 */
	int owes_left;
	int vouches; /* said itself, since the last reset, that it is confirmed */
	uint64_t state_since_ms;
	uint64_t probed_ms; /* when it was last chosen for a probe; 0: never */
};

struct member_table {
	GPtrArray *members; /* struct member; index 0 is the own host */
	GHashTable *by_address;
	GQueue updates; /* struct member with records to pass on */
	uint64_t generation; /* changes with what a snapshot depends on */
	uint64_t store_changes; /* of any host's store_lost */
	uint64_t now_ms;
	size_t up_count;
	uint32_t digests[MEMBER_BUCKETS]; /* of the hosts that are up */
};

void member_table_init(struct member_table *table, const struct host *self,
		       uint64_t now_ms);
void member_table_clear(struct member_table *table);

struct member *member_table_self(const struct member_table *table);
struct member *member_table_find(const struct member_table *table,
				 uint64_t address);

/* Bucket of an address, below MEMBER_BUCKETS. */
uint32_t member_bucket(uint64_t address);
uint32_t member_table_digest(const struct member_table *table);

/*
 * Take a record if it wins; refute one that wrongs the own host. spread: pass
 * a host heard of for the first time on; needless for a whole table, which
 * others compare as well.
 */
void member_table_merge(struct member_table *table,
			const Fescue__Member *record, int spread);

/* Replace the own record, whose incarnation the caller has raised. */
void member_table_update_own(struct member_table *table,
			     const struct host *host);

/* Raise the own incarnation above the given one, so that it wins. */
void member_table_raise_own(struct member_table *table, uint64_t above);
void member_table_set_state(struct member_table *table, struct member *member,
			    enum host_state state);

/* Add up to room of the records that were passed on least. */
void member_table_add_updates(struct member_table *table, uint64_t to,
			      uint32_t room, Fescue__Gossip *gossip);

/* Declare overdue suspects dead and forget old tombstones. */
void member_table_expire(struct member_table *table, uint32_t suspicion_ms,
			 uint32_t dead_retention_ms);

Fescue__Member *member_record_create(const struct host *host);

/* Abort when digests or counts do not match the records. */
void member_table_assert_valid(const struct member_table *table);

#endif
