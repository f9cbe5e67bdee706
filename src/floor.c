#include "fescue/floor.h"

void floor_reset(struct floor *floor)
{
	floor->confirmed = 0;
	floor->peers_confirmed_since_ms = 0;
}

static void raise_version(struct floor *floor, uint64_t version)
{
	if (version > floor->version)
		floor->version = version;
}

void floor_confirm_by_store(struct floor *floor, uint64_t version)
{
	raise_version(floor, version);
	floor->confirmed = 1;
}

int floor_confirm_by_peers(struct floor *floor, int peers_confirmed,
			   uint64_t highest_version, uint64_t now_ms)
{
	/* A serving node may lag behind a change that is being rolled out. */
	if (floor->confirmed)
		return 0;
	raise_version(floor, highest_version);
	if (!peers_confirmed) {
		floor->peers_confirmed_since_ms = 0;
		return 0;
	}
	if (!floor->peers_confirmed_since_ms)
		floor->peers_confirmed_since_ms = now_ms;
	if (now_ms < floor->peers_confirmed_since_ms + FLOOR_SETTLE_MS)
		return 0;
	floor->confirmed = 1;
	return 1;
}

int floor_allows(const struct floor *floor, uint64_t version)
{
	return floor->confirmed && version >= floor->version;
}
