#include "fescue/history.h"

#include "fescue/error.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

const struct history_settings history_defaults = {
	.convergence_bound_us = 3000000,
	.leave_grace_us = 2000000,
	.crashes_per_request_max = 2,
};

/* Nodes may apply a version before the operator's tool records it. */
#define APPLIED_EARLY_US 2000000

/* In the order of the names in parse_type(). */
enum record_type {
	RECORD_ACCEPTED,
	RECORD_STARTED,
	RECORD_STOPPED,
	RECORD_APPLIED,
	RECORD_RUN,
	RECORD_LEAVING,
	RECORD_CALL,
	RECORD_FROZEN,
	RECORD_THAWED,
	RECORD_OTHER,
};

struct record {
	enum record_type type;
	uint64_t t_us;
	char *source;
	char *location; /* file:line */
	uint64_t version;
	char *hash;
	char *id;
	char *key;
	char *outcome;
	char *echo; /* id of the request that the answer belongs to */
	int whole; /* the answer's body is complete */
	int poison; /* number of the crashing request; 0: none */
};

struct history {
	struct history_settings settings;
	GPtrArray *records;
	size_t violations[HISTORY_PROPERTY_COUNT];
	GArray *convergence_us; /* uint64_t, one per version and node */
	struct history_summary summary;
	FILE *out; /* for violations; may be NULL */
};

static void record_free(gpointer p)
{
	struct record *r = p;

	g_free(r->source);
	g_free(r->location);
	g_free(r->hash);
	g_free(r->id);
	g_free(r->key);
	g_free(r->outcome);
	g_free(r->echo);
	g_free(r);
}

struct history *history_create(const struct history_settings *settings)
{
	struct history *h = g_new0(struct history, 1);

	h->settings = *settings;
	h->records = g_ptr_array_new_with_free_func(record_free);
	h->convergence_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return h;
}

void history_destroy(struct history *h)
{
	if (!h)
		return;
	g_ptr_array_free(h->records, TRUE);
	g_array_free(h->convergence_us, TRUE);
	g_free(h);
}

static enum record_type parse_type(const char *name)
{
	static const char *const names[] = { "accepted", "started", "stopped",
					     "applied",	 "run",	    "leaving",
					     "call",	 "frozen",  "thawed" };

	for (size_t i = 0; name && i < G_N_ELEMENTS(names); i++)
		if (!strcmp(name, names[i]))
			return (enum record_type)i;
	return RECORD_OTHER;
}

static char *string_member(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return g_strdup(text ? text : "");
}

static uint64_t integer_member(const json_t *object, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(object, key));
}

int history_add(struct history *h, const char *name, size_t number,
		const char *line, size_t size)
{
	json_t *object = json_loadb(line, size, 0, NULL);
	struct record *r;

	if (!json_is_object(object)) {
		json_decref(object);
		return FESCUE_EINVAL;
	}
	r = g_new0(struct record, 1);
	r->type =
		parse_type(json_string_value(json_object_get(object, "type")));
	r->t_us = integer_member(object, "t_us");
	if (r->type == RECORD_ACCEPTED && integer_member(object, "written_us"))
		r->t_us = integer_member(object, "written_us");
	r->source = string_member(object, "source");
	r->location = g_strdup_printf("%s:%zu", name, number);
	r->version = integer_member(object, "version");
	r->hash = string_member(object, "hash");
	r->id = string_member(object, "id");
	r->key = string_member(object, "key");
	r->outcome = string_member(object, "outcome");
	r->echo = string_member(object, "echo");
	r->whole = (int)integer_member(object, "whole");
	r->poison = (int)integer_member(object, "poison");
	g_ptr_array_add(h->records, r);
	json_decref(object);
	return FESCUE_OK;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct record *x = *(struct record *const *)a;
	const struct record *y = *(struct record *const *)b;

	return x->t_us < y->t_us ? -1 : x->t_us > y->t_us;
}

