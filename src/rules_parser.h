/*
 * Internals of the rules parser: state, diagnostics and key=value options.
 */
#ifndef FESCUE_RULES_PARSER_H
#define FESCUE_RULES_PARSER_H

#include "rules_field.h"
#include "rules_table.h"

struct parser {
	struct rules *rules;
	GHashTable *service_names; /* name -> line */
	GHashTable *route_keys; /* method, host and prefix -> line */
	GHashTable *account_names; /* name -> line */
	uint32_t line; /* current line, 1-based */
	struct diagnostic *diagnostics;
	size_t max; /* capacity of diagnostics */
	size_t count; /* diagnostics added; may exceed max */
};

/*
 * Add a diagnostic at a column of the current line. format describes the
 * problem. Beyond the capacity it is only counted.
 */
void add_diagnostic(struct parser *p, uint32_t column, const char *remedy,
		    const char *format, ...) G_GNUC_PRINTF(4, 5);

/*
 * Split "key=value" and return 1. Without a '=' adds a diagnostic and returns
 * 0.
 */
int split_option(struct parser *p, const struct field *f, struct field *key,
		 struct field *value);

/*
 * The parsers of option values add a diagnostic and leave *out unchanged if the
 * value is invalid. This one accepts a decimal number from min to max.
 */
void parse_number_option(struct parser *p, const struct field *key,
			 const struct field *value, uint32_t min, uint32_t max,
			 uint32_t *out);

/* Set *out to 0 for the first word, or to 1 for the second one. */
void parse_choice_option(struct parser *p, const struct field *key,
			 const struct field *value, const char *first,
			 const char *second, int *out);

/*
 * Copy a path that starts with '/' to out, which has room for
 * RULES_PATH_MAX_BYTES and a NUL.
 */
void parse_path_option(struct parser *p, const struct field *key,
		       const struct field *value, char *out);

/* Add a diagnostic for an unknown key; allowed is the remedy. */
void report_unknown_option(struct parser *p, const struct field *key,
			   const char *allowed);

/* Parse a line that begins with the word account. */
void parse_account(struct parser *p, const struct field *fields, size_t n);

/*
 * Returns 1 and adds a diagnostic if fields[first] to fields[i - 1] contain an
 * option with the same key.
 */
int option_is_repeated(struct parser *p, const struct field *fields, size_t i,
		       size_t first, const struct field *key);

#endif
