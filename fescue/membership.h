/*
 * Membership: which hosts exist, by probing, suspicion and refutation.
 *
 * One host is probed each period, in large fleets mostly one of the own failure
 * domain; changes ride on probes and their acknowledgements; table digests are
 * compared and differing buckets are exchanged. Only a host itself raises its
 * incarnation. The module owns no socket and reads no clock: the caller passes
 * the time in milliseconds and sends what is left in the outbox.
 */
#ifndef FESCUE_MEMBERSHIP_H
#define FESCUE_MEMBERSHIP_H

#include "fescue/host.h"
#include "proto/fescue.pb-c.h"

#include <stddef.h>

struct membership;
struct outbox;

struct membership_settings {
	uint32_t probe_period_ms;
	uint32_t probe_timeout_ms; /* before asking others to probe */
	uint32_t indirect_probes;
	uint32_t suspicion_ms; /* suspect until declared dead */
	uint32_t updates_per_packet;
	uint32_t sync_interval_ms; /* least time between table syncs */
	uint32_t dead_retention_ms;
	uint32_t dead_probe_periods; /* probe a dead host every N periods */
};

extern const struct membership_settings membership_defaults;

/*
 * Create the table of one node. self->incarnation must exceed that of any
 * earlier run at the same address; wall-clock milliseconds do. seed drives
 * the choice of peers. Never returns NULL.
 */
struct membership *membership_create(const struct membership_settings *settings,
				     const struct host *self, uint32_t seed,
				     uint64_t now_ms);
void membership_destroy(struct membership *membership);

/*
 * Announce the own backend server, or its end with service "". left names the
 * one that is leaving, by announcement_fingerprint(); 0: none is.
 */
void membership_set_backend(struct membership *membership, const char *service,
			    uint32_t slots, int serving, uint64_t left);

/* Tell peers whether this node can read the store. */
void membership_set_store(struct membership *membership, int lost);

/* Tell peers which configuration is in force here. */
void membership_set_version(struct membership *membership, uint64_t version,
			    uint64_t hash);

/* Contact an address that may run a node, unless it is known to be up. */
void membership_join(struct membership *membership, uint64_t address,
		     struct outbox *outbox);

/* Announce the own stop to a few hosts, which pass it on. */
void membership_leave(struct membership *membership, struct outbox *outbox);

/*
 * Advance time. Returns 1 when the gap since the last call shows that the
 * process was frozen past the suspicion time: the own record is then raised
 * and every belief older than the gap is void.
 */
int membership_tick(struct membership *membership, uint64_t now_ms,
		    struct outbox *outbox);

/* Handle Ping, Ack, PingRequest, SyncRequest and SyncReply. */
void membership_receive(struct membership *membership, uint64_t from,
			const Fescue__Packet *packet, uint64_t now_ms,
			struct outbox *outbox);

/* Changes when any host's liveness, service or serving flag changes. */
uint64_t membership_generation(const struct membership *membership);

/* Changes also when a host loses or regains the store. */
uint64_t membership_role_generation(const struct membership *membership);

/* All known hosts, the own one included, dead ones too. */
size_t membership_count(const struct membership *membership);
const struct host *membership_host(const struct membership *membership,
				   size_t i);
const struct host *membership_find(const struct membership *membership,
				   uint64_t address);
const struct host *membership_self(const struct membership *membership);

/* Hosts up, the own one included. */
size_t membership_up_count(const struct membership *membership);

/* When a probe was last acknowledged; at first, the time of creation. */
uint64_t membership_last_contact_ms(const struct membership *membership);

/* Highest version any peer was seen to have in force or as its floor. */
uint64_t membership_highest_version(const struct membership *membership);

/* Has at least one whole table been received from a peer? */
int membership_is_synced(const struct membership *membership);

/* Tell peers whether this node knows its version floor, and which it is. */
void membership_set_floor(struct membership *membership, int confirmed,
			  uint64_t floor);

/*
 * Has every known host that did not leave said itself, since the own start
 * or last freeze, that it knows its floor? A dead host cannot. Whatever
 * version this node once had in force, one of them then holds it.
 */
int membership_peers_vouch(const struct membership *membership);

/* Probe up to max of the hosts that have not vouched yet. */
void membership_ask_peers(struct membership *membership, uint32_t max,
			  struct outbox *outbox);

/* Probe up to count random hosts that are up, out of turn. */
void membership_probe_some(struct membership *membership, uint32_t count,
			   struct outbox *outbox);

/* Abort when the digest or the host counts do not match the table. */
void membership_assert_valid(const struct membership *membership);

#endif
