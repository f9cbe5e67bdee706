/*
 * fescuectl commands on rules files and on the configuration in the store.
 */
#include "ctl.h"
#include "ctl_file.h"
#include "events.h"
#include "fescue/envelope.h"
#include "fescue/error.h"
#include "interface.h"
#include "platform/store_client.h"
#include "program.h"
#include "text_diff.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define WRITE_ATTEMPTS 20
#define WRITE_RETRY_DELAY_US 250000ul

/* Result of a read or write of the configuration's key in the store. */
struct stored {
	int error;
	int maybe_applied; /* a failed write may still have taken effect */
	uint64_t revision; /* 0: the key does not exist */
	char *value;
	size_t size;
	int has_envelope;
	struct envelope envelope;
};

static void stored_clear(struct stored *stored)
{
	g_free(stored->value);
	memset(stored, 0, sizeof(*stored));
}

/* One store call for which the loop runs until its result arrives. */
struct operation {
	uv_loop_t *loop;
	struct stored *stored;
};

static void on_result(void *data, const struct store_result *result)
{
	struct operation *operation = data;
	struct stored *stored = operation->stored;

	stored->error = result->error;
	stored->maybe_applied = result->maybe_applied;
	stored->revision = result->revision;
	stored->value = g_memdup2(result->value, result->size);
	stored->size = result->size;
	if (stored->value)
		stored->has_envelope = !envelope_parse(
			stored->value, stored->size, &stored->envelope);
	uv_stop(operation->loop);
}

static void read_stored(struct ctl *ctl, struct store_client *client,
			struct stored *stored)
{
	struct operation operation = { ctl->loop, stored };

	memset(stored, 0, sizeof(*stored));
	store_get(client, interface_config_key(INTERFACE_FESCUE), on_result,
		  &operation);
	uv_run(ctl->loop, UV_RUN_DEFAULT);
	if (stored->error == FESCUE_ENOTFOUND)
		stored->error = FESCUE_OK;
}

static void write_stored(struct ctl *ctl, struct store_client *client,
			 const char *value, size_t size, uint64_t base,
			 struct stored *stored)
{
	struct operation operation = { ctl->loop, stored };

	memset(stored, 0, sizeof(*stored));
	store_put(client, interface_config_key(INTERFACE_FESCUE), value, size,
		  base, 0, on_result, &operation);
	uv_run(ctl->loop, UV_RUN_DEFAULT);
}

static int report_store_error(const struct stored *stored)
{
	fprintf(stderr, "fescuectl: the store: %s\n",
		fescue_strerror(stored->error));
	return EXIT_ERROR;
}

/* Set text and text_size of out; the text stays owned by stored. */
static void get_stored_text(const struct stored *stored, struct ctl_file *out)
{
	memset(out, 0, sizeof(*out));
	if (stored->has_envelope) {
		out->text = stored->envelope.text;
		out->text_size = stored->envelope.text_size;
	} else {
		out->text = stored->value ? stored->value : "";
		out->text_size = stored->size;
	}
}

int ctl_check(struct ctl *ctl, const char *path)
{
	struct ctl_file file;
	int error = ctl_file_read(path, &file);

	(void)ctl;
	if (!error)
		error = ctl_file_check(path, &file);
	if (!error)
		printf("%s: good\n", path);
	ctl_file_clear(&file);
	return error ? EXIT_ERROR : EXIT_OK;
}

int ctl_show(struct ctl *ctl, const char *unused)
{
	struct store_client *client =
		store_client_create(ctl->loop, ctl->store, NULL);
	struct stored stored;
	struct ctl_file file;

	(void)unused;
	read_stored(ctl, client, &stored);
	if (stored.error)
		return report_store_error(&stored);
	if (!stored.revision) {
		fprintf(stderr, "fescuectl: the store holds no configuration; "
				"apply one\n");
		return EXIT_ERROR;
	}
	get_stored_text(&stored, &file);
	printf("# fescue-version: %" PRIu64 "\n", stored.revision);
	fwrite(file.text, 1, file.text_size, stdout);
	stored_clear(&stored);
	return EXIT_OK;
}

