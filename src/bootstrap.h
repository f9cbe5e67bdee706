/*
 * A node's business with the store: finding peers at start-up, the version
 * floor, the watch of a relay and the rendezvous record of a relay.
 */
#ifndef FESCUE_BOOTSTRAP_H
#define FESCUE_BOOTSTRAP_H

#include "fescue/floor.h"
#include "node.h"

struct bootstrap *bootstrap_create(struct node *node, uint32_t seed);
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
