#include "fescue/membership.h"

#include "membership_state.h"

#include <assert.h>
#include <string.h>

#define LEAVE_FAN_OUT 8
#define SYNC_RECORDS_MAX 128 /* about 8 KB per reply */
/*
 * Mean number of hosts of a domain that probe other domains in a period. It is
 * fixed so that cross-domain traffic does not grow with the size of domains.
 */
#define CROSS_DOMAIN_PROBERS 4
/* Of membership_probe_random(), 1 in so many probes may leave the domain. */
#define CROSS_DOMAIN_PROBE_DIVISOR 3
/* How long a joining node requests a whole table only in its own domain. */
#define OWN_DOMAIN_SYNC_MS 500

const struct membership_settings membership_defaults = {
	.probe_period_ms = 1000,
	.probe_timeout_ms = 300,
	.indirect_probes = 3,
	.suspicion_ms = 3000,
	.updates_per_packet = 6,
	.sync_interval_ms = 5000,
	.dead_retention_ms = 600000,
	.dead_probe_periods = 1,
};

static Fescue__Gossip *create_gossip(struct membership *m, uint64_t to)
{
	Fescue__Gossip *gossip = g_new(Fescue__Gossip, 1);
	const struct host *own = &member_table_self(&m->table)->host;

	fescue__gossip__init(gossip);
	gossip->self = member_record_create(own);
	gossip->version = own->version;
	gossip->hash = m->hash;
	gossip->confirmed = m->floor_confirmed;
	gossip->floor = m->floor;
	gossip->table_digest = member_table_digest(&m->table);
	member_table_add_updates(&m->table, to, m->settings.updates_per_packet,
				 gossip);
	return gossip;
}

static void send_ping(struct membership *m, uint64_t to, uint32_t sequence,
		      struct outbox *outbox)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_PING);

	packet->ping->sequence = sequence;
	packet->ping->gossip = create_gossip(m, to);
	outbox_send(outbox, to, PACKET_MEMBERSHIP, packet);
}

static void send_ack(struct membership *m, uint64_t to, uint32_t sequence,
		     struct outbox *outbox)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_ACK);

	packet->ack->sequence = sequence;
	packet->ack->gossip = create_gossip(m, to);
	outbox_send(outbox, to, PACKET_MEMBERSHIP, packet);
}

static void send_sync_request(struct membership *m, uint64_t to, int own_domain,
			      struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_SYNC_REQUEST);
	Fescue__SyncRequest *request = packet->sync_request;

	request->n_bucket_digests = MEMBER_BUCKETS;
	request->bucket_digests =
		g_memdup2(m->table.digests, sizeof(m->table.digests));
	request->whole = !m->synced;
	if (own_domain || !m->synced)
		m->last_sync_ms = m->table.now_ms;
	if (!own_domain)
		m->last_cross_sync_ms = m->table.now_ms;
	outbox_send(outbox, to, PACKET_REPAIR, packet);
}

static int is_own_domain(const struct membership *m,
			 const struct member *member)
{
	return !strcmp(member->host.failure_domain,
		       member_table_self(&m->table)->host.failure_domain);
}

/* Number of hosts that are up in the own domain, the own one included. */
static size_t count_own_domain(const struct membership *m)
{
	size_t n = 0;

	for (guint i = 0; i < m->table.members->len; i++) {
		const struct member *member =
			g_ptr_array_index(m->table.members, i);

		n += host_is_up(&member->host) && is_own_domain(m, member);
	}
	return n;
}

/* Is it time to request a whole table? At first only from the own domain. */
static int full_sync_is_due(const struct membership *m, int own_domain)
{
	uint64_t now_ms = m->table.now_ms;

	return (own_domain || now_ms >= m->created_ms + OWN_DOMAIN_SYNC_MS) &&
	       now_ms >= m->last_sync_ms + m->settings.probe_timeout_ms;
}

/*
 * Is it time to compare tables with a peer? The interval for peers of other
 * domains grows with the number of hosts in the own domain, which all do so.
 */
