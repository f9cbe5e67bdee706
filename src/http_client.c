#include "http_client.h"

#include "fescue/error.h"

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <string.h>

#define IO_TIMEOUT_MS 120000
#define IDLE_CONNECTION_MS 5000

struct http_pool {
	uv_loop_t *loop;
	h2o_socketpool_t sockets;
	h2o_http1client_ctx_t context;
	h2o_timeout_t io_timeout;
	char authority[ADDRESS_TEXT_BYTES];
	size_t calls; /* that have not been released */
	int released; /* by its owner; goes with the last call */
	uv_timer_t last_handle; /* closed after the library's own timers */
};

struct http_call {
	struct http_pool *pool;
	h2o_http1client_t *client;
	uv_timer_t timer;
	GString *request;
	h2o_iovec_t request_vec;
	int method_is_head;
	int framed; /* the answer states its length */
	int starting; /* still inside http_pool_send() */
	int sent;
	int status;
	GArray *headers; /* struct http_header */
	GString *body;
	void (*done)(void *data, const struct http_result *result);
	void *data;
	int error;
};

static void header_clear(gpointer p)
{
	struct http_header *header = p;

	g_free((char *)header->name);
	g_free((char *)header->value);
}

struct http_pool *http_pool_create(uv_loop_t *loop, struct address address,
				   size_t idle_max)
{
	struct http_pool *pool = g_new0(struct http_pool, 1);
	struct sockaddr_in in = address_to_sockaddr(address);

	pool->loop = loop;
	address_format(address, pool->authority);
	h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)&in,
				       sizeof(in), 0, idle_max);
	h2o_socketpool_set_timeout(&pool->sockets, loop, IDLE_CONNECTION_MS);
	h2o_timeout_init(loop, &pool->io_timeout, IO_TIMEOUT_MS);
	pool->context.loop = loop;
	uv_timer_init(loop, &pool->last_handle);
	pool->last_handle.data = pool;
	pool->context.io_timeout = &pool->io_timeout;
	return pool;
}

static void on_pool_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* libuv closes handles last in, first out: ours goes after the library's. */
static void pool_dispose(struct http_pool *pool)
{
	uv_close((uv_handle_t *)&pool->last_handle, on_pool_closed);
	h2o_socketpool_dispose(&pool->sockets);
	h2o_timeout_dispose(pool->loop, &pool->io_timeout);
}

void http_pool_release(struct http_pool *pool)
{
	if (!pool)
		return;
	pool->released = 1;
	if (!pool->calls)
		pool_dispose(pool);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct http_call *call = handle->data;
	struct http_pool *pool = call->pool;

	g_string_free(call->request, TRUE);
	g_string_free(call->body, TRUE);
	g_array_free(call->headers, TRUE);
	g_free(call);
	if (!--pool->calls && pool->released)
		pool_dispose(pool);
}

