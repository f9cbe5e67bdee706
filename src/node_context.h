/*
 * State that the components of a node share: event loop, clock, counters and
 * the function that sends packets. Entry node and backend server side of a call
 * interact only by packets, also within one node.
 */
#ifndef FESCUE_NODE_CONTEXT_H
#define FESCUE_NODE_CONTEXT_H

#include "counters.h"
#include "interface.h"
#include "packet.h"

#include <uv.h>

struct node_context {
	uv_loop_t *loop;
	/* Total time of host suspensions, which the loop's clock leaves out. */
	uint64_t suspended_ms;
	struct counters *counters;
	const struct header_names *headers;
	uint64_t own; /* address_key() of this node */
	uint64_t epoch; /* of this run of the node, gossiped to its peers */
	/*
	 * Deliver a packet to a node; takes ownership. A packet to this node
	 * itself is handled before the function returns.
	 */
	void (*send)(void *data, uint64_t to, Fescue__Packet *packet);
	/* The same for small packets that may be lost; NULL: as send(). */
	void (*send_control)(void *data, uint64_t to, Fescue__Packet *packet);
	/* See transport_news_age_ms(). NULL: peers do not tell. */
	uint32_t (*news_age_ms)(void *data, uint64_t peer);
	/* See transport_ask(); may be NULL. */
	void (*ask)(void *data, uint64_t peer);
	void *data; /* first argument of the callbacks */
};

static inline void node_context_send(const struct node_context *context,
				     uint64_t to, Fescue__Packet *packet)
{
	context->send(context->data, to, packet);
}

static inline void node_context_send_control(const struct node_context *context,
					     uint64_t to,
					     Fescue__Packet *packet)
{
	if (context->send_control)
		context->send_control(context->data, to, packet);
	else
		context->send(context->data, to, packet);
}

/* Age of what this node knows of a peer's calls and cancels; 0: of its own. */
static inline uint32_t
node_context_news_age_ms(const struct node_context *context, uint64_t peer)
{
	if (peer == context->own || !context->news_age_ms)
		return 0;
	return context->news_age_ms(context->data, peer);
}

/* Has a peer tell news of its calls and cancels. */
static inline void node_context_ask(const struct node_context *context,
				    uint64_t peer)
{
	if (context->ask)
		context->ask(context->data, peer);
}

/* Clock for deadlines and timeouts; includes host suspensions. */
static inline uint64_t node_context_now_ms(const struct node_context *context)
{
	return uv_now(context->loop) + context->suspended_ms;
}

#endif
