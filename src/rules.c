#include "fescue/rules.h"

#include "fescue/error.h"
#include "rules_parser.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define REQUEST_HASH_SEED 3 /* must be the same on all nodes */

uint32_t route_rule_total_weight(const struct route_rule *rule)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < rule->target_count; i++)
		total += rule->targets[i].weight;
	return total;
}

uint32_t route_rule_request_offset(const struct route_rule *rule,
				   const char *id, size_t size)
{
	uint32_t weight = route_rule_total_weight(rule);

	return weight ?
		       (uint32_t)(XXH64(id, size, REQUEST_HASH_SEED) % weight) :
		       0;
}

uint32_t route_rule_target_at(const struct route_rule *rule, uint32_t offset)
{
	for (uint32_t i = 0; i < rule->target_count; i++) {
		if (offset < rule->targets[i].weight)
			return i;
		offset -= rule->targets[i].weight;
	}
	return 0;
}

const char *call_class_name(enum call_class call_class)
{
	return call_class == CALL_CLASS_URGENT ? "urgent" : "background";
}

static int parse_name(struct parser *p, const struct field *f, char *out)
{
	char buf[40];

	if (!field_is_name(f)) {
		add_diagnostic(p, f->column,
			       "use 1 to 63 letters, digits and hyphens",
			       "'%s' is not a service name",
			       field_to_string(f, buf, sizeof(buf)));
		return FESCUE_EINVAL;
	}
	memcpy(out, f->text, f->len);
	out[f->len] = '\0';
	return FESCUE_OK;
}

static void parse_hedge_option(struct parser *p, const struct field *key,
			       const struct field *value, uint32_t *percent,
			       int *has_hedge)
{
	parse_number_option(p, key, value, 0, RULES_HEDGE_MAX_PERCENT, percent);
	*has_hedge = 1;
}

static void parse_service_option(struct parser *p, struct service_rule *rule,
				 const struct field *key,
				 const struct field *value)
{
	if (field_is(key, "queue"))
		parse_number_option(p, key, value, 0, RULES_QUEUE_MAX,
				    &rule->queue);
	else if (field_is(key, "reserve"))
		parse_number_option(p, key, value, 0, 90,
				    &rule->reserve_percent);
	else if (field_is(key, "deadline"))
		parse_number_option(p, key, value, 1, RULES_DEADLINE_MAX_MS,
				    &rule->deadline_ms);
	else if (field_is(key, "connections"))
		parse_number_option(p, key, value, 1, RULES_CONNECTIONS_MAX,
				    &rule->connections);
	else if (field_is(key, "health"))
		parse_path_option(p, key, value, rule->health);
	else if (field_is(key, "hedge"))
		parse_hedge_option(p, key, value, &rule->hedge_percent,
				   &rule->has_hedge);
	else
		report_unknown_option(p, key,
				      "use queue, reserve, deadline, health, "
				      "hedge or connections");
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
		add_diagnostic(p, fields[0].column,
			       "write: service NAME # WHO: reason",
			       "the service has no name");
		return;
	}
	if (parse_name(p, &fields[1], rule.name))
		return;
	rule.line = p->line;
	earlier = g_hash_table_lookup(p->service_names, rule.name);
	if (earlier) {
		add_diagnostic(p, fields[1].column,
			       "remove one of the two lines",
			       "service '%s' is already on line %u", rule.name,
			       GPOINTER_TO_UINT(earlier));
		return;
	}
	for (size_t i = 2; i < n; i++) {
		if (!split_option(p, &fields[i], &key, &value) ||
		    option_is_repeated(p, fields, i, 2, &key))
			continue;
		parse_service_option(p, &rule, &key, &value);
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
			rule->call_policy.call_class = (enum call_class)choice;
	} else if (field_is(key, "idempotent")) {
		parse_choice_option(p, key, value, "no", "yes", &choice);
		if (choice >= 0)
			rule->call_policy.idempotent = choice;
	} else if (field_is(key, "deadline")) {
		parse_number_option(p, key, value, 1, RULES_DEADLINE_MAX_MS,
				    &rule->call_policy.deadline_ms);
		rule->has_deadline = 1;
	} else if (field_is(key, "retries")) {
		parse_number_option(p, key, value, 0, RULES_RETRIES_MAX,
				    &rule->call_policy.retries);
	} else if (field_is(key, "rank")) {
		parse_number_option(p, key, value, 0, RULES_RANK_MAX,
				    &rule->call_policy.rank);
		rule->has_rank = 1;
	} else if (field_is(key, "latency")) {
		parse_number_option(p, key, value, 1, RULES_DEADLINE_MAX_MS,
				    &rule->call_policy.latency_ms);
	} else if (field_is(key, "public")) {
		parse_choice_option(p, key, value, "no", "yes",
				    &rule->is_public);
	} else if (field_is(key, "hedge")) {
		parse_hedge_option(p, key, value, &rule->hedge_percent,
				   &rule->has_hedge);
	} else {
		report_unknown_option(
			p, key,
			"use class, rank, idempotent, deadline, latency, "
			"retries, hedge or public");
	}
}

