/*
 * The parser of rules: its state, its complaints, and options of a line.
 */
#ifndef FESCUE_RULES_PARSER_H
#define FESCUE_RULES_PARSER_H

#include "rules_field.h"
#include "rules_table.h"

struct parser {
	struct rules *rules;
	GHashTable *service_names; /* name -> line */
	GHashTable *route_keys; /* method, host and prefix -> line */
	uint32_t line;
	struct diagnostic *diagnostics;
	size_t max;
	size_t count;
};

/* Note what is wrong at a column of the present line, and the remedy. */
void complain(struct parser *p, uint32_t column, const char *remedy,
	      const char *format, ...) G_GNUC_PRINTF(4, 5);

/* Split "key=value"; returns 0 and a diagnostic when there is no '='. */
int split_option(struct parser *p, const struct field *f, struct field *key,
		 struct field *value);
void parse_number_option(struct parser *p, const struct field *key,
			 const struct field *value, uint32_t min, uint32_t max,
			 uint32_t *out);

/* *out becomes 0 for the first word, 1 for the second. */
void parse_choice_option(struct parser *p, const struct field *key,
			 const struct field *value, const char *first,
			 const char *second, int *out);

/* out holds RULES_PATH_MAX_BYTES and a NUL. */
void parse_path_option(struct parser *p, const struct field *key,
		       const struct field *value, char *out);
void unknown_option(struct parser *p, const struct field *key,
		    const char *allowed);

/* Complain when an option stands twice on a line. */
int option_is_repeated(struct parser *p, const struct field *fields, size_t i,
		       size_t first, const struct field *key);

#endif
