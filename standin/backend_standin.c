/*
 * fescue-backend-standin: a backend server for tests. It simulates slots, a
 * connection limit, a cold start, drain, load shedding, nested calls and
 * cancellation, injects faults on demand, and records every run for
 * fescue-check.
 */
#include "events.h"
#include "faults.h"
#include "fescue/error.h"
#include "http_client.h"
#include "program.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ANNOUNCE_INTERVAL_MS 500
#define ANNOUNCE_TIMEOUT_MS 1000
#define DRAIN_MIN_MS 1500
#define ID_BYTES 80
#define EXIT_POISONED 3 /* exit status of the simulated crash */
#define COLD_SLOWDOWN_FACTOR 5

static struct {
	char *listen, *node, *callers, *service, *version, *events;
	gint slots, connections, work_ms, cold_ms, answer_bytes, seed;
} options = {
	.slots = 20,
	.connections = 110,
	.work_ms = 5,
	.answer_bytes = 64,
	.seed = 1,
};

struct backend {
	uv_loop_t *loop;
	struct address address;
	struct event_log *events;
	struct http_server *server;
	struct http_pool *operator_port; /* of the node */
	struct http_pool *caller_port; /* of the node, for nested calls */
	GRand *random;
	uint32_t in_use; /* slots */
	uint32_t slow_factor; /* multiplies the time of each run */
	uint32_t failure_percent; /* of runs that end in a server error */
	uint32_t shed; /* refuse all calls and fail the health check */
	uint32_t silent_when_full; /* never answer instead of refusing */
	uint32_t silent_requests; /* number of next requests not to answer */
	uint32_t report_idle; /* report healthy and idle in any case */
	uint32_t dropped_answers; /* number of next answers to drop */
	uint32_t load_report_age_ms; /* time until a load report is renewed */
	uint64_t started_ms;
	uint64_t drain_start_ms; /* 0: not draining */
	uint32_t reported_in_use;
	uint64_t reported_at_ms;
	uv_timer_t announce;
	uv_signal_t sigterm;
};

/* The execution of one call, which occupies a slot. */
struct run {
	struct backend *backend;
	struct http_exchange *exchange; /* NULL: the call was canceled */
	char id[ID_BYTES];
	char key[ID_BYTES];
	int chain; /* number of nested calls below this one */
	char *path;
	char *last_path; /* path of the innermost nested call, or NULL */
	uint32_t deadline_ms;
	uint32_t depth;
	int poison; /* the call makes the process crash */
	uv_timer_t timer;
};

/* Copies a header without characters that would need escaping in JSON. */
static void copy_header(const struct http_exchange *exchange, const char *name,
			char *out)
{
	struct http_text text = http_exchange_header(exchange, name);
	size_t n = 0;

	for (size_t i = 0; i < text.size && n < ID_BYTES - 1; i++)
		if (g_ascii_isalnum(text.bytes[i]) ||
		    strchr("-._:", text.bytes[i]))
			out[n++] = text.bytes[i];
	out[n] = '\0';
}

static uint32_t query_number(const struct http_exchange *exchange,
			     const char *name)
{
	char *text = http_exchange_query(exchange, name);
	uint32_t number = text ? (uint32_t)strtoul(text, NULL, 10) : 0;

	g_free(text);
	return number;
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct run *r = handle->data;

	g_free(r->path);
	g_free(r->last_path);
	g_free(r);
}

static void finish_run(struct run *r, const char *how)
{
	r->backend->in_use--;
	event_log_write(r->backend->events, "run_end",
			"\"id\":\"%s\",\"key\":\"%s\",\"how\":\"%s\"", r->id,
			r->key, how);
	uv_timer_stop(&r->timer);
	uv_close((uv_handle_t *)&r->timer, on_timer_closed);
}

static char *create_body(const struct run *r, size_t *size)
{
	GString *body = g_string_new(NULL);

	g_string_printf(body, "id=%s service=%s instance=%s\n", r->id,
			options.service, options.listen);
	while (body->len < (size_t)options.answer_bytes)
		g_string_append_c(body, '.');
	*size = body->len;
	return g_string_free(body, FALSE);
}

