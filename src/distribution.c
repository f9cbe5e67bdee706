#include "fescue/distribution.h"

#include "fescue/delta.h"
#include "fescue/error.h"
#include "fescue/membership.h"
#include "fescue/snapshot.h"
#include "packet.h"

#include <assert.h>
#include <string.h>

#define HISTORY_TEXTS 4
#define DELTA_SHARE_PERCENT 50

const struct distribution_settings distribution_defaults = {
	.mode = DISTRIBUTION_RELAY,
	.relays_per_domain = 2,
	.fan_out = 4,
	.ack_timeout_ms = 200,
	.backup_delay_ms = 300,
	.fetch_timeout_ms = 500,
	.deltas = 1,
};

/* One version of the configuration text. */
struct text {
	uint64_t version; /* 0: none */
	uint64_t hash;
	char *bytes;
	size_t size;
};

/* A push that its receiver has not acknowledged. */
struct pending_push {
	uint64_t child;
	uint64_t version;
	uint64_t sent_ms;
	GArray *subtree; /* uint64_t */
};

struct distribution {
	struct distribution_settings settings;
	const struct membership *membership;
	uint64_t generation_seen;
	size_t rank;
	int watching;
	uint64_t floor;
	struct text history[HISTORY_TEXTS]; /* [0] is in force */
	struct text staged;		    /* checked, not yet in force */
	GArray *pending;		    /* struct pending_push */
	uint64_t push_due_ms;	 /* 0: none; when a further relay pushes */
	uint64_t pushed_version; /* this domain's tree is under way */
	uint64_t fetch_from;
	uint64_t fetch_started_ms;
	uint64_t rejected_version;
	struct diagnostic rejected;
	GQueue actions; /* struct distribution_action */
};

static void text_clear(struct text *text)
{
	g_free(text->bytes);
	memset(text, 0, sizeof(*text));
}

static void pending_clear(gpointer data)
{
	struct pending_push *pending = data;

	g_array_free(pending->subtree, TRUE);
}

static void add_action(struct distribution *d,
		       enum distribution_action_type type, uint64_t version)
{
	struct distribution_action *action =
		g_new0(struct distribution_action, 1);

	action->type = type;
	action->version = version;
	if (type == DISTRIBUTION_APPLY) {
		action->u.apply.text = d->history[0].bytes;
		action->u.apply.size = d->history[0].size;
		action->u.apply.hash = d->history[0].hash;
	} else if (type == DISTRIBUTION_REJECT) {
		action->u.reject = d->rejected;
	}
	g_queue_push_tail(&d->actions, action);
}

/* An APPLY that was not yet taken is replaced: only the newest counts. */
static void drop_stale_applies(struct distribution *d)
{
	guint turns = g_queue_get_length(&d->actions);

	while (turns--) {
		struct distribution_action *action =
			g_queue_pop_head(&d->actions);

		if (action->type == DISTRIBUTION_APPLY)
			g_free(action);
		else
			g_queue_push_tail(&d->actions, action);
	}
}

static void put_in_force(struct distribution *d, struct text *text)
{
	assert(text->version > d->history[0].version);
	drop_stale_applies(d);
	text_clear(&d->history[HISTORY_TEXTS - 1]);
	memmove(&d->history[1], &d->history[0],
		sizeof(d->history) - sizeof(d->history[0]));
	d->history[0] = *text;
	memset(text, 0, sizeof(*text));
	d->floor = MAX(d->floor, d->history[0].version);
	add_action(d, DISTRIBUTION_APPLY, d->history[0].version);
}

/* Highest version held, in force or staged. */
static const struct text *newest(const struct distribution *d)
{
	return d->staged.version > d->history[0].version ? &d->staged :
							   &d->history[0];
}

static const struct text *find_base(const struct distribution *d,
				    uint64_t version, uint64_t hash)
{
	if (!version)
		return NULL;
	for (size_t i = 0; i < HISTORY_TEXTS; i++)
		if (d->history[i].version == version &&
		    d->history[i].hash == hash)
			return &d->history[i];
	return NULL;
}

