/*
 * The state behind the calls that entered at this node.
 */
#ifndef FESCUE_CALLER_STATE_H
#define FESCUE_CALLER_STATE_H

#include "call_request.h"
#include "call_stats.h"
#include "caller.h"

#define TRIED_MAX (RULES_RETRIES_MAX + 1 + RETRY_REROUTES_MAX + 1)

enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_SENT,
	ATTEMPT_ASKED, /* the link broke; its host was asked about it */
};

/* One call of a caller, from its request to its answer. */
struct call {
	struct caller_table *callers;
	struct http_exchange *exchange;
	struct snapshot *snapshot; /* the version it entered under */
	struct route_handle route;
	uint32_t part; /* of the route, which serves it */
	struct retry_budget *budget; /* of the service that serves it */
	uint32_t depth; /* callers above it that hold slots */
	struct call_policy call_policy;
	struct call_origin origin;
	uint64_t entered_ms;
	uint64_t due_ms; /* an answer is worth less later */
	uint64_t deadline_ms;
	uint64_t queue_until_ms; /* it is refused if it still waits for a slot */
	uint64_t entered_us;
	uint32_t arrivals; /* attempts that backend servers have seen */
	uint32_t reroutes; /* attempts that none has seen */
	uint32_t tried_count;
	uint64_t tried[TRIED_MAX];
	enum attempt_state state;
	uint64_t attempt_id; /* 0 between attempts */
	uint64_t attempt_us;
	uint64_t attempt_epoch; /* of its host when it was sent */
	uint64_t attempt_boot_ms; /* by a clock that counts suspensions */
	uint64_t asked_ms;
	enum call_outcome outcome; /* of all attempts that ended */
	uint32_t retry_after_ms; /* the least that a refusing host named */
	Fescue__CallAnswer *fallback; /* a failure that a repeat may better */
	uv_timer_t timer;
};

struct caller_table {
	const struct task_links *links;
	struct caller_settings settings;
	struct router *router;
	GRand *random;
	struct call_stats *stats;
	struct retry_budgets *budgets;
	uint64_t next_id;
	GHashTable *attempts; /* id -> struct call */
	size_t calls;
};

static inline uint64_t caller_now_ms(const struct caller_table *t)
{
	return task_now_ms(t->links);
}

static inline void caller_count(struct caller_table *t, enum counter counter)
{
	t->links->counters->values[counter]++;
}

static inline uint64_t call_last_tried(const struct call *c)
{
	return c->tried[c->tried_count - 1];
}

/* The attempt is over; what it showed of its host goes to the router. */
void call_end_attempt(struct call *call, enum router_result result,
		      const struct router_load *load);

/* Repeat the call or give up on it. */
void call_attempt_failed(struct call *call, const struct retry_attempt *ended,
			 const char *reason);

/* Give up on hosts that did not tell what became of a call. */
void caller_expire_queries(struct caller_table *callers);

#endif
