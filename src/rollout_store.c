#include "rollout_store.h"

#include "fescue/error.h"
#include "log.h"
#include "platform/rollout_order.h"
#include "rollout_record.h"
#include "store_era.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 1000
/*
 * Only the answer shows that the connection has not gone silent, and periods of
 * orders are as short as 12 s; each watch is billed, and only the leader has one.
 */
#define WATCH_WAIT_MS 2000
/* An order is tried again so often until its service is known. */
#define UNKNOWN_RETRY_MS 500

struct known_order {
	struct rollout_order order;
	uint64_t seen_ms;
	int is_taken; /* by the leader module */
	int refusal_logged; /* its service is not known */
};

/* A pending read or write of a service's record. */
struct record_call {
	struct rollout_store *owner;
	struct store_call *call;
	char service[RULES_NAME_MAX_BYTES + 1];
};

struct rollout_store {
	struct rollout_store_settings settings;
	GRand *random;
	GHashTable *orders; /* service -> struct known_order */
	int is_loaded;
	int has_failed;
	int leading;
	struct store_call *load_call;
	struct store_call *watch_call;
	GPtrArray *record_calls; /* struct record_call */
	uint64_t call_at_ms; /* earliest time of the next list or watch */
	uint32_t retry_ms;
	uint64_t watch_after; /* revision of the store; 0: list first */
	uint64_t unknown_at_ms; /* when orders of unknown services are tried */
};

static uint64_t now_ms(const struct rollout_store *s)
{
	return node_context_now_ms(s->settings.context);
}

static void count(const struct rollout_store *s, enum counter counter)
{
	s->settings.context->counters->values[counter]++;
}

static void retry_later(struct rollout_store *s, const char *action, int error)
{
	uint32_t spread_ms = (uint32_t)g_rand_int_range(
		s->random, (gint32)(s->retry_ms / 2), (gint32)s->retry_ms + 1);

	s->has_failed = 1;
	s->call_at_ms = now_ms(s) + spread_ms;
	s->retry_ms = MIN(s->retry_ms * 2, RETRY_MAX_MS);
	log_event(LOG_STATE, "rollout_read_failed",
		  "\"action\":\"%s\",\"error\":\"%s\"", action,
		  fescue_strerror(error));
}

static void log_refused_order(const struct rollout_store *s, const char *reason)
{
	count(s, COUNTER_rollout_orders_refused);
	log_error("roll-out order refused: %s", reason);
}

/* Passes an order to the leader module, unless its service is not known. */
static void pass_order(struct rollout_store *s, struct known_order *known)
{
	struct rollout_order order = known->order;

	if (!s->leading || known->is_taken)
		return;
	if (!s->settings.knows_service(s->settings.data, order.service)) {
		if (!known->refusal_logged) {
			count(s, COUNTER_rollout_orders_refused);
			log_error("roll-out order refused: %s%s: no rule and "
				  "no host has this service; correct the name "
				  "or add a service line",
				  rollout_order_prefix, order.service);
		}
		known->refusal_logged = 1;
		return;
	}
	known->is_taken = 1;
	order.age_ms = (uint32_t)(now_ms(s) - known->seen_ms);
	rollout_leader_put_order(s->settings.leader, &order, now_ms(s));
}

/* Keeps an order that is newer than the known one of its service. */
static void take_order(struct rollout_store *s, const struct store_item *item)
{
	struct known_order *known;
	struct rollout_order order;
	char reason[ROLLOUT_ORDER_REASON_BYTES];
	char service[LOG_QUOTED_BYTES], target[LOG_QUOTED_BYTES];

	if (!item->value) /* removed: what is in force stays */
		return;
	if (rollout_order_parse(item->key, item->value, item->size, &order,
				reason)) {
		log_refused_order(s, reason);
		return;
	}
	known = g_hash_table_lookup(s->orders, order.service);
	if (known && known->order.order_id >= item->revision)
		return;
	order.order_id = item->revision;
	known = g_new0(struct known_order, 1);
	known->order = order;
	known->seen_ms = now_ms(s);
	g_hash_table_replace(s->orders, known->order.service, known);
	count(s, COUNTER_rollout_orders);
	log_event(LOG_STATE, "rollout_order",
		  "\"service\":%s,\"target\":%s,\"period_ms\":%u,"
		  "\"order\":%" PRIu64,
		  log_quote(order.service, service),
		  log_quote(order.target, target), order.period_ms,
		  order.order_id);
	pass_order(s, known);
}

