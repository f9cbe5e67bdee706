/*
 * Entry node of calls: receives requests on the caller port, sends each to a
 * host that the router chooses, retries failed attempts and answers the caller.
 */
#ifndef FESCUE_CALLER_H
#define FESCUE_CALLER_H

#include "fescue/retry.h"
#include "fescue/router.h"
#include "fescue/snapshot.h"
#include "http_server.h"
#include "node_context.h"
#include "quota_task.h"

struct caller_table;

struct caller_settings {
	enum router_policy router_policy;
	uint32_t cross_domain_ms_per_kb; /* see struct router_settings */
	const char *failure_domain; /* of this host */
	/*
	 * Service of the local backend server, which the caller-service header
	 * names; "" if unknown.
	 */
	const char *service;
	struct rollouts *rollouts; /* NULL: there are no roll-outs */
	uint32_t retry_burst; /* see retry_budgets_create() */
	/*
	 * Share of calls that may be hedged where neither the route nor the
	 * service has a hedge option; 0: none.
	 */
	uint32_t hedge_percent;
	uint32_t seed; /* of the random choices of hosts and route targets */
	struct quota_task *quota; /* NULL: accounts have no quotas */
	/*
	 * Return the configuration for a new call, borrowed, or NULL and store
	 * in *reason the reason that the caller gets.
	 */
	struct snapshot *(*snapshot)(void *data, const char **reason);
	/*
	 * Return 1 if keys of accounts are accepted now, else 0 and store when
	 * to try again. NULL: always.
	 */
	int (*keys_allowed)(void *data, uint32_t *retry_after_ms);
	/*
	 * Return 1 while the node is stopping: it then closes each connection
	 * after an answer, so that the caller opens a new one.
	 */
	int (*is_stopping)(void *data);
	/* Return the last known epoch of a host; 0 if unknown. */
	uint64_t (*host_epoch)(void *data, uint64_t host);
	void *data; /* first argument of the callbacks */
};

/* context and the strings in settings are borrowed; they outlive the table. */
struct caller_table *
caller_table_create(const struct node_context *context,
		    const struct caller_settings *settings);
void caller_table_destroy(struct caller_table *callers);

/*
 * Request handler of the caller port's HTTP server; data is the caller_table.
 * Takes over the exchange and answers it when the call ends.
 */
void caller_table_handle_request(void *data, struct http_exchange *exchange);

/*
 * Handle an answer from host from. Ignored unless it belongs to a pending
 * attempt that was sent to that host.
 */
void caller_table_handle_answer(struct caller_table *callers, uint64_t from,
				const Fescue__CallAnswer *answer);

/*
 * Handle a host's reply to a query that the attempt is still queued or running
 * there.
 */
void caller_table_handle_running(struct caller_table *callers, uint64_t from,
				 uint64_t call_id);

/*
 * Handle the loss of the link to a peer. If it was connected, the peer is
 * queried for the outcome of each attempt pending there; an attempt too old for
 * that ends as unknown. connected is 0 if nothing sent on the link was
 * delivered: its attempts did not run, except that one already being queried
 * ends as unknown.
 */
void caller_table_peer_disconnected(struct caller_table *callers, uint64_t peer,
				    int connected);

/*
 * Handle that the body of a call was not sent whole to a host, so that the call
 * has not run and never will: the link broke, or else (broken is 0) the host does
 * not take bodies of that length. Ignored unless the attempt is pending there.
 */
void caller_table_handle_undelivered(struct caller_table *callers,
				     uint64_t host, uint64_t call_id,
				     int broken);

/*
 * The node ends at end_ms, or when no call is left: refuse calls that can no
 * longer run before then. Those that wait at a host are recalled; running ones
 * go on. Call regularly while the node stops.
 */
void caller_table_end_waits(struct caller_table *callers, uint64_t end_ms);

/* Set the number of nodes that share the settings' retry_burst. */
void caller_table_set_nodes(struct caller_table *callers, size_t nodes);

/*
 * Call regularly: ends attempts whose query timed out and drops host
 * statistics that are no longer used.
 */
void caller_table_tick(struct caller_table *callers);

/* Reads the key that a request carries; its size is 0 if there is none. */
struct http_text caller_read_key(const struct header_names *names,
				 const struct http_exchange *exchange);

/* Number of calls that have not ended. */
size_t caller_table_in_flight(const struct caller_table *callers);
/* Borrowed; valid until the table is destroyed. */
const struct router *caller_table_router(const struct caller_table *callers);

#endif
