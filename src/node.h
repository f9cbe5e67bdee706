/*
 * Node: the process beside a backend server. It owns the tasks that run on the
 * event loop and connects the modules that do no I/O (membership, distribution)
 * to sockets, timers and signals. All functions are called from the thread of
 * the event loop.
 */
#ifndef FESCUE_NODE_H
#define FESCUE_NODE_H

#include "counters.h"
#include "events.h"
#include "fescue/admission.h"
#include "fescue/distribution.h"
#include "fescue/membership.h"
#include "fescue/retry.h"
#include "fescue/router.h"
#include "fescue/snapshot.h"
#include "http_server.h"
#include "node_context.h"
#include "node_settings.h"
#include "operator.h"
#include "platform/platform.h"
#include "platform/store_client.h"
#include "transport.h"

struct ack_queue;
struct crash_reports;
struct health_check;
struct leaving_record;
struct quota_task;
struct rollout_task;
struct rollouts;

/* Versions whose first sighting is remembered, to log each one once. */
#define SEEN_VERSIONS 32

struct seen_version {
	uint64_t version; /* 0: unused */
	uint64_t at_ms;
};

struct node {
	uv_loop_t *loop;
	struct node_settings settings;
	struct address peer_address;
	uint64_t self_address; /* address_key() of peer_address */
	struct counters counters;
	struct event_log *events;
	struct outbox outbox;
	struct membership *membership;
	struct distribution *distribution;
	struct snapshot *snapshot; /* NULL before a version is active */
	uint64_t snapshot_generation; /* membership_generation() of snapshot */
	struct transport *transport;
	struct store_client *store;
	struct bootstrap *bootstrap; /* peer discovery, store watch, floor */
	struct backend_server *backend; /* the local one and its calls */
	struct leaving_record *leaving; /* of the backend server */
	struct ack_queue *acks; /* of announcements that are not stored yet */
	struct health_check *health_check; /* of the backend server */
	uint64_t started_ms;
	uint64_t floor_known_ms; /* since when the floor is known; or 0 */
	struct quota_task *quota; /* NULL: accounts have no quotas */
	struct caller_table *callers; /* calls received on the caller port */
	struct rollout_task *rollouts; /* NULL: there are no roll-outs */
	struct quarantine *quarantine;
	struct crash_reports *crash_reports;
	struct node_context context;
	struct platform_handlers handlers;
	struct http_server *caller_server;
	struct operator_view view; /* data source of operator_server */
	struct http_server *operator_server;
	/* NULL unless they have addresses of their own. */
	struct http_server *announcement_server;
	struct http_server *readiness_server;
	const char *settings_path; /* reread on SIGHUP; NULL: none */
	uv_timer_t tick_timer;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	uint64_t tick_ms; /* time of the last tick; 0: none */
	/* boot_clock_ms() minus uv_now(), modulo 2^64 */
	uint64_t boot_offset_ms;
	int keys_allowed; /* as last logged */
	uint64_t keys_refused_ms; /* since when; 0: they are accepted */
	uint64_t stop_started_ms; /* 0: not stopping */
	int membership_left; /* peers notified, the backend server drains */
	uint64_t listener_closed_ms; /* of the caller port; 0: open */
	uint64_t idle_since_ms; /* no calls in flight while stopping; or 0 */
	struct seen_version seen[SEEN_VERSIONS]; /* ring buffer */
	size_t seen_next;
	uint32_t logged_body_limit; /* of the rules, last compared to memory */
	GHashTable *logged_hosts; /* address -> struct host, as last logged */
	uint64_t logged_hosts_generation;
	int isolated; /* no peer has answered for a while */
};

static inline int node_is_stopping(const struct node *node)
{
	return node->stop_started_ms != 0;
}

/*
 * Create a node and start it on the loop. settings are copied; settings_path,
 * which may be NULL, and events must outlive the node. Returns 0, or FESCUE_EIO
 * if the node cannot listen on one of its addresses.
 */
int node_create(uv_loop_t *loop, const struct node_settings *settings,
		const char *settings_path, struct event_log *events,
		struct node **out);

