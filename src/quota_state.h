/*
 * Internal state of the host side of quotas, shared by quota.c and
 * quota_exchange.c.
 */
#ifndef FESCUE_QUOTA_STATE_H
#define FESCUE_QUOTA_STATE_H

#include "fescue/quota.h"

#include <glib.h>

/* Requests whose replies are still taken. */
#define QUOTA_ASKS 4
/* A token is identified by its owner's number and stamp. */
#define QUOTA_STAMP_BITS 44

struct quota_account {
	struct quota_limit limit;
	uint32_t waiting; /* requests without a token */
	uint32_t tokens;
	uint64_t born_ms; /* when the tokens were requested */
	uint64_t token; /* identifies their grant, see token_of() */
	uint32_t arrived; /* requests since the last one sent */
	double demand; /* requests per second */
	uint32_t retry_ms; /* told by the owner */
	double own_level; /* bucket of the host's own share */
	uint64_t own_ms; /* own_level is filled up to */
	uint32_t own_lending; /* value of lending when it was last filled */
};

struct quota_candidate {
	uint64_t address;
	uint64_t lost_until_ms;
};

/* Tokens of the host's share, from one owner to the next. */
struct quota_carried {
	uint32_t account;
	uint32_t thousandths;
};

/* Credits to give back with the next request. */
struct quota_returned {
	uint32_t account;
	uint32_t tokens;
	uint64_t token;
};

struct quota_ask {
	uint32_t sequence; /* 0: none */
	uint64_t sent_ms;
};

struct quota_host {
	struct quota_settings settings;
	uint64_t run;
	uint64_t start_ms;
	/* The share is its own from then on; UINT64_MAX: others are awaited. */
	uint64_t settled_ms;
	uint32_t known;
	struct quota_candidate candidates[QUOTA_CANDIDATES];
	size_t candidate_count;
	uint64_t owner; /* asked for tokens; 0: none */
	uint64_t owner_run;
	uint32_t owner_number; /* raised with each owner and run of one */
	GArray *returned; /* struct quota_returned */
	uint64_t stamp_ms; /* of its latest reply, by its clock; 0: none */
	uint64_t stamp_received_ms;
	uint64_t lent_to; /* holds the share until lent_until_ms */
	uint64_t lent_until_ms;
	uint32_t lending; /* raised whenever the share is lent */
	uint64_t release_sent_ms;
	struct quota_carried carried[QUOTA_ROWS_MAX];
	size_t carried_count;
	uint64_t carried_ms;
	uint32_t sequence; /* of the latest packet */
	uint32_t ask_sequence; /* of the latest request to the owner */
	struct quota_ask
		asks[QUOTA_ASKS]; /* latest requests to the owner, a ring */
	size_t next_ask;
	uint32_t release_sequence;
	uint64_t sent_ms; /* latest request to the owner; 0: none */
	int awaiting; /* its reply */
	int missed_replies;
	uint64_t left_ms; /* an owner was left */
	uint64_t chosen_ms; /* the owner was chosen */
	int stopped;
	uint32_t waiting; /* of all accounts */
	GHashTable *accounts; /* id -> struct quota_account */
};

/* Returns NULL if the account has had no request here. */
struct quota_account *quota_find_account(const struct quota_host *host,
					 uint32_t id);

/* Keeps credits for the owner until the next request to it. */
void quota_give_back(struct quota_host *host, uint32_t id, uint32_t count,
		     uint64_t token);

#endif
