/*
 * fescue-node: the node process that runs beside a backend server.
 */
#include "events.h"
#include "fescue/error.h"
#include "log.h"
#include "node.h"
#include "platform/platform.h"
#include "program.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * glibc raises this threshold when a large block is freed, and then keeps freed
 * blocks of that size in its heap: the process held 52 instead of 36 MB after a
 * crowd of callers.
 */
#define MMAP_THRESHOLD_BYTES (128 << 10)

static int run_node(const struct node_settings *settings, const char *path,
		    const char *events_path)
{
	uv_loop_t *loop = uv_default_loop();
	struct event_log *events;
	struct node *node;
	struct address address = { settings->address,
				   (uint16_t)settings->peer_port };
	char source[ADDRESS_TEXT_BYTES];
	int error = event_log_open(events_path, address_format(address, source),
				   &events);

	if (error) {
		fprintf(stderr, "fescue-node: %s: %s\n", events_path,
			fescue_strerror(error));
		return EXIT_ERROR;
	}
	log_set_host(source);
	error = node_create(loop, settings, path, events, &node);
	if (error) {
		fprintf(stderr,
			"fescue-node: cannot listen: %s; check that the "
			"ports are free\n",
			fescue_strerror(error));
		return EXIT_ERROR;
	}
	uv_run(loop, UV_RUN_DEFAULT);
	event_log_write(events, "stopped", "%s", "\"graceful\":true");
	log_event(LOG_STATE, "stopped", "\"graceful\":true");
	node_destroy(node);
	event_log_close(events);
	return EXIT_OK;
}

int main(int argc, char **argv)
{
	static char *check_path, *events_path;
	static const GOptionEntry entries[] = {
		{ "check-settings", 0, 0, G_OPTION_ARG_FILENAME, &check_path,
		  "Check a settings file and exit", "FILE" },
		{ "events", 0, 0, G_OPTION_ARG_FILENAME, &events_path,
		  "Append events for fescue-check to a file", "FILE" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	struct node_settings settings;
	char message[SETTINGS_ERROR_BYTES];
	const char *path;
	int exit_code;

	program_parse(&argc, &argv, entries, "SETTINGS",
		      "Runs beside a backend server, applies the rules file "
		      "and routes calls.");
	path = argc == 2 ? argv[1] : getenv(platform_settings_variable);
	if (!check_path && !path)
		program_usage_error("fescue-node",
				    "give exactly one settings file");
	if (node_settings_read(check_path ? check_path : path, &settings,
			       message)) {
		fprintf(stderr, "%s\n", message);
		return EXIT_ERROR;
	}
	if (check_path) {
		printf("%s: settings are good\n", check_path);
		return EXIT_OK;
	}
	signal(SIGPIPE, SIG_IGN);
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	log_open("fescue-node");
	exit_code = run_node(&settings, path, events_path);
	log_close();
	return exit_code;
}
