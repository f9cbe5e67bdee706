/*
 * Does a process listen at an address? Asked by a bare connection, which
 * costs its owner no slot and runs nothing.
 */
#ifndef FESCUE_CONNECT_PROBE_H
#define FESCUE_CONNECT_PROBE_H

#include "fescue/address.h"

#include <uv.h>

enum connect_probe_result {
	CONNECT_PROBE_LISTENS,
	CONNECT_PROBE_REFUSED,
	CONNECT_PROBE_SILENT, /* no answer in time: says nothing */
};

/* done is called once, later, from the loop. */
void connect_probe_start(
	uv_loop_t *loop, struct address address, uint32_t timeout_ms,
	void (*done)(void *data, enum connect_probe_result result), void *data);

#endif
