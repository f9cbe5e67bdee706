# Nodes and backend servers are stopped, killed and restarted continuously while
# calls run and rules change.
nodes=${1:-20}
seconds=40
printf '%s\n' "service s0 queue=40 deadline=2000 # load" \
	"route GET */u/ s0 class=urgent idempotent=yes retries=2 # load" \
	"route POST */o s0 class=urgent idempotent=no # load" \
	"route GET */last/ s0 # load" >"$out/rules"
echo '[{"path": "/u/1", "weight": 4},
 {"method": "POST", "path": "/o", "keyed": true, "weight": 1}]' >"$out/mix.json"
start_service_fleet "$nodes" 3 "" "$out/rules" 3 --work-ms 10
counter_sums >"$out/begin"
callers="$(node_ip sized 1):8000,$(node_ip sized 2):8000,$(node_ip sized 3):8000"
"$bin/fescue-load" --nodes "$callers" --rate 200 --mix "$out/mix.json" \
	--seconds $seconds --resend 2 --history "$out/load.events" \
	>"$out/load.txt" 2>/dev/null &
load=$!
row second event host
for i in $(seq 8)
do
	victim=$((4 + i % (nodes - 4)))
	case $((i % 4)) in
	0) event=restart-backend; fleet_stop "sized-backend-$victim";;
	1) event=kill-node; fleet_kill "sized-node-$victim";;
	2) event=kill-backend; fleet_kill "sized-backend-$victim";;
	3) event=stop-node; fleet_stop "sized-node-$victim";;
	esac
	change_sized "$out/rules" "$i"
	sleep 1
	test -n "${fleet_pids[sized-node-$victim]:-}" ||
		start_node sized $victim
	test -n "${fleet_pids[sized-backend-$victim]:-}" ||
		start_backend sized $victim s0 --work-ms 10
	row $((i * 4)) $event $victim
	sleep 2
done
wait $load
counter_sums >"$out/end"
sleep 3.2
cat "$out/load.txt"
violations=$(sized_violations)
bytes=0
for purpose in membership config repair
do
	bytes=$((bytes + $(bytes_between "$out/begin" "$out/end" $purpose)))
done
echo "churn: nodes=$nodes control_bytes_per_node_s=$((bytes / nodes /
	seconds)) violations=$violations"
test "$violations" = 0
