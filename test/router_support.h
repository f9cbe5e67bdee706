/* A router and a service whose hosts a test chooses. */
#ifndef FESCUE_ROUTER_SUPPORT_H
#define FESCUE_ROUTER_SUPPORT_H

#include "support.h"

extern "C" {
#include "fescue/router.h"
}

inline const char rules_text[] = "service a # A\nroute GET */ a # A\n";

inline struct router_load load(uint32_t in_use, uint32_t queued, uint32_t slots,
			       double service_time_ratio = 0)
{
	struct router_load l = {};

	l.in_use = in_use;
	l.queued = queued;
	l.slots = slots;
	l.service_time_ratio = service_time_ratio;
	return l;
}

struct fixture {
	struct snapshot *snapshot;
	struct service_handle service;
	struct router *router;

	explicit fixture(const std::vector<snapshot_host> &hosts,
			 enum router_policy policy = ROUTER_TWO_CHOICES)
	{
		struct router_settings settings = router_defaults;
		struct diagnostic bad;
		struct route_handle route;
		const struct route_rule *rule;
		size_t count;

		settings.policy = policy;
		snapshot_create(1, rules_text, strlen(rules_text), hosts.data(),
				hosts.size(), &snapshot, &bad, 1, &count);
		snapshot_find_route(snapshot, "GET", 3, "", 0, "/", 1, &route,
				    &rule);
		snapshot_route_service(snapshot, route, 0, &service);
		router = router_create(&settings, 3);
	}
	~fixture()
	{
		router_destroy(router);
		snapshot_unref(snapshot);
	}
	uint64_t choose(const char *domain, uint64_t now_ms,
			const std::vector<uint64_t> &excluded = {})
	{
		struct router_request req = request(domain, now_ms, excluded);
		uint64_t host = 0;
		uint32_t busy_ms;

		return router_choose(router, &req, &host, &busy_ms) ? 0 : host;
	}
	uint32_t wait_max(uint64_t host, uint64_t now_ms)
	{
		struct router_request req = request("x", now_ms, none);

		return router_wait_max(router, &req, host, 5000);
	}
	struct router_request request(const char *domain, uint64_t now_ms,
				      const std::vector<uint64_t> &excluded)
	{
		struct router_request req = {};

		req.snapshot = snapshot;
		req.service = service;
		req.own_domain = domain;
		req.excluded = excluded.data();
		req.excluded_count = excluded.size();
		req.kilobytes = kilobytes;
		req.rank = rank;
		req.service_ms = 100;
		req.remaining_ms = remaining_ms;
		req.latency_ms = latency_ms;
		req.queue_ms = queue_ms;
		req.now_ms = now_ms;
		return req;
	}
	const std::vector<uint64_t> none;
	uint32_t latency_ms = 0;
	uint32_t queue_ms = 5000;
	double kilobytes = 0;
	uint32_t rank = 0;
	uint32_t remaining_ms = 10000;
	/* Sends a call that the host answers with this load report. */
	void answer(uint64_t host, struct router_load load, uint64_t now_ms)
	{
		router_started(router, host, now_ms);
		router_finished(router, host, ROUTER_ANSWERED, 1, &load,
				now_ms);
	}
	void fail(uint64_t host, uint64_t now_ms)
	{
		router_started(router, host, now_ms);
		router_finished(router, host, ROUTER_FAILED, 1, nullptr,
				now_ms);
	}
};

#endif
