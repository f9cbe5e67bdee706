#include "bootstrap.h"

#include "fescue/error.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define RENDEZVOUS_PREFIX "fescue/rendezvous/"
#define RENDEZVOUS_TTL_MS 10000
#define RENDEZVOUS_RENEW_MS 3000
#define RETRY_MIN_MS 250
/* Half of the time in which a change must be in force. */
#define RETRY_MAX_MS 1000
/* A host without the store learns of versions by probing peers this often. */
#define PROBE_WITHOUT_STORE_MS 300
/* A host without the store that is no relay tries it this often at most. */
#define RECHECK_MS 5000
#define ASK_PEERS_MS 1000
#define ASK_PEERS_MAX 32 /* a second: within the control budget */
#define CONFLICT_PAUSE_MS 500 /* for two groups of nodes to merge */
#define ROLE_DELAY_MS 1000
/*
 * Nodes that start together all find an empty list. Each looks again after a
 * random part of this time, so that most find the records of the first.
 */
#define EMPTY_LIST_SPREAD_MS 1000
/*
 * After a change the next one is not looked for at once: a storm of versions
 * is read once. Well below the time in which a change must be in force.
 */
#define WATCH_PAUSE_MS 600

/* Addresses of hosts may be some seconds old; who else starts now may not. */
enum list_age { LIST_FRESH, LIST_STALE_OK };

enum boot_phase {
	BOOT_WAIT, /* for the next attempt's time */
	BOOT_LIST, /* reading the rendezvous records */
	BOOT_VALUE, /* reading the configuration */
	BOOT_DONE,
};

struct bootstrap {
	struct bootstrap_settings settings;
	GRand *random;
	enum boot_phase phase;
	uint64_t attempt_at_ms;
	uint64_t ask_at_ms; /* for peers to vouch, while unconfirmed */
	uint32_t retry_ms;
	struct floor floor;
	uint64_t role_at_ms; /* no relay role before peers could answer */
	int found_none; /* the list was empty; it is read again at role_at_ms */
	int store_up;
	uint64_t probe_at_ms;
	struct store_call *boot_call;
	int watching;
	struct store_call *watch_call;
	uint64_t watch_after; /* revision of the store; 0: read the key first */
	uint64_t watch_at_ms;
	uint32_t watch_retry_ms;
	uint64_t recheck_at_ms;
	uint64_t lease;
	int published; /* the record was written under the lease */
	size_t published_rank;
	uint64_t record_revision;
	uint64_t rendezvous_at_ms;
	struct store_call *rendezvous_call;
};

static uint64_t bootstrap_now_ms(const struct bootstrap *b)
{
	return task_now_ms(b->settings.links);
}

static void note_store(struct bootstrap *b, int error)
{
	int up = error != FESCUE_EUNAVAILABLE && error != FESCUE_ETIMEOUT;

	if (up != b->store_up)
		log_event(LOG_STATE, up ? "store_regained" : "store_lost",
			  "\"error\":\"%s\",\"watching\":%d,"
			  "\"rank\":%zu",
			  up ? "" : fescue_strerror(error), b->watching,
			  distribution_rank(b->settings.distribution));
	b->store_up = up;
	distribution_set_store_reachable(b->settings.distribution, up);
	membership_set_store_lost(b->settings.membership, !up);
}

static uint32_t jitter(struct bootstrap *b, uint32_t ms)
{
	return (uint32_t)g_rand_int_range(b->random, (gint)(ms / 2),
					  (gint)ms + 1);
}

static uint32_t back_off(uint32_t *retry_ms)
{
	uint32_t now = *retry_ms;

	*retry_ms = MIN(*retry_ms * 2, RETRY_MAX_MS);
	return now;
}

static void retry_boot(struct bootstrap *b)
{
	b->phase = BOOT_WAIT;
	b->attempt_at_ms =
		bootstrap_now_ms(b) + jitter(b, back_off(&b->retry_ms));
}

static const char *config_key(const struct bootstrap *b)
{
	return interface_config_key(b->settings.interface);
}