static void take_orders(struct rollout_store *s,
			const struct store_result *result)
{
	for (size_t i = 0; i < result->item_count; i++)
		take_order(s, &result->items[i]);
	if (result->store_revision)
		s->watch_after = result->store_revision;
	s->retry_ms = RETRY_MIN_MS;
}

static const char *service_of_key(const char *key)
{
	return key + strlen(ROLLOUT_RECORD_PREFIX);
}

/* An order without a record, or with one of an earlier order, has no phase. */
static void state_of_order(const struct rollout_order *order,
			   const struct rollout_record *record,
			   struct rollout_state *state)
{
	memset(state, 0, sizeof(*state));
	g_strlcpy(state->service, order->service, sizeof(state->service));
	g_strlcpy(state->target, order->target, sizeof(state->target));
	state->order_id = order->order_id;
	state->phase = ROLLOUT_WAITING;
	state->remaining_ms = order->period_ms;
	if (!record)
		return;
	state->term = record->term;
	g_strlcpy(state->rejected,
		  record->phase == ROLLOUT_ROLLED_BACK ? record->target :
							 record->rejected,
		  sizeof(state->rejected));
}

static void tell_stored(struct rollout_store *s,
			const struct rollout_record *record,
			const struct rollout_order *order)
{
	struct rollout_state state;

	if (record && (!order || record->order_id >= order->order_id))
		rollout_state_of_record(record, &state);
	else
		state_of_order(order, record, &state);
	s->settings.stored(s->settings.data, &state);
}

/* Finds the valid record of a service in a list; returns 0 if there is none. */
static int find_record(const struct store_result *result, const char *service,
		       struct rollout_record *out)
{
	for (size_t i = 0; i < result->item_count; i++) {
		const struct store_item *item = &result->items[i];

		if (strcmp(service_of_key(item->key), service))
			continue;
		if (!rollout_record_parse(item->value, item->size, out))
			return 1;
		log_error("the roll-out record in %.100s is malformed; the "
			  "order starts anew",
			  item->key);
	}
	return 0;
}

static void end_load(struct rollout_store *s, const char *source)
{
	s->is_loaded = 1;
	s->has_failed = 0;
	log_event(LOG_STATE, "rollouts_loaded",
		  "\"source\":\"%s\",\"orders\":%u", source,
		  g_hash_table_size(s->orders));
}

static void on_records(void *data, const struct store_result *result)
{
	struct rollout_store *s = data;
	struct rollout_record record;
	GHashTableIter iter;
	gpointer value;

	s->load_call = NULL;
	if (result->error) {
		retry_later(s, "list_records", result->error);
		return;
	}
	g_hash_table_iter_init(&iter, s->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_order *order =
			&((const struct known_order *)value)->order;
		int found = find_record(result, order->service, &record);

		tell_stored(s, found ? &record : NULL, order);
	}
	end_load(s, "store");
}

static void on_first_orders(void *data, const struct store_result *result)
{
	struct rollout_store *s = data;

	s->load_call = NULL;
	if (result->error) {
		retry_later(s, "list_orders", result->error);
		return;
	}
	take_orders(s, result);
	/* Each call is billed, and without an order no record is needed. */
	if (!g_hash_table_size(s->orders))
		end_load(s, "store");
	else
		s->load_call = store_list(s->settings.store,
					  ROLLOUT_RECORD_PREFIX, 0, on_records,
					  s);
}

static void load_tick(struct rollout_store *s)
{
	if (s->is_loaded || s->load_call || now_ms(s) < s->call_at_ms)
		return;
	s->load_call = store_list(s->settings.store, rollout_order_prefix, 0,
				  on_first_orders, s);
}

static void on_listed(void *data, const struct store_result *result)
{
	struct rollout_store *s = data;

	s->watch_call = NULL;
	s->settings.store_result(s->settings.data, result->error);
	if (result->error) {
		retry_later(s, "list_orders", result->error);
		return;
	}
	take_orders(s, result);
	/* Without a revision to watch from, the orders are polled. */
	if (!s->watch_after)
		s->call_at_ms = now_ms(s) + WATCH_WAIT_MS;
}

