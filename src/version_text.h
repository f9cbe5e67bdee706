/*
 * The configuration texts one node holds: what is in force, a few earlier
 * versions as bases of differences, and how they travel.
 */
#ifndef FESCUE_VERSION_TEXT_H
#define FESCUE_VERSION_TEXT_H

#include "proto/fescue.pb-c.h"

#include <stddef.h>
#include <stdint.h>

#define VERSION_HISTORY_TEXTS 8 /* bases that a host may have missed by */

struct version_text {
	uint64_t version; /* 0: none */
	uint64_t hash;
	char *bytes;
	size_t size;
};

struct version_history {
	struct version_text texts[VERSION_HISTORY_TEXTS]; /* newest first */
};

/* Copy of the bytes; release with version_text_clear(). */
struct version_text version_text_copy(uint64_t version, const char *bytes,
				      size_t size);
void version_text_clear(struct version_text *text);

/* Make text the newest; takes it over. Its version must be higher. */
void version_history_push(struct version_history *history,
			  struct version_text *text);
void version_history_clear(struct version_history *history);

/* The held text with this version and hash, or NULL. */
const struct version_text *
version_history_find(const struct version_history *history, uint64_t version,
		     uint64_t hash);

/* Fill in the push's body: a difference from base when that is shorter. */
void version_text_encode(const struct version_text *text,
			 const struct version_text *base,
			 Fescue__ConfigPush *push);

/*
 * Rebuild the pushed text. Returns 0, or FESCUE_EMISMATCH when the base is
 * not held or the checksum differs, which asks for the whole text.
 */
int version_text_decode(const struct version_history *history,
			const Fescue__ConfigPush *push,
			struct version_text *out);

#endif
