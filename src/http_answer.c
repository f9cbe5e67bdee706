/* Matches answers to requests. */
#include "http_client_state.h"

#include "fescue/error.h"

#include <string.h>

/* Answers that a faulty server may send before the answer to a request. */
#define INTERIM_ANSWERS_MAX 16
#define MISMATCHED_ANSWERS_MAX 4

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
	const struct http_header *headers;
	const char *value;
	size_t count;

	if (!call->echo)
		return ANSWER_MATCHED;
	headers = answer_reader_headers(call->reader, &count);
	value = http_find_header(headers, count, call->echo_name);
	if (!value)
		return ANSWER_WITHOUT_ID;
	return strcmp(value, call->echo) ? ANSWER_MISMATCHED : ANSWER_MATCHED;
}

static void call_break(struct http_call *call, int error, const char *reason)
{
	call->error = error;
	call->reason = reason;
}

/* Goes on to the next answer, unless more than max were skipped. */
static void skip_answer(struct http_call *call, uint32_t *count, uint32_t max,
			const char *reason)
{
	answer_reader_restart(call->reader);
	if (++*count > max)
		call_break(call, FESCUE_EPARTIAL, reason);
}

static void handle_answer(struct http_conn *conn)
{
	struct http_call *call = conn->call;

	if (answer_reader_status(call->reader) / 100 == 1) {
		skip_answer(call, &conn->interim_answers, INTERIM_ANSWERS_MAX,
			    "there are too many interim answers");
		return;
	}
	switch (match_answer(call)) {
	case ANSWER_MATCHED:
		break;
	case ANSWER_MISMATCHED:
		conn->not_reusable = 1;
		skip_answer(call, &conn->mismatched_answers,
			    MISMATCHED_ANSWERS_MAX,
			    "there are too many answers to other requests");
		return;
	case ANSWER_WITHOUT_ID:
		/* It may be a late duplicate of an earlier answer. */
		if (conn->used_before) {
			call_break(call, FESCUE_EPARTIAL,
				   "it may answer an earlier request");
			return;
		}
		conn->not_reusable = 1;
		break;
	}
	call->complete = 1;
}

static void check_reader(struct http_conn *conn)
{
	struct http_call *call = conn->call;

	switch (answer_reader_state(call->reader)) {
	case ANSWER_READING:
		break;
	case ANSWER_COMPLETE:
		handle_answer(conn);
		break;
	case ANSWER_BROKEN:
		call_break(call, answer_reader_error(call->reader),
			   answer_reader_reason(call->reader));
		break;
	}
}

size_t http_answer_read(struct http_conn *conn, const char *bytes, size_t size)
{
	struct http_call *call = conn->call;
	size_t used = 0;

	while (used < size && !call->complete && !call->error) {
		used += answer_reader_read(call->reader, bytes + used,
					   size - used);
		check_reader(conn);
	}
	return used;
}

void http_answer_end(struct http_conn *conn)
{
	struct http_call *call = conn->call;

	answer_reader_end(call->reader);
	check_reader(conn);
	if (!call->complete && !call->error)
		call_break(call, FESCUE_EPARTIAL,
			   "the connection was closed before the answer");
}
