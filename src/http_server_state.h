/*
 * Internal state of the HTTP server, shared by http_server.c, http_input.c,
 * http_stall.c and http_exchange.c.
 */
#ifndef FESCUE_HTTP_SERVER_STATE_H
#define FESCUE_HTTP_SERVER_STATE_H

#include "fescue/memory_budget.h"
#include "http_server.h"

#include <glib.h>
#include <h2o.h>

struct http_server {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	size_t connection_count; /* not yet closed */
	size_t connections_max; /* 0: no limit */
	enum http_overflow overflow;
	/* struct connection without a request, the longest idle at the head */
	GQueue idle;
	GHashTable *connections; /* h2o_socket_t -> struct connection */
	struct memory_budget *memory;
	uint64_t memory_closed; /* connections and requests */
	/* struct connection whose input h2o may read by itself */
	GQueue untaken;
	uv_prepare_t before_poll; /* takes over reading from h2o */
	/* struct connection that waits for room, the longest at the head */
	GQueue waiting;
	size_t waiting_used_bytes; /* of the budget, when the last began */
	uv_check_t iteration_end; /* resumes reading */
	uv_timer_t room_timer; /* makes room; active while any waits */
	uv_timer_t stall_timer;
	uint64_t stall_checked_ms;
	/* Time without progress after which a connection is closed. */
	uint32_t body_stall_ms; /* 0: quiet_ms */
	uint32_t answer_stall_ms; /* 0: no limit */
	uint32_t quiet_ms; /* the longer of the limits for headers and idling */
	uint64_t stalled_closed; /* connections */
	size_t header_bytes_max; /* of a request; 0: no limit */
	size_t body_bytes_limit; /* of struct http_server_limits; 0: default */
	size_t memory_bytes;
	void (*handle)(void *data, struct http_exchange *exchange);
	void *data;
};

struct connection {
	uv_tcp_t tcp; /* first member: cast back in on_socket_closed() */
	struct http_server *server;
	h2o_socket_t *sock;
	/*
	 * Waits for its reply, while the socket is read to detect disconnects;
	 * or NULL. In HTTP/1 a connection has one exchange at a time.
	 */
	struct http_exchange *watched;
	GList idle_link; /* in the server's idle queue */
	int is_idle;
	int has_exchange;
	GList untaken_link; /* in the server's queue */
	int is_untaken;
	GList waiting_link; /* in the server's queue */
	int is_waiting;
	uint64_t waiting_since_ms;
	uint64_t waited_ms; /* before, for the same request */
	uint64_t expected_ms; /* since when the next request is awaited */
	uint64_t received_ms; /* when input was last read or could not be */
	int has_answer; /* which is not yet written */
	size_t answer_left; /* bytes of it that the caller has not received */
	uint64_t answer_ms; /* when answer_left last changed */
	struct memory_handle memory;
};

struct http_exchange {
	struct connection *connection;
	h2o_req_t *req;
	void (*closed)(void *data);
	void *data;
};

void http_server_set_memory_use(struct connection *connection,
				enum memory_use use, size_t bytes);

/* Close the connection and free its buffers. */
void http_connection_close(struct connection *connection);

/*
 * Close the connection and drop what its peer has sent and what it has not
 * received, as a stream that is merely shut down is read to its end.
 */
void http_connection_reset(struct connection *connection);

/* Close connections until the rest is within the memory budget. */
void http_server_enforce_memory(struct http_server *server);

/*
 * Returns 1 if there is room for the copies of the connection's complete
 * request. Requests that are not complete and answers that are not read are
 * closed for it, if they are as large or not small.
 */
int http_server_make_room(struct connection *connection, size_t bytes);

void http_input_init(struct http_server *server, uv_loop_t *loop);

/* Read the input of a connection that h2o has accepted. */
void http_input_start(struct connection *connection);

/* h2o will read the next request of the connection. */
void http_input_expect(struct connection *connection);

/* The connection is closed. */
void http_input_end(struct connection *connection);

void http_stall_init(struct http_server *server, uv_loop_t *loop);

/* A reply of the connection has been passed to h2o. */
void http_stall_start_answer(struct connection *connection);

#endif
