/*
 * Checked settings: a JSON object read into a struct by a table of fields.
 */
#ifndef FESCUE_SETTINGS_H
#define FESCUE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

enum setting_type {
	SETTING_NUMBER, /* uint32_t */
	SETTING_QUANTITY, /* uint32_t; a fraction is dropped */
	SETTING_SECONDS, /* uint32_t, in ms; fractions are allowed */
	SETTING_TEXT, /* char[SETTING_TEXT_BYTES] */
	SETTING_ADDRESS, /* struct address, "IP:PORT" */
	SETTING_IP, /* uint32_t in host byte order */
	SETTING_CHOICE, /* int, index into choices */
};

#define SETTING_TEXT_BYTES 64
#define SETTINGS_ERROR_BYTES 512

struct setting {
	const char *key;
	enum setting_type type;
	size_t offset;
	int required;
	uint32_t min;
	uint32_t max;
	const char *const *choices; /* ends in NULL */
};

/*
 * Read the file into out, which holds the defaults. Returns 0, or an error
 * with a message that names file, line or key, what was expected and the
 * remedy.
 */
int settings_read(const char *path, const struct setting *table, size_t count,
		  void *out, char message[SETTINGS_ERROR_BYTES]);

/* The same for a text in memory; path only appears in messages. */
int settings_parse(const char *path, const char *text, size_t size,
		   const struct setting *table, size_t count, void *out,
		   char message[SETTINGS_ERROR_BYTES]);

#endif
