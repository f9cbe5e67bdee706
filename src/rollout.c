#include "src/rollout_state.h"

#include <string.h>
#include <xxhash.h>

/* A version without servers is forgotten, and held if it comes back later. */
#define VERSION_KEPT_MS 60000
/* Credit that may be saved while no server of the new version is up. */
#define CREDIT_MAX 2.0
/*
 * A host that stops on its own tries again after this time if the leader still
 * says so: by then the leader has judged the evidence of all hosts.
 */
#define STOP_MS 1000
#define LEADER_HEARD_MS 600 /* age of a state, up to which it is current */
/*
 * A host that does not know the result refuses calls rather than use the new
 * version until this time after the deadline. By then one version has gone: the
 * old one stops at completion, the new one some seconds after a roll-back.
 */
#define DOUBT_MS 10000

const char *rollout_phase_name(enum rollout_phase phase)
{
	switch (phase) {
	case ROLLOUT_WAITING:
		return "waiting";
	case ROLLOUT_CANARY:
		return "canary";
	case ROLLOUT_RAMP:
		return "ramp";
	case ROLLOUT_FULL:
		return "full";
	case ROLLOUT_COMPLETED:
		return "completed";
	case ROLLOUT_ROLLED_BACK:
		return "rolled_back";
	}
	return "unknown";
}

uint32_t rollout_version_hash(const char *version)
{
	uint32_t hash;

	if (!*version)
		return 0;
	hash = (uint32_t)XXH64(version, strlen(version), 0);
	return hash ? hash : 1;
}

static int is_banned(const struct rollout *rollout, uint32_t version_hash)
{
	for (int i = 0; i < ROLLOUT_BANNED_MAX; i++)
		if (version_hash && rollout->banned[i] == version_hash)
			return 1;
	return 0;
}

static void set_banned(struct rollout *rollout, uint32_t version_hash,
		       int banned)
{
	if (!version_hash || is_banned(rollout, version_hash) == banned)
		return;
	if (banned) {
		rollout->banned[rollout->banned_next] = version_hash;
		rollout->banned_next =
			(rollout->banned_next + 1) % ROLLOUT_BANNED_MAX;
		return;
	}
	for (int i = 0; i < ROLLOUT_BANNED_MAX; i++)
		if (rollout->banned[i] == version_hash)
			rollout->banned[i] = 0;
}

static const struct known_version *find_version(const struct rollout *rollout,
						uint32_t hash)
{
	for (uint32_t i = 0; i < rollout->version_count; i++)
		if (rollout->versions[i].hash == hash)
			return &rollout->versions[i];
	return NULL;
}

static int is_up(const struct rollout *rollout, uint32_t hash)
{
	const struct known_version *version = find_version(rollout, hash);

	return version && version->servers > 0;
}

/* Held versions are used only if no server of another version is up. */
static int is_held(const struct rollout *rollout, uint32_t hash,
		   uint64_t now_ms)
{
	const struct known_version *version = find_version(rollout, hash);

	if (!version || now_ms >= version->held_until_ms)
		return 0;
	for (uint32_t i = 0; i < rollout->version_count; i++) {
		const struct known_version *other = &rollout->versions[i];

		if (other->servers && now_ms >= other->held_until_ms &&
		    !is_banned(rollout, other->hash))
			return 1;
	}
	return 0;
}

/* Returns 1 if the version is one that calls may use beside the target. */
static int is_old(const struct rollout *rollout, uint32_t hash)
{
	if (rollout_is_new(rollout, hash) || is_banned(rollout, hash))
		return 0;
	return hash == rollout->serving_hash || !rollout->serving_hash ||
	       !is_up(rollout, rollout->serving_hash);
}

static void count_servers(struct rollout *rollout)
{
	rollout->old_servers = 0;
	rollout->new_servers = 0;
	for (uint32_t i = 0; i < rollout->version_count; i++) {
		const struct known_version *version = &rollout->versions[i];

		if (rollout_is_new(rollout, version->hash))
			rollout->new_servers += version->servers;
		else if (is_old(rollout, version->hash))
			rollout->old_servers += version->servers;
	}
}

