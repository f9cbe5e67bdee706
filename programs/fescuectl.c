/*
 * fescuectl: command-line tool of the operators.
 */
#include "ctl.h"
#include "fescue/error.h"
#include "fescue/rules.h"
#include "program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char summary[] =
	"Commands:\n"
	"  check FILE       validate a rules file\n"
	"  apply FILE       validate a rules file and store it as the\n"
	"                   configuration\n"
	"  edit FILE        change a rules file: --add, --remove, --replace\n"
	"  diff FILE        compare the stored configuration with a file\n"
	"  show             print the stored configuration\n"
	"  status           active versions by failure domain\n"
	"  explain PATH     show where a request would go now and why; nothing is\n"
	"                   sent to a backend server\n"
	"  trace ID         trace a request through logs on standard input\n"
	"  versions         from logs on standard input, show when each node\n"
	"                   got which version\n"
	"Exit codes: 0 success, 1 failure, 2 wrong usage.";

static struct ctl ctl = { .base = -1 };
static char *store_address, *node_address, *settings_path;

struct command {
	const char *name;
	int argument_count; /* 0 or 1 */
	int (*run)(struct ctl *ctl, const char *argument);
	int needs_store;
	int needs_node;
};

static const struct command commands[] = {
	{ "check", 1, ctl_check, 0, 0 },
	{ "apply", 1, ctl_apply, 1, 0 },
	{ "edit", 1, ctl_edit, 0, 0 },
	{ "diff", 1, ctl_diff, 1, 0 },
	{ "show", 0, ctl_show, 1, 0 },
	{ "status", 0, ctl_status, 0, 1 },
	{ "explain", 1, ctl_explain, 0, 1 },
	{ "trace", 1, ctl_trace, 0, 0 },
	{ "versions", 0, ctl_versions, 0, 0 },
};

static const struct command *find_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static void parse_addresses(const struct command *command)
{
	char message[SETTINGS_ERROR_BYTES];

	if (settings_path && ctl_read_settings(&ctl, settings_path, message)) {
		fprintf(stderr, "%s\n", message);
		exit(EXIT_ERROR);
	}
	if (store_address && address_parse(store_address, &ctl.store))
		program_usage_error("fescuectl", "--store must be IP:PORT");
	if (node_address && address_parse(node_address, &ctl.node))
		program_usage_error("fescuectl", "--node must be IP:PORT");
	if (command->needs_store && !ctl.store.port)
		program_usage_error("fescuectl",
				    "give the address of the store with "
				    "--store or --settings");
	if (command->needs_node && !ctl.node.port)
		program_usage_error("fescuectl",
				    "give the operator port of a node with "
				    "--node or --settings");
}

int main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "store", 0, 0, G_OPTION_ARG_STRING, &store_address,
		  "Address of the key-value store", "IP:PORT" },
		{ "node", 0, 0, G_OPTION_ARG_STRING, &node_address,
		  "Operator port of any node", "IP:PORT" },
		{ "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings_path,
		  "JSON file with \"store\" and \"node\"", "FILE" },
		{ "base", 0, 0, G_OPTION_ARG_INT64, &ctl.base,
		  "apply: version on which the file is based", "VERSION" },
		{ "events", 0, 0, G_OPTION_ARG_FILENAME, &ctl.events_path,
		  "apply: append the accepted version to a file for fescue-check",
		  "FILE" },
		{ "id", 0, 0, G_OPTION_ARG_STRING, &ctl.id,
		  "explain: request id, which selects the target of a split",
		  "ID" },
		{ "method", 0, 0, G_OPTION_ARG_STRING, &ctl.method,
		  "explain: method of the call", "METHOD" },
		{ "host", 0, 0, G_OPTION_ARG_STRING, &ctl.host,
		  "explain: host of the call", "HOST" },
		{ "account", 0, 0, G_OPTION_ARG_STRING, &ctl.account,
		  "explain: name of the client account", "NAME" },
		{ "key-file", 0, 0, G_OPTION_ARG_FILENAME, &ctl.key_file,
		  "explain: file with a key of the account; -: standard input",
		  "FILE" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &ctl.json,
		  "explain: print JSON", NULL },
		{ "add", 0, 0, G_OPTION_ARG_STRING, &ctl.add,
		  "edit: append a line", "LINE" },
		{ "remove", 0, 0, G_OPTION_ARG_INT, &ctl.remove,
		  "edit: remove the line with this number", "NUMBER" },
		{ "replace", 0, 0, G_OPTION_ARG_INT, &ctl.replace,
		  "edit: replace the line with this number by --with",
		  "NUMBER" },
		{ "with", 0, 0, G_OPTION_ARG_STRING, &ctl.with,
		  "edit: the new text of the line", "LINE" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	const struct command *command;

	program_parse(&argc, &argv, entries, "COMMAND [ARGUMENT]", summary);
	command = argc > 1 ? find_command(argv[1]) : NULL;
	if (!command)
		program_usage_error("fescuectl", "a command is required");
	if (argc != 2 + command->argument_count)
		program_usage_error("fescuectl",
				    command->argument_count ?
					    "the command needs one argument" :
					    "the command takes no argument");
	parse_addresses(command);
	signal(SIGPIPE, SIG_IGN);
	ctl.loop = uv_default_loop();
	return command->run(&ctl, command->argument_count ? argv[2] : NULL);
}
