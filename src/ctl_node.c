/*
 * fescuectl commands that ask nodes.
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

#define ASK_TIMEOUT_MS 2000

struct question {
	uv_loop_t *loop;
	json_t *answer; /* NULL when there was none */
	char *text;
};

static void on_answer(void *data, const struct http_result *result)
{
	struct question *question = data;

	if (!result->error) {
		question->answer =
			json_loadb(result->body, result->body_size, 0, NULL);
		question->text = g_strndup(result->body, result->body_size);
	}
	uv_stop(question->loop);
}

static struct question ask(uv_loop_t *loop, struct address address,
			   const char *path)
{
	struct question question = { loop, NULL, NULL };
	struct http_pool *pool = http_pool_create(loop, address, 1);
	struct http_request request = { .method = "GET",
					.path = path,
					.timeout_ms = ASK_TIMEOUT_MS };

	http_pool_send(pool, &request, on_answer, &question);
	uv_run(loop, UV_RUN_DEFAULT);
	return question;
}

static void question_clear(struct question *question)
{
	json_decref(question->answer);
	g_free(question->text);
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static int64_t number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static int report_silent(struct address node)
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
		       address, number_of(rejected, "version"),
		       number_of(rejected, "line"),
		       number_of(rejected, "column"), text_of(rejected, "what"),
		       text_of(rejected, "remedy"));
}

/* One line for a host; returns its version, or -1 when it is not up. */
static int64_t print_host(uv_loop_t *loop, const json_t *host)
{
	const char *peer = text_of(host, "address");
	const char *state = text_of(host, "state");
	struct question question = { 0 };
	struct address address;
	const json_t *own;
	int64_t version;
	int up = !strcmp(state, "alive") || !strcmp(state, "suspect");

	if (address_parse(peer, &address))
		return -1;
	address.port = (uint16_t)number_of(host, "operator_port");
	if (up)
		question = ask(loop, address, "/status");
	own = question.answer ? question.answer : host;
	version = number_of(own, "version");
	printf("%-16s %-22s %-12s %-8s version %" PRId64 "%s%s%s%s%s\n",
	       text_of(host, "failure_domain"), peer, text_of(host, "service"),
	       state, version, question.answer || !up ? "" : " (as gossiped)",
	       json_is_true(json_object_get(own, "relay")) ? " relay" : "",
	       json_is_true(json_object_get(own, "cut_off")) ? " cut-off" : "",
	       question.answer && !json_is_true(json_object_get(own, "ready")) ?
		       " not ready: " :
		       "",
	       question.answer ? text_of(own, "reason") : "");
	print_rejection(peer, json_object_get(own, "rejected"));
	question_clear(&question);
	return up ? version : -1;
}

static gint compare_hosts(gconstpointer a, gconstpointer b)
{
	const json_t *x = *(json_t *const *)a, *y = *(json_t *const *)b;
	int order = strcmp(text_of(x, "failure_domain"),
			   text_of(y, "failure_domain"));

	return order ? order :
		       strcmp(text_of(x, "address"), text_of(y, "address"));
}

static void print_behind(const GArray *versions)
{
	int64_t newest = 0;
	guint behind = 0;

	for (guint i = 0; i < versions->len; i++)
		newest = MAX(newest, g_array_index(versions, int64_t, i));
	for (guint i = 0; i < versions->len; i++)
		behind += g_array_index(versions, int64_t, i) < newest;
	printf("hosts up %u, newest version in force %" PRId64
	       ", behind it %u\n",
	       versions->len, newest, behind);
}