static int sync_is_due(const struct membership *m, const struct member *peer,
		       uint32_t their_digest)
{
	int own_domain = peer && is_own_domain(m, peer);
	uint64_t interval_ms = m->settings.sync_interval_ms, hosts;

	if (!m->synced)
		return full_sync_is_due(m, own_domain);
	if (their_digest == member_table_digest(&m->table))
		return 0;
	if (own_domain)
		return m->table.now_ms >= m->last_sync_ms + interval_ms;
	hosts = count_own_domain(m);
	interval_ms = interval_ms * MAX(hosts, CROSS_DOMAIN_PROBERS) /
		      CROSS_DOMAIN_PROBERS;
	return !m->last_cross_sync_ms ||
	       m->table.now_ms >= m->last_cross_sync_ms + interval_ms;
}

static void receive_gossip(struct membership *m, uint64_t from,
			   const Fescue__Gossip *gossip, struct outbox *outbox)
{
	struct member *member;

	if (!gossip)
		return;
	member_table_merge(&m->table, gossip->self, 1);
	for (size_t i = 0; i < gossip->n_updates; i++)
		member_table_merge(&m->table, gossip->updates[i], 1);
	member = member_table_find(&m->table, from);
	if (member) {
		member->floor_confirmed = gossip->confirmed;
		member->host.version =
			MAX(member->host.version, gossip->version);
	}
	m->highest_version =
		MAX(m->highest_version, MAX(gossip->version, gossip->floor));
	if (sync_is_due(m, member, gossip->table_digest))
		send_sync_request(m, from, member && is_own_domain(m, member),
				  outbox);
}

static int is_in_buckets(const struct member *member, const uint8_t *selected)
{
	return selected[member_bucket(member->host.address)];
}

static Fescue__Packet *create_sync_reply(const struct membership *m,
					 const uint8_t *selected)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_SYNC_REPLY);
	Fescue__SyncReply *reply = packet->sync_reply;

	reply->members = g_new(Fescue__Member *, m->table.members->len);
	for (guint i = 0; i < m->table.members->len; i++) {
		const struct member *member =
			g_ptr_array_index(m->table.members, i);

		if (is_in_buckets(member, selected))
			reply->members[reply->n_members++] =
				member_record_create(&member->host);
	}
	return packet;
}

/*
 * Select differing buckets, from a random one on, for up to SYNC_RECORDS_MAX
 * records at the mean bucket size; all of them if the whole table is requested.
 */
static void mark_buckets(struct membership *m,
			 const Fescue__SyncRequest *request, uint8_t *selected)
{
	size_t first = (size_t)g_rand_int_range(m->random, 0, MEMBER_BUCKETS);
	size_t mean = m->table.members->len / MEMBER_BUCKETS + 1;
	size_t records_left = request->whole ? SIZE_MAX : SYNC_RECORDS_MAX;

	for (size_t i = 0; i < MEMBER_BUCKETS && records_left >= mean; i++) {
		size_t bucket = (first + i) % MEMBER_BUCKETS;

		if (request->bucket_digests[bucket] == m->table.digests[bucket])
			continue;
		selected[bucket] = 1;
		records_left -= mean;
	}
}

/* Reply with the selected buckets, and request the peer's records in them. */
static void receive_sync_request(struct membership *m, uint64_t from,
				 const Fescue__SyncRequest *request,
				 struct outbox *outbox)
{
	uint8_t selected[MEMBER_BUCKETS] = { 0 };
	Fescue__Packet *packet;
	Fescue__SyncReply *reply;

	if (request->n_bucket_digests != MEMBER_BUCKETS)
		return;
	mark_buckets(m, request, selected);
	packet = create_sync_reply(m, selected);
	reply = packet->sync_reply;
	reply->buckets = g_new(uint32_t, MEMBER_BUCKETS);
	for (uint32_t i = 0; i < MEMBER_BUCKETS; i++)
		if (selected[i])
			reply->buckets[reply->n_buckets++] = i;
	outbox_send(outbox, from, PACKET_REPAIR, packet);
}

static void receive_sync_reply(struct membership *m, uint64_t from,
			       const Fescue__SyncReply *reply,
			       struct outbox *outbox)
{
	uint8_t selected[MEMBER_BUCKETS] = { 0 };