int ctl_diff(struct ctl *ctl, const char *path)
{
	struct store_client *client =
		store_client_create(ctl->loop, ctl->store, NULL);
	struct stored stored;
	struct ctl_file file, current;

	if (ctl_file_read(path, &file))
		return EXIT_ERROR;
	read_stored(ctl, client, &stored);
	if (stored.error)
		return report_store_error(&stored);
	get_stored_text(&stored, &current);
	if (!text_diff_print(current.text, current.text_size, file.text,
			     file.text_size, stdout))
		printf("no difference from version %" PRIu64 "\n",
		       stored.revision);
	stored_clear(&stored);
	ctl_file_clear(&file);
	return EXIT_OK;
}

static int report_conflict(const char *path, const struct ctl_file *file,
			   const struct stored *stored, int64_t base)
{
	struct ctl_file current;

	get_stored_text(stored, &current);
	fprintf(stderr,
		"fescuectl: conflict: %s is based on version %" PRId64
		", but the store holds version %" PRIu64
		"; merge the difference below and apply with --base %" PRIu64
		"\n",
		path, base < 0 ? 0 : base, stored->revision, stored->revision);
	text_diff_print(file->text, file->text_size, current.text,
			current.text_size, stdout);
	return EXIT_ERROR;
}

/*
 * Append an event record for fescue-check. It has the time before the write, so
 * that measured convergence times are never too short.
 */
static void record_accepted(struct ctl *ctl, uint64_t version,
			    uint64_t written_us)
{
	struct event_log *log;

	if (!ctl->events_path ||
	    event_log_open(ctl->events_path, "fescuectl", &log))
		return;
	event_log_write(log, "accepted",
			"\"version\":%" PRIu64 ",\"written_us\":%" PRIu64,
			version, written_us);
	event_log_close(log);
}

static int report_accepted(const char *path, const struct ctl_file *file,
			   uint64_t version)
{
	printf("accepted as version %" PRIu64 "\n", version);
	if (ctl_file_write(path, (int64_t)version, file->text, file->text_size))
		return EXIT_ERROR;
	return EXIT_OK;
}

enum change_status {
	CHANGE_ACCEPTED,
	CHANGE_SUPERSEDED, /* accepted, then replaced by later changes */
	CHANGE_CONFLICT, /* not accepted: another change was written first */
	CHANGE_REFUSED, /* not accepted: no write can have taken effect */
	CHANGE_UNKNOWN, /* an unanswered write may still take effect */
};

/*
 * Find out from the stored value whether the change took effect. CHANGE_UNKNOWN
 * means that the store still holds the base: the change has no effect so far.
 */
static enum change_status find_change_status(const struct stored *current,
					     uint64_t change_id, uint64_t base)
{
	if (current->has_envelope) {
		switch (envelope_find_change(&current->envelope, change_id)) {
		case ENVELOPE_CHANGE_CURRENT:
			return CHANGE_ACCEPTED;
		case ENVELOPE_CHANGE_SUPERSEDED:
			return CHANGE_SUPERSEDED;
		case ENVELOPE_CHANGE_NOT_FOUND:
			break;
		}
	}
	return current->revision == base ? CHANGE_UNKNOWN : CHANGE_CONFLICT;
}

/*
 * Write the change, and retry until its status is known or the attempts are
 * used up. Retries are safe: each write requires the same base revision, so the
 * change takes effect at most once.
 */
static enum change_status
write_change(struct ctl *ctl, struct store_client *client, const char *value,
	     size_t size, uint64_t base, uint64_t change_id,
	     struct stored *current, uint64_t *written_us)
{
	int may_have_taken_effect = 0;

	for (int i = 0; i < WRITE_ATTEMPTS; i++) {
		enum change_status status;
		struct stored written;

		*written_us = wall_clock_us();
		write_stored(ctl, client, value, size, base, &written);
		may_have_taken_effect |= written.maybe_applied;
		if (!written.error) {
			current->revision = written.revision;
			return CHANGE_ACCEPTED;
		}
		stored_clear(&written);
		read_stored(ctl, client, current);
		status = current->error ?
				 CHANGE_UNKNOWN :
				 find_change_status(current, change_id, base);
		if (status != CHANGE_UNKNOWN)
			return status;
		stored_clear(current);
		g_usleep(WRITE_RETRY_DELAY_US);
	}
	return may_have_taken_effect ? CHANGE_UNKNOWN : CHANGE_REFUSED;
}

