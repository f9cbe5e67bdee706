#include "backend_server.h"

#include "call_answer.h"
#include "caller.h"
#include "crash_report.h"
#include "fescue/error.h"
#include "http_client.h"
#include "keyed_calls.h"
#include "log.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define ANNOUNCEMENT_TTL_MS 3000
#define IDLE_CONNECTIONS_MAX 128
#define SLOTS_MAX 10000
/*
 * Before a host takes calls, the others must know that it exists: what they
 * have to tell it, such as a request that crashes backend servers, must not
 * come after the calls.
 */
#define ANNOUNCE_DELAY_MS 2000

enum serving_state {
	SERVING_QUEUED,
	SERVING_CLAIMING, /* holds a slot; its key is being recorded */
	SERVING_RUNNING, /* holds a slot */
	SERVING_WAITING, /* no slot: waits for the outcome of its key */
};

/* One call that was sent to this node's backend server. */
struct serving {
	struct backend_server *backend;
	uint64_t ticket;
	uint64_t from;
	Fescue__CallRequest *request;
	enum serving_state state;
	uint64_t deadline_ms;
	uint64_t started_us;
	struct http_call *http;
	char *key; /* claimed before the run; NULL: none */
	uint64_t keyed_id;
	uint64_t fingerprint;
	Fescue__Packet *answer; /* of a run that has ended */
};

struct backend_server {
	struct node *node;
	struct admission *admission;
	char service[HOST_NAME_BYTES];
	struct address address;
	struct http_pool *pool;
	uint64_t expires_ms;
	uint64_t announce_at_ms; /* the host itself is known by then */
	int leaving;
	int draining;
	uint64_t next_ticket;
	GHashTable *servings; /* ticket -> struct serving */
};

static void serving_free(gpointer p)
{
	struct serving *s = p;

	if (s->http)
		http_call_cancel(s->http);
	fescue__call_request__free_unpacked(s->request, NULL);
	packet_destroy(s->answer);
	g_free(s->key);
	g_free(s);
}

/* Give the answer to the node the call came from, which may be this one. */
static void deliver_answer(struct backend_server *b, uint64_t to,
			   const Fescue__Packet *packet)
{
	if (to == b->node->own)
		caller_table_answer(b->node->callers, to, packet->call_answer);
	else
		transport_send(b->node->transport, to, PACKET_CALL, packet);
}

static void send_answer(struct backend_server *b, uint64_t to,
			Fescue__Packet *packet)
{
	deliver_answer(b, to, packet);
	packet_destroy(packet);
}

static void refuse(struct backend_server *b, uint64_t to, uint64_t call_id,
		   const char *reason)
{
	b->node->counters.values[COUNTER_served_refused]++;
	send_answer(b, to,
		    call_answer_create(b->admission, call_id, CALL_NOT_RUN,
				       reason));
}

static void start_next(struct backend_server *b);

/* The call is over: free its slot if it holds one, then start the next. */
static void serving_end(struct serving *s)
{
	struct backend_server *b = s->backend;
	uint64_t spent_us = monotonic_clock_us() - s->started_us;
	enum call_class call_class = s->request->call_class ?
					     CALL_CLASS_BACKGROUND :
					     CALL_CLASS_URGENT;

	switch (s->state) {
	case SERVING_QUEUED:
		admission_cancel(b->admission, s->ticket);
		break;
	case SERVING_CLAIMING:
	case SERVING_RUNNING:
		admission_finish(b->admission, spent_us);
		histogram_record(&b->node->counters.service_us[call_class],
				 spent_us);
		break;
	case SERVING_WAITING:
		break;
	}
	g_hash_table_remove(b->servings, &s->ticket);
	start_next(b);
}

/* Give the run's answer to its caller and free the slot. */
static void finish_run(struct serving *s)
{
	struct backend_server *b = s->backend;
	Fescue__Packet *packet = g_steal_pointer(&s->answer);

	if (s->key)
		keyed_calls_finish(b->node->keyed, s->key, packet->call_answer);
	send_answer(b, s->from, packet);
	serving_end(s);
}

/* All that must know of a crash have been told. */
static void on_crash_reported(void *data)
{
	struct serving *s = data;

	if (quarantine_refuses(s->backend->node->quarantine, s->fingerprint,
			       node_now_ms(s->backend->node)))
		s->answer->call_answer->final = 1;
	finish_run(s);
}

