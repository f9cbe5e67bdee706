#include "store_call.h"

#include "platform/names.h"

#include <glib.h>
#include <string.h>

static uint64_t read_query_number(const struct http_exchange *exchange,
				  const char *name)
{
	char *text = http_exchange_query(exchange, name);
	uint64_t number = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	g_free(text);
	return number;
}

/* Reads the number after the prefix; returns 0 if the path has no prefix. */
static int read_path_number(const struct http_exchange *exchange,
			    const char *prefix, uint64_t *number)
{
	struct http_text path = http_exchange_path(exchange);

	if (path.size <= strlen(prefix) ||
	    memcmp(path.bytes, prefix, strlen(prefix)))
		return 0;
	*number = g_ascii_strtoull(path.bytes + strlen(prefix), NULL, 10);
	return 1;
}

static void parse_body(struct call *c, enum call_type type)
{
	struct http_text body = http_exchange_body(c->exchange);

	c->body = json_loadb(body.bytes, body.size, 0, NULL);
	c->type = json_is_object(c->body) ? type : CALL_INVALID;
}

void store_call_parse(struct call *c)
{
	struct http_exchange *x = c->exchange;

	c->type = CALL_INVALID;
	c->key = http_exchange_query(x, "key");
	if (!c->key)
		c->key = http_exchange_query(x, "prefix");
	if (!c->key)
		c->key = g_strdup("");
	if (http_exchange_path_is(x, PLATFORM_PATH_KEY)) {
		c->type = CALL_KEY;
	} else if (http_exchange_path_is(x, PLATFORM_PATH_RANGE)) {
		c->type = CALL_RANGE;
		c->after_key = http_exchange_query(x, "after");
	} else if (http_exchange_path_is(x, PLATFORM_PATH_WATCH)) {
		c->type = CALL_WATCH;
		c->number = read_query_number(x, "after");
		c->timeout_ms = read_query_number(x, "waitMs");
	} else if (http_exchange_path_is(x, PLATFORM_PATH_TXN)) {
		parse_body(c, CALL_TXN);
	} else if (http_exchange_path_is(x, PLATFORM_PATH_LEASE)) {
		parse_body(c, CALL_LEASE_GRANT);
		c->number = (uint64_t)json_integer_value(
			json_object_get(c->body, "ttlMs"));
	} else if (read_path_number(x, PLATFORM_PATH_KEEP, &c->number)) {
		c->type = CALL_LEASE_KEEP;
	} else if (read_path_number(x, PLATFORM_PATH_LEASE_END, &c->number)) {
		c->type = CALL_LEASE_END;
	}
}

int store_call_is_write(enum call_type type)
{
	return type == CALL_TXN || type == CALL_LEASE_GRANT ||
	       type == CALL_LEASE_END;
}
