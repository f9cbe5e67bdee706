/*
 * A fleet of real processes with backend servers and callers, which the test
 * plays in its own loop.
 */
#ifndef FESCUE_TEST_CALLER_FLEET_H
#define FESCUE_TEST_CALLER_FLEET_H

#include "process_fleet.h"

#include <set>
#include <string_view>

extern "C" {
#include "platform/names.h"
}

const uint64_t LATE_MS = 500;
const uint64_t RUN_MS = 200;

enum node_trouble { NODE_STANDS_STILL, NODE_IS_KILLED, NODE_IS_STOPPED };

struct request {
	uint64_t sent_ms, left_ms; /* 0: its caller has not left */
	uint64_t leave_due_ms;
	struct http_call *call;
	int arrivals;
	struct caller_fleet *fleet; /* of a request that it has sent */
};

struct run {
	struct http_exchange *exchange; /* NULL: the node has closed it */
	std::string id;
	uint64_t due_ms;
	size_t bytes; /* of its answer */
};

struct server {
	struct caller_fleet *fleet;
	struct http_server *http = nullptr;
	struct http_pool *heartbeats = nullptr;
	std::string address;
	int sequence = 0;
	uint64_t heartbeat_due_ms = 0;
};

struct caller_fleet {
	process_fleet f;
	std::vector<std::unique_ptr<server>> servers;
	std::map<std::string, request> requests;
	std::vector<std::unique_ptr<run>> runs;
	std::vector<std::string> late;
	std::map<std::string, size_t> answer_bytes; /* by path, instead of 1 */
	/* Of the bodies that the backend servers received, by request id. */
	std::map<std::string, std::vector<size_t>> body_hashes;
	std::set<size_t> silent; /* servers that send no heartbeats */
	/* They must not outlive the servers that sent them. */
	struct heartbeat {
		server *from;
		struct http_call *call;
	};
	std::set<heartbeat *> pending_heartbeats;
	uint64_t arrivals = 0, answers = 0, left = 0;
	uint64_t closed = 0; /* runs whose node closed them before they ended */
	double slow_share = 0; /* of the runs; these take slow_ms */
	uint64_t slow_ms = 0;
	int slots;

	caller_fleet(uint32_t seed, int nodes, int slots_of_each)
	    : f(seed, nodes, 1), slots(slots_of_each)
	{
		for (auto &node : f.nodes) {
			auto s = std::make_unique<server>();
			struct address own, control;

			s->fleet = this;
			s->address = node->ip + ":7400";
			address_parse(s->address.c_str(), &own);
			address_parse((node->ip + ":7300").c_str(), &control);
			EXPECT_EQ(http_server_create(f.loop, own, on_request,
						     s.get(), &s->http),
				  0);
			s->heartbeats = http_pool_create(f.loop, control, 1);
			servers.push_back(std::move(s));
		}
		f.put("{\"version\":3,\"resources\":[{\"type\":\"services\","
		      "\"metadata\":{\"name\":\"shop\"},\"spec\":{}}," +
		      route("safe") + "," + route("unsafe") + "]}");
	}
	~caller_fleet()
	{
		for (auto &entry : requests)
			leave(entry.second);
		for (heartbeat *h : pending_heartbeats) {
			http_call_cancel(h->call);
			delete h;
		}
		for (auto &s : servers) {
			http_server_stop(s->http);
			http_pool_release(s->heartbeats);
		}
		if (!late.empty())
			f.late = late; /* keeps the logs */
	}
	static std::string route(const std::string &kind)
	{
		return "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + kind +
		       "\"},\"spec\":{\"host\":\"h.example\",\"prefix\":\"/" +
		       kind + "/\",\"kind\":\"" + kind +
		       "\",\"timeoutMs\":10000,\"targetLatencyMs\":500,"
		       "\"maxAttempts\":3,\"service\":\"shop\"}}";
	}

	/* Backend servers. */

