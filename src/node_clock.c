/* Time in which the host or the event loop stood still. */
#include "node.h"

#include "events.h"
#include "log.h"

#include <inttypes.h>

/* A loop that stands still for longer is logged. */
#define LOGGED_STALL_MS 400
/* A tick that comes later after the one before is a late one. */
#define LATE_TICK_MS 150
/* Shorter suspensions are not logged. */
#define SUSPENSION_MIN_MS 200

/*
 * The boot clock is read first: if the process is suspended between the two,
 * the offset is too small, and the node's clock does not run ahead. Peers rely
 * on it to be steady.
 */
static uint64_t read_boot_offset_ms(struct node *node)
{
	uint64_t boot_ms = boot_clock_ms();

	uv_update_time(node->loop);
	return boot_ms - uv_now(node->loop);
}

uint64_t node_now_ms(const struct node *node)
{
	return node_context_now_ms(&node->context);
}

void node_clock_start(struct node *node)
{
	node->boot_offset_ms = read_boot_offset_ms(node);
}

uint64_t node_clock_read_ms(const struct node *node)
{
	return boot_clock_ms() -
	       (node->boot_offset_ms - node->context.suspended_ms);
}

/*
 * The loop's clock does not advance while the host is suspended, but the boot
 * clock does. Adds the difference to the node's clock.
 */
static void detect_suspension(struct node *node)
{
	uint64_t offset_ms = read_boot_offset_ms(node);
	int64_t lost_ms = (int64_t)(offset_ms - node->boot_offset_ms);

	if (lost_ms <= 0)
		return;
	if (lost_ms > SUSPENSION_MIN_MS)
		log_state("the host was suspended for %" PRId64 " ms", lost_ms);
	node->context.suspended_ms += (uint64_t)lost_ms;
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
