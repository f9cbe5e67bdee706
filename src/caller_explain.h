/*
 * What the entry node would do with a request that arrives now, for operators.
 * Nothing is sent or changed by these functions: no counter, statistics, random
 * state, budget or token.
 */
#ifndef FESCUE_CALLER_EXPLAIN_H
#define FESCUE_CALLER_EXPLAIN_H

#include "caller.h"

/* An answer of the node itself: the call does not run. */
struct caller_rejection {
	int status; /* 0: the request is not rejected */
	uint32_t retry_after_ms; /* suggested; 0: none */
	const char *reason; /* static text */
};

/* A request; the pointers are borrowed. */
struct caller_question {
	const struct snapshot *snapshot;
	enum route_lookup lookup; /* result of snapshot_find_route() */
	struct route_handle route; /* valid on ROUTE_FOUND */
	const struct route_rule *rule; /* NULL on ROUTE_UNKNOWN */
	int has_key;
	const struct account_rule *account; /* of the snapshot; NULL: none */
};

/*
 * Rejection on arrival: the node serves no callers, there is no route, or the
 * account may not use it.
 */
void caller_preview_arrival(const struct caller_table *callers,
			    const struct caller_question *question,
			    struct caller_rejection *rejection);

/*
 * Returns 0 if the account has no limit here, else fills in the preview and,
 * if the request would be refused, the rejection.
 */
int caller_preview_quota(const struct caller_table *callers,
			 const struct account_rule *account,
			 struct quota_preview *preview,
			 struct caller_rejection *rejection);

/* The first attempt at one target of the route. */
struct caller_target_preview {
	struct router_request request; /* has the estimates of such calls */
	const struct rollout *rollout; /* of the service; NULL: none */
	struct router_forecast forecast;
	struct router_host *hosts; /* all hosts of the service that serve */
	size_t host_count;
	struct caller_rejection rejection;
};

/* Only on ROUTE_FOUND. Release the result with the function below. */
void caller_preview_target(const struct caller_table *callers,
			   const struct caller_question *question,
			   uint32_t target,
			   struct caller_target_preview *preview);
void caller_target_preview_clear(struct caller_target_preview *preview);

#endif
