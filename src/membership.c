#include "fescue/membership.h"

#include "packet.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

#define SYNC_BUCKETS 64
#define RELAYED_PROBES_MAX 32
#define LEAVE_FAN_OUT 8
#define TRANSMIT_FACTOR 3

const struct membership_settings membership_defaults = {
	.probe_period_ms = 1000,
	.probe_timeout_ms = 300,
	.indirect_probes = 3,
	.suspicion_ms = 3000,
	.updates_per_packet = 6,
	.sync_interval_ms = 5000,
	.dead_retention_ms = 600000,
	.dead_probe_periods = 5,
};

struct member {
	struct host host;
	uint32_t transmits; /* times the record was passed on */
	int queued;	    /* in the update queue */
	uint64_t state_since_ms;
};

/* A probe sent on behalf of another host. */
struct relayed_probe {
	uint32_t own_sequence;
	uint32_t their_sequence;
	uint64_t requester;
};

enum probe_phase { PROBE_IDLE, PROBE_DIRECT, PROBE_INDIRECT };

struct membership {
	struct membership_settings settings;
	GRand *random;
	GPtrArray *members; /* struct member; index 0 is the own host */
	GHashTable *by_address;
	GQueue updates; /* struct member with records to pass on */
	uint64_t generation;
	uint64_t hash; /* of the configuration in force */
	uint64_t now_ms;
	uint64_t last_tick_ms;
	uint64_t last_contact_ms;
	uint64_t highest_version;
	uint64_t last_sync_ms;
	int synced;
	size_t up_count;
	uint32_t digests[SYNC_BUCKETS];
	uint32_t sequence;
	uint32_t periods;
	size_t probe_position;
	enum probe_phase phase;
	uint64_t probe_target;
	uint32_t probe_sequence;
	uint64_t probe_started_ms;
	uint64_t next_period_ms;
	struct relayed_probe relayed[RELAYED_PROBES_MAX];
	size_t relayed_next;
};

static struct member *self_member(const struct membership *m)
{
	return g_ptr_array_index(m->members, 0);
}

static struct member *find_member(const struct membership *m, uint64_t address)
{
	return g_hash_table_lookup(m->by_address, &address);
}

static uint32_t bucket_of(uint64_t address)
{
	return (uint32_t)(XXH64(&address, sizeof(address), 1) % SYNC_BUCKETS);
}

static uint32_t record_digest(const struct host *host)
{
	uint64_t key[2] = {host->address, host->incarnation};

	return (uint32_t)XXH64(key, sizeof(key), 2);
}

/* Add or remove the record's share in its bucket's digest. */
static void toggle_digest(struct membership *m, const struct host *host)
{
	if (host_is_up(host))
		m->digests[bucket_of(host->address)] ^= record_digest(host);
}

static uint32_t table_digest(const struct membership *m)
{
	uint32_t digest = 0;

	for (size_t i = 0; i < SYNC_BUCKETS; i++)
		digest = digest * 31 + m->digests[i];
	return digest;
}

static void queue_update(struct membership *m, struct member *member)
{
	member->transmits = 0;
	if (member->queued)
		return;
	member->queued = 1;
	g_queue_push_head(&m->updates, member);
}

static int visible_change(const struct host *a, const struct host *b)
{
	return host_is_up(a) != host_is_up(b) || a->serving != b->serving ||
	       a->slots != b->slots || strcmp(a->service, b->service) != 0 ||
	       strcmp(a->failure_domain, b->failure_domain) != 0;
}

/* Replace a member's record and keep digest, counts and queue in step. */
static void store_record(struct membership *m, struct member *member,
			 const struct host *host)
{
	if (visible_change(&member->host, host))
		m->generation++;
	if (member->host.state != host->state)
		member->state_since_ms = m->now_ms;
	toggle_digest(m, &member->host);
	m->up_count -= (size_t)host_is_up(&member->host);
	member->host = *host;
	m->up_count += (size_t)host_is_up(&member->host);
	toggle_digest(m, &member->host);
	queue_update(m, member);
}

static struct member *add_member(struct membership *m, const struct host *host)
{
	struct member *member = g_new0(struct member, 1);

