#include "fescue/memory_budget.h"

#include <assert.h>
#include <glib.h>

struct entry {
	int in_use;
	enum memory_use use;
	size_t bytes;
	uint64_t since_ms; /* when bytes became nonzero in this use */
};

struct memory_budget {
	size_t limit_bytes;
	size_t used_bytes;
	GArray *entries; /* struct entry, by handle */
	GArray *free; /* uint32_t: unused indices of entries */
};

struct memory_budget *memory_budget_create(size_t limit_bytes)
{
	struct memory_budget *b = g_new0(struct memory_budget, 1);

	b->limit_bytes = limit_bytes;
	b->entries = g_array_new(FALSE, TRUE, sizeof(struct entry));
	b->free = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return b;
}

void memory_budget_destroy(struct memory_budget *b)
{
	if (!b)
		return;
	g_array_free(b->entries, TRUE);
	g_array_free(b->free, TRUE);
	g_free(b);
}

void memory_budget_set_limit(struct memory_budget *b, size_t limit_bytes)
{
	b->limit_bytes = limit_bytes;
}

static struct entry *get_entry(const struct memory_budget *b,
			       struct memory_handle handle)
{
	struct entry *entry =
		&g_array_index(b->entries, struct entry, handle.index);

	assert(handle.index < b->entries->len && entry->in_use);
	return entry;
}

struct memory_handle memory_budget_add(struct memory_budget *b)
{
	struct entry entry = { .in_use = 1 };
	struct memory_handle handle = { b->entries->len };

	if (!b->free->len) {
		g_array_append_val(b->entries, entry);
		return handle;
	}
	handle.index = g_array_index(b->free, uint32_t, b->free->len - 1);
	g_array_set_size(b->free, b->free->len - 1);
	g_array_index(b->entries, struct entry, handle.index) = entry;
	return handle;
}

void memory_budget_remove(struct memory_budget *b, struct memory_handle handle)
{
	struct entry *entry = get_entry(b, handle);

	b->used_bytes -= entry->bytes;
	entry->bytes = 0;
	entry->in_use = 0;
	g_array_append_val(b->free, handle.index);
}

void memory_budget_set(struct memory_budget *b, struct memory_handle handle,
		       enum memory_use use, size_t bytes, uint64_t now_ms)
{
	struct entry *entry = get_entry(b, handle);

	if (!entry->bytes || entry->use != use)
		entry->since_ms = now_ms;
	b->used_bytes += bytes - entry->bytes;
	entry->use = use;
	entry->bytes = bytes;
}

size_t memory_budget_used(const struct memory_budget *b)
{
	return b->used_bytes;
}

size_t memory_budget_bytes(const struct memory_budget *b,
			   struct memory_handle handle)
{
	return get_entry(b, handle)->bytes;
}

static int fits_in(const struct memory_budget *b, struct memory_handle handle,
		   size_t bytes, size_t limit_bytes)
{
	return b->used_bytes - get_entry(b, handle)->bytes + bytes <=
	       limit_bytes;
}

int memory_budget_fits(const struct memory_budget *b,
		       struct memory_handle handle, size_t bytes)
{
	return fits_in(b, handle, bytes, b->limit_bytes);
}

int memory_budget_may_receive(const struct memory_budget *b,
			      struct memory_handle handle, size_t bytes)
{
	return fits_in(b, handle, bytes,
		       bytes <= MEMORY_SMALL_BYTES ?
			       b->limit_bytes :
			       b->limit_bytes - b->limit_bytes / 4);
}

static int goes_before(const struct entry *x, const struct entry *y)
{
	if (x->bytes != y->bytes)
		return x->bytes > y->bytes;
	return x->since_ms < y->since_ms;
}

/* The connection to close first, except for one; NULL if there is none. */
static const struct entry *find_first(const struct memory_budget *b,
				      uint32_t except,
				      struct memory_handle *victim)
{
	const struct entry *best = NULL;

	for (uint32_t i = 0; i < b->entries->len; i++) {
		const struct entry *entry =
			&g_array_index(b->entries, struct entry, i);

		if (!entry->bytes || entry->use == MEMORY_PENDING ||
		    i == except || (best && !goes_before(entry, best)))
			continue;
		best = entry;
		victim->index = i;
	}
	return best;
}

int memory_budget_find_other(const struct memory_budget *b,
			     struct memory_handle handle, size_t min_bytes,
			     struct memory_handle *victim)
{
	const struct entry *entry = find_first(b, handle.index, victim);

	return entry && entry->bytes >= min_bytes;
}

int memory_budget_find_victim(const struct memory_budget *b,
			      struct memory_handle *victim)
{
	return b->used_bytes > b->limit_bytes &&
	       find_first(b, UINT32_MAX, victim) != NULL;
}
