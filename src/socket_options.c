#include "socket_options.h"

#include "log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Hosts respond in milliseconds; seconds without a response mean failure. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 2000

static void set_option(int fd, int level, int option, int value)
{
	static int reported;

	if (!setsockopt(fd, level, option, &value, sizeof(value)) || reported)
		return;
	reported = 1;
	log_error("cannot set socket option %d: %s; unresponsive peers "
		  "are detected later",
		  option, strerror(errno));
}

void socket_options_set(uv_tcp_t *tcp)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	if (uv_fileno((uv_handle_t *)tcp, &fd))
		return;
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

int socket_was_reset(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)tcp, &fd))
		return 1;
	return recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) != 0;
}
