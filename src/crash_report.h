/*
 * Crash reports: notify the hosts of a service that a request crashed a backend
 * server, before the request's caller gets an answer and can send it again.
 */
#ifndef FESCUE_CRASH_REPORT_H
#define FESCUE_CRASH_REPORT_H

#include "fescue/membership.h"
#include "fescue/quarantine.h"
#include "node_context.h"

struct crash_reports;

/* All arguments must outlive the crash reports. Never returns NULL. */
struct crash_reports *crash_reports_create(const struct node_context *context,
					   const struct membership *membership,
					   struct quarantine *quarantine);

/*
 * Does nothing for NULL. Probes in progress are not canceled: call it only when
 * the event loop does not run any more.
 */
void crash_reports_destroy(struct crash_reports *reports);

/*
 * Handle a run that the backend server at an address aborted. Probes the
 * address. If the connection is refused, records the crash in the quarantine,
 * sends a report to the hosts of the service and waits for their
 * acknowledgements, for a bounded time. Then calls done once, never before this
 * function returns.
 */
void crash_reports_start(struct crash_reports *reports, struct address backend,
			 const char *service, uint64_t fingerprint,
			 void (*done)(void *data), void *data);

/* Handle a QuarantineReport or QuarantineAck; must not get other packets. */
void crash_reports_receive(struct crash_reports *reports, uint64_t from,
			   const Fescue__Packet *packet);

/* End the reports whose acknowledgements are overdue. */
void crash_reports_tick(struct crash_reports *reports);

#endif
