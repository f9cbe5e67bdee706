#include "version_text.h"

#include "fescue/delta.h"
#include "fescue/error.h"
#include "fescue/snapshot.h"
#include "packet.h"

#include <assert.h>
#include <string.h>
#include <zlib.h>

#define DEFLATE_MIN_BYTES 300 /* shorter bodies hardly shrink */
#define DELTA_MAX_PERCENT 50 /* of the text; larger deltas are not used */

struct version_text version_text_copy(uint64_t version, const char *bytes,
				      size_t size)
{
	struct version_text text = { version, config_hash(bytes, size),
				     g_malloc(size + 1), size };

	memcpy(text.bytes, bytes, size);
	text.bytes[size] = '\0';
	return text;
}

void version_text_clear(struct version_text *text)
{
	g_free(text->bytes);
	memset(text, 0, sizeof(*text));
}

void version_history_push(struct version_history *history,
			  struct version_text *text)
{
	struct version_text *texts = history->texts;

	assert(text->version > texts[0].version);
	version_text_clear(&texts[VERSION_HISTORY_TEXTS - 1]);
	memmove(&texts[1], &texts[0],
		(VERSION_HISTORY_TEXTS - 1) * sizeof(*texts));
	texts[0] = *text;
	memset(text, 0, sizeof(*text));
}

void version_history_clear(struct version_history *history)
{
	for (size_t i = 0; i < VERSION_HISTORY_TEXTS; i++)
		version_text_clear(&history->texts[i]);
}

const struct version_text *
version_history_find(const struct version_history *history, uint64_t version,
		     uint64_t hash)
{
	for (size_t i = 0; version && i < VERSION_HISTORY_TEXTS; i++)
		if (history->texts[i].version == version &&
		    history->texts[i].hash == hash)
			return &history->texts[i];
	return NULL;
}

static void set_body(Fescue__ConfigPush *push, const char *bytes, size_t size)
{
	uLongf length = compressBound(size);
	Bytef *deflated = g_malloc(length);

	if (size >= DEFLATE_MIN_BYTES &&
	    compress2(deflated, &length, (const Bytef *)bytes, size,
		      Z_BEST_SPEED) == Z_OK &&
	    length < size) {
		push->unpacked_bytes = (uint32_t)size;
		packet_set_bytes(&push->body, deflated, length);
	} else {
		packet_set_bytes(&push->body, bytes, size);
	}
	g_free(deflated);
}

void version_text_encode(const struct version_text *text,
			 const struct version_text *base,
			 Fescue__ConfigPush *push)
{
	struct delta delta;

	if (base) {
		delta = delta_compute(base->bytes, base->size, text->bytes,
				      text->size);
		if (delta.middle_bytes < text->size * DELTA_MAX_PERCENT / 100) {
			push->base_version = base->version;
			push->base_hash = base->hash;
			push->prefix_bytes = delta.prefix_bytes;
			push->suffix_bytes = delta.suffix_bytes;
			set_body(push, delta.middle, delta.middle_bytes);
			return;
		}
	}
	set_body(push, text->bytes, text->size);
}

/*
 * The inflated body of a push; release with g_free(). NULL if it is empty or
 * malformed.
 */
static char *inflate_body(const Fescue__ConfigPush *push, size_t *size)
{
	uLongf length = push->unpacked_bytes;
	char *bytes;

	*size = push->body.len;
	if (!push->unpacked_bytes)
		return g_memdup2(push->body.data, push->body.len);
	if (length > RULES_MAX_BYTES)
		return NULL;
	bytes = g_malloc(length);
	if (uncompress((Bytef *)bytes, &length, push->body.data,
		       push->body.len) != Z_OK ||
	    length != push->unpacked_bytes) {
		g_free(bytes);
		return NULL;
	}
	*size = length;
	return bytes;
}

static int apply_delta(const struct version_history *history,
		       const Fescue__ConfigPush *push, const char *body,
		       size_t size, struct version_text *out)
{
	const struct version_text *base = version_history_find(
		history, push->base_version, push->base_hash);
	struct delta delta = { push->prefix_bytes, push->suffix_bytes, body,
			       size };

	if (!base || delta_apply(base->bytes, base->size, &delta, &out->bytes,
				 &out->size))
		return FESCUE_EMISMATCH;
	out->version = push->version;
	out->hash = config_hash(out->bytes, out->size);
	return FESCUE_OK;
}

int version_text_decode(const struct version_history *history,
			const Fescue__ConfigPush *push,
			struct version_text *out)
{
	size_t size;
	char *body = inflate_body(push, &size);
	int error = FESCUE_OK;

	if (!push->base_version && body)
		*out = version_text_copy(push->version, body, size);
	else if (push->body.len && !body)
		error = FESCUE_EMISMATCH;
	else
		error = apply_delta(history, push, body, size, out);
	g_free(body);
	if (error)
		return FESCUE_EMISMATCH;
	if (out->hash == push->hash)
		return FESCUE_OK;
	version_text_clear(out);
	return FESCUE_EMISMATCH;
}
