/*
 * Knowledge for the freshness of keys: what reports of peers tell of it, and
 * the queries to peers while this host's knowledge grows old.
 */
#include "distribution_state.h"
#include "failure_domain.h"

/*
 * Relays know of an answer of the store until 1.9 s after their call started,
 * when the next one arrives: their watches take 0.9 s.
 */
#define QUERY_AGE_MS 1900
/* From here on more hosts are asked at a time. */
#define QUERY_MORE_AGE_MS 2300
#define QUERY_INTERVAL_MS 250
#define QUERY_HOSTS 3
#define QUERY_HOSTS_MORE 6
/* After all hosts, or this many, were asked in vain, there may be no path. */
#define QUERY_PASS_MAX 64
#define QUERY_SLOW_INTERVAL_MS 500
#define QUERY_HOSTS_SLOW 2

void keys_init(struct distribution *d)
{
	d->keys.limit_ms = d->settings.key_freshness_ms;
	d->key_queries.asked = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
}

void keys_clear(struct distribution *d)
{
	g_hash_table_destroy(d->key_queries.asked);
}

void keys_fill_report(const struct distribution *d, Fescue__ConfigState *report)
{
	/* Versions that this host holds, so that others can fetch them. */
	struct key_knowledge newest =
		key_freshness_newest(&d->keys, newest_text(d)->version);

	report->clock_id = membership_self(d->membership)->epoch;
	report->known_version = newest.version;
	report->known_ms = newest.at_ms;
	report->query_ms = report->clock_ms = 0;
}

void distribution_answer_query(struct distribution *d, uint64_t from,
			       const Fescue__ConfigQuery *query,
			       uint64_t clock_ms, struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_STATE);

	keys_fill_report(d, packet->config_state);
	packet->config_state->query_ms = query->query_ms;
	packet->config_state->clock_ms = clock_ms;
	outbox_send(outbox, from, PACKET_CONFIG, packet);
}

static void send_query(struct distribution *d, uint64_t to, uint64_t now_ms,
		       struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CONFIG_QUERY);

	packet->config_query->query_ms = now_ms;
	key_freshness_queried(&d->keys, to, now_ms);
	outbox_send(outbox, to, PACKET_CONFIG, packet);
}

void keys_receive(struct distribution *d, uint64_t from,
		  const Fescue__ConfigState *state, uint64_t now_ms,
		  struct outbox *outbox)
{
	struct key_freshness *keys = &d->keys;
	uint64_t at_ms;

	if (!keys->limit_ms || !state->clock_id)
		return;
	if (state->query_ms)
		key_freshness_answered(keys, from, state->clock_id,
				       state->clock_ms, state->query_ms,
				       now_ms);
	at_ms = state->known_ms ?
			key_freshness_convert(keys, from, state->clock_id,
					      state->known_ms, now_ms) :
			0;
	key_freshness_learn(keys, state->known_version, at_ms);
	if (at_ms)
		distribution_receive_peer_version(d, from, state->known_version,
						  0, now_ms, outbox);
	if (key_freshness_needs_query(keys, from, state->clock_id, now_ms))
		send_query(d, from, now_ms, outbox);
}

void distribution_confirm_keys(struct distribution *d, uint64_t started_ms,
			       int value_accepted)
{
	uint64_t version = newest_text(d)->version;
	struct key_knowledge newest = key_freshness_newest(&d->keys, version);

	/*
	 * A missing or refused value does not tell the newest valid version,
	 * which only a host that knew it before can go on with.
	 */
	if (value_accepted || (newest.at_ms && newest.version == version))
		key_freshness_learn(&d->keys, version, started_ms);
}

void distribution_keys_apply(struct distribution *d, uint64_t version)
{
	key_freshness_apply(&d->keys, version);
}

const struct key_freshness *distribution_keys(const struct distribution *d)
{
	return &d->keys;
}

/* A host that was not asked yet, of the own domain or of others if any. */
static uint64_t select_host(const struct distribution *d, int own_domain,
			    uint64_t now_ms)
{
	const struct membership *m = d->membership;
	uint64_t self = membership_self(m)->address, best = 0, best_weight = 0;
	int best_fits = 0;

	for (size_t i = 0; i < membership_count(m); i++) {
		const struct host *host = membership_host(m, i);
		uint64_t weight;
		int fits;

		if (host->address == self || !host_is_up(host) ||
		    g_hash_table_contains(d->key_queries.asked,
					  &host->address) ||
		    !key_freshness_may_query(&d->keys, host->address, now_ms))
			continue;
		/* The order differs from host to host, and each time. */
		weight = host_rendezvous_weight(host->address, "query",
						self ^ d->key_queries.passes);
		fits = failure_domain_contains(d->membership, host->address) ==
		       own_domain;
		if (best && (fits < best_fits ||
			     (fits == best_fits && weight <= best_weight)))
			continue;
		best = host->address;
		best_weight = weight;
		best_fits = fits;
	}
	return best;
}

static void end_pass(struct key_queries *queries, int in_vain)
{
	if (g_hash_table_size(queries->asked))
		queries->passes++;
	g_hash_table_remove_all(queries->asked);
	queries->slow = in_vain;
}

int keys_need_store(const struct distribution *d, uint64_t now_ms)
{
	uint64_t age_ms = key_freshness_age_ms(&d->keys, now_ms);

	return d->keys.limit_ms && age_ms >= QUERY_MORE_AGE_MS &&
	       now_ms >= d->key_queries.started_ms + QUERY_MORE_AGE_MS;
}

static size_t count_to_ask(const struct distribution *d, uint64_t age_ms)
{
	if (d->key_queries.slow)
		return QUERY_HOSTS_SLOW;
	return age_ms < QUERY_MORE_AGE_MS ? QUERY_HOSTS : QUERY_HOSTS_MORE;
}

static void ask_hosts(struct distribution *d, size_t n, uint64_t now_ms,
		      struct outbox *outbox)
{
	struct key_queries *queries = &d->key_queries;
	uint64_t peer = key_freshness_answering_peer(&d->keys, now_ms);

	/* In a fleet in pieces few answer, and they may regain the store. */
	if (peer) {
		send_query(d, peer, now_ms, outbox);
		n--;
	}
	while (n--) {
		peer = select_host(d, !n, now_ms);
		if (!peer ||
		    g_hash_table_size(queries->asked) >= QUERY_PASS_MAX) {
			end_pass(queries, 1);
			return;
		}
		g_hash_table_add(queries->asked,
				 g_memdup2(&peer, sizeof(peer)));
		send_query(d, peer, now_ms, outbox);
	}
}

void keys_tick(struct distribution *d, uint64_t now_ms, struct outbox *outbox)
{
	struct key_queries *queries = &d->key_queries;
	uint64_t age_ms = key_freshness_age_ms(&d->keys, now_ms);

	if (!d->keys.limit_ms)
		return;
	if (!queries->started_ms)
		queries->started_ms = now_ms;
	if (age_ms < QUERY_AGE_MS) {
		end_pass(queries, 0);
		return;
	}
	if (now_ms < queries->due_ms)
		return;
	queries->due_ms = now_ms + (queries->slow ? QUERY_SLOW_INTERVAL_MS :
						    QUERY_INTERVAL_MS);
	ask_hosts(d, count_to_ask(d, age_ms), now_ms, outbox);
}
