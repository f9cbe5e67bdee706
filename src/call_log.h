/*
 * Log lines about calls, at the entry node and at the node whose backend server
 * executes the call. Lines of a call share its request id and lines of an
 * attempt share its attempt id, so that they can be correlated across nodes.
 */
#ifndef FESCUE_CALL_LOG_H
#define FESCUE_CALL_LOG_H

#include "backend_state.h"
#include "caller_state.h"
#include "log.h"

/*
 * Log an event of a call that this node received from a caller. members are
 * further JSON members, see log_event().
 */
void call_log(const struct call *call, enum log_kind kind, const char *event,
	      const char *members, ...) __attribute__((format(printf, 4, 5)));

/* Log an event of one attempt, also of a hedge; else as call_log(). */
void call_log_attempt(const struct attempt *attempt, enum log_kind kind,
		      const char *event, const char *members, ...)
	__attribute__((format(printf, 4, 5)));

/* Log a hedge that is about to be sent, after delay_ms without an answer. */
void call_log_hedged(const struct call *call, uint64_t delay_ms);

/* Log the host chosen for the next attempt and the router's estimate of it. */
void call_log_chosen(const struct call *call, enum log_kind kind, uint64_t host,
		     const struct router_estimate *estimate);

/* Log the answer to the caller: a backend server's, or a failure. */
void call_log_ran(const struct call *call, const Fescue__CallAnswer *answer);
void call_log_failed(const struct call *call, enum call_outcome outcome,
		     int status, const char *reason);

/*
 * Log an attempt that failed. event tells what follows: "repeat", "no_repeat",
 * or "attempt_failed" if another attempt is open.
 */
void call_log_attempt_failed(const struct attempt *attempt,
			     const struct retry_attempt *failed,
			     const char *event, const char *reason);

/* Log a request that is refused before it becomes a call. */
void call_log_refused(const char *request_id, int status, const char *reason);

/* Log an event of a call that a node, possibly this one, sent to backend. */
void inbound_call_log(const struct backend_server *backend, uint64_t from,
		      const Fescue__CallRequest *request, enum log_kind kind,
		      const char *event, const char *members, ...)
	__attribute__((format(printf, 6, 7)));

#endif
