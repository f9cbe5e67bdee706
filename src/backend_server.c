#include "backend_state.h"

#include "call_answer.h"
#include "call_log.h"
#include "events.h"
#include "fescue/error.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

/* Heartbeats come every second or two and may be seconds late. */
#define ANNOUNCEMENT_TTL_MS 10000
#define IDLE_CONNECTIONS_MAX 128
/*
 * A call that must not run twice is not sent on a connection that was idle
 * for longer: the backend server may just be closing it.
 */
#define IDLE_UNSAFE_MS 2000

static void serving_free(gpointer p)
{
	struct serving *s = p;

	if (s->http)
		http_call_cancel(s->http);
	fescue__call_request__free_unpacked(s->request, NULL);
	packet_destroy(s->answer);
	g_free(s);
}

static void answer_release(void *answer)
{
	packet_destroy(answer);
}

/* Send an answer; another node may ask for it once more. */
static void send_answer(struct backend_server *b, uint64_t to,
			Fescue__Packet *packet)
{
	Fescue__Packet *copy;
	size_t size;

	if (to != b->context->own) {
		copy = (Fescue__Packet *)message_copy(&packet->base, &size);
		answer_cache_store(b->answers, to, packet->call_answer->call_id,
				   copy, size, backend_now_ms(b));
	}
	node_context_send(b->context, to, packet);
}

static uint32_t held_us(uint64_t arrived_us)
{
	return (uint32_t)MIN(monotonic_clock_us() - arrived_us, G_MAXUINT32);
}

void backend_refuse(struct backend_server *b, uint64_t to,
		    const Fescue__CallRequest *request, uint64_t arrived_us,
		    const char *reason)
{
	Fescue__Packet *packet = call_answer_create(b->admission, request->kind,
						    request->call_id,
						    CALL_NOT_RUN, reason);
	char quoted[LOG_QUOTED_BYTES];

	backend_count(b, COUNTER_served_refused);
	packet->call_answer->retry_after_ms = admission_wait_ms(b->admission);
	packet->call_answer->held_us = held_us(arrived_us);
	serving_log(b, to, request, LOG_FAILURE, "refused",
		    "\"reason\":%s,\"retry_after_ms\":%u,"
		    "\"service_us\":%u,\"left_ms\":%u",
		    log_quote(reason, quoted),
		    packet->call_answer->retry_after_ms,
		    packet->call_answer->service_us, request->deadline_ms);
	send_answer(b, to, packet);
}

static void start_next(struct backend_server *b);

/* The call is over: free its slot if it holds one, then start the next. */
void serving_end(struct serving *s)
{
	struct backend_server *b = s->backend;
	uint64_t spent_us = monotonic_clock_us() - s->started_us;
	enum call_class call_class = backend_request_class(s->request);

	switch (s->state) {
	case SERVING_QUEUED:
		admission_cancel(b->admission, s->ticket);
		break;
	case SERVING_RUNNING:
	case SERVING_REPORTING:
		admission_finish(b->admission, s->request->kind,
				 s->request->depth, spent_us);
		histogram_record(&b->context->counters->service_us[call_class],
				 spent_us);
		break;
	}
	g_hash_table_remove(b->servings, &s->ticket);
	start_next(b);
}

/* Give the run's answer to its caller and free the slot. */
static void finish_run(struct serving *s)
{
	s->answer->call_answer->held_us = held_us(s->arrived_us);
	send_answer(s->backend, s->from, g_steal_pointer(&s->answer));
	serving_end(s);
}

/* All that must know of a crash have been told. */
static void on_crash_reported(void *data)
{
	struct serving *s = data;
	struct backend_server *b = s->backend;

	if (quarantine_refuses(b->settings.quarantine, s->fingerprint,
			       backend_now_ms(b)))
		s->answer->call_answer->final = 1;
	finish_run(s);
}

/* Tell the fleet whether calls may be sent here. */
static void publish(struct backend_server *b)
{
	const struct announcement *current = &b->record.current;
	int known = backend_now_ms(b) >= b->announce_at_ms;
	struct backend_state state = {
		.service = b->pool && known ? current->service : "",
		.slots = admission_slots(b->admission),
	};
	int leaving = b->record.leaving || b->draining;

	state.serving = b->pool && known && !leaving && !b->unreachable;
	if (b->record.known && b->record.leaving)
		state.left = announcement_fingerprint(current);
	admission_set_draining(b->admission, leaving);
	b->settings.changed(b->settings.data, &state);
}

