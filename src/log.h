/*
 * Log lines for changes of state, through log4c to standard error.
 */
#ifndef FESCUE_LOG_H
#define FESCUE_LOG_H

/* Open the log once at start-up; name appears in each line. */
void log_open(const char *name);
void log_close(void);

/* Log one change of state, or one failure that needs an operator. */
void log_state(const char *format, ...) __attribute__((format(printf, 1, 2)));
void log_error(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