static void on_backend_answer(void *data, const struct http_result *result)
{
	struct serving *s = data;
	struct backend_server *b = s->backend;

	s->http = NULL;
	s->answer = call_answer_of_result(b->admission, s->request->call_id,
					  result);
	if (result->error)
		b->node->counters.values[COUNTER_backend_failures]++;
	else
		quarantine_clear(b->node->quarantine, s->fingerprint,
				 node_now_ms(b->node));
	if (s->answer->call_answer->suspect && b->pool)
		crash_reports_begin(b->node->crashes, b->pool, b->service,
				    s->fingerprint, on_crash_reported, s);
	else
		finish_run(s);
}

static void run(struct serving *s)
{
	struct backend_server *b = s->backend;
	const Fescue__CallRequest *r = s->request;
	uint64_t now_ms = node_now_ms(b->node);
	struct http_header *headers =
		g_new(struct http_header, r->n_headers + 1);
	char remaining[24];
	struct http_request http = {
		.method = r->method,
		.path = r->path,
		.headers = headers,
		.body = r->body.data,
		.body_size = r->body.len,
		.timeout_ms = (uint32_t)(s->deadline_ms - now_ms),
	};

	for (size_t i = 0; i < r->n_headers; i++) {
		headers[http.header_count].name = r->headers[i]->name;
		headers[http.header_count++].value = r->headers[i]->value;
	}
	g_snprintf(remaining, sizeof(remaining), "%u", http.timeout_ms);
	headers[http.header_count].name = "x-fescue-deadline-ms";
	headers[http.header_count++].value = remaining;
	s->state = SERVING_RUNNING;
	b->node->counters.values[COUNTER_served_runs]++;
	s->http = http_pool_send(b->pool, &http, on_backend_answer, s);
	g_free(headers);
}

/* A call that will not run here is answered with another run's outcome. */
static void on_keyed_answer(void *data, const Fescue__CallAnswer *answer)
{
	struct serving *s = data;
	struct backend_server *b = s->backend;
	Fescue__CallAnswer copy = *answer;
	Fescue__Packet packet = FESCUE__PACKET__INIT;

	copy.call_id = s->request->call_id;
	copy.in_use = admission_in_use(b->admission);
	copy.queued = admission_queued(b->admission);
	copy.slots = admission_slots(b->admission);
	packet.body_case = FESCUE__PACKET__BODY_CALL_ANSWER;
	packet.call_answer = &copy;
	deliver_answer(b, s->from, &packet);
	serving_end(s);
}

static void on_keyed_run(void *data)
{
	run(data);
}

static void begin_keyed(struct serving *s)
{
	struct keyed_call_owner owner = { on_keyed_run, on_keyed_answer, s };
	struct backend_server *b = s->backend;
	uint64_t ticket = s->ticket, id;

	id = keyed_calls_begin(b->node->keyed, s->key, s->deadline_ms, &owner);
	/* It may have been answered at once. */
	s = g_hash_table_lookup(b->servings, &ticket);
	if (s)
		s->keyed_id = id;
}

static void refuse_poisonous(struct serving *s)
{
	struct backend_server *b = s->backend;
	Fescue__Packet *packet = call_answer_create(
		b->admission, s->request->call_id, CALL_NOT_RUN,
		"the request crashed two backend servers; correct it");

	packet->call_answer->final = 1;
	b->node->counters.values[COUNTER_quarantine_refused]++;
	send_answer(b, s->from, packet);
	serving_end(s);
}

/* A call that holds a slot begins, unless its time ran out meanwhile. */
static void begin(struct serving *s)
{
	struct backend_server *b = s->backend;

	s->state = SERVING_CLAIMING;
	s->started_us = monotonic_clock_us();
	if (node_now_ms(b->node) >= s->deadline_ms || !b->pool) {
		refuse(b, s->from, s->request->call_id,
		       b->pool ? "the deadline passed in the queue" :
				 "the backend server is gone");
		serving_end(s);
		return;
	}
	if (quarantine_refuses(b->node->quarantine, s->fingerprint,
			       node_now_ms(b->node)))
		refuse_poisonous(s);
	else if (s->key)
		begin_keyed(s);
	else
		run(s);
}

