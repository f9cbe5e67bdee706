#include "caller.h"

#include "backend_server.h"
#include "fescue/error.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define ATTEMPTS_MAX (RULES_RETRIES_MAX + 1)
#define DEPTH_MAX 16
#define KEY_MAX_BYTES 128
#define EVIDENCE_IDLE_MS 600000
#define DEADLINE_GRACE_MS 75 /* for the target's own expiry to answer */

/* One call of a caller, from its request to its answer. */
struct call {
	struct caller_table *callers;
	struct http_exchange *exchange;
	struct snapshot *snapshot; /* the version it entered under */
	struct route_handle route;
	struct contract contract;
	char *method;
	char *path;
	char *key; /* idempotency key or "" */
	GPtrArray *headers; /* Fescue__Header, passed on */
	const char *body;
	size_t body_size;
	uint64_t deadline_ms;
	uint64_t entered_us;
	uint32_t attempts;
	uint64_t tried[ATTEMPTS_MAX];
	uint64_t attempt_id; /* 0 between attempts */
	uint64_t attempt_us;
	uv_timer_t timer;
};

struct caller_table {
	struct node *node;
	struct router *router;
	struct retry_budget budget;
	uint64_t next_id;
	GHashTable *attempts; /* id -> struct call */
	size_t calls;
};

static void header_free(gpointer p)
{
	fescue__header__free_unpacked(p, NULL);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct call *c = handle->data;

	snapshot_unref(c->snapshot);
	g_ptr_array_free(c->headers, TRUE);
	g_free(c->method);
	g_free(c->path);
	g_free(c->key);
	g_free(c);
}

static void call_end(struct call *c)
{
	c->callers->calls--;
	c->exchange = NULL;
	uv_timer_stop(&c->timer);
	uv_close((uv_handle_t *)&c->timer, on_timer_closed);
}

static void end_attempt(struct call *c, enum router_result result,
			const struct router_load *load)
{
	struct caller_table *t = c->callers;

	if (!c->attempt_id)
		return;
	g_hash_table_remove(t->attempts, &c->attempt_id);
	c->attempt_id = 0;
	router_finished(t->router, c->tried[c->attempts - 1], result,
			monotonic_clock_us() - c->attempt_us, load,
			node_now_ms(t->node));
}

static void count_outcome(struct call *c, enum call_outcome outcome)
{
	struct counters *counters = &c->callers->node->counters;

	switch (outcome) {
	case CALL_RAN:
		counters->values[COUNTER_calls_ran]++;
		break;
	case CALL_NOT_RUN:
		counters->values[COUNTER_calls_not_run]++;
		break;
	case CALL_UNKNOWN:
		counters->values[COUNTER_calls_unknown]++;
		break;
	}
	histogram_record(&counters->latency_us[c->contract.call_class],
			 monotonic_clock_us() - c->entered_us);
}

/* Answer a request that a rule or the node's state refuses. */
static void reply_failure(struct http_exchange *exchange, int status,
			  enum call_outcome outcome, const char *reason)
{
	struct http_header headers[] = {
		{ "x-fescue-outcome", call_outcome_name(outcome) },
		{ "content-type", "text/plain" },
	};
	char *body =
		g_strdup_printf("%s: %s\n", call_outcome_name(outcome), reason);

	http_exchange_reply(exchange, status, headers, G_N_ELEMENTS(headers),
			    body, strlen(body));
	g_free(body);
}

static void finish_failed(struct call *c, enum call_outcome outcome,
			  const char *reason)
{
	count_outcome(c, outcome);
	reply_failure(c->exchange, outcome == CALL_NOT_RUN ? 503 : 504, outcome,
		      reason);
	call_end(c);
}

static void finish_ran(struct call *c, const Fescue__CallAnswer *answer)
{
	struct http_header *headers =
		g_new(struct http_header, answer->n_headers + 2);
	size_t n = 0;
	char version[24];

	for (size_t i = 0; i < answer->n_headers; i++) {
		if (!strcmp(answer->headers[i]->name, "x-fescue-outcome"))
			continue;
		headers[n].name = answer->headers[i]->name;
		headers[n++].value = answer->headers[i]->value;
	}
	headers[n].name = "x-fescue-outcome";
	headers[n++].value = call_outcome_name(CALL_RAN);
	g_snprintf(version, sizeof(version), "%" PRIu64,
		   snapshot_version(c->snapshot));
	headers[n].name = "x-fescue-version";
	headers[n++].value = version;
	count_outcome(c, CALL_RAN);
	http_exchange_reply(c->exchange, (int)answer->status, headers, n,
			    answer->body.data, answer->body.len);
	g_free(headers);
	call_end(c);
}

