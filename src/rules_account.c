/* Client accounts of the rules file. */
#include "fescue/error.h"
#include "rules_parser.h"

#include <glib.h>
#include <openssl/sha.h>
#include <string.h>
#include <xxhash.h>

#define ACCOUNT_HASH_SEED 5 /* must be the same on all nodes */

void rules_key_digest(const char *key, size_t size,
		      char digest[RULES_KEY_DIGEST_BYTES + 1])
{
	unsigned char hash[SHA256_DIGEST_LENGTH];

	SHA256((const unsigned char *)key, size, hash);
	for (size_t i = 0; i < RULES_KEY_DIGEST_BYTES / 2; i++)
		g_snprintf(digest + 2 * i, 3, "%02x", hash[i]);
}

static int is_digest(const char *text, size_t len)
{
	if (len != RULES_KEY_DIGEST_BYTES)
		return 0;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isdigit(text[i]) &&
		    (text[i] < 'a' || text[i] > 'f'))
			return 0;
	return 1;
}

/* What is no digest may be a key, so no diagnostic quotes it. */
static int add_key(struct parser *p, struct account_rule *rule,
		   const struct field *key)
{
	if (!is_digest(key->text, key->len)) {
		add_diagnostic(p, key->column,
			       "give the first 32 hexadecimal digits of the "
			       "key's SHA-256, in lower case",
			       "account '%s' has an invalid key digest",
			       rule->name);
		return FESCUE_EINVAL;
	}
	if (rule->key_count == RULES_ACCOUNT_KEYS_MAX) {
		add_diagnostic(p, key->column, "list at most 24 keys",
			       "account '%s' has too many keys", rule->name);
		return FESCUE_EINVAL;
	}
	memcpy(rule->keys[rule->key_count++], key->text,
	       RULES_KEY_DIGEST_BYTES);
	return FESCUE_OK;
}

static void parse_keys(struct parser *p, struct account_rule *rule,
		       const struct field *value)
{
	const char *end = value->text + value->len;

	for (const char *at = value->text; at <= end;) {
		const char *comma = memchr(at, ',', (size_t)(end - at));
		const char *stop = comma ? comma : end;
		struct field key = { at, (uint32_t)(stop - at),
				     value->column +
					     (uint32_t)(at - value->text) };

		if (add_key(p, rule, &key))
			return;
		at = stop + 1;
	}
}

static void parse_account_option(struct parser *p, struct account_rule *rule,
				 const struct field *key,
				 const struct field *value)
{
	if (field_is(key, "keys"))
		parse_keys(p, rule, value);
	else if (field_is(key, "rank"))
		parse_number_option(p, key, value, 0, RULES_RANK_MAX,
				    &rule->rank);
	else if (field_is(key, "rate"))
		parse_number_option(p, key, value, 0, RULES_RATE_MAX,
				    &rule->rate);
	else if (field_is(key, "burst"))
		parse_number_option(p, key, value, 0, RULES_RATE_MAX,
				    &rule->burst);
	else
		report_unknown_option(p, key, "use keys, rank, rate or burst");
}

static int parse_account_name(struct parser *p, const struct field *fields,
			      size_t n, struct account_rule *rule)
{
	char buf[40];
	gpointer earlier;

	if (n < 2 || !field_is_name(&fields[1])) {
		add_diagnostic(
			p, fields[n < 2 ? 0 : 1].column,
			"write: account NAME # WHO: reason; a name has 1 "
			"to 63 letters, digits and hyphens",
			"the account has no valid name");
		return FESCUE_EINVAL;
	}
	memcpy(rule->name, fields[1].text, fields[1].len);
	earlier = g_hash_table_lookup(p->account_names, rule->name);
	if (earlier) {
		add_diagnostic(p, fields[1].column,
			       "remove one of the two lines",
			       "account '%s' is already on line %u",
			       field_to_string(&fields[1], buf, sizeof(buf)),
			       GPOINTER_TO_UINT(earlier));
		return FESCUE_EINVAL;
	}
	return FESCUE_OK;
}

/* Adds the account to the table of keys, each of which has one account. */
static void index_keys(struct parser *p, const struct account_rule *rule,
		       uint32_t index, uint32_t column)
{
	GHashTable *by_key = p->rules->accounts_by_key;

	for (uint32_t i = 0; i < rule->key_count; i++) {
		const struct account_rule *other =
			rules_find_account(p->rules, rule->keys[i]);

		if (other && other->line != rule->line) {
			add_diagnostic(p, column,
				       "remove the key from one of them",
				       "accounts '%s' and '%s' share a key",
				       other->name, rule->name);
			return;
		}
		g_hash_table_insert(by_key, g_strdup(rule->keys[i]),
				    GUINT_TO_POINTER(index));
	}
}

void parse_account(struct parser *p, const struct field *fields, size_t n)
{
	GArray *accounts = p->rules->accounts;
	struct account_rule rule = { .line = p->line };
	struct field key, value;

	if (parse_account_name(p, fields, n, &rule))
		return;
	for (size_t i = 2; i < n; i++)
		if (split_option(p, &fields[i], &key, &value) &&
		    !option_is_repeated(p, fields, i, 2, &key))
			parse_account_option(p, &rule, &key, &value);
	rule.id = (uint32_t)XXH64(rule.name, strlen(rule.name),
				  ACCOUNT_HASH_SEED) |
		  1;
	g_hash_table_insert(p->account_names, g_strdup(rule.name),
			    GUINT_TO_POINTER(p->line));
	g_array_append_val(accounts, rule);
	index_keys(p, &rule, accounts->len - 1, fields[1].column);
}
