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
	struct attempt *a = g_hash_table_lookup(t->attempts, &call_id);

	if (a && a->host == from && a->state == ATTEMPT_QUERIED)
		a->state = ATTEMPT_SENT;
}

/*
 * End an attempt whose outcome cannot be queried: unknown if it was sent, not
 * run otherwise.
 */
static void end_lost_attempt(struct attempt *a, int sent)
{
	struct retry_attempt attempt = { .outcome = sent ? CALL_UNKNOWN :
							   CALL_NOT_RUN,
					 .arrived = sent };

	call_end_attempt(a, ROUTER_UNREACHABLE, NULL);
	call_attempt_failed(a, &attempt,
			    sent ? "the host broke off" :
				   "no connection to the host");
}

void caller_table_handle_undelivered(struct caller_table *t, uint64_t host,
				     uint64_t call_id, int broken)
{
	struct attempt *a = g_hash_table_lookup(t->attempts, &call_id);
	struct retry_attempt attempt = { .outcome = CALL_NOT_RUN };

	if (!a || a->host != host)
		return;
	call_end_attempt(a, broken ? ROUTER_UNREACHABLE : ROUTER_REFUSED, NULL);
	call_attempt_failed(a, &attempt,
			    broken ? "the link broke before the body was sent" :
				     "the host takes no bodies of that length");
}

static void query_host(struct attempt *a)
{
	struct caller_table *t = a->call->table;
	Fescue__Packet *packet;

	/* The host's record of the attempt may have expired. */
	if (boot_clock_ms() > a->sent_boot_ms + QUERY_AGE_MAX_MS) {
		end_lost_attempt(a, 1);
		return;
	}
	call_log_attempt(a, LOG_FAILURE, "link_broke",
			 "\"then\":\"the host is queried for the outcome\"");
	a->state = ATTEMPT_QUERIED;
	a->queried_ms = caller_now_ms(t);
	caller_count(t, COUNTER_call_queries);
	packet = packet_create(FESCUE__PACKET__BODY_CALL_QUERY);
	packet->call_query->call_id = a->id;
	packet->call_query->epoch = a->host_epoch;
	node_context_send(t->context, a->host, packet);
}

/* Ids of the pending attempts on a host; of all if peer is 0. */
static GArray *collect_attempt_ids(const struct caller_table *t, uint64_t peer)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, t->attempts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (!peer || ((struct attempt *)value)->host == peer)
			g_array_append_vals(ids, key, 1);
	return ids;
}

void caller_table_peer_disconnected(struct caller_table *t, uint64_t peer,
				    int connected)
{
	GArray *ids = collect_attempt_ids(t, peer);

	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		struct attempt *a = g_hash_table_lookup(t->attempts, &id);

		if (!a)
			continue;
		if (connected)
			query_host(a);
		else
			end_lost_attempt(a, a->state == ATTEMPT_QUERIED);
	}
	g_array_free(ids, TRUE);
}

void caller_expire_queries(struct caller_table *t)
{
	GArray *ids = collect_attempt_ids(t, 0);

	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		struct attempt *a = g_hash_table_lookup(t->attempts, &id);

		if (a && a->state == ATTEMPT_QUERIED &&
		    caller_now_ms(t) >= a->queried_ms + QUERY_TIMEOUT_MS)
			end_lost_attempt(a, 1);
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
		struct attempt *a = g_hash_table_lookup(t->attempts, &id);

		if (!a || a->recalled || a->state != ATTEMPT_SENT ||
		    !call_is_too_late(a->call))
			continue;
		a->recalled = 1;
		call_send_cancel(t, a->host, id, 1);
	}
	g_array_free(ids, TRUE);
}
