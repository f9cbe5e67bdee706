/*
 * Service times and recent work of calls by kind, for admission. Times are in
 * milliseconds of one monotonic clock, service times in microseconds.
 */
#ifndef FESCUE_KIND_STATS_H
#define FESCUE_KIND_STATS_H

#include <stdint.h>

/* Weight of the latest service time in a moving average. */
#define SERVICE_TIME_EWMA_WEIGHT 0.05
#define GRANTED_WORK_HALF_LIFE_MS 1000.0

struct kind_stats;

/* Never returns NULL. */
struct kind_stats *kind_stats_create(void);
void kind_stats_destroy(struct kind_stats *stats);

/* Record the service time of a call that has ended. */
void kind_stats_record_run(struct kind_stats *stats, uint32_t kind,
			   double service_us);

/* Record that a call of this rank got a slot. */
void kind_stats_record_grant(struct kind_stats *stats, uint32_t kind,
			     uint32_t rank, uint64_t now_ms);

/*
 * Mean service time of the kind; 0 until a call of it has ended, so that an
 * estimate can't keep the first one from being started.
 */
double kind_stats_service_us(const struct kind_stats *stats, uint32_t kind);

/*
 * Slots that were lately kept busy by the kinds with a shorter service time
 * whose calls have this rank or a lower one.
 */
double kind_stats_shorter_slots(const struct kind_stats *stats,
				double service_us, uint32_t rank,
				uint64_t now_ms);

#endif
