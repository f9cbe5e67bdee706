#include "store_standin.h"

#include "faults.h"
#include "fescue/error.h"
#include "http_server.h"
#include "platform/names.h"
#include "store_data.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define EXPIRY_INTERVAL_MS 100
#define ANSWER_DELAY_MS 1
#define PAGE_ITEMS_MAX 500

static void on_timer_closed(uv_handle_t *handle)
{
	struct call *c = handle->data;

	json_decref(c->body);
	g_free(c->key);
	g_free(c->after_key);
	g_free(c);
}

static void call_end(struct call *c)
{
	if (c->waiting)
		g_ptr_array_remove_fast(c->store->watches, c);
	if (c->held)
		g_ptr_array_remove_fast(c->store->held_calls, c);
	uv_close((uv_handle_t *)&c->timer, on_timer_closed);
}

static void send_reply(struct call *c, int status, const char *text)
{
	char era[24];
	struct http_header headers[] = {
		{ "content-type", "application/json" },
		{ PLATFORM_HEADER_ERA, era },
	};

	g_snprintf(era, sizeof(era), "%" PRIu64, c->store->era);
	http_exchange_reply(c->exchange, status, headers, c->store->era ? 2 : 1,
			    text, strlen(text));
}

static void reply(struct call *c, int status, json_t *json)
{
	char *text;

	json_object_set_new(json, "storeRevision",
			    json_integer((json_int_t)c->store->now.revision));
	text = json_dumps(json, JSON_COMPACT);
	if (c->exchange)
		send_reply(c, status, text);
	free(text);
	json_decref(json);
	call_end(c);
}

/*
 * Leaves a call without an answer until its client closes the connection. The
 * platform's store returns nothing further on such a connection.
 */
static void hold(struct call *c)
{
	uv_timer_stop(&c->timer);
	if (c->waiting)
		g_ptr_array_remove_fast(c->store->watches, c);
	c->waiting = 0;
	if (!c->exchange) {
		call_end(c);
		return;
	}
	c->held = 1;
	g_ptr_array_add(c->store->held_calls, c);
}

static void reply_error(struct call *c, int status, const char *error)
{
	reply(c, status, json_pack("{s:s}", "error", error));
}

static void handle_key(struct call *c)
{
	struct entry *entry = find_entry(c->store, c->key);

	if (entry)
		reply(c, 200, entry_to_json(c->key, entry));
	else
		reply_error(c, 404, "no such key");
}

/* One page of a range of entries. */
struct page {
	const struct call *call;
	json_t *items;
	int has_more;
};

static gboolean add_page_entry(gpointer key, gpointer value, gpointer data)
{
	struct page *page = data;
	const struct call *c = page->call;

	if (strncmp(key, c->key, strlen(c->key)) ||
	    (c->after_key && strcmp(key, c->after_key) <= 0))
		return FALSE;
	if (json_array_size(page->items) >= PAGE_ITEMS_MAX) {
		page->has_more = 1;
		return TRUE;
	}
	json_array_append_new(page->items, entry_to_json(key, value));
	return FALSE;
}

static void handle_range(struct call *c)
{
	struct page page = { c, json_array(), 0 };

	g_tree_foreach(c->store->now.entries, add_page_entry, &page);
	reply(c, 200,
	      json_pack("{s:o, s:b}", "items", page.items, "hasMore",
			page.has_more));
}

static void reply_events(struct call *c, json_t *events)
{
	reply(c, 200, json_pack("{s:o}", "events", events));
}

static void answer_watches(struct store *s)
{
	for (guint i = s->watches->len; i-- > 0;) {
		struct call *c = g_ptr_array_index(s->watches, i);
		json_t *events = events_after(s, c->key, c->number);

		if (json_array_size(events))
			reply_events(c, events);
		else
			json_decref(events);
	}
}

/* Answers a write unless the fault lose_answers is active. */
static void reply_write(struct call *c)
{
	struct store *s = c->store;

	if (!s->lose_answers) {
		reply(c, 200,
		      json_pack("{s:I}", "revision",
				(json_int_t)s->now.revision));
		return;
	}
	s->lose_answers--;
	s->lost_answers++;
	hold(c);
}