static int check_route_fields(struct parser *p, const struct field *fields,
			      size_t n)
{
	const char *slash;
	char buf[40];

	if (n < 4) {
		add_diagnostic(p, fields[0].column,
			       "write: route METHOD HOST/PREFIX SERVICE "
			       "# WHO: reason",
			       "the route is incomplete");
		return FESCUE_EINVAL;
	}
	if (!field_is(&fields[1], "*")) {
		for (uint32_t i = 0; i < fields[1].len; i++) {
			if (g_ascii_isupper(fields[1].text[i]))
				continue;
			add_diagnostic(
				p, fields[1].column,
				"use an upper-case method such as GET, or *",
				"'%s' is not a method",
				field_to_string(&fields[1], buf, sizeof(buf)));
			return FESCUE_EINVAL;
		}
	}
	slash = memchr(fields[2].text, '/', fields[2].len);
	if (!slash || slash == fields[2].text) {
		add_diagnostic(p, fields[2].column,
			       "write HOST/PREFIX, with * for any host",
			       "'%s' is not a host and path prefix",
			       field_to_string(&fields[2], buf, sizeof(buf)));
		return FESCUE_EINVAL;
	}
	return FESCUE_OK;
}

static int parse_weight(struct parser *p, const struct field *f, uint32_t *out)
{
	char buf[40];

	if (!field_parse_number(f, RULES_WEIGHT_MAX, out) && *out)
		return FESCUE_OK;
	add_diagnostic(p, f->column, "give a whole number from 1 to 1000000",
		       "'%s' is not a weight",
		       field_to_string(f, buf, sizeof(buf)));
	return FESCUE_EINVAL;
}

/* Parse NAME or NAME:WEIGHT. A single target may omit the weight. */
static int parse_target(struct parser *p, const struct field *f,
			int needs_weight, struct route_target *target)
{
	const char *colon = memchr(f->text, ':', f->len);
	struct field name = *f, weight = *f;

	target->weight = 1;
	if (colon) {
		name.len = (uint32_t)(colon - f->text);
		weight.text = colon + 1;
		weight.len = f->len - name.len - 1;
		weight.column = f->column + name.len + 1;
	}
	if (parse_name(p, &name, target->service))
		return FESCUE_EINVAL;
	if (!colon && needs_weight) {
		add_diagnostic(p, f->column, "write NAME:WEIGHT,NAME:WEIGHT",
			       "service '%s' has no weight", target->service);
		return FESCUE_EINVAL;
	}
	return colon ? parse_weight(p, &weight, &target->weight) : FESCUE_OK;
}

static int parse_targets(struct parser *p, const struct field *f,
			 struct route_rule *rule)
{
	const char *end = f->text + f->len;
	int needs_weight = memchr(f->text, ',', f->len) != NULL;

	for (const char *at = f->text; at <= end;) {
		const char *comma = memchr(at, ',', (size_t)(end - at));
		const char *stop = comma ? comma : end;
		struct field target = { at, (uint32_t)(stop - at),
					f->column + (uint32_t)(at - f->text) };

		if (rule->target_count == RULES_TARGETS_MAX) {
			add_diagnostic(p, target.column,
				       "list at most 8 services",
				       "the route has too many services");
			return FESCUE_EINVAL;
		}
		if (parse_target(p, &target, needs_weight,
				 &rule->targets[rule->target_count]))
			return FESCUE_EINVAL;
		rule->target_count++;
		at = stop + 1;
	}
	return FESCUE_OK;
}

