#include "ctl_file.h"

#include "fescue/error.h"
#include "fescue/rules.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define VERSION_COMMENT "# fescue-version: "

void ctl_file_parse(struct ctl_file *file)
{
	const size_t prefix = strlen(VERSION_COMMENT);
	const char *newline = memchr(file->bytes, '\n', file->size);
	char digits[24];
	size_t len;

	file->version = -1;
	file->text = file->bytes;
	file->text_size = file->size;
	file->skipped_lines = 0;
	if (!newline || (size_t)(newline - file->bytes) <= prefix ||
	    memcmp(file->bytes, VERSION_COMMENT, prefix))
		return;
	len = (size_t)(newline - file->bytes) - prefix;
	if (len >= sizeof(digits))
		return;
	memcpy(digits, file->bytes + prefix, len);
	digits[len] = '\0';
	file->version = g_ascii_strtoll(digits, NULL, 10);
	file->text = newline + 1;
	file->text_size = file->size - (size_t)(newline + 1 - file->bytes);
	file->skipped_lines = 1;
}

int ctl_file_read(const char *path, struct ctl_file *file)
{
	GError *error = NULL;
	gsize size;

	memset(file, 0, sizeof(*file));
	if (!g_file_get_contents(path, &file->bytes, &size, &error)) {
		fprintf(stderr, "%s; check the path and permissions\n",
			error->message);
		g_error_free(error);
		return FESCUE_EIO;
	}
	file->size = size;
	ctl_file_parse(file);
	return FESCUE_OK;
}

void ctl_file_clear(struct ctl_file *file)
{
	g_free(file->bytes);
	memset(file, 0, sizeof(*file));
}

int ctl_file_write(const char *path, int64_t version, const char *text,
		   size_t size)
{
	GString *out = g_string_sized_new(size + 64);
	GError *error = NULL;
	gboolean written;

	if (version >= 0)
		g_string_printf(out, VERSION_COMMENT "%" PRId64 "\n", version);
	g_string_append_len(out, text, (gssize)size);
	written = g_file_set_contents(path, out->str, (gssize)out->len, &error);
	if (!written) {
		fprintf(stderr, "%s; check the path and permissions\n",
			error->message);
		g_error_free(error);
	}
	g_string_free(out, TRUE);
	return written ? FESCUE_OK : FESCUE_EIO;
}

int ctl_file_check(const char *path, const struct ctl_file *file)
{
	struct diagnostic *diagnostics =
		g_new0(struct diagnostic, RULES_MAX_DIAGNOSTICS);
	struct rules *rules;
	size_t count;
	int error = rules_parse(file->text, file->text_size, &rules,
				diagnostics, RULES_MAX_DIAGNOSTICS, &count);

	for (size_t i = 0; i < count; i++)
		printf("%s:%u:%u: %s; %s\n", path,
		       diagnostics[i].line + file->skipped_lines,
		       diagnostics[i].column, diagnostics[i].what,
		       diagnostics[i].remedy);
	if (count == RULES_MAX_DIAGNOSTICS)
		printf("%s: further errors are not shown; correct these "
		       "first\n",
		       path);
	rules_destroy(rules);
	g_free(diagnostics);
	return error;
}
