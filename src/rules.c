#include "fescue/rules.h"

#include "fescue/error.h"
#include "rules_field.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

struct rules {
	GArray *services; /* struct service_rule */
	GArray *routes; /* struct route_rule */
};

struct parser {
	struct rules *rules;
	GHashTable *service_names; /* name -> line */
	GHashTable *route_keys; /* method, host and prefix -> line */
	uint32_t line;
	struct diagnostic *diagnostics;
	size_t max;
	size_t count;
};

const char *call_class_name(enum call_class call_class)
{
	return call_class == CALL_CLASS_URGENT ? "urgent" : "background";
}

G_GNUC_PRINTF(4, 5)
static void complain(struct parser *p, uint32_t column, const char *remedy,
		     const char *format, ...)
{
	struct diagnostic *d;
	va_list args;

	if (p->count < p->max) {
		d = &p->diagnostics[p->count];
		d->line = p->line;
		d->column = column;
		va_start(args, format);
		g_vsnprintf(d->what, sizeof(d->what), format, args);
		va_end(args);
		g_strlcpy(d->remedy, remedy, sizeof(d->remedy));
	}
	p->count++;
}

static int parse_name(struct parser *p, const struct field *f, char *out)
{
	char buf[40];

	if (!field_is_name(f)) {
		complain(p, f->column,
			 "use 1 to 63 letters, digits and hyphens",
			 "'%s' is not a service name",
			 field_show(f, buf, sizeof(buf)));
		return FESCUE_EINVAL;
	}
	memcpy(out, f->text, f->len);
	out[f->len] = '\0';
	return FESCUE_OK;
}

/* Split "key=value"; returns 0 and a diagnostic when there is no '='. */
static int split_option(struct parser *p, const struct field *f,
			struct field *key, struct field *value)
{
	const char *equals = memchr(f->text, '=', f->len);
	char buf[40];

	if (!equals) {
		complain(p, f->column, "write options as key=value",
			 "'%s' is not an option",
			 field_show(f, buf, sizeof(buf)));
		return 0;
	}
	key->text = f->text;
	key->len = (uint32_t)(equals - f->text);
	key->column = f->column;
	value->text = equals + 1;
	value->len = f->len - key->len - 1;
	value->column = f->column + key->len + 1;
	return 1;
}

static void parse_number_option(struct parser *p, const struct field *key,
				const struct field *value, uint32_t min,
				uint32_t max, uint32_t *out)
{
	char name[32], buf[40], remedy[80];
	uint32_t number;

	if (!field_parse_number(value, max, &number) && number >= min) {
		*out = number;
		return;
	}
	g_snprintf(remedy, sizeof(remedy), "give a whole number from %u to %u",
		   min, max);
	complain(p, value->column, remedy, "%s has the bad value '%s'",
		 field_show(key, name, sizeof(name)),
		 field_show(value, buf, sizeof(buf)));
}

static void parse_choice_option(struct parser *p, const struct field *key,
				const struct field *value, const char *first,
				const char *second, int *out)
{
	char name[32], buf[40], remedy[80];

	if (field_is(value, first)) {
		*out = 0;
	} else if (field_is(value, second)) {
		*out = 1;
	} else {
		g_snprintf(remedy, sizeof(remedy), "give %s or %s", first,
			   second);
		complain(p, value->column, remedy, "%s has the bad value '%s'",
			 field_show(key, name, sizeof(name)),
			 field_show(value, buf, sizeof(buf)));
	}
}

static void unknown_option(struct parser *p, const struct field *key,
			   const char *allowed)
{
	char buf[40];

	complain(p, key->column, allowed, "unknown option '%s'",
		 field_show(key, buf, sizeof(buf)));
}

/* Complain when an option stands twice on a line. */
static int option_is_repeated(struct parser *p, const struct field *fields,
			      size_t i, size_t first, const struct field *key)
{
	char buf[40];

	for (size_t j = first; j < i; j++) {
		if (fields[j].len > key->len &&
		    fields[j].text[key->len] == '=' &&
		    !memcmp(fields[j].text, key->text, key->len)) {
			complain(p, key->column, "give each option once",
				 "option '%s' stands twice",
				 field_show(key, buf, sizeof(buf)));
			return 1;
		}
	}
	return 0;
}

