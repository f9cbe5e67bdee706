#include "support.h"

extern "C" {
#include "claim_record.h"
#include "fescue/claim.h"
#include "fescue/error.h"
}

#include <map>
#include <set>

namespace
{

/* The store's records of one shard. */
struct shard_store {
	std::map<uint64_t, std::pair<std::string, uint64_t>> records;
	uint64_t revision = 0;
	uint64_t writes = 0;

	bool create(uint64_t sequence, const std::string &value)
	{
		writes++;
		if (records.count(sequence))
			return false;
		records[sequence] = { value, ++revision };
		return true;
	}
};

/* A write that a holder sent and whose effect or answer is still to come. */
struct pending_call {
	enum claim_action_type type;
	uint64_t sequence;
	std::string value;
	uint64_t revision;
	bool applied = false;
};

/* A holder of the shard, with the store calls it waits for. */
struct holder {
	struct claim_log *log = nullptr;
	std::vector<pending_call> calls;
	bool frozen = false;
};

/*
 * Several holders of one shard over one store, and the claimants' view: a
 * key may be granted to one nonce only, whatever happens.
 */
struct claim_world {
	shard_store store;
	std::vector<holder> holders;
	std::map<std::string, std::set<uint64_t>> granted; /* key -> nonces */
	std::map<uint64_t, std::string> keys; /* nonce -> key */
	std::vector<std::string> violations;
	uint64_t now = 1000;
	int replies = 0;
	struct claim_settings settings = claim_defaults;
	bool unsafe_recreate =
		false; /* planted: a conflict counts as success */

