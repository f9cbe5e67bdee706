/*
 * The state behind a backend server and the calls sent to it.
 */
#ifndef FESCUE_BACKEND_STATE_H
#define FESCUE_BACKEND_STATE_H

#include "backend_server.h"
#include "fescue/answer_cache.h"
#include "http_client.h"

enum serving_state {
	SERVING_QUEUED,
	SERVING_RUNNING, /* holds a slot */
	SERVING_REPORTING, /* holds a slot; others are told of its crash */
};

/* One call that was sent to this node's backend server. */
struct serving {
	struct backend_server *backend;
	uint64_t ticket;
	uint64_t from;
	Fescue__CallRequest *request;
	enum serving_state state;
	uint64_t deadline_ms;
	uint64_t arrived_us;
	uint64_t started_us;
	uint64_t orphan_since_ms; /* 0: the link with its node stands */
	struct http_call *http;
	uint64_t fingerprint;
	Fescue__Packet *answer; /* of a run that has ended */
};

struct backend_server {
	const struct node_context *context;
	struct backend_server_settings settings;
	struct admission *admission;
	struct announcement_record record;
	struct answer_cache *answers;
	struct http_pool *pool; /* NULL: there is no backend server */
	uint32_t connections_max; /* 0: not told */
	uint64_t expires_ms;
	uint64_t announce_at_ms; /* the host itself is known by then */
	int unreachable; /* connections fail, until the next heartbeat */
	int draining; /* the node itself is stopping */
	uint64_t next_ticket;
	GQueue arrivals; /* struct arrival, of this turn of the loop */
	uv_check_t turn_end;
	GHashTable *servings; /* ticket -> struct serving */
};

static inline uint64_t backend_now_ms(const struct backend_server *b)
{
	return node_context_now_ms(b->context);
}

static inline void backend_count(struct backend_server *b, enum counter counter)
{
	b->context->counters->values[counter]++;
}

static inline enum call_class
backend_request_class(const Fescue__CallRequest *request)
{
	return request->call_class ? CALL_CLASS_BACKGROUND : CALL_CLASS_URGENT;
}

/* The id that the caller gave the request, or NULL. */
const char *backend_request_id(const struct backend_server *backend,
			       const Fescue__CallRequest *request);

/* arrived_us: when the request came, by monotonic_clock_us(). */
void backend_refuse(struct backend_server *backend, uint64_t to,
		    const Fescue__CallRequest *request, uint64_t arrived_us,
		    const char *reason);

/* A call from a node, not yet admitted; takes ownership of the request. */
struct serving *serving_create(struct backend_server *backend, uint64_t from,
			       Fescue__CallRequest *request,
			       uint64_t arrived_us);

/* A call that holds a slot begins, unless its time ran out meanwhile. */
void serving_begin(struct serving *serving);

/* The call is over: free its slot if it holds one, then start the next. */
void serving_end(struct serving *serving);

/* Requests that came in this turn of the loop. */
void backend_arrivals_open(struct backend_server *backend);
void backend_arrivals_clear(struct backend_server *backend);

/* Hand queued calls back, so that their nodes send them elsewhere. */
void backend_return_queued(struct backend_server *backend, const char *reason);

/* Cancel calls whose node did not come back for them. */
void backend_expire_orphans(struct backend_server *backend);

#endif