/* Makes room for a version by dropping one that has no servers. */
static struct known_version *add_version(struct rollout *rollout, uint32_t hash,
					 uint64_t now_ms)
{
	struct known_version *version = NULL;

	for (uint32_t i = 0; i < rollout->version_count; i++) {
		struct known_version *old = &rollout->versions[i];

		if (!old->servers &&
		    (!version || old->lost_ms < version->lost_ms))
			version = old;
	}
	if (rollout->version_count < ROLLOUT_VERSIONS_MAX)
		version = &rollout->versions[rollout->version_count++];
	if (!version)
		return NULL;
	memset(version, 0, sizeof(*version));
	version->hash = hash;
	if (rollout->has_servers && hash)
		version->held_until_ms = now_ms + ROLLOUT_HOLD_MS;
	return version;
}

static void forget_versions(struct rollout *rollout, uint64_t now_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < rollout->version_count; i++) {
		struct known_version *version = &rollout->versions[i];

		if (version->servers && version->lost_ms)
			version->lost_ms = 0;
		if (!version->servers && !version->lost_ms)
			version->lost_ms = MAX(now_ms, 1);
		if (version->servers ||
		    now_ms < version->lost_ms + VERSION_KEPT_MS)
			rollout->versions[kept++] = *version;
	}
	rollout->version_count = kept;
}

/* Keeps for each server that is up the time at which it was first seen. */
static void set_seen_times(struct rollout *rollout,
			   const struct rollout_server *servers, size_t count,
			   uint64_t now_ms)
{
	GHashTable *seen = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);

	for (size_t i = 0; i < count; i++) {
		const uint64_t *seen_ms = g_hash_table_lookup(
			rollout->servers, &servers[i].server);
		uint64_t *key = g_new(uint64_t, 1);
		uint64_t *value = g_new(uint64_t, 1);

		*key = servers[i].server;
		*value = seen_ms ? *seen_ms : now_ms;
		g_hash_table_replace(seen, key, value);
	}
	g_hash_table_destroy(rollout->servers);
	rollout->servers = seen;
}

void rollout_set_servers(struct rollout *rollout,
			 const struct rollout_server *servers, size_t count,
			 uint64_t now_ms)
{
	for (uint32_t i = 0; i < rollout->version_count; i++)
		rollout->versions[i].servers = 0;
	for (size_t i = 0; i < count; i++) {
		uint32_t hash = servers[i].version_hash;
		struct known_version *version =
			(struct known_version *)find_version(rollout, hash);

		if (!version)
			version = add_version(rollout, hash, now_ms);
		if (version)
			version->servers++;
	}
	if (count)
		rollout->has_servers = 1;
	forget_versions(rollout, now_ms);
	set_seen_times(rollout, servers, count, now_ms);
	count_servers(rollout);
}

void rollout_release_versions(struct rollout *rollout)
{
	for (uint32_t i = 0; i < rollout->version_count; i++)
		rollout->versions[i].held_until_ms = 0;
}

/* Forgets what was counted for the former order. */
static void start_order(struct rollout *rollout,
			const struct rollout_state *state)
{
	const struct rollout_state *former = &rollout->state;
	uint64_t parts[2] = { rollout->seed, state->order_id };

	if (rollout->has_state && former->phase != ROLLOUT_COMPLETED &&
	    strcmp(former->target, state->target) != 0)
		set_banned(rollout, rollout->target_hash, 1);
	set_banned(rollout, rollout_version_hash(state->rejected), 1);
	set_banned(rollout, rollout_version_hash(state->target), 0);
	/*
	 * A random part of a call, so that the hosts' first calls to the new
	 * version are spread, and their number is right in the mean.
	 */
	rollout->credit =
		(double)(XXH64(parts, sizeof(parts), 0) % 1000) / 1000;
	rollout->stopped_until_ms = 0;
	rollout->evidence_since_ms = 0;
	rollout->stopped_order = 0;
	rollout->total_calls = 0;
	rollout->new_calls = 0;
	rollout_evidence_reset(rollout);
}

