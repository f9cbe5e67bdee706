/*
 * fescue-load: open-loop load generator. Calls arrive at a fixed mean rate,
 * independent of the answers; each call and its answer are written to a history
 * file.
 */
#include "events.h"
#include "fescue/error.h"
#include "fescue/histogram.h"
#include "fescue/rules.h"
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

#define CALLS_IN_FLIGHT_MAX 4000
#define ID_BYTES 80
#define CALL_TIMEOUT_MS 20000
#define NODE_CONNECTIONS_MAX 256
#define RESEND_DELAY_MS 20
#define CALL_KINDS_MAX 32

static struct {
	char *nodes, *mix, *history, *name, *csv;
	gint rate, seconds, seed, resend;
} options = { .rate = 100, .seconds = 10, .seed = 1, .name = "load" };

/* A kind of call; the mix is a weighted list of them. */
struct call_kind {
	char *method;
	char *path;
	char *body;
	enum call_class call_class;
	int has_key; /* send an idempotency key */
	int chain; /* number of nested calls below this one */
	char *last_path; /* path of the innermost nested call, or NULL */
	double weight;
};

/* Results of the calls of one class. */
struct class_stats {
	uint64_t sent, ran, not_run, unknown, failed;
	struct histogram latency_us;
};

struct load {
	uv_loop_t *loop;
	struct event_log *history;
	GPtrArray *pools;
	struct call_kind kinds[CALL_KINDS_MAX];
	size_t kind_count;
	double weight_sum;
	GRand *random;
	uv_timer_t timer;
	uint64_t started_us;
	uint64_t next_arrival_us;
	uint64_t last_serial;
	size_t in_flight;
	uint64_t dropped; /* arrivals above CALLS_IN_FLIGHT_MAX */
	struct class_stats stats[CALL_CLASS_COUNT];
};

struct call {
	struct load *load;
	const struct call_kind *kind;
	char id[ID_BYTES];
	char key[ID_BYTES];
	int resends;
	uint64_t started_us;
	uv_timer_t timer; /* delays a resend */
};

static void send_call(struct call *c);

static void on_call_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void call_end(struct call *c)
{
	c->load->in_flight--;
	uv_close((uv_handle_t *)&c->timer, on_call_closed);
}

static const char *read_outcome(const struct http_result *result)
{
	const char *outcome;

	if (result->error)
		return result->sent ? "unknown" : "not-run";
	outcome = http_result_header(result, "x-fescue-outcome");
	if (!outcome && result->status == 200)
		return "ran"; /* from a backend server, without a node */
	return outcome ? outcome : "none";
}

static void update_stats(struct call *c, const char *outcome, int status,
			 uint64_t latency_us)
{
	struct class_stats *stats = &c->load->stats[c->kind->call_class];

	if (!strcmp(outcome, "ran") && status == 200) {
		stats->ran++;
		histogram_record(&stats->latency_us, latency_us);
	} else if (!strcmp(outcome, "not-run")) {
		stats->not_run++;
	} else if (!strcmp(outcome, "unknown")) {
		stats->unknown++;
	} else {
		stats->failed++;
	}
}

static void write_history(struct call *c, const struct http_result *result,
			  const char *outcome, uint64_t latency_us)
{
	const char *echo = http_result_header(result, "x-echo-id");
	char *expected = g_strdup_printf("id=%s ", echo ? echo : "");
	int whole = !result->error &&
		    (!echo || g_str_has_prefix(result->body, expected));

	event_log_write(c->load->history, "call",
			"\"id\":\"%s\",\"key\":\"%s\",\"class\":\"%s\","
			"\"path\":\"%s\",\"status\":%d,\"outcome\":\"%s\","
			"\"echo\":\"%s\",\"whole\":%d,\"latency_us\":%" PRIu64,
			c->id, c->key, call_class_name(c->kind->call_class),
			c->kind->path, result->status, outcome,
			echo ? echo : "", whole, latency_us);
	g_free(expected);
}

static void on_resend(uv_timer_t *timer)
{
	send_call(timer->data);
}

static void on_answer(void *data, const struct http_result *result)
{
	struct call *c = data;
	const char *outcome = read_outcome(result);
	uint64_t latency_us = monotonic_clock_us() - c->started_us;

	update_stats(c, outcome, result->status, latency_us);
	write_history(c, result, outcome, latency_us);
	if (strcmp(outcome, "ran") && c->resends < options.resend) {
		c->resends++;
		uv_timer_start(&c->timer, on_resend, RESEND_DELAY_MS, 0);
		return;
	}
	call_end(c);
}

