#include "http_client_state.h"

#include "fescue/error.h"
#include "log.h"
#include "socket_options.h"
#include "timeout.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#define READ_BUFFER_BYTES 65536
#define CONNECT_TIMEOUT_MS 1000 /* far above any round trip between hosts */
/* A connection that opens later finds the loop behind with its input. */
#define CONNECT_LATE_MS 100
#define IDLE_MAX_MS 30000 /* also for peers without a Keep-Alive timeout */
#define ANSWERS_MAX_BYTES (4 * HTTP_MAX_BODY_BYTES)
#define IDLE_MARGIN_MS 1000 /* the peer's idle timer starts before ours */

static char read_buffer[READ_BUFFER_BYTES];

struct http_pool *http_pool_create(uv_loop_t *loop, struct address address,
				   size_t idle_max)
{
	struct http_pool *pool = g_new0(struct http_pool, 1);

	pool->loop = loop;
	pool->address = address_to_sockaddr(address);
	address_format(address, pool->authority);
	pool->idle_max = idle_max;
	pool->answers.max = ANSWERS_MAX_BYTES;
	g_queue_init(&pool->idle);
	return pool;
}

static void pool_free_if_unused(struct http_pool *pool)
{
	if (pool->released && !pool->call_count && !pool->conn_count)
		g_free(pool);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct http_conn *conn = handle->data;
	struct http_pool *pool = conn->pool;

	g_free(conn);
	pool->conn_count--;
	pool_free_if_unused(pool);
}

