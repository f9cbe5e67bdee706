#include "settings.h"

#include "fescue/address.h"
#include "fescue/error.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#define MS_PER_S 1000
#define MILLIONTHS 1000000

struct settings_reader {
	const char *path; /* for error messages */
	const struct setting *table;
	size_t count; /* of entries in table */
	char *out;
	char *message; /* SETTINGS_ERROR_BYTES */
};

G_GNUC_PRINTF(2, 3)
static int fail(struct settings_reader *r, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_vsnprintf(r->message, SETTINGS_ERROR_BYTES, format, args);
	va_end(args);
	return FESCUE_EINVAL;
}

static int read_number(struct settings_reader *r, const struct setting *s,
		       const json_t *value)
{
	double real = json_number_value(value);
	json_int_t number = (json_int_t)real;

	/* Some JSON writers append .0 to whole numbers. */
	if (!json_is_number(value) || real != (double)number ||
	    number < s->min || number > s->max)
		return fail(r,
			    "%s: key '%s': expected a whole number from %u to "
			    "%u; correct the value",
			    r->path, s->key, s->min, s->max);
	*(uint32_t *)(void *)(r->out + s->offset) = (uint32_t)number;
	return FESCUE_OK;
}

static int read_real(struct settings_reader *r, const struct setting *s,
		     const json_t *value, double *real)
{
	*real = json_number_value(value);
	if (!json_is_number(value) || *real < s->min || *real > s->max)
		return fail(r,
			    "%s: key '%s': expected a number from %u to %u; "
			    "correct the value",
			    r->path, s->key, s->min, s->max);
	return FESCUE_OK;
}

/* Store the number times scale, without the remaining fraction. */
static int read_quantity(struct settings_reader *r, const struct setting *s,
			 const json_t *value, uint32_t scale)
{
	double real;
	int error = read_real(r, s, value, &real);

	if (!error)
		*(uint32_t *)(void *)(r->out + s->offset) =
			(uint32_t)(real * scale);
	return error;
}

static int read_text(struct settings_reader *r, const struct setting *s,
		     const json_t *value)
{
	const char *text = json_string_value(value);

	if (!text || !*text || strlen(text) >= SETTING_TEXT_BYTES)
		return fail(r,
			    "%s: key '%s': expected a string of 1 to %d bytes; "
			    "correct the value",
			    r->path, s->key, SETTING_TEXT_BYTES - 1);
	g_strlcpy(r->out + s->offset, text, SETTING_TEXT_BYTES);
	return FESCUE_OK;
}

static int read_address(struct settings_reader *r, const struct setting *s,
			const json_t *value)
{
	const char *text = json_string_value(value);
	struct address *out = (struct address *)(void *)(r->out + s->offset);

	if (!text || address_parse(text, out))
		return fail(r,
			    "%s: key '%s': expected \"IP:PORT\"; correct the "
			    "value",
			    r->path, s->key);
	return FESCUE_OK;
}

static int read_ip(struct settings_reader *r, const struct setting *s,
		   const json_t *value)
{
	const char *text = json_string_value(value);
	struct in_addr in;

	if (!text || inet_pton(AF_INET, text, &in) != 1)
		return fail(r,
			    "%s: key '%s': expected an IPv4 address in "
			    "quotes; correct the value",
			    r->path, s->key);
	*(uint32_t *)(void *)(r->out + s->offset) = ntohl(in.s_addr);
	return FESCUE_OK;
}

static int read_choice(struct settings_reader *r, const struct setting *s,
		       const json_t *value)
{
	const char *text = json_string_value(value);
	char *allowed;
	int error;

	for (int i = 0; text && s->choices[i]; i++) {
		if (strcmp(text, s->choices[i]))
			continue;
		*(int *)(void *)(r->out + s->offset) = i;
		return FESCUE_OK;
	}
	allowed = g_strjoinv(", ", (char **)(void *)s->choices);
	error = fail(r, "%s: key '%s': expected one of %s; correct the value",
		     r->path, s->key, allowed);
	g_free(allowed);
	return error;
}

static int read_value(struct settings_reader *r, const struct setting *s,
		      const json_t *value)
{
	switch (s->type) {
	case SETTING_NUMBER:
		return read_number(r, s, value);
	case SETTING_QUANTITY:
		return read_quantity(r, s, value, 1);
	case SETTING_REAL:
		return read_real(r, s, value,
				 (double *)(void *)(r->out + s->offset));
	case SETTING_SECONDS:
		return read_quantity(r, s, value, MS_PER_S);
	case SETTING_FRACTION:
		return read_quantity(r, s, value, MILLIONTHS);
	case SETTING_TEXT:
		return read_text(r, s, value);
	case SETTING_ADDRESS:
		return read_address(r, s, value);
	case SETTING_IP:
		return read_ip(r, s, value);
	case SETTING_CHOICE:
		return read_choice(r, s, value);
	}
	return FESCUE_EINVAL;
}

static const struct setting *find_setting(const struct settings_reader *r,
					  const char *key)
{
	for (size_t i = 0; i < r->count; i++)
		if (!strcmp(r->table[i].key, key))
			return &r->table[i];
	return NULL;
}

static int report_unknown_key(struct settings_reader *r, const char *key)
{
	GString *known = g_string_new(NULL);
	int error;

	for (size_t i = 0; i < r->count; i++)
		g_string_append_printf(known, "%s%s", i ? ", " : "",
				       r->table[i].key);
	error = fail(r,
		     "%s: key '%.60s' is unknown; remove it or use one of %s",
		     r->path, key, known->str);
	g_string_free(known, TRUE);
	return error;
}

static int read_object(struct settings_reader *r, json_t *object)
{
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return fail(r,
			    "%s: expected a JSON object; write {\"key\": "
			    "value, ...}",
			    r->path);
	json_object_foreach(object, key, value)
	{
		const struct setting *s = find_setting(r, key);
		int error = s ? read_value(r, s, value) :
				report_unknown_key(r, key);

		if (error)
			return error;
	}
	for (size_t i = 0; i < r->count; i++)
		if (r->table[i].required &&
		    !json_object_get(object, r->table[i].key))
			return fail(r, "%s: key '%s' is missing; add it",
				    r->path, r->table[i].key);
	return FESCUE_OK;
}

int settings_parse(const char *path, const char *text, size_t size,
		   const struct setting *table, size_t count, void *out,
		   char message[SETTINGS_ERROR_BYTES])
{
	struct settings_reader r = { path, table, count, out, message };
	json_error_t where;
	json_t *object = json_loadb(text, size, JSON_REJECT_DUPLICATES, &where);
	int error;

	if (!object)
		return fail(&r, "%s:%d:%d: %s; correct the JSON", path,
			    where.line, where.column, where.text);
	error = read_object(&r, object);
	json_decref(object);
	return error;
}

int settings_read(const char *path, const struct setting *table, size_t count,
		  void *out, char message[SETTINGS_ERROR_BYTES])
{
	GError *failure = NULL;
	char *text;
	gsize size;
	int error;

	if (!g_file_get_contents(path, &text, &size, &failure)) {
		g_snprintf(message, SETTINGS_ERROR_BYTES,
			   "%s; check the path and permissions",
			   failure->message);
		g_error_free(failure);
		return FESCUE_EIO;
	}
	error = settings_parse(path, text, size, table, count, out, message);
	g_free(text);
	return error;
}
