#include "distribution_state.h"

#include "failure_domain.h"

#include <string.h>

void pending_push_clear(gpointer data)
{
	struct pending_push *pending = data;

	/* g_array_free() would empty an array that is still referenced. */
	g_array_unref(pending->subtree);
}

void encoded_text_clear(struct encoded_text *encoded)
{
	if (encoded->push)
		fescue__config_push__free_unpacked(encoded->push, NULL);
	memset(encoded, 0, sizeof(*encoded));
}

static int is_encoded(const struct encoded_text *encoded,
		      const struct version_text *text,
		      const struct version_text *base)
{
	return encoded->push && encoded->version == text->version &&
	       encoded->hash == text->hash &&
	       encoded->base_version == (base ? base->version : 0) &&
	       encoded->base_hash == (base ? base->hash : 0);
}

/* The encoded text, which takes much longer to make than to send. */
static const Fescue__ConfigPush *encode_text(struct distribution *d,
					     const struct version_text *text,
					     const struct version_text *base)
{
	struct encoded_text *encoded;

	for (size_t i = 0; i < ENCODED_TEXTS; i++)
		if (is_encoded(&d->encoded[i], text, base))
			return d->encoded[i].push;
	encoded = &d->encoded[d->encoded_next];
	d->encoded_next = (d->encoded_next + 1) % ENCODED_TEXTS;
	encoded_text_clear(encoded);
	encoded->version = text->version;
	encoded->hash = text->hash;
	encoded->base_version = base ? base->version : 0;
	encoded->base_hash = base ? base->hash : 0;
	encoded->push = g_new(Fescue__ConfigPush, 1);
	fescue__config_push__init(encoded->push);
	encoded->push->version = text->version;
	encoded->push->hash = text->hash;
	version_text_encode(text, base, encoded->push);
	d->encodings++;
	return encoded->push;
}

void push_text(struct distribution *d, uint64_t to,
	       const struct version_text *text, const struct version_text *base,
	       const uint64_t *subtree, size_t subtree_len,
	       enum packet_purpose purpose, struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_PUSH);
	Fescue__ConfigPush *push = packet->config_push;

	*push = *encode_text(d, text, d->settings.deltas ? base : NULL);
	packet_set_bytes(&push->body, push->body.data, push->body.len);
	push->n_subtree = subtree_len;
	push->subtree = g_memdup2(subtree, subtree_len * sizeof(*subtree));
	outbox_send(outbox, to, purpose, packet);
}

/*
 * The text that a peer probably has: of the version that its gossip reported
 * last, else of the one that was active here before this text. NULL if there
 * is none to build a delta from.
 */
static const struct version_text *likely_base(const struct distribution *d,
					      uint64_t peer,
					      const struct version_text *text)
{
	const struct host *host = membership_find(d->membership, peer);
	const struct version_text *previous =
		text == active_text(d) ? &d->history.texts[1] : active_text(d);

	for (size_t i = 0; host && i < VERSION_HISTORY_TEXTS; i++)
		if (host->version &&
		    d->history.texts[i].version == host->version &&
		    &d->history.texts[i] != text)
			return &d->history.texts[i];
	return previous->version ? previous : NULL;
}

void push_to_hosts(struct distribution *d, const uint64_t *hosts, size_t n,
		   uint64_t now_ms, struct outbox *outbox)
{
	const struct version_text *text = newest_text(d);
	size_t groups = MIN(n, d->settings.fan_out);
	size_t start = 0;

	for (size_t i = 0; i < groups; i++) {
		size_t len = (n - start) / (groups - i);
		struct pending_push pending = { hosts[start], text->version,
						now_ms, NULL };

		pending.subtree = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_array_append_vals(pending.subtree, hosts + start + 1,
				    (guint)(len - 1));
		g_array_append_val(d->pending_pushes, pending);
		push_text(d, hosts[start], text,
			  likely_base(d, hosts[start], text), hosts + start + 1,
			  len - 1, PACKET_CONFIG, outbox);
		start += len;
	}
}

void push_forward(struct distribution *d, const Fescue__ConfigPush *push,
		  uint64_t now_ms, struct outbox *outbox)
{
	GArray *hosts;

	if (!push->n_subtree || newest_text(d)->version != push->version)
		return;
	if (d->forwarded_version != push->version)
		g_hash_table_remove_all(d->forwarded);
	d->forwarded_version = push->version;
	hosts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (size_t i = 0; i < push->n_subtree; i++)
		if (g_hash_table_add(d->forwarded,
				     g_memdup2(&push->subtree[i],
					       sizeof(push->subtree[i]))))
			g_array_append_val(hosts, push->subtree[i]);
	push_to_hosts(d, (const uint64_t *)hosts->data, hosts->len, now_ms,
		      outbox);
	g_array_free(hosts, TRUE);
}

void push_to_domain(struct distribution *d, uint64_t now_ms,
		    struct outbox *outbox)
{
	uint64_t version = newest_text(d)->version;
	GArray *hosts;

	d->backup_push_due_ms = 0;
	if (d->pushed_version >= version ||
	    d->settings.mode != DISTRIBUTION_RELAY)
		return;
	d->pushed_version = version;
	hosts = failure_domain_hosts(d->membership, "push", version);
	push_to_hosts(d, (const uint64_t *)hosts->data, hosts->len, now_ms,
		      outbox);
	g_array_free(hosts, TRUE);
}

void push_to_any_host(struct distribution *d, uint64_t now_ms,
		      struct outbox *outbox)
{
	size_t n = membership_count(d->membership);

	if (d->pending_pushes->len)
		return;
	for (size_t i = 1; i < n; i++) {
		const struct host *host = membership_host(
			d->membership, 1 + (i + d->staged.version) % (n - 1));

		if (!host_is_up(host))
			continue;
		push_to_hosts(d, &host->address, 1, now_ms, outbox);
		return;
	}
}

void push_handle_ack(struct distribution *d, uint64_t from, uint64_t version)
{
	for (guint i = 0; i < d->pending_pushes->len; i++) {
		struct pending_push *pending = &g_array_index(
			d->pending_pushes, struct pending_push, i);

		if (pending->child != from || version < pending->version)
			continue;
		g_array_remove_index_fast(d->pending_pushes, i);
		break;
	}
}

/* Repeat a push that may have been lost, without the child's subtree. */
static void repeat_push(struct distribution *d,
			const struct pending_push *pending,
			struct outbox *outbox)
{
	const struct version_text *text = newest_text(d);

	if (pending->version != text->version)
		return;
	push_text(d, pending->child, text, likely_base(d, pending->child, text),
		  NULL, 0, PACKET_CONFIG, outbox);
}

void push_handle_timeouts(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox)
{
	for (guint i = 0; i < d->pending_pushes->len;) {
		struct pending_push pending = g_array_index(
			d->pending_pushes, struct pending_push, i);
		GArray *subtree;

		if (now_ms < pending.sent_ms + d->settings.ack_timeout_ms) {
			i++;
			continue;
		}
		subtree = g_array_ref(pending.subtree);
		g_array_remove_index_fast(d->pending_pushes, i);
		repeat_push(d, &pending, outbox);
		if (pending.version == newest_text(d)->version)
			push_to_hosts(d, (const uint64_t *)subtree->data,
				      subtree->len, now_ms, outbox);
		g_array_unref(subtree);
	}
}
