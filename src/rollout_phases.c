#include "src/rollout_leader_state.h"

#include <string.h>

/*
 * The shares, as multiples of the allowed exposure. With it at 0.1 they are 1.5 %
 * for half of the period, 6 % and 18 % for the times below, then all calls
 * until completion. See docs/design/rollouts.md for the sum.
 */
#define CANARY_SHARE 0.15
static const double ramp_shares[ROLLOUT_RAMP_STEPS] = { 0.6, 1.8 };
static const uint32_t ramp_ms[ROLLOUT_RAMP_STEPS] = { 700, 700 };
#define RAMP_SHARE_MAX_PERMILLE 500
/* See add_slack(). */
#define SLACK_AFTER_MS 1000
#define SLACK_MIN_PERMILLE 20
#define SLACK_MAX_PERMILLE 200
/*
 * The ramp starts at this part of the period. A version that turns bad later
 * than its start is met at a small share, and a leader may be lost after it.
 */
#define RAMP_START 0.5
/*
 * Time at the full share until completion: that after which an open call counts
 * as slow, and the time of a report and a judgement. A version that turns silent
 * under the full load is seen before it is completed.
 */
#define FULL_REPORT_MS 450
#define FULL_MAX_MS 1500
/*
 * Before the deadline, for the write of the result: the answer of the store, and
 * the time between two judgements.
 */
#define RESULT_MS 300
/*
 * A leader that has taken over too late for FULL_MS sends this many states before
 * it leaves out a silent host: with 7 % of messages lost, one host in 3,000 does
 * not answer any of them.
 */
#define LATE_STATES 4
/* Usual length: calls of 260 ms count as slow after 600 ms. */
#define FULL_MS (600 + FULL_REPORT_MS)
/* Between states in fleets of up to FAST_HOSTS, while much depends on them. */
#define FAST_STATE_MS 50
#define FAST_HOSTS 200
#define FAST_SHARE_PERMILLE 150
/* Steps of a leader that has taken over late. */
#define SHORT_STEP_MS 500
/* Hosts that do not answer are left out from this time before the deadline. */
#define LEAVE_OUT_MS 2000
/* Calls that are stuck at the old version are no longer waited for. */
#define STUCK_MS 2000
/* All steps up to completion, at full and at least length, with the writes. */
#define RAMP_TOTAL_MS (700 + 700 + FULL_MS + 400)
#define RAMP_SHORT_MS (2 * SHORT_STEP_MS + FULL_MS + 400)
/* The ramp does not wait for more slots or evidence beyond this time. */
#define WAIT_MS (RAMP_TOTAL_MS + 1000)
/* A suspicion delays a step by this time at most. */
#define SUSPECT_MS 700
#define REPORT_FRESH_MS 700
#define HEARD_MS 2000 /* a host that is lossy, but not cut off */
/* Answers of the new version, before the ramp. */
#define CANARY_ANSWERS_MIN 10
/* Slots of the new version over those of the old one, before all calls. */
#define SLOT_SHARE_MIN 0.5
/*
 * Between judgements: one per host and 8 more, so that sorting all rows takes a
 * small part of a core at 1,900 hosts.
 */
#define JUDGE_MS 50
#define HOSTS_PER_JUDGE_MS 8

static uint32_t share_of(const struct rollout_leader *leader,
			 const struct led_rollout *led)
{
	double multiple = CANARY_SHARE;
	uint32_t extra = led->phase == ROLLOUT_CANARY ? led->extra_permille : 0;

	if (led->phase == ROLLOUT_FULL || led->phase == ROLLOUT_COMPLETED)
		return 1000;
	if (led->phase != ROLLOUT_CANARY && led->phase != ROLLOUT_RAMP)
		return 0;
	if (led->phase == ROLLOUT_RAMP)
		multiple = ramp_shares[led->ramp_step];
	return (uint32_t)CLAMP(1000 * multiple * leader->settings.exposure +
				       extra,
			       1, RAMP_SHARE_MAX_PERMILLE);
}

static uint64_t remaining_ms(const struct led_rollout *led, uint64_t now_ms)
{
	return now_ms < led->deadline_ms ? led->deadline_ms - now_ms : 0;
}

/*
 * The record of the full phase is written ahead, so the former leader may not
 * have reached it; and a new one has no evidence of the old version yet. If
 * there is time it goes through the last step of the ramp.
 */
uint32_t rollout_resumed_phase(const struct led_rollout *led, uint64_t now_ms)
{
	int has_time = remaining_ms(led, now_ms) >= RAMP_SHORT_MS;

	return led->record.phase == ROLLOUT_FULL && has_time ?
		       ROLLOUT_RAMP :
		       led->record.phase;
}