static void reject(struct distribution *d, uint64_t version,
		   const struct diagnostic *why)
{
	if (d->rejected_version >= version)
		return;
	d->rejected_version = version;
	d->rejected = *why;
	add_action(d, DISTRIBUTION_REJECT, version);
}

/* Check a text whole; a bad one is refused and leaves no trace in force. */
static int check_text(struct distribution *d, uint64_t version,
		      const char *text, size_t size)
{
	struct diagnostic why;
	struct rules *rules;
	size_t count;
	int error = rules_parse(text, size, &rules, &why, 1, &count);

	rules_destroy(rules);
	if (error)
		reject(d, version, &why);
	return error;
}

static struct text text_copy(uint64_t version, const char *bytes, size_t size)
{
	struct text text = {version, config_hash(bytes, size),
			    g_malloc(size + 1), size};

	memcpy(text.bytes, bytes, size);
	text.bytes[size] = '\0';
	return text;
}

static void fill_body(const struct distribution *d, Fescue__ConfigPush *push,
		      const struct text *text, const struct text *base)
{
	struct delta delta;

	if (base && d->settings.deltas) {
		delta = delta_compute(base->bytes, base->size, text->bytes,
				      text->size);
		if (delta.middle_bytes <
		    text->size * DELTA_SHARE_PERCENT / 100) {
			push->base_version = base->version;
			push->base_hash = base->hash;
			push->prefix_bytes = delta.prefix_bytes;
			push->suffix_bytes = delta.suffix_bytes;
			packet_set_bytes(&push->body, delta.middle,
					 delta.middle_bytes);
			return;
		}
	}
	packet_set_bytes(&push->body, text->bytes, text->size);
}

static void send_text(struct distribution *d, uint64_t to,
		      const struct text *text, const struct text *base,
		      const uint64_t *subtree, size_t subtree_len,
		      enum packet_purpose purpose, struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_PUSH);
	Fescue__ConfigPush *push = packet->config_push;

	push->version = text->version;
	push->hash = text->hash;
	fill_body(d, push, text, base);
	push->n_subtree = subtree_len;
	push->subtree = g_memdup2(subtree, subtree_len * sizeof(*subtree));
	outbox_send(outbox, to, purpose, packet);
}

/* The text a peer most likely has: the one in force before this version. */
static const struct text *likely_base(const struct distribution *d,
				      const struct text *text)
{
	const struct text *base = text == &d->staged ? &d->history[0] :
						       &d->history[1];

	return base->version ? base : NULL;
}

/* Push to the first host of each of fan_out groups; the rest follow it. */
static void push_subtree(struct distribution *d, const uint64_t *hosts,
			 size_t n, uint64_t now_ms, struct outbox *outbox)
{
	const struct text *text = newest(d);
	size_t groups = MIN(n, d->settings.fan_out);
	size_t start = 0;

	for (size_t g = 0; g < groups; g++) {
		size_t len = (n - start) / (groups - g);
		struct pending_push pending = {hosts[start], text->version,
					       now_ms, NULL};

		pending.subtree = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_array_append_vals(pending.subtree, hosts + start + 1,
				    (guint)(len - 1));
		g_array_append_val(d->pending, pending);
		send_text(d, hosts[start], text, likely_base(d, text),
			  hosts + start + 1, len - 1, PACKET_CONFIG, outbox);
		start += len;
	}
}

struct weighted_host {
	uint64_t host;
	uint64_t weight;
};

static gint compare_weights(gconstpointer a, gconstpointer b)
{
	const struct weighted_host *x = a, *y = b;

	if (x->weight != y->weight)
		return x->weight < y->weight ? 1 : -1;
	return x->host < y->host ? -1 : x->host > y->host;
}

/* Live hosts of the own failure domain, heaviest first. */
static GArray *domain_hosts(const struct distribution *d, const char *purpose,
			    uint64_t salt, int include_self)
{
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(struct weighted_host));
	const struct host *self = membership_self(d->membership);
	size_t n = membership_count(d->membership);

	for (size_t i = 0; i < n; i++) {
		const struct host *host = membership_host(d->membership, i);
		struct weighted_host entry = {host->address,
					      host_weight(host->address,
							  purpose, salt)};

		if (!host_is_up(host) || (host == self && !include_self))
			continue;
		if (!strcmp(host->failure_domain, self->failure_domain))
			g_array_append_val(hosts, entry);
	}
	g_array_sort(hosts, compare_weights);
	return hosts;
}