static void parse_service(struct parser *p, const struct field *fields,
			  size_t n)
{
	struct service_rule rule = {
		.queue = RULES_QUEUE_DEFAULT,
		.reserve_percent = RULES_RESERVE_DEFAULT_PERCENT,
		.deadline_ms = RULES_DEADLINE_DEFAULT_MS,
	};
	struct field key, value;
	gpointer earlier;

	if (n < 2) {
		complain(p, fields[0].column, "write: service NAME # who",
			 "the service has no name");
		return;
	}
	if (parse_name(p, &fields[1], rule.name))
		return;
	rule.line = p->line;
	earlier = g_hash_table_lookup(p->service_names, rule.name);
	if (earlier) {
		complain(p, fields[1].column, "remove one of the two lines",
			 "service '%s' is already on line %u", rule.name,
			 GPOINTER_TO_UINT(earlier));
		return;
	}
	for (size_t i = 2; i < n; i++) {
		if (!split_option(p, &fields[i], &key, &value) ||
		    option_is_repeated(p, fields, i, 2, &key))
			continue;
		if (field_is(&key, "queue"))
			parse_number_option(p, &key, &value, 0, RULES_QUEUE_MAX,
					    &rule.queue);
		else if (field_is(&key, "reserve"))
			parse_number_option(p, &key, &value, 0, 90,
					    &rule.reserve_percent);
		else if (field_is(&key, "deadline"))
			parse_number_option(p, &key, &value, 1,
					    RULES_DEADLINE_MAX_MS,
					    &rule.deadline_ms);
		else
			unknown_option(p, &key,
				       "use queue, reserve or deadline");
	}
	g_hash_table_insert(p->service_names, g_strdup(rule.name),
			    GUINT_TO_POINTER(p->line));
	g_array_append_val(p->rules->services, rule);
}

static void parse_route_option(struct parser *p, struct route_rule *rule,
			       const struct field *key,
			       const struct field *value)
{
	int choice = -1;

	if (field_is(key, "class")) {
		parse_choice_option(p, key, value, "urgent", "background",
				    &choice);
		if (choice >= 0)
			rule->contract.call_class = (enum call_class)choice;
	} else if (field_is(key, "idempotent")) {
		parse_choice_option(p, key, value, "no", "yes", &choice);
		if (choice >= 0)
			rule->contract.idempotent = choice;
	} else if (field_is(key, "deadline")) {
		parse_number_option(p, key, value, 1, RULES_DEADLINE_MAX_MS,
				    &rule->contract.deadline_ms);
		rule->has_deadline = 1;
	} else if (field_is(key, "retries")) {
		parse_number_option(p, key, value, 0, RULES_RETRIES_MAX,
				    &rule->contract.retries);
	} else {
		unknown_option(p, key,
			       "use class, idempotent, deadline or retries");
	}
}

static int check_route_fields(struct parser *p, const struct field *fields,
			      size_t n)
{
	const char *slash;
	char buf[40];

	if (n < 4) {
		complain(p, fields[0].column,
			 "write: route METHOD HOST/PREFIX SERVICE # who",
			 "the route is incomplete");
		return FESCUE_EINVAL;
	}
	if (!field_is(&fields[1], "*")) {
		for (uint32_t i = 0; i < fields[1].len; i++) {
			if (g_ascii_isupper(fields[1].text[i]))
				continue;
			complain(p, fields[1].column,
				 "use an upper-case method such as GET, or *",
				 "'%s' is not a method",
				 field_show(&fields[1], buf, sizeof(buf)));
			return FESCUE_EINVAL;
		}
	}
	slash = memchr(fields[2].text, '/', fields[2].len);
	if (!slash || slash == fields[2].text) {
		complain(p, fields[2].column,
			 "write HOST/PREFIX, with * for any host",
			 "'%s' is not a host and path prefix",
			 field_show(&fields[2], buf, sizeof(buf)));
		return FESCUE_EINVAL;
	}
	return FESCUE_OK;
}

static void route_rule_clear(gpointer data)
{
	struct route_rule *rule = data;

	g_free(rule->method);
	g_free(rule->host);
	g_free(rule->prefix);
}

