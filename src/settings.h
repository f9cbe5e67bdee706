/*
 * Reads and validates settings: a JSON object whose keys, types and ranges are
 * described by a table is stored in a struct.
 */
#ifndef FESCUE_SETTINGS_H
#define FESCUE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

enum setting_type {
	SETTING_NUMBER, /* uint32_t */
	SETTING_QUANTITY, /* uint32_t; a fraction is truncated */
	SETTING_REAL, /* double */
	SETTING_SECONDS, /* seconds, may have a fraction; uint32_t in ms */
	SETTING_FRACTION, /* share of one; uint32_t in millionths */
	SETTING_TEXT, /* char[SETTING_TEXT_BYTES] */
	SETTING_ADDRESS, /* "IP:PORT"; struct address */
	SETTING_IP, /* IPv4 address; uint32_t in host byte order */
	SETTING_CHOICE, /* int, index into choices */
};

#define SETTING_TEXT_BYTES 64 /* including the NUL */
#define SETTINGS_ERROR_BYTES 512

struct setting {
	const char *key;
	enum setting_type type;
	size_t offset; /* of the field in the struct */
	int required;
	uint32_t min; /* of numbers, in the unit of the file */
	uint32_t max;
	const char *const *choices; /* NULL-terminated */
};

/*
 * Read a settings file into the struct at out, which must hold the defaults.
 * Returns 0; FESCUE_EIO if the file cannot be read; or FESCUE_EINVAL. On errors
 * out may be partly filled in, and message says where the problem is, what was
 * expected and how to correct it.
 */
int settings_read(const char *path, const struct setting *table, size_t count,
		  void *out, char message[SETTINGS_ERROR_BYTES]);

/* The same for text in memory; path is used only in messages. */
int settings_parse(const char *path, const char *text, size_t size,
		   const struct setting *table, size_t count, void *out,
		   char message[SETTINGS_ERROR_BYTES]);

#endif
