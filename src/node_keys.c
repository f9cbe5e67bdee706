/* Whether the node accepts the keys of client accounts. */
#include "node.h"

#include "bootstrap.h"
#include "log.h"

#include <inttypes.h>

/*
 * Reports of the store's answers come about once a second; while there is no
 * path to the store for longer, callers are told to wait longer.
 */
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 2000
#define RETRY_DIVISOR 4 /* of the time for which keys have been refused */

int node_keys_allowed(void *data, uint32_t *retry_after_ms)
{
	const struct node *node = data;
	uint64_t now_ms = node_clock_read_ms(node), refused_ms = 0;

	if (key_freshness_allows(distribution_keys(node->distribution), now_ms))
		return 1;
	if (node->keys_refused_ms)
		refused_ms = now_ms - MIN(now_ms, node->keys_refused_ms);
	*retry_after_ms = (uint32_t)CLAMP(refused_ms / RETRY_DIVISOR,
					  RETRY_MIN_MS, RETRY_MAX_MS);
	return 0;
}

uint64_t node_keys_age_ms(const struct node *node)
{
	return key_freshness_age_ms(distribution_keys(node->distribution),
				    node_clock_read_ms(node));
}

void node_keys_tick(struct node *node)
{
	uint32_t retry_after_ms;
	int allowed = node_keys_allowed(node, &retry_after_ms);
	uint64_t age_ms = node_keys_age_ms(node);
	char age[24] = "null";

	if (allowed)
		node->keys_refused_ms = 0;
	else if (!node->keys_refused_ms)
		node->keys_refused_ms = node_now_ms(node);
	if (!node->settings.distribution.key_freshness_ms ||
	    allowed == node->keys_allowed)
		return;
	node->keys_allowed = allowed;
	if (age_ms != KEY_AGE_UNKNOWN)
		g_snprintf(age, sizeof(age), "%" PRIu64, age_ms);
	log_event(LOG_STATE, allowed ? "keys_accepted" : "keys_refused",
		  "\"age_ms\":%s,\"version\":%" PRIu64 ",\"store_up\":%d", age,
		  distribution_version(node->distribution),
		  bootstrap_store_is_up(node->bootstrap));
}
