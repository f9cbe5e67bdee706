/* Requests that arrive at the caller port, up to their first attempt. */
#include "caller_state.h"

#include "call_log.h"
#include "call_reply.h"
#include "events.h"
#include "fescue/error.h"
#include "fescue/quarantine.h"
#include "log.h"

#include <string.h>

#define DEPTH_MAX 16
/* Limits the wait for a slot, so that the caller has time left to retry. */
#define QUEUE_WAIT_DIVISOR 2

uint64_t call_fingerprint(const struct call *c)
{
	const struct caller_request *r = &c->request;

	return quarantine_fingerprint(r->host, r->method, r->path, r->body,
				      r->body_size);
}

void caller_close_if_stopping(struct caller_table *t,
			      struct http_exchange *exchange)
{
	if (t->settings.is_stopping(t->settings.data))
		http_exchange_close_after_reply(exchange);
}

/* Selects by the request's id, or at random, in proportion to the weights. */
static uint32_t select_target(struct caller_table *t,
			      const struct route_rule *rule,
			      const struct caller_request *request)
{
	const char *id =
		caller_request_header(request, t->context->headers->request_id);
	uint32_t offset;

	if (rule->target_count == 1)
		return 0;
	if (id && *id)
		offset = route_rule_request_offset(rule, id, strlen(id));
	else
		offset = (uint32_t)g_rand_int_range(
			t->random, 0, (gint32)route_rule_total_weight(rule));
	/* Operators set the shares: a busy target does not overflow. */
	return route_rule_target_at(rule, offset);
}

void call_set_times(struct call *c, uint32_t caller_ms)
{
	struct caller_table *t = c->table;
	uint32_t wait_ms = c->call_policy.deadline_ms;

	c->received_ms = caller_now_ms(t);
	c->first_received_ms = c->received_ms;
	if (caller_ms != CALL_NO_DEADLINE) {
		wait_ms = MIN(wait_ms, caller_ms);
		c->caller_deadline_ms = c->received_ms + caller_ms;
		c->first_received_ms =
			refusals_take(t->refusals, call_fingerprint(c),
				      c->caller_deadline_ms, c->received_ms);
	}
	c->deadline_ms = c->received_ms + wait_ms;
	c->due_ms = c->first_received_ms + c->call_policy.latency_ms;
	c->queue_until_ms = c->received_ms + wait_ms / QUEUE_WAIT_DIVISOR;
}

static struct call *
call_create(struct caller_table *t, struct http_exchange *exchange,
	    struct snapshot *snapshot, struct route_handle route,
	    const struct account_rule *account, uint32_t depth)
{
	struct call_origin origin = {
		.service = t->settings.service,
		.depth = depth,
		.has_accounts = snapshot_has_accounts(snapshot),
		.account = account ? account->name : NULL,
	};
	struct call *c = g_new0(struct call, 1);
	const struct route_rule *rule = snapshot_route(snapshot, route);

	c->table = t;
	c->first.call = c;
	c->hedge.call = c;
	c->exchange = exchange;
	c->snapshot = snapshot_ref(snapshot);
	c->route = route;
	c->depth = depth;
	c->call_policy = rule->call_policy;
	c->call_policy.rank = rules_call_rank(account, rule->call_policy.rank);
	c->account = account;
	caller_request_init(&c->request, exchange, t->context->headers,
			    &origin);
	c->target = select_target(t, rule, &c->request);
	c->budget =
		retry_budgets_get(t->budgets, rule->targets[c->target].service);
	if (t->settings.rollouts)
		c->rollout = rollouts_get(t->settings.rollouts,
					  rule->targets[c->target].service);
	call_set_times(c, http_exchange_header_number(
				  exchange, t->context->headers->deadline,
				  CALL_NO_DEADLINE));
	call_hedge_init(c);
	c->received_us = monotonic_clock_us();
	c->outcome = CALL_NOT_RUN;
	return c;
}

static void copy_request_id(const struct caller_table *t,
			    const struct http_exchange *exchange,
			    char id[LOG_QUOTED_BYTES])
{
	struct http_text text = { NULL, 0 };

	if (t->context->headers->request_id)
		text = http_exchange_header(exchange,
					    t->context->headers->request_id);
	g_snprintf(id, LOG_QUOTED_BYTES, "%.*s", (int)MIN(text.size, 100),
		   text.bytes ? text.bytes : "");
}

static void refuse(struct caller_table *t, struct http_exchange *exchange,
		   int status, uint32_t retry_after_ms, const char *reason)
{
	char id[LOG_QUOTED_BYTES];

	caller_count(t, COUNTER_calls_not_run);
	copy_request_id(t, exchange, id);
	call_log_refused(id, status, reason);
	caller_close_if_stopping(t, exchange);
	call_reply_failure(exchange, t->context->headers, status, CALL_NOT_RUN,
			   retry_after_ms, reason);
}

/* The caller left before its request was read. */
static void drop_abandoned(struct caller_table *t,
			   struct http_exchange *exchange)
{
	char id[LOG_QUOTED_BYTES], quoted[LOG_QUOTED_BYTES];

