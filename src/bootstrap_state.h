/*
 * The internal state of a bootstrap, and the functions that keep the rendezvous
 * records.
 */
#ifndef FESCUE_BOOTSTRAP_STATE_H
#define FESCUE_BOOTSTRAP_STATE_H

#include "bootstrap.h"
#include "store_era.h"

#define RENDEZVOUS_PREFIX "fescue/rendezvous/"
#define RELAY_DELAY_MS 1000 /* in which peers answer a joining node */

/*
 * Value of stale_ok for store_list(). Host addresses may be a few seconds old;
 * nodes that start at the same time are found only in a fresh list.
 */
enum list_consistency { LIST_FRESH, LIST_STALE_OK };

enum boot_phase {
	BOOT_WAIT, /* until attempt_at_ms */
	BOOT_LIST, /* reading the rendezvous records */
	BOOT_CONFIG, /* reading the configuration */
	BOOT_DONE,
};

struct bootstrap {
	struct bootstrap_settings settings;
	GRand *random;
	enum boot_phase phase;
	uint64_t attempt_at_ms;
	uint64_t floor_probe_at_ms; /* while the floor is unconfirmed */
	uint32_t boot_retry_ms;
	struct floor floor;
	uint64_t relay_at_ms; /* earliest time to act as a relay */
	int list_was_empty; /* it is read again at relay_at_ms */
	uint64_t list_read_ms; /* first time; 0: not yet */
	int store_up;
	int leading; /* see bootstrap_set_leading() */
	int announces_loss; /* led since the store was last reachable */
	uint64_t store_lost_probe_at_ms;
	struct store_call *boot_call;
	uint64_t boot_call_started_ms;
	uint64_t tick_ms, previous_tick_ms; /* times of the last two ticks */
	uint64_t confirmed_ms; /* by the store; its answer was not earlier */
	int value_accepted; /* the last value read; 0: refused, or none */
	int watching;
	struct store_call *watch_call;
	uint64_t watch_after; /* revision of the store; 0: read the key first */
	uint64_t watch_era; /* of the store, in which watch_after is valid */
	uint64_t watch_at_ms;
	uint64_t watch_started_ms;
	uint32_t watch_retry_ms;
	uint64_t recheck_at_ms;
	uint64_t lease;
	int published; /* the record was written under the lease */
	size_t published_rank;
	uint64_t record_revision;
	uint64_t rendezvous_at_ms;
	struct store_call *rendezvous_call;
	GArray *listed; /* uint64_t, addresses of rendezvous records read */
	guint next_listed; /* to be probed again */
	uint64_t join_until_ms, join_at_ms; /* listed hosts are probed again */
	int introduced; /* others were probed after the first table sync */
};

static inline uint64_t bootstrap_now_ms(const struct bootstrap *b)
{
	return node_context_now_ms(b->settings.context);
}

/*
 * A joining node waits for its peers' answers: before it knows them, it would
 * rank itself first.
 */
static inline int may_act_as_relay(const struct bootstrap *b, uint64_t now_ms)
{
	return b->phase == BOOT_DONE && now_ms >= b->relay_at_ms &&
	       !b->list_was_empty;
}

static inline uint64_t bootstrap_store_era(const struct bootstrap *b)
{
	return store_era_now(store_client_era(b->settings.store));
}

/* Record the result of a store call, whether the store is reachable. */
void bootstrap_update_store_state(struct bootstrap *bootstrap, int error);

/* Probe the host that a rendezvous record names. */
void rendezvous_join(struct bootstrap *bootstrap,
		     const struct store_item *record);

/* Forget the listed hosts, and probe those listed from now on again. */
void rendezvous_restart(struct bootstrap *bootstrap, uint64_t now_ms);

/*
 * Probe listed hosts again until they answer, and other hosts once a whole
 * table has arrived. Does nothing without join_quickly.
 */
void rendezvous_join_again(struct bootstrap *bootstrap, uint64_t now_ms);

/* Whether other hosts are listed and none of them has answered. */
int rendezvous_has_met_none(const struct bootstrap *bootstrap);

/* Read the records once more if there were none at the start. */
void rendezvous_read_again(struct bootstrap *bootstrap, uint64_t now_ms);

/*
 * The store came back from a copy: the record may be gone, and the lease is of
 * an earlier era.
 */
void rendezvous_forget_record(struct bootstrap *bootstrap, uint64_t now_ms);

/* A relay keeps a leased record by which joining nodes find peers. */
void rendezvous_publish(struct bootstrap *bootstrap, uint64_t now_ms);

#endif
