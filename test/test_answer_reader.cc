/*
 * The reader of answers: what follows the protocol is read alike however the
 * input is cut, and what breaks it is no answer.
 */
#include "support.h"

#include <malloc.h>

extern "C" {
#include "answer_reader.h"
#include "fescue/error.h"
}

namespace
{

struct outcome {
	enum answer_state state;
	int error, status, keeps;
	size_t used;
	std::string reason, body, headers;

	bool operator==(const outcome &o) const
	{
		return state == o.state && error == o.error &&
		       status == o.status && keeps == o.keeps &&
		       used == o.used && reason == o.reason && body == o.body &&
		       headers == o.headers;
	}
};

struct reading {
	struct answer_budget budget = { 0, 4 * HTTP_MAX_BODY_BYTES };
	struct answer_reader *reader;
	size_t used = 0;

	explicit reading(const char *method = "GET")
	{
		reader = answer_reader_create(method, &budget);
	}
	~reading()
	{
		answer_reader_destroy(reader);
		EXPECT_EQ(budget.used, 0u);
	}
	enum answer_state state() const
	{
		return answer_reader_state(reader);
	}
	/* In pieces of the given size, until the answer ends. */
	void read(const std::string &bytes, size_t piece)
	{
		for (size_t i = 0;
		     i < bytes.size() && state() == ANSWER_READING;) {
			std::string part = bytes.substr(i, piece);

			i += answer_reader_read(reader, part.data(),
						part.size());
			used = i;
		}
	}
	struct outcome result() const
	{
		struct outcome o = {};
		const char *reason = answer_reader_reason(reader);
		size_t count, size;
		const struct http_header *h =
			answer_reader_headers(reader, &count);
		const char *body = answer_reader_body(reader, &size);