/* Another backend server has the address, or none listens there. */
static void note_unreachable(struct backend_server *b, const char *why)
{
	if (b->unreachable || !b->pool)
		return;
	b->unreachable = 1;
	log_state("backend server %s: %s; no calls until its next heartbeat",
		  b->record.current.id, why);
	publish(b);
}

static void review_result(struct backend_server *b,
			  const struct http_result *result)
{
	if (result->error)
		backend_count(b, COUNTER_backend_failures);
	if (result->error && !result->sent)
		note_unreachable(b, "connections fail");
	else if (!result->error && result->status == 421)
		note_unreachable(b, "another one has its address");
}

static void log_result(const struct serving *s,
		       const struct http_result *result)
{
	const Fescue__CallAnswer *answer = s->answer->call_answer;
	char quoted[LOG_QUOTED_BYTES];
	int good = !result->error && result->status < 500;

	serving_log(s->backend, s->from, s->request,
		    good ? LOG_DECISION : LOG_FAILURE, "run_ended",
		    "\"status\":%d,\"outcome\":\"%s\",\"error\":\"%s\","
		    "\"reason\":%s,\"run_us\":%" PRIu64 ",\"reused\":%d",
		    result->error ? 0 : result->status,
		    call_outcome_name((enum call_outcome)answer->outcome),
		    result->error ? fescue_strerror(result->error) : "",
		    log_quote(answer->reason, quoted),
		    monotonic_clock_us() - s->started_us, result->reused);
}

static void on_backend_answer(void *data, const struct http_result *result)
{
	struct serving *s = data;
	struct backend_server *b = s->backend;

	s->http = NULL;
	s->answer = call_answer_from_result(b->admission, b->context->headers,
					    s->request->kind,
					    s->request->call_id, result);
	log_result(s, result);
	review_result(b, result);
	if (!result->error)
		quarantine_clear(b->settings.quarantine, s->fingerprint,
				 backend_now_ms(b));
	if (s->answer->call_answer->suspect && b->pool) {
		s->state = SERVING_REPORTING;
		crash_reports_begin(b->settings.crashes,
				    b->record.current.address,
				    b->record.current.service, s->fingerprint,
				    on_crash_reported, s);
		return;
	}
	finish_run(s);
}

/* Headers for the backend server: the call's own, then what this node sets. */
static size_t fill_headers(const struct serving *s, char *remaining,
			   struct http_header *out)
{
	const struct header_names *names = s->backend->context->headers;
	const Fescue__CallRequest *r = s->request;
	size_t n = 0;

	for (size_t i = 0; i < r->n_headers; i++) {
		out[n].name = r->headers[i]->name;
		out[n++].value = r->headers[i]->value;
	}
	out[n].name = names->deadline;
	out[n++].value = remaining;
	if (names->target && s->backend->record.current.id[0]) {
		out[n].name = names->target;
		out[n++].value = s->backend->record.current.id;
	}
	return n;
}

const char *backend_request_id(const struct backend_server *b,
			       const Fescue__CallRequest *request)
{
	const char *name = b->context->headers->request_id;

	for (size_t i = 0; name && i < request->n_headers; i++)
		if (!strcmp(request->headers[i]->name, name))
			return request->headers[i]->value;
	return NULL;
}

static void run(struct serving *s)
{
	struct backend_server *b = s->backend;
	const Fescue__CallRequest *r = s->request;
	struct http_header *headers =
		g_new(struct http_header, r->n_headers + 2);
	char remaining[24];
	struct http_request http = {
		.method = r->method,
		.path = r->path,
		.host = *r->host ? r->host : NULL,
		.headers = headers,
		.body = r->body.data,
		.body_size = r->body.len,
		.timeout_ms = (uint32_t)(s->deadline_ms - backend_now_ms(b)),
		.echo_name = b->context->headers->request_id,
		.echo = backend_request_id(b, r),
		.idle_max_ms = r->idempotent ? 0 : IDLE_UNSAFE_MS,
	};

	g_snprintf(remaining, sizeof(remaining), "%u", http.timeout_ms);
	http.header_count = fill_headers(s, remaining, headers);
	s->state = SERVING_RUNNING;
	backend_count(b, COUNTER_served_runs);
	s->http = http_pool_send(b->pool, &http, on_backend_answer, s);
	g_free(headers);
}

