# The store becomes unreachable right after it accepted each change, and a node
# restarts during the outage.
nodes=${1:-30}
generate_fleet "$nodes" 3 4 ""
generate_rules "$out/rules" 50 4
start_sized_store
sized_apply "$out/rules"
start_sized_nodes
wait_sized_hosts "$nodes"
sleep 5
row change outage_s spread_to restarted_ready_s
for i in 1 2 3 4
do
	change_sized "$out/rules" "$i"
	curl -s -o /dev/null -d '{"outage": "refuse"}' \
		"http://$store/control/faults"
	sleep 1
	nodes_at_version=$(for n in $(seq "$nodes")
		do
			status_of sized "$n" .version
		done | sort | uniq -c | sort -rn | awk 'NR == 1 { print $1 }')
	victim=$((i * 5))
	fleet_kill "sized-node-$victim"
	start_node sized $victim
	begin_ns=$(date +%s%N)
	until test "$(status_of sized $victim .ready)" = true
	do
		sleep 0.2
		test $(($(date +%s%N) - begin_ns)) -lt 30000000000 || break
	done
	row "$i" 10 "$nodes_at_version" \
		"$(awk "BEGIN { print ($(date +%s%N) - $begin_ns) / 1e9 }")"
	curl -s -o /dev/null -d '{"outage": "none"}' \
		"http://$store/control/faults"
	sleep 4
done
"$bin/fescue-check" "$out"/*.events | tee "$out/check" || true
echo "outage: nodes=$nodes convergence_ms_max=$(check_field "$out/check" \
	convergence_ms_max) violations=$(check_field "$out/check" violations)"
test "$(check_field "$out/check" violations)" = 0
