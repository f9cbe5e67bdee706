/*
 * Captures the log of the test process.
 */
#ifndef FESCUE_TEST_LOG_CAPTURE_H
#define FESCUE_TEST_LOG_CAPTURE_H

#include "support.h"

#include <fcntl.h>
#include <unistd.h>

extern "C" {
#include "log.h"
}

/* Redirects standard output to a pipe, which is read only on demand. */
struct log_capture {
	int saved_stdout, fds[2];

	log_capture()
	{
		fflush(stdout);
		saved_stdout = dup(STDOUT_FILENO);
		EXPECT_EQ(pipe(fds), 0);
		dup2(fds[1], STDOUT_FILENO);
		log_open("test");
		log_set_host("10.0.0.1:7000");
		log_flush(now += 10000); /* resets the rate limits */
	}
	~log_capture()
	{
		log_close();
		dup2(saved_stdout, STDOUT_FILENO);
		close(saved_stdout);
		close(fds[0]);
		close(fds[1]);
	}
	std::vector<std::string> read_lines()
	{
		std::vector<std::string> lines;
		std::string text;
		char buf[4096];
		ssize_t n;

		fcntl(fds[0], F_SETFL, O_NONBLOCK);
		while ((n = read(fds[0], buf, sizeof(buf))) > 0)
			text.append(buf, (size_t)n);
		for (size_t i = 0, end;
		     (end = text.find('\n', i)) != std::string::npos;
		     i = end + 1)
			lines.push_back(text.substr(i, end - i));
		return lines;
	}
	static inline uint64_t now;
};

#endif
