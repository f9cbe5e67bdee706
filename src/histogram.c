#include "fescue/histogram.h"

/* Each power of two is split into 2^SUB_BITS linear buckets. */
#define SUB_BITS 2
#define SUB_BUCKETS (1u << SUB_BITS)

static unsigned bucket_index(uint64_t value)
{
	unsigned shift, bucket;

	if (value < SUB_BUCKETS)
		return (unsigned)value;
	shift = 63 - (unsigned)__builtin_clzll(value) - SUB_BITS;
	bucket = (shift + 1) * SUB_BUCKETS +
		 (unsigned)((value >> shift) & (SUB_BUCKETS - 1));
	return bucket < HISTOGRAM_BUCKETS ? bucket : HISTOGRAM_BUCKETS - 1;
}

static uint64_t bucket_upper_bound(unsigned bucket)
{
	unsigned shift;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = bucket / SUB_BUCKETS - 1;
	return ((SUB_BUCKETS + bucket % SUB_BUCKETS + 1ull) << shift) - 1;
}

void histogram_record(struct histogram *histogram, uint64_t value)
{
	histogram->count++;
	histogram->sum += value;
	histogram->buckets[bucket_index(value)]++;
	if (value > histogram->max)
		histogram->max = value;
}

uint64_t histogram_percentile(const struct histogram *histogram,
			      double fraction)
{
	uint64_t rank =
		(uint64_t)(fraction * (double)histogram->count + 0.999999);
	uint64_t count = 0;

	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		uint64_t bound = bucket_upper_bound(i);

		count += histogram->buckets[i];
		if (count >= rank && count)
			return bound < histogram->max ? bound : histogram->max;
	}
	return histogram->max;
}

uint64_t histogram_count_below(const struct histogram *histogram,
			       uint64_t bound)
{
	uint64_t count = 0;

	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		if (bucket_upper_bound(i) <= bound)
			count += histogram->buckets[i];
	return count;
}

void histogram_merge(struct histogram *into, const struct histogram *from)
{
	into->count += from->count;
	into->sum += from->sum;
	if (from->max > into->max)
		into->max = from->max;
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
}
