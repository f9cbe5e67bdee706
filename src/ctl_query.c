#include "ctl_query.h"

#include "http_client.h"
#include "program.h"

#include <stdio.h>

#define REQUEST_TIMEOUT_MS 2000

static void on_response(void *data, const struct http_result *result)
{
	struct ctl_response *response = data;

	if (!result->error) {
		response->status = result->status;
		response->json =
			json_loadb(result->body, result->body_size, 0, NULL);
		response->text = g_strndup(result->body, result->body_size);
	}
	uv_stop(response->loop);
}

struct ctl_response ctl_get_with(uv_loop_t *loop, struct address address,
				 const char *path,
				 const struct http_header *header)
{
	struct ctl_response response = { .loop = loop };
	struct http_pool *pool = http_pool_create(loop, address, 1);
	struct http_request request = { .method = "GET",
					.path = path,
					.headers = header,
					.header_count = header ? 1 : 0,
					.timeout_ms = REQUEST_TIMEOUT_MS };

	http_pool_send(pool, &request, on_response, &response);
	uv_run(loop, UV_RUN_DEFAULT);
	return response;
}

struct ctl_response ctl_get(uv_loop_t *loop, struct address address,
			    const char *path)
{
	return ctl_get_with(loop, address, path, NULL);
}

void ctl_response_clear(struct ctl_response *response)
{
	json_decref(response->json);
	g_free(response->text);
}

const char *ctl_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

int64_t ctl_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

int ctl_report_no_answer(struct address node)
{
	char text[ADDRESS_TEXT_BYTES];

	fprintf(stderr,
		"fescuectl: no answer from %s; check that it is a node's "
		"operator port\n",
		address_format(node, text));
	return EXIT_ERROR;
}
