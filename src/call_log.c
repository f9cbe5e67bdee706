#include "call_log.h"

#include "call_request.h"
#include "events.h"

#include <inttypes.h>

/* Size of the members that all lines of a call have. */
#define COMMON_MEMBERS_BYTES 320

static const char *format_host(uint64_t host, char out[ADDRESS_TEXT_BYTES])
{
	return address_format(address_from_key(host), out);
}

static void log_attempt_va(const struct attempt *a, enum log_kind kind,
			   const char *event, const char *members, va_list args)
{
	char common[COMMON_MEMBERS_BYTES], id[LOG_QUOTED_BYTES];
	const struct call *c = a->call;

	if (!log_allows(kind))
		return;
	log_quote(caller_request_header(&c->request,
					c->table->context->headers->request_id),
		  id);
	g_snprintf(common, sizeof(common),
		   "\"id\":%s,\"attempt\":\"%" PRIx64 "\",\"ms\":%" PRIu64 ",",
		   id, a->id, caller_now_ms(c->table) - c->received_ms);
	log_event_va(kind, event, common, members, args);
}

void call_log(const struct call *c, enum log_kind kind, const char *event,
	      const char *members, ...)
{
	va_list args;

	va_start(args, members);
	log_attempt_va(&c->first, kind, event, members, args);
	va_end(args);
}

void call_log_attempt(const struct attempt *a, enum log_kind kind,
		      const char *event, const char *members, ...)
{
	va_list args;

	va_start(args, members);
	log_attempt_va(a, kind, event, members, args);
	va_end(args);
}

void call_log_hedged(const struct call *c, uint64_t delay_ms)
{
	char first[ADDRESS_TEXT_BYTES], hedge[ADDRESS_TEXT_BYTES];

	call_log_attempt(&c->hedge, LOG_RETRY, "hedged",
			 "\"target\":\"%s\",\"delay_ms\":%" PRIu64
			 ",\"beside\":\"%s\",\"first\":\"%" PRIx64
			 "\",\"try\":%u,\"tokens\":%.1f",
			 format_host(c->hedge.host, hedge), delay_ms,
			 format_host(c->first.host, first), c->first.id,
			 c->tried_count, c->budget->tokens);
}

void call_log_chosen(const struct call *c, enum log_kind kind, uint64_t host,
		     const struct router_estimate *estimate)
{
	char address[ADDRESS_TEXT_BYTES];
	struct service_handle service;
	const char *name = "";

	if (!snapshot_route_service(c->snapshot, c->route, c->target, &service))
		name = snapshot_service(c->snapshot, service)->name;
	call_log(c, kind, "chosen",
		 "\"target\":\"%s\",\"service\":\"%s\",\"version\":%" PRIu64
		 ",\"line\":%u,\"cost_ms\":%.0f,\"wait_ms\":%.0f,"
		 "\"failing\":%.2f,\"evidence_age_ms\":%" PRIu64
		 ",\"hosts\":%u,\"try\":%u,\"left_ms\":%" PRId64,
		 format_host(host, address), name,
		 snapshot_version(c->snapshot),
		 snapshot_route(c->snapshot, c->route)->line, estimate->cost_ms,
		 estimate->wait_ms, estimate->failure_rate,
		 estimate->load_age_ms, estimate->candidates, c->tried_count,
		 (int64_t)(c->deadline_ms - caller_now_ms(c->table)));
}

/* Address of the host of the last attempt that ended; empty if none has. */
static const char *format_target(const struct call *c,
				 char out[ADDRESS_TEXT_BYTES])
{
	out[0] = '\0';
	return c->ended_host ? format_host(c->ended_host, out) : out;
}

void call_log_ran(const struct call *c, const Fescue__CallAnswer *answer)
{
	enum log_kind kind = answer->status >= 500 ? LOG_FAILURE : LOG_DECISION;
	char target[ADDRESS_TEXT_BYTES];

	if (!log_allows(kind))
		return;
	call_log(c, kind, "answered",
		 "\"status\":%u,\"outcome\":\"ran\",\"attempts\":%u,"
		 "\"body_bytes\":%zu,\"target\":\"%s\"",
		 answer->status, c->tried_count, answer->body.len,
		 format_target(c, target));
}

void call_log_failed(const struct call *c, enum call_outcome outcome,
		     int status, const char *reason)
{
	char quoted[LOG_QUOTED_BYTES], target[ADDRESS_TEXT_BYTES];

	call_log(c, LOG_FAILURE, "answered",
		 "\"status\":%d,\"outcome\":\"%s\",\"reason\":%s,"
		 "\"attempts\":%u,\"target\":\"%s\",\"retry_after_ms\":%u,"
		 "\"version\":%" PRIu64 ",\"idempotent\":%d,\"tokens\":%.1f",
		 status, call_outcome_name(outcome), log_quote(reason, quoted),
		 c->tried_count, format_target(c, target), c->retry_after_ms,
		 snapshot_version(c->snapshot), c->call_policy.idempotent,
		 c->budget->tokens);
}

void call_log_attempt_failed(const struct attempt *a,
			     const struct retry_attempt *failed,
			     const char *event, const char *reason)
{
	char address[ADDRESS_TEXT_BYTES], quoted[LOG_QUOTED_BYTES];
	const struct call *c = a->call;

	call_log_attempt(a, LOG_RETRY, event,
			 "\"target\":\"%s\",\"outcome\":\"%s\",\"reason\":%s,"
			 "\"arrived\":%d,\"idempotent\":%d,\"arrivals\":%u,"
			 "\"moves\":%u,\"tokens\":%.1f",
			 format_host(a->host, address),
			 call_outcome_name(failed->outcome),
			 log_quote(reason, quoted), failed->arrived,
			 c->call_policy.idempotent, c->arrivals, c->reroutes,
			 c->budget->tokens);
}

void call_log_refused(const char *request_id, int status, const char *reason)
{
	char id[LOG_QUOTED_BYTES], quoted[LOG_QUOTED_BYTES];

	log_event(LOG_FAILURE, "answered",
		  "\"id\":%s,\"status\":%d,\"outcome\":\"not-run\","
		  "\"reason\":%s,\"attempts\":0",
		  log_quote(request_id, id), status, log_quote(reason, quoted));
}

void inbound_call_log(const struct backend_server *b, uint64_t from,
		      const Fescue__CallRequest *request, enum log_kind kind,
		      const char *event, const char *members, ...)
{
	char common[COMMON_MEMBERS_BYTES], id[LOG_QUOTED_BYTES];
	char address[ADDRESS_TEXT_BYTES];
	va_list args;

	if (!log_allows(kind))
		return;
	g_snprintf(common, sizeof(common),
		   "\"id\":%s,\"attempt\":\"%" PRIx64 "\",\"from\":\"%s\","
		   "\"in_use\":%u,\"slots\":%u,\"queued\":%u,",
		   log_quote(call_request_header(
				     request, b->context->headers->request_id),
			     id),
		   request->call_id, format_host(from, address),
		   admission_in_use(b->admission),
		   admission_slots(b->admission),
		   admission_queued(b->admission));
	va_start(args, members);
	log_event_va(kind, event, common, members, args);
	va_end(args);
}
