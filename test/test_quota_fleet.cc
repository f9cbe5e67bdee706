/*
 * Quotas in a fleet of real processes: calm below the limit, then a flood during
 * which a node is killed and one stands still.
 */
#include "caller_fleet.h"

#include <algorithm>

namespace
{

const double RATE = 30, WINDOW_S = 5;

struct quota_fleet {
	struct sent_request {
		quota_fleet *fleet;
		uint64_t sent_ms;
	};
	caller_fleet fleet;
	int running; /* of the nodes, the first ones */
	std::vector<std::unique_ptr<sent_request>> requests;
	std::vector<uint64_t> ran;
	size_t over_quota = 0, other = 0, pending = 0;
	int last_other = 0;

	quota_fleet(int nodes, int nodes_at_first)
	    : fleet(1, nodes, 40), running(nodes_at_first)
	{
		for (auto &node : fleet.f.nodes)
			add_settings(node->folder + "/node.json");
		fleet.f.put(
			"{\"version\":4,\"resources\":[{\"type\":\"services\","
			"\"metadata\":{\"name\":\"shop\"},\"spec\":{}}," +
			caller_fleet::route("safe") +
			",{\"type\":\"tenants\",\"metadata\":{\"name\":\"a\"},"
			"\"spec\":{\"apiKeys\":[\"k\"],\"ratePerS\":30,"
			"\"burst\":30}}]}");
		for (int i = 0; i < running; i++)
			fleet.f.start(*fleet.f.nodes[(size_t)i]);
		fleet.run_for(4000);
	}
	static void add_settings(const std::string &path)
	{
		std::ifstream in(path);
		std::string text((std::istreambuf_iterator<char>(in)), {});

		in.close();
		text.pop_back();
		std::ofstream(path) << text
				    << ",\"quota_window_s\":5,"
				       "\"quota_overage\":0.1,\"quota_slack\":"
				       "20}";
	}
	static void on_answer(void *data, const struct http_result *result)
	{
		auto *r = (sent_request *)data;
		auto *q = r->fleet;

		q->pending--;
		if (!result->error && result->status == 200) {
			q->ran.push_back(r->sent_ms);
		} else if (!result->error && result->status == 429) {
			q->over_quota++;
		} else {
			q->other++;
			q->last_other = result->error ? -1 : result->status;
		}
	}
	void send(size_t node)
	{
		struct http_request http = {};
		std::string id = "q" + std::to_string(requests.size());
		struct http_header headers[] = {
			{ PLATFORM_HEADER_REQUEST_ID, id.c_str() },
			{ "authorization", "Token k" },
			{ "fescuehitch-deadline-ms", "4000" },
		};

		http.method = "GET";
		http.path = "/safe/20";
		http.host = "h.example";
		http.headers = headers;
		http.header_count = 3;
		http.timeout_ms = 4500;
		requests.push_back(std::make_unique<sent_request>(
			sent_request{ this, wall_ms() }));
		pending++;
		http_pool_send(fleet.f.nodes[node]->callers, &http, on_answer,
			       requests.back().get());
	}
	void send_for(uint64_t ms, double rate)
	{
		uint64_t start = wall_ms();

		for (size_t i = 0; wall_ms() < start + ms; fleet.step()) {
			if ((double)(wall_ms() - start) * rate / 1000 <
			    (double)i)
				continue;
			i++;
			send((size_t)fleet.f.random_int(0, running));
		}
	}
	size_t largest_window()
	{
		size_t most = 0;

		std::sort(ran.begin(), ran.end());
		for (size_t i = 0, k = 0; i < ran.size(); i++) {
			while ((double)(ran[i] - ran[k]) > WINDOW_S * 1000)
				k++;
			most = std::max(most, i - k + 1);
		}
		return most;
	}
	void expect_limit_is_used_and_holds()
	{
		EXPECT_LE((double)largest_window(),
			  (RATE * WINDOW_S + RATE) * 1.1 + 20);
		EXPECT_GE((double)largest_window(), RATE * WINDOW_S * 0.8);
	}
};

TEST(quota_fleet, limit_holds_over_all_nodes_and_calm_is_not_refused)
{
	quota_fleet q(6, 6);

	q.send_for(5000, RATE / 1.6);
	q.fleet.run_for(500);
	printf("calm: %zu ran, %zu over quota, %zu other (last %d)\n",
	       q.ran.size(), q.over_quota, q.other, q.last_other);
	EXPECT_GE(q.ran.size(), 80u);
	/* Where the machine stalls, a reply may take longer than the wait. */
	bool stalled = q.fleet.f.stalls.overlap(wall_ms() - 5500, wall_ms());
	EXPECT_LE(q.over_quota, stalled ? 4u : 0u);
	q.send_for(2000, RATE * 4);
	q.fleet.disturb(*q.fleet.f.nodes[2], NODE_IS_KILLED);
	q.fleet.disturb(*q.fleet.f.nodes[4], NODE_STANDS_STILL);
	q.send_for(6000, RATE * 4);
	q.fleet.run_for(1000);
	printf("flood: %zu ran, %zu over quota, %zu other (last %d), largest "
	       "window %zu\n",
	       q.ran.size(), q.over_quota, q.other, q.last_other,
	       q.largest_window());
	EXPECT_GT(q.over_quota, 200u);
	q.expect_limit_is_used_and_holds();
}

/*
 * Guards against nodes that are added while the store is down, find no others
 * because the leases have ended, and take the whole rate for their own share.
 */
TEST(quota_fleet, limit_holds_while_nodes_are_added_in_an_outage)
{
	quota_fleet q(6, 3);

	q.fleet.run_for(3000);
	store_standin_set_outage(q.fleet.f.store, OUTAGE_HANG);
	q.fleet.run_for(1500);
	for (size_t i = 3; i < 6; i++)
		q.fleet.f.start(*q.fleet.f.nodes[i]);
	q.send_for(3000, RATE * 4);
	store_standin_end_leases(q.fleet.f.store);
	store_standin_set_outage(q.fleet.f.store, OUTAGE_NONE);
	q.running = 6;
	q.send_for(6000, RATE * 6);
	q.fleet.run_for(1000);
	printf("%zu ran, %zu over quota, %zu other (last %d), largest window "
	       "%zu\n",
	       q.ran.size(), q.over_quota, q.other, q.last_other,
	       q.largest_window());
	q.expect_limit_is_used_and_holds();
}

} // namespace