static void set_state(struct rollout *rollout,
		      const struct rollout_state *state, uint64_t now_ms)
{
	if (!rollout->has_state || rollout->state.order_id != state->order_id)
		start_order(rollout, state);
	rollout->state = *state;
	rollout->has_state = 1;
	rollout->sent_ms = now_ms - MIN(now_ms, state->age_ms);
	rollout->deadline_ms = rollout->sent_ms + state->remaining_ms;
	rollout->target_hash = rollout_version_hash(state->target);
	if (state->phase == ROLLOUT_COMPLETED)
		rollout->serving_hash = rollout->target_hash;
	if (state->phase == ROLLOUT_ROLLED_BACK)
		set_banned(rollout, rollout->target_hash, 1);
	count_servers(rollout);
}

/*
 * Returns 1 if the order's result is known here and the state would undo it. A
 * roll-back is sent before it is written, so a new leader may not know it and
 * continue from the stored phase until it gets this host's report.
 */
static int undoes_result(const struct rollout *rollout,
			 const struct rollout_state *state)
{
	return rollout->has_state &&
	       rollout_phase_is_final(rollout->state.phase) &&
	       rollout->state.order_id == state->order_id &&
	       !rollout_phase_is_final(state->phase);
}

/* Returns 1 if the leader's state is recent enough to use the new version. */
static int has_lease(const struct rollout *rollout, uint64_t now_ms)
{
	return rollout->from_leader &&
	       rollout->state.phase != ROLLOUT_WAITING &&
	       now_ms < rollout->sent_ms + rollout->state.lease_ms;
}

static void end_full(struct rollout *rollout)
{
	rollout->full_ms = 0;
	rollout->full_heard_ms = 0;
	rollout->full_since_ms = 0;
}

/* Takes the time since the last state into the time at the full share. */
static void count_full(struct rollout *rollout,
		       const struct rollout_state *state, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - rollout->full_heard_ms;

	if (state->phase != ROLLOUT_FULL ||
	    rollout->state.order_id != state->order_id ||
	    !has_lease(rollout, now_ms))
		end_full(rollout);
	else if (rollout->full_heard_ms && gap_ms < LEADER_HEARD_MS)
		rollout->full_ms += (uint32_t)gap_ms;
	if (state->phase != ROLLOUT_FULL)
		return;
	rollout->full_heard_ms = MAX(now_ms, 1);
	if (!rollout->full_since_ms)
		rollout->full_since_ms = rollout->full_heard_ms;
}

int rollout_apply(struct rollout *rollout, const struct rollout_state *state,
		  uint64_t now_ms)
{
	struct rollout_state *current = &rollout->state;

	if (state->phase > ROLLOUT_ROLLED_BACK || !*state->target)
		return 0;
	if (rollout->has_state && (state->order_id < current->order_id ||
				   state->term < current->term ||
				   (state->term == current->term &&
				    state->sequence <= current->sequence)))
		return 0;
	if (undoes_result(rollout, state)) {
		/* The report names this term, so that the leader takes it. */
		current->term = state->term;
		current->sequence = state->sequence;
		return 0;
	}
	count_full(rollout, state, now_ms);
	set_state(rollout, state, now_ms);
	rollout->from_leader = 1;
	return 1;
}

int rollout_apply_stored(struct rollout *rollout,
			 const struct rollout_state *state, uint64_t now_ms)
{
	struct rollout_state stored = *state;

	if (state->phase > ROLLOUT_ROLLED_BACK || !*state->target)
		return 0;
	if (rollout->has_state &&
	    (state->order_id < rollout->state.order_id ||
	     (state->order_id == rollout->state.order_id &&
	      (!rollout_phase_is_final(state->phase) ||
	       state->phase == rollout->state.phase))))
		return 0;
	stored.sequence = 0;
	stored.age_ms = 0;
	if (rollout->has_state && stored.term <= rollout->state.term) {
		stored.term = rollout->state.term;
		stored.sequence = rollout->state.sequence;
	}
	set_state(rollout, &stored, now_ms);
	rollout->from_leader = 0;
	return 1;
}

