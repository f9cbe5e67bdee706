/* The probe of an address whose server sends bytes that nobody asked for. */
#include "endless_server.h"

#include <csignal>

extern "C" {
#include "connect_probe.h"
}

namespace
{

struct probing {
	uv_loop_t *loop = uv_default_loop();
	uv_timer_t ticker;
	int ticks = 0; /* one each 5 ms, if nothing holds the loop up */
	int result = -1;

	static void on_done(void *data, enum connect_probe_result result)
	{
		((probing *)data)->result = result;
	}
	int run(struct address address)
	{
		signal(SIGPIPE, SIG_IGN);
		uv_update_time(loop);
		uv_timer_init(loop, &ticker);
		ticker.data = this;
		uv_timer_start(
			&ticker,
			[](uv_timer_t *t) { ((probing *)t->data)->ticks++; }, 0,
			5);
		connect_probe_start(loop, address, 200, on_done, this);
		while (result < 0)
			uv_run(loop, UV_RUN_ONCE);
		uv_close((uv_handle_t *)&ticker, nullptr);
		uv_run(loop, UV_RUN_DEFAULT);
		return result;
	}
};

/* A process that sends is there, whatever its bytes are worth. */
TEST(connect_probe, endless_bytes_do_not_hold_up_the_probe)
{
	for (const std::string &bytes : { std::string("HTTP/1.1 000 X\r\n\r\n"),
					  std::string(50000000, 'a') }) {
		endless_server server(bytes);
		probing p;
		uint64_t begin = uv_hrtime();

		EXPECT_EQ(p.run(server.address), CONNECT_PROBE_LISTENS);
		EXPECT_LT(uv_hrtime() - begin, 200000000u);
		EXPECT_GE(p.ticks, 3);
	}
}

TEST(connect_probe, nobody_listens_at_a_closed_port)
{
	struct address address = { 0x7f000001, 0 };
	int listener = listen_on_loopback(0, 8, &address);

	close(listener);
	EXPECT_EQ(probing().run(address), CONNECT_PROBE_REFUSED);
}

/* A process that ends may still accept. */
TEST(connect_probe, bytes_before_a_close_do_not_make_a_listener)
{
	for (bool reset : { false, true }) {
		struct address address = { 0x7f000001, 0 };
		int listener = listen_on_loopback(0, 8, &address);
		std::thread server([&] {
			int fd = accept(listener, nullptr, nullptr);
			struct linger linger = { 1, 0 };

			EXPECT_EQ(write(fd, "HTTP/1.1", 8), 8);
			if (reset)
				setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger,
					   sizeof(linger));
			close(fd);
		});

		EXPECT_EQ(probing().run(address), CONNECT_PROBE_REFUSED);
		server.join();
		close(listener);
	}
}

} // namespace
