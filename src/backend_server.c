#include "backend_state.h"

#include "fescue/error.h"
#include "log.h"

/* Heartbeats arrive every 1 to 2 seconds and may be seconds late. */
#define ANNOUNCEMENT_TTL_MS 10000
#define IDLE_CONNECTIONS_MAX 128
/* Of the bodies of all nodes, if the machine's memory is not known. */
#define BODIES_DEFAULT_BYTES ((size_t)24 << 20)

static void answer_release(void *answer)
{
	packet_destroy(answer);
}

/* Half of the limit is left for calls that need a new connection. */
static size_t idle_connections_limit(const struct backend_server *b)
{
	if (!b->connections_limit)
		return IDLE_CONNECTIONS_MAX;
	return MIN((b->connections_limit + 1) / 2, IDLE_CONNECTIONS_MAX);
}

static void release_pool(struct backend_server *b)
{
	http_pool_release(b->pool);
	b->pool = NULL;
}

/* Opens a connection pool for the current address of the backend server. */
static void replace_pool(struct backend_server *b)
{
	const struct announcement *current = &b->record.current;

	log_state("backend server %s announced service %s", current->id,
		  current->service);
	release_pool(b);
	silence_reset(b->silence);
	backend_release_held_slots(b, UINT64_MAX);
	b->pool = http_pool_create(b->context->loop, current->address,
				   idle_connections_limit(b));
}

/* Refuses queued calls when the backend server starts leaving. */
static void handle_leaving(struct backend_server *b, int was_leaving)
{
	if (was_leaving || !b->record.leaving)
		return;
	log_state("backend server %s of service %s is leaving",
		  b->record.current.id, b->record.current.service);
	backend_publish_status(b);
	backend_refuse_queued(b, "the backend server is leaving");
}

/* Each running call needs a connection of its own. */
static uint32_t effective_slots(const struct backend_server *b)
{
	uint32_t slots = b->record.current.slots;

	return b->connections_limit ? MIN(slots, b->connections_limit) : slots;
}

void backend_server_limit_connections(struct backend_server *b,
				      uint32_t connections)
{
	b->connections_limit = connections;
	if (!b->pool)
		return;
	http_pool_set_idle_max(b->pool, idle_connections_limit(b));
	admission_set_slots(b->admission, effective_slots(b));
}

int backend_server_announce(struct backend_server *b,
			    const struct announcement *announcement)
{
	int was_leaving = b->record.known && b->record.leaving;
	struct address address = b->record.current.address;

	switch (announcement_record_update(&b->record, announcement)) {
	case ANNOUNCEMENT_STALE:
		log_state("ignoring a stale heartbeat of backend server %s",
			  announcement->id);
		return FESCUE_OK;
	case ANNOUNCEMENT_NEW:
		was_leaving = 0;
		replace_pool(b);
		break;
	case ANNOUNCEMENT_RENEWED:
		if (!b->pool ||
		    address_key(address) != address_key(announcement->address))
			replace_pool(b);
		break;
	}
	backend_increment_counter(b, COUNTER_backend_announcements);
	b->unreachable = 0;
	b->announcement_expires_ms = backend_now_ms(b) + ANNOUNCEMENT_TTL_MS;
	admission_set_slots(b->admission, effective_slots(b));
	backend_publish_status(b);
	handle_leaving(b, was_leaving);
	backend_schedule_queue(b);
	if (b->awaiting_leaving || !backend_server_unconfirmed(b))
		return FESCUE_OK;
	backend_increment_counter(b, COUNTER_backend_repeats);
	return FESCUE_EUNAVAILABLE;
}

void backend_server_leave(struct backend_server *b, const char *id)
{
	int was_leaving = b->record.leaving;

	if (!id)
		b->record.leaving = 1;
	else
		announcement_record_end(&b->record, id);
	handle_leaving(b, was_leaving);
}

void backend_server_restore_leaving(struct backend_server *b,
				    enum leaving_source source, uint64_t left)
{
	int was_leaving = b->record.leaving;

	if (left == b->record.left[source])
		return;
	announcement_record_restore_leaving(&b->record, source, left);
	handle_leaving(b, was_leaving);
}

void backend_server_set_leaving_known(struct backend_server *b)
{
	if (!b->awaiting_leaving)
		return;
	b->awaiting_leaving = 0;
	backend_publish_status(b);
}

