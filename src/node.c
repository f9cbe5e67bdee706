#include "node.h"

#include "backend_server.h"
#include "bootstrap.h"
#include "caller.h"
#include "crash_report.h"
#include "events.h"
#include "fescue/error.h"
#include "log.h"
#include "program.h"
#include "quota_task.h"
#include "rollout_task.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define TICK_MS 50
/* Timers run before input is read, so a late tick is repeated after that. */
#define LATE_TICK_DELAY_MS 1
#define LINK_IDLE_MS 660000
/* Peers probed when the backend server changes; they gossip the change on. */
#define ANNOUNCE_FAN_OUT 12
#define ISOLATED_AFTER_MS 5000 /* without an answer from any peer */
/* Of the machine's memory, for requests and answers of callers. */
#define CALLER_MEMORY_DIVISOR 4
/* The same, for long bodies of calls to the backend server. */
#define BODY_MEMORY_DIVISOR 4
#define BYTES_PER_MB ((size_t)1000000)

static int node_is_ready(const struct node *node, const char **reason)
{
	const struct floor *floor = bootstrap_floor(node->bootstrap);

	*reason = "";
	if (node_is_stopping(node))
		*reason = "the node is stopping";
	else if (!node->snapshot)
		*reason = "no configuration is in force yet";
	else if (!node_knows_rollouts(node))
		*reason = "the node does not know the roll-outs yet";
	else if (node->settings.floor_policy == FLOOR_PROMPT)
		*reason = "";
	else if (!floor->confirmed)
		*reason = "the node does not know the newest version yet";
	else if (!floor_allows(floor, snapshot_version(node->snapshot)))
		*reason = "the node has not reached the newest version yet";
	return !**reason;
}

/*
 * Returns the configuration for a call received on the caller port. A stopping
 * node still serves calls for stop_min_ms, while callers learn of the stop;
 * later calls could not be finished before it exits.
 */
static struct snapshot *snapshot_for_caller(void *data, const char **reason)
{
	struct node *node = data;

	if (node_is_ready(node, reason))
		return node->snapshot;
	if (node_is_stopping(node) &&
	    node_now_ms(node) <
		    node->stop_started_ms + node->settings.stop_min_ms)
		return node->snapshot;
	return NULL;
}

static uint64_t host_epoch(void *data, uint64_t address)
{
	struct node *node = data;
	const struct host *host = membership_find(node->membership, address);

	return host ? host->epoch : 0;
}

static int is_stopping(void *data)
{
	return node_is_stopping(data);
}

static uint32_t news_age_ms(void *data, uint64_t peer)
{
	const struct node *node = data;

	return transport_news_age_ms(node->transport, peer);
}

static void ask_peer(void *data, uint64_t peer)
{
	const struct node *node = data;

	transport_ask(node->transport, peer);
}

static void on_peer_heard(void *data, uint64_t peer)
{
	const struct node *node = data;

	backend_server_peer_heard(node->backend, peer);
}

static void on_backend_changed(void *data, const struct backend_status *status)
{
	struct node *node = data;
	uint64_t before = membership_generation(node->membership);

	node_set_leaving(node, status->left);
	if (node->settings.rollout_exposure > 0)
		membership_set_backend_version(node->membership,
					       status->version);
	membership_set_backend(node->membership, status->service, status->slots,
			       status->serving, status->left);
	/* Peers route by this; do not wait for the next periodic probe. */
	if (membership_generation(node->membership) != before)
		membership_probe_random(node->membership, ANNOUNCE_FAN_OUT,
					&node->outbox);
	node_update_config(node);
}

static void on_link_closed(void *data, uint64_t peer, int connected)
{
	struct node *node = data;

	caller_table_peer_disconnected(node->callers, peer, connected);
	if (connected)
		backend_server_peer_disconnected(node->backend, peer);
}

static void on_call_undelivered(void *data, uint64_t peer, uint64_t call_id,
				int broken)
{
	struct node *node = data;

	caller_table_handle_undelivered(node->callers, peer, call_id, broken);
}

static void update_isolation(struct node *node)
{
	uint64_t last = membership_last_ack_ms(node->membership);
	int isolated = membership_count(node->membership) > 1 &&
		       node_now_ms(node) > last + ISOLATED_AFTER_MS;

	if (isolated != node->isolated)
		log_state(isolated ? "isolated: no peer answers" :
				     "no longer isolated: a peer answers");
	node->isolated = isolated;
}

