# Routing by two random choices compared with random routing, with one backend
# server slow, shedding calls while it reports good health, or cold, and with a
# failure domain down.
rate=${1:-500}
nodes=6 slots=6 work_ms=40
violations=0
printf '%s\n' "service s0 queue=24 reserve=30 deadline=2000 # load" \
	"route GET */u/ s0 class=urgent idempotent=yes retries=2 # load" \
	>"$out/rules.base"
echo '[{"path": "/u/1", "class": "urgent"}]' >"$out/mix.json"

# inject_fault CASE: inject a fault into the running fleet.
inject_fault() {
	local backend
	backend="http://$(node_ip sized 1):8100/control/faults"
	case $1 in
	slow) curl -s -o /dev/null -d '{"slow_factor": 10}' "$backend";;
	lying) curl -s -o /dev/null -d '{"shed": 1, "lie": 1}' "$backend";;
	cold)
		fleet_stop sized-backend-1
		start_backend sized 1 s0 --slots $slots --work-ms $work_ms \
			--cold-ms 4000
		sleep 1;;
	domain)
		for i in 3 6
		do
			fleet_kill sized-node-$i
			fleet_kill sized-backend-$i
		done;;
	esac
}

row policy case goodput p50_ms p99_ms p999_ms not_run unknown
for policy in two-choices random
do
	for case in none slow lying cold domain
	do
		cp "$out/rules.base" "$out/rules"
		start_service_fleet $nodes 3 ", \"router_policy\": \"$policy\"" \
			"$out/rules" 1 --slots $slots --work-ms $work_ms
		callers="$(node_ip sized 1):8000,$(node_ip sized 2):8000"
		inject_fault $case
		"$bin/fescue-load" --nodes "$callers" --rate "$rate" \
			--mix "$out/mix.json" --seconds 8 \
			--history "$out/load.events" >"$out/load.txt" 2>/dev/null
		f() { load_field "$out/load.txt" urgent "$1"; }
		row $policy $case "$(f goodput)" "$(($(f p50_us) / 1000))" \
			"$(($(f p99_us) / 1000))" "$(($(f p999_us) / 1000))" \
			"$(f not_run)" "$(f unknown)"
		violations=$((violations + $(sized_violations)))
		stop_sized
	done
done
echo "slow: rate=$rate violations=$violations"
test "$violations" = 0
