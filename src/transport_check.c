/* Checks whether links are alive. */
#include "transport_state.h"

#include "log.h"

#include <inttypes.h>

/*
 * For the connection, and again for the answer to the greeting. Round trips take
 * milliseconds; unsent calls can go to another host.
 */
#define CONNECT_TIMEOUT_MS 400
/* A link with a send this recent may have calls in flight. */
#define ACTIVE_LINK_MS 6000
/* Time without input after which an active link is pinged. */
#define PING_AFTER_MS 400
/* Enough for a slow peer, so that only a frozen or partitioned one fails. */
#define PING_TIMEOUT_MS 1000
/* transport_check_links() is called more often, unless the loop stands still. */
#define CHECK_INTERVAL_MAX_MS 150

/*
 * What arrived while this loop stood still is read after this check, so that
 * time does not count for the peers.
 */
static void forgive_stall(struct transport *t, uint64_t now)
{
	uint64_t interval = now - t->checked_ms, stall;

	if (!t->checked_ms || interval <= CHECK_INTERVAL_MAX_MS) {
		t->checked_ms = now;
		return;
	}
	t->checked_ms = now;
	stall = interval - CHECK_INTERVAL_MAX_MS;
	for (guint i = 0; i < t->all_links->len; i++) {
		struct link *link = g_ptr_array_index(t->all_links, i);

		link->opened_ms = MIN(link->opened_ms + stall, now);
		link->last_receive_ms = MIN(link->last_receive_ms + stall, now);
		if (link->ping_sent_ms)
			link->ping_sent_ms =
				MIN(link->ping_sent_ms + stall, now);
	}
}

static int is_unused(const struct link *link, uint64_t now, uint64_t idle_ms)
{
	if (link->state == LINK_GREETING && !link->unsent.length)
		return now > link->opened_ms + PING_TIMEOUT_MS;
	if (link->state != LINK_OPEN)
		return now > link->opened_ms + CONNECT_TIMEOUT_MS;
	return now > MAX(link->last_send_ms, link->last_receive_ms) + idle_ms;
}

static void check_link_liveness(struct link *link, uint64_t now)
{
	if (link->state != LINK_OPEN || !link->peer)
		return;
	if (link->ping_sent_ms && now >= link->ping_sent_ms + PING_TIMEOUT_MS) {
		log_state("closing the link with peer %016" PRIx64
			  ": ping timeout",
			  link->peer);
		link_close(link);
	} else if (!link->ping_sent_ms &&
		   now <= link->last_send_ms + ACTIVE_LINK_MS &&
		   now >= link->last_receive_ms + PING_AFTER_MS) {
		link->ping_sent_ms = now;
		link_send_empty(link, FESCUE__PACKET__BODY_LINK_PING);
	}
}

void transport_check_links(struct transport *t, uint64_t idle_ms)
{
	uint64_t now = uv_now(t->loop);

	forgive_stall(t, now);
	for (guint i = t->all_links->len; i-- > 0;) {
		struct link *link = g_ptr_array_index(t->all_links, i);

		if (is_unused(link, now, idle_ms))
			link_close(link);
		else
			check_link_liveness(link, now);
		/* link_closed() may have closed further links. */
		i = MIN(i, t->all_links->len);
	}
}
