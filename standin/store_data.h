/*
 * State of the store stand-in: entries, leases, the event history and faults.
 */
#ifndef FESCUE_STORE_DATA_H
#define FESCUE_STORE_DATA_H

#include "store_call.h"
#include "store_standin.h"

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#define STORE_STANDIN_EVENTS_MAX 10000 /* kept for watches */

struct entry {
	char *value;
	size_t size;
	uint64_t revision;
	uint64_t created; /* revision in which the key was created */
	uint64_t lease; /* 0: none */
};

/* A change of a key. */
struct event {
	char *key;
	uint64_t revision;
	json_t *json; /* in the format of an answer to a watch */
};

struct lease {
	uint64_t ttl_ms;
	uint64_t expires_ms;
};

/* What the store holds, and what a copy of it keeps. */
struct contents {
	GTree *entries; /* key -> struct entry */
	GQueue history; /* struct event, the oldest at the head */
	uint64_t compacted_revision; /* of the newest event dropped */
	GHashTable *leases; /* id -> struct lease */
	uint64_t revision;
};

struct store {
	uv_loop_t *loop;
	int stopped; /* store_standin_destroy() was called */
	struct store *next_stopped;
	struct http_server *server;
	struct contents now;
	struct contents *copy; /* NULL: none was taken */
	uint64_t era; /* told in answers; 0: none */
	GPtrArray *watches; /* struct call that waits for a change */
	GPtrArray *held_calls; /* struct call that gets no answer */
	uint64_t last_lease; /* id of the newest lease */
	enum outage outage;
	uint32_t delay_ms; /* of each answer */
	uint32_t lose_answers; /* number of next writes without an answer */
	uint32_t rate_limit; /* calls per second; 0: none */
	uint64_t current_second; /* in which the next two are counted */
	uint64_t reads_in_second, writes_in_second;
	uint64_t reads, writes, watch_calls, refused, lost_answers;
	uint64_t peak_reads, peak_writes; /* in one second */
	uv_timer_t expiry_timer;
};

/* Orders keys for the tree of entries. */
gint compare_keys(gconstpointer a, gconstpointer b, gpointer data);

void entry_free(gpointer entry);

void contents_init(struct contents *contents);
void contents_clear(struct contents *contents);

/* out must be empty, as after contents_init(). */
void contents_copy(const struct contents *contents, struct contents *out);

/* Returns the entry in the format of an answer. */
json_t *entry_to_json(const char *key, const struct entry *entry);

/* Returns NULL if the key does not exist. */
struct entry *find_entry(struct store *store, const char *key);

/* Returns the events after a revision of all keys with the prefix. */
json_t *events_after(struct store *store, const char *prefix, uint64_t after);

/* Removes the oldest event from the history, which must not be empty. */
void drop_oldest_event(struct store *store);

/*
 * Writes a value, given in base64, in the current revision of the store and
 * records the event.
 */
void put_entry(struct store *store, const char *key, const char *base64,
	       uint64_t lease);

/* Removes the key if it exists and records the event. */
void remove_entry(struct store *store, const char *key);

/*
 * Checks the expected revisions of a write. Returns NULL if all match,
 * otherwise the present entries of the keys.
 */
json_t *failed_conditions(struct store *store, const json_t *conditions);

/* Returns whether the leases of all writes exist. */
int leases_exist(struct store *store, const json_t *puts);

/* Removes expired leases and their keys. Returns 1 if a lease expired. */
int store_expire_leases(struct store *store);

#endif
