#include "store_client.h"

#include "fescue/error.h"
#include "http_client.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define IDLE_CONNECTIONS 4
#define WATCH_GRACE_MS 2000
#define HTTP_OVERHEAD_BYTES 160

struct store_client {
	struct http_pool *pool;
	struct counters *counters;
};

struct store_call {
	struct store_client *client;
	struct http_call *http;
	void (*done)(void *data, const struct store_result *result);
	void *data;
	int is_write;
	GArray *items; /* struct store_item */
	struct store_item single;
};

static void item_clear(gpointer p)
{
	struct store_item *item = p;

	g_free(item->key);
	g_free(item->value);
}

static void call_free(struct store_call *call)
{
	g_array_free(call->items, TRUE);
	item_clear(&call->single);
	g_free(call);
}

static void read_item(json_t *object, struct store_item *item)
{
	const char *key = json_string_value(json_object_get(object, "key"));
	const char *value = json_string_value(json_object_get(object, "value"));
	json_t *revision = json_object_get(object, "revision");

	item->key = g_strdup(key ? key : "");
	item->revision = (uint64_t)json_integer_value(revision);
	if (value)
		item->value = (char *)g_base64_decode(value, &item->size);
}

static void read_body(struct store_call *call, const struct http_result *http,
		      struct store_result *result)
{
	json_t *object = json_loadb(http->body, http->body_size, 0, NULL);
	json_t *items = json_object_get(object, "items");
	json_t *lease = json_object_get(object, "lease");

	if (!object) {
		if (http->status == 200)
			result->error = FESCUE_EINVAL;
		return;
	}
	read_item(object, &call->single);
	result->revision = call->single.revision;
	result->value = call->single.value;
	result->size = call->single.size;
	result->lease = (uint64_t)json_integer_value(lease);
	for (size_t i = 0; i < json_array_size(items); i++) {
		struct store_item item = { 0 };

		read_item(json_array_get(items, i), &item);
		g_array_append_val(call->items, item);
	}
	result->items = (const struct store_item *)(void *)call->items->data;
	result->item_count = call->items->len;
	json_decref(object);
}

static int error_of_status(int status)
{
	switch (status) {
	case 200:
		return FESCUE_OK;
	case 408:
		return FESCUE_ETIMEOUT;
	case 404:
		return FESCUE_ENOTFOUND;
	case 409:
		return FESCUE_ECONFLICT;
	default:
		return FESCUE_EUNAVAILABLE;
	}
}

static void count(struct store_call *call, const struct http_result *http)
{
	struct counters *c = call->client->counters;

	if (!c)
		return;
	c->store_bytes += http->body_size + HTTP_OVERHEAD_BYTES;
	if (http->error || http->status >= 429)
		c->values[COUNTER_store_failures]++;
}

static void on_done(void *data, const struct http_result *http)
{
	struct store_call *call = data;
	struct store_result result = { 0 };

	count(call, http);
	if (http->error) {
		result.error = FESCUE_ETIMEOUT;
		result.unsettled = call->is_write && http->sent;
	} else {
		result.error = error_of_status(http->status);
		read_body(call, http, &result);
	}
	call->done(call->data, &result);
	call_free(call);
}

static struct store_call *
send_request(struct store_client *client, const struct http_request *request,
	     void (*done)(void *, const struct store_result *), void *data)
{
	struct store_call *call = g_new0(struct store_call, 1);

	call->client = client;
	call->done = done;
	call->data = data;
	call->is_write = strcmp(request->method, "GET") != 0;
	call->items = g_array_new(FALSE, FALSE, sizeof(struct store_item));
	g_array_set_clear_func(call->items, item_clear);
	call->http = http_pool_send(client->pool, request, on_done, call);
	if (client->counters) {
		client->counters->values[COUNTER_store_calls]++;
		client->counters->store_bytes +=
			request->body_size + HTTP_OVERHEAD_BYTES;
	}
	return call;
}