static void refuse_poisonous(struct serving *s)
{
	struct backend_server *b = s->backend;
	Fescue__Packet *packet = call_answer_create(
		b->admission, s->request->kind, s->request->call_id,
		CALL_NOT_RUN,
		"the request crashed two backend servers; correct it");

	packet->call_answer->final = 1;
	serving_log(b, s->from, s->request, LOG_FAILURE, "refused",
		    "\"reason\":\"poisonous\",\"fingerprint\":\"%016" PRIx64
		    "\"",
		    s->fingerprint);
	backend_count(b, COUNTER_quarantine_refused);
	send_answer(b, s->from, packet);
	serving_end(s);
}

/* A call that holds a slot begins, unless its time ran out meanwhile. */
void serving_begin(struct serving *s)
{
	struct backend_server *b = s->backend;

	s->state = SERVING_RUNNING;
	s->started_us = monotonic_clock_us();
	histogram_record(&b->context->counters
				  ->gate_us[backend_request_class(s->request)],
			 s->started_us - s->arrived_us);
	if (backend_now_ms(b) >= s->deadline_ms || !b->pool) {
		backend_refuse(b, s->from, s->request, s->arrived_us,
			       b->pool ? "no slot became free in time" :
					 "the backend server is gone");
		serving_end(s);
	} else if (quarantine_refuses(b->settings.quarantine, s->fingerprint,
				      backend_now_ms(b))) {
		refuse_poisonous(s);
	} else {
		run(s);
	}
}

static void start_next(struct backend_server *b)
{
	enum admission_verdict verdict;
	struct serving *s;
	uint64_t ticket;

	while ((verdict = admission_next(b->admission, backend_now_ms(b),
					 &ticket)) != ADMISSION_QUEUED) {
		s = g_hash_table_lookup(b->servings, &ticket);
		g_assert(s);
		if (verdict == ADMISSION_RUN) {
			serving_begin(s);
			continue;
		}
		backend_count(b, COUNTER_served_expired);
		backend_refuse(b, s->from, s->request, s->arrived_us,
			       "no slot became free in time");
		g_hash_table_remove(b->servings, &ticket);
	}
}

struct serving *serving_create(struct backend_server *b, uint64_t from,
			       Fescue__CallRequest *request,
			       uint64_t arrived_us)
{
	struct serving *s = g_new0(struct serving, 1);

	s->backend = b;
	s->ticket = ++b->next_ticket;
	s->from = from;
	s->request = request;
	s->arrived_us = arrived_us;
	s->deadline_ms = backend_now_ms(b) + request->deadline_ms;
	s->fingerprint = quarantine_fingerprint(request->service,
						request->method, request->path,
						request->body.data,
						request->body.len);
	g_hash_table_insert(b->servings, &s->ticket, s);
	return s;
}

/* Idle connections leave room for as many calls that open new ones. */
static size_t idle_max(const struct backend_server *b)
{
	if (!b->connections_max)
		return IDLE_CONNECTIONS_MAX;
	return MIN((b->connections_max + 1) / 2, IDLE_CONNECTIONS_MAX);
}

static void release_pool(struct backend_server *b)
{
	http_pool_release(b->pool);
	b->pool = NULL;
}

/* Another incarnation stands beside the node now. */
static void replace_backend(struct backend_server *b)
{
	const struct announcement *current = &b->record.current;

	log_state("backend server %s announced service %s", current->id,
		  current->service);
	release_pool(b);
	b->pool = http_pool_create(b->context->loop, current->address,
				   idle_max(b));
}

static void review_leaving(struct backend_server *b, int before)
{
	if (before || !b->record.leaving)
		return;
	log_state("backend server %s of %s is leaving", b->record.current.id,
		  b->record.current.service);
	publish(b);
	backend_return_queued(b, "the backend server is leaving");
}

