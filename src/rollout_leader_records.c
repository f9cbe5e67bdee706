#include "src/rollout_leader_state.h"

#include <assert.h>
#include <string.h>

#define READ_RETRY_MS 250
#define WRITE_RETRY_MS 200

const char *rollout_status_name(enum rollout_phase phase)
{
	return rollout_phase_is_final(phase) ? rollout_phase_name(phase) :
					       "running";
}

void rollout_state_of_record(const struct rollout_record *record,
			     struct rollout_state *state)
{
	memset(state, 0, sizeof(*state));
	g_strlcpy(state->service, record->service, sizeof(state->service));
	g_strlcpy(state->target, record->target, sizeof(state->target));
	g_strlcpy(state->rejected, record->rejected, sizeof(state->rejected));
	state->order_id = record->order_id;
	state->term = record->term;
	state->phase = record->phase;
	if (record->elapsed_ms < record->period_ms)
		state->remaining_ms = record->period_ms - record->elapsed_ms;
}

/*
 * A host that is cut off from most others must not take a roll-out over from a
 * leader that they hear.
 */
static int has_quorum(const struct rollout_leader *leader)
{
	return 2 * g_hash_table_size(leader->hosts) >=
	       MAX(leader->peak, leader->former_peak);
}

/* Term of a take-over; it grows also if the record was deleted meanwhile. */
static uint64_t next_term(const struct led_rollout *led)
{
	/* One in between is used for the states of a final record. */
	uint64_t term = led->has_record ? led->record.term + 2 : 1;

	return MAX(term, led->order.order_id);
}

static int has_old_server(const struct led_rollout *led)
{
	uint32_t target_hash = rollout_version_hash(led->order.target);

	for (size_t i = 0; i < led->server_count; i++)
		if (led->servers[i].version_hash != target_hash)
			return 1;
	return 0;
}

/* Decides how a roll-out that is not led yet is taken over. */
void rollout_plan_takeover(const struct rollout_leader *leader,
			   struct led_rollout *led, uint64_t now_ms)
{
	const struct rollout_record *record = &led->record;

	if (!leader->is_active || !led->has_order || !led->is_record_known ||
	    led->is_led || led->is_write_open ||
	    now_ms < led->fenced_until_ms || !has_quorum(leader))
		return;
	led->wanted_phase = ROLLOUT_WAITING;
	if (!led->has_record || record->order_id < led->order.order_id) {
		/* The same order again for the version that serves alone. */
		int is_done = led->has_record &&
			      record->phase == ROLLOUT_COMPLETED &&
			      strcmp(record->target, led->order.target) == 0 &&
			      led->server_count && !has_old_server(led);

		led->wanted_phase = is_done ? ROLLOUT_COMPLETED :
					      ROLLOUT_CANARY;
	} else if (record->order_id > led->order.order_id) {
		return; /* a newer order is on its way to this host */
	} else if (rollout_phase_is_final(record->phase)) {
		rollout_lead(leader, led, record->term + 1, now_ms);
	} else {
		led->wanted_phase = record->phase;
	}
}

/* A former leader may know better than this host how old the order is. */
static void take_elapsed(struct led_rollout *led, uint64_t now_ms)
{
	const struct rollout_record *record = &led->record;
	uint64_t start_ms = now_ms - MIN(now_ms, record->elapsed_ms);

	if (!led->has_order || record->order_id != led->order.order_id)
		return;
	led->start_ms = MIN(led->start_ms, start_ms);
	led->deadline_ms = led->start_ms + led->order.period_ms;
}

static void written(const struct rollout_leader *leader,
		    struct led_rollout *led, uint64_t revision, uint64_t now_ms)
{
	const struct rollout_record *record = &led->write.record;

	led->record = *record;
	led->has_record = 1;
	led->is_record_known = 1;
	led->revision = revision;
	led->may_complete = 0; /* an earlier write fails by its condition */
	if (!leader->is_active || !led->has_order ||
	    record->order_id != led->order.order_id)
		return;
	if (led->wanted_phase == record->phase ||
	    rollout_phase_is_final(record->phase))
		led->wanted_phase = ROLLOUT_WAITING;
	if (!led->is_led)
		rollout_lead(leader, led, record->term, now_ms);
	else if (record->phase == ROLLOUT_FULL)
		led->is_full_stored = 1;
	else if (led->phase != ROLLOUT_ROLLED_BACK &&
		 led->phase != record->phase)
		rollout_enter_phase(leader, led, record->phase, now_ms);
}

static int is_same_write(const struct rollout_record *a,
			 const struct rollout_record *b)
{
	return a->order_id == b->order_id && a->term == b->term &&
	       a->phase == b->phase && a->leader == b->leader;
}

/*
 * An earlier write of the result was applied late. A final record is never
 * overwritten for the same order: old backend servers may be stopped by now.
 */
static void take_result(const struct rollout_leader *leader,
			struct led_rollout *led, uint64_t now_ms)
{
	led->wanted_phase = ROLLOUT_WAITING;
	if (led->phase != led->record.phase)
		rollout_enter_phase(leader, led, led->record.phase, now_ms);
}

void rollout_leader_read_again(struct rollout_leader *leader)
{
	for (guint i = 0; i < leader->rollouts->len; i++) {
		struct led_rollout *led = leader->rollouts->pdata[i];

		led->revision = 0;
		led->may_be_lost = 1;
		rollout_want_read(led);
	}
}

