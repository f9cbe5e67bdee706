/*
 * Settings of fescue-node, read from a JSON file.
 */
#ifndef FESCUE_NODE_SETTINGS_H
#define FESCUE_NODE_SETTINGS_H

#include "fescue/address.h"
#include "fescue/distribution.h"
#include "fescue/membership.h"
#include "fescue/quota.h"
#include "interface.h"
#include "settings.h"

/* Which version a node that starts needs before it serves callers. */
enum floor_policy {
	FLOOR_STRICT, /* its confirmed version floor, see fescue/floor.h */
	FLOOR_PROMPT, /* any version */
};

struct node_settings {
	uint32_t address; /* IPv4, host byte order */
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	uint32_t operator_address; /* default: loopback */
	char failure_domain[SETTING_TEXT_BYTES];
	uint32_t capacity; /* of the network link in Mbit/s; 0: not known */
	struct address store;
	uint32_t caller_connections; /* most open ones; 0: half of the limit */
	uint32_t memory_mb; /* of the machine; 0: not known */
	uint32_t body_stall_ms; /* see http_server_set_stall_limits() */
	uint32_t answer_stall_ms;
	uint32_t end_silent_runs; /* see struct backend_server_settings */
	uint32_t start_jitter_ms; /* spread of the first store reads */
	uint32_t drain_ms; /* longest wait of a stop for calls in flight */
	/* Time until a stopping node is killed; 0: not known. Sets drain_ms. */
	uint32_t stop_grace_ms;
	int interface; /* enum interface_type */
	struct address callers; /* default: address and caller_port */
	struct address announcements; /* port 0: on the operator port only */
	struct address readiness; /* port 0: on the operator port only */
	char service[SETTING_TEXT_BYTES]; /* of the local backend server */
	uint32_t announce_delay_ms; /* see struct backend_server_settings */
	int floor_policy; /* enum floor_policy */
	/* Time for which the backend server gets calls after a stop signal. */
	uint32_t stop_serve_ms;
	uint32_t stop_min_ms; /* least time from a stop signal to the exit */
	uint32_t deltas; /* 1: push deltas, 0: whole texts */
	uint32_t require_peer_copy; /* see struct distribution_settings */
	int router_policy; /* enum router_policy */
	uint32_t cross_domain_ms_per_kb; /* see struct router_settings */
	uint32_t retry_burst; /* see retry_budgets_create() */
	uint32_t hedge_percent; /* see struct caller_settings */
	/* Quotas of accounts, see struct quota_settings; off if window_ms is 0. */
	struct quota_settings quota;
	int admission_policy; /* enum admission_policy */
	/*
	 * Share of a service's calls that a bad version may get; 0: roll-outs
	 * are off. And the number of calls beyond that share.
	 */
	double rollout_exposure;
	uint32_t rollout_exposure_slack;
	uint32_t rollback_ms; /* from the 50th bad answer to the last call */
	struct membership_settings membership;
	struct distribution_settings distribution;
};

/* Set the defaults; settings without a default become 0. */
void node_settings_init(struct node_settings *settings);

/*
 * Read the settings file at path, with defaults for absent keys. Returns 0, or
 * an error with a message for the operator.
 */
int node_settings_read(const char *path, struct node_settings *settings,
		       char message[SETTINGS_ERROR_BYTES]);

#endif
