/*
 * fescuectl commands that query nodes over their operator ports.
 */
#include "ctl.h"
#include "ctl_query.h"
#include "fescue/error.h"
#include "program.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

static void print_rejection(const char *address, const json_t *rejected)
{
	if (json_is_object(rejected))
		printf("%s refused version %" PRId64 ": line %" PRId64
		       " column %" PRId64 ": %s; %s\n",
		       address, ctl_integer(rejected, "version"),
		       ctl_integer(rejected, "line"),
		       ctl_integer(rejected, "column"),
		       ctl_string(rejected, "what"),
		       ctl_string(rejected, "remedy"));
}

/*
 * Print the host's own status, or its gossiped record if it does not answer.
 * Returns its active version, or -1 if it is not up.
 */
static int64_t print_host(uv_loop_t *loop, const json_t *host)
{
	const char *peer = ctl_string(host, "address");
	const char *state = ctl_string(host, "state");
	struct ctl_response response = { 0 };
	struct address address;
	const json_t *status;
	int64_t version;
	int up = !strcmp(state, "alive") || !strcmp(state, "suspect");

	if (address_parse(peer, &address))
		return -1;
	address.port = (uint16_t)ctl_integer(host, "operator_port");
	if (up)
		response = ctl_get(loop, address, "/status");
	status = response.json ? response.json : host;
	version = ctl_integer(status, "version");
	printf("%-16s %-22s %-12s %-8s version %" PRId64 "%s%s%s%s%s\n",
	       ctl_string(host, "failure_domain"), peer,
	       ctl_string(host, "service"), state, version,
	       response.json || !up ? "" : " (as gossiped)",
	       json_is_true(json_object_get(status, "relay")) ? " relay" : "",
	       json_is_true(json_object_get(status, "cut_off")) ? " cut-off" :
								  "",
	       response.json &&
			       !json_is_true(json_object_get(status, "ready")) ?
		       " not ready: " :
		       "",
	       response.json ? ctl_string(status, "reason") : "");
	print_rejection(peer, json_object_get(status, "rejected"));
	ctl_response_clear(&response);
	return up ? version : -1;
}

static gint compare_hosts(gconstpointer a, gconstpointer b)
{
	const json_t *x = *(json_t *const *)a, *y = *(json_t *const *)b;
	int order = strcmp(ctl_string(x, "failure_domain"),
			   ctl_string(y, "failure_domain"));

	return order ? order :
		       strcmp(ctl_string(x, "address"),
			      ctl_string(y, "address"));
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
	struct ctl_response status = ctl_get(ctl->loop, ctl->node, "/status");
	json_t *hosts = json_object_get(status.json, "hosts");
	GArray *versions = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GPtrArray *sorted = g_ptr_array_new();
	int64_t version;

	(void)unused;
	if (!status.json)
		return ctl_report_no_answer(ctl->node);
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
	ctl_response_clear(&status);
	return EXIT_OK;
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
