#include "ack_queue.h"

#include <glib.h>

struct pending_ack {
	struct ack_queue *queue;
	struct http_exchange *exchange;
	uint64_t deadline_ms;
};

struct ack_queue {
	GQueue pending; /* struct pending_ack, the oldest at the head */
	void (*acknowledge)(struct http_exchange *exchange);
};

struct ack_queue *
ack_queue_create(void (*acknowledge)(struct http_exchange *exchange))
{
	struct ack_queue *queue = g_new0(struct ack_queue, 1);

	g_queue_init(&queue->pending);
	queue->acknowledge = acknowledge;
	return queue;
}

void ack_queue_destroy(struct ack_queue *queue)
{
	if (!queue)
		return;
	g_queue_clear_full(&queue->pending, g_free);
	g_free(queue);
}

static void on_closed(void *data)
{
	struct pending_ack *ack = data;

	g_queue_remove(&ack->queue->pending, ack);
	g_free(ack);
}

void ack_queue_add(struct ack_queue *queue, struct http_exchange *exchange,
		   uint64_t deadline_ms)
{
	struct pending_ack *ack = g_new0(struct pending_ack, 1);

	ack->queue = queue;
	ack->exchange = exchange;
	ack->deadline_ms = deadline_ms;
	g_queue_push_tail(&queue->pending, ack);
	http_exchange_on_close(exchange, on_closed, ack);
}

static void acknowledge_first(struct ack_queue *queue)
{
	struct pending_ack *ack = g_queue_pop_head(&queue->pending);

	queue->acknowledge(ack->exchange);
	g_free(ack);
}

void ack_queue_expire(struct ack_queue *queue, uint64_t now_ms)
{
	const struct pending_ack *ack;

	while ((ack = g_queue_peek_head(&queue->pending)) &&
	       now_ms >= ack->deadline_ms)
		acknowledge_first(queue);
}

void ack_queue_release(struct ack_queue *queue)
{
	while (!g_queue_is_empty(&queue->pending))
		acknowledge_first(queue);
}
