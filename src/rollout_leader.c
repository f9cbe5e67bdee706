#include "src/rollout_leader_state.h"

#include <assert.h>
#include <string.h>

/* Before a leader takes back what another one has taken over. */
#define FENCED_MS 1000
/* See has_quorum(): the largest number of hosts is remembered this long. */
#define PEAK_MS 15000
/*
 * States of final roll-outs after ROLLOUT_FINAL_MS, for hosts that were cut off
 * until then.
 */
#define FINAL_INTERVAL_MS 5000

const struct rollout_leader_settings rollout_leader_defaults = {
	.exposure = 0.1,
	.exposure_slack = 50,
	.rollback_ms = 5000,
};

static void host_report_free(gpointer data)
{
	struct host_report *report = data;

	g_free(report->rows);
	g_free(report);
}

static void led_rollout_free(gpointer data)
{
	struct led_rollout *led = data;

	g_hash_table_destroy(led->reports);
	g_hash_table_destroy(led->expected);
	g_array_free(led->baselines.kinds, TRUE);
	g_free(led->servers);
	g_free(led);
}

struct rollout_leader *
rollout_leader_create(const struct rollout_leader_settings *settings)
{
	struct rollout_leader *leader = g_new0(struct rollout_leader, 1);

	leader->settings = *settings;
	leader->hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	leader->rollouts = g_ptr_array_new_with_free_func(led_rollout_free);
	return leader;
}

void rollout_leader_destroy(struct rollout_leader *leader)
{
	if (!leader)
		return;
	g_hash_table_destroy(leader->hosts);
	g_ptr_array_free(leader->rollouts, TRUE);
	g_free(leader);
}

struct led_rollout *rollout_leader_find(const struct rollout_leader *leader,
					const char *service)
{
	for (guint i = 0; i < leader->rollouts->len; i++) {
		struct led_rollout *led = leader->rollouts->pdata[i];

		if (strcmp(led->service, service) == 0)
			return led;
	}
	return NULL;
}

struct led_rollout *rollout_leader_get(struct rollout_leader *leader,
				       const char *service)
{
	struct led_rollout *led = rollout_leader_find(leader, service);

	if (led)
		return led;
	led = g_new0(struct led_rollout, 1);
	g_strlcpy(led->service, service, sizeof(led->service));
	led->reports = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, host_report_free);
	led->expected = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	led->baselines.kinds =
		g_array_new(FALSE, FALSE, sizeof(struct rollout_baseline));
	g_ptr_array_add(leader->rollouts, led);
	return led;
}

/* Forgets what belongs to an earlier order or term. */
static void reset_evidence(struct led_rollout *led)
{
	g_hash_table_remove_all(led->reports);
	g_hash_table_remove_all(led->expected);
	g_array_set_size(led->baselines.kinds, 0);
	led->baselines.is_of_full = 0;
	memset(&led->verdict, 0, sizeof(led->verdict));
	led->extra_permille = 0;
	led->has_news = 0;
	led->sequence = 0;
	led->step = 0;
}

/* Ends the sending of states and forgets the evidence. */
static void stop_leading(struct led_rollout *led)
{
	led->is_led = 0;
	led->wanted_phase = ROLLOUT_WAITING;
	reset_evidence(led);
}

/* Another leader has taken over. */
void rollout_yield_lead(struct led_rollout *led, uint64_t now_ms)
{
	stop_leading(led);
	led->fenced_until_ms = now_ms + FENCED_MS;
}

void rollout_want_read(struct led_rollout *led)
{
	led->is_record_known = 0;
	led->wants_read = 1;
	led->read_after_ms = 0;
}

void rollout_leader_set_active(struct rollout_leader *leader, int active)
{
	if (leader->is_active == active)
		return;
	leader->is_active = active;
	for (guint i = 0; i < leader->rollouts->len; i++) {
		struct led_rollout *led = leader->rollouts->pdata[i];

		stop_leading(led);
		led->fenced_until_ms = 0;
		if (led->has_order)
			rollout_want_read(led);
	}
}

static void add_key(GHashTable *set, uint64_t host)
{
	uint64_t *key;

	if (g_hash_table_contains(set, &host))
		return;
	key = g_new(uint64_t, 1);
	*key = host;
	g_hash_table_add(set, key);
}

static void expect_hosts(const struct rollout_leader *leader,
			 struct led_rollout *led)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, leader->hosts);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		add_key(led->expected, *(uint64_t *)key);
}

void rollout_leader_set_hosts(struct rollout_leader *leader,
			      const uint64_t *hosts, size_t count,
			      uint64_t now_ms)
{
	if (now_ms >= leader->peak_since_ms + PEAK_MS) {
		leader->former_peak = leader->peak;
		leader->peak = 0;
		leader->peak_since_ms = now_ms;
	}
	leader->peak = MAX(leader->peak, (uint32_t)count);
	g_hash_table_remove_all(leader->hosts);
	for (size_t i = 0; i < count; i++)
		add_key(leader->hosts, hosts[i]);
	for (guint i = 0; i < leader->rollouts->len; i++)
		expect_hosts(leader, leader->rollouts->pdata[i]);
}

/* Begins to lead by what the store holds of the present order. */
void rollout_lead(const struct rollout_leader *leader, struct led_rollout *led,
		  uint64_t term, uint64_t now_ms)
{
	reset_evidence(led);
	expect_hosts(leader, led);
	led->is_led = 1;
	led->term = term;
	led->is_full_stored = led->record.phase == ROLLOUT_FULL;
	rollout_enter_phase(leader, led, rollout_resumed_phase(led, now_ms),
			    now_ms);
}

