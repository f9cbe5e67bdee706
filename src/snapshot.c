#include "fescue/snapshot.h"

#include "fescue/error.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define NO_RULE UINT32_MAX
#define NO_ROUTE UINT32_MAX
#define NO_SERVICE UINT32_MAX
#define HOST_MAX_BYTES 255

/* One parsed rules file, shared by snapshots that differ only in hosts. */
struct compiled_rules {
	int refs;
	uint64_t version;
	uint64_t hash;
	char *text;
	size_t size;
	struct rules *rules;
	/* host of the rule -> GArray of rule indices, most specific first */
	GHashTable *rules_by_host;
};

struct effective_route {
	uint32_t rule;
	uint32_t services[RULES_TARGETS_MAX]; /* by target, or NO_SERVICE */
};

struct service_entry {
	const struct service_rule *rule;
	uint32_t first_host;
	uint32_t host_count;
};

struct snapshot {
	int refs;
	struct compiled_rules *compiled;
	GArray *hosts; /* struct snapshot_host, grouped by service */
	GArray *services; /* struct service_entry */
	GArray *routes; /* struct effective_route */
	uint32_t *route_of_rule; /* NO_ROUTE when withdrawn */
	GStringChunk *strings;
};

uint64_t config_hash(const char *text, size_t size)
{
	return XXH64(text, size, 0);
}

static void compiled_unref(struct compiled_rules *compiled)
{
	if (!compiled || --compiled->refs)
		return;
	rules_destroy(compiled->rules);
	g_hash_table_destroy(compiled->rules_by_host);
	g_free(compiled->text);
	g_free(compiled);
}

static int host_serves(const struct snapshot_host *host, const char *service)
{
	return !strcmp(host->service, service);
}

/* Add the service's hosts, and the service itself if it has any. */
static void add_service(struct snapshot *s, const struct service_rule *rule,
			const struct snapshot_host *hosts, size_t host_count)
{
	struct service_entry entry = { rule, s->hosts->len, 0 };

	for (size_t i = 0; i < host_count; i++) {
		struct snapshot_host copy = hosts[i];

		if (!host_serves(&hosts[i], rule->name))
			continue;
		copy.service = rule->name;
		copy.failure_domain = g_string_chunk_insert_const(
			s->strings, hosts[i].failure_domain);
		g_array_append_val(s->hosts, copy);
		entry.host_count++;
	}
	if (entry.host_count)
		g_array_append_val(s->services, entry);
}

static void index_array_free(gpointer array)
{
	g_array_free(array, TRUE);
}

static GHashTable *index_rules_by_host(const struct rules *rules)
{
	GHashTable *rules_by_host = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, index_array_free);

	for (uint32_t i = 0; i < rules_route_count(rules); i++) {
		char *host = rules_route(rules, i)->host;
		GArray *indices = g_hash_table_lookup(rules_by_host, host);

		if (!indices) {
			indices = g_array_new(FALSE, FALSE, sizeof(uint32_t));
			g_hash_table_insert(rules_by_host, host, indices);
		}
		g_array_append_val(indices, i);
	}
	return rules_by_host;
}

static uint32_t find_service(const struct snapshot *s, const char *name)
{
	for (uint32_t i = 0; i < s->services->len; i++) {
		const struct service_entry *entry =
			&g_array_index(s->services, struct service_entry, i);

		if (!strcmp(entry->rule->name, name))
			return i;
	}
	return NO_SERVICE;
}

/* Look up the services of the targets; returns 0 if none has a host. */
static int resolve_targets(const struct snapshot *s,
			   const struct route_rule *rule,
			   struct effective_route *route)
{
	int found = 0;

	for (uint32_t i = 0; i < RULES_TARGETS_MAX; i++)
		route->services[i] = NO_SERVICE;
	for (uint32_t i = 0; i < rule->target_count; i++) {
		route->services[i] = find_service(s, rule->targets[i].service);
		found |= route->services[i] != NO_SERVICE;
	}
	return found;
}

static void add_routes(struct snapshot *s)
{
	struct rules *rules = s->compiled->rules;
	size_t n = rules_route_count(rules);

	s->route_of_rule = g_new(uint32_t, n + 1);
	for (uint32_t i = 0; i < n; i++) {
		struct effective_route route = { .rule = i };

		s->route_of_rule[i] = NO_ROUTE;
		if (!resolve_targets(s, rules_route(rules, i), &route))
			continue;
		s->route_of_rule[i] = s->routes->len;
		g_array_append_val(s->routes, route);
	}
}

