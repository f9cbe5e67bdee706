/*
 * What the store stand-in holds: keys, leases and the history of changes.
 */
#ifndef FESCUE_STORE_DATA_H
#define FESCUE_STORE_DATA_H

#include "store_call.h"

#include <glib.h>
#include <jansson.h>
#include <uv.h>

enum outage { OUTAGE_NONE, OUTAGE_REFUSE, OUTAGE_HANG };

struct entry {
	char *value;
	size_t size;
	uint64_t revision;
	uint64_t created;
	uint64_t lease; /* 0: none */
};

/* A change, as watches report it. */
struct event {
	char *key;
	uint64_t revision;
	json_t *json;
};

struct lease {
	uint64_t ttl_ms;
	uint64_t expires_ms;
};

struct store {
	uv_loop_t *loop;
	GTree *entries; /* key -> struct entry */
	GQueue history; /* struct event, the oldest at the head */
	uint64_t dropped; /* revision of the newest event dropped */
	GHashTable *leases; /* id -> struct lease */
	GPtrArray *watches; /* struct call */
	GPtrArray *hung; /* struct call held by an outage */
	uint64_t revision;
	uint64_t next_lease;
	enum outage outage;
	uint32_t delay_ms;
	uint32_t lose_answers; /* of the next writes */
	uint32_t rate_cap; /* calls a second, 0: none */
	uint64_t second; /* of the rates below */
	uint64_t reads_now, writes_now;
	uint64_t reads, writes, watch_calls, refused, lost;
	uint64_t peak_reads, peak_writes; /* in one second */
	uv_timer_t sweep;
};

gint compare_keys(gconstpointer a, gconstpointer b, gpointer data);

void entry_free(gpointer entry);

json_t *entry_to_json(const char *key, const struct entry *entry);

struct entry *find_entry(struct store *store, const char *key);

/* Changes of keys with the prefix after a revision. */
json_t *events_after(struct store *store, const char *prefix, uint64_t after);

void drop_oldest_event(struct store *store);

void put_entry(struct store *store, const char *key, const char *text,
	       uint64_t lease);

void remove_entry(struct store *store, const char *key);

/* What the keys of conditions hold now if one does not hold, or NULL. */
json_t *failed_conditions(struct store *store, const json_t *conditions);

int leases_exist(struct store *store, const json_t *puts);

/* Remove keys whose leases have ended; returns 1 if there may be some. */
int store_expire_leases(struct store *store);

#endif
