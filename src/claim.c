#include "fescue/claim.h"

#include "claim_record.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

const struct claim_settings claim_defaults = {
	.interval_ms = 60,
	.retention_ms = 3600000,
	.group_max = 1000,
	.patience_ms = 500,
};

enum log_state {
	LOG_UNKNOWN, /* the records were not read yet */
	LOG_LISTING,
	LOG_READY,
	LOG_CREATING, /* the batch is being written */
	LOG_READING, /* another's record stands at our number */
	LOG_SETTLING, /* the batch's fate is open; written again soon */
};

struct waiting_request {
	struct claim_entry entry;
	uint64_t request_id;
	uint64_t arrived_ms;
};

/* A recorded key. */
struct claim {
	char *key;
	uint64_t claimant;
	uint64_t nonce;
};

/* A record that will be deleted after its retention. */
struct old_record {
	uint64_t sequence;
	uint64_t revision;
	uint64_t wall_ms;
	GPtrArray *keys; /* char, owned */
};

struct claim_log {
	struct claim_settings settings;
	uint64_t writer;
	GRand *random;
	enum log_state state;
	GHashTable *claims; /* key -> struct claim */
	GQueue records; /* struct old_record, oldest first */
	GQueue waiting; /* struct waiting_request */
	GQueue batch; /* struct waiting_request of the record in flight */
	int batch_answered; /* its requests were told UNSETTLED */
	GString *value; /* the record in flight */
	struct claim_header header;
	uint64_t next_sequence;
	uint64_t last_answer_ms; /* of the store, on this shard */
	uint64_t last_commit_ms;
	uint64_t retry_at_ms;
	uint64_t wall_ms;
	int deleting; /* a CLAIM_DELETE is in flight */
	GQueue actions; /* struct claim_action */
};

#define RETRY_MS 200

uint32_t claim_shard(const char *key, uint32_t shards)
{
	return (uint32_t)(XXH64(key, strlen(key), 3) % shards);
}

static void claim_free(gpointer p)
{
	struct claim *claim = p;

	g_free(claim->key);
	g_free(claim);
}

static void request_free(gpointer p)
{
	struct waiting_request *request = p;

	g_free(request->entry.key);
	g_free(request);
}

static void record_free(gpointer p)
{
	struct old_record *record = p;

	g_ptr_array_free(record->keys, TRUE);
	g_free(record);
}

struct claim_log *claim_log_create(const struct claim_settings *settings,
				   uint64_t writer, uint32_t seed)
{
	struct claim_log *log = g_new0(struct claim_log, 1);

	log->settings = *settings;
	log->writer = writer;
	log->random = g_rand_new_with_seed(seed);
	log->claims = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    claim_free);
	log->value = g_string_new(NULL);
	g_queue_init(&log->records);
	g_queue_init(&log->waiting);
	g_queue_init(&log->batch);
	g_queue_init(&log->actions);
	return log;
}

void claim_log_destroy(struct claim_log *log)
{
	if (!log)
		return;
	g_hash_table_destroy(log->claims);
	g_queue_clear_full(&log->records, record_free);
	g_queue_clear_full(&log->waiting, request_free);
	g_queue_clear_full(&log->batch, request_free);
	g_queue_clear_full(&log->actions, g_free);
	g_string_free(log->value, TRUE);
	g_rand_free(log->random);
	g_free(log);
}

static struct claim_action *add_action(struct claim_log *log,
				       enum claim_action_type type,
				       uint64_t sequence)
{
	struct claim_action *action = g_new0(struct claim_action, 1);

	action->type = type;
	action->sequence = sequence;
	g_queue_push_tail(&log->actions, action);
	return action;
}

/* Tell the claimant; a recorded key is granted to the same nonce only. */
static void reply(struct claim_log *log, const struct waiting_request *request,
		  enum claim_verdict verdict, const struct claim *claim)
{
	struct claim_action *action = add_action(log, CLAIM_REPLY, 0);

	action->u.reply.claimant = request->entry.claimant;
	action->u.reply.request_id = request->request_id;
	action->u.reply.verdict = verdict;
	if (!claim)
		return;
	assert(verdict != CLAIM_GRANTED ||
	       (claim->claimant == request->entry.claimant &&
		claim->nonce == request->entry.nonce));
	action->u.reply.taken_by = claim->claimant;
	action->u.reply.taken_nonce = claim->nonce;
}

