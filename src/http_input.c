/*
 * Reading of requests within the memory budget.
 *
 * h2o collects a whole request in the input buffer of its socket, which it
 * doubles before it reads. So the socket is read here: a buffer grows only if
 * the budget has room, and a connection without room is not read until there
 * is.
 */
#include "http_server_state.h"

#include <sys/socket.h>

/* The least room that h2o's own reading asks for. */
#define READ_BYTES_MIN 4096
/* Buffers up to this size, which every connection has, are not counted. */
#define COUNTED_BYTES_MIN 8192
/*
 * A request waits for so long, in all, until the largest connection is closed
 * for it. Requests that are served, and bodies that arrive, release their memory
 * meanwhile.
 */
#define ROOM_WAIT_MS 1000
/* Between two connections for which room is made. */
#define ROOM_INTERVAL_MS 10
/* A request that has waited for so long is closed itself. */
#define ROOM_WAIT_MAX_MS 10000

static void on_room_timer(uv_timer_t *timer);

/* Capacity of a buffer with room for the next read, as h2o extends it. */
static size_t next_capacity(const h2o_buffer_t *input)
{
	size_t capacity = input->capacity;

	if (!input->bytes)
		return MAX(capacity, READ_BYTES_MIN);
	if (READ_BYTES_MIN <= capacity - input->size -
				      (size_t)(input->bytes - input->_buf) ||
	    (input->size + READ_BYTES_MIN) * 2 <= capacity)
		return capacity;
	do
		capacity *= 2;
	while (capacity - input->size < READ_BYTES_MIN);
	return capacity;
}

static struct connection *connection_of(const struct http_server *server,
					struct memory_handle handle)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct connection *)value)->memory.index == handle.index)
			return value;
	return NULL;
}

static void close_for_memory(struct http_server *server,
			     struct memory_handle victim)
{
	struct connection *connection = connection_of(server, victim);

	memory_budget_set(server->memory, victim, MEMORY_RECEIVING, 0, 0);
	if (!connection)
		return;
	server->memory_closed++;
	http_connection_reset(connection);
}

void http_server_enforce_memory(struct http_server *server)
{
	struct memory_handle victim;

	while (memory_budget_find_victim(server->memory, &victim))
		close_for_memory(server, victim);
}

static int has_room(const struct connection *connection, size_t bytes)
{
	const struct memory_budget *memory = connection->server->memory;

	return bytes <= COUNTED_BYTES_MIN ||
	       bytes <= memory_budget_bytes(memory, connection->memory) ||
	       memory_budget_may_receive(memory, connection->memory, bytes);
}

/* A small request does not wait for larger ones. */
static int make_room_for_small(struct connection *connection, size_t bytes)
{
	struct http_server *server = connection->server;
	struct memory_handle victim;

	while (!has_room(connection, bytes)) {
		if (bytes > MEMORY_SMALL_BYTES ||
		    !memory_budget_find_other(server->memory,
					      connection->memory, bytes + 1,
					      &victim))
			return 0;
		close_for_memory(server, victim);
	}
	return 1;
}

int http_server_make_room(struct connection *connection, size_t bytes)
{
	struct http_server *server = connection->server;
	size_t held = memory_budget_bytes(server->memory, connection->memory);
	struct memory_handle victim;

	while (!memory_budget_fits(server->memory, connection->memory, bytes)) {
		if (!memory_budget_find_other(
			    server->memory, connection->memory,
			    MIN(held, MEMORY_SMALL_BYTES + 1), &victim))
			return 0;
		close_for_memory(server, victim);
	}
	return 1;
}

static void claim(struct connection *connection, size_t bytes)
{
	const struct memory_budget *memory = connection->server->memory;

	if (bytes > COUNTED_BYTES_MIN &&
	    bytes > memory_budget_bytes(memory, connection->memory))
		http_server_set_memory_use(connection, MEMORY_RECEIVING, bytes);
}

/* Without room, libuv gets no buffer and reports UV_ENOBUFS. */
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct connection *connection = (struct connection *)handle;
	size_t bytes = next_capacity(connection->sock->input);
	h2o_iovec_t space;

	(void)suggested;
	*buf = uv_buf_init(NULL, 0);
	if (!make_room_for_small(connection, bytes))
		return;
	claim(connection, bytes);
	space = h2o_buffer_reserve(&connection->sock->input, READ_BYTES_MIN);
	*buf = uv_buf_init(space.base, (unsigned int)space.len);
}

static void stop_waiting(struct connection *connection)
{
	if (!connection->is_waiting)
		return;
	connection->is_waiting = 0;
	connection->waited_ms +=
		uv_now(connection->tcp.loop) - connection->waiting_since_ms;
	g_queue_unlink(&connection->server->waiting, &connection->waiting_link);
}

static void wait_for_room(struct connection *connection)
{
	struct http_server *server = connection->server;

	uv_read_stop((uv_stream_t *)&connection->tcp);
	connection->is_waiting = 1;
	connection->waiting_since_ms = uv_now(connection->tcp.loop);
	connection->waiting_link.data = connection;
	g_queue_push_tail_link(&server->waiting, &connection->waiting_link);
	server->waiting_used_bytes = MAX(server->waiting_used_bytes,
					 memory_budget_used(server->memory));
	if (!uv_is_active((uv_handle_t *)&server->room_timer))
		uv_timer_start(&server->room_timer, on_room_timer,
			       ROOM_INTERVAL_MS, ROOM_INTERVAL_MS);
}

static int is_closing(const struct connection *connection)
{
	return uv_is_closing((const uv_handle_t *)&connection->tcp);
}