static void reply_run(struct run *r, int status)
{
	struct http_header headers[] = {
		{ "x-echo-id", r->id },
		{ "content-type", "text/plain" },
	};
	size_t size;
	char *body = create_body(r, &size);

	if (r->backend->dropped_answers) {
		r->backend->dropped_answers--;
		http_exchange_abort(r->exchange);
	} else {
		http_exchange_reply(r->exchange, status, headers,
				    G_N_ELEMENTS(headers), body, size);
	}
	g_free(body);
}

static void on_nested_answer(void *data, const struct http_result *result)
{
	struct run *r = data;
	int succeeded = !result->error && result->status == 200;

	if (r->exchange)
		reply_run(r, succeeded ? 200 : 502);
	finish_run(r, "done");
}

/* Sends the next nested call through this server's node. */
static void send_nested_call(struct run *r)
{
	char chain[16], deadline[16], depth[16], id[ID_BYTES + 16];
	struct http_header headers[] = {
		{ "x-chain", chain },
		{ "x-fescue-deadline-ms", deadline },
		{ "x-fescue-depth", depth },
		{ "x-request-id", id },
		{ "x-last-path", r->last_path ? r->last_path : r->path },
	};
	struct http_request request = {
		.method = "GET",
		.path = r->chain == 1 && r->last_path ? r->last_path : r->path,
		.headers = headers,
		.header_count = G_N_ELEMENTS(headers),
		.timeout_ms = r->deadline_ms + 1000,
	};

	g_snprintf(chain, sizeof(chain), "%d", r->chain - 1);
	g_snprintf(deadline, sizeof(deadline), "%u", r->deadline_ms);
	g_snprintf(depth, sizeof(depth), "%u", r->depth);
	g_snprintf(id, sizeof(id), "%s.%d", r->id, r->chain);
	http_pool_send(r->backend->caller_port, &request, on_nested_answer, r);
}

static int is_failing(struct backend *b)
{
	return g_rand_int_range(b->random, 0, 100) < (gint)b->failure_percent;
}

static void on_run_time_elapsed(uv_timer_t *timer)
{
	struct run *r = timer->data;

	if (r->chain > 0 && r->backend->caller_port) {
		send_nested_call(r);
		return;
	}
	if (r->exchange)
		reply_run(r, is_failing(r->backend) ? 500 : 200);
	finish_run(r, "done");
}

static void on_client_disconnected(void *data)
{
	struct run *r = data;

	r->exchange = NULL;
	if (uv_is_active((uv_handle_t *)&r->timer))
		finish_run(r, "canceled");
}

static void refuse(struct http_exchange *exchange, const char *reason)
{
	struct http_header headers[] = {
		{ "x-fescue-outcome", "not-run" },
		{ "content-type", "text/plain" },
	};

	http_exchange_reply(exchange, 503, headers, G_N_ELEMENTS(headers),
			    reason, strlen(reason));
}

/*
 * Leaves a request without an answer. Further requests on its connection are not
 * read, so that they get none either.
 */
static void ignore(struct backend *b, struct http_exchange *exchange)
{
	char id[ID_BYTES];

	copy_header(exchange, "x-request-id", id);
	event_log_write(b->events, "ignored", "\"id\":\"%s\"", id);
}

static void reject(struct backend *b, struct http_exchange *exchange)
{
	if (b->silent_when_full)
		ignore(b, exchange);
	else
		refuse(exchange, "no slot is free\n");
}

/*
 * Draws the time of one run, which is exponentially distributed around the mean
 * and longer during the cold start.
 */
static uint64_t draw_run_ms(struct backend *b)
{
	double ms = -log(1 - g_rand_double(b->random)) * options.work_ms;

	if (uv_now(b->loop) < b->started_ms + (uint64_t)options.cold_ms)
		ms *= COLD_SLOWDOWN_FACTOR;
	return (uint64_t)(MIN(ms, options.work_ms * 10.0) * b->slow_factor);
}

static struct run *create_run(struct backend *b, struct http_exchange *exchange)
{
	struct run *r = g_new0(struct run, 1);
	struct http_text path = http_exchange_path(exchange);
	struct http_text last = http_exchange_header(exchange, "x-last-path");

