/*
 * The HTTP client against a peer that misbehaves: answers without a length,
 * cut short, late, doubled, or on connections that it has given up.
 */
#include "scripted_peer.h"

#include <atomic>
#include <csignal>
#include <map>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "call_request.h"
#include "fescue/error.h"
#include "http_client.h"
#include "interface.h"
}

namespace
{

struct answer {
	int done = 0, error = 0, status = 0, reused = 0;
	std::string body;
};

struct client {
	uv_loop_t *loop = uv_default_loop();
	struct http_pool *pool;

	explicit client(struct address address)
	{
		signal(SIGPIPE, SIG_IGN);
		pool = http_pool_create(loop, address, 2);
	}
	~client()
	{
		http_pool_release(pool);
		uv_run(loop, UV_RUN_DEFAULT);
	}
	static void on_done(void *data, const struct http_result *result)
	{
		struct answer *a = (struct answer *)data;

		a->done++;
		a->error = result->error;
		a->status = result->status;
		a->reused = result->reused;
		a->body.assign(result->body, result->body_size);
	}
	/* pause_us: how long the answer may pile up before it is read. */
	struct answer get(const char *id = "1", useconds_t pause_us = 0)
	{
		struct answer a;
		struct http_header header = { "x-id", id };
		struct http_request request = {};

