/*
 * Difference between two texts: the bytes of the new one between the prefix
 * and the suffix that both share.
 */
#ifndef FESCUE_DELTA_H
#define FESCUE_DELTA_H

#include <stddef.h>
#include <stdint.h>

struct delta {
	uint32_t prefix_bytes;
	uint32_t suffix_bytes;
	const char *middle; /* points into the new text */
	size_t middle_bytes;
};

/* Compute the difference that leads from base to text. */
struct delta delta_compute(const char *base, size_t base_size, const char *text,
			   size_t size);

/*
 * Apply a difference. On success stores a new buffer in *out, to be released
 * with g_free(), and returns 0; FESCUE_EMISMATCH when it does not fit base.
 */
int delta_apply(const char *base, size_t base_size, const struct delta *delta,
		char **out, size_t *size);

#endif