static void handle_txn(struct call *c)
{
	struct store *s = c->store;
	const json_t *puts = json_object_get(c->body, "puts");
	const json_t *deletes = json_object_get(c->body, "deletes");
	json_t *failed = failed_conditions(
		s, json_object_get(c->body, "expectedRevision"));

	if (failed) {
		reply(c, 412, json_pack("{s:o}", "items", failed));
		return;
	}
	if (!leases_exist(s, puts)) {
		reply_error(c, 404, "no such lease");
		return;
	}
	s->now.revision++;
	for (size_t i = 0; i < json_array_size(puts); i++) {
		const json_t *put = json_array_get(puts, i);

		put_entry(s, json_string_value(json_object_get(put, "key")),
			  json_string_value(json_object_get(put, "value")),
			  (uint64_t)json_integer_value(
				  json_object_get(put, "lease")));
	}
	for (size_t i = 0; i < json_array_size(deletes); i++)
		remove_entry(s, json_string_value(json_array_get(deletes, i)));
	reply_write(c);
	answer_watches(s);
}

static void on_watch_timeout(uv_timer_t *timer)
{
	reply_events(timer->data, json_array());
}

static void handle_watch(struct call *c)
{
	json_t *events;

	if (c->number < c->store->now.compacted_revision ||
	    (c->store->era && c->number > c->store->now.revision)) {
		reply_error(c, 410, "the history is gone");
		return;
	}
	events = events_after(c->store, c->key, c->number);
	if (json_array_size(events)) {
		reply_events(c, events);
		return;
	}
	json_decref(events);
	c->waiting = 1;
	g_ptr_array_add(c->store->watches, c);
	uv_timer_start(&c->timer, on_watch_timeout, c->timeout_ms, 0);
}

static void reply_lease(struct call *c, uint64_t id, const struct lease *lease)
{
	reply(c, 200,
	      json_pack("{s:I, s:I}", "lease", (json_int_t)id, "ttlMs",
			(json_int_t)lease->ttl_ms));
}

static void handle_lease_grant(struct call *c)
{
	struct store *s = c->store;
	struct lease *lease = g_new0(struct lease, 1);
	uint64_t *id = g_new(uint64_t, 1);

	*id = ++s->last_lease;
	lease->ttl_ms = c->number;
	lease->expires_ms = uv_now(s->loop) + lease->ttl_ms;
	g_hash_table_insert(s->now.leases, id, lease);
	reply_lease(c, *id, lease);
}

static void handle_lease_keep(struct call *c)
{
	struct lease *lease =
		g_hash_table_lookup(c->store->now.leases, &c->number);

	if (!lease) {
		reply_error(c, 404, "no such lease");
		return;
	}
	lease->expires_ms = uv_now(c->store->loop) + lease->ttl_ms;
	reply_lease(c, c->number, lease);
}

static void handle_lease_end(struct call *c)
{
	struct lease *lease =
		g_hash_table_lookup(c->store->now.leases, &c->number);

	if (lease)
		lease->expires_ms = 0;
	reply(c, 200, json_object());
}

static void handle_call(struct call *c)
{
	switch (c->type) {
	case CALL_KEY:
		handle_key(c);
		break;
	case CALL_RANGE:
		handle_range(c);
		break;
	case CALL_WATCH:
		handle_watch(c);
		break;
	case CALL_TXN:
		handle_txn(c);
		break;
	case CALL_LEASE_GRANT:
		handle_lease_grant(c);
		break;
	case CALL_LEASE_KEEP:
		handle_lease_keep(c);
		break;
	case CALL_LEASE_END:
		handle_lease_end(c);
		break;
	case CALL_INVALID:
		reply_error(c, 400, "bad request");
		break;
	}
}

/* Ends a call without an answer and closes its connection. */
static void drop(struct call *c)
{
	if (c->exchange)
		http_exchange_abort(c->exchange);
	c->exchange = NULL;
	call_end(c);
}

