/*
 * How large the calls of each route are, learnt from their answers.
 */
#ifndef FESCUE_CALL_SIZES_H
#define FESCUE_CALL_SIZES_H

#include "fescue/rules.h"

struct call_sizes;

struct call_sizes *call_sizes_create(void);
void call_sizes_destroy(struct call_sizes *sizes);

/* An answer of the route had a body of this many bytes. */
void call_sizes_note(struct call_sizes *sizes, const struct route_rule *route,
		     size_t body_bytes);

/* Expected kB on the link between two nodes, both ways. */
double call_sizes_kilobytes(const struct call_sizes *sizes,
			    const struct route_rule *route);

#endif
