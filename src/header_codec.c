#include "fescue/header_codec.h"

#include "fescue/error.h"

#include <glib.h>
#include <string.h>

#define SEEN_MAX 4096 /* texts sent once, before they are forgotten */

struct header_encoder {
	GHashTable *numbers; /* "name" or "name\nvalue" -> number */
	GHashTable *seen; /* the same, sent once so far */
	uint32_t next;
};

struct known {
	char *name;
	char *value; /* NULL: a name alone */
};

struct header_decoder {
	GPtrArray *entries; /* struct known; entry i has the number i + 1 */
};

struct header_encoder *header_encoder_create(void)
{
	struct header_encoder *e = g_new0(struct header_encoder, 1);

	e->numbers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->next = 1;
	return e;
}

void header_encoder_destroy(struct header_encoder *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->numbers);
	g_hash_table_destroy(e->seen);
	g_free(e);
}

/* Number of a text; *define: the other end does not know it yet. 0: none. */
static uint32_t number_of(struct header_encoder *e, const char *text,
			  int *define)
{
	uint32_t number =
		GPOINTER_TO_UINT(g_hash_table_lookup(e->numbers, text));

	*define = 0;
	if (number || e->next > HEADER_CODEC_ENTRIES_MAX)
		return number;
	if (!g_hash_table_remove(e->seen, text)) {
		if (g_hash_table_size(e->seen) >= SEEN_MAX)
			g_hash_table_remove_all(e->seen);
		g_hash_table_add(e->seen, g_strdup(text));
		return 0;
	}
	*define = 1;
	g_hash_table_insert(e->numbers, g_strdup(text),
			    GUINT_TO_POINTER(e->next));
	return e->next++;
}

/* An empty text of an unpacked message is not on the heap. */
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
	char *text;
	int define;

	if (strlen(h->value) > HEADER_CODEC_VALUE_BYTES_MAX)
		return 0;
	text = g_strdup_printf("%s\n%s", h->name, h->value);
	h->pair_number = number_of(e, text, &define);
	g_free(text);
	if (!h->pair_number || define)
		return 0;
	clear_text(&h->name);
	clear_text(&h->value);
	return 1;
}

static void encode_name(struct header_encoder *e, Fescue__Header *h)
{
	int define;

	h->name_number = number_of(e, h->name, &define);
	if (h->name_number && !define)
		clear_text(&h->name);
}

void header_encode(struct header_encoder *e, Fescue__Header **headers,
		   size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!encode_pair(e, headers[i]))
			encode_name(e, headers[i]);
}

static void known_free(gpointer p)
{
	struct known *known = p;

	g_free(known->name);
	g_free(known->value);
	g_free(known);
}

struct header_decoder *header_decoder_create(void)
{
	struct header_decoder *d = g_new0(struct header_decoder, 1);

	d->entries = g_ptr_array_new_with_free_func(known_free);
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

/* Keep an entry that the header defines; numbers are given out in order. */
static int define(struct header_decoder *d, uint32_t number, const char *name,
		  const char *value)
{
	struct known *known;

	if (number != d->entries->len + 1 || number > HEADER_CODEC_ENTRIES_MAX)
		return FESCUE_EINVAL;
	known = g_new0(struct known, 1);
	known->name = g_strdup(name);
	known->value = g_strdup(value);
	g_ptr_array_add(d->entries, known);
	return FESCUE_OK;
}

static const struct known *find(const struct header_decoder *d, uint32_t number)
{
	return number <= d->entries->len ?
		       g_ptr_array_index(d->entries, number - 1) :
		       NULL;
}

static int decode_name(struct header_decoder *d, Fescue__Header *h)
{
	const struct known *known;

	if (!h->name_number)
		return FESCUE_OK;
	if (*h->name)
		return define(d, h->name_number, h->name, NULL);
	known = find(d, h->name_number);
	if (!known)
		return FESCUE_EINVAL;
	set_text(&h->name, known->name);
	return FESCUE_OK;
}

static int decode_pair(struct header_decoder *d, Fescue__Header *h)
{
	const struct known *known = find(d, h->pair_number);

	if (!known || !known->value)
		return FESCUE_EINVAL;
	set_text(&h->name, known->name);
	set_text(&h->value, known->value);
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
	/* A pair is given its number before the name in it is given one. */
	if (*h->name)
		pair_error = define(d, h->pair_number, h->name, h->value);
	else if (find(d, h->name_number))
		pair_error = define(d, h->pair_number,
				    find(d, h->name_number)->name, h->value);
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