G_GNUC_PRINTF(4, 5)
static void report_violation(struct history *h, enum history_property property,
			     const struct record *record, const char *format,
			     ...)
{
	va_list args;

	h->violations[property]++;
	if (!h->out)
		return;
	fprintf(h->out, "violation: %s: %s: ", history_property_name(property),
		record->location);
	va_start(args, format);
	vfprintf(h->out, format, args);
	va_end(args);
	fputc('\n', h->out);
}

static const struct record *get_record(const struct history *h, guint i)
{
	return g_ptr_array_index(h->records, i);
}

static GHashTable *create_string_table(void)
{
	return g_hash_table_new(g_str_hash, g_str_equal);
}

/* The version at an address never decreases, not even across restarts. */
static void check_monotonic(struct history *h)
{
	GHashTable *last = create_string_table(); /* source -> applied record */

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i), *previous;

		if (r->type != RECORD_APPLIED)
			continue;
		previous = g_hash_table_lookup(last, r->source);
		if (previous && r->version < previous->version)
			report_violation(h, HISTORY_VERSION_MONOTONIC, r,
					 "%s went from version %" PRIu64
					 " (%s) to %" PRIu64,
					 r->source, previous->version,
					 previous->location, r->version);
		g_hash_table_insert(last, r->source, (gpointer)r);
	}
	g_hash_table_destroy(last);
}

static void check_same_text(struct history *h)
{
	GHashTable *first = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i), *previous;

		if (r->type != RECORD_APPLIED)
			continue;
		previous = g_hash_table_lookup(first, &r->version);
		if (!previous)
			g_hash_table_insert(first, (gpointer)&r->version,
					    (gpointer)r);
		else if (strcmp(previous->hash, r->hash))
			report_violation(h, HISTORY_VERSION_SAME_TEXT, r,
					 "version %" PRIu64
					 " has a different text at %s",
					 r->version, previous->location);
	}
	g_hash_table_destroy(first);
}

static GHashTable *accepted_versions(const struct history *h)
{
	GHashTable *accepted = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);

		if (r->type == RECORD_ACCEPTED)
			g_hash_table_insert(accepted, (gpointer)&r->version,
					    (gpointer)r);
	}
	return accepted;
}

static void check_accepted(struct history *h)
{
	GHashTable *accepted = accepted_versions(h);

	for (guint i = 0; g_hash_table_size(accepted) && i < h->records->len;
	     i++) {
		const struct record *r = get_record(h, i);

		if (r->type == RECORD_APPLIED &&
		    !g_hash_table_contains(accepted, &r->version))
			report_violation(h, HISTORY_VERSION_ACCEPTED, r,
					 "%s applied version %" PRIu64
					 ", which was never accepted",
					 r->source, r->version);
	}
	g_hash_table_destroy(accepted);
}

static int is_interruption(const struct record *r)
{
	return r->type == RECORD_STARTED || r->type == RECORD_STOPPED ||
	       r->type == RECORD_FROZEN || r->type == RECORD_THAWED;
}

/* Whether the process ran without interruption over the whole span. */
static int ran_throughout(const struct history *h, const char *source,
			  uint64_t from_us, uint64_t until_us)
{
	int running = 0;

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);

		if (strcmp(r->source, source))
			continue;
		if (r->t_us > until_us)
			break;
		if (!is_interruption(r))
			continue;
		if (r->t_us >= from_us)
			return 0;
		running = r->type == RECORD_STARTED || r->type == RECORD_THAWED;
	}
	return running;
}

static const struct record *find_applied(const struct history *h, guint first,
					 const char *source, uint64_t version)
{
	for (guint i = first; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);

		if (r->type == RECORD_APPLIED && r->version >= version &&
		    !strcmp(r->source, source))
			return r;
	}
	return NULL;
}

static uint64_t end_of_history(const struct history *h)
{
	return h->records->len ? get_record(h, h->records->len - 1)->t_us : 0;
}

/* Index of the first record at most APPLIED_EARLY_US older than t_us. */
static guint find_search_start(const struct history *h, uint64_t t_us)
{
	guint i = 0;

	while (i < h->records->len &&
	       get_record(h, i)->t_us + APPLIED_EARLY_US < t_us)
		i++;
	return i;
}

