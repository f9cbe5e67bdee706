/*
 * Configuration texts that a node keeps, the active one and a few earlier ones
 * as bases of deltas, and their encoding in ConfigPush messages.
 */
#ifndef FESCUE_VERSION_TEXT_H
#define FESCUE_VERSION_TEXT_H

#include "proto/fescue.pb-c.h"

#include <stddef.h>
#include <stdint.h>

/* A host that is further behind cannot use a delta. */
#define VERSION_HISTORY_TEXTS 8

struct version_text {
	uint64_t version; /* 0: none */
	uint64_t hash; /* config_hash() of the bytes */
	char *bytes; /* followed by a NUL byte */
	size_t size; /* without the NUL byte */
};

struct version_history {
	struct version_text texts[VERSION_HISTORY_TEXTS]; /* newest first */
};

/* Copy size bytes; release the result with version_text_clear(). */
struct version_text version_text_copy(uint64_t version, const char *bytes,
				      size_t size);

/* Free the bytes and reset the text to version 0. */
void version_text_clear(struct version_text *text);

/*
 * Add the newest text and drop the oldest one. Takes ownership of the bytes and
 * resets *text. Its version must be higher than all versions in the history.
 */
void version_history_push(struct version_history *history,
			  struct version_text *text);
void version_history_clear(struct version_history *history);

/* The text with this version and hash, or NULL if the history lacks it. */
const struct version_text *
version_history_find(const struct version_history *history, uint64_t version,
		     uint64_t hash);

/*
 * Set the body of a push: a delta from base if base is not NULL and the delta
 * is short enough, otherwise the whole text. Deflates a long body if that makes
 * it shorter. Sets the fields that describe the body, but not version and hash.
 */
void version_text_encode(const struct version_text *text,
			 const struct version_text *base,
			 Fescue__ConfigPush *push);

/*
 * Rebuild the text of a push. On success returns 0 and stores it in *out;
 * release it with version_text_clear(). Returns FESCUE_EMISMATCH if the body is
 * malformed, the history lacks the base or the hash differs; the node then has
 * to fetch the whole text.
 */
int version_text_decode(const struct version_history *history,
			const Fescue__ConfigPush *push,
			struct version_text *out);

#endif
