#include "fescue/delta.h"

#include "fescue/error.h"

#include <glib.h>
#include <string.h>

struct delta delta_compute(const char *base, size_t base_size, const char *text,
			   size_t size)
{
	struct delta delta = { 0 };
	size_t shorter = MIN(base_size, size);
	size_t prefix = 0, suffix = 0;

	while (prefix < shorter && base[prefix] == text[prefix])
		prefix++;
	while (suffix < shorter - prefix &&
	       base[base_size - 1 - suffix] == text[size - 1 - suffix])
		suffix++;
	delta.prefix_bytes = (uint32_t)prefix;
	delta.suffix_bytes = (uint32_t)suffix;
	delta.middle = text + prefix;
	delta.middle_bytes = size - prefix - suffix;
	return delta;
}

int delta_apply(const char *base, size_t base_size, const struct delta *delta,
		char **out, size_t *size)
{
	size_t base_bytes = (size_t)delta->prefix_bytes + delta->suffix_bytes;
	char *text;

	if (base_bytes > base_size)
		return FESCUE_EMISMATCH;
	*size = base_bytes + delta->middle_bytes;
	text = g_malloc(*size + 1);
	memcpy(text, base, delta->prefix_bytes);
	if (delta->middle_bytes)
		memcpy(text + delta->prefix_bytes, delta->middle,
		       delta->middle_bytes);
	memcpy(text + delta->prefix_bytes + delta->middle_bytes,
	       base + base_size - delta->suffix_bytes, delta->suffix_bytes);
	text[*size] = '\0';
	*out = text;
	return FESCUE_OK;
}