	member->host = *host;
	member->state_since_ms = m->now_ms;
	g_ptr_array_add(m->members, member);
	g_hash_table_insert(m->by_address, &member->host.address, member);
	toggle_digest(m, &member->host);
	if (host_is_up(host)) {
		m->up_count++;
		m->generation++;
	}
	queue_update(m, member);
	return member;
}

/* Raise the own incarnation so that the own record wins everywhere. */
static void raise_own(struct membership *m, uint64_t above)
{
	struct member *self = self_member(m);
	struct host host = self->host;

	host.incarnation = MAX(host.incarnation, above) + 1;
	store_record(m, self, &host);
}

static void record_to_host(const Fescue__Member *record, struct host *host)
{
	memset(host, 0, sizeof(*host));
	host->address = record->address;
	host->incarnation = record->incarnation;
	host->state = (enum host_state)record->state;
	g_strlcpy(host->failure_domain, record->failure_domain,
		  sizeof(host->failure_domain));
	g_strlcpy(host->service, record->service, sizeof(host->service));
	host->slots = record->slots;
	host->serving = record->serving;
	host->operator_port = (uint16_t)record->operator_port;
	host->caller_port = (uint16_t)record->caller_port;
}

static Fescue__Member *host_to_record(const struct host *host)
{
	Fescue__Member *record = g_new(Fescue__Member, 1);

	fescue__member__init(record);
	record->address = host->address;
	record->incarnation = host->incarnation;
	record->state = (Fescue__MemberState)host->state;
	packet_set_string(&record->failure_domain, host->failure_domain);
	packet_set_string(&record->service, host->service);
	record->slots = host->slots;
	record->serving = host->serving;
	record->operator_port = host->operator_port;
	record->caller_port = host->caller_port;
	return record;
}

static int record_wins(const struct host *theirs, const struct host *ours)
{
	if (theirs->incarnation != ours->incarnation)
		return theirs->incarnation > ours->incarnation;
	return theirs->state > ours->state;
}

static void merge_own(struct membership *m, const struct host *theirs)
{
	const struct host *own = &self_member(m)->host;

	if (theirs->incarnation > own->incarnation ||
	    (theirs->incarnation == own->incarnation &&
	     theirs->state != own->state))
		raise_own(m, theirs->incarnation);
}

static void merge_record(struct membership *m, const Fescue__Member *record)
{
	struct host host;
	struct member *member;

	if (!record || (unsigned)record->state > HOST_LEFT)
		return;
	record_to_host(record, &host);
	if (host.address == self_member(m)->host.address) {
		merge_own(m, &host);
		return;
	}
	member = find_member(m, host.address);
	if (!member) {
		add_member(m, &host);
	} else if (record_wins(&host, &member->host)) {
		host.version = member->host.version;
		store_record(m, member, &host);
	}
}

static uint32_t transmit_limit(const struct membership *m)
{
	uint32_t bits = 1;

	for (size_t n = m->up_count; n > 1; n /= 2)
		bits++;
	return TRANSMIT_FACTOR * bits;
}

static void add_update(Fescue__Gossip *gossip, struct host *host)
{
	gossip->updates[gossip->n_updates++] = host_to_record(host);
}

/* Fill in the freshest records; each is passed on a bounded number of times.
 */
static void add_updates(struct membership *m, uint64_t to,
			Fescue__Gossip *gossip)
{
	uint32_t room = m->settings.updates_per_packet;
	struct member *receiver = find_member(m, to);
	uint32_t limit = transmit_limit(m);
	guint turns = g_queue_get_length(&m->updates);

	gossip->updates = g_new(Fescue__Member *, room + 1);
	/* A host that is not known to be alive must learn of it to refute. */
	if (receiver && receiver->host.state != HOST_ALIVE)
		add_update(gossip, &receiver->host);
	while (turns-- && gossip->n_updates < room) {
		struct member *member = g_queue_pop_head(&m->updates);

		add_update(gossip, &member->host);
		if (++member->transmits < limit)
			g_queue_push_tail(&m->updates, member);
		else
			member->queued = 0;
	}
}

