/*
 * Immutable snapshot of the active configuration: the rules of one version
 * joined with the hosts known to serve each service.
 *
 * A route is effective while at least one of its services has a host. Other
 * routes are withdrawn: lookups still match them, but return no handle.
 *
 * A handle is an index into a table of the snapshot that returned it and must
 * not be used with another snapshot.
 */
#ifndef FESCUE_SNAPSHOT_H
#define FESCUE_SNAPSHOT_H

#include "fescue/address.h"
#include "fescue/rules.h"

struct snapshot;

/* A host and the service that its backend server provides. */
struct snapshot_host {
	uint64_t host; /* address_key() of the peer address */
	const char *service;
	const char *failure_domain;
	uint32_t slots; /* calls that the host runs at a time */
	/* rollout_version_hash() of its backend server; 0: not known */
	uint32_t version_hash;
};

/* Index of an effective route. */
struct route_handle {
	uint32_t index;
};

/* Index of a service that has at least one host. */
struct service_handle {
	uint32_t index;
};

enum route_lookup {
	ROUTE_FOUND,
	ROUTE_WITHDRAWN, /* no service of the matching rule has a host */
	ROUTE_UNKNOWN, /* no rule matches */
};

/*
 * Parse text and build a snapshot of the given version. Copies text and hosts.
 * On success returns 0 and stores in *out a snapshot with one reference.
 * Otherwise returns the error of rules_parse(), sets *out to NULL and fills in
 * diagnostics and *count as rules_parse() does.
 */
int snapshot_create(uint64_t version, const char *text, size_t size,
		    const struct snapshot_host *hosts, size_t host_count,
		    struct snapshot **out, struct diagnostic *diagnostics,
		    size_t max, size_t *count);

/*
 * Build a snapshot with one reference from rules already parsed from text.
 * Takes ownership of rules; copies text and hosts.
 */
struct snapshot *snapshot_create_parsed(uint64_t version, const char *text,
					size_t size, struct rules *rules,
					const struct snapshot_host *hosts,
					size_t host_count);

/*
 * Build a snapshot of the same version and rules with other hosts. The result
 * has one reference; the given snapshot is unchanged.
 */
struct snapshot *snapshot_with_hosts(struct snapshot *snapshot,
				     const struct snapshot_host *hosts,
				     size_t host_count);

/* Add a reference. The count is not atomic: use a snapshot on one thread. */
struct snapshot *snapshot_ref(struct snapshot *snapshot);

/* Drop a reference; the last one frees the snapshot. NULL is allowed. */
void snapshot_unref(struct snapshot *snapshot);

uint64_t snapshot_version(const struct snapshot *snapshot);

/* Text of the rules file, valid while the snapshot is referenced. */
const char *snapshot_text(const struct snapshot *snapshot, size_t *size);

/* config_hash() of the text. */
uint64_t snapshot_hash(const struct snapshot *snapshot);

/*
 * Find the most specific rule that matches a call. A port after the host is
 * ignored, and so is the host's case. *rule is set to the matching rule, or to
 * NULL on ROUTE_UNKNOWN. *out is valid only on ROUTE_FOUND. The strings need
 * not end in NUL.
 */
enum route_lookup snapshot_find_route(const struct snapshot *snapshot,
				      const char *method, size_t method_len,
				      const char *host, size_t host_len,
				      const char *path, size_t path_len,
				      struct route_handle *out,
				      const struct route_rule **rule);

const struct route_rule *snapshot_route(const struct snapshot *snapshot,
					struct route_handle route);

/*
 * Get the service of a route's target; target is below the rule's
 * target_count. Returns 0, or FESCUE_ENOTFOUND if the service has no host.
 */
int snapshot_route_service(const struct snapshot *snapshot,
			   struct route_handle route, uint32_t target,
			   struct service_handle *service);

/* Returns 1 if callers need the key of an account on routes not public. */
int snapshot_has_accounts(const struct snapshot *snapshot);

/* Client accounts, in the order of the file. */
size_t snapshot_account_count(const struct snapshot *snapshot);
const struct account_rule *snapshot_account(const struct snapshot *snapshot,
					    size_t i);

/*
 * Returns the account that holds the key, or NULL. It stays valid while the
 * snapshot is referenced.
 */
const struct account_rule *
snapshot_find_account(const struct snapshot *snapshot, const char *key,
		      size_t key_len);

const struct limits_rule *snapshot_limits(const struct snapshot *snapshot);
const struct service_rule *snapshot_service(const struct snapshot *snapshot,
					    struct service_handle service);

/* The rule of the named service, or NULL if the service has no host. */
const struct service_rule *
snapshot_find_service(const struct snapshot *snapshot, const char *name);

/* The same for any service of the rules, also one that no host has. */
const struct service_rule *
snapshot_find_service_rule(const struct snapshot *snapshot, const char *name);

size_t snapshot_service_host_count(const struct snapshot *snapshot,
				   struct service_handle service);
const struct snapshot_host *
snapshot_service_host(const struct snapshot *snapshot,
		      struct service_handle service, size_t i);

/* Version hash of a host of the service; 0 if it is not known. */
uint32_t snapshot_host_version(const struct snapshot *snapshot,
			       struct service_handle service, uint64_t host);
size_t snapshot_effective_route_count(const struct snapshot *snapshot);
size_t snapshot_withdrawn_route_count(const struct snapshot *snapshot);

/* Abort if an index in the snapshot's tables is inconsistent. */
void snapshot_assert_valid(const struct snapshot *snapshot);

/* Hash that nodes use to compare configuration texts. */
uint64_t config_hash(const char *text, size_t size);

#endif
