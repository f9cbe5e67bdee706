/*
 * Calls as they arrive, whole or with their bodies in parts, and the memory that
 * long bodies take.
 */
#include "backend_state.h"

#include "events.h"

#include <string.h>

static void refuse_partial(struct backend_server *b,
			   const struct partial_request *partial,
			   const char *reason)
{
	backend_refuse(b, partial->from, partial->request, monotonic_clock_us(),
		       reason);
	backend_request_free(b, partial->request);
}

void backend_request_free(struct backend_server *b,
			  Fescue__CallRequest *request)
{
	if (request)
		inbound_bodies_release(b->bodies, request->body_bytes);
	fescue__call_request__free_unpacked(request, NULL);
}

int backend_reserve_body(struct backend_server *b, Fescue__CallRequest *request)
{
	int error;

	if (request->body_bytes)
		return 0;
	error = inbound_bodies_reserve(b->bodies, request->body.len);
	if (!error)
		request->body_bytes = request->body.len;
	return error;
}

/* Returns NULL if the body can be received, and then its memory is reserved. */
static const char *check_partial(struct backend_server *b,
				 const Fescue__CallRequest *request)
{
	if (!b->pool || b->unreachable || b->draining || b->record.leaving ||
	    strcmp(request->service, b->record.current.service))
		return "the backend server takes no calls now";
	if (inbound_bodies_reserve(b->bodies, request->body_bytes))
		return BACKEND_REASON_BODY_MEMORY;
	return NULL;
}

static void start_partial(struct backend_server *b, uint64_t from,
			  Fescue__CallRequest *request)
{
	const char *reason;
	void *answer;

	/* A cancel or a query overtook it. */
	if (answer_cache_find(b->answers, from, request->call_id, &answer) !=
	    ANSWER_NO_RECORD) {
		fescue__call_request__free_unpacked(request, NULL);
		return;
	}
	reason = check_partial(b, request);
	if (!reason) {
		inbound_bodies_start(b->bodies, from, request,
				     backend_now_ms(b));
		return;
	}
	backend_refuse(b, from, request, monotonic_clock_us(), reason);
	fescue__call_request__free_unpacked(request, NULL);
}

/* The times in a request were left when it was sent. */
static void subtract_age(Fescue__CallRequest *request, uint32_t age_ms)
{
	request->deadline_ms -= MIN(request->deadline_ms, age_ms);
	request->latency_ms -= MIN(request->latency_ms, age_ms);
	request->queue_ms -= MIN(request->queue_ms, age_ms);
}

/*
 * Calls are admitted and started only after all input of an event loop iteration
 * has been read: after a stall, a request and its cancel can arrive together, or
 * a free slot and the close of a local caller.
 */
static void receive_whole(struct backend_server *b, uint64_t from,
			  Fescue__CallRequest *request, uint32_t age_ms)
{
	struct received_request *r = g_new0(struct received_request, 1);

	r->from = from;
	r->arrived_us = monotonic_clock_us();
	r->age_ms = age_ms;
	r->request = request;
	subtract_age(request, r->age_ms);
	g_queue_push_tail(&b->received, r);
	backend_schedule_iteration_end(b);
}

void backend_server_call(struct backend_server *b, uint64_t from,
			 Fescue__CallRequest *request)
{
	uint32_t age_ms = node_context_news_age_ms(b->context, from);

	if (request->body_bytes <= request->body.len) {
		request->body_bytes = 0; /* nothing is reserved yet */
		receive_whole(b, from, request, age_ms);
		return;
	}
	subtract_age(request, age_ms);
	start_partial(b, from, request);
}

void backend_server_body(struct backend_server *b, uint64_t from,
			 const Fescue__CallBody *part)
{
	struct partial_request partial;

	switch (inbound_bodies_add(b->bodies, from, part, &partial)) {
	case BODY_UNKNOWN:
		if (partial.request)
			refuse_partial(b, &partial,
				       "a part of the body is missing");
		break;
	case BODY_PARTIAL:
		break;
	case BODY_COMPLETE:
		receive_whole(
			b, from, partial.request,
			(uint32_t)(backend_now_ms(b) - partial.started_ms));
		break;
	}
}

int backend_cancel_partial(struct backend_server *b, uint64_t from,
			   uint64_t call_id)
{
	struct partial_request partial;

	if (!inbound_bodies_take(b->bodies, from, call_id, &partial))
		return 0;
	backend_request_free(b, partial.request);
	return 1;
}

void backend_recall_partial(struct backend_server *b, uint64_t from,
			    uint64_t call_id)
{
	struct partial_request partial;

	if (inbound_bodies_take(b->bodies, from, call_id, &partial))
		refuse_partial(b, &partial, "its node stops");
}

void backend_refuse_partial(struct backend_server *b, uint64_t from,
			    const char *reason)
{
	struct partial_request partial;

	while (inbound_bodies_take_of(b->bodies, from, &partial))
		refuse_partial(b, &partial, reason);
}

void backend_expire_partial(struct backend_server *b)
{
	struct partial_request partial;

	while (inbound_bodies_take_expired(b->bodies, backend_now_ms(b),
					   &partial))
		refuse_partial(b, &partial, "the body did not arrive in time");
}
