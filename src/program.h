/*
 * Shared by all programs: command line options, version and exit codes.
 */
#ifndef FESCUE_PROGRAM_H
#define FESCUE_PROGRAM_H

#include <glib.h>

#define FESCUE_VERSION "0.1.0"

enum exit_code {
	EXIT_OK = 0,
	EXIT_ERROR = 1, /* bad input, failed operation or failed check */
	EXIT_USAGE = 2, /* invalid command line */
};

/*
 * Parse the command line and remove the options from argv. Adds --version.
 * --help shows usage after the program name and summary below it. Exits with
 * EXIT_USAGE on invalid options and with EXIT_OK after --help and --version.
 */
void program_parse(int *argc, char ***argv, const GOptionEntry *entries,
		   const char *usage, const char *summary);

/* Print a usage error to standard error and exit with EXIT_USAGE. */
_Noreturn void program_usage_error(const char *program, const char *message);

#endif
