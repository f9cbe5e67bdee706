/* How old the newest word of a peer is, by the clocks that packets tell. */
#include "transport_state.h"

#include "events.h"

uint32_t link_clock_ms(void)
{
	return (uint32_t)boot_clock_ms();
}

void link_stamp(const struct link *link, Fescue__Packet *packet)
{
	uint32_t now_ms = link_clock_ms();

	packet->clock_ms = packet->sent_ms = 0;
	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_CALL_REQUEST:
	case FESCUE__PACKET__BODY_CALL_CANCEL:
	case FESCUE__PACKET__BODY_CALL_QUERY:
		packet->sent_ms = peer_clock_at(&link->peer_clock, now_ms);
		break;
	case FESCUE__PACKET__BODY_CALL_ANSWER:
	case FESCUE__PACKET__BODY_HELLO:
		packet->clock_ms = now_ms;
		break;
	case FESCUE__PACKET__BODY_LINK_PING:
	case FESCUE__PACKET__BODY_LINK_PONG:
		packet->clock_ms = now_ms;
		packet->sent_ms = peer_clock_at(&link->peer_clock, now_ms);
		break;
	default:
		break;
	}
}

void link_read_stamp(struct link *link, const Fescue__Packet *packet)
{
	uint32_t now_ms = link_clock_ms();

	if (packet->clock_ms)
		peer_clock_read(&link->peer_clock, packet->clock_ms, now_ms);
	if (packet->sent_ms &&
	    (!link->has_news ||
	     clock_elapsed_ms(link->news_ms, packet->sent_ms))) {
		link->has_news = 1;
		link->news_ms = packet->sent_ms;
	}
}

void note_call_link(struct link *link, const Fescue__Packet *packet)
{
	GHashTable *links = link->transport->call_links;

	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_CALL_REQUEST:
	case FESCUE__PACKET__BODY_CALL_CANCEL:
	case FESCUE__PACKET__BODY_CALL_QUERY:
		if (g_hash_table_lookup(links, &link->peer) != link)
			g_hash_table_replace(links, &link->peer, link);
		break;
	default:
		break;
	}
}

uint32_t transport_news_age_ms(const struct transport *t, uint64_t peer)
{
	const struct link *link = g_hash_table_lookup(t->call_links, &peer);

	if (!link)
		return UINT32_MAX;
	return link->has_news ?
		       clock_elapsed_ms(link->news_ms, link_clock_ms()) :
		       0;
}
