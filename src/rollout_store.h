/*
 * Roll-outs in the store: reads the orders and the records once at the start of
 * the node, and while this node leads, watches the orders and carries out the
 * reads and writes that the leader module asks for.
 */
#ifndef FESCUE_ROLLOUT_STORE_H
#define FESCUE_ROLLOUT_STORE_H

#include "fescue/rollout_leader.h"
#include "node_context.h"
#include "platform/store_client.h"

struct rollout_store;

/* Everything that is pointed to must outlive the rollout_store. */
struct rollout_store_settings {
	const struct node_context *context; /* for time and counters */
	struct store_client *store;
	struct rollout_leader *leader;
	uint32_t start_jitter_ms; /* longest delay of the first read */
	uint32_t seed;

	/* Returns whether the service is known; orders for others are refused. */
	int (*knows_service)(void *data, const char *service);

	/*
	 * Called at the start for each order with what the store holds of it,
	 * for rollout_apply_stored().
	 */
	void (*stored)(void *data, const struct rollout_state *state);

	/* Called after each store call of the leader with its error, or 0. */
	void (*store_result)(void *data, int error);

	/* Called when a write failed because the record has changed. */
	void (*conflict)(void *data);

	void *data; /* passed to the callbacks */
};

/* settings are copied. Never returns NULL. */
struct rollout_store *
rollout_store_create(const struct rollout_store_settings *settings);

/* Cancels pending store calls. Does nothing for NULL. */
void rollout_store_destroy(struct rollout_store *store);

/* Starts the store calls that are due. */
void rollout_store_tick(struct rollout_store *store);

/* Returns 1 once the orders and records of the start are known. */
int rollout_store_is_loaded(const struct rollout_store *store);

/* Peers have told all states: nothing is left to be read at the start. */
void rollout_store_set_loaded(struct rollout_store *store);

/* Returns 1 after a read of the start that failed. */
int rollout_store_has_failed(const struct rollout_store *store);

/*
 * Starts or ends the work for the leader module, which must have been made
 * active or inactive before. Reads and writes that are pending at the end go on,
 * since the module awaits the result of each write.
 */
void rollout_store_set_leading(struct rollout_store *store, int leading);

/* Returns the latest valid order of a service, or NULL. */
const struct rollout_order *
rollout_store_order(const struct rollout_store *store, const char *service);

#endif