static void add_limits(const struct call *c, Fescue__CallRequest *request)
{
	struct service_handle service =
		snapshot_route_service(c->snapshot, c->route);
	const struct service_rule *rule =
		snapshot_service(c->snapshot, service);

	packet_set_string(&request->service, rule->name);
	request->queue = rule->queue;
	request->reserve_percent = rule->reserve_percent;
}

static Fescue__Header *header_create(struct http_text name,
				     struct http_text value)
{
	Fescue__Header *header = g_new(Fescue__Header, 1);

	fescue__header__init(header);
	header->name = g_ascii_strdown(name.bytes, (gssize)name.size);
	header->value = g_strndup(value.bytes, value.size);
	return header;
}

static void add_headers(const struct call *c, Fescue__CallRequest *request)
{
	request->headers = g_new(Fescue__Header *, c->headers->len + 1);
	for (guint i = 0; i < c->headers->len; i++) {
		const Fescue__Header *h = g_ptr_array_index(c->headers, i);
		struct http_text name = { h->name, strlen(h->name) };
		struct http_text value = { h->value, strlen(h->value) };

		request->headers[request->n_headers++] =
			header_create(name, value);
	}
}

static Fescue__Packet *create_request(const struct call *c)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CALL_REQUEST);
	Fescue__CallRequest *request = packet->call_request;

	request->call_id = c->attempt_id;
	add_limits(c, request);
	packet_set_string(&request->method, c->method);
	packet_set_string(&request->path, c->path);
	packet_set_string(&request->key, c->key);
	add_headers(c, request);
	packet_set_bytes(&request->body, c->body, c->body_size);
	request->deadline_ms =
		(uint32_t)(c->deadline_ms - node_now_ms(c->callers->node));
	request->call_class = c->contract.call_class;
	request->idempotent = c->contract.idempotent;
	return packet;
}

/* Send the call to the chosen host, which may be this one. */
static void send_attempt(struct call *c, uint64_t host)
{
	struct caller_table *t = c->callers;
	Fescue__Packet *packet;

	c->tried[c->attempts++] = host;
	c->attempt_id = ++t->next_id;
	c->attempt_us = monotonic_clock_us();
	g_hash_table_insert(t->attempts, &c->attempt_id, c);
	router_started(t->router, host, node_now_ms(t->node));
	t->node->counters.values[COUNTER_attempts]++;
	packet = create_request(c);
	if (host == t->node->own)
		backend_server_call(t->node->backend, host,
				    packet->call_request);
	else
		transport_send(t->node->transport, host, PACKET_CALL, packet);
	packet_destroy(packet);
}

static int choose_host(struct call *c, uint64_t *host)
{
	struct node *node = c->callers->node;
	struct service_handle service =
		snapshot_route_service(c->snapshot, c->route);

	return router_choose(c->callers->router, c->snapshot, service,
			     node->settings.failure_domain, c->tried,
			     c->attempts, node_now_ms(node), host);
}

static void attempt(struct call *c, enum call_outcome outcome,
		    const char *reason)
{
	uint64_t host;

	if (choose_host(c, &host))
		finish_failed(c, outcome, reason);
	else
		send_attempt(c, host);
}

static void attempt_failed(struct call *c, enum call_outcome outcome, int final,
			   const char *reason)
{
	struct caller_table *t = c->callers;
	uint64_t now_ms = node_now_ms(t->node);
	struct retry_question question = {
		.contract = &c->contract,
		.attempts = c->attempts,
		.outcome = outcome,
		.final = final,
		.remaining_ms =
			c->deadline_ms > now_ms ? c->deadline_ms - now_ms : 0,
	};

	if (retry_allow(&t->budget, &question)) {
		t->node->counters.values[COUNTER_retries]++;
		attempt(c, outcome, reason);
		return;
	}
	if (outcome != CALL_RAN)
		t->node->counters.values[COUNTER_retries_denied]++;
	finish_failed(c, outcome, reason);
}

static void on_deadline(uv_timer_t *timer)
{
	struct call *c = timer->data;
	struct node *node = c->callers->node;
	Fescue__Packet *packet;
	uint64_t host = c->tried[c->attempts - 1];

	if (c->attempt_id && host != node->own) {
		packet = packet_create(FESCUE__PACKET__BODY_CALL_CANCEL);
		packet->call_cancel->call_id = c->attempt_id;
		transport_send(node->transport, host, PACKET_CALL, packet);
		packet_destroy(packet);
	}
	end_attempt(c, ROUTER_FAILED, NULL);
	finish_failed(c, CALL_UNKNOWN, "no answer before the deadline");
}