		o.state = state();
		o.error = answer_reader_error(reader);
		o.reason = reason ? reason : "";
		if (o.state == ANSWER_BROKEN)
			return o;
		o.status = answer_reader_status(reader);
		o.keeps = answer_reader_keeps_connection(reader);
		o.used = used;
		o.body.assign(body, size);
		for (size_t i = 0; i < count; i++)
			o.headers +=
				std::string(h[i].name) + "=" + h[i].value + ";";
		return o;
	}
};

struct outcome read_answer(const std::string &bytes, bool ends = false,
			   size_t piece = SIZE_MAX, const char *method = "GET")
{
	reading r(method);

	r.read(bytes, piece);
	if (ends)
		answer_reader_end(r.reader);
	return r.result();
}

const char ok[] = "HTTP/1.1 200 OK\r\n";
const std::string chunked =
	std::string(ok) + "transfer-encoding: chunked\r\n\r\n";

/* With a status line or a field line, a whole answer. */
std::string with_status_line(const std::string &line)
{
	return line + "\r\ncontent-length: 2\r\n\r\nab";
}

std::string with_field(const std::string &line)
{
	return ok + line + "\r\ncontent-length: 2\r\n\r\nab";
}

void expect_broken(const std::string &bytes)
{
	for (size_t piece : { SIZE_MAX, (size_t)1, (size_t)7 }) {
		struct outcome o = read_answer(bytes, true, piece);

		EXPECT_EQ(o.state, ANSWER_BROKEN) << bytes;
		EXPECT_NE(o.error, FESCUE_OK) << bytes;
		EXPECT_FALSE(o.reason.empty()) << bytes;
	}
}

/* The rule: HTTP/1.x, a space, a number from 100 to 599, a reason. */
TEST(answer_reader, status_line_follows_the_protocol)
{
	const std::string good[] = {
		"HTTP/1.1 200 OK", "HTTP/1.1 200 ",
		"HTTP/1.1 200",	   "HTTP/1.0 200 OK",
		"HTTP/1.7 200 OK", "HTTP/1.1 200 A\tB  C",
		"HTTP/1.1 599 X",  "HTTP/1.1 200 \xc3\xb6",
	};
	const std::string bad[] = {
		"HTTP/2.0 200 OK",
		"HTTP/0.9 200 OK",
		"http/1.1 200 OK",
		"HXXP/1.1 200 OK",
		"HTTP/1 200 OK",
		"HTTP/1.10 200 OK",
		"HTTP/.1 200 OK",
		"HTTP/1.1  200 OK",
		"HTTP/1.1\t200 OK",
		"HTTP/1.1 200OK",
		"HTTP/1.1 0200 OK",
		"HTTP/1.1 2000 OK",
		"HTTP/1.1 20 OK",
		"HTTP/1.1 2x0 OK",
		"HTTP/1.1 +20 OK",
		"HTTP/1.1 -20 OK",
		"HTTP/1.1  OK",
		"HTTP/1.1 ",
		"HTTP/1.1",
		" HTTP/1.1 200 OK",
		"HTTP/1.1 200\tOK",
		"HTTP/1.1 200 O\rK",
		"HTTP/1.1 200 O\x01K",
		"HTTP/1.1 200 O\x7f",
		"HTTP/1.1 101 X",
		"",
		"ICY 200 OK",
		std::string("HTTP/1.1 200 O\0K", 16),
	};

	for (const auto &line : good)
		EXPECT_EQ(read_answer(with_status_line(line)).state,
			  ANSWER_COMPLETE)
			<< line;
	for (const auto &line : bad)
		expect_broken(with_status_line(line));
}

/* Of all numbers of three digits. */
TEST(answer_reader, status_is_from_100_to_599)
{
	for (int status = 0; status < 1000; status++) {
		char line[32];

		if (status / 100 == 1 || status == 204 || status == 304)
			continue; /* no body, see below */
		g_snprintf(line, sizeof(line), "HTTP/1.1 %03d X", status);
		struct outcome o = read_answer(with_status_line(line));

		if (status < 200 || status > 599)
			EXPECT_EQ(o.state, ANSWER_BROKEN) << line;
		else
			EXPECT_EQ(o.status, status) << line;
	}
}

/* Of all bytes in each part of a field line. */
TEST(answer_reader, field_line_follows_the_protocol)
{
	const std::string token = "!#$%&'*+-.^_`|~";

	for (int byte = 0; byte < 256; byte++) {
		std::string text(1, (char)byte);
		bool in_name = byte &&
			       (g_ascii_isalnum((char)byte) ||
				token.find((char)byte) != std::string::npos);
		bool in_value = byte == '\t' || (byte >= ' ' && byte != 0x7f);

		if (byte == '\n' || byte == ':')
			continue; /* they end a line or a name */
		for (const auto &name :
		     { "x" + text + "y", text + "x", "x" + text })
			EXPECT_EQ(read_answer(with_field(name + ": v")).state,
				  in_name ? ANSWER_COMPLETE : ANSWER_BROKEN)
				<< byte;
		EXPECT_EQ(read_answer(with_field("x: a" + text + "b")).state,
			  in_value ? ANSWER_COMPLETE : ANSWER_BROKEN)
			<< byte;
	}
	expect_broken(with_field("no colon"));
	expect_broken(with_field(": v"));
	expect_broken(with_field("x: a\r\n folded"));
	expect_broken(with_field(" x: v"));
	EXPECT_EQ(read_answer(with_field("X-Odd: \t a b\t ")).headers,
		  "x-odd=a b;content-length=2;");
	EXPECT_EQ(read_answer(with_field("x:")).headers,
		  "x=;content-length=2;");
	EXPECT_EQ(read_answer("HTTP/1.1 200 OK\nx: v\ncontent-length: 2\n\nab")
			  .body,
		  "ab");
}

TEST(answer_reader, framing_fields_follow_the_protocol)
{
	const std::string bad[] = {
		"content-length: 2",
		"content-length: 3",
		"content-length: 2, 2",
		"content-length:",
		"content-length: +2",
		"content-length: -2",
		"content-length: 2 2",
		"content-length: 0x2",
		"content-length: 2.0",
		"transfer-encoding: chunked",
		"transfer-encoding: gzip",
		"transfer-encoding: identity",
		"transfer-encoding:",
		"transfer-encoding: chunked, gzip",
		"content-length: 18446744073709551618",
	};

	for (const auto &line : bad)
		expect_broken(with_field(line));
	expect_broken(std::string(ok) +
		      "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
	expect_broken(std::string(ok) + "transfer-encoding: chunked\r\n"
					"transfer-encoding: chunked\r\n\r\n"
					"0\r\n\r\n");
	expect_broken("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
		      "0\r\n\r\n");
}

TEST(answer_reader, chunks_follow_the_protocol)
{
	const std::string good[] = {
		"2\r\nab\r\n0\r\n\r\n",
		"02;x=\"1\";y\r\nab\r\n00\r\n\r\n",
		"1 ;x\r\na\r\n1\r\nb\r\n0\r\nx: v\r\n\r\n",
		"2\r\nab\r\n0\r\nx: v\n\n",
	};
	const std::string bad[] = {
		"2\nab\r\n0\r\n\r\n",
		"2\r\nab\n0\r\n\r\n",
		"2\r\nabc\r\n0\r\n\r\n",
		"2\r\nab0\r\n\r\n",
		"2\r\nabXX0\r\n\r\n",
		"2\rXab\r\n0\r\n\r\n",
		"x\r\nab\r\n0\r\n\r\n",
		"\r\nab\r\n0\r\n\r\n",
		"-2\r\nab\r\n0\r\n\r\n",
		" 2\r\nab\r\n0\r\n\r\n",
		"2 x\r\nab\r\n0\r\n\r\n",
		"2;\x01\r\nab\r\n0\r\n\r\n",
		"0x2\r\nab\r\n0\r\n\r\n",
		"2\r\nab\r\n0\r\nx y: v\r\n\r\n",
		"2\r\nab\r\n0\r\nx\r\n\r\n",
		"10000000000000002\r\nab\r\n0\r\n\r\n",
	};

	for (const auto &body : good)
		EXPECT_EQ(read_answer(chunked + body).body, "ab") << body;
	for (const auto &body : bad)
		expect_broken(chunked + body);
}

/* Each answer, whole and ended after each of its bytes. */
TEST(answer_reader, only_an_answer_without_a_length_ends_with_the_connection)
{
	const std::string answers[] = {
		std::string(ok) + "content-length: 5\r\n\r\nwhole",
		chunked + "5\r\nwhole\r\n0\r\nx: v\r\n\r\n",
		"HTTP/1.1 204 X\r\ncontent-length: 5\r\n\r\n",
		"HTTP/1.1 304 X\r\ntransfer-encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 X\r\n\r\n",
	};
	const std::string unsized = std::string(ok) + "\r\nwhole";

	for (const auto &a : answers) {
		EXPECT_EQ(read_answer(a).state, ANSWER_COMPLETE) << a;
		EXPECT_EQ(read_answer(a + "more").used, a.size()) << a;
		for (size_t i = 0; i < a.size(); i++)
			EXPECT_EQ(read_answer(a.substr(0, i), true).state,
				  ANSWER_BROKEN)
				<< a.substr(0, i);
	}
	EXPECT_EQ(read_answer(unsized).state, ANSWER_READING);
	EXPECT_EQ(read_answer(unsized, true).body, "whole");
	EXPECT_EQ(read_answer(std::string(ok) + "content-length: 5\r\n\r\n",
			      false, 1, "HEAD")
			  .state,
		  ANSWER_COMPLETE);
}

TEST(answer_reader, connection_is_kept_as_the_answer_says)
{
	const struct {
		std::string status_line, field;
		int keeps;
	} cases[] = {
		{ "HTTP/1.1 200 X", "x: y", 1 },
		{ "HTTP/1.1 200 X", "connection: Close", 0 },
		{ "HTTP/1.1 200 X", "connection: x , close", 0 },
		{ "HTTP/1.1 200 X", "connection: keep-alive", 1 },
		{ "HTTP/1.0 200 X", "x: y", 0 },
		{ "HTTP/1.0 200 X", "connection: Keep-Alive", 1 },
	};

	for (const auto &k : cases)
		EXPECT_EQ(read_answer(with_status_line(k.status_line + "\r\n" +
						       k.field))
				  .keeps,
			  k.keeps)
			<< k.status_line << " " << k.field;
	EXPECT_FALSE(read_answer(std::string(ok) + "\r\n", true).keeps);
}

/* Bytes without end are kept up to a limit for each part of an answer. */
TEST(answer_reader, endless_bytes_are_kept_up_to_a_limit)
{
	const std::string fill(1000, 'a');
	const struct {
		std::string first, repeated;
		size_t max;
	} floods[] = {
		{ std::string("HTTP/1.1 200 "), fill, ANSWER_HEAD_MAX_BYTES },
		{ ok, fill, ANSWER_HEAD_MAX_BYTES },
		{ std::string(ok) + "x: ", fill, ANSWER_HEAD_MAX_BYTES },
		{ ok, "x: 1\r\n", ANSWER_HEAD_MAX_BYTES },
		{ ok, "x: " + fill + "\r\n", ANSWER_HEAD_MAX_BYTES },
		{ std::string(ok) + "\r\n", fill, HTTP_MAX_BODY_BYTES },
		{ chunked, "3e8\r\n" + fill + "\r\n",
		  HTTP_MAX_BODY_BYTES / 1000 * 1007 },
		{ chunked, "1;" + fill + "\r\na\r\n", ANSWER_HEAD_MAX_BYTES },
		{ chunked + "1;", fill, ANSWER_HEAD_MAX_BYTES },
		{ chunked + "0", fill, ANSWER_HEAD_MAX_BYTES },
		{ chunked + "0\r\n", "x: 1\r\n", ANSWER_HEAD_MAX_BYTES },
		{ chunked + "0\r\nx: ", fill, ANSWER_HEAD_MAX_BYTES },
	};

	for (const auto &flood : floods) {
		reading r;
		size_t received = flood.first.size();

		r.read(flood.first, SIZE_MAX);
		while (r.state() == ANSWER_READING &&
		       received < 2 * HTTP_MAX_BODY_BYTES) {
			r.read(flood.repeated, SIZE_MAX);
			received += flood.repeated.size();
			EXPECT_LE(r.budget.used,
				  flood.max + ANSWER_HEAD_MAX_BYTES);
		}
		EXPECT_EQ(r.state(), ANSWER_BROKEN) << flood.first;
		EXPECT_LE(received, flood.max + 2 * flood.repeated.size())
			<< flood.first;
	}
	/* A length or a chunk that is too long is known at once. */
	expect_broken(std::string(ok) + "content-length: 4194305\r\n\r\n");
	expect_broken(chunked + "400001\r\n");
}

/* Heads count as well as bodies, and what is freed can be used again. */
TEST(answer_reader, answers_of_all_readers_share_a_budget)
{
	struct answer_budget budget = { 0, 100000 };
	const std::string field = "x: " + std::string(60000, 'a');
	std::vector<struct answer_reader *> readers;

	for (int i = 0; i < 2; i++) {
		readers.push_back(answer_reader_create("GET", &budget));
		answer_reader_read(readers[i], ok, strlen(ok));
		answer_reader_read(readers[i], field.data(), field.size());
	}
	EXPECT_EQ(answer_reader_state(readers[0]), ANSWER_READING);
	EXPECT_EQ(answer_reader_error(readers[1]), FESCUE_ETOOBIG);
	EXPECT_LE(budget.used, budget.max);
	answer_reader_restart(readers[0]);
	answer_reader_restart(readers[1]);
	EXPECT_EQ(budget.used, 0u);
	answer_reader_read(readers[1], ok, strlen(ok));
	answer_reader_read(readers[1], field.data(), field.size());
	EXPECT_EQ(answer_reader_state(readers[1]), ANSWER_READING);
	for (struct answer_reader *r : readers)
		answer_reader_destroy(r);
	EXPECT_EQ(budget.used, 0u);
}

/* Guards against buffers of skipped answers that outlive their bytes. */
TEST(answer_reader, skipped_answer_gives_its_memory_back)
{
	auto heap_bytes = [] {
		struct mallinfo2 info = mallinfo2();

		return info.uordblks + info.hblkhd;
	};
	const std::string answer = std::string(ok) +
				   "content-length: 4000000\r\n\r\n" +
				   std::string(4000000, 'a');
	reading r;
	size_t before = heap_bytes();

	r.read(answer, SIZE_MAX);
	EXPECT_EQ(r.state(), ANSWER_COMPLETE);
	answer_reader_restart(r.reader);
	EXPECT_EQ(r.budget.used, 0u);
	EXPECT_LE(heap_bytes(), before + 4096);
}

/* Mutated answers are read alike in one piece and in pieces of any size. */
TEST(answer_reader, input_may_be_cut_anywhere)
{
	const std::string answers[] = {
		with_field("connection: close"),
		chunked + "2;x\r\nab\r\n0\r\nx: v\r\n\r\n",
		std::string(ok) + "x: y\r\n\r\nunsized",
	};
	const std::string bytes("\0\r\n\t :0123HTP/.xcontent-length\x7f\xff",
				32);
	GRand *random = g_rand_new_with_seed(42);

	for (int i = 0; i < history_count(20000); i++) {
		std::string a = answers[i % G_N_ELEMENTS(answers)];
		bool ends = g_rand_boolean(random);

		for (int n = g_rand_int_range(random, 0, 4); n > 0; n--) {
			size_t at = (size_t)g_rand_int_range(random, 0,
							     (gint32)a.size());
			size_t with = (size_t)g_rand_int_range(
				random, 0, (gint32)bytes.size());

			if (g_rand_boolean(random))
				a[at] = bytes[with];
			else
				a.erase(at, with % 4);
		}
		struct outcome whole = read_answer(a, ends);
		size_t piece = (size_t)g_rand_int_range(random, 1, 9);

		EXPECT_TRUE(whole == read_answer(a, ends, piece)) << a;
	}
	g_rand_free(random);
}

} // namespace
