#include "fescue/floor.h"

void floor_reset(struct floor *floor)
{
	floor->confirmed = 0;
	floor->vouched_since_ms = 0;
}

static void raise_to(struct floor *floor, uint64_t version)
{
	if (version > floor->version)
		floor->version = version;
}

void floor_confirm_by_store(struct floor *floor, uint64_t version)
{
	raise_to(floor, version);
	floor->confirmed = 1;
}

int floor_confirm_by_peers(struct floor *floor, int vouched,
			   uint64_t highest_version, uint64_t now_ms)
{
	/* Once it serves, a node may lag behind a change that is under way. */
	if (floor->confirmed)
		return 0;
	raise_to(floor, highest_version);
	if (!vouched) {
		floor->vouched_since_ms = 0;
		return 0;
	}
	if (!floor->vouched_since_ms)
		floor->vouched_since_ms = now_ms;
	if (now_ms < floor->vouched_since_ms + FLOOR_SETTLE_MS)
		return 0;
	floor->confirmed = 1;
	return 1;
}

int floor_allows(const struct floor *floor, uint64_t version)
{
	return floor->confirmed && version >= floor->version;
}
