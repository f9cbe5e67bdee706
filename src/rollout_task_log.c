/* Log lines and counters by which an operator follows a roll-out. */
#include "rollout_task_state.h"

#include "log.h"

#include <inttypes.h>

static void count(const struct rollout_task *t, enum counter counter)
{
	t->settings.context->counters->values[counter]++;
}

static const char *event_name(struct rollout_task *t, uint32_t phase)
{
	switch (phase) {
	case ROLLOUT_COMPLETED:
		count(t, COUNTER_rollouts_completed);
		return "rollout_completed";
	case ROLLOUT_ROLLED_BACK:
		count(t, COUNTER_rollouts_rolled_back);
		return "rollout_rolled_back";
	default:
		count(t, COUNTER_rollout_changes);
		return "rollout_phase";
	}
}

static void log_progress(struct rollout_task *t,
			 const struct rollout_service *service,
			 const struct rollout_progress *p)
{
	const struct rollout_order *order =
		rollout_store_order(t->store, service->name);
	char name[LOG_QUOTED_BYTES], target[LOG_QUOTED_BYTES];
	char reason[LOG_QUOTED_BYTES];

	log_event(LOG_STATE, event_name(t, p->phase),
		  "\"service\":%s,\"target\":%s,\"phase\":\"%s\","
		  "\"share_permille\":%u,\"term\":%" PRIu64
		  ",\"hosts\":%u,\"reporting\":%u,\"acknowledged\":%u,"
		  "\"calls\":%u,\"new_calls\":%u,\"bad_calls\":%u,"
		  "\"reason\":%s",
		  log_quote(service->name, name),
		  log_quote(order ? order->target : "", target),
		  rollout_phase_name((enum rollout_phase)p->phase),
		  p->share_permille, p->term, p->hosts, p->reporting,
		  p->acknowledged, p->total_calls, p->new_calls, p->bad_calls,
		  log_quote(p->reason, reason));
}

void rollout_task_log_progress(struct rollout_task *t)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rollout_service *service = value;
		struct rollout_progress p;

		if (!rollout_leader_progress(t->leader_module, service->name,
					     rollout_task_now_ms(t), &p))
			continue;
		if (service->was_logged && service->logged.phase == p.phase &&
		    service->logged.share_permille == p.share_permille &&
		    service->logged.term == p.term)
			continue;
		log_progress(t, service, &p);
		service->logged = p;
		service->was_logged = 1;
	}
}

void rollout_task_log_state(struct rollout_service *service, uint64_t from,
			    const struct rollout_state *state)
{
	char name[LOG_QUOTED_BYTES], target[LOG_QUOTED_BYTES];
	char peer[ADDRESS_TEXT_BYTES] = "store";

	if (service->seen_order_id == state->order_id &&
	    service->seen_phase == state->phase)
		return;
	if (service->seen_order_id != state->order_id)
		service->stop_logged = 0;
	service->seen_order_id = state->order_id;
	service->seen_phase = state->phase;
	if (from)
		address_format(address_from_key(from), peer);
	log_event(LOG_STATE, "rollout_state",
		  "\"service\":%s,\"target\":%s,\"phase\":\"%s\","
		  "\"order\":%" PRIu64 ",\"term\":%" PRIu64 ",\"from\":\"%s\"",
		  log_quote(service->name, name),
		  log_quote(state->target, target),
		  rollout_phase_name((enum rollout_phase)state->phase),
		  state->order_id, state->term, peer);
}

void rollout_task_log_stop(const struct rollout_task *t,
			   struct rollout_service *service)
{
	struct rollout_counters counters;
	char name[LOG_QUOTED_BYTES];

	if (service->stop_logged || !service->seen_order_id)
		return;
	rollout_get_counters(service->rollout, rollout_task_now_ms(t),
			     &counters);
	if (!counters.stopped)
		return;
	service->stop_logged = 1;
	log_event(LOG_STATE, "rollout_stopped_here",
		  "\"service\":%s,\"order\":%" PRIu64
		  ",\"calls\":%u,\"new_calls\":%u,\"bad_calls\":%u",
		  log_quote(service->name, name), service->seen_order_id,
		  counters.total_calls, counters.new_calls, counters.bad_calls);
}
