/* Answers of hosts to the attempts of the entry node's calls. */
#include "caller_state.h"

#include "events.h"

#include <string.h>

/* Other 5xx statuses report failures of services that the server calls. */
int call_answer_is_server_error(const Fescue__CallAnswer *answer)
{
	return answer->status == 500;
}

/* A host of an older version reports only the waits behind all calls. */
static void read_waits(const Fescue__CallAnswer *answer,
		       struct router_load *load)
{
	const uint32_t *timely = answer->waits_ms;

	load->has_waits = answer->n_waits_ms == RULES_RANK_LEVELS;
	if (!load->has_waits)
		return;
	if (answer->n_timely_waits_ms == RULES_RANK_LEVELS)
		timely = answer->timely_waits_ms;
	memcpy(load->waits.any_ms, answer->waits_ms,
	       sizeof(load->waits.any_ms));
	memcpy(load->waits.timely_ms, timely, sizeof(load->waits.timely_ms));
}

static void read_load(const struct call *c, const Fescue__CallAnswer *answer,
		      struct router_load *load)
{
	memset(load, 0, sizeof(*load));
	load->in_use = answer->in_use;
	load->queued = answer->queued;
	load->slots = answer->slots;
	load->link_wait_ms = answer->link_wait_ms;
	load->link_mbit = answer->link_mbit;
	load->service_time_ratio = call_stats_record_service_time(
		c->table->stats, snapshot_route(c->snapshot, c->route),
		answer->service_us);
	read_waits(answer, load);
}

/* Record the time of the attempt that was not spent at the host. */
static void record_link_time(const struct attempt *a,
			     const Fescue__CallAnswer *answer)
{
	const struct call *c = a->call;
	uint64_t took_us = monotonic_clock_us() - a->sent_us;

	/* The time of an answer to a query does not measure the link. */
	if (a->state == ATTEMPT_SENT && took_us > answer->held_us)
		histogram_record(&c->table->context->counters
					  ->link_us[c->call_policy.call_class],
				 took_us - answer->held_us);
}

void caller_table_handle_answer(struct caller_table *t, uint64_t from,
				const Fescue__CallAnswer *answer)
{
	struct attempt *a = g_hash_table_lookup(t->attempts, &answer->call_id);
	struct router_load load;
	struct retry_attempt attempt = { .arrived = answer->arrived,
					 .final = answer->final };

	/* A late answer of an earlier attempt, or from another host. */
	if (!a || a->host != from)
		return;
	read_load(a->call, answer, &load);
	record_link_time(a, answer);
	switch (answer->outcome) {
	case FESCUE__OUTCOME__RAN:
		call_rollout_answered(a, answer);
		call_end_attempt(a,
				 call_answer_is_server_error(answer) ?
					 ROUTER_FAILED :
					 ROUTER_ANSWERED,
				 &load);
		call_attempt_ran(a, answer);
		break;
	case FESCUE__OUTCOME__NOT_RUN:
		/* A final refusal is caused by the request, not by the host. */
		call_end_attempt(a, ROUTER_REFUSED,
				 answer->final ? NULL : &load);
		call_update_retry_after(a->call, answer->retry_after_ms);
		attempt.outcome = CALL_NOT_RUN;
		call_attempt_failed(a, &attempt, answer->reason);
		break;
	default:
		call_end_attempt(a, ROUTER_FAILED, &load);
		attempt.outcome = CALL_UNKNOWN;
		call_attempt_failed(a, &attempt, answer->reason);
		break;
	}
}
