#include "answer_pacer.h"

#include <glib.h>

/* An answer that waits for the link. */
struct waiting_answer {
	uint64_t to;
	Fescue__Packet *packet;
	size_t bytes;
};

struct answer_pacer {
	const struct node_context *context;
	struct link_budget *budget;
	GQueue waiting; /* struct waiting_answer, the oldest first */
	uint64_t paced_bytes; /* of the answers sent by the pacer */
	uv_timer_t timer;
};

static void waiting_answer_free(gpointer p)
{
	struct waiting_answer *answer = p;

	packet_destroy(answer->packet);
	g_free(answer);
}

static void send_due(struct answer_pacer *p);

static void on_timer(uv_timer_t *timer)
{
	send_due(timer->data);
}

void answer_pacer_count_traffic(struct answer_pacer *p)
{
	const struct counters *counters = p->context->counters;
	uint64_t total = counters->answer_bytes;

	for (int i = 0; i < PACKET_PURPOSE_COUNT; i++)
		total += counters->bytes_sent[i];
	/* Links count paced answers as well. */
	link_budget_record_total(p->budget, total - MIN(total, p->paced_bytes),
				 node_context_now_ms(p->context));
}

/* Sends the answers for which the link has room, and waits for the rest. */
static void send_due(struct answer_pacer *p)
{
	uint64_t now_ms = node_context_now_ms(p->context);
	struct waiting_answer *answer;

	answer_pacer_count_traffic(p);
	while (!link_budget_delay_ms(p->budget, now_ms) &&
	       (answer = g_queue_pop_head(&p->waiting))) {
		link_budget_unqueue(p->budget, answer->bytes);
		link_budget_sent(p->budget, answer->bytes, now_ms);
		p->paced_bytes += answer->bytes;
		node_context_send(p->context, answer->to,
				  g_steal_pointer(&answer->packet));
		waiting_answer_free(answer);
	}
	if (!g_queue_is_empty(&p->waiting))
		uv_timer_start(&p->timer, on_timer,
			       link_budget_delay_ms(p->budget, now_ms), 0);
}

struct answer_pacer *answer_pacer_create(const struct node_context *context,
					 struct link_budget *budget)
{
	struct answer_pacer *p = g_new0(struct answer_pacer, 1);

	p->context = context;
	p->budget = budget;
	g_queue_init(&p->waiting);
	uv_timer_init(context->loop, &p->timer);
	p->timer.data = p;
	return p;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void answer_pacer_destroy(struct answer_pacer *p)
{
	if (!p)
		return;
	g_queue_clear_full(&p->waiting, waiting_answer_free);
	uv_timer_stop(&p->timer);
	uv_close((uv_handle_t *)&p->timer, on_closed);
}

void answer_pacer_send(struct answer_pacer *p, uint64_t to,
		       Fescue__Packet *packet)
{
	size_t bytes = packet->call_answer->body.len;
	struct waiting_answer *answer;

	if (to == p->context->own || !link_budget_is_long(p->budget, bytes)) {
		node_context_send(p->context, to, packet);
		return;
	}
	answer = g_new(struct waiting_answer, 1);
	*answer = (struct waiting_answer){ to, packet, bytes };
	link_budget_queue(p->budget, bytes);
	g_queue_push_tail(&p->waiting, answer);
	send_due(p);
}

static GList *find_waiting(const struct answer_pacer *p, uint64_t to,
			   uint64_t call_id)
{
	for (GList *l = p->waiting.head; l; l = l->next) {
		const struct waiting_answer *answer = l->data;

		if (answer->to == to &&
		    answer->packet->call_answer->call_id == call_id)
			return l;
	}
	return NULL;
}

void answer_pacer_drop(struct answer_pacer *p, uint64_t to, uint64_t call_id)
{
	GList *link = find_waiting(p, to, call_id);
	struct waiting_answer *answer;

	if (!link)
		return;
	answer = link->data;
	link_budget_unqueue(p->budget, answer->bytes);
	waiting_answer_free(answer);
	g_queue_delete_link(&p->waiting, link);
}

int answer_pacer_holds(const struct answer_pacer *p, uint64_t to,
		       uint64_t call_id)
{
	return find_waiting(p, to, call_id) != NULL;
}

uint32_t answer_pacer_waiting(const struct answer_pacer *p)
{
	return g_queue_get_length((GQueue *)&p->waiting);
}
