#include "fescue/link_budget.h"

#include <glib.h>
#include <math.h>

#define BYTES_PER_MS_OF_MBIT 125.0
/* Long answers use this part of the link at most. */
#define PACED_SHARE 0.8
/* All traffic together; queues of a link grow fast beyond it. */
#define TOTAL_SHARE 0.9
/* Long answers that the link holds; more would delay short ones. */
#define LINK_QUEUE_MS 10
#define SIZE_SAMPLE_WEIGHT 0.1
#define OTHER_RATE_HALF_LIFE_MS 1000.0
/* The part of a burst that is forgotten would hold up long answers longer. */
#define UNCOUNTED_MAX_MS 500.0
#define KINDS_MAX 1024

struct link_budget {
	uint32_t capacity_mbit;
	double bytes_per_ms; /* of long answers */
	double spare_bytes_per_ms; /* other traffic that takes none of these */
	double free_ms; /* when the link has carried what was sent */
	uint64_t other_bytes; /* sent in all besides long answers */
	uint64_t other_ms; /* when that was recorded; 0: not yet */
	double other_bytes_per_ms; /* moving average */
	double uncounted_bytes; /* of a burst of other traffic */
	double queued_bytes;
	double promised_bytes;
	GHashTable *sizes; /* kind -> double: mean size of its answers */
};

struct link_budget *link_budget_create(uint32_t capacity_mbit)
{
	struct link_budget *b = g_new0(struct link_budget, 1);

	b->capacity_mbit = capacity_mbit;
	b->bytes_per_ms = capacity_mbit * BYTES_PER_MS_OF_MBIT * PACED_SHARE;
	b->spare_bytes_per_ms = capacity_mbit * BYTES_PER_MS_OF_MBIT *
				(TOTAL_SHARE - PACED_SHARE);
	b->sizes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return b;
}

void link_budget_destroy(struct link_budget *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->sizes);
	g_free(b);
}

int link_budget_is_long(const struct link_budget *b, size_t bytes)
{
	return b->capacity_mbit && bytes >= LINK_LONG_ANSWER_BYTES;
}

void link_budget_record_size(struct link_budget *b, uint32_t kind, size_t bytes)
{
	double *mean = g_hash_table_lookup(b->sizes, GUINT_TO_POINTER(kind));

	if (mean) {
		*mean += SIZE_SAMPLE_WEIGHT * ((double)bytes - *mean);
		return;
	}
	if (g_hash_table_size(b->sizes) >= KINDS_MAX)
		g_hash_table_remove_all(b->sizes);
	mean = g_new(double, 1);
	*mean = (double)bytes;
	g_hash_table_insert(b->sizes, GUINT_TO_POINTER(kind), mean);
}

/* Expected bytes of a long answer; 0 if the kind's answers are short. */
static double expected_bytes(const struct link_budget *b, uint32_t kind)
{
	const double *mean =
		g_hash_table_lookup(b->sizes, GUINT_TO_POINTER(kind));

	return mean && link_budget_is_long(b, (size_t)*mean) ? *mean : 0;
}

/* Rate that other traffic leaves to long answers. */
static double long_bytes_per_ms(const struct link_budget *b)
{
	return MAX(b->bytes_per_ms - b->other_bytes_per_ms,
		   b->bytes_per_ms * LINK_LONG_SHARE_MIN);
}

static double wait_ms(const struct link_budget *b, uint64_t now_ms)
{
	double sent_ms = MAX(b->free_ms - (double)now_ms, 0);

	if (!b->capacity_mbit)
		return 0;
	return sent_ms +
	       (b->queued_bytes + b->promised_bytes) / long_bytes_per_ms(b);
}

uint32_t link_budget_limit_ms(uint32_t latency_ms, uint32_t deadline_ms)
{
	return MIN(latency_ms ? latency_ms : deadline_ms / 2, deadline_ms);
}

int link_budget_admits(const struct link_budget *b, uint32_t kind,
		       uint32_t limit_ms, uint64_t now_ms)
{
	double bytes = expected_bytes(b, kind);

	return bytes <= 0 ||
	       wait_ms(b, now_ms) + bytes / long_bytes_per_ms(b) <= limit_ms;
}

size_t link_budget_promise(struct link_budget *b, uint32_t kind)
{
	size_t bytes = (size_t)expected_bytes(b, kind);

	b->promised_bytes += (double)bytes;
	return bytes;
}

void link_budget_release(struct link_budget *b, size_t bytes)
{
	b->promised_bytes = MAX(b->promised_bytes - (double)bytes, 0);
}

void link_budget_queue(struct link_budget *b, size_t bytes)
{
	b->queued_bytes += (double)bytes;
}

void link_budget_unqueue(struct link_budget *b, size_t bytes)
{
	b->queued_bytes = MAX(b->queued_bytes - (double)bytes, 0);
}

uint32_t link_budget_delay_ms(const struct link_budget *b, uint64_t now_ms)
{
	double ms = b->free_ms - LINK_QUEUE_MS - (double)now_ms;

	return ms > 0 ? (uint32_t)ms + 1 : 0;
}

void link_budget_sent(struct link_budget *b, size_t bytes, uint64_t now_ms)
{
	if (!b->capacity_mbit)
		return;
	b->free_ms = MAX(b->free_ms, (double)now_ms) +
		     (double)bytes / b->bytes_per_ms;
}

void link_budget_record_total(struct link_budget *b, uint64_t bytes,
			      uint64_t now_ms)
{
	double ms = (double)(now_ms - b->other_ms), most, others;

	if (!b->capacity_mbit || (b->other_ms && !ms))
		return;
	if (b->other_ms) {
		b->uncounted_bytes += (double)bytes - (double)b->other_bytes -
				      ms * b->spare_bytes_per_ms;
		b->uncounted_bytes = CLAMP(b->uncounted_bytes, 0,
					   UNCOUNTED_MAX_MS * b->bytes_per_ms);
		most = ms * b->bytes_per_ms * (1 - LINK_LONG_SHARE_MIN);
		others = MIN(b->uncounted_bytes, most);
		b->uncounted_bytes -= others;
		b->free_ms = MAX(b->free_ms, (double)b->other_ms) +
			     others / b->bytes_per_ms;
		b->other_bytes_per_ms +=
			(others / ms - b->other_bytes_per_ms) *
			(1 - exp2(-ms / OTHER_RATE_HALF_LIFE_MS));
	}
	b->other_bytes = bytes;
	b->other_ms = now_ms;
}

uint32_t link_budget_wait_ms(const struct link_budget *b, uint64_t now_ms)
{
	return (uint32_t)wait_ms(b, now_ms);
}

uint32_t link_budget_capacity(const struct link_budget *b)
{
	return b->capacity_mbit;
}
