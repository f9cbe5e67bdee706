/*
 * Long request bodies at the target host: they arrive in parts, in order, and
 * are counted against a limit for all nodes until their calls have ended. The
 * module does no I/O and reads no clock.
 */
#ifndef FESCUE_INBOUND_BODIES_H
#define FESCUE_INBOUND_BODIES_H

#include "packet.h"

/* Longer bodies are sent in parts, and count against the limit. */
#define INBOUND_BODY_SHORT_BYTES ((size_t)256 << 10)
/* A body is in the request, and in the copy for the backend server. */
#define INBOUND_BODY_COPIES 2

struct inbound_bodies;

/* A request whose body is not complete. */
struct partial_request {
	uint64_t from; /* address key of the sending node */
	Fescue__CallRequest *request; /* body.len: bytes that have arrived */
	uint64_t started_ms;
	uint64_t deadline_ms;
};

enum body_progress {
	BODY_UNKNOWN, /* no such request, or a part that does not fit */
	BODY_PARTIAL,
	BODY_COMPLETE,
};

struct inbound_bodies *inbound_bodies_create(size_t limit_bytes);

/* Frees the requests that are not complete. NULL is allowed. */
void inbound_bodies_destroy(struct inbound_bodies *bodies);

/*
 * Counts a body of so many bytes with its copies. Returns 0, or
 * FESCUE_EUNAVAILABLE if the limit has no room. Short bodies are not counted.
 */
int inbound_bodies_reserve(struct inbound_bodies *bodies, uint64_t bytes);
void inbound_bodies_release(struct inbound_bodies *bodies, uint64_t bytes);

/* Bytes counted, copies included. */
size_t inbound_bodies_used(const struct inbound_bodies *bodies);

/*
 * Takes over a request with the first part of its body, whose body_bytes the
 * caller has reserved and which remain reserved when it is taken out again.
 */
void inbound_bodies_start(struct inbound_bodies *bodies, uint64_t from,
			  Fescue__CallRequest *request, uint64_t now_ms);

/*
 * Adds a part. The request that it belongs to, complete or with a part that does
 * not fit, is taken out and becomes the caller's: *out receives it. Else NULL.
 */
enum body_progress inbound_bodies_add(struct inbound_bodies *bodies,
				      uint64_t from,
				      const Fescue__CallBody *part,
				      struct partial_request *out);

/*
 * Take out a request: one of a node by its call id, any one of a node (0: of
 * all), or one whose deadline has passed. Return 1, or 0 if there is none.
 */
int inbound_bodies_take(struct inbound_bodies *bodies, uint64_t from,
			uint64_t call_id, struct partial_request *out);
int inbound_bodies_take_of(struct inbound_bodies *bodies, uint64_t from,
			   struct partial_request *out);
int inbound_bodies_take_expired(struct inbound_bodies *bodies, uint64_t now_ms,
				struct partial_request *out);

/* Requests that are not complete. */
uint32_t inbound_bodies_count(const struct inbound_bodies *bodies);

#endif
