/* Parsing of answers: matching them to requests and limiting their size. */
#include "http_client_state.h"

#include <string.h>

#define HEADERS_MAX 100
/* Answers that a faulty server may send before the answer to a request. */
#define INTERIM_ANSWERS_MAX 16
#define MISMATCHED_ANSWERS_MAX 4
/* Limit for the bodies of all calls of a pool. */
#define BODIES_MAX_BYTES (4 * HTTP_MAX_BODY_BYTES)

static void call_reset_answer(struct http_call *call)
{
	g_array_set_size(call->headers, 0);
	g_string_truncate(call->name, 0);
	g_string_truncate(call->value, 0);
	call->pool->body_bytes -= call->body->len;
	g_string_truncate(call->body, 0);
	call->has_value = 0;
	call->head_complete = 0;
}

static void store_header(struct http_call *call)
{
	struct http_header header;

	if (!call->has_value)
		return;
	header.name = g_ascii_strdown(call->name->str, -1);
	header.value = g_strdup(call->value->str);
	g_array_append_val(call->headers, header);
	g_string_truncate(call->name, 0);
	g_string_truncate(call->value, 0);
	call->has_value = 0;
}

static struct http_call *parser_call(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	return conn->call;
}

static int on_header_field(http_parser *parser, const char *at, size_t length)
{
	struct http_call *call = parser_call(parser);

	if (call->head_complete)
		return 0; /* a trailer field */
	store_header(call);
	g_string_append_len(call->name, at, (gssize)length);
	return call->headers->len >= HEADERS_MAX;
}

static int on_header_value(http_parser *parser, const char *at, size_t length)
{
	struct http_call *call = parser_call(parser);

	if (call->head_complete)
		return 0;
	call->has_value = 1;
	g_string_append_len(call->value, at, (gssize)length);
	return 0;
}

static int status_has_body(unsigned int status)
{
	return status / 100 != 1 && status != 204 && status != 304;
}

static int on_headers_complete(http_parser *parser)
{
	struct http_call *call = parser_call(parser);

	store_header(call);
	call->head_complete = 1;
	/* 1: no body follows, whatever length the head tells. */
	return call->is_head || !status_has_body(parser->status_code);
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct http_call *call = parser_call(parser);

	if (call->body->len + length > HTTP_MAX_BODY_BYTES ||
	    call->pool->body_bytes + length > BODIES_MAX_BYTES) {
		call->body_too_big = 1;
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

enum answer_match {
	ANSWER_MATCHED,
	ANSWER_MISMATCHED, /* a late or duplicate answer to another request */
	ANSWER_WITHOUT_ID,
};

static enum answer_match match_answer(const struct http_call *call)
{
	const char *value;

	if (!call->echo)
		return ANSWER_MATCHED;
	value = http_find_header(
		(const struct http_header *)(void *)call->headers->data,
		call->headers->len, call->echo_name);
	if (!value)
		return ANSWER_WITHOUT_ID;
	return strcmp(value, call->echo) ? ANSWER_MISMATCHED : ANSWER_MATCHED;
}

/* Returns 0, or 1 to stop parsing after more than max skipped answers. */
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
		return skip_answer(call, &conn->interim_answers,
				   INTERIM_ANSWERS_MAX);
	switch (match_answer(call)) {
	case ANSWER_MATCHED:
		break;
	case ANSWER_MISMATCHED:
		conn->not_reusable = 1;
		return skip_answer(call, &conn->mismatched_answers,
				   MISMATCHED_ANSWERS_MAX);
	case ANSWER_WITHOUT_ID:
		/* It may be a late duplicate of an earlier answer. */
		if (conn->used_before)
			return 1;
		conn->not_reusable = 1;
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
