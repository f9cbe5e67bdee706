#include "peer_clock.h"

/* Two quartz clocks drift apart by at most 1 ms in this time. */
#define DRIFT_INTERVAL_MS 5000

uint32_t clock_elapsed_ms(uint32_t from_ms, uint32_t to_ms)
{
	int32_t elapsed = (int32_t)(to_ms - from_ms);

	return elapsed > 0 ? (uint32_t)elapsed : 0;
}

static uint32_t ahead_at_least(const struct peer_clock *clock, uint32_t own_ms)
{
	return clock->ahead_ms -
	       clock_elapsed_ms(clock->read_ms, own_ms) / DRIFT_INTERVAL_MS;
}

void peer_clock_read(struct peer_clock *clock, uint32_t peer_ms,
		     uint32_t own_ms)
{
	uint32_t ahead_ms = peer_ms - own_ms;

	if (clock->known &&
	    (int32_t)(ahead_ms - ahead_at_least(clock, own_ms)) < 0)
		return;
	clock->known = 1;
	clock->ahead_ms = ahead_ms;
	clock->read_ms = own_ms;
}

uint32_t peer_clock_at(const struct peer_clock *clock, uint32_t own_ms)
{
	uint32_t at_ms;

	if (!clock->known)
		return 0;
	at_ms = own_ms + ahead_at_least(clock, own_ms);
	return at_ms ? at_ms : UINT32_MAX;
}
