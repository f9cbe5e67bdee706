/*
 * The internal state of a distribution, and the functions that its files share.
 */
#ifndef FESCUE_DISTRIBUTION_STATE_H
#define FESCUE_DISTRIBUTION_STATE_H

#include "fescue/distribution.h"
#include "fescue/key_freshness.h"
#include "fescue/membership.h"
#include "packet.h"
#include "version_text.h"

/*
 * The body of pushes of one text, which goes to many hosts with the same base.
 * Zero-initialized: none.
 */
struct encoded_text {
	uint64_t version, hash; /* of the text */
	uint64_t base_version, base_hash; /* of the likely base, or 0 */
	Fescue__ConfigPush *push; /* with the fields of version_text_encode() */
};

/* Bases that the hosts of a domain are at, at the same time. */
#define ENCODED_TEXTS 4

/* A push that its receiver has not acknowledged. */
struct pending_push {
	uint64_t child;
	uint64_t version;
	uint64_t sent_ms;
	GArray *subtree; /* uint64_t: hosts that the child forwards to */
};

/* Hosts of a domain that may act as relays: 16 relays, 2 that replace them. */
#define CANDIDATES_MAX 18

/* An answer of the store to a candidate of the domain. */
struct confirmation {
	uint64_t version; /* newest valid one; 0: no confirmation */
	uint64_t as_of_ms;
	uint64_t store_era; /* of store_revision */
	uint64_t store_revision; /* of the whole store */
	size_t rank; /* of the candidate */
};

/*
 * When the store confirmed that it has no newer version than the newest text,
 * at the latest. Times are those of the store's answers, or earlier.
 */
struct freshness {
	uint64_t own_ms; /* answer to this host; 0: none */
	uint64_t known_ms; /* answer to any host of the domain */
	uint64_t better_ms; /* answer to a candidate ranked before this host */
	uint64_t store_era; /* 0: the store tells none */
	uint64_t store_revision; /* of the whole store at known_ms */
	struct confirmation ahead; /* of a version that is not here yet */
	uint64_t report_due_ms;
	/* When the candidate of each rank last reported to get no answer. */
	uint64_t seeker_ms[CANDIDATES_MAX];
};

/* Queries to peers while the knowledge for keys is old. */
struct key_queries {
	GHashTable *asked; /* set of uint64_t: hosts asked in this pass */
	uint64_t passes;
	uint64_t started_ms; /* time of the first tick */
	uint64_t due_ms;
	int slow; /* the last pass was in vain */
};

struct distribution {
	struct distribution_settings settings;
	const struct membership *membership;
	uint64_t role_generation; /* of membership, at the last role update */
	size_t rank;
	int is_candidate; /* ranked well enough to become a relay */
	size_t candidate_rank; /* as if all hosts reached the store */
	int is_relay; /* by rank */
	int watching; /* this host is to watch the store */
	struct freshness freshness;
	struct key_freshness keys;
	struct key_queries key_queries;
	uint64_t tick_ms, previous_tick_ms; /* times of the last two ticks */
	struct version_history history; /* the first text is the active one */
	struct version_text staged; /* validated, not yet applied */
	struct version_text received; /* pushed, to be validated next */
	struct version_source received_source;
	uint64_t forwarded_version; /* the last one that was forwarded */
	GHashTable *forwarded; /* set of uint64_t: hosts it was forwarded to */
	struct version_source source; /* of the text validated last */
	struct rules *parsed_rules; /* of the text validated last */
	uint64_t parsed_version;
	struct encoded_text encoded[ENCODED_TEXTS];
	size_t encoded_next; /* the entry that is replaced next */
	uint64_t encodings;
	GArray *pending_pushes; /* struct pending_push */
	uint64_t backup_push_due_ms; /* 0: no delayed push is scheduled */
	uint64_t pushed_version; /* last one pushed in the own domain */
	uint64_t fetch_peer; /* 0: no fetch is outstanding */
	uint64_t fetch_started_ms;
	uint64_t fetch_version; /* the peer's, when it was fetched at once */
	int fetch_retry_left; /* the fetch may be repeated once */
	int store_unreachable;
	uint64_t deferred_fetch_peer; /* 0: no fetch is deferred */
	uint64_t deferred_fetch_version;
	uint64_t deferred_since_ms;
	/* When a version newer than the held one was first heard of; or 0. */
	uint64_t behind_since_ms;
	uint64_t rejected_version; /* the last one */
	uint64_t rejected_hash; /* of its text, or of why it has none */
	struct diagnostic rejection;
	GQueue actions; /* struct distribution_action */
};

