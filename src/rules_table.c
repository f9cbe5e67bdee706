#include "rules_table.h"

#include <assert.h>
#include <string.h>

static void route_rule_clear(gpointer data)
{
	struct route_rule *rule = data;

	g_free(rule->method);
	g_free(rule->host);
	g_free(rule->prefix);
}

struct rules *rules_create(void)
{
	struct rules *rules = g_new0(struct rules, 1);

	rules->services = g_array_new(FALSE, TRUE, sizeof(struct service_rule));
	rules->routes = g_array_new(FALSE, TRUE, sizeof(struct route_rule));
	rules->accounts = g_array_new(FALSE, TRUE, sizeof(struct account_rule));
	rules->accounts_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_array_set_clear_func(rules->routes, route_rule_clear);
	rules->limits.header_bytes = RULES_HEADER_DEFAULT_BYTES;
	rules->limits.body_bytes = RULES_BODY_DEFAULT_BYTES;
	rules->limits.header_timeout_ms = RULES_HEADER_TIMEOUT_DEFAULT_MS;
	rules->limits.idle_timeout_ms = RULES_IDLE_TIMEOUT_DEFAULT_MS;
	return rules;
}

/*
 * Specific before wildcard host, then longer before shorter prefix, then
 * specific before wildcard method.
 */
static gint compare_routes(gconstpointer a, gconstpointer b)
{
	const struct route_rule *x = a, *y = b;
	int wildcard_x = !strcmp(x->host, "*"),
	    wildcard_y = !strcmp(y->host, "*");
	size_t len_x = strlen(x->prefix), len_y = strlen(y->prefix);

	if (wildcard_x != wildcard_y)
		return wildcard_x - wildcard_y;
	if (len_x != len_y)
		return len_x < len_y ? 1 : -1;
	wildcard_x = !strcmp(x->method, "*");
	wildcard_y = !strcmp(y->method, "*");
	if (wildcard_x != wildcard_y)
		return wildcard_x - wildcard_y;
	return (gint)x->line - (gint)y->line;
}

void rules_sort(struct rules *rules)
{
	g_array_sort(rules->routes, compare_routes);
}

void rules_destroy(struct rules *rules)
{
	if (!rules)
		return;
	g_array_free(rules->services, TRUE);
	g_array_free(rules->routes, TRUE);
	g_array_free(rules->accounts, TRUE);
	g_hash_table_destroy(rules->accounts_by_key);
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

size_t rules_account_count(const struct rules *rules)
{
	return rules->accounts->len;
}

const struct account_rule *rules_account(const struct rules *rules, size_t i)
{
	assert(i < rules->accounts->len);
	return &g_array_index(rules->accounts, struct account_rule, i);
}

const struct account_rule *rules_find_account(const struct rules *rules,
					      const char *digest)
{
	gpointer index;

	if (!g_hash_table_lookup_extended(rules->accounts_by_key, digest, NULL,
					  &index))
		return NULL;
	return rules_account(rules, GPOINTER_TO_UINT(index));
}

const struct limits_rule *rules_limits(const struct rules *rules)
{
	return &rules->limits;
}

const struct route_rule *rules_route(const struct rules *rules, size_t i)
{
	assert(i < rules->routes->len);
	return &g_array_index(rules->routes, struct route_rule, i);
}

uint32_t rules_call_rank(const struct account_rule *account,
			 uint32_t route_rank)
{
	return (account ? account->rank : 0) * RULES_ACCOUNT_RANK_STEP +
	       route_rank;
}

uint32_t rules_rank_level(uint32_t call_rank)
{
	return MIN(call_rank / RULES_ACCOUNT_RANK_STEP +
			   call_rank % RULES_ACCOUNT_RANK_STEP,
		   RULES_RANK_LEVELS - 1);
}

int route_rule_matches(const struct route_rule *rule, const char *method,
		       size_t method_len, const char *path, size_t path_len)
{
	size_t prefix_len = strlen(rule->prefix);

	if (path_len < prefix_len || memcmp(path, rule->prefix, prefix_len))
		return 0;
	return !strcmp(rule->method, "*") ||
	       (strlen(rule->method) == method_len &&
		!memcmp(rule->method, method, method_len));
}
