/*
 * Slots that the backend server may still use for requests whose connections
 * were closed.
 */
#include "backend_state.h"

/* A slot whose connection was closed before an answer. */
struct held_slot {
	uint64_t until_ms;
	uint32_t kind;
	uint32_t depth;
	uint64_t service_us;
	int silent; /* service_us is no service time */
};

static int may_still_run(const struct inbound_call *c)
{
	if (c->state == INBOUND_CALL_RUNNING && c->http)
		return http_call_is_sent(c->http);
	return c->given_up;
}

void backend_release_slot(struct inbound_call *c, uint64_t service_us)
{
	struct backend_server *b = c->backend;
	uint32_t age_ms = (uint32_t)MIN(service_us / 1000, G_MAXUINT32);
	struct held_slot *slot;

	silence_dropped(b->silence, c->ticket);
	if (!may_still_run(c) || backend_now_ms(b) >= b->silent_until_ms) {
		admission_finish(b->admission, c->request->kind,
				 c->request->depth, service_us);
		return;
	}
	slot = g_new(struct held_slot, 1);
	slot->until_ms = backend_now_ms(b) +
			 silence_hold_ms(b->silence, c->request->kind, age_ms);
	slot->kind = c->request->kind;
	slot->depth = c->request->depth;
	slot->service_us = service_us;
	slot->silent = c->silent;
	g_queue_push_tail(&b->held_slots, slot);
	backend_increment_counter(b, COUNTER_slots_held);
}

static void release_held_slot(struct backend_server *b,
			      const struct held_slot *slot)
{
	if (slot->silent)
		admission_release(b->admission, slot->depth);
	else
		admission_finish(b->admission, slot->kind, slot->depth,
				 slot->service_us);
}

void backend_release_held_slots(struct backend_server *b, uint64_t until_ms)
{
	GList *next;

	for (GList *l = b->held_slots.head; l; l = next) {
		struct held_slot *slot = l->data;

		next = l->next;
		if (slot->until_ms > until_ms)
			continue;
		release_held_slot(b, slot);
		g_queue_delete_link(&b->held_slots, l);
		g_free(slot);
	}
}