static void start_next(struct backend_server *b)
{
	enum admission_verdict verdict;
	struct serving *s;
	uint64_t ticket;

	while ((verdict = admission_next(b->admission, node_now_ms(b->node),
					 &ticket)) != ADMISSION_QUEUED) {
		s = g_hash_table_lookup(b->servings, &ticket);
		g_assert(s);
		if (verdict == ADMISSION_RUN) {
			begin(s);
			continue;
		}
		b->node->counters.values[COUNTER_served_expired]++;
		refuse(b, s->from, s->request->call_id,
		       "the deadline passed in the queue");
		g_hash_table_remove(b->servings, &ticket);
	}
}

static struct serving *serving_create(struct backend_server *b, uint64_t from,
				      const Fescue__CallRequest *request)
{
	struct serving *s = g_new0(struct serving, 1);

	s->backend = b;
	s->ticket = ++b->next_ticket;
	s->from = from;
	s->request = call_request_copy(request);
	s->deadline_ms = node_now_ms(b->node) + request->deadline_ms;
	s->fingerprint = quarantine_fingerprint(request->service,
						request->method, request->path,
						request->body.data,
						request->body.len);
	if (!request->idempotent && *request->key && b->node->settings.claims)
		s->key = g_strdup_printf("%s/%s", request->service,
					 request->key);
	g_hash_table_insert(b->servings, &s->ticket, s);
	return s;
}

/* A resend of a key whose outcome is known here needs no slot. */
static int serve_from_memory(struct backend_server *b, uint64_t from,
			     const Fescue__CallRequest *request)
{
	struct serving *s;

	if (request->idempotent || !*request->key || !b->node->settings.claims)
		return 0;
	s = serving_create(b, from, request);
	if (!keyed_calls_knows(b->node->keyed, s->key)) {
		g_hash_table_remove(b->servings, &s->ticket);
		b->next_ticket--;
		return 0;
	}
	s->state = SERVING_WAITING;
	begin_keyed(s);
	return 1;
}

void backend_server_call(struct backend_server *b, uint64_t from,
			 const Fescue__CallRequest *request)
{
	struct admission_call call = {
		.call_class = request->call_class ? CALL_CLASS_BACKGROUND :
						    CALL_CLASS_URGENT,
		.deadline_ms = node_now_ms(b->node) + request->deadline_ms,
		.queue = request->queue,
		.reserve_percent = MIN(request->reserve_percent, 90),
	};
	enum admission_reason reason;

	if (serve_from_memory(b, from, request))
		return;
	if (strcmp(request->service, b->service) || !b->pool) {
		refuse(b, from, request->call_id,
		       admission_reason_text(ADMISSION_NO_BACKEND));
		return;
	}
	call.ticket = b->next_ticket + 1;
	switch (admission_offer(b->admission, &call, node_now_ms(b->node),
				&reason)) {
	case ADMISSION_RUN:
		begin(serving_create(b, from, request));
		break;
	case ADMISSION_QUEUED:
		serving_create(b, from, request);
		break;
	case ADMISSION_REFUSED:
		refuse(b, from, request->call_id,
		       admission_reason_text(reason));
		break;
	}
}

/* The caller gave up; a call that runs has its connection closed. */
static void cancel_serving(struct serving *s)
{
	if (s->answer)
		return; /* the run is over; its crash is being reported */
	if (s->state == SERVING_RUNNING && s->http) {
		http_call_cancel(s->http);
		s->http = NULL;
	}
	if (s->keyed_id)
		keyed_calls_abandon(s->backend->node->keyed, s->keyed_id);
	serving_end(s);
}

static GPtrArray *find_servings(struct backend_server *b, uint64_t from,
				uint64_t call_id)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->servings);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct serving *s = value;

		if (s->from == from &&
		    (!call_id || s->request->call_id == call_id))
			g_ptr_array_add(found, s);
	}
	return found;
}

static void cancel_matching(struct backend_server *b, uint64_t from,
			    uint64_t call_id)
{
	GPtrArray *found = find_servings(b, from, call_id);

	for (guint i = 0; i < found->len; i++) {
		struct serving *s = g_ptr_array_index(found, i);

		/* A call with effects runs on: it must not be cut half-way. */
		if (s->state != SERVING_RUNNING || s->request->idempotent)
			cancel_serving(s);
	}
	g_ptr_array_free(found, TRUE);
}

void backend_server_cancel(struct backend_server *b, uint64_t from,
			   uint64_t call_id)
{
	cancel_matching(b, from, call_id);
}

void backend_server_peer_gone(struct backend_server *b, uint64_t peer)
{
	cancel_matching(b, peer, 0);
}

