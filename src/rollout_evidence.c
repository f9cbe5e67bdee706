#include "src/rollout_state.h"

#include <string.h>

/*
 * An answer is slow if it takes more than this many times the usual time. A
 * backend server that just started runs at half speed, and hosts differ by
 * about 2; a bad version is several times slower.
 */
#define SLOW_FACTOR 2.2
#define SLOW_SLACK_US 40000.0
/* Slowness of a backend server counts from this time after it is seen. */
#define WARM_UP_MS 4000
/* A median moves by this share with each answer: 1.05^14 is 2. */
#define MEDIAN_STEP 0.05
#define MEDIAN_SAMPLES_MIN 5
#define RARE_KIND_SHARE 0.1
/* After this time an open call of a kind that is rare here is slow. */
#define UNKNOWN_SLOW_US 2500000.0

/*
 * A host stops on its own after this many bad answers within STOP_WINDOW_MS if
 * they are this share of all. Four: hosts that do not hear the leader send some
 * 20 calls a second each, and together are to stop before 50 bad answers.
 */
#define STOP_BAD_MIN 4
#define STOP_BAD_SHARE 0.6
#define STOP_WINDOW_MS 1500

static struct usual_time *find_usual(struct rollout *rollout, uint32_t kind)
{
	struct usual_time *usual;

	for (uint32_t i = 0; i < rollout->usual_count; i++)
		if (rollout->usual[i].kind == kind)
			return &rollout->usual[i];
	if (rollout->usual_count == ROLLOUT_KINDS_MAX)
		return NULL;
	usual = &rollout->usual[rollout->usual_count++];
	memset(usual, 0, sizeof(*usual));
	usual->kind = kind;
	return usual;
}

/* Time in us beyond which a call is slow, or 0 if that is not known. */
static double slow_limit_us(const struct rollout *rollout, uint32_t kind)
{
	for (uint32_t i = 0; i < rollout->usual_count; i++) {
		const struct usual_time *usual = &rollout->usual[i];

		if (usual->kind == kind && usual->samples >= MEDIAN_SAMPLES_MIN)
			return SLOW_FACTOR * usual->median_us + SLOW_SLACK_US;
	}
	return 0;
}

/*
 * A running median and not a mean: a few stalled servers of the old version
 * must not raise the time that the new one is compared with.
 */
static void learn_usual(struct rollout *rollout, uint32_t kind,
			uint64_t service_us)
{
	struct usual_time *usual = find_usual(rollout, kind);
	double sample = (double)service_us;
	double step;

	if (!usual)
		return;
	usual->samples++;
	if (usual->samples == 1) {
		usual->median_us = sample;
		return;
	}
	/* Larger steps at first, so that a bad first sample is forgotten. */
	step = MAX(MEDIAN_STEP, 0.5 / usual->samples);
	usual->median_us *= sample > usual->median_us ? 1 + step :
							1 / (1 + step);
}

static int is_warming_up(const struct rollout *rollout, uint64_t server,
			 uint64_t now_ms)
{
	const uint64_t *seen_ms =
		g_hash_table_lookup(rollout->servers, &server);

	return !seen_ms || now_ms < *seen_ms + WARM_UP_MS;
}

static int is_overdue(const struct rollout *rollout,
		      const struct rollout_attempt *attempt, uint64_t now_ms)
{
	double limit_us = slow_limit_us(rollout, attempt->kind);
	double open_us = (double)(now_ms - attempt->started_ms) * 1000;

	if (limit_us <= 0)
		limit_us = UNKNOWN_SLOW_US;
	return open_us > limit_us &&
	       !is_warming_up(rollout, attempt->server, now_ms);
}

void rollout_started(struct rollout *rollout, struct rollout_attempt *attempt,
		     uint64_t server, uint32_t version_hash, uint32_t kind,
		     uint64_t now_ms)
{
	memset(attempt, 0, sizeof(*attempt));
	attempt->rollout = rollout;
	attempt->server = server;
	attempt->started_ms = now_ms;
	attempt->order_id = rollout->has_state ? rollout->state.order_id : 0;
	attempt->version_hash = version_hash;
	attempt->kind = kind;
	attempt->next = rollout->attempts;
	if (attempt->next)
		attempt->next->previous = attempt;
	rollout->attempts = attempt;
	if (rollout_has_running(rollout) &&
	    rollout_is_new(rollout, version_hash))
		rollout->new_calls++;
}

