# All nodes are killed and restarted at the same time, with the store up and
# during an outage of the store; then the time to ready counts from its end.
# Usage: script/experiment storm ["NODES"]
violations=0
row case nodes ready_s reads_total peak_reads_s peak_writes_s
for nodes in ${1:-20 60 120}
do
	generate_fleet "$nodes" 3 4 ', "start_jitter_ms": 1000'
	generate_rules "$out/rules" 50 4
	start_sized_store
	sized_apply "$out/rules"
	for case in first herd after-outage
	do
		while read -r number service
		do
			fleet_kill "sized-node-$number"
		done < <(hosts_of sized)
		reads=$(sized_counter reads)
		test $case != after-outage || curl -s -o /dev/null \
			-d '{"outage": "hang"}' "http://$store/control/faults"
		start_sized_nodes
		test $case != after-outage || sleep 8
		curl -s -o /dev/null -d '{"outage": "none"}' \
			"http://$store/control/faults"
		begin=$(date +%s%N)
		wait_ready sized 0
		ready=$(($(date +%s%N) - begin))
		wait_sized_hosts "$nodes"
		row $case "$nodes" "$(awk "BEGIN { print $ready / 1e9 }")" \
			$(($(sized_counter reads) - reads)) \
			"$(sized_counter peak_reads_per_s)" \
			"$(sized_counter peak_writes_per_s)"
	done
	violations=$((violations + $(sized_violations)))
	stop_sized
done
peak=$(awk -F, 'NR > 1 && $5 > p { p = $5 } END { print p }' "$out/table.csv")
echo "storm: peak_reads_s=$peak violations=$violations"
test "$violations" = 0