static Fescue__Gossip *create_gossip(struct membership *m, uint64_t to)
{
	Fescue__Gossip *gossip = g_new(Fescue__Gossip, 1);
	const struct host *own = &self_member(m)->host;

	fescue__gossip__init(gossip);
	gossip->self = host_to_record(own);
	gossip->version = own->version;
	gossip->hash = m->hash;
	gossip->table_digest = table_digest(m);
	add_updates(m, to, gossip);
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

static void send_sync_request(struct membership *m, uint64_t to,
			      struct outbox *outbox)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_SYNC_REQUEST);
	Fescue__SyncRequest *request = packet->sync_request;

	request->n_bucket_digests = SYNC_BUCKETS;
	request->bucket_digests = g_memdup2(m->digests, sizeof(m->digests));
	m->last_sync_ms = m->now_ms;
	outbox_send(outbox, to, PACKET_REPAIR, packet);
}

static int sync_is_due(const struct membership *m, uint32_t their_digest)
{
	if (!m->synced)
		return m->now_ms >=
		       m->last_sync_ms + m->settings.probe_timeout_ms;
	return their_digest != table_digest(m) &&
	       m->now_ms >= m->last_sync_ms + m->settings.sync_interval_ms;
}

static void receive_gossip(struct membership *m, uint64_t from,
			   const Fescue__Gossip *gossip, struct outbox *outbox)
{
	struct member *member;

	if (!gossip)
		return;
	merge_record(m, gossip->self);
	for (size_t i = 0; i < gossip->n_updates; i++)
		merge_record(m, gossip->updates[i]);
	member = find_member(m, from);
	if (member && gossip->version > member->host.version)
		member->host.version = gossip->version;
	m->highest_version = MAX(m->highest_version, gossip->version);
	if (sync_is_due(m, gossip->table_digest))
		send_sync_request(m, from, outbox);
}

static int member_is_in_buckets(const struct member *member,
				const uint8_t *wanted)
{
	return wanted[bucket_of(member->host.address)];
}

static Fescue__Packet *create_sync_reply(const struct membership *m,
					 const uint8_t *wanted)
{
	Fescue__Packet *packet = packet_create(FESCUE__PACKET__BODY_SYNC_REPLY);
	Fescue__SyncReply *reply = packet->sync_reply;

	reply->members = g_new(Fescue__Member *, m->members->len);
	for (guint i = 0; i < m->members->len; i++) {
		const struct member *member = g_ptr_array_index(m->members, i);

		if (member_is_in_buckets(member, wanted))
			reply->members[reply->n_members++] =
				host_to_record(&member->host);
	}
	return packet;
}

static void receive_sync_request(struct membership *m, uint64_t from,
				 const Fescue__SyncRequest *request,
				 struct outbox *outbox)
{
	uint8_t wanted[SYNC_BUCKETS] = {0};
	Fescue__Packet *packet;
	Fescue__SyncReply *reply;

	if (request->n_bucket_digests != SYNC_BUCKETS)
		return;
	for (size_t i = 0; i < SYNC_BUCKETS; i++)
		wanted[i] = request->bucket_digests[i] != m->digests[i];
	packet = create_sync_reply(m, wanted);
	reply = packet->sync_reply;
	reply->buckets = g_new(uint32_t, SYNC_BUCKETS);
	for (uint32_t i = 0; i < SYNC_BUCKETS; i++)
		if (wanted[i])
			reply->buckets[reply->n_buckets++] = i;
	outbox_send(outbox, from, PACKET_REPAIR, packet);
}

static void receive_sync_reply(struct membership *m, uint64_t from,
			       const Fescue__SyncReply *reply,
			       struct outbox *outbox)
{
	uint8_t wanted[SYNC_BUCKETS] = {0};

	for (size_t i = 0; i < reply->n_buckets; i++)
		if (reply->buckets[i] < SYNC_BUCKETS)
			wanted[reply->buckets[i]] = 1;
	if (reply->n_buckets)
		outbox_send(outbox, from, PACKET_REPAIR,
			    create_sync_reply(m, wanted));
	for (size_t i = 0; i < reply->n_members; i++)
		merge_record(m, reply->members[i]);
	m->synced = 1;
}