static void on_delay_elapsed(uv_timer_t *timer)
{
	struct call *c = timer->data;

	/* The tables of a stopped store are freed. */
	if (c->store->stopped)
		drop(c);
	else
		handle_call(c);
}

static void on_client_disconnected(void *data)
{
	struct call *c = data;

	c->exchange = NULL;
	if (c->waiting || c->held)
		call_end(c);
}

/* Counts a call; returns 0 if it exceeds the rate limit. */
static int count_call(struct store *s, enum call_type type)
{
	uint64_t second = uv_now(s->loop) / 1000;

	if (second != s->current_second) {
		s->current_second = second;
		s->reads_in_second = 0;
		s->writes_in_second = 0;
	}
	if (store_call_is_write(type)) {
		s->writes++;
		s->writes_in_second++;
	} else {
		s->reads++;
		s->reads_in_second++;
	}
	if (type == CALL_WATCH)
		s->watch_calls++;
	s->peak_reads = MAX(s->peak_reads, s->reads_in_second);
	s->peak_writes = MAX(s->peak_writes, s->writes_in_second);
	return !s->rate_limit ||
	       s->reads_in_second + s->writes_in_second <= s->rate_limit;
}

static void accept_call(struct store *s, struct http_exchange *exchange)
{
	struct call *c = g_new0(struct call, 1);

	c->store = s;
	c->exchange = exchange;
	uv_timer_init(s->loop, &c->timer);
	c->timer.data = c;
	store_call_parse(c);
	if (!count_call(s, c->type) || s->outage == OUTAGE_REFUSE) {
		s->refused++;
		reply_error(c, s->outage ? 503 : 429, "refused");
		return;
	}
	http_exchange_on_close(exchange, on_client_disconnected, c);
	if (s->outage == OUTAGE_HANG) {
		s->refused++;
		hold(c);
		return;
	}
	uv_timer_start(&c->timer, on_delay_elapsed, s->delay_ms, 0);
}

static void close_watches(struct store *s)
{
	while (s->watches->len)
		drop(g_ptr_array_index(s->watches, 0));
}

static void hold_watches(struct store *s)
{
	while (s->watches->len)
		hold(g_ptr_array_index(s->watches, 0));
}

void store_standin_set_outage(struct store *s, enum outage outage)
{
	s->outage = outage;
	switch (outage) {
	case OUTAGE_NONE:
		break;
	case OUTAGE_REFUSE:
		close_watches(s);
		break;
	case OUTAGE_HANG:
		hold_watches(s);
		break;
	}
}

static void set_outage(struct store *s, const char *name)
{
	store_standin_set_outage(s, !strcmp(name, "refuse") ? OUTAGE_REFUSE :
				    !strcmp(name, "hang")   ? OUTAGE_HANG :
							      OUTAGE_NONE);
}

static void set_faults(struct store *s, struct http_exchange *exchange)
{
	json_t *faults = faults_parse(
		exchange,
		"send {\"outage\": \"none|refuse|hang\", \"delay_ms\": N, "
		"\"lose_answers\": N, \"rate_cap\": N, \"compact\": 0|1, "
		"\"copy\": 0|1, \"restore\": 0|1}\n");
	json_t *outage = json_object_get(faults, "outage");
	uint32_t compact = 0, copy = 0, restore = 0;

	if (!faults)
		return;
	if (json_is_string(outage))
		set_outage(s, json_string_value(outage));
	faults_set_number(faults, "delay_ms", &s->delay_ms);
	faults_set_number(faults, "lose_answers", &s->lose_answers);
	faults_set_number(faults, "rate_cap", &s->rate_limit);
	faults_set_number(faults, "compact", &compact);
	faults_set_number(faults, "copy", &copy);
	faults_set_number(faults, "restore", &restore);
	if (copy)
		store_standin_copy(s);
	if (restore)
		store_standin_restore(s);
	while (compact && !g_queue_is_empty(&s->now.history))
		drop_oldest_event(s);
	faults_finish(exchange, faults);
}