static void check_node_converged(struct history *h,
				 const struct record *accepted,
				 const char *source)
{
	uint64_t bound = accepted->t_us + h->settings.convergence_bound_us;
	const struct record *applied =
		find_applied(h, find_search_start(h, accepted->t_us), source,
			     accepted->version);
	uint64_t delay_us = 0;

	if (!ran_throughout(h, source, accepted->t_us,
			    MIN(bound, end_of_history(h))))
		return;
	if (applied && applied->t_us > accepted->t_us)
		delay_us = applied->t_us - accepted->t_us;
	if (applied)
		g_array_append_val(h->convergence_us, delay_us);
	if ((!applied && end_of_history(h) > bound) ||
	    delay_us > h->settings.convergence_bound_us)
		report_violation(h, HISTORY_CONVERGED, accepted,
				 "version %" PRIu64
				 " was not active at %s after %" PRIu64 " ms",
				 accepted->version, source,
				 h->settings.convergence_bound_us / 1000);
}

static GHashTable *find_nodes(const struct history *h)
{
	GHashTable *sources = create_string_table();

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);

		if (r->type == RECORD_STARTED)
			g_hash_table_add(sources, r->source);
	}
	return sources;
}

static void check_converged(struct history *h)
{
	GHashTable *sources = find_nodes(h);
	GHashTableIter iter;
	gpointer source;

	h->summary.nodes = g_hash_table_size(sources);
	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);

		if (r->type != RECORD_ACCEPTED)
			continue;
		h->summary.versions++;
		g_hash_table_iter_init(&iter, sources);
		while (g_hash_table_iter_next(&iter, &source, NULL))
			check_node_converged(h, r, source);
	}
	g_hash_table_destroy(sources);
}

struct call_tables {
	GHashTable *runs_by_id;
	GHashTable *runs_by_key;
	GHashTable *key_by_id; /* of calls */
};

/*
 * Whether the answer is complete and belongs to the call or to another send
 * with the same idempotency key. Answers without an id are accepted.
 */
static int is_own_answer(const struct record *r, const struct call_tables *t)
{
	const char *key;

	if (!r->whole)
		return 0;
	if (!*r->echo || !strcmp(r->echo, r->id))
		return 1;
	key = g_hash_table_lookup(t->key_by_id, r->echo);
	return *r->key && key && !strcmp(key, r->key);
}

static void check_ran(struct history *h, const struct record *r,
		      const struct call_tables *t)
{
	if (!is_own_answer(r, t))
		report_violation(h, HISTORY_OWN_ANSWER, r,
				 "call %s got the answer of '%s', whole=%d",
				 r->id, r->echo, r->whole);
	if (*r->key ? !g_hash_table_contains(t->runs_by_key, r->key) :
		      !g_hash_table_contains(t->runs_by_id, r->id))
		report_violation(h, HISTORY_RAN, r,
				 "call %s has outcome ran but did not run",
				 r->id);
}

static void check_call(struct history *h, const struct record *r,
		       const struct call_tables *t)
{
	h->summary.calls++;
	if (!strcmp(r->outcome, "ran")) {
		h->summary.ran++;
		check_ran(h, r, t);
	} else if (!strcmp(r->outcome, "not-run")) {
		h->summary.not_run++;
		if (g_hash_table_contains(t->runs_by_id, r->id))
			report_violation(h, HISTORY_NOT_RUN, r,
					 "call %s has outcome not-run but ran",
					 r->id);
	} else {
		h->summary.unknown++;
	}
}

static void index_calls(const struct history *h, struct call_tables *t)
{
	t->runs_by_id = create_string_table();
	t->runs_by_key = create_string_table();
	t->key_by_id = create_string_table();
	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);

		if (r->type == RECORD_CALL)
			g_hash_table_insert(t->key_by_id, r->id, r->key);
		if (r->type != RECORD_RUN)
			continue;
		g_hash_table_add(t->runs_by_id, r->id);
		g_hash_table_add(t->runs_by_key, r->key);
	}
}

