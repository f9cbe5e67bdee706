/*
 * Answer memory: what became of calls that other nodes sent here.
 *
 * When a link breaks, the sender asks what became of a call. A call that is
 * not known is barred for good, so that "not run" stays true if its request
 * arrives late. Answers are kept for a while, within a bound of bytes; that a
 * call came is known for longer. The module owns no socket and reads no clock.
 */
#ifndef FESCUE_ANSWER_MEMORY_H
#define FESCUE_ANSWER_MEMORY_H

#include <stddef.h>
#include <stdint.h>

/* A sender that lost its link asks within its connect time-out, twice over. */
#define ANSWER_MEMORY_MS 4000
/* A request may stay in a broken connection's buffers for this long. */
#define ANSWER_BARRED_MS 30000
/* That a call came is known for this long, also without its answer. */
#define ANSWER_SEEN_MS 40000
#define ANSWER_MEMORY_BYTES ((size_t)2 << 20)

struct answer_memory;

/* release frees the answers that are remembered. */
struct answer_memory *answer_memory_create(void (*release)(void *answer));
void answer_memory_destroy(struct answer_memory *memory);

/* Keep an answer of size bytes; takes ownership. */
void answer_memory_keep(struct answer_memory *memory, uint64_t from,
			uint64_t call_id, void *answer, size_t size,
			uint64_t now_ms);

/* The call came; it may run. */
void answer_memory_see(struct answer_memory *memory, uint64_t from,
		       uint64_t call_id, uint64_t now_ms);

/* The call must never run here. */
void answer_memory_bar(struct answer_memory *memory, uint64_t from,
		       uint64_t call_id, uint64_t now_ms);

enum answer_fate {
	ANSWER_UNKNOWN, /* the call never came, or long ago */
	ANSWER_KEPT,
	ANSWER_BARRED,
	ANSWER_FORGOTTEN, /* the call came; its answer is kept no more */
};

/* *answer is set on ANSWER_KEPT and stays owned by the memory. */
enum answer_fate answer_memory_find(const struct answer_memory *memory,
				    uint64_t from, uint64_t call_id,
				    void **answer);

/* Forget what is old. */
void answer_memory_expire(struct answer_memory *memory, uint64_t now_ms);

size_t answer_memory_bytes(const struct answer_memory *memory);

#endif
