/* Packets from and to peers, and between the tasks of one node. */
#include "node.h"

#include "backend_server.h"
#include "caller.h"
#include "crash_report.h"
#include "quota_task.h"

void node_receive_packet(void *data, uint64_t from, Fescue__Packet *packet)
{
	struct node *node = data;

	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_CALL_REQUEST:
		backend_server_call(node->backend, from, packet->call_request);
		packet->call_request = NULL;
		packet->body_case = FESCUE__PACKET__BODY__NOT_SET;
		break;
	case FESCUE__PACKET__BODY_CALL_BODY:
		backend_server_body(node->backend, from, packet->call_body);
		break;
	case FESCUE__PACKET__BODY_CALL_ANSWER:
		caller_table_handle_answer(node->callers, from,
					   packet->call_answer);
		break;
	case FESCUE__PACKET__BODY_CALL_CANCEL:
		if (packet->call_cancel->recall)
			backend_server_recall(node->backend, from,
					      packet->call_cancel->call_id);
		else
			backend_server_cancel(node->backend, from,
					      packet->call_cancel->call_id);
		break;
	case FESCUE__PACKET__BODY_CALL_QUERY:
		backend_server_query(node->backend, from,
				     packet->call_query->call_id,
				     packet->call_query->epoch);
		break;
	case FESCUE__PACKET__BODY_CALL_RUNNING:
		caller_table_handle_running(node->callers, from,
					    packet->call_running->call_id);
		break;
	case FESCUE__PACKET__BODY_QUARANTINE_REPORT:
	case FESCUE__PACKET__BODY_QUARANTINE_ACK:
		crash_reports_receive(node->crash_reports, from, packet);
		break;
	case FESCUE__PACKET__BODY_QUOTA_REQUEST:
	case FESCUE__PACKET__BODY_QUOTA_GRANT:
		if (node->quota)
			quota_task_receive(node->quota, from, packet);
		break;
	case FESCUE__PACKET__BODY_ROLLOUT_STATE:
	case FESCUE__PACKET__BODY_ROLLOUT_REPORT:
		node_receive_rollout(node, from, packet);
		break;
	default:
		node_receive_control(node, from, packet);
		break;
	}
}

/* Delivers a task's packet to this node's tasks or to a peer. */
static void deliver(struct node *node, uint64_t to, enum packet_purpose purpose,
		    Fescue__Packet *packet)
{
	if (to == node->self_address)
		node_receive_packet(node, to, packet);
	else
		transport_send(node->transport, to, purpose, packet);
	packet_destroy(packet);
}

void node_send_call(void *data, uint64_t to, Fescue__Packet *packet)
{
	deliver(data, to, PACKET_CALL, packet);
}

void node_send_quota(void *data, uint64_t to, Fescue__Packet *packet)
{
	deliver(data, to, PACKET_QUOTA, packet);
}
