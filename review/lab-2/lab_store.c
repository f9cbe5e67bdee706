/*
 * A stand-in of the platform's store that can be away for a moment and come back
 * from an older copy. Values are kept as the base64 text in which they come.
 */
#include "lab_state.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 512
#define EVENTS_MAX 8192
#define VALUE_BYTES 8192
#define ANSWER_BYTES ((size_t)512 << 10)

struct item {
	char key[200];
	char *value; /* never freed: copies share it; NULL: removed */
	long long revision;
	long long created;
	long long lease;
};

struct contents {
	struct item items[ITEMS_MAX];
	size_t item_count;
	struct item events[EVENTS_MAX];
	size_t event_count;
	long long revision;
	long long leases[ITEMS_MAX];
	size_t lease_count;
};

static struct contents now, copy;
static long long era = 1, next_lease = 1000;
static int is_away;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

static struct item *find(const char *key)
{
	for (size_t i = 0; i < now.item_count; i++)
		if (!strcmp(now.items[i].key, key) && now.items[i].value)
			return &now.items[i];
	return NULL;
}

static void record(const struct item *item)
{
	if (now.event_count < EVENTS_MAX)
		now.events[now.event_count++] = *item;
}

/* All changes of one call have the revision that the caller has counted up. */
static void put(const char *key, const char *value, long long lease)
{
	struct item *item = find(key);

	if (!item && now.item_count < ITEMS_MAX) {
		item = &now.items[now.item_count++];
		memset(item, 0, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created = now.revision;
	}
	if (!item)
		return;
	item->value = strdup(value);
	item->revision = now.revision;
	item->lease = lease;
	record(item);
}

static void delete (const char *key)
{
	struct item *item = find(key);

	if (!item)
		return;
	item->value = NULL;
	item->revision = now.revision;
	record(item);
}

/* Reads a text member behind at; returns what follows, or NULL. */
static const char *read_text(const char *at, const char *name, char *out,
			     size_t size)
{
	char member[64];
	const char *end;

	snprintf(member, sizeof(member), "\"%s\":\"", name);
	at = strstr(at, member);
	if (!at)
		return NULL;
	at += strlen(member);
	end = strchr(at, '"');
	if (!end || (size_t)(end - at) >= size)
		return NULL;
	memcpy(out, at, (size_t)(end - at));
	out[end - at] = '\0';
	return end;
}

static long long read_number(const char *at, const char *name)
{
	char member[64];

	snprintf(member, sizeof(member), "\"%s\":", name);
	at = strstr(at, member);
	return at ? strtoll(at + strlen(member), NULL, 10) : 0;
}

/* Copies the elements of a list; those of this page's calls hold no ']'. */
static void read_list(const char *body, const char *name, char *out,
		      size_t size)
{
	char member[64];
	const char *at, *end;

	out[0] = '\0';
	snprintf(member, sizeof(member), "\"%s\":[", name);
	at = strstr(body, member);
	end = at ? strchr(at, ']') : NULL;
	if (end)
		snprintf(out, size, "%.*s",
			 (int)(end - at - (long)strlen(member)),
			 at + strlen(member));
}

static int answer(const struct lab_request *request, int status,
		  const char *body)
{
	char head[256];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
		 "Store-Era: %lld\r\nContent-Length: %zu\r\n\r\n",
		 status, era, strlen(body));
	return !lab_send(request->fd, head, strlen(head)) &&
	       !lab_send(request->fd, body, strlen(body));
}

static void format_item(const struct item *item, char *out, size_t size)
{
	if (item->value)
		snprintf(out, size,
			 "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
			 "\"created\":%lld,\"lease\":%lld}",
			 item->key, item->value, item->revision, item->created,
			 item->lease);
	else
		snprintf(out, size,
			 "{\"key\":\"%s\",\"revision\":%lld,\"removed\":true}",
			 item->key, item->revision);
}

/* Copies a parameter of the query. */
static void query(const char *path, const char *name, char *out, size_t size)
{
	char parameter[64];
	const char *at = strchr(path, '?');
	size_t n = 0;

	snprintf(parameter, sizeof(parameter), "%s=", name);
	for (; at; at = strchr(at + 1, '&')) {
		if (strncmp(at + 1, parameter, strlen(parameter)) != 0)
			continue;
		at += 1 + strlen(parameter);
		while (at[n] && at[n] != '&' && n + 1 < size) {
			out[n] = at[n];
			n++;
		}
		break;
	}
	out[n] = '\0';
}

