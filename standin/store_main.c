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
	static const GOptionEntry entries[] = {
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
	uv_run(loop, UV_RUN_DEFAULT);
	return EXIT_OK;
}
