#include "keyed_calls.h"

#include "claim_task.h"
#include "fescue/error.h"

#include <string.h>

#define ANSWERS_MAX 2000
#define ANSWERS_MAX_BYTES ((size_t)8 << 20)
#define REPLAY_ID_BIT ((uint64_t)1 << 63) /* apart from ids of own calls */

enum key_state {
	KEY_CLAIMING,
	KEY_RUNNING,
	KEY_DONE, /* the answer is held */
	KEY_UNUSED, /* claimed by this host; the call has not run yet */
	KEY_ABANDONED, /* claimed, or perhaps; it never ran and never will */
};

/* One key that this host claimed, or tries to. */
struct key_entry {
	char *key;
	enum key_state state;
	uint64_t owner_id; /* of the wait that will run it */
	Fescue__Packet *answer; /* KEY_DONE */
	size_t answer_bytes;
};

/* Someone here or elsewhere who waits for a key's outcome. */
struct wait {
	uint64_t id;
	struct keyed_calls *calls;
	char *key;
	uint64_t deadline_ms;
	struct keyed_call_owner owner; /* of a call here */
	uint64_t peer; /* or a host that asked for a replay */
	uint64_t peer_call_id;
	int remote; /* waits for another host's answer */
};

struct keyed_calls {
	struct node *node;
	GHashTable *keys; /* key -> struct key_entry */
	GQueue settled; /* struct key_entry, done or abandoned, oldest first */
	size_t answer_bytes;
	GHashTable *waits; /* id -> struct wait */
	uint64_t next_id;
};

static void entry_free(gpointer p)
{
	struct key_entry *entry = p;

	packet_destroy(entry->answer);
	g_free(entry->key);
	g_free(entry);
}

static void wait_free(gpointer p)
{
	struct wait *wait = p;

	g_free(wait->key);
	g_free(wait);
}

static Fescue__Packet *plain_answer(enum call_outcome outcome,
				    const char *reason)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CALL_ANSWER);

	packet->call_answer->outcome = (Fescue__Outcome)outcome;
	packet->call_answer->final = 1;
	packet_set_string(&packet->call_answer->reason, reason);
	return packet;
}

/* End a wait with an answer. */
static void wait_answer(struct wait *wait, const Fescue__CallAnswer *answer)
{
	struct keyed_calls *calls = wait->calls;
	Fescue__Packet packet = FESCUE__PACKET__INIT;
	Fescue__CallAnswer copy = *answer;

	g_hash_table_steal(calls->waits, &wait->id);
	if (wait->owner.answer) {
		wait->owner.answer(wait->owner.data, answer);
	} else {
		copy.call_id = wait->peer_call_id;
		packet.body_case = FESCUE__PACKET__BODY_CALL_ANSWER;
		packet.call_answer = &copy;
		transport_send(calls->node->transport, wait->peer, PACKET_CALL,
			       &packet);
	}
	wait_free(wait);
}

static void wait_answer_plain(struct wait *wait, enum call_outcome outcome,
			      const char *reason)
{
	Fescue__Packet *packet = plain_answer(outcome, reason);

	wait_answer(wait, packet->call_answer);
	packet_destroy(packet);
}

/* Ids of the waits for a key, other than the one that runs it. */
static GArray *waits_for(const struct keyed_calls *calls, const char *key)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, calls->waits);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wait *wait = value;

		if (!wait->remote && !strcmp(wait->key, key))
			g_array_append_val(ids, wait->id);
	}
	return ids;
}

static void answer_waits(struct keyed_calls *calls, const char *key,
			 const Fescue__CallAnswer *answer)
{
	GArray *ids = waits_for(calls, key);

	for (guint i = 0; i < ids->len; i++) {
		struct wait *wait = g_hash_table_lookup(
			calls->waits, &g_array_index(ids, uint64_t, i));

		if (wait)
			wait_answer(wait, answer);
	}
	g_array_free(ids, TRUE);
}

static void forget_oldest(struct keyed_calls *calls)
{
	struct key_entry *entry = g_queue_pop_head(&calls->settled);

	calls->answer_bytes -= entry->answer_bytes;
	g_hash_table_remove(calls->keys, entry->key);
}

static void settle(struct keyed_calls *calls, struct key_entry *entry,
		   enum key_state state)
{
	entry->state = state;
	g_queue_push_tail(&calls->settled, entry);
	while (g_queue_get_length(&calls->settled) > ANSWERS_MAX ||
	       calls->answer_bytes > ANSWERS_MAX_BYTES)
		forget_oldest(calls);
}

/* The key is spent without a run: nobody may ever run it. */
static void abandon_key(struct keyed_calls *calls, struct key_entry *entry,
			const char *reason)
{
	Fescue__Packet *packet = plain_answer(CALL_NOT_RUN, reason);
	char *key = g_strdup(entry->key);

	settle(calls, entry, KEY_ABANDONED);
	answer_waits(calls, key, packet->call_answer);
	packet_destroy(packet);
	g_free(key);
}

