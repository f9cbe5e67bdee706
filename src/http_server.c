#include "http_server_state.h"

#include "fescue/error.h"

#include <h2o/http1.h>
#include <string.h>
#include <unistd.h>

#define LISTEN_BACKLOG 512
#define HTTP_IDLE_TIMEOUT_MS 60000
/* Not met: http_stall.c has limits for the parts of a request. */
#define H2O_REQUEST_TIMEOUT_MS 86400000
/* Bodies and answers up to this size are not counted. */
#define COUNTED_BYTES_MIN 8192
/*
 * Fixed, as the kernel otherwise lets the buffer of a connection whose input is
 * not read grow to megabytes, which count as the machine's memory.
 */
#define RECEIVE_BUFFER_BYTES 65536
/* A body is in the buffer, in the copy for retries and in a packet. */
#define BODY_COPIES 3

struct handler {
	h2o_handler_t super;
	struct http_server *server;
};

static void notify_closed(struct http_exchange *exchange)
{
	void (*closed)(void *data) = exchange->closed;

	exchange->closed = NULL;
	if (closed)
		closed(exchange->data);
}

static void set_idle(struct connection *connection, int is_idle)
{
	GQueue *idle = &connection->server->idle;

	if (connection->is_idle)
		g_queue_unlink(idle, &connection->idle_link);
	connection->is_idle = is_idle;
	connection->idle_link.data = connection;
	if (is_idle)
		g_queue_push_tail_link(idle, &connection->idle_link);
}

void http_server_set_memory_use(struct connection *connection,
				enum memory_use use, size_t bytes)
{
	memory_budget_set(connection->server->memory, connection->memory, use,
			  bytes, uv_now(connection->tcp.loop));
}

/* Called when h2o frees the request, after the reply or a disconnect. */
static void exchange_dispose(void *p)
{
	struct http_exchange *exchange = *(struct http_exchange **)p;

	struct connection *connection = exchange->connection;

	http_server_set_memory_use(connection, MEMORY_RECEIVING, 0);
	set_idle(connection, 1);
	connection->watched = NULL;
	connection->has_exchange = 0;
	connection->has_answer = 0;
	http_input_expect(connection);
	notify_closed(exchange);
	g_free(exchange);
}

static void stop_watching(struct http_exchange *exchange)
{
	struct connection *connection = exchange->connection;

	exchange->closed = NULL;
	if (!connection->watched)
		return;
	connection->watched = NULL;
	h2o_socket_read_stop(connection->sock);
}

static struct connection *find_connection(const h2o_conn_t *conn,
					  const h2o_socket_t *sock)
{
	struct http_server *server =
		H2O_STRUCT_FROM_MEMBER(struct http_server, context, conn->ctx);

	return g_hash_table_lookup(server->connections, sock);
}

/* Input while pending is a pipelined request; an error is a disconnect. */
static void on_read_while_pending(h2o_socket_t *sock, const char *error)
{
	struct http_exchange *exchange =
		find_connection(sock->data, sock)->watched;

	if (!error || !exchange) {
		h2o_socket_read_stop(sock);
		return;
	}
	notify_closed(exchange);
	/*
	 * A caller that has closed only its side can read an answer. None is
	 * sent: the request may run, or may not.
	 */
	http_exchange_abort(exchange);
}

static void start_watching(struct http_exchange *exchange)
{
	struct connection *connection = exchange->connection;

	connection->watched = exchange;
	h2o_socket_read_start(connection->sock, on_read_while_pending);
}

/* Bytes of method, path, host and headers, with ": " and CRLF per header. */
static size_t header_bytes(const h2o_req_t *req)
{
	size_t size = req->method.len + req->path.len + req->authority.len;

	for (size_t i = 0; i < req->headers.size; i++)
		size += req->headers.entries[i].name->len +
			req->headers.entries[i].value.len + 4;
	return size;
}

