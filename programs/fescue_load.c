/*
 * fescue-load: open-loop load. Calls arrive at a fixed mean rate whatever
 * the answers do; every call and its answer go into a history.
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

#define IN_FLIGHT_MAX 4000
#define TEXT_MAX 80
#define CALL_TIMEOUT_MS 20000
#define NODE_CONNECTIONS_MAX 256
#define RESEND_DELAY_MS 20
#define MIX_MAX 32

static struct {
	char *nodes, *mix, *history, *name, *csv;
	gint rate, seconds, seed, resend;
} options = { .rate = 100, .seconds = 10, .seed = 1, .name = "load" };

/* One kind of call in the mix. */
struct mix {
	char *method;
	char *path;
	char *body;
	enum call_class call_class;
	int keyed; /* send an idempotency key */
	int chain; /* calls below this one */
	char *last_path; /* of the lowest of them, or NULL */
	double weight;
};

struct tally {
	uint64_t sent, ran, not_run, unknown, failed;
	struct histogram latency_us;
};

struct load {
	uv_loop_t *loop;
	struct event_log *history;
	GPtrArray *pools;
	struct mix mix[MIX_MAX];
	size_t mix_count;
	double weight_sum;
	GRand *random;
	uv_timer_t timer;
	uint64_t started_us;
	uint64_t next_us;
	uint64_t serial;
	size_t in_flight;
	uint64_t dropped; /* arrivals over the bound on calls in flight */
	struct tally tallies[CALL_CLASS_COUNT];
};

struct call {
	struct load *load;
	const struct mix *mix;
	char id[TEXT_MAX];
	char key[TEXT_MAX];
	int resends;
	uint64_t started_us;
	uv_timer_t timer; /* of a resend */
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

static const char *outcome_of(const struct http_result *result)
{
	const char *outcome;

	if (result->error)
		return result->sent ? "unknown" : "not-run";
	outcome = http_result_header(result, "x-fescue-outcome");
	if (!outcome && result->status == 200)
		return "ran"; /* a backend server called directly */
	return outcome ? outcome : "none";
}

static void count(struct call *c, const char *outcome, int status,
		  uint64_t latency_us)
{
	struct tally *tally = &c->load->tallies[c->mix->call_class];

	if (!strcmp(outcome, "ran") && status == 200) {
		tally->ran++;
		histogram_record(&tally->latency_us, latency_us);
	} else if (!strcmp(outcome, "not-run")) {
		tally->not_run++;
	} else if (!strcmp(outcome, "unknown")) {
		tally->unknown++;
	} else {
		tally->failed++;
	}
}

static void record(struct call *c, const struct http_result *result,
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
			c->id, c->key, call_class_name(c->mix->call_class),
			c->mix->path, result->status, outcome, echo ? echo : "",
			whole, latency_us);
	g_free(expected);
}

static void on_resend(uv_timer_t *timer)
{
	send_call(timer->data);
}

