/*
 * Long request bodies, which are sent in parts. A part is passed to the socket
 * only when the one before the last was taken, and the parts of several bodies
 * take turns, so that other packets wait for few parts only.
 */
#include "transport_state.h"

#include "http_server.h"
#include "inbound_bodies.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Takes 17 ms at 15 Mbit/s, the slowest links of the reference loads. */
#define BODY_PART_BYTES ((size_t)32 << 10)
/* The second one is ready when the socket has taken the first. */
#define PARTS_IN_FLIGHT_MAX 2
/*
 * Bytes that the kernel takes beyond what TCP has sent. By default the kernel
 * takes up to 4 MB, behind which other packets would wait.
 */
#define NOT_SENT_MAX_BYTES 65536

/* The rest of the body of a call that was sent with its first part. */
struct outgoing_body {
	uint64_t call_id;
	uint8_t *data;
	size_t size;
	size_t sent;
};

static void outgoing_body_free(gpointer p)
{
	struct outgoing_body *body = p;

	g_free(body->data);
	g_free(body);
}

int link_body_is_long(const Fescue__Packet *packet)
{
	return packet->body_case == FESCUE__PACKET__BODY_CALL_REQUEST &&
	       packet->call_request->body.len > INBOUND_BODY_SHORT_BYTES;
}

static void limit_unsent(struct link *link)
{
	int bytes = NOT_SENT_MAX_BYTES;
	uv_os_fd_t fd;

	/* Without the option other packets wait longer, no more. */
	if (!uv_fileno((uv_handle_t *)&link->tcp, &fd))
		setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes,
			   sizeof(bytes));
}

static void send_part(struct link *link, struct outgoing_body *body)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_CALL_BODY);
	size_t size = MIN(BODY_PART_BYTES, body->size - body->sent);

	packet->call_body->call_id = body->call_id;
	packet->call_body->offset = body->sent;
	/* Borrowed, as the packet is only encoded. */
	packet->call_body->data.data = body->data + body->sent;
	packet->call_body->data.len = size;
	body->sent += size;
	link->last_send_ms = uv_now(link->transport->loop);
	link->parts_in_flight++;
	link_write_part(link, packet);
	packet->call_body->data.data = NULL;
	packet->call_body->data.len = 0;
	packet_destroy(packet);
}

void link_send_parts(struct link *link)
{
	while (link->state == LINK_OPEN && link->bodies.length &&
	       link->parts_in_flight < PARTS_IN_FLIGHT_MAX) {
		struct outgoing_body *body = g_queue_pop_head(&link->bodies);

		send_part(link, body);
		if (body->sent < body->size) {
			g_queue_push_tail(&link->bodies, body);
			continue;
		}
		link->transport->bodies_count--;
		outgoing_body_free(body);
	}
}

static void report_undelivered(struct transport *t, uint64_t peer,
			       uint64_t call_id, int broken)
{
	if (t->events.call_undelivered)
		t->events.call_undelivered(t->events.data, peer, call_id,
					   broken);
}

static void count_sent(struct link *link, size_t bytes)
{
	link->transport->counters->bytes_sent[PACKET_CALL] += bytes;
}

void link_write_long(struct link *link, uint32_t now_ms, Fescue__Packet *packet)
{
	Fescue__CallRequest *request = packet->call_request;
	/* First parts of many calls at once would not take turns. */
	size_t first = link->bodies.length ? 0 : BODY_PART_BYTES;
	struct outgoing_body *body;

	if (!link->takes_body_parts &&
	    request->body.len <= HTTP_MAX_BODY_BYTES) {
		count_sent(link, request->body.len);
		link_write_packet(link, now_ms, packet);
		return;
	}
	if (!link->takes_body_parts) {
		report_undelivered(link->transport, link->peer,
				   request->call_id, 0);
		return;
	}
	body = g_new(struct outgoing_body, 1);
	body->call_id = request->call_id;
	body->data = request->body.data;
	body->size = request->body.len;
	body->sent = first;
	request->body_bytes = body->size;
	packet_set_bytes(&request->body, body->data, first);
	limit_unsent(link);
	count_sent(link, first);
	link_write_packet(link, now_ms, packet);
	g_queue_push_tail(&link->bodies, body);
	link->transport->bodies_count++;
	link_send_parts(link);
}

void transport_drop_body(struct transport *t, uint64_t peer, uint64_t call_id)
{
	struct link *link = g_hash_table_lookup(t->links_by_peer, &peer);

	for (GList *l = link ? link->bodies.head : NULL; l; l = l->next) {
		struct outgoing_body *body = l->data;

		if (body->call_id != call_id)
			continue;
		g_queue_delete_link(&link->bodies, l);
		t->bodies_count--;
		outgoing_body_free(body);
		return;
	}
}

void link_end_bodies(struct link *link)
{
	struct transport *t = link->transport;
	struct outgoing_body *body;

	while ((body = g_queue_pop_head(&link->bodies))) {
		uint64_t call_id = body->call_id;

		t->bodies_count--;
		outgoing_body_free(body);
		if (!t->stopped)
			report_undelivered(t, link->peer, call_id, 1);
	}
}
