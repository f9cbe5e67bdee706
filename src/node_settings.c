#include "node_settings.h"

#include "fescue/error.h"
#include "fescue/rollout_leader.h"
#include "fescue/router.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/resource.h>

/* The rest of the grace period is left to exit in, also on a busy host. */
#define DRAIN_GRACE_PERCENT 90
#define STOP_MIN_DEFAULT_MS 300 /* for peers to learn of the stop */
/*
 * Gives peers time to discover a host before it receives calls, so that what
 * they send it first, such as reports of requests that crash backend servers,
 * does not arrive after those requests.
 */
#define ANNOUNCE_DELAY_DEFAULT_MS 2000

/*
 * A caller that reads 1 kB/s opens its TCP window again after a sixteenth of its
 * receive buffer, which Linux lets grow to 6 MB by default: after 393 s.
 */
#define ANSWER_STALL_DEFAULT_MS 600000

#define CALLER_CONNECTIONS_MAX 1000000

#define FIELD(member) offsetof(struct node_settings, member)
#define NUMBER(key, member, min, max)                                 \
	{                                                             \
		key, SETTING_NUMBER, FIELD(member), 0, min, max, NULL \
	}

#define QUANTITY(key, member, min, max)                                 \
	{                                                               \
		key, SETTING_QUANTITY, FIELD(member), 0, min, max, NULL \
	}

static const char *const distribution_modes[] = { "relay", "gossip", "poll",
						  NULL };
static const char *const router_policies[] = { "cost", "two-choices", "random",
					       NULL };
static const char *const admission_policies[] = { "classes", "fifo", NULL };

static const char *const interface_types[] = { "fescue", "platform", NULL };
static const char *const floor_policies[] = { "strict", "prompt", NULL };

static const struct setting node_settings_table[] = {
	{ "address", SETTING_IP, FIELD(address), 1, 0, 0, NULL },
	{ "peer_port", SETTING_NUMBER, FIELD(peer_port), 1, 1, 65535, NULL },
	{ "caller_port", SETTING_NUMBER, FIELD(caller_port), 0, 1, 65535,
	  NULL },
	{ "callers", SETTING_ADDRESS, FIELD(callers), 0, 0, 0, NULL },
	{ "announcements", SETTING_ADDRESS, FIELD(announcements), 0, 0, 0,
	  NULL },
	{ "readiness", SETTING_ADDRESS, FIELD(readiness), 0, 0, 0, NULL },
	{ "service", SETTING_TEXT, FIELD(service), 0, 0, 0, NULL },
	{ "interface", SETTING_CHOICE, FIELD(interface), 0, 0, 0,
	  interface_types },
	{ "floor", SETTING_CHOICE, FIELD(floor_policy), 0, 0, 0,
	  floor_policies },
	{ "operator_port", SETTING_NUMBER, FIELD(operator_port), 1, 1, 65535,
	  NULL },
	{ "operator_address", SETTING_IP, FIELD(operator_address), 0, 0, 0,
	  NULL },
	{ "failure_domain", SETTING_TEXT, FIELD(failure_domain), 1, 0, 0,
	  NULL },
	{ "store", SETTING_ADDRESS, FIELD(store), 1, 0, 0, NULL },
	{ "distribution", SETTING_CHOICE, FIELD(distribution.mode), 0, 0, 0,
	  distribution_modes },
	{ "router_policy", SETTING_CHOICE, FIELD(router_policy), 0, 0, 0,
	  router_policies },
	{ "admission_policy", SETTING_CHOICE, FIELD(admission_policy), 0, 0, 0,
	  admission_policies },
	NUMBER("start_jitter_ms", start_jitter_ms, 1, 600000),
	NUMBER("drain_ms", drain_ms, 0, 600000),
	{ "stop_grace_s", SETTING_SECONDS, FIELD(stop_grace_ms), 0, 0, 600,
	  NULL },
	NUMBER("stop_serve_ms", stop_serve_ms, 0, 600000),
	NUMBER("stop_min_ms", stop_min_ms, 0, 600000),
	NUMBER("announce_delay_ms", announce_delay_ms, 0, 60000),
	NUMBER("cross_domain_ms_per_kb", cross_domain_ms_per_kb, 0, 60000),
	QUANTITY("retry_burst", retry_burst, 0, 1000000),
	NUMBER("hedge_percent", hedge_percent, 0, RULES_HEDGE_MAX_PERCENT),
	{ "quota_window_s", SETTING_SECONDS, FIELD(quota.window_ms), 0, 0, 3600,
	  NULL },
	{ "quota_overage", SETTING_FRACTION, FIELD(quota.overage_ppm), 0, 0, 10,
	  NULL },
	QUANTITY("quota_slack", quota.slack, 0, 1000000),
	{ "rollout_exposure", SETTING_REAL, FIELD(rollout_exposure), 0, 0, 1,
	  NULL },
	QUANTITY("rollout_exposure_slack", rollout_exposure_slack, 0, 1000000),
	QUANTITY("rollback_ms", rollback_ms, 100, 600000),
	NUMBER("fetch_delay_ms", distribution.fetch_delay_ms, 0, 60000),
	NUMBER("caller_connections", caller_connections, 0,
	       CALLER_CONNECTIONS_MAX),
	QUANTITY("memory_mb", memory_mb, 0, 10000000),
	{ "body_stall_s", SETTING_SECONDS, FIELD(body_stall_ms), 0, 0, 86400,
	  NULL },
	{ "answer_stall_s", SETTING_SECONDS, FIELD(answer_stall_ms), 0, 0,
	  86400, NULL },
	NUMBER("end_silent_runs", end_silent_runs, 0, 1),
	QUANTITY("capacity", capacity, 0, 10000000),
	NUMBER("deltas", deltas, 0, 1),
	NUMBER("witness", require_peer_copy, 0, 1),
	NUMBER("key_freshness_ms", distribution.key_freshness_ms, 0, 600000),
	NUMBER("relays_per_domain", distribution.relays_per_domain, 1, 16),
	NUMBER("fan_out", distribution.fan_out, 1, 64),
	NUMBER("ack_timeout_ms", distribution.ack_timeout_ms, 10, 60000),
	NUMBER("backup_delay_ms", distribution.backup_delay_ms, 10, 60000),
	NUMBER("fetch_timeout_ms", distribution.fetch_timeout_ms, 10, 60000),
	NUMBER("probe_period_ms", membership.probe_period_ms, 50, 60000),
	NUMBER("probe_timeout_ms", membership.probe_timeout_ms, 10, 60000),
	NUMBER("indirect_probes", membership.indirect_probes, 0, 16),
	NUMBER("suspicion_ms", membership.suspicion_ms, 100, 600000),
	NUMBER("updates_per_packet", membership.updates_per_packet, 1, 64),
	NUMBER("sync_interval_ms", membership.sync_interval_ms, 100, 600000),
	NUMBER("dead_probe_periods", membership.dead_probe_periods, 1, 1000),
	NUMBER("dead_retention_ms", membership.dead_retention_ms, 1000,
	       86400000),
};

