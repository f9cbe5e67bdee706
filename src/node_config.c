/* Applies versions of the configuration on the node. */
#include "node.h"

#include "events.h"
#include "fescue/error.h"
#include "fescue/rollout.h"
#include "log.h"

#include <inttypes.h>

#define SOURCE_BYTES (32 + ADDRESS_TEXT_BYTES)

/* Returns the hosts that serve, as input for a snapshot. */
static GArray *serving_hosts(const struct node *node)
{
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(struct snapshot_host));

	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct host *host = membership_host(node->membership, i);
		struct snapshot_host entry = { host->address, host->service,
					       host->failure_domain,
					       host->slots, 0 };

		if (!host_is_serving(host))
			continue;
		if (*host->backend_version)
			entry.version_hash =
				rollout_version_hash(host->backend_version);
		g_array_append_val(hosts, entry);
	}
	return hosts;
}

/* Tells, once for each, which limit the memory of the callers does not allow. */
static void log_body_max(struct node *node, uint32_t limit_bytes)
{
	size_t max_bytes = http_server_body_max(node->caller_server);

	if (limit_bytes == node->logged_body_limit)
		return;
	node->logged_body_limit = limit_bytes;
	if (limit_bytes > max_bytes)
		log_state("bodies over %zu bytes get 413, not only those over "
			  "the limit of %u: raise the setting memory_mb (%u)",
			  max_bytes, limit_bytes, node->settings.memory_mb);
}

/* Applies the active rules that limit this node's own connections. */
static void apply_limits(struct node *node)
{
	const struct limits_rule *rule = snapshot_limits(node->snapshot);
	struct http_server_limits limits = { rule->header_bytes,
					     rule->body_bytes,
					     rule->header_timeout_ms,
					     rule->idle_timeout_ms };
	const struct service_rule *service = snapshot_find_service(
		node->snapshot, backend_server_service(node->backend));

	http_server_set_limits(node->caller_server, &limits);
	log_body_max(node, rule->body_bytes);
	backend_server_limit_connections(node->backend,
					 service ? service->connections : 0);
}

static void swap_snapshot(struct node *node, struct snapshot *next)
{
	struct snapshot *old = node->snapshot;

	g_assert(!old || snapshot_version(next) >= snapshot_version(old));
	node->snapshot = next;
	node->snapshot_generation = membership_generation(node->membership);
	node->counters.values[COUNTER_snapshots_compiled]++;
	apply_limits(node);
	snapshot_unref(old);
}

static const struct seen_version *find_seen(const struct node *node,
					    uint64_t version)
{
	for (size_t i = 0; i < SEEN_VERSIONS; i++)
		if (node->seen[i].version == version)
			return &node->seen[i];
	return NULL;
}

/* Members of a log line: a source, and the peer unless it is the store. */
static const char *format_source(const struct version_source *source,
				 char out[SOURCE_BYTES])
{
	char peer[ADDRESS_TEXT_BYTES];

	if (source->peer)
		g_snprintf(
			out, SOURCE_BYTES, "\"source\":\"%s\",\"peer\":\"%s\"",
			version_source_name(source->type),
			address_format(address_from_key(source->peer), peer));
	else
		g_snprintf(out, SOURCE_BYTES, "\"source\":\"%s\"",
			   version_source_name(source->type));
	return out;
}

