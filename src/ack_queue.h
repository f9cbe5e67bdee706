/*
 * Queue of requests of the backend server whose acknowledgement waits until
 * what they announced is stored. Each waits for a bounded time.
 */
#ifndef FESCUE_ACK_QUEUE_H
#define FESCUE_ACK_QUEUE_H

#include "http_server.h"

#include <stdint.h>

struct ack_queue;

/* acknowledge answers one request. Never returns NULL. */
struct ack_queue *
ack_queue_create(void (*acknowledge)(struct http_exchange *exchange));

/* Requests that still wait are not answered. Does nothing for NULL. */
void ack_queue_destroy(struct ack_queue *queue);

/* Add a request, which is dropped when its caller disconnects. */
void ack_queue_add(struct ack_queue *queue, struct http_exchange *exchange,
		   uint64_t deadline_ms);

/* Acknowledge the requests whose deadline has passed. */
void ack_queue_expire(struct ack_queue *queue, uint64_t now_ms);

/* Acknowledge all requests. */
void ack_queue_release(struct ack_queue *queue);

#endif