static void on_answer(void *data, const struct http_result *result)
{
	struct call *c = data;
	const char *outcome = outcome_of(result);
	uint64_t latency_us = monotonic_clock_us() - c->started_us;

	count(c, outcome, result->status, latency_us);
	record(c, result, outcome, latency_us);
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
	const struct mix *mix = c->mix;
	char chain[16];
	struct http_header headers[4];
	struct http_request request = {
		.method = mix->method,
		.path = mix->path,
		.headers = headers,
		.body = mix->body,
		.body_size = strlen(mix->body),
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	gint node = g_rand_int_range(l->random, 0, (gint)l->pools->len);

	g_snprintf(c->id, sizeof(c->id), "%s-%d-%" PRIu64, options.name,
		   (int)getpid(), ++l->serial);
	headers[request.header_count].name = "x-request-id";
	headers[request.header_count++].value = c->id;
	if (mix->keyed) {
		headers[request.header_count].name = "idempotency-key";
		headers[request.header_count++].value = c->key;
	}
	if (mix->chain) {
		g_snprintf(chain, sizeof(chain), "%d", mix->chain);
		headers[request.header_count].name = "x-chain";
		headers[request.header_count++].value = chain;
	}
	if (mix->last_path) {
		headers[request.header_count].name = "x-last-path";
		headers[request.header_count++].value = mix->last_path;
	}
	c->started_us = monotonic_clock_us();
	l->tallies[mix->call_class].sent++;
	http_pool_send(g_ptr_array_index(l->pools, node), &request, on_answer,
		       c);
}

static const struct mix *choose_mix(struct load *l)
{
	double at = g_rand_double(l->random) * l->weight_sum;

	for (size_t i = 0; i + 1 < l->mix_count; i++) {
		at -= l->mix[i].weight;
		if (at < 0)
			return &l->mix[i];
	}
	return &l->mix[l->mix_count - 1];
}

static void arrive(struct load *l)
{
	struct call *c;

	if (l->in_flight >= IN_FLIGHT_MAX) {
		l->dropped++;
		return;
	}
	c = g_new0(struct call, 1);
	c->load = l;
	c->mix = choose_mix(l);
	if (c->mix->keyed)
		g_snprintf(c->key, sizeof(c->key), "%s-%d-key-%" PRIu64,
			   options.name, (int)getpid(), l->serial);
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

	while (l->next_us <= now && l->next_us < end) {
		double gap =
			-log(1 - g_rand_double(l->random)) * 1e6 / options.rate;

		l->next_us += (uint64_t)gap + 1;
		arrive(l);
	}
	if (now >= end && !l->in_flight)
		uv_stop(l->loop);
}

static int read_mix_entry(struct load *l, json_t *object)
{
	struct mix *mix = &l->mix[l->mix_count];
	const char *body = json_string_value(json_object_get(object, "body"));
	const char *class_name =
		json_string_value(json_object_get(object, "class"));
	const char *method =
		json_string_value(json_object_get(object, "method"));
	const char *path = json_string_value(json_object_get(object, "path"));

	if (l->mix_count == MIX_MAX || !path)
		return FESCUE_EINVAL;
	mix->method = g_strdup(method ? method : "GET");
	mix->path = g_strdup(path);
	mix->body = g_strdup(body ? body : "");
	mix->call_class = class_name && !strcmp(class_name, "background") ?
				  CALL_CLASS_BACKGROUND :
				  CALL_CLASS_URGENT;
	mix->keyed = json_is_true(json_object_get(object, "keyed"));
	mix->chain = (int)json_integer_value(json_object_get(object, "chain"));
	mix->last_path = g_strdup(
		json_string_value(json_object_get(object, "last_path")));
	mix->weight = json_number_value(json_object_get(object, "weight"));
	if (mix->weight <= 0)
		mix->weight = 1;
	l->weight_sum += mix->weight;
	l->mix_count++;
	return FESCUE_OK;
}

static int read_mix(struct load *l, const char *path)
{
	json_error_t where;
	json_t *array = json_load_file(path, 0, &where);
	int error = json_array_size(array) ? FESCUE_OK : FESCUE_EINVAL;

	for (size_t i = 0; !error && i < json_array_size(array); i++)
		error = read_mix_entry(l, json_array_get(array, i));
	if (error)
		fprintf(stderr,
			"%s:%d: expected a list of {\"path\": ..., \"class\": "
			"..., \"weight\": N}, at most %d; correct it\n",
			path, array ? 1 : where.line, MIX_MAX);
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
		const struct tally *t = &l->tallies[i];

		printf("class=%s sent=%" PRIu64 " ok=%" PRIu64
		       " not_run=%" PRIu64 " unknown=%" PRIu64
		       " failed=%" PRIu64 " goodput=%.1f p50_us=%" PRIu64
		       " p99_us=%" PRIu64 " p999_us=%" PRIu64 "\n",
		       call_class_name((enum call_class)i), t->sent, t->ran,
		       t->not_run, t->unknown, t->failed,
		       (double)t->ran / options.seconds,
		       histogram_percentile(&t->latency_us, 0.5),
		       histogram_percentile(&t->latency_us, 0.99),
		       histogram_percentile(&t->latency_us, 0.999));
	}
	if (l->dropped)
		printf("dropped=%" PRIu64 "\n", l->dropped);
}

int main(int argc, char **argv)
{
	static const GOptionEntry entries[] = {
		{ "nodes", 0, 0, G_OPTION_ARG_STRING, &options.nodes,
		  "Caller ports to call, chosen at random", "IP:PORT,..." },
		{ "mix", 0, 0, G_OPTION_ARG_FILENAME, &options.mix,
		  "JSON list of the kinds of call", "FILE" },
		{ "history", 0, 0, G_OPTION_ARG_FILENAME, &options.history,
		  "Append each call for fescue-check", "FILE" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &options.name,
		  "Prefix of request ids", "NAME" },
		{ "rate", 0, 0, G_OPTION_ARG_INT, &options.rate,
		  "Mean arrivals a second", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
		  "Length of the run", "N" },
		{ "resend", 0, 0, G_OPTION_ARG_INT, &options.resend,
		  "Send again up to N times, same key, when not known to have "
		  "run",
		  "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
		  "Seed of arrivals and choices", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	static struct load load;

	program_parse(&argc, &argv, entries, "", "Sends open-loop load.");
	if (!options.nodes || !options.mix || options.rate < 1 ||
	    options.rate > 100000 || options.seconds < 1)
		program_usage_error("fescue-load",
				    "give --nodes, --mix, --rate, --seconds");
	signal(SIGPIPE, SIG_IGN);
	load.loop = uv_default_loop();
	load.random = g_rand_new_with_seed((guint32)options.seed);
	if (read_mix(&load, options.mix))
		return EXIT_ERROR;
	if (open_pools(&load))
		program_usage_error("fescue-load", "nodes are IP:PORT,...");
	if (event_log_open(options.history, options.name, &load.history)) {
		fprintf(stderr, "fescue-load: cannot write %s\n",
			options.history);
		return EXIT_ERROR;
	}
	load.started_us = monotonic_clock_us();
	load.next_us = load.started_us;
	uv_timer_init(load.loop, &load.timer);
	load.timer.data = &load;
	uv_timer_start(&load.timer, on_tick, 1, 1);
	uv_run(load.loop, UV_RUN_DEFAULT);
	print_summary(&load);
	event_log_close(load.history);
	return EXIT_OK;
}
