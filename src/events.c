#include "events.h"

#include "fescue/error.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <uv.h>

struct event_log {
	FILE *file;
	char *source;
};

uint64_t wall_clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t monotonic_clock_us(void)
{
	return uv_hrtime() / 1000;
}

int event_log_open(const char *path, const char *source, struct event_log **out)
{
	struct event_log *log = g_new0(struct event_log, 1);

	*out = log;
	log->source = g_strdup(source);
	if (!path)
		return FESCUE_OK;
	log->file = fopen(path, "a");
	if (!log->file)
		return FESCUE_EIO;
	setvbuf(log->file, NULL, _IOLBF, 0);
	return FESCUE_OK;
}

void event_log_close(struct event_log *log)
{
	if (!log)
		return;
	if (log->file)
		fclose(log->file);
	g_free(log->source);
	g_free(log);
}

void event_log_write(struct event_log *log, const char *type,
		     const char *format, ...)
{
	va_list args;

	if (!log->file)
		return;
	fprintf(log->file,
		"{\"t_us\":%" PRIu64 ",\"source\":\"%s\",\"type\":\"%s\"",
		wall_clock_us(), log->source, type);
	if (*format)
		fputc(',', log->file);
	va_start(args, format);
	vfprintf(log->file, format, args);
	va_end(args);
	fputs("}\n", log->file);
}

uint64_t boot_clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}
