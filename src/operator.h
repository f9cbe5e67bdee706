/*
 * HTTP handler of the operator port: counters, metrics, status, explanations of
 * routing and the active rules file, and announcements of the local backend
 * server.
 */
#ifndef FESCUE_OPERATOR_H
#define FESCUE_OPERATOR_H

#include "backend_server.h"
#include "bootstrap.h"
#include "caller.h"
#include "counters.h"
#include "fescue/distribution.h"
#include "fescue/membership.h"
#include "fescue/snapshot.h"
#include "http_server.h"

/* What the handler reads; all of it must outlive the server. */
struct operator_view {
	const struct node_context *context; /* for the time */
	const struct counters *counters;
	const struct membership *membership;
	const struct distribution *distribution;
	const struct bootstrap *bootstrap;
	const struct caller_table *callers;
	struct backend_server *backend;
	struct address peer_address;
	const char *failure_domain;
	/* The active configuration, or NULL; valid during the request. */
	const struct snapshot *(*snapshot)(void *data);
	/* Whether the node serves callers; if not, *reason is a static text. */
	int (*is_ready)(void *data, const char **reason);
	int (*is_stopping)(void *data);
	int (*is_isolated)(void *data); /* no peer has answered for a while */
	/* Whether keys are accepted, and the age of what decides on that. */
	int (*keys_allowed)(void *data);
	uint64_t (*keys_age_ms)(void *data);
	void *data;
};

/* Serve one request; data is a struct operator_view. */
void operator_request(void *data, struct http_exchange *exchange);

#endif