static void add_event(struct rollout *rollout,
		      const struct rollout_attempt *attempt, uint32_t failed,
		      uint32_t slow, uint64_t now_ms)
{
	double limit_us = slow_limit_us(rollout, attempt->kind);
	struct rollout_event *event;

	if (!rollout->events)
		return;
	event = &rollout->events[rollout->event_next];
	event->result_ms = now_ms;
	/* Silence of 5 s is no news when it ends: it would outlive the rest. */
	if (limit_us > 0)
		event->result_ms =
			MIN(now_ms,
			    attempt->started_ms + (uint64_t)(limit_us / 1000));
	event->server = attempt->server;
	event->version_hash = attempt->version_hash;
	event->kind = attempt->kind;
	event->failed = failed;
	event->slow = slow;
	rollout->event_next = (rollout->event_next + 1) % ROLLOUT_EVENTS_MAX;
	if (rollout->event_count < ROLLOUT_EVENTS_MAX)
		rollout->event_count++;
	if (rollout_is_new(rollout, attempt->version_hash) && (failed || slow))
		rollout->bad_calls++;
}

void rollout_finished(struct rollout_attempt *attempt,
		      enum rollout_result result, uint64_t service_us,
		      uint64_t now_ms)
{
	struct rollout *rollout = attempt->rollout;
	double limit_us;
	int is_slow;

	if (!rollout)
		return;
	attempt->rollout = NULL;
	if (attempt->previous)
		attempt->previous->next = attempt->next;
	else
		rollout->attempts = attempt->next;
	if (attempt->next)
		attempt->next->previous = attempt->previous;
	if (result == ROLLOUT_NO_EVIDENCE)
		return;
	if (result == ROLLOUT_ANSWERED && !service_us)
		service_us = (now_ms - attempt->started_ms) * 1000;
	limit_us = slow_limit_us(rollout, attempt->kind);
	is_slow = result == ROLLOUT_ANSWERED && limit_us > 0 &&
		  (double)service_us > limit_us &&
		  !is_warming_up(rollout, attempt->server, now_ms);
	if (result == ROLLOUT_ANSWERED &&
	    !(rollout_has_running(rollout) &&
	      rollout_is_new(rollout, attempt->version_hash)))
		learn_usual(rollout, attempt->kind, service_us);
	if (rollout->has_state && attempt->order_id == rollout->state.order_id)
		add_event(rollout, attempt, result == ROLLOUT_FAILED, is_slow,
			  now_ms);
}

void rollout_evidence_reset(struct rollout *rollout)
{
	if (!rollout->events)
		rollout->events =
			g_new0(struct rollout_event, ROLLOUT_EVENTS_MAX);
	rollout->event_count = 0;
	rollout->event_next = 0;
	rollout->bad_calls = 0;
}

void rollout_count_in_flight(const struct rollout *rollout, uint64_t now_ms,
			     struct rollout_in_flight *in_flight)
{
	memset(in_flight, 0, sizeof(*in_flight));
	for (const struct rollout_attempt *attempt = rollout->attempts; attempt;
	     attempt = attempt->next) {
		if (rollout_is_new(rollout, attempt->version_hash)) {
			in_flight->new_count++;
			continue;
		}
		in_flight->old_count++;
		in_flight->old_overdue +=
			(uint32_t)is_overdue(rollout, attempt, now_ms);
	}
}

/* Returns the row of the server and kind, or NULL if there is no room. */
static struct rollout_row *find_row(struct rollout_report *report,
				    uint64_t server, uint32_t kind,
				    uint32_t is_new)
{
	struct rollout_row *row;

	for (uint32_t i = 0; i < report->row_count; i++) {
		row = &report->rows[i];
		if (row->server == server && row->kind == kind &&
		    row->is_new == is_new)
			return row;
	}
	if (report->row_count == ROLLOUT_ROWS_MAX)
		return NULL;
	row = &report->rows[report->row_count++];
	memset(row, 0, sizeof(*row));
	row->server = server;
	row->kind = kind;
	row->is_new = is_new;
	return row;
}

static uint32_t usual_slow_ms(const struct rollout *rollout)
{
	double limit_us = 0;
	double samples = 0;

	for (uint32_t i = 0; i < rollout->usual_count; i++)
		samples += rollout->usual[i].samples;
	for (uint32_t i = 0; i < rollout->usual_count; i++)
		if (rollout->usual[i].samples >= RARE_KIND_SHARE * samples)
			limit_us = MAX(limit_us,
				       slow_limit_us(rollout,
						     rollout->usual[i].kind));
	return (uint32_t)(limit_us / 1000);
}

/*
 * Adds the results at one of the two versions within window_ms. Open calls of
 * the new version count as good until they are overdue: fast failures come back
 * before good answers, and would be all that is seen after a step.
 */
