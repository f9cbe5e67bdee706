/*
 * Freshness of the active version: when the store last confirmed that it has no
 * newer one.
 *
 * The candidates for relays of a domain tell its hosts of each answer of the
 * store, and also when they get none. A host that misses such news reads the
 * store itself. So an undisturbed host that reaches the store gets each version
 * in bounded time, whatever happens to other hosts and to the links with them.
 * This also decides whether this host watches the store.
 */
#include "distribution_state.h"

#include "failure_domain.h"

/* Limits what a relay sends. */
#define DIRECT_HOSTS_MAX 32
/* Beyond the time between two answers to a relay. */
#define FRESH_MS 1200
/* Lets the candidates read first, and their news arrive. */
#define OTHERS_DELAY_MS 150
/* In which a host that starts reads the store, and relays learn of it. */
#define START_GRACE_MS 1200
#define REPORT_INTERVAL_MS 500
#define SEEKER_TTL_MS (2 * REPORT_INTERVAL_MS + 200)
/*
 * If so many candidates get no answer, the store is lost rather than the paths
 * of single hosts, and the others do not try it.
 */
#define SEEKERS_MAX 3
/*
 * Hosts per domain, in addition to its relays, that take over for relays that
 * cannot reach the store. The limit keeps the whole fleet from trying the store
 * while it is down.
 */
#define STANDBY_RELAYS 2

/*
 * Send a copy of the report to hosts. Many hosts are split into fan_out groups,
 * the first host of which forwards it to the others.
 */
static void send_report(const struct distribution *d,
			const Fescue__ConfigState *report,
			const uint64_t *hosts, size_t n, struct outbox *outbox)
{
	size_t groups =
		n <= DIRECT_HOSTS_MAX ? n : MIN(n, (size_t)d->settings.fan_out);
	size_t start = 0;

	for (size_t i = 0; i < groups; i++) {
		size_t len = (n - start) / (groups - i);
		Fescue__Packet *packet =
			packet_create(FESCUE__PACKET__BODY_CONFIG_STATE);
		Fescue__ConfigState *copy = packet->config_state;

		*copy = *report;
		copy->n_subtree = len - 1;
		copy->subtree = g_memdup2(hosts + start + 1,
					  (len - 1) * sizeof(*hosts));
		outbox_send(outbox, hosts[start], PACKET_CONFIG, packet);
		start += len;
	}
}

static void send_state(struct distribution *d, int confirmed, uint64_t now_ms,
		       struct outbox *outbox)
{
	const struct version_text *text = newest_text(d);
	/* Each host has a tree of its own, so that few miss all reports. */
	GArray *hosts =
		failure_domain_hosts(d->membership, "state",
				     membership_self(d->membership)->address);
	Fescue__ConfigState report;

	fescue__config_state__init(&report);
	report.confirmed = confirmed;
	report.rank = (uint32_t)d->candidate_rank;
	if (confirmed) {
		report.version = text->version;
		report.hash = text->hash;
		report.age_ms = (uint32_t)(now_ms - d->freshness.own_ms);
		report.store_revision = d->freshness.store_revision;
		report.store_era = d->freshness.store_era;
	}
	keys_fill_report(d, &report);
	send_report(d, &report, (const uint64_t *)hosts->data, hosts->len,
		    outbox);
	g_array_free(hosts, TRUE);
}

/* The report may have waited since the tick before the last one. */
static void forward_report(const struct distribution *d,
			   const Fescue__ConfigState *state, uint64_t now_ms,
			   struct outbox *outbox)
{
	Fescue__ConfigState report = *state;

	report.age_ms += (uint32_t)(now_ms - MIN(now_ms, d->previous_tick_ms));
	keys_fill_report(d, &report);
	send_report(d, &report, state->subtree, state->n_subtree, outbox);
}

static int reports_state(const struct distribution *d)
{
	return d->settings.mode == DISTRIBUTION_RELAY && d->is_candidate;
}

static void accept_confirmation(struct distribution *d,
				const struct confirmation *confirmation)
{
	struct freshness *f = &d->freshness;

	f->known_ms = MAX(f->known_ms, confirmation->as_of_ms);
	/* A revision of another era says nothing of this one. */
	if (confirmation->store_era == f->store_era)
		f->store_revision =
			MAX(f->store_revision, confirmation->store_revision);
	if (confirmation->rank < d->candidate_rank)
		f->better_ms = MAX(f->better_ms, confirmation->as_of_ms);
}

/* Accept the confirmation of a version that has arrived since. */
static void accept_ahead(struct distribution *d)
{
	struct confirmation *ahead = &d->freshness.ahead;

	if (!ahead->version || ahead->version > newest_text(d)->version)
		return;
	accept_confirmation(d, ahead);
	ahead->version = 0;
}

