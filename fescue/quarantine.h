/*
 * Quarantine: refuses requests that crash the backend servers that run them.
 *
 * A request is identified by its fingerprint. It is refused after
 * QUARANTINE_CRASH_LIMIT crashes, until it has not been sent for
 * QUARANTINE_TTL_MS. A completed run removes the crashes recorded for it.
 * Crashes are reported by this node's own backend server and by the other hosts
 * of the service. The module reads no clock: the caller passes the time in
 * milliseconds of a monotonic clock.
 */
#ifndef FESCUE_QUARANTINE_H
#define FESCUE_QUARANTINE_H

#include <stddef.h>
#include <stdint.h>

#define QUARANTINE_CRASH_LIMIT 2
#define QUARANTINE_TTL_MS 600000
#define QUARANTINE_ENTRIES_MAX 10000

struct quarantine;

/* Never returns NULL. */
struct quarantine *quarantine_create(void);

/* Does nothing for NULL. */
void quarantine_destroy(struct quarantine *quarantine);

/*
 * Hash of what identifies a request. Equal requests have the same fingerprint
 * on all nodes, whichever caller sends them.
 */
uint64_t quarantine_fingerprint(const char *service, const char *method,
				const char *path, const void *body,
				size_t body_size);

/*
 * Record that the backend server of a host crashed while it ran the request.
 * Reports with the same host and report_id count once. Returns the number of
 * crashes recorded, at most QUARANTINE_CRASH_LIMIT. Records nothing and returns
 * 0 if a run was completed within the last QUARANTINE_TTL_MS.
 */
uint32_t quarantine_record_crash(struct quarantine *quarantine,
				 uint64_t fingerprint, uint64_t host,
				 uint64_t report_id, uint64_t now_ms);

/*
 * Record that the backend server completed a run of the request. For
 * QUARANTINE_TTL_MS no crash is attributed to the request: one that many
 * callers send is in flight during most crashes without causing them.
 */
void quarantine_record_success(struct quarantine *quarantine,
			       uint64_t fingerprint, uint64_t now_ms);

/*
 * Returns 1 if the request must be refused. This also extends its quarantine,
 * so that a request stays refused while callers keep sending it.
 */
int quarantine_refuses(struct quarantine *quarantine, uint64_t fingerprint,
		       uint64_t now_ms);

/* Number of requests with recorded crashes, expired ones included. */
size_t quarantine_count(const struct quarantine *quarantine);

#endif
