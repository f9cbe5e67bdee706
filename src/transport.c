#include "transport_state.h"

#include "fescue/error.h"

#define LISTEN_BACKLOG 512
#define DATAGRAM_OVERHEAD_BYTES 28

struct datagram {
	uv_udp_send_t req;
	GByteArray *bytes;
};

static void on_datagram_sent(uv_udp_send_t *req, int status)
{
	struct datagram *datagram = req->data;

	(void)status;
	g_byte_array_unref(datagram->bytes);
	g_free(datagram);
}

static void send_by_datagram(struct transport *t, uint64_t to,
			     enum packet_purpose purpose,
			     const Fescue__Packet *packet)
{
	struct sockaddr_in in = address_to_sockaddr(address_from_key(to));
	struct datagram *datagram = g_new0(struct datagram, 1);
	uv_buf_t buf;

	datagram->bytes = encode_packet(packet, 0);
	datagram->req.data = datagram;
	buf = uv_buf_init((char *)datagram->bytes->data, datagram->bytes->len);
	t->counters->bytes_sent[purpose] +=
		datagram->bytes->len + DATAGRAM_OVERHEAD_BYTES;
	if (uv_udp_send(&datagram->req, &t->udp, &buf, 1,
			(struct sockaddr *)&in, on_datagram_sent))
		on_datagram_sent(&datagram->req, -1);
}

static void send_by_link(struct transport *t, uint64_t to,
			 enum packet_purpose purpose, Fescue__Packet *packet)
{
	struct link *link = g_hash_table_lookup(t->links_by_peer, &to);

	if (!link)
		link = link_open(t, to);
	if (!link)
		return;
	t->counters->bytes_sent[purpose] +=
		FRAME_HEADER_BYTES + fescue__packet__get_packed_size(packet);
	/* The parts are counted as they are sent. */
	if (link_body_is_long(packet))
		t->counters->bytes_sent[purpose] -=
			packet->call_request->body.len;
	link->last_send_ms = uv_now(t->loop);
	if (t->bodies_count &&
	    packet->body_case == FESCUE__PACKET__BODY_CALL_CANCEL &&
	    !packet->call_cancel->recall)
		transport_drop_body(t, to, packet->call_cancel->call_id);
	if (!link_takes(link, packet))
		queue_unsent(link, packet);
	else if (link_body_is_long(packet))
		link_write_long(link, link_clock_ms(), packet);
	else
		link_write_packet(link, link_clock_ms(), packet);
}

void transport_send(struct transport *t, uint64_t to,
		    enum packet_purpose purpose, Fescue__Packet *packet)
{
	if (t->stopped)
		return;
	if (purpose != PACKET_CALL && fescue__packet__get_packed_size(packet) <=
					      TRANSPORT_MAX_DATAGRAM_BYTES)
		send_by_datagram(t, to, purpose, packet);
	else
		send_by_link(t, to, purpose, packet);
}

static void on_udp_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct transport *t = handle->data;

	(void)suggested;
	*buf = uv_buf_init(t->buffer, READ_BUFFER_BYTES);
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned flags)
{
	struct transport *t = udp->data;
	struct address address;

	if (n <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	address = address_from_sockaddr(
		(const struct sockaddr_in *)(const void *)from);
	transport_deliver(t, NULL, address_key(address),
			  (const uint8_t *)buf->base, (size_t)n,
			  DATAGRAM_OVERHEAD_BYTES);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct transport *t = listener->data;
	struct link *link;

	if (status)
		return;
	link = link_create(t);
	if (uv_accept(listener, (uv_stream_t *)&link->tcp))
		link_close(link);
	else
		link_start(link, LINK_OPEN);
}

static int bind_sockets(struct transport *t)
{
	struct sockaddr_in in = address_to_sockaddr(t->own);
	const struct sockaddr *sa = (struct sockaddr *)&in;

	if (uv_udp_bind(&t->udp, sa, 0) ||
	    uv_udp_recv_start(&t->udp, on_udp_alloc, on_datagram))
		return FESCUE_EIO;
	if (uv_tcp_bind(&t->listener, sa, 0) ||
	    uv_listen((uv_stream_t *)&t->listener, LISTEN_BACKLOG, on_accept))
		return FESCUE_EIO;
	return FESCUE_OK;
}

int transport_create(uv_loop_t *loop, struct address own,
		     const struct transport_events *events,
		     struct counters *counters, struct transport **out)
{
	struct transport *t = g_new0(struct transport, 1);

	t->loop = loop;
	t->own = own;
	t->events = *events;
	t->counters = counters;
	t->links_by_peer = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->call_links = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->all_links = g_ptr_array_new();
	uv_udp_init(loop, &t->udp);
	uv_tcp_init(loop, &t->listener);
	transport_start_news(t);
	t->udp.data = t;
	t->listener.data = t;
	*out = t;
	return bind_sockets(t);
}

void transport_stop(struct transport *t)
{
	if (t->stopped)
		return;
	t->stopped = 1;
	while (t->all_links->len)
		link_close(
			g_ptr_array_index(t->all_links, t->all_links->len - 1));
	transport_stop_news(t);
	uv_close((uv_handle_t *)&t->udp, NULL);
	uv_close((uv_handle_t *)&t->listener, NULL);
}