/* The caller went away: stop what can be stopped without harm. */
static void on_caller_gone(void *data)
{
	struct call *c = data;
	struct node *node = c->callers->node;
	uint64_t host = c->tried[c->attempts - 1], id = c->attempt_id;
	Fescue__Packet *packet;

	node->counters.values[COUNTER_calls_canceled]++;
	end_attempt(c, ROUTER_CANCELED, NULL);
	call_end(c);
	if (!id)
		return;
	if (host == node->own) {
		backend_server_cancel(node->backend, host, id);
		return;
	}
	packet = packet_create(FESCUE__PACKET__BODY_CALL_CANCEL);
	packet->call_cancel->call_id = id;
	transport_send(node->transport, host, PACKET_CALL, packet);
	packet_destroy(packet);
}

void caller_table_answer(struct caller_table *t, uint64_t from,
			 const Fescue__CallAnswer *answer)
{
	struct call *c = g_hash_table_lookup(t->attempts, &answer->call_id);
	struct router_load load = { answer->in_use, answer->queued,
				    answer->slots };

	/* A late answer of an earlier attempt, or one that is not ours. */
	if (!c || c->tried[c->attempts - 1] != from)
		return;
	switch (answer->outcome) {
	case FESCUE__OUTCOME__RAN:
		end_attempt(c, ROUTER_ANSWERED, &load);
		if (answer->body_bytes == answer->body.len)
			finish_ran(c, answer);
		else
			finish_failed(c, CALL_UNKNOWN,
				      "the answer is not whole");
		break;
	case FESCUE__OUTCOME__NOT_RUN:
		/* A final refusal is the request's or the store's fault. */
		end_attempt(c, ROUTER_REFUSED, answer->final ? NULL : &load);
		attempt_failed(c, CALL_NOT_RUN, answer->final, answer->reason);
		break;
	default:
		end_attempt(c, ROUTER_FAILED, &load);
		attempt_failed(c, CALL_UNKNOWN, answer->final, answer->reason);
		break;
	}
}

void caller_table_peer_gone(struct caller_table *t, uint64_t peer,
			    int connected)
{
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, t->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *c = value;

		if (c->tried[c->attempts - 1] == peer)
			g_ptr_array_add(gone, c);
	}
	for (guint i = 0; i < gone->len; i++) {
		struct call *c = g_ptr_array_index(gone, i);

		end_attempt(c, ROUTER_FAILED, NULL);
		attempt_failed(c, connected ? CALL_UNKNOWN : CALL_NOT_RUN, 0,
			       connected ? "the host broke off" :
					   "no connection to the host");
	}
	g_ptr_array_free(gone, TRUE);
}

