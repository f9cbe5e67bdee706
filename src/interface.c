#include "interface.h"

#include "fescue/envelope.h"
#include "platform/platform.h"

#include <glib.h>
#include <string.h>

#define CONFIG_KEY "fescue/config"

static const struct header_names fescue_headers = {
	.request_id = "x-request-id",
	.deadline = "x-fescue-deadline-ms",
	.not_executed = NULL,
	.outcome = "x-fescue-outcome",
	.key = "authorization",
	.key_scheme = "token ",
	.account = "x-fescue-account",
	.version = "x-fescue-version",
	.depth = "x-fescue-depth",
};

const struct header_names *interface_headers(enum interface_type type)
{
	switch (type) {
	case INTERFACE_FESCUE:
		return &fescue_headers;
	case INTERFACE_PLATFORM:
		return &platform_headers;
	}
	return NULL;
}

const char *interface_config_key(enum interface_type type)
{
	switch (type) {
	case INTERFACE_FESCUE:
		return CONFIG_KEY;
	case INTERFACE_PLATFORM:
		return platform_config_key;
	}
	return NULL;
}

static void decode_envelope(uint64_t revision, const char *value, size_t size,
			    struct config_value *out)
{
	struct envelope envelope;

	out->version = revision;
	if (!value || envelope_parse(value, size, &envelope)) {
		g_strlcpy(out->reason,
			  "the stored value has no valid fescue header",
			  sizeof(out->reason));
		return;
	}
	out->text = g_strndup(envelope.text, envelope.text_size);
	out->size = envelope.text_size;
}

void interface_decode_config(enum interface_type type, uint64_t revision,
			     const char *value, size_t size,
			     struct config_value *out)
{
	memset(out, 0, sizeof(*out));
	switch (type) {
	case INTERFACE_FESCUE:
		decode_envelope(revision, value, size, out);
		break;
	case INTERFACE_PLATFORM:
		platform_decode_config(value, size, out);
		break;
	}
}

void config_value_clear(struct config_value *value)
{
	g_free(value->text);
	value->text = NULL;
}