static void check_calls(struct history *h)
{
	struct call_tables t;

	index_calls(h, &t);
	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);

		if (r->type == RECORD_CALL)
			check_call(h, r, &t);
		else if (r->type == RECORD_RUN)
			h->summary.runs++;
	}
	g_hash_table_destroy(t.runs_by_id);
	g_hash_table_destroy(t.runs_by_key);
	g_hash_table_destroy(t.key_by_id);
}

static void check_at_most_once(struct history *h)
{
	GHashTable *seen = create_string_table(); /* key -> first run */

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i), *first;

		if (r->type != RECORD_RUN || !*r->key || r->poison)
			continue;
		first = g_hash_table_lookup(seen, r->key);
		if (first)
			report_violation(h, HISTORY_AT_MOST_ONCE, r,
					 "key %s ran again; first at %s",
					 r->key, first->location);
		else
			g_hash_table_insert(seen, r->key, (gpointer)r);
	}
	g_hash_table_destroy(seen);
}

/* Sends of the same crashing request share the number in "poison". */
static void check_poison(struct history *h)
{
	GHashTable *crashes = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i);
		size_t n;

		if (r->type != RECORD_RUN || !r->poison)
			continue;
		n = GPOINTER_TO_SIZE(g_hash_table_lookup(
			    crashes, GINT_TO_POINTER(r->poison))) +
		    1;
		g_hash_table_insert(crashes, GINT_TO_POINTER(r->poison),
				    GSIZE_TO_POINTER(n));
		if (n > h->settings.crashes_per_request_max)
			report_violation(
				h, HISTORY_POISON, r,
				"request %d crashed %zu backend servers",
				r->poison, n);
	}
	g_hash_table_destroy(crashes);
}

static void check_leaving(struct history *h)
{
	GHashTable *leaves = create_string_table(); /* source -> record */

	for (guint i = 0; i < h->records->len; i++) {
		const struct record *r = get_record(h, i), *leave;

		if (r->type == RECORD_LEAVING)
			g_hash_table_insert(leaves, r->source, (gpointer)r);
		if (r->type == RECORD_STOPPED)
			g_hash_table_remove(leaves, r->source);
		if (r->type != RECORD_RUN)
			continue;
		leave = g_hash_table_lookup(leaves, r->source);
		if (leave && r->t_us > leave->t_us + h->settings.leave_grace_us)
			report_violation(h, HISTORY_LEAVING, r,
					 "%s ran call %s %" PRIu64
					 " ms after its leave at %s",
					 r->source, r->id,
					 (r->t_us - leave->t_us) / 1000,
					 leave->location);
	}
	g_hash_table_destroy(leaves);
}

size_t history_check(struct history *h, FILE *out)
{
	size_t total = 0;

	h->out = out;
	g_ptr_array_sort(h->records, compare_times);
	check_monotonic(h);
	check_same_text(h);
	check_accepted(h);
	check_converged(h);
	check_calls(h);
	check_at_most_once(h);
	check_poison(h);
	check_leaving(h);
	for (int i = 0; i < HISTORY_PROPERTY_COUNT; i++)
		total += h->violations[i];
	return total;
}

size_t history_violations(const struct history *h,
			  enum history_property property)
{
	return h->violations[property];
}

const char *history_property_name(enum history_property property)
{
	static const char *const names[HISTORY_PROPERTY_COUNT] = {
		"version-monotonic",
		"version-same-text",
		"version-accepted",
		"converged",
		"own-answer",
		"not-run",
		"ran",
		"at-most-once",
		"poison",
		"leaving",
	};

	return names[property];
}

static gint compare_numbers(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static uint64_t percentile(GArray *sorted, double share)
{
	guint i = (guint)(share * (sorted->len - 1) + 0.5);

	return sorted->len ? g_array_index(sorted, uint64_t, i) : 0;
}

struct history_summary history_summarize(const struct history *h)
{
	struct history_summary s = h->summary;

	g_array_sort(h->convergence_us, compare_numbers);
	s.convergence_p50_us = percentile(h->convergence_us, 0.5);
	s.convergence_p99_us = percentile(h->convergence_us, 0.99);
	s.convergence_max_us = percentile(h->convergence_us, 1);
	return s;
}
