#include "fescue/header_codec.h"

#include "fescue/error.h"

#include <glib.h>
#include <string.h>

#define SEEN_ENTRIES_MAX 4096 /* the set is cleared when it is full */

struct header_encoder {
	GHashTable *numbers; /* "name" or "name\nvalue" -> number */
	GHashTable *sent_once; /* set of the same keys, not numbered yet */
	uint32_t next_number;
};

struct dictionary_entry {
	char *name;
	char *value; /* NULL: a name alone */
};

struct header_decoder {
	GPtrArray *
		entries; /* struct dictionary_entry; index i has number i + 1 */
};

struct header_encoder *header_encoder_create(void)
{
	struct header_encoder *e = g_new0(struct header_encoder, 1);

	e->numbers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->sent_once =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->next_number = 1;
	return e;
}

void header_encoder_destroy(struct header_encoder *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->numbers);
	g_hash_table_destroy(e->sent_once);
	g_free(e);
}

/*
 * Number of a key, or 0 if it has none. *is_new is 1 if it is assigned by this
 * call, so that name and value must be sent along with it.
 */
static uint32_t lookup_or_assign(struct header_encoder *e, const char *key,
				 int *is_new)
{
	uint32_t number =
		GPOINTER_TO_UINT(g_hash_table_lookup(e->numbers, key));

	*is_new = 0;
	if (number || e->next_number > HEADER_CODEC_ENTRIES_MAX)
		return number;
	if (!g_hash_table_remove(e->sent_once, key)) {
		if (g_hash_table_size(e->sent_once) >= SEEN_ENTRIES_MAX)
			g_hash_table_remove_all(e->sent_once);
		g_hash_table_add(e->sent_once, g_strdup(key));
		return 0;
	}
	*is_new = 1;
	g_hash_table_insert(e->numbers, g_strdup(key),
			    GUINT_TO_POINTER(e->next_number));
	return e->next_number++;
}

/* protobuf-c points empty strings at a constant, which must not be freed. */
static void free_text(char *text)
{
	if (text != protobuf_c_empty_string)
		g_free(text);
}

static void clear_text(char **text)
{
	free_text(*text);
	*text = (char *)protobuf_c_empty_string;
}

static int encode_pair(struct header_encoder *e, Fescue__Header *h)
{
	char *key;
	int is_new;

	if (strlen(h->value) > HEADER_CODEC_VALUE_BYTES_MAX)
		return 0;
	key = g_strdup_printf("%s\n%s", h->name, h->value);
	h->pair_number = lookup_or_assign(e, key, &is_new);
	g_free(key);
	if (!h->pair_number || is_new)
		return 0;
	clear_text(&h->name);
	clear_text(&h->value);
	return 1;
}

static void encode_name(struct header_encoder *e, Fescue__Header *h)
{
	int is_new;

	h->name_number = lookup_or_assign(e, h->name, &is_new);
	if (h->name_number && !is_new)
		clear_text(&h->name);
}

void header_encode(struct header_encoder *e, Fescue__Header **headers,
		   size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!encode_pair(e, headers[i]))
			encode_name(e, headers[i]);
}

static void dictionary_entry_free(gpointer p)
{
	struct dictionary_entry *entry = p;

	g_free(entry->name);
	g_free(entry->value);
	g_free(entry);
}

struct header_decoder *header_decoder_create(void)
{
	struct header_decoder *d = g_new0(struct header_decoder, 1);

	d->entries = g_ptr_array_new_with_free_func(dictionary_entry_free);
	return d;
}

void header_decoder_destroy(struct header_decoder *d)
{
	if (!d)
		return;
	g_ptr_array_free(d->entries, TRUE);
	g_free(d);
}

static void set_text(char **text, const char *value)
{
	free_text(*text);
	*text = g_strdup(value);
}

/* Add the next entry; numbers are assigned consecutively. */
static int add_entry(struct header_decoder *d, uint32_t number,
		     const char *name, const char *value)
{
	struct dictionary_entry *entry;

	if (number != d->entries->len + 1 || number > HEADER_CODEC_ENTRIES_MAX)
		return FESCUE_EINVAL;
	entry = g_new0(struct dictionary_entry, 1);
	entry->name = g_strdup(name);
	entry->value = g_strdup(value);
	g_ptr_array_add(d->entries, entry);
	return FESCUE_OK;
}

static const struct dictionary_entry *find_entry(const struct header_decoder *d,
						 uint32_t number)
{
	return number <= d->entries->len ?
		       g_ptr_array_index(d->entries, number - 1) :
		       NULL;
}

static int decode_name(struct header_decoder *d, Fescue__Header *h)
{
	const struct dictionary_entry *entry;

	if (!h->name_number)
		return FESCUE_OK;
	if (*h->name)
		return add_entry(d, h->name_number, h->name, NULL);
	entry = find_entry(d, h->name_number);
	if (!entry)
		return FESCUE_EINVAL;
	set_text(&h->name, entry->name);
	return FESCUE_OK;
}

static int decode_pair(struct header_decoder *d, Fescue__Header *h)
{
	const struct dictionary_entry *entry = find_entry(d, h->pair_number);

	if (!entry || !entry->value)
		return FESCUE_EINVAL;
	set_text(&h->name, entry->name);
	set_text(&h->value, entry->value);
	return FESCUE_OK;
}

static int decode(struct header_decoder *d, Fescue__Header *h)
{
	int named = *h->name || h->name_number;
	int pair_error = FESCUE_OK;

	if (!h->pair_number)
		return named ? decode_name(d, h) : FESCUE_EINVAL;
	if (!named)
		return decode_pair(d, h);
	/* The encoder numbers a pair before the name in it. */
	if (*h->name)
		pair_error = add_entry(d, h->pair_number, h->name, h->value);
	else if (find_entry(d, h->name_number))
		pair_error = add_entry(d, h->pair_number,
				       find_entry(d, h->name_number)->name,
				       h->value);
	else
		return FESCUE_EINVAL;
	return pair_error ? pair_error : decode_name(d, h);
}

int header_decode(struct header_decoder *d, Fescue__Header **headers,
		  size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (decode(d, headers[i]))
			return FESCUE_EINVAL;
	return FESCUE_OK;
}