static int reply_if_recorded(struct claim_log *log,
			     const struct waiting_request *request)
{
	const struct claim *claim =
		g_hash_table_lookup(log->claims, request->entry.key);
	int own;

	if (!claim)
		return 0;
	own = claim->claimant == request->entry.claimant &&
	      claim->nonce == request->entry.nonce;
	reply(log, request, own ? CLAIM_GRANTED : CLAIM_TAKEN, claim);
	return 1;
}

/* The first record that names a key decides; later ones do not count. */
static void add_claim(struct claim_log *log, const struct claim_entry *entry)
{
	struct claim *claim;

	if (g_hash_table_contains(log->claims, entry->key))
		return;
	claim = g_new0(struct claim, 1);
	claim->key = g_strdup(entry->key);
	claim->claimant = entry->claimant;
	claim->nonce = entry->nonce;
	g_hash_table_insert(log->claims, claim->key, claim);
}

/* Take a record into the table and go to the number behind it. */
static void replay(struct claim_log *log, uint64_t sequence, uint64_t revision,
		   uint64_t wall_ms, const GArray *entries)
{
	struct old_record *record = g_new0(struct old_record, 1);

	assert(sequence >= log->next_sequence);
	record->sequence = sequence;
	record->revision = revision;
	record->wall_ms = wall_ms;
	record->keys = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < entries->len; i++) {
		const struct claim_entry *entry =
			&g_array_index(entries, struct claim_entry, i);

		add_claim(log, entry);
		g_ptr_array_add(record->keys, g_strdup(entry->key));
	}
	g_queue_push_tail(&log->records, record);
	log->next_sequence = sequence + 1;
}

static void forget_all(struct claim_log *log)
{
	g_hash_table_remove_all(log->claims);
	g_queue_clear_full(&log->records, record_free);
	log->next_sequence = 0;
}

static void start_listing(struct claim_log *log)
{
	log->state = LOG_LISTING;
	add_action(log, CLAIM_LIST, 0);
}

static void start_creating(struct claim_log *log, uint64_t now_ms)
{
	struct claim_action *action =
		add_action(log, CLAIM_CREATE, log->next_sequence);

	action->u.create.value = log->value->str;
	action->u.create.size = log->value->len;
	log->state = LOG_CREATING;
	log->last_commit_ms = now_ms;
}

/* Two requests for one key: the first is recorded, the other waits. */
static int batch_has_key(const struct claim_log *log, const char *key)
{
	for (GList *l = log->batch.head; l; l = l->next) {
		struct waiting_request *request = l->data;

		if (!strcmp(request->entry.key, key))
			return 1;
	}
	return 0;
}

static GArray *batch_entries(const struct claim_log *log)
{
	GArray *entries = claim_entries_create();

	for (GList *l = log->batch.head; l; l = l->next) {
		struct waiting_request *request = l->data;
		struct claim_entry entry = request->entry;

		entry.key = g_strdup(entry.key);
		g_array_append_val(entries, entry);
	}
	return entries;
}

/* Gather waiting requests; those already decided are answered here. */
static void gather_batch(struct claim_log *log)
{
	guint turns = g_queue_get_length(&log->waiting);

	while (turns--) {
		struct waiting_request *request =
			g_queue_pop_head(&log->waiting);

		if (reply_if_recorded(log, request))
			request_free(request);
		else if (g_queue_get_length(&log->batch) >=
				 log->settings.group_max ||
			 batch_has_key(log, request->entry.key))
			g_queue_push_tail(&log->waiting, request);
		else
			g_queue_push_tail(&log->batch, request);
	}
}

static void commit(struct claim_log *log, uint64_t now_ms)
{
	GArray *entries;

	/* Without a tick the wall clock, which dates records, is not known. */
	if (!log->wall_ms || log->state != LOG_READY ||
	    g_queue_is_empty(&log->waiting) ||
	    now_ms < log->last_commit_ms + log->settings.interval_ms)
		return;
	gather_batch(log);
	if (g_queue_is_empty(&log->batch))
		return;
	entries = batch_entries(log);
	log->header.writer = log->writer;
	log->header.nonce = (uint64_t)g_rand_int(log->random) << 32 |
			    g_rand_int(log->random);
	log->header.wall_ms = log->wall_ms;
	g_string_free(log->value, TRUE);
	log->value = claim_record_encode(&log->header, entries);
	g_array_free(entries, TRUE);
	log->batch_answered = 0;
	start_creating(log, now_ms);
}