/* Writes the phase again of which the store lost the record. */
static void restore_record(struct led_rollout *led)
{
	const struct rollout_record *record = &led->record;
	int is_lost = led->may_be_lost && led->is_led &&
		      (!led->has_record || record->phase != led->phase ||
		       record->order_id != led->order.order_id);

	led->may_be_lost = 0;
	if (is_lost && led->wanted_phase == ROLLOUT_WAITING)
		led->wanted_phase = led->phase;
}

static void take_record(const struct rollout_leader *leader,
			struct led_rollout *led, uint64_t now_ms)
{
	const struct rollout_record *record = &led->record;

	if (led->is_led && record->term > led->term)
		rollout_yield_lead(led, now_ms);
	else if (led->is_led && record->order_id == led->order.order_id &&
		 rollout_phase_is_final(record->phase))
		take_result(leader, led, now_ms);
	take_elapsed(led, now_ms);
}

void rollout_leader_put_record(struct rollout_leader *leader,
			       const char *service,
			       const struct rollout_record *record,
			       uint64_t revision, uint64_t now_ms)
{
	struct led_rollout *led = rollout_leader_get(leader, service);
	int is_unknown = led->is_write_unknown;

	/* The result of an open write is worth more than a read beside it. */
	if (led->is_write_open || (record && revision < led->revision))
		return;
	led->wants_read = 0;
	led->is_write_unknown = 0;
	if (is_unknown && record && is_same_write(record, &led->write.record)) {
		written(leader, led, revision, now_ms);
		return;
	}
	/* A write that may still be applied fails by its condition now. */
	if (revision != led->revision)
		led->may_complete = 0;
	led->is_record_known = 1;
	led->has_record = record != NULL;
	led->revision = revision;
	if (record) {
		led->record = *record;
		take_record(leader, led, now_ms);
	}
	restore_record(led);
}

int rollout_leader_next_read(struct rollout_leader *leader, uint64_t now_ms,
			     char service[RULES_NAME_MAX_BYTES + 1])
{
	if (!leader->is_active)
		return 0;
	for (guint i = 0; i < leader->rollouts->len; i++) {
		struct led_rollout *led = leader->rollouts->pdata[i];

		if (!led->wants_read || led->is_write_open ||
		    now_ms < led->read_after_ms)
			continue;
		led->read_after_ms = now_ms + READ_RETRY_MS;
		g_strlcpy(service, led->service, sizeof(led->service));
		return 1;
	}
	return 0;
}

/* The last version that must not be used beside the order's. */
static void fill_rejected(const struct led_rollout *led,
			  struct rollout_record *record)
{
	const struct rollout_record *former = &led->record;
	const char *rejected = former->rejected;

	if (!led->has_record)
		return;
	if (former->order_id != led->order.order_id &&
	    former->phase != ROLLOUT_COMPLETED)
		rejected = former->target;
	if (strcmp(rejected, record->target) != 0)
		g_strlcpy(record->rejected, rejected, sizeof(record->rejected));
}

static void fill_write(const struct rollout_leader *leader,
		       struct led_rollout *led, uint64_t now_ms)
{
	struct rollout_record *record = &led->write.record;

	memset(&led->write, 0, sizeof(led->write));
	led->write.expected_revision = led->has_record ? led->revision : 0;
	g_strlcpy(record->service, led->service, sizeof(record->service));
	g_strlcpy(record->target, led->order.target, sizeof(record->target));
	fill_rejected(led, record);
	record->order_id = led->order.order_id;
	record->leader = leader->settings.self;
	record->term = led->is_led ? led->term : next_term(led);
	record->phase = led->wanted_phase;
	record->period_ms = led->order.period_ms;
	record->elapsed_ms = (uint32_t)MIN(now_ms - led->start_ms, UINT32_MAX);
}

int rollout_leader_next_write(struct rollout_leader *leader, uint64_t now_ms,
			      struct rollout_write *write)
{
	for (guint i = 0; leader->is_active && i < leader->rollouts->len; i++) {
		struct led_rollout *led = leader->rollouts->pdata[i];

		rollout_plan_takeover(leader, led, now_ms);
		if (led->wanted_phase == ROLLOUT_WAITING ||
		    !led->is_record_known || led->is_write_open ||
		    led->wants_read || now_ms < led->write_after_ms)
			continue;
		fill_write(leader, led, now_ms);
		led->is_write_open = 1;
		*write = led->write;
		return 1;
	}
	return 0;
}

void rollout_leader_put_result(struct rollout_leader *leader,
			       const char *service,
			       enum rollout_write_result result,
			       uint64_t revision, uint64_t now_ms)
{
	struct led_rollout *led = rollout_leader_find(leader, service);

	assert(led && led->is_write_open);
	led->is_write_open = 0;
	led->write_after_ms = now_ms + WRITE_RETRY_MS;
	switch (result) {
	case ROLLOUT_WRITTEN:
		led->write_after_ms = 0;
		written(leader, led, revision, now_ms);
		break;
	case ROLLOUT_REFUSED:
		break;
	case ROLLOUT_UNKNOWN:
		if (led->write.record.phase == ROLLOUT_COMPLETED)
			led->may_complete = 1;
		/* fall through */
	case ROLLOUT_CONFLICT:
		/* Perhaps with an earlier write of our own; the read tells. */
		led->is_write_unknown = 1;
		rollout_want_read(led);
		break;
	}
}
