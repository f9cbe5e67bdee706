/* Links: connecting, reading and writing. */
#include "transport_state.h"

#include "call_request.h"
#include "fescue/error.h"
#include "socket_options.h"

struct write {
	uv_write_t req;
	GByteArray *frame;
	int is_part; /* of a body */
};

static enum packet_purpose received_purpose(const Fescue__Packet *packet)
{
	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_PING:
	case FESCUE__PACKET__BODY_ACK:
	case FESCUE__PACKET__BODY_PING_REQUEST:
		return PACKET_MEMBERSHIP;
	case FESCUE__PACKET__BODY_SYNC_REQUEST:
	case FESCUE__PACKET__BODY_SYNC_REPLY:
	case FESCUE__PACKET__BODY_CONFIG_FETCH:
		return PACKET_REPAIR;
	case FESCUE__PACKET__BODY_CONFIG_PUSH:
	case FESCUE__PACKET__BODY_CONFIG_ACK:
	case FESCUE__PACKET__BODY_CONFIG_STATE:
	case FESCUE__PACKET__BODY_CONFIG_QUERY:
		return PACKET_CONFIG;
	case FESCUE__PACKET__BODY_QUOTA_REQUEST:
	case FESCUE__PACKET__BODY_QUOTA_GRANT:
		return PACKET_QUOTA;
	default:
		return PACKET_CALL;
	}
}

GByteArray *encode_packet(const Fescue__Packet *packet, size_t header_bytes)
{
	size_t size = fescue__packet__get_packed_size(packet);
	GByteArray *bytes =
		g_byte_array_sized_new((guint)(size + header_bytes));

	g_byte_array_set_size(bytes, (guint)(size + header_bytes));
	fescue__packet__pack(packet, bytes->data + header_bytes);
	if (header_bytes) {
		bytes->data[0] = (guint8)(size >> 24);
		bytes->data[1] = (guint8)(size >> 16);
		bytes->data[2] = (guint8)(size >> 8);
		bytes->data[3] = (guint8)size;
	}
	return bytes;
}

static int link_handle_packet(struct link *link, const Fescue__Packet *packet);

/* now_ms: the time that the packet tells as that of its sending. */
static void link_encode(struct link *link, uint32_t now_ms,
			Fescue__Packet *packet)
{
	link_stamp(link, now_ms, packet);
	if (packet->body_case == FESCUE__PACKET__BODY_CALL_REQUEST)
		call_request_encode(link->encoder, packet->call_request);
	else if (packet->body_case == FESCUE__PACKET__BODY_CALL_ANSWER)
		header_encode(link->encoder, packet->call_answer->headers,
			      packet->call_answer->n_headers);
}

static int link_decode(struct link *link, Fescue__Packet *packet)
{
	if (packet->body_case == FESCUE__PACKET__BODY_CALL_REQUEST)
		return call_request_decode(link->decoder, packet->call_request);
	if (packet->body_case == FESCUE__PACKET__BODY_CALL_ANSWER)
		return header_decode(link->decoder,
				     packet->call_answer->headers,
				     packet->call_answer->n_headers);
	return FESCUE_OK;
}

int transport_deliver(struct transport *t, struct link *link, uint64_t from,
		      const uint8_t *bytes, size_t size, size_t overhead)
{
	Fescue__Packet *packet = fescue__packet__unpack(NULL, size, bytes);

	if (!packet || packet->body_case == FESCUE__PACKET__BODY__NOT_SET ||
	    (link && link_decode(link, packet))) {
		t->counters->values[COUNTER_packets_malformed]++;
		packet_destroy(packet);
		return FESCUE_EINVAL;
	}
	t->counters->bytes_received[received_purpose(packet)] +=
		size + overhead;
	if (link) {
		link_read_stamp(link, packet);
		note_call_link(link, packet);
		if (t->bodies_count &&
		    packet->body_case == FESCUE__PACKET__BODY_CALL_ANSWER)
			transport_drop_body(t, from,
					    packet->call_answer->call_id);
	}
	if (!link || !link_handle_packet(link, packet))
		t->events.received(t->events.data, from, packet);
	packet_destroy(packet);
	return FESCUE_OK;
}

static void link_write(struct link *link, GByteArray *frame, int is_part);

void link_send_empty(struct link *link, Fescue__Packet__BodyCase body)
{
	Fescue__Packet *packet = packet_create(body);

	if (body == FESCUE__PACKET__BODY_LINK_PONG)
		packet->link_pong->takes_body_parts = 1;
	link_stamp(link, link_clock_ms(), packet);
	link_write(link, encode_packet(packet, FRAME_HEADER_BYTES), 0);
	packet_destroy(packet);
}

static void unsent_free(gpointer p)
{
	struct unsent *unsent = p;

	packet_destroy(unsent->packet);
	g_free(unsent);
}

void link_write_packet(struct link *link, uint32_t now_ms,
		       Fescue__Packet *packet)
{
	link_encode(link, now_ms, packet);
	link_write(link, encode_packet(packet, FRAME_HEADER_BYTES), 0);
}

