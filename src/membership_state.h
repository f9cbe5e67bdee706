/* Internal state of a membership, for the files that implement it. */
#ifndef FESCUE_MEMBERSHIP_STATE_H
#define FESCUE_MEMBERSHIP_STATE_H

#include "fescue/membership.h"
#include "member_table.h"

#define PROXIED_PROBES_MAX 32

/* An indirect probe that this node sends at the request of another host. */
struct proxied_probe {
	uint32_t proxy_sequence; /* of the own ping to the target */
	uint32_t reply_sequence; /* of the ack to the requester */
	uint64_t requester; /* 0: free entry */
};

/* How the current probe target was probed so far; idle once it answered. */
enum probe_phase { PROBE_IDLE, PROBE_DIRECT, PROBE_INDIRECT };

struct membership {
	struct membership_settings settings;
	GRand *random;
	struct member_table table;
	uint64_t hash; /* of the active configuration */
	int floor_confirmed;
	uint64_t floor; /* of the own node; 0 while unconfirmed */
	uint64_t last_tick_ms;
	uint64_t last_ack_ms;
	uint64_t highest_version;
	uint64_t created_ms;
	uint64_t last_sync_ms;
	uint64_t last_cross_sync_ms; /* with another domain; 0: never */
	int synced; /* a whole table was received since start or freeze */
	uint32_t sequence; /* of the last ping sent */
	uint32_t periods; /* probe periods started */
	enum probe_phase phase;
	uint64_t probe_target;
	uint32_t probe_sequence;
	uint64_t probe_started_ms;
	uint64_t next_period_ms;
	struct proxied_probe proxied[PROXIED_PROBES_MAX]; /* ring buffer */
	size_t proxied_next;
};

#endif
