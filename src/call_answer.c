#include "call_answer.h"

#include "fescue/error.h"

#include <string.h>

Fescue__CallRequest *call_request_copy(const Fescue__CallRequest *request)
{
	size_t size = fescue__call_request__get_packed_size(request);
	uint8_t *bytes = g_malloc(size);
	Fescue__CallRequest *copy;

	fescue__call_request__pack(request, bytes);
	copy = fescue__call_request__unpack(NULL, size, bytes);
	g_free(bytes);
	return copy;
}

Fescue__Packet *call_answer_create(const struct admission *admission,
				   uint64_t call_id, enum call_outcome outcome,
				   const char *reason)
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

static void add_answer_headers(Fescue__CallAnswer *answer,
			       const struct http_result *result)
{
	answer->headers = g_new(Fescue__Header *, result->header_count + 1);
	for (size_t i = 0; i < result->header_count; i++) {
		Fescue__Header *header;

		if (header_is_hop_by_hop(result->headers[i].name))
			continue;
		header = g_new(Fescue__Header, 1);
		fescue__header__init(header);
		packet_set_string(&header->name, result->headers[i].name);
		packet_set_string(&header->value, result->headers[i].value);
		answer->headers[answer->n_headers++] = header;
	}
}

/* The backend server itself says that it shed the call before running it. */
static int backend_shed(const struct http_result *result)
{
	const char *outcome = http_result_header(result, "x-fescue-outcome");

	return result->status == 503 && outcome && !strcmp(outcome, "not-run");
}

Fescue__Packet *call_answer_of_result(const struct admission *admission,
				      uint64_t call_id,
				      const struct http_result *result)
{
	Fescue__Packet *packet;

	if (!result->error && backend_shed(result))
		return call_answer_create(admission, call_id, CALL_NOT_RUN,
					  "the backend server shed the call");
	if (!result->error) {
		packet = call_answer_create(admission, call_id, CALL_RAN, "");
		packet->call_answer->status = (uint32_t)result->status;
		add_answer_headers(packet->call_answer, result);
		packet_set_bytes(&packet->call_answer->body, result->body,
				 result->body_size);
		packet->call_answer->body_bytes = result->body_size;
		return packet;
	}
	if (!result->sent)
		return call_answer_create(
			admission, call_id, CALL_NOT_RUN,
			"no connection to the backend server");
	packet = call_answer_create(admission, call_id, CALL_UNKNOWN,
				    result->error == FESCUE_ETIMEOUT ?
					    "no answer before the deadline" :
					    "the backend server broke off");
	packet->call_answer->suspect = result->error == FESCUE_EPARTIAL;
	return packet;
}
