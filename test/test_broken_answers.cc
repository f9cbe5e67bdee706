/*
 * Nodes as real processes, and backend servers that send broken answers to some
 * requests: no caller gets one, and the requests of others are served.
 */
#include "caller_fleet.h"

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

namespace
{

const int NODES = 3;
const int BROKEN_AT_ONCE = 90;
const size_t SMALLEST_MACHINE_KB = 160 << 10;

/* What is sent for a request to /safe/N or /unsafe/N, N from 1. */
struct broken_kind {
	const char *name;
	std::string status_line, rest;
	std::string repeated = {}; /* without end */
	bool resets = false;
};

const std::string fill(1000, 'a');
const char ok[] = "HTTP/1.1 200 OK\r\n";
const char chunked[] = "transfer-encoding: chunked\r\n\r\n";
const broken_kind kinds[] = {
	{ "status 000", "HTTP/1.1 000 X\r\n", "content-length: 3\r\n\r\nbad" },
	{ "status 700", "HTTP/1.1 700 X\r\n", "content-length: 3\r\n\r\nbad" },
	{ "blank in a name", ok, "X Odd: v\r\ncontent-length: 3\r\n\r\nbad" },
	{ "blank behind a name", ok,
	  "X-Odd : v\r\ncontent-length: 3\r\n\r\nbad" },
	{ "control byte in a name", ok,
	  "X\x01Odd: v\r\ncontent-length: 3\r\n\r\nbad" },
	{ "endless status line", "HTTP/1.1 200 ", "", fill },
	{ "endless field", ok, "x: ", fill },
	{ "endless fields", ok, "", "x: v\r\n" },
	{ "endless body", ok, "\r\n", fill },
	{ "endless chunks", ok, chunked, "3e8\r\n" + fill + "\r\n" },
	{ "endless chunk extension", ok, std::string(chunked) + "1;", fill },
	{ "endless trailer", ok, std::string(chunked) + "0\r\n", "x: v\r\n" },
	{ "endless interim answers", "", "", "HTTP/1.1 100 X\r\n\r\n" },
	{ "long answers to another request", ok,
	  PLATFORM_HEADER_REQUEST_ID ": other\r\n"
				     "content-length: 3500000\r\n\r\n" +
		  std::string(3500000, 'a') },
	{ "reset without a length", ok, "\r\nbad", "", true },
};

/* A connection of the server below. */
struct peer {
	std::string in, out;
	const broken_kind *kind; /* what goes on being sent, or NULL */
};

/* Answers in a thread of its own, since it may send as fast as it can. */
struct byte_server {
	struct address address = { 0x7f000001, 0 };
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	std::atomic<bool> stop{ false };
	std::atomic<uint64_t> broken_sent{ 0 };
	std::map<int, peer> peers;
	std::thread thread;

	byte_server()
	{
		struct sockaddr_in in = address_to_sockaddr(address);
		socklen_t size = sizeof(in);

		EXPECT_EQ(bind(listener, (struct sockaddr *)&in, size), 0);
		EXPECT_EQ(listen(listener, 1000), 0);
		getsockname(listener, (struct sockaddr *)&in, &size);
		address.port = ntohs(in.sin_port);
		thread = std::thread([this] { serve(); });
	}
	~byte_server()
	{
		stop = true;
		thread.join();
		for (auto &p : peers)
			close(p.first);
		close(listener);
	}
	void serve()
	{
		while (!stop) {
			int fd = accept4(listener, nullptr, nullptr,
					 SOCK_NONBLOCK);

			if (fd >= 0)
				peers[fd] = {};
			for (auto p = peers.begin(); p != peers.end();)
				if (serve_peer(p->first, p->second)) {
					p++;
				} else {
					close(p->first);
					p = peers.erase(p);
				}
			usleep(200);
		}
	}
	/* Returns false if the connection is to be closed. */
	bool serve_peer(int fd, peer &p)
	{
		char buf[65536];
		ssize_t n = p.kind ? -1 : read(fd, buf, sizeof(buf));

		if (n == 0)
			return false;
		if (n > 0)
			p.in.append(buf, (size_t)n);
		if (p.in.find("\r\n\r\n") != std::string::npos && !p.kind)
			answer(p);
		while (p.kind && !p.kind->repeated.empty() &&
		       p.out.size() < sizeof(buf))
			p.out += p.kind->repeated;
		n = send(fd, p.out.data(), p.out.size(), MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN)
			return false;
		p.out.erase(0, n > 0 ? (size_t)n : 0);
		if (!p.kind || !p.kind->resets || !p.out.empty())
			return true;
		struct linger linger = { 1, 0 };
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		return false;
	}
	void answer(peer &p)
	{
		std::string path = p.in.substr(0, p.in.find(" HTTP"));
		size_t number =
			strtoull(&path[path.rfind('/') + 1], nullptr, 10);
		std::string name = PLATFORM_HEADER_REQUEST_ID ": ";
		std::string id = p.in.substr(p.in.find(name));
		std::string fields = id.substr(0, id.find("\r\n") + 2) +
				     PLATFORM_HEADER_SIGNATURE ": s\r\n";

		p.in.clear();
		if (!number) {
			p.out += ok + fields + "content-length: 1\r\n\r\nx";
			return;
		}
		p.kind = &kinds[number - 1];
		broken_sent++;
		p.out = p.kind->status_line;
		if (p.kind->status_line.find("\r\n") != std::string::npos &&
		    p.kind->rest.find(PLATFORM_HEADER_REQUEST_ID) != 0)
			p.out += fields;
		p.out += p.kind->rest;
	}
};

struct tally {
	uint64_t pending = 0, served = 0, failed = 0;
	std::vector<std::string> wrong; /* answers that no server has made */
};

struct broken_fleet {
	caller_fleet fleet;
	std::vector<std::unique_ptr<byte_server>> servers;
	tally broken, sound; /* requests that get broken answers; others */
	uint64_t ids = 0;

