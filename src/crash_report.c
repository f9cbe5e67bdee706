#include "crash_report.h"

#include "connect_probe.h"
#include "events.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PROBE_TIMEOUT_MS 200
#define ACK_TIMEOUT_MS 200

/* An aborted run that is being probed or reported. */
struct crash_report {
	struct crash_reports *reports;
	uint64_t id;
	uint64_t fingerprint;
	char service[HOST_NAME_BYTES];
	uint32_t acks_pending;
	uint64_t ack_deadline_ms; /* 0 while the backend server is probed */
	void (*done)(void *data);
	void *data;
};

struct crash_reports {
	const struct node_context *context;
	const struct membership *membership;
	struct quarantine *quarantine;
	GHashTable *pending; /* id -> struct crash_report */
	uint64_t next_id;
};

static void end_report(struct crash_report *report)
{
	void (*done)(void *data) = report->done;
	void *data = report->data;

	g_hash_table_remove(report->reports->pending, &report->id);
	done(data);
}

static void send_report(struct crash_report *report, uint64_t host)
{
	const struct node_context *context = report->reports->context;
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_QUARANTINE_REPORT);

	packet->quarantine_report->report_id = report->id;
	packet->quarantine_report->fingerprint = report->fingerprint;
	packet->quarantine_report->host = context->own;
	report->acks_pending++;
	node_context_send(context, host, packet);
}

/*
 * Reports go to the hosts of the service and also to hosts whose service is not
 * known here yet: other nodes may know it already and route calls to them.
 */
static int is_recipient(const struct crash_report *report,
			const struct host *host)
{
	return host->address != report->reports->context->own &&
	       host_is_up(host) &&
	       (!host->service[0] || !strcmp(host->service, report->service));
}

static void send_reports(struct crash_report *report)
{
	const struct membership *membership = report->reports->membership;

	for (size_t i = 0; i < membership_count(membership); i++) {
		const struct host *host = membership_host(membership, i);

		if (is_recipient(report, host))
			send_report(report, host->address);
	}
}

/* The backend server refused the probe: the run crashed it. */
static void handle_crash(struct crash_report *report)
{
	struct crash_reports *reports = report->reports;
	uint64_t now_ms = node_context_now_ms(reports->context);
	uint32_t crashes = quarantine_record_crash(reports->quarantine,
						   report->fingerprint,
						   reports->context->own,
						   report->id, now_ms);

	reports->context->counters->values[COUNTER_quarantine_suspected]++;
	if (crashes == QUARANTINE_CRASH_LIMIT)
		log_state("refusing requests with fingerprint %016" PRIx64
			  ": they crashed %u backend servers",
			  report->fingerprint, crashes);
	report->ack_deadline_ms = now_ms + ACK_TIMEOUT_MS;
	send_reports(report);
}

static void on_probed(void *data, enum connect_probe_result result)
{
	struct crash_report *report = data;

	if (result == CONNECT_PROBE_REFUSED)
		handle_crash(report);
	if (!report->acks_pending)
		end_report(report);
}

void crash_reports_start(struct crash_reports *reports, struct address backend,
			 const char *service, uint64_t fingerprint,
			 void (*done)(void *data), void *data)
{
	struct crash_report *report = g_new0(struct crash_report, 1);

	report->reports = reports;
	/* The wall clock keeps ids unique across restarts of this node. */
	report->id = wall_clock_us() * 16 + ++reports->next_id % 16;
	report->fingerprint = fingerprint;
	g_strlcpy(report->service, service, sizeof(report->service));
	report->done = done;
	report->data = data;
	g_hash_table_replace(reports->pending, &report->id, report);
	connect_probe_start(reports->context->loop, backend, PROBE_TIMEOUT_MS,
			    on_probed, report);
}

static void handle_report(struct crash_reports *reports, uint64_t from,
			  const Fescue__QuarantineReport *report)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_QUARANTINE_ACK);

	quarantine_record_crash(reports->quarantine, report->fingerprint,
				report->host, report->report_id,
				node_context_now_ms(reports->context));
	packet->quarantine_ack->report_id = report->report_id;
	node_context_send(reports->context, from, packet);
}

void crash_reports_receive(struct crash_reports *reports, uint64_t from,
			   const Fescue__Packet *packet)
{
	struct crash_report *report;

	if (packet->body_case == FESCUE__PACKET__BODY_QUARANTINE_REPORT) {
		handle_report(reports, from, packet->quarantine_report);
		return;
	}
	report = g_hash_table_lookup(reports->pending,
				     &packet->quarantine_ack->report_id);
	if (report && report->acks_pending && !--report->acks_pending)
		end_report(report);
}

void crash_reports_tick(struct crash_reports *reports)
{
	uint64_t now_ms = node_context_now_ms(reports->context);
	GList *pending = g_hash_table_get_values(reports->pending);

	for (GList *l = pending; l; l = l->next) {
		struct crash_report *report = l->data;

		if (report->ack_deadline_ms &&
		    now_ms >= report->ack_deadline_ms)
			end_report(report);
	}
	g_list_free(pending);
}

struct crash_reports *crash_reports_create(const struct node_context *context,
					   const struct membership *membership,
					   struct quarantine *quarantine)
{
	struct crash_reports *reports = g_new0(struct crash_reports, 1);

	reports->context = context;
	reports->membership = membership;
	reports->quarantine = quarantine;
	reports->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	return reports;
}

void crash_reports_destroy(struct crash_reports *reports)
{
	if (!reports)
		return;
	g_hash_table_destroy(reports->pending);
	g_free(reports);
}
