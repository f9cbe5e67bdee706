/*
 * One call to the store stand-in, parsed from its HTTP request.
 */
#ifndef FESCUE_STORE_CALL_H
#define FESCUE_STORE_CALL_H

#include "http_server.h"

struct store;

enum call_type {
	CALL_GET,
	CALL_LIST,
	CALL_PUT,
	CALL_DELETE,
	CALL_WATCH,
	CALL_LEASE_GRANT,
	CALL_LEASE_RENEW,
	CALL_BAD,
};

/* One call between its arrival and its answer. */
struct call {
	struct store *store;
	struct http_exchange *exchange; /* NULL when the client left */
	enum call_type type;
	char *key; /* or prefix */
	uint64_t number; /* expected revision, watch base, lease or ttl */
	uint64_t lease;
	uint64_t timeout_ms;
	int revision_only;
	char *value;
	size_t size;
	uv_timer_t timer;
	int waiting; /* in the list of watches */
};

/* Fill in the call from its exchange; CALL_BAD when it makes no sense. */
void store_call_parse(struct call *call);

int store_call_is_write(enum call_type type);

#endif
