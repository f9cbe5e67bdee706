#include "connect_probe.h"

#include <glib.h>

/*
 * A process that exits closes its sockets one by one, and may still accept a
 * connection meanwhile; that one is closed within this time.
 */
#define STAY_OPEN_MS 30

struct connect_probe {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	int open_handles;
	void (*done)(void *data, enum connect_probe_result result);
	void *data;
	char byte;
};

static void on_handle_closed(uv_handle_t *handle)
{
	struct connect_probe *probe = handle->data;

	if (!--probe->open_handles)
		g_free(probe);
}

static void finish(struct connect_probe *probe,
		   enum connect_probe_result result)
{
	void (*done)(void *data, enum connect_probe_result result) =
		probe->done;

	if (!done)
		return;
	probe->done = NULL;
	uv_close((uv_handle_t *)&probe->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&probe->timer, on_handle_closed);
	done(probe->data, result);
}

static void on_stayed_open(uv_timer_t *timer)
{
	finish(timer->data, CONNECT_PROBE_LISTENS);
}

static void on_timeout(uv_timer_t *timer)
{
	finish(timer->data, CONNECT_PROBE_INCONCLUSIVE);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct connect_probe *probe = handle->data;

	(void)suggested;
	*buf = uv_buf_init(&probe->byte, 1);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	(void)buf;
	if (n < 0)
		finish(stream->data, CONNECT_PROBE_REFUSED);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct connect_probe *probe = req->data;

	if (status == UV_ECANCELED || !probe->done)
		return;
	if (status) {
		finish(probe, CONNECT_PROBE_REFUSED);
		return;
	}
	uv_timer_start(&probe->timer, on_stayed_open, STAY_OPEN_MS, 0);
	uv_read_start((uv_stream_t *)&probe->tcp, on_alloc, on_read);
}

void connect_probe_start(
	uv_loop_t *loop, struct address address, uint32_t timeout_ms,
	void (*done)(void *data, enum connect_probe_result result), void *data)
{
	struct connect_probe *probe = g_new0(struct connect_probe, 1);
	struct sockaddr_in in = address_to_sockaddr(address);

	probe->done = done;
	probe->data = data;
	probe->open_handles = 2;
	uv_tcp_init(loop, &probe->tcp);
	uv_timer_init(loop, &probe->timer);
	probe->tcp.data = probe;
	probe->timer.data = probe;
	probe->connect.data = probe;
	uv_timer_start(&probe->timer, on_timeout, timeout_ms, 0);
	if (uv_tcp_connect(&probe->connect, &probe->tcp, (struct sockaddr *)&in,
			   on_connected))
		uv_timer_start(&probe->timer, on_timeout, 0, 0);
}
