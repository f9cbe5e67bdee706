/* The status of the backend server that the node publishes to its peers. */
#include "backend_state.h"

#include "fescue/error.h"
#include "log.h"

void backend_publish_status(struct backend_server *b)
{
	const struct announcement *current = &b->record.current;
	int may_announce = backend_now_ms(b) >= b->announce_at_ms &&
			   !b->awaiting_leaving && !b->record.repeats_due;
	struct backend_status status = {
		.service = b->pool && may_announce ? current->service : "",
		.version = b->pool && may_announce ? current->version : "",
		.slots = admission_slots(b->admission),
	};
	int leaving = b->record.leaving || b->draining;

	status.serving = b->pool && may_announce && !leaving && !b->unreachable;
	if (b->record.known && b->record.leaving)
		status.left = announcement_fingerprint(current);
	admission_set_draining(b->admission, leaving);
	b->settings.changed(b->settings.data, &status);
}

/* Nothing, or another backend server, listens at the address. */
static void mark_unreachable(struct backend_server *b, const char *reason)
{
	if (b->unreachable || !b->pool)
		return;
	b->unreachable = 1;
	log_state("backend server %s is unreachable: %s; "
		  "sending no calls until its next heartbeat",
		  b->record.current.id, reason);
	backend_publish_status(b);
}

void backend_record_result(struct backend_server *b,
			   const struct http_result *result)
{
	if (result->error && result->error != FESCUE_ECANCELED)
		backend_increment_counter(b, COUNTER_backend_failures);
	if (result->error && !result->sent && result->error != FESCUE_ECANCELED)
		mark_unreachable(b, "connections fail");
	else if (!result->error && result->status == 421)
		mark_unreachable(b, "another one has its address");
}
