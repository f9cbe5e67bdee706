/* What becomes of calls whose link to their host broke. */
#include "caller_state.h"
#include "call_log.h"
#include "events.h"
#include "fescue/answer_memory.h"

/* A host that was asked what became of a call answers within this time. */
#define QUERY_TIMEOUT_MS 1500
/* Well below the time for which a host knows that it has seen a call. */
#define QUERY_AGE_MAX_MS (ANSWER_SEEN_MS / 2)

void caller_table_running(struct caller_table *t, uint64_t from,
			  uint64_t call_id)
{
	struct call *c = g_hash_table_lookup(t->attempts, &call_id);

	if (c && call_last_tried(c) == from && c->state == ATTEMPT_ASKED)
		c->state = ATTEMPT_SENT;
}

/* The host cannot be asked any more: what became of the call is not known. */
static void lose_attempt(struct call *c, int sent)
{
	struct retry_attempt ended = { .outcome = sent ? CALL_UNKNOWN :
							 CALL_NOT_RUN,
				       .arrived = sent };

	call_end_attempt(c, ROUTER_UNREACHABLE, NULL);
	call_attempt_failed(c, &ended,
			    sent ? "the host broke off" :
				   "no connection to the host");
}

static void ask_host(struct call *c)
{
	struct caller_table *t = c->callers;
	Fescue__Packet *packet;

	/* Its host may have forgotten what became of it. */
	if (boot_clock_ms() > c->attempt_boot_ms + QUERY_AGE_MAX_MS) {
		lose_attempt(c, 1);
		return;
	}
	call_log(c, LOG_FAILURE, "link_broke",
		 "\"then\":\"the host is asked what became of it\"");
	c->state = ATTEMPT_ASKED;
	c->asked_ms = caller_now_ms(t);
	caller_count(t, COUNTER_call_queries);
	packet = packet_create(FESCUE__PACKET__BODY_CALL_QUERY);
	packet->call_query->call_id = c->attempt_id;
	packet->call_query->epoch = c->attempt_epoch;
	task_send(t->links, call_last_tried(c), packet);
}

static GArray *collect_attempts(const struct caller_table *t, uint64_t peer)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, t->attempts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (!peer || call_last_tried(value) == peer)
			g_array_append_vals(ids, key, 1);
	return ids;
}

void caller_table_peer_gone(struct caller_table *t, uint64_t peer,
			    int connected)
{
	GArray *ids = collect_attempts(t, peer);

	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		struct call *c = g_hash_table_lookup(t->attempts, &id);

		if (!c)
			continue;
		if (connected)
			ask_host(c);
		else
			lose_attempt(c, c->state == ATTEMPT_ASKED);
	}
	g_array_free(ids, TRUE);
}

void caller_expire_queries(struct caller_table *t)
{
	GArray *ids = collect_attempts(t, 0);

	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		struct call *c = g_hash_table_lookup(t->attempts, &id);

		if (c && c->state == ATTEMPT_ASKED &&
		    caller_now_ms(t) >= c->asked_ms + QUERY_TIMEOUT_MS)
			lose_attempt(c, 1);
	}
	g_array_free(ids, TRUE);
}
