/*
 * Which host leads all roll-outs, and what it sends.
 *
 * The first live host in the relay ranking of the whole fleet leads, those that
 * cannot read the store come last. While a roll-out runs, the next hosts do not
 * wait until the membership declares a leader dead: they take over when neither
 * they nor the peers that they ask have heard it for a while. Only one leader
 * can write to the store, since each write is conditional on the last one. A
 * leader that sees a higher term, or whose write fails for another's, stops.
 */
#include "rollout_task_state.h"

#include "fescue/error.h"
#include "failure_domain.h"
#include "log.h"
#include "rollout_packet.h"

#define RANKING_PURPOSE "relay"
/* A joining node would rank itself first before it knows its peers. */
#define START_DELAY_MS 1500
/* The membership settles before a host acts on its rank. */
#define FIRST_DELAY_MS 300
/* States are sent each 250 ms and permit calls to the new version for 1 s. */
#define ASK_AFTER_MS 600
#define ASK_INTERVAL_MS 250
/*
 * The leader is silent: beyond its lease, so that a host that is only slow for a
 * moment stays the leader. Each further host of the ranking waits for longer.
 */
#define SILENT_AFTER_MS 1500
#define SILENT_RANK_STEP_MS 500
#define SILENT_RANKS_MAX 4
/* A reply of a peer shows that this host is not cut off. */
#define REPLY_AGE_MAX_MS 1000
/* After another leader was seen, so that the two do not alternate. */
#define YIELD_MS 3000
/* The same on the smaller side of a partition, which must not interfere. */
#define MINORITY_YIELD_MS 15000

static uint64_t now_ms(const struct rollout_task *t)
{
	return rollout_task_now_ms(t);
}

static void update_rank(struct rollout_task *t)
{
	const struct membership *m = t->settings.membership;
	uint64_t generation = membership_relay_generation(m);

	if (t->rank_generation == generation && t->rank_generation)
		return;
	t->rank_generation = generation;
	t->rank = fleet_rank(m, RANKING_PURPOSE).by_store_access;
}

/* Newest state of a roll-out that is not final, over all services. */
struct running {
	uint64_t now_ms;
	uint32_t unheard_ms; /* age if no leader was heard: of this node */
	int any;
	uint32_t age_ms;
};

static void note_running(struct rollout *rollout, void *data)
{
	struct running *r = data;
	struct rollout_state state;
	uint32_t remaining_ms;

	if (!rollout_is_running(rollout, r->now_ms, &remaining_ms))
		return;
	/* Only the store has told of it. */
	if (!rollout_forward(rollout, r->now_ms, &state))
		state.age_ms = r->unheard_ms;
	r->age_ms = r->any ? MIN(r->age_ms, state.age_ms) : state.age_ms;
	r->any = 1;
}

static struct running find_running(const struct rollout_task *t)
{
	struct running r = {
		.now_ms = now_ms(t),
		.unheard_ms =
			(uint32_t)MIN(now_ms(t) - t->created_ms, UINT32_MAX),
	};

	rollouts_foreach(t->rollouts, note_running, &r);
	return r;
}

static int is_alone(const struct rollout_task *t)
{
	return membership_up_count(t->settings.membership) <= 1;
}

/* Hosts that announced that they stop do not count. */
static int is_minority(const struct rollout_task *t)
{
	const struct membership *m = t->settings.membership;
	size_t known = 0;

	for (size_t i = 0; i < membership_count(m); i++)
		known += membership_host(m, i)->state != HOST_LEFT;
	return membership_up_count(m) * 2 < known;
}

/* Whether this host is the next one to lead while the leader is silent. */
static int is_next(const struct rollout_task *t, const struct running *r)
{
	size_t rank = MIN(t->rank, SILENT_RANKS_MAX);

	return r->any && t->rank <= SILENT_RANKS_MAX &&
	       r->age_ms >= SILENT_AFTER_MS + rank * SILENT_RANK_STEP_MS &&
	       t->peer_replied_ms &&
	       now_ms(t) < t->peer_replied_ms + REPLY_AGE_MAX_MS;
}

static void set_leading(struct rollout_task *t, int leading, const char *reason)
{
	GHashTableIter iter;
	gpointer value;

	if (t->leading == leading)
		return;
	t->leading = leading;
	log_event(LOG_STATE, leading ? "rollouts_led" : "rollouts_not_led",
		  "\"reason\":\"%s\",\"rank\":%zu", reason, t->rank);
	rollout_leader_set_active(t->leader_module, leading);
	if (leading) {
		t->settings.context->counters->values[COUNTER_rollout_leads]++;
		g_hash_table_iter_init(&iter, t->services);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			((struct rollout_service *)value)->was_logged = 0;
		/* The module forgets the hosts with its evidence. */
		t->generation = 0;
		rollout_task_update(t);
	}
	rollout_store_set_leading(t->store, leading);
	t->settings.leading(t->settings.data, leading);
}

static void yield_leadership(struct rollout_task *t, const char *reason)
{
	if (!t->leading)
		return;
	t->yield_until_ms =
		now_ms(t) + (is_minority(t) ? MINORITY_YIELD_MS : YIELD_MS);
	set_leading(t, 0, reason);
}

