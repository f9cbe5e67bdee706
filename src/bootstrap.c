#include "bootstrap_state.h"

#include "fescue/error.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define RETRY_MIN_MS 250
/* Half of the time within which a change must be active. */
#define RETRY_MAX_MS 1000
/* Of a host that reads the store only because no relay reports of it. */
#define OTHERS_RETRY_MAX_MS 4000
/* While the store is unreachable, probes to peers bring new versions. */
#define STORE_LOST_PROBE_INTERVAL_MS 300
/* Longest interval at which a host without a watch retries a lost store. */
#define RECHECK_INTERVAL_MS 5000
#define FLOOR_PROBE_INTERVAL_MS 1000
#define FLOOR_PROBES_MAX 32 /* per interval; limits control traffic */
/*
 * Nodes that start at the same time all read an empty list of rendezvous
 * records. Each reads it again after a random delay of up to this, so that most
 * of them find the records of those that were first.
 */
#define EMPTY_LIST_SPREAD_MS 1000
/* Listed hosts that do not answer for so long are taken for gone. */
#define PEERS_GONE_AFTER_MS 10000
/*
 * Pause of the watch after a change, so that a burst of versions is read only
 * once. Well below the time within which a change must be active.
 */
#define WATCH_PAUSE_MS 600

/*
 * Time between two answers to a watch. Less than what the distribution waits
 * for a report of the next answer.
 */
#define WATCH_INTERVAL_MS 900

void bootstrap_update_store_state(struct bootstrap *b, int error)
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
	if (up && !b->leading)
		b->announces_loss = 0;
	/* The ranks of relays and of the leader depend on candidates only. */
	membership_set_store_lost(
		b->settings.membership,
		!up && (distribution_is_candidate(b->settings.distribution) ||
			b->announces_loss));
}

void bootstrap_set_leading(struct bootstrap *b, int leading)
{
	b->leading = leading;
	if (leading)
		b->announces_loss = 1;
	if (!b->store_up)
		bootstrap_update_store_state(b, FESCUE_EUNAVAILABLE);
}

void bootstrap_record_store_result(struct bootstrap *b, int error)
{
	if (!b->watching)
		bootstrap_update_store_state(b, error);
}

/*
 * Handles an answer to a call that started at started_ms. The answer was not
 * there at the tick before the last one, or it would have been read; a process
 * that was suspended knows no more.
 */
static void confirm_version(struct bootstrap *b, uint64_t started_ms,
			    const struct store_result *result)
{
	const struct bootstrap_settings *s = &b->settings;

	b->confirmed_ms = MAX(started_ms, b->previous_tick_ms);
	distribution_set_store_era(s->distribution, bootstrap_store_era(b));
	/*
	 * The answer may have been under way since before that tick. Keys
	 * depend on the start of the call, which is certainly earlier.
	 */
	distribution_confirm_keys(s->distribution, started_ms,
				  b->value_accepted);
	distribution_confirm(s->distribution, b->confirmed_ms,
			     result->store_revision, bootstrap_now_ms(b),
			     s->outbox);
	s->changed(s->data);
}

static uint32_t jitter(struct bootstrap *b, uint32_t ms)
{
	return (uint32_t)g_rand_int_range(b->random, (gint)(ms / 2),
					  (gint)ms + 1);
}

/*
 * Returns the delay before a retry, max_ms at most, and doubles it for the next
 * one.
 */
static uint32_t next_retry_delay_ms(uint32_t *retry_ms, uint32_t max_ms)
{
	uint32_t delay_ms = MIN(*retry_ms, max_ms);

	*retry_ms = MIN(*retry_ms * 2, max_ms);
	return delay_ms;
}

static void schedule_boot_retry(struct bootstrap *b)
{
	b->phase = BOOT_WAIT;
	b->attempt_at_ms =
		bootstrap_now_ms(b) +
		jitter(b, next_retry_delay_ms(&b->boot_retry_ms, RETRY_MAX_MS));
}

static const char *config_key(const struct bootstrap *b)
{
	return interface_config_key(b->settings.interface);
}

