/*
 * A node's business with the store: finding peers at start-up, the version
 * floor, the watch of a relay and the rendezvous record of a relay.
 */
#ifndef FESCUE_BOOTSTRAP_H
#define FESCUE_BOOTSTRAP_H

#include "fescue/distribution.h"
#include "fescue/floor.h"
#include "fescue/membership.h"
#include "interface.h"
#include "platform/store_client.h"
#include "node_context.h"

struct bootstrap;

/* What the task uses; all of it must outlive the task. */
struct bootstrap_settings {
	const struct node_context *context; /* for the time */
	struct store_client *store;
	struct membership *membership;
	struct distribution *distribution;
	struct outbox *outbox;
	enum interface_type interface;
	struct address peer_address; /* of this node, for its record */
	const char *failure_domain;
	uint32_t start_jitter_ms; /* spread of the first store reads */
	uint32_t relays_per_domain; /* that keep a record */
	uint32_t seed;
	/* The distribution or the outbox has something to carry out. */
	void (*changed)(void *data);
	/* The store showed a version. */
	void (*saw_version)(void *data, uint64_t version);
	void *data;
};

struct bootstrap *bootstrap_create(const struct bootstrap_settings *settings);
void bootstrap_destroy(struct bootstrap *bootstrap);

/* Find peers and learn the floor again, as after a start or a freeze. */
void bootstrap_restart(struct bootstrap *bootstrap);

/* Begin or end to watch the configuration's key. */
void bootstrap_watch(struct bootstrap *bootstrap, int watch);

/* Advance time. */
void bootstrap_tick(struct bootstrap *bootstrap);

/* The version below which this node must not serve. */
const struct floor *bootstrap_floor(const struct bootstrap *bootstrap);

/* Did the store answer the last call made to it? */
int bootstrap_store_is_up(const struct bootstrap *bootstrap);

#endif
