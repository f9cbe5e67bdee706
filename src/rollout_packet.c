#include "rollout_packet.h"

#include "fescue/error.h"

#include <string.h>

static Fescue__RolloutService *create_service(const struct rollout_state *state)
{
	Fescue__RolloutService *message = g_new(Fescue__RolloutService, 1);

	fescue__rollout_service__init(message);
	packet_set_string(&message->service, state->service);
	packet_set_string(&message->target, state->target);
	packet_set_string(&message->rejected, state->rejected);
	message->order_id = state->order_id;
	message->phase = state->phase;
	message->step = state->step;
	message->share_permille = state->share_permille;
	message->term = state->term;
	message->sequence = state->sequence;
	message->remaining_ms = state->remaining_ms;
	message->age_ms = state->age_ms;
	message->lease_ms = state->lease_ms;
	return message;
}

Fescue__Packet *rollout_state_packet(const struct rollout_state *states,
				     size_t count, int from_leader,
				     int complete)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_ROLLOUT_STATE);
	Fescue__RolloutState *message = packet->rollout_state;

	count = MIN(count, ROLLOUT_STATES_MAX);
	message->from_leader = from_leader;
	message->complete = complete;
	message->services = g_new(Fescue__RolloutService *, count + 1);
	for (size_t i = 0; i < count; i++)
		message->services[message->n_services++] =
			create_service(&states[i]);
	return packet;
}

/* Copies a text; returns FESCUE_EINVAL if it is too long. */
static int read_text(const char *text, char *out, size_t size)
{
	return g_strlcpy(out, text, size) < size ? FESCUE_OK : FESCUE_EINVAL;
}

int rollout_state_read(const Fescue__RolloutService *message,
		       struct rollout_state *out)
{
	memset(out, 0, sizeof(*out));
	if (!*message->service || message->phase > ROLLOUT_ROLLED_BACK ||
	    read_text(message->service, out->service, sizeof(out->service)) ||
	    read_text(message->target, out->target, sizeof(out->target)) ||
	    read_text(message->rejected, out->rejected, sizeof(out->rejected)))
		return FESCUE_EINVAL;
	out->order_id = message->order_id;
	out->phase = message->phase;
	out->step = message->step;
	out->share_permille = message->share_permille;
	out->term = message->term;
	out->sequence = message->sequence;
	out->remaining_ms = message->remaining_ms;
	out->age_ms = message->age_ms;
	out->lease_ms = message->lease_ms;
	return FESCUE_OK;
}

static Fescue__RolloutRow *create_row(const struct rollout_row *row)
{
	Fescue__RolloutRow *message = g_new(Fescue__RolloutRow, 1);

	fescue__rollout_row__init(message);
	message->server = row->server;
	message->kind = row->kind;
	message->is_new = row->is_new != 0;
	message->answers = row->answers;
	message->failures = row->failures;
	message->slow = row->slow;
	return message;
}

Fescue__Packet *rollout_report_packet(const struct rollout_report *report)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_ROLLOUT_REPORT);
	Fescue__RolloutReport *message = packet->rollout_report;
	uint32_t count = MIN(report->row_count, ROLLOUT_ROWS_MAX);

	packet_set_string(&message->service, report->service);
	message->order_id = report->order_id;
	message->term = report->term;
	message->sequence = report->sequence;
	message->number = report->number;
	message->phase = report->phase;
	message->step = report->step;
	message->stopped = report->stopped != 0;
	message->old_in_flight = report->old_in_flight;
	message->old_overdue = report->old_overdue;
	message->new_in_flight = report->new_in_flight;
	message->slow_ms = report->slow_ms;
	message->full_ms = report->full_ms;
	message->total_calls = report->total_calls;
	message->new_calls = report->new_calls;
	message->bad_calls = report->bad_calls;
	message->bad_servers = report->bad_servers;
	message->rows = g_new(Fescue__RolloutRow *, count + 1);
	for (uint32_t i = 0; i < count; i++)
		message->rows[message->n_rows++] = create_row(&report->rows[i]);
	return packet;
}

Fescue__Packet *rollout_ask_packet(void)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_ROLLOUT_REPORT);

	packet->rollout_report->asks = 1;
	return packet;
}

static void read_rows(const Fescue__RolloutReport *message,
		      struct rollout_report *out)
{
	out->row_count = (uint32_t)MIN(message->n_rows, ROLLOUT_ROWS_MAX);
	for (uint32_t i = 0; i < out->row_count; i++) {
		const Fescue__RolloutRow *row = message->rows[i];

		out->rows[i] = (struct rollout_row){
			.server = row->server,
			.kind = row->kind,
			.is_new = (uint32_t)row->is_new,
			.answers = row->answers,
			.failures = row->failures,
			.slow = row->slow,
		};
	}
}

int rollout_report_read(const Fescue__RolloutReport *message,
			struct rollout_report *out)
{
	memset(out, 0, sizeof(*out));
	if (!*message->service || message->phase > ROLLOUT_ROLLED_BACK ||
	    read_text(message->service, out->service, sizeof(out->service)))
		return FESCUE_EINVAL;
	out->order_id = message->order_id;
	out->term = message->term;
	out->sequence = message->sequence;
	out->number = message->number;
	out->phase = message->phase;
	out->step = message->step;
	out->stopped = (uint32_t)message->stopped;
	out->old_in_flight = message->old_in_flight;
	out->old_overdue = message->old_overdue;
	out->new_in_flight = message->new_in_flight;
	out->slow_ms = message->slow_ms;
	out->full_ms = message->full_ms;
	out->total_calls = message->total_calls;
	out->new_calls = message->new_calls;
	out->bad_calls = message->bad_calls;
	out->bad_servers = message->bad_servers;
	read_rows(message, out);
	return FESCUE_OK;
}
