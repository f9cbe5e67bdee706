#include "fescue/distribution.h"

#include "distribution_state.h"
#include "fescue/error.h"
#include "failure_domain.h"

#include <assert.h>
#include <string.h>

/*
 * Hosts of a domain, beside its relays, that take over for relays that lost
 * the store. More would all try when the store itself is out.
 */
#define RELAY_RESERVES 2

const struct distribution_settings distribution_defaults = {
	.mode = DISTRIBUTION_RELAY,
	.relays_per_domain = 2,
	.fan_out = 4,
	.ack_timeout_ms = 200,
	.backup_delay_ms = 300,
	.fetch_timeout_ms = 500,
	.deltas = 1,
	.witness = 1,
};

/* The parsed rules of a version, if it was the last one checked. */
static struct rules *take_checked(struct distribution *d, uint64_t version)
{
	if (d->checked_version != version)
		return NULL;
	return g_steal_pointer(&d->checked);
}

static void add_action(struct distribution *d,
		       enum distribution_action_type type, uint64_t version)
{
	struct distribution_action *action =
		g_new0(struct distribution_action, 1);

	action->type = type;
	action->version = version;
	if (type == DISTRIBUTION_APPLY) {
		action->u.apply.text = in_force(d)->bytes;
		action->u.apply.size = in_force(d)->size;
		action->u.apply.hash = in_force(d)->hash;
		action->u.apply.rules = take_checked(d, version);
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

		if (action->type == DISTRIBUTION_APPLY) {
			rules_destroy(action->u.apply.rules);
			g_free(action);
		} else {
			g_queue_push_tail(&d->actions, action);
		}
	}
}

static void put_in_force(struct distribution *d, struct version_text *text)
{
	assert(text->version > in_force(d)->version);
	drop_stale_applies(d);
	version_history_push(&d->history, text);
	add_action(d, DISTRIBUTION_APPLY, in_force(d)->version);
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

	rules_destroy(d->checked);
	d->checked = rules;
	d->checked_version = version;
	if (error)
		reject(d, version, &why);
	return error;
}

/* No other host is left that could hold the version as well. */
static int is_alone(const struct distribution *d)
{
	return membership_up_count(d->membership) <= 1;
}

static int needs_witness(const struct distribution *d)
{
	return d->settings.witness && d->settings.mode == DISTRIBUTION_RELAY &&
	       !is_alone(d);
}

static void commit_staged(struct distribution *d)
{
	if (d->staged.version)
		put_in_force(d, &d->staged);
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
	struct diagnostic bad = { 0 };

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
	version_text_clear(&d->staged);
	d->staged = version_text_copy(version, text, size);
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
		packet->config_fetch->have_version = in_force(d)->version;
		packet->config_fetch->have_hash = in_force(d)->hash;
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
	if (!d->settings.fetch_delay_ms || d->source_lost) {
		d->fetch_version = version;
		d->fetch_again = 1;
		send_fetch(d, peer, now_ms, 0, outbox);
	} else if (!d->behind_peer) {
		d->behind_peer = peer;
		d->behind_version = version;
		d->behind_since_ms = now_ms;
	}
}

void distribution_set_source(struct distribution *d, int answers)
{
	d->source_lost = !answers;
}

/* A push is on its way sooner than the own watch shows a version. */
static uint32_t fetch_delay(const struct distribution *d)
{
	uint32_t delay = d->settings.fetch_delay_ms;

	return d->watching ? delay : delay / 2;
}

/* The own watch has had its time to show what a peer has. */
static void review_behind(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox)
{
	uint64_t peer = d->behind_peer;

	if (!peer ||
	    (!d->source_lost && now_ms < d->behind_since_ms + fetch_delay(d)))
		return;
	d->behind_peer = 0;
	if (d->behind_version > newest(d)->version)
		send_fetch(d, peer, now_ms, 0, outbox);
}

