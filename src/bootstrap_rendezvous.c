/* Rendezvous records, by which nodes that start find peers. */
#include "bootstrap_state.h"

#include "fescue/error.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define RENDEZVOUS_TTL_MS 10000
#define RENDEZVOUS_RENEW_MS 3000
#define NEW_ERA_SPREAD_MS 500 /* in which relays publish again */
#define CONFLICT_PAUSE_MS 500 /* in which two groups of nodes merge */
/*
 * Of a second record, without a lease: the last host that published at the rank.
 * Leases may end while the store is down, and the hosts live on.
 */
#define LAST_SUFFIX "/last"
/* A listed host that did not answer may have been restarted as well. */
#define JOIN_INTERVAL_MS 100
#define JOIN_PROBES 4 /* per interval; limits control traffic */
#define JOIN_FOR_MS RENDEZVOUS_TTL_MS /* dead hosts are listed for as long */
#define LISTED_MAX 64
/* As many as are probed when a backend server changes. */
#define INTRODUCTION_PROBES 12

static void add_listed(struct bootstrap *b, uint64_t address)
{
	for (guint i = 0; i < b->listed->len; i++)
		if (g_array_index(b->listed, uint64_t, i) == address)
			return;
	if (b->listed->len < LISTED_MAX)
		g_array_append_val(b->listed, address);
}

void rendezvous_join(struct bootstrap *b, const struct store_item *item)
{
	char *text = g_strndup(item->value ? item->value : "", item->size);
	struct address address;

	if (!address_parse(text, &address)) {
		add_listed(b, address_key(address));
		membership_join(b->settings.membership, address_key(address),
				b->settings.outbox);
	}
	g_free(text);
}

void rendezvous_restart(struct bootstrap *b, uint64_t now_ms)
{
	g_array_set_size(b->listed, 0);
	b->next_listed = g_rand_int(b->random);
	b->join_at_ms = 0;
	b->join_until_ms = now_ms + JOIN_FOR_MS;
	b->introduced = 0;
}

/* Hosts that are known to be up are not probed by membership_join(). */
static void probe_listed(struct bootstrap *b)
{
	for (guint i = 0; i < MIN(b->listed->len, JOIN_PROBES); i++) {
		guint k = b->next_listed++ % b->listed->len;

		membership_join(b->settings.membership,
				g_array_index(b->listed, uint64_t, k),
				b->settings.outbox);
	}
}

void rendezvous_join_again(struct bootstrap *b, uint64_t now_ms)
{
	if (!b->settings.join_quickly)
		return;
	if (!b->introduced && membership_is_synced(b->settings.membership)) {
		b->introduced = 1;
		membership_probe_random(b->settings.membership,
					INTRODUCTION_PROBES,
					b->settings.outbox);
	}
	if (now_ms < b->join_at_ms || now_ms >= b->join_until_ms)
		return;
	b->join_at_ms = now_ms + JOIN_INTERVAL_MS;
	probe_listed(b);
}

/* Joins the listed addresses, so that separate groups of nodes merge. */
static void on_list_read(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->rendezvous_call = NULL;
	bootstrap_update_store_state(b, result->error);
	for (size_t i = 0; i < result->item_count; i++)
		rendezvous_join(b, &result->items[i]);
	b->settings.changed(b->settings.data);
}

int rendezvous_has_met_none(const struct bootstrap *b)
{
	const struct membership *membership = b->settings.membership;
	uint64_t self = membership_self(membership)->address;
	int others = 0;

	for (guint i = 0; i < b->listed->len; i++) {
		uint64_t address = g_array_index(b->listed, uint64_t, i);
		const struct host *host = membership_find(membership, address);

		if (address == self)
			continue;
		others = 1;
		if (host && host_is_up(host))
			return !membership_is_synced(membership);
	}
	return others;
}

/* If no peers are found again, the node may act as a relay at once. */
static void on_second_list(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	on_list_read(data, result);
	b->list_was_empty = 0;
	b->relay_at_ms =
		bootstrap_now_ms(b) + (result->item_count ? RELAY_DELAY_MS : 0);
}

