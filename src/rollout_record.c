#include "rollout_record.h"

#include "fescue/error.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

char *rollout_record_format(const struct rollout_record *record)
{
	json_t *object = json_pack(
		"{s:s, s:s, s:s, s:I, s:I, s:I, s:s, s:I, s:I}", "service",
		record->service, "target", record->target, "rejected",
		record->rejected, "orderId", (json_int_t)record->order_id,
		"term", (json_int_t)record->term, "leader",
		(json_int_t)record->leader, "phase",
		rollout_phase_name((enum rollout_phase)record->phase),
		"periodMs", (json_int_t)record->period_ms, "elapsedMs",
		(json_int_t)record->elapsed_ms);
	char *dumped = object ? json_dumps(object, JSON_COMPACT) : NULL;
	char *text = g_strdup(dumped ? dumped : "{}");

	free(dumped);
	json_decref(object);
	return text;
}

/* Reads a required integer from 0 to max. */
static int read_number(const json_t *object, const char *name, json_int_t max,
		       uint64_t *out)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > max)
		return FESCUE_EINVAL;
	*out = (uint64_t)json_integer_value(value);
	return FESCUE_OK;
}

static int read_uint32(const json_t *object, const char *name, uint32_t *out)
{
	uint64_t number = 0;
	int error = read_number(object, name, UINT32_MAX, &number);

	*out = (uint32_t)number;
	return error;
}

static int read_text(const json_t *object, const char *name, char *out,
		     size_t size)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text && g_strlcpy(out, text, size) < size ? FESCUE_OK :
							   FESCUE_EINVAL;
}

static int read_phase(const json_t *object, uint32_t *out)
{
	const char *name = json_string_value(json_object_get(object, "phase"));

	for (uint32_t phase = 0; name && phase <= ROLLOUT_ROLLED_BACK;
	     phase++) {
		if (strcmp(name, rollout_phase_name((enum rollout_phase)phase)))
			continue;
		*out = phase;
		return FESCUE_OK;
	}
	return FESCUE_EINVAL;
}

static int read_record(const json_t *object, struct rollout_record *out)
{
	if (read_text(object, "service", out->service, sizeof(out->service)) ||
	    read_text(object, "target", out->target, sizeof(out->target)) ||
	    read_text(object, "rejected", out->rejected,
		      sizeof(out->rejected)) ||
	    read_number(object, "orderId", INT64_MAX, &out->order_id) ||
	    read_number(object, "term", INT64_MAX, &out->term) ||
	    read_number(object, "leader", INT64_MAX, &out->leader) ||
	    read_phase(object, &out->phase) ||
	    read_uint32(object, "periodMs", &out->period_ms) ||
	    read_uint32(object, "elapsedMs", &out->elapsed_ms) ||
	    !*out->service || !*out->target)
		return FESCUE_EINVAL;
	return FESCUE_OK;
}

int rollout_record_parse(const char *bytes, size_t size,
			 struct rollout_record *out)
{
	json_t *object =
		json_loadb(bytes ? bytes : "", bytes ? size : 0, 0, NULL);
	int error;

	memset(out, 0, sizeof(*out));
	error = json_is_object(object) ? read_record(object, out) :
					 FESCUE_EINVAL;
	json_decref(object);
	return error;
}
