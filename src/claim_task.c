#include "claim_task.h"

#include "fescue/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLAIMS_PREFIX "fescue/claims/"
#define COMMIT_TICK_MS 5
#define REPEAT_MS 250 /* before the holder, or its successor, is asked again */

/* A claim this node asked for. */
struct own_claim {
	uint64_t id; /* also its nonce's low part */
	uint64_t nonce;
	char *key;
	uint64_t deadline_ms;
	uint64_t asked_ms;
	void (*done)(void *data, const struct claim_result *result);
	void *data;
};

/* A shard this node holds, or once held. */
struct shard {
	struct claim_task *task;
	uint32_t number;
	struct claim_log *log;
	struct store_call *call; /* in flight; one at a time */
	struct store_call *removal;
	uint64_t reading; /* number of the record that is being read */
};

struct claim_task {
	struct node *node;
	GRand *random;
	GHashTable *claims; /* id -> struct own_claim */
	struct shard *shards;
	uint64_t next_id;
	uv_timer_t commit_timer; /* runs while requests wait */
};

static void shard_run(struct shard *shard);
static void on_commit_timer(uv_timer_t *timer);

static void claim_free(gpointer p)
{
	struct own_claim *claim = p;

	g_free(claim->key);
	g_free(claim);
}

static enum claim_store_result result_of(const struct store_result *result)
{
	switch (result->error) {
	case FESCUE_OK:
		return CLAIM_STORE_OK;
	case FESCUE_ECONFLICT:
		return CLAIM_STORE_CONFLICT;
	case FESCUE_ENOTFOUND:
		return CLAIM_STORE_ABSENT;
	case FESCUE_EUNAVAILABLE:
		return CLAIM_STORE_REFUSED;
	default:
		return result->unsettled ? CLAIM_STORE_UNSETTLED :
					   CLAIM_STORE_REFUSED;
	}
}

static uint64_t sequence_of(const char *key)
{
	const char *slash = strrchr(key, '/');

	return slash ? strtoull(slash + 1, NULL, 10) : 0;
}

static void on_listed(void *data, const struct store_result *result)
{
	struct shard *shard = data;
	struct claim_record *records =
		g_new0(struct claim_record, result->item_count + 1);

	shard->call = NULL;
	for (size_t i = 0; i < result->item_count; i++) {
		const struct store_item *item = &result->items[i];

		records[i].sequence = sequence_of(item->key);
		records[i].revision = item->revision;
		records[i].value = item->value ? item->value : "";
		records[i].size = item->value ? item->size : 0;
	}
	claim_log_listed(shard->log, result_of(result), records,
			 result->item_count, node_now_ms(shard->task->node));
	g_free(records);
	shard_run(shard);
}

static void on_created(void *data, const struct store_result *result)
{
	struct shard *shard = data;
	struct counters *counters = &shard->task->node->counters;

	shard->call = NULL;
	counters->values[COUNTER_claim_commits]++;
	if (result->error == FESCUE_ECONFLICT)
		counters->values[COUNTER_claim_commit_conflicts]++;
	claim_log_created(shard->log, result_of(result), result->revision,
			  node_now_ms(shard->task->node));
	shard_run(shard);
}

static void on_read(void *data, const struct store_result *result)
{
	struct shard *shard = data;
	struct claim_record record = { shard->reading, result->revision,
				       result->value, result->size };

	shard->call = NULL;
	claim_log_read(shard->log, result_of(result), &record,
		       node_now_ms(shard->task->node));
	shard_run(shard);
}

static void on_removed(void *data, const struct store_result *result)
{
	struct shard *shard = data;

	(void)result;
	shard->removal = NULL;
	claim_log_deleted(shard->log);
}

static void record_key(const struct shard *shard, uint64_t sequence, char *out,
		       size_t size)
{
	g_snprintf(out, size, CLAIMS_PREFIX "%u/%012" PRIu64, shard->number,
		   sequence);
}

static void send_reply(struct claim_task *task,
		       const struct claim_action *action)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CLAIM_REPLY);
	Fescue__ClaimReply *reply = packet->claim_reply;
	struct node *node = task->node;

	reply->request_id = action->u.reply.request_id;
	reply->verdict = (Fescue__ClaimVerdict)action->u.reply.verdict;
	reply->claimant = action->u.reply.taken_by;
	reply->claimant_nonce = action->u.reply.taken_nonce;
	if (action->u.reply.claimant == node->own)
		claim_task_receive(task, node->own, packet);
	else
		transport_send(node->transport, action->u.reply.claimant,
			       PACKET_CALL, packet);
	packet_destroy(packet);
}