/* Services are added before the routes that refer to them. */
static struct snapshot *snapshot_build(struct compiled_rules *compiled,
				       const struct snapshot_host *hosts,
				       size_t host_count)
{
	struct snapshot *s = g_new0(struct snapshot, 1);
	size_t n = rules_service_count(compiled->rules);

	compiled->refs++;
	s->refs = 1;
	s->compiled = compiled;
	s->strings = g_string_chunk_new(256);
	s->hosts = g_array_new(FALSE, FALSE, sizeof(struct snapshot_host));
	s->services = g_array_new(FALSE, FALSE, sizeof(struct service_entry));
	s->routes = g_array_new(FALSE, FALSE, sizeof(struct effective_route));
	for (size_t i = 0; i < n; i++)
		add_service(s, rules_service(compiled->rules, i), hosts,
			    host_count);
	add_routes(s);
	snapshot_assert_valid(s);
	return s;
}

struct snapshot *snapshot_create_parsed(uint64_t version, const char *text,
					size_t size, struct rules *rules,
					const struct snapshot_host *hosts,
					size_t host_count)
{
	struct compiled_rules *compiled = g_new0(struct compiled_rules, 1);
	struct snapshot *snapshot;

	compiled->refs = 1;
	compiled->version = version;
	compiled->hash = config_hash(text, size);
	compiled->text = g_memdup2(text, size);
	compiled->size = size;
	compiled->rules = rules;
	compiled->rules_by_host = index_rules_by_host(rules);
	snapshot = snapshot_build(compiled, hosts, host_count);
	compiled_unref(compiled);
	return snapshot;
}

int snapshot_create(uint64_t version, const char *text, size_t size,
		    const struct snapshot_host *hosts, size_t host_count,
		    struct snapshot **out, struct diagnostic *diagnostics,
		    size_t max, size_t *count)
{
	struct rules *rules;
	int error = rules_parse(text, size, &rules, diagnostics, max, count);

	*out = NULL;
	if (error)
		return error;
	*out = snapshot_create_parsed(version, text, size, rules, hosts,
				      host_count);
	return FESCUE_OK;
}

struct snapshot *snapshot_with_hosts(struct snapshot *snapshot,
				     const struct snapshot_host *hosts,
				     size_t host_count)
{
	return snapshot_build(snapshot->compiled, hosts, host_count);
}

struct snapshot *snapshot_ref(struct snapshot *snapshot)
{
	snapshot->refs++;
	return snapshot;
}

void snapshot_unref(struct snapshot *snapshot)
{
	if (!snapshot || --snapshot->refs)
		return;
	g_array_free(snapshot->hosts, TRUE);
	g_array_free(snapshot->services, TRUE);
	g_array_free(snapshot->routes, TRUE);
	g_free(snapshot->route_of_rule);
	g_string_chunk_free(snapshot->strings);
	compiled_unref(snapshot->compiled);
	g_free(snapshot);
}

uint64_t snapshot_version(const struct snapshot *snapshot)
{
	return snapshot->compiled->version;
}

const char *snapshot_text(const struct snapshot *snapshot, size_t *size)
{
	*size = snapshot->compiled->size;
	return snapshot->compiled->text ? snapshot->compiled->text : "";
}

uint64_t snapshot_hash(const struct snapshot *snapshot)
{
	return snapshot->compiled->hash;
}

struct route_request {
	const char *method, *path;
	size_t method_len, path_len;
};

/* Index of the host's first rule that matches the request, or NO_RULE. */
static uint32_t find_rule(const struct snapshot *snapshot, const char *host,
			  const struct route_request *request)
{
	const struct rules *rules = snapshot->compiled->rules;
	const GArray *indices =
		g_hash_table_lookup(snapshot->compiled->rules_by_host, host);

	for (guint i = 0; indices && i < indices->len; i++) {
		uint32_t rule = g_array_index(indices, uint32_t, i);

		if (route_rule_matches(rules_route(rules, rule),
				       request->method, request->method_len,
				       request->path, request->path_len))
			return rule;
	}
	return NO_RULE;
}

enum route_lookup snapshot_find_route(const struct snapshot *snapshot,
				      const char *method, size_t method_len,
				      const char *host, size_t host_len,
				      const char *path, size_t path_len,
				      struct route_handle *out,
				      const struct route_rule **rule)
{
	struct route_request request = { method, path, method_len, path_len };
	const char *colon = memchr(host, ':', host_len);
	char name[HOST_MAX_BYTES + 1];
	uint32_t found;

	if (colon)
		host_len = (size_t)(colon - host);
	host_len = MIN(host_len, HOST_MAX_BYTES);
	for (size_t i = 0; i < host_len; i++)
		name[i] = g_ascii_tolower(host[i]);
	name[host_len] = '\0';
	found = find_rule(snapshot, name, &request);
	if (found == NO_RULE)
		found = find_rule(snapshot, "*", &request);
	if (found == NO_RULE) {
		*rule = NULL;
		return ROUTE_UNKNOWN;
	}
	*rule = rules_route(snapshot->compiled->rules, found);
	out->index = snapshot->route_of_rule[found];
	return out->index == NO_ROUTE ? ROUTE_WITHDRAWN : ROUTE_FOUND;
}

static const struct effective_route *
effective_route(const struct snapshot *snapshot, struct route_handle route)
{
	assert(route.index < snapshot->routes->len);
	return &g_array_index(snapshot->routes, struct effective_route,
			      route.index);
}

