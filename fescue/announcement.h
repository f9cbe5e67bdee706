/*
 * Announcements: the state of the backend server beside this node, as its
 * heartbeats report it.
 *
 * Heartbeats may arrive late, out of order, or after another backend server has
 * replaced their sender. The record keeps the newest incarnation, that is, one
 * run of a backend server's process. An incarnation that is leaving stays so,
 * whatever its later heartbeats report, as long as these are numbered. The
 * module owns no socket and reads no clock.
 *
 * A node that starts may not know that a backend server left before. Then one
 * heartbeat, which may be late, does not show that its sender is still in
 * service: the record wants further ones with higher numbers. A backend server
 * whose heartbeat is refused sends the next one at once; one that has left sends
 * none.
 */
#ifndef FESCUE_ANNOUNCEMENT_H
#define FESCUE_ANNOUNCEMENT_H

#include "fescue/address.h"
#include "fescue/host.h"

/* Contents of one heartbeat. */
struct announcement {
	char id[HOST_NAME_BYTES]; /* of the instance; may be empty */
	char service[HOST_NAME_BYTES];
	char version[HOST_VERSION_BYTES]; /* empty: not known */
	struct address address;
	uint32_t slots;
	int leaving; /* accepts no new calls */
	uint64_t started_ms; /* wall clock of its start; 0: unknown */
	uint64_t sequence; /* increases with each heartbeat; 0: none */
	uint32_t warmup_ms; /* remaining time until full speed */
};

enum announcement_result {
	ANNOUNCEMENT_STALE, /* earlier incarnation or out of order */
	ANNOUNCEMENT_NEW, /* the first one, or a new incarnation */
	ANNOUNCEMENT_RENEWED, /* newer state of the same incarnation */
};

/* Numbered heartbeats that must follow the first one of an incarnation. */
#define ANNOUNCEMENT_REPEATS 2

/* Hash that identifies an incarnation; 0 if it has no id. */
uint64_t announcement_fingerprint(const struct announcement *announcement);

/* Who remembers, over a restart of the node, which backend server left. */
enum leaving_source { LEAVING_FROM_PEERS, LEAVING_FROM_STORE, LEAVING_SOURCES };

/* Last known state of the backend server; zero-initialised: none is known. */
struct announcement_record {
	struct announcement current;
	int known; /* current is valid */
	int leaving; /* kept until another incarnation starts */
	/* Fingerprints of ones known to have left; 0: none. */
	uint64_t left[LEAVING_SOURCES];
	int wants_repeats; /* one that left before may be unknown here */
	uint32_t repeats_due; /* until current is known to be in service */
};

/*
 * Apply a heartbeat; a stale one leaves the record unchanged. A heartbeat of
 * the current incarnation without a sequence number is never stale, because its
 * age cannot be determined; its value of leaving replaces the recorded one.
 */
enum announcement_result
announcement_record_update(struct announcement_record *record,
			   const struct announcement *announcement);

/*
 * Restore the leaving state of the incarnation with this fingerprint, which
 * announced that it leaves before this node restarted. Numbered heartbeats of
 * it do not revoke the state. 0 clears the fingerprint of this source.
 */
void announcement_record_restore_leaving(struct announcement_record *record,
					 enum leaving_source source,
					 uint64_t left);

/*
 * Set whether a backend server may have left of which this record does not know.
 * Numbered heartbeats of incarnations that are new after that must be repeated;
 * 0 waives the repeats that are due.
 */
void announcement_record_want_repeats(struct announcement_record *record,
				      int wants_repeats);

/*
 * Handle the end of the backend server with this id. If it is the current one,
 * marks it as leaving and returns 1. If none is known, records the id as
 * leaving and returns 0.
 */
int announcement_record_end(struct announcement_record *record, const char *id);

#endif
