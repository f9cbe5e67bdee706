/*
 * fescuectl commands that read or write the stored configuration.
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

#define SETTLE_ATTEMPTS 20
#define SETTLE_PAUSE_US 250000ul

/* What the store holds under the configuration's key. */
struct stored {
	int error;
	int maybe_applied;
	uint64_t revision; /* 0: nothing */
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

struct wait {
	uv_loop_t *loop;
	struct stored *stored;
};

static void on_result(void *data, const struct store_result *result)
{
	struct wait *wait = data;
	struct stored *stored = wait->stored;

	stored->error = result->error;
	stored->maybe_applied = result->maybe_applied;
	stored->revision = result->revision;
	stored->value = g_memdup2(result->value, result->size);
	stored->size = result->size;
	if (stored->value)
		stored->has_envelope = !envelope_parse(
			stored->value, stored->size, &stored->envelope);
	uv_stop(wait->loop);
}

static void read_stored(struct ctl *ctl, struct store_client *client,
			struct stored *stored)
{
	struct wait wait = { ctl->loop, stored };

	memset(stored, 0, sizeof(*stored));
	store_get(client, interface_config_key(INTERFACE_FESCUE), on_result,
		  &wait);
	uv_run(ctl->loop, UV_RUN_DEFAULT);
	if (stored->error == FESCUE_ENOTFOUND)
		stored->error = FESCUE_OK;
}

static void write_stored(struct ctl *ctl, struct store_client *client,
			 const char *value, size_t size, uint64_t base,
			 struct stored *stored)
{
	struct wait wait = { ctl->loop, stored };

	memset(stored, 0, sizeof(*stored));
	store_put(client, interface_config_key(INTERFACE_FESCUE), value, size,
		  base, 0, on_result, &wait);
	uv_run(ctl->loop, UV_RUN_DEFAULT);
}

static int report_unreachable(const struct stored *stored)
{
	fprintf(stderr, "fescuectl: the store: %s\n",
		fescue_strerror(stored->error));
	return EXIT_REFUSED;
}

static void stored_text(const struct stored *stored, struct ctl_file *out)
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
	return error ? EXIT_REFUSED : EXIT_GOOD;
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
		return report_unreachable(&stored);
	if (!stored.revision) {
		fprintf(stderr, "fescuectl: the store holds no configuration; "
				"apply one\n");
		return EXIT_REFUSED;
	}
	stored_text(&stored, &file);
	printf("# fescue-version: %" PRIu64 "\n", stored.revision);
	fwrite(file.text, 1, file.text_size, stdout);
	stored_clear(&stored);
	return EXIT_GOOD;
}

int ctl_diff(struct ctl *ctl, const char *path)
{
	struct store_client *client =
		store_client_create(ctl->loop, ctl->store, NULL);
	struct stored stored;
	struct ctl_file file, held;

	if (ctl_file_read(path, &file))
		return EXIT_REFUSED;
	read_stored(ctl, client, &stored);
	if (stored.error)
		return report_unreachable(&stored);
	stored_text(&stored, &held);
	if (!text_diff_print(held.text, held.text_size, file.text,
			     file.text_size, stdout))
		printf("no difference from version %" PRIu64 "\n",
		       stored.revision);
	stored_clear(&stored);
	ctl_file_clear(&file);
	return EXIT_GOOD;
}

static int report_conflict(const char *path, const struct ctl_file *file,
			   const struct stored *stored, int64_t base)
{
	struct ctl_file held;

	stored_text(stored, &held);
	fprintf(stderr,
		"fescuectl: conflict: %s was made from version %" PRId64
		", but the store holds version %" PRIu64
		"; merge the difference below and apply with --base %" PRIu64
		"\n",
		path, base < 0 ? 0 : base, stored->revision, stored->revision);
	text_diff_print(file->text, file->text_size, held.text, held.text_size,
			stdout);
	return EXIT_REFUSED;
}

/* Recorded from before the write, so that convergence is never flattered. */
static void note_accepted(struct ctl *ctl, uint64_t version,
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
		return EXIT_REFUSED;
	return EXIT_GOOD;
}

enum settlement {
	SETTLED_ACCEPTED,
	SETTLED_REPLACED, /* accepted, and later changes followed */
	SETTLED_CONFLICT, /* never accepted: another change came first */
	SETTLED_REFUSED, /* the store refused it before any effect */
	UNSETTLED, /* the store gave no answer for too long */
};

