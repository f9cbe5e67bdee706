#include "inbound_bodies.h"

#include "fescue/error.h"

#include <string.h>

struct inbound_bodies {
	size_t limit_bytes;
	size_t used_bytes;
	GArray *partial; /* struct partial_request; few, as each is long */
};

struct inbound_bodies *inbound_bodies_create(size_t limit_bytes)
{
	struct inbound_bodies *b = g_new0(struct inbound_bodies, 1);

	b->limit_bytes = limit_bytes;
	b->partial = g_array_new(FALSE, FALSE, sizeof(struct partial_request));
	return b;
}

void inbound_bodies_destroy(struct inbound_bodies *b)
{
	struct partial_request partial;

	if (!b)
		return;
	while (inbound_bodies_take_of(b, 0, &partial))
		fescue__call_request__free_unpacked(partial.request, NULL);
	g_array_free(b->partial, TRUE);
	g_free(b);
}

int inbound_bodies_reserve(struct inbound_bodies *b, uint64_t bytes)
{
	if (bytes <= INBOUND_BODY_SHORT_BYTES)
		return FESCUE_OK;
	if (bytes > (b->limit_bytes - b->used_bytes) / INBOUND_BODY_COPIES)
		return FESCUE_EUNAVAILABLE;
	b->used_bytes += (size_t)bytes * INBOUND_BODY_COPIES;
	return FESCUE_OK;
}

void inbound_bodies_release(struct inbound_bodies *b, uint64_t bytes)
{
	if (bytes > INBOUND_BODY_SHORT_BYTES)
		b->used_bytes -= (size_t)bytes * INBOUND_BODY_COPIES;
}

size_t inbound_bodies_used(const struct inbound_bodies *b)
{
	return b->used_bytes;
}

void inbound_bodies_start(struct inbound_bodies *b, uint64_t from,
			  Fescue__CallRequest *request, uint64_t now_ms)
{
	struct partial_request partial = {
		.from = from,
		.request = request,
		.started_ms = now_ms,
		.deadline_ms = now_ms + request->deadline_ms,
	};

	request->body.data =
		g_realloc(request->body.data, (size_t)request->body_bytes);
	g_array_append_val(b->partial, partial);
}

static struct partial_request *get(const struct inbound_bodies *b, guint i)
{
	return &g_array_index(b->partial, struct partial_request, i);
}

static int find(const struct inbound_bodies *b, uint64_t from, uint64_t call_id,
		guint *index)
{
	for (guint i = 0; i < b->partial->len; i++) {
		if (get(b, i)->from != from ||
		    get(b, i)->request->call_id != call_id)
			continue;
		*index = i;
		return 1;
	}
	return 0;
}

static void take_at(struct inbound_bodies *b, guint i,
		    struct partial_request *out)
{
	*out = *get(b, i);
	g_array_remove_index_fast(b->partial, i);
}

static int fits(const Fescue__CallRequest *request,
		const Fescue__CallBody *part)
{
	return part->offset == request->body.len &&
	       part->data.len <= request->body_bytes - request->body.len;
}

enum body_progress inbound_bodies_add(struct inbound_bodies *b, uint64_t from,
				      const Fescue__CallBody *part,
				      struct partial_request *out)
{
	Fescue__CallRequest *request;
	guint i;

	out->request = NULL;
	if (!find(b, from, part->call_id, &i))
		return BODY_UNKNOWN;
	request = get(b, i)->request;
	if (!fits(request, part)) {
		take_at(b, i, out);
		return BODY_UNKNOWN;
	}
	if (part->data.len)
		memcpy(request->body.data + request->body.len, part->data.data,
		       part->data.len);
	request->body.len += part->data.len;
	if (request->body.len < request->body_bytes)
		return BODY_PARTIAL;
	take_at(b, i, out);
	return BODY_COMPLETE;
}

int inbound_bodies_take(struct inbound_bodies *b, uint64_t from,
			uint64_t call_id, struct partial_request *out)
{
	guint i;

	if (!find(b, from, call_id, &i))
		return 0;
	take_at(b, i, out);
	return 1;
}

int inbound_bodies_take_of(struct inbound_bodies *b, uint64_t from,
			   struct partial_request *out)
{
	for (guint i = 0; i < b->partial->len; i++) {
		if (from && get(b, i)->from != from)
			continue;
		take_at(b, i, out);
		return 1;
	}
	return 0;
}

int inbound_bodies_take_expired(struct inbound_bodies *b, uint64_t now_ms,
				struct partial_request *out)
{
	for (guint i = 0; i < b->partial->len; i++) {
		if (now_ms < get(b, i)->deadline_ms)
			continue;
		take_at(b, i, out);
		return 1;
	}
	return 0;
}

uint32_t inbound_bodies_count(const struct inbound_bodies *b)
{
	return b->partial->len;
}