static inline const struct version_text *
active_text(const struct distribution *d)
{
	return &d->history.texts[0];
}

/* Text of the highest version held. */
static inline const struct version_text *
newest_text(const struct distribution *d)
{
	if (d->received.version)
		return &d->received;
	return d->staged.version > active_text(d)->version ? &d->staged :
							     active_text(d);
}

/* Send a text, as a delta from base unless that is NULL. */
void push_text(struct distribution *d, uint64_t to,
	       const struct version_text *text, const struct version_text *base,
	       const uint64_t *subtree, size_t subtree_len,
	       enum packet_purpose purpose, struct outbox *outbox);

/*
 * Push the newest text to hosts. They are split into fan_out groups; the first
 * host of each group receives the push and forwards it to the others.
 */
void push_to_hosts(struct distribution *d, const uint64_t *hosts, size_t n,
		   uint64_t now_ms, struct outbox *outbox);

/*
 * Forward a push to the hosts of its subtree. A sender that misses the
 * acknowledgement of the host above pushes to them as well; what was forwarded
 * already is not forwarded again.
 */
void push_forward(struct distribution *d, const Fescue__ConfigPush *push,
		  uint64_t now_ms, struct outbox *outbox);

/*
 * Push the newest text to the own domain, with this host as the root of the
 * tree, unless this was done before or another host was the root.
 */
void push_to_domain(struct distribution *d, uint64_t now_ms,
		    struct outbox *outbox);

/*
 * Push the staged text to one live host of any domain, unless pushes are
 * pending, so that a host outside a domain of one can hold a copy.
 */
void push_to_any_host(struct distribution *d, uint64_t now_ms,
		      struct outbox *outbox);

/* Handle an acknowledgement: the host holds the version. */
void push_handle_ack(struct distribution *d, uint64_t from, uint64_t version);

/*
 * Handle pushes that were not acknowledged in time: repeat each once for the
 * child and push to its subtree from this host.
 */
void push_handle_timeouts(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox);

void pending_push_clear(gpointer pending);

void encoded_text_clear(struct encoded_text *encoded);

/* Queue an action; for DISTRIBUTION_APPLY, that of the active text. */
void add_action(struct distribution *d, enum distribution_action_type type,
		uint64_t version);

/* Make the text, which is taken over, the active one. */
void apply_text(struct distribution *d, struct version_text *text);

/* Apply the staged text, if any: another host holds a copy. */
void apply_staged(struct distribution *d);

/*
 * Request a peer's text. It comes as a delta from the active one if the peer
 * has that as well, or in full if full_text is set.
 */
void fetch_send(struct distribution *d, uint64_t peer, uint64_t now_ms,
		int full_text, struct outbox *outbox);

/* Fetch the deferred version if it did not arrive otherwise by now. */
void fetch_start_deferred(struct distribution *d, uint64_t now_ms,
			  struct outbox *outbox);

/* End a fetch that timed out; repeat it once, as the reply may be lost. */
void fetch_check_timeout(struct distribution *d, uint64_t now_ms,
			 struct outbox *outbox);

/* Handle a peer's report of what it knows of the store. */
void freshness_receive(struct distribution *d, uint64_t from,
		       const Fescue__ConfigState *state, uint64_t now_ms,
		       struct outbox *outbox);

/* Start or stop watching the store. */
void update_relay_role(struct distribution *d, uint64_t now_ms);

/* Report to the domain, if it is due, that the store does not answer here. */
void freshness_report(struct distribution *d, uint64_t now_ms,
		      struct outbox *outbox);

void keys_init(struct distribution *d);
void keys_clear(struct distribution *d);

/* Set the fields of a report that tell what this host knows. */
void keys_fill_report(const struct distribution *d,
		      Fescue__ConfigState *report);

/* Handle those fields in a report or in the answer to a query. */
void keys_receive(struct distribution *d, uint64_t from,
		  const Fescue__ConfigState *state, uint64_t now_ms,
		  struct outbox *outbox);

/*
 * Whether this host is to read the store, even if others say that it does not
 * answer: peers did not help, and keys would be refused soon.
 */
int keys_need_store(const struct distribution *d, uint64_t now_ms);

/* Ask peers if this host's knowledge is old. */
void keys_tick(struct distribution *d, uint64_t now_ms, struct outbox *outbox);

#endif
