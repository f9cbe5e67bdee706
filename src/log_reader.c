#include "log_reader.h"

#include "fescue/error.h"

#include <jansson.h>
#include <string.h>

struct log_reader {
	GPtrArray *lines; /* json_t */
	size_t malformed;
	json_int_t dropped_lines; /* as reported by "left_out" events */
};

static void free_line(gpointer line)
{
	json_decref(line);
}

struct log_reader *log_reader_create(void)
{
	struct log_reader *r = g_new0(struct log_reader, 1);

	r->lines = g_ptr_array_new_with_free_func(free_line);
	return r;
}

void log_reader_destroy(struct log_reader *r)
{
	if (!r)
		return;
	g_ptr_array_free(r->lines, TRUE);
	g_free(r);
}

size_t log_reader_malformed_lines(const struct log_reader *r)
{
	return r->malformed;
}

static const char *string_member(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text ? text : "";
}

static json_int_t integer_member(const json_t *line, const char *key)
{
	return json_integer_value(json_object_get(line, key));
}

static double line_time(const json_t *line)
{
	return json_number_value(json_object_get(line, "t"));
}

static int event_is(const json_t *line, const char *event)
{
	return !strcmp(string_member(line, "event"), event);
}

void log_reader_add_line(struct log_reader *r, const char *text)
{
	const char *brace = strchr(text, '{');
	json_t *line;

	if (!brace)
		return;
	line = json_loads(brace, 0, NULL);
	if (!json_is_object(line)) {
		json_decref(line);
		r->malformed++;
		return;
	}
	if (event_is(line, "left_out"))
		r->dropped_lines += integer_member(line, "lines");
	g_ptr_array_add(r->lines, line);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	double x = line_time(*(json_t *const *)a);
	double y = line_time(*(json_t *const *)b);

	return (x > y) - (x < y);
}

/* Lines with the request's id, or with only the id of one of its attempts. */
static GPtrArray *find_request_lines(const struct log_reader *r, const char *id)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTable *attempts = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < r->lines->len; i++) {
		json_t *line = g_ptr_array_index(r->lines, i);

		if (strcmp(string_member(line, "id"), id))
			continue;
		g_ptr_array_add(found, line);
		g_hash_table_add(attempts,
				 (gpointer)string_member(line, "attempt"));
	}
	g_hash_table_remove(attempts, "");
	g_hash_table_remove(attempts, "0");
	for (guint i = 0; i < r->lines->len; i++) {
		json_t *line = g_ptr_array_index(r->lines, i);

		if (!json_object_get(line, "id") &&
		    g_hash_table_contains(attempts,
					  string_member(line, "attempt")))
			g_ptr_array_add(found, line);
	}
	g_hash_table_destroy(attempts);
	g_ptr_array_sort(found, compare_times);
	return found;
}

static int is_printed_separately(const char *key)
{
	static const char *const keys[] = { "t", "host", "event", "id" };

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		if (!strcmp(key, keys[i]))
			return 1;
	return 0;
}

