/*
 * Hedging: decides whether a call that takes long is sent to a second host
 * before the first one has answered.
 *
 * The delay is a high percentile of the recent response times of the call's
 * kind. Only a share of the calls of each kind may be hedged, and hedges
 * withdraw tokens from the retry budget of the service. The module does no I/O
 * and reads no clock; now_ms is the time of one monotonic clock.
 */
#ifndef FESCUE_HEDGE_H
#define FESCUE_HEDGE_H

#include "fescue/retry.h"

enum hedge_decision {
	HEDGE_SEND,
	HEDGE_NOT_IDEMPOTENT,
	HEDGE_NO_RETRIES, /* the route's retries permit no further attempt */
	HEDGE_STOPPING, /* the node is stopping */
	HEDGE_ROLLOUT, /* a roll-out of the service is running */
	HEDGE_DEADLINE, /* the time left is less than a usual run */
	HEDGE_BUSY, /* the service is short of capacity */
	HEDGE_SHARE, /* the share of calls that may be hedged is used up */
	HEDGE_BUDGET, /* the retry budget is not more than half full */
	HEDGE_NO_HOST, /* no other host reports a free slot */
};

/* A call whose delay has passed without an answer. */
struct hedge_call {
	const struct call_policy *call_policy;
	const struct retry_budget *budget; /* of its service */
	uint32_t kind;
	uint32_t attempts; /* that a backend server received, with the open one */
	int stopping; /* the node is stopping */
	/*
	 * A roll-out of the service is running. It judges versions by their slow
	 * answers, and the attempts that a hedge cancels would be missing there.
	 */
	int rollout;
	uint64_t remaining_ms; /* until the call's deadline */
	double service_ms; /* usual service time; 0: not known */
	double utilization; /* of the service's slots, see router_utilization() */
};

struct hedges;

struct hedges *hedges_create(void);

/* hedges may be NULL. */
void hedges_destroy(struct hedges *hedges);

/*
 * Counts a call of the kind, of which percent may be hedged. Call once for the
 * first attempt of a call.
 */
void hedges_count_call(struct hedges *hedges, uint32_t kind, uint32_t percent);

/*
 * Records the response time of an attempt that is not a hedge. If the attempt
 * was canceled because its hedge was faster, latency_us is the time until then:
 * left out, slow responses would be missing from the distribution.
 */
void hedges_record(struct hedges *hedges, uint32_t kind, uint64_t latency_us,
		   uint64_t now_ms);

/*
 * Stores the time in ms after which an attempt without an answer is hedged: the
 * percentile of the response times that is exceeded by as many calls as percent
 * and the retry budget permit to hedge. Returns FESCUE_OK, or FESCUE_ENOTFOUND
 * if percent is 0 or too few response times are known.
 */
int hedges_delay(struct hedges *hedges, uint32_t kind, uint32_t percent,
		 const struct retry_budget *budget, uint64_t now_ms,
		 uint32_t *delay_ms);

/* Returns HEDGE_SEND if the call may be hedged, else the reason against it. */
enum hedge_decision hedges_check(struct hedges *hedges,
				 const struct hedge_call *call);

/*
 * Withdraws a hedge from the share of its kind and from the budget. Call only
 * if hedges_check() has just returned HEDGE_SEND.
 */
void hedges_take(struct hedges *hedges, uint32_t kind,
		 struct retry_budget *budget);

#endif
