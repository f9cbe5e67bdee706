#include "fescue/membership.h"

#include "membership_state.h"

#include <assert.h>
#include <string.h>

#define LEAVE_FAN_OUT 8
#define SYNC_RECORDS_MAX 128 /* about 8 KB an answer */
/*
 * Hosts of a domain that, in the mean, probe other domains each period: what
 * crosses between domains does not grow with the hosts in them.
 */
#define CROSS_PROBERS 4
/* Peers of other domains that are told of news at once, of so many peers. */
#define CROSS_NEWS_DIVISOR 3
/* A newcomer takes the table of a host of its own domain if it meets one. */
#define OWN_DOMAIN_FIRST_MS 500

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
	gossip->confirmed = m->confirmed;
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

/* Hosts that are up in the own domain, the own one included. */
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

/* A newcomer asks for a whole table, of its own domain first. */
static int newcomer_sync_is_due(const struct membership *m, int own_domain)
{
	uint64_t now_ms = m->table.now_ms;

	return (own_domain || now_ms >= m->created_ms + OWN_DOMAIN_FIRST_MS) &&
	       now_ms >= m->last_sync_ms + m->settings.probe_timeout_ms;
}

/*
 * Is it time to compare tables with a peer? With one of another domain as much
 * less often as there are more hosts that may do so.
 */
static int sync_is_due(const struct membership *m, const struct member *peer,
		       uint32_t their_digest)
{
	int own_domain = peer && is_own_domain(m, peer);
	uint64_t interval_ms = m->settings.sync_interval_ms, hosts;

	if (!m->synced)
		return newcomer_sync_is_due(m, own_domain);
	if (their_digest == member_table_digest(&m->table))
		return 0;
	if (own_domain)
		return m->table.now_ms >= m->last_sync_ms + interval_ms;
	hosts = count_own_domain(m);
	interval_ms = interval_ms * MAX(hosts, CROSS_PROBERS) / CROSS_PROBERS;
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
		member->vouches = gossip->confirmed;
		member->host.version =
			MAX(member->host.version, gossip->version);
	}
	m->highest_version =
		MAX(m->highest_version, MAX(gossip->version, gossip->floor));
	if (sync_is_due(m, member, gossip->table_digest))
		send_sync_request(m, from, member && is_own_domain(m, member),
				  outbox);
}

static int member_is_in_buckets(const struct member *member,
				const uint8_t *wanted)
{
	return wanted[member_bucket(member->host.address)];
}

static Fescue__Packet *create_sync_reply(const struct membership *m,
					 const uint8_t *wanted)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_SYNC_REPLY);
	Fescue__SyncReply *reply = packet->sync_reply;

	reply->members = g_new(Fescue__Member *, m->table.members->len);
	for (guint i = 0; i < m->table.members->len; i++) {
		const struct member *member =
			g_ptr_array_index(m->table.members, i);

		if (member_is_in_buckets(member, wanted))
			reply->members[reply->n_members++] =
				member_record_create(&member->host);
	}
	return packet;
}

/*
 * Mark differing buckets, from a random one on, until they hold as many
 * records as one answer may; a newcomer gets them all.
 */
static void choose_buckets(struct membership *m,
			   const Fescue__SyncRequest *request, uint8_t *wanted)
{
	size_t first = (size_t)g_rand_int_range(m->random, 0, MEMBER_BUCKETS);
	size_t share = m->table.members->len / MEMBER_BUCKETS + 1;
	size_t room = request->whole ? SIZE_MAX : SYNC_RECORDS_MAX;

	for (size_t i = 0; i < MEMBER_BUCKETS && room >= share; i++) {
		size_t bucket = (first + i) % MEMBER_BUCKETS;

		if (request->bucket_digests[bucket] == m->table.digests[bucket])
			continue;
		wanted[bucket] = 1;
		room -= share;
	}
}

static void receive_sync_request(struct membership *m, uint64_t from,
				 const Fescue__SyncRequest *request,
				 struct outbox *outbox)
{
	uint8_t wanted[MEMBER_BUCKETS] = { 0 };
	Fescue__Packet *packet;
	Fescue__SyncReply *reply;

