/*
 * Reads the logs of any number of nodes to trace one request and to show how
 * versions of the configuration were distributed.
 */
#ifndef FESCUE_LOG_READER_H
#define FESCUE_LOG_READER_H

#include <glib.h>

struct log_reader;

struct log_reader *log_reader_create(void);
void log_reader_destroy(struct log_reader *reader);

/*
 * Add one line. Text before the first brace is skipped, such as a prefix of a
 * log collector. Lines without a brace are ignored.
 */
void log_reader_add_line(struct log_reader *reader, const char *line);

/* Number of lines with a brace that were not valid JSON objects. */
size_t log_reader_malformed_lines(const struct log_reader *reader);

/*
 * Append the events of the request in order of time, one per line, and a last
 * line that states its outcome. Returns 0, or FESCUE_ENOTFOUND if no line has
 * this request id.
 */
int log_reader_trace(const struct log_reader *reader, const char *request_id,
		     GString *out);

/*
 * Append one line per host: its active version, the time it was applied, and
 * anything wrong, such as an outdated or refused version or an unreachable
 * store.
 */
void log_reader_versions(const struct log_reader *reader, GString *out);

#endif
