#include "rollout_task_state.h"

#include "rollout_packet.h"

#include <string.h>

/* Limits what packets of broken peers make this node keep. */
#define SERVICES_MAX 512

static uint64_t now_ms(const struct rollout_task *t)
{
	return rollout_task_now_ms(t);
}

/*
 * A call that its entry node has given up may still run, so the calls that the
 * local backend server holds count as well if it has an old version.
 */
static void add_backend_calls(const struct rollout_task *t, const char *target,
			      struct rollout_report *report)
{
	const struct host *own = membership_self(t->settings.membership);

	if (!strcmp(own->service, report->service) &&
	    strcmp(own->backend_version, target) != 0)
		report->old_in_flight +=
			t->settings.backend_in_flight(t->settings.data);
}

static void send_report(struct rollout_task *t, uint64_t to,
			struct rollout_service *service,
			const struct rollout_state *state)
{
	struct rollout_report report;

	if (!rollout_fill_report(service->rollout, now_ms(t), &report))
		return;
	add_backend_calls(t, state->target, &report);
	t->settings.context->counters->values[COUNTER_rollout_reports]++;
	node_context_send(t->settings.context, to,
			  rollout_report_packet(&report));
}

static struct rollout_service *apply_state(struct rollout_task *t,
					   uint64_t from,
					   const struct rollout_state *state)
{
	struct rollout_service *service;

	if (g_hash_table_size(t->services) >= SERVICES_MAX &&
	    !g_hash_table_lookup(t->services, state->service))
		return NULL;
	service = rollout_task_service(t, state->service);
	if (rollout_apply(service->rollout, state, now_ms(t)))
		rollout_task_log_state(service, from, state);
	return service;
}

static void receive_states(struct rollout_task *t, uint64_t from,
			   const Fescue__RolloutState *message)
{
	struct rollout_state state;
	struct rollout_service *service;
	size_t count = MIN(message->n_services, ROLLOUT_STATES_MAX);

	for (size_t i = 0; i < count; i++) {
		if (rollout_state_read(message->services[i], &state))
			continue;
		if (from != t->settings.context->own)
			rollout_task_heed_term(t, state.service, state.term);
		service = apply_state(t, from, &state);
		if (service && message->from_leader)
			send_report(t, from, service, &state);
	}
	if (message->from_leader) {
		t->leader = from;
		t->leader_heard_ms = now_ms(t);
	} else {
		t->peer_replied_ms = now_ms(t);
	}
	if (message->complete)
		rollout_store_set_loaded(t->store);
}

struct collected {
	GArray *states;
	uint64_t now_ms;
};

static void collect_state(struct rollout *rollout, void *data)
{
	struct collected *c = data;
	struct rollout_state state;

	if (rollout_forward(rollout, c->now_ms, &state))
		g_array_append_val(c->states, state);
}

/* Replies to a host that starts, or that does not hear the leader. */
static void reply_states(struct rollout_task *t, uint64_t to)
{
	struct collected c = { g_array_new(FALSE, FALSE,
					   sizeof(struct rollout_state)),
			       now_ms(t) };
	const struct rollout_state *states;
	guint sent = 0;

	rollouts_foreach(t->rollouts, collect_state, &c);
	states = (const struct rollout_state *)(void *)c.states->data;
	/* The last packet tells that nothing is missing. */
	do {
		guint n = MIN(c.states->len - sent, ROLLOUT_STATES_MAX);
		int is_last = sent + n == c.states->len;

		node_context_send(
			t->settings.context, to,
			rollout_state_packet(
				states + sent, n, 0,
				is_last && rollout_store_is_loaded(t->store)));
		sent += n;
	} while (sent < c.states->len);
	g_array_free(c.states, TRUE);
}

