/*
 * A call to the store stand-in and the parser of its HTTP request, which is in
 * the platform's protocol.
 */
#ifndef FESCUE_STORE_CALL_H
#define FESCUE_STORE_CALL_H

#include "http_server.h"

#include <jansson.h>

struct store;

enum call_type {
	CALL_KEY,
	CALL_RANGE,
	CALL_WATCH,
	CALL_TXN,
	CALL_LEASE_GRANT,
	CALL_LEASE_KEEP,
	CALL_LEASE_END,
	CALL_INVALID,
};

/* A call that has not been answered. */
struct call {
	struct store *store;
	struct http_exchange *exchange; /* NULL: the client disconnected */
	enum call_type type;
	char *key; /* or a prefix of keys; empty if the request has none */
	char *after_key; /* last key of the previous page, or NULL */
	uint64_t number; /* start revision of a watch, lease id or TTL in ms */
	uint64_t timeout_ms; /* of a watch */
	json_t *body; /* of a transaction or the creation of a lease */
	uv_timer_t timer; /* delays the answer or ends a watch */
	int waiting; /* is in the list of watches */
	int held; /* is in the list of calls that get no answer */
};

/* Parses call->exchange; sets type to CALL_INVALID if that fails. */
void store_call_parse(struct call *call);

/* Returns whether the call counts as a write. Renewing a lease does not. */
int store_call_is_write(enum call_type type);

#endif