static uint64_t generate_change_id(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int();
}

static int apply_file(struct ctl *ctl, struct store_client *client,
		      const char *path, const struct ctl_file *file,
		      const struct stored *base)
{
	uint64_t change_id = generate_change_id();
	struct stored current = { 0 };
	uint64_t written_us = 0;
	size_t size;
	char *value = envelope_build(
		change_id, base->has_envelope ? &base->envelope : NULL,
		file->text, file->text_size, &size);
	enum change_status status = write_change(ctl, client, value, size,
						 base->revision, change_id,
						 &current, &written_us);
	int code = EXIT_ERROR;

	switch (status) {
	case CHANGE_ACCEPTED:
		record_accepted(ctl, current.revision, written_us);
		code = report_accepted(path, file, current.revision);
		break;
	case CHANGE_SUPERSEDED:
		printf("accepted, then superseded by version %" PRIu64 "\n",
		       current.revision);
		code = EXIT_OK;
		break;
	case CHANGE_CONFLICT:
		code = report_conflict(path, file, &current,
				       (int64_t)base->revision);
		break;
	case CHANGE_REFUSED:
		fprintf(stderr, "fescuectl: not accepted: the store refuses "
				"writes; try again when it recovers\n");
		break;
	case CHANGE_UNKNOWN:
		fprintf(stderr,
			"fescuectl: unknown: the store did not answer; when it "
			"recovers, run \"fescuectl diff %s\" to see whether "
			"change %016" PRIx64 " took effect\n",
			path, change_id);
		break;
	}
	stored_clear(&current);
	g_free(value);
	return code;
}

int ctl_apply(struct ctl *ctl, const char *path)
{
	struct store_client *client =
		store_client_create(ctl->loop, ctl->store, NULL);
	struct stored stored = { 0 };
	struct ctl_file file;
	int64_t base;
	int code;

	if (ctl_file_read(path, &file) || ctl_file_check(path, &file))
		return EXIT_ERROR;
	read_stored(ctl, client, &stored);
	base = ctl->base >= 0 ? ctl->base : file.version;
	if (stored.error)
		code = report_store_error(&stored);
	else if (stored.revision != (uint64_t)MAX(base, 0))
		code = report_conflict(path, &file, &stored, base);
	else
		code = apply_file(ctl, client, path, &file, &stored);
	stored_clear(&stored);
	ctl_file_clear(&file);
	return code;
}

/* Append one line of the file to out, with --remove and --replace applied. */
static void edit_line(const struct ctl *ctl, int number, const char *line,
		      size_t len, GString *out)
{
	if (number == ctl->remove)
		return;
	if (number == ctl->replace)
		g_string_append(out, ctl->with);
	else
		g_string_append_len(out, line, (gssize)len);
	g_string_append_c(out, '\n');
}

int ctl_edit(struct ctl *ctl, const char *path)
{
	struct ctl_file file, edited = { 0 };
	GString *out = g_string_new(NULL);
	int line_number = 0, error;

	if (!ctl->add && !ctl->remove && !(ctl->replace && ctl->with))
		program_usage_error("fescuectl",
				    "edit needs --add LINE, --remove NUMBER, "
				    "or --replace NUMBER --with LINE");
	if (ctl_file_read(path, &file))
		return EXIT_ERROR;
	for (size_t start = 0; start < file.size;) {
		const char *line = file.bytes + start;
		const char *newline = memchr(line, '\n', file.size - start);
		size_t len = newline ? (size_t)(newline - line) :
				       file.size - start;

		edit_line(ctl, ++line_number, line, len, out);
		start += len + 1;
	}
	if (ctl->add)
		g_string_append_printf(out, "%s\n", ctl->add);
	edited.size = out->len;
	edited.bytes = g_string_free(out, FALSE);
	ctl_file_parse(&edited);
	error = ctl_file_check(path, &edited);
	if (error)
		printf("%s: left unchanged\n", path);
	else
		error = ctl_file_write(path, edited.version, edited.text,
				       edited.text_size);
	ctl_file_clear(&file);
	ctl_file_clear(&edited);
	return error ? EXIT_ERROR : EXIT_OK;
}