static void parse_route(struct parser *p, const struct field *fields, size_t n)
{
	struct route_rule rule = {
		.contract = { CALL_CLASS_URGENT, 0, 0, RULES_RETRIES_DEFAULT },
		.line = p->line,
	};
	struct field key, value;
	const char *slash;
	char *route_key;
	gpointer earlier;

	if (check_route_fields(p, fields, n) ||
	    parse_name(p, &fields[3], rule.service))
		return;
	rule.service_column = fields[3].column;
	for (size_t i = 4; i < n; i++)
		if (split_option(p, &fields[i], &key, &value) &&
		    !option_is_repeated(p, fields, i, 4, &key))
			parse_route_option(p, &rule, &key, &value);
	route_key = g_strdup_printf("%.*s %.*s", (int)fields[1].len,
				    fields[1].text, (int)fields[2].len,
				    fields[2].text);
	earlier = g_hash_table_lookup(p->route_keys, route_key);
	if (earlier) {
		complain(p, fields[1].column, "remove one of the two lines",
			 "the same route is already on line %u",
			 GPOINTER_TO_UINT(earlier));
		g_free(route_key);
		return;
	}
	g_hash_table_insert(p->route_keys, route_key,
			    GUINT_TO_POINTER(p->line));
	slash = memchr(fields[2].text, '/', fields[2].len);
	rule.method = g_strndup(fields[1].text, fields[1].len);
	rule.host = g_ascii_strdown(fields[2].text, slash - fields[2].text);
	rule.prefix =
		g_strndup(slash, fields[2].len - (slash - fields[2].text));
	g_array_append_val(p->rules->routes, rule);
}

/* Reject bytes that a line may not hold; returns the first bad offset. */
static int line_bytes_are_good(struct parser *p, const char *text, size_t len)
{
	const char *bad;

	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if ((c < 0x20 && c != '\t') || c == 0x7f) {
			complain(p, (uint32_t)i + 1,
				 "remove the byte; use UTF-8 text, spaces "
				 "and tabs",
				 "control byte 0x%02x", c);
			return 0;
		}
	}
	if (!g_utf8_validate(text, (gssize)len, &bad)) {
		complain(p, (uint32_t)(bad - text) + 1,
			 "save the file as UTF-8", "bytes are not UTF-8");
		return 0;
	}
	return 1;
}

static int comment_is_blank(const char *comment, const char *end)
{
	for (const char *c = comment + 1; c < end; c++)
		if (*c != ' ' && *c != '\t' && *c != '#')
			return 0;
	return 1;
}

static void parse_rule(struct parser *p, const char *text, size_t len)
{
	const char *comment = memchr(text, '#', len);
	size_t rule_len = comment ? (size_t)(comment - text) : len;
	struct field fields[RULES_MAX_FIELDS];
	size_t n = field_split(text, rule_len, fields);
	char buf[40];

	if (!n)
		return;
	if (n > RULES_MAX_FIELDS) {
		complain(p, fields[RULES_MAX_FIELDS - 1].column,
			 "keep one rule a line", "too many words");
		return;
	}
	if (!comment || comment_is_blank(comment, text + len)) {
		complain(p, (uint32_t)rule_len + 1,
			 "end the line with '# NAME: reason'",
			 "no comment says who asked for the rule");
		return;
	}
	if (field_is(&fields[0], "service"))
		parse_service(p, fields, n);
	else if (field_is(&fields[0], "route"))
		parse_route(p, fields, n);
	else
		complain(p, fields[0].column,
			 "begin the line with service, route or #",
			 "unknown rule '%s'",
			 field_show(&fields[0], buf, sizeof(buf)));
}

static void parse_line(struct parser *p, const char *text, size_t len)
{
	if (len && text[len - 1] == '\r')
		len--;
	if (len > RULES_MAX_LINE_BYTES) {
		complain(p, RULES_MAX_LINE_BYTES + 1,
			 "keep a line within 1024 bytes",
			 "the line has %zu bytes", len);
		return;
	}
	if (line_bytes_are_good(p, text, len))
		parse_rule(p, text, len);
}

