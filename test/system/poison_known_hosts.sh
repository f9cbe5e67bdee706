#!/usr/bin/env bash
# Requests that crash the backend server that runs them are sent again and
# again, through many nodes; each costs at most two. Every node knows the
# service of every host before; the scenario poison asks the same of a fleet
# that has just started.
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
for poison in 1 2
do
	for i in $(seq 12)
	do
		ip=$(node_ip ereszkor $((i % 9 + 1)))
		curl -s -o /dev/null -m 5 -H "x-request-id: poison-$poison-$i" \
			"http://$ip:8000/rounds/streets?poison=$poison" || true
	done
	# What crashed is started again, as a supervisor would.
	for number in 1 2 3 4 5
	do
		kill -0 "${fleet_pids[ereszkor-backend-$number]}" 2>/dev/null ||
			start_backend ereszkor "$number" rounds
	done
	sleep 2
done
finish_load
judge
crashes=$(cat "$out"/*backend*.events | grep -c '"poison":[12]')
test "$crashes" -ge 2 || fail "no backend server crashed"
