#include "backend_state.h"
#include "call_answer.h"
#include "call_log.h"
#include "events.h"

#include <inttypes.h>
#include <string.h>

/* How long a node that lost its link has to ask for its calls. */
#define ORPHAN_MS 2500

static struct serving *find_serving(struct backend_server *b, uint64_t from,
				    uint64_t call_id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->servings);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct serving *s = value;

		if (s->from == from && s->request->call_id == call_id)
			return s;
	}
	return NULL;
}

static enum admission_verdict offer(struct backend_server *b,
				    const Fescue__CallRequest *request,
				    enum admission_reason *reason)
{
	uint64_t now = backend_now_ms(b);
	struct admission_call call = {
		.ticket = b->next_ticket + 1,
		.call_class = backend_request_class(request),
		.rank = request->rank,
		.depth = request->depth,
		.kind = request->kind,
		.due_ms = now + request->latency_ms,
		.deadline_ms = now + request->deadline_ms,
		.queue_until_ms = now + request->queue_ms,
		.queue = request->queue,
		.reserve_percent = MIN(request->reserve_percent, 90),
	};

	if (!b->pool || b->unreachable ||
	    strcmp(request->service, b->record.current.service)) {
		*reason = ADMISSION_NO_BACKEND;
		return ADMISSION_REFUSED;
	}
	return admission_offer(b->admission, &call, now, reason);
}

/* A request between its arrival and the end of the loop's turn. */
struct arrival {
	uint64_t from;
	uint64_t came_us;
	Fescue__CallRequest *request;
};

static void arrival_free(gpointer p)
{
	struct arrival *arrival = p;

	fescue__call_request__free_unpacked(arrival->request, NULL);
	g_free(arrival);
}

static void take_request(struct backend_server *b, uint64_t from,
			 Fescue__CallRequest *request, uint64_t came_us)
{
	enum admission_reason reason;
	void *answer;

	/* A request that was overtaken by its query has been barred. */
	if (answer_cache_find(b->answers, from, request->call_id, &answer) !=
	    ANSWER_NO_RECORD) {
		fescue__call_request__free_unpacked(request, NULL);
		return;
	}
	answer_cache_record_received(b->answers, from, request->call_id,
				     backend_now_ms(b));
	switch (offer(b, request, &reason)) {
	case ADMISSION_RUN:
		serving_log(b, from, request, LOG_DECISION, "admitted",
			    "\"rank\":%u,\"depth\":%u,\"left_ms\":%u",
			    request->rank, request->depth,
			    request->deadline_ms);
		serving_begin(serving_create(b, from, request, came_us));
		break;
	case ADMISSION_QUEUED:
		serving_log(b, from, request, LOG_DECISION, "queued",
			    "\"rank\":%u,\"depth\":%u,\"left_ms\":%u,"
			    "\"wait_max_ms\":%u",
			    request->rank, request->depth, request->deadline_ms,
			    request->queue_ms);
		serving_create(b, from, request, came_us);
		break;
	case ADMISSION_REFUSED:
		backend_refuse(b, from, request, came_us,
			       admission_reason_text(reason));
		fescue__call_request__free_unpacked(request, NULL);
		break;
	}
}

/* The caller gave up. A call with effects must not be cut half-way. */
static void cancel_serving(struct serving *s)
{
	if (s->state == SERVING_REPORTING ||
	    (s->state == SERVING_RUNNING && !s->request->idempotent))
		return;
	serving_log(s->backend, s->from, s->request, LOG_FAILURE, "canceled",
		    "\"running\":%d", s->state == SERVING_RUNNING);
	serving_end(s);
}

static void on_turn_end(uv_check_t *check)
{
	struct backend_server *b = check->data;
	struct arrival *arrival;

	uv_check_stop(check);
	while ((arrival = g_queue_pop_head(&b->arrivals))) {
		take_request(b, arrival->from,
			     g_steal_pointer(&arrival->request),
			     arrival->came_us);
		arrival_free(arrival);
	}
}

/*
 * Whatever came in one turn of the loop is read before a request is taken:
 * after a stall of the link its cancel stands right behind it.
 */
void backend_server_call(struct backend_server *b, uint64_t from,
			 Fescue__CallRequest *request)
{
	struct arrival *arrival = g_new0(struct arrival, 1);

	arrival->from = from;
	arrival->came_us = monotonic_clock_us();
	arrival->request = request;
	g_queue_push_tail(&b->arrivals, arrival);
	uv_check_start(&b->turn_end, on_turn_end);
}