static void read_list(struct bootstrap *b, enum list_consistency consistency,
		      void (*done)(void *data,
				   const struct store_result *result))
{
	b->rendezvous_call = store_list(b->settings.store, RENDEZVOUS_PREFIX,
					consistency, done, b);
}

void rendezvous_read_again(struct bootstrap *b, uint64_t now_ms)
{
	if (b->list_was_empty && b->phase == BOOT_DONE && !b->rendezvous_call &&
	    now_ms >= b->relay_at_ms)
		read_list(b, LIST_FRESH, on_second_list);
}

/*
 * On a conflict another node has published a record for the same rank. This
 * node joins it. If it still has that rank after a pause, it replaces the
 * record.
 */
static void on_published(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->rendezvous_call = NULL;
	bootstrap_update_store_state(b, result->error);
	b->record_revision = result->revision;
	b->published = result->error == FESCUE_OK;
	if (result->error == FESCUE_ENOTFOUND)
		b->lease = 0;
	if (result->error == FESCUE_ECONFLICT) {
		b->rendezvous_at_ms = bootstrap_now_ms(b) + CONFLICT_PAUSE_MS;
		read_list(b, LIST_FRESH, on_list_read);
	}
}

static void on_granted(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->rendezvous_call = NULL;
	bootstrap_update_store_state(b, result->error);
	if (result->error)
		return;
	b->lease = result->lease;
	log_event(LOG_STATE, "lease_granted", "\"lease\":%" PRIu64, b->lease);
	b->published = 0;
	b->rendezvous_at_ms = 0;
}

static void on_renewed(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->rendezvous_call = NULL;
	bootstrap_update_store_state(b, result->error);
	if (result->error == FESCUE_ENOTFOUND) {
		log_event(LOG_STATE, "lease_lost", "\"lease\":%" PRIu64,
			  b->lease);
		b->lease = 0;
	}
	if (!result->error)
		read_list(b, LIST_STALE_OK, on_list_read);
}

void rendezvous_forget_record(struct bootstrap *b, uint64_t now_ms)
{
	if (!b->lease && !b->published)
		return;
	b->lease = 0;
	b->published = 0;
	b->record_revision = 0;
	b->rendezvous_at_ms = now_ms + (uint64_t)g_rand_int_range(
					       b->random, 0, NEW_ERA_SPREAD_MS);
}

static void publish(struct bootstrap *b)
{
	size_t rank = distribution_rank(b->settings.distribution);
	char key[160], last_key[sizeof(key) + 8], value[ADDRESS_TEXT_BYTES];
	size_t size;

	if (rank != b->published_rank)
		b->record_revision = 0;
	b->published_rank = rank;
	g_snprintf(key, sizeof(key), RENDEZVOUS_PREFIX "%s/%zu",
		   b->settings.failure_domain, rank);
	g_snprintf(last_key, sizeof(last_key), "%s" LAST_SUFFIX, key);
	size = strlen(address_format(b->settings.peer_address, value));
	const struct store_write writes[] = {
		{ key, value, size, b->record_revision, b->lease },
		{ last_key, value, size, STORE_ANY_REVISION, 0 },
	};

	b->rendezvous_call = store_put_all(b->settings.store, writes,
					   G_N_ELEMENTS(writes), on_published,
					   b);
}

void rendezvous_publish(struct bootstrap *b, uint64_t now_ms)
{
	size_t rank = distribution_rank(b->settings.distribution);

	if (rank >= b->settings.relays_per_domain || b->rendezvous_call ||
	    !may_act_as_relay(b, now_ms))
		return;
	if (b->published && rank != b->published_rank)
		b->published = 0;
	if (now_ms < b->rendezvous_at_ms)
		return;
	b->rendezvous_at_ms = now_ms + RENDEZVOUS_RENEW_MS;
	if (!b->lease)
		b->rendezvous_call = store_lease_grant(
			b->settings.store, RENDEZVOUS_TTL_MS, on_granted, b);
	else if (!b->published)
		publish(b);
	else
		b->rendezvous_call = store_lease_renew(b->settings.store,
						       b->lease, on_renewed, b);
}
