/*
 * The stored form of a configuration: a header line, then the rules text.
 *
 *   fescue 1 CHANGE [ANCESTOR ...]
 *
 * CHANGE is the id of the write that stored the value. The ancestors are the
 * ids of the latest writes that it is based on, newest first. They let a writer
 * whose reply was lost find out whether its write took effect.
 */
#ifndef FESCUE_ENVELOPE_H
#define FESCUE_ENVELOPE_H

#include <stddef.h>
#include <stdint.h>

#define ENVELOPE_ANCESTORS_MAX 64 /* older ones are dropped */

struct envelope {
	uint64_t change_id;
	/* Change ids, newest first. */
	uint64_t ancestors[ENVELOPE_ANCESTORS_MAX];
	size_t ancestor_count;
	const char *text; /* points into the parsed value */
	size_t text_size;
};

enum envelope_change_status {
	ENVELOPE_CHANGE_CURRENT, /* the stored value is of this change */
	ENVELOPE_CHANGE_SUPERSEDED, /* it was stored, then later ones */
	ENVELOPE_CHANGE_NOT_FOUND, /* never stored, or too old to be listed */
};

/*
 * Parse a stored value, which must outlive *out. Returns 0, or FESCUE_EINVAL
 * if the header line is malformed. The rules text is not checked.
 */
int envelope_parse(const char *value, size_t size, struct envelope *out);

/*
 * Build the value that stores text under change_id. base is the envelope that
 * it replaces, or NULL if there is none. Stores the size of the value in *size.
 * Release the value with g_free().
 */
char *envelope_build(uint64_t change_id, const struct envelope *base,
		     const char *text, size_t text_size, size_t *size);

/* Look up a change in the envelope that is stored now. */
enum envelope_change_status envelope_find_change(const struct envelope *stored,
						 uint64_t change_id);

#endif
