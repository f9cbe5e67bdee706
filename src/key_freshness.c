#include "fescue/key_freshness.h"

#include <glib.h>
#include <string.h>

/* For roundings of times to milliseconds, of which each hop has some. */
#define LIMIT_MARGIN_MS 50
/* Two clocks that are slewed by 500 ppm drift apart by 1 ms in this time. */
#define DRIFT_INTERVAL_MS 1000
/* A bound is off by up to the round trip of its query. */
#define FAST_ANSWER_MS 150
#define REFRESH_MS 10000
#define REFRESH_SLOW_MS 1000 /* after an answer that was not fast */
/* Answers that take longer are lost. */
#define QUERY_TIMEOUT_MS 1000
#define ANSWERING_MS 3000

static void keep_ahead(struct key_freshness *keys, uint64_t version,
		       uint64_t at_ms)
{
	struct key_knowledge *entry = &keys->ahead[0];

	for (size_t i = 0; i < KEY_FRESHNESS_AHEAD; i++) {
		struct key_knowledge *k = &keys->ahead[i];

		if (k->at_ms && k->version == version) {
			k->at_ms = MAX(k->at_ms, at_ms);
			return;
		}
		if (!k->at_ms || (entry->at_ms && k->version < entry->version))
			entry = k;
	}
	if (!entry->at_ms || entry->version < version)
		*entry = (struct key_knowledge){ version, at_ms };
}

void key_freshness_learn(struct key_freshness *keys, uint64_t version,
			 uint64_t at_ms)
{
	if (!at_ms || version < keys->version)
		return;
	if (version == keys->version)
		keys->at_ms = MAX(keys->at_ms, at_ms);
	else
		keep_ahead(keys, version, at_ms);
}

void key_freshness_apply(struct key_freshness *keys, uint64_t version)
{
	keys->version = version;
	for (size_t i = 0; i < KEY_FRESHNESS_AHEAD; i++) {
		struct key_knowledge *k = &keys->ahead[i];

		if (!k->at_ms || k->version > version)
			continue;
		keys->at_ms = MAX(keys->at_ms, k->at_ms);
		k->at_ms = 0;
	}
}

int key_freshness_allows(const struct key_freshness *keys, uint64_t now_ms)
{
	if (!keys->limit_ms)
		return 1;
	return keys->at_ms &&
	       now_ms + LIMIT_MARGIN_MS < keys->at_ms + keys->limit_ms;
}

uint64_t key_freshness_age_ms(const struct key_freshness *keys, uint64_t now_ms)
{
	if (!keys->at_ms)
		return KEY_AGE_UNKNOWN;
	return now_ms - MIN(now_ms, keys->at_ms);
}

struct key_knowledge key_freshness_newest(const struct key_freshness *keys,
					  uint64_t version_max)
{
	struct key_knowledge newest = { 0, 0 };

	if (keys->version <= version_max)
		newest = (struct key_knowledge){ keys->version, keys->at_ms };
	for (size_t i = 0; i < KEY_FRESHNESS_AHEAD; i++)
		if (keys->ahead[i].version <= version_max &&
		    keys->ahead[i].at_ms > newest.at_ms)
			newest = keys->ahead[i];
	return newest;
}

static const struct peer_bound *find_peer(const struct key_freshness *keys,
					  uint64_t peer)
{
	for (size_t i = 0; i < KEY_FRESHNESS_PEERS; i++)
		if (keys->peers[i].peer == peer)
			return &keys->peers[i];
	return NULL;
}

void key_freshness_queried(struct key_freshness *keys, uint64_t peer,
			   uint64_t now_ms)
{
	struct peer_bound *entry = (struct peer_bound *)find_peer(keys, peer);

	if (!entry) {
		entry = &keys->peers[0];
		for (size_t i = 1; i < KEY_FRESHNESS_PEERS; i++)
			if (keys->peers[i].used_ms < entry->used_ms)
				entry = &keys->peers[i];
		*entry = (struct peer_bound){ .peer = peer };
	}
	entry->queried_ms = entry->used_ms = now_ms;
}

/* What the peer's clock is ahead at most, as the clocks drift apart. */
static uint64_t ahead_at_most(const struct peer_bound *entry, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - MIN(now_ms, entry->read_ms);

	return entry->ahead_ms + age_ms / DRIFT_INTERVAL_MS + 1;
}

void key_freshness_answered(struct key_freshness *keys, uint64_t peer,
			    uint64_t clock_id, uint64_t clock_ms,
			    uint64_t query_ms, uint64_t now_ms)
{
	struct peer_bound *entry = (struct peer_bound *)find_peer(keys, peer);
	uint64_t ahead_ms = clock_ms - query_ms;

	if (!entry || !clock_id || !query_ms || entry->queried_ms != query_ms ||
	    query_ms > now_ms)
		return;
	entry->answered_ms = now_ms;
	entry->refresh_ms = now_ms + (now_ms - query_ms <= FAST_ANSWER_MS ?
					      REFRESH_MS :
					      REFRESH_SLOW_MS);
	if (entry->clock_id == clock_id &&
	    (int64_t)(ahead_ms - ahead_at_most(entry, now_ms)) > 0)
		return;
	entry->clock_id = clock_id;
	entry->ahead_ms = ahead_ms;
	entry->read_ms = query_ms;
}

uint64_t key_freshness_convert(struct key_freshness *keys, uint64_t peer,
			       uint64_t clock_id, uint64_t peer_ms,
			       uint64_t now_ms)
{
	struct peer_bound *entry = (struct peer_bound *)find_peer(keys, peer);
	int64_t own_ms;

	if (!entry || !clock_id || entry->clock_id != clock_id)
		return 0;
	entry->used_ms = now_ms;
	own_ms = (int64_t)(peer_ms - ahead_at_most(entry, now_ms));
	if (own_ms <= 0)
		return 0;
	return MIN((uint64_t)own_ms, now_ms);
}

int key_freshness_may_query(const struct key_freshness *keys, uint64_t peer,
			    uint64_t now_ms)
{
	const struct peer_bound *entry = find_peer(keys, peer);

	return !entry || entry->answered_ms >= entry->queried_ms ||
	       now_ms >= entry->queried_ms + QUERY_TIMEOUT_MS;
}

int key_freshness_needs_query(const struct key_freshness *keys, uint64_t peer,
			      uint64_t clock_id, uint64_t now_ms)
{
	const struct peer_bound *entry = find_peer(keys, peer);

	if (!key_freshness_may_query(keys, peer, now_ms))
		return 0;
	return !entry || entry->clock_id != clock_id ||
	       now_ms >= entry->refresh_ms;
}

uint64_t key_freshness_answering_peer(const struct key_freshness *keys,
				      uint64_t now_ms)
{
	const struct peer_bound *best = NULL;

	for (size_t i = 0; i < KEY_FRESHNESS_PEERS; i++) {
		const struct peer_bound *entry = &keys->peers[i];

		if (entry->peer && entry->answered_ms &&
		    now_ms < entry->answered_ms + ANSWERING_MS &&
		    key_freshness_may_query(keys, entry->peer, now_ms) &&
		    (!best || entry->queried_ms < best->queried_ms))
			best = entry;
	}
	return best ? best->peer : 0;
}
