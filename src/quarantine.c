#include "fescue/quarantine.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Where and when a request crashed a backend server. */
struct suspicion {
	uint64_t fingerprint;
	uint32_t crashes;
	uint64_t hosts[QUARANTINE_CRASHES_MAX];
	uint64_t reports[QUARANTINE_CRASHES_MAX];
	uint64_t last_ms;
};

/* A request that ran to its end here: no crash is its doing. */
struct success {
	uint64_t fingerprint;
	uint64_t last_ms;
};

struct quarantine {
	GHashTable *suspicions; /* fingerprint -> struct suspicion */
	GHashTable *successes; /* fingerprint -> struct success */
};

struct quarantine *quarantine_create(void)
{
	struct quarantine *q = g_new0(struct quarantine, 1);

	q->suspicions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	q->successes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->suspicions);
	g_hash_table_destroy(q->successes);
	g_free(q);
}

uint64_t quarantine_fingerprint(const char *service, const char *method,
				const char *path, const void *body,
				size_t body_size)
{
	uint64_t parts[4] = { XXH64(service, strlen(service), 1),
			      XXH64(method, strlen(method), 2),
			      XXH64(path, strlen(path), 3),
			      XXH64(body, body_size, 4) };

	return XXH64(parts, sizeof(parts), 5);
}

struct expiry {
	uint64_t now_ms;
	uint64_t age_ms;
};

static gboolean is_old(gpointer key, gpointer value, gpointer data)
{
	const struct suspicion *s = value;
	const struct expiry *expiry = data;

	(void)key;
	return expiry->now_ms >= s->last_ms + expiry->age_ms;
}

static void expire(struct quarantine *q, uint64_t now_ms)
{
	struct expiry expiry = { now_ms, QUARANTINE_MS };

	if (g_hash_table_size(q->suspicions) < QUARANTINE_ENTRIES_MAX)
		return;
	g_hash_table_foreach_remove(q->suspicions, is_old, &expiry);
	/* Still full: the younger half is what callers send now. */
	expiry.age_ms = 1000;
	if (g_hash_table_size(q->suspicions) >= QUARANTINE_ENTRIES_MAX)
		g_hash_table_foreach_remove(q->suspicions, is_old, &expiry);
}

static struct suspicion *find(const struct quarantine *q, uint64_t fingerprint)
{
	return g_hash_table_lookup(q->suspicions, &fingerprint);
}

static struct suspicion *get(struct quarantine *q, uint64_t fingerprint)
{
	struct suspicion *s = find(q, fingerprint);

	if (s)
		return s;
	s = g_new0(struct suspicion, 1);
	s->fingerprint = fingerprint;
	g_hash_table_insert(q->suspicions, &s->fingerprint, s);
	return s;
}

static int is_repeated(const struct suspicion *s, uint64_t host,
		       uint64_t report_id)
{
	for (uint32_t i = 0; i < s->crashes; i++)
		if (s->hosts[i] == host && s->reports[i] == report_id)
			return 1;
	return 0;
}

static int has_succeeded(const struct quarantine *q, uint64_t fingerprint,
			 uint64_t now_ms)
{
	const struct success *s =
		g_hash_table_lookup(q->successes, &fingerprint);

	return s && now_ms < s->last_ms + QUARANTINE_MS;
}

uint32_t quarantine_report(struct quarantine *q, uint64_t fingerprint,
			   uint64_t host, uint64_t report_id, uint64_t now_ms)
{
	struct suspicion *s;

	if (has_succeeded(q, fingerprint, now_ms))
		return 0;
	expire(q, now_ms);
	s = get(q, fingerprint);
	if (now_ms >= s->last_ms + QUARANTINE_MS)
		s->crashes = 0;
	s->last_ms = now_ms;
	if (s->crashes < QUARANTINE_CRASHES_MAX &&
	    !is_repeated(s, host, report_id)) {
		s->hosts[s->crashes] = host;
		s->reports[s->crashes] = report_id;
		s->crashes++;
	}
	assert(s->crashes >= 1 && s->crashes <= QUARANTINE_CRASHES_MAX);
	return s->crashes;
}

void quarantine_clear(struct quarantine *q, uint64_t fingerprint,
		      uint64_t now_ms)
{
	struct success *s = g_hash_table_lookup(q->successes, &fingerprint);

	g_hash_table_remove(q->suspicions, &fingerprint);
	if (!s && g_hash_table_size(q->successes) >= QUARANTINE_ENTRIES_MAX)
		g_hash_table_remove_all(q->successes);
	if (!s) {
		s = g_new0(struct success, 1);
		s->fingerprint = fingerprint;
		g_hash_table_insert(q->successes, &s->fingerprint, s);
	}
	s->last_ms = now_ms;
}

int quarantine_refuses(struct quarantine *q, uint64_t fingerprint,
		       uint64_t now_ms)
{
	struct suspicion *s = find(q, fingerprint);

	if (!s || s->crashes < QUARANTINE_CRASHES_MAX)
		return 0;
	if (now_ms >= s->last_ms + QUARANTINE_MS)
		return 0;
	s->last_ms = now_ms; /* as long as it is sent, it stays out */
	return 1;
}

size_t quarantine_count(const struct quarantine *q)
{
	return g_hash_table_size(q->suspicions);
}
