/*
 * Roll-outs of a node: the tasks around the modules in fescue/rollout.h and
 * fescue/rollout_leader.h. Reads the orders at the start, exchanges states and
 * reports with peers, and leads all roll-outs while this node is the first live
 * host of the fleet that reaches the store.
 */
#ifndef FESCUE_ROLLOUT_TASK_H
#define FESCUE_ROLLOUT_TASK_H

#include "fescue/membership.h"
#include "fescue/rollout_leader.h"
#include "node_context.h"
#include "platform/store_client.h"

struct rollout_task;

/* Everything that is pointed to must outlive the task. */
struct rollout_task_settings {
	const struct node_context *context;
	struct store_client *store;
	const struct membership *membership;
	struct rollout_leader_settings leader;
	uint32_t start_jitter_ms; /* longest delay of the first store read */
	uint32_t seed;

	/* Returns whether this node knows its peers and the services. */
	int (*may_lead)(void *data);

	/* Returns whether the service is known. */
	int (*knows_service)(void *data, const char *service);

	/* Calls that the local backend server holds, queued or running. */
	uint32_t (*backend_in_flight)(void *data);

	/* Called when this node starts or stops to lead. */
	void (*leading)(void *data, int leading);

	/* Called after each store call of the leader with its error, or 0. */
	void (*store_result)(void *data, int error);

	void *data; /* passed to the callbacks */
};

/* settings are copied. Never returns NULL. */
struct rollout_task *
rollout_task_create(const struct rollout_task_settings *settings);

/* Cancels pending store calls. Does nothing for NULL. */
void rollout_task_destroy(struct rollout_task *task);

/* The host side, for the entry node's calls. */
struct rollouts *rollout_task_rollouts(struct rollout_task *task);

/*
 * Returns 1 once the orders and their states are known, from the store or from
 * a peer. Also after ROLLOUT_WAIT_MAX_MS in which the store failed and no peer
 * replied: a store that is down must not keep a restarted fleet down.
 */
int rollout_task_is_ready(const struct rollout_task *task);

/* Longest wait of readiness after a failed read of the store. */
#define ROLLOUT_WAIT_MAX_MS 3000

/* Takes over changes of the membership; call before they are routed by. */
void rollout_task_update(struct rollout_task *task);

/* Handles a RolloutState or RolloutReport; must not get other packets. */
void rollout_task_receive(struct rollout_task *task, uint64_t from,
			  const Fescue__Packet *packet);

/* Runs the timers; call each ROLLOUT_TICK_MS. */
void rollout_task_tick(struct rollout_task *task);

int rollout_task_is_leading(const struct rollout_task *task);

#endif
