/* How old the newest word of a peer is, by the clocks that packets tell. */
#include "transport_state.h"

#include "events.h"

/* A peer that is to tell of its calls is asked no more often. */
#define ASK_INTERVAL_MS 50

uint32_t link_clock_ms(void)
{
	return (uint32_t)boot_clock_ms();
}

void link_stamp(const struct link *link, uint32_t now_ms,
		Fescue__Packet *packet)
{
	packet->clock_ms = packet->sent_ms = 0;
	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_CALL_REQUEST:
	case FESCUE__PACKET__BODY_CALL_BODY:
	case FESCUE__PACKET__BODY_CALL_CANCEL:
	case FESCUE__PACKET__BODY_CALL_QUERY:
		packet->sent_ms = peer_clock_at(&link->peer_clock, now_ms);
		break;
	case FESCUE__PACKET__BODY_CALL_ANSWER:
	case FESCUE__PACKET__BODY_HELLO:
	case FESCUE__PACKET__BODY_LINK_PING:
		packet->clock_ms = now_ms;
		break;
	case FESCUE__PACKET__BODY_LINK_PONG:
		packet->clock_ms = now_ms;
		packet->sent_ms = peer_clock_at(&link->peer_clock,
						link->transport->polled_ms);
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

int carries_call(const Fescue__Packet *packet)
{
	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_CALL_REQUEST:
	case FESCUE__PACKET__BODY_CALL_CANCEL:
	case FESCUE__PACKET__BODY_CALL_QUERY:
		return 1;
	default:
		return 0;
	}
}

void note_call_link(struct link *link, const Fescue__Packet *packet)
{
	GHashTable *links = link->transport->call_links;

	if (carries_call(packet) &&
	    g_hash_table_lookup(links, &link->peer) != link)
		g_hash_table_replace(links, &link->peer, link);
}

static void on_before_poll(uv_prepare_t *prepare)
{
	struct transport *t = prepare->data;

	t->polled_ms = link_clock_ms();
}

void transport_start_news(struct transport *t)
{
	t->polled_ms = link_clock_ms();
	uv_check_init(t->loop, &t->iteration_end);
	uv_prepare_init(t->loop, &t->before_poll);
	t->iteration_end.data = t->before_poll.data = t;
	uv_prepare_start(&t->before_poll, on_before_poll);
}

void transport_stop_news(struct transport *t)
{
	uv_close((uv_handle_t *)&t->iteration_end, NULL);
	uv_close((uv_handle_t *)&t->before_poll, NULL);
}

/*
 * A pong tells that all cancels of the time before were sent. So it is sent when
 * all that has arrived here, such as the close of a caller's connection, is read.
 */
static void on_iteration_end(uv_check_t *check)
{
	struct transport *t = check->data;

	uv_check_stop(check);
	for (guint i = 0; i < t->all_links->len; i++) {
		struct link *link = g_ptr_array_index(t->all_links, i);

		if (!link->pong_due)
			continue;
		link->pong_due = 0;
		link_send_empty(link, FESCUE__PACKET__BODY_LINK_PONG);
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

void transport_ask(struct transport *t, uint64_t peer)
{
	struct link *link = g_hash_table_lookup(t->call_links, &peer);
	uint64_t now = uv_now(t->loop);

	if (!link || (link->asked_ms && now < link->asked_ms + ASK_INTERVAL_MS))
		return;
	link->asked_ms = now;
	link_send_empty(link, FESCUE__PACKET__BODY_LINK_PING);
}

void link_pong_later(struct link *link)
{
	link->pong_due = 1;
	uv_check_start(&link->transport->iteration_end, on_iteration_end);
}