static int get_key(const struct lab_request *request)
{
	char key[200], text[VALUE_BYTES + 512];
	const struct item *item;
	size_t length;

	query(request->path, "key", key, sizeof(key));
	item = find(key);
	snprintf(text, sizeof(text), "{");
	if (item)
		format_item(item, text, sizeof(text));
	length = strlen(text) - (item ? 1 : 0);
	snprintf(text + length, sizeof(text) - length,
		 "%s\"storeRevision\":%lld}", item ? "," : "", now.revision);
	return answer(request, item ? 200 : 404, text);
}

static int get_range(const struct lab_request *request)
{
	char prefix[200], *text = malloc(ANSWER_BYTES);
	size_t length = 0;
	int goes_on;

	if (!text)
		return 0;
	query(request->path, "prefix", prefix, sizeof(prefix));
	length += (size_t)snprintf(text, ANSWER_BYTES, "{\"items\":[");
	for (size_t i = 0; i < now.item_count; i++) {
		const struct item *item = &now.items[i];

		if (!item->value || strncmp(item->key, prefix, strlen(prefix)))
			continue;
		if (text[length - 1] == '}')
			text[length++] = ',';
		format_item(item, text + length, ANSWER_BYTES - length);
		length += strlen(text + length);
	}
	snprintf(text + length, ANSWER_BYTES - length,
		 "],\"hasMore\":false,\"storeRevision\":%lld}", now.revision);
	goes_on = answer(request, 200, text);
	free(text);
	return goes_on;
}

/* Returns an event after a revision under a prefix, or NULL. */
static const struct item *find_event(const char *prefix, long long after)
{
	for (size_t i = 0; i < now.event_count; i++)
		if (now.events[i].revision > after &&
		    !strncmp(now.events[i].key, prefix, strlen(prefix)))
			return &now.events[i];
	return NULL;
}

/* A call that gets no answer: its connection stays silent. */
static void stay_silent(void)
{
	pthread_mutex_unlock(&mutex);
	for (;;)
		lab_sleep_ms(60000);
}

static int watch(const struct lab_request *request)
{
	char prefix[200], number[32], text[VALUE_BYTES + 512] = "", *body;
	const struct item *event;
	long long after, watch_era = era;
	int64_t until_ms;
	int goes_on;

	query(request->path, "prefix", prefix, sizeof(prefix));
	query(request->path, "after", number, sizeof(number));
	after = strtoll(number, NULL, 10);
	query(request->path, "waitMs", number, sizeof(number));
	until_ms = lab_now_ms() + strtoll(number, NULL, 10);
	if (after > now.revision)
		return answer(request, 410, "{}");
	while (!(event = find_event(prefix, after)) &&
	       lab_now_ms() < until_ms) {
		pthread_mutex_unlock(&mutex);
		lab_sleep_ms(2);
		pthread_mutex_lock(&mutex);
		if (is_away || era != watch_era)
			stay_silent();
	}
	if (event)
		format_item(event, text, sizeof(text));
	body = malloc(sizeof(text) + 64);
	if (!body)
		return 0;
	snprintf(body, sizeof(text) + 64,
		 "{\"events\":[%s],\"storeRevision\":%lld}", text,
		 event ? event->revision : now.revision);
	goes_on = answer(request, 200, body);
	free(body);
	return goes_on;
}

/* Whether the conditions of a transaction hold; else fills in the items. */
static int conditions_hold(const char *rows, char *items, size_t size)
{
	char key[200];
	int hold = 1;

	items[0] = '\0';
	for (const char *at = rows;
	     (at = read_text(at, "key", key, sizeof(key)));) {
		const struct item *item = find(key);
		size_t length = strlen(items);

		hold &= read_number(at, "revision") ==
			(item ? item->revision : 0);
		if (!item || length + VALUE_BYTES + 512 > size)
			continue;
		if (length)
			items[length++] = ',';
		format_item(item, items + length, size - length);
	}
	return hold;
}

