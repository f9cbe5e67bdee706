/*
 * Gossip membership: which hosts are in the fleet and which of them are up.
 *
 * SWIM-style failure detection. Each probe period one host is probed, in large
 * fleets mostly one of the own failure domain. A host that does not answer
 * directly or through other hosts becomes suspect, and dead unless it refutes
 * the suspicion in time. Record changes are piggybacked on probes and their
 * acknowledgements; nodes also compare digests of their tables and exchange the
 * buckets that differ. Only a host itself raises its incarnation.
 *
 * The module owns no socket and reads no clock: the caller passes the time in
 * milliseconds of a monotonic clock and sends the packets added to the outbox.
 */
#ifndef FESCUE_MEMBERSHIP_H
#define FESCUE_MEMBERSHIP_H

#include "fescue/host.h"
#include "proto/fescue.pb-c.h"

#include <stddef.h>

struct membership;
struct outbox;

struct membership_settings {
	uint32_t probe_period_ms; /* between probes */
	uint32_t probe_timeout_ms; /* until indirect probes are sent */
	uint32_t indirect_probes; /* hosts that are requested to probe */
	uint32_t suspicion_ms; /* from suspect to dead */
	uint32_t updates_per_packet; /* most records in a probe or its ack */
	uint32_t sync_interval_ms; /* shortest time between table syncs */
	uint32_t dead_retention_ms; /* until a dead or left host is removed */
	uint32_t dead_probe_periods; /* between probes of hosts not alive */
};

extern const struct membership_settings membership_defaults;

/*
 * Create a table that holds only the own host; settings and self are copied.
 * self->incarnation must exceed that of any earlier run at the same address;
 * wall-clock milliseconds do. seed drives the choice of peers. Never returns
 * NULL.
 */
struct membership *membership_create(const struct membership_settings *settings,
				     const struct host *self, uint32_t seed,
				     uint64_t now_ms);

/* Does nothing for NULL. */
void membership_destroy(struct membership *membership);

/*
 * Announce the own backend server, or with service "" that there is none.
 * left is the announcement_fingerprint() of a backend server that is leaving;
 * 0 keeps the one announced before.
 */
void membership_set_backend(struct membership *membership, const char *service,
			    uint32_t slots, int serving, uint64_t left);

/*
 * Announce the version of the own backend server, "" if roll-outs are off. Call
 * before membership_set_backend().
 */
void membership_set_backend_version(struct membership *membership,
				    const char *backend_version);

/* Announce whether this node is unable to read the store. */
void membership_set_store_lost(struct membership *membership, int lost);

/*
 * Announce the configuration that is active on this node. version must not be
 * lower than the last one.
 */
void membership_set_version(struct membership *membership, uint64_t version,
			    uint64_t hash);

/* Probe an address where a node may run, unless its host is known to be up. */
void membership_join(struct membership *membership, uint64_t address,
		     struct outbox *outbox);

/* Announce that this node stops. A few hosts are notified and gossip it. */
void membership_leave(struct membership *membership, struct outbox *outbox);

/*
 * Run the timers; call several times per probe period. Returns 1 when the time
 * since the last call exceeds suspicion_ms, which shows that the process was
 * frozen. Peers may then have declared this host dead, and what it holds of
 * them is out of date: the own incarnation is raised, suspicions start anew,
 * peers must confirm their floors again and the whole table is fetched again.
 */
int membership_tick(struct membership *membership, uint64_t now_ms,
		    struct outbox *outbox);

/*
 * Handle a Ping, Ack, PingRequest, SyncRequest or SyncReply; other packets are
 * ignored. The packet stays the caller's.
 */
void membership_receive(struct membership *membership, uint64_t from,
			const Fescue__Packet *packet, uint64_t now_ms,
			struct outbox *outbox);

/*
 * A number that changes when a host that is up is added and when a host's
 * record changes in what routing depends on, see host_routing_differs().
 */
uint64_t membership_generation(const struct membership *membership);

/*
 * A number that changes with membership_generation() and whenever a host loses
 * or regains the store. The choice of relays depends on both.
 */
uint64_t membership_relay_generation(const struct membership *membership);

/*
 * All known hosts, including the own one, which is at index 0, and dead ones.
 * The hosts returned are owned by the table and stay valid until the next
 * membership_tick(). That and membership_probe_random() change the order of the
 * other hosts.
 */
size_t membership_count(const struct membership *membership);
const struct host *membership_host(const struct membership *membership,
				   size_t i);

/* Returns NULL when the address is not known. */
const struct host *membership_find(const struct membership *membership,
				   uint64_t address);
const struct host *membership_self(const struct membership *membership);

/* Number of hosts that are up, the own one included. */
size_t membership_up_count(const struct membership *membership);

/* When the last acknowledgement arrived; before the first, time of creation. */
uint64_t membership_last_ack_ms(const struct membership *membership);

/*
 * Highest version that is active on the own host or that a peer announced as
 * active or as its floor.
 */
uint64_t membership_highest_version(const struct membership *membership);

/* Has a whole table arrived from a peer since the start or last freeze? */
int membership_is_synced(const struct membership *membership);

/*
 * Announce whether this node's version floor is confirmed, and the floor. See
 * fescue/floor.h.
 */
void membership_set_floor(struct membership *membership, int confirmed,
			  uint64_t floor);

/*
 * Has every known host, except those that left, announced by itself since the
 * own start or last freeze that its floor is confirmed? If so, one of them
 * holds any version that was ever active on this node. A host that died
 * before it did so keeps the result at 0. Also 0 when no other host is known.
 */
int membership_peers_confirmed(const struct membership *membership);

/* Probe up to max of the hosts whose floor is not confirmed yet. */
void membership_probe_unconfirmed(struct membership *membership, uint32_t max,
				  struct outbox *outbox);

/*
 * Probe up to count random hosts that are up, in addition to the periodic
 * probe, to send or receive an update sooner. In fleets of more than count
 * peers at most a third of count goes to other failure domains.
 */
void membership_probe_random(struct membership *membership, uint32_t count,
			     struct outbox *outbox);

/* Abort when the digests or the host counts do not match the table. */
void membership_assert_valid(const struct membership *membership);

#endif
