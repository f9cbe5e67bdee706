#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start: the project's own
# store stand-in and the review's programs. Run it after the build line of
# deploy/system.toml; it needs no network.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DFESCUE_TESTS=OFF >/dev/null
cmake --build target -j8 --target fescue-node fescue-store-standin >/dev/null
mkdir -p target/review
for source in review/[1-5]/*.c
do
	test -f "$source" || continue
	cc -std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wshadow -pthread \
		review/lab/*.c "$source" \
		-o "target/review/$(basename "$source" .c)"
done
