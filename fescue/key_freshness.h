/*
 * Freshness of keys: whether this host may accept the keys of client accounts.
 * It may while it knows that no version newer than the one in force here
 * existed less than a limit ago.
 *
 * - Knowledge is a version and a time of this host's clock: the store held no
 *   newer version at that time. Its source is an answer of the store to this
 *   host, of which the start of the call is the time, or a report of a peer.
 * - A report names a time of the peer's clock. It is converted by a bound of
 *   that clock: the peer answered a query of this host, so its reading of the
 *   clock is not older than the query. A report that was delayed, or that was
 *   sent by a process that stood still since, looks no newer for that.
 * - Knowledge of a version that is not in force yet counts from when it is. A
 *   report of an older version than the one in force is ignored.
 *
 * Clocks are steady and include the time in which a host is suspended. The
 * module does no I/O and reads no clock.
 */
#ifndef FESCUE_KEY_FRESHNESS_H
#define FESCUE_KEY_FRESHNESS_H

#include <stddef.h>
#include <stdint.h>

#define KEY_FRESHNESS_AHEAD 4
#define KEY_FRESHNESS_PEERS 64
#define KEY_AGE_UNKNOWN UINT64_MAX

/* The store held no version newer than this one at that time; 0: none. */
struct key_knowledge {
	uint64_t version;
	uint64_t at_ms;
};

/* Upper bound of the clock of a peer. */
struct peer_bound {
	uint64_t peer; /* 0: unused */
	uint64_t clock_id; /* 0: it has not answered yet */
	uint64_t ahead_ms; /* of the own clock, at most, modulo 2^64 */
	uint64_t read_ms; /* own time when ahead_ms was read */
	uint64_t refresh_ms; /* when a new reading is worth a query */
	uint64_t queried_ms; /* time of the last query; 0: none */
	uint64_t answered_ms; /* time of the last answer; 0: none */
	uint64_t used_ms; /* the entry used least recently is replaced */
};

/* Zero-initialized: nothing is known, and keys are always accepted. */
struct key_freshness {
	uint32_t limit_ms; /* 0: off */
	uint64_t version; /* in force */
	uint64_t at_ms; /* newest knowledge of it; 0: none */
	struct key_knowledge ahead[KEY_FRESHNESS_AHEAD]; /* of newer ones */
	struct peer_bound peers[KEY_FRESHNESS_PEERS];
};

/* Add knowledge; at_ms is a time of the own clock. */
void key_freshness_learn(struct key_freshness *keys, uint64_t version,
			 uint64_t at_ms);

/* Record the version in force, once it decides on requests. */
void key_freshness_apply(struct key_freshness *keys, uint64_t version);

/* Whether keys may be accepted now; always 1 if it is off. */
int key_freshness_allows(const struct key_freshness *keys, uint64_t now_ms);

/* Age of the knowledge of the version in force, or KEY_AGE_UNKNOWN. */
uint64_t key_freshness_age_ms(const struct key_freshness *keys,
			      uint64_t now_ms);

/* Newest knowledge of versions up to this one, to be reported to peers. */
struct key_knowledge key_freshness_newest(const struct key_freshness *keys,
					  uint64_t version_max);

/* Record a query that is sent to a peer now. */
void key_freshness_queried(struct key_freshness *keys, uint64_t peer,
			   uint64_t now_ms);

/*
 * Handle the answer to the query sent at query_ms, with the peer's clock read
 * after the query had arrived there. Ignored unless it answers the last query.
 */
void key_freshness_answered(struct key_freshness *keys, uint64_t peer,
			    uint64_t clock_id, uint64_t clock_ms,
			    uint64_t query_ms, uint64_t now_ms);

/*
 * Convert a time of a peer's clock to the latest time of the own clock that is
 * certainly not after it. Returns 0 if the peer's clock is not known.
 */
uint64_t key_freshness_convert(struct key_freshness *keys, uint64_t peer,
			       uint64_t clock_id, uint64_t peer_ms,
			       uint64_t now_ms);

/* Whether a query would give a bound of the peer's clock, or a better one. */
int key_freshness_needs_query(const struct key_freshness *keys, uint64_t peer,
			      uint64_t clock_id, uint64_t now_ms);

/*
 * Whether the peer may be sent a query now; the answer to an earlier one is
 * awaited for a while.
 */
int key_freshness_may_query(const struct key_freshness *keys, uint64_t peer,
			    uint64_t now_ms);

/*
 * Returns the peer that answered lately and was queried least recently, if it
 * may be sent a query; 0: none.
 */
uint64_t key_freshness_answering_peer(const struct key_freshness *keys,
				      uint64_t now_ms);

#endif