static struct store_call *
send_simple(struct store_client *client, const char *method, char *path,
	    uint32_t timeout_ms,
	    void (*done)(void *, const struct store_result *), void *data)
{
	struct http_request request = { .method = method,
					.path = path,
					.timeout_ms = timeout_ms };
	struct store_call *call = send_request(client, &request, done, data);

	g_free(path);
	return call;
}

struct store_client *store_client_create(uv_loop_t *loop,
					 struct address address,
					 struct counters *counters)
{
	struct store_client *client = g_new0(struct store_client, 1);

	client->pool = http_pool_create(loop, address, IDLE_CONNECTIONS);
	client->counters = counters;
	return client;
}

void store_client_destroy(struct store_client *client)
{
	if (!client)
		return;
	http_pool_release(client->pool);
	g_free(client);
}

struct store_call *store_get(struct store_client *client, const char *key,
			     int revision_only,
			     void (*done)(void *, const struct store_result *),
			     void *data)
{
	return send_simple(client, "GET",
			   g_strdup_printf("/v1/keys/%s%s", key,
					   revision_only ? "?revision_only=1" :
							   ""),
			   STORE_TIMEOUT_MS, done, data);
}

struct store_call *store_list(struct store_client *client, const char *prefix,
			      void (*done)(void *, const struct store_result *),
			      void *data)
{
	return send_simple(client, "GET",
			   g_strdup_printf("/v1/keys?prefix=%s", prefix),
			   STORE_TIMEOUT_MS, done, data);
}

struct store_call *store_put(struct store_client *client, const char *key,
			     const void *value, size_t size,
			     uint64_t if_revision, uint64_t lease,
			     void (*done)(void *, const struct store_result *),
			     void *data)
{
	char *path = g_strdup_printf("/v1/keys/%s?if_revision=%" PRIu64
				     "&lease=%" PRIu64,
				     key, if_revision, lease);
	struct http_request request = { .method = "PUT",
					.path = path,
					.body = value,
					.body_size = size,
					.timeout_ms = STORE_TIMEOUT_MS };
	struct store_call *call = send_request(client, &request, done, data);

	g_free(path);
	return call;
}

struct store_call *
store_delete(struct store_client *client, const char *key, uint64_t if_revision,
	     void (*done)(void *, const struct store_result *), void *data)
{
	return send_simple(client, "DELETE",
			   g_strdup_printf("/v1/keys/%s?if_revision=%" PRIu64,
					   key, if_revision),
			   STORE_TIMEOUT_MS, done, data);
}

struct store_call *
store_watch(struct store_client *client, const char *key, uint64_t after,
	    void (*done)(void *, const struct store_result *), void *data)
{
	if (client->counters)
		client->counters->values[COUNTER_store_watches]++;
	return send_simple(client, "GET",
			   g_strdup_printf("/v1/watch/%s?after=%" PRIu64
					   "&timeout_ms=%d",
					   key, after, STORE_WATCH_MS),
			   STORE_WATCH_MS + WATCH_GRACE_MS, done, data);
}

struct store_call *
store_lease_grant(struct store_client *client, uint32_t ttl_ms,
		  void (*done)(void *, const struct store_result *), void *data)
{
	return send_simple(client, "POST",
			   g_strdup_printf("/v1/leases?ttl_ms=%u", ttl_ms),
			   STORE_TIMEOUT_MS, done, data);
}

struct store_call *
store_lease_renew(struct store_client *client, uint64_t lease,
		  void (*done)(void *, const struct store_result *), void *data)
{
	return send_simple(client, "POST",
			   g_strdup_printf("/v1/leases/%" PRIu64 "/renew",
					   lease),
			   STORE_TIMEOUT_MS, done, data);
}

void store_call_cancel(struct store_call *call)
{
	http_call_cancel(call->http);
	call_free(call);
}
