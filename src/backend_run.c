/* Runs of calls at the backend server, from the start to the answer. */
#include "backend_state.h"

#include "call_answer.h"
#include "call_log.h"
#include "call_request.h"
#include "events.h"
#include "fescue/error.h"
#include "log.h"

#include <inttypes.h>

/*
 * A call that is not idempotent is not sent on a connection that was idle for
 * longer, because the backend server may be closing it.
 */
#define NON_IDEMPOTENT_IDLE_MAX_MS 2000
/*
 * A call starts only if all cancels that its node sent by this time before have
 * arrived. A backend server must not get calls whose callers left 0.5 s ago.
 */
#define NEWS_AGE_MAX_MS 250
/* In which a node that runs answers, and its link is not broken. */
#define CONFIRM_TIMEOUT_MS 250
/* A call that starts sooner after its arrival has no line for its start. */
#define LOGGED_HOLD_MS 10
/*
 * A backend server that has left a run without an answer is treated as one that
 * neither answers what it cannot queue nor stops when a connection closes. Most
 * stop, and their slots must not stay empty.
 */
#define SILENCE_EVIDENCE_MS 60000

/* Sends the backend server's answer to the calling node. */
static void complete_run(struct inbound_call *c)
{
	c->answer->call_answer->held_us = backend_held_us(c->arrived_us);
	backend_send_answer(c->backend, c->from, g_steal_pointer(&c->answer));
	inbound_call_end(c);
}

/* The crash has been reported to the hosts of the service. */
static void on_crash_reported(void *data)
{
	struct inbound_call *c = data;
	struct backend_server *b = c->backend;

	if (quarantine_refuses(b->settings.quarantine, c->fingerprint,
			       backend_now_ms(b)))
		c->answer->call_answer->final = 1;
	complete_run(c);
}

static void log_result(const struct inbound_call *c,
		       const struct http_result *result)
{
	const Fescue__CallAnswer *answer = c->answer->call_answer;
	char quoted[LOG_QUOTED_BYTES];
	int succeeded = !result->error && result->status < 500;

	inbound_call_log(c->backend, c->from, c->request,
			 succeeded ? LOG_DECISION : LOG_FAILURE, "run_ended",
			 "\"status\":%d,\"outcome\":\"%s\",\"error\":\"%s\","
			 "\"reason\":%s,\"run_us\":%" PRIu64 ",\"reused\":%d",
			 result->error ? 0 : result->status,
			 call_outcome_name((enum call_outcome)answer->outcome),
			 result->error ? fescue_strerror(result->error) : "",
			 log_quote(answer->reason, quoted),
			 monotonic_clock_us() - c->started_us, result->reused);
}

static void on_backend_answer(void *data, const struct http_result *result)
{
	struct inbound_call *c = data;
	struct backend_server *b = c->backend;

	c->http = NULL;
	c->answer = call_answer_from_result(b->admission, b->context->headers,
					    c->request->kind,
					    c->request->call_id, result,
					    backend_now_ms(b));
	c->given_up = result->error == FESCUE_ETIMEOUT && result->sent;
	if (c->answer->call_answer->outcome == FESCUE__OUTCOME__RAN &&
	    result->status < 500)
		silence_answered(b->silence, c->ticket, backend_now_ms(b));
	log_result(c, result);
	backend_record_result(b, result);
	if (!result->error)
		link_budget_record_size(b->link, c->request->kind,
					result->body_size);
	if (c->answer->call_answer->outcome == FESCUE__OUTCOME__RAN)
		quarantine_record_success(b->settings.quarantine,
					  c->fingerprint, backend_now_ms(b));
	if (c->answer->call_answer->suspect && b->pool) {
		c->state = INBOUND_CALL_REPORTING;
		crash_reports_start(b->settings.crashes,
				    b->record.current.address,
				    b->record.current.service, c->fingerprint,
				    on_crash_reported, c);
		return;
	}
	complete_run(c);
}

/* Fills out with the headers of the call, followed by those of this node. */
static size_t fill_headers(const struct inbound_call *c, char *remaining,
			   struct http_header *out)
{
	const struct header_names *names = c->backend->context->headers;
	const Fescue__CallRequest *r = c->request;
	size_t n = 0;

	for (size_t i = 0; i < r->n_headers; i++) {
		out[n].name = r->headers[i]->name;
		out[n++].value = r->headers[i]->value;
	}
	out[n].name = names->deadline;
	out[n++].value = remaining;
	if (names->target && c->backend->record.current.id[0]) {
		out[n].name = names->target;
		out[n++].value = c->backend->record.current.id;
	}
	return n;
}

/*
 * A cancel of a call whose link was lost may be lost with it, so news on a later
 * link do not confirm it, but a query does.
 */
static int is_unconfirmed(const struct inbound_call *c)
{
	return c->orphaned_at_ms ||
	       node_context_news_age_ms(c->backend->context, c->from) >
		       NEWS_AGE_MAX_MS;
}

/* The connection to the backend server took long to open. */
static int may_start(void *data)
{
	const struct inbound_call *c = data;

	return !is_unconfirmed(c) &&
	       backend_now_ms(c->backend) < c->deadline_ms;
}

