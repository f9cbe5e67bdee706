# Data for docs/CAPACITY.md: the steady-state cost of a node by fleet size, and
# the cost of a change by size of the rules file.
# Usage: script/experiment capacity ["NODES"] ["RULES"] [SETTLE_S]
sizes=${1:-20 60 180}
rule_sizes=${2:-50 1000}
settle=${3:-90}
idle=20
changes=5
violations=0
row nodes rules membership_bytes_s repair_bytes_s store_bytes_s cpu_percent \
	memory_kb store_calls_s config_bytes_a_change p99_ms
for nodes in $sizes
do
	for rules in $rule_sizes
	do
		# Larger rules files are measured at the first fleet size only.
		test "$rules" = "${rule_sizes%% *}" ||
			test "$nodes" = "${sizes%% *}" || continue
		generate_fleet "$nodes" 3 4 ""
		generate_rules "$out/rules" "$rules" 4
		start_sized_store
		sized_apply "$out/rules"
		start_sized_nodes
		wait_sized_hosts "$nodes"
		sleep "$settle"
		counter_sums >"$out/begin"
		ticks=$(cpu_ticks)
		calls=$(($(sized_counter reads) + $(sized_counter writes)))
		sleep $idle
		ticks=$(($(cpu_ticks) - ticks))
		calls=$(($(sized_counter reads) + $(sized_counter writes) - calls))
		counter_sums >"$out/end"
		for i in $(seq $changes)
		do
			change_sized "$out/rules" "$i"
			sleep 1
		done
		counter_sums >"$out/changed"
		sleep 2.5
		"$bin/fescue-check" "$out"/*.events >"$out/check" || true
		violations=$((violations + $(check_field "$out/check" violations)))
		b() { bytes_between "$out/begin" "$out/end" "$1"; }
		stored=$(($(sum_of "$out/end" bytes_store) -
			$(sum_of "$out/begin" bytes_store)))
		row "$nodes" "$rules" $(($(b membership) / nodes / idle)) \
			$(($(b repair) / nodes / idle)) \
			$((stored / nodes / idle)) \
			"$(awk "BEGIN { print $ticks / $nodes / $idle }")" \
			"$(max_memory_kb)" \
			"$(awk "BEGIN { print $calls / $idle }")" \
			$(($(bytes_between "$out/end" "$out/changed" config) /
				nodes / changes)) \
			"$(check_field "$out/check" convergence_ms_p99)"
		stop_sized
	done
done
echo "capacity: sizes=\"$sizes\" rules=\"$rule_sizes\" violations=$violations"
test $violations = 0
