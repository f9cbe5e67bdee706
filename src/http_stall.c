/*
 * Time limits of connections: for an idle one, for a head, for a body without
 * progress and for an answer that is not read.
 *
 * h2o has a single time limit for a whole request, which cuts long bodies that
 * arrive slowly, and none for answers.
 */
#include "http_server_state.h"

#include <string.h>
#include <sys/ioctl.h>

#define STALL_CHECK_MS 1000
/* Checks that are further apart show that the process was stalled. */
#define CHECK_INTERVAL_MAX_MS 2000

static const char head_end[] = "\r\n\r\n";

static int is_in_body(const struct connection *connection)
{
	const h2o_buffer_t *input = connection->sock->input;

	return input && input->size &&
	       memmem(input->bytes, input->size, head_end,
		      sizeof(head_end) - 1);
}

/* A connection that waits for room has a time limit of its own. */
static int awaits_input(const struct connection *connection)
{
	return !connection->has_exchange && !connection->is_waiting;
}

/* Idle, or in a head. */
static int request_is_late(const struct connection *connection, uint64_t now_ms)
{
	return awaits_input(connection) &&
	       now_ms - connection->expected_ms >=
		       connection->server->quiet_ms &&
	       !is_in_body(connection);
}

static int body_has_stalled(const struct connection *connection,
			    uint64_t now_ms)
{
	const struct http_server *server = connection->server;
	uint32_t limit_ms = server->body_stall_ms ? server->body_stall_ms :
						    server->quiet_ms;

	return awaits_input(connection) &&
	       now_ms - connection->received_ms >= limit_ms &&
	       is_in_body(connection);
}

/* Bytes in the queue of libuv and in the socket's send buffer. */
static size_t bytes_left(const struct connection *connection)
{
	const uv_stream_t *stream = (const uv_stream_t *)&connection->tcp;
	int in_socket = 0;

	if (ioctl(h2o_socket_get_fd(connection->sock), TIOCOUTQ, &in_socket))
		in_socket = 0;
	return uv_stream_get_write_queue_size(stream) + (size_t)in_socket;
}

static int answer_has_stalled(struct connection *connection, uint64_t now_ms)
{
	uint32_t limit_ms = connection->server->answer_stall_ms;
	size_t left;

	if (!connection->has_answer || !limit_ms)
		return 0;
	left = bytes_left(connection);
	if (left != connection->answer_left) {
		connection->answer_left = left;
		connection->answer_ms = now_ms;
	}
	return now_ms - connection->answer_ms >= limit_ms;
}

static void on_stall_timer(uv_timer_t *timer)
{
	struct http_server *server = timer->data;
	uint64_t now_ms = uv_now(timer->loop);
	int was_stalled = now_ms - server->stall_checked_ms >
			  CHECK_INTERVAL_MAX_MS;
	GHashTableIter iter;
	gpointer value;

	server->stall_checked_ms = now_ms;
	/* What arrived while the process was stalled is not yet read. */
	if (was_stalled)
		return;
	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct connection *connection = value;

		if (uv_is_closing((uv_handle_t *)&connection->tcp))
			continue;
		if (body_has_stalled(connection, now_ms) ||
		    answer_has_stalled(connection, now_ms)) {
			server->stalled_closed++;
			http_connection_reset(connection);
		} else if (request_is_late(connection, now_ms)) {
			http_connection_close(connection);
		}
	}
}

void http_stall_init(struct http_server *server, uv_loop_t *loop)
{
	uv_timer_init(loop, &server->stall_timer);
	server->stall_timer.data = server;
	server->stall_checked_ms = uv_now(loop);
	uv_timer_start(&server->stall_timer, on_stall_timer, STALL_CHECK_MS,
		       STALL_CHECK_MS);
	uv_unref((uv_handle_t *)&server->stall_timer);
}

void http_stall_start_answer(struct connection *connection)
{
	connection->has_answer = 1;
	connection->answer_left = bytes_left(connection);
	connection->answer_ms = uv_now(connection->tcp.loop);
}

void http_server_set_stall_limits(struct http_server *server, uint32_t body_ms,
				  uint32_t answer_ms)
{
	server->body_stall_ms = body_ms;
	server->answer_stall_ms = answer_ms;
}

uint64_t http_server_stalled_closed(const struct http_server *server)
{
	return server->stalled_closed;
}
