/*
 * The part of a call that travels from its entry node to the target host:
 * method, host, path, headers and body of the caller's request.
 */
#ifndef FESCUE_CALL_REQUEST_H
#define FESCUE_CALL_REQUEST_H

#include "fescue/header_codec.h"
#include "http_server.h"
#include "interface.h"
#include "packet.h"

/*
 * A copy of the caller's request for all attempts of a call. The exchange's
 * own texts are good only until more bytes are read on its connection.
 */
struct call_origin {
	char *method;
	char *host;
	char *path;
	GPtrArray *headers; /* Fescue__Header, to pass on */
	void *body;
	size_t body_size;
};

/*
 * Copy the request with the headers that a backend server should see: not
 * those that concern one connection, and what this node sets itself in place
 * of what was sent. service is that of the host where the call began; "": not
 * told.
 */
void call_origin_copy(struct call_origin *origin,
		      const struct http_exchange *exchange,
		      const struct header_names *names, const char *service,
		      uint32_t depth);
/* Value of a header that is passed on, or NULL; name NULL is allowed. */
const char *call_origin_header(const struct call_origin *origin,
			       const char *name);
void call_origin_clear(struct call_origin *origin);

/*
 * Shorten a request for a link, and restore it at the other end; host and
 * service repeat as headers do. call_request_decode() returns 0, or
 * FESCUE_EINVAL when the link's tables differ.
 */
void call_request_encode(struct header_encoder *encoder,
			 Fescue__CallRequest *request);
int call_request_decode(struct header_decoder *decoder,
			Fescue__CallRequest *request);

/* A CallRequest with the caller's request; limits and times are left open. */
Fescue__Packet *call_request_create(const struct call_origin *origin);

#endif
