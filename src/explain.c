#include "explain.h"

#include "call_reply.h"
#include "caller_explain.h"
#include "explain_host.h"

#include <string.h>

#define METHOD_MAX_BYTES 32

static json_t *error_to_json(const char *error, int *status, int value)
{
	*status = value;
	return json_pack("{s:s}", "error", error);
}

static json_t *rejection_to_json(const struct caller_rejection *rejection)
{
	json_t *json;

	if (!rejection->status)
		return json_null();
	json = json_pack("{s:i, s:s, s:n}", "status", rejection->status,
			 "reason", rejection->reason, "retry_after_ms");
	if (rejection->status == 503 || rejection->status == 429)
		json_object_set_new(json, "retry_after_ms",
				    json_integer(call_reply_retry_after_ms(
					    rejection->retry_after_ms)));
	return json;
}

/* Text of a line of the rules file. */
static json_t *rule_text(const struct snapshot *snapshot, uint32_t line)
{
	size_t size;
	const char *text = snapshot_text(snapshot, &size), *end = text + size;
	const char *newline = memchr(text, '\n', size);

	for (uint32_t i = 1; i < line && newline; i++) {
		text = newline + 1;
		newline = memchr(text, '\n', (size_t)(end - text));
	}
	return json_stringn(text, (size_t)((newline ? newline : end) - text));
}

static json_t *route_to_json(const struct snapshot *snapshot,
			     const struct route_rule *rule)
{
	const struct call_policy *policy = &rule->call_policy;

	return json_pack(
		"{s:i, s:o, s:s, s:s, s:s, s:s, s:i, s:b, s:b, s:i, "
		"s:i, s:i}",
		"line", (int)rule->line, "rule",
		rule_text(snapshot, rule->line), "method", rule->method, "host",
		rule->host, "prefix", rule->prefix, "class",
		call_class_name(policy->call_class), "rank", (int)policy->rank,
		"idempotent", policy->idempotent, "public", rule->is_public,
		"deadline_ms", (int)policy->deadline_ms, "latency_ms",
		(int)policy->latency_ms, "retries", (int)policy->retries);
}

static json_t *quota_to_json(const struct quota_preview *quota)
{
	static const char *const outcomes[] = {
		[QUOTA_ADMITTED] = "admitted",
		[QUOTA_UNDECIDED] = "waits",
		[QUOTA_REFUSED] = "refused",
	};
	char owner[ADDRESS_TEXT_BYTES];

	return json_pack(
		"{s:s, s:I, s:f, s:I, s:i, s:s?}", "result",
		outcomes[quota->outcome], "tokens", (json_int_t)quota->tokens,
		"own_share", quota->own_tokens, "waiting",
		(json_int_t)quota->waiting, "longest_wait_ms", QUOTA_WAIT_MS,
		"owner",
		quota->owner ?
			address_format(address_from_key(quota->owner), owner) :
			NULL);
}

/* Adds the account, and the rejection by its quota if there is none yet. */
static json_t *account_to_json(const struct operator_view *view,
			       const struct account_rule *account,
			       struct caller_rejection *rejection)
{
	struct caller_rejection by_quota;
	struct quota_preview quota;
	json_t *json;

	if (!account)
		return json_null();
	json = json_pack("{s:s, s:i, s:I, s:I, s:i, s:n}", "name",
			 account->name, "rank", (int)account->rank, "rate",
			 (json_int_t)account->rate, "burst",
			 (json_int_t)account->burst, "line", (int)account->line,
			 "quota");
	if (!caller_preview_quota(view->callers, account, &quota, &by_quota))
		return json;
	json_object_set_new(json, "quota", quota_to_json(&quota));
	if (!rejection->status)
		*rejection = by_quota;
	return json;
}

static json_t *rollout_to_json(const struct caller_target_preview *preview)
{
	static const char *const classes[] = {
		[ROLLOUT_ANY] = "any",
		[ROLLOUT_OLD] = "old",
		[ROLLOUT_NEW] = "new",
		[ROLLOUT_NONE] = "none",
	};
	struct rollout_counters counters;

	if (!preview->rollout || !*rollout_target(preview->rollout))
		return json_null();
	rollout_get_counters(preview->rollout, preview->request.now_ms,
			     &counters);
	return json_pack("{s:s, s:s, s:I, s:s, s:b, s:b}", "phase",
			 rollout_phase_name((enum rollout_phase)counters.phase),
			 "target", rollout_target(preview->rollout),
			 "share_permille", (json_int_t)counters.share_permille,
			 "class", classes[preview->request.rollout_class],
			 "lease", (int)counters.has_lease, "stopped",
			 (int)counters.stopped);
}

static const char *policy_name(enum router_policy policy)
{
	switch (policy) {
	case ROUTER_COST:
		return "cost";
	case ROUTER_TWO_CHOICES:
		return "two-choices";
	case ROUTER_RANDOM:
		return "random";
	}
	return "unknown";
}

static json_t *candidates_to_json(uint32_t count, uint32_t compared)
{
	return json_pack("{s:I, s:I}", "count", (json_int_t)count, "compared",
			 (json_int_t)compared);
}

