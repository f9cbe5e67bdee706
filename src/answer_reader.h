/*
 * Reads an HTTP/1.1 answer and checks its form (RFC 9110, RFC 9112). No I/O.
 *
 * The status line, each field line of the head and of the trailer, and the
 * framing of the body must follow the grammar. Whatever breaks it makes the
 * whole answer broken: it is not known then where the answer ends, nor whether
 * its sender has understood the request. Where the RFCs leave a choice:
 *
 * - A line of the head or trailer may end in LF alone; lines between chunks may
 *   not. The space behind the status may be missing if there is no reason.
 * - Folded lines, several lengths, a length beside a transfer coding, and codings
 *   other than "chunked", which no request asks for, are broken.
 */
#ifndef FESCUE_ANSWER_READER_H
#define FESCUE_ANSWER_READER_H

#include "http_server.h"

#include <stddef.h>

/* Status line, fields, trailer and chunk extensions of an answer, in bytes. */
#define ANSWER_HEAD_MAX_BYTES ((size_t)80 << 10)
#define ANSWER_FIELDS_MAX 100 /* in the head; the same for the trailer */

struct answer_reader;

/* Bytes of answers in memory, shared by readers. */
struct answer_budget {
	size_t used;
	size_t max;
};

enum answer_state {
	ANSWER_READING,
	ANSWER_COMPLETE,
	ANSWER_BROKEN,
};

/*
 * Create a reader of the answer to a request with this method. The budget must
 * outlive the reader.
 */
struct answer_reader *answer_reader_create(const char *method,
					   struct answer_budget *budget);

/* Free the reader and its share of the budget. NULL is ignored. */
void answer_reader_destroy(struct answer_reader *reader);

/* Drop the answer read so far, in order to read another one. */
void answer_reader_restart(struct answer_reader *reader);

/*
 * Read input up to the end of the answer at most. Returns the number of bytes
 * used.
 */
size_t answer_reader_read(struct answer_reader *reader, const char *bytes,
			  size_t size);

/*
 * The connection was closed, and not reset. Completes an answer whose body has
 * neither a length nor chunks; any other answer that is not complete is broken.
 */
void answer_reader_end(struct answer_reader *reader);

enum answer_state answer_reader_state(const struct answer_reader *reader);

/* Why the answer is broken: FESCUE_EPARTIAL or FESCUE_ETOOBIG; else FESCUE_OK. */
int answer_reader_error(const struct answer_reader *reader);

/* The reason as a static text, or NULL unless the answer is broken. */
const char *answer_reader_reason(const struct answer_reader *reader);

/* The status, 0 before its line was read. */
int answer_reader_status(const struct answer_reader *reader);

/* Headers with names in lower case, valid until the reader is changed. */
const struct http_header *
answer_reader_headers(const struct answer_reader *reader, size_t *count);

/* Body read so far, valid until the reader is changed. */
const char *answer_reader_body(const struct answer_reader *reader,
			       size_t *size);

/* Whether the connection may carry another request after a complete answer. */
int answer_reader_keeps_connection(const struct answer_reader *reader);

#endif
