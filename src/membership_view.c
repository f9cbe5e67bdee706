/* Updates of the own record, and read access to the table. */
#include "membership_state.h"

#include <assert.h>
#include <string.h>

void membership_set_backend(struct membership *m, const char *service,
			    uint32_t slots, int serving, uint64_t left)
{
	struct member *self = member_table_self(&m->table);
	struct host host = self->host;

	if (left)
		host.left = left;
	g_strlcpy(host.service, service, sizeof(host.service));
	host.slots = slots;
	host.serving = serving;
	if (!host_routing_differs(&self->host, &host) &&
	    host.left == self->host.left)
		return;
	host.incarnation++;
	member_table_update_own(&m->table, &host);
}

void membership_set_backend_version(struct membership *m,
				    const char *backend_version)
{
	struct member *self = member_table_self(&m->table);
	struct host host = self->host;

	g_strlcpy(host.backend_version, backend_version,
		  sizeof(host.backend_version));
	if (!host_routing_differs(&self->host, &host))
		return;
	host.incarnation++;
	member_table_update_own(&m->table, &host);
}

void membership_set_store_lost(struct membership *m, int lost)
{
	struct host host = member_table_self(&m->table)->host;

	if (host.store_lost == lost)
		return;
	host.store_lost = lost;
	host.incarnation++;
	member_table_update_own(&m->table, &host);
}

void membership_set_version(struct membership *m, uint64_t version,
			    uint64_t hash)
{
	struct member *self = member_table_self(&m->table);

	assert(version >= self->host.version);
	self->host.version = version;
	m->hash = hash;
	m->highest_version = MAX(m->highest_version, version);
}

void membership_set_floor(struct membership *m, int confirmed, uint64_t floor)
{
	m->floor_confirmed = confirmed;
	m->floor = confirmed ? floor : 0;
}

uint64_t membership_generation(const struct membership *m)
{
	return m->table.generation;
}

uint64_t membership_relay_generation(const struct membership *m)
{
	return m->table.generation + m->table.store_changes;
}

size_t membership_count(const struct membership *m)
{
	return m->table.members->len;
}

const struct host *membership_host(const struct membership *m, size_t i)
{
	const struct member *member;

	assert(i < m->table.members->len);
	member = g_ptr_array_index(m->table.members, i);
	return &member->host;
}

const struct host *membership_find(const struct membership *m, uint64_t address)
{
	const struct member *member = member_table_find(&m->table, address);

	return member ? &member->host : NULL;
}

const struct host *membership_self(const struct membership *m)
{
	return &member_table_self(&m->table)->host;
}

size_t membership_up_count(const struct membership *m)
{
	return m->table.up_count;
}

uint64_t membership_last_ack_ms(const struct membership *m)
{
	return m->last_ack_ms;
}

uint64_t membership_highest_version(const struct membership *m)
{
	return m->highest_version;
}

int membership_is_synced(const struct membership *m)
{
	return m->synced;
}
