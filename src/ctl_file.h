/*
 * Rules files of operators. A file written by "show" or accepted by "apply"
 * starts with a comment line that holds the version it is based on.
 */
#ifndef FESCUE_CTL_FILE_H
#define FESCUE_CTL_FILE_H

#include <stddef.h>
#include <stdint.h>

struct ctl_file {
	char *bytes; /* the whole file */
	size_t size;
	int64_t version; /* from the version comment; -1: there is none */
	const char *text; /* in bytes, after the version comment */
	size_t text_size;
	uint32_t skipped_lines; /* lines of bytes before text */
};

/*
 * Read the file. On failure prints the reason to standard error and returns an
 * error. Release with ctl_file_clear().
 */
int ctl_file_read(const char *path, struct ctl_file *file);
void ctl_file_clear(struct ctl_file *file);

/* Set version, text and the fields after it from bytes and size. */
void ctl_file_parse(struct ctl_file *file);

/*
 * Replace the file atomically, with a version comment unless version is
 * negative. On failure prints the reason to standard error and returns an
 * error.
 */
int ctl_file_write(const char *path, int64_t version, const char *text,
		   size_t size);

/*
 * Check the text as rules. Prints each diagnostic to standard output as
 * FILE:LINE:COLUMN: what; remedy, and returns an error if there are any.
 */
int ctl_file_check(const char *path, const struct ctl_file *file);

#endif