/* Judge by what the store holds now whether the change took effect. */
static enum settlement judge(const struct stored *now, uint64_t change,
			     uint64_t base)
{
	if (now->has_envelope) {
		switch (envelope_find_change(&now->envelope, change)) {
		case ENVELOPE_CHANGE_CURRENT:
			return SETTLED_ACCEPTED;
		case ENVELOPE_CHANGE_SUPERSEDED:
			return SETTLED_REPLACED;
		case ENVELOPE_CHANGE_NOT_FOUND:
			break;
		}
	}
	return now->revision == base ? UNSETTLED : SETTLED_CONFLICT;
}

/*
 * Write until the fate is certain. Writing the same change again is safe: it
 * needs the same base, so it takes effect at most once.
 */
static enum settlement
write_and_settle(struct ctl *ctl, struct store_client *client,
		 const char *value, size_t size, uint64_t base, uint64_t change,
		 struct stored *now, uint64_t *written_us)
{
	int doubtful = 0;

	for (int i = 0; i < SETTLE_ATTEMPTS; i++) {
		enum settlement fate;
		struct stored written;

		*written_us = wall_clock_us();
		write_stored(ctl, client, value, size, base, &written);
		doubtful |= written.maybe_applied;
		if (!written.error) {
			now->revision = written.revision;
			return SETTLED_ACCEPTED;
		}
		stored_clear(&written);
		read_stored(ctl, client, now);
		fate = now->error ? UNSETTLED : judge(now, change, base);
		if (fate != UNSETTLED)
			return fate;
		stored_clear(now);
		g_usleep(SETTLE_PAUSE_US);
	}
	return doubtful ? UNSETTLED : SETTLED_REFUSED;
}

static uint64_t draw_change(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int();
}

static int apply_on(struct ctl *ctl, struct store_client *client,
		    const char *path, const struct ctl_file *file,
		    const struct stored *base)
{
	uint64_t change = draw_change();
	struct stored now = { 0 };
	uint64_t written_us = 0;
	size_t size;
	char *value = envelope_build(
		change, base->has_envelope ? &base->envelope : NULL, file->text,
		file->text_size, &size);
	enum settlement fate = write_and_settle(ctl, client, value, size,
						base->revision, change, &now,
						&written_us);
	int code = EXIT_REFUSED;

	switch (fate) {
	case SETTLED_ACCEPTED:
		note_accepted(ctl, now.revision, written_us);
		code = report_accepted(path, file, now.revision);
		break;
	case SETTLED_REPLACED:
		printf("accepted, and since replaced by version %" PRIu64 "\n",
		       now.revision);
		code = EXIT_GOOD;
		break;
	case SETTLED_CONFLICT:
		code = report_conflict(path, file, &now,
				       (int64_t)base->revision);
		break;
	case SETTLED_REFUSED:
		fprintf(stderr, "fescuectl: not accepted: the store refuses "
				"writes; try again when it recovers\n");
		break;
	case UNSETTLED:
		fprintf(stderr,
			"fescuectl: unknown: the store gave no answer; when it "
			"recovers run \"fescuectl diff %s\" to see whether "
			"change %016" PRIx64 " took effect\n",
			path, change);
		break;
	}
	stored_clear(&now);
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
		return EXIT_REFUSED;
	read_stored(ctl, client, &stored);
	base = ctl->base >= 0 ? ctl->base : file.version;
	if (stored.error)
		code = report_unreachable(&stored);
	else if (stored.revision != (uint64_t)MAX(base, 0))
		code = report_conflict(path, &file, &stored, base);
	else
		code = apply_on(ctl, client, path, &file, &stored);
	stored_clear(&stored);
	ctl_file_clear(&file);
	return code;
}

/* Copy one line of the file, with --remove and --replace applied. */
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
	int number = 0, error;

	if (!ctl->add && !ctl->remove && !(ctl->replace && ctl->with))
		program_usage_error("fescuectl",
				    "edit needs --add LINE, --remove NUMBER, "
				    "or --replace NUMBER --with LINE");
	if (ctl_file_read(path, &file))
		return EXIT_REFUSED;
	for (size_t start = 0; start < file.size;) {
		const char *line = file.bytes + start;
		const char *newline = memchr(line, '\n', file.size - start);
		size_t len = newline ? (size_t)(newline - line) :
				       file.size - start;

		edit_line(ctl, ++number, line, len, out);
		start += len + 1;
	}
	if (ctl->add)
		g_string_append_printf(out, "%s\n", ctl->add);
	edited.size = out->len;
	edited.bytes = g_string_free(out, FALSE);
	ctl_file_split(&edited);
	error = ctl_file_check(path, &edited);
	if (error)
		printf("%s: left as it was\n", path);
	else
		error = ctl_file_write(path, edited.version, edited.text,
				       edited.text_size);
	ctl_file_clear(&file);
	ctl_file_clear(&edited);
	return error ? EXIT_REFUSED : EXIT_GOOD;
}
