#include "member_table.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

#define TRANSMIT_FACTOR 3

struct member *member_table_self(const struct member_table *t)
{
	return g_ptr_array_index(t->members, 0);
}

struct member *member_table_find(const struct member_table *t, uint64_t address)
{
	return g_hash_table_lookup(t->by_address, &address);
}

uint32_t member_bucket(uint64_t address)
{
	return (uint32_t)(XXH64(&address, sizeof(address), 1) % MEMBER_BUCKETS);
}

static uint32_t record_digest(const struct host *host)
{
	uint64_t key[2] = { host->address, host->incarnation };

	return (uint32_t)XXH64(key, sizeof(key), 2);
}

/* Add a record to its bucket's digest, or remove it if it was added before. */
static void toggle_digest(struct member_table *t, const struct host *host)
{
	if (host_is_up(host))
		t->digests[member_bucket(host->address)] ^= record_digest(host);
}

uint32_t member_table_digest(const struct member_table *t)
{
	uint32_t digest = 0;

	for (size_t i = 0; i < MEMBER_BUCKETS; i++)
		digest = digest * 31 + t->digests[i];
	return digest;
}

static void queue_update(struct member_table *t, struct member *member)
{
	member->transmits = 0;
	if (member->queued)
		return;
	member->queued = 1;
	g_queue_push_head(&t->updates, member);
}

/* Replace a member's record, update digest and counters, queue its gossip. */
static void store_record(struct member_table *t, struct member *member,
			 const struct host *host)
{
	if (host_routing_differs(&member->host, host))
		t->generation++;
	if (member->host.store_lost != host->store_lost)
		t->store_changes++;
	if (member->host.state != host->state)
		member->state_since_ms = t->now_ms;
	toggle_digest(t, &member->host);
	t->up_count -= (size_t)host_is_up(&member->host);
	member->host = *host;
	t->up_count += (size_t)host_is_up(&member->host);
	toggle_digest(t, &member->host);
	queue_update(t, member);
}

static struct member *add_member(struct member_table *t,
				 const struct host *host, int gossip_new)
{
	struct member *member = g_new0(struct member, 1);

	member->host = *host;
	member->state_since_ms = t->now_ms;
	g_ptr_array_add(t->members, member);
	g_hash_table_insert(t->by_address, &member->host.address, member);
	toggle_digest(t, &member->host);
	if (host_is_up(host)) {
		t->up_count++;
		t->generation++;
	}
	if (gossip_new)
		queue_update(t, member);
	return member;
}

void member_table_raise_incarnation(struct member_table *t, uint64_t above)
{
	struct member *self = member_table_self(t);
	struct host host = self->host;

	host.incarnation = MAX(host.incarnation, above) + 1;
	store_record(t, self, &host);
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
	g_strlcpy(host->backend_version, record->backend_version,
		  sizeof(host->backend_version));
	host->slots = record->slots;
	host->capacity = record->capacity;
	host->epoch = record->epoch;
	host->left = record->left;
	host->store_lost = record->store_lost;
	host->serving = record->serving;
	host->operator_port = (uint16_t)record->operator_port;
	host->caller_port = (uint16_t)record->caller_port;
}

Fescue__Member *member_record_create(const struct host *host)
{
	Fescue__Member *record = g_new(Fescue__Member, 1);

	fescue__member__init(record);
	record->address = host->address;
	record->incarnation = host->incarnation;
	record->state = (Fescue__MemberState)host->state;
	packet_set_string(&record->failure_domain, host->failure_domain);
	packet_set_string(&record->service, host->service);
	/* An empty string in allocated memory takes no bytes in the packet. */
	packet_set_string(&record->backend_version, host->backend_version);
	record->slots = host->slots;
	record->capacity = host->capacity;
	record->epoch = host->epoch;
	record->left = host->left;
	record->store_lost = host->store_lost;
	record->serving = host->serving;
	record->operator_port = host->operator_port;
	record->caller_port = host->caller_port;
	return record;
}

static int record_overrides(const struct host *theirs, const struct host *ours)
{
	if (theirs->incarnation != ours->incarnation)
		return theirs->incarnation > ours->incarnation;
	return theirs->state > ours->state;
}

/*
 * Restore from a peer's record the leaving backend server that this node had
 * announced before it restarted.
 */
static void restore_leaving(struct member_table *t, uint64_t left)
{
	struct member *self = member_table_self(t);
	struct host host = self->host;

	host.left = left;
	host.incarnation++;
	store_record(t, self, &host);
}

/*
 * The first record after a node's restart lacks the leaving backend server that
 * the node had announced: keep it until the node has restored it.
 */
static void keep_unrestored_leaving(struct member *member, struct host *next)
{
	const struct host *old = &member->host;

	member->leaving_unrestored =
		!next->left && old->left &&
		(member->leaving_unrestored || next->epoch != old->epoch);
	if (member->leaving_unrestored)
		next->left = old->left;
}

