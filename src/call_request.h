/*
 * The part of a call that travels from its entry node to the target host:
 * method, host, path, headers and body of the caller's request.
 */
#ifndef FESCUE_CALL_REQUEST_H
#define FESCUE_CALL_REQUEST_H

#include "http_server.h"
#include "interface.h"
#include "packet.h"

/* Headers to pass on, collected once for all attempts of a call. */
struct call_headers {
	GPtrArray *list; /* Fescue__Header */
};

/*
 * Take the headers that a backend server should see: not those that concern
 * one connection, and what this node sets itself in place of what was sent.
 * service is that of the host where the call began; "": not told.
 */
void call_headers_collect(struct call_headers *headers,
			  const struct http_exchange *exchange,
			  const struct header_names *names, const char *service,
			  uint32_t depth);
void call_headers_clear(struct call_headers *headers);

/* A CallRequest with the caller's request; limits and times are left open. */
Fescue__Packet *call_request_create(const struct http_exchange *exchange,
				    const struct call_headers *headers);

#endif
