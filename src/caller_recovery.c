/*
 * Attempts whose link to their host was lost, and those that a stopping node can
 * no longer wait for.
 */
#include "caller_state.h"
#include "call_log.h"
#include "events.h"
#include "fescue/answer_cache.h"

#define QUERY_TIMEOUT_MS 1500
/* Beyond twice the service time, for the way to the host and back. */
#define LAST_START_MARGIN_MS 250
/*
 * A host takes a call of which it has no record for one that never arrived, so
 * it is queried only well before its record of the call expires.
 */
#define QUERY_AGE_MAX_MS (ANSWER_RECEIVED_TTL_MS / 2)

void caller_table_handle_running(struct caller_table *t, uint64_t from,
				 uint64_t call_id)
{
	struct call *c = g_hash_table_lookup(t->attempts, &call_id);

	if (c && call_last_host(c) == from && c->state == ATTEMPT_QUERIED)
		c->state = ATTEMPT_SENT;
}

/*
 * End an attempt whose outcome cannot be queried: unknown if it was sent, not
 * run otherwise.
 */
static void end_lost_attempt(struct call *c, int sent)
{
	struct retry_attempt attempt = { .outcome = sent ? CALL_UNKNOWN :
							   CALL_NOT_RUN,
					 .arrived = sent };

	call_end_attempt(c, ROUTER_UNREACHABLE, NULL);
	call_attempt_failed(c, &attempt,
			    sent ? "the host broke off" :
				   "no connection to the host");
}

static void query_host(struct call *c)
{
	struct caller_table *t = c->table;
	Fescue__Packet *packet;

	/* The host's record of the attempt may have expired. */
	if (boot_clock_ms() > c->attempt_sent_boot_ms + QUERY_AGE_MAX_MS) {
		end_lost_attempt(c, 1);
		return;
	}
	call_log(c, LOG_FAILURE, "link_broke",
		 "\"then\":\"the host is queried for the outcome\"");
	c->state = ATTEMPT_QUERIED;
	c->queried_ms = caller_now_ms(t);
	caller_count(t, COUNTER_call_queries);
	packet = packet_create(FESCUE__PACKET__BODY_CALL_QUERY);
	packet->call_query->call_id = c->attempt_id;
	packet->call_query->epoch = c->attempt_host_epoch;
	node_context_send(t->context, call_last_host(c), packet);
}

/* Ids of the pending attempts on a host; of all if peer is 0. */
static GArray *collect_attempt_ids(const struct caller_table *t, uint64_t peer)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, t->attempts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (!peer || call_last_host(value) == peer)
			g_array_append_vals(ids, key, 1);
	return ids;
}

void caller_table_peer_disconnected(struct caller_table *t, uint64_t peer,
				    int connected)
{
	GArray *ids = collect_attempt_ids(t, peer);

	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		struct call *c = g_hash_table_lookup(t->attempts, &id);

		if (!c)
			continue;
		if (connected)
			query_host(c);
		else
			end_lost_attempt(c, c->state == ATTEMPT_QUERIED);
	}
	g_array_free(ids, TRUE);
}

void caller_expire_queries(struct caller_table *t)
{
	GArray *ids = collect_attempt_ids(t, 0);

	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		struct call *c = g_hash_table_lookup(t->attempts, &id);

		if (c && c->state == ATTEMPT_QUERIED &&
		    caller_now_ms(t) >= c->queried_ms + QUERY_TIMEOUT_MS)
			end_lost_attempt(c, 1);
	}
	g_array_free(ids, TRUE);
}

int call_is_too_late(const struct call *c)
{
	const struct caller_table *t = c->table;
	uint64_t needed_ms =
		LAST_START_MARGIN_MS +
		(uint64_t)(2 * call_stats_expected_service_ms(
				       t->stats,
				       snapshot_route(c->snapshot, c->route)));

	return t->end_ms && caller_now_ms(t) + needed_ms > t->end_ms;
}

void caller_table_end_waits(struct caller_table *t, uint64_t end_ms)
{
	GArray *ids = collect_attempt_ids(t, 0);

	t->end_ms = end_ms;
	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		struct call *c = g_hash_table_lookup(t->attempts, &id);

		if (!c || c->recalled || c->state != ATTEMPT_SENT ||
		    !call_is_too_late(c))
			continue;
		c->recalled = 1;
		call_send_cancel(t, call_last_host(c), id, 1);
	}
	g_array_free(ids, TRUE);
}
