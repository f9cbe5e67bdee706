/*
 * fescue-backend-standin: a small fake of a backend server with slots, a
 * connection limit, cold start, drain, shedding, deadlines, cancellation and
 * faults on demand. It records every run for fescue-check.
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

#define ANNOUNCE_MS 1000
#define ANNOUNCE_TIMEOUT_MS 1000
#define DRAIN_MIN_MS 1500
#define TEXT_MAX 80
#define EXIT_POISONED 3
#define COLD_FACTOR 5

static struct {
	char *listen, *node, *callers, *service, *events;
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
	struct http_pool *node;
	struct http_pool *callers; /* the node's caller port, for chains */
	GRand *random;
	uint32_t in_use;
	uint32_t slow_factor;
	uint32_t shed; /* answer 503 to everything */
	uint32_t lie; /* report healthy and idle */
	uint32_t short_answers; /* of the next calls: cut in the body */
	uint32_t lag_ms; /* age of the load report */
	uint64_t started_ms;
	uint64_t drain_since_ms;
	uint32_t load_reported;
	uint64_t load_reported_ms;
	uv_timer_t announce;
	uv_signal_t sigterm;
};

/* One piece of work in a slot. */
struct work {
	struct backend *backend;
	struct http_exchange *exchange; /* NULL when canceled */
	char id[TEXT_MAX];
	char key[TEXT_MAX];
	int chain; /* calls still to make below this one */
	char *path;
	char *last_path; /* of the lowest call, or NULL */
	uint32_t deadline_ms;
	uint32_t depth;
	int poison;
	uv_timer_t timer;
};

/* Copy a header, keeping only characters that need no escape in JSON. */
static void copy_header(const struct http_exchange *exchange, const char *name,
			char *out)
{
	struct http_text text = http_exchange_header(exchange, name);
	size_t n = 0;

	for (size_t i = 0; i < text.size && n < TEXT_MAX - 1; i++)
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
	struct work *w = handle->data;

	g_free(w->path);
	g_free(w->last_path);
	g_free(w);
}

static void work_end(struct work *w, const char *how)
{
	w->backend->in_use--;
	event_log_write(w->backend->events, "run_end",
			"\"id\":\"%s\",\"key\":\"%s\",\"how\":\"%s\"", w->id,
			w->key, how);
	uv_timer_stop(&w->timer);
	uv_close((uv_handle_t *)&w->timer, on_timer_closed);
}

static char *create_body(const struct work *w, size_t *size)
{
	GString *body = g_string_new(NULL);

	g_string_printf(body, "id=%s service=%s instance=%s\n", w->id,
			options.service, options.listen);
	while (body->len < (size_t)options.answer_bytes)
		g_string_append_c(body, '.');
	*size = body->len;
	return g_string_free(body, FALSE);
}

static void work_reply(struct work *w, int status)
{
	struct http_header headers[] = {
		{ "x-echo-id", w->id },
		{ "content-type", "text/plain" },
	};
	size_t size;
	char *body = create_body(w, &size);

	if (w->backend->short_answers) {
		w->backend->short_answers--;
		http_exchange_abort(w->exchange);
	} else {
		http_exchange_reply(w->exchange, status, headers,
				    G_N_ELEMENTS(headers), body, size);
	}
	g_free(body);
}

static void on_chain_answer(void *data, const struct http_result *result)
{
	struct work *w = data;
	int good = !result->error && result->status == 200;

	if (w->exchange)
		work_reply(w, good ? 200 : 502);
	work_end(w, "done");
}

/* Call the next service below through the node beside this server. */
static void call_below(struct work *w)
{
	char chain[16], deadline[16], depth[16], id[TEXT_MAX + 16];
	struct http_header headers[] = {
		{ "x-chain", chain },
		{ "x-fescue-deadline-ms", deadline },
		{ "x-fescue-depth", depth },
		{ "x-request-id", id },
		{ "x-last-path", w->last_path ? w->last_path : w->path },
	};
	struct http_request request = {
		.method = "GET",
		.path = w->chain == 1 && w->last_path ? w->last_path : w->path,
		.headers = headers,
		.header_count = G_N_ELEMENTS(headers),
		.timeout_ms = w->deadline_ms + 1000,
	};

	g_snprintf(chain, sizeof(chain), "%d", w->chain - 1);
	g_snprintf(deadline, sizeof(deadline), "%u", w->deadline_ms);
	g_snprintf(depth, sizeof(depth), "%u", w->depth);
	g_snprintf(id, sizeof(id), "%s.%d", w->id, w->chain);
	http_pool_send(w->backend->callers, &request, on_chain_answer, w);
}

