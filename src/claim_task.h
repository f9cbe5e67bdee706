/*
 * Carries claims between claimants, the holders of claim shards and the
 * store. A node claims keys for its own backend server, and holds the shards
 * that rendezvous hashing gives it.
 */
#ifndef FESCUE_CLAIM_TASK_H
#define FESCUE_CLAIM_TASK_H

#include "fescue/claim.h"
#include "node.h"

struct claim_task;

/* The end of a claim. taken_by is the host whose claim stands. */
struct claim_result {
	enum claim_verdict verdict;
	uint64_t taken_by;
};

struct claim_task *claim_task_create(struct node *node, uint32_t seed);
void claim_task_destroy(struct claim_task *task);

/*
 * Claim the key for this node; done is called once, perhaps before this
 * returns. CLAIM_UNSETTLED and CLAIM_REFUSED, which also end a claim at its
 * deadline, mean that the call must not run.
 */
void claim_task_ask(struct claim_task *task, const char *key,
		    uint64_t deadline_ms,
		    void (*done)(void *data, const struct claim_result *result),
		    void *data);

/* Handle ClaimRequest and ClaimReply. */
void claim_task_receive(struct claim_task *task, uint64_t from,
			const Fescue__Packet *packet);

/* Advance time. */
void claim_task_tick(struct claim_task *task);

#endif
