/*
 * A failure domain as one of its hosts sees it: the live hosts in it, in an
 * order that all hosts with the same view agree on.
 */
#ifndef FESCUE_FAILURE_DOMAIN_H
#define FESCUE_FAILURE_DOMAIN_H

#include "fescue/membership.h"

#include <glib.h>

/*
 * Addresses (uint64_t) of the other live hosts of the own domain, heaviest
 * first by rendezvous hashing with the purpose and salt. Free with
 * g_array_free().
 */
GArray *failure_domain_hosts(const struct membership *membership,
			     const char *purpose, uint64_t salt);

/* Position of the own host among the domain's live hosts, from 0. */
struct domain_rank {
	size_t by_capacity;
	size_t by_store_access; /* hosts that cannot read the store come last */
};

struct domain_rank failure_domain_rank(const struct membership *membership,
				       const char *purpose);

#endif