static void on_worked(uv_timer_t *timer)
{
	struct work *w = timer->data;

	if (w->chain > 0 && w->backend->callers) {
		call_below(w);
		return;
	}
	if (w->exchange)
		work_reply(w, 200);
	work_end(w, "done");
}

static void on_canceled(void *data)
{
	struct work *w = data;

	w->exchange = NULL;
	if (uv_is_active((uv_handle_t *)&w->timer))
		work_end(w, "canceled");
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

/* Time of one run: exponential around the mean, longer while cold. */
static uint64_t draw_work_ms(struct backend *b)
{
	double ms = -log(1 - g_rand_double(b->random)) * options.work_ms;

	if (uv_now(b->loop) < b->started_ms + (uint64_t)options.cold_ms)
		ms *= COLD_FACTOR;
	return (uint64_t)(MIN(ms, options.work_ms * 10.0) * b->slow_factor);
}

static struct work *work_create(struct backend *b,
				struct http_exchange *exchange)
{
	struct work *w = g_new0(struct work, 1);
	struct http_text path = http_exchange_path(exchange);
	struct http_text last = http_exchange_header(exchange, "x-last-path");

	w->backend = b;
	w->exchange = exchange;
	copy_header(exchange, "x-request-id", w->id);
	copy_header(exchange, "idempotency-key", w->key);
	w->chain = (int)http_exchange_header_number(exchange, "x-chain", 0);
	w->depth = http_exchange_header_number(exchange, "x-fescue-depth", 0);
	w->deadline_ms = http_exchange_header_number(
		exchange, "x-fescue-deadline-ms", 60000);
	w->poison = (int)query_number(exchange, "poison");
	w->path = g_strndup(path.bytes, path.size);
	if (last.bytes)
		w->last_path = g_strndup(last.bytes, last.size);
	uv_timer_init(b->loop, &w->timer);
	w->timer.data = w;
	b->in_use++;
	return w;
}

static void start_work(struct backend *b, struct http_exchange *exchange)
{
	struct work *w;
	uint64_t ms = draw_work_ms(b);

	if (b->shed || b->in_use >= (uint32_t)options.slots) {
		refuse(exchange, "no slot is free\n");
		return;
	}
	w = work_create(b, exchange);
	event_log_write(b->events, "run",
			"\"id\":\"%s\",\"key\":\"%s\",\"service\":\"%s\","
			"\"instance\":\"%s\",\"poison\":%d",
			w->id, w->key, options.service, options.listen,
			w->poison);
	if (w->poison)
		_exit(EXIT_POISONED);
	http_exchange_on_close(exchange, on_canceled, w);
	uv_timer_start(&w->timer, on_worked, ms, 0);
}

static void set_faults(struct backend *b, struct http_exchange *exchange)
{
	json_t *faults = faults_parse(
		exchange,
		"send {\"slow_factor\": N, \"shed\": 0|1, \"lie\": 0|1, "
		"\"short_answers\": N, \"lag_ms\": N}\n");

	if (!faults)
		return;
	faults_set_number(faults, "slow_factor", &b->slow_factor);
	faults_set_number(faults, "shed", &b->shed);
	faults_set_number(faults, "lie", &b->lie);
	faults_set_number(faults, "short_answers", &b->short_answers);
	faults_set_number(faults, "lag_ms", &b->lag_ms);
	faults_finish(exchange, faults);
}

static void reply_load(struct backend *b, struct http_exchange *exchange)
{
	uint64_t now = uv_now(b->loop);
	char text[64];

	if (now >= b->load_reported_ms + b->lag_ms) {
		b->load_reported = b->in_use;
		b->load_reported_ms = now;
	}
	g_snprintf(text, sizeof(text), "{\"in_use\":%u,\"slots\":%d}\n",
		   b->lie ? 0 : b->load_reported, options.slots);
	http_exchange_reply_text(exchange, 200, "application/json", text);
}

static void on_left(void *data, const struct http_result *result)
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

	http_pool_send(b->node, &request, on_left, b);
}

