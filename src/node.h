/*
 * One node: the process beside a backend server. It owns the loop's tasks
 * and wires decision modules to sockets.
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
#include "node_settings.h"
#include "operator.h"
#include "platform/platform.h"
#include "platform/store_client.h"
#include "node_context.h"
#include "transport.h"

struct crash_reports;

struct node {
	uv_loop_t *loop;
	struct node_settings settings;
	struct address peer_address;
	uint64_t own; /* address_key() of peer_address */
	struct counters counters;
	struct event_log *events;
	struct outbox outbox;
	struct membership *membership;
	struct distribution *distribution;
	struct snapshot *snapshot; /* NULL until a version is in force */
	uint64_t snapshot_generation; /* of membership, when compiled */
	struct transport *transport;
	struct store_client *store;
	struct bootstrap *bootstrap; /* start-up, store watch, rendezvous */
	struct backend_server *backend; /* the own one and its calls */
	struct caller_table *callers; /* calls that entered here */
	struct quarantine *quarantine;
	struct crash_reports *crashes;
	struct node_context context;
	struct platform_handlers handlers;
	struct http_server *caller_server;
	struct operator_view view; /* what the operator port shows */
	struct http_server *operator_server;
	struct http_server *announcement_server; /* NULL: on operator_server */
	struct http_server *readiness_server; /* NULL: on operator_server */
	const char *settings_path; /* read again on SIGHUP; NULL: none */
	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	uint64_t boot_offset_ms; /* boot_clock_ms() less the loop's clock */
	uint64_t drain_since_ms; /* 0 while not stopping */
	int left_fleet; /* peers were told, the backend server drains */
	uint64_t closed_ms; /* while stopping: no new connections since; or 0 */
	uint64_t idle_since_ms; /* while stopping: nothing in flight; or 0 */
	uint64_t version_seen; /* the highest heard of, here or from a peer */
	uint64_t version_seen_ms;
	GHashTable *hosts_logged; /* address -> struct host, as last logged */
	uint64_t hosts_logged_generation;
	int cut_off; /* no peer answered for a while */
};

/* Create and start a node on the loop. Returns 0 or FESCUE_EIO. */
int node_create(uv_loop_t *loop, const struct node_settings *settings,
		const char *settings_path, struct event_log *events,
		struct node **out);

/* Free everything but the loop, which must have stopped. */
void node_destroy(struct node *node);

/*
 * Take no new calls for the backend server and report not ready, finish what
 * is in flight, then stop the loop. Callers are served until then.
 */
void node_drain(struct node *node);
int node_is_draining(const struct node *node);

/* Advance a stop that is under way. */
void node_review_stop(struct node *node);

/* Send what decision modules left in the outbox. */
void node_flush(struct node *node);

/* Carry out the distribution's actions; recompile when hosts changed. */
void node_update_config(struct node *node);

/* A version was heard of for the first time; source says from whom. */
void node_note_version(struct node *node, uint64_t version, const char *source);

/* Log what changed of other hosts since the last call. */
void node_log_hosts(struct node *node);

uint64_t node_now_ms(const struct node *node);

#endif