	for (size_t i = 0; i < reply->n_buckets; i++)
		if (reply->buckets[i] < MEMBER_BUCKETS)
			selected[reply->buckets[i]] = 1;
	if (reply->n_buckets)
		outbox_send(outbox, from, PACKET_REPAIR,
			    create_sync_reply(m, selected));
	for (size_t i = 0; i < reply->n_members; i++)
		member_table_merge(&m->table, reply->members[i], 0);
	m->synced = 1;
}

static void receive_ack(struct membership *m, uint32_t sequence,
			struct outbox *outbox)
{
	m->last_ack_ms = m->table.now_ms;
	if (m->phase != PROBE_IDLE && sequence == m->probe_sequence) {
		m->phase = PROBE_IDLE;
		return;
	}
	for (size_t i = 0; i < PROXIED_PROBES_MAX; i++) {
		struct proxied_probe *probe = &m->proxied[i];

		if (!probe->requester || probe->proxy_sequence != sequence)
			continue;
		send_ack(m, probe->requester, probe->reply_sequence, outbox);
		probe->requester = 0;
	}
}

static void receive_ping_request(struct membership *m, uint64_t from,
				 const Fescue__PingRequest *request,
				 struct outbox *outbox)
{
	struct proxied_probe *probe =
		&m->proxied[m->proxied_next++ % PROXIED_PROBES_MAX];

	probe->requester = from;
	probe->reply_sequence = request->sequence;
	probe->proxy_sequence = ++m->sequence;
	send_ping(m, request->target, probe->proxy_sequence, outbox);
}

void membership_receive(struct membership *m, uint64_t from,
			const Fescue__Packet *packet, uint64_t now_ms,
			struct outbox *outbox)
{
	m->table.now_ms = now_ms;
	switch (packet->body_case) {
	case FESCUE__PACKET__BODY_PING:
		receive_gossip(m, from, packet->ping->gossip, outbox);
		send_ack(m, from, packet->ping->sequence, outbox);
		break;
	case FESCUE__PACKET__BODY_ACK:
		receive_gossip(m, from, packet->ack->gossip, outbox);
		receive_ack(m, packet->ack->sequence, outbox);
		break;
	case FESCUE__PACKET__BODY_PING_REQUEST:
		receive_gossip(m, from, packet->ping_request->gossip, outbox);
		receive_ping_request(m, from, packet->ping_request, outbox);
		break;
	case FESCUE__PACKET__BODY_SYNC_REQUEST:
		receive_sync_request(m, from, packet->sync_request, outbox);
		break;
	case FESCUE__PACKET__BODY_SYNC_REPLY:
		receive_sync_reply(m, from, packet->sync_reply, outbox);
		break;
	default:
		break;
	}
}

/* Shuffle all but the own host, which stays at index 0. */
static void shuffle_members(struct membership *m)
{
	for (guint i = m->table.members->len - 1; i > 1; i--) {
		guint j = (guint)g_rand_int_range(m->random, 1, (gint)i + 1);
		gpointer swap = m->table.members->pdata[i];

		m->table.members->pdata[i] = m->table.members->pdata[j];
		m->table.members->pdata[j] = swap;
	}
}

/* Draw a host that is alive, or one that is not. NULL after 8 failed draws. */
static struct member *random_member(struct membership *m, int alive)
{
	for (int tries = 0; tries < 8 && m->table.members->len > 1; tries++) {
		gint i = g_rand_int_range(m->random, 1,
					  (gint)m->table.members->len);
		struct member *member = g_ptr_array_index(m->table.members, i);

		if ((member->host.state == HOST_ALIVE) == alive)
			return member;
	}
	return NULL;
}

/* The failure domains that a probe may go to. */
enum probe_scope { SCOPE_ANY, SCOPE_OWN_DOMAIN, SCOPE_OTHER_DOMAINS };

/*
 * Choose the domains to probe in this period. Any host may be probed as long as
 * uniform choice makes no more than CROSS_DOMAIN_PROBERS hosts per domain probe
 * other domains; in larger fleets the choice is weighted to reach that number.
 */
