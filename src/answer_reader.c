#include "answer_reader.h"

#include "fescue/error.h"

#include <glib.h>
#include <string.h>

#define STATUS_MIN 100
#define STATUS_MAX 599

enum reader_stage {
	STAGE_STATUS_LINE,
	STAGE_FIELD_LINE,
	STAGE_SIZED_BODY,
	STAGE_UNSIZED_BODY, /* ends with the connection */
	STAGE_CHUNK_LINE,
	STAGE_CHUNK_DATA,
	STAGE_CHUNK_END, /* the empty line behind the data */
	STAGE_TRAILER_LINE,
};

struct answer_reader {
	struct answer_budget *budget;
	size_t reserved; /* share of the budget */
	int is_head; /* the request's method is HEAD */
	enum answer_state state;
	enum reader_stage stage;
	int error;
	const char *reason;
	GString *line; /* the current line, as far as it was read */
	size_t head_bytes;
	size_t trailer_fields;
	int status;
	int minor_version;
	int has_length;
	int is_chunked;
	int wants_close;
	int wants_keep_alive;
	uint64_t left; /* of a body with a length, or of a chunk */
	GArray *headers; /* struct http_header */
	GString *body;
};

static void clear_header(gpointer p)
{
	struct http_header *header = p;

	g_free((char *)header->name);
	g_free((char *)header->value);
}

struct answer_reader *answer_reader_create(const char *method,
					   struct answer_budget *budget)
{
	struct answer_reader *r = g_new0(struct answer_reader, 1);

	r->budget = budget;
	r->is_head = !strcmp(method, "HEAD");
	r->line = g_string_new(NULL);
	r->body = g_string_new(NULL);
	r->headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	g_array_set_clear_func(r->headers, clear_header);
	return r;
}

static void release(struct answer_reader *r, size_t bytes)
{
	r->reserved -= bytes;
	r->budget->used -= bytes;
}

void answer_reader_destroy(struct answer_reader *r)
{
	if (!r)
		return;
	release(r, r->reserved);
	g_string_free(r->line, TRUE);
	g_string_free(r->body, TRUE);
	g_array_free(r->headers, TRUE);
	g_free(r);
}

void answer_reader_restart(struct answer_reader *r)
{
	struct answer_reader fresh = {
		.budget = r->budget,
		.is_head = r->is_head,
		.line = g_string_new(NULL),
		.headers = r->headers,
		.body = g_string_new(NULL),
	};

	release(r, r->reserved);
	g_array_set_size(r->headers, 0);
	g_string_free(r->line, TRUE);
	g_string_free(r->body, TRUE);
	*r = fresh;
}

static void fail(struct answer_reader *r, int error, const char *reason)
{
	r->state = ANSWER_BROKEN;
	r->error = error;
	r->reason = reason;
}

static void fail_form(struct answer_reader *r, const char *reason)
{
	fail(r, FESCUE_EPARTIAL, reason);
}

/* Returns 1 if the bytes may be stored. */
static int reserve(struct answer_reader *r, size_t bytes)
{
	if (r->budget->used + bytes > r->budget->max) {
		fail(r, FESCUE_ETOOBIG, "all answers together are too long");
		return 0;
	}
	r->reserved += bytes;
	r->budget->used += bytes;
	return 1;
}

static void append_body(struct answer_reader *r, const char *bytes, size_t size)
{
	if (r->body->len + size > HTTP_MAX_BODY_BYTES)
		fail(r, FESCUE_ETOOBIG, "the body is too long");
	else if (reserve(r, size))
		g_string_append_len(r->body, bytes, (gssize)size);
}