	static void on_closed(void *data)
	{
		((run *)data)->exchange = nullptr;
	}
	static void on_request(void *data, struct http_exchange *exchange)
	{
		auto *fleet = ((server *)data)->fleet;
		struct http_text id = http_exchange_header(
			exchange, PLATFORM_HEADER_REQUEST_ID);
		auto r = std::make_unique<run>();

		*r = { exchange, std::string(id.bytes, id.size),
		       wall_ms() +
			       fleet->draw_run_ms(http_exchange_path(exchange)),
		       fleet->bytes_of(http_exchange_path(exchange)) };
		fleet->note_arrival(r->id);
		fleet->body_hashes[r->id].push_back(
			hash_of(http_exchange_body(exchange)));
		http_exchange_on_close(exchange, on_closed, r.get());
		fleet->runs.push_back(std::move(r));
	}
	static size_t hash_of(struct http_text body)
	{
		return std::hash<std::string_view>()(
			std::string_view(body.bytes, body.size));
	}
	size_t bytes_of(struct http_text path)
	{
		auto found =
			answer_bytes.find(std::string(path.bytes, path.size));

		return found == answer_bytes.end() ? 1 : found->second;
	}
	uint64_t draw_run_ms(struct http_text path)
	{
		if (slow_share > 0 && g_rand_double(f.random) < slow_share)
			return slow_ms;
		return run_ms(path);
	}
	/* The number at the end of the path, or else RUN_MS. */
	static uint64_t run_ms(struct http_text path)
	{
		std::string text(path.bytes, path.size);
		uint64_t ms = strtoull(&text[text.rfind('/') + 1], nullptr, 10);

		return ms ? ms : RUN_MS;
	}
	void note_arrival(const std::string &id)
	{
		request &r = requests[id];
		uint64_t now = wall_ms();

		arrivals++;
		r.arrivals++;
		if (r.left_ms && now > r.left_ms + LATE_MS &&
		    !f.stalls.overlap(r.left_ms, now))
			late.push_back(
				id + " sent at " + std::to_string(r.sent_ms) +
				", left at " + std::to_string(r.left_ms) +
				", arrived " + std::to_string(now - r.left_ms) +
				" ms later");
	}
	void end_due_runs()
	{
		for (size_t i = 0; i < runs.size();) {
			run &r = *runs[i];

			if (r.exchange && wall_ms() < r.due_ms) {
				i++;
				continue;
			}
			if (r.exchange)
				answer(r);
			else
				closed++;
			runs.erase(runs.begin() + (long)i);
		}
	}
	static void answer(const run &r)
	{
		struct http_header headers[] = {
			{ PLATFORM_HEADER_REQUEST_ID, r.id.c_str() },
			{ PLATFORM_HEADER_SIGNATURE, "s" },
		};

		std::string body(r.bytes, 'x');

		http_exchange_reply(r.exchange, 200, headers, 2, body.data(),
				    body.size());
	}
	/* A refused one is repeated, as backend servers do. */
	static void on_heartbeat(void *data, const struct http_result *result)
	{
		std::unique_ptr<heartbeat> h((heartbeat *)data);

		h->from->fleet->pending_heartbeats.erase(h.get());
		if (!result->error && result->status == 503)
			h->from->heartbeat_due_ms = wall_ms() + 50;
	}
	void send_heartbeat(server &s, int number)
	{
		struct http_request request = {};
		std::string path =
			"/fescuehitch/instances/i-" + std::to_string(number);
		std::string body =
			"{\"address\":\"" + s.address +
			"\",\"born\":1000,\"info\":{\"service\":\"shop\","
			"\"slots\":" +
			std::to_string(slots) +
			"},\"status\":{\"state\":\"ready\",\"sequence\":" +
			std::to_string(++s.sequence) + "}}";

		request.method = "PUT";
		request.path = path.c_str();
		request.body = body.data();
		request.body_size = body.size();
		request.timeout_ms = 2000;
		auto *h = new heartbeat{ &s, nullptr };
		pending_heartbeats.insert(h);
		h->call =
			http_pool_send(s.heartbeats, &request, on_heartbeat, h);
		s.heartbeat_due_ms = wall_ms() + 1000;
	}

