/*
 * Internal state of the entry node's calls, shared by caller.c,
 * caller_answer.c, caller_arrival.c, caller_hedge.c, caller_quota.c,
 * caller_recovery.c and call_log.c.
 */
#ifndef FESCUE_CALLER_STATE_H
#define FESCUE_CALLER_STATE_H

#include "call_request.h"
#include "call_stats.h"
#include "caller.h"
#include "caller_explain.h"
#include "fescue/hedge.h"
#include "fescue/refusals.h"

#define TRIED_HOSTS_MAX (RULES_RETRIES_MAX + 1 + RETRY_REROUTES_MAX + 1)

/* The caller does not say when it gives up. */
#define CALL_NO_DEADLINE UINT32_MAX

/* Reasons that callers get, and that explanations give. */
#define CALLER_REASON_BUSY "every backend server is busy or excluded"
#define CALLER_REASON_QUOTA "the quota of the account is used up; retry later"
#define CALLER_REASON_WITHDRAWN "the service has no backend server now"
#define CALLER_REASON_NO_ROUTE "no rule matches; add a route line"
#define CALLER_REASON_NO_ACCOUNT "no account holds the key; send a valid one"
#define CALLER_REASON_KEYS_UNCONFIRMED \
	"the node does not know whether keys are still valid"

enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_SENT,
	ATTEMPT_QUERIED, /* the link was lost; waiting for the host's reply */
};

/* One attempt of a call at a host. Times as in struct call. */
struct attempt {
	struct call *call;
	uint64_t id; /* 0: not sent, or ended */
	uint64_t host;
	enum attempt_state state;
	uint64_t sent_us;
	uint64_t host_epoch; /* when the attempt was sent */
	uint64_t sent_boot_ms; /* by boot_clock_ms() */
	uint64_t queried_ms;
	int recalled; /* the host was asked to refuse the attempt if it waits */
	struct rollout_attempt rollout;
};

/*
 * One call, from the caller's request to its answer. Times in ms are of
 * node_context_now_ms(), times in us of monotonic_clock_us().
 */
struct call {
	struct caller_table *table;
	struct http_exchange *exchange; /* NULL once the call has ended */
	struct snapshot *snapshot; /* configuration on arrival */
	struct route_handle route;
	uint32_t target; /* index of the route's target that serves the call */
	const struct account_rule *account; /* of the snapshot; or NULL */
	struct retry_budget *budget; /* of the target's service */
	struct rollout *rollout; /* of the target's service; NULL: none */
	enum rollout_class rollout_class; /* of the latest attempt */
	int rollout_chosen; /* the class of the first attempt was chosen */
	uint32_t depth; /* calls up the call chain that hold slots */
	struct call_policy call_policy;
	struct caller_request request;
	uint64_t received_ms;
	/*
	 * Arrival of the caller's first attempt, if this node refused that one;
	 * else received_ms.
	 */
	uint64_t first_received_ms;
	uint64_t caller_deadline_ms; /* the caller gives up; 0: not stated */
	uint64_t due_ms; /* end of the target latency, from the first attempt */
	uint64_t deadline_ms;
	uint64_t queue_until_ms; /* refused if it has no slot by this time */
	uint64_t received_us;
	uint32_t arrivals; /* failed attempts that reached a backend server */
	uint32_t reroutes; /* failed attempts that reached none */
	uint32_t tried_count;
	uint64_t tried[TRIED_HOSTS_MAX]; /* host of each attempt, in order */
	struct attempt first; /* the latest attempt that is not a hedge */
	struct attempt hedge; /* sent while the first one was open */
	uint32_t hedge_percent; /* 0: the call is not hedged */
	int hedged; /* the hedge was sent */
	int hedge_timer; /* the timer is that of the hedge, not the deadline */
	int hedge_overdue; /* the hedge is due; input is read once more */
	/* One of the two attempts that were open at once has failed. */
	int has_failure;
	struct retry_attempt failure;
	/* Of the latest attempt that ended and may have run, or that ended. */
	uint64_t ended_host; /* 0: none */
	enum call_outcome outcome; /* merged over the attempts that ended */
	uint32_t retry_after_ms; /* shortest that a host suggested; 0: none */
	/* Server error to return unless a retry gets an answer, or NULL. */
	Fescue__CallAnswer *fallback;
	uv_timer_t timer; /* of the deadline, or of the hedge before it */
	struct quota_waiter quota;
	int overdue; /* the deadline has passed; input is read once more */
};

struct caller_table {
	const struct node_context *context;
	struct caller_settings settings;
	struct router *router;
	GRand *random;
	struct call_stats *stats;
	struct retry_budgets *budgets;
	struct refusals *refusals;
	struct hedges *hedges;
	uint64_t last_attempt_id;
	GHashTable *attempts; /* id -> struct attempt, pending ones */
	size_t in_flight;
	uint64_t end_ms; /* when the node ends; 0: it does not stop */
};

static inline uint64_t caller_now_ms(const struct caller_table *t)
{
	return node_context_now_ms(t->context);
}

static inline void caller_count(struct caller_table *t, enum counter counter)
{
	t->context->counters->values[counter]++;
}