	caller_count(t, COUNTER_calls_canceled);
	copy_request_id(t, exchange, id);
	log_event(LOG_FAILURE, "caller_left", "\"id\":%s,\"attempts\":0",
		  log_quote(id, quoted));
	http_exchange_abort(exchange);
}

/* Look up the request's route; if there is none, answer the exchange. */
static int find_route(struct caller_table *t, struct snapshot *snapshot,
		      struct http_exchange *exchange,
		      struct route_handle *route)
{
	struct http_text method = http_exchange_method(exchange);
	struct http_text host = http_exchange_host(exchange);
	struct http_text path = http_exchange_path(exchange);
	const struct route_rule *rule;
	enum route_lookup found = snapshot_find_route(snapshot, method.bytes,
						      method.size, host.bytes,
						      host.size, path.bytes,
						      path.size, route, &rule);

	switch (found) {
	case ROUTE_FOUND:
		return FESCUE_OK;
	case ROUTE_WITHDRAWN:
		caller_count(t, COUNTER_route_withdrawn);
		refuse(t, exchange, 503, 0, CALLER_REASON_WITHDRAWN);
		break;
	case ROUTE_UNKNOWN:
		caller_count(t, COUNTER_no_route);
		refuse(t, exchange, 404, 0, CALLER_REASON_NO_ROUTE);
		break;
	}
	return FESCUE_ENOTFOUND;
}

static uint32_t read_depth(const struct caller_table *t,
			   const struct http_exchange *exchange)
{
	const char *name = t->context->headers->depth;

	return name ? http_exchange_header_number(exchange, name, 0) : 0;
}

struct http_text caller_read_key(const struct header_names *names,
				 const struct http_exchange *exchange)
{
	struct http_text key = http_exchange_header(exchange, names->key);
	size_t scheme_len = strlen(names->key_scheme);

	if (key.size <= scheme_len ||
	    g_ascii_strncasecmp(key.bytes, names->key_scheme, scheme_len) != 0)
		return (struct http_text){ NULL, 0 };
	return (struct http_text){ key.bytes + scheme_len,
				   key.size - scheme_len };
}

int caller_check_account(const struct caller_table *t,
			 const struct snapshot *snapshot,
			 const struct route_rule *rule, int has_key,
			 const struct account_rule *account,
			 struct caller_rejection *rejection)
{
	uint32_t retry_after_ms = 0;

	if (!snapshot_has_accounts(snapshot))
		return FESCUE_OK;
	/*
	 * A key that is not known here may be a new one. On a public route the
	 * key of no account changes nothing.
	 */
	if (has_key && (account || !rule->is_public) &&
	    t->settings.keys_allowed &&
	    !t->settings.keys_allowed(t->settings.data, &retry_after_ms)) {
		*rejection = (struct caller_rejection){
			503, retry_after_ms, CALLER_REASON_KEYS_UNCONFIRMED
		};
		return FESCUE_EUNAVAILABLE;
	}
	if (account || rule->is_public)
		return FESCUE_OK;
	*rejection =
		(struct caller_rejection){ 401, 0, CALLER_REASON_NO_ACCOUNT };
	return FESCUE_ENOTFOUND;
}

/*
 * Finds the account whose key the request carries; none for a key that no
 * account holds, nor without a key. Returns an error, after an answer, if the
 * route needs an account and there is none, or if there is a key and keys are
 * not accepted now.
 */
static int find_account(struct caller_table *t, const struct snapshot *snapshot,
			struct http_exchange *exchange,
			struct route_handle route,
			const struct account_rule **account)
{
	const struct route_rule *rule = snapshot_route(snapshot, route);
	struct caller_rejection rejection;
	struct http_text key;
	int error;

	*account = NULL;
	if (!snapshot_has_accounts(snapshot))
		return FESCUE_OK;
	key = caller_read_key(t->context->headers, exchange);
	if (key.size)
		*account = snapshot_find_account(snapshot, key.bytes, key.size);
	error = caller_check_account(t, snapshot, rule, key.size > 0, *account,
				     &rejection);
	if (!error)
		return FESCUE_OK;
	caller_count(t, rejection.status == 401 ? COUNTER_no_account :
						  COUNTER_keys_unconfirmed);
	refuse(t, exchange, rejection.status, rejection.retry_after_ms,
	       rejection.reason);
	return error;
}

void caller_table_handle_request(void *data, struct http_exchange *exchange)
{
	struct caller_table *t = data;
	uint32_t depth = read_depth(t, exchange);
	const char *reason = "";
	struct snapshot *snapshot =
		t->settings.snapshot(t->settings.data, &reason);
	const struct account_rule *account;
	struct route_handle route;

	caller_count(t, COUNTER_calls_received);
	if (http_exchange_caller_left(exchange)) {
		drop_abandoned(t, exchange);
		return;
	}
	if (!snapshot || depth >= DEPTH_MAX) {
		refuse(t, exchange, 503, 0,
		       depth >= DEPTH_MAX ? "calls nest too deep" : reason);
		return;
	}
	if (find_route(t, snapshot, exchange, &route) ||
	    find_account(t, snapshot, exchange, route, &account))
		return;
	call_start(call_create(t, exchange, snapshot, route, account, depth));
}
