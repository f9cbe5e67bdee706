/*
 * Leaving record: what the store holds about the last backend server of this
 * host that announced that it leaves. Peers hold it too and give it back to a
 * node that restarts, but not when all nodes die at the same time.
 *
 * The record is never removed, only replaced by that of a later backend server:
 * it names one run of a backend server, so it does not concern other ones.
 */
#ifndef FESCUE_LEAVING_RECORD_H
#define FESCUE_LEAVING_RECORD_H

#include "node_context.h"
#include "platform/store_client.h"

struct leaving_record;

/* Everything that is pointed to must outlive the record. */
struct leaving_record_settings {
	const struct node_context *context; /* for the time */
	struct store_client *store;
	struct address peer_address; /* identifies the host */
	uint32_t start_jitter_ms; /* longest delay of the first read */
	uint32_t seed;

	/*
	 * Called once the record was read: with the fingerprint, see
	 * announcement_fingerprint(), or 0 if there is none.
	 */
	void (*loaded)(void *data, uint64_t left);

	/* Called when the last fingerprint that was set has been saved. */
	void (*saved)(void *data);

	void *data; /* passed to the callbacks */
};

/* settings are copied. Never returns NULL. */
struct leaving_record *
leaving_record_create(const struct leaving_record_settings *settings);

/* Cancels pending store calls. Does nothing for NULL. */
void leaving_record_destroy(struct leaving_record *record);

/*
 * Save the fingerprint of a backend server that is leaving. Writes are repeated
 * until the store has accepted one.
 */
void leaving_record_set(struct leaving_record *record, uint64_t left);

/* Returns 0 while a fingerprint that was set has not been saved. */
int leaving_record_is_saved(const struct leaving_record *record);

/* Start the store calls that are due. */
void leaving_record_tick(struct leaving_record *record);

#endif
