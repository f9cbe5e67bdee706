#include "fescue/host.h"

#include <string.h>
#include <xxhash.h>

uint64_t host_rendezvous_weight(uint64_t address, const char *purpose,
				uint64_t salt)
{
	uint64_t key[2] = { address, salt };
	uint64_t seed = XXH64(purpose, strlen(purpose), 0);

	return XXH64(key, sizeof(key), seed);
}

int host_routing_differs(const struct host *a, const struct host *b)
{
	return host_is_up(a) != host_is_up(b) || a->serving != b->serving ||
	       a->slots != b->slots || strcmp(a->service, b->service) != 0 ||
	       strcmp(a->failure_domain, b->failure_domain) != 0 ||
	       strcmp(a->backend_version, b->backend_version) != 0;
}

const char *host_state_name(enum host_state state)
{
	switch (state) {
	case HOST_ALIVE:
		return "alive";
	case HOST_SUSPECT:
		return "suspect";
	case HOST_DEAD:
		return "dead";
	case HOST_LEFT:
		return "left";
	}
	return "unknown";
}
