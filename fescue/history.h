/*
 * History checker: reads event records and call histories, checks the safety
 * and convergence properties of the system, and reports each violation with the
 * record that shows it.
 *
 * Records are JSON objects, one per line, in any order. They have "t_us" (wall
 * clock, microseconds), "source" (the process) and "type". The types, and the
 * further members that the checker reads, are:
 *   accepted  version                   an operator's change was accepted
 *   started                             a process started
 *   stopped                             a process stopped
 *   frozen, thawed                      a process was suspended or resumed
 *   applied   version hash              a node applied a version
 *   run       id key poison             a backend server started to run a call
 *   leaving                             a backend server announced its leave
 *   call      id key outcome echo whole a caller got an answer
 * An accepted record may have "written_us", the time before the write, which
 * replaces t_us. Records of other types are ignored.
 */
#ifndef FESCUE_HISTORY_H
#define FESCUE_HISTORY_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

struct history;

enum history_property {
	HISTORY_VERSION_MONOTONIC, /* no node applies an older version */
	HISTORY_VERSION_SAME_TEXT, /* a version has the same text everywhere */
	HISTORY_VERSION_ACCEPTED, /* only accepted versions are applied */
	HISTORY_CONVERGED, /* running nodes apply each version in time */
	HISTORY_OWN_ANSWER, /* an answer is complete and its caller's */
	HISTORY_NOT_RUN, /* a call with outcome not-run never ran */
	HISTORY_RAN, /* a call with outcome ran did run */
	HISTORY_AT_MOST_ONCE, /* an idempotency key runs at most once */
	HISTORY_POISON, /* a request crashes at most two backend servers */
	HISTORY_LEAVING, /* no run starts over 2 s after a leave */
	HISTORY_PROPERTY_COUNT
};

struct history_settings {
	uint64_t convergence_bound_us; /* from accepted to applied */
	uint64_t leave_grace_us; /* runs may start this long after a leave */
	uint32_t crashes_per_request_max;
};

/* Bounds of 3 s and 2 s, and two crashes per request. */
extern const struct history_settings history_defaults;

struct history *history_create(const struct history_settings *settings);
void history_destroy(struct history *history);

/*
 * Add one line. name (usually of the file) and number locate the record in
 * messages. Returns 0, or FESCUE_EINVAL if the line is not a JSON object.
 */
int history_add(struct history *history, const char *name, size_t number,
		const char *line, size_t size);

/*
 * Check all records once all are added, and print each violation to out, which
 * may be NULL. Returns the number of violations. Call this only once.
 */
size_t history_check(struct history *history, FILE *out);

/* Number of violations of one property, valid after history_check(). */
size_t history_violations(const struct history *history,
			  enum history_property property);
/* Name of a property as printed, such as "not-run". */
const char *history_property_name(enum history_property property);

struct history_summary {
	uint64_t calls;
	uint64_t ran;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t runs;
	uint64_t versions; /* accepted */
	uint64_t nodes; /* sources that started */
	/*
	 * Time from accepted to applied, over each accepted version and each
	 * node that ran throughout and applied it.
	 */
	uint64_t convergence_p50_us;
	uint64_t convergence_p99_us;
	uint64_t convergence_max_us;
};

/* Counts and convergence times, valid after history_check(). */
struct history_summary history_summarize(const struct history *history);

#endif