/* Check each route's service; take over the service's deadline. */
static void resolve_routes(struct parser *p)
{
	struct rules *rules = p->rules;

	for (size_t i = 0; i < rules->routes->len; i++) {
		struct route_rule *route =
			&g_array_index(rules->routes, struct route_rule, i);
		const struct service_rule *service = NULL;

		for (size_t j = 0; j < rules->services->len; j++) {
			service = &g_array_index(rules->services,
						 struct service_rule, j);
			if (!strcmp(service->name, route->service))
				break;
			service = NULL;
		}
		if (!service) {
			p->line = route->line;
			complain(p, route->service_column,
				 "add a service line or correct the name",
				 "the route leads to no service '%s'",
				 route->service);
		} else if (!route->has_deadline) {
			route->contract.deadline_ms = service->deadline_ms;
		}
	}
}

/* Exact host before any host, longer prefix first, exact method first. */
static gint compare_routes(gconstpointer a, gconstpointer b)
{
	const struct route_rule *x = a, *y = b;
	int any_x = !strcmp(x->host, "*"), any_y = !strcmp(y->host, "*");
	size_t len_x = strlen(x->prefix), len_y = strlen(y->prefix);

	if (any_x != any_y)
		return any_x - any_y;
	if (len_x != len_y)
		return len_x < len_y ? 1 : -1;
	any_x = !strcmp(x->method, "*");
	any_y = !strcmp(y->method, "*");
	if (any_x != any_y)
		return any_x - any_y;
	return (gint)x->line - (gint)y->line;
}

static struct rules *rules_create(void)
{
	struct rules *rules = g_new0(struct rules, 1);

	rules->services = g_array_new(FALSE, TRUE, sizeof(struct service_rule));
	rules->routes = g_array_new(FALSE, TRUE, sizeof(struct route_rule));
	g_array_set_clear_func(rules->routes, route_rule_clear);
	return rules;
}

static void parse_lines(struct parser *p, const char *text, size_t size)
{
	size_t start = 0;

	while (start < size) {
		const char *newline = memchr(text + start, '\n', size - start);
		size_t end = newline ? (size_t)(newline - text) : size;

		p->line++;
		parse_line(p, text + start, end - start);
		start = end + 1;
	}
}

int rules_parse(const char *text, size_t size, struct rules **out,
		struct diagnostic *diagnostics, size_t max, size_t *count)
{
	struct parser p = { .diagnostics = diagnostics, .max = max };
	int error = FESCUE_OK;

	*out = NULL;
	if (size > RULES_MAX_BYTES) {
		complain(&p, 1, "remove rules that are no longer asked for",
			 "the file has %zu bytes, the limit is %d", size,
			 RULES_MAX_BYTES);
		*count = MIN(p.count, max);
		return FESCUE_ETOOBIG;
	}
	p.rules = rules_create();
	p.service_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p.route_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parse_lines(&p, text, size);
	resolve_routes(&p);
	g_hash_table_destroy(p.service_names);
	g_hash_table_destroy(p.route_keys);
	if (p.count) {
		rules_destroy(p.rules);
		error = FESCUE_EINVAL;
	} else {
		g_array_sort(p.rules->routes, compare_routes);
		*out = p.rules;
	}
	*count = MIN(p.count, max);
	return error;
}

void rules_destroy(struct rules *rules)
{
	if (!rules)
		return;
	g_array_free(rules->services, TRUE);
	g_array_free(rules->routes, TRUE);
	g_free(rules);
}

size_t rules_service_count(const struct rules *rules)
{
	return rules->services->len;
}

const struct service_rule *rules_service(const struct rules *rules, size_t i)
{
	assert(i < rules->services->len);
	return &g_array_index(rules->services, struct service_rule, i);
}

size_t rules_route_count(const struct rules *rules)
{
	return rules->routes->len;
}

const struct route_rule *rules_route(const struct rules *rules, size_t i)
{
	assert(i < rules->routes->len);
	return &g_array_index(rules->routes, struct route_rule, i);
}

static int pattern_matches(const char *pattern, const char *text, size_t len)
{
	if (!strcmp(pattern, "*"))
		return 1;
	return strlen(pattern) == len &&
	       !g_ascii_strncasecmp(pattern, text, len);
}

int route_rule_matches(const struct route_rule *rule, const char *method,
		       size_t method_len, const char *host, size_t host_len,
		       const char *path, size_t path_len)
{
	size_t prefix_len = strlen(rule->prefix);

	return path_len >= prefix_len &&
	       !memcmp(path, rule->prefix, prefix_len) &&
	       pattern_matches(rule->method, method, method_len) &&
	       pattern_matches(rule->host, host, host_len);
}
