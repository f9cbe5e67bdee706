/* Private state of the transport: its links, shared by the files of the module. */
#ifndef FESCUE_TRANSPORT_STATE_H
#define FESCUE_TRANSPORT_STATE_H

#include "fescue/header_codec.h"
#include "peer_clock.h"
#include "transport.h"

#define READ_BUFFER_BYTES 65536
#define FRAME_HEADER_BYTES 4

enum link_state {
	LINK_CONNECTING,
	LINK_GREETING, /* waits for the peer's clock; no call was sent */
	LINK_OPEN,
	LINK_CLOSING
};

/* A packet that waits until its link is open. */
struct unsent {
	Fescue__Packet *packet;
	uint32_t queued_ms; /* by link_clock_ms() */
};

/* One TCP connection with a peer, in either direction. */
struct link {
	struct transport *transport;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uint64_t peer; /* 0 until an accepted link has received Hello */
	enum link_state state;
	uint64_t opened_ms; /* start of the connecting, then of the greeting */
	uint64_t last_send_ms; /* initially the time of creation */
	uint64_t last_receive_ms;
	uint64_t ping_sent_ms; /* 0: no ping is unanswered */
	uint64_t asked_ms; /* last ping by transport_ask() */
	int pong_due; /* at the end of the event loop iteration */
	struct peer_clock peer_clock;
	int has_news; /* a packet has told when it was sent */
	uint32_t news_ms; /* all that the peer sent by then has arrived */
	GByteArray *input;
	GQueue unsent; /* struct unsent, until the link is open */
	int takes_body_parts; /* the peer has told so */
	GQueue bodies; /* struct outgoing_body; the next part is the head's */
	int parts_in_flight; /* passed to the socket, which has not taken them */
	struct header_encoder *encoder;
	struct header_decoder *decoder;
};

struct transport {
	uv_loop_t *loop;
	struct address own;
	struct transport_events events;
	struct counters *counters;
	uv_udp_t udp;
	uv_tcp_t listener;
	GHashTable *links_by_peer; /* uint64_t -> struct link to send on */
	GHashTable *call_links; /* uint64_t -> struct link of the peer's calls */
	GPtrArray *all_links; /* every link that is not closed */
	uv_check_t iteration_end; /* runs after the I/O of an iteration */
	uv_prepare_t before_poll;
	uint32_t polled_ms; /* all input until then was read, at its end */
	size_t bodies_count; /* of all links */
	uint64_t checked_ms; /* last transport_check_links(); 0: none */
	char buffer[READ_BUFFER_BYTES];
	int stopped;
};

/* Pack a packet, after header_bytes (0 or FRAME_HEADER_BYTES) of header. */
GByteArray *encode_packet(const Fescue__Packet *packet, size_t header_bytes);

/*
 * Decode one packet and pass it to the received callback; link is NULL for a
 * datagram. Returns 0 or FESCUE_EINVAL.
 */
int transport_deliver(struct transport *transport, struct link *link,
		      uint64_t from, const uint8_t *bytes, size_t size,
		      size_t overhead);

/* Open a link to a peer; returns NULL if that fails at once. */
struct link *link_open(struct transport *transport, uint64_t peer);

/* Create a link in the table of all links, for a connection to be accepted. */
struct link *link_create(struct transport *transport);

/* Read from a link that is connected. */
void link_start(struct link *link, enum link_state state);

/* Close a link and report it; no effect on one that is closing. */
void link_close(struct link *link);

/*
 * Send a packet on an open link. now_ms is the time that it tells as that of its
 * sending, by link_clock_ms().
 */
void link_write_packet(struct link *link, uint32_t now_ms,
		       Fescue__Packet *packet);

/*
 * Whether a packet can be sent on the link now. Calls wait until the peer's clock
 * is known.
 */
int link_takes(const struct link *link, const Fescue__Packet *packet);

/*
 * Keep a copy of a packet until the link is open, or drop what it cancels. Takes
 * over the body of a call if that is long.
 */
void queue_unsent(struct link *link, Fescue__Packet *packet);

/* Whether the packet is a call whose body is sent in parts. */
int link_body_is_long(const Fescue__Packet *packet);

/*
 * Send such a call on an open link: the first part now, the others as the socket
 * takes them. Takes over the body. A call that the peer cannot receive is
 * reported as undelivered.
 */
void link_write_long(struct link *link, uint32_t now_ms,
		     Fescue__Packet *packet);

/* Write a packet with a part of a body. */
void link_write_part(struct link *link, Fescue__Packet *packet);

/* Send further parts if the socket has taken those before. */
void link_send_parts(struct link *link);

/* Drop what is left of a body, as its call has ended. */
void transport_drop_body(struct transport *transport, uint64_t peer,
			 uint64_t call_id);

/* The link is closed: report the calls of bodies that were not sent whole. */
void link_end_bodies(struct link *link);

/* Send a packet without content. */
void link_send_empty(struct link *link, Fescue__Packet__BodyCase body);

/* Follow the iterations of the event loop, for what pongs tell. */
void transport_start_news(struct transport *transport);
void transport_stop_news(struct transport *transport);

/* The clock by which packets tell when they were sent. */
uint32_t link_clock_ms(void);

/*
 * Tell what the receiver needs: by its own clock, when a call was sent, and for
 * that, in answers and in the first packets of a link, the clock here.
 */
void link_stamp(const struct link *link, uint32_t now_ms,
		Fescue__Packet *packet);

void link_read_stamp(struct link *link, const Fescue__Packet *packet);

/* Whether a packet is a call or tells more of one to its target. */
int carries_call(const Fescue__Packet *packet);

/* The link on which a peer sends calls also carries its cancels. */
void note_call_link(struct link *link, const Fescue__Packet *packet);

/* Answer a ping at the end of the event loop iteration. */
void link_pong_later(struct link *link);

#endif
