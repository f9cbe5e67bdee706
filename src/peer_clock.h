/*
 * Bounds of the clock of a peer, by which packets on a link tell when they were
 * sent. Clocks are steady, count milliseconds modulo 2^32, start anywhere and
 * drift. The module reads no clock.
 *
 * A reading of the peer's clock is older on arrival than the clock itself. So
 * the reading that was under way for the shortest time gives the best lower
 * bound, and an age computed from the bound is never too small.
 */
#ifndef FESCUE_PEER_CLOCK_H
#define FESCUE_PEER_CLOCK_H

#include <stdint.h>

/* Zero-initialized: unknown. */
struct peer_clock {
	int known;
	uint32_t ahead_ms; /* of the own clock, at least, modulo 2^32 */
	uint32_t read_ms; /* own time when ahead_ms was read */
};

/* Adds a reading of the peer's clock that arrived at the own time. */
void peer_clock_read(struct peer_clock *clock, uint32_t peer_ms,
		     uint32_t own_ms);

/*
 * The earliest time that the peer's clock can show at the own time; 0 if
 * unknown.
 */
uint32_t peer_clock_at(const struct peer_clock *clock, uint32_t own_ms);

/* The time between two readings of one clock; 0 if to is the earlier one. */
uint32_t clock_elapsed_ms(uint32_t from_ms, uint32_t to_ms);

#endif
