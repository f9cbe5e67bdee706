/*
 * Fields of one line of the rules file: words with their columns.
 */
#ifndef FESCUE_RULES_FIELD_H
#define FESCUE_RULES_FIELD_H

#include <stddef.h>
#include <stdint.h>

#define RULES_MAX_FIELDS 16

struct field {
	const char *text;
	uint32_t len;
	uint32_t column;
};

/*
 * Split a line at blanks. Returns the number of fields, which may exceed
 * RULES_MAX_FIELDS; only that many are stored.
 */
size_t field_split(const char *text, size_t len, struct field *fields);

int field_is(const struct field *field, const char *word);

/* Is it 1 to RULES_NAME_MAX_BYTES letters, digits and hyphens? */
int field_is_name(const struct field *field);

/* A whole number up to max. Returns 0 or FESCUE_EINVAL. */
int field_parse_number(const struct field *field, uint32_t max, uint32_t *out);

/* Printable copy, cut to size; returns buf. */
const char *field_show(const struct field *field, char *buf, size_t size);

#endif