static void receive_report(struct rollout_task *t, uint64_t from,
			   const Fescue__RolloutReport *message)
{
	struct rollout_report report;

	if (message->asks) {
		reply_states(t, from);
		return;
	}
	if (!t->leading || rollout_report_read(message, &report))
		return;
	rollout_leader_receive(t->leader_module, from, &report, now_ms(t));
	rollout_task_heed_term(t, report.service, report.term);
}

void rollout_task_receive(struct rollout_task *t, uint64_t from,
			  const Fescue__Packet *packet)
{
	if (packet->body_case == FESCUE__PACKET__BODY_ROLLOUT_STATE)
		receive_states(t, from, packet->rollout_state);
	else if (packet->body_case == FESCUE__PACKET__BODY_ROLLOUT_REPORT)
		receive_report(t, from, packet->rollout_report);
}

static void tick_services(struct rollout_task *t)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rollout_service *service = value;

		rollout_tick(service->rollout, now_ms(t));
		rollout_task_log_stop(t, service);
	}
}

/* See rollout_task_is_ready(). */
static void wait_tick(struct rollout_task *t)
{
	if (rollout_store_is_loaded(t->store) || t->waited)
		return;
	if (!t->wait_from_ms && rollout_store_has_failed(t->store))
		t->wait_from_ms = now_ms(t);
	t->waited = t->wait_from_ms &&
		    now_ms(t) >= t->wait_from_ms + ROLLOUT_WAIT_MAX_MS;
}

void rollout_task_tick(struct rollout_task *t)
{
	rollout_task_update(t);
	tick_services(t);
	rollout_store_tick(t->store);
	wait_tick(t);
	rollout_task_ask_tick(t);
	rollout_task_update_leadership(t);
	if (!t->leading)
		return;
	rollout_task_send_states(t, rollout_leader_tick(t->leader_module,
							now_ms(t)));
	rollout_task_log_progress(t);
}

int rollout_task_is_leading(const struct rollout_task *t)
{
	return t->leading;
}

struct rollouts *rollout_task_rollouts(struct rollout_task *t)
{
	return t->rollouts;
}

static void on_stored(void *data, const struct rollout_state *state)
{
	struct rollout_task *t = data;
	struct rollout_service *service =
		rollout_task_service(t, state->service);

	if (rollout_apply_stored(service->rollout, state, now_ms(t)))
		rollout_task_log_state(service, 0, state);
}

static int knows_service(void *data, const char *name)
{
	const struct rollout_task *t = data;

	return t->settings.knows_service(t->settings.data, name);
}

static void on_store_result(void *data, int error)
{
	const struct rollout_task *t = data;

	t->settings.store_result(t->settings.data, error);
}

static struct rollout_store *create_store(struct rollout_task *t)
{
	struct rollout_store_settings settings = {
		.context = t->settings.context,
		.store = t->settings.store,
		.leader = t->leader_module,
		.start_jitter_ms = t->settings.start_jitter_ms,
		.seed = t->settings.seed,
		.knows_service = knows_service,
		.stored = on_stored,
		.store_result = on_store_result,
		.conflict = rollout_task_on_conflict,
		.data = t,
	};

	return rollout_store_create(&settings);
}

struct rollout_task *
rollout_task_create(const struct rollout_task_settings *settings)
{
	struct rollout_task *t = g_new0(struct rollout_task, 1);

	t->settings = *settings;
	t->settings.leader.self = settings->context->own;
	t->random = g_rand_new_with_seed(settings->seed + 1);
	t->rollouts = rollouts_create(settings->seed + 2);
	t->leader_module = rollout_leader_create(&t->settings.leader);
	t->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    rollout_task_service_free);
	t->store = create_store(t);
	t->created_ms = now_ms(t);
	return t;
}

void rollout_task_destroy(struct rollout_task *t)
{
	if (!t)
		return;
	rollout_store_destroy(t->store);
	rollout_leader_destroy(t->leader_module);
	g_hash_table_destroy(t->services);
	rollouts_destroy(t->rollouts);
	g_rand_free(t->random);
	g_free(t);
}
