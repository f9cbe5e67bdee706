/*
 * Callers that leave: no request reaches a backend server half a second after its
 * caller has left, in calm and while nodes stand still or start again.
 *
 * FESCUE_FLEET_SEEDS runs more seeds; the nodes are FESCUE_NODE, if set.
 */
#include "caller_fleet.h"

namespace
{

void play(uint32_t seed, int count, enum node_trouble trouble, uint64_t seconds)
{
	caller_fleet fleet(seed, 6, 2);

	fleet.f.start_all();
	fleet.run_for(4000);
	for (uint64_t end = wall_ms() + seconds * 1000; wall_ms() < end;) {
		fleet.disturb_some(count, trouble);
		fleet.run_with_requests(
			(uint64_t)fleet.f.random_int(500, 2500));
	}
	fleet.run_for(1500);
	EXPECT_GT(fleet.arrivals, 20 * seconds);
	EXPECT_GT(fleet.left, 5 * seconds);
	EXPECT_TRUE(fleet.late.empty())
		<< "seed " << seed << ": " << fleet.describe();
	if (getenv("FESCUE_FLEET_VERBOSE"))
		std::cerr << "seed " << seed << ": " << fleet.describe();
}

void play_seeds(uint32_t first, int disturbed,
		enum node_trouble trouble = NODE_STANDS_STILL)
{
	const char *seeds = getenv("FESCUE_FLEET_SEEDS");
	const char *seconds = getenv("FESCUE_FLEET_SECONDS");
	int count = seeds ? atoi(seeds) : 1;

	for (int i = 0; i < count; i++)
		play(first + (uint32_t)i, disturbed, trouble,
		     seconds ? strtoull(seconds, nullptr, 10) : 8);
}

TEST(left_callers, requests_do_not_arrive_late_in_calm)
{
	play_seeds(900, 0);
}

/* Guards against starts that overtake the cancels of nodes that stand still. */
TEST(left_callers, requests_do_not_arrive_late_while_nodes_stand_still)
{
	play_seeds(1000, 2);
}

/* Guards against calls that outlive the nodes of their callers. */
TEST(left_callers, requests_do_not_arrive_late_while_nodes_are_killed)
{
	play_seeds(1200, 1, NODE_IS_KILLED);
}

TEST(left_callers, requests_do_not_arrive_late_while_nodes_are_stopped)
{
	play_seeds(1300, 1, NODE_IS_STOPPED);
}

} // namespace