/* Start this domain's tree with the own host as its root. */
static void push_domain(struct distribution *d, uint64_t now_ms,
			struct outbox *outbox)
{
	uint64_t version = newest(d)->version;
	GArray *hosts, *addresses;

	d->push_due_ms = 0;
	if (d->pushed_version >= version ||
	    d->settings.mode != DISTRIBUTION_RELAY)
		return;
	d->pushed_version = version;
	hosts = domain_hosts(d, "push", version, 0);
	addresses = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (guint i = 0; i < hosts->len; i++)
		g_array_append_val(
			addresses,
			g_array_index(hosts, struct weighted_host, i).host);
	push_subtree(d, (const uint64_t *)addresses->data, addresses->len,
		     now_ms, outbox);
	g_array_free(hosts, TRUE);
	g_array_free(addresses, TRUE);
}

/* No other host is left that could hold the version as well. */
static int is_alone(const struct distribution *d)
{
	return membership_up_count(d->membership) <= 1;
}

static int needs_witness(const struct distribution *d)
{
	return d->settings.mode == DISTRIBUTION_RELAY && !is_alone(d);
}

static void commit_staged(struct distribution *d)
{
	if (d->staged.version)
		put_in_force(d, &d->staged);
}

/* A host outside the own domain witnesses when the domain has no other. */
static void push_to_witness(struct distribution *d, uint64_t now_ms,
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

static void schedule_push(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox)
{
	uint64_t delay = d->rank * d->settings.backup_delay_ms;

	if (!delay) {
		push_domain(d, now_ms, outbox);
		if (d->staged.version)
			push_to_witness(d, now_ms, outbox);
	} else {
		d->push_due_ms = now_ms + delay;
	}
}

void distribution_store_value(struct distribution *d, uint64_t version,
			      const char *text, size_t size, const char *why,
			      uint64_t now_ms, struct outbox *outbox)
{
	struct diagnostic bad = {0};

	if (version <= newest(d)->version || version <= d->rejected_version)
		return;
	if (!text) {
		g_strlcpy(bad.what, why, sizeof(bad.what));
		g_strlcpy(bad.remedy, "apply a good file with fescuectl",
			  sizeof(bad.remedy));
		reject(d, version, &bad);
		return;
	}
	if (check_text(d, version, text, size))
		return;
	text_clear(&d->staged);
	d->staged = text_copy(version, text, size);
	if (!needs_witness(d))
		commit_staged(d);
	schedule_push(d, now_ms, outbox);
}

static void send_fetch(struct distribution *d, uint64_t peer, uint64_t now_ms,
		       int whole, struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_FETCH);

	if (!whole) {
		packet->config_fetch->have_version = d->history[0].version;
		packet->config_fetch->have_hash = d->history[0].hash;
	}
	d->fetch_from = peer;
	d->fetch_started_ms = now_ms;
	outbox_send(outbox, peer, PACKET_REPAIR, packet);
}

void distribution_peer_version(struct distribution *d, uint64_t peer,
			       uint64_t version, uint64_t hash, uint64_t now_ms,
			       struct outbox *outbox)
{
	(void)hash;
	if (version <= newest(d)->version)
		return;
	if (d->fetch_from &&
	    now_ms < d->fetch_started_ms + d->settings.fetch_timeout_ms)
		return;
	send_fetch(d, peer, now_ms, 0, outbox);
}

static void send_config_ack(uint64_t to, uint64_t version,
			    struct outbox *outbox)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_CONFIG_ACK);

	packet->config_ack->version = version;
	outbox_send(outbox, to, PACKET_CONFIG, packet);
}

