/*
 * HTTP replies to callers: a backend server's answer or a failure.
 */
#ifndef FESCUE_CALL_REPLY_H
#define FESCUE_CALL_REPLY_H

#include "fescue/retry.h"
#include "http_server.h"
#include "interface.h"
#include "packet.h"

/*
 * Reply with a backend server's answer: its status, headers and body, plus the
 * node's own headers. id is the request's id, or NULL; version is that of the
 * configuration that the call used.
 */
void call_reply_answer(struct http_exchange *exchange,
		       const struct header_names *names,
		       const Fescue__CallAnswer *answer, const char *id,
		       uint64_t version);

/*
 * Reply with a failure, its reason in the body. A 503 or 429 carries a
 * retry-after header; retry_after_ms 0 selects the default.
 */
void call_reply_failure(struct http_exchange *exchange,
			const struct header_names *names, int status,
			enum call_outcome outcome, uint32_t retry_after_ms,
			const char *reason);

/*
 * Returns the time of the header "retry-after" of an answer with 503 or 429,
 * for the time that hosts suggested; 0: none did.
 */
uint32_t call_reply_retry_after_ms(uint32_t suggested_ms);

#endif
