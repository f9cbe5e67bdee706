#include "distribution_state.h"

#include "failure_domain.h"

#include <string.h>

void pending_clear(gpointer data)
{
	struct pending_push *pending = data;

	g_array_free(pending->subtree, TRUE);
}

void push_text(struct distribution *d, uint64_t to,
	       const struct version_text *text, const struct version_text *base,
	       const uint64_t *subtree, size_t subtree_len,
	       enum packet_purpose purpose, struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_PUSH);
	Fescue__ConfigPush *push = packet->config_push;

	push->version = text->version;
	push->hash = text->hash;
	version_text_encode(text, d->settings.deltas ? base : NULL, push);
	push->n_subtree = subtree_len;
	push->subtree = g_memdup2(subtree, subtree_len * sizeof(*subtree));
	outbox_send(outbox, to, purpose, packet);
}

/*
 * The text a peer has: the version it was last heard to have in force, or
 * most likely the one in force here before.
 */
static const struct version_text *likely_base(const struct distribution *d,
					      uint64_t peer,
					      const struct version_text *text)
{
	const struct host *host = membership_find(d->membership, peer);
	const struct version_text *base =
		text == &d->staged ? in_force(d) : &d->history.texts[1];

	for (size_t i = 0; host && i < VERSION_HISTORY_TEXTS; i++)
		if (host->version &&
		    d->history.texts[i].version == host->version &&
		    &d->history.texts[i] != text)
			return &d->history.texts[i];
	return base->version ? base : NULL;
}

void push_subtree(struct distribution *d, const uint64_t *hosts, size_t n,
		  uint64_t now_ms, struct outbox *outbox)
{
	const struct version_text *text = newest(d);
	size_t groups = MIN(n, d->settings.fan_out);
	size_t start = 0;

	for (size_t g = 0; g < groups; g++) {
		size_t len = (n - start) / (groups - g);
		struct pending_push pending = { hosts[start], text->version,
						now_ms, NULL };

		pending.subtree = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_array_append_vals(pending.subtree, hosts + start + 1,
				    (guint)(len - 1));
		g_array_append_val(d->pending, pending);
		push_text(d, hosts[start], text,
			  likely_base(d, hosts[start], text), hosts + start + 1,
			  len - 1, PACKET_CONFIG, outbox);
		start += len;
	}
}

void push_domain(struct distribution *d, uint64_t now_ms, struct outbox *outbox)
{
	uint64_t version = newest(d)->version;
	GArray *hosts;

	d->push_due_ms = 0;
	if (d->pushed_version >= version ||
	    d->settings.mode != DISTRIBUTION_RELAY)
		return;
	d->pushed_version = version;
	hosts = failure_domain_hosts(d->membership, "push", version);
	push_subtree(d, (const uint64_t *)hosts->data, hosts->len, now_ms,
		     outbox);
	g_array_free(hosts, TRUE);
}

void push_to_witness(struct distribution *d, uint64_t now_ms,
		     struct outbox *outbox)
{
	size_t n = membership_count(d->membership);

	if (d->pending->len)
		return;
	for (size_t i = 1; i < n; i++) {
		const struct host *host = membership_host(
			d->membership, 1 + (i + d->staged.version) % (n - 1));

		if (!host_is_up(host))
			continue;
		push_subtree(d, &host->address, 1, now_ms, outbox);
		return;
	}
}

void push_acknowledged(struct distribution *d, uint64_t from, uint64_t version)
{
	for (guint i = 0; i < d->pending->len; i++) {
		struct pending_push *pending =
			&g_array_index(d->pending, struct pending_push, i);

		if (pending->child != from || version < pending->version)
			continue;
		g_array_remove_index_fast(d->pending, i);
		break;
	}
}

/* The push may have been lost: once more, for the child alone. */
static void resend(struct distribution *d, const struct pending_push *pending,
		   struct outbox *outbox)
{
	const struct version_text *text = newest(d);

	if (pending->version != text->version)
		return;
	push_text(d, pending->child, text, likely_base(d, pending->child, text),
		  NULL, 0, PACKET_CONFIG, outbox);
}

void push_review(struct distribution *d, uint64_t now_ms, struct outbox *outbox)
{
	for (guint i = 0; i < d->pending->len;) {
		struct pending_push pending =
			g_array_index(d->pending, struct pending_push, i);
		GArray *subtree;

		if (now_ms < pending.sent_ms + d->settings.ack_timeout_ms) {
			i++;
			continue;
		}
		subtree = g_array_ref(pending.subtree);
		g_array_remove_index_fast(d->pending, i);
		resend(d, &pending, outbox);
		if (pending.version == newest(d)->version)
			push_subtree(d, (const uint64_t *)subtree->data,
				     subtree->len, now_ms, outbox);
		g_array_unref(subtree);
	}
}