static void parse_route(struct parser *p, const struct field *fields, size_t n)
{
	struct route_rule rule = {
		.call_policy = { .call_class = CALL_CLASS_URGENT,
				 .retries = RULES_RETRIES_DEFAULT },
		.line = p->line,
	};
	struct field key, value;
	const char *slash;
	char *route_key;
	gpointer earlier;

	if (check_route_fields(p, fields, n) ||
	    parse_targets(p, &fields[3], &rule))
		return;
	rule.target_column = fields[3].column;
	for (size_t i = 4; i < n; i++)
		if (split_option(p, &fields[i], &key, &value) &&
		    !option_is_repeated(p, fields, i, 4, &key))
			parse_route_option(p, &rule, &key, &value);
	if (!rule.has_rank)
		rule.call_policy.rank = rule.call_policy.call_class ==
							CALL_CLASS_URGENT ?
						RULES_RANK_URGENT_DEFAULT :
						RULES_RANK_BACKGROUND_DEFAULT;
	route_key = g_strdup_printf("%.*s %.*s", (int)fields[1].len,
				    fields[1].text, (int)fields[2].len,
				    fields[2].text);
	earlier = g_hash_table_lookup(p->route_keys, route_key);
	if (earlier) {
		add_diagnostic(p, fields[1].column,
			       "remove one of the two lines",
			       "the same route is already on line %u",
			       GPOINTER_TO_UINT(earlier));
		g_free(route_key);
		return;
	}
	rule.kind = (uint32_t)XXH64(route_key, strlen(route_key), 0);
	g_hash_table_insert(p->route_keys, route_key,
			    GUINT_TO_POINTER(p->line));
	slash = memchr(fields[2].text, '/', fields[2].len);
	rule.method = g_strndup(fields[1].text, fields[1].len);
	rule.host = g_ascii_strdown(fields[2].text, slash - fields[2].text);
	rule.prefix =
		g_strndup(slash, fields[2].len - (slash - fields[2].text));
	g_array_append_val(p->rules->routes, rule);
}

static void parse_limits_option(struct parser *p, struct limits_rule *rule,
				const struct field *key,
				const struct field *value)
{
	if (field_is(key, "header"))
		parse_number_option(p, key, value, 256,
				    RULES_BODY_DEFAULT_BYTES,
				    &rule->header_bytes);
	else if (field_is(key, "body"))
		parse_number_option(p, key, value, 0, 999999999,
				    &rule->body_bytes);
	else if (field_is(key, "header-time"))
		parse_number_option(p, key, value, 1, RULES_DEADLINE_MAX_MS,
				    &rule->header_timeout_ms);
	else if (field_is(key, "idle-time"))
		parse_number_option(p, key, value, 1, RULES_DEADLINE_MAX_MS,
				    &rule->idle_timeout_ms);
	else
		report_unknown_option(
			p, key, "use header, body, header-time or idle-time");
}

static void parse_limits(struct parser *p, const struct field *fields, size_t n)
{
	struct limits_rule *rule = &p->rules->limits;
	struct field key, value;

	if (rule->line) {
		add_diagnostic(p, fields[0].column,
			       "remove one of the two lines",
			       "limits are already on line %u", rule->line);
		return;
	}
	rule->line = p->line;
	for (size_t i = 1; i < n; i++)
		if (split_option(p, &fields[i], &key, &value) &&
		    !option_is_repeated(p, fields, i, 1, &key))
			parse_limits_option(p, rule, &key, &value);
}

/*
 * Returns 0 and adds a diagnostic if the line has control characters other than
 * tabs or is not UTF-8.
 */