static const struct service_entry *
service_entry(const struct snapshot *snapshot, struct service_handle service)
{
	assert(service.index < snapshot->services->len);
	return &g_array_index(snapshot->services, struct service_entry,
			      service.index);
}

const struct route_rule *snapshot_route(const struct snapshot *snapshot,
					struct route_handle route)
{
	return rules_route(snapshot->compiled->rules,
			   effective_route(snapshot, route)->rule);
}

int snapshot_route_service(const struct snapshot *snapshot,
			   struct route_handle route, uint32_t target,
			   struct service_handle *service)
{
	assert(target < snapshot_route(snapshot, route)->target_count);
	service->index = effective_route(snapshot, route)->services[target];
	return service->index == NO_SERVICE ? FESCUE_ENOTFOUND : FESCUE_OK;
}

int snapshot_has_accounts(const struct snapshot *snapshot)
{
	return rules_account_count(snapshot->compiled->rules) > 0;
}

size_t snapshot_account_count(const struct snapshot *snapshot)
{
	return rules_account_count(snapshot->compiled->rules);
}

const struct account_rule *snapshot_account(const struct snapshot *snapshot,
					    size_t i)
{
	return rules_account(snapshot->compiled->rules, i);
}

const struct account_rule *
snapshot_find_account(const struct snapshot *snapshot, const char *key,
		      size_t key_len)
{
	char digest[RULES_KEY_DIGEST_BYTES + 1];

	rules_key_digest(key, key_len, digest);
	return rules_find_account(snapshot->compiled->rules, digest);
}

const struct limits_rule *snapshot_limits(const struct snapshot *snapshot)
{
	return rules_limits(snapshot->compiled->rules);
}

const struct service_rule *snapshot_service(const struct snapshot *snapshot,
					    struct service_handle service)
{
	return service_entry(snapshot, service)->rule;
}

const struct service_rule *snapshot_find_service(const struct snapshot *s,
						 const char *name)
{
	uint32_t i = find_service(s, name);

	return i == NO_SERVICE ?
		       NULL :
		       g_array_index(s->services, struct service_entry, i).rule;
}

const struct service_rule *
snapshot_find_service_rule(const struct snapshot *snapshot, const char *name)
{
	const struct rules *rules = snapshot->compiled->rules;

	for (size_t i = 0; i < rules_service_count(rules); i++) {
		const struct service_rule *rule = rules_service(rules, i);

		if (!strcmp(rule->name, name))
			return rule;
	}
	return NULL;
}

size_t snapshot_service_host_count(const struct snapshot *snapshot,
				   struct service_handle service)
{
	return service_entry(snapshot, service)->host_count;
}

const struct snapshot_host *
snapshot_service_host(const struct snapshot *snapshot,
		      struct service_handle service, size_t i)
{
	const struct service_entry *entry = service_entry(snapshot, service);

	assert(i < entry->host_count);
	return &g_array_index(snapshot->hosts, struct snapshot_host,
			      entry->first_host + i);
}

uint32_t snapshot_host_version(const struct snapshot *snapshot,
			       struct service_handle service, uint64_t host)
{
	const struct service_entry *entry = service_entry(snapshot, service);

	for (size_t i = 0; i < entry->host_count; i++) {
		const struct snapshot_host *found =
			snapshot_service_host(snapshot, service, i);

		if (found->host == host)
			return found->version_hash;
	}
	return 0;
}

size_t snapshot_effective_route_count(const struct snapshot *snapshot)
{
	return snapshot->routes->len;
}

size_t snapshot_withdrawn_route_count(const struct snapshot *snapshot)
{
	return rules_route_count(snapshot->compiled->rules) -
	       snapshot->routes->len;
}

static void assert_targets_valid(const struct snapshot *snapshot,
				 const struct route_rule *rule,
				 const struct effective_route *route)
{
	for (uint32_t i = 0; i < rule->target_count; i++) {
		uint32_t service = route->services[i];

		if (service == NO_SERVICE)
			continue;
		assert(service < snapshot->services->len);
		assert(!strcmp(rule->targets[i].service,
			       g_array_index(snapshot->services,
					     struct service_entry, service)
				       .rule->name));
	}
}

void snapshot_assert_valid(const struct snapshot *snapshot)
{
	struct rules *rules = snapshot->compiled->rules;

	for (uint32_t i = 0; i < snapshot->services->len; i++) {
		const struct service_entry *entry = &g_array_index(
			snapshot->services, struct service_entry, i);

		assert(entry->host_count > 0);
		assert(entry->first_host + entry->host_count <=
		       snapshot->hosts->len);
	}
	for (uint32_t i = 0; i < snapshot->routes->len; i++) {
		const struct effective_route *route = &g_array_index(
			snapshot->routes, struct effective_route, i);

		assert(route->rule < rules_route_count(rules));
		assert_targets_valid(snapshot, rules_route(rules, route->rule),
				     route);
	}
}