static void conn_close(struct http_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = 1;
	if (!conn->call)
		g_queue_remove(&conn->pool->idle, conn);
	conn->call = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void keep_idle(struct http_pool *pool, size_t count)
{
	while (g_queue_get_length(&pool->idle) > count)
		conn_close(g_queue_peek_tail(&pool->idle));
}

void http_pool_set_idle_max(struct http_pool *pool, size_t idle_max)
{
	pool->idle_max = idle_max;
	keep_idle(pool, idle_max);
}

void http_pool_close_idle(struct http_pool *pool)
{
	keep_idle(pool, 0);
}

void http_pool_release(struct http_pool *pool)
{
	if (!pool)
		return;
	pool->released = 1;
	http_pool_close_idle(pool);
	pool_free_if_unused(pool);
}

uint64_t http_pool_opened_count(const struct http_pool *pool)
{
	return pool->opened_count;
}

size_t http_pool_answer_bytes(const struct http_pool *pool)
{
	return pool->answers.used;
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct http_call *call = handle->data;
	struct http_pool *pool = call->pool;

	g_string_free(call->request, TRUE);
	g_free(call->echo_name);
	g_free(call->echo);
	g_free(call);
	pool->call_count--;
	pool_free_if_unused(pool);
}

static void call_release(struct http_call *call)
{
	call->done = NULL;
	answer_reader_destroy(g_steal_pointer(&call->reader));
	uv_timer_stop(&call->timer);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void log_broken_answer(const struct http_call *call, int error,
			      const char *reason)
{
	char quoted[LOG_QUOTED_BYTES];

	log_event(LOG_FAILURE, "answer_broken",
		  "\"peer\":\"%s\",\"error\":\"%s\",\"reason\":%s,"
		  "\"reused\":%d",
		  call->pool->authority, fescue_strerror(error),
		  log_quote(reason, quoted), call->reused);
}

static void call_finish(struct http_call *call, int error)
{
	struct http_result result = {
		.error = error,
		.reason = error && call->answered ? call->reason : NULL,
		.sent = call->sent,
		.reused = call->reused,
		.answered = call->answered,
		.status = answer_reader_status(call->reader),
	};

	result.headers =
		answer_reader_headers(call->reader, &result.header_count);
	result.body = answer_reader_body(call->reader, &result.body_size);
	if (result.reason)
		log_broken_answer(call, error, result.reason);
	if (call->conn)
		conn_close(call->conn);
	call->conn = NULL;
	if (call->done)
		call->done(call->data, &result);
	call_release(call);
}

/* Time for which the peer keeps an idle connection, less a margin. */
static uint32_t idle_limit_ms(const struct http_call *call)
{
	size_t count;
	const struct http_header *headers =
		answer_reader_headers(call->reader, &count);
	const char *value = http_find_header(headers, count, "keep-alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	uint64_t ms;

	if (!timeout)
		return IDLE_MAX_MS;
	ms = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
	ms = MIN(ms, IDLE_MAX_MS);
	return ms > IDLE_MARGIN_MS ? (uint32_t)ms - IDLE_MARGIN_MS : 0;
}

static void conn_make_idle(struct http_conn *conn, uint32_t limit_ms)
{
	struct http_pool *pool = conn->pool;

	conn->used_before = 1;
	conn->idle_since_ms = uv_now(pool->loop);
	conn->idle_limit_ms = limit_ms;
	g_queue_push_head(&pool->idle, conn);
	if (g_queue_get_length(&pool->idle) > pool->idle_max)
		conn_close(g_queue_peek_tail(&pool->idle));
}

/* The answer is complete; has_leftover: further bytes were received. */
static void complete_answer(struct http_conn *conn, int has_leftover)
{
	struct http_call *call = conn->call;
	uint32_t limit_ms = idle_limit_ms(call);
	int keep = !has_leftover && !conn->not_reusable && !conn->writing &&
		   !conn->write_failed && !conn->pool->released && limit_ms &&
		   answer_reader_keeps_connection(call->reader);

	conn->call = NULL;
	call->conn = NULL;
	if (keep)
		conn_make_idle(conn, limit_ms);
	else
		conn_close(conn);
	call_finish(call, FESCUE_OK);
}

static void conn_fail(struct http_conn *conn, int error)
{
	if (conn->call)
		call_finish(conn->call, error);
	else
		conn_close(conn);
}

static void on_timeout(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	if (!call->error && timeout_defer(timer, on_timeout, &call->overdue))
		return;
	call_finish(call, call->error ? call->error : FESCUE_ETIMEOUT);
}

/* Report a failure from the loop, since http_pool_send() must not do it. */
static void schedule_failure(struct http_call *call, int error)
{
	call->error = error;
	uv_timer_start(&call->timer, on_timeout, 0, 0);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(read_buffer, READ_BUFFER_BYTES);
}

static void handle_input(struct http_conn *conn, const char *bytes, size_t size)
{
	struct http_call *call = conn->call;
	size_t used;

	call->answered = 1;
	used = http_answer_read(conn, bytes, size);
	if (call->complete)
		complete_answer(conn, used < size);
	else if (call->error)
		call_finish(call, call->error);
}

static void handle_end(struct http_conn *conn)
{
	http_answer_end(conn);
	if (conn->call->complete)
		complete_answer(conn, 0);
	else
		call_finish(conn->call, conn->call->error);
}

static void handle_reset(struct http_conn *conn)
{
	struct http_call *call = conn->call;

	call->reason = conn->write_failed ?
			       "the connection broke during the request" :
			       "the connection was reset within the answer";
	call_finish(call, FESCUE_EPARTIAL);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http_conn *conn = stream->data;

	if (conn->closing || !n)
		return;
	/* Any input on an idle connection is unexpected. */
	if (!conn->call)
		conn_close(conn);
	else if (n == UV_EOF && !conn->write_failed &&
		 !socket_was_reset(&conn->tcp))
		handle_end(conn);
	else if (n < 0)
		handle_reset(conn);
	else
		handle_input(conn, buf->base, (size_t)n);
}

static void on_written(uv_write_t *req, int status)
{
	struct http_conn *conn = req->data;

	/*
	 * A write takes the error of a reset from the socket, so that reads see
	 * an ordinary end. Input is read on: an answer may be there already.
	 */
	conn->write_failed = status < 0;
	conn->writing = 0;
}

static void send_request(struct http_conn *conn)
{
	struct http_call *call = conn->call;
	uv_buf_t buf = uv_buf_init(call->request->str,
				   (unsigned int)call->request->len);
	int written;

	call->sent = 1;
	call->reused = conn->used_before;
	conn->not_reusable = 0;
	conn->write_failed = 0;
	conn->mismatched_answers = 0;
	conn->interim_answers = 0;
	written = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
	if (written < 0 && written != UV_EAGAIN) {
		schedule_failure(call, FESCUE_EPARTIAL);
		return;
	}
	if (written == (int)call->request->len)
		return;
	if (written > 0) {
		buf.base += written;
		buf.len -= (size_t)written;
	}
	conn->writing = 1;
	conn->write.data = conn;
	uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
}

/* The call's time starts when it is connected. */
static void start_request(struct http_conn *conn)
{
	struct http_call *call = conn->call;

	call->overdue = 0;
	uv_timer_start(&call->timer, on_timeout, call->timeout_ms, 0);
	send_request(conn);
}

static void on_input_read(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	if (call->may_send && !call->may_send(call->data))
		call_finish(call, FESCUE_ECANCELED);
	else
		start_request(call->conn);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct http_conn *conn = req->data;

	if (conn->closing)
		return;
	if (status) {
		conn_fail(conn, FESCUE_EIO);
		return;
	}
	socket_options_set(&conn->tcp);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (uv_now(conn->pool->loop) > conn->opened_ms + CONNECT_LATE_MS)
		uv_timer_start(&conn->call->timer, on_input_read,
			       TIMEOUT_INPUT_DELAY_MS, 0);
	else
		start_request(conn);
}

/* Pop the last used connection, unless it was idle for too long. */
static struct http_conn *pop_idle(struct http_pool *pool, uint32_t max_ms)
{
	uint64_t now = uv_now(pool->loop);
	struct http_conn *conn;

	while ((conn = g_queue_peek_head(&pool->idle))) {
		uint64_t age = now - conn->idle_since_ms;

		if (age >= conn->idle_limit_ms) {
			conn_close(conn);
			continue;
		}
		if (max_ms && age > max_ms)
			return NULL;
		g_queue_pop_head(&pool->idle);
		return conn;
	}
	return NULL;
}

static void open_conn(struct http_pool *pool, struct http_call *call)
{
	struct http_conn *conn = g_new0(struct http_conn, 1);

	pool->conn_count++;
	pool->opened_count++;
	conn->pool = pool;
	conn->call = call;
	call->conn = conn;
	uv_tcp_init(pool->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->connect.data = conn;
	conn->opened_ms = uv_now(pool->loop);
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
			   (struct sockaddr *)&pool->address, on_connected))
		schedule_failure(call, FESCUE_EIO);
}

static GString *encode_request(const struct http_pool *pool,
			       const struct http_request *request)
{
	GString *out = g_string_sized_new(512 + request->body_size);

	g_string_append(out, request->method);
	g_string_append_c(out, ' ');
	g_string_append(out, request->path);
	g_string_append(out, " HTTP/1.1\r\nhost: ");
	g_string_append(out, request->host ? request->host : pool->authority);
	g_string_append(out, "\r\n");
	if (request->body_size ||
	    (strcmp(request->method, "GET") && strcmp(request->method, "HEAD")))
		g_string_append_printf(out, "content-length: %zu\r\n",
				       request->body_size);
	for (size_t i = 0; i < request->header_count; i++) {
		g_string_append(out, request->headers[i].name);
		g_string_append(out, ": ");
		g_string_append(out, request->headers[i].value);
		g_string_append(out, "\r\n");
	}
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
	struct http_conn *conn;

	call->pool = pool;
	pool->call_count++;
	call->request = encode_request(pool, request);
	call->echo_name = g_strdup(request->echo_name);
	call->echo = g_strdup(request->echo);
	call->reader = answer_reader_create(request->method, &pool->answers);
	call->done = done;
	call->may_send = request->may_send;
	call->data = data;
	uv_timer_init(pool->loop, &call->timer);
	call->timer.data = call;
	call->timeout_ms = request->timeout_ms;
	conn = pop_idle(pool, request->idle_max_ms);
	uv_timer_start(&call->timer, on_timeout,
		       conn ? call->timeout_ms :
			      MIN(call->timeout_ms, CONNECT_TIMEOUT_MS),
		       0);
	if (!conn) {
		open_conn(pool, call);
		return call;
	}
	conn->call = call;
	call->conn = conn;
	send_request(conn);
	return call;
}

void http_call_cancel(struct http_call *call)
{
	if (call->conn)
		conn_close(call->conn);
	call->conn = NULL;
	call_release(call);
}

int http_call_is_sent(const struct http_call *call)
{
	return call->sent;
}

const char *http_result_header(const struct http_result *result,
			       const char *name)
{
	return http_find_header(result->headers, result->header_count, name);
}
