/*
 * What the calls of each route are like, learnt from their answers.
 */
#ifndef FESCUE_CALL_STATS_H
#define FESCUE_CALL_STATS_H

#include "fescue/rules.h"

struct call_stats;

struct call_stats *call_stats_create(void);
void call_stats_destroy(struct call_stats *stats);

/* An answer of the route had a body of this many bytes. */
void call_stats_note_size(struct call_stats *stats,
			  const struct route_rule *route, size_t body_bytes);

/*
 * A host takes this long for the route's calls. Returns how slow it is: its
 * time, of the mean of all hosts that answered; 1 for the first.
 */
double call_stats_note_service(struct call_stats *stats,
			       const struct route_rule *route,
			       uint32_t service_us);

/* Expected kB on the link between two nodes, both ways. */
double call_stats_kilobytes(const struct call_stats *stats,
			    const struct route_rule *route);

/* Expected milliseconds in a slot, 0 while not known. */
double call_stats_service_ms(const struct call_stats *stats,
			     const struct route_rule *route);

#endif
