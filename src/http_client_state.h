/*
 * Internal state of the HTTP client: its pool, connections and calls.
 */
#ifndef FESCUE_HTTP_CLIENT_STATE_H
#define FESCUE_HTTP_CLIENT_STATE_H

#include "http_client.h"

#include <glib.h>
#include <http_parser.h>

struct http_pool {
	uv_loop_t *loop;
	struct sockaddr_in address;
	char authority[ADDRESS_TEXT_BYTES];
	size_t idle_max;
	GQueue idle; /* struct http_conn, most recently used first */
	size_t conn_count; /* not yet freed */
	size_t call_count; /* not yet freed */
	size_t body_bytes; /* in the bodies of all calls */
	uint64_t opened_count;
	int released;
};

/* A connection, which belongs to a call, is in the idle queue or is closing. */
struct http_conn {
	struct http_pool *pool;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
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
	int is_head;
	int sent;
	int reused;
	int answered;
	int complete;
	GArray *headers; /* struct http_header */
	GString *name, *value; /* of the header being parsed */
	int has_value;
	int head_complete; /* later fields are trailer fields */
	GString *body;
	int body_too_big;
	void (*done)(void *data, const struct http_result *result);
	int (*may_send)(void *data);
	void *data;
	int error;
	int overdue; /* the timeout has passed; input is read once more */
};

/* Parser callbacks for answers; the parser's data is its struct http_conn. */
extern const http_parser_settings http_answer_parser;

/* Value of a header by lower-case name, or NULL. */
const char *http_find_header(const struct http_header *headers, size_t count,
			     const char *name);

#endif