static enum probe_scope choose_probe_scope(struct membership *m)
{
	double own_hosts = (double)count_own_domain(m);
	double other_hosts = (double)m->table.up_count - own_hosts;
	double cross_share = CROSS_DOMAIN_PROBERS / MAX(own_hosts, 1);

	if (other_hosts <= cross_share * (own_hosts + other_hosts - 1))
		return SCOPE_ANY;
	return g_rand_double(m->random) < cross_share ? SCOPE_OTHER_DOMAINS :
							SCOPE_OWN_DOMAIN;
}

static int in_scope(const struct membership *m, const struct member *member,
		    enum probe_scope scope)
{
	return scope == SCOPE_ANY ||
	       is_own_domain(m, member) == (scope == SCOPE_OWN_DOMAIN);
}

/* All hosts learn of a new host at about the same time: stagger the probes. */
static void randomize_first_probe(struct membership *m, struct member *member)
{
	uint64_t round_ms = m->table.up_count * m->settings.probe_period_ms;
	uint64_t ago_ms =
		(uint64_t)g_rand_int_range(m->random, 0, (gint)round_ms);

	member->probed_ms =
		m->table.now_ms > ago_ms ? m->table.now_ms - ago_ms : 1;
}

/* The host in scope whose last probe is the longest ago, or NULL. */
static struct member *least_recently_probed(struct membership *m,
					    enum probe_scope scope)
{
	struct member *oldest = NULL;

	for (guint i = 1; i < m->table.members->len; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		if (!host_is_up(&member->host) || !in_scope(m, member, scope))
			continue;
		if (!member->probed_ms)
			randomize_first_probe(m, member);
		if (!oldest || member->probed_ms < oldest->probed_ms)
			oldest = member;
	}
	return oldest;
}

static struct member *next_probe_target(struct membership *m)
{
	struct member *member = least_recently_probed(m, choose_probe_scope(m));

	if (!member)
		member = least_recently_probed(m, SCOPE_ANY);
	if (member)
		member->probed_ms = m->table.now_ms;
	return member;
}

static void send_indirect_probes(struct membership *m, struct outbox *outbox)
{
	for (uint32_t i = 0; i < m->settings.indirect_probes; i++) {
		struct member *proxy = random_member(m, 1);
		Fescue__Packet *packet;

		if (!proxy || proxy->host.address == m->probe_target)
			continue;
		packet = packet_create(FESCUE__PACKET__BODY_PING_REQUEST);
		packet->ping_request->sequence = m->probe_sequence;
		packet->ping_request->target = m->probe_target;
		packet->ping_request->gossip =
			create_gossip(m, proxy->host.address);
		outbox_send(outbox, proxy->host.address, PACKET_MEMBERSHIP,
			    packet);
	}
}

/* A target that answered neither directly nor through a proxy is suspect. */
static void finish_probe(struct membership *m)
{
	struct member *member = member_table_find(&m->table, m->probe_target);

	if (m->phase != PROBE_IDLE && member &&
	    member->host.state == HOST_ALIVE)
		member_table_set_state(&m->table, member, HOST_SUSPECT);
	m->phase = PROBE_IDLE;
}

/* Detect that a lost host is back or that a network partition has healed. */
static void probe_dead(struct membership *m, struct outbox *outbox)
{
	struct member *member;

	if (++m->periods % m->settings.dead_probe_periods)
		return;
	member = random_member(m, 0);
	if (member && in_scope(m, member, choose_probe_scope(m)))
		send_ping(m, member->host.address, ++m->sequence, outbox);
}

static void start_period(struct membership *m, struct outbox *outbox)
{
	struct member *member;

	finish_probe(m);
	member_table_expire(&m->table, m->settings.suspicion_ms,
			    m->settings.dead_retention_ms);
	probe_dead(m, outbox);
	m->next_period_ms = m->table.now_ms + m->settings.probe_period_ms;
	member = next_probe_target(m);
	if (!member)
		return;
	m->phase = PROBE_DIRECT;
	m->probe_target = member->host.address;
	m->probe_sequence = ++m->sequence;
	m->probe_started_ms = m->table.now_ms;
	send_ping(m, m->probe_target, m->probe_sequence, outbox);
}

