/*
 * The state behind the HTTP client: connections, calls, and the answer that is
 * being read.
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
	GQueue idle; /* struct http_conn, the latest used at the head */
	size_t conns; /* not yet freed */
	size_t calls; /* not yet freed */
	size_t body_bytes; /* of answers that are held */
	uint64_t opened;
	int released;
};

/* One connection; it belongs to a call, to the idle list or is closing. */
struct http_conn {
	struct http_pool *pool;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
	struct http_call *call; /* NULL while idle or closing */
	uint64_t idle_since_ms;
	uint32_t idle_limit_ms;
	int writing;
	int used; /* carried a request before the present one */
	int tainted; /* answers on it do not show what request they are to */
	uint32_t foreign; /* answers to other requests since the last one */
	uint32_t interim; /* answers of status 1xx since the last request */
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
	int method_is_head;
	int sent;
	int reused;
	int answered;
	int complete;
	GArray *headers; /* struct http_header */
	GString *name, *value; /* of the header being read */
	int reading_value;
	GString *body;
	int too_big;
	void (*done)(void *data, const struct http_result *result);
	void *data;
	int error;
};

/* Reads answers; the parser's data is its struct http_conn. */
extern const http_parser_settings http_answer_parser;

/* Value of a header by lower-case name, or NULL. */
const char *http_find_header(const struct http_header *headers, size_t count,
			     const char *name);

#endif
