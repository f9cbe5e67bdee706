/*
 * Answers that break the protocol, for the tests of all that reads answers.
 */
#ifndef FESCUE_TEST_BROKEN_ANSWERS_H
#define FESCUE_TEST_BROKEN_ANSWERS_H

#include <string>
#include <vector>

struct broken_answer {
	std::string bytes;
	const char *reason; /* as logged */
};

/* Apart from what is named, answers with the given fields and body. */
inline std::vector<broken_answer> broken_answers(const std::string &fields,
						 const std::string &body)
{
	const std::string length =
		"content-length: " + std::to_string(body.size()) + "\r\n";
	const std::string rest = fields + length + "\r\n" + body;
	const std::string chunked = "HTTP/1.1 200 OK\r\n" + fields +
				    "transfer-encoding: chunked\r\n\r\n1\r\n" +
				    body.substr(0, 1);
	const char *status = "the status is not from 100 to 599";
	const char *digits = "the status is no number of three digits";
	const char *name = "the name of a field is no token";
	std::vector<broken_answer> all = {
		{ "HTTP/1.1 000 X\r\n" + rest, status },
		{ "HTTP/1.1 099 X\r\n" + rest, status },
		{ "HTTP/1.1 600 X\r\n" + rest, status },
		{ "HTTP/1.1 999 X\r\n" + rest, status },
		{ "HTTP/1.1 0200 X\r\n" + rest, digits },
		{ "HTTP/1.1 20 X\r\n" + rest, digits },
		{ "HXYZ/1.1 200 X\r\n" + rest,
		  "the answer does not begin with HTTP/1" },
		{ "HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
		  "the protocol was switched without a request" },
		{ chunked + "XX0\r\n\r\n", "a chunk is longer than its size" },
		{ "HTTP/1.1 200 X\r\nx: v\r\n folded\r\n" + rest,
		  "a field line has no colon" },
	};

	for (const char *line :
	     { "x odd: v", "x-odd : v", " x-odd: v", "x\todd: v", "x\x01odd: v",
	       "x\x7fodd: v", "x\xe9: v", "Content-Length : 1",
	       "content length: 1" })
		all.push_back({ std::string("HTTP/1.1 200 X\r\n") + line +
					"\r\n" + rest,
				name });
	return all;
}

#endif
