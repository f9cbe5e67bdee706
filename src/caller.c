#include "caller_state.h"

#include "call_log.h"
#include "call_reply.h"
#include "events.h"
#include "fescue/error.h"
#include "log.h"
#include "timeout.h"

#include <inttypes.h>
#include <string.h>

/* Odd and large, so that the kinds of other routes are avoided. */
#define DEPTH_KIND_STEP 0x9e3779b1u
#define HOST_STATS_IDLE_MS 600000
/* Lets the target host's answer on expiry arrive before the node's own. */
#define DEADLINE_GRACE_MS 75
/* Ids start at the wall-clock time, so those of two incarnations differ. */
#define ATTEMPT_ID_TIME_SHIFT 20

static void on_timer_closed(uv_handle_t *handle)
{
	struct call *c = handle->data;

	snapshot_unref(c->snapshot);
	caller_request_clear(&c->request);
	if (c->fallback)
		fescue__call_answer__free_unpacked(c->fallback, NULL);
	g_free(c);
}

/* Cancels the attempts that are open, such as the slower one of two. */
static void cancel_open_attempts(struct call *c)
{
	uint64_t first = c->first.id, hedge = c->hedge.id;

	/* An answer to a cancel that this node handles itself is then ignored. */
	call_end_attempt(&c->first, ROUTER_CANCELED, NULL);
	call_end_attempt(&c->hedge, ROUTER_CANCELED, NULL);
	if (first)
		call_send_cancel(c->table, c->first.host, first, 0);
	if (hedge)
		call_send_cancel(c->table, c->hedge.host, hedge, 0);
}

static void call_end(struct call *c)
{
	caller_quota_end(c, 0);
	c->table->in_flight--;
	c->exchange = NULL;
	uv_timer_stop(&c->timer);
	uv_close((uv_handle_t *)&c->timer, on_timer_closed);
	cancel_open_attempts(c);
}

void call_end_attempt(struct attempt *a, enum router_result result,
		      const struct router_load *load)
{
	struct caller_table *t = a->call->table;

	if (!a->id)
		return;
	g_hash_table_remove(t->attempts, &a->id);
	a->id = 0;
	a->state = ATTEMPT_NONE;
	/* A refusal does not hide where the call may have run. */
	if (result != ROUTER_CANCELED &&
	    (result != ROUTER_REFUSED || a->call->outcome == CALL_NOT_RUN))
		a->call->ended_host = a->host;
	call_rollout_finished(a, result);
	router_finished(t->router, a->host, result,
			monotonic_clock_us() - a->sent_us, load,
			caller_now_ms(t));
}

static void count_outcome(struct call *c, enum call_outcome outcome)
{
	struct counters *counters = c->table->context->counters;

	switch (outcome) {
	case CALL_RAN:
		counters->values[COUNTER_calls_ran]++;
		break;
	case CALL_NOT_RUN:
		counters->values[COUNTER_calls_not_run]++;
		break;
	case CALL_UNKNOWN:
		counters->values[COUNTER_calls_unknown]++;
		break;
	}
	histogram_record(&counters->latency_us[c->call_policy.call_class],
			 monotonic_clock_us() - c->received_us);
}

static void finish_answered(struct call *c, const Fescue__CallAnswer *answer)
{
	struct caller_table *t = c->table;

	count_outcome(c, CALL_RAN);
	call_log_ran(c, answer);
	call_stats_record_body_size(t->stats,
				    snapshot_route(c->snapshot, c->route),
				    answer->body.len);
	t->context->counters->answer_bytes += answer->body.len;
	caller_close_if_stopping(t, c->exchange);
	call_reply_answer(c->exchange, t->context->headers, answer,
			  caller_request_header(
				  &c->request, t->context->headers->request_id),
			  snapshot_version(c->snapshot));
	call_end(c);
}

static void record_refusal(struct call *c)
{
	struct caller_table *t = c->table;

	if (c->caller_deadline_ms)
		refusals_add(t->refusals,
			     snapshot_route(c->snapshot, c->route)->kind,
			     call_fingerprint(c), c->caller_deadline_ms,
			     c->first_received_ms, caller_now_ms(t));
}

static void finish_failed(struct call *c, enum call_outcome outcome, int status,
			  const char *reason)
{
	struct caller_table *t = c->table;

	if (c->fallback) {
		finish_answered(c, c->fallback);
		return;
	}
	if (outcome == CALL_NOT_RUN) {
		caller_quota_end(c, 1);
		record_refusal(c);
	}
	count_outcome(c, outcome);
	call_log_failed(c, outcome, status, reason);
	caller_close_if_stopping(t, c->exchange);
	call_reply_failure(c->exchange, t->context->headers, status, outcome,
			   c->retry_after_ms, reason);
	call_end(c);
}

