#include "program.h"

#include <stdio.h>
#include <stdlib.h>

_Noreturn void program_usage_error(const char *program, const char *message)
{
	fprintf(stderr, "%s: %s; see --help\n", program, message);
	exit(EXIT_USAGE);
}

void program_parse(int *argc, char ***argv, const GOptionEntry *entries,
		   const char *usage, const char *summary)
{
	gboolean show_version = FALSE;
	const GOptionEntry version_entry[] = {
		{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
		  "Print the version and exit", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(usage);
	GError *error = NULL;
	gboolean parsed;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_main_entries(context, version_entry, NULL);
	parsed = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!parsed)
		program_usage_error((*argv)[0], error->message);
	if (show_version) {
		printf("fescuehitch " FESCUE_VERSION "\n");
		exit(EXIT_OK);
	}
}
