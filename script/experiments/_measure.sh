# Functions shared by the experiments: generated fleets and measurements.

# generate_fleet NODES DOMAINS SERVICES SETTINGS: write the settings of a
# deployment "sized" to $settings_dir, and set $store. Host i serves service
# s<i mod SERVICES>. SETTINGS is empty or ", " and further JSON members.
generate_fleet() {
	local nodes=$1 domains=$2 services=$3 extra=$4 i net=$fleet_net
	settings_dir=$out/settings
	rm -rf "$settings_dir"
	mkdir -p "$settings_dir"
	for i in $(seq "$nodes")
	do
		cat >"$settings_dir/host-$i.json" <<-JSON
		{"address": "127.$net.$((i / 200)).$((i % 200 + 1))",
		 "operator_address": "127.$net.$((i / 200)).$((i % 200 + 1))",
		 "peer_port": 7000, "caller_port": 8000, "operator_port": 9000,
		 "failure_domain": "domain-$((i % domains))",
		 "store": "127.$net.100.100:7100"$extra}
		JSON
		echo "$i s$((i % services))" >>"$settings_dir/hosts"
	done
	store=127.$net.100.100:7100
}

# generate_rules FILE ROUTES SERVICES: write rules with that many lines of each.
generate_rules() {
	local i
	for i in $(seq 0 $(($3 - 1)))
	do
		echo "service s$i # generated"
	done >"$1"
	for i in $(seq "$2")
	do
		echo "route GET */r$i/ s$((i % $3)) idempotent=yes # generated"
	done >>"$1"
}

start_sized_store() {
	fleet_run sized-store "$bin/fescue-store-standin" "$store"
	wait_http "$store/control/counters"
}

start_sized_nodes() {
	local number service
	while read -r number service
	do
		start_node sized "$number"
	done < <(hosts_of sized)
}

start_sized_backends() {
	local number service
	while read -r number service
	do
		start_backend sized "$number" "$service" "$@"
	done < <(hosts_of sized)
}

# stop_sized: kill all processes and delete their event records and logs.
stop_sized() {
	local name
	for name in "${!fleet_pids[@]}"
	do
		fleet_kill "$name"
	done
	rm -f "$out"/*.events "$out"/*.log
}

# sized_apply FILE: apply a rules file.
sized_apply() {
	"$bin/fescuectl" --store "$store" --events "$out/accepted.events" \
		apply "$1" >/dev/null
}

# change_sized FILE NUMBER: replace the last line and apply the rules.
change_sized() {
	local last
	last=$(wc -l <"$1")
	"$bin/fescuectl" edit "$1" --replace "$last" --with \
		"route GET */last$2/ s0 idempotent=yes # change $2"
	sized_apply "$1"
}

# sized_counter NAME: print a counter of the store stand-in.
sized_counter() {
	curl -s -m 2 "http://$store/control/counters" |
	awk -v name="$1" '$1 == name { print $2 }'
}

# wait_sized_hosts N: wait until every node sees N hosts up, for at most 60
# rounds, one per second.
wait_sized_hosts() {
	local expected=$1 number service complete i
	for i in $(seq 60)
	do
		complete=0
		while read -r number service
		do
			test "$(status_of sized "$number" .hosts_up)" = \
				"$expected" &&
			complete=$((complete + 1)) || break
		done < <(hosts_of sized)
		test "$complete" = "$expected" && return 0
		sleep 1
	done
	echo "not all $expected nodes see all hosts up; the first $complete do" >&2
	return 1
}

# counter_sums: print "NAME TOTAL" for each counter, summed over all nodes.
counter_sums() {
	local number service urls=""
	while read -r number service
	do
		urls="$urls http://$(node_ip sized "$number"):9000/counters"
	done < <(hosts_of sized)
	# shellcheck disable=SC2086
	curl -s -m 5 $urls |
	awk '{ n[$1] += $2 } END { for (k in n) print k, n[k] }'
}

# sum_of FILE NAME: print a counter from the output of counter_sums.
sum_of() {
	awk -v name="$2" '$1 == name { print $2 }' "$1"
}

# bytes_between BEFORE AFTER PURPOSE: print the bytes sent and received between
# two outputs of counter_sums.
bytes_between() {
	echo $(($(sum_of "$2" "bytes_sent_$3") - $(sum_of "$1" "bytes_sent_$3") +
		$(sum_of "$2" "bytes_received_$3") -
		$(sum_of "$1" "bytes_received_$3")))
}

# cpu_ticks: print the CPU time of all nodes in hundredths of a second.
cpu_ticks() {
	local name total=0 ticks
	for name in "${!fleet_pids[@]}"
	do
		case $name in sized-node-*)
			ticks=$(awk '{ print $14 + $15 }' \
				"/proc/${fleet_pids[$name]}/stat")
			total=$((total + ticks));;
		esac
	done
	echo $total
}

# max_memory_kb: print the largest resident set size of a node.
max_memory_kb() {
	local name
	for name in "${!fleet_pids[@]}"
	do
		case $name in sized-node-*)
			awk '/^VmRSS/ { print $2 }' \
				"/proc/${fleet_pids[$name]}/status";;
		esac
	done | sort -n | tail -n 1
}

# check_field FILE FIELD: print a field of fescue-check's summary.
check_field() {
	sed -n "s/.*[ ]$2=\([0-9]*\).*/\1/p;s/^$2=\([0-9]*\).*/\1/p" "$1" |
	tail -n 1
}

# row VALUES...: print a line of the table and append it to the CSV.
row() {
	local IFS=,
	echo "$*" >>"$out/table.csv"
	echo "$*" | tr ',' '\t'
}

# load_field FILE CLASS FIELD: print a field of fescue-load's summary.
load_field() {
	sed -n "s/^class=$2.*[ ]$3=\([0-9.]*\).*/\1/p" "$1"
}

# sized_callers: print the caller ports of all nodes, separated by commas.
sized_callers() {
	caller_ports sized
}

# start_service_fleet NODES DOMAINS SETTINGS RULES-FILE ROUTES
# [BACKEND OPTION...]: start a fleet of one service "s0", apply its rules and
# wait until every node is ready.
start_service_fleet() {
	local nodes=$1 domains=$2 extra=$3 rules=$4 routes=$5
	shift 5
	generate_fleet "$nodes" "$domains" 1 "$extra"
	start_sized_store
	sized_apply "$rules"
	start_sized_nodes
	start_sized_backends "$@"
	wait_ready sized "$routes"
	wait_sized_hosts "$nodes"
	sleep 2
}

# sized_violations: print the number of violations in the event records, and the
# first three on standard error.
sized_violations() {
	"$bin/fescue-check" --convergence-ms 30000 "$out"/*.events \
		>"$out/check" || true
	grep '^violation' "$out/check" | head -n 3 >&2 || true
	check_field "$out/check" violations
}
