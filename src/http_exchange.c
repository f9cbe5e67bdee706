/* The request of an exchange. */
#include "http_server_state.h"

#include <errno.h>
#include <string.h>

static struct http_text to_text(h2o_iovec_t v)
{
	struct http_text text = { v.base, v.len };

	return text;
}

struct http_text http_exchange_method(const struct http_exchange *exchange)
{
	return to_text(exchange->req->method);
}

struct http_text http_exchange_path(const struct http_exchange *exchange)
{
	return to_text(exchange->req->path);
}

struct http_text http_exchange_host(const struct http_exchange *exchange)
{
	return to_text(exchange->req->authority);
}

struct http_text http_exchange_body(const struct http_exchange *exchange)
{
	return to_text(exchange->req->entity);
}

struct http_text http_exchange_header(const struct http_exchange *exchange,
				      const char *name)
{
	struct http_text n, value = { NULL, 0 };
	size_t len = strlen(name);

	for (size_t i = 0; i < http_exchange_header_count(exchange); i++) {
		http_exchange_header_at(exchange, i, &n, &value);
		if (n.size == len && !g_ascii_strncasecmp(n.bytes, name, len))
			return value;
	}
	value.bytes = NULL;
	value.size = 0;
	return value;
}

size_t http_exchange_header_count(const struct http_exchange *exchange)
{
	return exchange->req->headers.size;
}

void http_exchange_header_at(const struct http_exchange *exchange, size_t i,
			     struct http_text *name, struct http_text *value)
{
	const h2o_header_t *header = &exchange->req->headers.entries[i];

	*name = to_text(*header->name);
	*value = to_text(header->value);
}

static size_t path_length(const struct http_exchange *exchange)
{
	size_t query = exchange->req->query_at;

	return query == SIZE_MAX ? exchange->req->path.len : query;
}

char *http_exchange_query(const struct http_exchange *exchange,
			  const char *name)
{
	size_t start = path_length(exchange);
	const h2o_iovec_t *path = &exchange->req->path;
	size_t name_len = strlen(name);
	char *query, *value = NULL;
	char **parts;

	if (start >= path->len)
		return NULL;
	query = g_strndup(path->base + start + 1, path->len - start - 1);
	parts = g_strsplit(query, "&", 32);
	for (char **part = parts; *part && !value; part++)
		if (!strncmp(*part, name, name_len) && (*part)[name_len] == '=')
			value = g_uri_unescape_string(*part + name_len + 1,
						      NULL);
	g_strfreev(parts);
	g_free(query);
	return value;
}

int http_exchange_path_is(const struct http_exchange *exchange,
			  const char *text)
{
	size_t len = path_length(exchange);

	return len == strlen(text) &&
	       !memcmp(exchange->req->path.base, text, len);
}

int http_exchange_method_is(const struct http_exchange *exchange,
			    const char *method)
{
	const h2o_iovec_t *text = &exchange->req->method;

	return text->len == strlen(method) &&
	       !memcmp(text->base, method, text->len);
}

uint32_t http_exchange_header_number(const struct http_exchange *exchange,
				     const char *name, uint32_t fallback)
{
	struct http_text text = http_exchange_header(exchange, name);
	uint64_t value = 0;

	if (!text.bytes || !text.size || text.size > 9)
		return fallback;
	for (size_t i = 0; i < text.size; i++) {
		if (!g_ascii_isdigit(text.bytes[i]))
			return fallback;
		value = value * 10 + (uint64_t)(text.bytes[i] - '0');
	}
	return (uint32_t)value;
}

int http_exchange_caller_left(const struct http_exchange *exchange)
{
	int fd = h2o_socket_get_fd(exchange->connection->sock);
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
}