static void fill_version(const struct rollout *rollout, uint32_t is_new,
			 uint64_t window_ms, uint64_t since_ms, uint64_t now_ms,
			 struct rollout_report *report)
{
	struct rollout_row *row;
	uint32_t overdue;

	for (uint32_t i = 1; i <= rollout->event_count; i++) {
		const struct rollout_event *event =
			&rollout->events[(rollout->event_next +
					  ROLLOUT_EVENTS_MAX - i) %
					 ROLLOUT_EVENTS_MAX];

		if (event->result_ms + window_ms < now_ms ||
		    event->result_ms < since_ms || event->result_ms > now_ms ||
		    (uint32_t)rollout_is_new(rollout, event->version_hash) !=
			    is_new)
			continue;
		row = find_row(report, event->server, event->kind, is_new);
		if (!row)
			continue;
		row->answers++;
		row->failures += event->failed;
		row->slow += event->slow;
	}
	for (const struct rollout_attempt *attempt = rollout->attempts; attempt;
	     attempt = attempt->next) {
		if ((uint32_t)rollout_is_new(rollout, attempt->version_hash) !=
			    is_new ||
		    attempt->order_id != rollout->state.order_id ||
		    attempt->started_ms < since_ms ||
		    attempt->started_ms > now_ms ||
		    attempt->started_ms + window_ms < now_ms)
			continue;
		overdue = (uint32_t)is_overdue(rollout, attempt, now_ms);
		if (!is_new && !overdue)
			continue;
		row = find_row(report, attempt->server, attempt->kind, is_new);
		if (!row)
			continue;
		row->answers++;
		row->slow += overdue;
	}
}

static uint32_t count_bad_servers(const struct rollout_report *report)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < report->row_count; i++) {
		const struct rollout_row *row = &report->rows[i];
		int is_counted = !row->is_new || !(row->failures + row->slow);

		for (uint32_t j = 0; j < i && !is_counted; j++)
			is_counted =
				report->rows[j].is_new &&
				report->rows[j].server == row->server &&
				report->rows[j].failures + report->rows[j].slow;
		count += (uint32_t)!is_counted;
	}
	return count;
}

void rollout_fill_rows(const struct rollout *rollout, uint64_t now_ms,
		       struct rollout_report *report)
{
	struct rollout_in_flight in_flight;
	/* A leader that takes over at the full share has no other baseline. */
	uint64_t old_until_ms =
		rollout->full_since_ms ? rollout->full_since_ms : now_ms;

	rollout_count_in_flight(rollout, now_ms, &in_flight);
	report->old_in_flight = in_flight.old_count;
	report->old_overdue = in_flight.old_overdue;
	report->new_in_flight = in_flight.new_count;
	report->slow_ms = usual_slow_ms(rollout);
	report->row_count = 0;
	fill_version(rollout, 1, ROLLOUT_NEW_WINDOW_MS, 0, now_ms, report);
	fill_version(rollout, 0, ROLLOUT_OLD_WINDOW_MS, 0, old_until_ms,
		     report);
	report->bad_servers = count_bad_servers(report);
}

/* Sums up the rows of one version. */
static uint32_t sum_rows(const struct rollout_report *report, uint32_t is_new,
			 uint32_t *bad)
{
	uint32_t answers = 0;

	*bad = 0;
	for (uint32_t i = 0; i < report->row_count; i++) {
		if (report->rows[i].is_new != is_new)
			continue;
		answers += report->rows[i].answers;
		*bad += report->rows[i].failures + report->rows[i].slow;
	}
	return answers;
}

int rollout_sees_bad(const struct rollout *rollout, uint64_t now_ms)
{
	struct rollout_report report = { .row_count = 0 };
	uint32_t new_answers;
	uint32_t new_bad;
	uint32_t old_answers;
	uint32_t old_bad;
	double new_share;

	fill_version(rollout, 1, STOP_WINDOW_MS, rollout->evidence_since_ms,
		     now_ms, &report);
	new_answers = sum_rows(&report, 1, &new_bad);
	if (new_bad < STOP_BAD_MIN ||
	    count_bad_servers(&report) < MIN(2, rollout->new_servers))
		return 0;
	new_share = (double)new_bad / new_answers;
	/* At the full share these are the old version's last answers. */
	fill_version(rollout, 0, ROLLOUT_NEW_WINDOW_MS, 0, now_ms, &report);
	old_answers = sum_rows(&report, 0, &old_bad);
	return new_share >= STOP_BAD_SHARE &&
	       (!old_answers || (double)old_bad / old_answers < new_share / 2);
}