static void set_untaken(struct connection *connection, int is_untaken)
{
	GQueue *untaken = &connection->server->untaken;

	if (connection->is_untaken == is_untaken)
		return;
	connection->is_untaken = is_untaken;
	connection->untaken_link.data = connection;
	if (is_untaken)
		g_queue_push_tail_link(untaken, &connection->untaken_link);
	else
		g_queue_unlink(untaken, &connection->untaken_link);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct connection *connection = (struct connection *)stream;
	h2o_socket_t *sock = connection->sock;

	(void)buf;
	if (!size)
		return;
	if (size == UV_ENOBUFS) {
		wait_for_room(connection);
		return;
	}
	sock->bytes_read = size > 0 ? (size_t)size : 0;
	if (size < 0) {
		sock->_cb.read(sock, h2o_socket_error_closed);
		return;
	}
	connection->received_ms = uv_now(stream->loop);
	sock->input->size += (size_t)size;
	sock->_cb.read(sock, NULL);
	/* After "100 Continue" h2o goes on to read by itself. */
	if (!is_closing(connection) && !connection->has_exchange &&
	    !h2o_socket_is_reading(sock))
		set_untaken(connection, 1);
}

static void read_here(struct connection *connection)
{
	uv_stream_t *stream = (uv_stream_t *)&connection->tcp;

	uv_read_stop(stream);
	uv_read_start(stream, on_alloc, on_read);
}

static void resume(struct connection *connection)
{
	stop_waiting(connection);
	connection->received_ms = uv_now(connection->tcp.loop);
	claim(connection, next_capacity(connection->sock->input));
	read_here(connection);
}

static void on_iteration_end(uv_check_t *check)
{
	struct http_server *server = check->data;
	GList *next;

	if (!server->waiting.head ||
	    memory_budget_used(server->memory) >= server->waiting_used_bytes)
		return;
	for (GList *link = server->waiting.head; link; link = next) {
		struct connection *connection = link->data;

		next = link->next;
		if (is_closing(connection))
			stop_waiting(connection);
		else if (has_room(connection,
				  next_capacity(connection->sock->input)))
			resume(connection);
	}
	server->waiting_used_bytes = memory_budget_used(server->memory);
}

static uint64_t waited_ms(const struct connection *connection)
{
	return connection->waited_ms + uv_now(connection->tcp.loop) -
	       connection->waiting_since_ms;
}

/*
 * Closes the largest connections until the waiting one has room. It goes on
 * waiting, for requests that are served, if it is larger than the others.
 */
static void make_room(struct connection *connection)
{
	struct http_server *server = connection->server;
	size_t held = memory_budget_bytes(server->memory, connection->memory);
	size_t bytes = next_capacity(connection->sock->input);
	struct memory_handle victim;

	while (!has_room(connection, bytes) &&
	       memory_budget_find_other(server->memory, connection->memory,
					held, &victim))
		close_for_memory(server, victim);
	if (has_room(connection, bytes))
		resume(connection);
}

/*
 * Makes room for the smallest request that has waited for long enough, so that
 * it need not wait until all of a crowd had room.
 */
static void on_room_timer(uv_timer_t *timer)
{
	struct http_server *server = timer->data;
	struct connection *smallest = NULL;
	size_t smallest_bytes = 0, bytes;
	GList *next;

	for (GList *link = server->waiting.head; link; link = next) {
		struct connection *connection = link->data;

		next = link->next;
		if (is_closing(connection)) {
			stop_waiting(connection);
			continue;
		}
		if (waited_ms(connection) < ROOM_WAIT_MS)
			continue;
		if (waited_ms(connection) >= ROOM_WAIT_MAX_MS) {
			close_for_memory(server, connection->memory);
			continue;
		}
		bytes = next_capacity(connection->sock->input);
		if (smallest && bytes >= smallest_bytes)
			continue;
		smallest = connection;
		smallest_bytes = bytes;
	}
	if (smallest)
		make_room(smallest);
	if (!server->waiting.head)
		uv_timer_stop(timer);
}

/* No socket is polled between h2o's start of reading and this. */
static void on_before_poll(uv_prepare_t *prepare)
{
	struct http_server *server = prepare->data;
	GList *next;

	for (GList *link = server->untaken.head; link; link = next) {
		struct connection *connection = link->data;

		next = link->next;
		if (is_closing(connection) || connection->has_exchange) {
			set_untaken(connection, 0);
		} else if (h2o_socket_is_reading(connection->sock)) {
			set_untaken(connection, 0);
			read_here(connection);
		}
	}
}

void http_input_init(struct http_server *server, uv_loop_t *loop)
{
	g_queue_init(&server->untaken);
	g_queue_init(&server->waiting);
	uv_prepare_init(loop, &server->before_poll);
	server->before_poll.data = server;
	uv_prepare_start(&server->before_poll, on_before_poll);
	uv_unref((uv_handle_t *)&server->before_poll);
	uv_check_init(loop, &server->iteration_end);
	server->iteration_end.data = server;
	uv_check_start(&server->iteration_end, on_iteration_end);
	uv_unref((uv_handle_t *)&server->iteration_end);
	uv_timer_init(loop, &server->room_timer);
	server->room_timer.data = server;
	uv_unref((uv_handle_t *)&server->room_timer);
}

void http_input_start(struct connection *connection)
{
	connection->expected_ms = uv_now(connection->tcp.loop);
	read_here(connection);
}

void http_input_expect(struct connection *connection)
{
	connection->expected_ms = uv_now(connection->tcp.loop);
	connection->received_ms = connection->expected_ms;
	connection->waited_ms = 0;
	set_untaken(connection, 1);
}

void http_input_end(struct connection *connection)
{
	stop_waiting(connection);
	set_untaken(connection, 0);
}
