/*
 * The operators' rules file as fescuectl handles it: a copy made by "show"
 * or accepted by "apply" begins with a comment that names its version.
 */
#ifndef FESCUE_CTL_FILE_H
#define FESCUE_CTL_FILE_H

#include <stddef.h>
#include <stdint.h>

struct ctl_file {
	char *bytes; /* the whole file */
	size_t size;
	int64_t version; /* of the leading comment, -1 without one */
	const char *text; /* behind that comment */
	size_t text_size;
	uint32_t skipped_lines;
};

/* Read the file; on failure prints why and returns an error. */
int ctl_file_read(const char *path, struct ctl_file *file);
void ctl_file_clear(struct ctl_file *file);

/* Find the leading comment in bytes already held. */
void ctl_file_split(struct ctl_file *file);

/*
 * Replace the file's contents in one step, with a leading comment when
 * version is not negative. On failure prints why and returns an error.
 */
int ctl_file_write(const char *path, int64_t version, const char *text,
		   size_t size);

/* Check the text; prints each bad line as FILE:LINE:COLUMN: what; remedy. */
int ctl_file_check(const char *path, const struct ctl_file *file);

#endif
