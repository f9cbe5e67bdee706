#include "fescue/distribution.h"

#include "distribution_state.h"
#include "fescue/error.h"
#include "fescue/snapshot.h"
#include "failure_domain.h"

#include <string.h>

const struct distribution_settings distribution_defaults = {
	.mode = DISTRIBUTION_RELAY,
	.relays_per_domain = 2,
	.fan_out = 4,
	.ack_timeout_ms = 200,
	.backup_delay_ms = 300,
	.fetch_timeout_ms = 500,
	.deltas = 1,
	.require_peer_copy = 1,
};

const char *version_source_name(enum version_source_type type)
{
	switch (type) {
	case VERSION_FROM_STORE:
		return "store";
	case VERSION_FROM_PUSH:
		return "push";
	case VERSION_FROM_FETCH:
		return "fetch";
	case VERSION_FROM_GOSSIP:
		return "gossip";
	}
	return "unknown";
}

/*
 * Versions below a rejected one stay acceptable: the number in an invalid value
 * may be wrong as well.
 */
static int is_rejected(const struct distribution *d, uint64_t version,
		       uint64_t hash)
{
	return version == d->rejected_version && hash == d->rejected_hash;
}

static void reject(struct distribution *d, uint64_t version, uint64_t hash,
		   const struct diagnostic *diagnostic)
{
	if (is_rejected(d, version, hash))
		return;
	d->rejected_version = version;
	d->rejected_hash = hash;
	d->rejection = *diagnostic;
	add_action(d, DISTRIBUTION_REJECT, version);
}

/*
 * Parse a text. If any part of it is invalid, reject the whole version and
 * return an error.
 */
static int validate_text(struct distribution *d, uint64_t version,
			 const char *text, size_t size)
{
	struct diagnostic diagnostic;
	struct rules *rules;
	size_t count;
	int error = rules_parse(text, size, &rules, &diagnostic, 1, &count);

	rules_destroy(d->parsed_rules);
	d->parsed_rules = rules;
	d->parsed_version = version;
	if (error)
		reject(d, version, config_hash(text, size), &diagnostic);
	return error;
}

static int is_only_live_host(const struct distribution *d)
{
	return membership_up_count(d->membership) <= 1;
}

static int needs_peer_copy(const struct distribution *d)
{
	return d->settings.require_peer_copy &&
	       d->settings.mode == DISTRIBUTION_RELAY && !is_only_live_host(d);
}

static void schedule_push(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox)
{
	size_t rank = d->rank;
	int in_place = d->settings.mode == DISTRIBUTION_RELAY && !d->is_relay;

	/* The relays are silent, and the other hosts read the store as well. */
	if (in_place)
		rank -= MIN(rank, d->settings.relays_per_domain);
	if (in_place && !d->is_candidate) {
		if (d->staged.version)
			push_to_any_host(d, now_ms, outbox);
	} else if (!rank) {
		push_to_domain(d, now_ms, outbox);
		if (d->staged.version)
			push_to_any_host(d, now_ms, outbox);
	} else {
		d->backup_push_due_ms =
			now_ms + rank * d->settings.backup_delay_ms;
	}
}

int distribution_receive_store_value(struct distribution *d, uint64_t version,
				     const char *text, size_t size,
				     const char *decode_error, uint64_t now_ms,
				     struct outbox *outbox)
{
	struct diagnostic diagnostic = { 0 };

	if (version <= newest_text(d)->version)
		return FESCUE_OK;
	d->source = (struct version_source){ VERSION_FROM_STORE, 0 };
	if (!text) {
		g_strlcpy(diagnostic.what, decode_error,
			  sizeof(diagnostic.what));
		g_strlcpy(diagnostic.remedy,
			  "apply a valid rules file with fescuectl",
			  sizeof(diagnostic.remedy));
		reject(d, version,
		       config_hash(decode_error, strlen(decode_error)),
		       &diagnostic);
		return FESCUE_EINVAL;
	}
	if (is_rejected(d, version, config_hash(text, size)) ||
	    validate_text(d, version, text, size))
		return FESCUE_EINVAL;
	version_text_clear(&d->staged);
	d->staged = version_text_copy(version, text, size);
	d->behind_since_ms = 0;
	if (!needs_peer_copy(d))
		apply_staged(d);
	schedule_push(d, now_ms, outbox);
	return FESCUE_OK;
}

static void send_config_ack(uint64_t to, uint64_t version,
			    struct outbox *outbox)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_CONFIG_ACK);

	packet->config_ack->version = version;
	outbox_send(outbox, to, PACKET_CONFIG, packet);
}

/*
 * Take a pushed text if it is newer; it is validated with the next action, since
 * that takes long. Returns 0 if this host holds that version or a newer one
 * afterwards.
 */
static int accept_push(struct distribution *d, uint64_t from,
		       const Fescue__ConfigPush *push, uint64_t now_ms,
		       struct outbox *outbox)
{
	struct version_text text = { 0 };

