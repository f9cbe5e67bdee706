/*
 * Distribution: brings each new version of the configuration to every host.
 *
 * In each failure domain a few live hosts, ranked by link capacity and then by
 * rendezvous hashing, act as relays and watch the store. A relay validates a
 * new version, pushes it down a tree of the hosts in its domain and applies it
 * once another host is known to hold a copy. Gossip carries the version that
 * each host has applied; a host that is behind fetches the missing version
 * from the peer, which repairs lost pushes. Relays tell their domain of each
 * answer of the store, and a host that misses these reports reads the store
 * itself. The applied version never decreases.
 *
 * The module owns no sockets and reads no clock: the caller passes the time
 * and sends the packets that are left in the outbox.
 */
#ifndef FESCUE_DISTRIBUTION_H
#define FESCUE_DISTRIBUTION_H

#include "fescue/host.h"
#include "fescue/key_freshness.h"
#include "fescue/rules.h"
#include "proto/fescue.pb-c.h"

#include <stddef.h>

struct distribution;
struct membership;
struct outbox;

enum distribution_mode {
	DISTRIBUTION_RELAY, /* relays watch and push, gossip repairs */
	DISTRIBUTION_GOSSIP, /* relays watch, versions spread by gossip only */
	DISTRIBUTION_POLL, /* every host watches the store */
};

struct distribution_settings {
	enum distribution_mode mode;
	uint32_t relays_per_domain;
	uint32_t fan_out; /* children per node of the push tree */

	/*
	 * Time for a child to acknowledge a push. After it the sender repeats
	 * the push once and pushes to the child's subtree itself.
	 */
	uint32_t ack_timeout_ms;

	/* A relay of rank N waits N times as long before it pushes. */
	uint32_t backup_delay_ms;

	/* Halved while the store is unreachable. */
	uint32_t fetch_timeout_ms;

	/*
	 * Delay between learning of a newer version by gossip and fetching
	 * it, so that the store watch can deliver it first. Halved on hosts
	 * that do not watch the store, skipped while it is unreachable.
	 */
	uint32_t fetch_delay_ms;

	/* Push a delta when the receiver probably has the base text. */
	int deltas;

	/*
	 * A relay applies a version only once another host holds a copy, so
	 * that the version survives the loss of the relay and the store. Has
	 * no effect in other modes and while no other host is up.
	 */
	int require_peer_copy;

	/*
	 * How long ago a version newer than the one in force may have existed
	 * unknown to this host while it accepts keys; 0: not limited.
	 */
	uint32_t key_freshness_ms;
};

extern const struct distribution_settings distribution_defaults;

/* How a host got a version, or learned of it. */
enum version_source_type {
	VERSION_FROM_STORE,
	VERSION_FROM_PUSH,
	VERSION_FROM_FETCH, /* a peer's answer to a fetch */
	VERSION_FROM_GOSSIP, /* learned of, without its text */
};

struct version_source {
	enum version_source_type type;
	uint64_t peer; /* 0 if it was the store */
};

/* Returns the name of the type for logs. */
const char *version_source_name(enum version_source_type type);

enum distribution_action_type {
	DISTRIBUTION_APPLY, /* make the validated text the active one */
	DISTRIBUTION_REJECT, /* the whole version is invalid */
	DISTRIBUTION_WATCH, /* start watching the store */
	DISTRIBUTION_UNWATCH, /* stop watching the store */
};

struct distribution_action {
	enum distribution_action_type type;
	uint64_t version; /* of APPLY and REJECT */
	struct version_source source; /* of APPLY and REJECT */
	union {
		struct {
			const char *text; /* owned by the distribution */
			size_t size;
			uint64_t hash;

			/*
			 * The parsed text, or NULL if it has to be parsed
			 * again. The caller takes ownership.
			 */
			struct rules *rules;
		} apply;
		struct diagnostic reject;
	} u;
};

/*
 * Create the distribution state of one node. membership is only read and must
 * outlive the distribution. Never returns NULL.
 */
struct distribution *
distribution_create(const struct distribution_settings *settings,
		    const struct membership *membership);
void distribution_destroy(struct distribution *distribution);

/*
 * Handle a value read from the store. text is copied; it is NULL if the stored
 * value could not be decoded, and decode_error then says why. Returns 0, or
 * FESCUE_EINVAL if the version is refused.
 */
