#include "call_reply.h"

#include <inttypes.h>
#include <string.h>

/* If no host reported when a slot may become free. */
#define RETRY_AFTER_DEFAULT_MS 200
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 5000

void call_reply_answer(struct http_exchange *exchange,
		       const struct header_names *names,
		       const Fescue__CallAnswer *answer, const char *id,
		       uint64_t version)
{
	struct http_header *headers =
		g_new(struct http_header, answer->n_headers + 3);
	size_t n = 0;
	char number[24];

	for (size_t i = 0; i < answer->n_headers; i++) {
		if (names->outcome &&
		    !strcmp(answer->headers[i]->name, names->outcome))
			continue;
		headers[n].name = answer->headers[i]->name;
		headers[n++].value = answer->headers[i]->value;
	}
	if (answer->echoes_id && id) {
		headers[n].name = names->request_id;
		headers[n++].value = id;
	}
	if (names->outcome) {
		headers[n].name = names->outcome;
		headers[n++].value = call_outcome_name(CALL_RAN);
	}
	if (names->version) {
		g_snprintf(number, sizeof(number), "%" PRIu64, version);
		headers[n].name = names->version;
		headers[n++].value = number;
	}
	http_exchange_reply(exchange, (int)answer->status, headers, n,
			    answer->body.data, answer->body.len);
	g_free(headers);
}

uint32_t call_reply_retry_after_ms(uint32_t suggested_ms)
{
	return CLAMP(suggested_ms ? suggested_ms : RETRY_AFTER_DEFAULT_MS,
		     RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

void call_reply_failure(struct http_exchange *exchange,
			const struct header_names *names, int status,
			enum call_outcome outcome, uint32_t retry_after_ms,
			const char *reason)
{
	struct http_header headers[3] = { { "content-type", "text/plain" } };
	uint32_t ms = call_reply_retry_after_ms(retry_after_ms);
	char seconds[16];
	size_t n = 1;
	char *body =
		g_strdup_printf("%s: %s\n", call_outcome_name(outcome), reason);

	if (names->outcome) {
		headers[n].name = names->outcome;
		headers[n++].value = call_outcome_name(outcome);
	}
	if (status == 503 || status == 429) {
		g_snprintf(seconds, sizeof(seconds), "%u.%03u", ms / 1000,
			   ms % 1000);
		headers[n].name = "retry-after";
		headers[n++].value = seconds;
	}
	http_exchange_reply(exchange, status, headers, n, body, strlen(body));
	g_free(body);
}
