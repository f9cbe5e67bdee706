/*
 * Text form of one claim record: a line "w WRITER NONCE WALL_MS", then a line
 * "k CLAIMANT NONCE KEY" for each key.
 */
#ifndef FESCUE_CLAIM_RECORD_H
#define FESCUE_CLAIM_RECORD_H

#include <glib.h>
#include <stdint.h>

struct claim_entry {
	uint64_t claimant;
	uint64_t nonce;
	char *key; /* owned */
};

struct claim_header {
	uint64_t writer;
	uint64_t nonce;
	uint64_t wall_ms;
};

/* entries holds struct claim_entry. */
GString *claim_record_encode(const struct claim_header *header,
			     const GArray *entries);

/*
 * Decode; appends to entries, which must own its keys. Lines that make no
 * sense are skipped. Returns 0 or FESCUE_EINVAL when there is no header.
 */
int claim_record_decode(const char *value, size_t size,
			struct claim_header *header, GArray *entries);

/* An array of struct claim_entry that frees its keys. */
GArray *claim_entries_create(void);

#endif
