#include "support.h"

#include <cmath>

extern "C" {
#include "fescue/error.h"
#include "fescue/rules.h"
}

namespace
{

struct parsed {
	int error;
	std::vector<diagnostic> bad;
	struct rules *rules;

	explicit parsed(const std::string &text)
	{
		size_t count = 0;

		bad.resize(RULES_MAX_DIAGNOSTICS);
		error = rules_parse(text.data(), text.size(), &rules,
				    bad.data(), bad.size(), &count);
		bad.resize(count);
	}
	~parsed()
	{
		rules_destroy(rules);
	}
};

void expect_bad(const std::string &text, uint32_t line, uint32_t column,
		const std::string &what)
{
	parsed p(text);

	ASSERT_EQ(p.error, FESCUE_EINVAL) << text;
	ASSERT_FALSE(p.bad.empty());
	EXPECT_EQ(p.rules, nullptr);
	EXPECT_EQ(p.bad[0].line, line) << text;
	EXPECT_EQ(p.bad[0].column, column) << text;
	EXPECT_NE(std::string(p.bad[0].what).find(what), std::string::npos)
		<< p.bad[0].what;
	EXPECT_GT(strlen(p.bad[0].remedy), 5u);
}

const char good[] = "# rules\n"
		    "service a deadline=100 queue=3 reserve=20 # Ann\n"
		    "\n"
		    "service b # Bob\n"
		    "route GET */x a class=background idempotent=yes "
		    "retries=2 # Ann\n"
		    "route * shop.example/x/long b # Bob\n"
		    "route POST */x/long b deadline=9 # Bob\n";

TEST(rules, good_file)
{
	parsed p(good);

	ASSERT_EQ(p.error, FESCUE_OK);
	ASSERT_EQ(rules_service_count(p.rules), 2u);
	ASSERT_EQ(rules_route_count(p.rules), 3u);
	EXPECT_EQ(rules_service(p.rules, 0)->queue, 3u);
	EXPECT_EQ(rules_service(p.rules, 0)->reserve_percent, 20u);
	/* Most specific first: host, then prefix length. */
	EXPECT_STREQ(rules_route(p.rules, 0)->host, "shop.example");
	EXPECT_STREQ(rules_route(p.rules, 1)->prefix, "/x/long");
	EXPECT_EQ(rules_route(p.rules, 1)->contract.deadline_ms, 9u);
	EXPECT_EQ(rules_route(p.rules, 2)->contract.deadline_ms, 100u);
	EXPECT_EQ(rules_route(p.rules, 2)->contract.call_class,
		  CALL_CLASS_BACKGROUND);
	EXPECT_EQ(rules_route(p.rules, 2)->contract.idempotent, 1);
	EXPECT_EQ(rules_route(p.rules, 0)->contract.idempotent, 0);
}

TEST(rules, empty_file_is_good)
{
	EXPECT_EQ(parsed("").error, FESCUE_OK);
	EXPECT_EQ(parsed("\n\n# only a comment").error, FESCUE_OK);
	EXPECT_EQ(parsed("service a # Ann\r\n").error, FESCUE_OK);
}

TEST(rules, bad_lines_name_place_and_remedy)
{
	expect_bad("service # Ann\n", 1, 1, "no name");
	expect_bad("service a\n", 1, 10, "who asked");
	expect_bad("service a #  \n", 1, 11, "who asked");
	expect_bad("service a! # Ann\n", 1, 9, "not a service name");
	expect_bad("service a # A\nservice a # A\n", 2, 9, "line 1");
	expect_bad("service a queue=x # A\n", 1, 17, "queue");
	expect_bad("service a queue=99999 # A\n", 1, 17, "queue");
	expect_bad("service a deadline=0 # A\n", 1, 20, "deadline");
	expect_bad("service a queue=1 queue=2 # A\n", 1, 19, "twice");
	expect_bad("service a colour=red # A\n", 1, 11, "unknown option");
	expect_bad("service a fast # A\n", 1, 11, "not an option");
	expect_bad("servce a # A\n", 1, 1, "unknown rule");
	expect_bad("route GET */x # A\n", 1, 1, "incomplete");
	expect_bad("route get */x a # A\n", 1, 7, "not a method");
	expect_bad("route GET x a # A\n", 1, 11, "not a host");
	expect_bad("route GET /x a # A\n", 1, 11, "not a host");
	expect_bad("\nroute GET */x a # A\n", 2, 15, "no service 'a'");
	expect_bad("service a # A\nroute GET */x a # A\nroute GET */x a # A\n",
		   3, 7, "line 2");
	expect_bad("service a # A\nroute GET */x a class=slow # A\n", 2, 23,
		   "class");
	expect_bad(std::string("service a\0b # A\n", 16), 1, 10,
		   "control byte 0x00");
	expect_bad("service a # \xff\xfe\n", 1, 13, "not UTF-8");
	expect_bad("service a # caf\xc3", 1, 16, "not UTF-8");
}

TEST(rules, all_bad_lines_are_reported)
{
	parsed p("x # A\nservice a # A\ny # A\n");

	ASSERT_EQ(p.bad.size(), 2u);
	EXPECT_EQ(p.bad[0].line, 1u);
	EXPECT_EQ(p.bad[1].line, 3u);
}

TEST(rules, sizes_are_bounded)
{
	expect_bad("service a # " + std::string(1000000 - 3000, 'x'), 1,
		   RULES_MAX_LINE_BYTES + 1, "bytes");
	EXPECT_EQ(parsed(std::string(1000001, '#')).error, FESCUE_ETOOBIG);
	EXPECT_EQ(parsed(std::string(RULES_MAX_BYTES, '\n')).error, FESCUE_OK);
	EXPECT_EQ(parsed(std::string(RULES_MAX_BYTES + 1, '\n')).error,
		  FESCUE_ETOOBIG);
}

TEST(rules, diagnostics_are_bounded)
{
	std::string text;

	for (int i = 0; i < 1000; i++)
		text += "nonsense # A\n";
	EXPECT_EQ(parsed(text).bad.size(), (size_t)RULES_MAX_DIAGNOSTICS);
}

/* Any bytes: an error or a rule set, never both, never a crash. */
TEST(rules, random_bytes_never_crash)
{
	GRand *random = g_rand_new_with_seed(42);
	static const char alphabet[] =
		"service route GET */ab=#\n\t\r\0\xff\xc3";

	for (int i = 0; i < 20000; i++) {
		std::string text(g_rand_int_range(random, 0, 200), ' ');

		for (char &c : text)
			c = g_rand_boolean(random) ?
				    (char)g_rand_int(random) :
				    alphabet[g_rand_int_range(
					    random, 0, sizeof(alphabet) - 1)];
		parsed p(text);
		EXPECT_EQ(p.error == FESCUE_OK, p.rules != nullptr);
		EXPECT_EQ(p.error == FESCUE_OK, p.bad.empty());
	}
	g_rand_free(random);
}

/* A good file with some bytes changed or cut. */
TEST(rules, mutated_files_never_crash)
{
	GRand *random = g_rand_new_with_seed(43);

	for (int i = 0; i < 20000; i++) {
		std::string text(good);

		text.resize(g_rand_int_range(random, 1, text.size() + 1));
		for (int j = g_rand_int_range(random, 0, 4); j > 0; j--)
			text[g_rand_int_range(random, 0, text.size())] =
				(char)g_rand_int(random);
		parsed p(text);
		EXPECT_EQ(p.error == FESCUE_OK, p.rules != nullptr);
	}
	g_rand_free(random);
}

TEST(rules, matching)
{
	parsed p(good);
	const struct route_rule *get = rules_route(p.rules, 2);
	const struct route_rule *host = rules_route(p.rules, 0);

	EXPECT_TRUE(route_rule_matches(get, "GET", 3, "/x/1", 4));
	EXPECT_FALSE(route_rule_matches(get, "POST", 4, "/x/1", 4));
	EXPECT_FALSE(route_rule_matches(get, "GET", 3, "/", 1));
	EXPECT_TRUE(route_rule_matches(host, "GET", 3, "/x/long", 7));
	EXPECT_STREQ(host->host, "shop.example");
}

TEST(rules, weighted_targets)
{
	const char *head = "service a # x\nservice b # x\n";
	parsed p(std::string(head) +
		 "route * h/p/ a:90,b:10 rank=2 latency=400 # x\n");

	ASSERT_EQ(p.error, FESCUE_OK);
	const struct route_rule *route = rules_route(p.rules, 0);
	ASSERT_EQ(route->part_count, 2u);
	EXPECT_STREQ(route->parts[1].service, "b");
	EXPECT_EQ(route->parts[0].weight, 90u);
	EXPECT_EQ(route->contract.rank, 2u);
	EXPECT_EQ(route->contract.latency_ms, 400u);
	for (const char *bad : { "a,b", "a:0,b:1", "a:x", "a:1,", "a:1,c:1",
				 "a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1" }) {
		parsed q(std::string(head) + "route * h/p/ " + bad + " # x\n");

		EXPECT_NE(q.error, FESCUE_OK) << bad;
	}
}

TEST(rules, limits_and_service_options)
{
	parsed p("limits header=16384 body=1000 header-time=3000 "
		 "idle-time=15000 # x\nservice a health=/hz connections=110 "
		 "# x\n");

	ASSERT_EQ(p.error, FESCUE_OK);
	EXPECT_EQ(rules_limits(p.rules)->idle_ms, 15000u);
	EXPECT_EQ(rules_limits(p.rules)->body_bytes, 1000u);
	EXPECT_STREQ(rules_service(p.rules, 0)->health, "/hz");
	EXPECT_EQ(rules_service(p.rules, 0)->connections, 110u);
	for (const char *bad :
	     { "limits # x\nlimits # x\n", "limits idle-time=0 # x\n",
	       "limits size=1 # x\n", "service a health=hz # x\n" }) {
		parsed q(bad);

		EXPECT_NE(q.error, FESCUE_OK) << bad;
	}
}

/* Each part gets its weight's share, however the weights are written. */
TEST(rules, parts_get_their_weights)
{
	const char text[] = "service a # A\nservice b # A\nservice c # A\n"
			    "route GET */ a:1,b:5,c:14 # A\n";
	struct rules *rules;
	size_t count;
	uint32_t calls[3] = { 0, 0, 0 };

	ASSERT_EQ(rules_parse(text, strlen(text), &rules, nullptr, 0, &count),
		  0);
	const struct route_rule *rule = rules_route(rules, 0);

	ASSERT_EQ(route_rule_weight(rule), 20u);
	for (uint32_t drawn = 0; drawn < 20; drawn++)
		calls[route_rule_part(rule, drawn)]++;
	EXPECT_EQ(calls[0], 1u);
	EXPECT_EQ(calls[1], 5u);
	EXPECT_EQ(calls[2], 14u);
	rules_destroy(rules);
}

/*
 * Requests are dealt by their ids: evenly over each thousand, alike on every
 * node, and alike before and after a version that leaves the parts alone.
 */
TEST(rules, requests_are_dealt_by_their_ids)
{
	const std::string before = "service a # A\nservice b # A\n"
				   "route GET */s/ a:80,b:20 # A\n";
	const std::string one = "service a # A\nservice b # A\n"
				"route GET */s/ a # A\n";
	const std::string after = before + "route GET */t/ b # A\n";
	struct rules *versions[3];
	size_t count;
	unsigned to_b = 0;
	char id[32];

	const std::string *texts[] = { &before, &after, &one };
	for (int i = 0; i < 3; i++)
		ASSERT_EQ(rules_parse(texts[i]->data(), texts[i]->size(),
				      &versions[i], nullptr, 0, &count),
			  0);
	for (unsigned n = 0; n < 10000; n++) {
		uint32_t part[3];

		snprintf(id, sizeof(id), "%016x", n * 2654435761u);
		for (int i = 0; i < 3; i++) {
			const struct route_rule *rule =
				rules_route(versions[i], 0);

			if (strcmp(rule->prefix, "/s/"))
				rule = rules_route(versions[i], 1);
			part[i] = route_rule_part(
				rule, route_rule_draw(rule, id, strlen(id)));
		}
		EXPECT_EQ(part[0], part[1]);
		EXPECT_EQ(part[2], 0u);
		to_b += part[0];
		if (n % 1000 == 999) {
			double share = (n + 1) * 0.2;

			/* Within a tenth, and four standard deviations. */
			EXPECT_NEAR(to_b, share,
				    share * 0.1 + 4 * sqrt(share * 0.8));
		}
	}
	for (struct rules *r : versions)
		rules_destroy(r);
}

} // namespace