/* The other half is left for peers, the backend server and the store. */
static uint32_t half_of_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) ||
	    limit.rlim_cur > CALLER_CONNECTIONS_MAX)
		return CALLER_CONNECTIONS_MAX / 2;
	return MAX((uint32_t)limit.rlim_cur / 2, 1);
}

void node_settings_init(struct node_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings->operator_address = INADDR_LOOPBACK;
	settings->answer_stall_ms = ANSWER_STALL_DEFAULT_MS;
	settings->start_jitter_ms = 500;
	settings->drain_ms = 30000;
	settings->stop_min_ms = STOP_MIN_DEFAULT_MS;
	settings->announce_delay_ms = ANNOUNCE_DELAY_DEFAULT_MS;
	settings->membership = membership_defaults;
	settings->distribution = distribution_defaults;
	settings->deltas = 1;
	settings->require_peer_copy = 1;
	settings->rollout_exposure_slack =
		rollout_leader_defaults.exposure_slack;
	settings->rollback_ms = rollout_leader_defaults.rollback_ms;
	settings->cross_domain_ms_per_kb =
		router_defaults.cross_domain_ms_per_kb;
}

int node_settings_read(const char *path, struct node_settings *settings,
		       char message[SETTINGS_ERROR_BYTES])
{
	int error;

	node_settings_init(settings);
	error = settings_read(path, node_settings_table,
			      sizeof(node_settings_table) /
				      sizeof(*node_settings_table),
			      settings, message);
	if (!error && settings->stop_grace_ms)
		settings->drain_ms =
			settings->stop_grace_ms / 100 * DRAIN_GRACE_PERCENT;
	settings->distribution.deltas = (int)settings->deltas;
	settings->distribution.require_peer_copy =
		(int)settings->require_peer_copy;
	if (!error && !settings->callers.port && !settings->caller_port) {
		g_snprintf(message, SETTINGS_ERROR_BYTES,
			   "%s: neither 'callers' nor 'caller_port' is set; "
			   "set one of them",
			   path);
		return FESCUE_EINVAL;
	}
	if (!error && !settings->callers.port) {
		settings->callers.ip = settings->address;
		settings->callers.port = (uint16_t)settings->caller_port;
	}
	settings->caller_port = settings->callers.port;
	if (!settings->caller_connections)
		settings->caller_connections = half_of_descriptor_limit();
	return error;
}