/* 503 guarantees that the call did not run; 502 and 504 guarantee nothing. */
static int failure_status(enum call_outcome outcome)
{
	return outcome == CALL_NOT_RUN ? 503 : 502;
}

static uint32_t remaining_ms(const struct call *c, uint64_t until_ms)
{
	uint64_t now = caller_now_ms(c->table);

	return until_ms > now ? (uint32_t)(until_ms - now) : 0;
}

uint32_t call_kind(const struct call *c)
{
	/* Each depth has its own kind, as deeper calls take less time. */
	return snapshot_route(c->snapshot, c->route)->kind +
	       c->depth * DEPTH_KIND_STEP;
}

static Fescue__Packet *create_request(const struct attempt *a,
				      uint32_t wait_max_ms)
{
	const struct call *c = a->call;
	struct service_handle service;
	Fescue__Packet *packet = call_request_create(&c->request);
	Fescue__CallRequest *request = packet->call_request;
	const struct service_rule *rule;

	snapshot_route_service(c->snapshot, c->route, c->target, &service);
	rule = snapshot_service(c->snapshot, service);
	request->call_id = a->id;
	packet_set_string(&request->service, rule->name);
	request->queue = rule->queue;
	request->reserve_percent = rule->reserve_percent;
	request->deadline_ms = remaining_ms(c, c->deadline_ms);
	request->latency_ms = remaining_ms(c, c->due_ms);
	request->queue_ms = wait_max_ms;
	request->rank = c->call_policy.rank;
	request->call_class = c->call_policy.call_class;
	request->idempotent = c->call_policy.idempotent;
	request->depth = c->depth;
	request->account = c->account ? c->account->id : 0;
	request->kind = call_kind(c);
	return packet;
}

void call_begin_attempt(struct call *c, struct attempt *a, uint64_t host)
{
	struct caller_table *t = c->table;

	c->tried[c->tried_count++] = host;
	a->id = ++t->last_attempt_id;
	a->host = host;
	a->sent_us = monotonic_clock_us();
	a->host_epoch = t->settings.host_epoch(t->settings.data, host);
	a->sent_boot_ms = boot_clock_ms();
	a->state = ATTEMPT_SENT;
	a->recalled = 0;
	g_hash_table_insert(t->attempts, &a->id, a);
	router_started(t->router, host, caller_now_ms(t));
	call_rollout_started(a);
	caller_count(t, COUNTER_attempts);
}

void call_send_attempt(struct attempt *a, uint32_t wait_max_ms)
{
	node_context_send(a->call->table->context, a->host,
			  create_request(a, wait_max_ms));
}

int call_fill_request(const struct call *c, struct router_request *request)
{
	const struct caller_table *t = c->table;
	const struct route_rule *route = snapshot_route(c->snapshot, c->route);

	*request = (struct router_request){
		.snapshot = c->snapshot,
		.own_domain = t->settings.failure_domain,
		.rank = c->call_policy.rank,
		.service_ms = call_stats_expected_service_ms(t->stats, route),
		.excluded = c->tried,
		.excluded_count = c->tried_count,
		.kilobytes = call_stats_expected_kilobytes(t->stats, route),
		.remaining_ms = remaining_ms(c, c->deadline_ms),
		.latency_ms = remaining_ms(c, c->due_ms),
		.queue_ms = remaining_ms(c, c->queue_until_ms),
		.now_ms = caller_now_ms(t),
		.rollout = c->rollout,
		.rollout_class = c->rollout_class,
	};
	if (c->tried_count == TRIED_HOSTS_MAX)
		return FESCUE_ENOTFOUND;
	return snapshot_route_service(c->snapshot, c->route, c->target,
				      &request->service);
}

void call_update_retry_after(struct call *c, uint32_t ms)
{
	if (ms && (!c->retry_after_ms || ms < c->retry_after_ms))
		c->retry_after_ms = ms;
}

static void record_left(struct call *c)
{
	caller_count(c->table, COUNTER_calls_canceled);
	call_log(c, LOG_FAILURE, "caller_left", "\"attempts\":%u",
		 c->tried_count);
}

/* The caller has left, and the event loop has not reported it yet. */
static void abandon(struct call *c)
{
	record_left(c);
	caller_quota_end(c, c->outcome == CALL_NOT_RUN);
	http_exchange_abort(c->exchange);
	call_end(c);
}

