/*
 * Quotas of client accounts, summed over all hosts.
 *
 * Each host has an equal share of every account's rate. It lends the share to
 * one host, the owner, for a limited time at once, and gets tokens in batches
 * for it: the owner keeps one token bucket for each account, which fills at the
 * rate times the shares lent to it. A share is used either by one owner or by
 * its host, so that the sum over all hosts stays within the rate whatever hosts
 * believe about the owner. An owner that stops, or is left for a better one,
 * gives each host the tokens of its share, which the host brings to the next.
 * Nothing else is kept when the owner changes. docs/design/quotas.md has the proof.
 *
 * The module does no I/O and reads no clock: callers pass the time in
 * milliseconds of a steady clock that includes suspensions.
 */
#ifndef FESCUE_QUOTA_H
#define FESCUE_QUOTA_H

#include "proto/fescue.pb-c.h"

#include <stddef.h>
#include <stdint.h>

#define QUOTA_TOKEN_MS 200 /* a token is valid for, from its request */
#define QUOTA_WAIT_MS 150 /* longest wait of a request for a token */
#define QUOTA_LEND_MS 400 /* an owner may use a share, from its stamp */
#define QUOTA_LEND_MARGIN_MS 20 /* for clocks that run at other speeds */
/* A started host learns of the others before it counts itself as a share. */
#define QUOTA_SETTLE_MS 1000
/* In which the others learn of a host that has met one of them. */
#define QUOTA_SPREAD_MS 700
#define QUOTA_REQUEST_MIN_MS 80 /* between two requests of a host */
#define QUOTA_REQUEST_MAX_MS 150 /* the same, without requests to admit */
#define QUOTA_REPLY_TIMEOUT_MS 60
#define QUOTA_ROWS_MAX 80 /* in a packet, which then fits a datagram */
#define QUOTA_CANDIDATES 3 /* hosts that may become owner of a host */

struct quota_settings {
	uint32_t window_ms; /* 0: quotas are off */
	uint32_t overage_ppm; /* of what limit and window allow */
	uint32_t slack; /* requests beyond that */
};

struct quota_limit {
	uint32_t id; /* of the account */
	uint32_t rate; /* requests per second; 0: no limit */
	uint32_t burst;
};

/* Token bucket of an account. */
struct quota_bucket {
	double rate; /* tokens per second, over all hosts */
	double depth; /* most tokens in it */
};

/*
 * Requests that are sent in one window use tokens granted in the window, the
 * QUOTA_TOKEN_MS before it and the QUOTA_WAIT_MS after it, and a margin. What
 * the settings tolerate beyond that is divided between rate and depth, so that
 * small accounts are hardly ever refused below their limit.
 */
struct quota_bucket quota_bucket_of(const struct quota_settings *settings,
				    const struct quota_limit *limit);

/* Host side: tokens and waiting requests of the accounts. */
struct quota_host;

/* run differs from that of earlier runs of the host at this address. */
struct quota_host *quota_host_create(const struct quota_settings *settings,
				     uint64_t run, uint64_t now_ms);
void quota_host_destroy(struct quota_host *host);

/*
 * The host may not know yet which others there are: it uses and lends its share
 * no more until quota_host_peers_known(). With has_met, it met them only now, and
 * they learn of it within QUOTA_SPREAD_MS.
 */
void quota_host_await_peers(struct quota_host *host);
int quota_host_awaits_peers(const struct quota_host *host);
void quota_host_peers_known(struct quota_host *host, int has_met,
			    uint64_t now_ms);

/*
 * Sets the hosts that may become owner, best first, at most QUOTA_CANDIDATES,
 * and the number of hosts known, dead ones included.
 */
void quota_host_set_candidates(struct quota_host *host,
			       const uint64_t *candidates, size_t count,
			       uint32_t known, uint64_t now_ms);

/* The host stops: it lends nothing and uses its share no more. */
void quota_host_stop(struct quota_host *host);

/*
 * Asks for a token for a request. Returns 1 if it is admitted, else it counts
 * as waiting until one of the functions below ends the wait. *token identifies
 * what it got, for quota_host_return().
 */
int quota_host_ask(struct quota_host *host, const struct quota_limit *limit,
		   uint64_t now_ms, uint64_t *token);

/* Takes a token for a waiting request; returns 0 if there is none. */
int quota_host_take(struct quota_host *host, uint32_t id, uint64_t now_ms,
		    uint64_t *token);

/*
 * Ends a wait without a token from the owner: returns 1 if the host's own share
 * admits the request, else 0 and in *retry_ms the time to retry.
 */
int quota_host_give_up(struct quota_host *host, uint32_t id, uint64_t now_ms,
		       uint32_t *retry_ms);

enum quota_outcome {
	QUOTA_ADMITTED,
	/* It waits for a token; whether one comes is not known here. */
	QUOTA_UNDECIDED,
	/*
	 * It waits in vain, by what is known here: there is no owner, or others
	 * wait already and its last reply left some without a token.
	 */
	QUOTA_REFUSED,
};

/* What a request of an account would get now. */
struct quota_preview {
	enum quota_outcome outcome;
	uint64_t owner; /* that is asked for tokens; 0: none */
	uint32_t tokens; /* at hand, from the owner */
	uint32_t waiting; /* requests of the account */
	double own_tokens; /* of the host's own share; 0 while it is lent */
	double own_tokens_later; /* at the end of a wait */
	uint32_t retry_ms; /* time to retry if it is refused */
};

/* Fills in the preview; takes no token and changes nothing. */
void quota_host_preview(const struct quota_host *host,
			const struct quota_limit *limit, uint64_t now_ms,
			struct quota_preview *preview);

/* The caller of a waiting request left. */
void quota_host_cancel(struct quota_host *host, uint32_t id);

/* Returns the credit of a request that did not run. */
void quota_host_return(struct quota_host *host, uint32_t id, uint64_t token);

/*
 * Returns the next packet to send, and to whom, or NULL if none is due. Call
 * until it returns NULL, at quota_host_next_ms() and after each ask.
 */
Fescue__Packet *quota_host_poll(struct quota_host *host, uint64_t now_ms,
				uint64_t *to);
uint64_t quota_host_next_ms(const struct quota_host *host);

void quota_host_receive(struct quota_host *host, uint64_t from,
			const Fescue__QuotaGrant *grant, uint64_t now_ms);

/* Host that is asked for tokens now; 0: none. */
uint64_t quota_host_owner(const struct quota_host *host);

/* Owner side: token buckets, and the shares lent by hosts. */
struct quota_owner;

struct quota_owner *quota_owner_create(const struct quota_settings *settings,
				       uint64_t run, uint64_t now_ms);
void quota_owner_destroy(struct quota_owner *owner);

/* Replaces the limits; accounts that are not listed get no tokens. */
void quota_owner_set_limits(struct quota_owner *owner,
			    const struct quota_limit *limits, size_t count);

/* Number of hosts known, dead ones included. */
void quota_owner_set_known(struct quota_owner *owner, uint32_t known);

/* The host stops: it grants nothing more and gives all shares back. */
void quota_owner_stop(struct quota_owner *owner);

/* Returns the reply to a host's request, or NULL if it is out of date. */
Fescue__Packet *quota_owner_handle(struct quota_owner *owner, uint64_t from,
				   const Fescue__QuotaRequest *request,
				   uint64_t now_ms);

/* Hosts whose share is lent to this owner now. */
uint32_t quota_owner_shares(const struct quota_owner *owner, uint64_t now_ms);

#endif
