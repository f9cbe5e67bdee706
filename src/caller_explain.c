#include "caller_explain.h"

#include "caller_state.h"
#include "fescue/error.h"

#include <string.h>

void caller_preview_arrival(const struct caller_table *t,
			    const struct caller_question *q,
			    struct caller_rejection *out)
{
	const char *reason = "";

	memset(out, 0, sizeof(*out));
	if (!t->settings.snapshot(t->settings.data, &reason)) {
		*out = (struct caller_rejection){ 503, 0, reason };
		return;
	}
	switch (q->lookup) {
	case ROUTE_FOUND:
		caller_check_account(t, q->snapshot, q->rule, q->has_key,
				     q->account, out);
		break;
	case ROUTE_WITHDRAWN:
		*out = (struct caller_rejection){ 503, 0,
						  CALLER_REASON_WITHDRAWN };
		break;
	case ROUTE_UNKNOWN:
		*out = (struct caller_rejection){ 404, 0,
						  CALLER_REASON_NO_ROUTE };
		break;
	}
}

int caller_preview_quota(const struct caller_table *t,
			 const struct account_rule *account,
			 struct quota_preview *preview,
			 struct caller_rejection *rejection)
{
	memset(rejection, 0, sizeof(*rejection));
	if (!t->settings.quota || !account || !account->rate)
		return 0;
	quota_task_preview(t->settings.quota, account, preview);
	if (preview->outcome == QUOTA_REFUSED)
		*rejection = (struct caller_rejection){ 429, preview->retry_ms,
							CALLER_REASON_QUOTA };
	return 1;
}

/* A call as it is on arrival. It is only read, and not part of the table. */
static struct call make_call(const struct caller_table *t,
			     const struct caller_question *q, uint32_t target)
{
	struct call c = {
		.table = (struct caller_table *)t,
		.snapshot = (struct snapshot *)q->snapshot,
		.route = q->route,
		.target = target,
		.call_policy = q->rule->call_policy,
	};

	c.call_policy.rank =
		rules_call_rank(q->account, q->rule->call_policy.rank);
	call_set_times(&c, CALL_NO_DEADLINE);
	return c;
}

static void forecast(const struct caller_table *t,
		     struct caller_target_preview *out)
{
	router_forecast_hosts(t->router, &out->request, out->hosts,
			      &out->forecast);
}

/* The request's class in the roll-out, with the fall-back of a real call. */
static void forecast_rollout(const struct caller_table *t,
			     struct caller_target_preview *out)
{
	struct router_request *request = &out->request;

	request->rollout = out->rollout;
	if (out->rollout)
		request->rollout_class =
			rollout_preview(out->rollout, request->now_ms);
	forecast(t, out);
	if (!out->forecast.error || !out->rollout ||
	    request->rollout_class != ROLLOUT_NEW)
		return;
	request->rollout_class =
		rollout_choose_again(out->rollout, request->now_ms);
	forecast(t, out);
}

void caller_preview_target(const struct caller_table *t,
			   const struct caller_question *q, uint32_t target,
			   struct caller_target_preview *out)
{
	struct call c = make_call(t, q, target);
	const char *service = q->rule->targets[target].service;

	memset(out, 0, sizeof(*out));
	if (t->settings.rollouts)
		out->rollout = rollouts_find(t->settings.rollouts, service);
	if (call_fill_request(&c, &out->request)) {
		out->forecast.error = FESCUE_ENOTFOUND;
	} else {
		out->host_count = snapshot_service_host_count(
			q->snapshot, out->request.service);
		out->hosts = g_new0(struct router_host, out->host_count);
		forecast_rollout(t, out);
	}
	/* The request must not refer to the call's list of tried hosts. */
	out->request.excluded = NULL;
	if (out->forecast.error)
		out->rejection =
			(struct caller_rejection){ 503, out->forecast.busy_ms,
						   CALLER_REASON_BUSY };
}

void caller_target_preview_clear(struct caller_target_preview *preview)
{
	g_free(preview->hosts);
	preview->hosts = NULL;
}