/* Hand a stored value to the distribution; returns the version it names. */
static uint64_t take_value(struct bootstrap *b,
			   const struct store_result *result)
{
	const struct bootstrap_settings *s = &b->settings;
	struct config_value value;
	uint64_t version;

	interface_decode_config(s->interface, result->revision, result->value,
				result->size, &value);
	version = value.version;
	if (!version) {
		log_error("the stored configuration is refused: %s",
			  value.reason);
	} else {
		s->saw_version(s->data, version);
		distribution_receive_store_value(
			s->distribution, version, value.text, value.size,
			value.reason, bootstrap_now_ms(b), s->outbox);
		s->changed(s->data);
	}
	config_value_clear(&value);
	return version;
}

static void on_boot_value(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;
	uint64_t version = 0;

	b->boot_call = NULL;
	note_store(b, result->error);
	if (result->error && result->error != FESCUE_ENOTFOUND) {
		retry_boot(b);
		return;
	}
	if (!result->error)
		version = take_value(b, result);
	b->watch_after = result->store_revision;
	floor_confirm_by_store(&b->floor, version);
	b->phase = BOOT_DONE;
	log_state("floor confirmed by the store at version %" G_GUINT64_FORMAT,
		  version);
}

static void join(struct bootstrap *b, const struct store_item *item)
{
	char *text = g_strndup(item->value ? item->value : "", item->size);
	struct address address;

	if (!address_parse(text, &address))
		membership_join(b->settings.membership, address_key(address),
				b->settings.outbox);
	g_free(text);
}

static void on_list(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->boot_call = NULL;
	note_store(b, result->error);
	if (result->error) {
		retry_boot(b);
		return;
	}
	for (size_t i = 0; i < result->item_count; i++)
		join(b, &result->items[i]);
	b->settings.changed(b->settings.data);
	b->found_none = !result->item_count;
	b->role_at_ms = bootstrap_now_ms(b) + ROLE_DELAY_MS;
	if (b->found_none)
		b->role_at_ms = bootstrap_now_ms(b) +
				(uint64_t)g_rand_int_range(
					b->random, 0, EMPTY_LIST_SPREAD_MS);
	b->phase = BOOT_VALUE;
	b->boot_call =
		store_get(b->settings.store, config_key(b), on_boot_value, b);
}

/* While the store is out, peers that were heard for a while know the floor. */
static void confirm_by_peers(struct bootstrap *b, uint64_t now_ms)
{
	struct membership *membership = b->settings.membership;
	int vouched = membership_is_synced(membership) &&
		      membership_peers_confirmed(membership);

	membership_set_floor(membership, b->floor.confirmed, b->floor.version);
	if (!b->floor.confirmed && now_ms >= b->ask_at_ms) {
		membership_probe_unconfirmed(membership, ASK_PEERS_MAX,
					     b->settings.outbox);
		b->ask_at_ms = now_ms + ASK_PEERS_MS;
	}
	if (!floor_confirm_by_peers(&b->floor, vouched,
				    membership_highest_version(membership),
				    now_ms))
		return;
	if (b->boot_call)
		store_call_cancel(b->boot_call);
	b->boot_call = NULL;
	b->phase = BOOT_DONE;
	log_state("floor confirmed by peers at version %" G_GUINT64_FORMAT,
		  b->floor.version);
}

static void boot_tick(struct bootstrap *b, uint64_t now_ms)
{
	if (b->phase == BOOT_WAIT && now_ms >= b->attempt_at_ms) {
		b->phase = BOOT_LIST;
		b->boot_call = store_list(b->settings.store, RENDEZVOUS_PREFIX,
					  LIST_STALE_OK, on_list, b);
	}
	confirm_by_peers(b, now_ms);
}

static void watch_failed(struct bootstrap *b, int error)
{
	b->watch_at_ms =
		bootstrap_now_ms(b) + jitter(b, back_off(&b->watch_retry_ms));
	note_store(b, error);
}