/*
 * A former leader's write may have been first; the first host takes over again
 * by its next write, unless it is on the smaller side of a partition.
 */
void rollout_task_on_conflict(void *data)
{
	struct rollout_task *t = data;

	if (t->rank || is_minority(t))
		yield_leadership(t, "another host has written");
}

void rollout_task_heed_term(struct rollout_task *t, const char *service,
			    uint64_t term)
{
	uint64_t own_term;

	if (!t->leading)
		return;
	own_term = rollout_leader_term(t->leader_module, service);
	if (!own_term || term <= own_term)
		return;
	yield_leadership(t, "another host has a higher term");
}

/*
 * Whether a leader is heard that is able to go on. A change of leader loses the
 * evidence, so the first host does not replace it.
 */
static int is_led(const struct rollout_task *t, const struct running *r)
{
	const struct membership *m = t->settings.membership;
	const struct host *leader = membership_find(m, t->leader);
	int is_heard = t->leader &&
		       now_ms(t) < t->leader_heard_ms + SILENT_AFTER_MS;

	if (r->any && r->age_ms < SILENT_AFTER_MS)
		is_heard = 1;
	return is_heard && !(leader && leader->store_lost &&
			     !membership_self(m)->store_lost);
}

int rollout_task_is_ready(const struct rollout_task *t)
{
	return rollout_store_is_loaded(t->store) || t->waited;
}

static int may_lead(const struct rollout_task *t)
{
	return now_ms(t) >= t->created_ms + START_DELAY_MS &&
	       now_ms(t) >= t->yield_until_ms && rollout_task_is_ready(t) &&
	       t->settings.may_lead(t->settings.data);
}

void rollout_task_update_leadership(struct rollout_task *t)
{
	struct running running = find_running(t);

	update_rank(t);
	if (running.any)
		t->running_ms = now_ms(t);
	if (t->rank)
		t->first_since_ms = 0;
	else if (!t->first_since_ms)
		t->first_since_ms = now_ms(t);
	if (t->leading) {
		/* Until the result is spread, a higher term ends it. */
		if (t->rank && now_ms(t) >= t->running_ms + ROLLOUT_FINAL_MS)
			set_leading(t, 0, "another host is first");
		return;
	}
	if (!may_lead(t))
		return;
	if (!t->rank && now_ms(t) >= t->first_since_ms + FIRST_DELAY_MS &&
	    !is_led(t, &running))
		set_leading(t, 1, "first");
	else if (is_next(t, &running))
		set_leading(t, 1, "the leader is silent");
}

/* Returns a random live peer, or 0. */
static uint64_t random_peer(const struct rollout_task *t)
{
	const struct membership *m = t->settings.membership;
	gint32 count = (gint32)membership_count(m);
	gint32 start = g_rand_int_range(t->random, 0, count);

	for (gint32 i = 0; i < count; i++) {
		const struct host *host =
			membership_host(m, (size_t)((start + i) % count));

		if (host_is_up(host) &&
		    host->address != t->settings.context->own)
			return host->address;
	}
	return 0;
}

void rollout_task_ask_tick(struct rollout_task *t)
{
	struct running running;
	uint64_t peer;
	int needed = !rollout_store_is_loaded(t->store) &&
		     rollout_store_has_failed(t->store);

	if (t->leading || is_alone(t) ||
	    now_ms(t) < t->asked_ms + ASK_INTERVAL_MS)
		return;
	running = find_running(t);
	if (!needed && !(running.any && running.age_ms >= ASK_AFTER_MS))
		return;
	t->asked_ms = now_ms(t);
	peer = random_peer(t);
	if (peer)
		node_context_send(t->settings.context, peer,
				  rollout_ask_packet());
}

static void send_to_all(struct rollout_task *t, const GArray *states)
{
	const struct membership *m = t->settings.membership;
	const struct rollout_state *list =
		(const struct rollout_state *)(void *)states->data;

	for (size_t i = 0; i < membership_count(m); i++) {
		const struct host *host = membership_host(m, i);

		if (!host_is_up(host))
			continue;
		for (guint at = 0; at < states->len; at += ROLLOUT_STATES_MAX)
			node_context_send(t->settings.context, host->address,
					  rollout_state_packet(list + at,
							       states->len - at,
							       1, 0));
		t->settings.context->counters->values[COUNTER_rollout_states]++;
	}
}

void rollout_task_send_states(struct rollout_task *t, int at_once)
{
	GArray *states;
	struct rollout_state state;
	size_t position = 0;

	if (!at_once &&
	    now_ms(t) < t->states_sent_ms + ROLLOUT_STATE_INTERVAL_MS)
		return;
	t->states_sent_ms = now_ms(t);
	states = g_array_new(FALSE, FALSE, sizeof(struct rollout_state));
	while (rollout_leader_next_state(t->leader_module, &position, now_ms(t),
					 &state))
		g_array_append_val(states, state);
	send_to_all(t, states);
	g_array_free(states, TRUE);
}