static void print_line(json_t *line, double start_time, GString *out)
{
	const char *key;
	json_t *value;

	g_string_append_printf(out, "%+10.3f ms  %-21s %-12s",
			       (line_time(line) - start_time) * 1000,
			       string_member(line, "host"),
			       string_member(line, "event"));
	json_object_foreach(line, key, value)
	{
		char *text;

		if (is_printed_separately(key))
			continue;
		text = json_dumps(value,
				  JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
		g_string_append_printf(out, " %s=%s", key, text);
		free(text);
	}
	g_string_append_c(out, '\n');
}

static const json_t *find_last_event(const GPtrArray *lines, const char *event)
{
	for (guint i = lines->len; i-- > 0;)
		if (event_is(g_ptr_array_index(lines, i), event))
			return g_ptr_array_index(lines, i);
	return NULL;
}

static void print_answer(const json_t *answer, GString *out)
{
	const char *target = string_member(answer, "target");
	const char *outcome = string_member(answer, "outcome");
	int status = (int)integer_member(answer, "status");
	int attempts = (int)integer_member(answer, "attempts");

	if (!strcmp(outcome, "ran") && status < 500)
		g_string_append_printf(out,
				       "served: %s answered %d, attempt %d\n",
				       target, status, attempts);
	else if (!strcmp(outcome, "ran"))
		g_string_append_printf(
			out,
			"failed in the backend server: %s answered %d, "
			"attempt %d; check that server\n",
			target, status, attempts);
	else if (!strcmp(outcome, "not-run"))
		g_string_append_printf(
			out,
			"refused with %d, it did not run: %s, after %d "
			"attempts; retry after %d ms\n",
			status, string_member(answer, "reason"), attempts,
			(int)integer_member(answer, "retry_after_ms"));
	else
		g_string_append_printf(
			out,
			"unknown outcome, answered %d: %s; it may have run at "
			"%s, attempt %d; check for the request there\n",
			status, string_member(answer, "reason"), target,
			attempts);
}

static void print_verdict(const struct log_reader *r, const GPtrArray *lines,
			  GString *out)
{
	const json_t *answer = find_last_event(lines, "answered");
	const json_t *disconnected = find_last_event(lines, "caller_left");

	g_string_append(out, "verdict: ");
	if (answer)
		print_answer(answer, out);
	else if (disconnected)
		g_string_append_printf(out,
				       "the caller disconnected after %d ms\n",
				       (int)integer_member(disconnected, "ms"));
	else
		g_string_append_printf(
			out,
			"no answer in these logs; add the log of the "
			"request's entry node (%d lines were dropped)\n",
			(int)r->dropped_lines);
}

int log_reader_trace(const struct log_reader *r, const char *request_id,
		     GString *out)
{
	GPtrArray *lines = find_request_lines(r, request_id);
	double start_time;

	if (!lines->len) {
		g_ptr_array_free(lines, TRUE);
		return FESCUE_ENOTFOUND;
	}
	start_time = line_time(g_ptr_array_index(lines, 0));
	for (guint i = 0; i < lines->len; i++)
		print_line(g_ptr_array_index(lines, i), start_time, out);
	print_verdict(r, lines, out);
	g_ptr_array_free(lines, TRUE);
	return FESCUE_OK;
}

/* State of the configuration at one host, as of its latest log line. */
struct host_versions {
	json_int_t active;
	double active_since;
	json_int_t after_seen_ms;
	json_int_t seen; /* latest version announced to the host */
	const char *source; /* of that version */
	const char *refusal_reason; /* NULL: none was refused */
	json_int_t refused; /* latest refused version */
	int store_unreachable;
};

static void update_host(struct host_versions *h, const json_t *line)
{
	if (event_is(line, "started")) {
		memset(h, 0, sizeof(*h));
	} else if (event_is(line, "version_seen")) {
		h->seen = integer_member(line, "version");
		h->source = string_member(line, "source");
	} else if (event_is(line, "version_in_force")) {
		h->active = integer_member(line, "version");
		h->active_since = line_time(line);
		h->after_seen_ms = integer_member(line, "after_seen_ms");
	} else if (event_is(line, "version_refused")) {
		h->refusal_reason = string_member(line, "reason");
		h->refused = integer_member(line, "version");
	} else if (event_is(line, "store_lost")) {
		h->store_unreachable = 1;
	} else if (event_is(line, "store_regained")) {
		h->store_unreachable = 0;
	}
}

static void print_host(const char *host, const struct host_versions *h,
		       json_int_t newest, GString *out)
{
	g_string_append_printf(out,
			       "%-21s version %" JSON_INTEGER_FORMAT
			       " since %.3f, %" JSON_INTEGER_FORMAT
			       " ms after it was seen",
			       host, h->active, h->active_since,
			       h->after_seen_ms);
	if (h->source)
		g_string_append_printf(out, " (from %s)", h->source);
	if (h->active < newest && h->seen > h->active)
		g_string_append_printf(out,
				       "; waits for %" JSON_INTEGER_FORMAT
				       ", announced by %s",
				       h->seen, h->source);
	else if (h->active < newest)
		g_string_append(out, "; has not seen the newest version");
	if (h->refusal_reason)
		g_string_append_printf(out,
				       "; refused %" JSON_INTEGER_FORMAT ": %s",
				       h->refused, h->refusal_reason);
	if (h->store_unreachable)
		g_string_append(out, "; store unreachable");
	g_string_append_c(out, '\n');
}

void log_reader_versions(const struct log_reader *r, GString *out)
{
	GHashTable *hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GPtrArray *sorted = g_ptr_array_new();
	GList *names;
	json_int_t newest = 0;

	for (guint i = 0; i < r->lines->len; i++)
		g_ptr_array_add(sorted, g_ptr_array_index(r->lines, i));
	g_ptr_array_sort(sorted, compare_times);
	for (guint i = 0; i < sorted->len; i++) {
		json_t *line = g_ptr_array_index(sorted, i);
		const char *name = string_member(line, "host");
		struct host_versions *h = g_hash_table_lookup(hosts, name);

		if (!h) {
			h = g_new0(struct host_versions, 1);
			g_hash_table_insert(hosts, (gpointer)name, h);
		}
		update_host(h, line);
		newest = MAX(newest, h->active);
	}
	names = g_list_sort(g_hash_table_get_keys(hosts), (GCompareFunc)strcmp);
	for (GList *l = names; l; l = l->next)
		print_host(l->data, g_hash_table_lookup(hosts, l->data), newest,
			   out);
	g_list_free(names);
	g_ptr_array_free(sorted, TRUE);
	g_hash_table_destroy(hosts);
}
