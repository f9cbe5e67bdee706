/*
 * Private state of the backend server module, shared by its files and the call
 * log. Each file calls only those after it: backend_server.c, backend_calls.c,
 * backend_bodies.c, backend_run.c, backend_status.c, inbound_call.c,
 * backend_slots.c.
 */
#ifndef FESCUE_BACKEND_STATE_H
#define FESCUE_BACKEND_STATE_H

#include "answer_pacer.h"
#include "backend_server.h"
#include "fescue/answer_cache.h"
#include "fescue/silence.h"
#include "http_client.h"
#include "inbound_bodies.h"

#define BACKEND_REASON_BODY_MEMORY "the host has no memory for the body"

enum inbound_call_state {
	INBOUND_CALL_QUEUED,
	INBOUND_CALL_UNCONFIRMED, /* holds a slot until its node is heard */
	INBOUND_CALL_RUNNING, /* holds a slot */
	INBOUND_CALL_REPORTING, /* holds a slot while its crash is reported */
};

/* A call that a node, perhaps this one, sent to the local backend server. */
struct inbound_call {
	struct backend_server *backend;
	uint64_t ticket; /* identifies it in admission */
	uint64_t from; /* address key of the sending node */
	Fescue__CallRequest *request;
	enum inbound_call_state state;
	uint64_t deadline_ms;
	uint64_t arrived_us;
	uint64_t started_us;
	uint64_t orphaned_at_ms; /* when its node disconnected, or 0 */
	uint64_t confirm_until_ms; /* refused if it is unconfirmed by then */
	struct http_call *http;
	size_t promised_bytes; /* of the link, for a long answer */
	uint64_t fingerprint;
	int given_up; /* its connection was closed without an answer */
	int silent; /* the same because it was judged silent */
	Fescue__Packet *answer; /* set once the backend server call has ended */
};

/* A request that waits for the end of the event loop iteration. */
struct received_request {
	uint64_t from;
	uint64_t arrived_us;
	uint32_t age_ms; /* since it was sent, at most */
	Fescue__CallRequest *request;
};

struct backend_server {
	const struct node_context *context;
	struct backend_server_settings settings;
	struct admission *admission;
	struct silence *silence;
	GQueue held_slots; /* struct held_slot */
	struct announcement_record record;
	struct answer_cache *answers;
	struct inbound_bodies *bodies; /* the long ones of all calls */
	struct link_budget *link;
	struct answer_pacer *pacer; /* of answers */
	struct http_pool *pool; /* NULL while there is no backend server */
	uint32_t connections_limit; /* of the rules file; 0: none */
	uint64_t announcement_expires_ms; /* renewed by each heartbeat */
	uint64_t announce_at_ms; /* end of the announce delay; 0: published */
	/* A run was silent lately: closed requests may hold their slots. */
	uint64_t silent_until_ms;
	int awaiting_leaving; /* see struct backend_server_settings */
	int unreachable; /* connections fail; cleared by the next heartbeat */
	int draining; /* the node itself is stopping */
	uint32_t unconfirmed_count; /* calls in this state */
	uint64_t next_ticket;
	GQueue received; /* struct received_request, not yet processed */
	uv_check_t iteration_end; /* runs after the I/O of an iteration */
	uv_check_cb on_iteration_end; /* set by backend_received_init() */
	uv_idle_t no_wait; /* active: the loop does not wait for I/O */
	int queue_due; /* queued calls may start at the iteration's end */
	int input_awaited; /* the last iteration took long, so its end waits */
	GHashTable *inbound_calls; /* ticket -> struct inbound_call */
};

static inline uint64_t backend_now_ms(const struct backend_server *b)
{
	return node_context_now_ms(b->context);
}

static inline void backend_increment_counter(struct backend_server *b,
					     enum counter counter)
{
	b->context->counters->values[counter]++;
}

static inline enum call_class
backend_request_class(const Fescue__CallRequest *request)
{
	return request->call_class ? CALL_CLASS_BACKGROUND : CALL_CLASS_URGENT;
}

/*
 * Answers a node that its call was refused and has not run. arrived_us is the
 * time when the request arrived, by monotonic_clock_us().
 */
