/* fescuectl explain: where a request would go now, and why. */
#include "ctl.h"
#include "ctl_query.h"
#include "program.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define KEY_MAX_BYTES 4096
#define KEY_SCHEME "Token "

static double number(const json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

static int is_true(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

static void print_rejection(FILE *out, const char *who, const json_t *rejection)
{
	if (!json_is_object(rejection))
		return;
	fprintf(out, "%s would be rejected: %" PRId64 ", %s", who,
		ctl_integer(rejection, "status"),
		ctl_string(rejection, "reason"));
	if (json_is_integer(json_object_get(rejection, "retry_after_ms")))
		fprintf(out, "; retry-after %.3f s",
			number(rejection, "retry_after_ms") / 1000);
	fputc('\n', out);
}

static void print_route(FILE *out, const json_t *explanation)
{
	const json_t *route = json_object_get(explanation, "route");

	fprintf(out, "line %" PRId64 ": %s\n", ctl_integer(route, "line"),
		ctl_string(route, "rule"));
	fprintf(out,
		"version %" PRId64 ": class %s, rank %" PRId64
		", idempotent %s, deadline %" PRId64 " ms, latency %" PRId64
		" ms, retries %" PRId64 "%s\n",
		ctl_integer(explanation, "version"), ctl_string(route, "class"),
		ctl_integer(explanation, "rank"),
		is_true(route, "idempotent") ? "yes" : "no",
		ctl_integer(route, "deadline_ms"),
		ctl_integer(route, "latency_ms"), ctl_integer(route, "retries"),
		is_true(route, "public") ? ", public" : "");
}

static void print_quota(FILE *out, const json_t *quota)
{
	const char *owner = ctl_string(quota, "owner");
	const char *result = ctl_string(quota, "result");

	if (!json_is_object(quota))
		return;
	fprintf(out,
		"quota: tokens at hand %" PRId64
		", of the own share %.1f, %s%s",
		ctl_integer(quota, "tokens"), number(quota, "own_share"),
		*owner ? "owner " : "no owner", owner);
	if (!strcmp(result, "admitted"))
		fputs(": admitted\n", out);
	else
		fprintf(out,
			": waits for up to %" PRId64 " ms behind %" PRId64
			" others\n",
			ctl_integer(quota, "longest_wait_ms"),
			ctl_integer(quota, "waiting"));
}

static void print_account(FILE *out, const json_t *account)
{
	if (!json_is_object(account))
		return;
	fprintf(out, "account %s, line %" PRId64 ": rank %" PRId64,
		ctl_string(account, "name"), ctl_integer(account, "line"),
		ctl_integer(account, "rank"));
	if (ctl_integer(account, "rate"))
		fprintf(out, ", %" PRId64 " requests/s, burst %" PRId64 "\n",
			ctl_integer(account, "rate"),
			ctl_integer(account, "burst"));
	else
		fputs(", no quota\n", out);
	print_quota(out, json_object_get(account, "quota"));
}

static void print_cost(FILE *out, const json_t *cost)
{
	fprintf(out,
		"cost %.1f ms = waiting %.1f + service %.1f + failures %.1f "
		"+ distance %.1f + link %.1f",
		number(cost, "total"), number(cost, "waiting"),
		number(cost, "service"), number(cost, "failures"),
		number(cost, "distance"), number(cost, "link"));
}

static void print_host(FILE *out, const json_t *host)
{
	const json_t *cost = json_object_get(host, "cost_ms");
	const json_t *load = json_object_get(host, "load");
	const char *reason = ctl_string(host, "reason");
	int is_candidate = !strcmp(ctl_string(host, "state"), "candidate");

	fprintf(out, "backend server at %s in %s, %" PRId64 " slots: ",
		ctl_string(host, "address"), ctl_string(host, "failure_domain"),
		ctl_integer(host, "slots"));
	if (!is_candidate)
		fprintf(out, "excluded, %s", reason);
	if (!is_candidate && ctl_integer(host, "ejected_ms"))
		fprintf(out, " for %" PRId64 " ms more",
			ctl_integer(host, "ejected_ms"));
	if (json_is_object(cost)) {
		fputs(is_candidate ? "" : "; ", out);
		print_cost(out, cost);
	}
	if (is_candidate && *reason)
		fprintf(out, "; %s", reason);
	if (json_is_object(load))
		fprintf(out,
			"; %" PRId64 " in use, %" PRId64 " queued %" PRId64
			" ms ago",
			ctl_integer(load, "in_use"),
			ctl_integer(load, "queued"),
			ctl_integer(load, "age_ms"));
	if (*ctl_string(host, "backend_version"))
		fprintf(out, "; version %s",
			ctl_string(host, "backend_version"));
	fputs(is_true(host, "cheapest") ? "; cheapest\n" : "\n", out);
}

static void print_rollout(FILE *out, const json_t *rollout)
{
	if (json_is_object(rollout))
		fprintf(out,
			"roll-out to version %s: phase %s, %.1f %% of calls%s; "
			"class of this call: %s\n",
			ctl_string(rollout, "target"),
			ctl_string(rollout, "phase"),
			number(rollout, "share_permille") / 10,
			is_true(rollout, "stopped") ? ", stopped here" : "",
			ctl_string(rollout, "class"));
}

static void print_compared(FILE *out, const json_t *target)
{
	const json_t *own = json_object_get(target, "own_domain");
	const json_t *other = json_object_get(target, "other_domains");
	const char *policy = ctl_string(target, "policy");

	if (*policy && strcmp(policy, "cost") != 0)
		fprintf(out, "the router's policy is %s: costs do not count\n",
			policy);
	else if (own && other)
		fprintf(out,
			"compares %" PRId64 " of %" PRId64 " candidates in the "
			"own domain and %" PRId64 " of %" PRId64 " in others\n",
			ctl_integer(own, "compared"), ctl_integer(own, "count"),
			ctl_integer(other, "compared"),
			ctl_integer(other, "count"));
}

static void print_target(FILE *out, const json_t *target)
{
	const json_t *hosts = json_object_get(target, "hosts");
	const json_t *service_ms = json_object_get(target, "service_ms");

	fprintf(out, "service %s, weight %" PRId64 "%s\n",
		ctl_string(target, "service"), ctl_integer(target, "weight"),
		json_array_size(hosts) ?
			"" :
			": withdrawn, it has no backend server; start one");
	if (json_is_number(service_ms))
		fprintf(out, "such calls take %.1f ms in a slot and %.1f kB\n",
			json_number_value(service_ms),
			number(target, "kilobytes"));
	print_rollout(out, json_object_get(target, "rollout"));
	print_compared(out, target);
	for (size_t i = 0; i < json_array_size(hosts); i++)
		print_host(out, json_array_get(hosts, i));
	print_rejection(out, "a request to this service",
			json_object_get(target, "rejection"));
}

static void print_selection(FILE *out, const json_t *selection)
{
	const char *id = ctl_string(selection, "id");

	if (!json_is_object(selection))
		fputs("chance decides between the services by weight; give "
		      "--id for one request\n",
		      out);
	else if (*id)
		fprintf(out,
			"request %s goes to %s: %" PRId64 " of %" PRId64
			", %s\n",
			id, ctl_string(selection, "service"),
			ctl_integer(selection, "offset"),
			ctl_integer(selection, "of"),
			ctl_string(selection, "why"));
}

void ctl_print_explanation(FILE *out, const json_t *explanation)
{
	const json_t *targets = json_object_get(explanation, "targets");
	int has_route = json_is_object(json_object_get(explanation, "route"));

	if (has_route)
		print_route(out, explanation);
	print_account(out, json_object_get(explanation, "account"));
	for (size_t i = 0; i < json_array_size(targets); i++)
		print_target(out, json_array_get(targets, i));
	if (has_route)
		print_selection(out, json_object_get(explanation, "selection"));
	print_rejection(out, "the request",
			json_object_get(explanation, "rejection"));
}

static int explain_error(const char *text)
{
	fprintf(stderr, "fescuectl: %s\n", text);
	return EXIT_ERROR;
}

/* Reads the key from the first line; returns an error text, or NULL. */
static const char *read_key(const char *path, char key[KEY_MAX_BYTES])
{
	FILE *file = strcmp(path, "-") != 0 ? fopen(path, "r") : stdin;
	int has_line;

	if (!file)
		return "cannot open the key file";
	has_line = fgets(key, KEY_MAX_BYTES, file) != NULL;
	if (file != stdin)
		fclose(file);
	if (!has_line)
		return "the key file is empty";
	if (strlen(key) == KEY_MAX_BYTES - 1)
		return "the key is too long";
	g_strchomp(key);
	if (!*key)
		return "the first line of the key file is empty";
	/* Others would end the header that carries the key. */
	for (const char *c = key; *c; c++)
		if (!g_ascii_isprint(*c))
			return "the key has bytes that no header may have";
	return NULL;
}

static void add_parameter(GString *url, const char *name, const char *value)
{
	if (!value)
		return;
	g_string_append_printf(url, "%c%s=", strchr(url->str, '?') ? '&' : '?',
			       name);
	g_string_append_uri_escaped(url, value, "/", FALSE);
}

static struct ctl_response ask(struct ctl *ctl, const char *path,
			       const char *key)
{
	GString *url = g_string_new("/explain");
	char *credentials = key ? g_strconcat(KEY_SCHEME, key, NULL) : NULL;
	struct http_header header = { "authorization", credentials };
	struct ctl_response response;

	add_parameter(url, "method", ctl->method);
	add_parameter(url, "host", ctl->host);
	add_parameter(url, "path", path);
	add_parameter(url, "id", ctl->id);
	add_parameter(url, "account", ctl->account);
	response = ctl_get_with(ctl->loop, ctl->node, url->str,
				key ? &header : NULL);
	g_string_free(url, TRUE);
	g_free(credentials);
	return response;
}

static int print_response(const struct ctl *ctl,
			  const struct ctl_response *response)
{
	const json_t *error = json_object_get(response->json, "error");

	if (!response->json)
		return ctl_report_no_answer(ctl->node);
	if (error || response->status != 200) {
		fprintf(stderr, "fescuectl: the node answered %d: %s\n",
			response->status,
			error ? json_string_value(error) : "no explanation");
		return EXIT_ERROR;
	}
	if (ctl->json) {
		json_dumpf(response->json, stdout, JSON_INDENT(1));
		putchar('\n');
	} else {
		ctl_print_explanation(stdout, response->json);
	}
	return json_is_object(json_object_get(response->json, "route")) ?
		       EXIT_OK :
		       EXIT_ERROR;
}

int ctl_explain(struct ctl *ctl, const char *path)
{
	char key[KEY_MAX_BYTES];
	struct ctl_response response;
	const char *error = NULL;
	int code;

	if (*path != '/')
		program_usage_error("fescuectl", "the path must start with /");
	if (ctl->account && ctl->key_file)
		program_usage_error("fescuectl",
				    "give --account or --key-file, not both");
	if (ctl->key_file)
		error = read_key(ctl->key_file, key);
	if (error)
		return explain_error(error);
	response = ask(ctl, path, ctl->key_file ? key : NULL);
	code = print_response(ctl, &response);
	ctl_response_clear(&response);
	return code;
}
