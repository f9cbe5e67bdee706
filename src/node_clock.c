/* Time in which the host or the event loop stood still. */
#include "node.h"

#include "events.h"
#include "log.h"

#include <inttypes.h>

/* A loop that stands still for longer is logged. */
#define LOGGED_STALL_MS 400
/* A tick that comes later after the one before is a late one. */
#define LATE_TICK_MS 150
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

int node_detect_lost_time(struct node *node)
{
	uint64_t now_ms, gap_ms;

	detect_suspension(node);
	now_ms = node_now_ms(node);
	gap_ms = node->tick_ms ? now_ms - node->tick_ms : 0;
	node->tick_ms = now_ms;
	/* Calls, cancels and acknowledgements waited unread for this time. */
	if (gap_ms >= LOGGED_STALL_MS)
		log_event(LOG_STATE, "loop_stalled", "\"ms\":%" PRIu64, gap_ms);
	return gap_ms > LATE_TICK_MS &&
	       gap_ms <= node->settings.membership.suspicion_ms;
}
