#include "packet.h"

#include <assert.h>
#include <string.h>

/* The oneof case of a body is the number of its field. */
static const ProtobufCFieldDescriptor *body_field(Fescue__Packet__BodyCase body)
{
	return protobuf_c_message_descriptor_get_field(
		&fescue__packet__descriptor, body);
}

Fescue__Packet *packet_create(Fescue__Packet__BodyCase body)
{
	Fescue__Packet *packet = g_new(Fescue__Packet, 1);
	const ProtobufCFieldDescriptor *field = body_field(body);
	const ProtobufCMessageDescriptor *type;
	ProtobufCMessage *message;

	assert(field);
	fescue__packet__init(packet);
	type = field->descriptor;
	message = g_malloc0(type->sizeof_message);
	type->message_init(message);
	packet->body_case = body;
	memcpy((char *)packet + field->offset, &message, sizeof(message));
	return packet;
}

void packet_destroy(Fescue__Packet *packet)
{
	if (packet)
		fescue__packet__free_unpacked(packet, NULL);
}

ProtobufCMessage *message_copy(const ProtobufCMessage *message, size_t *size)
{
	uint8_t *bytes;
	ProtobufCMessage *copy;

	*size = protobuf_c_message_get_packed_size(message);
	bytes = g_malloc(*size);
	protobuf_c_message_pack(message, bytes);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, *size,
					 bytes);
	g_free(bytes);
	return copy;
}

void outbox_send(struct outbox *outbox, uint64_t to,
		 enum packet_purpose purpose, Fescue__Packet *packet)
{
	struct outgoing *outgoing = g_new(struct outgoing, 1);

	outgoing->to = to;
	outgoing->purpose = purpose;
	outgoing->packet = packet;
	g_queue_push_tail(&outbox->queue, outgoing);
}

struct outgoing *outbox_pop(struct outbox *outbox)
{
	return g_queue_pop_head(&outbox->queue);
}

void outgoing_destroy(struct outgoing *outgoing)
{
	packet_destroy(outgoing->packet);
	g_free(outgoing);
}

void outbox_clear(struct outbox *outbox)
{
	struct outgoing *outgoing;

	while ((outgoing = outbox_pop(outbox)))
		outgoing_destroy(outgoing);
}

void packet_set_string(char **field, const char *text)
{
	*field = g_strdup(text);
}

void packet_set_bytes(ProtobufCBinaryData *field, const void *data, size_t size)
{
	field->data = size ? g_memdup2(data, size) : NULL;
	field->len = size;
}

const char *packet_purpose_name(enum packet_purpose purpose)
{
	switch (purpose) {
	case PACKET_MEMBERSHIP:
		return "membership";
	case PACKET_CONFIG:
		return "config";
	case PACKET_REPAIR:
		return "repair";
	case PACKET_CALL:
		return "call";
	case PACKET_QUOTA:
		return "quota";
	case PACKET_PURPOSE_COUNT:
		break;
	}
	return "unknown";
}
