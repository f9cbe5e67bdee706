/*
 * Packets between nodes, and the queue through which modules without sockets
 * send them: the node drains it into the transport.
 */
#ifndef FESCUE_PACKET_H
#define FESCUE_PACKET_H

#include "fescue/address.h"
#include "proto/fescue.pb-c.h"

#include <glib.h>

/* What a packet is for; each purpose has its own byte counters. */
enum packet_purpose {
	PACKET_MEMBERSHIP,
	PACKET_CONFIG,
	PACKET_REPAIR,
	PACKET_CALL,
	PACKET_QUOTA,
	PACKET_PURPOSE_COUNT
};

struct outgoing {
	uint64_t to; /* address_key() of the peer */
	enum packet_purpose purpose;
	Fescue__Packet *packet;
};

struct outbox {
	GQueue queue; /* struct outgoing */
};

/* Allocate a packet with an empty message of the given case as its body. */
Fescue__Packet *packet_create(Fescue__Packet__BodyCase body);
void packet_destroy(Fescue__Packet *packet);

/*
 * Copy a packet, or a message in one; *size receives its packed size. Free the
 * copy with the function of its type, such as packet_destroy().
 */
ProtobufCMessage *message_copy(const ProtobufCMessage *message, size_t *size);

/* Append a packet to the queue, which takes ownership of it. */
void outbox_send(struct outbox *outbox, uint64_t to,
		 enum packet_purpose purpose, Fescue__Packet *packet);

/*
 * Remove the oldest packet; returns NULL if there is none. Free it with
 * outgoing_destroy().
 */
struct outgoing *outbox_pop(struct outbox *outbox);
void outgoing_destroy(struct outgoing *outgoing);
void outbox_clear(struct outbox *outbox);

/* Set a string or bytes field to a copy; an old value is not freed. */
void packet_set_string(char **field, const char *text);
void packet_set_bytes(ProtobufCBinaryData *field, const void *data,
		      size_t size);

const char *packet_purpose_name(enum packet_purpose purpose);

#endif