/* Refuses a request whose body does not fit; it has not been passed on. */
static int reserve_body(struct connection *connection, h2o_req_t *req)
{
	struct http_server *server = connection->server;
	size_t bytes = req->entity.len * BODY_COPIES;

	if (req->entity.len <= COUNTED_BYTES_MIN)
		bytes = 0;
	if (bytes && !http_server_make_room(connection, bytes)) {
		server->memory_closed++;
		h2o_send_error_503(req, "Service Unavailable",
				   "not-run: too many bodies at once\n",
				   H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
		return FESCUE_EUNAVAILABLE;
	}
	http_server_set_memory_use(connection, MEMORY_PENDING, bytes);
	return FESCUE_OK;
}

static int on_request(h2o_handler_t *super, h2o_req_t *req)
{
	struct http_server *server = ((struct handler *)super)->server;
	struct connection *connection = find_connection(
		req->conn, req->conn->callbacks->get_socket(req->conn));
	struct http_exchange *exchange;
	struct http_exchange **pool_entry;

	if (server->header_bytes_max &&
	    header_bytes(req) > server->header_bytes_max) {
		h2o_send_error_generic(req, 431, "Header too large",
				       "send fewer or shorter headers\n",
				       H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
		return 0;
	}
	if (reserve_body(connection, req))
		return 0;
	exchange = g_new0(struct http_exchange, 1);
	pool_entry = h2o_mem_alloc_shared(&req->pool, sizeof(*pool_entry),
					  exchange_dispose);
	*pool_entry = exchange;
	exchange->req = req;
	exchange->connection = connection;
	connection->has_exchange = 1;
	set_idle(connection, 0);
	server->handle(server->data, exchange);
	return 0;
}

static void on_socket_closed(uv_handle_t *handle)
{
	struct connection *connection = (struct connection *)handle;

	set_idle(connection, 0);
	http_input_end(connection);
	if (connection->sock)
		g_hash_table_remove(connection->server->connections,
				    connection->sock);
	memory_budget_remove(connection->server->memory, connection->memory);
	connection->server->connection_count--;
	g_free(connection);
}

/*
 * Closes the connection that has been without a request for the longest time,
 * as its peer will hardly use it again. Returns 0 if there is none. h2o closes
 * the socket when it reads the end of the stream.
 */
static int close_longest_idle(struct http_server *server)
{
	struct connection *connection = g_queue_peek_head(&server->idle);

	if (!connection)
		return 0;
	set_idle(connection, 0);
	shutdown(h2o_socket_get_fd(connection->sock), SHUT_RDWR);
	return 1;
}

void http_connection_close(struct connection *connection)
{
	h2o_socket_t *sock = connection->sock;

	set_idle(connection, 0);
	http_input_end(connection);
	/* h2o closes the socket when reading or writing fails. */
	if (!connection->has_exchange && h2o_socket_is_reading(sock))
		sock->_cb.read(sock, h2o_socket_error_closed);
	else
		shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

void http_connection_reset(struct connection *connection)
{
	struct linger reset = { 1, 0 };

	if (uv_is_closing((uv_handle_t *)&connection->tcp))
		return;
	setsockopt(h2o_socket_get_fd(connection->sock), SOL_SOCKET, SO_LINGER,
		   &reset, sizeof(reset));
	http_connection_close(connection);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct http_server *server = listener->data;
	struct connection *connection;
	uv_tcp_t *tcp;

	if (status)
		return;
	connection = g_new0(struct connection, 1);
	connection->server = server;
	connection->memory = memory_budget_add(server->memory);
	server->connection_count++;
	tcp = &connection->tcp;
	uv_tcp_init(listener->loop, tcp);
	if (uv_accept(listener, (uv_stream_t *)tcp) ||
	    (server->connections_max &&
	     server->connection_count > server->connections_max &&
	     (server->overflow == HTTP_CLOSE_NEW ||
	      !close_longest_idle(server)))) {
		uv_close((uv_handle_t *)tcp, on_socket_closed);
		return;
	}
	uv_tcp_nodelay(tcp, 1);
	connection->sock =
		h2o_uv_socket_create((uv_stream_t *)tcp, on_socket_closed);
	g_hash_table_insert(server->connections, connection->sock, connection);
	set_idle(connection, 1);
	h2o_accept(&server->accept, connection->sock);
	http_input_start(connection);
}

static void configure_h2o(struct http_server *server, uv_loop_t *loop)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;

	h2o_config_init(&server->config);
	server->config.max_request_entity_size = HTTP_MAX_BODY_BYTES;
	/* From 32 MiB on h2o would keep the input in files below /tmp. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	server->config.http1.upgrade_to_http2 = 0;
	server->config.http1.req_timeout = H2O_REQUEST_TIMEOUT_MS;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("fescue"));
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	h2o_context_init(&server->context, loop, &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
}

int http_server_create(uv_loop_t *loop, struct address address,
		       void (*handle)(void *data,
				      struct http_exchange *exchange),
		       void *data, struct http_server **out)
{
	struct http_server *server = g_new0(struct http_server, 1);
	struct sockaddr_in in = address_to_sockaddr(address);
	int receive_buffer_bytes = RECEIVE_BUFFER_BYTES;

	server->handle = handle;
	server->data = data;
	server->quiet_ms = HTTP_IDLE_TIMEOUT_MS;
	g_queue_init(&server->idle);
	server->connections = g_hash_table_new(NULL, NULL);
	server->memory = memory_budget_create(HTTP_MEMORY_DEFAULT_BYTES);
	server->memory_bytes = HTTP_MEMORY_DEFAULT_BYTES;
	configure_h2o(server, loop);
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	http_input_init(server, loop);
	http_stall_init(server, loop);
	*out = server;
	if (uv_tcp_bind(&server->listener, (struct sockaddr *)&in, 0) ||
	    uv_recv_buffer_size((uv_handle_t *)&server->listener,
				&receive_buffer_bytes) ||
	    uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
		      on_connection))
		return FESCUE_EIO;
	return FESCUE_OK;
}

void http_server_set_connections_max(struct http_server *server,
				     size_t connections,
				     enum http_overflow overflow)
{
	server->connections_max = connections;
	server->overflow = overflow;
}

/* A complete body takes memory for its copies as well. */
static void update_body_max(struct http_server *server)
{
	size_t bytes =
		MAX(server->memory_bytes / BODY_COPIES, HTTP_MAX_BODY_BYTES);

	server->config.max_request_entity_size =
		server->body_bytes_limit ?
			MIN(server->body_bytes_limit, bytes) :
			HTTP_MAX_BODY_BYTES;
}

size_t http_server_body_max(const struct http_server *server)
{
	return server->config.max_request_entity_size;
}

void http_server_set_memory(struct http_server *server, size_t bytes)
{
	server->memory_bytes = bytes;
	memory_budget_set_limit(server->memory, bytes);
	update_body_max(server);
}

uint64_t http_server_memory_closed(const struct http_server *server)
{
	return server->memory_closed;
}

/*
 * The time for the headers of a request and the idle time before it are not
 * told apart; the longer limit closes no connection that meets both.
 */
void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits)
{
	uint32_t ms = MAX(limits->header_ms, limits->idle_ms);

	server->header_bytes_max = limits->header_bytes;
	server->body_bytes_limit = limits->body_bytes;
	update_body_max(server);
	server->quiet_ms = ms ? ms : HTTP_IDLE_TIMEOUT_MS;
}

void http_server_stop(struct http_server *server)
{
	if (!uv_is_closing((uv_handle_t *)&server->listener))
		uv_close((uv_handle_t *)&server->listener, NULL);
}

void http_exchange_on_close(struct http_exchange *exchange,
			    void (*closed)(void *data), void *data)
{
	exchange->closed = closed;
	exchange->data = data;
	start_watching(exchange);
}

static void add_header(h2o_req_t *req, const struct http_header *header)
{
	h2o_iovec_t name = h2o_strdup(&req->pool, header->name, SIZE_MAX);
	h2o_iovec_t value = h2o_strdup(&req->pool, header->value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
			      name.len, 1, NULL, value.base, value.len);
}

void http_exchange_reply(struct http_exchange *exchange, int status,
			 const struct http_header *headers, size_t count,
			 const void *body, size_t size)
{
	h2o_req_t *req = exchange->req;
	struct connection *connection = exchange->connection;

	stop_watching(exchange);
	http_server_set_memory_use(connection, MEMORY_ANSWER,
				   size > COUNTED_BYTES_MIN ? size : 0);
	http_server_enforce_memory(connection->server);
	req->res.status = status;
	req->res.reason = "Answer";
	req->res.content_length = size;
	for (size_t i = 0; i < count; i++)
		add_header(req, &headers[i]);
	h2o_send_inline(req, size ? body : "", size);
	if (connection->has_exchange)
		http_stall_start_answer(connection);
}

void http_exchange_reply_text(struct http_exchange *exchange, int status,
			      const char *type, const char *text)
{
	struct http_header header = { "content-type", type };

	http_exchange_reply(exchange, status, &header, 1, text, strlen(text));
}

void http_exchange_close_after_reply(struct http_exchange *exchange)
{
	exchange->req->http1_is_persistent = 0;
}

void http_exchange_abort(struct http_exchange *exchange)
{
	h2o_req_t *req = exchange->req;
	h2o_socket_t *sock = exchange->connection->sock;
	static h2o_generator_t generator;

	stop_watching(exchange);
	req->http1_is_persistent = 0;
	req->res.status = 500;
	req->res.content_length = 1;
	shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
	h2o_start_response(req, &generator);
	h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
}
