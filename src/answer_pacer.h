/*
 * Sends long answers at the rate of the host's link, see fescue/link_budget.h.
 * Short ones are sent at once.
 */
#ifndef FESCUE_ANSWER_PACER_H
#define FESCUE_ANSWER_PACER_H

#include "fescue/link_budget.h"
#include "node_context.h"

struct answer_pacer;

/* context and budget must outlive the pacer. */
struct answer_pacer *answer_pacer_create(const struct node_context *context,
					 struct link_budget *budget);

/* Frees the answers that wait. NULL is allowed. */
void answer_pacer_destroy(struct answer_pacer *pacer);

/* Sends a CallAnswer to a node, now or later. Takes ownership. */
void answer_pacer_send(struct answer_pacer *pacer, uint64_t to,
		       Fescue__Packet *packet);

/*
 * Drops the answer to a call if it waits: the caller has left, or the node gets
 * it in another way.
 */
void answer_pacer_drop(struct answer_pacer *pacer, uint64_t to,
		       uint64_t call_id);

/* Returns 1 if the answer to a call waits. */
int answer_pacer_holds(const struct answer_pacer *pacer, uint64_t to,
		       uint64_t call_id);

/*
 * Counts the other traffic of the node since the last call against the link.
 * Call it before the budget is asked, and periodically.
 */
void answer_pacer_count_traffic(struct answer_pacer *pacer);

/* Answers that wait. */
uint32_t answer_pacer_waiting(const struct answer_pacer *pacer);

#endif
