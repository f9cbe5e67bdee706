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
#include "store_client.h"
#include "transport.h"

struct bootstrap;
struct backend_server;
struct caller_table;
struct claim_task;
struct crash_reports;
struct keyed_calls;
struct operator_page;

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
	struct claim_task *claims;
	struct keyed_calls *keyed; /* calls here that run at most once */
	struct http_server *caller_server;
	struct http_server *operator_server;
	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t drain_deadline_ms; /* 0 while not stopping */
	int cut_off; /* no peer answered for a while */
};

/* Create and start a node on the loop. Returns 0 or FESCUE_EIO. */
int node_create(uv_loop_t *loop, const struct node_settings *settings,
		struct event_log *events, struct node **out);

/* Free everything but the loop, which must have stopped. */
void node_destroy(struct node *node);

/* Refuse new work, finish what is in flight, then stop the loop. */
void node_drain(struct node *node);
int node_is_draining(const struct node *node);

/* May this node serve callers, and if not, why (a static text)? */
int node_is_ready(const struct node *node, const char **why);

/* Send what decision modules left in the outbox. */
void node_flush(struct node *node);

/* Carry out the distribution's actions; recompile when hosts changed. */
void node_update_config(struct node *node);

uint64_t node_now_ms(const struct node *node);

#endif
