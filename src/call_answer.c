#include "call_answer.h"

#include "fescue/error.h"

#include <string.h>

static void set_waits(Fescue__CallAnswer *answer,
		      const struct admission *admission, uint64_t now_ms)
{
	struct rank_waits waits;

	admission_rank_waits(admission, now_ms, &waits);
	answer->n_waits_ms = RULES_RANK_LEVELS;
	answer->waits_ms = g_memdup2(waits.any_ms, sizeof(waits.any_ms));
	answer->n_timely_waits_ms = RULES_RANK_LEVELS;
	answer->timely_waits_ms =
		g_memdup2(waits.timely_ms, sizeof(waits.timely_ms));
}

Fescue__Packet *call_answer_create(const struct admission *admission,
				   uint32_t kind, uint64_t call_id,
				   enum call_outcome outcome,
				   const char *reason, uint64_t now_ms)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CALL_ANSWER);
	Fescue__CallAnswer *answer = packet->call_answer;

	answer->call_id = call_id;
	answer->outcome = (Fescue__Outcome)outcome;
	packet_set_string(&answer->reason, reason);
	answer->in_use = admission_in_use(admission);
	answer->queued = admission_queued(admission);
	answer->slots = admission_slots(admission);
	answer->service_us = admission_service_us(admission, kind);
	set_waits(answer, admission, now_ms);
	return packet;
}

static int header_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"connection", "content-length", "transfer-encoding",
		"keep-alive", "server",		"date"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (!g_ascii_strcasecmp(name, names[i]))
			return 1;
	return 0;
}

/*
 * The request id that the backend server echoes is not sent back: the entry
 * node adds it again. The HTTP client has discarded answers with another id.
 */
static int header_is_echoed_id(const struct header_names *names,
			       const char *name)
{
	return names->request_id && !strcmp(names->request_id, name);
}

static void add_answer_headers(Fescue__CallAnswer *answer,
			       const struct header_names *names,
			       const struct http_result *result)
{
	answer->headers = g_new(Fescue__Header *, result->header_count + 1);
	for (size_t i = 0; i < result->header_count; i++) {
		const char *name = result->headers[i].name;
		Fescue__Header *header;

		if (header_is_hop_by_hop(name))
			continue;
		if (header_is_echoed_id(names, name)) {
			answer->echoes_id = 1;
			continue;
		}
		header = g_new(Fescue__Header, 1);
		fescue__header__init(header);
		packet_set_string(&header->name, name);
		packet_set_string(&header->value, result->headers[i].value);
		answer->headers[answer->n_headers++] = header;
	}
}

/* Did the backend server itself report that it did not execute the call? */
static int backend_server_shed(const struct header_names *headers,
			       const struct http_result *result)
{
	const char *outcome;

	if (headers->not_executed)
		return result->status == 421 ||
		       http_result_header(result, headers->not_executed);
	outcome = http_result_header(result, headers->outcome);
	return result->status == 503 && outcome && !strcmp(outcome, "not-run");
}

/* An answer without the signature header is not a backend server's. */
static int is_unsigned(const struct header_names *headers,
		       const struct http_result *result)
{
	return headers->signature &&
	       !http_result_header(result, headers->signature);
}

/*
 * Returns 1 if the body is encoded, although callers on the platform ask for no
 * encoding: it is not the backend server's body then.
 */
static int is_encoded(const struct header_names *headers,
		      const struct http_result *result)
{
	const char *encoding = http_result_header(result, "content-encoding");

	return headers->signature && encoding && *encoding &&
	       g_ascii_strcasecmp(encoding, "identity") != 0;
}

static Fescue__Packet *create_ran_answer(const struct admission *admission,
					 const struct header_names *names,
					 uint32_t kind, uint64_t call_id,
					 const struct http_result *result,
					 uint64_t now_ms)
{
	Fescue__Packet *packet = call_answer_create(admission, kind, call_id,
						    CALL_RAN, "", now_ms);
	Fescue__CallAnswer *answer = packet->call_answer;

	answer->status = (uint32_t)result->status;
	add_answer_headers(answer, names, result);
	packet_set_bytes(&answer->body, result->body, result->body_size);
	answer->body_bytes = result->body_size;
	answer->arrived = 1;
	return packet;
}

static const char *failure_reason(const struct http_result *result)
{
	if (!result->error)
		return "the backend server's answer is not signed, or encoded";
	if (result->error == FESCUE_ETIMEOUT)
		return "no answer before the deadline";
	if (result->reason)
		return result->reason;
	return "the backend server broke off";
}

Fescue__Packet *call_answer_from_result(const struct admission *admission,
					const struct header_names *headers,
					uint32_t kind, uint64_t call_id,
					const struct http_result *result,
					uint64_t now_ms)
{
	Fescue__Packet *packet;

	if (!result->error && backend_server_shed(headers, result)) {
		packet = call_answer_create(admission, kind, call_id,
					    CALL_NOT_RUN,
					    "the backend server shed the call",
					    now_ms);
		packet->call_answer->arrived = 1;
		return packet;
	}
	if (!result->error && !is_unsigned(headers, result) &&
	    !is_encoded(headers, result))
		return create_ran_answer(admission, headers, kind, call_id,
					 result, now_ms);
	if (!result->sent)
		return call_answer_create(admission, kind, call_id,
					  CALL_NOT_RUN,
					  "no connection to the backend server",
					  now_ms);
	packet = call_answer_create(admission, kind, call_id, CALL_UNKNOWN,
				    failure_reason(result), now_ms);
	packet->call_answer->arrived = 1;
	packet->call_answer->suspect = result->error == FESCUE_EPARTIAL;
	return packet;
}
