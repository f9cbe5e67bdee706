/*
 * What all programs share: options, version and exit codes.
 */
#ifndef FESCUE_PROGRAM_H
#define FESCUE_PROGRAM_H

#include <glib.h>

#define FESCUE_VERSION "0.1.0"

enum exit_code {
	EXIT_GOOD = 0,
	EXIT_REFUSED = 1, /* the input or the state of the system is bad */
	EXIT_USAGE = 2,
};

/*
 * Parse the command line; adds --version. usage is shown behind the program
 * name, summary below it. Exits with EXIT_USAGE on unknown options and with
 * EXIT_GOOD after --help and --version.
 */
void program_parse(int *argc, char ***argv, const GOptionEntry *entries,
		   const char *usage, const char *summary);

/* Print a usage error to standard error and exit with EXIT_USAGE. */
_Noreturn void program_usage_error(const char *program, const char *message);

#endif