static void receive_ack(struct membership *m, uint32_t sequence,
			struct outbox *outbox)
{
	m->last_contact_ms = m->now_ms;
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
	m->now_ms = now_ms;
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

static void set_state(struct membership *m, struct member *member,
		      enum host_state state)
{
	struct host host = member->host;

	host.state = state;
	store_record(m, member, &host);
}

static void forget_member(struct membership *m, guint index)
{
	struct member *member = g_ptr_array_index(m->members, index);

	if (member->queued)
		g_queue_remove(&m->updates, member);
	g_hash_table_remove(m->by_address, &member->host.address);
	g_ptr_array_remove_index_fast(m->members, index);
	g_free(member);
}

/* Declare overdue suspects dead and forget old tombstones. */
static void expire_members(struct membership *m)
{
	for (guint i = m->members->len - 1; i >= 1; i--) {
		struct member *member = g_ptr_array_index(m->members, i);
		uint64_t age = m->now_ms - member->state_since_ms;

		if (member->host.state == HOST_SUSPECT &&
		    age >= m->settings.suspicion_ms)
			set_state(m, member, HOST_DEAD);
		else if (!host_is_up(&member->host) &&
			 age >= m->settings.dead_retention_ms)
			forget_member(m, i);
	}
}

static void shuffle_members(struct membership *m)
{
	for (guint i = m->members->len - 1; i > 1; i--) {
		guint j = (guint)g_rand_int_range(m->random, 1, (gint)i + 1);
		gpointer swap = m->members->pdata[i];

		m->members->pdata[i] = m->members->pdata[j];
		m->members->pdata[j] = swap;
	}
}

static struct member *random_member(struct membership *m, int up)
{
	for (int tries = 0; tries < 8 && m->members->len > 1; tries++) {
		gint i = g_rand_int_range(m->random, 1, (gint)m->members->len);
		struct member *member = g_ptr_array_index(m->members, i);

		if (host_is_up(&member->host) == up)
			return member;
	}
	return NULL;
}

/* Next host in a shuffled round, so that each is probed once a round. */
static struct member *next_probe(struct membership *m)
{
	for (guint turns = m->members->len; turns; turns--) {
		struct member *member;

		if (++m->probe_position >= m->members->len) {
			m->probe_position = 0;
			shuffle_members(m);
			continue;
		}
		member = g_ptr_array_index(m->members, m->probe_position);
		if (host_is_up(&member->host))
			return member;
	}
	return NULL;
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
	struct member *member = find_member(m, m->probe_target);

	if (m->phase != PROBE_IDLE && member &&
	    member->host.state == HOST_ALIVE)
		set_state(m, member, HOST_SUSPECT);
	m->phase = PROBE_IDLE;
}

/* Now and then, look whether a dead host is back or a cut has healed. */
static void probe_dead(struct membership *m, struct outbox *outbox)
{
	struct member *member;

	if (++m->periods % m->settings.dead_probe_periods)
		return;
	member = random_member(m, 0);
	if (member)
		send_ping(m, member->host.address, ++m->sequence, outbox);
}

static void start_period(struct membership *m, struct outbox *outbox)
{
	struct member *member;

	finish_probe(m);
	expire_members(m);
	probe_dead(m, outbox);
	m->next_period_ms = m->now_ms + m->settings.probe_period_ms;
	member = next_probe(m);
	if (!member)
		return;
	m->phase = PROBE_DIRECT;
	m->probe_target = member->host.address;
	m->probe_sequence = ++m->sequence;
	m->probe_started_ms = m->now_ms;
	send_ping(m, m->probe_target, m->probe_sequence, outbox);
}

/* After a freeze no silence of a peer counts against it. */
static void recover_from_freeze(struct membership *m)
{
	m->phase = PROBE_IDLE;
	m->synced = 0;
	for (guint i = 1; i < m->members->len; i++) {
		struct member *member = g_ptr_array_index(m->members, i);

		member->state_since_ms = m->now_ms;
	}
	raise_own(m, 0);
}

int membership_tick(struct membership *m, uint64_t now_ms,
		    struct outbox *outbox)
{
	uint64_t gap = now_ms - m->last_tick_ms;
	int frozen = gap > m->settings.suspicion_ms;

