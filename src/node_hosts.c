/* Logs changes in the state of hosts, as gossip reports them. */
#include "node.h"

#include "log.h"

#include <inttypes.h>

static int is_unchanged(const struct host *logged, const struct host *host)
{
	return logged && logged->state == host->state &&
	       logged->serving == host->serving &&
	       logged->store_lost == host->store_lost &&
	       logged->epoch == host->epoch;
}

static void log_host(const struct host *logged, const struct host *host)
{
	char address[ADDRESS_TEXT_BYTES], service[LOG_QUOTED_BYTES];

	address_format(address_from_key(host->address), address);
	log_event(LOG_STATE, "host",
		  "\"peer\":\"%s\",\"was\":\"%s\",\"is\":\"%s\","
		  "\"service\":%s,\"serving\":%d,\"slots\":%u,"
		  "\"store_lost\":%d,\"incarnation\":%" PRIu64
		  ",\"epoch\":%" PRIu64,
		  address, logged ? host_state_name(logged->state) : "unknown",
		  host_state_name(host->state),
		  log_quote(host->service, service), host->serving, host->slots,
		  host->store_lost, host->incarnation, host->epoch);
}

void node_log_hosts(struct node *node)
{
	uint64_t generation = membership_relay_generation(node->membership);

	if (generation == node->logged_hosts_generation)
		return;
	node->logged_hosts_generation = generation;
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct host *host = membership_host(node->membership, i);
		struct host *logged =
			g_hash_table_lookup(node->logged_hosts, &host->address);

		if (is_unchanged(logged, host))
			continue;
		log_host(logged, host);
		if (!logged) {
			logged = g_memdup2(host, sizeof(*host));
			g_hash_table_insert(node->logged_hosts,
					    &logged->address, logged);
		}
		*logged = *host;
	}
}