/* Rebuild the pushed text; FESCUE_EMISMATCH asks for it whole. */
static int decode_push(const struct distribution *d,
		       const Fescue__ConfigPush *push, struct text *out)
{
	const struct text *base;
	struct delta delta = {push->prefix_bytes, push->suffix_bytes,
			      (const char *)push->body.data, push->body.len};

	if (!push->base_version) {
		*out = text_copy(push->version, (const char *)push->body.data,
				 push->body.len);
	} else {
		base = find_base(d, push->base_version, push->base_hash);
		if (!base || delta_apply(base->bytes, base->size, &delta,
					 &out->bytes, &out->size))
			return FESCUE_EMISMATCH;
		out->version = push->version;
		out->hash = config_hash(out->bytes, out->size);
	}
	if (out->hash == push->hash)
		return FESCUE_OK;
	text_clear(out);
	return FESCUE_EMISMATCH;
}

static int is_own_domain(const struct distribution *d, uint64_t peer)
{
	const struct host *self = membership_self(d->membership);
	const struct host *host = membership_find(d->membership, peer);

	return host && !strcmp(host->failure_domain, self->failure_domain);
}

/* Take a text that a peer holds; returns 0 when it is held here afterwards. */
static int accept_push(struct distribution *d, uint64_t from,
		       const Fescue__ConfigPush *push, uint64_t now_ms,
		       struct outbox *outbox)
{
	struct text text = {0};

	if (push->version <= d->history[0].version)
		return FESCUE_OK;
	if (push->version < d->staged.version)
		return FESCUE_OK;
	if (push->version == d->staged.version) {
		commit_staged(d); /* the sender is the witness */
		return FESCUE_OK;
	}
	if (push->version <= d->rejected_version)
		return FESCUE_EINVAL;
	if (decode_push(d, push, &text)) {
		send_fetch(d, from, now_ms, 1, outbox);
		return FESCUE_EMISMATCH;
	}
	if (check_text(d, text.version, text.bytes, text.size)) {
		text_clear(&text);
		return FESCUE_EINVAL;
	}
	text_clear(&d->staged);
	put_in_force(d, &text);
	return FESCUE_OK;
}

static void forward_push(struct distribution *d, const Fescue__ConfigPush *push,
			 uint64_t now_ms, struct outbox *outbox)
{
	if (push->n_subtree && newest(d)->version == push->version)
		push_subtree(d, push->subtree, push->n_subtree, now_ms, outbox);
}

static void receive_push(struct distribution *d, uint64_t from,
			 const Fescue__ConfigPush *push, uint64_t now_ms,
			 struct outbox *outbox)
{
	int was_fetch = d->fetch_from == from;
	uint64_t before = d->history[0].version;
	int error = accept_push(d, from, push, now_ms, outbox);

	if (error)
		return;
	if (was_fetch)
		d->fetch_from = 0;
	send_config_ack(from, push->version, outbox);
	if (is_own_domain(d, from))
		d->pushed_version = MAX(d->pushed_version, push->version);
	forward_push(d, push, now_ms, outbox);
	/* News from another domain: this domain may not have it yet. */
	if (before && d->history[0].version > before &&
	    !is_own_domain(d, from) && !push->n_subtree)
		push_domain(d, now_ms, outbox);
}

static void receive_ack(struct distribution *d, uint64_t from, uint64_t version)
{
	for (guint i = 0; i < d->pending->len; i++) {
		struct pending_push *pending =
			&g_array_index(d->pending, struct pending_push, i);

		if (pending->child != from || version < pending->version)
			continue;
		g_array_remove_index_fast(d->pending, i);
		break;
	}
	if (d->staged.version && version >= d->staged.version)
		commit_staged(d);
}

static void receive_fetch(struct distribution *d, uint64_t from,
			  const Fescue__ConfigFetch *fetch,
			  struct outbox *outbox)
{
	const struct text *text = &d->history[0];

	if (text->version > fetch->have_version)
		send_text(d, from, text,
			  find_base(d, fetch->have_version, fetch->have_hash),
			  NULL, 0, PACKET_REPAIR, outbox);
	else if (d->staged.version > fetch->have_version)
		send_text(d, from, &d->staged, NULL, NULL, 0, PACKET_REPAIR,
			  outbox);
}

void distribution_receive(struct distribution *d, uint64_t from,
			  const Fescue__Packet *packet, uint64_t now_ms,
			  struct outbox *outbox)
{
	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_CONFIG_PUSH:
		receive_push(d, from, packet->config_push, now_ms, outbox);
		break;
	case FESCUE__PACKET__BODY_CONFIG_ACK:
		receive_ack(d, from, packet->config_ack->version);
		break;
	case FESCUE__PACKET__BODY_CONFIG_FETCH:
		receive_fetch(d, from, packet->config_fetch, outbox);
		break;
	default:
		break;
	}
}

