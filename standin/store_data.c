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

void contents_init(struct contents *c)
{
	c->entries = g_tree_new_full(compare_keys, NULL, g_free, entry_free);
	c->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	g_queue_init(&c->history);
	c->compacted_revision = 0;
	c->revision = 0;
}

void contents_clear(struct contents *c)
{
	g_tree_destroy(c->entries);
	g_hash_table_destroy(c->leases);
	g_queue_clear_full(&c->history, event_free);
}

static gboolean copy_entry(gpointer key, gpointer value, gpointer data)
{
	struct entry *entry = g_memdup2(value, sizeof(*entry));

	entry->value = g_memdup2(entry->value, entry->size);
	g_tree_replace(data, g_strdup(key), entry);
	return FALSE;
}

void contents_copy(const struct contents *c, struct contents *out)
{
	GHashTableIter iter;
	gpointer id, lease;

	g_tree_foreach(c->entries, copy_entry, out->entries);
	g_hash_table_iter_init(&iter, c->leases);
	while (g_hash_table_iter_next(&iter, &id, &lease))
		g_hash_table_insert(out->leases,
				    g_memdup2(id, sizeof(uint64_t)),
				    g_memdup2(lease, sizeof(struct lease)));
	for (const GList *l = c->history.head; l; l = l->next) {
		struct event *event = g_memdup2(l->data, sizeof(*event));

		event->key = g_strdup(event->key);
		json_incref(event->json);
		g_queue_push_tail(&out->history, event);
	}
	out->compacted_revision = c->compacted_revision;
	out->revision = c->revision;
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
	return g_tree_lookup(s->now.entries, key);
}

json_t *events_after(struct store *s, const char *prefix, uint64_t after)
{
	json_t *events = json_array();

	for (GList *l = s->now.history.head; l; l = l->next) {
		struct event *event = l->data;

		if (event->revision > after &&
		    !strncmp(event->key, prefix, strlen(prefix)))
			json_array_append(events, event->json);
	}
	return events;
}

void drop_oldest_event(struct store *s)
{
	struct event *event = g_queue_pop_head(&s->now.history);

	s->now.compacted_revision = event->revision;
	event_free(event);
}

static void add_event(struct store *s, const char *key, json_t *json)
{
	struct event *event = g_new0(struct event, 1);

	event->key = g_strdup(key);
	event->revision = s->now.revision;
	event->json = json;
	g_queue_push_tail(&s->now.history, event);
	if (g_queue_get_length(&s->now.history) > STORE_STANDIN_EVENTS_MAX)
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
	entry->revision = s->now.revision;
	entry->created = old ? old->created : s->now.revision;
	g_tree_replace(s->now.entries, g_strdup(key), entry);
	add_event(s, key, entry_to_json(key, entry));
}

void remove_entry(struct store *s, const char *key)
{
	if (!g_tree_remove(s->now.entries, key))
		return;
	add_event(s, key,
		  json_pack("{s:s, s:I, s:b}", "key", key, "revision",
			    (json_int_t)s->now.revision, "removed", 1));
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

		if (lease && !g_hash_table_contains(s->now.leases, &lease))
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
	struct orphan_search search = { s->now.leases, NULL };

	if (!g_hash_table_foreach_remove(s->now.leases, lease_expired, s))
		return 0;
	search.keys = g_ptr_array_new_with_free_func(g_free);
	g_tree_foreach(s->now.entries, collect_orphan, &search);
	if (search.keys->len)
		s->now.revision++;
	for (guint i = 0; i < search.keys->len; i++)
		remove_entry(s, g_ptr_array_index(search.keys, i));
	g_ptr_array_free(search.keys, TRUE);
	return 1;
}
