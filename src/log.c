#include "log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>

static log4c_category_t *category;

void log_open(const char *name)
{
	if (log4c_init())
		return;
	category = log4c_category_get(name);
	log4c_category_set_appender(category, log4c_appender_get("stderr"));
	log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
}

void log_close(void)
{
	category = NULL;
	log4c_fini();
}

static void log_line(int priority, const char *format, va_list args)
{
	if (category)
		log4c_category_vlog(category, priority, format, args);
}

void log_state(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_line(LOG4C_PRIORITY_INFO, format, args);
	va_end(args);
}

void log_error(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_line(LOG4C_PRIORITY_ERROR, format, args);
	va_end(args);
}
