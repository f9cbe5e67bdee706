/*
 * Creation of the CallAnswer packets that a target host sends for calls.
 */
#ifndef FESCUE_CALL_ANSWER_H
#define FESCUE_CALL_ANSWER_H

#include "fescue/admission.h"
#include "fescue/retry.h"
#include "http_client.h"
#include "interface.h"
#include "packet.h"

/*
 * Create an answer without a body. It carries the host's load report and mean
 * service time for calls of this kind. reason is copied. Free the packet with
 * packet_destroy().
 */
Fescue__Packet *call_answer_create(const struct admission *admission,
				   uint32_t kind, uint64_t call_id,
				   enum call_outcome outcome,
				   const char *reason, uint64_t now_ms);

/*
 * Create the answer for the HTTP result of a call that was sent to the backend
 * server. The outcome is unknown if the server may have executed the call but
 * gave no complete, signed answer.
 */
Fescue__Packet *call_answer_from_result(const struct admission *admission,
					const struct header_names *headers,
					uint32_t kind, uint64_t call_id,
					const struct http_result *result,
					uint64_t now_ms);

#endif