	explicit claim_world(size_t count, uint32_t seed = 1)
	{
		holders.resize(count);
		for (size_t i = 0; i < count; i++)
			open(i, seed + i);
	}
	~claim_world()
	{
		for (auto &h : holders)
			claim_log_destroy(h.log);
	}
	void open(size_t i, uint32_t seed)
	{
		claim_log_destroy(holders[i].log);
		holders[i].log = claim_log_create(&settings, i + 1, seed);
		holders[i].calls.clear();
		holders[i].frozen = false;
		claim_log_tick(holders[i].log, now, now);
	}
	void ask(size_t i, const std::string &key, uint64_t nonce)
	{
		struct claim_request request = { 100 + nonce, nonce, nonce,
						 key.c_str() };

		keys[nonce] = key;
		claim_log_request(holders[i].log, &request, now);
		collect(i);
	}
	void collect(size_t i)
	{
		struct claim_action a;

		while (claim_log_next_action(holders[i].log, &a)) {
			pending_call call = { a.type, a.sequence, "", 0 };

			switch (a.type) {
			case CLAIM_REPLY:
				take_reply(a);
				continue;
			case CLAIM_CREATE:
				call.value.assign(a.u.create.value,
						  a.u.create.size);
				break;
			case CLAIM_DELETE:
				call.revision = a.u.remove.revision;
				break;
			default:
				break;
			}
			holders[i].calls.push_back(call);
		}
	}
	void take_reply(const struct claim_action &a)
	{
		uint64_t nonce = a.u.reply.request_id;

		replies++;
		if (a.u.reply.verdict != CLAIM_GRANTED)
			return;
		granted[keys[nonce]].insert(nonce);
		if (granted[keys[nonce]].size() > 1)
			violations.push_back("key " + keys[nonce] +
					     " granted twice");
	}
	/* The call takes effect, and its answer arrives or is lost. */
	void finish(size_t i, size_t at, bool effect, bool answer)
	{
		holder &h = holders[i];
		pending_call call = h.calls[at];
		enum claim_store_result result = CLAIM_STORE_OK;

		h.calls.erase(h.calls.begin() + at);
		if (call.type == CLAIM_CREATE) {
			if (effect && !store.create(call.sequence, call.value))
				result = CLAIM_STORE_CONFLICT;
			if (result == CLAIM_STORE_CONFLICT && unsafe_recreate)
				result = CLAIM_STORE_OK;
			if (!effect)
				result = CLAIM_STORE_REFUSED;
			if (!answer)
				result = CLAIM_STORE_UNSETTLED;
			claim_log_created(h.log, result, store.revision, now);
		} else if (call.type == CLAIM_LIST) {
			answer_list(h, effect && answer);
		} else if (call.type == CLAIM_READ) {
			answer_read(h, call, effect && answer);
		} else if (call.type == CLAIM_DELETE && effect) {
			auto r = store.records.find(call.sequence);

			if (r != store.records.end() &&
			    r->second.second == call.revision)
				store.records.erase(r);
			claim_log_deleted(h.log);
		} else if (call.type == CLAIM_DELETE) {
			claim_log_deleted(h.log);
		}
		collect(i);
	}
	void answer_list(holder &h, bool good)
	{
		std::vector<struct claim_record> records;

		for (auto &r : store.records)
			records.push_back({ r.first, r.second.second,
					    r.second.first.data(),
					    r.second.first.size() });
		claim_log_listed(h.log,
				 good ? CLAIM_STORE_OK : CLAIM_STORE_REFUSED,
				 records.data(), records.size(), now);
	}
	void answer_read(holder &h, const pending_call &call, bool good)
	{
		auto r = store.records.find(call.sequence);
		struct claim_record record = {};

		if (r == store.records.end()) {
			claim_log_read(h.log,
				       good ? CLAIM_STORE_ABSENT :
					      CLAIM_STORE_REFUSED,
				       &record, now);
			return;
		}
		record = { call.sequence, r->second.second,
			   r->second.first.data(), r->second.first.size() };
		claim_log_read(h.log,
			       good ? CLAIM_STORE_OK : CLAIM_STORE_REFUSED,
			       &record, now);
	}
	void tick(uint64_t ms)
	{
		now += ms;
		for (size_t i = 0; i < holders.size(); i++) {
			if (holders[i].frozen)
				continue;
			claim_log_tick(holders[i].log, now, now);
			collect(i);
		}
	}
	/* Answer everything until nothing is left to do. */
	void settle()
	{
		for (int round = 0; round < 200; round++) {
			for (size_t i = 0; i < holders.size(); i++) {
				holders[i].frozen = false;
				while (!holders[i].calls.empty())
					finish(i, 0, true, true);
			}
			tick(10);
		}
	}
};

TEST(claim, first_is_granted_and_second_is_taken)
{
	claim_world w(1);

	w.ask(0, "k", 1);
	w.settle();
	EXPECT_EQ(w.granted["k"].count(1), 1u);
	w.ask(0, "k", 2);
	w.settle();
	EXPECT_EQ(w.granted["k"].size(), 1u);
	EXPECT_EQ(w.replies, 2);
}

TEST(claim, repetition_of_a_request_is_granted_again)
{
	claim_world w(2);

	w.ask(0, "k", 1);
	w.settle();
	w.ask(1, "k", 1);
	w.settle();
	EXPECT_EQ(w.replies, 2);
	EXPECT_EQ(w.granted["k"].size(), 1u);
	EXPECT_TRUE(w.violations.empty());
}

TEST(claim, waiting_keys_share_a_record)
{
	claim_world w(1);

	w.ask(0, "first", 1000);
	w.settle();
	uint64_t before = w.store.writes;
	w.ask(0, "a", 1);
	for (uint64_t i = 2; i <= 100; i++)
		w.ask(0, "k" + std::to_string(i), i);
	w.settle();
	EXPECT_EQ(w.replies, 101);
	EXPECT_LE(w.store.writes - before, 2u);
}

TEST(claim, outage_refuses_and_nothing_is_recorded)
{
	claim_world w(1);

	w.ask(0, "k", 1);
	w.finish(0, 0, false, true); /* the listing is refused */
	EXPECT_EQ(w.replies, 1);
	EXPECT_TRUE(w.granted.empty());
	w.tick(300);
	w.ask(0, "k", 2);
	w.settle();
	EXPECT_EQ(w.granted["k"].count(2), 1u);
}

TEST(claim, lost_answer_burns_the_key_for_its_nonce)
{
	claim_world w(1);

	w.ask(0, "k", 1);
	w.finish(0, 0, true, true); /* list */
	ASSERT_EQ(w.holders[0].calls[0].type, CLAIM_CREATE);
	w.finish(0, 0, true, false);
	EXPECT_EQ(w.replies, 1);
	w.settle();
	w.ask(0, "k", 2);
	w.settle();
	EXPECT_TRUE(w.granted.empty()); /* 1 was told unsettled, 2 taken */
}

TEST(claim, old_records_are_dropped)
{
	claim_world w(1);

	w.ask(0, "k", 1);
	w.settle();
	EXPECT_EQ(claim_log_keys(w.holders[0].log), 1u);
	w.tick(w.settings.retention_ms);
	w.settle();
	EXPECT_EQ(claim_log_keys(w.holders[0].log), 0u);
	EXPECT_TRUE(w.store.records.empty());
}

/*
 * Every interleaving of: two holders, two claimants of one key, the effect
 * and the answer of each store call (arrives, lost before, lost after), a
 * crash of a holder, and a resend; to a bounded depth.
 */
struct enumeration {
	size_t runs = 0;
	size_t violations = 0;
	bool unsafe = false;

