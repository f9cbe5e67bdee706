/*
 * Planned stops of single nodes in calm: no request that a node has taken ends
 * without an answer, however late in the grace time it comes.
 *
 * FESCUE_FLEET_SEEDS runs more seeds; the nodes are FESCUE_NODE, if set.
 */
#include "caller_fleet.h"

namespace
{

const uint64_t GRACE_MS = 6000;
const uint64_t LOSS_SLACK_MS = 200;
/* Runs that last beyond these times may be cut. */
const uint64_t LAST_TAKEN_MS = 3000;
const uint64_t LAST_SIXTH_MS = GRACE_MS - GRACE_MS / 6;

struct stopped_node;

/* Sends one request after the other on a connection that it keeps. */
struct kept_caller {
	stopped_node *stop;
	struct http_pool *pool;
	std::string id;
	uint64_t sent_ms = 0, run_ms = 0,
		 next_ms = 0; /* 0: waits for an answer */
};

struct stopped_node {
	caller_fleet &fleet;
	std::vector<std::unique_ptr<kept_caller>> callers;
	uint64_t signal_ms = 0, requests = 0, answered = 0, refused = 0;
	std::vector<std::string> lost;

	stopped_node(caller_fleet &of, size_t node, int count) : fleet(of)
	{
		struct address address;

		address_parse((fleet.f.nodes[node]->ip + ":8000").c_str(),
			      &address);
		for (int i = 0; i < count; i++) {
			auto c = std::make_unique<kept_caller>();

			c->stop = this;
			c->pool = http_pool_create(fleet.f.loop, address, 1);
			c->next_ms = wall_ms();
			callers.push_back(std::move(c));
		}
	}
	~stopped_node()
	{
		for (auto &c : callers)
			http_pool_release(c->pool);
	}
	static void on_answer(void *data, const struct http_result *result)
	{
		auto *c = (kept_caller *)data;

		c->stop->note_end(*c, result);
		c->next_ms = wall_ms() + (result->status == 200 ? 1 : 50);
	}
	void note_end(const kept_caller &c, const struct http_result *result)
	{
		uint64_t now = wall_ms();
		int arrivals = fleet.requests[c.id].arrivals;
		bool may_be_cut =
			signal_ms && now >= signal_ms + LAST_SIXTH_MS &&
			c.sent_ms <= signal_ms + LAST_TAKEN_MS && arrivals;

		answered += !result->error && result->status == 200;
		refused += !result->error && result->status == 503;
		if (!result->error || !result->sent || may_be_cut)
			return;
		if (arrivals || now > c.sent_ms + LOSS_SLACK_MS)
			lost.push_back(
				c.id + " of " + std::to_string(c.run_ms) +
				" ms, sent " +
				std::to_string(
					(int64_t)(c.sent_ms - signal_ms)) +
				" ms after the signal, lost " +
				std::to_string((int64_t)(now - signal_ms)) +
				" ms after it, arrivals " +
				std::to_string(arrivals));
	}
	void send(kept_caller &c)
	{
		struct http_request http = {};
		struct http_header headers[] = {
			{ PLATFORM_HEADER_REQUEST_ID, nullptr },
			{ "fescuehitch-deadline-ms", "9000" },
		};
		bool safe = fleet.f.random_int(0, 2);
		std::string path;

		c.id = "s" + std::to_string(++requests);
		c.sent_ms = wall_ms();
		c.run_ms = (uint64_t)fleet.f.random_int(200, 4600);
		c.next_ms = 0;
		fleet.requests[c.id] = { c.sent_ms, 0, UINT64_MAX,
					 nullptr,   0, nullptr };
		path = std::string(safe ? "/safe/" : "/unsafe/") +
		       std::to_string(c.run_ms);
		headers[0].value = c.id.c_str();
		http.method = safe ? "GET" : "POST";
		http.path = path.c_str();
		http.host = "h.example";
		http.headers = headers;
		http.header_count = 2;
		http.timeout_ms = 10000;
		http_pool_send(c.pool, &http, on_answer, &c);
	}
	void run_for(uint64_t ms, bool go_on)
	{
		uint64_t end = wall_ms() + ms;

		while (wall_ms() < end) {
			for (auto &c : callers)
				if (go_on && c->next_ms &&
				    wall_ms() >= c->next_ms)
					send(*c);
			fleet.step();
		}
	}
	bool is_idle() const
	{
		for (auto &c : callers)
			if (!c->next_ms)
				return false;
		return true;
	}
};

void stop_one(uint32_t seed)
{
	caller_fleet fleet(seed, 6, 8);
	size_t node = seed % 6;

	fleet.f.start_all();
	fleet.run_for(4000);
	{
		stopped_node stop(fleet, node, 24);

		stop.run_for(3000, true);
		stop.signal_ms = wall_ms();
		fleet.f.terminate_for(*fleet.f.nodes[node], GRACE_MS + 500);
		stop.run_for(GRACE_MS + 2000, true);
		while (!stop.is_idle())
			stop.run_for(50, false);
		EXPECT_GT(stop.answered, 40u);
		EXPECT_TRUE(stop.lost.empty())
			<< "seed " << seed << ": " << stop.lost.size()
			<< " lost, first: " << stop.lost[0] << "; logs in "
			<< fleet.f.folder;
		fleet.f.late = stop.lost; /* keeps the logs */
		if (getenv("FESCUE_FLEET_VERBOSE"))
			std::cerr << "seed " << seed << ": " << stop.lost.size()
				  << " lost of " << stop.requests
				  << " requests, " << stop.answered
				  << " answered, " << stop.refused
				  << " refused\n";
	}
}

/* Guards against requests taken late in the grace time and cut at its end. */
TEST(planned_stop, taken_requests_are_answered)
{
	const char *seeds = getenv("FESCUE_FLEET_SEEDS");
	int count = seeds ? atoi(seeds) : 1;

	for (int i = 0; i < count; i++)
		stop_one(1100 + (uint32_t)i);
}

} // namespace