void backend_arrivals_open(struct backend_server *b)
{
	g_queue_init(&b->arrivals);
	uv_check_init(b->context->loop, &b->turn_end);
	b->turn_end.data = b;
}

void backend_arrivals_clear(struct backend_server *b)
{
	uv_check_stop(&b->turn_end);
	g_queue_clear_full(&b->arrivals, arrival_free);
}

/* Drop a request that was not yet taken; returns 1 if there was one. */
static int drop_arrival(struct backend_server *b, uint64_t from,
			uint64_t call_id)
{
	for (GList *l = b->arrivals.head; l; l = l->next) {
		struct arrival *arrival = l->data;

		if (arrival->from != from ||
		    arrival->request->call_id != call_id)
			continue;
		arrival_free(arrival);
		g_queue_delete_link(&b->arrivals, l);
		return 1;
	}
	return 0;
}

static void cancel_known(struct backend_server *b, uint64_t from,
			 uint64_t call_id)
{
	struct serving *s = find_serving(b, from, call_id);

	if (s)
		cancel_serving(s);
	else
		answer_cache_block(b->answers, from, call_id,
				   backend_now_ms(b));
}

void backend_server_cancel(struct backend_server *b, uint64_t from,
			   uint64_t call_id)
{
	if (drop_arrival(b, from, call_id))
		return;
	cancel_known(b, from, call_id);
}

/*
 * The call is not running and there is no answer. Only the incarnation that
 * it was sent to can tell that it never came.
 */
static void answer_unknown(struct backend_server *b, uint64_t from,
			   uint64_t call_id, int may_have_run)
{
	Fescue__Packet *packet = call_answer_create(
		b->admission, 0, call_id,
		may_have_run ? CALL_UNKNOWN : CALL_NOT_RUN,
		may_have_run ? "the host started again or has forgotten" :
			       "the request never arrived");

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
	struct serving *s = find_serving(b, from, call_id);
	enum answer_status fate;
	Fescue__Packet *packet;
	void *answer;
	size_t size;

	if (!s && !g_queue_is_empty(&b->arrivals)) {
		on_turn_end(&b->turn_end);
		s = find_serving(b, from, call_id);
	}
	if (s) {
		s->orphan_since_ms = 0;
		packet = packet_create(FESCUE__PACKET__BODY_CALL_RUNNING);
		packet->call_running->call_id = call_id;
		node_context_send(b->context, from, packet);
		return;
	}
	fate = answer_cache_find(b->answers, from, call_id, &answer);
	if (fate == ANSWER_CACHED)
		node_context_send(b->context, from,
				  (Fescue__Packet *)message_copy(answer,
								 &size));
	else
		answer_unknown(b, from, call_id,
			       fate == ANSWER_EXPIRED ||
				       epoch != b->context->epoch);
}

void backend_server_peer_gone(struct backend_server *b, uint64_t peer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->servings);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct serving *s = value;

		if (s->from == peer && !s->orphan_since_ms)
			s->orphan_since_ms = backend_now_ms(b);
	}
}

/* Tickets, because ending one serving may end others. */
static GArray *collect_tickets(const struct backend_server *b)
{
	GArray *tickets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, b->servings);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_vals(tickets, key, 1);
	return tickets;
}

/* Hand queued calls back, so that their nodes send them elsewhere. */
void backend_return_queued(struct backend_server *b, const char *reason)
{
	GArray *tickets = collect_tickets(b);

	for (guint i = 0; i < tickets->len; i++) {
		uint64_t ticket = g_array_index(tickets, uint64_t, i);
		struct serving *s = g_hash_table_lookup(b->servings, &ticket);

		if (!s || s->state != SERVING_QUEUED)
			continue;
		admission_cancel(b->admission, ticket);
		backend_refuse(b, s->from, s->request, s->arrived_us, reason);
		g_hash_table_remove(b->servings, &ticket);
	}
	g_array_free(tickets, TRUE);
}

/* Calls whose node did not come back for them. */
void backend_expire_orphans(struct backend_server *b)
{
	GArray *tickets = collect_tickets(b);

	for (guint i = 0; i < tickets->len; i++) {
		uint64_t ticket = g_array_index(tickets, uint64_t, i);
		struct serving *s = g_hash_table_lookup(b->servings, &ticket);

		if (s && s->orphan_since_ms &&
		    backend_now_ms(b) >= s->orphan_since_ms + ORPHAN_MS)
			cancel_serving(s);
	}
	g_array_free(tickets, TRUE);
}