static void refuse_queue(struct claim_log *log, GQueue *queue,
			 enum claim_verdict verdict)
{
	struct waiting_request *request;

	while ((request = g_queue_pop_head(queue))) {
		reply(log, request, verdict, NULL);
		request_free(request);
	}
}

/* The batch stands in the store: grant it. */
static void finish_batch(struct claim_log *log, uint64_t revision)
{
	GArray *entries = batch_entries(log);
	struct waiting_request *request;

	replay(log, log->next_sequence, revision, log->header.wall_ms, entries);
	g_array_free(entries, TRUE);
	while ((request = g_queue_pop_head(&log->batch))) {
		if (!log->batch_answered && !reply_if_recorded(log, request))
			assert(0 && "a recorded key is missing");
		request_free(request);
	}
	log->state = LOG_READY;
}

/* The batch will never stand at this number: its requests try the next. */
static void return_batch(struct claim_log *log)
{
	struct waiting_request *request;

	while ((request = g_queue_pop_tail(&log->batch))) {
		if (log->batch_answered)
			request_free(request);
		else
			g_queue_push_head(&log->waiting, request);
	}
	log->state = LOG_READY;
}

void claim_log_request(struct claim_log *log,
		       const struct claim_request *request, uint64_t now_ms)
{
	struct waiting_request *waiting = g_new0(struct waiting_request, 1);

	waiting->entry.claimant = request->claimant;
	waiting->entry.nonce = request->nonce;
	waiting->entry.key = g_strdup(request->key);
	waiting->request_id = request->request_id;
	waiting->arrived_ms = now_ms;
	g_queue_push_tail(&log->waiting, waiting);
	if (log->state == LOG_UNKNOWN && now_ms >= log->retry_at_ms)
		start_listing(log);
	commit(log, now_ms);
}

