/*
 * Transport between nodes. Control packets that fit in one datagram are sent
 * by UDP; calls and larger packets are sent on TCP links, which are opened on
 * first use.
 */
#ifndef FESCUE_TRANSPORT_H
#define FESCUE_TRANSPORT_H

#include "counters.h"
#include "packet.h"

#include <uv.h>

#define TRANSPORT_MAX_FRAME_BYTES ((size_t)8 << 20)
#define TRANSPORT_MAX_DATAGRAM_BYTES 1200

struct transport;

struct transport_events {
	/*
	 * The packet is freed after the callback, which may take over parts of
	 * it by clearing their pointers.
	 */
	void (*received)(void *data, uint64_t from, Fescue__Packet *packet);
	/*
	 * A link was closed. connected is 0 if it was never established: then
	 * no call sent on it has reached the peer.
	 */
	void (*link_closed)(void *data, uint64_t peer, int connected);
	/*
	 * The body of a call was not sent whole, so that the call has not run
	 * and never will: its link broke, or else (broken is 0) the peer is of a
	 * version that does not take bodies of that length. Called before
	 * link_closed, or within transport_send(). May be NULL.
	 */
	void (*call_undelivered)(void *data, uint64_t peer, uint64_t call_id,
				 int broken);
	/* A peer has answered transport_ask(), or a ping. May be NULL. */
	void (*heard)(void *data, uint64_t peer);
	void *data;
};

/* Bind UDP and TCP sockets to own. Returns 0 or FESCUE_EIO. */
int transport_create(uv_loop_t *loop, struct address own,
		     const struct transport_events *events,
		     struct counters *counters, struct transport **out);

/* Close all sockets; libuv completes this in its next loop iteration. */
void transport_stop(struct transport *transport);

/*
 * Send a packet by UDP or TCP, depending on its size and purpose; calls always
 * use TCP. The packet stays the caller's, but the headers of a call in it are
 * replaced by their encoded form, and a body over INBOUND_BODY_SHORT_BYTES is
 * taken out and sent in parts, between which other packets are sent, until the
 * call is answered or canceled. Packets wait until their link is connected,
 * calls also until the peer has told its clock; a call that is canceled meanwhile
 * is not sent. When a link cannot be established, its packets are dropped and link_closed is called.
 */
void transport_send(struct transport *transport, uint64_t to,
		    enum packet_purpose purpose, Fescue__Packet *packet);

/*
 * Age in ms of the newest packet on the link of a peer's calls, by the time when
 * it was sent, or more; what the peer sent later, such as a cancel, may still be
 * under way. UINT32_MAX if there is no such link, 0 if the peer does not tell.
 */
uint32_t transport_news_age_ms(const struct transport *transport,
			       uint64_t peer);

/* Ask a peer for news on the link of its calls, if there is one. */
void transport_ask(struct transport *transport, uint64_t peer);

/*
 * Check the links against the loop's time; to be called periodically. Sends a
 * ping on links with recent sends from which nothing is received, and closes
 * links that leave a ping unanswered, take too long to connect or are unused
 * for idle_ms.
 */
void transport_check_links(struct transport *transport, uint64_t idle_ms);

#endif