int distribution_receive_store_value(struct distribution *distribution,
				     uint64_t version, const char *text,
				     size_t size, const char *decode_error,
				     uint64_t now_ms, struct outbox *outbox);

/*
 * Set whether this node can reach the store. While it cannot, versions that
 * peers have are fetched without delay.
 */
void distribution_set_store_reachable(struct distribution *distribution,
				      int reachable);

/* Handle the version that a peer's gossip reports as applied there. */
void distribution_receive_peer_version(struct distribution *distribution,
				       uint64_t peer, uint64_t version,
				       uint64_t hash, uint64_t now_ms,
				       struct outbox *outbox);

/* Handle ConfigPush, ConfigAck and ConfigFetch; ignores other packets. */
void distribution_receive(struct distribution *distribution, uint64_t from,
			  const Fescue__Packet *packet, uint64_t now_ms,
			  struct outbox *outbox);

/*
 * Handle everything that is due: the relay role after changes in membership,
 * unacknowledged pushes, the delayed push of a backup relay and fetches.
 */
void distribution_tick(struct distribution *distribution, uint64_t now_ms,
		       struct outbox *outbox);

/*
 * Validate a pushed text, if one was received, and take the next action from the
 * queue. Send the outbox before, as this takes long. Returns 0 if there is none.
 * The text of an action stays valid until the next call of any other function.
 */
int distribution_next_action(struct distribution *distribution,
			     struct distribution_action *action);

/* Returns the applied version, or 0 before the first one. */
uint64_t distribution_version(const struct distribution *distribution);

/* Returns 1 if this host is a relay by its rank, as all are in poll mode. */
int distribution_is_relay(const struct distribution *distribution);

/* Returns 1 if this host is a relay or one of those that replace relays. */
int distribution_is_candidate(const struct distribution *distribution);

/*
 * Handle an answer of the store, after the value in it, if any: at as_of_ms it
 * held no newer version, and store_revision was that of the whole store. Tells
 * the hosts of the domain if this host is a candidate for a relay.
 */
void distribution_confirm(struct distribution *distribution, uint64_t as_of_ms,
			  uint64_t store_revision, uint64_t now_ms,
			  struct outbox *outbox);

/*
 * Set the store's era, before the first answer of it is handled; 0: the store
 * tells none. Revisions of earlier eras are forgotten.
 */
void distribution_set_store_era(struct distribution *distribution,
				uint64_t era);

/*
 * Handle an answer of the store to a call that started at started_ms, before
 * distribution_confirm(). value_accepted is 0 if the last value read was
 * refused, or if there was none.
 */
void distribution_confirm_keys(struct distribution *distribution,
			       uint64_t started_ms, int value_accepted);

/* Record that the version decides on requests from now on. */
void distribution_keys_apply(struct distribution *distribution,
			     uint64_t version);

/*
 * Answer a peer's query of what this host knows. clock_ms is the time by the
 * same clock as that of all other functions, read after the query arrived.
 */
void distribution_answer_query(struct distribution *distribution, uint64_t from,
			       const Fescue__ConfigQuery *query,
			       uint64_t clock_ms, struct outbox *outbox);

/* Returns what decides whether keys are accepted. */
const struct key_freshness *
distribution_keys(const struct distribution *distribution);

/* Returns the time since the active version was last known to be the newest. */
uint64_t distribution_unconfirmed_ms(const struct distribution *distribution,
				     uint64_t now_ms);

/*
 * Returns the highest revision of the store, in its era, up to which this host
 * is known to have the newest version; 0: none.
 */
uint64_t distribution_store_revision(const struct distribution *distribution);

/*
 * Returns the relay rank of this host in its failure domain, from 0. Hosts
 * that cannot reach the store rank last.
 */
size_t distribution_rank(const struct distribution *distribution);

/* Returns how often a text was encoded for pushes. */
uint64_t distribution_encodings(const struct distribution *distribution);

/*
 * Returns the version that was rejected last, or 0. *diagnostic then points
 * to the first error in it and stays valid until the next rejection.
 */
uint64_t distribution_rejected_version(const struct distribution *distribution,
				       const struct diagnostic **diagnostic);

#endif
