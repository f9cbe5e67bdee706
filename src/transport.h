/*
 * Transport between nodes: control packets of up to one datagram by UDP,
 * calls and larger packets by TCP links opened when first needed.
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
	/* The packet is valid during the call only; its parts may be taken. */
	void (*received)(void *data, uint64_t from, Fescue__Packet *packet);
	/*
	 * A link ended. connected is 0 when it never stood, so that nothing
	 * sent on it can have arrived.
	 */
	void (*link_closed)(void *data, uint64_t peer, int connected);
	void *data;
};

/* Bind UDP and TCP at own. Returns 0 or FESCUE_EIO. */
int transport_create(uv_loop_t *loop, struct address own,
		     const struct transport_events *events,
		     struct counters *counters, struct transport **out);

/* Close all sockets; returns at once, libuv closes them on its next turn. */
void transport_stop(struct transport *transport);

/*
 * Send a packet, by UDP or TCP as its size and purpose ask. Calls always
 * travel by TCP. The headers in the packet are used up. A packet to an unreachable peer is dropped and link_closed
 * follows.
 */
void transport_send(struct transport *transport, uint64_t to,
		    enum packet_purpose purpose, Fescue__Packet *packet);

/*
 * Advance time: ask links that carried calls lately and fell silent for a
 * sign of life, and close those that give none, or are unused for idle_ms.
 */
void transport_expire(struct transport *transport, uint64_t idle_ms);

#endif