/*
 * Passes a stored value to the distribution. Returns 0 and stores its version,
 * or FESCUE_EINVAL if it is refused.
 */
static int process_config_value(struct bootstrap *b,
				const struct store_result *result,
				uint64_t *version)
{
	const struct bootstrap_settings *s = &b->settings;
	struct config_value value;
	int error = FESCUE_EINVAL;

	interface_decode_config(s->interface, result->revision, result->value,
				result->size, &value);
	*version = value.version;
	if (!value.version) {
		log_error("the stored configuration is refused: %s",
			  value.reason);
	} else {
		if (value.version < distribution_version(s->distribution))
			log_event(LOG_STATE, "older_version_read",
				  "\"version\":%" PRIu64 ",\"active\":%" PRIu64,
				  value.version,
				  distribution_version(s->distribution));
		s->version_read(s->data, value.version);
		error = distribution_receive_store_value(
			s->distribution, value.version, value.text, value.size,
			value.reason, bootstrap_now_ms(b), s->outbox);
		s->changed(s->data);
	}
	config_value_clear(&value);
	return error;
}

static void confirm_floor(struct bootstrap *b, uint64_t version)
{
	if (b->floor.confirmed)
		return;
	floor_confirm_by_store(&b->floor, version);
	log_state("floor confirmed by the store at version %" G_GUINT64_FORMAT,
		  version);
}

/*
 * A refused value tells nothing of the newest valid version, so that peers or a
 * later value have to confirm the floor.
 */
static void process_newest_value(struct bootstrap *b,
				 const struct store_result *result)
{
	uint64_t version = 0;

	b->value_accepted = result->error != FESCUE_ENOTFOUND &&
			    !process_config_value(b, result, &version);
	if (b->value_accepted || result->error == FESCUE_ENOTFOUND)
		confirm_floor(b, version);
}

static void set_watch_after(struct bootstrap *b, uint64_t store_revision)
{
	b->watch_after = store_revision;
	b->watch_era = bootstrap_store_era(b);
}

static void on_boot_config(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->boot_call = NULL;
	bootstrap_update_store_state(b, result->error);
	if (result->error && result->error != FESCUE_ENOTFOUND) {
		schedule_boot_retry(b);
		return;
	}
	process_newest_value(b, result);
	set_watch_after(b, result->store_revision);
	confirm_version(b, b->boot_call_started_ms, result);
	b->phase = BOOT_DONE;
}

static void on_list(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->boot_call = NULL;
	bootstrap_update_store_state(b, result->error);
	if (result->error) {
		schedule_boot_retry(b);
		return;
	}
	for (size_t i = 0; i < result->item_count; i++)
		rendezvous_join(b, &result->items[i]);
	b->settings.changed(b->settings.data);
	if (!b->list_read_ms)
		b->list_read_ms = bootstrap_now_ms(b);
	b->list_was_empty = !result->item_count;
	b->relay_at_ms = bootstrap_now_ms(b) + RELAY_DELAY_MS;
	if (b->list_was_empty)
		b->relay_at_ms = bootstrap_now_ms(b) +
				 (uint64_t)g_rand_int_range(
					 b->random, 0, EMPTY_LIST_SPREAD_MS);
	b->phase = BOOT_CONFIG;
	b->boot_call_started_ms = bootstrap_now_ms(b);
	b->boot_call =
		store_get(b->settings.store, config_key(b), on_boot_config, b);
}