	if (push->version <= active_text(d)->version)
		return FESCUE_OK;
	if (push->version < d->staged.version)
		return FESCUE_OK;
	if (push->version == d->staged.version) {
		apply_staged(d); /* the sender holds a copy */
		return FESCUE_OK;
	}
	if (push->version <= d->received.version)
		return FESCUE_OK;
	if (is_rejected(d, push->version, push->hash))
		return FESCUE_EINVAL;
	if (version_text_decode(&d->history, push, &text)) {
		fetch_send(d, from, now_ms, 1, outbox);
		return FESCUE_EMISMATCH;
	}
	version_text_clear(&d->received);
	d->received = text;
	d->received_source = (struct version_source){
		d->fetch_peer == from ? VERSION_FROM_FETCH : VERSION_FROM_PUSH,
		from
	};
	return FESCUE_OK;
}

/* Apply the pushed text if it is valid. */
static void process_received(struct distribution *d)
{
	struct version_text text = d->received;

	if (!text.version)
		return;
	d->received = (struct version_text){ 0 };
	d->source = d->received_source;
	if (validate_text(d, text.version, text.bytes, text.size)) {
		version_text_clear(&text);
		return;
	}
	version_text_clear(&d->staged);
	apply_text(d, &text);
}

static void receive_push(struct distribution *d, uint64_t from,
			 const Fescue__ConfigPush *push, uint64_t now_ms,
			 struct outbox *outbox)
{
	int from_fetch_peer = d->fetch_peer == from;
	uint64_t previous = newest_text(d)->version;
	int error = accept_push(d, from, push, now_ms, outbox);

	if (error)
		return;
	if (from_fetch_peer)
		d->fetch_peer = 0;
	send_config_ack(from, push->version, outbox);
	if (failure_domain_contains(d->membership, from))
		d->pushed_version = MAX(d->pushed_version, push->version);
	push_forward(d, push, now_ms, outbox);
	/* A version from another domain may be missing in this one. */
	if (previous && newest_text(d)->version > previous &&
	    !failure_domain_contains(d->membership, from) && !push->n_subtree)
		push_to_domain(d, now_ms, outbox);
}

static void receive_ack(struct distribution *d, uint64_t from, uint64_t version)
{
	push_handle_ack(d, from, version);
	if (d->staged.version && version >= d->staged.version)
		apply_staged(d);
}

static void receive_fetch(struct distribution *d, uint64_t from,
			  const Fescue__ConfigFetch *fetch,
			  struct outbox *outbox)
{
	const struct version_text *text = active_text(d);

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
	case FESCUE__PACKET__BODY_CONFIG_STATE:
		freshness_receive(d, from, packet->config_state, now_ms,
				  outbox);
		break;
	default:
		break;
	}
}

/*
 * Apply the staged version if no other host is left to hold a copy; otherwise
 * push it to another host when all pushes of it have timed out.
 */
static void retry_staged(struct distribution *d, uint64_t now_ms,
			 struct outbox *outbox)
{
	if (!d->staged.version)
		return;
	if (!needs_peer_copy(d))
		apply_staged(d);
	else if (!d->backup_push_due_ms)
		push_to_any_host(d, now_ms, outbox);
}

void distribution_tick(struct distribution *d, uint64_t now_ms,
		       struct outbox *outbox)
{
	d->previous_tick_ms = d->tick_ms;
	d->tick_ms = now_ms;
	update_relay_role(d, now_ms);
	freshness_report(d, now_ms, outbox);
	keys_tick(d, now_ms, outbox);
	push_handle_timeouts(d, now_ms, outbox);
	if (d->backup_push_due_ms && now_ms >= d->backup_push_due_ms)
		push_to_domain(d, now_ms, outbox);
	retry_staged(d, now_ms, outbox);
	fetch_start_deferred(d, now_ms, outbox);
	fetch_check_timeout(d, now_ms, outbox);
}

int distribution_next_action(struct distribution *d,
			     struct distribution_action *action)
{
	struct distribution_action *next;

	process_received(d);
	next = g_queue_pop_head(&d->actions);
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
	d->role_generation = UINT64_MAX;
	d->pending_pushes =
		g_array_new(FALSE, FALSE, sizeof(struct pending_push));
	g_array_set_clear_func(d->pending_pushes, pending_push_clear);
	d->forwarded = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	g_queue_init(&d->actions);
	keys_init(d);
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
	rules_destroy(d->parsed_rules);
	version_history_clear(&d->history);
	version_text_clear(&d->staged);
	version_text_clear(&d->received);
	g_array_free(d->pending_pushes, TRUE);
	g_hash_table_destroy(d->forwarded);
	keys_clear(d);
	for (size_t i = 0; i < ENCODED_TEXTS; i++)
		encoded_text_clear(&d->encoded[i]);
	g_free(d);
}

uint64_t distribution_version(const struct distribution *d)
{
	return active_text(d)->version;
}

int distribution_is_relay(const struct distribution *d)
{
	return d->is_relay || d->settings.mode == DISTRIBUTION_POLL;
}

int distribution_is_candidate(const struct distribution *d)
{
	return d->is_candidate || d->settings.mode == DISTRIBUTION_POLL;
}

size_t distribution_rank(const struct distribution *d)
{
	return d->rank;
}

uint64_t distribution_encodings(const struct distribution *d)
{
	return d->encodings;
}

uint64_t distribution_rejected_version(const struct distribution *d,
				       const struct diagnostic **diagnostic)
{
	*diagnostic = &d->rejection;
	return d->rejected_version;
}