static void update_quota(struct node *node)
{
	if (!bootstrap_awaits_peers(node->bootstrap))
		quota_task_peers_known(node->quota,
				       membership_is_synced(node->membership));
	quota_task_tick(node->quota, node->snapshot);
}

static void on_tick(uv_timer_t *timer)
{
	struct node *node = timer->data;
	uint64_t now_ms;

	if (node_detect_lost_time(node)) {
		uv_timer_start(timer, on_tick, LATE_TICK_DELAY_MS, TICK_MS);
		return;
	}
	now_ms = node_now_ms(node);
	if (membership_tick(node->membership, now_ms, &node->outbox)) {
		log_state("the process was frozen; "
			  "confirming the newest version again");
		node->counters.values[COUNTER_freezes]++;
		bootstrap_restart(node->bootstrap);
	}
	distribution_tick(node->distribution, now_ms, &node->outbox);
	bootstrap_tick(node->bootstrap);
	crash_reports_tick(node->crash_reports);
	node_rollouts_tick(node);
	node_leaving_tick(node);
	backend_server_tick(node->backend);
	caller_table_set_nodes(node->callers,
			       membership_up_count(node->membership));
	caller_table_tick(node->callers);
	node->counters.values[COUNTER_memory_closed] =
		http_server_memory_closed(node->caller_server);
	node->counters.values[COUNTER_stalled_closed] =
		http_server_stalled_closed(node->caller_server);
	if (node->quota)
		update_quota(node);
	transport_check_links(node->transport, LINK_IDLE_MS);
	update_isolation(node);
	node_update_config(node);
	if (node_is_stopping(node))
		node_advance_stop(node);
	node_keys_tick(node);
	node_log_hosts(node);
	log_flush(now_ms);
}

static void on_signal(uv_signal_t *signal, int number)
{
	(void)number;
	node_begin_stop(signal->data);
}

static void on_hangup(uv_signal_t *signal, int number)
{
	struct node *node = signal->data;
	struct node_settings settings;
	char message[SETTINGS_ERROR_BYTES];

	(void)number;
	if (!node->settings_path)
		return;
	if (node_settings_read(node->settings_path, &settings, message)) {
		log_error("cannot reload the settings; "
			  "keeping the current ones: %s",
			  message);
		return;
	}
	/* The other settings take effect only at start. */
	node->settings.drain_ms = settings.drain_ms;
	node->settings.stop_min_ms = settings.stop_min_ms;
	log_event(LOG_STATE, "reloaded", "\"drain_ms\":%u,\"stop_min_ms\":%u",
		  settings.drain_ms, settings.stop_min_ms);
}

static int handle_announcement(void *data,
			       const struct announcement *announcement)
{
	struct node *node = data;
	int error = backend_server_announce(node->backend, announcement);

	if (error)
		node_check_backend(node);
	return error;
}

static int handle_backend_leave(void *data, const char *id)
{
	struct node *node = data;

	backend_server_leave(node->backend, id);
	return FESCUE_OK;
}

static int handle_readiness(void *data)
{
	const char *reason;

	return node_is_ready(data, &reason);
}

static void create_tasks(struct node *node, uint32_t seed)
{
	const struct node_settings *s = &node->settings;
	struct backend_server_settings backend = {
		.policy = (enum admission_policy)s->admission_policy,
		.announce_delay_ms = s->announce_delay_ms,
		.link_mbit = s->capacity,
		.body_bytes_max =
			s->memory_mb * BYTES_PER_MB / BODY_MEMORY_DIVISOR,
		.end_silent_runs = (int)s->end_silent_runs,
		.await_leaving = 1,
		.changed = on_backend_changed,
		.data = node,
	};
	struct caller_settings callers = {
		.router_policy = (enum router_policy)s->router_policy,
		.cross_domain_ms_per_kb = s->cross_domain_ms_per_kb,
		.failure_domain = s->failure_domain,
		.rollouts = node_create_rollouts(node, seed + 4),
		.retry_burst = s->retry_burst,
		.hedge_percent = s->hedge_percent,
		.service = s->service,
		.seed = seed,
		.snapshot = snapshot_for_caller,
		.keys_allowed = node_keys_allowed,
		.is_stopping = is_stopping,
		.host_epoch = host_epoch,
		.data = node,
	};

	node->handlers = (struct platform_handlers){
		.announce = handle_announcement,
		.end = handle_backend_leave,
		.acknowledge = node_acknowledge,
		.is_ready = handle_readiness,
		.data = node,
	};
	node->quarantine = quarantine_create();
	node->crash_reports = crash_reports_create(
		&node->context, node->membership, node->quarantine);
	backend.quarantine = node->quarantine;
	backend.crashes = node->crash_reports;
	node->backend = backend_server_create(&node->context, &backend);
	if (s->quota.window_ms) {
		node->quota = quota_task_create(&node->context,
						node->membership, &s->quota);
		quota_task_await_peers(node->quota);
	}
	callers.quota = node->quota;
	node->callers = caller_table_create(&node->context, &callers);
}