int ctl_status(struct ctl *ctl, const char *unused)
{
	struct question status = ask(ctl->loop, ctl->node, "/status");
	json_t *hosts = json_object_get(status.answer, "hosts");
	GArray *versions = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GPtrArray *sorted = g_ptr_array_new();
	int64_t version;

	(void)unused;
	if (!status.answer)
		return report_silent(ctl->node);
	for (size_t i = 0; i < json_array_size(hosts); i++)
		g_ptr_array_add(sorted, json_array_get(hosts, i));
	g_ptr_array_sort(sorted, compare_hosts);
	for (guint i = 0; i < sorted->len; i++) {
		version = print_host(ctl->loop, g_ptr_array_index(sorted, i));
		if (version >= 0)
			g_array_append_val(versions, version);
	}
	print_behind(versions);
	g_array_free(versions, TRUE);
	g_ptr_array_free(sorted, TRUE);
	question_clear(&status);
	return EXIT_OK;
}

static void print_rule_line(struct ctl *ctl, int64_t line)
{
	struct question config = ask(ctl->loop, ctl->node, "/config");
	char **lines = g_strsplit(config.text ? config.text : "", "\n", 0);

	if (line > 0 && line <= (int64_t)g_strv_length(lines))
		printf("line %" PRId64 ": %s\n", line, lines[line - 1]);
	g_strfreev(lines);
	question_clear(&config);
}

static void print_backend(const json_t *host)
{
	printf("backend server at %s in %s, %" PRId64 " slots%s\n",
	       text_of(host, "address"), text_of(host, "failure_domain"),
	       number_of(host, "slots"),
	       json_is_true(json_object_get(host, "ejected")) ?
		       ", ejected after failures" :
		       "");
}

/* A service that takes a share of the route's calls, and its hosts. */
static void print_part(const json_t *part)
{
	const json_t *hosts = json_object_get(part, "hosts");

	printf("service %s, weight %" PRId64 "%s\n", text_of(part, "service"),
	       number_of(part, "weight"),
	       json_array_size(hosts) ?
		       "" :
		       ": withdrawn, it has no backend server now; start one");
	for (size_t i = 0; i < json_array_size(hosts); i++)
		print_backend(json_array_get(hosts, i));
}

static void print_explanation(const json_t *answer)
{
	const json_t *parts = json_object_get(answer, "parts");
	const json_t *dealt = json_object_get(answer, "dealt");

	printf("version %" PRId64 ": class %s, rank %" PRId64
	       ", idempotent %s, deadline %" PRId64 " ms, latency %" PRId64
	       " ms, retries %" PRId64 "\n",
	       number_of(answer, "version"), text_of(answer, "class"),
	       number_of(answer, "rank"),
	       json_is_true(json_object_get(answer, "idempotent")) ? "yes" :
								     "no",
	       number_of(answer, "deadline_ms"),
	       number_of(answer, "latency_ms"), number_of(answer, "retries"));
	for (size_t i = 0; i < json_array_size(parts); i++)
		print_part(json_array_get(parts, i));
	if (json_is_object(dealt))
		printf("request %s goes to %s: %" PRId64 " of %" PRId64
		       ", %s\n",
		       text_of(dealt, "id"), text_of(dealt, "service"),
		       number_of(dealt, "drawn"), number_of(dealt, "of"),
		       text_of(dealt, "why"));
}

int ctl_explain(struct ctl *ctl, const char *path)
{
	char *escaped = g_uri_escape_string(path, "/", FALSE);
	char *id = ctl->id ? g_uri_escape_string(ctl->id, NULL, FALSE) : NULL;
	char *url = g_strdup_printf("/explain?method=%s&host=%s&path=%s%s%s",
				    ctl->method ? ctl->method : "GET",
				    ctl->host ? ctl->host : "", escaped,
				    id ? "&id=" : "", id ? id : "");
	struct question question = ask(ctl->loop, ctl->node, url);
	int code = EXIT_OK;

	g_free(escaped);
	g_free(id);
	g_free(url);
	if (!question.answer)
		return report_silent(ctl->node);
	if (number_of(question.answer, "line")) {
		print_rule_line(ctl, number_of(question.answer, "line"));
		print_explanation(question.answer);
	} else {
		printf("%s; %s\n", text_of(question.answer, "result"),
		       text_of(question.answer, "remedy"));
		code = EXIT_ERROR;
	}
	question_clear(&question);
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
