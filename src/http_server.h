/*
 * HTTP/1.1 server: a handler receives each request once it is complete, and
 * replies once, immediately or later from the same loop.
 */
#ifndef FESCUE_HTTP_SERVER_H
#define FESCUE_HTTP_SERVER_H

#include "fescue/address.h"

#include <stddef.h>
#include <uv.h>

/*
 * Of a body of an answer, and of a request unless http_server_set_limits() allows
 * more.
 */
#define HTTP_MAX_BODY_BYTES ((size_t)4 << 20)
/*
 * Holds a body of 8 MiB, or two of 4 MiB, with their copies. Far below the smallest
 * machines' memory, as copies on the way to and from other hosts do not count.
 */
#define HTTP_MEMORY_DEFAULT_BYTES ((size_t)24 << 20)

struct http_server;

/* A request and its pending reply. */
struct http_exchange;

struct http_header {
	const char *name; /* lower case */
	const char *value;
};

/* Bytes without a final NUL, owned by the exchange. */
struct http_text {
	const char *bytes;
	size_t size;
};

/*
 * Listen on address. handle is called with data for each request. Each
 * exchange must be ended once, by a reply or http_exchange_abort(), unless the
 * caller disconnects first. Returns 0 or FESCUE_EIO.
 */
int http_server_create(uv_loop_t *loop, struct address address,
		       void (*handle)(void *data,
				      struct http_exchange *exchange),
		       void *data, struct http_server **out);

/* Which connection is closed when a new one exceeds the limit. */
enum http_overflow {
	HTTP_CLOSE_NEW,
	/* The one without a request for the longest time, if there is one. */
	HTTP_CLOSE_IDLE,
};

/* Limit the open connections; 0: no limit. */
void http_server_set_connections_max(struct http_server *server,
				     size_t connections,
				     enum http_overflow overflow);

/*
 * Limits for callers. 0: no limit for headers, HTTP_MAX_BODY_BYTES for a body;
 * if both times are 0, 60 s apply.
 */
struct http_server_limits {
	uint32_t header_bytes; /* of a request line and headers; else 431 */
	/* Else 413. Up to HTTP_MAX_BODY_BYTES, or what the memory can hold. */
	uint32_t body_bytes;
	/* A connection that exceeds the longer of these two is closed. */
	uint32_t header_ms; /* from connecting until the last header */
	uint32_t idle_ms; /* between two requests of a connection */
};

/*
 * Limit the memory that requests and answers of all connections take together.
 * A request without room is not read until there is; after a second, and for
 * answers at once, the largest and slowest connections are closed. Requests
 * whose bodies are complete and do not fit are refused with 503. Default: HTTP_MEMORY_DEFAULT_BYTES.
 */
void http_server_set_memory(struct http_server *server, size_t bytes);

/*
 * Close a connection whose body has made no progress for body_ms (0: for the
 * longer time of struct http_server_limits), or whose answer the caller has not
 * read for answer_ms (0: no limit).
 */
void http_server_set_stall_limits(struct http_server *server, uint32_t body_ms,
				  uint32_t answer_ms);

/* Connections closed by these limits. */
uint64_t http_server_stalled_closed(const struct http_server *server);

/* Connections closed and requests refused for lack of memory. */
uint64_t http_server_memory_closed(const struct http_server *server);

/* Set the limits for further requests. */
void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);

/* Longest body that the limits and the memory allow; longer ones get 413. */
size_t http_server_body_max(const struct http_server *server);

/* Stop accepting connections; open ones continue to be served. */
void http_server_stop(struct http_server *server);

struct http_text http_exchange_method(const struct http_exchange *exchange);
struct http_text http_exchange_path(const struct http_exchange *exchange);
struct http_text http_exchange_host(const struct http_exchange *exchange);
struct http_text http_exchange_body(const struct http_exchange *exchange);

/* Value of the first header of that name; bytes is NULL if there is none. */
struct http_text http_exchange_header(const struct http_exchange *exchange,
				      const char *name);
size_t http_exchange_header_count(const struct http_exchange *exchange);
void http_exchange_header_at(const struct http_exchange *exchange, size_t i,
			     struct http_text *name, struct http_text *value);

/*
 * Unescaped value of a query parameter, or NULL if it is absent or malformed;
 * free with g_free().
 */
char *http_exchange_query(const struct http_exchange *exchange,
			  const char *name);

/* Returns 1 if the path without its query equals text. */
int http_exchange_path_is(const struct http_exchange *exchange,
			  const char *text);

int http_exchange_method_is(const struct http_exchange *exchange,
			    const char *method);

/* Value of a header of one to nine digits, or else fallback. */
uint32_t http_exchange_header_number(const struct http_exchange *exchange,
				     const char *name, uint32_t fallback);

/*
 * Returns 1 if the caller has closed the connection already. After a stall of
 * the process a request can be read together with the close that follows it.
 */
int http_exchange_caller_left(const struct http_exchange *exchange);

/*
 * Set a callback for when the caller disconnects before the reply; closed is
 * called at most once, and the exchange is invalid afterwards.
 */
void http_exchange_on_close(struct http_exchange *exchange,
			    void (*closed)(void *data), void *data);

/* Send the reply, copying all data; the exchange is invalid afterwards. */
void http_exchange_reply(struct http_exchange *exchange, int status,
			 const struct http_header *headers, size_t count,
			 const void *body, size_t size);

/* Reply with a NUL-terminated text of the given content type. */
void http_exchange_reply_text(struct http_exchange *exchange, int status,
			      const char *type, const char *text);

/* Close the connection after the reply, which gets "connection: close". */
void http_exchange_close_after_reply(struct http_exchange *exchange);

/* Close the connection without a complete reply, like a crashed server. */
void http_exchange_abort(struct http_exchange *exchange);

#endif
