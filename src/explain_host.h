/* The hosts of a service in an explanation. */
#ifndef FESCUE_EXPLAIN_HOST_H
#define FESCUE_EXPLAIN_HOST_H

#include "fescue/router.h"
#include "operator.h"

#include <jansson.h>

/* Returns an array of the hosts, with their cost or why they get no call. */
json_t *explain_hosts(const struct operator_view *view,
		      const struct router_host *hosts, size_t count);

/*
 * Appends the hosts that belong to the service and are not among those that
 * serve it: dead, leaving or without a serving backend server.
 */
void explain_unavailable_hosts(const struct operator_view *view,
			       const char *service, json_t *hosts);

#endif