static void reply_counters(struct store *s, struct http_exchange *exchange)
{
	char *text = g_strdup_printf(
		"reads %" PRIu64 "\nwrites %" PRIu64 "\nwatches %" PRIu64
		"\nrefused %" PRIu64 "\nlost_answers %" PRIu64
		"\npeak_reads_per_s %" PRIu64 "\npeak_writes_per_s %" PRIu64
		"\nwaiting_watches %u\nrevision %" PRIu64 "\n",
		s->reads, s->writes, s->watch_calls, s->refused,
		s->lost_answers, s->peak_reads, s->peak_writes, s->watches->len,
		s->now.revision);

	http_exchange_reply_text(exchange, 200, "text/plain", text);
	g_free(text);
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct store *s = data;

	if (s->stopped)
		http_exchange_abort(exchange);
	else if (http_exchange_path_is(exchange, "/control/faults"))
		set_faults(s, exchange);
	else if (http_exchange_path_is(exchange, "/control/counters"))
		reply_counters(s, exchange);
	else
		accept_call(s, exchange);
}

static void on_expiry_timer(uv_timer_t *timer)
{
	struct store *s = timer->data;

	if (store_expire_leases(s))
		answer_watches(s);
}

void store_standin_set_era(struct store *s, uint64_t era)
{
	s->era = era;
}

void store_standin_copy(struct store *s)
{
	if (s->copy)
		contents_clear(s->copy);
	else
		s->copy = g_new(struct contents, 1);
	contents_init(s->copy);
	contents_copy(&s->now, s->copy);
}

void store_standin_restore(struct store *s)
{
	if (!s->copy)
		return;
	contents_clear(&s->now);
	contents_init(&s->now);
	contents_copy(s->copy, &s->now);
	s->era++;
	close_watches(s);
}

void store_standin_end_leases(struct store *s)
{
	GHashTableIter iter;
	gpointer lease;

	g_hash_table_iter_init(&iter, s->now.leases);
	while (g_hash_table_iter_next(&iter, NULL, &lease))
		((struct lease *)lease)->expires_ms = 0;
	if (store_expire_leases(s))
		answer_watches(s);
}

int store_standin_has(struct store *s, const char *key)
{
	return find_entry(s, key) != NULL;
}

void store_standin_put(struct store *s, const char *key, const char *value,
		       size_t size)
{
	char *base64 = g_base64_encode((const guchar *)value, size);

	s->now.revision++;
	put_entry(s, key, base64, 0);
	g_free(base64);
	answer_watches(s);
}

int store_standin_create(uv_loop_t *loop, struct address address,
			 struct store **out)
{
	struct store *s = g_new0(struct store, 1);

	*out = s;
	s->loop = loop;
	s->delay_ms = ANSWER_DELAY_MS;
	contents_init(&s->now);
	s->watches = g_ptr_array_new();
	s->held_calls = g_ptr_array_new();
	uv_timer_init(loop, &s->expiry_timer);
	s->expiry_timer.data = s;
	uv_timer_start(&s->expiry_timer, on_expiry_timer, EXPIRY_INTERVAL_MS,
		       EXPIRY_INTERVAL_MS);
	return http_server_create(loop, address, on_request, s, &s->server);
}

static void on_expiry_timer_closed(uv_handle_t *handle)
{
	struct store *s = handle->data;

	contents_clear(&s->now);
	if (s->copy)
		contents_clear(s->copy);
	g_free(s->copy);
	g_ptr_array_free(s->watches, TRUE);
	g_ptr_array_free(s->held_calls, TRUE);
}

/* Kept, as connections that are still open refer to them. */
static struct store *stopped_stores;

void store_standin_destroy(struct store *s)
{
	s->stopped = 1;
	s->next_stopped = stopped_stores;
	stopped_stores = s;
	http_server_stop(s->server);
	close_watches(s);
	while (s->held_calls->len)
		drop(g_ptr_array_index(s->held_calls, 0));
	uv_close((uv_handle_t *)&s->expiry_timer, on_expiry_timer_closed);
}
