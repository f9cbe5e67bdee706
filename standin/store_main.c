/*
 * fescue-store-standin: runs the stand-in of the platform's key-value store as
 * a process.
 */
#include "fescue/error.h"
#include "program.h"
#include "store_standin.h"

#include <signal.h>
#include <stdio.h>

int main(int argc, char **argv)
{
	static int64_t era;
	static const GOptionEntry entries[] = {
		{ "era", 0, 0, G_OPTION_ARG_INT64, &era,
		  "Era that the answers tell; by default, none", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	uv_loop_t *loop = uv_default_loop();
	struct store *store;
	struct address address;

	program_parse(&argc, &argv, entries, "IP:PORT",
		      "Simulates the platform's key-value store for tests.");
	if (argc != 2 || address_parse(argv[1], &address))
		program_usage_error("fescue-store-standin",
				    "the IP:PORT to listen on is required");
	signal(SIGPIPE, SIG_IGN);
	if (store_standin_create(loop, address, &store)) {
		fprintf(stderr,
			"fescue-store-standin: cannot listen on %s; check "
			"that the port is free\n",
			argv[1]);
		return EXIT_ERROR;
	}
	store_standin_set_era(store, (uint64_t)MAX(era, 0));
	uv_run(loop, UV_RUN_DEFAULT);
	return EXIT_OK;
}
