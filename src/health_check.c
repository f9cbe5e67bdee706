#include "health_check.h"

#include "http_client.h"
#include "log.h"

#include <string.h>

/* Its answer may wait for a slot; repeated heartbeats arrive sooner than this. */
#define CHECK_TIMEOUT_MS 1000

struct health_check {
	const struct node_context *context;
	void (*healthy)(void *data, uint64_t fingerprint);
	void *data;
	struct http_pool *pool; /* of the pending call */
	struct http_call *call;
	uint64_t asked; /* fingerprint of the incarnation asked last; 0: none */
	char id[HOST_NAME_BYTES]; /* of that one */
};

struct health_check *health_check_create(const struct node_context *context,
					 void (*healthy)(void *data,
							 uint64_t fingerprint),
					 void *data)
{
	struct health_check *check = g_new0(struct health_check, 1);

	check->context = context;
	check->healthy = healthy;
	check->data = data;
	return check;
}

static void end_call(struct health_check *check)
{
	check->call = NULL;
	http_pool_release(check->pool);
	check->pool = NULL;
}

void health_check_destroy(struct health_check *check)
{
	if (!check)
		return;
	if (check->call) {
		http_call_cancel(check->call);
		end_call(check);
	}
	g_free(check);
}

static int is_in_service(const struct health_check *check,
			 const struct http_result *result)
{
	const char *name = check->context->headers->backend_id;
	const char *id = result->error ? NULL :
					 http_result_header(result, name);

	return id && result->status == 200 && !strcmp(id, check->id);
}

static void on_answer(void *data, const struct http_result *result)
{
	struct health_check *check = data;
	int in_service = is_in_service(check, result);

	log_event(LOG_STATE, "backend_asked",
		  "\"id\":\"%s\",\"status\":%d,\"in_service\":%d", check->id,
		  result->error ? 0 : result->status, in_service);
	end_call(check);
	if (in_service)
		check->healthy(check->data, check->asked);
}

void health_check_start(struct health_check *check,
			const struct announcement *announcement,
			const char *path)
{
	uint64_t fingerprint = announcement_fingerprint(announcement);
	struct http_request request = {
		.method = "GET",
		.path = path,
		.timeout_ms = CHECK_TIMEOUT_MS,
	};

	if (check->call || !*path || fingerprint == check->asked ||
	    !check->context->headers->backend_id)
		return;
	check->asked = fingerprint;
	g_strlcpy(check->id, announcement->id, sizeof(check->id));
	check->pool = http_pool_create(check->context->loop,
				       announcement->address, 0);
	check->call = http_pool_send(check->pool, &request, on_answer, check);
}
