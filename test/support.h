/*
 * Shared by the test programs: C headers for C++, and seeds.
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
inline int histories(int standard)
{
	const char *text = getenv("FESCUE_HISTORIES");

	return text ? atoi(text) : standard;
}

#endif
