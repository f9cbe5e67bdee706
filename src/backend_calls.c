#include "backend_state.h"
#include "call_answer.h"
#include "call_log.h"
#include "events.h"

#include <inttypes.h>
#include <string.h>

/* After an iteration that took longer, input is read before calls start. */
#define ITERATION_MAX_MS 100
#define NS_PER_MS 1000000
/* Time for a node that lost its link to query its calls. */
#define ORPHAN_TIMEOUT_MS 2500

static struct inbound_call *find_inbound_call(struct backend_server *b,
					      uint64_t from, uint64_t call_id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->inbound_calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct inbound_call *c = value;

		if (c->from == from && c->request->call_id == call_id)
			return c;
	}
	return NULL;
}

/* Returns 1 if the answer to the call can be sent in time. */
static int link_carries_answer(const struct backend_server *b,
			       const Fescue__CallRequest *request,
			       uint64_t now_ms)
{
	answer_pacer_count_traffic(b->pacer);
	return link_budget_admits(b->link, request->kind,
				  link_budget_limit_ms(request->latency_ms,
						       request->deadline_ms),
				  now_ms);
}

static enum admission_decision
request_admission(struct backend_server *b, const Fescue__CallRequest *request,
		  enum admission_reason *reason)
{
	uint64_t now = backend_now_ms(b);
	struct admission_call call = {
		.ticket = b->next_ticket + 1,
		.call_class = backend_request_class(request),
		.rank = request->rank,
		.depth = request->depth,
		.kind = request->kind,
		.account = request->account,
		.due_ms = now + request->latency_ms,
		.deadline_ms = now + request->deadline_ms,
		.queue_until_ms = now + request->queue_ms,
		.queue_limit = request->queue,
		.reserve_percent = MIN(request->reserve_percent, 90),
	};

	if (!b->pool || b->unreachable ||
	    strcmp(request->service, b->record.current.service)) {
		*reason = ADMISSION_NO_BACKEND;
		return ADMISSION_REFUSED;
	}
	if (!link_carries_answer(b, request, now)) {
		*reason = ADMISSION_LINK;
		return ADMISSION_REFUSED;
	}
	return admission_offer(b->admission, &call, now, reason);
}

static void received_request_free(gpointer p)
{
	struct received_request *r = p;

	fescue__call_request__free_unpacked(r->request, NULL);
	g_free(r);
}

static void admit_request(struct backend_server *b, uint64_t from,
			  Fescue__CallRequest *request, uint64_t arrived_us,
			  uint32_t age_ms)
{
	enum admission_reason reason;
	void *answer;

	/* Drop duplicates and requests that a cancel or a query overtook. */
	if (answer_cache_find(b->answers, from, request->call_id, &answer) !=
	    ANSWER_NO_RECORD) {
		backend_request_free(b, request);
		return;
	}
	answer_cache_record_received(b->answers, from, request->call_id,
				     backend_now_ms(b));
	if (backend_reserve_body(b, request)) {
		backend_refuse(b, from, request, arrived_us,
			       BACKEND_REASON_BODY_MEMORY);
		backend_request_free(b, request);
		return;
	}
	switch (request_admission(b, request, &reason)) {
	case ADMISSION_ADMITTED:
		inbound_call_log(b, from, request, LOG_DECISION, "admitted",
				 "\"rank\":%u,\"depth\":%u,\"left_ms\":%u,"
				 "\"age_ms\":%u",
				 request->rank, request->depth,
				 request->deadline_ms, age_ms);
		inbound_call_begin(
			inbound_call_create(b, from, request, arrived_us));
		break;
	case ADMISSION_QUEUED:
		inbound_call_log(b, from, request, LOG_DECISION, "queued",
				 "\"rank\":%u,\"depth\":%u,\"left_ms\":%u,"
				 "\"wait_max_ms\":%u,\"age_ms\":%u",
				 request->rank, request->depth,
				 request->deadline_ms, request->queue_ms,
				 age_ms);
		inbound_call_create(b, from, request, arrived_us);
		break;
	case ADMISSION_REFUSED:
		backend_refuse(b, from, request, arrived_us,
			       admission_reason_text(reason));
		backend_request_free(b, request);
		break;
	}
}

/* Whether the backend server may work on the call, or has done so. */
static int may_run(const struct inbound_call *c)
{
	switch (c->state) {
	case INBOUND_CALL_QUEUED:
	case INBOUND_CALL_UNCONFIRMED:
		return 0;
	case INBOUND_CALL_RUNNING:
		return !c->http || http_call_is_sent(c->http);
	case INBOUND_CALL_REPORTING:
		return 1;
	}
	return 1;
}