/* A byte of a token: RFC 9110, 5.6.2. */
static int is_token_byte(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* A byte of a field value or a reason phrase: RFC 9110, 5.5. */
static int is_text_byte(char c)
{
	unsigned char byte = (unsigned char)c;

	return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static int is_all(int (*is_allowed)(char c), const char *bytes, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (!is_allowed(bytes[i]))
			return 0;
	return 1;
}

static int is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static int status_has_body(int status)
{
	return status / 100 != 1 && status != 204 && status != 304;
}

/* RFC 9112, 4; RFC 9110, 15. */
static void read_status_line(struct answer_reader *r, const char *line,
			     size_t size)
{
	static const char form[] = "HTTP/1.x sss";
	const size_t status_at = strlen("HTTP/1.x ");
	const size_t min_size = strlen(form);

	if (size < min_size || !g_ascii_isdigit(line[strlen("HTTP/1.")]) ||
	    line[status_at - 1] != ' ') {
		fail_form(r, "the status line has no version and status");
		return;
	}
	for (size_t i = status_at; i < min_size; i++) {
		if (!g_ascii_isdigit(line[i])) {
			fail_form(r, "the status is no number of three digits");
			return;
		}
		r->status = r->status * 10 + line[i] - '0';
	}
	r->minor_version = line[strlen("HTTP/1.")] - '0';
	if (size > min_size && line[min_size] != ' ')
		fail_form(r, "the status is no number of three digits");
	else if (r->status < STATUS_MIN || r->status > STATUS_MAX)
		fail_form(r, "the status is not from 100 to 599");
	else if (r->status == 101)
		fail_form(r, "the protocol was switched without a request");
	else if (!is_all(is_text_byte, line + min_size, size - min_size))
		fail_form(r, "the reason phrase contains a control byte");
	else
		r->stage = STAGE_FIELD_LINE;
}

static void read_length(struct answer_reader *r, const char *value)
{
	if (r->has_length) {
		fail_form(r, "there are several content lengths");
		return;
	}
	r->has_length = 1;
	for (const char *c = value; *c; c++) {
		if (!g_ascii_isdigit(*c) || r->left > (UINT64_MAX - 9) / 10)
			break;
		r->left = r->left * 10 + (uint64_t)(*c - '0');
		if (!c[1])
			return;
	}
	fail_form(r, "the content length is no number");
}

static void read_transfer_encoding(struct answer_reader *r, const char *value)
{
	if (r->is_chunked || g_ascii_strcasecmp(value, "chunked"))
		fail_form(r, "the transfer coding is not just chunked");
	r->is_chunked = 1;
}

static void read_connection(struct answer_reader *r, const char *value)
{
	char **options = g_strsplit(value, ",", -1);

	for (size_t i = 0; options[i]; i++) {
		const char *option = g_strstrip(options[i]);

		if (!g_ascii_strcasecmp(option, "close"))
			r->wants_close = 1;
		else if (!g_ascii_strcasecmp(option, "keep-alive"))
			r->wants_keep_alive = 1;
	}
	g_strfreev(options);
}

static void store_header(struct answer_reader *r, const char *name,
			 size_t name_size, const char *value, size_t value_size)
{
	struct http_header header;

	if (r->headers->len >= ANSWER_FIELDS_MAX) {
		fail(r, FESCUE_ETOOBIG, "the head has too many fields");
		return;
	}
	header.name = g_ascii_strdown(name, (gssize)name_size);
	header.value = g_strndup(value, value_size);
	g_array_append_val(r->headers, header);
	if (!strcmp(header.name, "content-length"))
		read_length(r, header.value);
	else if (!strcmp(header.name, "transfer-encoding"))
		read_transfer_encoding(r, header.value);
	else if (!strcmp(header.name, "connection"))
		read_connection(r, header.value);
}

/* RFC 9112, 5. Fields of the trailer are checked and dropped. */
static void read_field_line(struct answer_reader *r, const char *line,
			    size_t size)
{
	const char *colon = memchr(line, ':', size);
	size_t name_size = colon ? (size_t)(colon - line) : 0;
	const char *value = line + name_size + 1;
	const char *end = line + size;

	if (!colon) {
		fail_form(r, "a field line has no colon");
		return;
	}
	if (!name_size || !is_all(is_token_byte, line, name_size)) {
		fail_form(r, "the name of a field is no token");
		return;
	}
	while (value < end && is_blank(*value))
		value++;
	while (value < end && is_blank(end[-1]))
		end--;
	if (!is_all(is_text_byte, value, (size_t)(end - value)))
		fail_form(r, "the value of a field contains a control byte");
	else if (r->stage == STAGE_FIELD_LINE)
		store_header(r, line, name_size, value, (size_t)(end - value));
	else if (++r->trailer_fields > ANSWER_FIELDS_MAX)
		fail(r, FESCUE_ETOOBIG, "the trailer has too many fields");
}

/* Determines how the body ends: RFC 9112, 6.3. */
static void finish_head(struct answer_reader *r)
{
	int is_empty = r->is_head || !status_has_body(r->status) ||
		       (r->has_length && !r->left);

	if (r->is_chunked && (r->has_length || !r->minor_version)) {
		fail_form(r, r->has_length ?
				     "there is a length beside the coding" :
				     "there is a transfer coding in HTTP/1.0");
	} else if (is_empty) {
		r->state = ANSWER_COMPLETE;
	} else if (r->is_chunked) {
		r->stage = STAGE_CHUNK_LINE;
	} else if (!r->has_length) {
		r->stage = STAGE_UNSIZED_BODY;
	} else if (r->left > HTTP_MAX_BODY_BYTES) {
		fail(r, FESCUE_ETOOBIG, "the body is too long");
	} else {
		r->stage = STAGE_SIZED_BODY;
	}
}

/* RFC 9112, 7.1. Extensions are counted and dropped. */
static void read_chunk_line(struct answer_reader *r, const char *line,
			    size_t size)
{
	const size_t digits_max = 2 * sizeof(r->left);
	size_t i = 0;

	r->left = 0;
	while (i < size && i < digits_max && g_ascii_isxdigit(line[i]))
		r->left = r->left * 16 +
			  (uint64_t)g_ascii_xdigit_value(line[i++]);
	r->head_bytes += size - i;
	if (!i || (i < size && g_ascii_isxdigit(line[i]))) {
		fail_form(r, "the size of a chunk is no number");
		return;
	}
	while (i < size && is_blank(line[i]))
		i++;
	if (i < size && line[i] != ';')
		fail_form(r, "the size of a chunk is no number");
	else if (!is_all(is_text_byte, line + i, size - i))
		fail_form(r, "a chunk extension contains a control byte");
	else if (r->left > HTTP_MAX_BODY_BYTES - r->body->len)
		fail(r, FESCUE_ETOOBIG, "the body is too long");
	else
		r->stage = r->left ? STAGE_CHUNK_DATA : STAGE_TRAILER_LINE;
}

static void read_line(struct answer_reader *r, const char *line, size_t size)
{
	switch (r->stage) {
	case STAGE_STATUS_LINE:
		read_status_line(r, line, size);
		break;
	case STAGE_FIELD_LINE:
		if (size)
			read_field_line(r, line, size);
		else
			finish_head(r);
		break;
	case STAGE_CHUNK_LINE:
		read_chunk_line(r, line, size);
		break;
	case STAGE_CHUNK_END:
		if (size)
			fail_form(r, "a chunk is longer than its size");
		else
			r->stage = STAGE_CHUNK_LINE;
		break;
	case STAGE_TRAILER_LINE:
		if (size)
			read_field_line(r, line, size);
		else
			r->state = ANSWER_COMPLETE;
		break;
	case STAGE_SIZED_BODY:
	case STAGE_UNSIZED_BODY:
	case STAGE_CHUNK_DATA:
		break;
	}
}

/* Handles the line without its end, which must be CRLF between chunks. */
static void finish_line(struct answer_reader *r)
{
	size_t size = r->line->len - 1;
	int is_framing = r->stage == STAGE_CHUNK_LINE ||
			 r->stage == STAGE_CHUNK_END;
	int is_head = r->stage == STAGE_STATUS_LINE ||
		      r->stage == STAGE_FIELD_LINE;
	size_t line_bytes = r->line->len;

	if (!is_framing)
		r->head_bytes += line_bytes;
	if (size && r->line->str[size - 1] == '\r')
		read_line(r, r->line->str, size - 1);
	else if (is_framing)
		fail_form(r, "a line between chunks does not end in CRLF");
	else
		read_line(r, r->line->str, size);
	if (!is_head)
		release(r, line_bytes);
	g_string_truncate(r->line, 0);
}

/* Fails at the first byte that cannot begin a status line. */
static void check_version(struct answer_reader *r)
{
	static const char version[] = "HTTP/1.";

	if (memcmp(r->line->str, version, MIN(r->line->len, strlen(version))) !=
	    0)
		fail_form(r, "the answer does not begin with HTTP/1");
}

static size_t read_line_part(struct answer_reader *r, const char *bytes,
			     size_t size)
{
	const char *lf = memchr(bytes, '\n', size);
	size_t n = lf ? (size_t)(lf - bytes) + 1 : size;

	if (r->head_bytes + r->line->len + n > ANSWER_HEAD_MAX_BYTES) {
		fail(r, FESCUE_ETOOBIG, "the head is too long");
		return n;
	}
	if (!reserve(r, n))
		return n;
	g_string_append_len(r->line, bytes, (gssize)n);
	if (r->stage == STAGE_STATUS_LINE)
		check_version(r);
	if (lf && r->state == ANSWER_READING)
		finish_line(r);
	return n;
}

static size_t read_body_part(struct answer_reader *r, const char *bytes,
			     size_t size)
{
	size_t n = (size_t)MIN(size, r->left);

	append_body(r, bytes, n);
	r->left -= n;
	if (r->left || r->state != ANSWER_READING)
		return n;
	if (r->stage == STAGE_CHUNK_DATA)
		r->stage = STAGE_CHUNK_END;
	else
		r->state = ANSWER_COMPLETE;
	return n;
}

static size_t read_part(struct answer_reader *r, const char *bytes, size_t size)
{
	switch (r->stage) {
	case STAGE_SIZED_BODY:
	case STAGE_CHUNK_DATA:
		return read_body_part(r, bytes, size);
	case STAGE_UNSIZED_BODY:
		append_body(r, bytes, size);
		return size;
	case STAGE_STATUS_LINE:
	case STAGE_FIELD_LINE:
	case STAGE_CHUNK_LINE:
	case STAGE_CHUNK_END:
	case STAGE_TRAILER_LINE:
		break;
	}
	return read_line_part(r, bytes, size);
}

size_t answer_reader_read(struct answer_reader *r, const char *bytes,
			  size_t size)
{
	size_t used = 0;

	while (used < size && r->state == ANSWER_READING)
		used += read_part(r, bytes + used, size - used);
	return used;
}

void answer_reader_end(struct answer_reader *r)
{
	if (r->state != ANSWER_READING)
		return;
	if (r->stage == STAGE_UNSIZED_BODY)
		r->state = ANSWER_COMPLETE;
	else
		fail_form(r, "the connection was closed within the answer");
}

enum answer_state answer_reader_state(const struct answer_reader *r)
{
	return r->state;
}

int answer_reader_error(const struct answer_reader *r)
{
	return r->error;
}

const char *answer_reader_reason(const struct answer_reader *r)
{
	return r->reason;
}

int answer_reader_status(const struct answer_reader *r)
{
	return r->status;
}

const struct http_header *answer_reader_headers(const struct answer_reader *r,
						size_t *count)
{
	*count = r->headers->len;
	return (const struct http_header *)(void *)r->headers->data;
}

const char *answer_reader_body(const struct answer_reader *r, size_t *size)
{
	*size = r->body->len;
	return r->body->str;
}

int answer_reader_keeps_connection(const struct answer_reader *r)
{
	return r->stage != STAGE_UNSIZED_BODY && !r->wants_close &&
	       (r->minor_version || r->wants_keep_alive);
}
