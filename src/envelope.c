#include "fescue/envelope.h"

#include "fescue/error.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define ENVELOPE_MAGIC "fescue 1"
#define CHANGE_ID_HEX_DIGITS 16
#define HEADER_RESERVE_BYTES 1200 /* holds the longest header line */

static int parse_change_id(const char *text, size_t len, uint64_t *out)
{
	char digits[CHANGE_ID_HEX_DIGITS + 1];
	char *end;

	if (len != CHANGE_ID_HEX_DIGITS)
		return FESCUE_EINVAL;
	memcpy(digits, text, len);
	digits[len] = '\0';
	*out = g_ascii_strtoull(digits, &end, 16);
	return end == digits + len ? FESCUE_OK : FESCUE_EINVAL;
}

int envelope_parse(const char *value, size_t size, struct envelope *out)
{
	const char *newline = memchr(value, '\n', size);
	const size_t magic = strlen(ENVELOPE_MAGIC);
	const char *p;
	size_t ids = 0;

	memset(out, 0, sizeof(*out));
	if (!newline || (size_t)(newline - value) < magic ||
	    memcmp(value, ENVELOPE_MAGIC, magic))
		return FESCUE_EINVAL;
	for (p = value + magic; p < newline; p += 1 + CHANGE_ID_HEX_DIGITS) {
		uint64_t *id = ids ? &out->ancestors[ids - 1] : &out->change_id;

		if (*p != ' ' || ids > ENVELOPE_ANCESTORS_MAX ||
		    newline - p < 1 + CHANGE_ID_HEX_DIGITS ||
		    parse_change_id(p + 1, CHANGE_ID_HEX_DIGITS, id))
			return FESCUE_EINVAL;
		ids++;
	}
	if (!ids)
		return FESCUE_EINVAL;
	out->ancestor_count = ids - 1;
	out->text = newline + 1;
	out->text_size = size - (size_t)(newline + 1 - value);
	return FESCUE_OK;
}

char *envelope_build(uint64_t change_id, const struct envelope *base,
		     const char *text, size_t text_size, size_t *size)
{
	GString *out = g_string_sized_new(text_size + HEADER_RESERVE_BYTES);
	size_t kept; /* ancestors of base that still fit */

	g_string_printf(out, ENVELOPE_MAGIC " %016" PRIx64, change_id);
	if (base) {
		g_string_append_printf(out, " %016" PRIx64, base->change_id);
		kept = MIN(base->ancestor_count, ENVELOPE_ANCESTORS_MAX - 1);
		for (size_t i = 0; i < kept; i++)
			g_string_append_printf(out, " %016" PRIx64,
					       base->ancestors[i]);
	}
	g_string_append_c(out, '\n');
	g_string_append_len(out, text, (gssize)text_size);
	*size = out->len;
	return g_string_free(out, FALSE);
}

enum envelope_change_status envelope_find_change(const struct envelope *stored,
						 uint64_t change_id)
{
	if (stored->change_id == change_id)
		return ENVELOPE_CHANGE_CURRENT;
	for (size_t i = 0; i < stored->ancestor_count; i++)
		if (stored->ancestors[i] == change_id)
			return ENVELOPE_CHANGE_SUPERSEDED;
	return ENVELOPE_CHANGE_NOT_FOUND;
}
