/*
 * A server that sends without being asked, for tests of bounds.
 */
#ifndef FESCUE_TEST_ENDLESS_SERVER_H
#define FESCUE_TEST_ENDLESS_SERVER_H

#include "scripted_peer.h"

#include <atomic>
#include <map>

/*
 * A server that sends the same bytes on each connection, without reading, and
 * keeps it open.
 */
struct endless_server {
	std::string bytes;
	int listener;
	struct address address = { 0x7f000001, 0 };
	std::atomic<bool> stop{ false };
	std::thread thread;

	explicit endless_server(std::string b) : bytes(std::move(b))
	{
		listener = listen_on_loopback(SOCK_NONBLOCK, 200, &address);
		thread = std::thread([this] { serve(); });
	}
	~endless_server()
	{
		stop = true;
		thread.join();
		close(listener);
	}
	void serve()
	{
		std::map<int, size_t> sent; /* by connection */

		while (!stop) {
			int fd = accept4(listener, nullptr, nullptr,
					 SOCK_NONBLOCK);

			if (fd >= 0)
				sent[fd] = 0;
			for (auto &s : sent) {
				ssize_t n = write(s.first,
						  bytes.data() + s.second,
						  bytes.size() - s.second);

				s.second += n > 0 ? (size_t)n : 0;
			}
		}
		for (auto &s : sent)
			close(s.first);
	}
};

#endif
