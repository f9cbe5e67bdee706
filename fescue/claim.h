/*
 * Claims: a key of a call that is not idempotent is recorded in the store
 * before the call runs, so that it runs at most once.
 *
 * Keys are spread over a fixed number of shards. The records of a shard are
 * numbered, and each is only ever created if absent: creation decides. The
 * holder of a shard is chosen by rendezvous hashing for efficiency only; two
 * holders at once, a frozen one that wakes, or a dead one cost a lost race
 * and never a second grant. Keys that wait while a record is written go into
 * the next one together, so the store's writes do not grow with the calls.
 *
 * The module owns no socket and reads no clock.
 */
#ifndef FESCUE_CLAIM_H
#define FESCUE_CLAIM_H

#include <stddef.h>
#include <stdint.h>

#define CLAIM_KEY_MAX_BYTES 200

struct claim_log;

struct claim_settings {
	uint32_t interval_ms; /* least time between two records */
	uint32_t retention_ms; /* how long a key is remembered */
	uint32_t group_max; /* keys in one record */
	uint32_t patience_ms; /* before a waiting request is refused */
};

extern const struct claim_settings claim_defaults;

enum claim_verdict {
	CLAIM_GRANTED, /* recorded for this claimant and nonce */
	CLAIM_TAKEN, /* recorded for another claimant or nonce */
	CLAIM_REFUSED, /* surely not recorded */
	CLAIM_UNSETTLED, /* may have been recorded; the call must not run */
};

struct claim_request {
	uint64_t claimant; /* host that wants to run the call */
	uint64_t request_id; /* chosen by the claimant */
	uint64_t nonce; /* the same in every repetition of the request */
	const char *key;
};

enum claim_action_type {
	CLAIM_LIST, /* read all records of the shard */
	CLAIM_CREATE, /* create the record if it is absent */
	CLAIM_READ, /* read one record */
	CLAIM_DELETE, /* delete a record past its retention */
	CLAIM_REPLY,
};

struct claim_action {
	enum claim_action_type type;
	uint64_t sequence; /* of the record */
	union {
		struct {
			const char *value; /* valid until the next call */
			size_t size;
		} create;
		struct {
			uint64_t revision;
		} remove;
		struct {
			uint64_t claimant; /* whom to tell */
			uint64_t request_id;
			enum claim_verdict verdict;
			uint64_t taken_by;
			uint64_t taken_nonce;
		} reply;
	} u;
};

/* A record as the store holds it. */
struct claim_record {
	uint64_t sequence;
	uint64_t revision;
	const char *value;
	size_t size;
};

/* How a call to the store ended. */
enum claim_store_result {
	CLAIM_STORE_OK,
	CLAIM_STORE_CONFLICT, /* the record exists */
	CLAIM_STORE_ABSENT,
	CLAIM_STORE_REFUSED, /* surely without effect */
	CLAIM_STORE_UNSETTLED, /* a write may have taken effect */
};

/* Shard of a key, below shards. */
uint32_t claim_shard(const char *key, uint32_t shards);

/* writer is the own host; seed draws the nonces of records. */
struct claim_log *claim_log_create(const struct claim_settings *settings,
				   uint64_t writer, uint32_t seed);
void claim_log_destroy(struct claim_log *log);

/* Ask for a key. The reply comes as an action, now or later. */
void claim_log_request(struct claim_log *log,
		       const struct claim_request *request, uint64_t now_ms);

/* Answers to CLAIM_LIST, CLAIM_CREATE and CLAIM_READ. */
void claim_log_listed(struct claim_log *log, enum claim_store_result result,
		      const struct claim_record *records, size_t count,
		      uint64_t now_ms);
void claim_log_created(struct claim_log *log, enum claim_store_result result,
		       uint64_t revision, uint64_t now_ms);
void claim_log_read(struct claim_log *log, enum claim_store_result result,
		    const struct claim_record *record, uint64_t now_ms);

/* CLAIM_DELETE has ended, whatever its result. */
void claim_log_deleted(struct claim_log *log);

/*
 * Advance time; wall_ms is the wall clock, which dates records. A gap longer
 * than half the retention since the last answer voids all that is known.
 */
void claim_log_tick(struct claim_log *log, uint64_t now_ms, uint64_t wall_ms);

/* Next action, or 0. */
int claim_log_next_action(struct claim_log *log, struct claim_action *action);

/* Keys remembered, and requests that wait. */
size_t claim_log_keys(const struct claim_log *log);
size_t claim_log_waiting(const struct claim_log *log);

#endif