static void apply_version(struct node *node,
			  const struct distribution_action *action)
{
	GArray *hosts = serving_hosts(node);
	const struct snapshot_host *list =
		(const struct snapshot_host *)(void *)hosts->data;
	const char *text = action->u.apply.text;
	size_t size = action->u.apply.size, count;
	const struct seen_version *seen = find_seen(node, action->version);
	struct snapshot *next;
	struct diagnostic diagnostic;
	char source[SOURCE_BYTES];
	int error = FESCUE_OK;

	if (action->u.apply.rules)
		next = snapshot_create_parsed(action->version, text, size,
					      action->u.apply.rules, list,
					      hosts->len);
	else
		error = snapshot_create(action->version, text, size, list,
					hosts->len, &next, &diagnostic, 1,
					&count);
	g_array_free(hosts, TRUE);
	g_assert(!error); /* the distribution has validated the text */
	swap_snapshot(node, next);
	distribution_keys_apply(node->distribution, action->version);
	membership_set_version(node->membership, action->version,
			       action->u.apply.hash);
	node->counters.values[COUNTER_config_applied]++;
	event_log_write(node->events, "applied",
			"\"version\":%" PRIu64 ",\"hash\":\"%016" PRIx64 "\"",
			action->version, action->u.apply.hash);
	log_event(LOG_STATE, "version_in_force",
		  "\"version\":%" PRIu64 ",\"hash\":\"%016" PRIx64
		  "\",%s,\"after_seen_ms\":%" PRIu64 ",\"routes\":%zu",
		  action->version, action->u.apply.hash,
		  format_source(&action->source, source),
		  seen ? node_now_ms(node) - seen->at_ms : 0,
		  snapshot_effective_route_count(node->snapshot));
}

static void record_rejection(struct node *node,
			     const struct distribution_action *action)
{
	const struct diagnostic *diagnostic = &action->u.reject;
	char what[LOG_QUOTED_BYTES], remedy[LOG_QUOTED_BYTES];
	char source[SOURCE_BYTES];

	node->counters.values[COUNTER_config_rejected]++;
	log_event(LOG_STATE, "version_refused",
		  "\"version\":%" PRIu64 ",%s,\"line\":%u,\"column\":%u,"
		  "\"reason\":%s,\"remedy\":%s",
		  action->version, format_source(&action->source, source),
		  diagnostic->line, diagnostic->column,
		  log_quote(diagnostic->what, what),
		  log_quote(diagnostic->remedy, remedy));
	event_log_write(node->events, "rejected", "\"version\":%" PRIu64,
			action->version);
}

void node_record_version(struct node *node, uint64_t version,
			 const struct version_source *source)
{
	char text[SOURCE_BYTES];

	if (!version || find_seen(node, version) ||
	    version <= distribution_version(node->distribution))
		return;
	node->seen[node->seen_next] =
		(struct seen_version){ version, node_now_ms(node) };
	node->seen_next = (node->seen_next + 1) % SEEN_VERSIONS;
	log_event(LOG_STATE, "version_seen", "\"version\":%" PRIu64 ",%s",
		  version, format_source(source, text));
}

static void refresh_snapshot_hosts(struct node *node)
{
	GArray *hosts;

	if (!node->snapshot || node->snapshot_generation ==
				       membership_generation(node->membership))
		return;
	hosts = serving_hosts(node);
	swap_snapshot(node,
		      snapshot_with_hosts(
			      node->snapshot,
			      (const struct snapshot_host *)(void *)hosts->data,
			      hosts->len));
	g_array_free(hosts, TRUE);
}

static void set_watching(struct node *node, int watch)
{
	const struct distribution *d = node->distribution;

	log_event(LOG_STATE, watch ? "store_watched" : "store_not_watched",
		  "\"relay\":%d,\"rank\":%zu,\"unconfirmed_ms\":%" PRIu64,
		  distribution_is_relay(d), distribution_rank(d),
		  distribution_unconfirmed_ms(d, node_now_ms(node)));
	bootstrap_set_watching(node->bootstrap, watch);
}

void node_update_config(struct node *node)
{
	struct distribution_action action;

	/* A version that appears is held back before calls are routed to it. */
	node_update_rollouts(node);
	while (distribution_next_action(node->distribution, &action)) {
		switch (action.type) {
		case DISTRIBUTION_APPLY:
			apply_version(node, &action);
			break;
		case DISTRIBUTION_REJECT:
			record_rejection(node, &action);
			break;
		case DISTRIBUTION_WATCH:
		case DISTRIBUTION_UNWATCH:
			set_watching(node, action.type == DISTRIBUTION_WATCH);
			break;
		}
	}
	refresh_snapshot_hosts(node);
	node_flush(node);
}
