/*
 * One distribution without a simulated fleet, for tests of what it does with
 * single values and answers.
 */
#ifndef FESCUE_TEST_LONE_DISTRIBUTION_H
#define FESCUE_TEST_LONE_DISTRIBUTION_H

#include "support.h"

extern "C" {
#include "fescue/distribution.h"
#include "fescue/membership.h"
#include "fescue/snapshot.h"
#include "member_table.h"
#include "packet.h"
}

/* A distribution alone, and the actions that it asks for. */
struct lone_distribution {
	struct outbox outbox = {};
	struct membership *membership;
	struct distribution *d;
	std::vector<uint64_t> applied, rejected;
	bool watching = false;

	lone_distribution()
	{
		struct host self = {};

		self.address = 1;
		g_queue_init(&outbox.queue);
		membership =
			membership_create(&membership_defaults, &self, 1, 0);
		d = distribution_create(&distribution_defaults, membership);
	}
	~lone_distribution()
	{
		outbox_clear(&outbox);
		distribution_destroy(d);
		membership_destroy(membership);
	}
	void take_actions()
	{
		struct distribution_action action;

		while (distribution_next_action(d, &action)) {
			if (action.type == DISTRIBUTION_APPLY) {
				applied.push_back(action.version);
				rules_destroy(action.u.apply.rules);
			} else if (action.type == DISTRIBUTION_REJECT) {
				rejected.push_back(action.version);
			} else {
				watching = action.type == DISTRIBUTION_WATCH;
			}
		}
	}
	/* Hosts of the same domain with larger links, so that they are relays. */
	void add_peers(uint64_t count)
	{
		for (uint64_t i = 0; i < count; i++) {
			Fescue__Packet *packet =
				packet_create(FESCUE__PACKET__BODY_SYNC_REPLY);
			Fescue__SyncReply *reply = packet->sync_reply;
			struct host peer = {};

			peer.address = 10 + i;
			peer.incarnation = 1;
			peer.capacity = 100;
			reply->members = g_new(Fescue__Member *, 1);
			reply->members[0] = member_record_create(&peer);
			reply->n_members = 1;
			membership_receive(membership, peer.address, packet,
					   1000, &outbox);
			packet_destroy(packet);
		}
	}
	/* A value in the store; NULL: one that cannot be decoded. */
	void read(uint64_t version, const char *text)
	{
		distribution_receive_store_value(d, version, text,
						 text ? strlen(text) : 0,
						 "no resources", 1000, &outbox);
		take_actions();
	}
	void push(uint64_t version, const char *text)
	{
		Fescue__Packet *packet =
			packet_create(FESCUE__PACKET__BODY_CONFIG_PUSH);

		packet->config_push->version = version;
		packet->config_push->hash = config_hash(text, strlen(text));
		packet_set_bytes(&packet->config_push->body, text,
				 strlen(text));
		distribution_receive(d, 2, packet, 1000, &outbox);
		packet_destroy(packet);
		take_actions();
	}
};

#endif