	void play(const std::vector<int> &choices)
	{
		claim_world w(2);
		uint64_t nonce = 2;

		w.unsafe_recreate = unsafe;
		w.ask(0, "k", 1);
		w.ask(1, "k", 2);
		for (int choice : choices) {
			size_t i = choice % 2;
			int act = choice / 2;

			if (act < 3 && !w.holders[i].calls.empty())
				w.finish(i, 0, act != 1, act == 0);
			else if (act == 3)
				w.open(i, 50 + i);
			else if (act == 4)
				w.ask(i, "k", ++nonce);
			else
				w.tick(250);
		}
		w.settle();
		runs++;
		violations += !w.violations.empty();
	}
	void enumerate(std::vector<int> &choices, size_t depth)
	{
		if (choices.size() == depth) {
			play(choices);
			return;
		}
		for (int choice = 0; choice < 12; choice++) {
			choices.push_back(choice);
			enumerate(choices, depth);
			choices.pop_back();
		}
	}
};

TEST(claim, all_interleavings_to_a_bound)
{
	enumeration e;
	std::vector<int> choices;

	e.enumerate(choices, getenv("FESCUE_HISTORIES") ? 3 : 4);
	EXPECT_GT(e.runs, 1000u);
	EXPECT_EQ(e.violations, 0u);
}

TEST(claim, planted_fault_is_found_by_interleavings)
{
	enumeration e;
	std::vector<int> choices;

	e.unsafe = true;
	e.enumerate(choices, 3);
	EXPECT_GT(e.violations, 0u);
}

/* Random events over several holders, keys, freezes and retention. */
void random_history(uint32_t seed, std::vector<std::string> *violations)
{
	claim_world w(3, seed);
	GRand *random = g_rand_new_with_seed(seed);
	uint64_t nonce = 0;

	for (int step = 0; step < 150; step++) {
		size_t i = g_rand_int_range(random, 0, 3);
		holder &h = w.holders[i];

		switch (g_rand_int_range(random, 0, 9)) {
		case 0:
		case 1:
			if (!h.frozen)
				w.ask(i,
				      "k" + std::to_string(g_rand_int_range(
						    random, 0, 6)),
				      ++nonce);
			break;
		case 2:
			w.open(i, seed + step);
			break;
		case 3:
			h.frozen = g_rand_boolean(random);
			break;
		case 4:
			w.tick(g_rand_int_range(random, 0, 400));
			break;
		default:
			if (!h.calls.empty() && !h.frozen)
				w.finish(i,
					 g_rand_int_range(random, 0,
							  h.calls.size()),
					 g_rand_int_range(random, 0, 4) > 0,
					 g_rand_int_range(random, 0, 4) > 0);
		}
	}
	w.settle();
	*violations = w.violations;
	g_rand_free(random);
}

TEST(claim, random_histories)
{
	int count = histories(10000);

	for (int seed = 0; seed < count; seed++) {
		std::vector<std::string> violations;

		random_history(seed, &violations);
		ASSERT_TRUE(violations.empty())
			<< "seed " << seed << ": " << violations[0];
	}
}

TEST(claim, records_round_trip_and_tolerate_garbage)
{
	struct claim_header header = { 7, 8, 9 }, back = {};
	GArray *entries = claim_entries_create();
	struct claim_entry entry = { 1, 2, g_strdup("service/key-1") };
	GRand *random = g_rand_new_with_seed(4);

	g_array_append_val(entries, entry);
	GString *value = claim_record_encode(&header, entries);
	GArray *decoded = claim_entries_create();
	EXPECT_EQ(claim_record_decode(value->str, value->len, &back, decoded),
		  FESCUE_OK);
	EXPECT_EQ(back.writer, 7u);
	EXPECT_EQ(back.wall_ms, 9u);
	ASSERT_EQ(decoded->len, 1u);
	EXPECT_STREQ(g_array_index(decoded, struct claim_entry, 0).key,
		     "service/key-1");
	for (int i = 0; i < 5000; i++) {
		std::string text(value->str, value->len);

		text[g_rand_int_range(random, 0, text.size())] =
			(char)g_rand_int(random);
		claim_record_decode(text.data(), text.size(), &back, decoded);
	}
	g_array_free(entries, TRUE);
	g_array_free(decoded, TRUE);
	g_string_free(value, TRUE);
	g_rand_free(random);
}

} // namespace
