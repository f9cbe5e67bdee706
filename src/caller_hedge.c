/*
 * Hedges of the entry node's calls: a second attempt that is sent while the
 * first one is open and takes longer than usual.
 */
#include "caller_state.h"

#include "call_log.h"
#include "events.h"
#include "fescue/error.h"
#include "timeout.h"

static void on_hedge_due(uv_timer_t *timer);

void call_hedge_init(struct call *c)
{
	const struct route_target *target =
		&snapshot_route(c->snapshot, c->route)->targets[c->target];

	/* A hedge would be a fourth copy; the callers' memory counts three. */
	if (!c->call_policy.idempotent || !c->call_policy.retries ||
	    c->request.body_size > HTTP_MAX_BODY_BYTES)
		return;
	c->hedge_percent = target->has_hedge ? target->hedge_percent :
					       c->table->settings.hedge_percent;
}

void call_hedge_count(struct call *c)
{
	if (c->hedge_percent)
		hedges_count_call(c->table->hedges, call_kind(c),
				  c->hedge_percent);
}

static uint64_t deadline_remaining_ms(const struct call *c)
{
	uint64_t now_ms = caller_now_ms(c->table);

	return c->deadline_ms > now_ms ? c->deadline_ms - now_ms : 0;
}

void call_hedge_start_timer(struct call *c)
{
	uint32_t delay_ms;

	if (!c->hedge_percent || c->hedged)
		return;
	c->hedge_overdue = 0;
	if (hedges_delay(c->table->hedges, call_kind(c), c->hedge_percent,
			 c->budget, caller_now_ms(c->table), &delay_ms) ||
	    delay_ms >= deadline_remaining_ms(c)) {
		/* The timer of an earlier attempt may still run. */
		if (c->hedge_timer)
			call_start_deadline(c);
		c->hedge_timer = 0;
		return;
	}
	c->hedge_timer = 1;
	uv_timer_start(&c->timer, on_hedge_due, delay_ms, 0);
}

/* Chooses the host of the hedge; stores 0 if there is none. */
static enum hedge_decision decide(struct call *c, uint64_t *host)
{
	struct caller_table *t = c->table;
	struct router_request request;
	struct hedge_call hedge = {
		.call_policy = &c->call_policy,
		.budget = c->budget,
		.kind = call_kind(c),
		.attempts = c->arrivals + 1,
		.stopping = t->end_ms ||
			    t->settings.is_stopping(t->settings.data),
		.remaining_ms = deadline_remaining_ms(c),
	};
	enum hedge_decision decision;
	uint32_t left_ms, busy_ms;

	hedge.rollout =
		c->rollout &&
		rollout_is_running(c->rollout, caller_now_ms(t), &left_ms);
	if (call_fill_request(c, &request))
		return HEDGE_NO_HOST;
	/* A hedge does not wait: it runs at once or is refused. */
	request.queue_ms = 0;
	request.needs_free_slot = 1;
	hedge.service_ms = request.service_ms;
	hedge.utilization = router_utilization(t->router, &request);
	decision = hedges_check(t->hedges, &hedge);
	if (decision == HEDGE_SEND &&
	    router_choose(t->router, &request, host, &busy_ms))
		decision = HEDGE_NO_HOST;
	return decision;
}

static void send_hedge(struct call *c, uint64_t host)
{
	struct caller_table *t = c->table;

	hedges_take(t->hedges, call_kind(c), c->budget);
	c->hedged = 1;
	caller_count(t, COUNTER_hedges_sent);
	call_begin_attempt(c, &c->hedge, host);
	call_log_hedged(c, (monotonic_clock_us() - c->first.sent_us) / 1000);
	call_send_attempt(&c->hedge, 0);
}

static void on_hedge_due(uv_timer_t *timer)
{
	struct call *c = timer->data;
	enum rollout_class first_class = c->rollout_class;
	uint64_t host;

	if (timeout_defer(timer, on_hedge_due, &c->hedge_overdue))
		return;
	c->hedge_timer = 0;
	call_start_deadline(c);
	/* The event loop reports next that the caller has left. */
	if (!c->first.id || http_exchange_caller_left(c->exchange))
		return;
	call_rollout_choose(c);
	if (decide(c, &host) == HEDGE_SEND) {
		send_hedge(c, host);
		return;
	}
	c->rollout_class = first_class;
	caller_count(c->table, COUNTER_hedges_denied);
}

static void record_first(struct call *c)
{
	hedges_record(c->table->hedges, call_kind(c),
		      monotonic_clock_us() - c->first.sent_us,
		      caller_now_ms(c->table));
}

void call_hedge_answered(struct attempt *a)
{
	struct call *c = a->call;

	if (!c->hedge_percent)
		return;
	/* A first attempt that is still open would have taken longer. */
	if (a == &c->first || c->first.id)
		record_first(c);
	if (a == &c->hedge)
		caller_count(c->table, COUNTER_hedges_won);
}

void call_hedge_deadline(struct call *c)
{
	if (c->hedge_percent && c->first.id)
		record_first(c);
}

void call_hedge_add_failure(struct call *c, const struct retry_attempt *failed)
{
	c->has_failure = 1;
	c->failure = *failed;
}

void call_hedge_merge_failure(struct call *c, struct retry_attempt *failed)
{
	if (!c->has_failure)
		return;
	c->has_failure = 0;
	failed->outcome =
		call_outcome_merge(c->failure.outcome, failed->outcome);
	failed->arrived |= c->failure.arrived;
	failed->server_error |= c->failure.server_error;
	failed->final |= c->failure.final;
}
