/* The services of the roll-out task, and the hosts and servers of them. */
#include "rollout_task_state.h"

/*
 * In which a node learns of its peers' backend servers. All nodes killed at the
 * same time needed 2 s; without this, the serving version was held back for 5 s
 * at hosts that saw a server of the new one first.
 */
#define SETTLE_MS 4000

static uint64_t now_ms(const struct rollout_task *t)
{
	return rollout_task_now_ms(t);
}

void rollout_task_service_free(gpointer p)
{
	struct rollout_service *service = p;

	g_array_free(service->servers, TRUE);
	g_array_free(service->leader_servers, TRUE);
	g_free(service);
}

struct rollout_service *rollout_task_service(struct rollout_task *t,
					     const char *name)
{
	struct rollout_service *service =
		g_hash_table_lookup(t->services, name);

	if (service)
		return service;
	service = g_new0(struct rollout_service, 1);
	g_strlcpy(service->name, name, sizeof(service->name));
	service->rollout = rollouts_get(t->rollouts, name);
	service->servers =
		g_array_new(FALSE, FALSE, sizeof(struct rollout_server));
	service->leader_servers =
		g_array_new(FALSE, FALSE, sizeof(struct rollout_leader_server));
	g_hash_table_insert(t->services, service->name, service);
	return service;
}

static void add_server(struct rollout_task *t, const struct host *host)
{
	struct rollout_service *service =
		rollout_task_service(t, host->service);
	uint32_t hash = *host->backend_version ?
				rollout_version_hash(host->backend_version) :
				0;
	struct rollout_server server = { host->address, hash };
	struct rollout_leader_server leader_server = { host->address, hash,
						       host->slots };

	g_array_append_val(service->servers, server);
	g_array_append_val(service->leader_servers, leader_server);
}

static void set_leader_servers(struct rollout_task *t,
			       const struct rollout_service *service)
{
	const GArray *servers = service->leader_servers;

	rollout_leader_set_servers(
		t->leader_module, service->name,
		(const struct rollout_leader_server *)(void *)servers->data,
		servers->len);
}

/*
 * The versions of the first call serve at once, so a service without backend
 * servers is told only after it had some.
 */
static void set_servers(struct rollout_task *t, struct rollout_service *service)
{
	const GArray *servers = service->servers;

	if (!servers->len && !service->has_servers)
		return;
	service->has_servers = 1;
	rollout_set_servers(
		service->rollout,
		(const struct rollout_server *)(void *)servers->data,
		servers->len, now_ms(t));
	if (now_ms(t) < t->created_ms + SETTLE_MS)
		rollout_release_versions(service->rollout);
	set_leader_servers(t, service);
}

static void set_hosts(struct rollout_task *t)
{
	const struct membership *m = t->settings.membership;
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (size_t i = 0; i < membership_count(m); i++)
		if (host_is_up(membership_host(m, i)))
			g_array_append_val(hosts,
					   membership_host(m, i)->address);
	rollout_leader_set_hosts(t->leader_module,
				 (const uint64_t *)(void *)hosts->data,
				 hosts->len, now_ms(t));
	g_array_free(hosts, TRUE);
}

void rollout_task_update(struct rollout_task *t)
{
	const struct membership *m = t->settings.membership;
	GHashTableIter iter;
	gpointer value;

	if (t->generation == membership_generation(m))
		return;
	t->generation = membership_generation(m);
	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rollout_service *service = value;

		g_array_set_size(service->servers, 0);
		g_array_set_size(service->leader_servers, 0);
	}
	for (size_t i = 0; i < membership_count(m); i++)
		if (host_is_serving(membership_host(m, i)))
			add_server(t, membership_host(m, i));
	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_servers(t, value);
	set_hosts(t);
}
