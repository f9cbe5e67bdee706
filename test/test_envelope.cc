#include "support.h"

extern "C" {
#include "fescue/delta.h"
#include "fescue/envelope.h"
#include "fescue/error.h"
}

namespace
{

TEST(envelope, round_trip_and_change_status)
{
	struct envelope first, second, third;
	size_t size;
	char *first_value = envelope_build(1, nullptr, "one", 3, &size);

	ASSERT_EQ(envelope_parse(first_value, size, &first), FESCUE_OK);
	EXPECT_EQ(std::string(first.text, first.text_size), "one");
	char *second_value = envelope_build(2, &first, "two", 3, &size);
	ASSERT_EQ(envelope_parse(second_value, size, &second), FESCUE_OK);
	char *third_value = envelope_build(3, &second, "", 0, &size);
	ASSERT_EQ(envelope_parse(third_value, size, &third), FESCUE_OK);
	EXPECT_EQ(third.text_size, 0u);
	EXPECT_EQ(envelope_find_change(&third, 3), ENVELOPE_CHANGE_CURRENT);
	EXPECT_EQ(envelope_find_change(&third, 2), ENVELOPE_CHANGE_SUPERSEDED);
	EXPECT_EQ(envelope_find_change(&third, 1), ENVELOPE_CHANGE_SUPERSEDED);
	EXPECT_EQ(envelope_find_change(&third, 4), ENVELOPE_CHANGE_NOT_FOUND);
	g_free(first_value);
	g_free(second_value);
	g_free(third_value);
}

TEST(envelope, ancestors_are_bounded)
{
	struct envelope parsed;
	size_t size;
	char *value = envelope_build(1, nullptr, "t", 1, &size);

	for (uint64_t change_id = 2; change_id < 200; change_id++) {
		ASSERT_EQ(envelope_parse(value, size, &parsed), FESCUE_OK);
		char *next = envelope_build(change_id, &parsed, "t", 1, &size);
		g_free(value);
		value = next;
	}
	ASSERT_EQ(envelope_parse(value, size, &parsed), FESCUE_OK);
	EXPECT_EQ(parsed.ancestor_count, (size_t)ENVELOPE_ANCESTORS_MAX);
	EXPECT_EQ(envelope_find_change(&parsed, 199 - ENVELOPE_ANCESTORS_MAX),
		  ENVELOPE_CHANGE_SUPERSEDED);
	EXPECT_EQ(envelope_find_change(&parsed, 198 - ENVELOPE_ANCESTORS_MAX),
		  ENVELOPE_CHANGE_NOT_FOUND);
	g_free(value);
}

TEST(envelope, malformed_header_is_rejected)
{
	struct envelope parsed;
	GRand *random = g_rand_new_with_seed(9);

	for (const char *bad :
	     { "", "\n", "fescue 1\n", "fescue 1 12\n",
	       "fescue 2 0000000000000001\n", "fescue 1 000000000000000g\n",
	       "fescue 1 0000000000000001" })
		EXPECT_EQ(envelope_parse(bad, strlen(bad), &parsed),
			  FESCUE_EINVAL)
			<< bad;
	/* Any bytes must be parsed without reading out of bounds. */
	for (int i = 0; i < 20000; i++) {
		std::string text = "fescue 1 0000000000000001\nx";

		text[g_rand_int_range(random, 0, text.size())] =
			(char)g_rand_int(random);
		text.resize(g_rand_int_range(random, 0, text.size() + 1));
		envelope_parse(text.data(), text.size(), &parsed);
	}
	g_rand_free(random);
}

TEST(delta, random_texts_round_trip)
{
	GRand *random = g_rand_new_with_seed(11);

	for (int i = 0; i < 20000; i++) {
		std::string base(g_rand_int_range(random, 0, 30), 'x');
		std::string text = base;

		for (int edits = g_rand_int_range(random, 0, 4); edits > 0;
		     edits--) {
			size_t position =
				g_rand_int_range(random, 0, text.size() + 1);

			if (g_rand_boolean(random))
				text.insert(position, "yx");
			else
				text.erase(position, 2);
		}
		struct delta delta = delta_compute(base.data(), base.size(),
						   text.data(), text.size());
		char *out;
		size_t size;

		ASSERT_EQ(delta_apply(base.data(), base.size(), &delta, &out,
				      &size),
			  FESCUE_OK);
		EXPECT_EQ(std::string(out, size), text);
		g_free(out);
	}
	g_rand_free(random);
}

TEST(delta, too_short_base_is_rejected)
{
	struct delta delta = { 5, 5, "", 0 };
	char *out;
	size_t size;

	EXPECT_EQ(delta_apply("short", 5, &delta, &out, &size),
		  FESCUE_EMISMATCH);
}

} // namespace
