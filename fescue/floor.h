/*
 * Floor: the version below which a node must not serve.
 *
 * A node that starts, or wakes from a freeze, does not know which version it
 * had before. Its floor is confirmed by the store's own revision or, while
 * the store is out, by peers: once every known host has said that it knows
 * its own floor and the settle time has passed, the highest version any of
 * them was seen to have in force or as its floor. A version is only put in force while
 * another host holds it, so one of them remembers it; when too many hosts
 * restarted to be sure of that, only the store can confirm. The module reads
 * no clock.
 */
#ifndef FESCUE_FLOOR_H
#define FESCUE_FLOOR_H

#include <stdint.h>

/* Time in which gossip brings the newest version to a joining node. */
#define FLOOR_SETTLE_MS 3000

struct floor {
	uint64_t version;
	int confirmed;
	uint64_t vouched_since_ms; /* 0: not all peers have vouched */
};

/* Forget the confirmation, as after a start or a freeze. */
void floor_reset(struct floor *floor);

/* The store said that the newest version is this one. */
void floor_confirm_by_store(struct floor *floor, uint64_t version);

/*
 * Tell what peers have shown. Returns 1 when this call confirmed the floor.
 * vouched: a whole table was received and every host in it has vouched.
 */
int floor_confirm_by_peers(struct floor *floor, int vouched,
			   uint64_t highest_version, uint64_t now_ms);

/* May a node with this version in force serve? */
int floor_allows(const struct floor *floor, uint64_t version);

#endif
