#!/usr/bin/env bash
# Guards against failures that logs and metrics do not explain: requests fail
# for lack of a free slot, with an unknown outcome and for lack of a route.
# "fescuectl trace" must find the cause of each in the nodes' logs alone, every
# log line must be a JSON object, and the nodes must serve metrics.
set -eu
. "$(dirname "$0")/_common.sh"
scenario trace
start_ereszkor --slots 1 --work-ms 400
node=$(node_ip ereszkor 1)

# send_request ID PATH [CURL OPTION...]: print the HTTP status.
send_request() {
	local id=$1 path=$2
	shift 2
	curl -s -o /dev/null -m 5 -w '%{http_code}\n' -H "x-request-id: $id" \
		"$@" "http://$node:8000$path" || true
}

# expect_trace ID TEXT: fails unless the trace of the request contains TEXT.
expect_trace() {
	local trace
	trace=$(cat "$out"/ereszkor-node-*.log | "$bin/fescuectl" trace "$1")
	echo "$trace" | tail -n 1
	grep -qF "$2" <<<"$trace" || fail "$1: no '$2' in: $trace"
}

# No free slot: the backend servers, with one slot each, cannot run all these
# calls before their deadline.
for i in $(seq 40)
do
	send_request "overload-$i" /rounds/streets \
		-H 'x-fescue-deadline-ms: 600' \
		>"$out/overload-$i.status" &
	request_pids="${request_pids:-} $!"
done
# shellcheck disable=SC2086
wait $request_pids
refused=$(grep -l 503 "$out"/overload-*.status | head -n 1)
test -n "$refused" || fail "no call was refused for lack of a free slot"
refused=$(basename "$refused" .status)

# Unknown outcome: the backend servers close the connection within the answer.
for number in 1 2 3 4 5
do
	curl -s -o /dev/null -d '{"short_answers": 1}' \
		"http://$(node_ip ereszkor "$number"):8100/control/faults"
done
test "$(send_request unknown-1 /rounds/deposits -X POST)" = 502 ||
	fail "a truncated answer did not end in status 502"

# Wrong configuration: no rule matches the path.
test "$(send_request config-1 /nowhere/x)" = 404 ||
	fail "a path without a rule did not end in status 404"
sleep 1.2
expect_trace "$refused" "it did not run"
expect_trace unknown-1 "it may have run at"
expect_trace config-1 "no rule matches"
cat "$out"/ereszkor-node-*.log | "$bin/fescuectl" versions | head -n 1
test "$(cat "$out"/ereszkor-node-*.log | "$bin/fescuectl" versions |
	grep -c "version $(status_of ereszkor 1 .version) since")" = 9 ||
	fail "the logs do not show the active version of all 9 nodes"
cat "$out"/ereszkor-node-*.log | while read -r line
do
	jq -e 'has("t") and has("host") and has("event")' <<<"$line" \
		>/dev/null || fail "not a JSON object with t, host and event: $line"
done
curl -s "http://$node:9000/metrics" >"$out/metrics"
grep -q '^fescue_calls_received_total [1-9]' "$out/metrics" ||
	fail "metrics without fescue_calls_received_total"
grep -q '^fescue_call_duration_seconds_bucket{class="urgent",le="+Inf"} [1-9]' \
	"$out/metrics" || fail "metrics without fescue_call_duration_seconds"
