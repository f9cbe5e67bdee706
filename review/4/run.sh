#!/usr/bin/env bash
# All nodes are killed after an instance has left; a heartbeat is late (see
# claim.txt). Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: no node is killed.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/left_and_back "$here/record.txt" "$folder"
status=$?
test $status -le 1 || exit 2
exit $status