static void send_to_backend(struct inbound_call *c)
{
	struct backend_server *b = c->backend;
	const Fescue__CallRequest *r = c->request;
	struct http_header *headers =
		g_new(struct http_header, r->n_headers + 2);
	char remaining[24];
	uint64_t held_ms = (c->started_us - c->arrived_us) / 1000;
	struct http_request http = {
		.method = r->method,
		.path = r->path,
		.host = *r->host ? r->host : NULL,
		.headers = headers,
		.body = r->body.data,
		.body_size = r->body.len,
		.timeout_ms = (uint32_t)(c->deadline_ms - backend_now_ms(b)),
		.echo_name = b->context->headers->request_id,
		.echo = call_request_header(r, b->context->headers->request_id),
		.idle_max_ms = r->idempotent ? 0 : NON_IDEMPOTENT_IDLE_MAX_MS,
		.may_send = may_start,
	};
	struct silence_run run = {
		.ticket = c->ticket,
		.kind = r->kind,
		.idempotent = r->idempotent,
		.started_ms = backend_now_ms(b),
		.deadline_ms = c->deadline_ms,
	};

	g_snprintf(remaining, sizeof(remaining), "%u", http.timeout_ms);
	http.header_count = fill_headers(c, remaining, headers);
	if (held_ms >= LOGGED_HOLD_MS)
		inbound_call_log(b, c->from, r, LOG_DECISION, "run_started",
				 "\"held_ms\":%" PRIu64 ",\"news_ms\":%u",
				 held_ms,
				 node_context_news_age_ms(b->context, c->from));
	backend_increment_counter(b, COUNTER_served_runs);
	c->http = http_pool_send(b->pool, &http, on_backend_answer, c);
	silence_started(b->silence, &run);
	g_free(headers);
}

static void refuse_quarantined(struct inbound_call *c)
{
	struct backend_server *b = c->backend;
	Fescue__Packet *packet = call_answer_create(
		b->admission, c->request->kind, c->request->call_id,
		CALL_NOT_RUN,
		"the request crashed two backend servers; correct it",
		backend_now_ms(b));

	packet->call_answer->final = 1;
	inbound_call_log(
		b, c->from, c->request, LOG_FAILURE, "refused",
		"\"reason\":\"poisonous\",\"fingerprint\":\"%016" PRIx64 "\"",
		c->fingerprint);
	backend_increment_counter(b, COUNTER_quarantine_refused);
	backend_send_answer(b, c->from, packet);
	inbound_call_end(c);
}

static void await_confirmation(struct inbound_call *c)
{
	struct backend_server *b = c->backend;

	c->state = INBOUND_CALL_UNCONFIRMED;
	c->confirm_until_ms = backend_now_ms(b) + CONFIRM_TIMEOUT_MS;
	b->unconfirmed_count++;
	backend_increment_counter(b, COUNTER_served_unconfirmed);
	node_context_ask(b->context, c->from);
}

void inbound_call_confirm(struct inbound_call *c)
{
	struct backend_server *b = c->backend;

	if (!is_unconfirmed(c)) {
		b->unconfirmed_count--;
		inbound_call_begin(c);
	} else if (backend_now_ms(b) >= c->confirm_until_ms) {
		backend_refuse(b, c->from, c->request, c->arrived_us,
			       "its node is not heard");
		inbound_call_end(c);
	} else {
		node_context_ask(b->context, c->from);
	}
}

void inbound_call_begin(struct inbound_call *c)
{
	struct backend_server *b = c->backend;

	c->state = INBOUND_CALL_RUNNING;
	c->started_us = monotonic_clock_us();
	if (b->pool && is_unconfirmed(c)) {
		await_confirmation(c);
		return;
	}
	histogram_record(
		&b->context->counters->admission_delay_us[backend_request_class(
			c->request)],
		c->started_us - c->arrived_us);
	if (backend_now_ms(b) >= c->deadline_ms || !b->pool) {
		backend_refuse(b, c->from, c->request, c->arrived_us,
			       b->pool ? "no slot became free in time" :
					 "the backend server is gone");
		inbound_call_end(c);
	} else if (quarantine_refuses(b->settings.quarantine, c->fingerprint,
				      backend_now_ms(b))) {
		refuse_quarantined(c);
	} else {
		send_to_backend(c);
	}
}

static void log_silent_run(const struct inbound_call *c, const char *reason)
{
	inbound_call_log(c->backend, c->from, c->request, LOG_FAILURE,
			 "run_ended",
			 "\"status\":0,\"outcome\":\"unknown\",\"silent\":1,"
			 "\"reason\":\"%s\",\"run_us\":%" PRIu64
			 ",\"left_ms\":%" PRIu64,
			 reason, monotonic_clock_us() - c->started_us,
			 c->deadline_ms - backend_now_ms(c->backend));
}

static void end_silent_run(struct inbound_call *c)
{
	static const char reason[] = "the backend server does not answer";
	struct backend_server *b = c->backend;
	Fescue__Packet *packet;

	http_call_cancel(g_steal_pointer(&c->http));
	c->given_up = 1;
	c->silent = 1;
	b->silent_until_ms = backend_now_ms(b) + SILENCE_EVIDENCE_MS;
	packet = call_answer_create(b->admission, c->request->kind,
				    c->request->call_id, CALL_UNKNOWN, reason,
				    backend_now_ms(b));
	packet->call_answer->arrived = 1;
	packet->call_answer->held_us = backend_held_us(c->arrived_us);
	log_silent_run(c, reason);
	backend_increment_counter(b, COUNTER_silent_runs);
	backend_increment_counter(b, COUNTER_backend_failures);
	backend_send_answer(b, c->from, packet);
	inbound_call_end(c);
}

void backend_end_silent_runs(struct backend_server *b)
{
	uint64_t now_ms = backend_now_ms(b);
	struct inbound_call *c;
	uint64_t ticket;

	silence_tick(b->silence, now_ms);
	/* A stop lets runs end: silence is no reason to break them off. */
	if (!b->settings.end_silent_runs || b->draining || b->record.leaving)
		return;
	while (silence_next(b->silence, now_ms, &ticket)) {
		c = g_hash_table_lookup(b->inbound_calls, &ticket);
		if (c && c->http && http_call_is_sent(c->http))
			end_silent_run(c);
	}
}
