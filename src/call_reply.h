/*
 * The reply a caller gets: a backend server's answer, or why there is none.
 */
#ifndef FESCUE_CALL_REPLY_H
#define FESCUE_CALL_REPLY_H

#include "fescue/retry.h"
#include "http_server.h"
#include "interface.h"
#include "packet.h"

/* Pass a backend server's answer on, unchanged. id: of the request. */
void call_reply_answer(struct http_exchange *exchange,
		       const struct header_names *names,
		       const Fescue__CallAnswer *answer, const char *id,
		       uint64_t version);

/*
 * Say why there is no answer. A 503 tells the caller when to come back;
 * retry_after_ms 0 stands for a default.
 */
void call_reply_failure(struct http_exchange *exchange,
			const struct header_names *names, int status,
			enum call_outcome outcome, uint32_t retry_after_ms,
			const char *reason);

#endif
