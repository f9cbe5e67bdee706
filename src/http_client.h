/*
 * HTTP/1.1 client: a pool of connections to one address. Answers are read
 * completely before they are reported.
 *
 * A connection carries one request at a time. It is reused only if the answer
 * was complete and no further bytes followed it; an idle connection is closed
 * when data or the end of the stream arrives. An answer that breaks the protocol
 * is no answer: the call fails, the connection is closed and an "answer_broken"
 * line of the log gives the reason. Whatever a server sends, a call ends by its
 * timeout, and the memory for answers is bounded: ANSWER_HEAD_MAX_BYTES for the
 * head of one, HTTP_MAX_BODY_BYTES for its body, and four times that for the
 * answers of all calls of a pool.
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
	uint32_t timeout_ms; /* once connected, which may take 1 s more */
	/*
	 * If set, the answer must carry the header echo_name with the value
	 * echo. An answer with another value belongs to another request and is
	 * skipped. An answer without the header is accepted only on a new
	 * connection, which is then closed.
	 */
	const char *echo_name;
	const char *echo;
	/* Don't reuse connections that were idle for longer; 0: no limit. */
	uint32_t idle_max_ms;
	/*
	 * Asked, with the data of done, before the request is sent on a connection
	 * that took long to open, when the loop has read its input. 0: the call
	 * ends with FESCUE_ECANCELED and is not sent. NULL: it is sent.
	 */
	int (*may_send)(void *data);
};

struct http_result {
	int error; /* 0, or the error code if there is no complete answer */
	const char *reason; /* why the bytes received are none, or NULL */
	int sent; /* the peer may have received the request */
	int reused; /* the connection had carried an earlier request */
	int answered; /* at least one byte was received after the request */
	int status;
	const struct http_header *headers;
	size_t header_count;
	const char *body;
	size_t body_size;
};

/* Create a pool that keeps up to idle_max unused connections open. */
struct http_pool *http_pool_create(uv_loop_t *loop, struct address address,
				   size_t idle_max);

/* Change idle_max; idle connections in excess of it are closed. */
void http_pool_set_idle_max(struct http_pool *pool, size_t idle_max);

/* Close the idle connections, so that later calls open new ones. */
void http_pool_close_idle(struct http_pool *pool);

/*
 * Close the idle connections, and free the pool once its last call has ended.
 * No new calls may be sent. NULL is ignored.
 */
void http_pool_release(struct http_pool *pool);

/* Connections opened so far. */
uint64_t http_pool_opened_count(const struct http_pool *pool);

/* Bytes of answers in memory, heads included. */
size_t http_pool_answer_bytes(const struct http_pool *pool);

/*
 * Send a request; everything in it is copied. done is called once from the
 * loop, never from within this function, and not at all if the call is
 * canceled. The result is valid during the callback.
 */
struct http_call *
http_pool_send(struct http_pool *pool, const struct http_request *request,
	       void (*done)(void *data, const struct http_result *result),
	       void *data);

/* Cancel a call: close its connection without calling done. */
void http_call_cancel(struct http_call *call);

/* Whether the peer may have received the request of a call. */
int http_call_is_sent(const struct http_call *call);

/* Find a header of a result by lower-case name, or NULL. */
const char *http_result_header(const struct http_result *result,
			       const char *name);

#endif