const char *rollout_target(const struct rollout *rollout)
{
	return rollout->state.target;
}

int rollout_forward(const struct rollout *rollout, uint64_t now_ms,
		    struct rollout_state *state)
{
	if (!rollout->has_state || !rollout->from_leader)
		return 0;
	*state = rollout->state;
	state->age_ms = (uint32_t)MIN(now_ms - rollout->sent_ms, UINT32_MAX);
	return 1;
}

static int is_stopped(const struct rollout *rollout, uint64_t now_ms)
{
	return now_ms < rollout->stopped_until_ms;
}

/* For a call that may not go to the new version. */
static enum rollout_class choose_without_new(const struct rollout *rollout,
					     uint64_t now_ms)
{
	if (rollout->old_servers)
		return ROLLOUT_OLD;
	return now_ms < rollout->deadline_ms + DOUBT_MS ? ROLLOUT_NONE :
							  ROLLOUT_NEW;
}

static int is_full(const struct rollout *rollout)
{
	return rollout->state.phase == ROLLOUT_FULL;
}

/* The class that all calls have now, or ROLLOUT_ANY if the share decides. */
static enum rollout_class choose_for_all(const struct rollout *rollout,
					 uint64_t now_ms)
{
	if (!has_lease(rollout, now_ms))
		return choose_without_new(rollout, now_ms);
	if (!rollout->new_servers)
		return ROLLOUT_OLD;
	if (!rollout->old_servers)
		return ROLLOUT_NEW;
	if (is_stopped(rollout, now_ms))
		return ROLLOUT_OLD;
	return is_full(rollout) ? ROLLOUT_NEW : ROLLOUT_ANY;
}

enum rollout_class rollout_choose(struct rollout *rollout, uint64_t now_ms)
{
	enum rollout_class all;

	if (!rollout_has_running(rollout))
		return ROLLOUT_ANY;
	rollout->total_calls++;
	all = choose_for_all(rollout, now_ms);
	if (all != ROLLOUT_ANY)
		return all;
	rollout->credit += rollout->state.share_permille / 1000.0;
	rollout->credit = MIN(rollout->credit, CREDIT_MAX);
	if (rollout->credit < 1)
		return ROLLOUT_OLD;
	rollout->credit -= 1;
	return ROLLOUT_NEW;
}

enum rollout_class rollout_preview(const struct rollout *rollout,
				   uint64_t now_ms)
{
	struct rollout copy = *rollout; /* only its numbers are changed */

	return rollout_choose(&copy, now_ms);
}

enum rollout_class rollout_choose_again(const struct rollout *rollout,
					uint64_t now_ms)
{
	enum rollout_class all;

	if (!rollout_has_running(rollout))
		return ROLLOUT_ANY;
	all = choose_for_all(rollout, now_ms);
	/* Within a share, every further attempt is an old one. */
	return all == ROLLOUT_ANY ? ROLLOUT_OLD : all;
}

int rollout_permits(const struct rollout *rollout,
		    enum rollout_class call_class, uint32_t version_hash,
		    uint64_t now_ms)
{
	enum rollout_class all;

	if (rollout->has_state && rollout->state.phase == ROLLOUT_COMPLETED &&
	    rollout->new_servers)
		return version_hash == rollout->target_hash;
	if (is_banned(rollout, version_hash))
		return 0;
	if (!rollout_has_running(rollout))
		return !is_held(rollout, version_hash, now_ms);
	if (call_class == ROLLOUT_ANY) /* chosen before the order was known */
		call_class = ROLLOUT_OLD;
	all = choose_for_all(rollout, now_ms);
	if (call_class == ROLLOUT_NONE ||
	    (all != ROLLOUT_ANY && all != call_class))
		return 0;
	if (call_class == ROLLOUT_NEW)
		return version_hash == rollout->target_hash;
	return is_old(rollout, version_hash) &&
	       !is_held(rollout, version_hash, now_ms);
}

