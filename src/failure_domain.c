#include "failure_domain.h"

#include <string.h>

struct weighted_host {
	uint64_t address;
	uint32_t capacity;
	uint64_t weight;
};

/* Sorts by descending capacity and weight, then by address. */
static gint compare_hosts(gconstpointer a, gconstpointer b)
{
	const struct weighted_host *x = a, *y = b;

	if (x->capacity != y->capacity)
		return x->capacity < y->capacity ? 1 : -1;
	if (x->weight != y->weight)
		return x->weight < y->weight ? 1 : -1;
	return x->address < y->address ? -1 : x->address > y->address;
}

static int is_live_peer(const struct host *self, const struct host *host)
{
	return host != self && host_is_up(host);
}

static int is_peer_in_domain(const struct host *self, const struct host *host)
{
	return is_live_peer(self, host) &&
	       !strcmp(host->failure_domain, self->failure_domain);
}

GArray *failure_domain_hosts(const struct membership *membership,
			     const char *purpose, uint64_t salt)
{
	/* All capacities are 0 here: only the weights determine the order. */
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(struct weighted_host));
	GArray *addresses = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct host *self = membership_self(membership);

	for (size_t i = 0; i < membership_count(membership); i++) {
		const struct host *host = membership_host(membership, i);
		struct weighted_host entry = {
			host->address, 0,
			host_rendezvous_weight(host->address, purpose, salt)
		};

		if (is_peer_in_domain(self, host))
			g_array_append_val(hosts, entry);
	}
	g_array_sort(hosts, compare_hosts);
	for (guint i = 0; i < hosts->len; i++)
		g_array_append_val(
			addresses,
			g_array_index(hosts, struct weighted_host, i).address);
	g_array_free(hosts, TRUE);
	return addresses;
}

static struct domain_rank
rank_among(const struct membership *membership, const char *purpose,
	   int (*is_rival)(const struct host *self, const struct host *host))
{
	const struct host *self = membership_self(membership);
	struct weighted_host own = { self->address, self->capacity,
				     host_rendezvous_weight(self->address,
							    purpose, 0) };
	struct domain_rank rank = { 0, 0 };

	for (size_t i = 0; i < membership_count(membership); i++) {
		const struct host *host = membership_host(membership, i);
		struct weighted_host entry = {
			host->address, host->capacity,
			host_rendezvous_weight(host->address, purpose, 0)
		};
		int before;

		if (!is_rival(self, host))
			continue;
		before = compare_hosts(&entry, &own) < 0;
		rank.by_capacity += (size_t)before;
		if (host->store_lost == self->store_lost)
			rank.by_store_access += (size_t)before;
		else
			rank.by_store_access += (size_t)self->store_lost;
	}
	return rank;
}

struct domain_rank failure_domain_rank(const struct membership *membership,
				       const char *purpose)
{
	return rank_among(membership, purpose, is_peer_in_domain);
}

struct domain_rank fleet_rank(const struct membership *membership,
			      const char *purpose)
{
	return rank_among(membership, purpose, is_live_peer);
}

int failure_domain_contains(const struct membership *membership,
			    uint64_t address)
{
	const struct host *self = membership_self(membership);
	const struct host *host = membership_find(membership, address);

	return host && !strcmp(host->failure_domain, self->failure_domain);
}
