#include "rules_field.h"

#include "fescue/error.h"
#include "fescue/rules.h"

#include <glib.h>
#include <string.h>

int field_is(const struct field *f, const char *word)
{
	return f->len == strlen(word) && !memcmp(f->text, word, f->len);
}

int field_parse_number(const struct field *f, uint32_t max, uint32_t *out)
{
	uint64_t value = 0;

	if (!f->len || f->len > 9)
		return FESCUE_EINVAL;
	for (uint32_t i = 0; i < f->len; i++) {
		if (!g_ascii_isdigit(f->text[i]))
			return FESCUE_EINVAL;
		value = value * 10 + (uint64_t)(f->text[i] - '0');
	}
	if (value > max)
		return FESCUE_EINVAL;
	*out = (uint32_t)value;
	return FESCUE_OK;
}

int field_is_name(const struct field *f)
{
	if (!f->len || f->len > RULES_NAME_MAX_BYTES)
		return 0;
	for (uint32_t i = 0; i < f->len; i++)
		if (!g_ascii_isalnum(f->text[i]) && f->text[i] != '-')
			return 0;
	return 1;
}

size_t field_split(const char *text, size_t len, struct field *fields)
{
	size_t n = 0, i = 0;

	while (i < len) {
		size_t start;

		while (i < len && (text[i] == ' ' || text[i] == '\t'))
			i++;
		start = i;
		while (i < len && text[i] != ' ' && text[i] != '\t')
			i++;
		if (i == start)
			break;
		if (n < RULES_LINE_FIELDS_MAX) {
			fields[n].text = text + start;
			fields[n].len = (uint32_t)(i - start);
			fields[n].column = (uint32_t)start + 1;
		}
		n++;
	}
	return n;
}

const char *field_to_string(const struct field *f, char *buf, size_t size)
{
	size_t len = MIN(f->len, size - 1);

	memcpy(buf, f->text, len);
	buf[len] = '\0';
	return buf;
}