/* The time at the full share ends once calls may go to the old version. */
static void check_full(struct rollout *rollout, uint64_t now_ms)
{
	if (!rollout_has_running(rollout) || !is_full(rollout) ||
	    choose_for_all(rollout, now_ms) != ROLLOUT_NEW)
		end_full(rollout);
}

void rollout_tick(struct rollout *rollout, uint64_t now_ms)
{
	const struct rollout_state *state = &rollout->state;

	check_full(rollout, now_ms);
	if (!rollout_has_running(rollout) || !rollout->from_leader ||
	    state->phase == ROLLOUT_WAITING || is_stopped(rollout, now_ms))
		return;
	/*
	 * A host that hears the leader stops once in a step: the leader has
	 * judged the evidence of all hosts since. At the full share it does not
	 * stop at all, as the leader may have its word that it is done with the
	 * old version and be writing the result.
	 */
	if (now_ms < rollout->sent_ms + LEADER_HEARD_MS &&
	    (is_full(rollout) || (rollout->stopped_order == state->order_id &&
				  rollout->stopped_step == state->step)))
		return;
	if (!rollout_sees_bad(rollout, now_ms))
		return;
	rollout->stopped_until_ms = now_ms + STOP_MS;
	rollout->evidence_since_ms = now_ms;
	rollout->stopped_order = state->order_id;
	rollout->stopped_step = state->step;
}

int rollout_fill_report(struct rollout *rollout, uint64_t now_ms,
			struct rollout_report *report)
{
	const struct rollout_state *state = &rollout->state;

	memset(report, 0, sizeof(*report));
	if (!rollout->has_state)
		return 0;
	g_strlcpy(report->service, rollout->service, sizeof(report->service));
	report->order_id = state->order_id;
	report->term = state->term;
	report->sequence = state->sequence;
	report->number = ++rollout->report_number;
	report->phase = state->phase;
	report->step = state->step;
	report->stopped = is_stopped(rollout, now_ms) ||
			  state->phase == ROLLOUT_ROLLED_BACK;
	report->total_calls = rollout->total_calls;
	report->new_calls = rollout->new_calls;
	report->bad_calls = rollout->bad_calls;
	check_full(rollout, now_ms);
	report->full_ms = rollout->full_ms;
	rollout_fill_rows(rollout, now_ms, report);
	return 1;
}

int rollout_is_running(const struct rollout *rollout, uint64_t now_ms,
		       uint32_t *remaining_ms)
{
	if (!rollout_has_running(rollout))
		return 0;
	*remaining_ms = now_ms < rollout->deadline_ms ?
				(uint32_t)(rollout->deadline_ms - now_ms) :
				0;
	return 1;
}

void rollout_get_counters(const struct rollout *rollout, uint64_t now_ms,
			  struct rollout_counters *counters)
{
	struct rollout_in_flight in_flight;

	memset(counters, 0, sizeof(*counters));
	rollout_count_in_flight(rollout, now_ms, &in_flight);
	counters->old_in_flight = in_flight.old_count;
	counters->new_in_flight = in_flight.new_count;
	for (uint32_t i = 0; i < rollout->version_count; i++)
		counters->held_versions += (uint32_t)is_held(
			rollout, rollout->versions[i].hash, now_ms);
	if (!rollout->has_state)
		return;
	counters->phase = rollout->state.phase;
	counters->share_permille = rollout->state.share_permille;
	counters->has_lease = (uint32_t)has_lease(rollout, now_ms);
	counters->stopped = (uint32_t)is_stopped(rollout, now_ms);
	counters->total_calls = rollout->total_calls;
	counters->new_calls = rollout->new_calls;
	counters->bad_calls = rollout->bad_calls;
}
