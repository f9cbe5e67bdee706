# Functions that start and stop the processes of a deployment on loopback.
# Source this file. Processes that are still running when the shell exits are
# killed by their pids.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${FESCUE_BIN:-$root/build}
declare -A fleet_pids

fleet_cleanup() {
	local name
	for name in "${!fleet_pids[@]}"
	do
		kill -KILL "${fleet_pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	test -z "${fleet_net:-}" || rm -rf "$(net_lock_dir "$fleet_net")"
}
trap fleet_cleanup EXIT

# net_lock_dir N: print the lock directory of network 127.N.
net_lock_dir() {
	echo "${TMPDIR:-/tmp}/fescue-loopback-$1"
}

# Reserve a loopback network 127.N that no other run uses, so that concurrent
# runs do not share addresses. Takes over a lock whose owner has exited.
reserve_net() {
	local n owner
	for n in $(seq 1 250 | shuf)
	do
		if ! mkdir "$(net_lock_dir "$n")" 2>/dev/null
		then
			owner=$(cat "$(net_lock_dir "$n")/pid" 2>/dev/null || true)
			test -n "$owner" && ! kill -0 "$owner" 2>/dev/null ||
				continue
		fi
		echo $$ >"$(net_lock_dir "$n")/pid"
		fleet_net=$n
		return 0
	done
	echo "no free loopback network; remove $(net_lock_dir '*')" >&2
	return 1
}