	m->now_ms = now_ms;
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
	m->members = g_ptr_array_new();
	m->by_address = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&m->updates);
	m->now_ms = now_ms;
	m->last_tick_ms = now_ms;
	m->last_contact_ms = now_ms;
	m->sequence = g_rand_int(m->random);
	m->next_period_ms =
		now_ms + (uint64_t)g_rand_int_range(
				 m->random, 0, (gint)settings->probe_period_ms);
	add_member(m, self);
	return m;
}

void membership_destroy(struct membership *m)
{
	if (!m)
		return;
	g_queue_clear(&m->updates);
	g_hash_table_destroy(m->by_address);
	for (guint i = 0; i < m->members->len; i++)
		g_free(g_ptr_array_index(m->members, i));
	g_ptr_array_free(m->members, TRUE);
	g_rand_free(m->random);
	g_free(m);
}

void membership_set_backend(struct membership *m, const char *service,
			    uint32_t slots, int serving)
{
	struct member *self = self_member(m);
	struct host host = self->host;

	g_strlcpy(host.service, service, sizeof(host.service));
	host.slots = slots;
	host.serving = serving;
	if (!visible_change(&self->host, &host))
		return;
	host.incarnation++;
	store_record(m, self, &host);
}

void membership_set_version(struct membership *m, uint64_t version,
			    uint64_t hash)
{
	struct member *self = self_member(m);

	assert(version >= self->host.version);
	self->host.version = version;
	m->hash = hash;
	m->highest_version = MAX(m->highest_version, version);
}

void membership_join(struct membership *m, uint64_t address,
		     struct outbox *outbox)
{
	const struct member *known = find_member(m, address);

	if (address != self_member(m)->host.address &&
	    (!known || !host_is_up(&known->host)))
		send_ping(m, address, ++m->sequence, outbox);
}

void membership_leave(struct membership *m, struct outbox *outbox)
{
	struct member *self = self_member(m);
	struct host host = self->host;

	host.incarnation++;
	host.state = HOST_LEFT;
	host.serving = 0;
	store_record(m, self, &host);
	for (int i = 0; i < LEAVE_FAN_OUT; i++) {
		struct member *member = random_member(m, 1);

		if (member)
			send_ping(m, member->host.address, ++m->sequence,
				  outbox);
	}
}

uint64_t membership_generation(const struct membership *m)
{
	return m->generation;
}

size_t membership_count(const struct membership *m)
{
	return m->members->len;
}

const struct host *membership_host(const struct membership *m, size_t i)
{
	const struct member *member;

	assert(i < m->members->len);
	member = g_ptr_array_index(m->members, i);
	return &member->host;
}

const struct host *membership_find(const struct membership *m, uint64_t address)
{
	const struct member *member = find_member(m, address);

	return member ? &member->host : NULL;
}

const struct host *membership_self(const struct membership *m)
{
	return &self_member(m)->host;
}

size_t membership_up_count(const struct membership *m)
{
	return m->up_count;
}

uint64_t membership_last_contact_ms(const struct membership *m)
{
	return m->last_contact_ms;
}

uint64_t membership_highest_version(const struct membership *m)
{
	return m->highest_version;
}

int membership_is_synced(const struct membership *m)
{
	return m->synced;
}

void membership_reset_sync(struct membership *m)
{
	m->synced = 0;
}

void membership_assert_valid(const struct membership *m)
{
	uint32_t digests[SYNC_BUCKETS] = {0};
	size_t up = 0;

	for (guint i = 0; i < m->members->len; i++) {
		const struct host *host = membership_host(m, i);

		if (!host_is_up(host))
			continue;
		up++;
		digests[bucket_of(host->address)] ^= record_digest(host);
	}
	assert(up == m->up_count);
	assert(!memcmp(digests, m->digests, sizeof(digests)));
	assert(membership_self(m)->state != HOST_DEAD);
	assert(membership_self(m)->state != HOST_SUSPECT);
}
