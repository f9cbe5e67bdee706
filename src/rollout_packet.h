/*
 * Packets of roll-outs: the states that the leader sends, and the reports with
 * which hosts reply.
 */
#ifndef FESCUE_ROLLOUT_PACKET_H
#define FESCUE_ROLLOUT_PACKET_H

#include "fescue/rollout.h"
#include "packet.h"

/* States in one packet; a deployment has few services. */
#define ROLLOUT_STATES_MAX 32

/*
 * Creates a packet with up to ROLLOUT_STATES_MAX states. complete: the sender
 * knows of all orders in the store.
 */
Fescue__Packet *rollout_state_packet(const struct rollout_state *states,
				     size_t count, int from_leader,
				     int complete);

/* Returns 0, or FESCUE_EINVAL if a text is too long or there is no service. */
int rollout_state_read(const Fescue__RolloutService *message,
		       struct rollout_state *out);

Fescue__Packet *rollout_report_packet(const struct rollout_report *report);

/* Asks a host for its states. */
Fescue__Packet *rollout_ask_packet(void);

/* The same as rollout_state_read(); surplus rows are dropped. */
int rollout_report_read(const Fescue__RolloutReport *message,
			struct rollout_report *out);

#endif