static void merge_own(struct member_table *t, const struct host *theirs)
{
	const struct host *own = &member_table_self(t)->host;

	if (theirs->left && !own->left)
		restore_leaving(t, theirs->left);
	if (theirs->incarnation > own->incarnation ||
	    (theirs->incarnation == own->incarnation &&
	     theirs->state != own->state))
		member_table_raise_incarnation(t, theirs->incarnation);
}

void member_table_merge(struct member_table *t, const Fescue__Member *record,
			int gossip_new)
{
	struct host host;
	struct member *member;

	if (!record || (unsigned)record->state > HOST_LEFT)
		return;
	record_to_host(record, &host);
	if (host.address == member_table_self(t)->host.address) {
		merge_own(t, &host);
		return;
	}
	member = member_table_find(t, host.address);
	if (!member) {
		add_member(t, &host, gossip_new);
	} else if (record_overrides(&host, &member->host)) {
		host.version = member->host.version;
		keep_unrestored_leaving(member, &host);
		store_record(t, member, &host);
	}
}

/*
 * Transmissions per record. Gossip reaches n hosts with high probability when
 * this grows with the logarithm of n.
 */
static uint32_t transmit_limit(const struct member_table *t)
{
	uint32_t bits = 1; /* of up_count */

	for (size_t n = t->up_count; n > 1; n /= 2)
		bits++;
	return TRANSMIT_FACTOR * bits;
}

static void add_update(Fescue__Gossip *gossip, struct host *host)
{
	gossip->updates[gossip->n_updates++] = member_record_create(host);
}

void member_table_add_updates(struct member_table *t, uint64_t to,
			      uint32_t max_updates, Fescue__Gossip *gossip)
{
	struct member *receiver = member_table_find(t, to);
	uint32_t limit = transmit_limit(t);
	guint queued = g_queue_get_length(&t->updates);

	gossip->updates = g_new(Fescue__Member *, max_updates + 1);
	/*
	 * A host that is not known to be alive needs the record to refute it, a
	 * restarted one to restore its leaving backend server.
	 */
	if (receiver && (receiver->host.state != HOST_ALIVE ||
			 receiver->leaving_unrestored))
		add_update(gossip, &receiver->host);
	while (queued-- && gossip->n_updates < max_updates) {
		struct member *member = g_queue_pop_head(&t->updates);

		add_update(gossip, &member->host);
		if (++member->transmits < limit)
			g_queue_push_tail(&t->updates, member);
		else
			member->queued = 0;
	}
}

void member_table_set_state(struct member_table *t, struct member *member,
			    enum host_state state)
{
	struct host host = member->host;

	host.state = state;
	store_record(t, member, &host);
}

static void remove_member(struct member_table *t, guint index)
{
	struct member *member = g_ptr_array_index(t->members, index);

	if (member->queued)
		g_queue_remove(&t->updates, member);
	g_hash_table_remove(t->by_address, &member->host.address);
	g_ptr_array_remove_index_fast(t->members, index);
	g_free(member);
}

void member_table_expire(struct member_table *t, uint32_t suspicion_ms,
			 uint32_t dead_retention_ms)
{
	for (guint i = t->members->len - 1; i >= 1; i--) {
		struct member *member = g_ptr_array_index(t->members, i);
		uint64_t age = t->now_ms - member->state_since_ms;

		if (member->host.state == HOST_SUSPECT && age >= suspicion_ms)
			member_table_set_state(t, member, HOST_DEAD);
		else if (!host_is_up(&member->host) && age >= dead_retention_ms)
			remove_member(t, i);
	}
}

void member_table_update_own(struct member_table *t, const struct host *host)
{
	assert(host->address == member_table_self(t)->host.address);
	store_record(t, member_table_self(t), host);
}

void member_table_init(struct member_table *t, const struct host *self,
		       uint64_t now_ms)
{
	memset(t, 0, sizeof(*t));
	t->now_ms = now_ms;
	t->members = g_ptr_array_new();
	t->by_address = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&t->updates);
	add_member(t, self, 1);
}

void member_table_clear(struct member_table *t)
{
	g_queue_clear(&t->updates);
	g_hash_table_destroy(t->by_address);
	for (guint i = 0; i < t->members->len; i++)
		g_free(g_ptr_array_index(t->members, i));
	g_ptr_array_free(t->members, TRUE);
}

void member_table_assert_valid(const struct member_table *t)
{
	uint32_t digests[MEMBER_BUCKETS] = { 0 };
	size_t up = 0;

	for (guint i = 0; i < t->members->len; i++) {
		const struct member *member = g_ptr_array_index(t->members, i);

		if (!host_is_up(&member->host))
			continue;
		up++;
		digests[member_bucket(member->host.address)] ^=
			record_digest(&member->host);
	}
	assert(up == t->up_count);
	assert(!memcmp(digests, t->digests, sizeof(digests)));
	assert(member_table_self(t)->host.state == HOST_ALIVE ||
	       member_table_self(t)->host.state == HOST_LEFT);
}
