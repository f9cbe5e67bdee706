/*
 * History checking: reads event records and call histories and says which
 * property was broken, with the lines that show it.
 *
 * Records are JSON objects, one a line, in any order between files:
 *   accepted  version                     an operator's change was accepted
 *   started   source                      a node began
 *   stopped, frozen, thawed  source       it did not run, or ran again
 *   applied   source version hash         a node put a version in force
 *   run       id key instance poison      a backend server began a call
 *   leaving   source                      a backend server announced its leave
 *   call      id key outcome echo whole   a caller's answer
 */
#ifndef FESCUE_HISTORY_H
#define FESCUE_HISTORY_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

struct history;

enum history_property {
	HISTORY_VERSION_MONOTONIC, /* no node moves to an older version */
	HISTORY_VERSION_SAME_TEXT, /* one version has one text everywhere */
	HISTORY_VERSION_ACCEPTED, /* nothing is in force unless accepted */
	HISTORY_CONVERGED, /* each running node reaches the last version */
	HISTORY_OWN_ANSWER, /* each answer is whole and the caller's own */
	HISTORY_NOT_RUN, /* "not run" did not run */
	HISTORY_RAN, /* "ran" did run */
	HISTORY_AT_MOST_ONCE, /* a key runs at most once */
	HISTORY_POISON, /* one request crashes at most two */
	HISTORY_LEAVING, /* no run begins 2 s after a leave */
	HISTORY_PROPERTY_COUNT
};

struct history_settings {
	uint64_t convergence_us; /* bound on accepted until in force */
	uint64_t leaving_us; /* grace after a leave */
	uint32_t poison_max;
};

extern const struct history_settings history_defaults;

struct history *history_create(const struct history_settings *settings);
void history_destroy(struct history *history);

/*
 * Add one line. Returns 0, or FESCUE_EINVAL for a line that is no record;
 * number and name locate it in messages.
 */
int history_add(struct history *history, const char *name, size_t number,
		const char *line, size_t size);

/* Check everything; prints each violation to out. Returns their number. */
size_t history_check(struct history *history, FILE *out);

size_t history_violations(const struct history *history,
			  enum history_property property);
const char *history_property_name(enum history_property property);

struct history_summary {
	uint64_t calls;
	uint64_t ran;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t runs;
	uint64_t versions; /* accepted ones seen */
	uint64_t nodes;
	/* Over all accepted versions and nodes running meanwhile. */
	uint64_t convergence_p50_us;
	uint64_t convergence_p99_us;
	uint64_t convergence_max_us;
};

/* Valid after history_check(). */
struct history_summary history_summarize(const struct history *history);

#endif