void link_write_part(struct link *link, Fescue__Packet *packet)
{
	GByteArray *frame;

	link_stamp(link, link_clock_ms(), packet);
	frame = encode_packet(packet, FRAME_HEADER_BYTES);
	link->transport->counters->bytes_sent[PACKET_CALL] += frame->len;
	link_write(link, frame, 1);
}

int link_takes(const struct link *link, const Fescue__Packet *packet)
{
	switch (link->state) {
	case LINK_GREETING:
		return !carries_call(packet);
	case LINK_OPEN:
		return 1;
	case LINK_CONNECTING:
	case LINK_CLOSING:
		break;
	}
	return 0;
}

/* Send the packets that the link takes now; the others wait on. */
static void send_unsent(struct link *link)
{
	guint remaining = g_queue_get_length(&link->unsent);

	while (remaining--) {
		struct unsent *unsent = g_queue_pop_head(&link->unsent);

		if (!link_takes(link, unsent->packet)) {
			g_queue_push_tail(&link->unsent, unsent);
			continue;
		}
		if (link_body_is_long(unsent->packet))
			link_write_long(link, unsent->queued_ms,
					unsent->packet);
		else
			link_write_packet(link, unsent->queued_ms,
					  unsent->packet);
		unsent_free(unsent);
	}
}

/* The peer's clock is known, if it tells its clock at all. */
static void finish_greeting(struct link *link)
{
	if (link->state != LINK_GREETING)
		return;
	link->state = LINK_OPEN;
	send_unsent(link);
}

/* Handle a ping or pong of the link; returns 0 for any other packet. */
static int link_handle_packet(struct link *link, const Fescue__Packet *packet)
{
	struct transport *t = link->transport;

	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_LINK_PING:
		link_pong_later(link);
		return 1;
	case FESCUE__PACKET__BODY_LINK_PONG:
		link->takes_body_parts = packet->link_pong->takes_body_parts;
		finish_greeting(link);
		if (t->events.heard)
			t->events.heard(t->events.data, link->peer);
		return 1;
	default:
		return 0;
	}
}

static void link_free(uv_handle_t *handle)
{
	struct link *link = handle->data;

	g_byte_array_free(link->input, TRUE);
	header_encoder_destroy(link->encoder);
	header_decoder_destroy(link->decoder);
	g_queue_clear_full(&link->unsent, unsent_free);
	g_free(link);
}

void link_close(struct link *link)
{
	struct transport *t = link->transport;
	int connected = link->state == LINK_OPEN;

	if (link->state == LINK_CLOSING)
		return;
	link->state = LINK_CLOSING;
	g_ptr_array_remove_fast(t->all_links, link);
	if (g_hash_table_lookup(t->links_by_peer, &link->peer) == link)
		g_hash_table_remove(t->links_by_peer, &link->peer);
	if (g_hash_table_lookup(t->call_links, &link->peer) == link)
		g_hash_table_remove(t->call_links, &link->peer);
	uv_close((uv_handle_t *)&link->tcp, link_free);
	if (!connected)
		t->counters->values[COUNTER_links_failed]++;
	link_end_bodies(link);
	if (link->peer && !t->stopped)
		t->events.link_closed(t->events.data, link->peer, connected);
}

static void on_written(uv_write_t *req, int status)
{
	struct write *write = req->data;
	struct link *link = req->handle->data;

	g_byte_array_unref(write->frame);
	if (status && status != UV_ECANCELED)
		link_close(link);
	if (write->is_part) {
		link->parts_in_flight--;
		link_send_parts(link);
	}
	g_free(write);
}

static void link_write(struct link *link, GByteArray *frame, int is_part)
{
	struct write *write = g_new0(struct write, 1);
	uv_buf_t buf = uv_buf_init((char *)frame->data, frame->len);

	write->frame = frame;
	write->is_part = is_part;
	write->req.data = write;
	uv_write(&write->req, (uv_stream_t *)&link->tcp, &buf, 1, on_written);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct link *link = handle->data;

	(void)suggested;
	*buf = uv_buf_init(link->transport->buffer, READ_BUFFER_BYTES);
}

static size_t frame_size(const uint8_t *header)
{
	return (size_t)header[0] << 24 | (size_t)header[1] << 16 |
	       (size_t)header[2] << 8 | header[3];
}

static void receive_hello(struct link *link, const uint8_t *bytes, size_t size)
{
	Fescue__Packet *packet = fescue__packet__unpack(NULL, size, bytes);
	GHashTable *links_by_peer = link->transport->links_by_peer;

	if (packet && packet->body_case == FESCUE__PACKET__BODY_HELLO) {
		link->peer = packet->hello->address;
		link->takes_body_parts = packet->hello->takes_body_parts;
		link_read_stamp(link, packet);
	}
	packet_destroy(packet);
	/* Answers are sent on the link on which the requests arrive. */
	if (link->peer && !g_hash_table_contains(links_by_peer, &link->peer))
		g_hash_table_insert(links_by_peer, &link->peer, link);
}