void rollout_enter_phase(const struct rollout_leader *leader,
			 struct led_rollout *led, uint32_t phase,
			 uint64_t now_ms)
{
	if (led->phase != phase)
		led->ramp_step = led->is_full_stored ? ROLLOUT_RAMP_STEPS - 1 :
						       0;
	led->phase = phase;
	led->step++;
	led->share_permille = share_of(leader, led);
	led->phase_since_ms = now_ms;
	led->is_changed = 1;
}

/*
 * In the full phase hosts cannot go back to the old version by themselves, since
 * the roll-out may be completed meanwhile. The lease outlasts a change of
 * leader, about 2 s; VERDICT_MS and the lease are below rollback_ms.
 */
#define LEASE_MS 1000
#define FULL_LEASE_MS 3000
#define VERDICT_MS 2000

uint32_t rollout_lease_ms(const struct rollout_leader *leader,
			  const struct led_rollout *led)
{
	int64_t limit_ms = (int64_t)leader->settings.rollback_ms - VERDICT_MS;

	return (uint32_t)CLAMP(limit_ms, ROLLOUT_STATE_INTERVAL_MS,
			       led->phase == ROLLOUT_FULL ? FULL_LEASE_MS :
							    LEASE_MS);
}

static int may_be_completed(const struct led_rollout *led)
{
	return led->may_complete ||
	       (led->is_write_open &&
		led->write.record.phase == ROLLOUT_COMPLETED);
}

static void roll_back(const struct rollout_leader *leader,
		      struct led_rollout *led, uint64_t now_ms)
{
	led->wanted_phase = ROLLOUT_ROLLED_BACK;
	if (!may_be_completed(led))
		rollout_enter_phase(leader, led, ROLLOUT_ROLLED_BACK, now_ms);
}

void rollout_summarize(const struct led_rollout *led, uint64_t now_ms,
		       struct report_summary *summary)
{
	GHashTableIter iter;
	gpointer key;

	memset(summary, 0, sizeof(*summary));
	g_hash_table_iter_init(&iter, led->expected);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct host_report *report =
			g_hash_table_lookup(led->reports, key);

		summary->hosts++;
		if (!report)
			continue;
		summary->heard += now_ms <= report->received_ms + HEARD_MS;
		if (now_ms > report->received_ms + REPORT_FRESH_MS)
			continue;
		summary->fresh++;
		summary->slow_ms = MAX(summary->slow_ms, report->head.slow_ms);
		summary->knows_roll_back += report->head.phase ==
					    ROLLOUT_ROLLED_BACK;
		if (report->head.phase != led->phase ||
		    report->head.step != led->step || report->head.stopped)
			continue;
		summary->full_ms =
			summary->in_step ?
				MIN(summary->full_ms, report->head.full_ms) :
				report->head.full_ms;
		summary->in_step++;
		if (!report->head.old_in_flight)
			summary->acknowledged++;
		else if (report->head.old_in_flight == report->head.old_overdue)
			summary->stuck++;
	}
}

static uint32_t count_servers(const struct led_rollout *led, int is_new,
			      uint32_t *slots)
{
	uint32_t target_hash = rollout_version_hash(led->order.target);
	uint32_t count = 0;

	*slots = 0;
	for (size_t i = 0; i < led->server_count; i++) {
		if ((led->servers[i].version_hash == target_hash) != is_new)
			continue;
		count++;
		*slots += led->servers[i].slots;
	}
	return count;
}

static void judge(const struct rollout_leader *leader, struct led_rollout *led,
		  uint64_t now_ms)
{
	uint32_t hosts = g_hash_table_size(leader->hosts);
	GHashTableIter iter;
	gpointer value;
	GArray *rows;
	uint32_t slots;

	if (!led->has_news ||
	    now_ms < led->judged_ms + JUDGE_MS + hosts / HOSTS_PER_JUDGE_MS)
		return;
	led->judged_ms = now_ms;
	led->has_news = 0;
	rows = g_array_new(FALSE, FALSE, sizeof(struct rollout_row));
	g_hash_table_iter_init(&iter, led->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct host_report *report = value;

		/* A host that was heard long ago may be the one at fault. */
		if (now_ms <= report->received_ms + ROLLOUT_NEW_WINDOW_MS)
			g_array_append_vals(rows, report->rows,
					    report->head.row_count);
	}
	rollout_judge(rows, count_servers(led, 1, &slots),
		      led->phase == ROLLOUT_FULL, &led->baselines,
		      &led->verdict);
	g_array_free(rows, TRUE);
}