# settings_of DEPLOYMENT: print the folder of its settings, adapted to the
# network of this run.
settings_of() {
	local folder="${settings_dir:-$out/settings/$1}"
	if ! test -d "$folder"
	then
		mkdir -p "$folder"
		for file in "$root/example/$1"/*
		do
			sed "s/\"127\.0\./\"127.$fleet_net./" "$file" \
				>"$folder/$(basename "$file")"
		done
	fi
	echo "$folder"
}

# fleet_init DIR: create an empty folder $out for logs and event records, and
# reserve a network.
fleet_init() {
	out=$1
	rm -rf "$out"
	mkdir -p "$out"
	test -n "${fleet_net:-}" || reserve_net
}

# fleet_run NAME COMMAND...: start a process in the background, with its output
# in NAME.log; other functions refer to it by NAME.
fleet_run() {
	local name=$1
	shift
	"$@" >>"$out/$name.log" 2>&1 &
	fleet_pids[$name]=$!
}

# fleet_signal NAME SIGNAL: send a signal to a process.
fleet_signal() {
	kill -"$2" "${fleet_pids[$1]}" 2>/dev/null || true
}

# record_event FILE SOURCE TYPE: append an event record, for fescue-check, of
# what a scenario did.
record_event() {
	echo "{\"t_us\":$(date +%s%6N),\"source\":\"$2\",\"type\":\"$3\"}" \
		>>"$out/$1.events"
}

# freeze_node DEPLOYMENT NUMBER: suspend a node with SIGSTOP.
freeze_node() {
	record_event "$1-freezes" "$(node_ip "$1" "$2"):7000" frozen
	fleet_signal "$1-node-$2" STOP
}

# thaw_node DEPLOYMENT NUMBER: resume a frozen node.
thaw_node() {
	fleet_signal "$1-node-$2" CONT
	record_event "$1-freezes" "$(node_ip "$1" "$2"):7000" thawed
}

# fleet_kill NAME: kill a process with SIGKILL, as in a crash.
fleet_kill() {
	local pid=${fleet_pids[$1]:-}
	test -n "$pid" || return 0
	kill -KILL "$pid" 2>/dev/null || true
	wait "$pid" 2>/dev/null || true
	unset "fleet_pids[$1]"
}

# fleet_stop NAME: send SIGTERM to a process and wait until it exits.
fleet_stop() {
	local pid=${fleet_pids[$1]:-}
	test -n "$pid" || return 0
	kill -TERM "$pid" 2>/dev/null || true
	wait "$pid" 2>/dev/null || true
	unset "fleet_pids[$1]"
}

# setting FILE NAME: print a setting.
setting() {
	jq -r ".$2" "$1"
}

# store_of DEPLOYMENT: print the address of its store.
store_of() {
	setting "$(settings_of "$1")/host-1.json" store
}

# start_store DEPLOYMENT: start the store stand-in at the address from the
# settings; sets $store.
start_store() {
	store=$(store_of "$1")
	fleet_run "$1-store" "$bin/fescue-store-standin" "$store"
	wait_http "$store/control/counters"
}

# start_node DEPLOYMENT NUMBER
start_node() {
	local settings
	settings=$(settings_of "$1")/host-$2.json
	fleet_run "$1-node-$2" "$bin/fescue-node" \
		--events "$out/$1-node-$2.events" "$settings"
}

# start_backend DEPLOYMENT NUMBER SERVICE [OPTION...]
start_backend() {
	local deployment=$1 number=$2 service=$3 settings ip
	shift 3
	settings=$(settings_of "$deployment")/host-$number.json
	ip=$(setting "$settings" address)
	fleet_run "$deployment-backend-$number" "$bin/fescue-backend-standin" \
		--listen "$ip:8100" --node "$ip:9000" --callers "$ip:8000" \
		--service "$service" --seed "$number" \
		--events "$out/$deployment-backend-$number.events" "$@"
}

# hosts_of DEPLOYMENT: print a line "NUMBER SERVICE" per host.
hosts_of() {
	grep -v '^#' "$(settings_of "$1")/hosts"
}

# start_fleet DEPLOYMENT [BACKEND OPTION...]
start_fleet() {
	local deployment=$1 number service
	shift
	start_store "$deployment"
	while read -r number service
	do
		start_node "$deployment" "$number"
		start_backend "$deployment" "$number" "$service" "$@"
	done < <(hosts_of "$deployment")
}

# wait_http URL: wait until a server answers, for at most 100 tries.
wait_http() {
	local i
	for i in $(seq 100)
	do
		curl -s -o /dev/null -m 1 "http://$1" && return 0
		sleep 0.1
	done
	echo "no answer from $1" >&2
	return 1
}

# node_ip DEPLOYMENT NUMBER: print the IP address of a host.
node_ip() {
	setting "$(settings_of "$1")/host-$2.json" address
}

# caller_ports DEPLOYMENT: print the IP:PORT of every node's caller port,
# separated by commas.
caller_ports() {
	local number service list=""
	while read -r number service
	do
		list="$list,$(node_ip "$1" "$number"):8000"
	done < <(hosts_of "$1")
	echo "${list#,}"
}

# status_of DEPLOYMENT NUMBER JQ-EXPRESSION: evaluate an expression on /status.
status_of() {
	curl -s -m 2 "http://$(node_ip "$1" "$2"):9000/status" | jq -r "$3"
}

# counter_of DEPLOYMENT NUMBER NAME: print a node's counter.
counter_of() {
	curl -s -m 2 "http://$(node_ip "$1" "$2"):9000/counters" |
	awk -v name="$3" '$1 == name { print $2 }'
}

# store_counter DEPLOYMENT NAME: print a counter of the store stand-in.
store_counter() {
	curl -s -m 2 \
	"http://$(store_of "$1")/control/counters" |
	awk -v name="$2" '$1 == name { print $2 }'
}

# store_faults DEPLOYMENT JSON: configure faults of the store stand-in.
store_faults() {
	curl -s -m 2 -o /dev/null -X POST -d "$2" \
	"http://$(store_of "$1")/control/faults"
}

# wait_ready DEPLOYMENT ROUTES: wait until every node is ready and has that many
# routes, for at most 150 rounds.
wait_ready() {
	local deployment=$1 routes=$2 number service i all_ready
	for i in $(seq 150)
	do
		all_ready=1
		while read -r number service
		do
			test "$(status_of "$deployment" "$number" \
				'"\(.ready) \(.routes)"')" = "true $routes" ||
			{ all_ready=0; break; }
		done < <(hosts_of "$deployment")
		test $all_ready = 1 && return 0
		sleep 0.1
	done
	echo "$deployment: node $number is not ready" >&2
	return 1
}

# apply DEPLOYMENT FILE [OPTION...]: apply a rules file with fescuectl.
apply() {
	local deployment=$1 file=$2
	shift 2
	"$bin/fescuectl" --store \
		"$(store_of "$deployment")" \
		--events "$out/$deployment-accepted.events" "$@" apply "$file"
}
