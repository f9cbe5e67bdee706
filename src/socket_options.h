/*
 * Options of the TCP sockets to peers, backend servers and the store: an
 * unresponsive remote end is detected within a few seconds.
 */
#ifndef FESCUE_SOCKET_OPTIONS_H
#define FESCUE_SOCKET_OPTIONS_H

#include <uv.h>

/* Enable no-delay and keep-alive, and limit the time without TCP ACK. */
void socket_options_set(uv_tcp_t *tcp);

/*
 * To be called after UV_EOF: returns 1 if the connection was reset instead of
 * closed, which libuv does not always report. An answer without a length is
 * complete only if the connection was closed.
 */
int socket_was_reset(const uv_tcp_t *tcp);

#endif
