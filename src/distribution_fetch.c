/* Fetches of versions that peers have and that do not arrive otherwise. */
#include "distribution_state.h"

void fetch_send(struct distribution *d, uint64_t peer, uint64_t now_ms,
		int full_text, struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_FETCH);

	if (!full_text) {
		packet->config_fetch->have_version = active_text(d)->version;
		packet->config_fetch->have_hash = active_text(d)->hash;
	}
	d->fetch_peer = peer;
	d->fetch_started_ms = now_ms;
	outbox_send(outbox, peer, PACKET_REPAIR, packet);
}

/* Without a watch only a push is awaited, which arrives sooner. */
static uint32_t fetch_delay(const struct distribution *d)
{
	uint32_t delay = d->settings.fetch_delay_ms;

	return d->is_relay ? delay : delay / 2;
}

void distribution_receive_peer_version(struct distribution *d, uint64_t peer,
				       uint64_t version, uint64_t hash,
				       uint64_t now_ms, struct outbox *outbox)
{
	(void)hash;
	if (version <= newest_text(d)->version)
		return;
	if (!d->behind_since_ms)
		d->behind_since_ms = now_ms;
	if (d->fetch_peer &&
	    now_ms < d->fetch_started_ms + d->settings.fetch_timeout_ms)
		return;
	if (d->store_unreachable ||
	    now_ms >= d->behind_since_ms + fetch_delay(d)) {
		d->fetch_version = version;
		d->fetch_retry_left = 1;
		d->deferred_fetch_peer = 0;
		fetch_send(d, peer, now_ms, 0, outbox);
	} else if (!d->deferred_fetch_peer) {
		d->deferred_fetch_peer = peer;
		d->deferred_fetch_version = version;
		d->deferred_since_ms = now_ms;
	}
}

void distribution_set_store_reachable(struct distribution *d, int reachable)
{
	d->store_unreachable = !reachable;
}

void fetch_start_deferred(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox)
{
	uint64_t peer = d->deferred_fetch_peer;

	if (!peer || (!d->store_unreachable &&
		      now_ms < d->deferred_since_ms + fetch_delay(d)))
		return;
	d->deferred_fetch_peer = 0;
	if (d->deferred_fetch_version > newest_text(d)->version)
		fetch_send(d, peer, now_ms, 0, outbox);
}

void fetch_check_timeout(struct distribution *d, uint64_t now_ms,
			 struct outbox *outbox)
{
	uint64_t peer = d->fetch_peer;
	uint32_t timeout = d->settings.fetch_timeout_ms;

	if (d->store_unreachable)
		timeout /= 2;
	if (!peer || now_ms < d->fetch_started_ms + timeout)
		return;
	d->fetch_peer = 0;
	if (d->fetch_retry_left && d->fetch_version > newest_text(d)->version) {
		fetch_send(d, peer, now_ms, 0, outbox);
		d->fetch_retry_left = 0;
	}
}
