/*
 * Settings of fescue-node, read from a JSON file.
 */
#ifndef FESCUE_NODE_SETTINGS_H
#define FESCUE_NODE_SETTINGS_H

#include "fescue/address.h"
#include "fescue/distribution.h"
#include "fescue/membership.h"
#include "settings.h"

struct node_settings {
	uint32_t address; /* IPv4, host byte order */
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	uint32_t operator_address; /* default: loopback */
	char failure_domain[SETTING_TEXT_BYTES];
	struct address store;
	uint32_t start_jitter_ms; /* spread of first store reads */
	uint32_t drain_ms; /* longest wait for calls in flight on a stop */
	uint32_t claims; /* 0: forward keyed calls once, as a baseline */
	uint32_t claim_shards;
	uint32_t claim_interval_ms; /* least time between commits of a shard */
	uint32_t claim_retention_ms;
	uint32_t deltas; /* 1: push differences, 0: whole texts */
	int router_policy; /* enum router_policy */
	int admission_policy; /* enum admission_policy */
	struct membership_settings membership;
	struct distribution_settings distribution;
};

void node_settings_init(struct node_settings *settings);

/* Returns 0, or an error and a message for the operator. */
int node_settings_read(const char *path, struct node_settings *settings,
		       char message[SETTINGS_ERROR_BYTES]);

#endif