/* Returns the bytes consumed; 0 if the frame is incomplete or too large. */
static size_t process_frame(struct link *link, const uint8_t *bytes,
			    size_t size)
{
	size_t body;

	if (size < FRAME_HEADER_BYTES)
		return 0;
	body = frame_size(bytes);
	if (body > TRANSPORT_MAX_FRAME_BYTES) {
		link_close(link);
		return 0;
	}
	if (size < FRAME_HEADER_BYTES + body)
		return 0;
	bytes += FRAME_HEADER_BYTES;
	if (!link->peer) {
		receive_hello(link, bytes, body);
		if (!link->peer)
			link_close(link);
	} else if (transport_deliver(link->transport, link, link->peer, bytes,
				     body, FRAME_HEADER_BYTES)) {
		link_close(link);
	}
	return FRAME_HEADER_BYTES + body;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct link *link = stream->data;
	size_t used = 0, step;

	if (n < 0) {
		link_close(link);
		return;
	}
	link->last_receive_ms = uv_now(link->transport->loop);
	link->ping_sent_ms = 0;
	g_byte_array_append(link->input, (guint8 *)buf->base, (guint)n);
	while (link->state != LINK_CLOSING &&
	       (step = process_frame(link, link->input->data + used,
				     link->input->len - used)))
		used += step;
	if (link->state != LINK_CLOSING && used)
		g_byte_array_remove_range(link->input, 0, (guint)used);
}

struct link *link_create(struct transport *t)
{
	struct link *link = g_new0(struct link, 1);

	link->transport = t;
	link->opened_ms = link->last_send_ms = uv_now(t->loop);
	link->input = g_byte_array_new();
	link->encoder = header_encoder_create();
	link->decoder = header_decoder_create();
	g_queue_init(&link->unsent);
	g_queue_init(&link->bodies);
	uv_tcp_init(t->loop, &link->tcp);
	link->tcp.data = link;
	g_ptr_array_add(t->all_links, link);
	return link;
}

void link_start(struct link *link, enum link_state state)
{
	link->state = state;
	link->opened_ms = link->last_receive_ms = uv_now(link->transport->loop);
	socket_options_set(&link->tcp);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	link->transport->counters->values[COUNTER_links_opened]++;
}

/* The ping after Hello is answered with the peer's clock. */
static void link_greet(struct link *link)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_HELLO);

	packet->hello->address = address_key(link->transport->own);
	packet->hello->takes_body_parts = 1;
	link_stamp(link, link_clock_ms(), packet);
	link_write(link, encode_packet(packet, FRAME_HEADER_BYTES), 0);
	packet_destroy(packet);
	link_send_empty(link, FESCUE__PACKET__BODY_LINK_PING);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct link *link = req->data;

	if (link->state == LINK_CLOSING)
		return;
	if (status) {
		link_close(link);
		return;
	}
	link_start(link, LINK_GREETING);
	link_greet(link);
	send_unsent(link);
}

struct link *link_open(struct transport *t, uint64_t peer)
{
	struct sockaddr_in in = address_to_sockaddr(address_from_key(peer));
	struct link *link = link_create(t);

	link->peer = peer;
	link->connect.data = link;
	g_hash_table_insert(t->links_by_peer, &link->peer, link);
	if (uv_tcp_connect(&link->connect, &link->tcp, (struct sockaddr *)&in,
			   on_connected)) {
		link_close(link);
		return NULL;
	}
	return link;
}

static int is_request(const struct unsent *unsent, uint64_t call_id)
{
	return unsent->packet->body_case == FESCUE__PACKET__BODY_CALL_REQUEST &&
	       unsent->packet->call_request->call_id == call_id;
}

/* Removes a request that waits for its link; returns 0 if there is none. */
static int cancel_unsent(struct link *link, const Fescue__CallCancel *cancel)
{
	for (GList *l = link->unsent.head; l; l = l->next) {
		if (!is_request(l->data, cancel->call_id))
			continue;
		unsent_free(l->data);
		g_queue_delete_link(&link->unsent, l);
		return 1;
	}
	return 0;
}

void queue_unsent(struct link *link, Fescue__Packet *packet)
{
	ProtobufCBinaryData body = { 0, NULL };
	struct unsent *unsent;
	size_t size;

	if (packet->body_case == FESCUE__PACKET__BODY_CALL_CANCEL &&
	    !packet->call_cancel->recall &&
	    cancel_unsent(link, packet->call_cancel))
		return;
	/* Long bodies are not copied. */
	if (link_body_is_long(packet)) {
		body = packet->call_request->body;
		packet->call_request->body = (ProtobufCBinaryData){ 0, NULL };
	}
	unsent = g_new(struct unsent, 1);
	unsent->packet = (Fescue__Packet *)message_copy(&packet->base, &size);
	if (body.len)
		unsent->packet->call_request->body = body;
	unsent->queued_ms = link_clock_ms();
	g_queue_push_tail(&link->unsent, unsent);
}
