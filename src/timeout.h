/*
 * Timeouts after a stall of the event loop: timers run before the input that has
 * waited is read, so an answer in it would count as missing.
 */
#ifndef FESCUE_TIMEOUT_H
#define FESCUE_TIMEOUT_H

#include <uv.h>

#define TIMEOUT_INPUT_DELAY_MS 1

/*
 * To be called first when a timeout fires. Returns 1 the first time, as told by
 * *deferred: the timer then fires again once the loop has read its input.
 */
static inline int timeout_defer(uv_timer_t *timer, uv_timer_cb callback,
				int *deferred)
{
	if (*deferred)
		return 0;
	*deferred = 1;
	uv_timer_start(timer, callback, TIMEOUT_INPUT_DELAY_MS, 0);
	return 1;
}

#endif