static int choose_once(struct call *c, struct router_request *request,
		       uint64_t *host, uint32_t *busy_ms)
{
	call_rollout_choose(c);
	if (call_fill_request(c, request))
		return FESCUE_ENOTFOUND;
	return router_choose(c->table->router, request, host, busy_ms);
}

/*
 * Fills in the request and chooses the host of the next attempt. A call that a
 * roll-out gave to the new version goes to the old one if no host of the new
 * version takes it.
 */
static int choose_host(struct call *c, struct router_request *request,
		       uint64_t *host, uint32_t *busy_ms)
{
	int error = choose_once(c, request, host, busy_ms);

	if (error && c->rollout && c->rollout_class == ROLLOUT_NEW)
		error = choose_once(c, request, host, busy_ms);
	return error;
}

/* Route the call and send it; if no host is left, fail with reason. */
static void start_attempt(struct call *c, const char *reason)
{
	enum log_kind kind = c->tried_count ? LOG_RETRY : LOG_DECISION;
	struct router *router = c->table->router;
	struct router_request request;
	struct router_estimate estimate;
	uint32_t wait_max_ms, busy_ms = 0;
	uint64_t host;
	int logged;

	if ((c->tried_count || c->quota.account) &&
	    http_exchange_caller_left(c->exchange)) {
		abandon(c);
		return;
	}
	if (call_is_too_late(c)) {
		finish_failed(c, c->outcome, failure_status(c->outcome),
			      "the node stops before the call could run");
		return;
	}
	if (choose_host(c, &request, &host, &busy_ms)) {
		call_update_retry_after(c, busy_ms);
		finish_failed(c, c->outcome, failure_status(c->outcome),
			      reason);
		return;
	}
	wait_max_ms = router_wait_max(router, &request, host,
				      remaining_ms(c, c->queue_until_ms));
	logged = log_allows(kind);
	if (logged)
		router_explain(router, &request, host, &estimate);
	call_begin_attempt(c, &c->first, host);
	call_hedge_start_timer(c);
	if (logged)
		call_log_chosen(c, kind, host, &estimate);
	call_send_attempt(&c->first, wait_max_ms);
}

static void count_failed(struct call *c, const struct retry_attempt *failed)
{
	if (failed->arrived)
		c->arrivals++;
	else
		c->reroutes++;
}

/* Count a failed attempt; returns 1 and takes tokens if it may be retried. */
static int allow_retry(struct call *c, const struct retry_attempt *failed)
{
	struct caller_table *t = c->table;
	struct retry_attempt attempt = *failed;

	count_failed(c, failed);
	call_hedge_merge_failure(c, &attempt);
	attempt.call_policy = &c->call_policy;
	attempt.attempts = c->arrivals;
	attempt.reroutes = c->reroutes;
	attempt.remaining_ms = remaining_ms(c, c->deadline_ms);
	attempt.last_chance = !refusals_callers_return(
		t->refusals, snapshot_route(c->snapshot, c->route)->kind);
	if (retry_allow(c->budget, &attempt)) {
		caller_count(t, COUNTER_retries);
		return 1;
	}
	caller_count(t, COUNTER_retries_denied);
	return 0;
}

void call_attempt_failed(struct attempt *a, const struct retry_attempt *failed,
			 const char *reason)
{
	struct call *c = a->call;
	int retried;

	c->outcome = call_outcome_merge(c->outcome, failed->outcome);
	if (call_has_open_attempt(c)) {
		count_failed(c, failed);
		call_hedge_add_failure(c, failed);
		call_log_attempt_failed(a, failed, "attempt_failed", reason);
		return;
	}
	retried = allow_retry(c, failed);
	call_log_attempt_failed(a, failed, retried ? "repeat" : "no_repeat",
				reason);
	if (retried)
		start_attempt(c, reason);
	else
		finish_failed(c, c->outcome, failure_status(c->outcome),
			      reason);
}

void call_send_cancel(struct caller_table *t, uint64_t host, uint64_t id,
		      int recall)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CALL_CANCEL);

	packet->call_cancel->call_id = id;
	packet->call_cancel->recall = recall;
	node_context_send(t->context, host, packet);
}

static void on_deadline(uv_timer_t *timer)
{
	struct call *c = timer->data;

	if (timeout_defer(timer, on_deadline, &c->overdue))
		return;
	if (c->first.id)
		call_send_cancel(c->table, c->first.host, c->first.id, 0);
	if (c->hedge.id)
		call_send_cancel(c->table, c->hedge.host, c->hedge.id, 0);
	/* A cancel that this node handles itself may have ended the call. */
	if (!c->exchange)
		return;
	call_hedge_deadline(c);
	call_end_attempt(&c->first, ROUTER_FAILED, NULL);
	call_end_attempt(&c->hedge, ROUTER_FAILED, NULL);
	if (!c->tried_count) {
		call_refuse(c, 503, "no quota token before the deadline");
		return;
	}
	finish_failed(c, CALL_UNKNOWN, 504, "no answer before the deadline");
}

