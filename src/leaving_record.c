#include "leaving_record.h"

#include "fescue/error.h"
#include "log.h"
#include "store_era.h"

#include <glib.h>
#include <inttypes.h>

#define KEY_PREFIX "fescue/leaving/"
#define RETRY_MS 500 /* after a call that failed */

struct leaving_record {
	struct leaving_record_settings settings;
	char *key;
	int is_loaded;
	uint64_t stored; /* in the store, as far as known; 0: none */
	uint64_t wanted; /* 0: nothing to save */
	uint64_t writing; /* by the pending call */
	uint64_t revision; /* of the key, if it is known */
	uint64_t call_at_ms; /* earliest time of the next call */
	struct store_call *call;
};

static uint64_t now_ms(const struct leaving_record *r)
{
	return node_context_now_ms(r->settings.context);
}

static void retry_later(struct leaving_record *r, const char *action, int error)
{
	r->call_at_ms = now_ms(r) + RETRY_MS;
	log_event(LOG_STATE, "leaving_record_failed",
		  "\"action\":\"%s\",\"error\":\"%s\"", action,
		  fescue_strerror(error));
}

static uint64_t read_value(const char *value, size_t size)
{
	char *text = g_strndup(value ? value : "", value ? size : 0);
	uint64_t left = g_ascii_strtoull(text, NULL, 16);

	g_free(text);
	return left;
}

static void on_read(void *data, const struct store_result *result)
{
	struct leaving_record *r = data;

	r->call = NULL;
	if (result->error && result->error != FESCUE_ENOTFOUND) {
		retry_later(r, "read", result->error);
		return;
	}
	if (!result->error)
		r->stored = read_value(result->value, result->size);
	r->revision = result->revision;
	r->is_loaded = 1;
	r->settings.loaded(r->settings.data, r->stored);
}

static void set_stored(struct leaving_record *r)
{
	r->stored = r->writing;
	log_event(LOG_STATE, "leaving_record_saved",
		  "\"left\":\"%016" PRIx64 "\"", r->stored);
	if (leaving_record_is_saved(r))
		r->settings.saved(r->settings.data);
}

static void on_written(void *data, const struct store_result *result)
{
	struct leaving_record *r = data;
	const struct store_item *item = result->items;

	r->call = NULL;
	switch (result->error) {
	case FESCUE_OK:
		r->revision = result->revision;
		set_stored(r);
		break;
	case FESCUE_ECONFLICT:
		/* An earlier write, or that of a former run. */
		r->revision = result->revision;
		if (result->item_count &&
		    read_value(item->value, item->size) == r->writing)
			set_stored(r);
		break;
	default:
		retry_later(r, "write", result->error);
		break;
	}
}

static void write_record(struct leaving_record *r)
{
	char value[17];
	int len = g_snprintf(value, sizeof(value), "%016" PRIx64, r->wanted);

	r->writing = r->wanted;
	r->call = store_put(r->settings.store, r->key, value, (size_t)len,
			    r->revision, 0, on_written, r);
}

void leaving_record_tick(struct leaving_record *r)
{
	if (r->call || now_ms(r) < r->call_at_ms)
		return;
	if (!leaving_record_is_saved(r))
		write_record(r);
	else if (!r->is_loaded)
		r->call = store_get(r->settings.store, r->key, on_read, r);
}

void leaving_record_set(struct leaving_record *r, uint64_t left)
{
	if (left == r->wanted)
		return;
	r->wanted = left;
	r->call_at_ms = 0;
	leaving_record_tick(r);
}

int leaving_record_is_saved(const struct leaving_record *r)
{
	return !r->wanted || r->wanted == r->stored;
}

/*
 * The store came back from a copy, which may be older than the record. Written
 * again, also if a former run of the node wrote it.
 */
static void on_new_era(void *data)
{
	struct leaving_record *r = data;

	if (!r->wanted)
		r->wanted = r->stored;
	r->stored = 0;
	r->revision = 0;
	r->call_at_ms = 0;
}

struct leaving_record *
leaving_record_create(const struct leaving_record_settings *settings)
{
	struct leaving_record *r = g_new0(struct leaving_record, 1);
	char address[ADDRESS_TEXT_BYTES];
	GRand *random = g_rand_new_with_seed(settings->seed);

	r->settings = *settings;
	address_format(settings->peer_address, address);
	r->key = g_strconcat(KEY_PREFIX, address, NULL);
	r->call_at_ms = now_ms(r);
	if (settings->start_jitter_ms)
		r->call_at_ms += (uint64_t)g_rand_int_range(
			random, 0, (gint32)settings->start_jitter_ms);
	g_rand_free(random);
	store_era_subscribe(store_client_era(settings->store), on_new_era, r);
	return r;
}

void leaving_record_destroy(struct leaving_record *r)
{
	if (!r)
		return;
	store_era_unsubscribe(store_client_era(r->settings.store), r);
	if (r->call)
		store_call_cancel(r->call);
	g_free(r->key);
	g_free(r);
}