		request.method = "GET";
		request.path = "/";
		request.headers = &header;
		request.header_count = 1;
		request.echo_name = "x-id";
		request.echo = id;
		request.timeout_ms = 2000;
		http_pool_send(pool, &request, on_done, &a);
		for (int i = 0; pause_us && i < 5; i++)
			uv_run(loop, UV_RUN_NOWAIT);
		usleep(pause_us);
		while (!a.done)
			uv_run(loop, UV_RUN_ONCE);
		return a;
	}
};

/* A server that sends the same to whoever connects, and holds the line. */
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

std::string sized(const char *id, const std::string &body)
{
	return std::string("HTTP/1.1 200 OK\r\nx-id: ") + id +
	       "\r\ncontent-length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

const char unsized[] = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

TEST(http_client, answer_without_length_ends_with_its_connection)
{
	scripted_peer peer({ { unsized + std::string("whole"), step::CLOSE } });
	client c(peer.address);
	struct answer a = c.get();

	EXPECT_EQ(a.error, FESCUE_OK);
	EXPECT_EQ(a.body, "whole");
}

/* The bytes and the reset arrive together, so that one poll shows both. */
TEST(http_client, answer_without_length_that_is_reset_is_not_whole)
{
	for (int i = 0; i < 20; i++) {
		scripted_peer peer(
			{ { unsized + std::string("part"), step::RESET } });
		client c(peer.address);

		EXPECT_EQ(c.get("1", 20000).error, FESCUE_EPARTIAL);
	}
}

TEST(http_client, truncated_answer_is_not_whole)
{
	scripted_peer peer({ { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",
			       step::CLOSE } });
	client c(peer.address);

	EXPECT_EQ(c.get().error, FESCUE_EPARTIAL);
}

TEST(http_client, bytes_that_are_no_answer)
{
	scripted_peer peer({ { "\x16\x03garbage\r\n\r\n", step::KEEP } });
	client c(peer.address);

	EXPECT_EQ(c.get().error, FESCUE_EPARTIAL);
}

/* An answer to an earlier request comes first: it is skipped by its id. */
TEST(http_client, answer_to_another_request_is_skipped)
{
	scripted_peer peer(
		{ { sized("0", "late") + sized("1", "mine"), step::KEEP },
		  { sized("2", "next"), step::KEEP } });
	client c(peer.address);
	struct answer a = c.get("1");

	EXPECT_EQ(a.body, "mine");
	a = c.get("2");
	EXPECT_EQ(a.body, "next");
	EXPECT_FALSE(a.reused);
}

/* The second copy of an answer comes when the connection is in use again. */
TEST(http_client, late_copy_is_not_the_answer_to_the_next_request)
{
	scripted_peer peer(
		{ { sized("1", "one"), step::KEEP, "" },
		  { sized("1", "one") + sized("2", "two"), step::KEEP, "" } });
	client c(peer.address);

	EXPECT_EQ(c.get("1").body, "one");
	struct answer a = c.get("2");
	EXPECT_EQ(a.error, FESCUE_OK);
	EXPECT_EQ(a.body, "two");
	EXPECT_TRUE(a.reused);
}

/* Such a copy that names no request could be anybody's. */
TEST(http_client, late_copy_without_an_id_is_nobodys_answer)
{
	const std::string copy = "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\n"
				 "content-length: 3\r\n\r\none";

	scripted_peer peer({ { sized("1", "one"), step::KEEP, "" },
			     { copy + sized("2", "two"), step::HANG, "" },
			     { copy, step::KEEP, "" },
			     { copy, step::KEEP, "" } });
	client c(peer.address);

	EXPECT_EQ(c.get("1").error, FESCUE_OK);
	struct answer a = c.get("2");
	EXPECT_TRUE(a.reused);
	EXPECT_EQ(a.error, FESCUE_EPARTIAL);
	/* The first answer of a new connection is to its only request. */
	EXPECT_EQ(c.get("3").status, 503);
	EXPECT_FALSE(c.get("4").reused);
}

/* A server that sends without end: each call ends soon, with an error. */
TEST(http_client, answers_without_end_are_given_up)
{
	const std::string head = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = head + "transfer-encoding: chunked\r\n\r\n";
	const std::string kilobyte(1024, 'a');
	const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
	const std::string foreign = sized("0", "zero");
	const struct {
		const char *what;
		std::string first, again;
	} floods[] = {
		{ "status line", "HTTP/1.1 200 ", kilobyte },
		{ "header name", head, kilobyte },
		{ "header value", head + "x-long: ", kilobyte },
		{ "headers", head, "x-more: 1\r\n" },
		{ "interim answers", "", interim },
		{ "answers to another request", "", foreign },
		{ "chunks", chunked, "400\r\n" + kilobyte + "\r\n" },
		{ "chunk extension", chunked + "1;x=", kilobyte },
		{ "trailers", chunked + "0\r\n", "x-more: 1\r\n" },
		{ "trailer", chunked + "0\r\nx-long: ", kilobyte },
		{ "body without a length", head + "\r\n", kilobyte },
		{ "body with a huge length",
		  head + "content-length: 99999999999\r\n\r\n", kilobyte },
	};

	for (const auto &flood : floods) {
		scripted_peer peer(
			{ { flood.first, step::FLOOD, flood.again } });
		client c(peer.address);
		uint64_t begin = uv_hrtime();
		struct answer a = c.get("1");

		EXPECT_TRUE(a.error == FESCUE_EPARTIAL ||
			    a.error == FESCUE_ETOOBIG)
			<< flood.what << ": " << a.error;
		EXPECT_LT(uv_hrtime() - begin, 1000000000u) << flood.what;
	}
}

/* A hundred such answers at once are held in bounded memory. */
TEST(http_client, bodies_held_at_once_are_bounded)
{
	const int calls = 100;
	const std::string part(HTTP_MAX_BODY_BYTES / 4, 'a');
	std::vector<struct answer> answers(calls);
	struct http_request request = {};
	size_t held = 0;
	uv_loop_t *loop = uv_default_loop();

	signal(SIGPIPE, SIG_IGN);
	endless_server server("HTTP/1.1 200 OK\r\n\r\n" + part);
	struct http_pool *pool = http_pool_create(loop, server.address, 2);
	request.method = "GET";
	request.path = "/";
	request.timeout_ms = 1500;
	for (struct answer &a : answers)
		http_pool_send(pool, &request, client::on_done, &a);
	for (struct answer &a : answers)
		while (!a.done) {
			uv_run(loop, UV_RUN_ONCE);
			held = std::max(held, http_pool_body_bytes(pool));
		}
	EXPECT_LE(held, 4 * HTTP_MAX_BODY_BYTES);
	EXPECT_GT(held, 2 * HTTP_MAX_BODY_BYTES);
	for (struct answer &a : answers)
		EXPECT_NE(a.error, FESCUE_OK);
	http_pool_release(pool);
	uv_run(loop, UV_RUN_DEFAULT);
}

TEST(http_client, connection_with_bytes_left_over_is_not_used_again)
{
	scripted_peer peer({ { sized("1", "mine") + "extra", step::KEEP },
			     { sized("2", "next"), step::KEEP } });
	client c(peer.address);

	EXPECT_EQ(c.get("1").body, "mine");
	EXPECT_FALSE(c.get("2").reused);
}

TEST(http_client, good_connection_is_used_again)
{
	scripted_peer peer({ { sized("1", "one"), step::KEEP },
			     { sized("2", "two"), step::KEEP } });
	client c(peer.address);

	EXPECT_EQ(c.get("1").body, "one");
	EXPECT_TRUE(c.get("2").reused);
	EXPECT_EQ(http_pool_opened(c.pool), 1u);
}

/* The end of an idle connection is seen before it is chosen again. */
TEST(http_client, idle_connection_that_ended_is_not_used)
{
	scripted_peer peer({ { sized("1", "one"), step::CLOSE },
			     { sized("2", "two"), step::KEEP } });
	client c(peer.address);
	struct answer a;

	EXPECT_EQ(c.get("1").body, "one");
	usleep(20000);
	uv_run(c.loop, UV_RUN_NOWAIT);
	a = c.get("2");
	EXPECT_EQ(a.body, "two");
	EXPECT_FALSE(a.reused);
}

struct held {
	struct http_exchange *exchange = nullptr;
	struct caller_request request_copy = {};
	int gone = 0;
};

void on_gone(void *data)
{
	((struct held *)data)->gone = 1;
}

void hold(void *data, struct http_exchange *exchange)
{
	struct held *h = (struct held *)data;

	h->exchange = exchange;
	caller_request_init(&h->request_copy, exchange,
			    interface_headers(INTERFACE_PLATFORM), "mine", 0);
	http_exchange_on_close(exchange, on_gone, h);
}

/*
 * Bytes that come while a request waits move the server's buffer; a later
 * attempt must still send the body that the caller sent.
 */
TEST(http_client, request_of_a_waiting_call_stays_as_it_was)
{
	uv_loop_t *loop = uv_default_loop();
	struct address address = { 0x7f000001, 47171 };
	struct sockaddr_in in = address_to_sockaddr(address);
	struct http_server *server;
	struct held h;
	std::string more(100000, 'x');
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	const char request[] = "POST /pay HTTP/1.1\r\nHost: shop.example\r\n"
			       "Fescuehitch-Caller-Service: forged\r\n"
			       "Content-Length: 7\r\n\r\ndeposit";

	ASSERT_EQ(http_server_create(loop, address, hold, &h, &server),
		  FESCUE_OK);
	ASSERT_EQ(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	ASSERT_GT(write(fd, request, strlen(request)), 0);
	while (!h.exchange)
		uv_run(loop, UV_RUN_ONCE);
	ASSERT_GT(send(fd, more.data(), more.size(), MSG_DONTWAIT), 0);
	for (int i = 0; i < 5; i++)
		uv_run(loop, UV_RUN_NOWAIT);
	Fescue__Packet *packet = call_request_create(&h.request_copy);
	Fescue__CallRequest *r = packet->call_request;
	EXPECT_EQ(std::string((char *)r->body.data, r->body.len), "deposit");
	EXPECT_STREQ(r->path, "/pay");
	EXPECT_STREQ(r->host, "shop.example");
	ASSERT_EQ(r->n_headers, 1u) << "the caller's own is dropped";
	EXPECT_STREQ(r->headers[0]->value, "mine");
	packet_destroy(packet);
	caller_request_clear(&h.request_copy);
	if (!h.gone)
		http_exchange_reply_text(h.exchange, 200, "text/plain", "");
	close(fd);
	http_server_stop(server);
	for (int i = 0; i < 20; i++)
		uv_run(loop, UV_RUN_NOWAIT);
}

} // namespace