static void perform(struct shard *shard, const struct claim_action *action)
{
	struct store_client *store = shard->task->node->store;
	char key[64];

	record_key(shard, action->sequence, key, sizeof(key));
	switch (action->type) {
	case CLAIM_LIST:
		g_snprintf(key, sizeof(key), CLAIMS_PREFIX "%u/",
			   shard->number);
		shard->call = store_list(store, key, on_listed, shard);
		break;
	case CLAIM_CREATE:
		shard->call = store_put(store, key, action->u.create.value,
					action->u.create.size, 0, 0, on_created,
					shard);
		break;
	case CLAIM_READ:
		shard->reading = action->sequence;
		shard->call = store_get(store, key, 0, on_read, shard);
		break;
	case CLAIM_DELETE:
		shard->removal = store_delete(store, key,
					      action->u.remove.revision,
					      on_removed, shard);
		break;
	case CLAIM_REPLY:
		send_reply(shard->task, action);
		break;
	}
}

static void shard_run(struct shard *shard)
{
	struct claim_action action;

	while (claim_log_next_action(shard->log, &action))
		perform(shard, &action);
}

static struct shard *open_shard(struct claim_task *task, uint32_t number)
{
	const struct node_settings *s = &task->node->settings;
	struct shard *shard = &task->shards[number];
	struct claim_settings settings = claim_defaults;

	if (shard->log)
		return shard;
	settings.interval_ms = s->claim_interval_ms;
	settings.retention_ms = s->claim_retention_ms;
	shard->task = task;
	shard->number = number;
	shard->log = claim_log_create(&settings, task->node->own,
				      g_rand_int(task->random));
	claim_log_tick(shard->log, node_now_ms(task->node),
		       wall_clock_us() / 1000);
	return shard;
}

/* The live host with the highest weight for the shard. */
static uint64_t holder_of(const struct claim_task *task, uint32_t shard)
{
	const struct membership *membership = task->node->membership;
	uint64_t best = task->node->own, best_weight = 0;

	for (size_t i = 0; i < membership_count(membership); i++) {
		const struct host *host = membership_host(membership, i);
		uint64_t weight = host_weight(host->address, "claims", shard);

		if (host->state != HOST_ALIVE || weight <= best_weight)
			continue;
		best = host->address;
		best_weight = weight;
	}
	return best;
}

static void receive_request(struct claim_task *task, uint64_t from,
			    const Fescue__ClaimRequest *packet)
{
	uint32_t number =
		claim_shard(packet->key, task->node->settings.claim_shards);
	struct shard *shard = open_shard(task, number);
	struct claim_request request = { from, packet->request_id,
					 packet->nonce, packet->key };

	claim_log_request(shard->log, &request, node_now_ms(task->node));
	shard_run(shard);
	if (!uv_is_active((uv_handle_t *)&task->commit_timer))
		uv_timer_start(&task->commit_timer, on_commit_timer,
			       COMMIT_TICK_MS, COMMIT_TICK_MS);
}

static void ask_holder(struct claim_task *task, struct own_claim *claim)
{
	uint32_t shard =
		claim_shard(claim->key, task->node->settings.claim_shards);
	uint64_t holder = holder_of(task, shard);
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CLAIM_REQUEST);
	Fescue__ClaimRequest *request = packet->claim_request;

	claim->asked_ms = node_now_ms(task->node);
	request->request_id = claim->id;
	request->nonce = claim->nonce;
	packet_set_string(&request->key, claim->key);
	if (holder == task->node->own)
		receive_request(task, holder, request);
	else
		transport_send(task->node->transport, holder, PACKET_CALL,
			       packet);
	packet_destroy(packet);
}

void claim_task_ask(struct claim_task *task, const char *key,
		    uint64_t deadline_ms,
		    void (*done)(void *data, const struct claim_result *result),
		    void *data)
{
	struct own_claim *claim = g_new0(struct own_claim, 1);

	claim->id = ++task->next_id;
	claim->nonce = (uint64_t)g_rand_int(task->random) << 32 |
		       g_rand_int(task->random);
	claim->key = g_strdup(key);
	claim->deadline_ms = deadline_ms;
	claim->done = done;
	claim->data = data;
	g_hash_table_insert(task->claims, &claim->id, claim);
	task->node->counters.values[COUNTER_claims_asked]++;
	ask_holder(task, claim);
}

