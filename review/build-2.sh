#!/usr/bin/env bash
# Build what the scripts of the second review start, into target/: the stand-in
# of the store, and one program a case with its instances and callers.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DFESCUE_TESTS=OFF >/dev/null
cmake --build target -j4 --target fescue-store-standin >/dev/null
mkdir -p target/review-2
for case in review/[0-9]*/case.c review/outside/case.c
do
	number=$(basename "$(dirname "$case")")
	cc -std=gnu11 -O1 -Wall -Wextra -D_GNU_SOURCE \
		-o "target/review-2/case-$number" "$case" \
		review/lab-2/*.c -lpthread
done
