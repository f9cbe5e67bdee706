/*
 * Keeps track of which backend server of this host is leaving, over restarts of
 * the node: its leaving is stored before it is acknowledged, and a node that
 * starts announces no backend server before it has read the record.
 */
#include "node.h"

#include "ack_queue.h"
#include "backend_server.h"
#include "bootstrap.h"
#include "health_check.h"
#include "leaving_record.h"
#include "log.h"

#include <inttypes.h>

/* An acknowledgement must arrive within a second. */
#define LEAVING_ACK_MAX_MS 500
/*
 * A node that cannot read the record, and has no peer that ran before it, waits
 * for so long after it has learned the newest version.
 */
#define LEAVING_WAIT_MAX_MS 2000
/* From the start of the node; later, repeated heartbeats are waited for. */
#define HEALTH_CHECKS_FOR_MS 5000
/* From the start of the node; beyond the delay of any late heartbeat. */
#define REPEATS_FOR_MS 30000
/* Beyond the differences between the wall clocks of hosts. */
#define EARLIER_START_MIN_US ((uint64_t)10 * 1000000)

static void on_loaded(void *data, uint64_t left)
{
	struct node *node = data;

	if (left)
		log_event(LOG_STATE, "leaving_record_loaded",
			  "\"left\":\"%016" PRIx64 "\"", left);
	backend_server_restore_leaving(node->backend, LEAVING_FROM_STORE, left);
	backend_server_set_leaving_known(node->backend);
}

static void on_saved(void *data)
{
	struct node *node = data;

	ack_queue_release(node->acks);
}

static void on_healthy(void *data, uint64_t fingerprint)
{
	const struct node *node = data;

	backend_server_confirm(node->backend, fingerprint);
}

void node_create_leaving(struct node *node, uint32_t seed)
{
	struct leaving_record_settings settings = {
		.context = &node->context,
		.store = node->store,
		.peer_address = node->peer_address,
		.start_jitter_ms = node->settings.start_jitter_ms,
		.seed = seed,
		.loaded = on_loaded,
		.saved = on_saved,
		.data = node,
	};

	node->leaving = leaving_record_create(&settings);
	node->acks = ack_queue_create(platform_acknowledge);
	node->health_check =
		health_check_create(&node->context, on_healthy, node);
	node->started_ms = node_now_ms(node);
}

void node_destroy_leaving(struct node *node)
{
	health_check_destroy(node->health_check);
	ack_queue_destroy(node->acks);
	leaving_record_destroy(node->leaving);
}

void node_set_leaving(struct node *node, uint64_t left)
{
	if (left)
		leaving_record_set(node->leaving, left);
}

void node_acknowledge(void *data, struct http_exchange *exchange)
{
	struct node *node = data;

	if (leaving_record_is_saved(node->leaving))
		platform_acknowledge(exchange);
	else
		ack_queue_add(node->acks, exchange,
			      node_now_ms(node) + LEAVING_ACK_MAX_MS);
}

/*
 * Returns whether the table came from peers one of which ran before this node
 * started. Such peers remember which backend server left.
 */
static int peers_remember(const struct node *node)
{
	const struct membership *membership = node->membership;
	uint64_t own = membership_self(membership)->epoch;

	if (!membership_is_synced(membership))
		return 0;
	for (size_t i = 0; i < membership_count(membership); i++) {
		const struct host *host = membership_host(membership, i);

		if (host_is_up(host) && host->epoch &&
		    host->epoch + EARLIER_START_MIN_US < own)
			return 1;
	}
	return 0;
}

void node_check_backend(struct node *node)
{
	const struct announcement *announcement =
		backend_server_unconfirmed(node->backend);
	const struct service_rule *rule = NULL;

	if (announcement && node->snapshot &&
	    node_now_ms(node) < node->started_ms + HEALTH_CHECKS_FOR_MS)
		rule = snapshot_find_service_rule(node->snapshot,
						  announcement->service);
	if (rule)
		health_check_start(node->health_check, announcement,
				   rule->health);
}

static void waive_repeats(struct node *node)
{
	int remember = peers_remember(node);

	if (remember)
		backend_server_set_leaving_known(node->backend);
	if (remember || node_now_ms(node) >= node->started_ms + REPEATS_FOR_MS)
		backend_server_waive_repeats(node->backend);
}

void node_leaving_tick(struct node *node)
{
	uint64_t now_ms = node_now_ms(node);

	leaving_record_tick(node->leaving);
	ack_queue_expire(node->acks, now_ms);
	node_check_backend(node);
	if (backend_server_wants_repeats(node->backend))
		waive_repeats(node);
	if (!backend_server_awaits_leaving(node->backend))
		return;
	if (!bootstrap_floor(node->bootstrap)->confirmed)
		return;
	if (!node->floor_known_ms)
		node->floor_known_ms = now_ms;
	if (now_ms >= node->floor_known_ms + LEAVING_WAIT_MAX_MS)
		backend_server_set_leaving_known(node->backend);
}
