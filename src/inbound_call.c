/* The life of a call that a node sent, and answers to its node. */
#include "backend_state.h"

#include "call_answer.h"
#include "call_log.h"
#include "events.h"
#include "log.h"

void backend_send_answer(struct backend_server *b, uint64_t to,
			 Fescue__Packet *packet)
{
	Fescue__Packet *copy;
	size_t size;

	answer_pacer_count_traffic(b->pacer);
	packet->call_answer->link_wait_ms =
		link_budget_wait_ms(b->link, backend_now_ms(b));
	if (packet->call_answer->link_wait_ms ||
	    link_budget_is_long(b->link, packet->call_answer->body.len))
		packet->call_answer->link_mbit = link_budget_capacity(b->link);
	if (to != b->context->own) {
		copy = (Fescue__Packet *)message_copy(&packet->base, &size);
		answer_cache_store(b->answers, to, packet->call_answer->call_id,
				   copy, size, backend_now_ms(b));
	}
	answer_pacer_send(b->pacer, to, packet);
}

uint32_t backend_held_us(uint64_t arrived_us)
{
	return (uint32_t)MIN(monotonic_clock_us() - arrived_us, G_MAXUINT32);
}

void backend_refuse(struct backend_server *b, uint64_t to,
		    const Fescue__CallRequest *request, uint64_t arrived_us,
		    const char *reason)
{
	Fescue__Packet *packet = call_answer_create(b->admission, request->kind,
						    request->call_id,
						    CALL_NOT_RUN, reason,
						    backend_now_ms(b));
	char quoted[LOG_QUOTED_BYTES];

	backend_increment_counter(b, COUNTER_served_refused);
	packet->call_answer->retry_after_ms =
		MAX(admission_wait_ms(b->admission),
		    link_budget_wait_ms(b->link, backend_now_ms(b)));
	packet->call_answer->held_us = backend_held_us(arrived_us);
	inbound_call_log(b, to, request, LOG_FAILURE, "refused",
			 "\"reason\":%s,\"retry_after_ms\":%u,"
			 "\"service_us\":%u,\"left_ms\":%u",
			 log_quote(reason, quoted),
			 packet->call_answer->retry_after_ms,
			 packet->call_answer->service_us, request->deadline_ms);
	backend_send_answer(b, to, packet);
}

struct inbound_call *inbound_call_create(struct backend_server *b,
					 uint64_t from,
					 Fescue__CallRequest *request,
					 uint64_t arrived_us)
{
	struct inbound_call *c = g_new0(struct inbound_call, 1);

	c->backend = b;
	c->ticket = ++b->next_ticket;
	c->from = from;
	c->request = request;
	c->arrived_us = arrived_us;
	c->deadline_ms = backend_now_ms(b) + request->deadline_ms;
	c->promised_bytes = link_budget_promise(b->link, request->kind);
	c->fingerprint = quarantine_fingerprint(request->service,
						request->method, request->path,
						request->body.data,
						request->body.len);
	g_hash_table_insert(b->inbound_calls, &c->ticket, c);
	return c;
}

void inbound_call_free(gpointer p)
{
	struct inbound_call *c = p;

	if (c->http)
		http_call_cancel(c->http);
	link_budget_release(c->backend->link, c->promised_bytes);
	backend_request_free(c->backend, c->request);
	packet_destroy(c->answer);
	g_free(c);
}

static void on_idle(uv_idle_t *idle)
{
	(void)idle;
}

void backend_schedule_iteration_end(struct backend_server *b)
{
	uv_check_start(&b->iteration_end, b->on_iteration_end);
	uv_idle_start(&b->no_wait, on_idle);
}

void backend_schedule_queue(struct backend_server *b)
{
	b->queue_due = 1;
	backend_schedule_iteration_end(b);
}

void inbound_call_release(struct inbound_call *c)
{
	struct backend_server *b = c->backend;
	uint64_t service_us = monotonic_clock_us() - c->started_us;
	enum call_class call_class = backend_request_class(c->request);

	switch (c->state) {
	case INBOUND_CALL_QUEUED:
		admission_cancel(b->admission, c->ticket);
		break;
	case INBOUND_CALL_UNCONFIRMED:
		b->unconfirmed_count--;
		admission_release(b->admission, c->request->depth);
		break;
	case INBOUND_CALL_RUNNING:
	case INBOUND_CALL_REPORTING:
		backend_release_slot(c, service_us);
		histogram_record(&b->context->counters->service_us[call_class],
				 service_us);
		break;
	}
	g_hash_table_remove(b->inbound_calls, &c->ticket);
}

void inbound_call_end(struct inbound_call *c)
{
	struct backend_server *b = c->backend;

	inbound_call_release(c);
	backend_schedule_queue(b);
}
