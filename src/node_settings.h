/*
 * Settings of fescue-node, read from a JSON file.
 */
#ifndef FESCUE_NODE_SETTINGS_H
#define FESCUE_NODE_SETTINGS_H

#include "fescue/address.h"
#include "fescue/distribution.h"
#include "fescue/membership.h"
#include "interface.h"
#include "settings.h"

/* When a node that starts may serve callers. */
enum floor_policy {
	FLOOR_STRICT, /* not below the version it had in an earlier run */
	FLOOR_PROMPT, /* as soon as it has any version */
};

struct node_settings {
	uint32_t address; /* IPv4, host byte order */
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	uint32_t operator_address; /* default: loopback */
	char failure_domain[SETTING_TEXT_BYTES];
	uint32_t capacity; /* of the link in Mbit/s; 0: not told */
	struct address store;
	uint32_t start_jitter_ms; /* spread of first store reads */
	uint32_t drain_ms; /* longest wait for calls in flight on a stop */
	uint32_t stop_grace_ms; /* till a stopping node is killed; 0: not known */
	int interface; /* enum interface_type */
	struct address callers; /* port 0: address and caller_port */
	struct address announcements; /* port 0: on the operator port only */
	struct address readiness; /* port 0: on the operator port only */
	char service[SETTING_TEXT_BYTES]; /* of the own backend server */
	uint32_t announce_delay_ms;
	int floor_policy; /* enum floor_policy */
	uint32_t stop_serve_ms; /* calls go on to the backend server for so long */
	uint32_t stop_min_ms; /* least time between a stop signal and the end */
	uint32_t deltas; /* 1: push differences, 0: whole texts */
	uint32_t require_peer_copy; /* see struct distribution_settings */
	int router_policy; /* enum router_policy */
	uint32_t cross_domain_ms_per_kb; /* see struct router_settings */
	uint32_t retry_burst; /* see retry_budgets_create() */
	int admission_policy; /* enum admission_policy */
	struct membership_settings membership;
	struct distribution_settings distribution;
};

void node_settings_init(struct node_settings *settings);

/* Returns 0, or an error and a message for the operator. */
int node_settings_read(const char *path, struct node_settings *settings,
		       char message[SETTINGS_ERROR_BYTES]);

#endif