	broken_fleet() : fleet(4200, NODES, 30)
	{
		for (auto &s : fleet.servers) {
			char text[ADDRESS_TEXT_BYTES];

			servers.push_back(std::make_unique<byte_server>());
			address_format(servers.back()->address, text);
			s->address = text;
		}
		/* AddressSanitizer keeps freed memory, 256 MB unless told. */
		setenv("ASAN_OPTIONS", "quarantine_size_mb=8", 0);
		fleet.f.start_all();
		fleet.run_for(4000);
	}
	static void on_answer(void *data, const struct http_result *result)
	{
		auto *t = (tally *)data;
		std::string body(result->body, result->body_size);
		int status = result->error ? 0 : result->status;

		t->pending--;
		if (result->reason)
			t->wrong.push_back(result->reason);
		else if (status == 200 && body == "x")
			t->served++;
		else if (!status || status == 502 || status == 503 ||
			 status == 504)
			t->failed++;
		else
			t->wrong.push_back(std::to_string(status) + " " +
					   body.substr(0, 40));
	}
	void send(size_t kind, bool safe, const std::string &body, tally &t)
	{
		std::string id = "b" + std::to_string(++ids);
		std::string path = std::string(safe ? "/safe/" : "/unsafe/") +
				   (kind ? std::to_string(kind) : "x");
		struct http_header headers[] = {
			{ PLATFORM_HEADER_REQUEST_ID, id.c_str() },
			{ "fescuehitch-deadline-ms", "3000" },
		};
		struct http_request http = {};

		http.method = safe ? "GET" : "POST";
		http.path = path.c_str();
		http.host = "h.example";
		http.headers = headers;
		http.header_count = 2;
		http.body = body.data();
		http.body_size = body.size();
		http.timeout_ms = 5000;
		t.pending++;
		http_pool_send(fleet.f.nodes[ids % NODES]->callers, &http,
			       on_answer, &t);
	}
	/* Sound requests go on until all broken ones have ended. */
	void play(size_t kind, int count, const std::string &body)
	{
		uint64_t sent = 0;

		for (auto &s : servers)
			s->broken_sent = 0;
		broken = {};
		sound = {};
		for (int i = 0; i < count; i++)
			send(kind, body.empty() && i % 2, body, broken);
		while (broken.pending || sound.pending) {
			if (broken.pending)
				send(0, true, "", sound);
			fleet.run_for(10);
		}
		for (auto &s : servers)
			sent += s->broken_sent;
		const char *name = kinds[kind - 1].name;
		EXPECT_GT(sent, 0u) << name;
		EXPECT_EQ(broken.served, 0u) << name;
		EXPECT_TRUE(broken.wrong.empty())
			<< name << ": " << broken.wrong.size() << " such as "
			<< broken.wrong[0];
		EXPECT_TRUE(sound.wrong.empty()) << name;
		EXPECT_GT(sound.served, 0u) << name;
		if (getenv("FESCUE_FLEET_VERBOSE"))
			std::cerr << name << ": " << sent << " sent, "
				  << broken.failed << " failed, "
				  << sound.served << " others served, "
				  << sound.failed << " failed; peak "
				  << peak_kb() << " KB\n";
	}
	/* Of the largest node. */
	size_t peak_kb()
	{
		size_t peak = 0;

		for (auto &node : fleet.f.nodes) {
			std::ifstream status("/proc/" +
					     std::to_string(node->pid) +
					     "/status");
			std::string line;

			while (std::getline(status, line))
				if (!line.rfind("VmHWM:", 0))
					peak = std::max(
						peak,
						(size_t)strtoull(&line[6],
								 nullptr, 10));
		}
		return peak;
	}
};

TEST(broken_answers, no_caller_gets_one)
{
	broken_fleet play;

	for (size_t kind = 1; kind <= G_N_ELEMENTS(kinds); kind++)
		if (!kinds[kind - 1].resets)
			play.play(kind, BROKEN_AT_ONCE, "");
	EXPECT_LT(play.peak_kb(), SMALLEST_MACHINE_KB);
	for (size_t kind = 1; kind <= G_N_ELEMENTS(kinds); kind++)
		if (kinds[kind - 1].resets)
			for (int i = 0; i < 8; i++)
				play.play(kind, NODES,
					  std::string(3000000, 'u'));
	for (auto &node : play.fleet.f.nodes)
		EXPECT_EQ(waitpid(node->pid, nullptr, WNOHANG), 0) << "ended";
}

} // namespace
