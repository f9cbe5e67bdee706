#include "call_request.h"

#include "fescue/error.h"

#include <string.h>

static void header_free(gpointer p)
{
	fescue__header__free_unpacked(p, NULL);
}

static Fescue__Header *header_create(struct http_text name,
				     struct http_text value)
{
	Fescue__Header *header = g_new(Fescue__Header, 1);

	fescue__header__init(header);
	header->name = g_ascii_strdown(name.bytes, (gssize)name.size);
	header->value = g_strndup(value.bytes, value.size);
	return header;
}

static int text_equals(struct http_text text, const char *word)
{
	return word && text.size == strlen(word) &&
	       !g_ascii_strncasecmp(text.bytes, word, text.size);
}

static int is_hop_by_hop(struct http_text name)
{
	static const char *const names[] = { "connection",
					     "keep-alive",
					     "content-length",
					     "host",
					     "transfer-encoding",
					     "upgrade",
					     "expect",
					     "te",
					     "trailer",
					     "proxy-connection" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (text_equals(name, names[i]))
			return 1;
	return 0;
}

static int is_set_by_node(struct http_text name,
			  const struct header_names *names)
{
	return text_equals(name, names->deadline) ||
	       text_equals(name, names->target) ||
	       text_equals(name, names->caller_service) ||
	       text_equals(name, names->depth);
}

static void add_header(GPtrArray *headers, const char *name, const char *value)
{
	struct http_text n = { name, strlen(name) };
	struct http_text v = { value, strlen(value) };

	g_ptr_array_add(headers, header_create(n, v));
}

static int is_of_account(struct http_text name,
			 const struct header_names *names)
{
	return text_equals(name, names->key) ||
	       text_equals(name, names->account);
}

static void copy_headers(GPtrArray *headers,
			 const struct http_exchange *exchange,
			 const struct header_names *names, int has_accounts)
{
	size_t n = http_exchange_header_count(exchange);
	struct http_text name, value;

	for (size_t i = 0; i < n; i++) {
		http_exchange_header_at(exchange, i, &name, &value);
		if (!is_hop_by_hop(name) && !is_set_by_node(name, names) &&
		    !(has_accounts && is_of_account(name, names)))
			g_ptr_array_add(headers, header_create(name, value));
	}
}

static char *text_dup(struct http_text text)
{
	return g_strndup(text.bytes ? text.bytes : "", text.size);
}

void caller_request_init(struct caller_request *r,
			 const struct http_exchange *exchange,
			 const struct header_names *names,
			 const struct call_origin *origin)
{
	struct http_text body = http_exchange_body(exchange);
	char number[16];

	r->method = text_dup(http_exchange_method(exchange));
	r->host = text_dup(http_exchange_host(exchange));
	r->path = text_dup(http_exchange_path(exchange));
	r->body = body.size ? g_memdup2(body.bytes, body.size) : NULL;
	r->body_size = body.size;
	r->headers = g_ptr_array_new_with_free_func(header_free);
	copy_headers(r->headers, exchange, names, origin->has_accounts);
	if (names->caller_service && *origin->service)
		add_header(r->headers, names->caller_service, origin->service);
	if (names->account && origin->account)
		add_header(r->headers, names->account, origin->account);
	if (names->depth) {
		g_snprintf(number, sizeof(number), "%u", origin->depth + 1);
		add_header(r->headers, names->depth, number);
	}
}

const char *caller_request_header(const struct caller_request *r,
				  const char *name)
{
	for (guint i = 0; name && i < r->headers->len; i++) {
		const Fescue__Header *h = g_ptr_array_index(r->headers, i);

		if (!strcmp(h->name, name))
			return h->value;
	}
	return NULL;
}

void caller_request_clear(struct caller_request *r)
{
	g_free(r->method);
	g_free(r->host);
	g_free(r->path);
	g_free(r->body);
	if (r->headers)
		g_ptr_array_free(r->headers, TRUE);
	memset(r, 0, sizeof(*r));
}

Fescue__Packet *call_request_create(const struct caller_request *source)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CALL_REQUEST);
	Fescue__CallRequest *request = packet->call_request;
	guint n = source->headers->len;

	packet_set_string(&request->method, source->method);
	packet_set_string(&request->path, source->path);
	packet_set_string(&request->host, source->host);
	packet_set_bytes(&request->body, source->body, source->body_size);
	request->headers = g_new(Fescue__Header *, n + 1);
	for (guint i = 0; i < n; i++) {
		const Fescue__Header *h = g_ptr_array_index(source->headers, i);
		struct http_text name = { h->name, strlen(h->name) };
		struct http_text value = { h->value, strlen(h->value) };

		request->headers[request->n_headers++] =
			header_create(name, value);
	}
	return packet;
}

/*
 * Host and service are encoded as headers. No header of a caller has these
 * names, because a field name cannot contain a colon.
 */
#define HOST_NAME ":host"
#define SERVICE_NAME ":service"
#define ADDED_HEADERS_COUNT 2

/* Takes ownership of value. */
static Fescue__Header *header_create_owned(const char *name, char *value)
{
	Fescue__Header *header = g_new(Fescue__Header, 1);

	fescue__header__init(header);
	header->name = g_strdup(name);
	header->value = value;
	return header;
}

void call_request_encode(struct header_encoder *encoder,
			 Fescue__CallRequest *request)
{
	size_t n = request->n_headers;

	request->headers = g_renew(Fescue__Header *, request->headers,
				   n + ADDED_HEADERS_COUNT);
	request->headers[n++] = header_create_owned(HOST_NAME, request->host);
	request->headers[n++] =
		header_create_owned(SERVICE_NAME, request->service);
	request->host = (char *)protobuf_c_empty_string;
	request->service = (char *)protobuf_c_empty_string;
	request->n_headers = n;
	header_encode(encoder, request->headers, n);
}

/* Remove the last header, which must have this name, and return its value. */
static int remove_last_header(Fescue__CallRequest *request, const char *name,
			      char **value)
{
	Fescue__Header *last;

	if (!request->n_headers)
		return FESCUE_EINVAL;
	last = request->headers[request->n_headers - 1];
	if (strcmp(last->name, name))
		return FESCUE_EINVAL;
	*value = last->value;
	last->value = (char *)protobuf_c_empty_string;
	fescue__header__free_unpacked(last, NULL);
	request->n_headers--;
	return FESCUE_OK;
}

int call_request_decode(struct header_decoder *decoder,
			Fescue__CallRequest *request)
{
	if (header_decode(decoder, request->headers, request->n_headers) ||
	    remove_last_header(request, SERVICE_NAME, &request->service) ||
	    remove_last_header(request, HOST_NAME, &request->host))
		return FESCUE_EINVAL;
	return FESCUE_OK;
}

const char *call_request_header(const Fescue__CallRequest *r, const char *name)
{
	for (size_t i = 0; name && i < r->n_headers; i++)
		if (!strcmp(r->headers[i]->name, name))
			return r->headers[i]->value;
	return NULL;
}
