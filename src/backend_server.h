/*
 * The backend server beside this node: its announcement, the admission of
 * calls to it, and the calls it runs.
 */
#ifndef FESCUE_BACKEND_SERVER_H
#define FESCUE_BACKEND_SERVER_H

#include "node.h"

struct backend_server *backend_server_create(struct node *node);
void backend_server_destroy(struct backend_server *backend);

/* POST /backend: the backend server announces itself; kept for some seconds.
 */
void backend_server_announce(struct backend_server *backend,
			     struct http_exchange *exchange);

/* POST /backend/leave: it takes no new calls from now on. */
void backend_server_leave(struct backend_server *backend,
			  struct http_exchange *exchange);

/* Serve a call that from (a node, perhaps this one) sent here. */
void backend_server_call(struct backend_server *backend, uint64_t from,
			 const Fescue__CallRequest *request);
void backend_server_cancel(struct backend_server *backend, uint64_t from,
			   uint64_t call_id);

/* The node that sent calls is gone: cancel what it waits for. */
void backend_server_peer_gone(struct backend_server *backend, uint64_t peer);

/* Advance time: expire the announcement and queued calls. */
void backend_server_tick(struct backend_server *backend);

/* Refuse every new call from now on. */
void backend_server_drain(struct backend_server *backend);

/* Calls queued or running. */
uint32_t backend_server_in_flight(const struct backend_server *backend);
const char *backend_server_service(const struct backend_server *backend);
uint32_t backend_server_in_use(const struct backend_server *backend);
uint32_t backend_server_queued(const struct backend_server *backend);

#endif
