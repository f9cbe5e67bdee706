/*
 * Quotas on the event loop: sends and receives their packets, and lets requests
 * wait for tokens. Decisions are in fescue/quota.h.
 */
#ifndef FESCUE_QUOTA_TASK_H
#define FESCUE_QUOTA_TASK_H

#include "fescue/membership.h"
#include "fescue/quota.h"
#include "fescue/snapshot.h"
#include "node_context.h"

struct quota_task;

/* A request that takes or waits for a token; zeroed before the first use. */
struct quota_waiter {
	uint32_t account; /* id of the account; 0: no limit applies */
	uint64_t token; /* that it got, see quota_host_ask() */
	uint64_t until_ms; /* end of the wait */
	GQueue *queue; /* that holds it while it waits; or NULL */
	GList link;
	/*
	 * Called when the wait ends: with admitted 1, or 0 and the time to
	 * retry. The waiter may be freed by it.
	 */
	void (*decided)(struct quota_waiter *waiter, int admitted,
			uint32_t retry_ms);
	void *data; /* of the owner of the waiter */
};

/* context and membership are borrowed. */
struct quota_task *quota_task_create(const struct node_context *context,
				     const struct membership *membership,
				     const struct quota_settings *settings);

/* No request may be waiting. Does nothing for NULL. */
void quota_task_destroy(struct quota_task *task);

/*
 * Asks for a token for a request of the account, which has a limit. Returns 1
 * if it is admitted now; otherwise waiter->decided is called later.
 */
int quota_task_ask(struct quota_task *task, struct quota_waiter *waiter,
		   const struct account_rule *account);

/* Fills in what quota_task_ask() would do for the account; changes nothing. */
void quota_task_preview(const struct quota_task *task,
			const struct account_rule *account,
			struct quota_preview *preview);

/* Ends the wait of a request whose caller left; does nothing if it is over. */
void quota_task_cancel(struct quota_task *task, struct quota_waiter *waiter);

/* Returns the credit of an admitted request that did not run. */
void quota_task_return(struct quota_task *task, struct quota_waiter *waiter);

/* Handles a QuotaRequest or QuotaGrant. */
void quota_task_receive(struct quota_task *task, uint64_t from,
			const Fescue__Packet *packet);

/* See quota_host_await_peers(). */
void quota_task_await_peers(struct quota_task *task);
void quota_task_peers_known(struct quota_task *task, int has_met);

/* Call regularly. snapshot is the active configuration, or NULL. */
void quota_task_tick(struct quota_task *task, const struct snapshot *snapshot);

/* The node stops: it gives back the shares of others and lends none. */
void quota_task_stop(struct quota_task *task);

#endif
