#include "ctl.h"
#include "log_reader.h"
#include "program.h"

#include <stdio.h>
#include <stdlib.h>

static struct log_reader *read_logs(void)
{
	struct log_reader *reader = log_reader_create();
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, stdin) >= 0)
		log_reader_add_line(reader, line);
	free(line);
	if (log_reader_malformed_lines(reader))
		fprintf(stderr, "skipped %zu lines that are not JSON\n",
			log_reader_malformed_lines(reader));
	return reader;
}

int ctl_trace(struct ctl *ctl, const char *request_id)
{
	struct log_reader *reader = read_logs();
	GString *out = g_string_new(NULL);
	int error = log_reader_trace(reader, request_id, out);

	(void)ctl;
	if (error)
		fprintf(stderr,
			"no log line has request id %s; add the logs of "
			"more nodes\n",
			request_id);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	log_reader_destroy(reader);
	return error ? EXIT_ERROR : EXIT_OK;
}

int ctl_versions(struct ctl *ctl, const char *unused)
{
	struct log_reader *reader = read_logs();
	GString *out = g_string_new(NULL);

	(void)ctl;
	(void)unused;
	log_reader_versions(reader, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	log_reader_destroy(reader);
	return EXIT_OK;
}
