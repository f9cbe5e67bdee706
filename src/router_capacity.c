/* Free slots of hosts and services, by their load reports. */
#include "router_state.h"

int host_stats_reports_free_slot(const struct host_stats *s)
{
	return s->load.in_use + s->load.queued + s->sent_since_report <
	       s->load.slots;
}

double router_utilization(const struct router *r,
			  const struct router_request *req)
{
	size_t n = snapshot_service_host_count(req->snapshot, req->service);
	double calls = 0, slots = 0;

	for (size_t i = 0; i < n; i++) {
		const struct snapshot_host *host =
			snapshot_service_host(req->snapshot, req->service, i);
		const struct host_stats *s =
			router_find_host_stats(r, host->host);
		double weight;

		if (!s || !s->load.slots || !router_is_permitted(req, host))
			continue;
		weight = host_stats_report_weight(r, s, req->now_ms);
		calls += weight * (s->load.in_use + s->load.queued);
		slots += weight * s->load.slots;
	}
	return slots > 0 ? calls / slots : 1;
}