void backend_refuse(struct backend_server *backend, uint64_t to,
		    const Fescue__CallRequest *request, uint64_t arrived_us,
		    const char *reason);

/* Sends an answer and stores it, because another node may query it. */
void backend_send_answer(struct backend_server *backend, uint64_t to,
			 Fescue__Packet *packet);

/* Time since a request arrived, for its answer. */
uint32_t backend_held_us(uint64_t arrived_us);

/* Counts a failed run, and notes when connections to the backend server fail. */
void backend_record_result(struct backend_server *backend,
			   const struct http_result *result);

/* Applies the current status to admission and reports it to the node. */
void backend_publish_status(struct backend_server *backend);

/* Creates a queued call. Takes ownership of the request. */
struct inbound_call *inbound_call_create(struct backend_server *backend,
					 uint64_t from,
					 Fescue__CallRequest *request,
					 uint64_t arrived_us);

/* Frees a call and cancels its run; the destructor of inbound_calls. */
void inbound_call_free(gpointer call);

/*
 * Sends a call that holds a slot to the backend server. Refuses it instead if
 * its deadline has passed, there is no backend server or the request is
 * quarantined.
 */
void inbound_call_begin(struct inbound_call *call);

/*
 * Starts an unconfirmed call if its node was heard, refuses it if it has waited
 * for too long, and asks its node otherwise.
 */
void inbound_call_confirm(struct inbound_call *call);

/* Frees the call, releases its slot if it holds one and starts queued calls. */
void inbound_call_end(struct inbound_call *call);

/* The same without starting queued calls. */
void inbound_call_release(struct inbound_call *call);

/*
 * Releases the slot of a run. If the run may go on at the backend server, because
 * its connection was closed before an answer, the slot stays in use for the time
 * that silence_hold_ms() returns.
 */
void backend_release_slot(struct inbound_call *call, uint64_t service_us);

/* Releases the slots that are kept so until a time, by backend_now_ms(). */
void backend_release_held_slots(struct backend_server *backend,
				uint64_t until_ms);

/*
 * Ends runs that the backend server will probably not answer. Their outcome is
 * unknown. Call every SILENCE_TICK_MS.
 */
void backend_end_silent_runs(struct backend_server *backend);

/* Starts queued calls that have a slot, and refuses those that expired. */
void backend_process_queue(struct backend_server *backend);

/* The same once the input of the event loop iteration is read. */
void backend_schedule_queue(struct backend_server *backend);

/* Has received requests admitted at the end of the iteration. */
void backend_schedule_iteration_end(struct backend_server *backend);

/* Frees a request and what is reserved for its body. NULL is allowed. */
void backend_request_free(struct backend_server *backend,
			  Fescue__CallRequest *request);

/* Reserves memory for the body, if not done. Returns 0 or FESCUE_EUNAVAILABLE. */
int backend_reserve_body(struct backend_server *backend,
			 Fescue__CallRequest *request);

/*
 * Ends a call whose body is not complete: without an answer (returns 1 if there
 * is such a call), or refused.
 */
int backend_cancel_partial(struct backend_server *backend, uint64_t from,
			   uint64_t call_id);
void backend_recall_partial(struct backend_server *backend, uint64_t from,
			    uint64_t call_id);

/* Refuses all such calls of a node, 0: of all. */
void backend_refuse_partial(struct backend_server *backend, uint64_t from,
			    const char *reason);

/* Refuses those whose deadline has passed. */
void backend_expire_partial(struct backend_server *backend);

/* Requests received in the current event loop iteration. */
void backend_received_init(struct backend_server *backend);
void backend_received_clear(struct backend_server *backend);

/* Refuses all queued calls, so that their nodes reroute them. */
void backend_refuse_queued(struct backend_server *backend, const char *reason);

/* Applies inbound_call_confirm() to the unconfirmed calls of a node, 0: of all. */
void backend_confirm_calls(struct backend_server *backend, uint64_t from);

/* Cancels calls whose node has not queried them since its link was lost. */
void backend_expire_orphans(struct backend_server *backend);

#endif
