/* Connects the roll-out task to the node. */
#include "node.h"

#include "backend_server.h"
#include "bootstrap.h"
#include "rollout_task.h"

#include <string.h>

/* Without a configuration, the services are not known. */
static int may_lead(void *data)
{
	const struct node *node = data;

	return node->snapshot && !node_is_stopping(node) &&
	       bootstrap_floor(node->bootstrap)->confirmed;
}

static int knows_service(void *data, const char *service)
{
	const struct node *node = data;
	const struct membership *membership = node->membership;

	if (node->snapshot && snapshot_find_service(node->snapshot, service))
		return 1;
	for (size_t i = 0; i < membership_count(membership); i++)
		if (!strcmp(membership_host(membership, i)->service, service))
			return 1;
	return 0;
}

static uint32_t backend_in_flight(void *data)
{
	const struct node *node = data;

	return backend_server_in_flight(node->backend);
}

static void on_leading(void *data, int leading)
{
	const struct node *node = data;

	bootstrap_set_leading(node->bootstrap, leading);
}

static void on_store_result(void *data, int error)
{
	const struct node *node = data;

	bootstrap_record_store_result(node->bootstrap, error);
}

struct rollouts *node_create_rollouts(struct node *node, uint32_t seed)
{
	const struct node_settings *s = &node->settings;
	struct rollout_task_settings settings = {
		.context = &node->context,
		.store = node->store,
		.membership = node->membership,
		.leader = rollout_leader_defaults,
		.start_jitter_ms = s->start_jitter_ms,
		.seed = seed,
		.may_lead = may_lead,
		.knows_service = knows_service,
		.backend_in_flight = backend_in_flight,
		.leading = on_leading,
		.store_result = on_store_result,
		.data = node,
	};

	if (s->rollout_exposure <= 0)
		return NULL;
	settings.leader.exposure = s->rollout_exposure;
	settings.leader.exposure_slack = s->rollout_exposure_slack;
	settings.leader.rollback_ms = s->rollback_ms;
	node->rollouts = rollout_task_create(&settings);
	return rollout_task_rollouts(node->rollouts);
}

int node_knows_rollouts(const struct node *node)
{
	return !node->rollouts || rollout_task_is_ready(node->rollouts);
}

void node_receive_rollout(struct node *node, uint64_t from,
			  const Fescue__Packet *packet)
{
	if (node->rollouts)
		rollout_task_receive(node->rollouts, from, packet);
}

void node_update_rollouts(struct node *node)
{
	if (node->rollouts)
		rollout_task_update(node->rollouts);
}

void node_rollouts_tick(struct node *node)
{
	if (node->rollouts)
		rollout_task_tick(node->rollouts);
}
