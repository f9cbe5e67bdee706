/*
 * fescuectl commands that query nodes over their operator ports.
 */
#include "ctl.h"
#include "fescue/error.h"
#include "http_client.h"
#include "program.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 2000

struct response {
	uv_loop_t *loop;
	json_t *json; /* NULL: no answer, or not JSON */
	char *text; /* NULL: no answer */
};

static void on_response(void *data, const struct http_result *result)
{
	struct response *response = data;

	if (!result->error) {
		response->json =
			json_loadb(result->body, result->body_size, 0, NULL);
		response->text = g_strndup(result->body, result->body_size);
	}
	uv_stop(response->loop);
}

static struct response get(uv_loop_t *loop, struct address address,
			   const char *path)
{
	struct response response = { loop, NULL, NULL };
	struct http_pool *pool = http_pool_create(loop, address, 1);
	struct http_request request = { .method = "GET",
					.path = path,
					.timeout_ms = REQUEST_TIMEOUT_MS };

	http_pool_send(pool, &request, on_response, &response);
	uv_run(loop, UV_RUN_DEFAULT);
	return response;
}

static void response_clear(struct response *response)
{
	json_decref(response->json);
	g_free(response->text);
}

static const char *string_member(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static int64_t integer_member(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static int report_no_answer(struct address node)
{
	char text[ADDRESS_TEXT_BYTES];

	fprintf(stderr,
		"fescuectl: no answer from %s; check that it is a node's "
		"operator port\n",
		address_format(node, text));
	return EXIT_ERROR;
}

static void print_rejection(const char *address, const json_t *rejected)
{
	if (json_is_object(rejected))
		printf("%s refused version %" PRId64 ": line %" PRId64
		       " column %" PRId64 ": %s; %s\n",
		       address, integer_member(rejected, "version"),
		       integer_member(rejected, "line"),
		       integer_member(rejected, "column"),
		       string_member(rejected, "what"),
		       string_member(rejected, "remedy"));
}

/*
 * Print the host's own status, or its gossiped record if it does not answer.
 * Returns its active version, or -1 if it is not up.
 */
static int64_t print_host(uv_loop_t *loop, const json_t *host)
{
	const char *peer = string_member(host, "address");
	const char *state = string_member(host, "state");
	struct response response = { 0 };
	struct address address;
	const json_t *status;
	int64_t version;
	int up = !strcmp(state, "alive") || !strcmp(state, "suspect");

	if (address_parse(peer, &address))
		return -1;
	address.port = (uint16_t)integer_member(host, "operator_port");
	if (up)
		response = get(loop, address, "/status");
	status = response.json ? response.json : host;
	version = integer_member(status, "version");
	printf("%-16s %-22s %-12s %-8s version %" PRId64 "%s%s%s%s%s\n",
	       string_member(host, "failure_domain"), peer,
	       string_member(host, "service"), state, version,
	       response.json || !up ? "" : " (as gossiped)",
	       json_is_true(json_object_get(status, "relay")) ? " relay" : "",
	       json_is_true(json_object_get(status, "cut_off")) ? " cut-off" :
								  "",
	       response.json &&
			       !json_is_true(json_object_get(status, "ready")) ?
		       " not ready: " :
		       "",
	       response.json ? string_member(status, "reason") : "");
	print_rejection(peer, json_object_get(status, "rejected"));
	response_clear(&response);
	return up ? version : -1;
}

static gint compare_hosts(gconstpointer a, gconstpointer b)
{
	const json_t *x = *(json_t *const *)a, *y = *(json_t *const *)b;
	int order = strcmp(string_member(x, "failure_domain"),
			   string_member(y, "failure_domain"));

	return order ? order :
		       strcmp(string_member(x, "address"),
			      string_member(y, "address"));
}

static void print_version_summary(const GArray *versions)
{
	int64_t newest = 0;
	guint outdated = 0;

	for (guint i = 0; i < versions->len; i++)
		newest = MAX(newest, g_array_index(versions, int64_t, i));
	for (guint i = 0; i < versions->len; i++)
		outdated += g_array_index(versions, int64_t, i) < newest;
	printf("hosts up %u, newest active version %" PRId64 ", outdated %u\n",
	       versions->len, newest, outdated);
}

int ctl_status(struct ctl *ctl, const char *unused)
{
	struct response status = get(ctl->loop, ctl->node, "/status");
	json_t *hosts = json_object_get(status.json, "hosts");
	GArray *versions = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GPtrArray *sorted = g_ptr_array_new();
	int64_t version;

	(void)unused;
	if (!status.json)
		return report_no_answer(ctl->node);
	for (size_t i = 0; i < json_array_size(hosts); i++)
		g_ptr_array_add(sorted, json_array_get(hosts, i));
	g_ptr_array_sort(sorted, compare_hosts);
	for (guint i = 0; i < sorted->len; i++) {
		version = print_host(ctl->loop, g_ptr_array_index(sorted, i));
		if (version >= 0)
			g_array_append_val(versions, version);
	}
	print_version_summary(versions);
	g_array_free(versions, TRUE);
	g_ptr_array_free(sorted, TRUE);
	response_clear(&status);
	return EXIT_OK;
}

static void print_rule_line(struct ctl *ctl, int64_t line)
{
	struct response config = get(ctl->loop, ctl->node, "/config");
	char **lines = g_strsplit(config.text ? config.text : "", "\n", 0);

	if (line > 0 && line <= (int64_t)g_strv_length(lines))
		printf("line %" PRId64 ": %s\n", line, lines[line - 1]);
	g_strfreev(lines);
	response_clear(&config);
}

static void print_backend(const json_t *host)
{
	printf("backend server at %s in %s, %" PRId64 " slots%s\n",
	       string_member(host, "address"),
	       string_member(host, "failure_domain"),
	       integer_member(host, "slots"),
	       json_is_true(json_object_get(host, "ejected")) ?
		       ", ejected after failures" :
		       "");
}

/* A target of the route: a service with its weight and hosts. */
static void print_target(const json_t *target)
{
	const json_t *hosts = json_object_get(target, "hosts");

	printf("service %s, weight %" PRId64 "%s\n",
	       string_member(target, "service"),
	       integer_member(target, "weight"),
	       json_array_size(hosts) ?
		       "" :
		       ": withdrawn, it has no backend server; start one");
	for (size_t i = 0; i < json_array_size(hosts); i++)
		print_backend(json_array_get(hosts, i));
}

static void print_explanation(const json_t *explanation)
{
	const json_t *targets = json_object_get(explanation, "parts");
	const json_t *choice = json_object_get(explanation, "dealt");

	printf("version %" PRId64 ": class %s, rank %" PRId64
	       ", idempotent %s, deadline %" PRId64 " ms, latency %" PRId64
	       " ms, retries %" PRId64 "\n",
	       integer_member(explanation, "version"),
	       string_member(explanation, "class"),
	       integer_member(explanation, "rank"),
	       json_is_true(json_object_get(explanation, "idempotent")) ?
		       "yes" :
		       "no",
	       integer_member(explanation, "deadline_ms"),
	       integer_member(explanation, "latency_ms"),
	       integer_member(explanation, "retries"));
	for (size_t i = 0; i < json_array_size(targets); i++)
		print_target(json_array_get(targets, i));
	if (json_is_object(choice))
		printf("request %s goes to %s: %" PRId64 " of %" PRId64
		       ", %s\n",
		       string_member(choice, "id"),
		       string_member(choice, "service"),
		       integer_member(choice, "drawn"),
		       integer_member(choice, "of"),
		       string_member(choice, "why"));
}

int ctl_explain(struct ctl *ctl, const char *path)
{
	char *escaped = g_uri_escape_string(path, "/", FALSE);
	char *id = ctl->id ? g_uri_escape_string(ctl->id, NULL, FALSE) : NULL;
	char *url = g_strdup_printf("/explain?method=%s&host=%s&path=%s%s%s",
				    ctl->method ? ctl->method : "GET",
				    ctl->host ? ctl->host : "", escaped,
				    id ? "&id=" : "", id ? id : "");
	struct response response = get(ctl->loop, ctl->node, url);
	int code = EXIT_OK;

	g_free(escaped);
	g_free(id);
	g_free(url);
	if (!response.json)
		return report_no_answer(ctl->node);
	if (integer_member(response.json, "line")) {
		print_rule_line(ctl, integer_member(response.json, "line"));
		print_explanation(response.json);
	} else {
		printf("%s; %s\n", string_member(response.json, "result"),
		       string_member(response.json, "remedy"));
		code = EXIT_ERROR;
	}
	response_clear(&response);
	return code;
}

int ctl_read_settings(struct ctl *ctl, const char *path,
		      char message[SETTINGS_ERROR_BYTES])
{
	static const struct setting table[] = {
		{ "store", SETTING_ADDRESS, offsetof(struct ctl, store), 0, 0,
		  0, NULL },
		{ "node", SETTING_ADDRESS, offsetof(struct ctl, node), 0, 0, 0,
		  NULL },
	};

	return settings_read(path, table, G_N_ELEMENTS(table), ctl, message);
}