static int line_bytes_are_valid(struct parser *p, const char *text, size_t len)
{
	const char *bad;

	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if ((c < 0x20 && c != '\t') || c == 0x7f) {
			add_diagnostic(
				p, (uint32_t)i + 1,
				"remove the byte; use UTF-8 text, spaces "
				"and tabs",
				"control byte 0x%02x", c);
			return 0;
		}
	}
	if (!g_utf8_validate(text, (gssize)len, &bad)) {
		add_diagnostic(p, (uint32_t)(bad - text) + 1,
			       "save the file as UTF-8",
			       "the text is not UTF-8");
		return 0;
	}
	return 1;
}

static int comment_is_empty(const char *comment, const char *end)
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
	struct field fields[RULES_LINE_FIELDS_MAX];
	size_t n = field_split(text, rule_len, fields);
	char buf[40];

	if (!n)
		return;
	if (n > RULES_LINE_FIELDS_MAX) {
		add_diagnostic(p, fields[RULES_LINE_FIELDS_MAX - 1].column,
			       "write one rule per line",
			       "the line has too many words");
		return;
	}
	if (!comment || comment_is_empty(comment, text + len)) {
		add_diagnostic(p, (uint32_t)rule_len + 1,
			       "end the line with '# WHO: reason'",
			       "no comment says who asked for the rule");
		return;
	}
	if (field_is(&fields[0], "service"))
		parse_service(p, fields, n);
	else if (field_is(&fields[0], "route"))
		parse_route(p, fields, n);
	else if (field_is(&fields[0], "account"))
		parse_account(p, fields, n);
	else if (field_is(&fields[0], "limits"))
		parse_limits(p, fields, n);
	else
		add_diagnostic(
			p, fields[0].column,
			"begin the line with service, route, account, limits "
			"or #",
			"unknown rule '%s'",
			field_to_string(&fields[0], buf, sizeof(buf)));
}

static void parse_line(struct parser *p, const char *text, size_t len)
{
	if (len && text[len - 1] == '\r')
		len--;
	if (len > RULES_MAX_LINE_BYTES) {
		add_diagnostic(p, RULES_MAX_LINE_BYTES + 1,
			       "shorten the line to at most 1024 bytes",
			       "the line has %zu bytes", len);
		return;
	}
	if (line_bytes_are_valid(p, text, len))
		parse_rule(p, text, len);
}

static const struct service_rule *find_service(const struct rules *rules,
					       const char *name)
{
	for (size_t i = 0; i < rules->services->len; i++) {
		const struct service_rule *service =
			&g_array_index(rules->services, struct service_rule, i);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

/* The route's hedge option comes before that of the service. */
static void resolve_hedge(const struct route_rule *route,
			  const struct service_rule *service,
			  struct route_target *target)
{
	target->has_hedge = route->has_hedge || service->has_hedge;
	target->hedge_percent = route->has_hedge ? route->hedge_percent :
						   service->hedge_percent;
}

/*
 * Check that the route's services exist. A route without a deadline option
 * takes the deadline of its first service.
 */
static void resolve_route(struct parser *p, struct route_rule *route)
{
	const struct service_rule *first = NULL;

	for (uint32_t i = 0; i < route->target_count; i++) {
		const struct service_rule *service =
			find_service(p->rules, route->targets[i].service);

		if (!service) {
			p->line = route->line;
			add_diagnostic(
				p, route->target_column,
				"add a service line or correct the name",
				"the route names an undefined service '%s'",
				route->targets[i].service);
			return;
		}
		if (!first)
			first = service;
		resolve_hedge(route, service, &route->targets[i]);
	}
	if (first && !route->has_deadline)
		route->call_policy.deadline_ms = first->deadline_ms;
}

static void resolve_routes(struct parser *p)
{
	GArray *routes = p->rules->routes;

	for (size_t i = 0; i < routes->len; i++)
		resolve_route(p, &g_array_index(routes, struct route_rule, i));
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
		add_diagnostic(&p, 1, "remove rules that are no longer needed",
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
	p.account_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parse_lines(&p, text, size);
	resolve_routes(&p);
	g_hash_table_destroy(p.service_names);
	g_hash_table_destroy(p.route_keys);
	g_hash_table_destroy(p.account_names);
	if (p.count) {
		rules_destroy(p.rules);
		error = FESCUE_EINVAL;
	} else {
		rules_sort(p.rules);
		*out = p.rules;
	}
	*count = MIN(p.count, max);
	return error;
}
