/*
 * Graceful stop of a node. For stop_serve_ms the node reports not ready while
 * its backend server still gets calls. It then leaves the membership, drains
 * the backend server and waits until no calls are in flight. Counted from the
 * start of the stop, the wait ends after stop_min_ms at the earliest and, if
 * calls remain, when both stop_min_ms and drain_ms have passed; calls that would
 * still run by then are refused before they start. The node then
 * closes the caller port and stops the loop LAST_CONNECTIONS_MS later.
 */
#include "node.h"

#include "backend_server.h"
#include "caller.h"
#include "fescue/membership.h"
#include "log.h"
#include "quota_task.h"

/* A stopping node may exit after this long without calls in flight. */
#define DRAIN_IDLE_MS 150
/*
 * Time from closing the caller port to the exit. A caller that connected just
 * before sends its request within it.
 */
#define LAST_CONNECTIONS_MS 150

static void finish_drain(struct node *node)
{
	const struct node_settings *settings = &node->settings;
	uint64_t now_ms = node_now_ms(node);
	int idle = !caller_table_in_flight(node->callers) &&
		   !backend_server_in_flight(node->backend);

	if (!idle)
		node->idle_since_ms = 0;
	else if (!node->idle_since_ms)
		node->idle_since_ms = now_ms;
	idle = node->idle_since_ms &&
	       now_ms >= node->idle_since_ms + DRAIN_IDLE_MS;
	if (now_ms < node->stop_started_ms + settings->stop_min_ms)
		return;
	if (!idle && now_ms < node->stop_started_ms + settings->drain_ms)
		return;
	if (!node->listener_closed_ms) {
		node->listener_closed_ms = now_ms;
		http_server_stop(node->caller_server);
	}
	if (now_ms < node->listener_closed_ms + LAST_CONNECTIONS_MS)
		return;
	log_state(
		"stopping the loop with %zu calls and %u executions in flight",
		caller_table_in_flight(node->callers),
		backend_server_in_flight(node->backend));
	uv_stop(node->loop);
}

/*
 * Takes the backend server out of routing. Its queued calls are refused, so
 * that their nodes reroute them; running calls are finished.
 */
static void leave_membership(struct node *node)
{
	log_state(
		"leaving the membership; the backend server gets no new calls");
	node->membership_left = 1;
	membership_leave(node->membership, &node->outbox);
	node_flush(node);
	backend_server_drain(node->backend);
	node_update_config(node);
}

void node_advance_stop(struct node *node)
{
	caller_table_end_waits(node->callers,
			       node->stop_started_ms +
				       MAX(node->settings.stop_min_ms,
					   node->settings.drain_ms));
	if (!node->membership_left &&
	    node_now_ms(node) >=
		    node->stop_started_ms + node->settings.stop_serve_ms)
		leave_membership(node);
	if (node->membership_left)
		finish_drain(node);
}

void node_begin_stop(struct node *node)
{
	if (node_is_stopping(node))
		return;
	log_state("stop requested; reporting not ready");
	node->stop_started_ms = node_now_ms(node);
	if (node->quota)
		quota_task_stop(node->quota);
	if (!node->settings.stop_serve_ms)
		leave_membership(node);
}
