/* What a node logs of other hosts: who is suspected, lost, back, or serving. */
#include "node.h"

#include "log.h"

#include <inttypes.h>

static int is_logged(const struct host *before, const struct host *now)
{
	return before && before->state == now->state &&
	       before->serving == now->serving &&
	       before->store_lost == now->store_lost &&
	       before->epoch == now->epoch;
}

static void log_host(const struct host *before, const struct host *host)
{
	char address[ADDRESS_TEXT_BYTES], service[LOG_QUOTED_BYTES];

	address_format(address_from_key(host->address), address);
	log_event(LOG_STATE, "host",
		  "\"peer\":\"%s\",\"was\":\"%s\",\"is\":\"%s\","
		  "\"service\":%s,\"serving\":%d,\"slots\":%u,"
		  "\"store_lost\":%d,\"incarnation\":%" PRIu64
		  ",\"epoch\":%" PRIu64,
		  address, before ? host_state_name(before->state) : "unknown",
		  host_state_name(host->state),
		  log_quote(host->service, service), host->serving, host->slots,
		  host->store_lost, host->incarnation, host->epoch);
}

void node_log_hosts(struct node *node)
{
	uint64_t generation = membership_relay_generation(node->membership);

	if (generation == node->hosts_logged_generation)
		return;
	node->hosts_logged_generation = generation;
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct host *host = membership_host(node->membership, i);
		struct host *before =
			g_hash_table_lookup(node->hosts_logged, &host->address);

		if (is_logged(before, host))
			continue;
		log_host(before, host);
		if (!before) {
			before = g_memdup2(host, sizeof(*host));
			g_hash_table_insert(node->hosts_logged,
					    &before->address, before);
		}
		*before = *host;
	}
}