static void watch_succeeded(struct bootstrap *b,
			    const struct store_result *result, uint32_t pause)
{
	b->watch_retry_ms = RETRY_MIN_MS;
	b->watch_at_ms = bootstrap_now_ms(b) + pause;
	if (result->store_revision)
		b->watch_after = result->store_revision;
	note_store(b, FESCUE_OK);
}

/* Read the key anew: the history from where the watch stood is gone. */
static void on_reread(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->watch_call = NULL;
	if (result->error && result->error != FESCUE_ENOTFOUND) {
		watch_failed(b, result->error);
		return;
	}
	if (!result->error)
		take_value(b, result);
	watch_succeeded(b, result, 0);
}

static void on_watch(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->watch_call = NULL;
	switch (result->error) {
	case FESCUE_OK:
		take_value(b, result);
		watch_succeeded(b, result, WATCH_PAUSE_MS);
		break;
	case FESCUE_ENOTFOUND: /* removed: what is in force stays */
		log_error("the stored configuration was removed; apply it "
			  "again");
		watch_succeeded(b, result, WATCH_PAUSE_MS);
		break;
	case FESCUE_EGONE:
		b->watch_after = 0;
		b->watch_at_ms = 0;
		break;
	default:
		if (result->store_revision) {
			watch_succeeded(b, result, 0);
			break;
		}
		/* Changes may have been missed: read the key first. */
		b->watch_after = 0;
		watch_failed(b, result->error);
		break;
	}
}

/* A newcomer that knows no peer yet must not take itself for a relay. */
static int may_take_role(const struct bootstrap *b, uint64_t now_ms)
{
	return b->phase == BOOT_DONE && now_ms >= b->role_at_ms &&
	       !b->found_none;
}

static void watch_tick(struct bootstrap *b, uint64_t now_ms)
{
	if (!b->watching || b->watch_call || now_ms < b->watch_at_ms ||
	    !may_take_role(b, now_ms))
		return;
	b->watch_call = b->watch_after ?
				store_watch(b->settings.store, config_key(b),
					    b->watch_after, on_watch, b) :
				store_get(b->settings.store, config_key(b),
					  on_reread, b);
}

/* Join the addresses found, so that separate groups of nodes merge. */
static void on_relisted(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->rendezvous_call = NULL;
	note_store(b, result->error);
	for (size_t i = 0; i < result->item_count; i++)
		join(b, &result->items[i]);
	b->settings.changed(b->settings.data);
}

/* The second list of a node that found none: still none, or others by now. */
static void on_listed_again(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	on_relisted(data, result);
	b->found_none = 0;
	b->role_at_ms =
		bootstrap_now_ms(b) + (result->item_count ? ROLE_DELAY_MS : 0);
}

static void relist(struct bootstrap *b, enum list_age age,
		   void (*done)(void *data, const struct store_result *result))
{
	b->rendezvous_call =
		store_list(b->settings.store, RENDEZVOUS_PREFIX, age, done, b);
}

static void list_again_tick(struct bootstrap *b, uint64_t now_ms)
{
	if (b->found_none && b->phase == BOOT_DONE && !b->rendezvous_call &&
	    now_ms >= b->role_at_ms)
		relist(b, LIST_FRESH, on_listed_again);
}

/* A conflict means that another node took itself for the same relay. */
static void on_published(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->rendezvous_call = NULL;
	note_store(b, result->error);
	b->record_revision = result->revision;
	b->published = result->error == FESCUE_OK;
	if (result->error == FESCUE_ECONFLICT) {
		b->rendezvous_at_ms = bootstrap_now_ms(b) + CONFLICT_PAUSE_MS;
		relist(b, LIST_FRESH, on_relisted);
	}
}

static void on_granted(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->rendezvous_call = NULL;
	note_store(b, result->error);
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
	note_store(b, result->error);
	if (result->error == FESCUE_ENOTFOUND) {
		log_event(LOG_STATE, "lease_lost", "\"lease\":%" PRIu64,
			  b->lease);
		b->lease = 0;
	}
	if (!result->error)
		relist(b, LIST_STALE_OK, on_relisted);
}

