/*
 * The stored form of a configuration: one header line, then the rules text.
 *
 *   fescue 1 CHANGE [ANCESTOR ...]
 *
 * CHANGE identifies the write; the ancestors are the latest writes it was
 * based on, newest first. They settle whether a write whose answer was lost
 * took effect.
 */
#ifndef FESCUE_ENVELOPE_H
#define FESCUE_ENVELOPE_H

#include <stddef.h>
#include <stdint.h>

#define ENVELOPE_ANCESTORS_MAX 64

struct envelope {
	uint64_t change;
	uint64_t ancestors[ENVELOPE_ANCESTORS_MAX];
	size_t ancestor_count;
	const char *text; /* points into the parsed value */
	size_t text_size;
};

enum envelope_fate {
	ENVELOPE_CURRENT, /* the change is the stored one */
	ENVELOPE_REPLACED, /* it was stored and later changes followed */
	ENVELOPE_ABSENT, /* it never took effect, or is too old to tell */
};

/* Parse a stored value. Returns 0 or FESCUE_EINVAL. */
int envelope_parse(const char *value, size_t size, struct envelope *out);

/*
 * Build a stored value for a change based on an earlier one, base may be
 * NULL for the first. Release with g_free().
 */
char *envelope_build(uint64_t change, const struct envelope *base,
		     const char *text, size_t text_size, size_t *size);

/* What became of a change, judged by the value stored now. */
enum envelope_fate envelope_find(const struct envelope *stored,
				 uint64_t change);

#endif
