#include "operator.h"

#include "explain.h"
#include "fescue/error.h"

#include <jansson.h>
#include <string.h>

#define MAX_SLOTS 10000

static const struct snapshot *active_snapshot(const struct operator_view *view)
{
	return view->snapshot(view->data);
}

/* Reply with a JSON value; takes ownership of it. */
static void reply_json(struct http_exchange *exchange, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_INDENT(1));

	http_exchange_reply_text(exchange, status, "application/json", text);
	free(text);
	json_decref(json);
}

static void reply_counters(const struct operator_view *view,
			   struct http_exchange *exchange)
{
	GString *out = g_string_new(NULL);

	counters_format(view->counters, out);
	g_string_append_printf(out, "in_flight_calls %zu\n",
			       caller_table_in_flight(view->callers));
	g_string_append_printf(out, "slots_in_use %u\n",
			       backend_server_in_use(view->backend));
	g_string_append_printf(out, "calls_queued %u\n",
			       backend_server_queued(view->backend));
	g_string_append_printf(out, "hosts_up %zu\n",
			       membership_up_count(view->membership));
	if (view->keys_age_ms(view->data) != KEY_AGE_UNKNOWN)
		g_string_append_printf(out,
				       "keys_age_ms %" G_GUINT64_FORMAT "\n",
				       view->keys_age_ms(view->data));
	http_exchange_reply_text(exchange, 200, "text/plain", out->str);
	g_string_free(out, TRUE);
}

static void format_keys_metrics(const struct operator_view *view, GString *out)
{
	uint64_t age_ms = view->keys_age_ms(view->data);

	g_string_append_printf(out,
			       "# TYPE fescue_keys_accepted gauge\n"
			       "fescue_keys_accepted %d\n",
			       view->keys_allowed(view->data));
	if (age_ms != KEY_AGE_UNKNOWN)
		g_string_append_printf(out,
				       "# TYPE fescue_keys_age_seconds gauge\n"
				       "fescue_keys_age_seconds %.3f\n",
				       (double)age_ms / 1000);
}

static void reply_metrics(const struct operator_view *view,
			  struct http_exchange *exchange)
{
	GString *out = g_string_new(NULL);

	counters_format_prometheus(view->counters, out);
	g_string_append_printf(out,
			       "# TYPE fescue_calls_in_flight gauge\n"
			       "fescue_calls_in_flight %zu\n"
			       "# TYPE fescue_slots_in_use gauge\n"
			       "fescue_slots_in_use %u\n"
			       "# TYPE fescue_calls_queued gauge\n"
			       "fescue_calls_queued %u\n"
			       "# TYPE fescue_hosts_up gauge\n"
			       "fescue_hosts_up %zu\n"
			       "# TYPE fescue_config_version gauge\n"
			       "fescue_config_version %" G_GUINT64_FORMAT "\n",
			       caller_table_in_flight(view->callers),
			       backend_server_in_use(view->backend),
			       backend_server_queued(view->backend),
			       membership_up_count(view->membership),
			       distribution_version(view->distribution));
	format_keys_metrics(view, out);
	http_exchange_reply_text(exchange, 200, "text/plain; version=0.0.4",
				 out->str);
	g_string_free(out, TRUE);
}

static json_t *host_to_json(const struct operator_view *view,
			    const struct host *host)
{
	char address[ADDRESS_TEXT_BYTES];
	uint64_t now_ms = node_context_now_ms(view->context);

	address_format(address_from_key(host->address), address);
	return json_pack("{s:s, s:s, s:s, s:s, s:b, s:i, s:i, s:i, s:I, s:b}",
			 "address", address, "failure_domain",
			 host->failure_domain, "service", host->service,
			 "state", host_state_name(host->state), "serving",
			 host->serving, "slots", (int)host->slots,
			 "operator_port", host->operator_port, "caller_port",
			 host->caller_port, "version",
			 (json_int_t)host->version, "ejected",
			 router_is_ejected(caller_table_router(view->callers),
					   host->address, now_ms));
}

static json_t *rejection_to_json(const struct operator_view *view)
{
	const struct diagnostic *diagnostic;
	uint64_t version =
		distribution_rejected_version(view->distribution, &diagnostic);

	if (!version)
		return json_null();
	return json_pack("{s:I, s:i, s:i, s:s, s:s}", "version",
			 (json_int_t)version, "line", (int)diagnostic->line,
			 "column", (int)diagnostic->column, "what",
			 diagnostic->what, "remedy", diagnostic->remedy);
}

static json_t *node_status(const struct operator_view *view)
{
	const struct distribution *d = view->distribution;
	char address[ADDRESS_TEXT_BYTES];
	const char *reason = "";
	int ready = view->is_ready(view->data, &reason);

	address_format(view->peer_address, address);
	return json_pack(
		"{s:s, s:s, s:s, s:I, s:I, s:b, s:s, s:b, s:I, s:b, s:b, s:b, "
		"s:o, s:I, s:I}",
		"address", address, "failure_domain", view->failure_domain,
		"service", backend_server_service(view->backend), "version",
		(json_int_t)distribution_version(d), "floor",
		(json_int_t)bootstrap_floor(view->bootstrap)->version, "ready",
		ready, "reason", reason, "relay", distribution_is_relay(d),
		"rank", (json_int_t)distribution_rank(d), "cut_off",
		view->is_isolated(view->data), "store_up",
		bootstrap_store_is_up(view->bootstrap), "draining",
		view->is_stopping(view->data), "rejected",
		rejection_to_json(view), "hosts_up",
		(json_int_t)membership_up_count(view->membership), "routes",
		(json_int_t)(active_snapshot(view) ?
				     snapshot_effective_route_count(
					     active_snapshot(view)) :
				     0));
}