static void on_watched(void *data, const struct store_result *result)
{
	struct rollout_store *s = data;
	int answered = !result->error || (result->error == FESCUE_ETIMEOUT &&
					  result->store_revision);

	s->watch_call = NULL;
	if (result->error == FESCUE_EGONE) {
		s->watch_after = 0;
		return;
	}
	s->settings.store_result(s->settings.data,
				 answered ? FESCUE_OK : result->error);
	if (answered)
		take_orders(s, result);
	else
		retry_later(s, "watch_orders", result->error);
}

static void watch_tick(struct rollout_store *s)
{
	if (!s->leading || s->watch_call || now_ms(s) < s->call_at_ms)
		return;
	s->watch_call =
		s->watch_after ?
			store_watch_prefix(s->settings.store,
					   rollout_order_prefix, s->watch_after,
					   WATCH_WAIT_MS, on_watched, s) :
			store_list(s->settings.store, rollout_order_prefix, 0,
				   on_listed, s);
}

static struct record_call *create_record_call(struct rollout_store *s,
					      const char *service)
{
	struct record_call *c = g_new0(struct record_call, 1);

	c->owner = s;
	g_strlcpy(c->service, service, sizeof(c->service));
	g_ptr_array_add(s->record_calls, c);
	return c;
}

static void end_record_call(struct record_call *c)
{
	g_ptr_array_remove_fast(c->owner->record_calls, c);
	g_free(c);
}

static void on_record(void *data, const struct store_result *result)
{
	struct record_call *c = data;
	struct rollout_store *s = c->owner;
	struct rollout_record record;
	int is_valid;

	s->settings.store_result(
		s->settings.data,
		result->error == FESCUE_ENOTFOUND ? FESCUE_OK : result->error);
	if (!result->error || result->error == FESCUE_ENOTFOUND) {
		is_valid = !result->error &&
			   !rollout_record_parse(result->value, result->size,
						 &record);
		if (!result->error && !is_valid)
			log_error(
				"the roll-out record in " ROLLOUT_RECORD_PREFIX
				"%s is malformed; it is replaced",
				c->service);
		rollout_leader_put_record(s->settings.leader, c->service,
					  is_valid ? &record : NULL,
					  result->revision, now_ms(s));
	}
	end_record_call(c);
}

static enum rollout_write_result write_result(const struct store_result *result)
{
	switch (result->error) {
	case FESCUE_OK:
		return ROLLOUT_WRITTEN;
	case FESCUE_ECONFLICT:
		return ROLLOUT_CONFLICT;
	default:
		return result->maybe_applied ? ROLLOUT_UNKNOWN :
					       ROLLOUT_REFUSED;
	}
}

static void on_written(void *data, const struct store_result *result)
{
	struct record_call *c = data;
	struct rollout_store *s = c->owner;
	char service[RULES_NAME_MAX_BYTES + 1];
	int conflict = result->error == FESCUE_ECONFLICT;

	g_strlcpy(service, c->service, sizeof(service));
	end_record_call(c);
	rollout_leader_put_result(s->settings.leader, service,
				  write_result(result), result->revision,
				  now_ms(s));
	s->settings.store_result(s->settings.data,
				 conflict ? FESCUE_OK : result->error);
	if (result->error)
		log_event(LOG_STATE, "rollout_write_failed",
			  "\"service\":\"%s\",\"error\":\"%s\","
			  "\"maybe_applied\":%d",
			  service, fescue_strerror(result->error),
			  result->maybe_applied);
	if (conflict)
		s->settings.conflict(s->settings.data);
}

static void start_write(struct rollout_store *s,
			const struct rollout_write *write)
{
	const struct rollout_record *record = &write->record;
	struct record_call *c = create_record_call(s, record->service);
	char *key = g_strconcat(ROLLOUT_RECORD_PREFIX, record->service, NULL);
	char *status_key =
		g_strconcat(rollout_status_prefix, record->service, NULL);
	char *value = rollout_record_format(record);
	char *status = rollout_status_format(
		rollout_status_name((enum rollout_phase)record->phase),
		record->target);
	struct store_write writes[] = {
		{ key, value, strlen(value), write->expected_revision, 0 },
		{ status_key, status, strlen(status), STORE_ANY_REVISION, 0 },
	};

	c->call = store_put_all(s->settings.store, writes, G_N_ELEMENTS(writes),
				on_written, c);
	g_free(key);
	g_free(status_key);
	g_free(value);
	g_free(status);
}

