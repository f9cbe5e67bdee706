/* What one host does with pushes of a version, and how it pushes one. */
#include "lone_distribution.h"

namespace
{

/* Version 5, which the host is to forward to two others. */
void push_with_subtree(lone_distribution &host, uint64_t from)
{
	const char text[] = "service s # a\n";
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_PUSH);

	packet->config_push->version = 5;
	packet->config_push->hash = config_hash(text, strlen(text));
	packet_set_bytes(&packet->config_push->body, text, strlen(text));
	packet->config_push->n_subtree = 2;
	packet->config_push->subtree = g_new(uint64_t, 2);
	packet->config_push->subtree[0] = 11;
	packet->config_push->subtree[1] = 12;
	distribution_receive(host.d, from, packet, 1000, &host.outbox);
	packet_destroy(packet);
}

size_t count_sent(const lone_distribution &host, int body)
{
	size_t n = 0;

	for (GList *l = host.outbox.queue.head; l; l = l->next)
		n += ((struct outgoing *)l->data)->packet->body_case == body;
	return n;
}

/*
 * Guards against senders that take a host for a silent one while it parses the
 * version that they have pushed.
 */
TEST(distribution_push, pushes_are_acknowledged_and_forwarded_before_parsing)
{
	lone_distribution host;

	host.add_peers(4);
	outbox_clear(&host.outbox);
	push_with_subtree(host, 10);
	EXPECT_EQ(distribution_version(host.d), 0u);
	EXPECT_EQ(count_sent(host, FESCUE__PACKET__BODY_CONFIG_ACK), 1u);
	EXPECT_EQ(count_sent(host, FESCUE__PACKET__BODY_CONFIG_PUSH), 2u);
	host.take_actions();
	EXPECT_EQ(host.applied, std::vector<uint64_t>{ 5 });
}

/* Guards against hosts that forward a version again with each push of it. */
TEST(distribution_push, version_is_forwarded_to_a_host_once)
{
	lone_distribution host;

	host.add_peers(4);
	outbox_clear(&host.outbox);
	push_with_subtree(host, 10);
	host.take_actions();
	push_with_subtree(host, 13);
	EXPECT_EQ(count_sent(host, FESCUE__PACKET__BODY_CONFIG_ACK), 2u);
	EXPECT_EQ(count_sent(host, FESCUE__PACKET__BODY_CONFIG_PUSH), 2u);
}

/* Guards against an event loop that encodes one text for each of its pushes. */
TEST(distribution_push, pushes_of_a_version_share_their_encoding)
{
	lone_distribution host;
	size_t pushes;

	host.add_peers(40);
	host.read(5, "service s # a\n");
	for (uint64_t now = 1000; now < 4000; now += 50)
		distribution_tick(host.d, now, &host.outbox);
	pushes = count_sent(host, FESCUE__PACKET__BODY_CONFIG_PUSH);
	EXPECT_GT(pushes, 20u);
	EXPECT_EQ(distribution_encodings(host.d), 1u);
}

} // namespace
