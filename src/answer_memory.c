#include "fescue/answer_memory.h"

#include <assert.h>
#include <glib.h>

struct call_key {
	uint64_t from;
	uint64_t call_id;
};

struct remembered {
	struct call_key key;
	enum answer_fate fate;
	void *answer; /* of ANSWER_KEPT */
	size_t size;
	uint64_t forget_ms;
};

struct answer_memory {
	void (*release)(void *answer);
	GHashTable *calls; /* struct call_key -> struct remembered */
	GQueue kept; /* struct remembered with answers, the oldest first */
	GQueue barred; /* barred ones, the oldest first */
	GQueue seen; /* calls that came, the oldest first */
	GHashTable *seen_calls; /* struct call_key -> struct remembered */
	size_t bytes;
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

struct answer_memory *answer_memory_create(void (*release)(void *answer))
{
	struct answer_memory *m = g_new0(struct answer_memory, 1);

	m->release = release;
	m->calls = g_hash_table_new(key_hash, key_equal);
	g_queue_init(&m->kept);
	g_queue_init(&m->barred);
	g_queue_init(&m->seen);
	m->seen_calls = g_hash_table_new(key_hash, key_equal);
	return m;
}

static void forget_oldest(struct answer_memory *m, GQueue *queue)
{
	struct remembered *r = g_queue_pop_head(queue);

	g_hash_table_remove(m->calls, &r->key);
	if (r->answer)
		m->release(r->answer);
	assert(m->bytes >= r->size);
	m->bytes -= r->size;
	g_free(r);
}

static void forget_seen(struct answer_memory *m)
{
	struct remembered *r = g_queue_pop_head(&m->seen);

	g_hash_table_remove(m->seen_calls, &r->key);
	g_free(r);
}

void answer_memory_destroy(struct answer_memory *m)
{
	if (!m)
		return;
	while (!g_queue_is_empty(&m->kept))
		forget_oldest(m, &m->kept);
	while (!g_queue_is_empty(&m->barred))
		forget_oldest(m, &m->barred);
	while (!g_queue_is_empty(&m->seen))
		forget_seen(m);
	g_hash_table_destroy(m->calls);
	g_hash_table_destroy(m->seen_calls);
	g_free(m);
}

static struct remembered *find(const struct answer_memory *m, uint64_t from,
			       uint64_t call_id)
{
	struct call_key key = { from, call_id };

	return g_hash_table_lookup(m->calls, &key);
}

static void remember(struct answer_memory *m, GQueue *queue,
		     const struct remembered *what)
{
	struct remembered *r = g_memdup2(what, sizeof(*what));

	g_hash_table_insert(m->calls, &r->key, r);
	g_queue_push_tail(queue, r);
	m->bytes += r->size;
}

void answer_memory_keep(struct answer_memory *m, uint64_t from,
			uint64_t call_id, void *answer, size_t size,
			uint64_t now_ms)
{
	struct remembered r = { { from, call_id },
				ANSWER_KEPT,
				answer,
				size,
				now_ms + ANSWER_MEMORY_MS };

	assert(answer);
	if (find(m, from, call_id)) {
		m->release(answer);
		return;
	}
	remember(m, &m->kept, &r);
	while (m->bytes > ANSWER_MEMORY_BYTES && !g_queue_is_empty(&m->kept))
		forget_oldest(m, &m->kept);
}

void answer_memory_see(struct answer_memory *m, uint64_t from, uint64_t call_id,
		       uint64_t now_ms)
{
	struct remembered *r = g_new0(struct remembered, 1);

	r->key.from = from;
	r->key.call_id = call_id;
	r->forget_ms = now_ms + ANSWER_SEEN_MS;
	if (g_hash_table_contains(m->seen_calls, &r->key)) {
		g_free(r);
		return;
	}
	g_hash_table_insert(m->seen_calls, &r->key, r);
	g_queue_push_tail(&m->seen, r);
}

void answer_memory_bar(struct answer_memory *m, uint64_t from, uint64_t call_id,
		       uint64_t now_ms)
{
	struct remembered r = { { from, call_id },
				ANSWER_BARRED,
				NULL,
				0,
				now_ms + ANSWER_BARRED_MS };

	if (!find(m, from, call_id))
		remember(m, &m->barred, &r);
}

enum answer_fate answer_memory_find(const struct answer_memory *m,
				    uint64_t from, uint64_t call_id,
				    void **answer)
{
	struct call_key key = { from, call_id };
	const struct remembered *r = find(m, from, call_id);

	if (!r)
		return g_hash_table_contains(m->seen_calls, &key) ?
			       ANSWER_FORGOTTEN :
			       ANSWER_UNKNOWN;
	*answer = r->answer;
	return r->fate;
}

static void expire(struct answer_memory *m, GQueue *queue, uint64_t now_ms)
{
	const struct remembered *r;

	while ((r = g_queue_peek_head(queue)) && now_ms >= r->forget_ms)
		forget_oldest(m, queue);
}

void answer_memory_expire(struct answer_memory *m, uint64_t now_ms)
{
	const struct remembered *r;

	expire(m, &m->kept, now_ms);
	expire(m, &m->barred, now_ms);
	while ((r = g_queue_peek_head(&m->seen)) && now_ms >= r->forget_ms)
		forget_seen(m);
}

size_t answer_memory_bytes(const struct answer_memory *m)
{
	return m->bytes;
}