static void on_bootstrap_changed(void *data)
{
	node_update_config(data);
}

static void on_store_version(void *data, uint64_t version)
{
	struct version_source source = { VERSION_FROM_STORE, 0 };

	node_record_version(data, version, &source);
}

static void create_bootstrap(struct node *node, uint32_t seed)
{
	const struct node_settings *s = &node->settings;
	struct bootstrap_settings settings = {
		.context = &node->context,
		.store = node->store,
		.membership = node->membership,
		.distribution = node->distribution,
		.outbox = &node->outbox,
		.interface = (enum interface_type)s->interface,
		.peer_address = node->peer_address,
		.failure_domain = s->failure_domain,
		.start_jitter_ms = s->start_jitter_ms,
		.relays_per_domain = s->distribution.relays_per_domain,
		.join_quickly = s->quota.window_ms != 0,
		.seed = seed,
		.changed = on_bootstrap_changed,
		.version_read = on_store_version,
		.data = node,
	};

	node->bootstrap = bootstrap_create(&settings);
}

static const struct snapshot *view_snapshot(void *data)
{
	return ((const struct node *)data)->snapshot;
}

static int view_is_ready(void *data, const char **reason)
{
	return node_is_ready(data, reason);
}

static int view_is_isolated(void *data)
{
	return ((const struct node *)data)->isolated;
}

static int view_keys_allowed(void *data)
{
	uint32_t retry_after_ms;

	return node_keys_allowed(data, &retry_after_ms);
}

static uint64_t view_keys_age_ms(void *data)
{
	return node_keys_age_ms(data);
}

static void create_view(struct node *node)
{
	node->view = (struct operator_view){
		.context = &node->context,
		.counters = &node->counters,
		.membership = node->membership,
		.distribution = node->distribution,
		.bootstrap = node->bootstrap,
		.callers = node->callers,
		.backend = node->backend,
		.peer_address = node->peer_address,
		.failure_domain = node->settings.failure_domain,
		.snapshot = view_snapshot,
		.is_ready = view_is_ready,
		.is_stopping = is_stopping,
		.is_isolated = view_is_isolated,
		.keys_allowed = view_keys_allowed,
		.keys_age_ms = view_keys_age_ms,
		.data = node,
	};
}

static void create_modules(struct node *node)
{
	const struct node_settings *s = &node->settings;
	uint32_t seed = (uint32_t)(uv_hrtime() ^ node->self_address ^
				   (uint64_t)getpid() << 16);
	struct host self = {
		.address = node->self_address,
		.incarnation = wall_clock_us() / 1000,
		.state = HOST_ALIVE,
		.capacity = s->capacity,
		.epoch = wall_clock_us(),
		.operator_port = (uint16_t)s->operator_port,
		.caller_port = (uint16_t)s->caller_port,
	};

	g_strlcpy(self.failure_domain, s->failure_domain,
		  sizeof(self.failure_domain));
	node->context = (struct node_context){
		.loop = node->loop,
		.counters = &node->counters,
		.headers = interface_headers(s->interface),
		.own = node->self_address,
		.epoch = self.epoch,
		.send = node_send_call,
		.send_control = node_send_quota,
		.news_age_ms = news_age_ms,
		.ask = ask_peer,
		.data = node,
	};
	node->membership = membership_create(&s->membership, &self, seed,
					     node_now_ms(node));
	node->distribution =
		distribution_create(&s->distribution, node->membership);
	create_bootstrap(node, seed + 1);
	node_create_leaving(node, seed + 3);
	create_tasks(node, seed + 2);
	create_view(node);
}

/* Listens for the platform's requests; does nothing if the port is 0. */
static int open_platform(struct node *node, struct address address,
			 struct http_server **out)
{
	if (!address.port)
		return FESCUE_OK;
	return http_server_create(node->loop, address, platform_handle_request,
				  &node->handlers, out);
}