static void count_verdict(struct claim_task *task, enum claim_verdict verdict)
{
	static const enum counter counters[] = {
		[CLAIM_GRANTED] = COUNTER_claims_granted,
		[CLAIM_TAKEN] = COUNTER_claims_taken,
		[CLAIM_REFUSED] = COUNTER_claims_refused,
		[CLAIM_UNSETTLED] = COUNTER_claims_unsettled,
	};

	task->node->counters.values[counters[verdict]]++;
}

static void finish(struct claim_task *task, struct own_claim *claim,
		   enum claim_verdict verdict, uint64_t taken_by)
{
	struct claim_result result = { verdict, taken_by };

	g_hash_table_steal(task->claims, &claim->id);
	count_verdict(task, verdict);
	claim->done(claim->data, &result);
	claim_free(claim);
}

static void receive_reply(struct claim_task *task,
			  const Fescue__ClaimReply *reply)
{
	struct own_claim *claim =
		g_hash_table_lookup(task->claims, &reply->request_id);

	if (!claim || (unsigned)reply->verdict > CLAIM_UNSETTLED)
		return;
	/* A grant that comes too late must not start the call. */
	if (node_now_ms(task->node) >= claim->deadline_ms)
		finish(task, claim, CLAIM_UNSETTLED, 0);
	else
		finish(task, claim, (enum claim_verdict)reply->verdict,
		       reply->claimant);
}

void claim_task_receive(struct claim_task *task, uint64_t from,
			const Fescue__Packet *packet)
{
	if (packet->body_case == FESCUE__PACKET__BODY_CLAIM_REQUEST)
		receive_request(task, from, packet->claim_request);
	else if (packet->body_case == FESCUE__PACKET__BODY_CLAIM_REPLY)
		receive_reply(task, packet->claim_reply);
}

static void tick_claim(struct claim_task *task, struct own_claim *claim,
		       uint64_t now_ms)
{
	if (now_ms >= claim->deadline_ms)
		finish(task, claim, CLAIM_UNSETTLED, 0);
	else if (now_ms >= claim->asked_ms + REPEAT_MS)
		ask_holder(task, claim);
}

/* By id, for a claim that ends may let another one end as well. */
static void tick_claims(struct claim_task *task, uint64_t now_ms)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, task->claims);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_vals(ids, key, 1);
	for (guint i = 0; i < ids->len; i++) {
		struct own_claim *claim = g_hash_table_lookup(
			task->claims, &g_array_index(ids, uint64_t, i));

		if (claim)
			tick_claim(task, claim, now_ms);
	}
	g_array_free(ids, TRUE);
}

/* Returns the number of requests that wait in this node's shards. */
static size_t tick_shards(struct claim_task *task)
{
	uint64_t now_ms = node_now_ms(task->node);
	size_t waiting = 0;

	for (uint32_t i = 0; i < task->node->settings.claim_shards; i++) {
		if (!task->shards[i].log)
			continue;
		claim_log_tick(task->shards[i].log, now_ms,
			       wall_clock_us() / 1000);
		shard_run(&task->shards[i]);
		waiting += claim_log_waiting(task->shards[i].log);
	}
	return waiting;
}

void claim_task_tick(struct claim_task *task)
{
	tick_shards(task);
	tick_claims(task, node_now_ms(task->node));
}

/* Requests wait: write them as soon as the interval allows. */
static void on_commit_timer(uv_timer_t *timer)
{
	if (!tick_shards(timer->data))
		uv_timer_stop(timer);
}

struct claim_task *claim_task_create(struct node *node, uint32_t seed)
{
	struct claim_task *task = g_new0(struct claim_task, 1);

	task->node = node;
	task->random = g_rand_new_with_seed(seed);
	task->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     claim_free);
	task->shards = g_new0(struct shard, node->settings.claim_shards);
	uv_timer_init(node->loop, &task->commit_timer);
	task->commit_timer.data = task;
	return task;
}

void claim_task_destroy(struct claim_task *task)
{
	if (!task)
		return;
	for (uint32_t i = 0; i < task->node->settings.claim_shards; i++) {
		struct shard *shard = &task->shards[i];

		if (shard->call)
			store_call_cancel(shard->call);
		if (shard->removal)
			store_call_cancel(shard->removal);
		claim_log_destroy(shard->log);
	}
	g_free(task->shards);
	g_hash_table_destroy(task->claims);
	g_rand_free(task->random);
	g_free(task);
}
