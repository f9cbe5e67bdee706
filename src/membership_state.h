/* The state behind membership. */
#ifndef FESCUE_MEMBERSHIP_STATE_H
#define FESCUE_MEMBERSHIP_STATE_H

#include "fescue/membership.h"
#include "member_table.h"

#define RELAYED_PROBES_MAX 32

/* A probe sent on behalf of another host. */
struct relayed_probe {
	uint32_t own_sequence;
	uint32_t their_sequence;
	uint64_t requester;
};

enum probe_phase { PROBE_IDLE, PROBE_DIRECT, PROBE_INDIRECT };

struct membership {
	struct membership_settings settings;
	GRand *random;
	struct member_table table;
	uint64_t hash; /* of the configuration in force */
	int confirmed;
	uint64_t floor; /* of the own node, while confirmed */
	uint64_t last_tick_ms;
	uint64_t last_contact_ms;
	uint64_t highest_version;
	uint64_t created_ms;
	uint64_t last_sync_ms;
	uint64_t last_cross_sync_ms; /* with another domain; 0: never */
	int synced;
	uint32_t sequence;
	uint32_t periods;
	enum probe_phase phase;
	uint64_t probe_target;
	uint32_t probe_sequence;
	uint64_t probe_started_ms;
	uint64_t next_period_ms;
	struct relayed_probe relayed[RELAYED_PROBES_MAX];
	size_t relayed_next;
};

#endif
