# Convergence time against control bytes for values of the probe period, which
# determines both the idle bytes and the time of repair, and of the fan-out.
# Each point is measured without faults and with the first relay of every
# failure domain frozen.
# Usage: script/experiment curve ["PERIOD:FAN-OUT ..."] [NODES]
points=${1:-250:4 500:4 1000:4 1000:8 2000:4 4000:2}
nodes=${2:-30}
violations=0
row probe_period_ms fan_out control_bytes_s p50_ms p99_ms max_ms \
	frozen_max_ms
for point in $points
do
	period=${point%:*}
	fan_out=${point#*:}
	timeout=$((period * 3 / 10))
	generate_fleet "$nodes" 3 4 ", \"probe_period_ms\": $period,
		\"probe_timeout_ms\": $timeout, \"fan_out\": $fan_out"
	generate_rules "$out/rules" 100 4
	start_sized_store
	sized_apply "$out/rules"
	start_sized_nodes
	wait_sized_hosts "$nodes"
	sleep $((20 + period / 100))
	counter_sums >"$out/begin"
	sleep 10
	counter_sums >"$out/end"
	for i in 1 2 3 4 5
	do
		change_sized "$out/rules" $i
		sleep 1
	done
	sleep 2
	"$bin/fescue-check" --convergence-ms 30000 "$out"/*.events \
		>"$out/no-faults" || true
	frozen=""
	for i in $(seq "$nodes")
	do
		test "$(status_of sized "$i" '"\(.relay) \(.rank)"')" = \
			"true 0" && frozen="$frozen $i"
	done
	for i in $frozen
	do
		freeze_node sized "$i"
	done
	change_sized "$out/rules" 6
	sleep 2.5
	for i in $frozen
	do
		thaw_node sized "$i"
	done
	sleep 6
	"$bin/fescue-check" --convergence-ms 30000 "$out"/*.events \
		>"$out/check" || true
	violations=$((violations + $(check_field "$out/check" violations)))
	bytes=0
	for purpose in membership config repair
	do
		bytes=$((bytes +
			$(bytes_between "$out/begin" "$out/end" $purpose)))
	done
	row "$period" "$fan_out" $((bytes / nodes / 10)) \
		"$(check_field "$out/no-faults" convergence_ms_p50)" \
		"$(check_field "$out/no-faults" convergence_ms_p99)" \
		"$(check_field "$out/no-faults" convergence_ms_max)" \
		"$(check_field "$out/check" convergence_ms_max)"
	stop_sized
done
echo "curve: points=\"$points\" nodes=$nodes violations=$violations"
test $violations = 0