/* Take over the subtree of a child that did not acknowledge in time. */
static void adopt_subtrees(struct distribution *d, uint64_t now_ms,
			   struct outbox *outbox)
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
		if (pending.version == newest(d)->version)
			push_subtree(d, (const uint64_t *)subtree->data,
				     subtree->len, now_ms, outbox);
		g_array_unref(subtree);
	}
}

static size_t own_rank(const struct distribution *d)
{
	GArray *hosts = domain_hosts(d, "relay", 0, 1);
	uint64_t self = membership_self(d->membership)->address;
	size_t rank = 0;

	while (rank < hosts->len &&
	       g_array_index(hosts, struct weighted_host, rank).host != self)
		rank++;
	g_array_free(hosts, TRUE);
	return rank;
}

static void review_role(struct distribution *d)
{
	uint64_t generation = membership_generation(d->membership);
	int watch;

	if (generation == d->generation_seen)
		return;
	d->generation_seen = generation;
	d->rank = own_rank(d);
	watch = d->settings.mode == DISTRIBUTION_POLL ||
		d->rank < d->settings.relays_per_domain;
	if (watch == d->watching)
		return;
	d->watching = watch;
	add_action(d, watch ? DISTRIBUTION_WATCH : DISTRIBUTION_UNWATCH, 0);
}

/* A staged version whose pushes all failed looks for another witness. */
static void review_staged(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox)
{
	if (!d->staged.version)
		return;
	if (!needs_witness(d))
		commit_staged(d);
	else if (!d->push_due_ms)
		push_to_witness(d, now_ms, outbox);
}

void distribution_tick(struct distribution *d, uint64_t now_ms,
		       struct outbox *outbox)
{
	review_role(d);
	adopt_subtrees(d, now_ms, outbox);
	if (d->push_due_ms && now_ms >= d->push_due_ms)
		push_domain(d, now_ms, outbox);
	review_staged(d, now_ms, outbox);
	if (d->fetch_from &&
	    now_ms >= d->fetch_started_ms + d->settings.fetch_timeout_ms)
		d->fetch_from = 0;
}

int distribution_next_action(struct distribution *d,
			     struct distribution_action *action)
{
	struct distribution_action *next = g_queue_pop_head(&d->actions);

	if (!next)
		return 0;
	*action = *next;
	g_free(next);
	return 1;
}

struct distribution *
distribution_create(const struct distribution_settings *settings,
		    const struct membership *membership)
{
	struct distribution *d = g_new0(struct distribution, 1);

	d->settings = *settings;
	d->membership = membership;
	d->generation_seen = UINT64_MAX;
	d->pending = g_array_new(FALSE, FALSE, sizeof(struct pending_push));
	g_array_set_clear_func(d->pending, pending_clear);
	g_queue_init(&d->actions);
	return d;
}

void distribution_destroy(struct distribution *d)
{
	struct distribution_action action;

	if (!d)
		return;
	while (distribution_next_action(d, &action))
		continue;
	for (size_t i = 0; i < HISTORY_TEXTS; i++)
		text_clear(&d->history[i]);
	text_clear(&d->staged);
	g_array_free(d->pending, TRUE);
	g_free(d);
}

void distribution_raise_floor(struct distribution *d, uint64_t version)
{
	d->floor = MAX(d->floor, version);
}

uint64_t distribution_floor(const struct distribution *d)
{
	return d->floor;
}

uint64_t distribution_version(const struct distribution *d)
{
	return d->history[0].version;
}

uint64_t distribution_staged_version(const struct distribution *d)
{
	return d->staged.version;
}

int distribution_is_relay(const struct distribution *d)
{
	return d->watching;
}

size_t distribution_rank(const struct distribution *d)
{
	return d->rank;
}

uint64_t distribution_rejected_version(const struct distribution *d,
				       const struct diagnostic **why)
{
	*why = &d->rejected;
	return d->rejected_version;
}