	r->backend = b;
	r->exchange = exchange;
	copy_header(exchange, "x-request-id", r->id);
	copy_header(exchange, "idempotency-key", r->key);
	r->chain = (int)http_exchange_header_number(exchange, "x-chain", 0);
	r->depth = http_exchange_header_number(exchange, "x-fescue-depth", 0);
	r->deadline_ms = http_exchange_header_number(
		exchange, "x-fescue-deadline-ms", 60000);
	r->poison = (int)query_number(exchange, "poison");
	r->path = g_strndup(path.bytes, path.size);
	if (last.bytes)
		r->last_path = g_strndup(last.bytes, last.size);
	uv_timer_init(b->loop, &r->timer);
	r->timer.data = r;
	b->in_use++;
	return r;
}

static void start_run(struct backend *b, struct http_exchange *exchange)
{
	struct run *r;
	uint64_t ms = draw_run_ms(b);

	if (b->silent_requests) {
		b->silent_requests--;
		ignore(b, exchange);
		return;
	}
	if (b->shed || b->in_use >= (uint32_t)options.slots) {
		reject(b, exchange);
		return;
	}
	r = create_run(b, exchange);
	event_log_write(b->events, "run",
			"\"id\":\"%s\",\"key\":\"%s\",\"service\":\"%s\","
			"\"instance\":\"%s\",\"poison\":%d",
			r->id, r->key, options.service, options.listen,
			r->poison);
	if (r->poison)
		_exit(EXIT_POISONED);
	http_exchange_on_close(exchange, on_client_disconnected, r);
	uv_timer_start(&r->timer, on_run_time_elapsed, ms, 0);
}

static void set_faults(struct backend *b, struct http_exchange *exchange)
{
	json_t *faults = faults_parse(
		exchange,
		"send {\"slow_factor\": N, \"shed\": 0|1, \"lie\": 0|1, "
		"\"short_answers\": N, \"lag_ms\": N, "
		"\"silent_when_full\": 0|1, \"silent_requests\": N, "
		"\"failure_percent\": N}\n");

	if (!faults)
		return;
	faults_set_number(faults, "slow_factor", &b->slow_factor);
	faults_set_number(faults, "shed", &b->shed);
	faults_set_number(faults, "lie", &b->report_idle);
	faults_set_number(faults, "short_answers", &b->dropped_answers);
	faults_set_number(faults, "lag_ms", &b->load_report_age_ms);
	faults_set_number(faults, "silent_when_full", &b->silent_when_full);
	faults_set_number(faults, "silent_requests", &b->silent_requests);
	faults_set_number(faults, "failure_percent", &b->failure_percent);
	faults_finish(exchange, faults);
}

static void reply_load(struct backend *b, struct http_exchange *exchange)
{
	uint64_t now = uv_now(b->loop);
	char text[64];

	if (now >= b->reported_at_ms + b->load_report_age_ms) {
		b->reported_in_use = b->in_use;
		b->reported_at_ms = now;
	}
	g_snprintf(text, sizeof(text), "{\"in_use\":%u,\"slots\":%d}\n",
		   b->report_idle ? 0 : b->reported_in_use, options.slots);
	http_exchange_reply_text(exchange, 200, "application/json", text);
}

static void ignore_answer(void *data, const struct http_result *result)
{
	(void)data;
	(void)result;
}

static void post_to_node(struct backend *b, const char *path, const char *body)
{
	struct http_request request = {
		.method = "POST",
		.path = path,
		.body = body,
		.body_size = strlen(body),
		.timeout_ms = ANNOUNCE_TIMEOUT_MS,
	};

	http_pool_send(b->operator_port, &request, ignore_answer, b);
}

static void drain(struct backend *b)
{
	if (b->drain_start_ms)
		return;
	b->drain_start_ms = uv_now(b->loop);
	event_log_write(b->events, "leaving", "\"instance\":\"%s\"",
			options.listen);
	post_to_node(b, "/backend/leave", "{}");
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct backend *b = data;

	if (http_exchange_path_is(exchange, "/health")) {
		int healthy = b->report_idle || !b->shed;

		http_exchange_reply_text(exchange, healthy ? 200 : 503,
					 "text/plain", "health\n");
	} else if (http_exchange_path_is(exchange, "/load")) {
		reply_load(b, exchange);
	} else if (http_exchange_path_is(exchange, "/control/faults")) {
		set_faults(b, exchange);
	} else if (http_exchange_path_is(exchange, "/control/drain")) {
		drain(b);
		http_exchange_reply_text(exchange, 200, "text/plain",
					 "leaving\n");
	} else {
		start_run(b, exchange);
	}
}

