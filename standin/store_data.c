#include "store_data.h"

#include <inttypes.h>
#include <string.h>

gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

void entry_free(gpointer p)
{
	struct entry *entry = p;

	g_free(entry->value);
	g_free(entry);
}

static void event_free(gpointer p)
{
	struct event *event = p;

	json_decref(event->json);
	g_free(event->key);
	g_free(event);
}

json_t *entry_to_json(const char *key, const struct entry *entry)
{
	char *value =
		g_base64_encode((const guchar *)entry->value, entry->size);
	json_t *json = json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key,
				 "value", value, "revision",
				 (json_int_t)entry->revision, "created",
				 (json_int_t)entry->created, "lease",
				 (json_int_t)entry->lease);

	g_free(value);
	return json;
}

struct entry *find_entry(struct store *s, const char *key)
{
	return g_tree_lookup(s->entries, key);
}

json_t *events_after(struct store *s, const char *prefix, uint64_t after)
{
	json_t *events = json_array();

	for (GList *l = s->history.head; l; l = l->next) {
		struct event *event = l->data;

		if (event->revision > after &&
		    !strncmp(event->key, prefix, strlen(prefix)))
			json_array_append(events, event->json);
	}
	return events;
}

void drop_oldest_event(struct store *s)
{
	struct event *event = g_queue_pop_head(&s->history);

	s->compacted_revision = event->revision;
	event_free(event);
}

static void add_event(struct store *s, const char *key, json_t *json)
{
	struct event *event = g_new0(struct event, 1);

	event->key = g_strdup(key);
	event->revision = s->revision;
	event->json = json;
	g_queue_push_tail(&s->history, event);
	if (g_queue_get_length(&s->history) > STORE_STANDIN_EVENTS_MAX)
		drop_oldest_event(s);
}

void put_entry(struct store *s, const char *key, const char *base64,
	       uint64_t lease)
{
	struct entry *old = find_entry(s, key);
	struct entry *entry = g_new0(struct entry, 1);

	entry->value =
		(char *)g_base64_decode(base64 ? base64 : "", &entry->size);
	entry->lease = lease;
	entry->revision = s->revision;
	entry->created = old ? old->created : s->revision;
	g_tree_replace(s->entries, g_strdup(key), entry);
	add_event(s, key, entry_to_json(key, entry));
}

void remove_entry(struct store *s, const char *key)
{
	if (!g_tree_remove(s->entries, key))
		return;
	add_event(s, key,
		  json_pack("{s:s, s:I, s:b}", "key", key, "revision",
			    (json_int_t)s->revision, "removed", 1));
}

json_t *failed_conditions(struct store *s, const json_t *conditions)
{
	json_t *items = json_array();
	int failed = 0;

	for (size_t i = 0; i < json_array_size(conditions); i++) {
		const json_t *condition = json_array_get(conditions, i);
		const char *key =
			json_string_value(json_object_get(condition, "key"));
		struct entry *entry = find_entry(s, key ? key : "");
		uint64_t expected = (uint64_t)json_integer_value(
			json_object_get(condition, "revision"));

		if ((entry ? entry->revision : 0) != expected)
			failed = 1;
		if (entry)
			json_array_append_new(items, entry_to_json(key, entry));
	}
	if (failed)
		return items;
	json_decref(items);
	return NULL;
}

int leases_exist(struct store *s, const json_t *puts)
{
	for (size_t i = 0; i < json_array_size(puts); i++) {
		uint64_t lease = (uint64_t)json_integer_value(
			json_object_get(json_array_get(puts, i), "lease"));

		if (lease && !g_hash_table_contains(s->leases, &lease))
			return 0;
	}
	return 1;
}

/* A search for entries whose lease no longer exists. */
struct orphan_search {
	GHashTable *leases;
	GPtrArray *keys; /* found */
};

static gboolean collect_orphan(gpointer key, gpointer value, gpointer data)
{
	struct entry *entry = value;
	struct orphan_search *search = data;

	if (entry->lease &&
	    !g_hash_table_contains(search->leases, &entry->lease))
		g_ptr_array_add(search->keys, g_strdup(key));
	return FALSE;
}

static gboolean lease_expired(gpointer key, gpointer value, gpointer data)
{
	struct lease *lease = value;
	struct store *s = data;

	(void)key;
	return uv_now(s->loop) >= lease->expires_ms;
}

int store_expire_leases(struct store *s)
{
	struct orphan_search search = { s->leases, NULL };

	if (!g_hash_table_foreach_remove(s->leases, lease_expired, s))
		return 0;
	search.keys = g_ptr_array_new_with_free_func(g_free);
	g_tree_foreach(s->entries, collect_orphan, &search);
	if (search.keys->len)
		s->revision++;
	for (guint i = 0; i < search.keys->len; i++)
		remove_entry(s, g_ptr_array_index(search.keys, i));
	g_ptr_array_free(search.keys, TRUE);
	return 1;
}