static void call_release(struct http_call *call)
{
	call->done = NULL;
	uv_timer_stop(&call->timer);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void on_deferred(uv_timer_t *timer);

static void call_finish(struct http_call *call, int error)
{
	struct http_result result;

	if (call->starting) {
		call->client = NULL;
		call->error = error;
		uv_timer_start(&call->timer, on_deferred, 0, 0);
		return;
	}
	result = (struct http_result){
		.error = error,
		.sent = call->sent,
		.status = call->status,
		.headers =
			(const struct http_header *)(void *)call->headers->data,
		.header_count = call->headers->len,
		.body = call->body->str,
		.body_size = call->body->len,
	};

	call->client = NULL;
	if (call->done)
		call->done(call->data, &result);
	call_release(call);
}

/* A failure inside http_pool_send() is reported from the loop. */
static void on_deferred(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	call_finish(call, call->error);
}

static void take_input(struct http_call *call, h2o_http1client_t *client)
{
	h2o_buffer_t *input = client->sock->input;

	if (!input || !input->size)
		return;
	g_string_append_len(call->body, input->bytes, (gssize)input->size);
	h2o_buffer_consume(&client->sock->input, input->size);
}

static int on_body(h2o_http1client_t *client, const char *error)
{
	struct http_call *call = client->data;

	take_input(call, client);
	if (!error && call->body->len > HTTP_MAX_BODY_BYTES) {
		call_finish(call, FESCUE_ETOOBIG);
		return -1;
	}
	if (!error)
		return 0;
	if (error != h2o_http1client_error_is_eos || !call->framed)
		call_finish(call, FESCUE_EPARTIAL);
	else
		call_finish(call, FESCUE_OK);
	return 0;
}

static void copy_headers(struct http_call *call, const h2o_header_t *headers,
			 size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const h2o_header_t *h = &headers[i];
		struct http_header copy = {
			g_ascii_strdown(h->name->base, (gssize)h->name->len),
			g_strndup(h->value.base, h->value.len)
		};

		if (!strcmp(copy.name, "content-length") ||
		    !strcmp(copy.name, "transfer-encoding"))
			call->framed = 1;
		g_array_append_val(call->headers, copy);
	}
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *error, int minor_version,
				       int status, h2o_iovec_t message,
				       struct st_h2o_header_t *headers,
				       size_t count, int rlen)
{
	struct http_call *call = client->data;

	(void)minor_version;
	(void)message;
	(void)rlen;
	if (error && error != h2o_http1client_error_is_eos) {
		call_finish(call, FESCUE_EPARTIAL);
		return NULL;
	}
	call->status = status;
	copy_headers(call, headers, count);
	if (error) {
		call_finish(call, FESCUE_OK);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *error, h2o_iovec_t **vecs,
					  size_t *count, int *method_is_head)
{
	struct http_call *call = client->data;

	if (error) {
		call_finish(call, FESCUE_EIO);
		return NULL;
	}
	call->sent = 1;
	call->request_vec =
		h2o_iovec_init(call->request->str, call->request->len);
	*vecs = &call->request_vec;
	*count = 1;
	*method_is_head = call->method_is_head;
	return on_head;
}

static void on_timeout(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	if (call->client)
		h2o_http1client_cancel(call->client);
	call_finish(call, FESCUE_ETIMEOUT);
}

static GString *encode_request(const struct http_pool *pool,
			       const struct http_request *request)
{
	GString *out = g_string_sized_new(256 + request->body_size);

	g_string_append_printf(out,
			       "%s %s HTTP/1.1\r\nhost: %s\r\n"
			       "connection: keep-alive\r\n"
			       "content-length: %zu\r\n",
			       request->method, request->path, pool->authority,
			       request->body_size);
	for (size_t i = 0; i < request->header_count; i++)
		g_string_append_printf(out, "%s: %s\r\n",
				       request->headers[i].name,
				       request->headers[i].value);
	g_string_append(out, "\r\n");
	g_string_append_len(out, request->body, (gssize)request->body_size);
	return out;
}

struct http_call *
http_pool_send(struct http_pool *pool, const struct http_request *request,
	       void (*done)(void *data, const struct http_result *result),
	       void *data)
{
	struct http_call *call = g_new0(struct http_call, 1);

	call->pool = pool;
	pool->calls++;
	call->request = encode_request(pool, request);
	call->method_is_head = !strcmp(request->method, "HEAD");
	call->body = g_string_new(NULL);
	call->headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	g_array_set_clear_func(call->headers, header_clear);
	call->done = done;
	call->data = data;
	uv_timer_init(pool->loop, &call->timer);
	call->timer.data = call;
	uv_timer_start(&call->timer, on_timeout, request->timeout_ms, 0);
	call->starting = 1;
	h2o_http1client_connect_with_pool(&call->client, call, &pool->context,
					  &pool->sockets, on_connect);
	call->starting = 0;
	return call;
}

void http_call_cancel(struct http_call *call)
{
	if (call->client)
		h2o_http1client_cancel(call->client);
	call->client = NULL;
	call_release(call);
}

const char *http_result_header(const struct http_result *result,
			       const char *name)
{
	for (size_t i = 0; i < result->header_count; i++)
		if (!strcmp(result->headers[i].name, name))
			return result->headers[i].value;
	return NULL;
}
