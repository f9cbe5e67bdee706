/*
 * HTTP/1.1 client: pooled connections to one address, answers taken whole.
 *
 * A connection carries one request at a time. It is kept for the next one
 * only when the answer was complete and nothing followed it; an idle
 * connection on which bytes or an end arrive is closed. Whatever a server
 * sends, a call ends in its time, and what is held of answers is bounded: 80 KB
 * of a head, HTTP_MAX_BODY_BYTES of a body, four times that of all at once.
 */
#ifndef FESCUE_HTTP_CLIENT_H
#define FESCUE_HTTP_CLIENT_H

#include "fescue/address.h"
#include "http_server.h"

struct http_pool;
struct http_call;

struct http_request {
	const char *method;
	const char *path;
	const char *host; /* NULL: the pool's address */
	const struct http_header *headers;
	size_t header_count;
	const void *body;
	size_t body_size;
	uint32_t timeout_ms;
	/*
	 * If set, the answer must carry echo_name with the value echo. One with
	 * another value belongs to another request and is skipped. One without
	 * it is taken on a new connection only, which is not used again.
	 */
	const char *echo_name;
	const char *echo;
	/* An idle connection older than this is not used; 0: any is. */
	uint32_t idle_max_ms;
};

struct http_result {
	int error; /* 0, or why there is no whole answer */
	int sent; /* the peer may have seen the request */
	int reused; /* it went out on a connection used before */
	int answered; /* at least one byte of an answer came */
	int status;
	const struct http_header *headers;
	size_t header_count;
	const char *body;
	size_t body_size;
};

/* idle_max connections are kept open while unused. */
struct http_pool *http_pool_create(uv_loop_t *loop, struct address address,
				   size_t idle_max);

/* Change how many; those that are too many are closed. */
void http_pool_set_idle_max(struct http_pool *pool, size_t idle_max);

/* No new calls follow; it is freed when its last call has ended. */
void http_pool_release(struct http_pool *pool);

/* Connections opened so far. */
uint64_t http_pool_opened(const struct http_pool *pool);

/* Bytes held of bodies that come in. */
size_t http_pool_body_bytes(const struct http_pool *pool);

/*
 * Send a request; everything in it is copied. done is called once from the
 * loop, never from within this function, unless the call is canceled; the
 * result is valid during the callback.
 */
struct http_call *
http_pool_send(struct http_pool *pool, const struct http_request *request,
	       void (*done)(void *data, const struct http_result *result),
	       void *data);

/* Give up a call; done is not called any more. Its connection is closed. */
void http_call_cancel(struct http_call *call);

/* Find a header of a result by lower-case name, or NULL. */
const char *http_result_header(const struct http_result *result,
			       const char *name);

#endif
