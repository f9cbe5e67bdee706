/*
 * A host: one instance, its node and what is known of its backend server.
 */
#ifndef FESCUE_HOST_H
#define FESCUE_HOST_H

#include <stdint.h>

#define HOST_NAME_BYTES 64

enum host_state {
	HOST_ALIVE,
	HOST_SUSPECT, /* missed probes; refutes or is declared dead */
	HOST_DEAD,
	HOST_LEFT, /* announced its own stop */
};

struct host {
	uint64_t address; /* address_key() of the peer address */
	uint64_t incarnation; /* raised by the host itself only */
	enum host_state state;
	char failure_domain[HOST_NAME_BYTES];
	char service[HOST_NAME_BYTES]; /* empty: no backend server */
	uint32_t slots;
	int serving; /* its backend server takes new calls */
	uint64_t epoch; /* differs for each start of its node; 0: not told */
	int store_lost; /* it cannot read the store now */
	uint64_t left; /* fingerprint of the backend server that left; or 0 */
	uint32_t capacity; /* of its link in Mbit/s; 0: not told */
	uint16_t operator_port;
	uint16_t caller_port;
	uint64_t version; /* last configuration version seen in force */
};

/* Is the host taken to run? Suspects are. */
static inline int host_is_up(const struct host *host)
{
	return host->state == HOST_ALIVE || host->state == HOST_SUSPECT;
}

/* May new calls be sent to the host's backend server? */
static inline int host_is_serving(const struct host *host)
{
	return host_is_up(host) && host->serving && host->service[0];
}

/* Do two records of a host differ in what routing depends on? */
int host_routing_differs(const struct host *a, const struct host *b);

/* Weight for rendezvous hashing: highest weights win. */
uint64_t host_rendezvous_weight(uint64_t host, const char *purpose,
				uint64_t salt);

const char *host_state_name(enum host_state state);

#endif