/* Each running call needs a connection of its own. */
static uint32_t usable_slots(const struct backend_server *b)
{
	uint32_t slots = b->record.current.slots;

	return b->connections_max ? MIN(slots, b->connections_max) : slots;
}

void backend_server_limit_connections(struct backend_server *b,
				      uint32_t connections)
{
	b->connections_max = connections;
	if (!b->pool)
		return;
	http_pool_set_idle_max(b->pool, idle_max(b));
	admission_set_slots(b->admission, usable_slots(b));
}

void backend_server_announce(struct backend_server *b,
			     const struct announcement *announcement)
{
	int before = b->record.known && b->record.leaving;
	struct address address = b->record.current.address;

	switch (announcement_take(&b->record, announcement)) {
	case ANNOUNCEMENT_STALE:
		log_state("a heartbeat of %s is stale", announcement->id);
		return;
	case ANNOUNCEMENT_NEW:
		before = 0;
		replace_backend(b);
		break;
	case ANNOUNCEMENT_RENEWED:
		if (!b->pool ||
		    address_key(address) != address_key(announcement->address))
			replace_backend(b);
		break;
	}
	backend_count(b, COUNTER_backend_announcements);
	b->unreachable = 0;
	b->expires_ms = backend_now_ms(b) + ANNOUNCEMENT_TTL_MS;
	admission_set_slots(b->admission, usable_slots(b));
	publish(b);
	review_leaving(b, before);
	start_next(b);
}

void backend_server_leave(struct backend_server *b, const char *id)
{
	int before = b->record.leaving;

	if (!id)
		b->record.leaving = 1;
	else
		announcement_end(&b->record, id);
	review_leaving(b, before);
}

void backend_server_note_left(struct backend_server *b, uint64_t left)
{
	int before = b->record.leaving;

	if (left == b->record.left)
		return;
	announcement_note_left(&b->record, left);
	review_leaving(b, before);
}

static void expire_announcement(struct backend_server *b)
{
	if (!b->pool || backend_now_ms(b) < b->expires_ms)
		return;
	log_state("backend server of %s no longer announces itself",
		  b->record.current.service);
	backend_count(b, COUNTER_backend_expired);
	release_pool(b);
	admission_set_slots(b->admission, 0);
	publish(b);
	backend_return_queued(b, "the backend server is gone");
}

void backend_server_tick(struct backend_server *b)
{
	expire_announcement(b);
	if (b->announce_at_ms && backend_now_ms(b) >= b->announce_at_ms) {
		b->announce_at_ms = 0;
		publish(b);
	}
	backend_expire_orphans(b);
	answer_cache_expire(b->answers, backend_now_ms(b));
	start_next(b);
}

void backend_server_drain(struct backend_server *b)
{
	b->draining = 1;
	publish(b);
	backend_return_queued(b, "the node is stopping");
}

struct backend_server *
backend_server_create(const struct node_context *context,
		      const struct backend_server_settings *settings)
{
	struct backend_server *b = g_new0(struct backend_server, 1);

	b->context = context;
	b->settings = *settings;
	b->announce_at_ms =
		node_context_now_ms(context) + settings->announce_delay_ms;
	b->admission = admission_create(settings->policy);
	b->answers = answer_cache_create(answer_release);
	backend_arrivals_open(b);
	b->servings = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    serving_free);
	return b;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void backend_server_destroy(struct backend_server *b)
{
	if (!b)
		return;
	backend_arrivals_clear(b);
	g_hash_table_destroy(b->servings);
	answer_cache_destroy(b->answers);
	admission_destroy(b->admission);
	http_pool_release(b->pool);
	uv_close((uv_handle_t *)&b->turn_end, on_closed);
}

uint32_t backend_server_in_flight(const struct backend_server *b)
{
	return g_hash_table_size(b->servings) +
	       g_queue_get_length((GQueue *)&b->arrivals);
}

const char *backend_server_service(const struct backend_server *b)
{
	return b->pool ? b->record.current.service : "";
}

uint32_t backend_server_in_use(const struct backend_server *b)
{
	return admission_in_use(b->admission);
}

uint32_t backend_server_queued(const struct backend_server *b)
{
	return admission_queued(b->admission);
}
