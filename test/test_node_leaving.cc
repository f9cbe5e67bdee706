/*
 * Tests of what a node that starts believes of a backend server that may have
 * left before, where neither peers nor the store know of it.
 */
#include "node_fixture.h"

namespace
{

const char health_config[] =
	"{\"version\":7,\"resources\":[{\"type\":\"services\",\"metadata\":"
	"{\"name\":\"shop\"},\"spec\":{\"healthPath\":\"/healthz\"}}]}";
/*
 * Guards against a late heartbeat that brings a backend server back that has
 * left while the store was down, after all nodes were killed before it was
 * stored.
 */
TEST(node_leaving, late_heartbeat_after_kills_in_an_outage_does_not_announce)
{
	fixture f;

	f.start_node();
	ASSERT_TRUE(f.introduce("i-1", 5));
	f.run_for(100);
	ASSERT_TRUE(f.node->is_serving());
	store_standin_set_outage(f.store, OUTAGE_HANG);
	ASSERT_GE(f.send("DELETE", "i-1", ""), 0);
	EXPECT_FALSE(f.node->is_serving());
	f.kill_node();
	store_standin_set_outage(f.store, OUTAGE_NONE);
	f.start_node();
	f.run_for(500);
	f.heartbeat("i-1", 6);
	for (int i = 0; i < 30; i++) {
		f.run_for(100);
		ASSERT_FALSE(f.node->is_serving());
	}
	/* Another late one, and the first once more. */
	f.heartbeat("i-1", 7);
	f.heartbeat("i-1", 6);
	f.run_for(1000);
	EXPECT_FALSE(f.node->is_serving());
}

/* The same without an outage, where the store has lost the record. */
TEST(node_leaving,
     late_heartbeat_after_kills_does_not_announce_without_the_record)
{
	fixture f;

	store_standin_copy(f.store);
	f.start_node();
	ASSERT_TRUE(f.introduce("i-1", 5));
	ASSERT_GE(f.send("DELETE", "i-1", ""), 0);
	f.kill_node();
	store_standin_restore(f.store);
	f.start_node();
	f.run_for(500);
	f.heartbeat("i-1", 6);
	f.run_for(3000);
	EXPECT_FALSE(f.node->is_serving());
}

/*
 * Guards against a leaving that the store lost and that its node believes stored:
 * it was missing when all nodes were killed later.
 */
TEST(node_leaving, record_is_written_again_after_return_from_a_copy)
{
	fixture f;

	store_standin_set_era(f.store, 1);
	store_standin_copy(f.store);
	f.put_config(7);
	f.start_node();
	f.run_for(2500); /* it watches the store */
	ASSERT_TRUE(f.introduce("i-1", 5));
	ASSERT_GE(f.send("DELETE", "i-1", ""), 0);
	ASSERT_TRUE(f.has_leaving_record());
	store_standin_restore(f.store);
	ASSERT_FALSE(f.has_leaving_record());
	f.run_for(2000);
	EXPECT_TRUE(f.has_leaving_record());
	/* Also if a former run of the node wrote it. */
	f.kill_node();
	f.start_node();
	f.run_for(2500);
	store_standin_restore(f.store);
	f.run_for(2500);
	EXPECT_TRUE(f.has_leaving_record());
}

/*
 * Guards against a backend server that stays out of use after all nodes were
 * killed: it repeats what is refused, as the platform's instances do.
 */
TEST(node_leaving,
     backend_server_that_stays_is_announced_after_all_nodes_are_killed)
{
	fixture f;

	f.start_node();
	ASSERT_TRUE(f.introduce("i-1", 5));
	f.kill_node();
	f.start_node();
	EXPECT_EQ(f.heartbeat("i-1", 6), -1);
	EXPECT_EQ(f.status, 503);
	EXPECT_FALSE(f.node->is_serving());
	EXPECT_EQ(f.heartbeat("i-1", 7), -1);
	EXPECT_GE(f.heartbeat("i-1", 8), 0);
	EXPECT_TRUE(f.node->is_serving());
}

std::string health_answer(const char *status, const char *id)
{
	return std::string("HTTP/1.1 ") + status +
	       "\r\nContent-Length: 0\r\nFescuehitch-Instance-Id: " + id +
	       "\r\n\r\n";
}

/* Sends one heartbeat of a server that gives this answer to a health check. */
bool is_announced_by_health(const std::string &answer)
{
	scripted_peer backend({ { answer, step::CLOSE } });
	fixture f;
	bool serving;

	store_standin_put(f.store, "op/config", health_config,
			  strlen(health_config));
	f.start_node();
	f.run_for(300);
	f.send("PUT", "i-1",
	       "{\"address\":\"127.0.0.1:" +
		       std::to_string(backend.address.port) +
		       "\",\"born\":1000,\"info\":{\"service\":\"shop\","
		       "\"slots\":1},\"status\":{\"state\":\"ready\","
		       "\"sequence\":1}}");
	f.run_for(500);
	EXPECT_EQ(backend.requests.size(), 1u);
	serving = f.node->is_serving();
	f.kill_node();
	return serving;
}

/*
 * Guards against a wait for repeated heartbeats after all nodes were killed,
 * where the backend server itself says that it is in service.
 */
TEST(node_leaving, backend_server_with_a_good_health_check_is_announced_at_once)
{
	EXPECT_TRUE(is_announced_by_health(health_answer("200 OK", "i-1")));
}

/* One that leaves, another one at its address, and one without a name. */
TEST(node_leaving, other_health_answers_do_not_announce_a_backend_server)
{
	EXPECT_FALSE(is_announced_by_health(
		health_answer("503 Service Unavailable", "i-1")));
	EXPECT_FALSE(is_announced_by_health(health_answer("200 OK", "i-2")));
	EXPECT_FALSE(is_announced_by_health(
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
}

} // namespace
