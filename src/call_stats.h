/*
 * Statistics of each route, as moving averages over its answers. Routes are
 * identified by their kind.
 */
#ifndef FESCUE_CALL_STATS_H
#define FESCUE_CALL_STATS_H

#include "fescue/rules.h"

struct call_stats;

struct call_stats *call_stats_create(void);
void call_stats_destroy(struct call_stats *stats);

/* Record the size of an answer's body. */
void call_stats_record_body_size(struct call_stats *stats,
				 const struct route_rule *route,
				 size_t body_bytes);

/*
 * Record the mean service time (time in a slot) that a host reports for the
 * route's calls; 0: unknown. Returns the service time ratio of the host, its
 * time over the mean of all hosts that answered: 1 for the first one, 0 if
 * service_us is 0.
 */
double call_stats_record_service_time(struct call_stats *stats,
				      const struct route_rule *route,
				      uint32_t service_us);

/* Expected kB that a call puts on the link between two nodes, both ways. */
double call_stats_expected_kilobytes(const struct call_stats *stats,
				     const struct route_rule *route);

/* Expected service time in ms; 0 while unknown. */
double call_stats_expected_service_ms(const struct call_stats *stats,
				      const struct route_rule *route);

#endif
