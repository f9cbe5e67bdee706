/* Private state of the roll-out task, shared by its files. */
#ifndef FESCUE_ROLLOUT_TASK_STATE_H
#define FESCUE_ROLLOUT_TASK_STATE_H

#include "rollout_store.h"
#include "rollout_task.h"

/* One service that has hosts, an order or a state. */
struct rollout_service {
	char name[RULES_NAME_MAX_BYTES + 1];
	struct rollout *rollout;
	GArray *servers; /* struct rollout_server */
	GArray *leader_servers; /* struct rollout_leader_server */
	int has_servers; /* rollout_set_servers() was called */
	/* As last logged by the leader, and as last seen from a leader. */
	struct rollout_progress logged;
	int was_logged;
	uint32_t seen_phase;
	uint64_t seen_order_id;
	int stop_logged;
};

struct rollout_task {
	struct rollout_task_settings settings;
	GRand *random;
	struct rollouts *rollouts;
	struct rollout_leader *leader_module;
	struct rollout_store *store;
	GHashTable *services; /* name -> struct rollout_service */
	uint64_t generation; /* membership_generation() taken over */
	uint64_t rank_generation; /* membership_relay_generation() of rank */
	size_t rank; /* among all live hosts, those without the store last */
	int leading;
	uint64_t created_ms;
	uint64_t first_since_ms; /* first in the ranking since then; or 0 */
	uint64_t yield_until_ms; /* does not lead before */
	uint64_t leader; /* host that last sent states as the leader; or 0 */
	uint64_t leader_heard_ms; /* when it did */
	uint64_t running_ms; /* when a roll-out was last running */
	uint64_t asked_ms; /* last time a peer was asked for its states */
	uint64_t peer_replied_ms; /* last reply to that; 0: none */
	uint64_t wait_from_ms; /* first failed read of the store; 0: none */
	int waited; /* ready without the states, see rollout_task_is_ready() */
	uint64_t states_sent_ms;
};

static inline uint64_t rollout_task_now_ms(const struct rollout_task *t)
{
	return node_context_now_ms(t->settings.context);
}

/* Returns the service, which is created if it is not known. */
struct rollout_service *rollout_task_service(struct rollout_task *task,
					     const char *name);

/* Frees a service; the destructor of the table. */
void rollout_task_service_free(gpointer service);

/* Decides whether this node leads, and starts or stops to. */
void rollout_task_update_leadership(struct rollout_task *task);

/* The record of a roll-out was changed by another leader. */
void rollout_task_on_conflict(void *data);

/* A state or report arrived; a higher term shows that another host leads. */
void rollout_task_heed_term(struct rollout_task *task, const char *service,
			    uint64_t term);

/* Asks a random peer for its states while the leader is not heard. */
void rollout_task_ask_tick(struct rollout_task *task);

/* Sends the states of the leader to all live hosts if they are due. */
void rollout_task_send_states(struct rollout_task *task, int at_once);

/* Logs the leader's progress where it has changed. */
void rollout_task_log_progress(struct rollout_task *task);

/* Logs the phase that a state has put in force at this host. */
void rollout_task_log_state(struct rollout_service *service, uint64_t from,
			    const struct rollout_state *state);

/* Logs that this host stopped using a version on its own evidence. */
void rollout_task_log_stop(const struct rollout_task *task,
			   struct rollout_service *service);

#endif
