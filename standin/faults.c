#include "faults.h"

json_t *faults_parse(struct http_exchange *exchange, const char *usage)
{
	struct http_text body = http_exchange_body(exchange);
	json_t *faults = json_loadb(body.bytes, body.size, 0, NULL);

	if (!faults)
		http_exchange_reply_text(exchange, 400, "text/plain", usage);
	return faults;
}

void faults_set_number(const json_t *faults, const char *key, uint32_t *out)
{
	json_t *value = json_object_get(faults, key);

	if (json_is_integer(value) && json_integer_value(value) >= 0)
		*out = (uint32_t)json_integer_value(value);
}

void faults_finish(struct http_exchange *exchange, json_t *faults)
{
	json_decref(faults);
	http_exchange_reply_text(exchange, 200, "text/plain", "set\n");
}