static void send_config_ack(uint64_t to, uint64_t version,
			    struct outbox *outbox)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_CONFIG_ACK);

	packet->config_ack->version = version;
	outbox_send(outbox, to, PACKET_CONFIG, packet);
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
	struct version_text text = { 0 };

	if (push->version <= in_force(d)->version)
		return FESCUE_OK;
	if (push->version < d->staged.version)
		return FESCUE_OK;
	if (push->version == d->staged.version) {
		commit_staged(d); /* the sender is the witness */
		return FESCUE_OK;
	}
	if (push->version <= d->rejected_version)
		return FESCUE_EINVAL;
	if (version_text_decode(&d->history, push, &text)) {
		send_fetch(d, from, now_ms, 1, outbox);
		return FESCUE_EMISMATCH;
	}
	if (check_text(d, text.version, text.bytes, text.size)) {
		version_text_clear(&text);
		return FESCUE_EINVAL;
	}
	version_text_clear(&d->staged);
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
	uint64_t before = in_force(d)->version;
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
	if (before && in_force(d)->version > before &&
	    !is_own_domain(d, from) && !push->n_subtree)
		push_domain(d, now_ms, outbox);
}

static void receive_ack(struct distribution *d, uint64_t from, uint64_t version)
{
	push_acknowledged(d, from, version);
	if (d->staged.version && version >= d->staged.version)
		commit_staged(d);
}

static void receive_fetch(struct distribution *d, uint64_t from,
			  const Fescue__ConfigFetch *fetch,
			  struct outbox *outbox)
{
	const struct version_text *text = in_force(d);

	if (text->version > fetch->have_version)
		push_text(d, from, text,
			  version_history_find(&d->history, fetch->have_version,
					       fetch->have_hash),
			  NULL, 0, PACKET_REPAIR, outbox);
	else if (d->staged.version > fetch->have_version)
		push_text(d, from, &d->staged, NULL, NULL, 0, PACKET_REPAIR,
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

static void review_role(struct distribution *d)
{
	uint64_t generation = membership_role_generation(d->membership);
	struct domain_rank rank;
	int may_relay, watch;

	if (generation == d->generation_seen)
		return;
	d->generation_seen = generation;
	rank = failure_domain_rank(d->membership, "relay");
	d->rank = rank.by_store_access;
	may_relay = rank.by_capacity <
		    d->settings.relays_per_domain + RELAY_RESERVES;
	watch = d->settings.mode == DISTRIBUTION_POLL ||
		(may_relay && (d->rank < d->settings.relays_per_domain ||
			       membership_self(d->membership)->store_lost));
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

/* An answer may have been lost: ask once more while it is missing. */
static void review_fetch(struct distribution *d, uint64_t now_ms,
			 struct outbox *outbox)
{
	uint64_t peer = d->fetch_from;
	uint32_t timeout = d->settings.fetch_timeout_ms;

	if (d->source_lost)
		timeout /= 2;
	if (!peer || now_ms < d->fetch_started_ms + timeout)
		return;
	d->fetch_from = 0;
	if (d->fetch_again && d->fetch_version > newest(d)->version) {
		send_fetch(d, peer, now_ms, 0, outbox);
		d->fetch_again = 0;
	}
}

void distribution_tick(struct distribution *d, uint64_t now_ms,
		       struct outbox *outbox)
{
	review_role(d);
	push_review(d, now_ms, outbox);
	if (d->push_due_ms && now_ms >= d->push_due_ms)
		push_domain(d, now_ms, outbox);
	review_staged(d, now_ms, outbox);
	review_behind(d, now_ms, outbox);
	review_fetch(d, now_ms, outbox);
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
		if (action.type == DISTRIBUTION_APPLY)
			rules_destroy(action.u.apply.rules);
	rules_destroy(d->checked);
	version_history_clear(&d->history);
	version_text_clear(&d->staged);
	g_array_free(d->pending, TRUE);
	g_free(d);
}

uint64_t distribution_version(const struct distribution *d)
{
	return in_force(d)->version;
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
