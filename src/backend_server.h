/*
 * The backend server beside this node: its announcement, the admission of
 * calls to it, and the calls it runs.
 */
#ifndef FESCUE_BACKEND_SERVER_H
#define FESCUE_BACKEND_SERVER_H

#include "crash_report.h"
#include "fescue/admission.h"
#include "fescue/announcement.h"
#include "node_context.h"

struct backend_server;

/* What others need to know of the backend server. */
struct backend_state {
	const char *service; /* "": there is none */
	uint32_t slots;
	int serving; /* takes new calls */
	uint64_t left; /* fingerprint of one that is leaving; 0: none is */
};

struct backend_server_settings {
	enum admission_policy policy;
	uint32_t announce_delay_ms; /* after the start of the node */
	struct quarantine *quarantine;
	struct crash_reports *crashes;
	/* Its state may have changed. */
	void (*changed)(void *data, const struct backend_state *state);
	void *data;
};

/* links must outlive the backend server. */
struct backend_server *
backend_server_create(const struct node_context *context,
		      const struct backend_server_settings *settings);
void backend_server_destroy(struct backend_server *backend);

/* A heartbeat; from now on calls go there, or no more when it is leaving. */
void backend_server_announce(struct backend_server *backend,
			     const struct announcement *announcement);

/*
 * The backend server with this fingerprint, of announcement_fingerprint(),
 * told an earlier start of this node that it leaves.
 */
void backend_server_note_left(struct backend_server *backend, uint64_t left);

/* The backend server named id, or the only one for NULL, takes no new calls. */
void backend_server_leave(struct backend_server *backend, const char *id);

/*
 * Serve a call that from (a node, perhaps this one) sent here. Takes
 * ownership of the request.
 */
void backend_server_call(struct backend_server *backend, uint64_t from,
			 Fescue__CallRequest *request);
void backend_server_cancel(struct backend_server *backend, uint64_t from,
			   uint64_t call_id);

/*
 * from lost its link and asks what became of a call that it sent to this node
 * in the given epoch. Of calls of another epoch nothing is known.
 */
void backend_server_query(struct backend_server *backend, uint64_t from,
			  uint64_t call_id, uint64_t epoch);

/* The link with a node that may have sent calls is gone. */
void backend_server_peer_gone(struct backend_server *backend, uint64_t peer);

/*
 * Connections that the backend server takes; calls beyond wait for a slot. 0:
 * not told.
 */
void backend_server_limit_connections(struct backend_server *backend,
				      uint32_t connections);

/* Advance time: expire the announcement and queued calls. */
void backend_server_tick(struct backend_server *backend);

/* Refuse every new call from now on; queued ones are handed back. */
void backend_server_drain(struct backend_server *backend);

/* Calls queued or running. */
uint32_t backend_server_in_flight(const struct backend_server *backend);
const char *backend_server_service(const struct backend_server *backend);
uint32_t backend_server_in_use(const struct backend_server *backend);
uint32_t backend_server_queued(const struct backend_server *backend);

#endif