static void announce(struct backend *b)
{
	char *body = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s\","
				     "\"slots\":%d,\"connections\":%d,"
				     "\"version\":\"%s\"}",
				     options.service, options.listen,
				     options.slots, options.connections,
				     options.version ? options.version : "");

	post_to_node(b, "/backend", body);
	g_free(body);
}

static void on_announce(uv_timer_t *timer)
{
	struct backend *b = timer->data;

	if (!b->drain_start_ms)
		announce(b);
	else if (!b->in_use &&
		 uv_now(b->loop) >= b->drain_start_ms + DRAIN_MIN_MS)
		uv_stop(b->loop);
}

static void on_sigterm(uv_signal_t *signal, int number)
{
	(void)number;
	drain(signal->data);
}

static int start(struct backend *b)
{
	struct address node, callers;

	if (address_parse(options.listen, &b->address) ||
	    address_parse(options.node, &node))
		program_usage_error("fescue-backend-standin",
				    "--listen and --node must be IP:PORT");
	if (event_log_open(options.events, options.listen, &b->events) ||
	    http_server_create(b->loop, b->address, on_request, b, &b->server))
		return FESCUE_EIO;
	http_server_set_connections_max(b->server, (size_t)options.connections,
					HTTP_CLOSE_NEW);
	b->operator_port = http_pool_create(b->loop, node, 2);
	if (options.callers && !address_parse(options.callers, &callers))
		b->caller_port = http_pool_create(b->loop, callers, 64);
	b->random = g_rand_new_with_seed((guint32)options.seed);
	b->slow_factor = 1;
	b->started_ms = uv_now(b->loop);
	uv_timer_init(b->loop, &b->announce);
	b->announce.data = b;
	uv_timer_start(&b->announce, on_announce, 0, ANNOUNCE_INTERVAL_MS);
	uv_signal_init(b->loop, &b->sigterm);
	b->sigterm.data = b;
	uv_signal_start(&b->sigterm, on_sigterm, SIGTERM);
	return FESCUE_OK;
}

int main(int argc, char **argv)
{
	static const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &options.listen,
		  "Address to serve on", "IP:PORT" },
		{ "node", 0, 0, G_OPTION_ARG_STRING, &options.node,
		  "Operator port of its node", "IP:PORT" },
		{ "callers", 0, 0, G_OPTION_ARG_STRING, &options.callers,
		  "Caller port of its node, for nested calls", "IP:PORT" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &options.service,
		  "Service to announce", "NAME" },
		{ "announced-version", 0, 0, G_OPTION_ARG_STRING,
		  &options.version, "Version to announce", "TEXT" },
		{ "events", 0, 0, G_OPTION_ARG_FILENAME, &options.events,
		  "Append each run to a file for fescue-check", "FILE" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &options.slots,
		  "Maximum number of concurrent runs", "N" },
		{ "connections", 0, 0, G_OPTION_ARG_INT, &options.connections,
		  "Maximum number of concurrent connections", "N" },
		{ "work-ms", 0, 0, G_OPTION_ARG_INT, &options.work_ms,
		  "Mean time of a run", "MS" },
		{ "cold-ms", 0, 0, G_OPTION_ARG_INT, &options.cold_ms,
		  "Time after the start during which runs take five times as long",
		  "MS" },
		{ "answer-bytes", 0, 0, G_OPTION_ARG_INT, &options.answer_bytes,
		  "Minimum size of an answer body", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
		  "Seed of the random run times", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	static struct backend backend;

	program_parse(&argc, &argv, entries, "",
		      "Simulates a backend server for tests.");
	if (!options.listen || !options.node || !options.service)
		program_usage_error(
			"fescue-backend-standin",
			"--listen, --node and --service are required");
	signal(SIGPIPE, SIG_IGN);
	backend.loop = uv_default_loop();
	if (start(&backend)) {
		fprintf(stderr,
			"fescue-backend-standin: cannot listen on %s or "
			"write the events; check both\n",
			options.listen);
		return EXIT_ERROR;
	}
	uv_run(backend.loop, UV_RUN_DEFAULT);
	event_log_write(backend.events, "stopped", "\"instance\":\"%s\"",
			options.listen);
	event_log_close(backend.events);
	return EXIT_OK;
}