/* The key is surely not recorded: a resend may claim it anew. */
static void refuse_key(struct keyed_calls *calls, struct key_entry *entry)
{
	Fescue__Packet *packet = plain_answer(
		CALL_NOT_RUN, "the store cannot record the key now; send again "
			      "when it answers");
	char *key = g_strdup(entry->key);

	g_hash_table_remove(calls->keys, key);
	answer_waits(calls, key, packet->call_answer);
	packet_destroy(packet);
	g_free(key);
}

static void ask_claimant(struct keyed_calls *calls, struct wait *wait,
			 uint64_t claimant)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_REPLAY_REQUEST);

	wait->remote = 1;
	wait->peer = claimant;
	packet->replay_request->call_id = wait->id | REPLAY_ID_BIT;
	packet_set_string(&packet->replay_request->key, wait->key);
	calls->node->counters.values[COUNTER_replays]++;
	transport_send(calls->node->transport, claimant, PACKET_CALL, packet);
	packet_destroy(packet);
}

/* The key stands recorded for another run: get its answer, if it is held. */
static void follow_claimant(struct keyed_calls *calls, struct key_entry *entry,
			    uint64_t claimant)
{
	GArray *ids = waits_for(calls, entry->key);
	const struct host *host =
		membership_find(calls->node->membership, claimant);
	int alive = host && host_is_up(host) && claimant != calls->node->own;

	g_hash_table_remove(calls->keys, entry->key);
	for (guint i = 0; i < ids->len; i++) {
		struct wait *wait = g_hash_table_lookup(
			calls->waits, &g_array_index(ids, uint64_t, i));

		if (wait && alive)
			ask_claimant(calls, wait, claimant);
		else if (wait)
			wait_answer_plain(wait, CALL_UNKNOWN,
					  "the key was claimed by a host that "
					  "no longer knows its outcome");
	}
	g_array_free(ids, TRUE);
}

static void run_key(struct keyed_calls *calls, struct key_entry *entry)
{
	struct wait *wait = g_hash_table_lookup(calls->waits, &entry->owner_id);
	struct keyed_call_owner owner;

	if (!wait) {
		abandon_key(calls, entry, "the claim came too late");
		return;
	}
	entry->state = KEY_RUNNING;
	owner = wait->owner;
	g_hash_table_remove(calls->waits, &entry->owner_id);
	owner.run(owner.data);
}

static void on_claimed(void *data, const struct claim_result *result)
{
	struct wait *wait = data; /* see keyed_calls_begin() */
	struct keyed_calls *calls = wait->calls;
	struct key_entry *entry = g_hash_table_lookup(calls->keys, wait->key);

	wait_free(wait);
	g_assert(entry && entry->state == KEY_CLAIMING);
	switch (result->verdict) {
	case CLAIM_GRANTED:
		run_key(calls, entry);
		break;
	case CLAIM_TAKEN:
		follow_claimant(calls, entry, result->taken_by);
		break;
	case CLAIM_REFUSED:
		refuse_key(calls, entry);
		break;
	case CLAIM_UNSETTLED:
		abandon_key(calls, entry,
			    "the store did not confirm the key in time; send "
			    "again with a new key");
		break;
	}
}

static struct wait *wait_create(struct keyed_calls *calls, const char *key,
				uint64_t deadline_ms)
{
	struct wait *wait = g_new0(struct wait, 1);

	wait->calls = calls;
	wait->id = ++calls->next_id;
	wait->key = g_strdup(key);
	wait->deadline_ms = deadline_ms;
	return wait;
}

/* Answer a wait from what is known of its key; 0 when it has to wait. */
static int answer_from_memory(struct wait *wait, const struct key_entry *entry)
{
	switch (entry->state) {
	case KEY_DONE:
		wait_answer(wait, entry->answer->call_answer);
		return 1;
	case KEY_ABANDONED:
		wait_answer_plain(wait, CALL_NOT_RUN,
				  "the key is spent without a run; send again "
				  "with a new key");
		return 1;
	case KEY_UNUSED:
		wait_answer_plain(
			wait, CALL_NOT_RUN,
			"the key is claimed but its call has not run; "
			"send again");
		return 1;
	case KEY_CLAIMING:
	case KEY_RUNNING:
		break;
	}
	return 0;
}

int keyed_calls_knows(const struct keyed_calls *calls, const char *key)
{
	const struct key_entry *entry = g_hash_table_lookup(calls->keys, key);

	return entry && entry->state != KEY_UNUSED;
}