/* Confirms the floor by peers if they can do so before the store does. */
static void confirm_by_peers(struct bootstrap *b, uint64_t now_ms)
{
	struct membership *membership = b->settings.membership;
	int peers_confirmed = membership_is_synced(membership) &&
			      membership_peers_confirmed(membership);

	membership_set_floor(membership, b->floor.confirmed, b->floor.version);
	if (!b->floor.confirmed && now_ms >= b->floor_probe_at_ms) {
		membership_probe_unconfirmed(membership, FLOOR_PROBES_MAX,
					     b->settings.outbox);
		b->floor_probe_at_ms = now_ms + FLOOR_PROBE_INTERVAL_MS;
	}
	if (!floor_confirm_by_peers(&b->floor, peers_confirmed,
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
	uint32_t max_ms = distribution_is_candidate(b->settings.distribution) ?
				  RETRY_MAX_MS :
				  OTHERS_RETRY_MAX_MS;

	log_event(LOG_STATE, "watch_failed",
		  "\"error\":\"%s\",\"waited_ms\":%" PRIu64 ",\"store_up\":%d",
		  fescue_strerror(error),
		  bootstrap_now_ms(b) - b->watch_started_ms, b->store_up);
	b->watch_at_ms =
		bootstrap_now_ms(b) +
		jitter(b, next_retry_delay_ms(&b->watch_retry_ms, max_ms));
	bootstrap_update_store_state(b, error);
}

static void watch_succeeded(struct bootstrap *b,
			    const struct store_result *result, uint32_t pause)
{
	b->watch_retry_ms = RETRY_MIN_MS;
	b->watch_at_ms = bootstrap_now_ms(b) + pause;
	if (result->store_revision)
		set_watch_after(b, result->store_revision);
	bootstrap_update_store_state(b, FESCUE_OK);
	confirm_version(b, b->watch_started_ms, result);
}

/* The key is read first when there is no revision from which to watch. */
static void on_reread(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->watch_call = NULL;
	if (result->error && result->error != FESCUE_ENOTFOUND) {
		watch_failed(b, result->error);
		return;
	}
	process_newest_value(b, result);
	watch_succeeded(b, result, 0);
}

static void on_watch(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->watch_call = NULL;
	switch (result->error) {
	case FESCUE_OK:
		process_newest_value(b, result);
		watch_succeeded(b, result, WATCH_PAUSE_MS);
		break;
	case FESCUE_ENOTFOUND: /* removed: the applied version stays */
		log_error("the stored configuration was removed; apply it "
			  "again");
		b->value_accepted = 0;
		watch_succeeded(b, result, WATCH_PAUSE_MS);
		break;
	case FESCUE_EGONE:
		b->watch_after = 0;
		b->watch_at_ms = 0;
		break;
	default:
		/* An error may name a revision, but does not tell of changes. */
		if (result->error == FESCUE_ETIMEOUT &&
		    result->store_revision) {
			watch_succeeded(b, result, 0);
			break;
		}
		/* Changes may have been missed, so the key is read first. */
		b->watch_after = 0;
		watch_failed(b, result->error);
		break;
	}
}

/* A host that has not heard of the store for long is answered at once. */
static uint32_t watch_wait_ms(const struct bootstrap *b, uint64_t now_ms)
{
	uint64_t until_ms = b->confirmed_ms + WATCH_INTERVAL_MS;

	return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 1;
}

static void watch_tick(struct bootstrap *b, uint64_t now_ms)
{
	uint64_t known = distribution_store_revision(b->settings.distribution);

	if (!b->watching || b->watch_call || now_ms < b->watch_at_ms ||
	    !may_act_as_relay(b, now_ms))
		return;
	b->watch_started_ms = now_ms;
	/* Only changes that the distribution has not heard of are needed. */
	if (b->watch_after)
		b->watch_after = MAX(b->watch_after, known);
	b->watch_call = b->watch_after ?
				store_watch(b->settings.store, config_key(b),
					    b->watch_after,
					    watch_wait_ms(b, now_ms), on_watch,
					    b) :
				store_get(b->settings.store, config_key(b),
					  on_reread, b);
}

static void on_rechecked(void *data, const struct store_result *result)
{
	struct bootstrap *b = data;

	b->watch_call = NULL;
	bootstrap_update_store_state(b, result->error);
	if (result->error)
		return;
	process_newest_value(b, result);
	confirm_version(b, b->watch_started_ms, result);
}

/* Without a watch, the host polls whether the store is reachable again. */
static void recheck_tick(struct bootstrap *b, uint64_t now_ms)
{
	if (b->store_up || b->watching || b->watch_call ||
	    b->phase != BOOT_DONE || now_ms < b->recheck_at_ms)
		return;
	b->recheck_at_ms = now_ms + jitter(b, RECHECK_INTERVAL_MS);
	b->watch_started_ms = now_ms;
	b->watch_call =
		store_get(b->settings.store, config_key(b), on_rechecked, b);
}

/* Peers may still reach the store and know newer versions. */
static void store_lost_probe_tick(struct bootstrap *b, uint64_t now_ms)
{
	if (b->store_up || now_ms < b->store_lost_probe_at_ms)
		return;
	b->store_lost_probe_at_ms = now_ms + STORE_LOST_PROBE_INTERVAL_MS;
	membership_probe_random(b->settings.membership, 1, b->settings.outbox);
}

void bootstrap_tick(struct bootstrap *b)
{
	uint64_t now_ms = bootstrap_now_ms(b);

	b->previous_tick_ms = b->tick_ms;
	b->tick_ms = now_ms;
	store_lost_probe_tick(b, now_ms);
	boot_tick(b, now_ms);
	watch_tick(b, now_ms);
	recheck_tick(b, now_ms);
	rendezvous_join_again(b, now_ms);
	rendezvous_read_again(b, now_ms);
	rendezvous_publish(b, now_ms);
}

/*
 * The store came back from a copy. A version that was written since may have any
 * revision, so the key is read; a watch that waits is not answered any more.
 */
static void on_new_era(void *data)
{
	struct bootstrap *b = data;
	uint64_t era = bootstrap_store_era(b);

	distribution_set_store_era(b->settings.distribution, era);
	rendezvous_forget_record(b, bootstrap_now_ms(b));
	if (b->watch_era == era)
		return;
	b->watch_after = 0;
	b->watch_at_ms = 0;
	if (!b->watch_call || !b->watching)
		return;
	store_call_cancel(b->watch_call);
	b->watch_call = NULL;
}

struct bootstrap *bootstrap_create(const struct bootstrap_settings *settings)
{
	struct bootstrap *b = g_new0(struct bootstrap, 1);

	b->settings = *settings;
	b->random = g_rand_new_with_seed(settings->seed);
	b->listed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	b->store_up = 1;
	b->watch_retry_ms = RETRY_MIN_MS;
	bootstrap_restart(b);
	store_era_subscribe(store_client_era(settings->store), on_new_era, b);
	return b;
}

void bootstrap_destroy(struct bootstrap *b)
{
	if (!b)
		return;
	store_era_unsubscribe(store_client_era(b->settings.store), b);
	if (b->boot_call)
		store_call_cancel(b->boot_call);
	if (b->watch_call)
		store_call_cancel(b->watch_call);
	if (b->rendezvous_call)
		store_call_cancel(b->rendezvous_call);
	g_rand_free(b->random);
	g_array_free(b->listed, TRUE);
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
	b->boot_retry_ms = RETRY_MIN_MS;
	b->lease = 0;
	b->published = 0;
	rendezvous_restart(b, bootstrap_now_ms(b));
	b->attempt_at_ms =
		bootstrap_now_ms(b) +
		(uint64_t)g_rand_int_range(b->random, 0, (gint)spread);
}

void bootstrap_set_watching(struct bootstrap *b, int watch)
{
	b->watching = watch;
	if (watch || !b->watch_call)
		return;
	store_call_cancel(b->watch_call);
	b->watch_call = NULL;
}

const struct floor *bootstrap_floor(const struct bootstrap *b)
{
	return &b->floor;
}

int bootstrap_awaits_peers(const struct bootstrap *b)
{
	if (!b->list_read_ms)
		return !membership_is_synced(b->settings.membership);
	return b->list_was_empty ||
	       (rendezvous_has_met_none(b) &&
		bootstrap_now_ms(b) < b->list_read_ms + PEERS_GONE_AFTER_MS);
}

int bootstrap_store_is_up(const struct bootstrap *b)
{
	return b->store_up;
}
