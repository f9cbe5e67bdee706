#!/usr/bin/env bash
# Guards against a request that crashes one backend server after another: two
# such requests are sent repeatedly through many nodes. Each request may crash
# at most two backend servers. Unlike in poison.sh, the requests are sent only
# after gossip has given every node the service of every host.
set -eu
. "$(dirname "$0")/_common.sh"
scenario poison_known_hosts
start_ereszkor
for i in $(seq 30)
do
	known=$(for n in 1 2 3 4 5 6 7 8 9; do status_of ereszkor $n \
		"[.hosts[] | select(.service != \"\")] | length"; done | sort -u)
	test "$known" = 9 && break
	sleep 0.5
done
start_load 12 100
send_poison
finish_load
check_poison_records