static int open_sockets(struct node *node)
{
	const struct node_settings *s = &node->settings;
	struct transport_events events = {
		.received = node_receive_packet,
		.link_closed = on_link_closed,
		.call_undelivered = on_call_undelivered,
		.heard = on_peer_heard,
		.data = node,
	};
	struct address operator_address = { s->operator_address,
					    (uint16_t)s->operator_port };
	int error = transport_create(node->loop, node->peer_address, &events,
				     &node->counters, &node->transport);

	if (!error)
		error = http_server_create(node->loop, s->callers,
					   caller_table_handle_request,
					   node->callers, &node->caller_server);
	if (!error)
		http_server_set_connections_max(node->caller_server,
						s->caller_connections,
						HTTP_CLOSE_IDLE);
	if (!error)
		http_server_set_stall_limits(node->caller_server,
					     s->body_stall_ms,
					     s->answer_stall_ms);
	if (!error && s->memory_mb)
		http_server_set_memory(node->caller_server,
				       s->memory_mb * BYTES_PER_MB /
					       CALLER_MEMORY_DIVISOR);
	if (!error)
		error = http_server_create(node->loop, operator_address,
					   operator_request, &node->view,
					   &node->operator_server);
	if (!error)
		error = open_platform(node, s->announcements,
				      &node->announcement_server);
	if (!error)
		error = open_platform(node, s->readiness,
				      &node->readiness_server);
	return error;
}

static void start_timers(struct node *node)
{
	uv_timer_init(node->loop, &node->tick_timer);
	node->tick_timer.data = node;
	uv_timer_start(&node->tick_timer, on_tick, TICK_MS, TICK_MS);
	uv_signal_init(node->loop, &node->sigterm);
	uv_signal_init(node->loop, &node->sigint);
	node->sigterm.data = node;
	node->sigint.data = node;
	uv_signal_start(&node->sigterm, on_signal, SIGTERM);
	uv_signal_start(&node->sigint, on_signal, SIGINT);
	uv_signal_init(node->loop, &node->sighup);
	node->sighup.data = node;
	uv_signal_start(&node->sighup, on_hangup, SIGHUP);
}

static void log_started(const struct node *node)
{
	const struct node_settings *s = &node->settings;
	char callers[ADDRESS_TEXT_BYTES], store[ADDRESS_TEXT_BYTES];
	char domain[LOG_QUOTED_BYTES], service[LOG_QUOTED_BYTES];

	log_event(LOG_STATE, "started",
		  "\"version\":\"" FESCUE_VERSION
		  "\",\"failure_domain\":%s,\"service\":%s,"
		  "\"callers\":\"%s\",\"store\":\"%s\",\"epoch\":%" PRIu64,
		  log_quote(s->failure_domain, domain),
		  log_quote(s->service, service),
		  address_format(s->callers, callers),
		  address_format(s->store, store), node->context.epoch);
}

int node_create(uv_loop_t *loop, const struct node_settings *settings,
		const char *settings_path, struct event_log *events,
		struct node **out)
{
	struct node *node = g_new0(struct node, 1);
	int error;

	*out = node;
	node->loop = loop;
	node->context.loop = loop;
	node_clock_start(node);
	node->settings = *settings;
	node->settings_path = settings_path;
	node->events = events;
	node->peer_address.ip = settings->address;
	node->peer_address.port = (uint16_t)settings->peer_port;
	node->self_address = address_key(node->peer_address);
	node->logged_hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	g_queue_init(&node->outbox.queue);
	node->store =
		store_client_create(loop, settings->store, &node->counters);
	create_modules(node);
	error = open_sockets(node);
	if (error)
		return error;
	start_timers(node);
	event_log_write(events, "started", "\"pid\":%d", (int)getpid());
	log_started(node);
	return FESCUE_OK;
}

void node_destroy(struct node *node)
{
	if (!node)
		return;
	if (node->transport)
		transport_stop(node->transport);
	caller_table_destroy(node->callers);
	quota_task_destroy(node->quota);
	backend_server_destroy(node->backend);
	crash_reports_destroy(node->crash_reports);
	quarantine_destroy(node->quarantine);
	node_destroy_leaving(node);
	rollout_task_destroy(node->rollouts);
	bootstrap_destroy(node->bootstrap);
	store_client_destroy(node->store);
	distribution_destroy(node->distribution);
	membership_destroy(node->membership);
	snapshot_unref(node->snapshot);
	outbox_clear(&node->outbox);
	g_hash_table_destroy(node->logged_hosts);
	g_free(node);
}
