/*
 * Tests of the log and the log reader: lines are whole JSON objects, memory is
 * bounded, and writing never blocks.
 */
#include "log_capture.h"

#include <jansson.h>

extern "C" {
#include "fescue/error.h"
#include "log_reader.h"
}

namespace
{

json_t *parse(const std::string &line)
{
	return json_loads(line.c_str(), 0, nullptr);
}

TEST(log, quoted_text_is_valid_json)
{
	GRand *random = g_rand_new_with_seed(5);
	char quoted[LOG_QUOTED_BYTES];

	for (int i = 0; i < 20000; i++) {
		char text[300];
		int len = g_rand_int_range(random, 0, (int)sizeof(text));

		for (int j = 0; j < len; j++)
			text[j] = (char)g_rand_int_range(random, 1, 256);
		text[len ? len - 1 : 0] = '\0';
		log_quote(text, quoted);
		ASSERT_LT(strlen(quoted), sizeof(quoted));
		json_t *value = json_loads(quoted, JSON_DECODE_ANY, nullptr);
		ASSERT_TRUE(json_is_string(value)) << quoted;
		json_decref(value);
	}
	EXPECT_STREQ(log_quote(nullptr, quoted), "\"\"");
	g_rand_free(random);
}

TEST(log, lines_are_json_objects)
{
	log_capture out;
	char quoted[LOG_QUOTED_BYTES];
	std::vector<std::string> lines;

	log_event(LOG_STATE, "a", "\"x\":%s", log_quote("q\"\n", quoted));
	log_state("text with \"quotes\" and \\");
	log_error("bad");
	log_event(LOG_FAILURE, "b", "\"y\":\"%s\"",
		  std::string(5000, 'z').c_str());
	log_flush(out.now);
	lines = out.read_lines();
	ASSERT_EQ(lines.size(), 4u);
	for (auto &line : lines) {
		json_t *object = parse(line);

		ASSERT_TRUE(json_is_object(object)) << line;
		EXPECT_TRUE(json_is_real(json_object_get(object, "t")));
		EXPECT_STREQ(json_string_value(json_object_get(object, "host")),
			     "10.0.0.1:7000");
		json_decref(object);
	}
}

/* Ordinary lines over their rate limit are counted and drop no failures. */
TEST(log, each_kind_has_its_own_rate_limit)
{
	log_capture out;
	int decisions = 0, failures = 0;
	json_int_t dropped = 0;

	for (int i = 0; i < 1000; i++)
		log_event(LOG_DECISION, "ordinary", "\"i\":%d", i);
	for (int i = 0; i < 50; i++)
		log_event(LOG_FAILURE, "failure", "\"i\":%d", i);
	log_flush(out.now += 1000);
	for (auto &line : out.read_lines()) {
		json_t *object = parse(line);
		const char *event =
			json_string_value(json_object_get(object, "event"));

		decisions += !strcmp(event, "ordinary");
		failures += !strcmp(event, "failure");
		if (!strcmp(event, "left_out"))
			dropped += json_integer_value(
				json_object_get(object, "lines"));
		json_decref(object);
	}
	EXPECT_EQ(failures, 50);
	EXPECT_LE(decisions, 100);
	EXPECT_EQ(decisions + dropped, 1000);
}

/* If nobody reads the pipe, logging does not block and no line is torn. */
TEST(log, stalled_reader_does_not_block)
{
	log_capture out;

	for (int second = 0; second < 100; second++) {
		for (int i = 0; i < 400; i++)
			log_event(LOG_FAILURE, "failure", "\"text\":\"%0200d\"",
				  i);
		log_flush(out.now += 1000);
	}
	for (int i = 0; i < 10; i++) {
		for (auto &line : out.read_lines()) {
			json_t *object = parse(line);

			ASSERT_TRUE(json_is_object(object)) << line;
			json_decref(object);
		}
		log_flush(out.now += 1000);
	}
}

std::string trace_request(const std::vector<std::string> &lines, const char *id)
{
	struct log_reader *r = log_reader_create();
	GString *out = g_string_new(nullptr);
	std::string text;

	for (auto &line : lines)
		log_reader_add_line(r, line.c_str());
	log_reader_trace(r, id, out);
	text = out->str;
	g_string_free(out, TRUE);
	log_reader_destroy(r);
	return text;
}

TEST(log_reader, trace_merges_nodes_by_time_and_ends_with_verdict)
{
	std::vector<std::string> lines = {
		"x {\"t\":2.5,\"host\":\"b\",\"event\":\"refused\",\"id\":"
		"\"r1\",\"attempt\":\"7\"}",
		"{\"t\":1.0,\"host\":\"a\",\"event\":\"chosen\",\"id\":\"r1\","
		"\"attempt\":\"7\",\"target\":\"b\"}",
		"{\"t\":2.0,\"host\":\"b\",\"event\":\"asked_of_unknown\","
		"\"attempt\":\"7\"}",
		"{\"t\":3.0,\"host\":\"a\",\"event\":\"answered\",\"id\":"
		"\"r1\",\"status\":503,\"outcome\":\"not-run\",\"reason\":"
		"\"full\",\"attempts\":1,\"retry_after_ms\":40}",
		"{\"t\":3.0,\"host\":\"a\",\"event\":\"answered\",\"id\":"
		"\"r2\",\"status\":502,\"outcome\":\"unknown\",\"reason\":"
		"\"broke off\",\"attempts\":2,\"target\":\"b\"}",
		"not a log line",
		"{broken",
	};
	std::string text = trace_request(lines, "r1");

	EXPECT_LT(text.find("chosen"), text.find("asked_of_unknown"));
	EXPECT_LT(text.find("asked_of_unknown"), text.find("refused "));
	EXPECT_NE(text.find("refused with 503, it did not run: full"),
		  std::string::npos);
	EXPECT_NE(trace_request(lines, "r2").find("it may have run at b"),
		  std::string::npos);
	EXPECT_EQ(trace_request(lines, "r3"), "");
}

TEST(log_reader, versions_show_state_of_each_host)
{
	struct log_reader *r = log_reader_create();
	GString *out = g_string_new(nullptr);

	for (const char *line : {
		     "{\"t\":1.0,\"host\":\"a\",\"event\":\"version_in_force\","
		     "\"version\":5,\"after_seen_ms\":3}",
		     "{\"t\":1.0,\"host\":\"b\",\"event\":\"version_in_force\","
		     "\"version\":4,\"after_seen_ms\":2}",
		     "{\"t\":2.0,\"host\":\"b\",\"event\":\"version_seen\","
		     "\"version\":5,\"source\":\"a peer\"}",
		     "{\"t\":2.1,\"host\":\"b\",\"event\":\"store_lost\"}",
	     })
		log_reader_add_line(r, line);
	log_reader_versions(r, out);
	EXPECT_NE(strstr(out->str, "version 5 since 1.000"), nullptr);
	EXPECT_NE(strstr(out->str, "waits for 5, announced by a peer"),
		  nullptr);
	EXPECT_NE(strstr(out->str, "store unreachable"), nullptr);
	g_string_free(out, TRUE);
	log_reader_destroy(r);
}

} // namespace
