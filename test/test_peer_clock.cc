/* The clock of a peer, as packets on a link tell it; on simulated clocks. */
#include <gtest/gtest.h>
#include <random>

extern "C" {
#include "peer_clock.h"
}

namespace
{

TEST(peer_clock, is_unknown_until_it_is_read)
{
	struct peer_clock clock = {};

	EXPECT_EQ(peer_clock_at(&clock, 1000), 0u);
	peer_clock_read(&clock, 5000, 1000);
	EXPECT_EQ(peer_clock_at(&clock, 1000), 5000u);
	EXPECT_EQ(peer_clock_at(&clock, 1700), 5700u);
	EXPECT_EQ(peer_clock_at(&clock, 900), 4900u);
}

/* A reading that was held up on its way does not replace a better one. */
TEST(peer_clock, fastest_reading_counts)
{
	struct peer_clock clock = {};

	peer_clock_read(&clock, 5000, 1900);
	EXPECT_EQ(peer_clock_at(&clock, 2000), 5100u);
	peer_clock_read(&clock, 6000, 2001);
	EXPECT_EQ(peer_clock_at(&clock, 2101), 6100u);
	peer_clock_read(&clock, 7000, 3500);
	EXPECT_EQ(peer_clock_at(&clock, 3500), 7499u);
}

TEST(peer_clock, clocks_wrap)
{
	struct peer_clock clock = {};

	peer_clock_read(&clock, 0xfffffff0u, 0x7fffffffu);
	EXPECT_EQ(peer_clock_at(&clock, 0x80000020u), 0x11u);
	EXPECT_EQ(clock_elapsed_ms(0xfffffff0u, 0x10u), 0x20u);
	EXPECT_EQ(clock_elapsed_ms(0x10u, 0xfffffff0u), 0u);
}

/* Guards against ages that are too small, at any delays and drifts. */
TEST(peer_clock, time_of_the_peer_is_never_overestimated)
{
	std::mt19937 random(1);

	for (int seed = 0; seed < 200; seed++) {
		struct peer_clock clock = {};
		double drift = ((int)(random() % 201) - 100) * 1e-6;
		double now = 0;
		uint32_t own_start = random(), peer_start = random();

		for (int i = 0; i < 2000; i++) {
			uint32_t delay = random() % 3 ? random() % 5 :
							random() % 3000;
			uint32_t own, peer, told;

			now += random() % 4000;
			own = own_start + (uint32_t)now;
			peer = peer_start + (uint32_t)(now * (1 + drift));
			peer_clock_read(&clock, peer - delay, own);
			told = peer_clock_at(&clock, own);
			ASSERT_LE((int32_t)(told - peer), 1) << seed;
		}
	}
}

} // namespace
