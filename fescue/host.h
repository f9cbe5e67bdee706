/*
 * Host: a membership record of one instance, that is a node and the state of
 * its backend server.
 */
#ifndef FESCUE_HOST_H
#define FESCUE_HOST_H

#include <stdint.h>

#define HOST_NAME_BYTES 64 /* including the terminating null byte */
/*
 * Of a backend server's version. Longer than the hash of a commit with a
 * prefix; member records carry it, so it is bounded.
 */
#define HOST_VERSION_BYTES 64

enum host_state {
	HOST_ALIVE,
	HOST_SUSPECT, /* missed probes; dead unless it refutes in time */
	HOST_DEAD,
	HOST_LEFT, /* announced that it stops */
};

struct host {
	uint64_t address; /* address_key() of the peer address */
	uint64_t incarnation; /* increased only by the host itself */
	enum host_state state;
	char failure_domain[HOST_NAME_BYTES];
	char service[HOST_NAME_BYTES]; /* empty: no backend server */
	/* Of its backend server; empty: not known, or roll-outs are off. */
	char backend_version[HOST_VERSION_BYTES];
	uint32_t slots;
	int serving; /* its backend server takes new calls */
	uint64_t epoch; /* differs for each start of its node; 0: not known */
	int store_lost; /* its node cannot read the store */
	/* Fingerprint of the backend server that announced leaving; 0: none. */
	uint64_t left;
	uint32_t capacity; /* of its network link in Mbit/s; 0: not known */
	uint16_t operator_port;
	uint16_t caller_port;
	uint64_t version; /* highest configuration version seen active there */
};

/* Whether the host counts as running. Suspect hosts do. */
static inline int host_is_up(const struct host *host)
{
	return host->state == HOST_ALIVE || host->state == HOST_SUSPECT;
}

/* Whether the host's backend server may get new calls. */
static inline int host_is_serving(const struct host *host)
{
	return host_is_up(host) && host->serving && host->service[0];
}

/* Whether two records of a host differ in a field that routing depends on. */
int host_routing_differs(const struct host *a, const struct host *b);

/*
 * Returns the weight of a host, given by its address key, for rendezvous
 * hashing: the highest weight ranks first. Each purpose and salt gives another
 * order of the hosts.
 */
uint64_t host_rendezvous_weight(uint64_t address, const char *purpose,
				uint64_t salt);

/* Returns a static string. */
const char *host_state_name(enum host_state state);

#endif