static void add_preview(const struct operator_view *view, json_t *json,
			const struct caller_target_preview *preview)
{
	const struct router_forecast *forecast = &preview->forecast;
	const struct router_request *request = &preview->request;

	json_object_set_new(json, "policy",
			    json_string(policy_name(forecast->policy)));
	json_object_set_new(json, "service_ms",
			    request->service_ms > 0 ?
				    json_real(request->service_ms) :
				    json_null());
	json_object_set_new(json, "kilobytes", json_real(request->kilobytes));
	json_object_set_new(json, "queue_ms", json_integer(request->queue_ms));
	json_object_set_new(json, "own_domain",
			    candidates_to_json(forecast->own_candidates,
					       forecast->own_compared));
	json_object_set_new(json, "other_domains",
			    candidates_to_json(forecast->other_candidates,
					       forecast->other_compared));
	json_object_set_new(json, "rollout", rollout_to_json(preview));
	json_object_set_new(json, "rejection",
			    rejection_to_json(&preview->rejection));
	json_object_set_new(json, "hosts",
			    explain_hosts(view, preview->hosts,
					  preview->host_count));
}

/* Describes one target of a route: its service and the hosts of that. */
static json_t *target_to_json(const struct operator_view *view,
			      const struct caller_question *question,
			      uint32_t i)
{
	const struct route_target *target = &question->rule->targets[i];
	json_t *json = json_pack("{s:s, s:i}", "service", target->service,
				 "weight", (int)target->weight);
	struct caller_target_preview preview;

	if (question->lookup == ROUTE_FOUND) {
		caller_preview_target(view->callers, question, i, &preview);
		add_preview(view, json, &preview);
		caller_target_preview_clear(&preview);
	} else {
		json_object_set_new(json, "hosts",
				    explain_hosts(view, NULL, 0));
	}
	explain_unavailable_hosts(view, target->service,
				  json_object_get(json, "hosts"));
	return json;
}

/* The target that a request goes to; JSON null if chance decides. */
static json_t *selection_to_json(const struct route_rule *rule, const char *id)
{
	uint32_t offset = 0, target;

	if (!id && rule->target_count > 1)
		return json_null();
	if (id)
		offset = route_rule_request_offset(rule, id, strlen(id));
	target = route_rule_target_at(rule, offset);
	return json_pack("{s:s?, s:s, s:I, s:I, s:s}", "id", id, "service",
			 rule->targets[target].service, "offset",
			 (json_int_t)offset, "of",
			 (json_int_t)route_rule_total_weight(rule), "why",
			 rule->target_count == 1 ?
				 "the route has one target" :
				 "hash of the id modulo the sum of the "
				 "weights; the targets own consecutive ranges "
				 "in their order");
}

static json_t *explain_route(const struct operator_view *view,
			     const struct caller_question *question,
			     const char *id)
{
	const struct route_rule *rule = question->rule;
	struct caller_rejection rejection;
	json_t *json = json_object(), *targets = json_array();

	caller_preview_arrival(view->callers, question, &rejection);
	json_object_set_new(
		json, "version",
		json_integer((json_int_t)snapshot_version(question->snapshot)));
	json_object_set_new(json, "account",
			    account_to_json(view, question->account,
					    &rejection));
	json_object_set_new(json, "rejection", rejection_to_json(&rejection));
	json_object_set_new(json, "route",
			    rule ? route_to_json(question->snapshot, rule) :
				   json_null());
	if (rule) {
		json_object_set_new(
			json, "rank",
			json_integer(rules_call_rank(question->account,
						     rule->call_policy.rank)));
		json_object_set_new(json, "selection",
				    selection_to_json(rule, id));
	}
	for (uint32_t i = 0; rule && i < rule->target_count; i++)
		json_array_append_new(targets,
				      target_to_json(view, question, i));
	json_object_set_new(json, "targets", targets);
	return json;
}

static int is_method(const char *method)
{
	size_t len = strlen(method);

	return len && len <= METHOD_MAX_BYTES &&
	       len == strspn(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz"
				     "0123456789!#$%&'*+-.^_`|~");
}

/* Returns why the query is none, or NULL. */
static const char *check_query(const struct explain_query *query)
{
	if (query->method && !is_method(query->method))
		return "the method is not one of HTTP";
	if (query->path && *query->path != '/')
		return "the path must start with '/'";
	if (query->account && query->key.size)
		return "give the account's name or its key, not both";
	return NULL;
}

static const struct account_rule *find_account(const struct snapshot *snapshot,
					       const char *name)
{
	for (size_t i = 0; i < snapshot_account_count(snapshot); i++)
		if (!strcmp(snapshot_account(snapshot, i)->name, name))
			return snapshot_account(snapshot, i);
	return NULL;
}

json_t *explain_request(const struct operator_view *view,
			const struct explain_query *query, int *status)
{
	struct caller_question question = {
		.snapshot = view->snapshot(view->data),
		.has_key = query->account || query->key.size,
	};
	const char *method = query->method ? query->method : "GET";
	const char *host = query->host ? query->host : "";
	const char *path = query->path ? query->path : "/";
	const char *error = check_query(query);

	if (error)
		return error_to_json(error, status, 400);
	if (!question.snapshot)
		return error_to_json("no configuration is in force yet", status,
				     503);
	if (query->account) {
		question.account =
			find_account(question.snapshot, query->account);
		if (!question.account)
			return error_to_json(
				"the configuration in force has no such "
				"account",
				status, 400);
	} else if (query->key.size) {
		question.account = snapshot_find_account(
			question.snapshot, query->key.bytes, query->key.size);
	}
	question.lookup = snapshot_find_route(question.snapshot, method,
					      strlen(method), host,
					      strlen(host), path, strlen(path),
					      &question.route, &question.rule);
	*status = 200;
	return explain_route(view, &question, query->id);
}
