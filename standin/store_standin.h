/*
 * Stand-in of the platform's key-value store: conditional writes, leases,
 * watches and fault injection over the platform's protocol.
 *
 * Faults are set by the functions below or by HTTP requests to /control/faults.
 * As on the platform, a connection on which an answer was lost returns nothing
 * further, also when the fault has ended.
 */
#ifndef FESCUE_STORE_STANDIN_H
#define FESCUE_STORE_STANDIN_H

#include "fescue/address.h"

#include <stddef.h>
#include <uv.h>

struct store;

/* Whether calls are served, refused, or held without an answer. */
enum outage { OUTAGE_NONE, OUTAGE_REFUSE, OUTAGE_HANG };

/* Serves calls on the loop. Returns 0 or FESCUE_EIO. */
int store_standin_create(uv_loop_t *loop, struct address address,
			 struct store **out);

/* Ends all calls; the memory is freed when the loop runs next. */
void store_standin_destroy(struct store *store);

/*
 * Starts or ends an outage. Watches that wait when an outage begins are cut, or
 * held with OUTAGE_HANG.
 */
void store_standin_set_outage(struct store *store, enum outage outage);

/*
 * Takes a copy of all that the store holds, in place of an earlier one, and
 * comes back from it: what was written since is gone, leases too, and its
 * revisions are given out again. The era rises by one, and watches that wait are
 * cut. Without a copy, nothing happens.
 */
void store_standin_copy(struct store *store);
void store_standin_restore(struct store *store);

/* Sets the era that all answers tell; 0, as at the start: they tell none. */
void store_standin_set_era(struct store *store, uint64_t era);

/* Ends all leases at once, as an outage may. */
void store_standin_end_leases(struct store *store);

/* Returns whether the key exists. */
int store_standin_has(struct store *store, const char *key);

/* Writes a value as the operator does. */
void store_standin_put(struct store *store, const char *key, const char *value,
		       size_t size);

#endif
