#!/usr/bin/env bash
# Guards against requests that a stopping node drops: a node gets SIGTERM while
# its callers keep sending on open connections until the process exits. Every
# request that it read must be answered.
set -eu
. "$(dirname "$0")/_common.sh"
scenario stop
folder=$(settings_of ereszkor)
for file in "$folder"/host-*.json
do
	jq '. + {"stop_serve_ms": 1500, "stop_min_ms": 2500, "drain_ms": 5500}' \
		"$file" >"$out/changed"
	mv "$out/changed" "$file"
done
start_ereszkor --work-ms 100
# All calls enter at the two nodes, which stop one after the other.
caller_ports() {
	echo "$(node_ip ereszkor 2):8000,$(node_ip ereszkor 3):8000"
}
start_load 10 80
sleep 2
for number in 2 3
do
	begin_ms=$(date +%s%3N)
	fleet_stop "ereszkor-node-$number"
	took_ms=$(($(date +%s%3N) - begin_ms))
	test "$took_ms" -ge 2400 ||
		fail "node $number exited too early, after $took_ms ms"
	test "$took_ms" -le 6500 ||
		fail "node $number exited too late, after $took_ms ms"
	grep -q '"event":"stopped"' "$out/ereszkor-node-$number.log" ||
		fail "node $number did not log the event stopped"
	start_node ereszkor "$number"
	sleep 1
done
finish_load
check_records
ran=$(grep -h '"type":"call"' "$out/load.events" |
	grep -c '"outcome":"ran"' || true)
test "$ran" -ge 300 || fail "only $ran calls ran"
check_none_interrupted
