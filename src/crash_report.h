/*
 * Tells the hosts of a service that a request crashed a backend server,
 * before the request's caller is answered and can send it again.
 */
#ifndef FESCUE_CRASH_REPORT_H
#define FESCUE_CRASH_REPORT_H

#include "fescue/membership.h"
#include "fescue/quarantine.h"
#include "node_context.h"

struct crash_reports;

/* All three must outlive the reports. */
struct crash_reports *crash_reports_create(const struct node_context *context,
					   const struct membership *membership,
					   struct quarantine *quarantine);
void crash_reports_destroy(struct crash_reports *reports);

/*
 * The backend server at an address broke off a run. Probes it; if it is gone, all
 * hosts of the service are told and their acknowledgements awaited, for a
 * bounded time. done is called once, later.
 */
void crash_reports_begin(struct crash_reports *reports, struct address backend,
			 const char *service, uint64_t fingerprint,
			 void (*done)(void *data), void *data);

/* Handle QuarantineReport and QuarantineAck. */
void crash_reports_receive(struct crash_reports *reports, uint64_t from,
			   const Fescue__Packet *packet);

/* Advance time: end waits for acknowledgements that do not come. */
void crash_reports_tick(struct crash_reports *reports);

#endif