	/* Callers. */

	static void on_answer(void *data, const struct http_result *result)
	{
		auto *r = (request *)data;

		r->fleet->answers += !result->error && result->status == 200;
		r->call = nullptr;
	}
	void send_request(size_t node)
	{
		struct http_request http = {};
		std::string id = "r" + std::to_string(requests.size() + 1);
		struct http_header headers[] = {
			{ PLATFORM_HEADER_REQUEST_ID, id.c_str() },
			{ "fescuehitch-deadline-ms", "4000" },
		};
		bool safe = f.random_int(0, 2);
		request &r = requests[id];

		r = { wall_ms(), 0, wall_ms() + (uint64_t)f.random_int(50, 900),
		      nullptr,	 0, nullptr };
		http.method = safe ? "GET" : "POST";
		http.path = safe ? "/safe/x" : "/unsafe/x";
		http.host = "h.example";
		http.headers = headers;
		http.header_count = 2;
		http.timeout_ms = 4500;
		r.fleet = this;
		r.call = http_pool_send(f.nodes[node]->callers, &http,
					on_answer, &r);
	}
	void leave(request &r)
	{
		if (!r.call)
			return;
		http_call_cancel(r.call);
		r.call = nullptr;
		r.left_ms = wall_ms();
		left++;
	}
	void leave_due()
	{
		for (auto &entry : requests)
			if (wall_ms() >= entry.second.leave_due_ms)
				leave(entry.second);
	}

	/* Time. */

	void step()
	{
		f.end_due_disturbances();
		for (size_t i = 0; i < servers.size(); i++)
			if (!silent.count(i) &&
			    wall_ms() >= servers[i]->heartbeat_due_ms)
				send_heartbeat(*servers[i], (int)i + 1);
		end_due_runs();
		leave_due();
		f.run_for(1);
	}
	void run_for(uint64_t ms)
	{
		uint64_t end = wall_ms() + ms;

		while (wall_ms() < end)
			step();
	}
	/* More requests than the slots can serve, so that calls queue. */
	void run_with_requests(uint64_t ms)
	{
		uint64_t end = wall_ms() + ms, interval;

		interval = RUN_MS * 8 / ((uint64_t)slots * f.nodes.size() * 10);
		while (wall_ms() < end) {
			uint64_t next = wall_ms() + MAX(interval, 1);

			send_request(
				(size_t)f.random_int(0, (int)f.nodes.size()));
			while (wall_ms() < next)
				step();
		}
	}
	/* Some nodes stand still, each for a short time, or start again. */
	void disturb_some(int count, enum node_trouble trouble)
	{
		for (int i = 0; i < count; i++) {
			fleet_node &node = *f.nodes[(size_t)f.random_int(
				0, (int)f.nodes.size())];

			if (f.is_running(node))
				disturb(node, trouble);
		}
	}
	void disturb(fleet_node &node, enum node_trouble trouble)
	{
		uint64_t ms = (uint64_t)f.random_int(300, 1500);

		switch (trouble) {
		case NODE_STANDS_STILL:
			f.freeze_for(node, ms);
			break;
		case NODE_IS_KILLED:
			f.kill_for(node, ms);
			break;
		case NODE_IS_STOPPED:
			f.terminate_for(node, 6500);
			break;
		}
	}
	std::string describe()
	{
		std::string text = std::to_string(late.size()) + " late of " +
				   std::to_string(arrivals) + " arrivals, " +
				   std::to_string(requests.size()) +
				   " requests, " + std::to_string(left) +
				   " left, " + std::to_string(answers) +
				   " answered; logs in " + f.folder + "\n";

		for (size_t i = 0; i < late.size() && i < 20; i++)
			text += late[i] + "\n";
		return text;
	}
};

#endif
