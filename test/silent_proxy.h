/*
 * A TCP proxy for tests whose open connections can go silent for good, without
 * being closed, while new ones work.
 */
#ifndef FESCUE_TEST_SILENT_PROXY_H
#define FESCUE_TEST_SILENT_PROXY_H

#include "scripted_peer.h"

#include <atomic>
#include <poll.h>

struct silent_proxy {
	struct connection {
		int fds[2]; /* client, target */
		bool silent;
	};

	struct address address = { 0x7f000001, 0 };
	struct address target;
	int listener;
	std::atomic<bool> stopping{ false }, silence_requested{ false };
	std::vector<connection> connections;
	std::thread thread;

	explicit silent_proxy(struct address target_address)
	    : target(target_address)
	{
		listener = listen_on_loopback(0, 16, &address);
		thread = std::thread([this] { run(); });
	}
	~silent_proxy()
	{
		stopping = true;
		thread.join();
		for (connection &c : connections) {
			close(c.fds[0]);
			close(c.fds[1]);
		}
		close(listener);
	}
	/* Silences the connections that are open now. */
	void silence()
	{
		silence_requested = true;
		while (silence_requested)
			usleep(100);
	}
	void accept_connection()
	{
		struct sockaddr_in in = {};
		connection c = { { accept(listener, nullptr, nullptr),
				   socket(AF_INET, SOCK_STREAM, 0) },
				 false };

		in.sin_family = AF_INET;
		in.sin_addr.s_addr = htonl(target.ip);
		in.sin_port = htons(target.port);
		EXPECT_EQ(connect(c.fds[1], (struct sockaddr *)&in, sizeof(in)),
			  0);
		connections.push_back(c);
	}
	/* Returns false when the connection has ended. */
	bool forward(const connection &c, int from)
	{
		char bytes[65536];
		ssize_t n = read(c.fds[from], bytes, sizeof(bytes));

		if (n <= 0)
			return false;
		return c.silent || write(c.fds[!from], bytes, (size_t)n) == n;
	}
	void run()
	{
		while (!stopping) {
			std::vector<struct pollfd> polled;

			if (silence_requested) {
				for (connection &c : connections)
					c.silent = true;
				silence_requested = false;
			}
			polled.push_back({ listener, POLLIN, 0 });
			for (const connection &c : connections)
				for (int fd : c.fds)
					polled.push_back({ fd, POLLIN, 0 });
			poll(polled.data(), polled.size(), 5);
			for (size_t i = connections.size(); i-- > 0;) {
				connection &c = connections[i];
				bool open = true;

				for (int end = 0; end < 2 && open; end++)
					if (polled[1 + 2 * i + (size_t)end]
						    .revents)
						open = forward(c, end);
				if (open)
					continue;
				close(c.fds[0]);
				close(c.fds[1]);
				connections.erase(connections.begin() +
						  (ptrdiff_t)i);
			}
			if (polled[0].revents)
				accept_connection();
		}
	}
};

#endif