uint64_t keyed_calls_begin(struct keyed_calls *calls, const char *key,
			   uint64_t deadline_ms,
			   const struct keyed_call_owner *owner)
{
	struct key_entry *entry = g_hash_table_lookup(calls->keys, key);
	struct wait *wait = wait_create(calls, key, deadline_ms);
	uint64_t id = wait->id;

	wait->owner = *owner;
	g_hash_table_insert(calls->waits, &wait->id, wait);
	if (entry && entry->state == KEY_UNUSED) {
		g_queue_remove(&calls->settled, entry);
		entry->owner_id = id;
		run_key(calls, entry);
		return id;
	}
	if (entry) {
		answer_from_memory(wait, entry);
		return id;
	}
	entry = g_new0(struct key_entry, 1);
	entry->key = g_strdup(key);
	entry->owner_id = id;
	g_hash_table_insert(calls->keys, entry->key, entry);
	/* The claim outlives the wait, so it gets a wait of its own. */
	claim_task_ask(calls->node->claims, key, deadline_ms, on_claimed,
		       wait_create(calls, key, deadline_ms));
	return id;
}

void keyed_calls_abandon(struct keyed_calls *calls, uint64_t id)
{
	g_hash_table_remove(calls->waits, &id);
}

static Fescue__Packet *copy_answer(const Fescue__CallAnswer *answer)
{
	size_t size = fescue__call_answer__get_packed_size(answer);
	uint8_t *bytes = g_malloc(size);
	Fescue__Packet *packet = g_new(Fescue__Packet, 1);

	fescue__call_answer__pack(answer, bytes);
	fescue__packet__init(packet);
	packet->body_case = FESCUE__PACKET__BODY_CALL_ANSWER;
	packet->call_answer = fescue__call_answer__unpack(NULL, size, bytes);
	g_free(bytes);
	return packet;
}

void keyed_calls_finish(struct keyed_calls *calls, const char *key,
			const Fescue__CallAnswer *answer)
{
	struct key_entry *entry = g_hash_table_lookup(calls->keys, key);

	g_assert(entry && entry->state == KEY_RUNNING);
	if (answer->outcome == FESCUE__OUTCOME__NOT_RUN) {
		/* The claim is still this host's own: a resend may run. */
		answer_waits(calls, key, answer);
		settle(calls, entry, KEY_UNUSED);
		return;
	}
	entry->answer = copy_answer(answer);
	entry->answer->call_answer->final = 1;
	entry->answer_bytes = answer->body.len;
	calls->answer_bytes += entry->answer_bytes;
	answer_waits(calls, key, entry->answer->call_answer);
	settle(calls, entry, KEY_DONE);
}

void keyed_calls_replay(struct keyed_calls *calls, uint64_t from,
			const Fescue__ReplayRequest *request)
{
	struct key_entry *entry =
		g_hash_table_lookup(calls->keys, request->key);
	struct wait *wait =
		wait_create(calls, request->key,
			    node_now_ms(calls->node) + RULES_DEADLINE_MAX_MS);

	wait->peer = from;
	wait->peer_call_id = request->call_id;
	g_hash_table_insert(calls->waits, &wait->id, wait);
	if (!entry)
		wait_answer_plain(wait, CALL_UNKNOWN,
				  "the host that claimed the key no longer "
				  "knows its outcome");
	else
		answer_from_memory(wait, entry);
}

int keyed_calls_take_answer(struct keyed_calls *calls, uint64_t from,
			    const Fescue__CallAnswer *answer)
{
	uint64_t id = answer->call_id & ~REPLAY_ID_BIT;
	struct wait *wait;

	if (!(answer->call_id & REPLAY_ID_BIT))
		return 0;
	wait = g_hash_table_lookup(calls->waits, &id);
	if (wait && wait->remote && wait->peer == from)
		wait_answer(wait, answer);
	return 1;
}

void keyed_calls_tick(struct keyed_calls *calls)
{
	uint64_t now_ms = node_now_ms(calls->node);
	GList *ids = g_hash_table_get_keys(calls->waits);
	GArray *overdue = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GList *l = ids; l; l = l->next) {
		struct wait *wait = g_hash_table_lookup(calls->waits, l->data);

		if (now_ms >= wait->deadline_ms)
			g_array_append_val(overdue, wait->id);
	}
	g_list_free(ids);
	for (guint i = 0; i < overdue->len; i++) {
		struct wait *wait = g_hash_table_lookup(
			calls->waits, &g_array_index(overdue, uint64_t, i));

		if (wait)
			wait_answer_plain(wait, CALL_UNKNOWN,
					  "no outcome before the deadline");
	}
	g_array_free(overdue, TRUE);
}

struct keyed_calls *keyed_calls_create(struct node *node)
{
	struct keyed_calls *calls = g_new0(struct keyed_calls, 1);

	calls->node = node;
	calls->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    entry_free);
	calls->waits = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     wait_free);
	g_queue_init(&calls->settled);
	return calls;
}

void keyed_calls_destroy(struct keyed_calls *calls)
{
	if (!calls)
		return;
	g_queue_clear(&calls->settled);
	g_hash_table_destroy(calls->keys);
	g_hash_table_destroy(calls->waits);
	g_free(calls);
}