static void drain(struct backend *b)
{
	if (b->drain_since_ms)
		return;
	b->drain_since_ms = uv_now(b->loop);
	event_log_write(b->events, "leaving", "\"instance\":\"%s\"",
			options.listen);
	post_to_node(b, "/backend/leave", "{}");
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct backend *b = data;

	if (http_exchange_path_is(exchange, "/health")) {
		int healthy = b->lie || !b->shed;

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
		start_work(b, exchange);
	}
}

static void announce(struct backend *b)
{
	char *body = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s\","
				     "\"slots\":%d,\"connections\":%d}",
				     options.service, options.listen,
				     options.slots, options.connections);

	post_to_node(b, "/backend", body);
	g_free(body);
}

static void on_announce(uv_timer_t *timer)
{
	struct backend *b = timer->data;

	if (!b->drain_since_ms)
		announce(b);
	else if (!b->in_use &&
		 uv_now(b->loop) >= b->drain_since_ms + DRAIN_MIN_MS)
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
				    "addresses are IP:PORT");
	if (event_log_open(options.events, options.listen, &b->events) ||
	    http_server_create(b->loop, b->address, on_request, b, &b->server))
		return FESCUE_EIO;
	http_server_set_connections_max(b->server, (size_t)options.connections);
	b->node = http_pool_create(b->loop, node, 2);
	if (options.callers && !address_parse(options.callers, &callers))
		b->callers = http_pool_create(b->loop, callers, 64);
	b->random = g_rand_new_with_seed((guint32)options.seed);
	b->slow_factor = 1;
	b->started_ms = uv_now(b->loop);
	uv_timer_init(b->loop, &b->announce);
	b->announce.data = b;
	uv_timer_start(&b->announce, on_announce, 0, ANNOUNCE_MS / 2);
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
		  "Operator port of the node beside it", "IP:PORT" },
		{ "callers", 0, 0, G_OPTION_ARG_STRING, &options.callers,
		  "Caller port of that node, for chained calls", "IP:PORT" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &options.service,
		  "Service to announce", "NAME" },
		{ "events", 0, 0, G_OPTION_ARG_FILENAME, &options.events,
		  "Append runs for fescue-check to a file", "FILE" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &options.slots,
		  "Runs at one time", "N" },
		{ "connections", 0, 0, G_OPTION_ARG_INT, &options.connections,
		  "Connections at one time", "N" },
		{ "work-ms", 0, 0, G_OPTION_ARG_INT, &options.work_ms,
		  "Mean time of a run", "MS" },
		{ "cold-ms", 0, 0, G_OPTION_ARG_INT, &options.cold_ms,
		  "Time after the start in which runs take five times as long",
		  "MS" },
		{ "answer-bytes", 0, 0, G_OPTION_ARG_INT, &options.answer_bytes,
		  "Least size of an answer", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
		  "Seed of the work times", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	static struct backend backend;

	program_parse(&argc, &argv, entries, "",
		      "A fake of a backend server for tests.");
	if (!options.listen || !options.node || !options.service)
		program_usage_error("fescue-backend-standin",
				    "give --listen, --node and --service");
	signal(SIGPIPE, SIG_IGN);
	backend.loop = uv_default_loop();
	if (start(&backend)) {
		fprintf(stderr,
			"fescue-backend-standin: cannot listen on %s or "
			"write the events; check both\n",
			options.listen);
		return EXIT_REFUSED;
	}
	uv_run(backend.loop, UV_RUN_DEFAULT);
	event_log_write(backend.events, "stopped", "\"instance\":\"%s\"",
			options.listen);
	event_log_close(backend.events);
	return EXIT_GOOD;
}
