/*
 * Quarantine: requests that crash the backend servers that run them.
 *
 * A request is known by its fingerprint. It is suspected after one crash and
 * refused after the second, until it has not been heard of for a while; a run
 * that succeeds clears it. Reports come from the own backend server and from
 * the other hosts of the service. The module reads no clock.
 */
#ifndef FESCUE_QUARANTINE_H
#define FESCUE_QUARANTINE_H

#include <stddef.h>
#include <stdint.h>

#define QUARANTINE_CRASHES_MAX 2
#define QUARANTINE_MS 600000
#define QUARANTINE_ENTRIES_MAX 10000

struct quarantine;

struct quarantine *quarantine_create(void);
void quarantine_destroy(struct quarantine *quarantine);

/* Identity of a request, whoever sends it and how often. */
uint64_t quarantine_fingerprint(const char *service, const char *method,
				const char *path, const void *body,
				size_t body_size);

/*
 * A backend server at host crashed while it ran the request; repeated reports
 * of one crash, told apart by report_id, count once. Returns the crashes
 * known, 0 for a request that ran to its end lately.
 */
uint32_t quarantine_report(struct quarantine *quarantine, uint64_t fingerprint,
			   uint64_t host, uint64_t report_id, uint64_t now_ms);

/*
 * The request ran to its end. Crashes that happen while it runs are then not
 * taken for its doing, for a while: a request that many callers send is in
 * flight at most crashes.
 */
void quarantine_clear(struct quarantine *quarantine, uint64_t fingerprint,
		      uint64_t now_ms);

/* Must the request be refused? */
int quarantine_refuses(struct quarantine *quarantine, uint64_t fingerprint,
		       uint64_t now_ms);

size_t quarantine_count(const struct quarantine *quarantine);

#endif
