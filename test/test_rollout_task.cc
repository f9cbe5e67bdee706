/*
 * Tests of the roll-out task: hosts on one event loop, a store stand-in on
 * loopback, simulated calls.
 */
#include "rollout_fleet.h"

extern "C" {
#include "rollout_packet.h"
#include "rollout_record.h"
}

namespace
{

const double period_s = 14;

/* Four hosts of the old version and two of the new one, and an order. */
struct running_rollout : rollout_fleet {
	explicit running_rollout(bool is_bad = false)
	{
		bad = is_bad;
		for (uint64_t i = 1; i <= 4; i++)
			start(i, "v1");
		EXPECT_TRUE(run_until([this] { return leader() == 1; }, 5000));
		run(1000);
		order(FLEET_SERVICE, "v2", period_s);
		run(200);
		start(5, "v2");
		start(6, "v2");
	}
	bool reach(uint32_t wanted, uint64_t limit_ms)
	{
		return run_until(
			[this, wanted] {
				for (auto &entry : hosts)
					if (!entry.second->down &&
					    phase(*entry.second) != wanted)
						return false;
				return true;
			},
			limit_ms);
	}
};

TEST(rollout_task, good_version_is_completed_without_old_calls_in_flight)
{
	running_rollout f;

	ASSERT_TRUE(f.reach(ROLLOUT_COMPLETED, 16000));
	EXPECT_EQ(f.old_in_flight(), 0u);
	EXPECT_TRUE(f.status_is("completed"));
	EXPECT_EQ(f.hosts[1]->counters.values[COUNTER_rollouts_completed], 1u);
	f.new_calls = f.all_calls = 0;
	f.run(500);
	EXPECT_GT(f.new_calls, 0u);
	EXPECT_EQ(f.new_calls, f.all_calls);
}

TEST(rollout_task, bad_version_is_rolled_back_within_its_exposure)
{
	running_rollout f(true);

	ASSERT_TRUE(f.reach(ROLLOUT_ROLLED_BACK, 16000));
	EXPECT_LE((double)f.new_calls,
		  (double)f.all_calls * rollout_leader_defaults.exposure +
			  rollout_leader_defaults.exposure_slack);
	f.new_calls = 0;
	f.run(1000);
	EXPECT_EQ(f.new_calls, 0u);
	EXPECT_TRUE(f.status_is("rolled_back"));
	EXPECT_EQ(f.hosts[1]->counters.values[COUNTER_rollouts_rolled_back],
		  1u);
}

/*
 * A host that starts in the middle must not send to the new version as if there
 * were no roll-out, nor later than the others after a roll-back.
 */
TEST(rollout_task, host_that_starts_knows_the_state_before_it_sends)
{
	running_rollout f(true);

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	auto &late = f.start(7, "");
	ASSERT_FALSE(rollout_task_is_ready(late.task));
	ASSERT_TRUE(f.run_until(
		[&late] { return rollout_task_is_ready(late.task); }, 3000));
	EXPECT_EQ(late.calls_new + late.calls_old, 0u);
	EXPECT_NE(f.phase(late), (uint32_t)ROLLOUT_WAITING);
	ASSERT_TRUE(f.reach(ROLLOUT_ROLLED_BACK, 16000));
	/* Restarted after the end: only the store knows of it. */
	auto &later = f.start(8, "");
	ASSERT_TRUE(f.run_until(
		[&later] { return rollout_task_is_ready(later.task); }, 3000));
	f.run(1000);
	EXPECT_EQ(f.phase(later), (uint32_t)ROLLOUT_ROLLED_BACK);
	EXPECT_EQ(later.calls_new, 0u);
	EXPECT_GT(later.calls_old, 0u);
}

TEST(rollout_task, next_host_takes_over_from_a_killed_leader)
{
	running_rollout f;

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	f.kill(1);
	ASSERT_TRUE(f.run_until([&f] { return f.leader() == 2; }, 2500));
	ASSERT_TRUE(f.reach(ROLLOUT_COMPLETED, 16000));
	EXPECT_TRUE(f.status_is("completed"));
}

/*
 * A host that starts learns of backend servers one after another. If it sees the
 * new version first, it must not hold back the one that serves.
 */
TEST(rollout_task, host_that_sees_the_new_version_first_uses_the_old_one)
{
	running_rollout f(true);

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	auto &late = f.start(7, "", { 5 });
	ASSERT_TRUE(f.run_until(
		[&late] { return rollout_task_is_ready(late.task); }, 3000));
	f.run(200);
	for (uint64_t i = 1; i <= 6; i++)
		rollout_fleet::learn(late,
				     f.record_of(*f.hosts[i], HOST_ALIVE));
	f.run(100);
	late.calls_none = 0;
	f.run(1000);
	EXPECT_EQ(late.calls_none, 0u);
	EXPECT_GT(late.calls_old, 0u);
}

/* The membership needs seconds to declare a host dead. */
TEST(rollout_task, next_host_takes_over_from_a_silent_leader)
{
	running_rollout f;

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	f.stop(*f.hosts[1]);
	ASSERT_TRUE(f.run_until([&f] { return f.leader() == 2; }, 4000));
	EXPECT_TRUE(f.run_until(
		[&f] { return f.phase(*f.hosts[3]) > ROLLOUT_WAITING; }, 3000));
}

/*
 * A write of the former leader that the store applies late, or one of a leader
 * that was frozen, must not bring back an earlier state.
 */
TEST(rollout_task, late_write_of_a_former_leader_has_no_effect)
{
	running_rollout f(true);
	const char key[] = "fescue/rollout/" FLEET_SERVICE;
	const char late[] = R"({"state":"completed","targetVersion":"v2"})";
	rollout_fleet::stored before, written;
	struct rollout_record record;
	struct store_client *client =
		store_client_create(f.loop, f.store_address, nullptr);

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	before = f.read(key);
	ASSERT_EQ(rollout_record_parse(before.value.data(), before.value.size(),
				       &record),
		  FESCUE_OK);
	f.kill(1);
	ASSERT_TRUE(f.reach(ROLLOUT_ROLLED_BACK, 16000));
	ASSERT_TRUE(
		f.run_until([&f] { return f.status_is("rolled_back"); }, 3000));
	const struct store_write writes[] = {
		{ key, before.value.data(), before.value.size(),
		  before.revision, 0 },
		{ "status/rollout/" FLEET_SERVICE, late, strlen(late),
		  STORE_ANY_REVISION, 0 },
	};
	store_put_all(client, writes, 2, rollout_fleet::on_stored, &written);
	ASSERT_TRUE(f.run_until([&written] { return written.done; }, 3000));
	EXPECT_EQ(written.error, FESCUE_ECONFLICT);
	EXPECT_TRUE(f.status_is("rolled_back"));
	store_client_destroy(client);
}

/* Its record is back at a lower revision, or gone. */
TEST(rollout_task, roll_out_goes_on_after_return_of_the_store_from_a_copy)
{
	running_rollout f;

	store_standin_set_era(f.standin, 1);
	store_standin_copy(f.standin);
	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	f.run(2500); /* the leader has seen the era */
	store_standin_restore(f.standin);
	EXPECT_TRUE(f.reach(ROLLOUT_COMPLETED, 16000));
	EXPECT_TRUE(
		f.run_until([&f] { return f.status_is("completed"); }, 3000));
}

/* The result is stored again, or the next leader would start the order anew. */
TEST(rollout_task, result_is_stored_again_after_return_of_the_store_from_a_copy)
{
	running_rollout f(true);

	store_standin_set_era(f.standin, 1);
	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	store_standin_copy(f.standin);
	ASSERT_TRUE(f.reach(ROLLOUT_ROLLED_BACK, 16000));
	ASSERT_TRUE(
		f.run_until([&f] { return f.status_is("rolled_back"); }, 3000));
	f.run(2500);
	store_standin_restore(f.standin);
	ASSERT_FALSE(f.status_is("rolled_back"));
	EXPECT_TRUE(
		f.run_until([&f] { return f.status_is("rolled_back"); }, 5000));
}

/* A leader that can't hear its successor must not act beside it for long. */
TEST(rollout_task, frozen_leader_yields_to_a_higher_term)
{
	running_rollout f;

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	f.hosts[1]->cut_off = true;
	f.announce(*f.hosts[1], HOST_DEAD);
	ASSERT_TRUE(f.run_until(
		[&f] { return rollout_task_is_leading(f.hosts[2]->task); },
		3000));
	f.run(500);
	f.hosts[1]->cut_off = false;
	EXPECT_TRUE(f.run_until([&f] { return f.leader() == 2; }, 3000));
	/* Known again, it is first, but must not take over what goes well. */
	f.announce(*f.hosts[1], HOST_ALIVE);
	f.run(4000);
	EXPECT_EQ(f.leader(), 2u);
}

/* The first host that reaches the store has to replace one that does not. */
TEST(rollout_task, leader_that_lost_the_store_is_replaced)
{
	running_rollout f;
	struct host record;

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	f.hosts[1]->path->set_state(PATH_RESET);
	record = f.record_of(*f.hosts[1], HOST_ALIVE);
	record.store_lost = 1;
	for (auto &entry : f.hosts)
		if (entry.first != 1)
			rollout_fleet::learn(*entry.second, record);
	ASSERT_TRUE(f.run_until(
		[&f] { return rollout_task_is_leading(f.hosts[2]->task); },
		2000));
	EXPECT_TRUE(f.reach(ROLLOUT_COMPLETED, 16000));
}

TEST(rollout_task, bad_version_is_rolled_back_while_the_store_is_lost)
{
	running_rollout f(true);

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	store_standin_set_outage(f.standin, OUTAGE_REFUSE);
	ASSERT_TRUE(f.reach(ROLLOUT_ROLLED_BACK, 16000));
	f.new_calls = 0;
	f.run(1000);
	EXPECT_EQ(f.new_calls, 0u);
	store_standin_set_outage(f.standin, OUTAGE_NONE);
	EXPECT_TRUE(
		f.run_until([&f] { return f.status_is("rolled_back"); }, 5000));
}

/* At "completed" the old servers stop, so every host must know it from then. */
TEST(rollout_task, nothing_is_completed_while_the_store_is_lost)
{
	running_rollout f;

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	store_standin_set_outage(f.standin, OUTAGE_HANG);
	f.run(6000);
	for (auto &entry : f.hosts)
		EXPECT_NE(f.phase(*entry.second), (uint32_t)ROLLOUT_COMPLETED);
	store_standin_set_outage(f.standin, OUTAGE_NONE);
	f.run(100);
	EXPECT_FALSE(f.status_is("completed"));
}

TEST(rollout_task, host_without_the_store_learns_the_states_from_a_peer)
{
	running_rollout f;

	ASSERT_TRUE(f.reach(ROLLOUT_CANARY, 5000));
	store_standin_set_outage(f.standin, OUTAGE_REFUSE);
	auto &late = f.start(7, "");
	ASSERT_TRUE(f.run_until(
		[&late] { return rollout_task_is_ready(late.task); }, 2500));
	EXPECT_NE(f.phase(late), (uint32_t)ROLLOUT_WAITING);
	store_standin_set_outage(f.standin, OUTAGE_NONE);
}

/* A store that is down must not keep a restarted fleet down. */
TEST(rollout_task, wait_for_the_store_is_bounded_without_peers)
{
	rollout_fleet f;
	uint64_t began = f.now();

	store_standin_set_outage(f.standin, OUTAGE_REFUSE);
	auto &alone = f.start(1, "v1");
	ASSERT_TRUE(f.run_until(
		[&alone] { return rollout_task_is_ready(alone.task); }, 5000));
	EXPECT_GE(f.now() - began, (uint64_t)ROLLOUT_WAIT_MAX_MS);
	store_standin_set_outage(f.standin, OUTAGE_NONE);
}

TEST(rollout_task, orders_that_are_invalid_or_of_unknown_services_are_refused)
{
	rollout_fleet f;
	const char *broken = "{\"service\":\"" FLEET_SERVICE "\"";

	for (uint64_t i = 1; i <= 2; i++)
		f.start(i, "v1");
	ASSERT_TRUE(f.run_until([&f] { return f.leader() == 1; }, 5000));
	f.order("nothing", "v2", period_s);
	store_standin_put(f.standin, "op/rollout/" FLEET_SERVICE, broken,
			  strlen(broken));
	f.run(1500);
	EXPECT_EQ(f.hosts[1]->counters.values[COUNTER_rollout_orders_refused],
		  2u);
	EXPECT_EQ(f.read("status/rollout/nothing").error, FESCUE_ENOTFOUND);
	EXPECT_EQ(f.read("status/rollout/" FLEET_SERVICE).error,
		  FESCUE_ENOTFOUND);
	f.all_calls = 0;
	f.hosts[1]->calls_none = 0;
	f.run(500);
	EXPECT_GT(f.all_calls, 0u);
	EXPECT_EQ(f.hosts[1]->calls_none, 0u);
}

/* Each call to the store is billed: only the leader watches. */
TEST(rollout_task, without_orders_hosts_read_once_and_send_nothing)
{
	rollout_fleet f;

	store_standin_put(f.standin, "op/config", "x", 1);
	for (uint64_t i = 1; i <= 4; i++)
		f.start(i, "v1");
	f.run(6000);
	for (uint64_t i = 2; i <= 4; i++)
		EXPECT_EQ(f.hosts[i]->counters.values[COUNTER_store_calls], 1u)
			<< i;
	EXPECT_LE(f.hosts[1]->counters.values[COUNTER_store_calls], 5u);
	for (auto &entry : f.hosts) {
		EXPECT_EQ(
			entry.second->counters.values[COUNTER_rollout_reports],
			0u);
	}
}

static void expect_same_row(const struct rollout_row &row,
			    const struct rollout_row &expected)
{
	EXPECT_EQ(row.server, expected.server);
	EXPECT_EQ(row.kind, expected.kind);
	EXPECT_EQ(row.is_new, expected.is_new);
	EXPECT_EQ(row.answers, expected.answers);
	EXPECT_EQ(row.failures, expected.failures);
	EXPECT_EQ(row.slow, expected.slow);
}

TEST(rollout_packet, report_and_state_survive_the_way)
{
	struct rollout_report report = {}, report_read;
	struct rollout_state state = {}, state_read;
	Fescue__Packet *packet;

	g_strlcpy(report.service, "s", sizeof(report.service));
	report.old_in_flight = 3;
	report.old_overdue = 1;
	report.full_ms = 1400;
	report.slow_ms = 612; /* the leader's wait at the full share */
	report.row_count = ROLLOUT_ROWS_MAX;
	for (uint32_t i = 0; i < ROLLOUT_ROWS_MAX; i++)
		report.rows[i] = { i + 1, i, i % 2, i, i / 2, i / 3 };
	packet = rollout_report_packet(&report);
	std::vector<uint8_t> bytes(fescue__packet__get_packed_size(packet));
	fescue__packet__pack(packet, bytes.data());
	packet_destroy(packet);
	packet = fescue__packet__unpack(NULL, bytes.size(), bytes.data());
	ASSERT_NE(packet, nullptr);
	ASSERT_EQ(rollout_report_read(packet->rollout_report, &report_read),
		  FESCUE_OK);
	ASSERT_EQ(report_read.row_count, report.row_count);
	for (uint32_t i = 0; i < report.row_count; i++)
		expect_same_row(report_read.rows[i], report.rows[i]);
	/* The rows have padding, which need not be equal. */
	memset(report.rows, 0, sizeof(report.rows));
	memset(report_read.rows, 0, sizeof(report_read.rows));
	EXPECT_EQ(memcmp(&report, &report_read, sizeof(report)), 0);
	fescue__packet__free_unpacked(packet, NULL);
	g_strlcpy(state.service, "s", sizeof(state.service));
	g_strlcpy(state.target, "v2", sizeof(state.target));
	g_strlcpy(state.rejected, "v0", sizeof(state.rejected));
	state.phase = ROLLOUT_RAMP;
	state.term = 9;
	state.lease_ms = 1000;
	state.age_ms = 7;
	packet = rollout_state_packet(&state, 1, 1, 0);
	ASSERT_EQ(rollout_state_read(packet->rollout_state->services[0],
				     &state_read),
		  FESCUE_OK);
	EXPECT_EQ(memcmp(&state, &state_read, sizeof(state)), 0);
	packet_destroy(packet);
}

/* The record outlives the node that wrote it; a broken one is no record. */
TEST(rollout_record, is_read_as_written_and_mutations_are_refused_or_read)
{
	struct rollout_record record = {}, read;
	GRand *random = g_rand_new_with_seed(9);
	char *text;

	g_strlcpy(record.service, "s", sizeof(record.service));
	g_strlcpy(record.target, "v\"2", sizeof(record.target));
	record.order_id = 77;
	record.term = 5;
	record.leader = (uint64_t)0xffffffff << 16 | 0xffff;
	record.phase = ROLLOUT_FULL;
	record.period_ms = 14000;
	text = rollout_record_format(&record);
	ASSERT_EQ(rollout_record_parse(text, strlen(text), &read), FESCUE_OK);
	EXPECT_EQ(memcmp(&record, &read, sizeof(record)), 0);
	for (int i = 0; i < 20000; i++) {
		std::string bytes = text;

		bytes[(size_t)g_rand_int_range(random, 0, (gint32)bytes.size())] =
			(char)g_rand_int(random);
		if (!rollout_record_parse(bytes.data(), bytes.size(), &read)) {
			EXPECT_NE(read.target[0], '\0');
			EXPECT_LE(read.phase, (uint32_t)ROLLOUT_ROLLED_BACK);
		}
	}
	g_free(text);
	g_rand_free(random);
}

} // namespace