/* Ends the call, except a running one that may have side effects. */
static void cancel_inbound_call(struct inbound_call *c)
{
	if (c->state == INBOUND_CALL_REPORTING ||
	    (may_run(c) && !c->request->idempotent))
		return;
	inbound_call_log(
		c->backend, c->from, c->request, LOG_FAILURE, "canceled",
		"\"running\":%d,\"held_ms\":%" PRIu64 ",\"news_ms\":%u",
		may_run(c), (monotonic_clock_us() - c->arrived_us) / 1000,
		node_context_news_age_ms(c->backend->context, c->from));
	inbound_call_end(c);
}

void backend_process_queue(struct backend_server *b)
{
	enum admission_decision decision;
	struct inbound_call *c;
	uint64_t ticket;

	while ((decision = admission_dequeue(b->admission, backend_now_ms(b),
					     &ticket)) != ADMISSION_QUEUED) {
		c = g_hash_table_lookup(b->inbound_calls, &ticket);
		g_assert(c);
		if (decision == ADMISSION_ADMITTED) {
			inbound_call_begin(c);
			continue;
		}
		backend_increment_counter(b, COUNTER_served_expired);
		backend_refuse(b, c->from, c->request, c->arrived_us,
			       "no slot became free in time");
		g_hash_table_remove(b->inbound_calls, &ticket);
	}
}

static void on_iteration_end(uv_check_t *check)
{
	struct backend_server *b = check->data;
	struct received_request *r;

	if (!b->input_awaited &&
	    uv_hrtime() / NS_PER_MS > uv_now(check->loop) + ITERATION_MAX_MS) {
		b->input_awaited = 1;
		return;
	}
	b->input_awaited = 0;
	do {
		b->queue_due = 0;
		backend_process_queue(b);
		while ((r = g_queue_pop_head(&b->received))) {
			admit_request(b, r->from, g_steal_pointer(&r->request),
				      r->arrived_us, r->age_ms);
			received_request_free(r);
		}
	} while (b->queue_due);
	uv_check_stop(check);
	uv_idle_stop(&b->no_wait);
}

void backend_received_init(struct backend_server *b)
{
	g_queue_init(&b->received);
	uv_check_init(b->context->loop, &b->iteration_end);
	uv_idle_init(b->context->loop, &b->no_wait);
	b->iteration_end.data = b->no_wait.data = b;
	b->on_iteration_end = on_iteration_end;
}

void backend_received_clear(struct backend_server *b)
{
	uv_check_stop(&b->iteration_end);
	uv_idle_stop(&b->no_wait);
	g_queue_clear_full(&b->received, received_request_free);
}

/* Returns the entry of a request that waits for admission, or NULL. */
static GList *find_received(struct backend_server *b, uint64_t from,
			    uint64_t call_id)
{
	for (GList *l = b->received.head; l; l = l->next) {
		const struct received_request *r = l->data;

		if (r->from == from && r->request->call_id == call_id)
			return l;
	}
	return NULL;
}

static void remove_received(struct backend_server *b, GList *entry)
{
	struct received_request *r = entry->data;

	backend_request_free(b, g_steal_pointer(&r->request));
	received_request_free(r);
	g_queue_delete_link(&b->received, entry);
}

static void cancel_admitted(struct backend_server *b, uint64_t from,
			    uint64_t call_id)
{
	struct inbound_call *c = find_inbound_call(b, from, call_id);

	if (c)
		cancel_inbound_call(c);
	else
		answer_cache_block(b->answers, from, call_id,
				   backend_now_ms(b));
}

void backend_server_cancel(struct backend_server *b, uint64_t from,
			   uint64_t call_id)
{
	GList *received = find_received(b, from, call_id);

	answer_pacer_drop(b->pacer, from, call_id);
	if (received)
		remove_received(b, received);
	else if (!backend_cancel_partial(b, from, call_id))
		cancel_admitted(b, from, call_id);
}

/*
 * Answers a query for a call that is not running and has no stored answer. Only
 * the epoch of this node that the call was sent to can know that it never
 * arrived.
 */
static void answer_unknown_call(struct backend_server *b, uint64_t from,
				uint64_t call_id, int may_have_run)
{
	Fescue__Packet *packet = call_answer_create(
		b->admission, 0, call_id,
		may_have_run ? CALL_UNKNOWN : CALL_NOT_RUN,
		may_have_run ? "the host started again or has forgotten" :
			       "the request never arrived",
		backend_now_ms(b));

	log_event(LOG_FAILURE, "asked_of_unknown",
		  "\"attempt\":\"%" PRIx64 "\",\"barred\":%d", call_id,
		  !may_have_run);
	packet->call_answer->arrived = may_have_run;
	answer_cache_block(b->answers, from, call_id, backend_now_ms(b));
	node_context_send(b->context, from, packet);
}

