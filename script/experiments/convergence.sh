# Convergence time and control bytes of the three distribution modes, by number
# of nodes. Only violations of the mode relay count in the summary; the column
# late has those of each mode.
# Usage: script/experiment convergence ["MODES"] ["NODES"] [RULES] [SETTINGS]
modes=${1:-poll gossip relay}
sizes=${2:-20 60 180}
rules=${3:-100}
extra=${4:-}
idle=10
changes=10
violations=0
row mode nodes rules p50_ms p99_ms max_ms config_bytes_a_change \
	membership_bytes_s repair_bytes_s store_bytes_s store_reads_a_change \
	cpu_percent memory_kb late
for nodes in $sizes
do
	for mode in $modes
	do
		generate_fleet "$nodes" 3 4 ", \"distribution\": \"$mode\"$extra"
		generate_rules "$out/rules" "$rules" 4
		start_sized_store
		sized_apply "$out/rules"
		start_sized_nodes
		wait_sized_hosts "$nodes"
		sleep 25 # until the gossip of the start has ended
		counter_sums >"$out/idle-begin"
		ticks=$(cpu_ticks)
		sleep $idle
		counter_sums >"$out/idle-end"
		ticks=$(($(cpu_ticks) - ticks))
		reads=$(sized_counter reads)
		for i in $(seq $changes)
		do
			change_sized "$out/rules" "$i"
			sleep 1
		done
		sleep 2.5
		counter_sums >"$out/changed"
		reads=$(($(sized_counter reads) - reads))
		"$bin/fescue-check" "$out"/*.events >"$out/check" || true
		late=$(check_field "$out/check" violations)
		test $mode != relay || violations=$((violations + late))
		membership=$(bytes_between "$out/idle-begin" "$out/idle-end" \
			membership)
		repair=$(bytes_between "$out/idle-begin" "$out/idle-end" repair)
		stored=$(($(sum_of "$out/idle-end" bytes_store) -
			$(sum_of "$out/idle-begin" bytes_store)))
		config=$(bytes_between "$out/idle-end" "$out/changed" config)
		row "$mode" "$nodes" "$rules" \
			"$(check_field "$out/check" convergence_ms_p50)" \
			"$(check_field "$out/check" convergence_ms_p99)" \
			"$(check_field "$out/check" convergence_ms_max)" \
			$((config / nodes / changes)) \
			$((membership / nodes / idle)) \
			$((repair / nodes / idle)) $((stored / nodes / idle)) \
			$((reads / changes)) \
			"$(awk "BEGIN { print $ticks / $nodes / $idle }")" \
			"$(max_memory_kb)" "$late"
		grep '^violation' "$out/check" | head -n 3 || true
		stop_sized
	done
done
echo "convergence: sizes=\"$sizes\" modes=\"$modes\" violations=$violations"
test $violations = 0
