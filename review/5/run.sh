#!/usr/bin/env bash
# Requests that crash instances come again, while instances shed (see
# claim.txt). Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: no instance sheds.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/poison_and_shed "$here/record.txt" "$folder"
status=$?
test $status -le 1 || exit 2
exit $status