static int transact(const struct lab_request *request)
{
	static char list[VALUE_BYTES * 4], items[VALUE_BYTES * 4],
		value[VALUE_BYTES], text[VALUE_BYTES * 5];
	char key[200];

	read_list(request->body, "expectedRevision", list, sizeof(list));
	if (!conditions_hold(list, items, sizeof(items))) {
		snprintf(text, sizeof(text), "{\"items\":[%s]}", items);
		return answer(request, 412, text);
	}
	now.revision++;
	read_list(request->body, "puts", list, sizeof(list));
	for (const char *at = list;
	     (at = read_text(at, "key", key, sizeof(key)));) {
		read_text(at, "value", value, sizeof(value));
		put(key, value, read_number(at, "lease"));
	}
	read_list(request->body, "deletes", list, sizeof(list));
	for (char *at = strtok(list, "\","); at; at = strtok(NULL, "\","))
		delete (at);
	snprintf(text, sizeof(text), "{\"revision\":%lld}", now.revision);
	return answer(request, 200, text);
}

static int has_lease(long long lease)
{
	for (size_t i = 0; i < now.lease_count; i++)
		if (now.leases[i] == lease)
			return 1;
	return 0;
}

/* Leases do not end here while the run lasts, unless the store goes back. */
static int use_lease(const struct lab_request *request)
{
	static const char keep[] = "/fescuehitch/kv-keep/";
	long long lease = ++next_lease;
	char text[96];

	if (!strncmp(request->path, keep, strlen(keep))) {
		lease = strtoll(request->path + strlen(keep), NULL, 10);
		if (!has_lease(lease))
			return answer(request, 404, "{}");
	} else if (now.lease_count < ITEMS_MAX) {
		now.leases[now.lease_count++] = lease;
	}
	snprintf(text, sizeof(text), "{\"lease\":%lld,\"ttlMs\":10000}", lease);
	return answer(request, 200, text);
}

static int has_path(const struct lab_request *request, const char *path)
{
	return !strncmp(request->path, path, strlen(path));
}

static int handle(struct lab_request *request)
{
	int goes_on = 0;

	lab_sleep_ms(4);
	request->body[request->body_size] = '\0';
	pthread_mutex_lock(&mutex);
	if (is_away)
		stay_silent();
	if (has_path(request, "/fescuehitch/kv-key"))
		goes_on = get_key(request);
	else if (has_path(request, "/fescuehitch/kv-range"))
		goes_on = get_range(request);
	else if (has_path(request, "/fescuehitch/kv-watch"))
		goes_on = watch(request);
	else if (has_path(request, "/fescuehitch/kv-txn"))
		goes_on = transact(request);
	else if (has_path(request, "/fescuehitch/kv-lease") ||
		 has_path(request, "/fescuehitch/kv-keep"))
		goes_on = use_lease(request);
	else
		goes_on = answer(request, 404, "{}");
	pthread_mutex_unlock(&mutex);
	return goes_on;
}

void lab_store_serve(void)
{
	now.revision = 100;
	lab_serve(LAB_STORE_NUMBER, PORT_READY, handle);
}

long long lab_store_write(const char *key, const char *value)
{
	static char base64[VALUE_BYTES];
	long long revision;

	pthread_mutex_lock(&mutex);
	lab_encode_base64(value, base64);
	revision = ++now.revision;
	put(key, base64, 0);
	pthread_mutex_unlock(&mutex);
	return revision;
}

long long lab_store_revision(void)
{
	long long revision;

	pthread_mutex_lock(&mutex);
	revision = now.revision;
	pthread_mutex_unlock(&mutex);
	return revision;
}

void lab_store_copy(void)
{
	pthread_mutex_lock(&mutex);
	copy = now;
	pthread_mutex_unlock(&mutex);
	lab_note("store: a copy is taken at revision %lld", copy.revision);
}

void lab_store_leave(void)
{
	pthread_mutex_lock(&mutex);
	is_away = 1;
	pthread_mutex_unlock(&mutex);
	lab_note("store: is away, at revision %lld", now.revision);
}

void lab_store_end_leases(void)
{
	pthread_mutex_lock(&mutex);
	now.lease_count = 0;
	now.revision++;
	for (size_t i = 0; i < now.item_count; i++)
		if (now.items[i].lease && now.items[i].value)
			delete (now.items[i].key);
	pthread_mutex_unlock(&mutex);
	lab_note("store: all leases have ended, revision %lld", now.revision);
}

void lab_store_return(int from_copy)
{
	pthread_mutex_lock(&mutex);
	if (from_copy) {
		now = copy;
		era++;
	}
	is_away = 0;
	pthread_mutex_unlock(&mutex);
	lab_note("store: is back, era %lld, revision %lld", era, now.revision);
}
