/*
 * Memory budget of a server: what its connections hold of requests and answers,
 * and which of them is closed when the sum exceeds the limit.
 *
 * The connection that holds most is closed first, and of equal ones the one that
 * has held it for the longest time. So a crowd of callers that send without end
 * or do not read costs its own connections, and callers with ordinary requests
 * are never closed for it. The module does no I/O and reads no clock.
 */
#ifndef FESCUE_MEMORY_BUDGET_H
#define FESCUE_MEMORY_BUDGET_H

#include <stddef.h>
#include <stdint.h>

enum memory_use {
	MEMORY_RECEIVING, /* bytes of a request that is not complete */
	MEMORY_PENDING, /* a request that is served; never closed */
	MEMORY_ANSWER, /* an answer that the caller has not read */
};

/*
 * Requests up to this size may fill the whole budget, larger ones only three
 * quarters of it, so that a crowd of long bodies leaves room for ordinary ones.
 */
#define MEMORY_SMALL_BYTES ((size_t)64 << 10)

struct memory_budget;

/* Names a connection; valid until memory_budget_remove(). */
struct memory_handle {
	uint32_t index;
};

struct memory_budget *memory_budget_create(size_t limit_bytes);

/* budget may be NULL. */
void memory_budget_destroy(struct memory_budget *budget);

void memory_budget_set_limit(struct memory_budget *budget, size_t limit_bytes);

struct memory_handle memory_budget_add(struct memory_budget *budget);
void memory_budget_remove(struct memory_budget *budget,
			  struct memory_handle handle);

/* Sets what the connection holds now, and for what. */
void memory_budget_set(struct memory_budget *budget,
		       struct memory_handle handle, enum memory_use use,
		       size_t bytes, uint64_t now_ms);

/* Sum over all connections. */
size_t memory_budget_used(const struct memory_budget *budget);

/* What the connection holds now. */
size_t memory_budget_bytes(const struct memory_budget *budget,
			   struct memory_handle handle);

/* Returns 1 if the connection may hold so many bytes for a pending request. */
int memory_budget_fits(const struct memory_budget *budget,
		       struct memory_handle handle, size_t bytes);

/*
 * Returns 1 if the connection may hold so many bytes of a request that is not
 * complete.
 */
int memory_budget_may_receive(const struct memory_budget *budget,
			      struct memory_handle handle, size_t bytes);

/*
 * Returns 1 and the connection that is closed first to make room for the given
 * one, if any other holds at least min_bytes and may be closed.
 */
int memory_budget_find_other(const struct memory_budget *budget,
			     struct memory_handle handle, size_t min_bytes,
			     struct memory_handle *victim);

/*
 * Returns 1 and the connection to close if the sum exceeds the limit and any
 * connection may be closed. The caller closes it and sets its bytes to 0.
 */
int memory_budget_find_victim(const struct memory_budget *budget,
			      struct memory_handle *victim);

#endif
