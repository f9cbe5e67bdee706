#include "rules_parser.h"

#include "fescue/error.h"

#include <string.h>

void add_diagnostic(struct parser *p, uint32_t column, const char *remedy,
		    const char *format, ...)
{
	struct diagnostic *d;
	va_list args;

	if (p->count < p->max) {
		d = &p->diagnostics[p->count];
		d->line = p->line;
		d->column = column;
		va_start(args, format);
		g_vsnprintf(d->what, sizeof(d->what), format, args);
		va_end(args);
		g_strlcpy(d->remedy, remedy, sizeof(d->remedy));
	}
	p->count++;
}

int split_option(struct parser *p, const struct field *f, struct field *key,
		 struct field *value)
{
	const char *equals = memchr(f->text, '=', f->len);
	char buf[40];

	if (!equals) {
		add_diagnostic(p, f->column, "write options as key=value",
			       "'%s' is not an option",
			       field_to_string(f, buf, sizeof(buf)));
		return 0;
	}
	key->text = f->text;
	key->len = (uint32_t)(equals - f->text);
	key->column = f->column;
	value->text = equals + 1;
	value->len = f->len - key->len - 1;
	value->column = f->column + key->len + 1;
	return 1;
}

void parse_number_option(struct parser *p, const struct field *key,
			 const struct field *value, uint32_t min, uint32_t max,
			 uint32_t *out)
{
	char name[32], buf[40], remedy[80];
	uint32_t number;

	if (!field_parse_number(value, max, &number) && number >= min) {
		*out = number;
		return;
	}
	g_snprintf(remedy, sizeof(remedy), "give a whole number from %u to %u",
		   min, max);
	add_diagnostic(p, value->column, remedy,
		       "%s has the invalid value '%s'",
		       field_to_string(key, name, sizeof(name)),
		       field_to_string(value, buf, sizeof(buf)));
}

void parse_choice_option(struct parser *p, const struct field *key,
			 const struct field *value, const char *first,
			 const char *second, int *out)
{
	char name[32], buf[40], remedy[80];

	if (field_is(value, first)) {
		*out = 0;
	} else if (field_is(value, second)) {
		*out = 1;
	} else {
		g_snprintf(remedy, sizeof(remedy), "give %s or %s", first,
			   second);
		add_diagnostic(p, value->column, remedy,
			       "%s has the invalid value '%s'",
			       field_to_string(key, name, sizeof(name)),
			       field_to_string(value, buf, sizeof(buf)));
	}
}

void report_unknown_option(struct parser *p, const struct field *key,
			   const char *allowed)
{
	char buf[40];

	add_diagnostic(p, key->column, allowed, "unknown option '%s'",
		       field_to_string(key, buf, sizeof(buf)));
}

int option_is_repeated(struct parser *p, const struct field *fields, size_t i,
		       size_t first, const struct field *key)
{
	char buf[40];

	for (size_t j = first; j < i; j++) {
		if (fields[j].len > key->len &&
		    fields[j].text[key->len] == '=' &&
		    !memcmp(fields[j].text, key->text, key->len)) {
			add_diagnostic(p, key->column, "write each option once",
				       "option '%s' is repeated",
				       field_to_string(key, buf, sizeof(buf)));
			return 1;
		}
	}
	return 0;
}

void parse_path_option(struct parser *p, const struct field *key,
		       const struct field *value, char *out)
{
	char name[32], buf[40];

	if (value->len && value->text[0] == '/' &&
	    value->len <= RULES_PATH_MAX_BYTES) {
		memcpy(out, value->text, value->len);
		out[value->len] = '\0';
		return;
	}
	add_diagnostic(p, value->column,
		       "give a path of up to 127 bytes that starts with /",
		       "%s has the invalid value '%s'",
		       field_to_string(key, name, sizeof(name)),
		       field_to_string(value, buf, sizeof(buf)));
}