void rollout_leader_set_servers(struct rollout_leader *leader,
				const char *service,
				const struct rollout_leader_server *servers,
				size_t count)
{
	struct led_rollout *led = rollout_leader_get(leader, service);

	g_free(led->servers);
	led->servers = g_new(struct rollout_leader_server, count + 1);
	if (count)
		memcpy(led->servers, servers, count * sizeof(*servers));
	led->server_count = count;
}

void rollout_leader_put_order(struct rollout_leader *leader,
			      const struct rollout_order *order,
			      uint64_t now_ms)
{
	struct led_rollout *led = rollout_leader_get(leader, order->service);

	if (led->has_order && order->order_id <= led->order.order_id)
		return;
	led->has_order = 1;
	led->order = *order;
	led->start_ms = now_ms - MIN(now_ms, order->age_ms);
	led->deadline_ms = led->start_ms + order->period_ms;
	/*
	 * The former order gets no more states and writes; one that is open is
	 * waited for.
	 */
	stop_leading(led);
	if (!led->is_record_known)
		rollout_want_read(led);
}

void rollout_leader_receive(struct rollout_leader *leader, uint64_t host,
			    const struct rollout_report *report,
			    uint64_t now_ms)
{
	struct led_rollout *led = rollout_leader_find(leader, report->service);
	struct host_report *kept;
	uint64_t *key;

	if (!led || !led->is_led || report->order_id != led->order.order_id)
		return;
	if (report->term > led->term) {
		rollout_yield_lead(led, now_ms);
		rollout_want_read(led);
		return;
	}
	if (report->term != led->term || report->row_count > ROLLOUT_ROWS_MAX)
		return;
	kept = g_hash_table_lookup(led->reports, &host);
	/* A host that was restarted counts from 1 again. */
	if (kept && report->number <= kept->head.number &&
	    report->sequence <= kept->head.sequence)
		return;
	kept = g_new0(struct host_report, 1);
	memcpy(&kept->head, report, offsetof(struct rollout_report, rows));
	kept->rows = g_memdup2(report->rows,
			       report->row_count * sizeof(*report->rows));
	kept->received_ms = now_ms;
	key = g_new(uint64_t, 1);
	*key = host;
	g_hash_table_replace(led->reports, key, kept);
	led->has_news = 1;
}

int rollout_leader_tick(struct rollout_leader *leader, uint64_t now_ms)
{
	int is_changed = 0;

	if (!leader->is_active)
		return 0;
	for (guint i = 0; i < leader->rollouts->len; i++) {
		struct led_rollout *led = leader->rollouts->pdata[i];

		if (led->is_led)
			rollout_advance(leader, led, now_ms);
		else
			rollout_plan_takeover(leader, led, now_ms);
		is_changed |= led->is_changed;
		led->is_changed = 0;
	}
	return is_changed;
}

static int is_due(const struct led_rollout *led, uint64_t now_ms)
{
	if (!led->is_led)
		return 0;
	if (!rollout_phase_is_final(led->phase) ||
	    now_ms < led->phase_since_ms + ROLLOUT_FINAL_MS)
		return 1;
	return now_ms >= led->sent_ms + FINAL_INTERVAL_MS;
}

int rollout_leader_next_state(struct rollout_leader *leader, size_t *position,
			      uint64_t now_ms, struct rollout_state *state)
{
	while (leader->is_active && *position < leader->rollouts->len) {
		struct led_rollout *led =
			leader->rollouts->pdata[(*position)++];

		if (!is_due(led, now_ms))
			continue;
		led->sent_ms = now_ms;
		rollout_state_of_record(&led->record, state);
		state->term = led->term;
		state->sequence = ++led->sequence;
		state->phase = led->phase;
		state->step = led->step;
		state->share_permille = led->share_permille;
		state->lease_ms = rollout_lease_ms(leader, led);
		state->remaining_ms =
			now_ms < led->deadline_ms ?
				(uint32_t)(led->deadline_ms - now_ms) :
				0;
		return 1;
	}
	return 0;
}

uint64_t rollout_leader_term(const struct rollout_leader *leader,
			     const char *service)
{
	const struct led_rollout *led = rollout_leader_find(leader, service);

	return led && led->has_order ? led->term : 0;
}

int rollout_leader_progress(const struct rollout_leader *leader,
			    const char *service, uint64_t now_ms,
			    struct rollout_progress *progress)
{
	const struct led_rollout *led = rollout_leader_find(leader, service);
	struct report_summary summary;
	GHashTableIter iter;
	gpointer value;

	memset(progress, 0, sizeof(*progress));
	if (!led || !led->has_order)
		return 0;
	rollout_summarize(led, now_ms, &summary);
	progress->phase = led->is_led ? led->phase : ROLLOUT_WAITING;
	progress->share_permille = led->is_led ? led->share_permille : 0;
	progress->term = led->term;
	progress->hosts = summary.hosts;
	progress->reporting = summary.fresh;
	progress->acknowledged = summary.acknowledged;
	g_hash_table_iter_init(&iter, led->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_report *head =
			&((struct host_report *)value)->head;

		progress->total_calls += head->total_calls;
		progress->new_calls += head->new_calls;
		progress->bad_calls += head->bad_calls;
	}
	g_strlcpy(progress->reason, led->reason, sizeof(progress->reason));
	return 1;
}