static void publish(struct bootstrap *b)
{
	size_t rank = distribution_rank(b->settings.distribution);
	char key[160], value[ADDRESS_TEXT_BYTES];

	if (rank != b->published_rank)
		b->record_revision = 0;
	b->published_rank = rank;
	g_snprintf(key, sizeof(key), RENDEZVOUS_PREFIX "%s/%zu",
		   b->settings.failure_domain, rank);
	address_format(b->settings.peer_address, value);
	b->rendezvous_call = store_put(b->settings.store, key, value,
				       strlen(value), b->record_revision,
				       b->lease, on_published, b);
}

/* A relay keeps a leased record by which newcomers find the fleet. */
static void rendezvous_tick(struct bootstrap *b, uint64_t now_ms)
{
	size_t rank = distribution_rank(b->settings.distribution);

	if (rank >= b->settings.relays_per_domain || b->rendezvous_call ||
	    !may_take_role(b, now_ms))
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

static void on_rechecked(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->watch_call = NULL;
	note_store(b, result->error);
	if (!result->error)
		take_value(b, result);
}

/* A host that need not watch learns at times whether the store is back. */
static void recheck_tick(struct bootstrap *b, uint64_t now_ms)
{
	if (b->store_up || b->watching || b->watch_call ||
	    b->phase != BOOT_DONE || now_ms < b->recheck_at_ms)
		return;
	b->recheck_at_ms = now_ms + jitter(b, RECHECK_MS);
	b->watch_call =
		store_get(b->settings.store, config_key(b), on_rechecked, b);
}

/* Peers may reach the store that this host cannot. */
static void probe_without_store(struct bootstrap *b, uint64_t now_ms)
{
	if (b->store_up || now_ms < b->probe_at_ms)
		return;
	b->probe_at_ms = now_ms + PROBE_WITHOUT_STORE_MS;
	membership_probe_random(b->settings.membership, 1, b->settings.outbox);
}

void bootstrap_tick(struct bootstrap *b)
{
	uint64_t now_ms = bootstrap_now_ms(b);

	probe_without_store(b, now_ms);
	boot_tick(b, now_ms);
	watch_tick(b, now_ms);
	recheck_tick(b, now_ms);
	list_again_tick(b, now_ms);
	rendezvous_tick(b, now_ms);
}

struct bootstrap *bootstrap_create(const struct bootstrap_settings *settings)
{
	struct bootstrap *b = g_new0(struct bootstrap, 1);

	b->settings = *settings;
	b->random = g_rand_new_with_seed(settings->seed);
	b->store_up = 1;
	b->watch_retry_ms = RETRY_MIN_MS;
	bootstrap_restart(b);
	return b;
}

void bootstrap_destroy(struct bootstrap *b)
{
	if (!b)
		return;
	if (b->boot_call)
		store_call_cancel(b->boot_call);
	if (b->watch_call)
		store_call_cancel(b->watch_call);
	if (b->rendezvous_call)
		store_call_cancel(b->rendezvous_call);
	g_rand_free(b->random);
	g_free(b);
}

void bootstrap_restart(struct bootstrap *b)
{
	uint32_t spread = b->settings.start_jitter_ms;

	if (b->boot_call)
		store_call_cancel(b->boot_call);
	b->boot_call = NULL;
	b->phase = BOOT_WAIT;
	floor_reset(&b->floor);
	b->retry_ms = RETRY_MIN_MS;
	b->lease = 0;
	b->published = 0;
	b->attempt_at_ms =
		bootstrap_now_ms(b) +
		(uint64_t)g_rand_int_range(b->random, 0, (gint)spread);
}

void bootstrap_watch(struct bootstrap *b, int watch)
{
	b->watching = watch;
	b->watch_at_ms = 0;
	if (watch || !b->watch_call)
		return;
	store_call_cancel(b->watch_call);
	b->watch_call = NULL;
}

const struct floor *bootstrap_floor(const struct bootstrap *b)
{
	return &b->floor;
}

int bootstrap_store_is_up(const struct bootstrap *b)
{
	return b->store_up;
}
