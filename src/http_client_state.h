/*
 * Internal state of the HTTP client: its pool, connections and calls.
 */
#ifndef FESCUE_HTTP_CLIENT_STATE_H
#define FESCUE_HTTP_CLIENT_STATE_H

#include "answer_reader.h"
#include "http_client.h"

#include <glib.h>

struct http_pool {
	uv_loop_t *loop;
	struct sockaddr_in address;
	char authority[ADDRESS_TEXT_BYTES];
	size_t idle_max;
	GQueue idle; /* struct http_conn, most recently used first */
	size_t conn_count; /* not yet freed */
	size_t call_count; /* not yet freed */
	struct answer_budget answers; /* of all calls */
	uint64_t opened_count;
	int released;
};

/* A connection, which belongs to a call, is in the idle queue or is closing. */
struct http_conn {
	struct http_pool *pool;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct http_call *call; /* NULL while idle or closing */
	uint64_t opened_ms;
	uint64_t idle_since_ms;
	uint32_t idle_limit_ms;
	int writing;
	int write_failed; /* the peer did not get the whole request */
	int used_before; /* carried a request before the current one */
	int not_reusable; /* a later answer could be to an earlier request */
	uint32_t mismatched_answers; /* to other requests, since this request */
	uint32_t interim_answers; /* of status 1xx, since this request */
	int closing;
};

struct http_call {
	struct http_pool *pool;
	struct http_conn *conn;
	uv_timer_t timer;
	GString *request; /* kept until the write has ended */
	char *echo_name;
	char *echo;
	uint32_t timeout_ms;
	int sent;
	int reused;
	int answered;
	int complete;
	struct answer_reader *reader; /* NULL once the call has ended */
	void (*done)(void *data, const struct http_result *result);
	int (*may_send)(void *data);
	void *data;
	int error; /* why the call is about to end */
	const char *reason; /* the same for an answer that is broken, or NULL */
	int overdue; /* the timeout has passed; input is read once more */
};

/*
 * Reads input of a connection for its call. Sets complete once the answer to the
 * call's request was read, or error and reason if none can follow. Returns the
 * number of bytes used.
 */
size_t http_answer_read(struct http_conn *conn, const char *bytes, size_t size);

/* The same when the connection was closed, and not reset. */
void http_answer_end(struct http_conn *conn);

/* Value of a header by lower-case name, or NULL. */
const char *http_find_header(const struct http_header *headers, size_t count,
			     const char *name);

#endif
