/* Answers as they are read: whose they are, and how much of them is held. */
#include "http_client_state.h"

#include <string.h>

#define HEADERS_MAX 100
/* What a server in trouble may send before the answer to a request. */
#define INTERIM_ANSWERS_MAX 16
#define FOREIGN_ANSWERS_MAX 4
/* Bodies of one server that are held at once, while they come in. */
#define BODIES_MAX_BYTES (4 * HTTP_MAX_BODY_BYTES)

static void call_reset_answer(struct http_call *call)
{
	g_array_set_size(call->headers, 0);
	g_string_truncate(call->name, 0);
	g_string_truncate(call->value, 0);
	call->pool->body_bytes -= call->body->len;
	g_string_truncate(call->body, 0);
	call->reading_value = 0;
}

static void flush_header(struct http_call *call)
{
	struct http_header header;

	if (!call->reading_value)
		return;
	header.name = g_ascii_strdown(call->name->str, -1);
	header.value = g_strdup(call->value->str);
	g_array_append_val(call->headers, header);
	g_string_truncate(call->name, 0);
	g_string_truncate(call->value, 0);
	call->reading_value = 0;
}

static struct http_call *call_of(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	return conn->call;
}

static int on_header_field(http_parser *parser, const char *at, size_t length)
{
	struct http_call *call = call_of(parser);

	flush_header(call);
	g_string_append_len(call->name, at, (gssize)length);
	return call->headers->len >= HEADERS_MAX;
}

static int on_header_value(http_parser *parser, const char *at, size_t length)
{
	struct http_call *call = call_of(parser);

	call->reading_value = 1;
	g_string_append_len(call->value, at, (gssize)length);
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	struct http_call *call = call_of(parser);

	flush_header(call);
	return call->method_is_head; /* 1: no body follows */
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct http_call *call = call_of(parser);

	if (call->body->len + length > HTTP_MAX_BODY_BYTES ||
	    call->pool->body_bytes + length > BODIES_MAX_BYTES) {
		call->too_big = 1;
		return 1;
	}
	g_string_append_len(call->body, at, (gssize)length);
	call->pool->body_bytes += length;
	return 0;
}

const char *http_find_header(const struct http_header *headers, size_t count,
			     const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(headers[i].name, name))
			return headers[i].value;
	return NULL;
}

enum answer_owner {
	ANSWER_OURS,
	ANSWER_FOREIGN, /* it names another request: it came late, or twice */
	ANSWER_UNNAMED,
};

static enum answer_owner answer_owner(const struct http_call *call)
{
	const char *value;

	if (!call->echo)
		return ANSWER_OURS;
	value = http_find_header(
		(const struct http_header *)(void *)call->headers->data,
		call->headers->len, call->echo_name);
	if (!value)
		return ANSWER_UNNAMED;
	return strcmp(value, call->echo) ? ANSWER_FOREIGN : ANSWER_OURS;
}

/* Returns 0 to go on reading, or 1 when the server sends too many of these. */
static int skip_answer(struct http_call *call, uint32_t *count, uint32_t max)
{
	call_reset_answer(call);
	return ++*count > max;
}

static int on_message_complete(http_parser *parser)
{
	struct http_conn *conn = parser->data;
	struct http_call *call = conn->call;

	if (parser->status_code / 100 == 1)
		return skip_answer(call, &conn->interim, INTERIM_ANSWERS_MAX);
	switch (answer_owner(call)) {
	case ANSWER_OURS:
		break;
	case ANSWER_FOREIGN:
		conn->tainted = 1;
		return skip_answer(call, &conn->foreign, FOREIGN_ANSWERS_MAX);
	case ANSWER_UNNAMED:
		/* It may be a late copy of an answer to an earlier request. */
		if (conn->used)
			return 1;
		conn->tainted = 1;
		break;
	}
	call->complete = 1;
	http_parser_pause(parser, 1);
	return 0;
}

const http_parser_settings http_answer_parser = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};
