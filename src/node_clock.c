/* Time in which the host or the event loop stood still. */
#include "node.h"

#include "events.h"
#include "log.h"

#include <inttypes.h>

/* A loop that stands still for longer is logged. */
#define LOGGED_STALL_MS 400
/* A smaller offset is only the time between reading the two clocks. */
#define SUSPENSION_MIN_MS 200

/*
 * The loop's clock does not advance while the host is suspended, but the boot
 * clock does. Adds the difference to the node's clock.
 */
static void detect_suspension(struct node *node)
{
	uint64_t offset_ms = boot_clock_ms() - uv_now(node->loop);

	if (offset_ms > node->boot_offset_ms + SUSPENSION_MIN_MS) {
		log_state("the host was suspended for %" PRIu64 " ms",
			  offset_ms - node->boot_offset_ms);
		node->context.suspended_ms += offset_ms - node->boot_offset_ms;
	}
	if (offset_ms > node->boot_offset_ms)
		node->boot_offset_ms = offset_ms;
}

/* Calls, cancels and acknowledgements waited unread for the time it logs. */
static void detect_stall(struct node *node, uint64_t now_ms)
{
	uint64_t late_ms = now_ms - node->tick_ms;

	if (node->tick_ms && late_ms >= LOGGED_STALL_MS)
		log_event(LOG_STATE, "loop_stalled", "\"ms\":%" PRIu64,
			  late_ms);
	node->tick_ms = now_ms;
}

void node_detect_lost_time(struct node *node)
{
	detect_suspension(node);
	detect_stall(node, node_now_ms(node));
}
