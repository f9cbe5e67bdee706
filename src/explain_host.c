#include "explain_host.h"

#include <string.h>

/* State of a host that serves, and the reason for it. */
static const char *routing_reason(const struct router_host *host)
{
	switch (host->state) {
	case ROUTER_CANDIDATE:
		if (host->link_is_late)
			return "over its link's share: it would probably "
			       "refuse the call, as its link would be late";
		return host->ejected_ms ? "ejected, which is ignored as most "
					  "hosts are" :
					  "";
	case ROUTER_TRIED:
		return "it was tried already";
	case ROUTER_NOT_PERMITTED:
		return "the roll-out does not permit its version for this call";
	case ROUTER_EJECTED:
		return "ejected after failures";
	case ROUTER_FULL:
		return "full: it has probably no free slot, and the call "
		       "cannot be queued";
	case ROUTER_LATE:
		return "it would refuse: the expected wait is longer than the "
		       "call may be queued";
	}
	return "";
}

/* State of a host that does not serve, and the reason in *reason. */
static const char *membership_state(const struct host *host,
				    const char **reason)
{
	switch (host->state) {
	case HOST_DEAD:
		*reason = "its node does not answer";
		return "dead";
	case HOST_LEFT:
		*reason = "its node has stopped";
		return "left";
	case HOST_ALIVE:
	case HOST_SUSPECT:
		break;
	}
	*reason = host->left ? "its backend server is leaving" :
			       "its backend server has left or does not "
			       "announce itself";
	return host->left ? "leaving" : "not-serving";
}

static json_t *create_host(uint64_t key, const char *failure_domain,
			   uint32_t slots, const char *state,
			   const char *reason)
{
	char address[ADDRESS_TEXT_BYTES];

	address_format(address_from_key(key), address);
	return json_pack("{s:s, s:s, s:I, s:s, s:s, s:n, s:n}", "address",
			 address, "failure_domain", failure_domain, "slots",
			 (json_int_t)slots, "state", state, "reason", reason,
			 "cost_ms", "load");
}

static json_t *cost_to_json(const struct router_host *host)
{
	return json_pack("{s:f, s:f, s:f, s:f, s:f, s:f}", "total",
			 host->cost_ms, "waiting", host->wait_ms, "service",
			 host->service_ms, "failures", host->failures_ms,
			 "distance", host->distance_ms, "link", host->link_ms);
}

static json_t *load_to_json(const struct router_host *host)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "in_use",
			 (json_int_t)host->in_use, "queued",
			 (json_int_t)host->queued, "slots",
			 (json_int_t)host->slots, "age_ms",
			 (json_int_t)host->load_age_ms);
}

static json_t *host_to_json(const struct operator_view *view,
			    const struct router_host *host)
{
	const struct snapshot_host *h = host->host;
	const struct host *member = membership_find(view->membership, h->host);
	json_t *json = create_host(h->host, h->failure_domain, h->slots,
				   router_host_state_name(host->state),
				   routing_reason(host));

	json_object_set_new(json, "cost_ms", cost_to_json(host));
	json_object_set_new(json, "cheapest", json_boolean(host->is_cheapest));
	json_object_set_new(json, "link_late",
			    json_boolean(host->link_is_late));
	json_object_set_new(json, "ejected_ms",
			    json_integer((json_int_t)host->ejected_ms));
	json_object_set_new(json, "outstanding",
			    json_integer(host->outstanding));
	if (host->has_load)
		json_object_set_new(json, "load", load_to_json(host));
	if (member && *member->backend_version)
		json_object_set_new(json, "backend_version",
				    json_string(member->backend_version));
	return json;
}

json_t *explain_hosts(const struct operator_view *view,
		      const struct router_host *hosts, size_t count)
{
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, host_to_json(view, &hosts[i]));
	return array;
}

void explain_unavailable_hosts(const struct operator_view *view,
			       const char *service, json_t *hosts)
{
	for (size_t i = 0; i < membership_count(view->membership); i++) {
		const struct host *host = membership_host(view->membership, i);
		const char *state, *reason;

		if (strcmp(host->service, service) != 0 ||
		    host_is_serving(host))
			continue;
		state = membership_state(host, &reason);
		json_array_append_new(
			hosts, create_host(host->address, host->failure_domain,
					   host->slots, state, reason));
	}
}
