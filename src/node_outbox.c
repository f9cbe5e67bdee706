/* Packets that modules without I/O queue for peers. */
#include "node.h"

void node_flush(struct node *node)
{
	struct outgoing *outgoing;

	while ((outgoing = outbox_pop(&node->outbox))) {
		transport_send(node->transport, outgoing->to, outgoing->purpose,
			       outgoing->packet);
		outgoing_destroy(outgoing);
	}
}
