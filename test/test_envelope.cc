#include "support.h"

extern "C" {
#include "fescue/delta.h"
#include "fescue/envelope.h"
#include "fescue/error.h"
}

namespace
{

TEST(envelope, round_trip_and_fate)
{
	struct envelope first, second, third;
	size_t size;
	char *a = envelope_build(1, nullptr, "one", 3, &size);

	ASSERT_EQ(envelope_parse(a, size, &first), FESCUE_OK);
	EXPECT_EQ(std::string(first.text, first.text_size), "one");
	char *b = envelope_build(2, &first, "two", 3, &size);
	ASSERT_EQ(envelope_parse(b, size, &second), FESCUE_OK);
	char *c = envelope_build(3, &second, "", 0, &size);
	ASSERT_EQ(envelope_parse(c, size, &third), FESCUE_OK);
	EXPECT_EQ(third.text_size, 0u);
	EXPECT_EQ(envelope_find(&third, 3), ENVELOPE_CURRENT);
	EXPECT_EQ(envelope_find(&third, 2), ENVELOPE_REPLACED);
	EXPECT_EQ(envelope_find(&third, 1), ENVELOPE_REPLACED);
	EXPECT_EQ(envelope_find(&third, 4), ENVELOPE_ABSENT);
	g_free(a);
	g_free(b);
	g_free(c);
}

TEST(envelope, ancestors_are_bounded)
{
	struct envelope e;
	size_t size;
	char *value = envelope_build(1, nullptr, "t", 1, &size);

	for (uint64_t change = 2; change < 200; change++) {
		ASSERT_EQ(envelope_parse(value, size, &e), FESCUE_OK);
		char *next = envelope_build(change, &e, "t", 1, &size);
		g_free(value);
		value = next;
	}
	ASSERT_EQ(envelope_parse(value, size, &e), FESCUE_OK);
	EXPECT_EQ(e.ancestor_count, (size_t)ENVELOPE_ANCESTORS_MAX);
	EXPECT_EQ(envelope_find(&e, 199 - ENVELOPE_ANCESTORS_MAX),
		  ENVELOPE_REPLACED);
	EXPECT_EQ(envelope_find(&e, 198 - ENVELOPE_ANCESTORS_MAX),
		  ENVELOPE_ABSENT);
	g_free(value);
}

TEST(envelope, foreign_bytes_are_refused)
{
	struct envelope e;
	GRand *random = g_rand_new_with_seed(9);

	for (const char *bad :
	     { "", "\n", "fescue 1\n", "fescue 1 12\n",
	       "fescue 2 0000000000000001\n", "fescue 1 000000000000000g\n",
	       "fescue 1 0000000000000001" })
		EXPECT_EQ(envelope_parse(bad, strlen(bad), &e), FESCUE_EINVAL)
			<< bad;
	for (int i = 0; i < 20000; i++) {
		std::string text = "fescue 1 0000000000000001\nx";

		text[g_rand_int_range(random, 0, text.size())] =
			(char)g_rand_int(random);
		text.resize(g_rand_int_range(random, 0, text.size() + 1));
		envelope_parse(text.data(), text.size(), &e);
	}
	g_rand_free(random);
}

TEST(delta, random_texts_are_rebuilt)
{
	GRand *random = g_rand_new_with_seed(11);

	for (int i = 0; i < 20000; i++) {
		std::string a(g_rand_int_range(random, 0, 30), 'x'), b = a;

		for (int j = g_rand_int_range(random, 0, 4); j > 0; j--) {
			size_t at = g_rand_int_range(random, 0, b.size() + 1);

			if (g_rand_boolean(random))
				b.insert(at, "yx");
			else
				b.erase(at, 2);
		}
		struct delta d =
			delta_compute(a.data(), a.size(), b.data(), b.size());
		char *out;
		size_t size;

		ASSERT_EQ(delta_apply(a.data(), a.size(), &d, &out, &size),
			  FESCUE_OK);
		EXPECT_EQ(std::string(out, size), b);
		g_free(out);
	}
	g_rand_free(random);
}

TEST(delta, wrong_base_is_refused)
{
	struct delta d = { 5, 5, "", 0 };
	char *out;
	size_t size;

	EXPECT_EQ(delta_apply("short", 5, &d, &out, &size), FESCUE_EMISMATCH);
}

} // namespace
