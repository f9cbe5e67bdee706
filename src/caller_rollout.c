/* What the entry node's calls have to do with roll-outs. */
#include "caller_state.h"

void call_rollout_choose(struct call *c)
{
	uint64_t now_ms = caller_now_ms(c->table);

	if (!c->rollout)
		return;
	c->rollout_class = c->rollout_chosen ?
				   rollout_choose_again(c->rollout, now_ms) :
				   rollout_choose(c->rollout, now_ms);
	c->rollout_chosen = 1;
	if (c->rollout_class == ROLLOUT_NONE)
		caller_count(c->table, COUNTER_rollout_calls_none);
}

void call_rollout_started(struct attempt *a)
{
	struct call *c = a->call;
	struct service_handle service;

	if (!c->rollout ||
	    snapshot_route_service(c->snapshot, c->route, c->target, &service))
		return;
	if (c->rollout_class == ROLLOUT_NEW)
		caller_count(c->table, COUNTER_rollout_calls_new);
	rollout_started(c->rollout, &a->rollout, a->host,
			snapshot_host_version(c->snapshot, service, a->host),
			snapshot_route(c->snapshot, c->route)->kind,
			caller_now_ms(c->table));
}

void call_rollout_finished(struct attempt *a, enum router_result result)
{
	enum rollout_result end = ROLLOUT_NO_EVIDENCE;

	switch (result) {
	case ROUTER_ANSWERED:
		end = ROLLOUT_ANSWERED;
		break;
	case ROUTER_FAILED:
		end = ROLLOUT_FAILED;
		break;
	case ROUTER_REFUSED:
	case ROUTER_UNREACHABLE:
	case ROUTER_CANCELED:
		break;
	}
	rollout_finished(&a->rollout, end, 0, caller_now_ms(a->call->table));
}

/*
 * Time at the backend server. The answer tells only the time at the host, with
 * the wait for a slot, and the mean for calls of this kind there. While calls
 * are queued, the mean is the better estimate.
 */
static uint64_t service_us(const Fescue__CallAnswer *answer)
{
	int has_queue = answer->queued || answer->in_use >= answer->slots;

	return has_queue && answer->service_us ? answer->service_us :
						 answer->held_us;
}

void call_rollout_answered(struct attempt *a, const Fescue__CallAnswer *answer)
{
	rollout_finished(&a->rollout,
			 answer->status >= 500 ? ROLLOUT_FAILED :
						 ROLLOUT_ANSWERED,
			 service_us(answer), caller_now_ms(a->call->table));
}
