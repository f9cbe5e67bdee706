/*
 * Delta between two texts: the lengths of their common prefix and suffix, and
 * the bytes of the new text in between.
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

/* Compute the delta that turns base into text. The result refers to text. */
struct delta delta_compute(const char *base, size_t base_size, const char *text,
			   size_t size);

/*
 * Rebuild a text from base and a delta. On success returns 0 and stores the
 * text, followed by a NUL byte, in *out and its size without that byte in
 * *size. Release the text with g_free(). Returns FESCUE_EMISMATCH if base is
 * shorter than the prefix and suffix together. A wrong base of sufficient size
 * is not detected; compare a hash of the result.
 */
int delta_apply(const char *base, size_t base_size, const struct delta *delta,
		char **out, size_t *size);

#endif
