#include "fescue/answer_cache.h"

#include <assert.h>
#include <glib.h>

struct call_key {
	uint64_t from;
	uint64_t call_id;
};

struct cache_entry {
	struct call_key key;
	enum answer_status status;
	void *answer; /* NULL unless ANSWER_CACHED */
	size_t size;
	uint64_t expires_ms;
};

struct answer_cache {
	void (*release)(void *answer);
	/* struct call_key -> struct cache_entry, cached or blocked */
	GHashTable *calls;
	/* Entries of both tables in order of expiry, the oldest first. */
	GQueue cached;
	GQueue blocked;
	GQueue received;
	/* struct call_key -> struct cache_entry without answer */
	GHashTable *received_calls;
	size_t bytes; /* of the cached answers */
};

static guint key_hash(gconstpointer p)
{
	const struct call_key *key = p;

	return (guint)(key->call_id ^ key->call_id >> 32 ^ key->from);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct call_key *x = a, *y = b;

	return x->from == y->from && x->call_id == y->call_id;
}

struct answer_cache *answer_cache_create(void (*release)(void *answer))
{
	struct answer_cache *c = g_new0(struct answer_cache, 1);

	c->release = release;
	c->calls = g_hash_table_new(key_hash, key_equal);
	g_queue_init(&c->cached);
	g_queue_init(&c->blocked);
	g_queue_init(&c->received);
	c->received_calls = g_hash_table_new(key_hash, key_equal);
	return c;
}

static void remove_oldest(struct answer_cache *c, GQueue *queue)
{
	struct cache_entry *e = g_queue_pop_head(queue);

	g_hash_table_remove(c->calls, &e->key);
	if (e->answer)
		c->release(e->answer);
	assert(c->bytes >= e->size);
	c->bytes -= e->size;
	g_free(e);
}

static void remove_oldest_received(struct answer_cache *c)
{
	struct cache_entry *e = g_queue_pop_head(&c->received);

	g_hash_table_remove(c->received_calls, &e->key);
	g_free(e);
}

void answer_cache_destroy(struct answer_cache *c)
{
	if (!c)
		return;
	while (!g_queue_is_empty(&c->cached))
		remove_oldest(c, &c->cached);
	while (!g_queue_is_empty(&c->blocked))
		remove_oldest(c, &c->blocked);
	while (!g_queue_is_empty(&c->received))
		remove_oldest_received(c);
	g_hash_table_destroy(c->calls);
	g_hash_table_destroy(c->received_calls);
	g_free(c);
}

static struct cache_entry *find(const struct answer_cache *c, uint64_t from,
				uint64_t call_id)
{
	struct call_key key = { from, call_id };

	return g_hash_table_lookup(c->calls, &key);
}

static void insert_entry(struct answer_cache *c, GQueue *queue,
			 const struct cache_entry *entry)
{
	struct cache_entry *e = g_memdup2(entry, sizeof(*entry));

	g_hash_table_insert(c->calls, &e->key, e);
	g_queue_push_tail(queue, e);
	c->bytes += e->size;
}

void answer_cache_store(struct answer_cache *c, uint64_t from, uint64_t call_id,
			void *answer, size_t size, uint64_t now_ms)
{
	struct cache_entry e = { { from, call_id },
				 ANSWER_CACHED,
				 answer,
				 size,
				 now_ms + ANSWER_CACHE_TTL_MS };

	assert(answer);
	if (find(c, from, call_id)) {
		c->release(answer);
		return;
	}
	insert_entry(c, &c->cached, &e);
	while (c->bytes > ANSWER_CACHE_MAX_BYTES &&
	       !g_queue_is_empty(&c->cached))
		remove_oldest(c, &c->cached);
}

void answer_cache_record_received(struct answer_cache *c, uint64_t from,
				  uint64_t call_id, uint64_t now_ms)
{
	struct cache_entry *e = g_new0(struct cache_entry, 1);

	e->key.from = from;
	e->key.call_id = call_id;
	e->expires_ms = now_ms + ANSWER_RECEIVED_TTL_MS;
	if (g_hash_table_contains(c->received_calls, &e->key)) {
		g_free(e);
		return;
	}
	g_hash_table_insert(c->received_calls, &e->key, e);
	g_queue_push_tail(&c->received, e);
}

void answer_cache_block(struct answer_cache *c, uint64_t from, uint64_t call_id,
			uint64_t now_ms)
{
	struct cache_entry e = { { from, call_id },
				 ANSWER_BLOCKED,
				 NULL,
				 0,
				 now_ms + ANSWER_BLOCK_TTL_MS };

	if (!find(c, from, call_id))
		insert_entry(c, &c->blocked, &e);
}

enum answer_status answer_cache_find(const struct answer_cache *c,
				     uint64_t from, uint64_t call_id,
				     void **answer)
{
	struct call_key key = { from, call_id };
	const struct cache_entry *e = find(c, from, call_id);

	if (!e)
		return g_hash_table_contains(c->received_calls, &key) ?
			       ANSWER_EXPIRED :
			       ANSWER_NO_RECORD;
	*answer = e->answer;
	return e->status;
}

static void expire_queue(struct answer_cache *c, GQueue *queue, uint64_t now_ms)
{
	const struct cache_entry *e;

	while ((e = g_queue_peek_head(queue)) && now_ms >= e->expires_ms)
		remove_oldest(c, queue);
}

void answer_cache_expire(struct answer_cache *c, uint64_t now_ms)
{
	const struct cache_entry *e;

	expire_queue(c, &c->cached, now_ms);
	expire_queue(c, &c->blocked, now_ms);
	while ((e = g_queue_peek_head(&c->received)) && now_ms >= e->expires_ms)
		remove_oldest_received(c);
}

size_t answer_cache_bytes(const struct answer_cache *c)
{
	return c->bytes;
}