static size_t count_seekers(const struct freshness *f, uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < CANDIDATES_MAX; i++)
		n += f->seeker_ms[i] &&
		     now_ms < f->seeker_ms[i] + SEEKER_TTL_MS;
	return n;
}

/*
 * Whether this host is to read the store because no host that should have has
 * reported an answer of it.
 */
static int is_missed(struct distribution *d, uint64_t now_ms)
{
	struct freshness *f = &d->freshness;

	if (!f->better_ms)
		f->known_ms = f->better_ms = now_ms + START_GRACE_MS;
	if (d->settings.mode != DISTRIBUTION_RELAY)
		return 0;
	accept_ahead(d);
	if (keys_need_store(d, now_ms))
		return 1;
	/* Only hosts ranked before count, so that one of the rest goes on. */
	if (d->is_candidate)
		return now_ms >= f->better_ms + FRESH_MS;
	return now_ms >= f->known_ms + FRESH_MS + OTHERS_DELAY_MS &&
	       count_seekers(f, now_ms) < SEEKERS_MAX;
}

static void update_rank(struct distribution *d)
{
	uint64_t generation = membership_relay_generation(d->membership);
	struct domain_rank rank;

	if (generation == d->role_generation)
		return;
	d->role_generation = generation;
	rank = failure_domain_rank(d->membership, "relay");
	d->rank = rank.by_store_access;
	d->candidate_rank = rank.by_capacity;
	d->is_candidate = rank.by_capacity <
			  d->settings.relays_per_domain + STANDBY_RELAYS;
	/*
	 * A candidate that cannot reach the store keeps watching, so that it
	 * notices when the store is back.
	 */
	d->is_relay = d->is_candidate &&
		      (d->rank < d->settings.relays_per_domain ||
		       membership_self(d->membership)->store_lost);
}

void update_relay_role(struct distribution *d, uint64_t now_ms)
{
	int missed = is_missed(d, now_ms);
	int watch;

	update_rank(d);
	watch = d->settings.mode == DISTRIBUTION_POLL || d->is_relay || missed;
	if (watch == d->watching)
		return;
	d->watching = watch;
	add_action(d, watch ? DISTRIBUTION_WATCH : DISTRIBUTION_UNWATCH, 0);
}

void distribution_confirm(struct distribution *d, uint64_t as_of_ms,
			  uint64_t store_revision, uint64_t now_ms,
			  struct outbox *outbox)
{
	struct freshness *f = &d->freshness;

	f->own_ms = MAX(f->own_ms, MIN(as_of_ms, now_ms));
	f->known_ms = MAX(f->known_ms, f->own_ms);
	f->store_revision = MAX(f->store_revision, store_revision);
	if (reports_state(d))
		send_state(d, 1, now_ms, outbox);
	/* Without a delay, in which another call could start. */
	update_relay_role(d, now_ms);
}

void freshness_receive(struct distribution *d, uint64_t from,
		       const Fescue__ConfigState *state, uint64_t now_ms,
		       struct outbox *outbox)
{
	struct freshness *f = &d->freshness;
	struct confirmation confirmation = {
		state->version, now_ms - MIN(now_ms, state->age_ms),
		state->store_era, state->store_revision, state->rank
	};

	keys_receive(d, from, state, now_ms, outbox);
	if (state->query_ms || !failure_domain_contains(d->membership, from))
		return;
	forward_report(d, state, now_ms, outbox);
	if (state->rank < CANDIDATES_MAX)
		f->seeker_ms[state->rank] = state->confirmed ? 0 : now_ms;
	if (!state->confirmed)
		return;
	if (state->version >= d->staged.version)
		apply_staged(d);
	if (state->version <= newest_text(d)->version) {
		accept_confirmation(d, &confirmation);
		return;
	}
	f->ahead = confirmation;
	distribution_receive_peer_version(d, from, state->version, state->hash,
					  now_ms, outbox);
}

void freshness_report(struct distribution *d, uint64_t now_ms,
		      struct outbox *outbox)
{
	struct freshness *f = &d->freshness;

	if (!reports_state(d) || !d->watching ||
	    now_ms < f->own_ms + FRESH_MS || now_ms < f->report_due_ms)
		return;
	f->report_due_ms = now_ms + REPORT_INTERVAL_MS;
	send_state(d, 0, now_ms, outbox);
}

void distribution_set_store_era(struct distribution *d, uint64_t era)
{
	struct freshness *f = &d->freshness;

	if (era <= f->store_era)
		return;
	f->store_era = era;
	f->store_revision = 0;
}

uint64_t distribution_unconfirmed_ms(const struct distribution *d,
				     uint64_t now_ms)
{
	return now_ms - MIN(now_ms, d->freshness.known_ms);
}

uint64_t distribution_store_revision(const struct distribution *d)
{
	return d->freshness.store_revision;
}
