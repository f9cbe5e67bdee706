/*
 * Log lines on calls: at the node where a call entered, and at the node whose
 * backend server runs it. All lines of a call carry its request id, and the
 * lines of one attempt its number, so that they can be put together.
 */
#ifndef FESCUE_CALL_LOG_H
#define FESCUE_CALL_LOG_H

#include "backend_state.h"
#include "caller_state.h"
#include "log.h"

/* A line on a call that entered here, with the time since it did. */
void call_log(const struct call *call, enum log_kind kind, const char *event,
	      const char *members, ...) __attribute__((format(printf, 4, 5)));

/* The host that gets the next attempt, and what spoke for it. */
void call_log_chosen(const struct call *call, enum log_kind kind, uint64_t host,
		     const struct router_estimate *reason);

/* The answer that the caller gets: a backend server's, or a failure. */
void call_log_ran(const struct call *call, const Fescue__CallAnswer *answer);
void call_log_failed(const struct call *call, enum call_outcome outcome,
		     int status, const char *reason);

/* An attempt ended without a final answer; again: it is repeated. */
void call_log_repeat(const struct call *call, const struct retry_attempt *ended,
		     int again, const char *reason);

/* A request that was refused before it became a call. */
void call_log_refused(const char *request_id, int status, const char *reason);

/* A line on a call that another node (perhaps this one) sent here. */
void inbound_call_log(const struct backend_server *backend, uint64_t from,
		      const Fescue__CallRequest *request, enum log_kind kind,
		      const char *event, const char *members, ...)
	__attribute__((format(printf, 6, 7)));

#endif