/* Free all but the loop, which must have stopped. NULL is allowed. */
void node_destroy(struct node *node);

/*
 * Start a graceful stop: report not ready, leave the membership so that the
 * backend server gets no new calls, finish the calls in flight, then stop the
 * loop. Callers are still served for stop_min_ms. Does nothing if a stop is
 * under way.
 */
void node_begin_stop(struct node *node);

/* Run the timers of a stop that is under way; call on each tick. */
void node_advance_stop(struct node *node);

/* Create the leaving record and the queue of acknowledgements. */
void node_create_leaving(struct node *node, uint32_t seed);
void node_destroy_leaving(struct node *node);

/* Store which backend server is leaving; 0: none. */
void node_set_leaving(struct node *node, uint64_t left);

/*
 * Acknowledge a request of the backend server once the record of its leaving,
 * if any, is stored, and after LEAVING_ACK_MAX_MS at the latest.
 */
void node_acknowledge(void *data, struct http_exchange *exchange);

/*
 * Ask a backend server whose heartbeats are still to be repeated whether it is
 * in service, soon after the start of the node.
 */
void node_check_backend(struct node *node);

/* Run the timers of the leaving record; call on each tick. */
void node_leaving_tick(struct node *node);

/*
 * Create the roll-out task if the settings turn roll-outs on. Returns its host
 * side, or NULL.
 */
struct rollouts *node_create_rollouts(struct node *node, uint32_t seed);

/* The functions below do nothing, or return 1, without roll-outs. */
int node_knows_rollouts(const struct node *node);
void node_receive_rollout(struct node *node, uint64_t from,
			  const Fescue__Packet *packet);
void node_update_rollouts(struct node *node);
void node_rollouts_tick(struct node *node);

/* Send the packets that modules added to the outbox. */
void node_flush(struct node *node);

/*
 * Carry out the pending actions of the distribution, rebuild the snapshot if
 * hosts changed, and flush the outbox.
 */
void node_update_config(struct node *node);

/* Record and log when the version was first seen, and where. */
void node_record_version(struct node *node, uint64_t version,
			 const struct version_source *source);

/*
 * Log each host whose state, readiness to serve, store access or epoch changed
 * since the last call.
 */
void node_log_hosts(struct node *node);

/* Handles a packet of a peer or of this node's own tasks; data is the node. */
void node_receive_packet(void *data, uint64_t from, Fescue__Packet *packet);

/*
 * Send a packet of a task, by the purposes of calls and of quotas, to a peer or
 * to this node's own tasks. Take ownership; data is the node.
 */
void node_send_call(void *data, uint64_t to, Fescue__Packet *packet);
void node_send_quota(void *data, uint64_t to, Fescue__Packet *packet);

/* Handles a packet of membership or distribution; ignores others. */
void node_receive_control(struct node *node, uint64_t from,
			  const Fescue__Packet *packet);

/*
 * Whether keys are accepted now; if not, *retry_after_ms is the time in which
 * that is expected to change. For struct caller_settings.
 */
int node_keys_allowed(void *data, uint32_t *retry_after_ms);

/* Age of what decides on that, or KEY_AGE_UNKNOWN. */
uint64_t node_keys_age_ms(const struct node *node);

/* Log when the node starts and stops refusing keys; call on each tick. */
void node_keys_tick(struct node *node);

/* Milliseconds since an arbitrary start, including host suspensions. */
uint64_t node_now_ms(const struct node *node);

/* Start the node's clock. */
void node_clock_start(struct node *node);

/*
 * Read the node's clock now. node_now_ms() is the time at which the loop woke
 * up, without a suspension of the host since the last tick.
 */
uint64_t node_clock_read_ms(const struct node *node);

/*
 * Adds the time in which the host was suspended to the node's clock, and logs
 * that and stalls of the event loop. Call at each tick. Returns 1 if the loop
 * stood still, but for so short that peers still know this node: then input
 * that has waited is to be read before silence is concluded from the time.
 */
int node_detect_lost_time(struct node *node);

#endif
