/* Control packets: membership and distribution. */
#include "node.h"

#include "backend_server.h"
#include "store_era.h"

static const Fescue__Gossip *gossip_of(const Fescue__Packet *packet)
{
	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_PING:
		return packet->ping->gossip;
	case FESCUE__PACKET__BODY_ACK:
		return packet->ack->gossip;
	case FESCUE__PACKET__BODY_PING_REQUEST:
		return packet->ping_request->gossip;
	default:
		return NULL;
	}
}

/* Log a version that a peer has or sends, if it is new here. */
static void record_peer_version(struct node *node, uint64_t from,
				const Fescue__Packet *packet)
{
	const Fescue__Gossip *gossip = gossip_of(packet);
	struct version_source source = { VERSION_FROM_GOSSIP, from };

	if (gossip) {
		node_record_version(node, gossip->version, &source);
	} else if (packet->body_case == FESCUE__PACKET__BODY_CONFIG_PUSH) {
		source.type = VERSION_FROM_PUSH;
		node_record_version(node, packet->config_push->version,
				    &source);
	}
}

void node_receive_control(struct node *node, uint64_t from,
			  const Fescue__Packet *packet)
{
	const Fescue__Gossip *gossip = gossip_of(packet);
	uint64_t now_ms = node_now_ms(node), left;

	if (packet->body_case == FESCUE__PACKET__BODY_CONFIG_QUERY) {
		distribution_answer_query(node->distribution, from,
					  packet->config_query,
					  node_clock_read_ms(node),
					  &node->outbox);
		node_flush(node);
		return;
	}
	if (packet->body_case == FESCUE__PACKET__BODY_CONFIG_STATE)
		store_era_learn(store_client_era(node->store),
				packet->config_state->store_era);
	membership_receive(node->membership, from, packet, now_ms,
			   &node->outbox);
	left = membership_self(node->membership)->left;
	if (left && node->backend)
		backend_server_restore_leaving(node->backend,
					       LEAVING_FROM_PEERS, left);
	record_peer_version(node, from, packet);
	if (gossip)
		distribution_receive_peer_version(node->distribution, from,
						  gossip->version, gossip->hash,
						  now_ms, &node->outbox);
	distribution_receive(node->distribution, from, packet, now_ms,
			     &node->outbox);
	/* Acknowledge and forward a version before it is parsed. */
	node_flush(node);
	node_update_config(node);
}
