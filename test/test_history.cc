#include "support.h"

extern "C" {
#include "fescue/error.h"
#include "fescue/history.h"
}

namespace
{

/* Checks the lines and returns the violations of one property or of all. */
size_t count_violations(const std::vector<std::string> &lines,
			int property = HISTORY_PROPERTY_COUNT)
{
	struct history *h = history_create(&history_defaults);
	size_t number = 0, total;

	for (const std::string &line : lines)
		EXPECT_EQ(history_add(h, "t", ++number, line.data(),
				      line.size()),
			  FESCUE_OK)
			<< line;
	total = history_check(h, nullptr);
	if (property < HISTORY_PROPERTY_COUNT)
		total = history_violations(h, (enum history_property)property);
	history_destroy(h);
	return total;
}

std::string event(uint64_t t_us, const char *source, const char *rest)
{
	return "{\"t_us\":" + std::to_string(t_us) + ",\"source\":\"" + source +
	       "\"," + rest + "}";
}

std::string applied(uint64_t t_us, const char *source, int version,
		    const char *hash = "h")
{
	return event(t_us, source,
		     ("\"type\":\"applied\",\"version\":" +
		      std::to_string(version) + ",\"hash\":\"" + hash + "\"")
			     .c_str());
}

std::string accepted(uint64_t t_us, int version)
{
	return event(
		t_us, "ctl",
		("\"type\":\"accepted\",\"version\":" + std::to_string(version))
			.c_str());
}

std::string started(uint64_t t_us, const char *source)
{
	return event(t_us, source, "\"type\":\"started\"");
}

std::string run(uint64_t t_us, const char *id, const char *key = "",
		int poison = 0)
{
	return event(t_us, "b1",
		     ("\"type\":\"run\",\"id\":\"" + std::string(id) +
		      "\",\"key\":\"" + key +
		      "\",\"poison\":" + std::to_string(poison))
			     .c_str());
}

std::string call(uint64_t t_us, const char *id, const char *outcome,
		 const char *echo = "", int whole = 1, const char *key = "")
{
	return event(t_us, "load",
		     ("\"type\":\"call\",\"id\":\"" + std::string(id) +
		      "\",\"outcome\":\"" + outcome + "\",\"echo\":\"" + echo +
		      "\",\"key\":\"" + key +
		      "\",\"whole\":" + std::to_string(whole))
			     .c_str());
}

TEST(history, accepts_valid_history)
{
	EXPECT_EQ(count_violations({
			  started(1, "n1"),
			  started(2, "n2"),
			  accepted(10, 1),
			  applied(20, "n1", 1),
			  applied(30, "n2", 1),
			  accepted(1000, 2),
			  applied(1020, "n1", 2),
			  applied(1030, "n2", 2),
			  run(2000, "c1"),
			  call(2100, "c1", "ran", "c1"),
			  call(2200, "c2", "not-run"),
			  run(2300, "c3", "k"),
			  call(2400, "c3", "unknown", "", 1, "k"),
			  started(9000000, "n1"),
			  applied(9000001, "n1", 2),
		  }),
		  0u);
}

TEST(history, finds_older_version)
{
	EXPECT_EQ(count_violations({ applied(1, "n", 2), applied(2, "n", 1) },
				   HISTORY_VERSION_MONOTONIC),
		  1u);
}

TEST(history, finds_older_version_after_restart)
{
	EXPECT_EQ(count_violations({ started(0, "n"), applied(1, "n", 2),
				     started(2, "n"), applied(3, "n", 1) },
				   HISTORY_VERSION_MONOTONIC),
		  1u);
}

TEST(history, finds_two_texts_of_one_version)
{
	EXPECT_EQ(count_violations({ applied(1, "n", 2, "a"),
				     applied(2, "m", 2, "b") },
				   HISTORY_VERSION_SAME_TEXT),
		  1u);
}

TEST(history, finds_version_that_was_not_accepted)
{
	EXPECT_EQ(count_violations({ accepted(1, 1), applied(2, "n", 1),
				     applied(3, "n", 9) },
				   HISTORY_VERSION_ACCEPTED),
		  1u);
}

TEST(history, finds_late_and_missing_version)
{
	EXPECT_EQ(count_violations({ started(0, "n"), accepted(1000, 1),
				     applied(3100000, "n", 1) },
				   HISTORY_CONVERGED),
		  1u);
	EXPECT_EQ(count_violations({ started(0, "n"), started(0, "m"),
				     accepted(1000, 1), applied(2000, "n", 1),
				     run(9000000, "c") },
				   HISTORY_CONVERGED),
		  1u);
	/* A node that restarted within the bound is not checked. */
	EXPECT_EQ(count_violations({ started(0, "n"), accepted(1000, 1),
				     started(2000, "n"),
				     applied(3500000, "n", 1) },
				   HISTORY_CONVERGED),
		  0u);
}

/* Only nodes that are not frozen when the version is accepted must apply it. */
TEST(history, convergence_ignores_frozen_nodes)
{
	std::string frozen = event(10, "n", "\"type\":\"frozen\"");

	EXPECT_EQ(count_violations({ started(0, "n"), frozen, accepted(1000, 1),
				     event(5000000, "n", "\"type\":\"thawed\""),
				     applied(5500000, "n", 1) },
				   HISTORY_CONVERGED),
		  0u);
	EXPECT_EQ(count_violations({ started(0, "n"), frozen,
				     event(20, "n", "\"type\":\"thawed\""),
				     accepted(1000, 1), run(9000000, "c") },
				   HISTORY_CONVERGED),
		  1u);
}

TEST(history, finds_wrong_and_incomplete_answers)
{
	EXPECT_EQ(count_violations({ run(1, "a"), run(1, "b"),
				     call(2, "a", "ran", "b") },
				   HISTORY_OWN_ANSWER),
		  1u);
	EXPECT_EQ(count_violations({ run(1, "a"), call(2, "a", "ran", "a", 0) },
				   HISTORY_OWN_ANSWER),
		  1u);
}

TEST(history, finds_not_run_that_ran)
{
	EXPECT_EQ(count_violations({ run(1, "a"), call(2, "a", "not-run") },
				   HISTORY_NOT_RUN),
		  1u);
}

TEST(history, finds_ran_that_did_not_run)
{
	EXPECT_EQ(count_violations({ call(2, "a", "ran", "a") }, HISTORY_RAN),
		  1u);
	EXPECT_EQ(count_violations({ call(2, "a", "ran", "a", 1, "k") },
				   HISTORY_RAN),
		  1u);
}

TEST(history, finds_second_run_of_a_key)
{
	EXPECT_EQ(count_violations({ run(1, "a", "k"), run(2, "b", "k") },
				   HISTORY_AT_MOST_ONCE),
		  1u);
}

/* A resend with the same key may get the answer of the send that ran. */
TEST(history, accepts_answer_of_same_key)
{
	EXPECT_EQ(count_violations({ run(1, "a", "k"),
				     call(2, "a", "unknown", "", 1, "k"),
				     call(3, "b", "ran", "a", 1, "k") }),
		  0u);
	EXPECT_EQ(count_violations({ run(1, "a", "k"), run(1, "c", "other"),
				     call(2, "c", "ran", "c", 1, "other"),
				     call(3, "b", "ran", "c", 1, "k") },
				   HISTORY_OWN_ANSWER),
		  1u);
}

TEST(history, finds_third_crash)
{
	EXPECT_EQ(count_violations({ run(1, "a", "", 7), run(2, "b", "", 7),
				     run(3, "c", "", 7) },
				   HISTORY_POISON),
		  1u);
	EXPECT_EQ(count_violations({ run(1, "a", "", 7), run(2, "b", "", 7),
				     run(3, "c", "", 8) },
				   HISTORY_POISON),
		  0u);
}

TEST(history, finds_run_after_leave)
{
	std::string leave = event(100, "b1", "\"type\":\"leaving\"");

	EXPECT_EQ(count_violations({ leave, run(2000101, "a") },
				   HISTORY_LEAVING),
		  1u);
	EXPECT_EQ(count_violations({ leave, run(2000099, "a") },
				   HISTORY_LEAVING),
		  0u);
}

TEST(history, rejects_lines_that_are_not_records)
{
	struct history *h = history_create(&history_defaults);

	EXPECT_EQ(history_add(h, "t", 1, "{\"t_us", 6), FESCUE_EINVAL);
	EXPECT_EQ(history_add(h, "t", 1, "[]", 2), FESCUE_EINVAL);
	history_destroy(h);
}

} // namespace
