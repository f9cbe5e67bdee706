/*
 * Version floor: the lowest configuration version with which a node may serve.
 *
 * A node that starts does not know which version was active before, and
 * the version of one that resumes after a freeze may be out of date. Its floor
 * must then be confirmed: by the store's revision or, while the store is not
 * available, by its peers. Peers confirm it when every known host that did not
 * leave has announced that its own floor is confirmed, and FLOOR_SETTLE_MS have
 * passed since. The floor is then the highest version that any of them
 * announced as active or as its floor. This is safe because a version is applied
 * only while another host holds it, so one of the peers still has it.
 * When too many hosts restarted for this to hold, only the store can confirm
 * the floor. The module reads no clock.
 */
#ifndef FESCUE_FLOOR_H
#define FESCUE_FLOOR_H

#include <stdint.h>

/* Time within which gossip brings the newest version to a joining node. */
#define FLOOR_SETTLE_MS 3000

struct floor {
	uint64_t version;
	int confirmed;
	uint64_t peers_confirmed_since_ms; /* 0: not all are confirmed */
};

/* Revoke the confirmation, as after a start or a freeze; keep the version. */
void floor_reset(struct floor *floor);

/* Confirm the floor with the newest version in the store. */
void floor_confirm_by_store(struct floor *floor, uint64_t version);

/*
 * Raise an unconfirmed floor to highest_version, and confirm it once
 * peers_confirmed was set in all calls for FLOOR_SETTLE_MS. peers_confirmed
 * means that a whole member table was received and that the floor of every host
 * in it is confirmed, see membership_peers_confirmed(). Returns 1 when this
 * call confirmed the floor. Does nothing when the floor is confirmed already.
 */
int floor_confirm_by_peers(struct floor *floor, int peers_confirmed,
			   uint64_t highest_version, uint64_t now_ms);

/* May a node serve while this version is active on it? */
int floor_allows(const struct floor *floor, uint64_t version);

#endif