static int has_room(const struct led_rollout *led)
{
	uint32_t new_slots;
	uint32_t old_slots;

	count_servers(led, 1, &new_slots);
	count_servers(led, 0, &old_slots);
	return !new_slots || new_slots >= SLOT_SHARE_MIN * old_slots;
}

static void wait_for(struct led_rollout *led, const char *reason)
{
	g_strlcpy(led->reason, reason, sizeof(led->reason));
}

/*
 * Once the rate of calls is known, raises the canary's share by as much as half
 * of the slack allows. It matters to services of few calls only.
 */
static void add_slack(const struct rollout_leader *leader,
		      struct led_rollout *led, uint64_t now_ms)
{
	double canary_ms = RAMP_START * led->order.period_ms;
	double calls = 0;
	double extra;
	GHashTableIter iter;
	gpointer value;

	if (led->extra_permille ||
	    now_ms < led->phase_since_ms + SLACK_AFTER_MS)
		return;
	g_hash_table_iter_init(&iter, led->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		calls += ((struct host_report *)value)->head.total_calls;
	calls *= canary_ms / (double)(now_ms - led->phase_since_ms);
	extra = 500.0 * leader->settings.exposure_slack / MAX(calls, 1);
	if (calls < 1 || extra < SLACK_MIN_PERMILLE)
		return;
	led->extra_permille = (uint32_t)MIN(extra, SLACK_MAX_PERMILLE);
	rollout_enter_phase(leader, led, ROLLOUT_CANARY, now_ms);
}

static void advance_canary(const struct rollout_leader *leader,
			   struct led_rollout *led,
			   const struct report_summary *summary,
			   uint64_t now_ms)
{
	uint64_t remaining = remaining_ms(led, now_ms);
	int is_late = remaining < WAIT_MS;
	uint32_t slots;

	led->wanted_phase = ROLLOUT_WAITING;
	add_slack(leader, led, now_ms);
	if (!count_servers(led, 1, &slots) || !led->verdict.new_answers) {
		wait_for(led, "no answers of the new version");
		return;
	}
	if (now_ms <
	    led->start_ms + (uint64_t)(RAMP_START * led->order.period_ms)) {
		wait_for(led, "canary until the ramp starts");
		return;
	}
	/*
	 * Completion waits for silent hosts until LEAVE_OUT_MS before the
	 * deadline. The wait is spent here, not at the full share.
	 */
	if (summary->heard < summary->hosts &&
	    remaining > RAMP_TOTAL_MS + LEAVE_OUT_MS) {
		wait_for(led, "some hosts do not answer");
		return;
	}
	if (!is_late &&
	    (!has_room(led) || led->verdict.new_answers < CANARY_ANSWERS_MIN ||
	     led->verdict.kinds_without_evidence)) {
		wait_for(led, "too few slots or answers of the new version");
		return;
	}
	if (led->verdict.judgement != ROLLOUT_GOOD) {
		wait_for(led, "the new version is perhaps worse");
		return;
	}
	if (remaining < RAMP_SHORT_MS) {
		wait_for(led, "too late for the ramp");
		return;
	}
	led->wanted_phase = ROLLOUT_RAMP;
}

static void advance_ramp(const struct rollout_leader *leader,
			 struct led_rollout *led,
			 const struct report_summary *summary, uint64_t now_ms)
{
	uint32_t step_ms = ramp_ms[led->ramp_step];
	uint64_t limit_ms;

	if (remaining_ms(led, now_ms) <
	    (uint64_t)RAMP_TOTAL_MS - (led->ramp_step ? ramp_ms[0] : 0))
		step_ms = SHORT_STEP_MS;
	limit_ms = led->phase_since_ms + step_ms;
	if (led->verdict.judgement == ROLLOUT_SUSPECT)
		limit_ms += SUSPECT_MS;
	/* Written ahead: a store that is slow is waited for at a small share. */
	if (!led->is_full_stored && !led->is_write_open && !led->wants_read)
		led->wanted_phase = ROLLOUT_FULL;
	if (now_ms < limit_ms) {
		wait_for(led, "evidence of this step");
		return;
	}
	if (2 * summary->in_step < summary->hosts) {
		wait_for(led, "less than half of the hosts are in this step");
		return;
	}
	if (!led->is_full_stored) {
		wait_for(led, "the store");
		return;
	}
	if (led->ramp_step + 1 < ROLLOUT_RAMP_STEPS) {
		led->ramp_step++;
		rollout_enter_phase(leader, led, ROLLOUT_RAMP, now_ms);
		return;
	}
	rollout_enter_phase(leader, led, ROLLOUT_FULL, now_ms);
}

/*
 * A leader that took over has no time of its own at the full share if little is
 * left of the period. It may use the former leader's: if hosts were at the full
 * share for long enough while they heard that leader, it has judged all calls
 * and only waited for hosts or for calls at the old version. The reports contain
 * the calls of the last 4 s, so they are judged here as well.
 */
static int has_former_evidence(const struct led_rollout *led,
			       const struct report_summary *summary,
			       uint64_t full_ms, uint64_t now_ms)
{
	int is_late = led->phase_since_ms + full_ms + RESULT_MS >
		      led->deadline_ms;
	uint64_t interval_ms = g_hash_table_size(led->expected) <= FAST_HOSTS ?
				       FAST_STATE_MS :
				       ROLLOUT_STATE_INTERVAL_MS;
	int is_last_chance =
		remaining_ms(led, now_ms) < RESULT_MS &&
		now_ms >= led->phase_since_ms + LATE_STATES * interval_ms;

	return is_late && summary->full_ms >= full_ms && !led->has_news &&
	       led->verdict.new_answers &&
	       led->verdict.judgement == ROLLOUT_GOOD &&
	       (summary->in_step == summary->hosts || is_last_chance);
}

static void advance_full(struct led_rollout *led,
			 const struct report_summary *summary, uint64_t now_ms)
{
	uint64_t remaining = remaining_ms(led, now_ms);
	uint32_t silent = summary->hosts - summary->fresh;
	uint32_t needed = summary->hosts;
	uint32_t ready = summary->acknowledged;
	uint64_t full_ms = MIN(summary->slow_ms + FULL_REPORT_MS, FULL_MAX_MS);
	uint64_t limit_ms = led->phase_since_ms + full_ms;

	led->wanted_phase = ROLLOUT_WAITING;
	if (remaining < LEAVE_OUT_MS)
		needed -= silent;
	if (remaining < STUCK_MS)
		ready += summary->stuck;
	if (led->verdict.judgement == ROLLOUT_SUSPECT)
		limit_ms += SUSPECT_MS;
	if (now_ms < limit_ms &&
	    !has_former_evidence(led, summary, full_ms, now_ms)) {
		wait_for(led, "evidence of all calls");
		return;
	}
	if (ready < needed || 2 * ready < summary->hosts) {
		g_snprintf(led->reason, sizeof(led->reason),
			   "%u of %u hosts are done with the old version",
			   ready, summary->hosts);
		return;
	}
	led->wanted_phase = ROLLOUT_COMPLETED;
}

/* Returns 1 if the roll-out is to be rolled back, after stating the reason. */
static int must_roll_back(struct led_rollout *led,
			  const struct report_summary *summary, uint64_t now_ms)
{
	const struct rollout_verdict *verdict = &led->verdict;

	if (verdict->judgement == ROLLOUT_BAD) {
		g_snprintf(led->reason, sizeof(led->reason),
			   "%.0f%% of the new version's answers of kind %u are "
			   "bad, %.0f%% of the old one's",
			   100 * verdict->new_share, verdict->kind,
			   100 * verdict->old_share);
		return 1;
	}
	if (summary->knows_roll_back) {
		wait_for(led, "a host knows that it was rolled back");
		return 1;
	}
	if (now_ms >= led->deadline_ms && !led->is_write_open &&
	    !led->wants_read) {
		if (led->wanted_phase != ROLLOUT_ROLLED_BACK)
			g_strlcat(led->reason, "; the deadline has passed",
				  sizeof(led->reason));
		return 1;
	}
	return 0;
}

void rollout_advance(const struct rollout_leader *leader,
		     struct led_rollout *led, uint64_t now_ms)
{
	struct report_summary summary;

	if (rollout_phase_is_final(led->phase))
		return;
	if (led->wanted_phase == ROLLOUT_ROLLED_BACK) {
		roll_back(leader, led, now_ms);
		return;
	}
	judge(leader, led, now_ms);
	rollout_summarize(led, now_ms, &summary);
	if (must_roll_back(led, &summary, now_ms)) {
		roll_back(leader, led, now_ms);
		return;
	}
	if (led->share_permille >= FAST_SHARE_PERMILLE &&
	    g_hash_table_size(led->expected) <= FAST_HOSTS &&
	    now_ms >= led->sent_ms + FAST_STATE_MS)
		led->is_changed = 1;
	if (led->phase == ROLLOUT_RAMP)
		advance_ramp(leader, led, &summary, now_ms);
	if (led->is_write_open || led->wants_read)
		return;
	if (led->phase == ROLLOUT_CANARY)
		advance_canary(leader, led, &summary, now_ms);
	else if (led->phase == ROLLOUT_FULL)
		advance_full(led, &summary, now_ms);
}