void backend_server_waive_repeats(struct backend_server *b)
{
	announcement_record_want_repeats(&b->record, 0);
	backend_publish_status(b);
}

int backend_server_wants_repeats(const struct backend_server *b)
{
	return b->record.wants_repeats;
}

const struct announcement *
backend_server_unconfirmed(const struct backend_server *b)
{
	return b->record.known && b->record.repeats_due && !b->record.leaving ?
		       &b->record.current :
		       NULL;
}

void backend_server_confirm(struct backend_server *b, uint64_t fingerprint)
{
	if (!b->record.repeats_due ||
	    announcement_fingerprint(&b->record.current) != fingerprint)
		return;
	b->record.repeats_due = 0;
	backend_publish_status(b);
}

int backend_server_awaits_leaving(const struct backend_server *b)
{
	return b->awaiting_leaving;
}

static void expire_announcement(struct backend_server *b)
{
	if (!b->pool || backend_now_ms(b) < b->announcement_expires_ms)
		return;
	log_state("backend server of service %s expired: heartbeats stopped",
		  b->record.current.service);
	backend_increment_counter(b, COUNTER_backend_expired);
	release_pool(b);
	admission_set_slots(b->admission, 0);
	backend_publish_status(b);
	backend_refuse_queued(b, "the backend server is gone");
}

void backend_server_tick(struct backend_server *b)
{
	expire_announcement(b);
	if (b->announce_at_ms && backend_now_ms(b) >= b->announce_at_ms) {
		b->announce_at_ms = 0;
		backend_publish_status(b);
	}
	backend_expire_orphans(b);
	backend_expire_partial(b);
	backend_end_silent_runs(b);
	backend_release_held_slots(b, backend_now_ms(b));
	answer_pacer_count_traffic(b->pacer);
	if (b->unconfirmed_count)
		backend_confirm_calls(b, 0);
	answer_cache_expire(b->answers, backend_now_ms(b));
	backend_process_queue(b);
}

void backend_server_drain(struct backend_server *b)
{
	b->draining = 1;
	backend_publish_status(b);
	backend_refuse_queued(b, "the node is stopping");
}

struct backend_server *
backend_server_create(const struct node_context *context,
		      const struct backend_server_settings *settings)
{
	struct backend_server *b = g_new0(struct backend_server, 1);

	b->context = context;
	b->settings = *settings;
	b->awaiting_leaving = settings->await_leaving;
	b->record.wants_repeats = settings->await_leaving;
	b->announce_at_ms =
		node_context_now_ms(context) + settings->announce_delay_ms;
	b->admission = admission_create(settings->policy);
	b->answers = answer_cache_create(answer_release);
	b->silence = silence_create();
	b->link = link_budget_create(settings->link_mbit);
	b->bodies = inbound_bodies_create(settings->body_bytes_max ?
						  settings->body_bytes_max :
						  BODIES_DEFAULT_BYTES);
	b->pacer = answer_pacer_create(context, b->link);
	g_queue_init(&b->held_slots);
	backend_received_init(b);
	b->inbound_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, inbound_call_free);
	return b;
}

static void on_idle_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_check_closed(uv_handle_t *handle)
{
	struct backend_server *b = handle->data;

	uv_close((uv_handle_t *)&b->no_wait, on_idle_closed);
}

void backend_server_destroy(struct backend_server *b)
{
	if (!b)
		return;
	backend_received_clear(b);
	g_hash_table_destroy(b->inbound_calls);
	backend_release_held_slots(b, UINT64_MAX);
	silence_destroy(b->silence);
	answer_cache_destroy(b->answers);
	answer_pacer_destroy(b->pacer);
	link_budget_destroy(b->link);
	admission_destroy(b->admission);
	inbound_bodies_destroy(b->bodies);
	http_pool_release(b->pool);
	uv_close((uv_handle_t *)&b->iteration_end, on_check_closed);
}

uint32_t backend_server_in_flight(const struct backend_server *b)
{
	return g_hash_table_size(b->inbound_calls) +
	       g_queue_get_length((GQueue *)&b->received) +
	       inbound_bodies_count(b->bodies) + answer_pacer_waiting(b->pacer);
}

const char *backend_server_service(const struct backend_server *b)
{
	return b->pool ? b->record.current.service : "";
}

uint32_t backend_server_in_use(const struct backend_server *b)
{
	return admission_in_use(b->admission);
}

uint32_t backend_server_queued(const struct backend_server *b)
{
	return admission_queued(b->admission);
}
