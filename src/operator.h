/*
 * The operator port: counters, status, explanations, and the announcements
 * of the own backend server.
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

/* What the port shows; all of it must outlive the server. */
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
	/* The configuration in force, or NULL. */
	const struct snapshot *(*snapshot)(void *data);
	/* May the node serve callers, and if not, why (a static text)? */
	int (*is_ready)(void *data, const char **why);
	int (*is_stopping)(void *data);
	int (*is_cut_off)(void *data);
	void *data;
};

/* Handler of the operator port; data is a struct operator_view. */
void operator_request(void *data, struct http_exchange *exchange);

#endif
