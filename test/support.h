/*
 * Headers that most test programs include, and the size of random tests.
 */
#ifndef FESCUE_TEST_SUPPORT_H
#define FESCUE_TEST_SUPPORT_H

#include <gtest/gtest.h>

#include <glib.h>
#include <uv.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

/* Number of random histories to run; FESCUE_HISTORIES overrides it. */
inline int history_count(int default_count)
{
	const char *text = getenv("FESCUE_HISTORIES");

	return text ? atoi(text) : default_count;
}

#endif