	if (request->n_bucket_digests != MEMBER_BUCKETS)
		return;
	choose_buckets(m, request, wanted);
	packet = create_sync_reply(m, wanted);
	reply = packet->sync_reply;
	reply->buckets = g_new(uint32_t, MEMBER_BUCKETS);
	for (uint32_t i = 0; i < MEMBER_BUCKETS; i++)
		if (wanted[i])
			reply->buckets[reply->n_buckets++] = i;
	outbox_send(outbox, from, PACKET_REPAIR, packet);
}

static void receive_sync_reply(struct membership *m, uint64_t from,
			       const Fescue__SyncReply *reply,
			       struct outbox *outbox)
{
	uint8_t wanted[MEMBER_BUCKETS] = { 0 };

	for (size_t i = 0; i < reply->n_buckets; i++)
		if (reply->buckets[i] < MEMBER_BUCKETS)
			wanted[reply->buckets[i]] = 1;
	if (reply->n_buckets)
		outbox_send(outbox, from, PACKET_REPAIR,
			    create_sync_reply(m, wanted));
	for (size_t i = 0; i < reply->n_members; i++)
		member_table_merge(&m->table, reply->members[i], 0);
	m->synced = 1;
}

static void receive_ack(struct membership *m, uint32_t sequence,
			struct outbox *outbox)
{
	m->last_contact_ms = m->table.now_ms;
	if (m->phase != PROBE_IDLE && sequence == m->probe_sequence) {
		m->phase = PROBE_IDLE;
		return;
	}
	for (size_t i = 0; i < RELAYED_PROBES_MAX; i++) {
		struct relayed_probe *probe = &m->relayed[i];

		if (!probe->requester || probe->own_sequence != sequence)
			continue;
		send_ack(m, probe->requester, probe->their_sequence, outbox);
		probe->requester = 0;
	}
}

static void receive_ping_request(struct membership *m, uint64_t from,
				 const Fescue__PingRequest *request,
				 struct outbox *outbox)
{
	struct relayed_probe *probe =
		&m->relayed[m->relayed_next++ % RELAYED_PROBES_MAX];

	probe->requester = from;
	probe->their_sequence = request->sequence;
	probe->own_sequence = ++m->sequence;
	send_ping(m, request->target, probe->own_sequence, outbox);
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

static void shuffle_members(struct membership *m)
{
	for (guint i = m->table.members->len - 1; i > 1; i--) {
		guint j = (guint)g_rand_int_range(m->random, 1, (gint)i + 1);
		gpointer swap = m->table.members->pdata[i];

		m->table.members->pdata[i] = m->table.members->pdata[j];
		m->table.members->pdata[j] = swap;
	}
}

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

/* Which hosts a probe may go to. */
enum probe_side { SIDE_ANY, SIDE_OWN_DOMAIN, SIDE_OTHER_DOMAINS };

/*
 * In small fleets any host is probed. In large ones only CROSS_PROBERS hosts of
 * each domain, in the mean, probe other domains.
 */
static enum probe_side choose_side(struct membership *m)
{
	double own = (double)count_own_domain(m);
	double others = (double)m->table.up_count - own;
	double share = CROSS_PROBERS / MAX(own, 1);

	if (others <= share * (own + others - 1))
		return SIDE_ANY;
	return g_rand_double(m->random) < share ? SIDE_OTHER_DOMAINS :
						  SIDE_OWN_DOMAIN;
}

static int is_on_side(const struct membership *m, const struct member *member,
		      enum probe_side side)
{
	return side == SIDE_ANY ||
	       is_own_domain(m, member) == (side == SIDE_OWN_DOMAIN);
}

/* A host that is new to all is not probed by all at once. */
static void spread_first_probe(struct membership *m, struct member *member)
{
	uint64_t round_ms = m->table.up_count * m->settings.probe_period_ms;
	uint64_t ago_ms =
		(uint64_t)g_rand_int_range(m->random, 0, (gint)round_ms);

	member->probed_ms =
		m->table.now_ms > ago_ms ? m->table.now_ms - ago_ms : 1;
}

/* The host of a side that was not probed for longest, or NULL. */
static struct member *longest_unprobed(struct membership *m,
				       enum probe_side side)
{
	struct member *best = NULL;

