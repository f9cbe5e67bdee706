#include "claim_record.h"

#include "fescue/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static void entry_clear(gpointer p)
{
	struct claim_entry *entry = p;

	g_free(entry->key);
}

GArray *claim_entries_create(void)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct claim_entry));

	g_array_set_clear_func(entries, entry_clear);
	return entries;
}

GString *claim_record_encode(const struct claim_header *header,
			     const GArray *entries)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "w %" PRIx64 " %" PRIx64 " %" PRIu64 "\n",
			header->writer, header->nonce, header->wall_ms);
	for (guint i = 0; i < entries->len; i++) {
		const struct claim_entry *entry =
			&g_array_index(entries, struct claim_entry, i);

		g_string_append_printf(out, "k %" PRIx64 " %" PRIx64 " %s\n",
				       entry->claimant, entry->nonce,
				       entry->key);
	}
	return out;
}

static void decode_line(const char *line, GArray *entries)
{
	struct claim_entry entry = { 0 };
	int at = 0;

	if (sscanf(line, "k %" SCNx64 " %" SCNx64 " %n", &entry.claimant,
		   &entry.nonce, &at) != 2 ||
	    !at || !line[at])
		return;
	entry.key = g_strdup(line + at);
	g_array_append_val(entries, entry);
}

int claim_record_decode(const char *value, size_t size,
			struct claim_header *header, GArray *entries)
{
	char *text = g_strndup(value, size);
	char **lines = g_strsplit(text, "\n", 0);
	int good = lines[0] &&
		   sscanf(lines[0], "w %" SCNx64 " %" SCNx64 " %" SCNu64,
			  &header->writer, &header->nonce,
			  &header->wall_ms) == 3;

	for (char **line = lines; good && *line; line++)
		decode_line(*line, entries);
	g_strfreev(lines);
	g_free(text);
	return good ? FESCUE_OK : FESCUE_EINVAL;
}
