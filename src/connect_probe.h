/*
 * Checks whether a process listens at an address by opening a TCP connection.
 * No request is sent, so that the probe uses no slot of a backend server.
 */
#ifndef FESCUE_CONNECT_PROBE_H
#define FESCUE_CONNECT_PROBE_H

#include "fescue/address.h"

#include <uv.h>

enum connect_probe_result {
	CONNECT_PROBE_LISTENS, /* accepted, and kept open for 30 ms */
	CONNECT_PROBE_REFUSED, /* or closed right after it was accepted */
	CONNECT_PROBE_INCONCLUSIVE, /* timeout, or the start failed */
};

/*
 * Start a probe; done is called once from the loop, never from within this
 * function.
 */
void connect_probe_start(
	uv_loop_t *loop, struct address address, uint32_t timeout_ms,
	void (*done)(void *data, enum connect_probe_result result), void *data);

#endif
