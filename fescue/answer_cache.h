/*
 * Answer cache: the state of calls that other nodes sent to this node.
 *
 * After losing its link to this node, a sender queries the outcome of its
 * calls. Answers are cached for a while so that they can be sent again, within
 * a limit of bytes. That a call was received is recorded for longer than its
 * answer. A call of which there is no record is blocked, so that the answer
 * "not run" stays true if its request arrives late. Calls are identified by
 * sender and call id. The module uses no socket and reads no clock; all times
 * passed to it are of one monotonic clock.
 */
#ifndef FESCUE_ANSWER_CACHE_H
#define FESCUE_ANSWER_CACHE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Long enough for a sender to detect a silent link in use (1.4 s), to connect
 * again (0.4 s at most) and to query.
 */
#define ANSWER_CACHE_TTL_MS 4000
/* A request may stay in a broken connection's buffers for this long. */
#define ANSWER_BLOCK_TTL_MS 30000
/* Time for which a received call is recorded, with or without its answer. */
#define ANSWER_RECEIVED_TTL_MS 40000
#define ANSWER_CACHE_MAX_BYTES ((size_t)2 << 20)

struct answer_cache;

/* release frees an answer that the cache owns. */
struct answer_cache *answer_cache_create(void (*release)(void *answer));
void answer_cache_destroy(struct answer_cache *cache);

/*
 * Cache the answer of a call; takes ownership. It is released at once if the
 * call is cached or blocked already. size counts towards
 * ANSWER_CACHE_MAX_BYTES; the oldest answers are evicted beyond it.
 */
void answer_cache_store(struct answer_cache *cache, uint64_t from,
			uint64_t call_id, void *answer, size_t size,
			uint64_t now_ms);

/* Record that a call was received and may be executed. */
void answer_cache_record_received(struct answer_cache *cache, uint64_t from,
				  uint64_t call_id, uint64_t now_ms);

/*
 * Block a call, which must then never be executed here. No effect if its answer
 * is cached or it is blocked already.
 */
void answer_cache_block(struct answer_cache *cache, uint64_t from,
			uint64_t call_id, uint64_t now_ms);

enum answer_status {
	ANSWER_NO_RECORD, /* never received, or its record has expired */
	ANSWER_CACHED,
	ANSWER_BLOCKED,
	ANSWER_EXPIRED, /* received, but no answer of it is cached */
};

/*
 * Look up a call. On ANSWER_CACHED, *answer is set and stays owned by the
 * cache; it is valid until the next call that changes the cache.
 */
enum answer_status answer_cache_find(const struct answer_cache *cache,
				     uint64_t from, uint64_t call_id,
				     void **answer);

/* Remove what has expired by now_ms. */
void answer_cache_expire(struct answer_cache *cache, uint64_t now_ms);

/* Bytes of the cached answers. */
size_t answer_cache_bytes(const struct answer_cache *cache);

#endif
