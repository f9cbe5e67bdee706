#!/usr/bin/env bash
# Run the case: 1: the rule was broken, 0: it held, 2: the case couldn't run.
# TROUBLE=0 leaves out the disruption. Build with review/build-2.sh first.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
test -x "$program" || { echo "not run: build $program first"; exit 2; }
timeout 110 "$program" "$folder"
status=$?
test $status -le 2 || status=2
exit $status