/* Silence of peers while this node was frozen is no sign of their failure. */
static void recover_from_freeze(struct membership *m)
{
	m->phase = PROBE_IDLE;
	m->synced = 0;
	for (guint i = 1; i < m->table.members->len; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		member->state_since_ms = m->table.now_ms;
		member->floor_confirmed = 0;
	}
	member_table_raise_incarnation(&m->table, 0);
}

int membership_tick(struct membership *m, uint64_t now_ms,
		    struct outbox *outbox)
{
	uint64_t gap = now_ms - m->last_tick_ms;
	int frozen = gap > m->settings.suspicion_ms;

	m->table.now_ms = now_ms;
	m->last_tick_ms = now_ms;
	if (frozen)
		recover_from_freeze(m);
	if (m->phase == PROBE_DIRECT &&
	    now_ms >= m->probe_started_ms + m->settings.probe_timeout_ms) {
		m->phase = PROBE_INDIRECT;
		send_indirect_probes(m, outbox);
	}
	if (now_ms >= m->next_period_ms)
		start_period(m, outbox);
	return frozen;
}

struct membership *membership_create(const struct membership_settings *settings,
				     const struct host *self, uint32_t seed,
				     uint64_t now_ms)
{
	struct membership *m = g_new0(struct membership, 1);

	m->settings = *settings;
	m->random = g_rand_new_with_seed(seed);
	member_table_init(&m->table, self, now_ms);
	m->created_ms = now_ms;
	m->last_tick_ms = now_ms;
	m->last_ack_ms = now_ms;
	m->sequence = g_rand_int(m->random);
	m->next_period_ms =
		now_ms + (uint64_t)g_rand_int_range(
				 m->random, 0, (gint)settings->probe_period_ms);
	return m;
}

void membership_destroy(struct membership *m)
{
	if (!m)
		return;
	member_table_clear(&m->table);
	g_rand_free(m->random);
	g_free(m);
}

void membership_join(struct membership *m, uint64_t address,
		     struct outbox *outbox)
{
	const struct member *known = member_table_find(&m->table, address);

	if (address != member_table_self(&m->table)->host.address &&
	    (!known || !host_is_up(&known->host)))
		send_ping(m, address, ++m->sequence, outbox);
}

void membership_leave(struct membership *m, struct outbox *outbox)
{
	struct member *self = member_table_self(&m->table);
	struct host host = self->host;

	host.incarnation++;
	host.state = HOST_LEFT;
	host.serving = 0;
	member_table_update_own(&m->table, &host);
	for (int i = 0; i < LEAVE_FAN_OUT; i++) {
		struct member *member = random_member(m, 1);

		if (member)
			send_ping(m, member->host.address, ++m->sequence,
				  outbox);
	}
}

/* A host that left announced its version to others when it left. */
static int is_unconfirmed(const struct member *member)
{
	return !member->floor_confirmed && member->host.state != HOST_LEFT;
}

int membership_peers_confirmed(const struct membership *m)
{
	for (guint i = 1; i < m->table.members->len; i++)
		if (is_unconfirmed(g_ptr_array_index(m->table.members, i)))
			return 0;
	return m->table.members->len > 1;
}

void membership_probe_unconfirmed(struct membership *m, uint32_t max,
				  struct outbox *outbox)
{
	for (guint i = 1; i < m->table.members->len && max; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		if (!is_unconfirmed(member))
			continue;
		send_ping(m, member->host.address, ++m->sequence, outbox);
		max--;
	}
}

void membership_probe_random(struct membership *m, uint32_t count,
			     struct outbox *outbox)
{
	uint32_t cross_domain = count / CROSS_DOMAIN_PROBE_DIVISOR;

	if (m->table.up_count <= count + 1)
		cross_domain = count;
	shuffle_members(m);
	for (guint i = 1; i < m->table.members->len && count; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		if (!host_is_up(&member->host) ||
		    (!is_own_domain(m, member) && !cross_domain))
			continue;
		cross_domain -= !is_own_domain(m, member);
		send_ping(m, member->host.address, ++m->sequence, outbox);
		count--;
	}
}

void membership_assert_valid(const struct membership *m)
{
	member_table_assert_valid(&m->table);
}
