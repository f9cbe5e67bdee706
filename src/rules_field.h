/*
 * Splits a line of the rules file into fields separated by blanks.
 */
#ifndef FESCUE_RULES_FIELD_H
#define FESCUE_RULES_FIELD_H

#include <stddef.h>
#include <stdint.h>

#define RULES_LINE_FIELDS_MAX 16

struct field {
	const char *text; /* points into the line, not NUL-terminated */
	uint32_t len;
	uint32_t column; /* 1-based, in bytes */
};

/*
 * Split a line at spaces and tabs. Returns the number of fields in the line and
 * stores the first RULES_LINE_FIELDS_MAX of them; the number may be larger.
 */
size_t field_split(const char *text, size_t len, struct field *fields);

/* Returns nonzero if the field equals the word. */
int field_is(const struct field *field, const char *word);

/*
 * Returns nonzero if the field is a valid service name: 1 to
 * RULES_NAME_MAX_BYTES ASCII letters, digits and hyphens.
 */
int field_is_name(const struct field *field);

/* Parse a decimal number from 0 to max. Returns 0 or FESCUE_EINVAL. */
int field_parse_number(const struct field *field, uint32_t max, uint32_t *out);

/* Copy the field to buf as a string, truncated to size; returns buf. */
const char *field_to_string(const struct field *field, char *buf, size_t size);

#endif