static void send_call(struct call *c)
{
	struct load *l = c->load;
	const struct call_kind *kind = c->kind;
	char chain[16];
	struct http_header headers[4];
	struct http_request request = {
		.method = kind->method,
		.path = kind->path,
		.headers = headers,
		.body = kind->body,
		.body_size = strlen(kind->body),
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	gint node = g_rand_int_range(l->random, 0, (gint)l->pools->len);

	g_snprintf(c->id, sizeof(c->id), "%s-%d-%" PRIu64, options.name,
		   (int)getpid(), ++l->last_serial);
	headers[request.header_count].name = "x-request-id";
	headers[request.header_count++].value = c->id;
	if (kind->has_key) {
		headers[request.header_count].name = "idempotency-key";
		headers[request.header_count++].value = c->key;
	}
	if (kind->chain) {
		g_snprintf(chain, sizeof(chain), "%d", kind->chain);
		headers[request.header_count].name = "x-chain";
		headers[request.header_count++].value = chain;
	}
	if (kind->last_path) {
		headers[request.header_count].name = "x-last-path";
		headers[request.header_count++].value = kind->last_path;
	}
	c->started_us = monotonic_clock_us();
	l->stats[kind->call_class].sent++;
	http_pool_send(g_ptr_array_index(l->pools, node), &request, on_answer,
		       c);
}

static const struct call_kind *choose_kind(struct load *l)
{
	double offset = g_rand_double(l->random) * l->weight_sum;

	for (size_t i = 0; i + 1 < l->kind_count; i++) {
		offset -= l->kinds[i].weight;
		if (offset < 0)
			return &l->kinds[i];
	}
	return &l->kinds[l->kind_count - 1];
}

static void create_call(struct load *l)
{
	struct call *c;

	if (l->in_flight >= CALLS_IN_FLIGHT_MAX) {
		l->dropped++;
		return;
	}
	c = g_new0(struct call, 1);
	c->load = l;
	c->kind = choose_kind(l);
	if (c->kind->has_key)
		g_snprintf(c->key, sizeof(c->key), "%s-%d-key-%" PRIu64,
			   options.name, (int)getpid(), l->last_serial);
	uv_timer_init(l->loop, &c->timer);
	c->timer.data = c;
	l->in_flight++;
	send_call(c);
}

static void on_tick(uv_timer_t *timer)
{
	struct load *l = timer->data;
	uint64_t now = monotonic_clock_us();
	uint64_t end = l->started_us + (uint64_t)options.seconds * 1000000;

	while (l->next_arrival_us <= now && l->next_arrival_us < end) {
		double interval_us =
			-log(1 - g_rand_double(l->random)) * 1e6 / options.rate;

		l->next_arrival_us += (uint64_t)interval_us + 1;
		create_call(l);
	}
	if (now >= end && !l->in_flight)
		uv_stop(l->loop);
}

static int read_call_kind(struct load *l, json_t *object)
{
	struct call_kind *kind = &l->kinds[l->kind_count];
	const char *body = json_string_value(json_object_get(object, "body"));
	const char *class_name =
		json_string_value(json_object_get(object, "class"));
	const char *method =
		json_string_value(json_object_get(object, "method"));
	const char *path = json_string_value(json_object_get(object, "path"));

	if (l->kind_count == CALL_KINDS_MAX || !path)
		return FESCUE_EINVAL;
	kind->method = g_strdup(method ? method : "GET");
	kind->path = g_strdup(path);
	kind->body = g_strdup(body ? body : "");
	kind->call_class = class_name && !strcmp(class_name, "background") ?
				   CALL_CLASS_BACKGROUND :
				   CALL_CLASS_URGENT;
	kind->has_key = json_is_true(json_object_get(object, "keyed"));
	kind->chain = (int)json_integer_value(json_object_get(object, "chain"));
	kind->last_path = g_strdup(
		json_string_value(json_object_get(object, "last_path")));
	kind->weight = json_number_value(json_object_get(object, "weight"));
	if (kind->weight <= 0)
		kind->weight = 1;
	l->weight_sum += kind->weight;
	l->kind_count++;
	return FESCUE_OK;
}

static int read_mix(struct load *l, const char *path)
{
	json_error_t json_error;
	json_t *array = json_load_file(path, 0, &json_error);
	int error = json_array_size(array) ? FESCUE_OK : FESCUE_EINVAL;

	for (size_t i = 0; !error && i < json_array_size(array); i++)
		error = read_call_kind(l, json_array_get(array, i));
	if (error)
		fprintf(stderr,
			"%s:%d: expected a list of {\"path\": ..., \"class\": "
			"..., \"weight\": N}, at most %d; correct it\n",
			path, array ? 1 : json_error.line, CALL_KINDS_MAX);
	json_decref(array);
	return error;
}

static int open_pools(struct load *l)
{
	char **nodes = g_strsplit(options.nodes, ",", 0);
	struct address address;
	int error = FESCUE_OK;

	l->pools = g_ptr_array_new();
	for (char **node = nodes; *node && !error; node++) {
		error = address_parse(*node, &address);
		if (!error)
			g_ptr_array_add(l->pools,
					http_pool_create(l->loop, address,
							 NODE_CONNECTIONS_MAX));
	}
	g_strfreev(nodes);
	return error;
}

static void print_summary(const struct load *l)
{
	for (int i = 0; i < CALL_CLASS_COUNT; i++) {
		const struct class_stats *stats = &l->stats[i];

		printf("class=%s sent=%" PRIu64 " ok=%" PRIu64
		       " not_run=%" PRIu64 " unknown=%" PRIu64
		       " failed=%" PRIu64 " goodput=%.1f p50_us=%" PRIu64
		       " p99_us=%" PRIu64 " p999_us=%" PRIu64 "\n",
		       call_class_name((enum call_class)i), stats->sent,
		       stats->ran, stats->not_run, stats->unknown,
		       stats->failed, (double)stats->ran / options.seconds,
		       histogram_percentile(&stats->latency_us, 0.5),
		       histogram_percentile(&stats->latency_us, 0.99),
		       histogram_percentile(&stats->latency_us, 0.999));
	}
	if (l->dropped)
		printf("dropped=%" PRIu64 "\n", l->dropped);
}

int main(int argc, char **argv)
{
	static const GOptionEntry entries[] = {
		{ "nodes", 0, 0, G_OPTION_ARG_STRING, &options.nodes,
		  "Caller ports of the nodes; each call picks one at random",
		  "IP:PORT,..." },
		{ "mix", 0, 0, G_OPTION_ARG_FILENAME, &options.mix,
		  "JSON list of the kinds of call with their weights", "FILE" },
		{ "history", 0, 0, G_OPTION_ARG_FILENAME, &options.history,
		  "Append each call to a file for fescue-check", "FILE" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &options.name,
		  "Prefix of request ids", "NAME" },
		{ "rate", 0, 0, G_OPTION_ARG_INT, &options.rate,
		  "Mean number of calls per second", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
		  "Duration of the run", "N" },
		{ "resend", 0, 0, G_OPTION_ARG_INT, &options.resend,
		  "Resend up to N times with the same key unless the call is "
		  "known to have run",
		  "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
		  "Seed of the random arrivals and choices", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	static struct load load;

	program_parse(&argc, &argv, entries, "", "Generates open-loop load.");
	if (!options.nodes || !options.mix || options.rate < 1 ||
	    options.rate > 100000 || options.seconds < 1)
		program_usage_error(
			"fescue-load",
			"--nodes and --mix are required; --rate must be 1 to "
			"100000 and --seconds at least 1");
	signal(SIGPIPE, SIG_IGN);
	load.loop = uv_default_loop();
	load.random = g_rand_new_with_seed((guint32)options.seed);
	if (read_mix(&load, options.mix))
		return EXIT_ERROR;
	if (open_pools(&load))
		program_usage_error("fescue-load",
				    "--nodes must be IP:PORT,...");
	if (event_log_open(options.history, options.name, &load.history)) {
		fprintf(stderr, "fescue-load: cannot write to %s\n",
			options.history);
		return EXIT_ERROR;
	}
	load.started_us = monotonic_clock_us();
	load.next_arrival_us = load.started_us;
	uv_timer_init(load.loop, &load.timer);
	load.timer.data = &load;
	uv_timer_start(&load.timer, on_tick, 1, 1);
	uv_run(load.loop, UV_RUN_DEFAULT);
	print_summary(&load);
	event_log_close(load.history);
	return EXIT_OK;
}