static void start_read(struct rollout_store *s, const char *service)
{
	struct record_call *c = create_record_call(s, service);
	char *key = g_strconcat(ROLLOUT_RECORD_PREFIX, service, NULL);

	c->call = store_get(s->settings.store, key, on_record, c);
	g_free(key);
}

static void record_tick(struct rollout_store *s)
{
	struct rollout_leader *leader = s->settings.leader;
	char service[RULES_NAME_MAX_BYTES + 1];
	struct rollout_write write;

	while (rollout_leader_next_read(leader, now_ms(s), service))
		start_read(s, service);
	while (rollout_leader_next_write(leader, now_ms(s), &write))
		start_write(s, &write);
}

static void pass_orders(struct rollout_store *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pass_order(s, value);
}

void rollout_store_tick(struct rollout_store *s)
{
	load_tick(s);
	watch_tick(s);
	if (!s->leading)
		return;
	if (now_ms(s) >= s->unknown_at_ms) {
		s->unknown_at_ms = now_ms(s) + UNKNOWN_RETRY_MS;
		pass_orders(s);
	}
	record_tick(s);
}

static void cancel(struct store_call **call)
{
	if (*call)
		store_call_cancel(*call);
	*call = NULL;
}

static void cancel_record_calls(struct rollout_store *s)
{
	for (guint i = 0; i < s->record_calls->len; i++) {
		struct record_call *c = g_ptr_array_index(s->record_calls, i);

		store_call_cancel(c->call);
		g_free(c);
	}
	g_ptr_array_set_size(s->record_calls, 0);
}

void rollout_store_set_leading(struct rollout_store *s, int leading)
{
	GHashTableIter iter;
	gpointer value;

	s->leading = leading;
	cancel(&s->watch_call);
	g_hash_table_iter_init(&iter, s->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct known_order *)value)->is_taken = 0;
	if (leading)
		pass_orders(s);
}

int rollout_store_is_loaded(const struct rollout_store *s)
{
	return s->is_loaded;
}

void rollout_store_set_loaded(struct rollout_store *s)
{
	if (s->is_loaded)
		return;
	cancel(&s->load_call);
	end_load(s, "peer");
}

int rollout_store_has_failed(const struct rollout_store *s)
{
	return s->has_failed;
}

const struct rollout_order *rollout_store_order(const struct rollout_store *s,
						const char *service)
{
	const struct known_order *known =
		g_hash_table_lookup(s->orders, service);

	return known ? &known->order : NULL;
}

/* The store came back from a copy: revisions of orders and records are void. */
static void on_new_era(void *data)
{
	struct rollout_store *s = data;

	cancel(&s->watch_call);
	s->watch_after = 0;
	s->call_at_ms = now_ms(s);
	rollout_leader_read_again(s->settings.leader);
}

struct rollout_store *
rollout_store_create(const struct rollout_store_settings *settings)
{
	struct rollout_store *s = g_new0(struct rollout_store, 1);

	s->settings = *settings;
	s->random = g_rand_new_with_seed(settings->seed);
	s->orders =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	s->record_calls = g_ptr_array_new();
	s->retry_ms = RETRY_MIN_MS;
	s->call_at_ms = now_ms(s);
	if (settings->start_jitter_ms)
		s->call_at_ms += (uint64_t)g_rand_int_range(
			s->random, 0, (gint32)settings->start_jitter_ms);
	store_era_subscribe(store_client_era(settings->store), on_new_era, s);
	return s;
}

void rollout_store_destroy(struct rollout_store *s)
{
	if (!s)
		return;
	store_era_unsubscribe(store_client_era(s->settings.store), s);
	cancel(&s->load_call);
	cancel(&s->watch_call);
	cancel_record_calls(s);
	g_ptr_array_free(s->record_calls, TRUE);
	g_hash_table_destroy(s->orders);
	g_rand_free(s->random);
	g_free(s);
}
