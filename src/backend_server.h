/*
 * The local backend server of this node: its announcement by heartbeats, the
 * admission of calls to it and their execution. All functions are called from
 * the event loop's thread.
 */
#ifndef FESCUE_BACKEND_SERVER_H
#define FESCUE_BACKEND_SERVER_H

#include "crash_report.h"
#include "fescue/admission.h"
#include "fescue/announcement.h"
#include "node_context.h"

struct backend_server;

/* Status of the backend server that the node publishes to its peers. */
struct backend_status {
	const char *service; /* "" if there is none */
	const char *version; /* of the backend server; "" if not known */
	uint32_t slots;
	int serving; /* accepts new calls */
	uint64_t left; /* fingerprint of one that is leaving, or 0 */
};

struct backend_server_settings {
	enum admission_policy policy;
	uint32_t announce_delay_ms; /* from the start of the node */
	uint32_t link_mbit; /* capacity of the host's link; 0: not known */
	/*
	 * For bodies over INBOUND_BODY_SHORT_BYTES of all nodes, copies included;
	 * 0: 24 MiB. Calls beyond it are refused.
	 */
	size_t body_bytes_max;
	/*
	 * 1: end runs that the backend server will probably not answer. It may
	 * be at work on such a run.
	 */
	int end_silent_runs;
	/*
	 * 1: announce no backend server before it is known which one had left
	 * before the node started, see backend_server_set_leaving_known().
	 */
	int await_leaving;
	struct quarantine *quarantine;
	struct crash_reports *crashes;
	/* Called when the status may have changed; valid during the call. */
	void (*changed)(void *data, const struct backend_status *status);
	void *data;
};

/*
 * context, and the quarantine and crash reports in settings, must outlive the
 * backend server.
 */
struct backend_server *
backend_server_create(const struct node_context *context,
		      const struct backend_server_settings *settings);

/*
 * Frees all calls without answers. The event loop must run once more to release
 * the rest. NULL is allowed.
 */
void backend_server_destroy(struct backend_server *backend);

/*
 * Processes a heartbeat. Calls are admitted until heartbeats stop for 10 s or
 * the backend server is leaving. Stale heartbeats are ignored.
 *
 * Returns 0, or FESCUE_EUNAVAILABLE if the heartbeat alone does not put the
 * backend server into service and is to be refused, so that its sender repeats
 * it: see fescue/announcement.h.
 */
int backend_server_announce(struct backend_server *backend,
			    const struct announcement *announcement);

/*
 * Restores that the backend server with this announcement_fingerprint() is
 * leaving. It announced so before this node restarted; peers or the store still
 * hold it.
 */
void backend_server_restore_leaving(struct backend_server *backend,
				    enum leaving_source source, uint64_t left);

/* The backend server may be announced: see await_leaving. */
void backend_server_set_leaving_known(struct backend_server *backend);
int backend_server_awaits_leaving(const struct backend_server *backend);

/*
 * Heartbeats need no repeats from now on, as no backend server left of which this
 * node does not know. With await_leaving they do until then.
 */
void backend_server_waive_repeats(struct backend_server *backend);
int backend_server_wants_repeats(const struct backend_server *backend);

/*
 * Returns the announcement of a backend server whose heartbeats are still to be
 * repeated, or NULL. backend_server_confirm() waives that for the incarnation
 * with this fingerprint, which has said that it is in service.
 */
const struct announcement *
backend_server_unconfirmed(const struct backend_server *backend);
void backend_server_confirm(struct backend_server *backend,
			    uint64_t fingerprint);

/*
 * Marks the backend server with this id, or the current one for NULL, as
 * leaving: it gets no new calls and its queued calls are refused.
 */
void backend_server_leave(struct backend_server *backend, const char *id);

/*
 * Receives a call request from a node, perhaps this one, given by its address
 * key. Admission follows at the end of the event loop iteration. The call starts
 * only when its node was heard within the last 0.25 s, so that a cancel is not
 * overtaken by the start; until then it is held, and refused after a further
 * 0.25 s. Takes ownership of the request. If body_bytes is set, admission
 * follows when backend_server_body() has received the rest of the body.
 */
void backend_server_call(struct backend_server *backend, uint64_t from,
			 Fescue__CallRequest *request);

/*
 * Receives the next part of the body of a call. Ignored if the call is not known:
 * it was refused or canceled.
 */
void backend_server_body(struct backend_server *backend, uint64_t from,
			 const Fescue__CallBody *part);

/*
 * Cancels a call. A running call that is not idempotent goes on. If the request
 * has not arrived yet, it is dropped when it does within 30 s.
 */
void backend_server_cancel(struct backend_server *backend, uint64_t from,
			   uint64_t call_id);

/*
 * Refuses a call that has not started to run, because its node cannot wait for
 * it any longer. A running call goes on.
 */
void backend_server_recall(struct backend_server *backend, uint64_t from,
			   uint64_t call_id);

/*
 * Answers a node that queries the state of its call after it lost the link:
 * that the call is queued or running, its stored answer, or else whether it may
 * have run. epoch is the epoch of this node that the call was sent to. A call
 * sent to another epoch may have run. A call sent to this epoch that never
 * arrived has not run; if its request arrives within 30 s, it is dropped.
 */
void backend_server_query(struct backend_server *backend, uint64_t from,
			  uint64_t call_id, uint64_t epoch);

/* A node has told that its cancels of the time before were sent. */
void backend_server_peer_heard(struct backend_server *backend, uint64_t peer);

/*
 * The link to a node was lost. Its calls are canceled, as by
 * backend_server_cancel(), unless it queries them within 2.5 s.
 */
void backend_server_peer_disconnected(struct backend_server *backend,
				      uint64_t peer);

/*
 * Limits the connections to the backend server, and with them the calls that
 * run at once. 0: no limit.
 */
void backend_server_limit_connections(struct backend_server *backend,
				      uint32_t connections);

/*
 * Applies the timeouts of the announcement, of queued and orphaned calls and of
 * stored answers. Call periodically.
 */
void backend_server_tick(struct backend_server *backend);

/* Refuses queued calls and every new call from now on. Running calls go on. */
void backend_server_drain(struct backend_server *backend);

/* Calls received, queued or running. */
uint32_t backend_server_in_flight(const struct backend_server *backend);

/* The service it announced; "" if there is no backend server. */
const char *backend_server_service(const struct backend_server *backend);

/* Slots in use and calls queued. */
uint32_t backend_server_in_use(const struct backend_server *backend);
uint32_t backend_server_queued(const struct backend_server *backend);

#endif
