/*
 * fescue-check: checks call histories and event records for violations of the
 * guaranteed properties.
 */
#include "fescue/error.h"
#include "fescue/history.h"
#include "program.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int read_file(struct history *history, const char *path)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t capacity = 0, number = 0;
	ssize_t len;

	if (!file) {
		fprintf(stderr,
			"fescue-check: %s: cannot open the file; check "
			"the path\n",
			path);
		return FESCUE_EIO;
	}
	while ((len = getline(&line, &capacity, file)) > 0) {
		number++;
		/* A killed process may leave an incomplete last line. */
		if (line[len - 1] == '\n' &&
		    history_add(history, path, number, line, (size_t)len))
			fprintf(stderr,
				"%s:%zu: skipped a line that is not a record\n",
				path, number);
	}
	free(line);
	fclose(file);
	return FESCUE_OK;
}

static void print_summary(const struct history *history, size_t violations)
{
	struct history_summary s = history_summarize(history);

	printf("calls=%" PRIu64 " ran=%" PRIu64 " not_run=%" PRIu64
	       " unknown=%" PRIu64 " runs=%" PRIu64 " nodes=%" PRIu64
	       " versions=%" PRIu64 " convergence_ms_p50=%" PRIu64
	       " convergence_ms_p99=%" PRIu64 " convergence_ms_max=%" PRIu64
	       " wrong=%zu violations=%zu\n",
	       s.calls, s.ran, s.not_run, s.unknown, s.runs, s.nodes,
	       s.versions, s.convergence_p50_us / 1000,
	       s.convergence_p99_us / 1000, s.convergence_max_us / 1000,
	       history_violations(history, HISTORY_OWN_ANSWER), violations);
}

int main(int argc, char **argv)
{
	static gint convergence_ms = 3000;
	static const GOptionEntry entries[] = {
		{ "convergence-ms", 0, 0, G_OPTION_ARG_INT, &convergence_ms,
		  "Longest time from accepting a version until it is active",
		  "MS" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	struct history_settings settings = history_defaults;
	struct history *history;
	size_t violations;

	program_parse(&argc, &argv, entries, "FILE...",
		      "Checks histories and event records; prints the "
		      "violations and a summary.");
	if (argc < 2 || convergence_ms < 1)
		program_usage_error(
			"fescue-check",
			"at least one file and a positive bound are required");
	settings.convergence_bound_us = (uint64_t)convergence_ms * 1000;
	history = history_create(&settings);
	for (int i = 1; i < argc; i++)
		if (read_file(history, argv[i]))
			return EXIT_ERROR;
	violations = history_check(history, stdout);
	print_summary(history, violations);
	history_destroy(history);
	return violations ? EXIT_ERROR : EXIT_OK;
}
