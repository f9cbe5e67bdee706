#include "fescue/quarantine.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define RECENT_MS 1000

/* Crashes that are attributed to one request. */
struct crash_record {
	uint64_t fingerprint;
	uint32_t crashes;
	uint64_t hosts[QUARANTINE_CRASH_LIMIT];
	uint64_t report_ids[QUARANTINE_CRASH_LIMIT];
	uint64_t last_ms; /* of the last crash report or refusal */
};

/* The last completed run of a request. */
struct success_record {
	uint64_t fingerprint;
	uint64_t last_ms;
};

struct quarantine {
	GHashTable *crash_records; /* by fingerprint */
	GHashTable *success_records; /* by fingerprint */
};

struct quarantine *quarantine_create(void)
{
	struct quarantine *q = g_new0(struct quarantine, 1);

	q->crash_records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	q->success_records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->crash_records);
	g_hash_table_destroy(q->success_records);
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
	uint64_t max_age_ms;
};

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct crash_record *record = value;
	const struct expiry *expiry = data;

	(void)key;
	return expiry->now_ms >= record->last_ms + expiry->max_age_ms;
}

/* Removes old records when the table is full. */
static void expire_when_full(struct quarantine *q, uint64_t now_ms)
{
	struct expiry expiry = { now_ms, QUARANTINE_TTL_MS };

	if (g_hash_table_size(q->crash_records) < QUARANTINE_ENTRIES_MAX)
		return;
	g_hash_table_foreach_remove(q->crash_records, is_expired, &expiry);
	/* If still full, keep only requests that callers are sending now. */
	expiry.max_age_ms = RECENT_MS;
	if (g_hash_table_size(q->crash_records) >= QUARANTINE_ENTRIES_MAX)
		g_hash_table_foreach_remove(q->crash_records, is_expired,
					    &expiry);
}

static struct crash_record *find_record(const struct quarantine *q,
					uint64_t fingerprint)
{
	return g_hash_table_lookup(q->crash_records, &fingerprint);
}

static struct crash_record *find_or_create_record(struct quarantine *q,
						  uint64_t fingerprint)
{
	struct crash_record *record = find_record(q, fingerprint);

	if (record)
		return record;
	record = g_new0(struct crash_record, 1);
	record->fingerprint = fingerprint;
	g_hash_table_insert(q->crash_records, &record->fingerprint, record);
	return record;
}

static int is_duplicate(const struct crash_record *record, uint64_t host,
			uint64_t report_id)
{
	for (uint32_t i = 0; i < record->crashes; i++)
		if (record->hosts[i] == host &&
		    record->report_ids[i] == report_id)
			return 1;
	return 0;
}

static int succeeded_recently(const struct quarantine *q, uint64_t fingerprint,
			      uint64_t now_ms)
{
	const struct success_record *record =
		g_hash_table_lookup(q->success_records, &fingerprint);

	return record && now_ms < record->last_ms + QUARANTINE_TTL_MS;
}

uint32_t quarantine_record_crash(struct quarantine *q, uint64_t fingerprint,
				 uint64_t host, uint64_t report_id,
				 uint64_t now_ms)
{
	struct crash_record *record;

	if (succeeded_recently(q, fingerprint, now_ms))
		return 0;
	expire_when_full(q, now_ms);
	record = find_or_create_record(q, fingerprint);
	if (now_ms >= record->last_ms + QUARANTINE_TTL_MS)
		record->crashes = 0;
	record->last_ms = now_ms;
	if (record->crashes < QUARANTINE_CRASH_LIMIT &&
	    !is_duplicate(record, host, report_id)) {
		record->hosts[record->crashes] = host;
		record->report_ids[record->crashes] = report_id;
		record->crashes++;
	}
	assert(record->crashes >= 1 &&
	       record->crashes <= QUARANTINE_CRASH_LIMIT);
	return record->crashes;
}

void quarantine_record_success(struct quarantine *q, uint64_t fingerprint,
			       uint64_t now_ms)
{
	struct success_record *record =
		g_hash_table_lookup(q->success_records, &fingerprint);

	g_hash_table_remove(q->crash_records, &fingerprint);
	if (!record &&
	    g_hash_table_size(q->success_records) >= QUARANTINE_ENTRIES_MAX)
		g_hash_table_remove_all(q->success_records);
	if (!record) {
		record = g_new0(struct success_record, 1);
		record->fingerprint = fingerprint;
		g_hash_table_insert(q->success_records, &record->fingerprint,
				    record);
	}
	record->last_ms = now_ms;
}

int quarantine_refuses(struct quarantine *q, uint64_t fingerprint,
		       uint64_t now_ms)
{
	struct crash_record *record = find_record(q, fingerprint);

	if (!record || record->crashes < QUARANTINE_CRASH_LIMIT)
		return 0;
	if (now_ms >= record->last_ms + QUARANTINE_TTL_MS)
		return 0;
	record->last_ms = now_ms;
	return 1;
}

size_t quarantine_count(const struct quarantine *q)
{
	return g_hash_table_size(q->crash_records);
}
