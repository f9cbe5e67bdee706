/*
 * Distribution: how a version of the configuration reaches every host.
 *
 * In each failure domain a few hosts, ranked by rendezvous hashing over the
 * live members, are relays and watch the store. A relay checks a new version,
 * pushes it down a tree over its domain and puts it in force once another
 * host holds it too. Versions seen in gossip are fetched from the peer that
 * has them, which repairs whatever the tree missed. Versions only rise.
 *
 * The module owns no socket and reads no clock.
 */
#ifndef FESCUE_DISTRIBUTION_H
#define FESCUE_DISTRIBUTION_H

#include "fescue/host.h"
#include "fescue/rules.h"
#include "proto/fescue.pb-c.h"

#include <stddef.h>

struct distribution;
struct membership;
struct outbox;

enum distribution_mode {
	DISTRIBUTION_RELAY, /* relays watch and push, gossip repairs */
	DISTRIBUTION_GOSSIP, /* relays watch, gossip alone spreads */
	DISTRIBUTION_POLL, /* every host watches the store */
};

struct distribution_settings {
	enum distribution_mode mode;
	uint32_t relays_per_domain;
	uint32_t fan_out;
	uint32_t ack_timeout_ms; /* before a child's subtree is adopted */
	uint32_t backup_delay_ms; /* per rank, before a further relay pushes */
	uint32_t fetch_timeout_ms;
	uint32_t fetch_delay_ms; /* for the own watch to show a version first */
	int deltas; /* push differences where the base is known */
	int witness; /* a relay waits until another host holds a version */
};

extern const struct distribution_settings distribution_defaults;

enum distribution_action_type {
	DISTRIBUTION_APPLY, /* put the checked text in force */
	DISTRIBUTION_REJECT, /* the version is refused whole */
	DISTRIBUTION_WATCH, /* begin to watch the store */
	DISTRIBUTION_UNWATCH,
};

struct distribution_action {
	enum distribution_action_type type;
	uint64_t version;
	union {
		struct {
			const char *text; /* owned by the distribution */
			size_t size;
			uint64_t hash;
			struct rules *rules; /* of the text; owned by the taker */
		} apply;
		struct diagnostic reject;
	} u;
};

/* membership is only read and must outlive the distribution. */
struct distribution *
distribution_create(const struct distribution_settings *settings,
		    const struct membership *membership);
void distribution_destroy(struct distribution *distribution);

/*
 * A value read from the store. text NULL means that the stored bytes were no
 * configuration at all; why then says what was wrong.
 */
void distribution_store_value(struct distribution *distribution,
			      uint64_t version, const char *text, size_t size,
			      const char *why, uint64_t now_ms,
			      struct outbox *outbox);

/*
 * Does the own source answer? While it does not, what peers have is fetched
 * at once.
 */
void distribution_set_source(struct distribution *distribution, int answers);

/* A peer has this version in force, as its gossip says. */
void distribution_peer_version(struct distribution *distribution, uint64_t peer,
			       uint64_t version, uint64_t hash, uint64_t now_ms,
			       struct outbox *outbox);

/* Handle ConfigPush, ConfigAck and ConfigFetch. */
void distribution_receive(struct distribution *distribution, uint64_t from,
			  const Fescue__Packet *packet, uint64_t now_ms,
			  struct outbox *outbox);

/* Advance time: adopt subtrees, time out fetches, review the relay role. */
void distribution_tick(struct distribution *distribution, uint64_t now_ms,
		       struct outbox *outbox);

/* Next action, or 0 when there is none. Texts stay valid until the next call
 * of any other function.
 */
int distribution_next_action(struct distribution *distribution,
			     struct distribution_action *action);

uint64_t distribution_version(const struct distribution *distribution);
int distribution_is_relay(const struct distribution *distribution);

/* Rank of the own host among its domain's relays, from 0. */
size_t distribution_rank(const struct distribution *distribution);

/* Version last refused, or 0. */
uint64_t distribution_rejected_version(const struct distribution *d,
				       const struct diagnostic **why);

#endif