static int header_is_ours(struct http_text name)
{
	static const char *const names[] = {
		"connection", "keep-alive",	      "content-length",
		"host",	      "transfer-encoding",    "upgrade",
		"expect",     "x-fescue-deadline-ms", "x-fescue-depth"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (name.size == strlen(names[i]) &&
		    !g_ascii_strncasecmp(name.bytes, names[i], name.size))
			return 1;
	return 0;
}

static void copy_headers(struct call *c, uint32_t depth)
{
	size_t n = http_exchange_header_count(c->exchange);
	char number[16];
	struct http_text name, value;

	c->headers = g_ptr_array_new_with_free_func(header_free);
	for (size_t i = 0; i < n; i++) {
		http_exchange_header_at(c->exchange, i, &name, &value);
		if (!header_is_ours(name))
			g_ptr_array_add(c->headers, header_create(name, value));
	}
	g_snprintf(number, sizeof(number), "%u", depth + 1);
	name.bytes = "x-fescue-depth";
	name.size = strlen(name.bytes);
	value.bytes = number;
	value.size = strlen(number);
	g_ptr_array_add(c->headers, header_create(name, value));
}

static struct call *call_create(struct caller_table *t,
				struct http_exchange *exchange,
				struct route_handle route, uint32_t depth)
{
	struct call *c = g_new0(struct call, 1);
	struct node *node = t->node;
	struct http_text method = http_exchange_method(exchange);
	struct http_text path = http_exchange_path(exchange);
	struct http_text key =
		http_exchange_header(exchange, "idempotency-key");
	struct http_text body = http_exchange_body(exchange);
	uint32_t deadline;

	c->callers = t;
	c->exchange = exchange;
	c->snapshot = snapshot_ref(node->snapshot);
	c->route = route;
	c->contract = snapshot_route(c->snapshot, route)->contract;
	c->method = g_strndup(method.bytes, method.size);
	c->path = g_strndup(path.bytes, path.size);
	c->key = g_strndup(key.bytes ? key.bytes : "", key.size);
	c->body = body.bytes;
	c->body_size = body.size;
	copy_headers(c, depth);
	deadline = MIN(http_exchange_header_number(exchange,
						   "x-fescue-deadline-ms",
						   c->contract.deadline_ms),
		       c->contract.deadline_ms);
	c->deadline_ms = node_now_ms(node) + deadline;
	c->entered_us = monotonic_clock_us();
	uv_timer_init(node->loop, &c->timer);
	c->timer.data = c;
	uv_timer_start(&c->timer, on_deadline, deadline + DEADLINE_GRACE_MS, 0);
	t->calls++;
	return c;
}

/* Look up the route; answers the exchange itself when there is none. */
static int find_route(struct caller_table *t, struct http_exchange *exchange,
		      struct route_handle *route)
{
	struct http_text method = http_exchange_method(exchange);
	struct http_text host = http_exchange_host(exchange);
	struct http_text path = http_exchange_path(exchange);
	const struct route_rule *rule;
	enum route_lookup found = snapshot_find_route(
		t->node->snapshot, method.bytes, method.size, host.bytes,
		host.size, path.bytes, path.size, route, &rule);

	switch (found) {
	case ROUTE_FOUND:
		return FESCUE_OK;
	case ROUTE_WITHDRAWN:
		t->node->counters.values[COUNTER_route_withdrawn]++;
		reply_failure(exchange, 503, CALL_NOT_RUN,
			      "the service has no backend server now");
		break;
	case ROUTE_UNKNOWN:
		t->node->counters.values[COUNTER_no_route]++;
		reply_failure(exchange, 404, CALL_NOT_RUN,
			      "no rule matches; add a route line");
		break;
	}
	return FESCUE_ENOTFOUND;
}

/* Keys stand in records of the store, one a line. */
static int key_is_good(const struct http_exchange *exchange)
{
	struct http_text key =
		http_exchange_header(exchange, "idempotency-key");

	if (!key.bytes)
		return 1;
	if (!key.size || key.size > KEY_MAX_BYTES)
		return 0;
	for (size_t i = 0; i < key.size; i++)
		if (!g_ascii_isgraph(key.bytes[i]))
			return 0;
	return 1;
}

void caller_table_request(void *data, struct http_exchange *exchange)
{
	struct node *node = data;
	struct caller_table *t = node->callers;
	uint32_t depth =
		http_exchange_header_number(exchange, "x-fescue-depth", 0);
	struct route_handle route;
	struct call *c;
	const char *why;

	node->counters.values[COUNTER_calls_received]++;
	if (!key_is_good(exchange)) {
		node->counters.values[COUNTER_calls_not_run]++;
		reply_failure(exchange, 400, CALL_NOT_RUN,
			      "idempotency-key must be 1 to 128 printable "
			      "characters without blanks");
		return;
	}
	if (!node_is_ready(node, &why) || depth >= DEPTH_MAX) {
		node->counters.values[COUNTER_calls_not_run]++;
		reply_failure(exchange, 503, CALL_NOT_RUN,
			      depth >= DEPTH_MAX ? "calls nest too deep" : why);
		return;
	}
	if (find_route(t, exchange, &route)) {
		node->counters.values[COUNTER_calls_not_run]++;
		return;
	}
	c = call_create(t, exchange, route, depth);
	http_exchange_on_close(exchange, on_caller_gone, c);
	retry_budget_earn(&t->budget);
	attempt(c, CALL_NOT_RUN, "every backend server is busy or excluded");
}

void caller_table_tick(struct caller_table *t)
{
	router_expire(t->router, node_now_ms(t->node), EVIDENCE_IDLE_MS);
}

struct caller_table *caller_table_create(struct node *node, uint32_t seed)
{
	struct caller_table *t = g_new0(struct caller_table, 1);
	struct router_settings settings = router_defaults;

	settings.policy = (enum router_policy)node->settings.router_policy;
	t->node = node;
	t->router = router_create(&settings, seed);
	t->budget.tokens = RETRY_TOKENS_MAX;
	t->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	return t;
}

void caller_table_destroy(struct caller_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->attempts);
	router_destroy(t->router);
	g_free(t);
}

size_t caller_table_in_flight(const struct caller_table *t)
{
	return t->calls;
}

const struct router *caller_table_router(const struct caller_table *t)
{
	return t->router;
}