static void reply_status(const struct operator_view *view,
			 struct http_exchange *exchange)
{
	json_t *status = node_status(view);
	json_t *hosts = json_array();
	uint64_t keys_age_ms = view->keys_age_ms(view->data);

	json_object_set_new(status, "keys_accepted",
			    json_boolean(view->keys_allowed(view->data)));
	json_object_set_new(status, "keys_age_ms",
			    keys_age_ms == KEY_AGE_UNKNOWN ?
				    json_null() :
				    json_integer((json_int_t)keys_age_ms));
	for (size_t i = 0; i < membership_count(view->membership); i++)
		json_array_append_new(
			hosts,
			host_to_json(view,
				     membership_host(view->membership, i)));
	json_object_set_new(status, "hosts", hosts);
	reply_json(exchange, 200, status);
}

/*
 * Serve GET /explain: parameters "method", "host", "path", "id" and "account",
 * and the key in the header "authorization: Token KEY".
 */
static void reply_explanation(const struct operator_view *view,
			      struct http_exchange *exchange)
{
	char *method = http_exchange_query(exchange, "method");
	char *host = http_exchange_query(exchange, "host");
	char *path = http_exchange_query(exchange, "path");
	char *id = http_exchange_query(exchange, "id");
	char *account = http_exchange_query(exchange, "account");
	struct explain_query query = {
		method, host, path, id, account,
		/* The platform may name another header for callers. */
		caller_read_key(interface_headers(INTERFACE_FESCUE), exchange)
	};
	int status;
	json_t *json = explain_request(view, &query, &status);

	reply_json(exchange, status, json);
	g_free(method);
	g_free(host);
	g_free(path);
	g_free(id);
	g_free(account);
}

static void reply_config(const struct operator_view *view,
			 struct http_exchange *exchange)
{
	size_t size = 0;
	const char *text = active_snapshot(view) ?
				   snapshot_text(active_snapshot(view), &size) :
				   "";
	struct http_header header = { "content-type", "text/plain" };

	http_exchange_reply(exchange, active_snapshot(view) ? 200 : 503,
			    &header, 1, text, size);
}

static int read_announcement(const struct http_text *body,
			     struct announcement *out)
{
	json_t *object = json_loadb(body->bytes, body->size, 0, NULL);
	const char *service =
		json_string_value(json_object_get(object, "service"));
	const char *address =
		json_string_value(json_object_get(object, "address"));
	const char *version =
		json_string_value(json_object_get(object, "version"));
	json_int_t slots = json_integer_value(json_object_get(object, "slots"));
	int error = FESCUE_EINVAL;

	memset(out, 0, sizeof(*out));
	if (service && *service && strlen(service) < sizeof(out->service) &&
	    address && !address_parse(address, &out->address) && slots >= 1 &&
	    slots <= MAX_SLOTS) {
		g_strlcpy(out->service, service, sizeof(out->service));
		out->slots = (uint32_t)slots;
		if (version && strlen(version) < sizeof(out->version))
			g_strlcpy(out->version, version, sizeof(out->version));
		error = FESCUE_OK;
	}
	json_decref(object);
	return error;
}

static void handle_announcement(const struct operator_view *view,
				struct http_exchange *exchange)
{
	struct http_text body = http_exchange_body(exchange);
	struct announcement announcement;

	if (read_announcement(&body, &announcement)) {
		http_exchange_reply_text(
			exchange, 400, "text/plain",
			"announcement refused; send {\"service\": NAME, "
			"\"address\": \"IP:PORT\", \"slots\": 1 to 10000}\n");
		return;
	}
	/* Without a number, it is never refused. */
	(void)backend_server_announce(view->backend, &announcement);
	http_exchange_reply_text(exchange, 200, "text/plain", "announced\n");
}

static void handle_leave(const struct operator_view *view,
			 struct http_exchange *exchange)
{
	backend_server_leave(view->backend, NULL);
	http_exchange_reply_text(exchange, 200, "text/plain", "leaving\n");
}

void operator_request(void *data, struct http_exchange *exchange)
{
	const struct operator_view *view = data;

	if (http_exchange_method_is(exchange, "POST") &&
	    http_exchange_path_is(exchange, "/backend"))
		handle_announcement(view, exchange);
	else if (http_exchange_method_is(exchange, "POST") &&
		 http_exchange_path_is(exchange, "/backend/leave"))
		handle_leave(view, exchange);
	else if (http_exchange_path_is(exchange, "/counters"))
		reply_counters(view, exchange);
	else if (http_exchange_path_is(exchange, "/metrics"))
		reply_metrics(view, exchange);
	else if (http_exchange_path_is(exchange, "/status"))
		reply_status(view, exchange);
	else if (http_exchange_path_is(exchange, "/explain"))
		reply_explanation(view, exchange);
	else if (http_exchange_path_is(exchange, "/config"))
		reply_config(view, exchange);
	else
		http_exchange_reply_text(
			exchange, 404, "text/plain",
			"use /status, /counters, /metrics, /explain, "
			"/config or POST /backend\n");
}
