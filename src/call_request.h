/*
 * The caller's request, which the entry node sends to the target host: method,
 * host, path, headers and body.
 */
#ifndef FESCUE_CALL_REQUEST_H
#define FESCUE_CALL_REQUEST_H

#include "fescue/header_codec.h"
#include "http_server.h"
#include "interface.h"
#include "packet.h"

/*
 * Copy of a caller's request, used for all attempts of the call. The strings of
 * the http_exchange are valid only until more bytes are read on its connection.
 */
struct caller_request {
	char *method;
	char *host;
	char *path;
	GPtrArray *headers; /* Fescue__Header, names in lower case */
	void *body;
	size_t body_size;
};

/* What a node tells the backend server of the origin of a call. */
struct call_origin {
	const char *service; /* of this host's backend server; "": unknown */
	uint32_t depth; /* of the call */
	/* The configuration has accounts: their headers are the node's to set. */
	int has_accounts;
	const char *account; /* name; NULL: the call has none */
};

/*
 * Copy the request of an exchange with the headers for the backend server:
 * hop-by-hop headers and the account's key are left out, and headers that nodes
 * set are replaced. Release with caller_request_clear().
 */
void caller_request_init(struct caller_request *request,
			 const struct http_exchange *exchange,
			 const struct header_names *names,
			 const struct call_origin *origin);

/* Value of a copied header, or NULL; name is in lower case or NULL. */
const char *caller_request_header(const struct caller_request *request,
				  const char *name);

void caller_request_clear(struct caller_request *request);

/*
 * Encode the headers, host and service of a request with a link's header table,
 * and decode them at the other end, in the same order of requests.
 * call_request_decode() returns 0, or FESCUE_EINVAL if the request does not fit
 * the decoder's table.
 */
void call_request_encode(struct header_encoder *encoder,
			 Fescue__CallRequest *request);
int call_request_decode(struct header_decoder *decoder,
			Fescue__CallRequest *request);

/* The same of a decoded request; owned by it. */
const char *call_request_header(const Fescue__CallRequest *request,
				const char *name);

/*
 * Create a CallRequest packet from the caller's request. The caller of this
 * function sets the call id, service, limits and times.
 */
Fescue__Packet *call_request_create(const struct caller_request *request);

#endif