static gint compare_sequences(gconstpointer a, gconstpointer b)
{
	const struct claim_record *x = a, *y = b;

	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void replay_value(struct claim_log *log,
			 const struct claim_record *record)
{
	struct claim_header header = { 0 };
	GArray *entries = claim_entries_create();

	claim_record_decode(record->value, record->size, &header, entries);
	replay(log, record->sequence, record->revision, header.wall_ms,
	       entries);
	g_array_free(entries, TRUE);
}

void claim_log_listed(struct claim_log *log, enum claim_store_result result,
		      const struct claim_record *records, size_t count,
		      uint64_t now_ms)
{
	struct claim_record *sorted;

	if (log->state != LOG_LISTING)
		return;
	if (result != CLAIM_STORE_OK) {
		log->state = LOG_UNKNOWN;
		log->retry_at_ms = now_ms + RETRY_MS;
		refuse_queue(log, &log->waiting, CLAIM_REFUSED);
		return;
	}
	forget_all(log);
	sorted = g_memdup2(records, count * sizeof(*records));
	if (count)
		qsort(sorted, count, sizeof(*sorted), compare_sequences);
	for (size_t i = 0; i < count; i++)
		replay_value(log, &sorted[i]);
	g_free(sorted);
	log->last_answer_ms = now_ms;
	log->state = LOG_READY;
	commit(log, now_ms);
}

void claim_log_created(struct claim_log *log, enum claim_store_result result,
		       uint64_t revision, uint64_t now_ms)
{
	if (log->state != LOG_CREATING)
		return;
	switch (result) {
	case CLAIM_STORE_OK:
		log->last_answer_ms = now_ms;
		finish_batch(log, revision);
		commit(log, now_ms);
		break;
	case CLAIM_STORE_CONFLICT:
		log->state = LOG_READING;
		add_action(log, CLAIM_READ, log->next_sequence);
		break;
	case CLAIM_STORE_REFUSED:
		if (log->batch_answered) {
			/* An earlier write of it may still take effect. */
			log->state = LOG_SETTLING;
			log->retry_at_ms = now_ms + RETRY_MS;
			break;
		}
		refuse_queue(log, &log->batch, CLAIM_REFUSED);
		log->state = LOG_READY;
		break;
	default:
		for (GList *l = log->batch.head; l && !log->batch_answered;
		     l = l->next)
			reply(log, l->data, CLAIM_UNSETTLED, NULL);
		log->batch_answered = 1;
		log->state = LOG_SETTLING;
		log->retry_at_ms = now_ms + RETRY_MS;
		break;
	}
}

static int is_own_record(const struct claim_log *log,
			 const struct claim_record *record)
{
	struct claim_header header = { 0 };
	GArray *entries = claim_entries_create();
	int error = claim_record_decode(record->value, record->size, &header,
					entries);

	g_array_free(entries, TRUE);
	return !error && header.writer == log->header.writer &&
	       header.nonce == log->header.nonce;
}

void claim_log_read(struct claim_log *log, enum claim_store_result result,
		    const struct claim_record *record, uint64_t now_ms)
{
	if (log->state != LOG_READING)
		return;
	if (result != CLAIM_STORE_OK) {
		/* Absent: it was past its retention; all is read anew. */
		if (result == CLAIM_STORE_ABSENT) {
			return_batch(log);
			start_listing(log);
			return;
		}
		log->state = LOG_SETTLING;
		log->retry_at_ms = now_ms + RETRY_MS;
		return;
	}
	log->last_answer_ms = now_ms;
	if (is_own_record(log, record)) {
		finish_batch(log, record->revision);
	} else {
		replay_value(log, record);
		return_batch(log);
	}
	commit(log, now_ms);
}

/* Requests that waited too long are refused: they are in no record. */
static void refuse_overdue(struct claim_log *log, uint64_t now_ms)
{
	struct waiting_request *request;

	while ((request = g_queue_peek_head(&log->waiting)) &&
	       now_ms >= request->arrived_ms + log->settings.patience_ms) {
		g_queue_pop_head(&log->waiting);
		reply(log, request, CLAIM_REFUSED, NULL);
		request_free(request);
	}
}

static void drop_old_record(struct claim_log *log)
{
	struct old_record *record = g_queue_peek_head(&log->records);
	struct claim_action *action;

	if (!record || log->deleting ||
	    log->wall_ms < record->wall_ms + log->settings.retention_ms)
		return;
	for (guint i = 0; i < record->keys->len; i++)
		g_hash_table_remove(log->claims,
				    g_ptr_array_index(record->keys, i));
	action = add_action(log, CLAIM_DELETE, record->sequence);
	action->u.remove.revision = record->revision;
	log->deleting = 1;
	record_free(g_queue_pop_head(&log->records));
}

/*
 * What was read long ago may miss records that were since written and
 * deleted again; read all anew before the next grant.
 */
static void void_stale(struct claim_log *log, uint64_t now_ms)
{
	if (log->state == LOG_READY &&
	    now_ms > log->last_answer_ms + log->settings.retention_ms / 2) {
		log->state = LOG_UNKNOWN;
		log->retry_at_ms = now_ms;
	}
}

void claim_log_tick(struct claim_log *log, uint64_t now_ms, uint64_t wall_ms)
{
	log->wall_ms = wall_ms;
	void_stale(log, now_ms);
	refuse_overdue(log, now_ms);
	if (log->state == LOG_UNKNOWN && now_ms >= log->retry_at_ms &&
	    !g_queue_is_empty(&log->waiting))
		start_listing(log);
	if (log->state == LOG_SETTLING && now_ms >= log->retry_at_ms)
		start_creating(log, now_ms);
	/* A number and revision name the record, so this is safe when stale. */
	if (log->state == LOG_READY || log->state == LOG_UNKNOWN)
		drop_old_record(log);
	commit(log, now_ms);
}

void claim_log_deleted(struct claim_log *log)
{
	log->deleting = 0;
}

int claim_log_next_action(struct claim_log *log, struct claim_action *action)
{
	struct claim_action *next = g_queue_pop_head(&log->actions);

	if (!next)
		return 0;
	*action = *next;
	g_free(next);
	return 1;
}

size_t claim_log_keys(const struct claim_log *log)
{
	return g_hash_table_size(log->claims);
}

size_t claim_log_waiting(const struct claim_log *log)
{
	return g_queue_get_length((GQueue *)&log->waiting) +
	       g_queue_get_length((GQueue *)&log->batch);
}
