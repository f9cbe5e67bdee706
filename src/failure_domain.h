/*
 * Ranks the live hosts of this node's failure domain. Nodes with the same
 * membership view get the same order without exchanging messages.
 */
#ifndef FESCUE_FAILURE_DOMAIN_H
#define FESCUE_FAILURE_DOMAIN_H

#include "fescue/membership.h"

#include <glib.h>

/*
 * Returns the addresses (uint64_t) of the other live hosts of the own domain,
 * by descending rendezvous weight for the purpose and salt. The caller frees
 * the array with g_array_free().
 */
GArray *failure_domain_hosts(const struct membership *membership,
			     const char *purpose, uint64_t salt);

/* Whether a host is known to be in the own domain. */
int failure_domain_contains(const struct membership *membership,
			    uint64_t address);

/* Positions of the own host among the live hosts of its domain, from 0. */
struct domain_rank {
	size_t by_capacity; /* largest first, then by rendezvous weight */
	/* The same, but hosts that cannot read the store come last. */
	size_t by_store_access;
};

struct domain_rank failure_domain_rank(const struct membership *membership,
				       const char *purpose);

/* The same among the live hosts of all domains. */
struct domain_rank fleet_rank(const struct membership *membership,
			      const char *purpose);

#endif