void backend_server_query(struct backend_server *b, uint64_t from,
			  uint64_t call_id, uint64_t epoch)
{
	struct inbound_call *c = find_inbound_call(b, from, call_id);
	enum answer_status status;
	Fescue__Packet *packet;
	void *answer;
	size_t size;

	/* The link was lost, and with it the rest of the body. */
	if (backend_cancel_partial(b, from, call_id)) {
		answer_unknown_call(b, from, call_id, 0);
		return;
	}
	if (c)
		c->orphaned_at_ms = 0;
	if (c || find_received(b, from, call_id) ||
	    answer_pacer_holds(b->pacer, from, call_id)) {
		packet = packet_create(FESCUE__PACKET__BODY_CALL_RUNNING);
		packet->call_running->call_id = call_id;
		node_context_send(b->context, from, packet);
		return;
	}
	status = answer_cache_find(b->answers, from, call_id, &answer);
	if (status == ANSWER_CACHED)
		node_context_send(b->context, from,
				  (Fescue__Packet *)message_copy(answer,
								 &size));
	else
		answer_unknown_call(b, from, call_id,
				    status == ANSWER_EXPIRED ||
					    epoch != b->context->epoch);
}

void backend_server_peer_disconnected(struct backend_server *b, uint64_t peer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->inbound_calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct inbound_call *c = value;

		if (c->from == peer && !c->orphaned_at_ms)
			c->orphaned_at_ms = backend_now_ms(b);
	}
	backend_refuse_partial(b, peer,
			       "the link broke before the body was complete");
}

/* A copy of the tickets, because ending one call may end others. */
static GArray *copy_tickets(const struct backend_server *b)
{
	GArray *tickets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, b->inbound_calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_vals(tickets, key, 1);
	return tickets;
}

static void refuse_waiting(struct backend_server *b, uint64_t ticket,
			   const char *reason)
{
	struct inbound_call *c = g_hash_table_lookup(b->inbound_calls, &ticket);

	if (!c || (c->state != INBOUND_CALL_QUEUED &&
		   c->state != INBOUND_CALL_UNCONFIRMED))
		return;
	backend_refuse(b, c->from, c->request, c->arrived_us, reason);
	inbound_call_release(c);
}

void backend_refuse_queued(struct backend_server *b, const char *reason)
{
	GArray *tickets = copy_tickets(b);

	for (guint i = 0; i < tickets->len; i++)
		refuse_waiting(b, g_array_index(tickets, uint64_t, i), reason);
	g_array_free(tickets, TRUE);
	backend_refuse_partial(b, 0, reason);
}

void backend_server_recall(struct backend_server *b, uint64_t from,
			   uint64_t call_id)
{
	struct inbound_call *c = find_inbound_call(b, from, call_id);
	GList *entry = find_received(b, from, call_id);

	backend_recall_partial(b, from, call_id);
	if (c)
		refuse_waiting(b, c->ticket, "its node stops");
	if (entry) {
		const struct received_request *r = entry->data;

		backend_refuse(b, from, r->request, r->arrived_us,
			       "its node stops");
		remove_received(b, entry);
	}
}

void backend_confirm_calls(struct backend_server *b, uint64_t from)
{
	GArray *tickets = copy_tickets(b);

	for (guint i = 0; i < tickets->len; i++) {
		uint64_t ticket = g_array_index(tickets, uint64_t, i);
		struct inbound_call *c =
			g_hash_table_lookup(b->inbound_calls, &ticket);

		if (c && c->state == INBOUND_CALL_UNCONFIRMED &&
		    (!from || c->from == from))
			inbound_call_confirm(c);
	}
	g_array_free(tickets, TRUE);
}

void backend_server_peer_heard(struct backend_server *b, uint64_t peer)
{
	if (b->unconfirmed_count)
		backend_confirm_calls(b, peer);
}

void backend_expire_orphans(struct backend_server *b)
{
	GArray *tickets = copy_tickets(b);

	for (guint i = 0; i < tickets->len; i++) {
		uint64_t ticket = g_array_index(tickets, uint64_t, i);
		struct inbound_call *c =
			g_hash_table_lookup(b->inbound_calls, &ticket);

		if (c && c->orphaned_at_ms &&
		    backend_now_ms(b) >= c->orphaned_at_ms + ORPHAN_TIMEOUT_MS)
			cancel_inbound_call(c);
	}
	g_array_free(tickets, TRUE);
}
