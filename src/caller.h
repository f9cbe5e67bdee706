/*
 * Callers: calls that entered the mesh at this node, from the request to the
 * whole answer, with their attempts, deadline and outcome.
 */
#ifndef FESCUE_CALLER_H
#define FESCUE_CALLER_H

#include "node.h"

struct caller_table *caller_table_create(struct node *node, uint32_t seed);
void caller_table_destroy(struct caller_table *callers);

/* Handler of the caller port. */
void caller_table_request(void *data, struct http_exchange *exchange);

/* An answer came for an attempt that was sent to from. */
void caller_table_answer(struct caller_table *callers, uint64_t from,
			 const Fescue__CallAnswer *answer);

/*
 * The link with a peer ended. connected 0 means that nothing sent on it
 * arrived.
 */
void caller_table_peer_gone(struct caller_table *callers, uint64_t peer,
			    int connected);

/* Advance time. */
void caller_table_tick(struct caller_table *callers);

size_t caller_table_in_flight(const struct caller_table *callers);
const struct router *caller_table_router(const struct caller_table *callers);

#endif
