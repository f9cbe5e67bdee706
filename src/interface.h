/*
 * The interface of a node to callers, backend servers and the store: header
 * names and the format of the stored configuration. There are two, the
 * project's own and the platform's.
 */
#ifndef FESCUE_INTERFACE_H
#define FESCUE_INTERFACE_H

#include <stddef.h>
#include <stdint.h>

enum interface_type { INTERFACE_FESCUE, INTERFACE_PLATFORM };

/* Headers that the node reads or sets, in lower case; NULL: not used. */
struct header_names {
	const char *request_id; /* of a call; backend servers echo it */
	const char *deadline; /* milliseconds that the caller waits */
	const char *signature; /* on every answer that a backend server made */
	const char *backend_id; /* of the backend server, to health checks */
	const char *target; /* id of the backend server the call is sent to */
	const char *not_executed; /* if a backend server did not run the call */
	const char *caller_service; /* service of the host the call began on */
	const char *key; /* scheme and key of the caller's account */
	const char *key_scheme; /* word before the key, and a blank */
	const char *account; /* name of the account, to backend servers */
	const char *outcome; /* ran, not-run or unknown, to callers */
	const char *version; /* version of the configuration, to callers */
	const char *depth; /* number of calls that a call is nested in */
};

#define CONFIG_REASON_BYTES 160 /* including the terminating null byte */

/* A stored configuration, decoded. */
struct config_value {
	uint64_t version;
	char *text; /* the rules file; NULL when the value is malformed */
	size_t size;
	char reason[CONFIG_REASON_BYTES]; /* why text is NULL */
};

/* Returns a static table. */
const struct header_names *interface_headers(enum interface_type type);

/* Key of the configuration in the store. */
const char *interface_config_key(enum interface_type type);

/*
 * Decode a stored value, which may be NULL, of the given store revision. The
 * revision is the version in the project's own format; the platform's format
 * contains the version, which becomes 0 if it cannot be read. Release the
 * result with config_value_clear().
 */
void interface_decode_config(enum interface_type type, uint64_t revision,
			     const char *value, size_t size,
			     struct config_value *out);
void config_value_clear(struct config_value *value);

#endif
