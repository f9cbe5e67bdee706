/*
 * The state behind a distribution, and the pushes by which a version goes
 * from one host to others.
 */
#ifndef FESCUE_DISTRIBUTION_STATE_H
#define FESCUE_DISTRIBUTION_STATE_H

#include "fescue/distribution.h"
#include "fescue/membership.h"
#include "packet.h"
#include "version_text.h"

/* A push that its receiver has not acknowledged. */
struct pending_push {
	uint64_t child;
	uint64_t version;
	uint64_t sent_ms;
	GArray *subtree; /* uint64_t */
};

struct distribution {
	struct distribution_settings settings;
	const struct membership *membership;
	uint64_t generation_seen;
	size_t rank;
	int watching;
	struct version_history history; /* the newest is in force */
	struct version_text staged; /* checked, not yet in force */
	struct rules *checked; /* parsed of the version checked last */
	uint64_t checked_version;
	GArray *pending; /* struct pending_push */
	uint64_t push_due_ms; /* 0: none; when a further relay pushes */
	uint64_t pushed_version; /* this domain's tree is under way */
	uint64_t fetch_from;
	uint64_t fetch_started_ms;
	uint64_t fetch_version; /* that the peer asked has */
	int fetch_again; /* it may be asked once more */
	int source_lost;
	uint64_t behind_peer; /* has a higher version than this host */
	uint64_t behind_version;
	uint64_t behind_since_ms;
	uint64_t rejected_version;
	struct diagnostic rejected;
	GQueue actions; /* struct distribution_action */
};

static inline const struct version_text *in_force(const struct distribution *d)
{
	return &d->history.texts[0];
}

/* Highest version held, in force or staged. */
static inline const struct version_text *newest(const struct distribution *d)
{
	return d->staged.version > in_force(d)->version ? &d->staged :
							  in_force(d);
}

/* Send a text, as a difference from base if there is one. */
void push_text(struct distribution *d, uint64_t to,
	       const struct version_text *text, const struct version_text *base,
	       const uint64_t *subtree, size_t subtree_len,
	       enum packet_purpose purpose, struct outbox *outbox);

/* Push the newest text to hosts, the first of each group passes it on. */
void push_subtree(struct distribution *d, const uint64_t *hosts, size_t n,
		  uint64_t now_ms, struct outbox *outbox);

/* Start this domain's tree with the own host as its root. */
void push_domain(struct distribution *d, uint64_t now_ms,
		 struct outbox *outbox);

/* A host outside the own domain witnesses when the domain has no other. */
void push_to_witness(struct distribution *d, uint64_t now_ms,
		     struct outbox *outbox);

/* A child holds the version. */
void push_acknowledged(struct distribution *d, uint64_t from, uint64_t version);

/* Send again, and take over the subtrees of children that are silent. */
void push_review(struct distribution *d, uint64_t now_ms,
		 struct outbox *outbox);

void pending_clear(gpointer pending);

#endif