static inline int call_has_open_attempt(const struct call *c)
{
	return c->first.id || c->hedge.id;
}

/* Kind of the call in its host's statistics, which differs by depth. */
uint32_t call_kind(const struct call *call);

/* Hash of what is equal in all attempts of one caller. */
uint64_t call_fingerprint(const struct call *call);

/*
 * Set the times of a call that has just arrived. caller_ms: until the caller
 * gives up, or CALL_NO_DEADLINE.
 */
void call_set_times(struct call *call, uint32_t caller_ms);

/* Returns FESCUE_ENOTFOUND if attempts are used up or no host serves it. */
int call_fill_request(const struct call *call, struct router_request *request);

/*
 * Returns an error and fills in the rejection if the route needs an account and
 * there is none, or if there is a key and keys are not accepted now.
 */
int caller_check_account(const struct caller_table *callers,
			 const struct snapshot *snapshot,
			 const struct route_rule *rule, int has_key,
			 const struct account_rule *account,
			 struct caller_rejection *rejection);

/* While the node is stopping, make the caller open a new connection. */
void caller_close_if_stopping(struct caller_table *callers,
			      struct http_exchange *exchange);

/*
 * Start the deadline and the first attempt of a call that has just arrived, the
 * latter once the quota of its account admits it. The call ends by itself.
 */
void call_start(struct call *call);

/* Start the first attempt of a call that needs no token or got one. */
void call_start_admitted(struct call *call);

/* End a call that has not run with this failure status. */
void call_refuse(struct call *call, int status, const char *reason);

/* Returns 1 if the call may start now, else it waits for a token. */
int caller_quota_admits(struct call *call);

/* The call ended; if it did not run its credit is returned. */
void caller_quota_end(struct call *call, int not_run);

/* Start the timer of the call's deadline. */
void call_start_deadline(struct call *call);

/*
 * Fill in the request for the next attempt. Returns FESCUE_ENOTFOUND if attempts
 * are used up or no host serves it.
 */
int call_fill_request(const struct call *call, struct router_request *request);

/* Record that an attempt starts at the host, which may be this one. */
void call_begin_attempt(struct call *call, struct attempt *attempt,
			uint64_t host);

/* Send an attempt that was just begun. The call may end before this returns. */
void call_send_attempt(struct attempt *attempt, uint32_t wait_max_ms);

/*
 * End the attempt, if it is open, and report its result to the router. load is
 * the host's load report, or NULL.
 */
void call_end_attempt(struct attempt *attempt, enum router_result result,
		      const struct router_load *load);

/*
 * An attempt has failed and was ended. While another one is open, wait for that;
 * else retry the call if the retry rules and the budget allow it, or answer the
 * caller with a failure. reason is the reason that the caller then gets.
 */
void call_attempt_failed(struct attempt *attempt,
			 const struct retry_attempt *failed,
			 const char *reason);

/*
 * Handle the answer of a backend server to an attempt that was ended. The answer
 * is borrowed.
 */
void call_attempt_ran(struct attempt *attempt,
		      const Fescue__CallAnswer *answer);

/* Whether the backend server itself failed. */
int call_answer_is_server_error(const Fescue__CallAnswer *answer);

/* Suggest to the caller to come back after ms, unless it is 0. */
void call_update_retry_after(struct call *call, uint32_t ms);

/* Cancel an attempt, or recall it: only if it does not run yet. */
void call_send_cancel(struct caller_table *callers, uint64_t host,
		      uint64_t attempt_id, int recall);

/* Whether the node ends before the call could run from now on. */
int call_is_too_late(const struct call *call);

/*
 * Choose the class of the next attempt in the roll-out of its service, if there
 * are roll-outs. For the first one, call it exactly once.
 */
void call_rollout_choose(struct call *call);

/*
 * Report the start, in the class that was chosen last, and the end of an attempt
 * to the roll-out.
 */
void call_rollout_started(struct attempt *attempt);
void call_rollout_finished(struct attempt *attempt, enum router_result result);

/* Report the answer of a backend server; call before the attempt is ended. */
void call_rollout_answered(struct attempt *attempt,
			   const Fescue__CallAnswer *answer);

/* Set the share of calls that may be hedged; the target must be known. */
void call_hedge_init(struct call *call);

/* Count a call that is about to make its first attempt. */
void call_hedge_count(struct call *call);

/* An attempt begins that is not a hedge: start the timer of its hedge. */
void call_hedge_start_timer(struct call *call);

/* A backend server answered an attempt, which was ended. */
void call_hedge_answered(struct attempt *attempt);

/* The deadline has passed; call before the attempts are ended. */
void call_hedge_deadline(struct call *call);

/* One of two attempts failed while the other one is open. */
void call_hedge_add_failure(struct call *call,
			    const struct retry_attempt *failed);

/*
 * Both attempts failed: merge the failure that was added, if any, into that of
 * the last attempt, so that both are retried as one.
 */
void call_hedge_merge_failure(struct call *call, struct retry_attempt *failed);

/* End attempts whose host has not replied to a query in time. */
void caller_expire_queries(struct caller_table *callers);

#endif
