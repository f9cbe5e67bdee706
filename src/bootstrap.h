/*
 * Bootstrap: a node's use of the store. Finds peers at start-up by the
 * rendezvous records of relays, confirms the version floor by the store or by
 * peers, watches the configuration's key while the distribution requires it,
 * and keeps a rendezvous record while this node is a relay.
 */
#ifndef FESCUE_BOOTSTRAP_H
#define FESCUE_BOOTSTRAP_H

#include "fescue/distribution.h"
#include "fescue/floor.h"
#include "fescue/membership.h"
#include "interface.h"
#include "node_context.h"
#include "platform/store_client.h"

struct bootstrap;

/* Everything that is pointed to must outlive the bootstrap. */
struct bootstrap_settings {
	const struct node_context *context; /* for the time */
	struct store_client *store;
	struct membership *membership;
	struct distribution *distribution;
	struct outbox *outbox;
	enum interface_type interface;
	struct address peer_address; /* value of the rendezvous record */
	const char *failure_domain;
	uint32_t start_jitter_ms; /* longest delay of the first store read */
	uint32_t relays_per_domain; /* that keep a rendezvous record */
	/*
	 * Meet the other hosts soon after a start, also when the hosts of the
	 * rendezvous records start at the same time. For quotas, which count
	 * the hosts that are known.
	 */
	int join_quickly;
	uint32_t seed;

	/* Called when the distribution or the outbox may have work. */
	void (*changed)(void *data);

	/* Called with each version that is read from the store. */
	void (*version_read)(void *data, uint64_t version);

	void *data; /* passed to the callbacks */
};

/* settings are copied. Never returns NULL. */
struct bootstrap *bootstrap_create(const struct bootstrap_settings *settings);

/* Cancels pending store calls. Does nothing for NULL. */
void bootstrap_destroy(struct bootstrap *bootstrap);

/* Find peers and confirm the floor again after a freeze of the process. */
void bootstrap_restart(struct bootstrap *bootstrap);

/* Start or stop watching the configuration's key. */
void bootstrap_set_watching(struct bootstrap *bootstrap, int watch);

/* Start the store calls and probes that are due. */
void bootstrap_tick(struct bootstrap *bootstrap);

/* The lowest version with which this node may serve, once it is confirmed. */
const struct floor *bootstrap_floor(const struct bootstrap *bootstrap);

/*
 * This node leads the roll-outs: it announces that it lost the store, so that
 * another host takes over.
 */
void bootstrap_set_leading(struct bootstrap *bootstrap, int leading);

/*
 * Record the result of a store call of the leader. Ignored while this node has
 * a watch, which tells as much.
 */
void bootstrap_record_store_result(struct bootstrap *bootstrap, int error);

/*
 * Whether hosts may be up of which this node does not know: it has not read the
 * rendezvous records since its start, or none of the hosts in them has answered.
 * Ends after a while, as they may all be gone.
 */
int bootstrap_awaits_peers(const struct bootstrap *bootstrap);

/* Returns 0 after a store call that failed because the store is unreachable. */
int bootstrap_store_is_up(const struct bootstrap *bootstrap);

#endif
