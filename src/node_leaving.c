/*
 * Keeps track of which backend server of this host is leaving, over restarts of
 * the node: its leaving is stored before it is acknowledged, and a node that
 * starts announces no backend server before it has read the record.
 */
#include "node.h"

#include "ack_queue.h"
#include "backend_server.h"
#include "bootstrap.h"
#include "leaving_record.h"
#include "log.h"

#include <inttypes.h>

/* An acknowledgement must arrive within a second. */
#define LEAVING_ACK_MAX_MS 500
/*
 * A node that cannot read the record while its peers know the newest version
 * announces its backend server after this: peers that ran all the while have
 * passed the record on by then.
 */
#define LEAVING_WAIT_MAX_MS 2000

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
}

void node_destroy_leaving(struct node *node)
{
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

void node_leaving_tick(struct node *node)
{
	uint64_t now_ms = node_now_ms(node);

	leaving_record_tick(node->leaving);
	ack_queue_expire(node->acks, now_ms);
	if (!bootstrap_floor(node->bootstrap)->confirmed)
		return;
	if (!node->floor_known_ms)
		node->floor_known_ms = now_ms;
	if (now_ms >= node->floor_known_ms + LEAVING_WAIT_MAX_MS)
		backend_server_set_leaving_known(node->backend);
}
