/*
 * Building the answers that a target host gives for a call.
 */
#ifndef FESCUE_CALL_ANSWER_H
#define FESCUE_CALL_ANSWER_H

#include "fescue/admission.h"
#include "fescue/retry.h"
#include "http_client.h"
#include "interface.h"
#include "packet.h"

/*
 * An answer without a body that carries the target's load and its pace for
 * calls of this kind.
 */
Fescue__Packet *call_answer_create(const struct admission *admission,
				   uint32_t kind, uint64_t call_id,
				   enum call_outcome outcome,
				   const char *reason);

/* The answer that the backend server's own answer, or its absence, gives. */
Fescue__Packet *call_answer_of_result(const struct admission *admission,
				      const struct header_names *headers,
				      uint32_t kind, uint64_t call_id,
				      const struct http_result *result);

#endif
