/*
 * Latency histogram with logarithmic buckets, four per power of two, so that a
 * reported percentile exceeds the exact value by less than a fifth of itself.
 * Values are in microseconds. A zeroed struct is an empty histogram.
 */
#ifndef FESCUE_HISTOGRAM_H
#define FESCUE_HISTOGRAM_H

#include <stdint.h>

#define HISTOGRAM_BUCKETS 160

struct histogram {
	uint64_t count;
	uint64_t max;
	uint64_t sum;
	uint64_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_record(struct histogram *histogram, uint64_t value);

/*
 * Upper bound of the bucket that holds the percentile, 0 < fraction <= 1, but
 * at most the largest recorded value. Returns 0 for an empty histogram.
 */
uint64_t histogram_percentile(const struct histogram *histogram,
			      double fraction);

/* Number of values in buckets that end at or below the bound. */
uint64_t histogram_count_below(const struct histogram *histogram,
			       uint64_t bound);

/* Add the values of one histogram to another. */
void histogram_merge(struct histogram *into, const struct histogram *from);

#endif