/* Publish what the rest of the fleet needs to know. */
static void publish(struct backend_server *b)
{
	struct node *node = b->node;
	int known = node_now_ms(node) >= b->announce_at_ms;
	int serving = b->pool && known && !b->leaving && !b->draining;

	admission_set_draining(b->admission, b->leaving || b->draining);
	membership_set_backend(node->membership,
			       b->pool && known ? b->service : "",
			       admission_slots(b->admission), serving);
	node_update_config(node);
}

static void set_address(struct backend_server *b, struct address address)
{
	if (b->pool && address_key(address) == address_key(b->address))
		return;
	http_pool_release(b->pool);
	b->address = address;
	b->pool =
		http_pool_create(b->node->loop, address, IDLE_CONNECTIONS_MAX);
}

static int read_announcement(struct backend_server *b, json_t *object)
{
	const char *service =
		json_string_value(json_object_get(object, "service"));
	const char *text =
		json_string_value(json_object_get(object, "address"));
	json_int_t slots = json_integer_value(json_object_get(object, "slots"));
	struct address address;

	if (!service || !*service || strlen(service) >= sizeof(b->service) ||
	    !text || address_parse(text, &address) || slots < 1 ||
	    slots > SLOTS_MAX)
		return FESCUE_EINVAL;
	if (!b->pool || strcmp(b->service, service))
		log_state("backend server %s announced service %s", text,
			  service);
	g_strlcpy(b->service, service, sizeof(b->service));
	set_address(b, address);
	admission_set_slots(b->admission, (uint32_t)slots);
	return FESCUE_OK;
}

void backend_server_announce(struct backend_server *b,
			     struct http_exchange *exchange)
{
	struct http_text body = http_exchange_body(exchange);
	json_t *object = json_loadb(body.bytes, body.size, 0, NULL);
	int error = object ? read_announcement(b, object) : FESCUE_EINVAL;

	json_decref(object);
	if (error) {
		http_exchange_reply_text(
			exchange, 400, "text/plain",
			"announcement refused; send {\"service\": NAME, "
			"\"address\": \"IP:PORT\", \"slots\": 1 to 10000}\n");
		return;
	}
	b->node->counters.values[COUNTER_backend_announcements]++;
	b->expires_ms = node_now_ms(b->node) + ANNOUNCEMENT_TTL_MS;
	b->leaving = 0;
	publish(b);
	start_next(b);
	http_exchange_reply_text(exchange, 200, "text/plain", "announced\n");
}

void backend_server_leave(struct backend_server *b,
			  struct http_exchange *exchange)
{
	if (!b->leaving)
		log_state("backend server of %s is leaving", b->service);
	b->leaving = 1;
	publish(b);
	http_exchange_reply_text(exchange, 200, "text/plain", "leaving\n");
}

void backend_server_tick(struct backend_server *b)
{
	if (b->pool && node_now_ms(b->node) >= b->expires_ms) {
		log_state("backend server of %s no longer announces itself",
			  b->service);
		b->node->counters.values[COUNTER_backend_expired]++;
		http_pool_release(b->pool);
		b->pool = NULL;
		admission_set_slots(b->admission, 0);
		publish(b);
	}
	if (b->announce_at_ms && node_now_ms(b->node) >= b->announce_at_ms) {
		publish(b);
		b->announce_at_ms = 0;
	}
	start_next(b);
}

void backend_server_drain(struct backend_server *b)
{
	b->draining = 1;
	publish(b);
}

struct backend_server *backend_server_create(struct node *node)
{
	struct backend_server *b = g_new0(struct backend_server, 1);

	b->node = node;
	b->announce_at_ms = node_now_ms(node) + ANNOUNCE_DELAY_MS;
	b->admission = admission_create(
		(enum admission_policy)node->settings.admission_policy);
	b->servings = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    serving_free);
	return b;
}

void backend_server_destroy(struct backend_server *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->servings);
	admission_destroy(b->admission);
	g_free(b);
}

uint32_t backend_server_in_flight(const struct backend_server *b)
{
	return g_hash_table_size(b->servings);
}

const char *backend_server_service(const struct backend_server *b)
{
	return b->pool ? b->service : "";
}

uint32_t backend_server_in_use(const struct backend_server *b)
{
	return admission_in_use(b->admission);
}

uint32_t backend_server_queued(const struct backend_server *b)
{
	return admission_queued(b->admission);
}