	for (guint i = 1; i < m->table.members->len; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		if (!host_is_up(&member->host) || !is_on_side(m, member, side))
			continue;
		if (!member->probed_ms)
			spread_first_probe(m, member);
		if (!best || member->probed_ms < best->probed_ms)
			best = member;
	}
	return best;
}

static struct member *next_probe(struct membership *m)
{
	struct member *member = longest_unprobed(m, choose_side(m));

	if (!member)
		member = longest_unprobed(m, SIDE_ANY);
	if (member)
		member->probed_ms = m->table.now_ms;
	return member;
}

static void send_indirect_probes(struct membership *m, struct outbox *outbox)
{
	for (uint32_t i = 0; i < m->settings.indirect_probes; i++) {
		struct member *helper = random_member(m, 1);
		Fescue__Packet *packet;

		if (!helper || helper->host.address == m->probe_target)
			continue;
		packet = packet_create(FESCUE__PACKET__BODY_PING_REQUEST);
		packet->ping_request->sequence = m->probe_sequence;
		packet->ping_request->target = m->probe_target;
		packet->ping_request->gossip =
			create_gossip(m, helper->host.address);
		outbox_send(outbox, helper->host.address, PACKET_MEMBERSHIP,
			    packet);
	}
}

static void finish_probe(struct membership *m)
{
	struct member *member = member_table_find(&m->table, m->probe_target);

	if (m->phase != PROBE_IDLE && member &&
	    member->host.state == HOST_ALIVE)
		member_table_set_state(&m->table, member, HOST_SUSPECT);
	m->phase = PROBE_IDLE;
}

/* Look whether a lost host is back or a cut has healed. */
static void probe_dead(struct membership *m, struct outbox *outbox)
{
	struct member *member;

	if (++m->periods % m->settings.dead_probe_periods)
		return;
	member = random_member(m, 0);
	if (member && is_on_side(m, member, choose_side(m)))
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
	member = next_probe(m);
	if (!member)
		return;
	m->phase = PROBE_DIRECT;
	m->probe_target = member->host.address;
	m->probe_sequence = ++m->sequence;
	m->probe_started_ms = m->table.now_ms;
	send_ping(m, m->probe_target, m->probe_sequence, outbox);
}

/* After a freeze no silence of a peer counts against it. */
static void recover_from_freeze(struct membership *m)
{
	m->phase = PROBE_IDLE;
	m->synced = 0;
	for (guint i = 1; i < m->table.members->len; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		member->state_since_ms = m->table.now_ms;
		member->vouches = 0;
	}
	member_table_raise_own(&m->table, 0);
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
	m->last_contact_ms = now_ms;
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

static int must_vouch(const struct member *member)
{
	return !member->vouches && member->host.state != HOST_LEFT;
}

int membership_peers_vouch(const struct membership *m)
{
	for (guint i = 1; i < m->table.members->len; i++)
		if (must_vouch(g_ptr_array_index(m->table.members, i)))
			return 0;
	return m->table.members->len > 1;
}

void membership_ask_peers(struct membership *m, uint32_t max,
			  struct outbox *outbox)
{
	for (guint i = 1; i < m->table.members->len && max; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		if (!must_vouch(member))
			continue;
		send_ping(m, member->host.address, ++m->sequence, outbox);
		max--;
	}
}

void membership_probe_some(struct membership *m, uint32_t count,
			   struct outbox *outbox)
{
	uint32_t cross = count / CROSS_NEWS_DIVISOR;

	if (m->table.up_count <= count + 1)
		cross = count;
	shuffle_members(m);
	for (guint i = 1; i < m->table.members->len && count; i++) {
		struct member *member = g_ptr_array_index(m->table.members, i);

		if (!host_is_up(&member->host) ||
		    (!is_own_domain(m, member) && !cross))
			continue;
		cross -= !is_own_domain(m, member);
		send_ping(m, member->host.address, ++m->sequence, outbox);
		count--;
	}
}

void membership_assert_valid(const struct membership *m)
{
	member_table_assert_valid(&m->table);
}