void call_start_deadline(struct call *c)
{
	uv_timer_start(&c->timer, on_deadline,
		       remaining_ms(c, c->deadline_ms + DEADLINE_GRACE_MS), 0);
}

/* The target host ignores the cancel if it cannot stop the call safely. */
static void on_disconnected(void *data)
{
	struct call *c = data;

	record_left(c);
	call_end(c);
}

/*
 * Keep the answer of a failed backend server, which is returned unless another
 * attempt gets one.
 */
static void keep_fallback(struct call *c, const Fescue__CallAnswer *answer)
{
	size_t size;

	if (!c->fallback)
		c->fallback = (Fescue__CallAnswer *)message_copy(&answer->base,
								 &size);
}

void call_attempt_ran(struct attempt *a, const Fescue__CallAnswer *answer)
{
	struct call *c = a->call;
	struct retry_attempt attempt = {
		.outcome = CALL_RAN,
		.arrived = 1,
		.server_error = call_answer_is_server_error(answer)
	};
	int is_whole = answer->body_bytes == answer->body.len;

	if (!is_whole && call_has_open_attempt(c)) {
		attempt.outcome = CALL_UNKNOWN;
		attempt.final = 1;
		call_attempt_failed(a, &attempt, "the answer is not whole");
	} else if (!is_whole) {
		finish_failed(c, CALL_UNKNOWN, 502, "the answer is not whole");
	} else if (attempt.server_error && call_has_open_attempt(c)) {
		keep_fallback(c, answer);
		call_attempt_failed(a, &attempt, "the backend server failed");
	} else if (attempt.server_error && !c->fallback &&
		   allow_retry(c, &attempt)) {
		call_log_attempt_failed(a, &attempt, "repeat",
					"the backend server failed");
		keep_fallback(c, answer);
		c->outcome = CALL_RAN;
		start_attempt(c, "");
	} else {
		if (!attempt.server_error)
			call_hedge_answered(a);
		finish_answered(c, answer);
	}
}

void call_start(struct call *c)
{
	struct caller_table *t = c->table;

	uv_timer_init(t->context->loop, &c->timer);
	c->timer.data = c;
	call_start_deadline(c);
	t->in_flight++;
	http_exchange_on_close(c->exchange, on_disconnected, c);
	if (caller_quota_admits(c))
		call_start_admitted(c);
}

void call_start_admitted(struct call *c)
{
	retry_budget_deposit(c->budget);
	call_hedge_count(c);
	start_attempt(c, CALLER_REASON_BUSY);
}

void call_refuse(struct call *c, int status, const char *reason)
{
	finish_failed(c, CALL_NOT_RUN, status, reason);
}

void caller_table_set_nodes(struct caller_table *t, size_t nodes)
{
	retry_budgets_set_nodes(t->budgets, nodes);
}

void caller_table_tick(struct caller_table *t)
{
	caller_expire_queries(t);
	router_expire(t->router, caller_now_ms(t), HOST_STATS_IDLE_MS);
}

struct caller_table *caller_table_create(const struct node_context *context,
					 const struct caller_settings *settings)
{
	struct caller_table *t = g_new0(struct caller_table, 1);
	struct router_settings router = router_defaults;

	t->context = context;
	t->settings = *settings;
	router.policy = settings->router_policy;
	router.cross_domain_ms_per_kb = settings->cross_domain_ms_per_kb;
	t->router = router_create(&router, settings->seed);
	t->random = g_rand_new_with_seed(settings->seed + 1);
	t->stats = call_stats_create();
	t->budgets = retry_budgets_create(settings->retry_burst);
	t->refusals = refusals_create();
	t->hedges = hedges_create();
	t->last_attempt_id = wall_clock_us() << ATTEMPT_ID_TIME_SHIFT >> 1;
	t->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	return t;
}

void caller_table_destroy(struct caller_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->attempts);
	router_destroy(t->router);
	g_rand_free(t->random);
	call_stats_destroy(t->stats);
	retry_budgets_destroy(t->budgets);
	refusals_destroy(t->refusals);
	hedges_destroy(t->hedges);
	g_free(t);
}

size_t caller_table_in_flight(const struct caller_table *t)
{
	return t->in_flight;
}

const struct router *caller_table_router(const struct caller_table *t)
{
	return t->router;
}
