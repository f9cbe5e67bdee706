# Functions shared by the scenarios: start a small fleet of real processes,
# inject faults, and check the event records that the processes wrote.

cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
. script/fleet.sh

# scenario NAME: create an empty output folder $out and reserve a network.
scenario() {
	fleet_init "${FESCUE_OUT:-$root/out}/system/$1"
	name=$1
}

# start_ereszkor [BACKEND OPTION...]: start the fleet of example/ereszkor, apply
# its rules and wait until every node is ready.
start_ereszkor() {
	start_fleet ereszkor "$@"
	cp "$root/example/ereszkor.rules" "$out/ereszkor.rules"
	apply ereszkor "$out/ereszkor.rules" >/dev/null
	wait_ready ereszkor 5
}

# start_load SECONDS RATE [OPTION...]: start fescue-load in the background; it
# exits after SECONDS.
load_count=0
start_load() {
	local seconds=$1 rate=$2
	shift 2
	load_count=$((load_count + 1))
	"$bin/fescue-load" --nodes "$(caller_ports ereszkor)" \
		--mix "${mix:-$root/example/ereszkor/mix.json}" \
		--rate "$rate" --seconds "$seconds" --seed "$load_count" \
		--name "load$load_count" --history "$out/load.events" "$@" \
		>"$out/load.txt" &
	load_pid=$!
}

# finish_load: wait for fescue-load to exit and print its summary.
finish_load() {
	wait "$load_pid"
	cat "$out/load.txt"
}

# change_rules NUMBER: set a deadline of 5000 + NUMBER ms and apply the rules.
change_rules() {
	"$bin/fescuectl" edit "$out/ereszkor.rules" --replace 4 \
		--with "service history deadline=$((5000 + $1)) queue=20 # Gabor"
	apply ereszkor "$out/ereszkor.rules"
}

# versions: print the active version of each node that answers, one per line.
versions() {
	local number service
	while read -r number service
	do
		status_of ereszkor "$number" .version
	done < <(hosts_of ereszkor)
}

# check_records: run fescue-check over all event records; fails on any
# violation. The convergence bound is loose, so that a busy machine does not
# fail a scenario: it only requires that every node converges. The bound of 3 s
# is checked on the simulated clock, and in real time by script/experiment.
check_records() {
	"$bin/fescue-check" --convergence-ms 30000 "$out"/*.events
}

# check_none_interrupted: fails if a call has an unknown outcome or a run was
# canceled.
check_none_interrupted() {
	local interrupted
	interrupted=$(grep -h '"type":"call"' "$out/load.events" |
		grep -c '"outcome":"unknown"' || true)
	test "$interrupted" = 0 ||
		fail "$interrupted calls have an unknown outcome"
	! grep -h '"type":"run_end"' "$out"/*backend*.events |
		grep -q canceled || fail "a run was canceled"
}

# fail TEXT...: print why the scenario failed and exit.
fail() {
	echo "$name: $*"
	exit 1
}

# send_poison: send two requests that crash the backend server that runs them,
# each twelve times, spread over all nodes; after each request's twelve sends,
# restart the backend servers that crashed.
send_poison() {
	local poison i ip number
	for poison in 1 2
	do
		for i in $(seq 12)
		do
			ip=$(node_ip ereszkor $((i % 9 + 1)))
			curl -s -o /dev/null -m 5 \
				-H "x-request-id: poison-$poison-$i" \
				"http://$ip:8000/rounds/streets?poison=$poison" ||
			true
		done
		for number in 1 2 3 4 5
		do
			kill -0 "${fleet_pids[ereszkor-backend-$number]}" \
				2>/dev/null ||
				start_backend ereszkor "$number" rounds
		done
		sleep 2
	done
}

# check_poison_records: as check_records; also fails unless the backend servers
# recorded at least two runs of the poison requests.
check_poison_records() {
	local runs
	check_records
	runs=$(cat "$out"/*backend*.events | grep -c '"poison":[12]')
	test "$runs" -ge 2 || fail "only $runs runs of poison requests"
}

# sum_counter NAME: print the counter's total over all nodes.
sum_counter() {
	local number service total=0
	while read -r number service
	do
		total=$((total + $(counter_of ereszkor "$number" "$1")))
	done < <(hosts_of ereszkor)
	echo $total
}

# run_chains RATE: send calls nested 12 deep whose innermost service refuses
# every call, and check that retries do not multiply over the layers.
run_chains() {
	local calls attempts sent number
	start_ereszkor --work-ms 2
	cat >"$out/mix.json" <<'JSON'
[{"path": "/rounds/streets", "chain": 11, "last_path": "/history/x"}]
JSON
	mix=$out/mix.json
	for number in 6 7 8 9
	do
		curl -s -o /dev/null -d '{"shed": 1}' \
			"http://$(node_ip ereszkor $number):8100/control/faults"
	done
	start_load 8 "$1"
	finish_load
	calls=$(sum_counter calls_received)
	attempts=$(sum_counter attempts)
	sent=$(sed -n 's/^class=urgent sent=\([0-9]*\) .*/\1/p' "$out/load.txt")
	test "$calls" -ge $((sent * 11)) ||
		fail "only $calls calls for $sent chains;" \
			"$(for number in calls_not_run calls_unknown \
				calls_canceled served_refused served_expired \
				links_failed call_queries backend_failures
			do
				echo "$number=$(sum_counter $number)"
			done | tr '\n' ' ')"
	check_records
	echo "chains=$sent calls=$calls attempts=$attempts"
	# 1.1 attempts per call, beyond the 10 retries that each of the 9 nodes'
	# budgets holds at the start.
	test $((attempts * 100)) -le $((calls * 110 + 9 * 10 * 100)) ||
		fail "amplification: $attempts attempts for $calls calls"
}
