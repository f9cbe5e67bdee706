/*
 * A server for tests of clients: a thread that answers each request with the
 * next scripted step, which may be malformed.
 */
#ifndef FESCUE_TEST_SCRIPTED_PEER_H
#define FESCUE_TEST_SCRIPTED_PEER_H

#include "support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "fescue/address.h"
}

/* What the peer sends after a request, and what it does next. */
struct step {
	std::string bytes;
	/*
	 * HANG: read until the client closes.
	 * FLOOD: send flood_bytes repeatedly until the client closes.
	 */
	enum { KEEP, CLOSE, RESET, HANG, FLOOD } end;
	std::string flood_bytes = {};
	useconds_t flood_pause_us = 0; /* after each of them */
};

/* Listen on a free loopback port, which is stored in address->port. */
inline int listen_on_loopback(int flags, int backlog, struct address *address)
{
	struct sockaddr_in in = {};
	socklen_t len = sizeof(in);
	int listener = socket(AF_INET, SOCK_STREAM | flags, 0);

	in.sin_family = AF_INET;
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(listener, (struct sockaddr *)&in, sizeof(in));
	listen(listener, backlog);
	getsockname(listener, (struct sockaddr *)&in, &len);
	address->port = ntohs(in.sin_port);
	return listener;
}

/* Runs one step per request; the next connection goes on with the next step. */
struct scripted_peer {
	int listener;
	struct address address = { 0x7f000001, 0 };
	std::vector<step> steps;
	int connections = 0;
	size_t flooded_bytes = 0; /* accepted by the socket during FLOOD */
	std::vector<std::string> requests; /* first line and body of each */
	std::thread thread;

	explicit scripted_peer(std::vector<step> s) : steps(std::move(s))
	{
		listener = listen_on_loopback(0, 8, &address);
		thread = std::thread([this] { run_steps(); });
	}
	~scripted_peer()
	{
		thread.join();
		close(listener);
	}
	bool read_request(int fd)
	{
		std::string in;
		char buf[4096];
		ssize_t n;

		while (in.find("\r\n\r\n") == std::string::npos) {
			n = read(fd, buf, sizeof(buf));
			if (n <= 0)
				return false;
			in.append(buf, (size_t)n);
		}
		requests.push_back(in.substr(0, in.find("\r\n")) + "\n" +
				   in.substr(in.find("\r\n\r\n") + 4));
		return true;
	}
	void run_steps()
	{
		int fd = -1;
		char discarded[64];

		for (const step &s : steps) {
			while (fd < 0 || !read_request(fd)) {
				if (fd >= 0)
					close(fd);
				fd = accept(listener, nullptr, nullptr);
				connections++;
			}
			EXPECT_EQ(write(fd, s.bytes.data(), s.bytes.size()),
				  (ssize_t)s.bytes.size());
			if (s.end == step::KEEP)
				continue;
			if (s.end == step::FLOOD)
				while (write(fd, s.flood_bytes.data(),
					     s.flood_bytes.size()) > 0) {
					flooded_bytes += s.flood_bytes.size();
					usleep(s.flood_pause_us);
				}
			if (s.end == step::HANG) {
				while (read(fd, discarded, sizeof(discarded)) >
				       0)
					continue;
			}
			if (s.end == step::RESET) {
				struct linger reset = { 1, 0 };

				setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset,
					   sizeof(reset));
			}
			close(fd);
			fd = -1;
		}
		if (fd >= 0)
			close(fd);
	}
};

#endif
