# Goodput and latency by class at loads from half to three times the capacity,
# with the default policies (product) and with random routing and FIFO admission
# (simple).
# Usage: script/experiment overload ["LOADS"] [SECONDS]
loads=${1:-50 80 100 150 300}
seconds=${2:-8}
nodes=6 slots=6 work_ms=50
capacity=$((nodes * slots * 1000 / work_ms))
violations=0
printf '%s\n' "service s0 queue=24 reserve=30 deadline=2000 # load" \
	"route GET */u/ s0 class=urgent idempotent=yes # load" \
	"route GET */b/ s0 class=background idempotent=yes # load" \
	>"$out/rules.base"
echo '[{"path": "/u/1", "class": "urgent", "weight": 4},
 {"path": "/b/1", "class": "background", "weight": 6}]' >"$out/mix.json"
row policy load_percent rate urgent_goodput urgent_p50_ms urgent_p99_ms \
	urgent_p999_ms background_goodput background_p99_ms
for policy in product simple
do
	extra=""
	test $policy = product ||
	extra=', "router_policy": "random", "admission_policy": "fifo"'
	cp "$out/rules.base" "$out/rules"
	start_service_fleet $nodes 3 "$extra" "$out/rules" 2 \
		--slots $slots --work-ms $work_ms
	for load in $loads
	do
		rate=$((capacity * load / 100))
		"$bin/fescue-load" --nodes "$(sized_callers)" --rate $rate \
			--mix "$out/mix.json" --seconds "$seconds" \
			--name "$policy$load" --history "$out/load.events" \
			>"$out/load.txt" 2>/dev/null
		f() { load_field "$out/load.txt" "$1" "$2"; }
		row $policy "$load" $rate "$(f urgent goodput)" \
			"$(($(f urgent p50_us) / 1000))" \
			"$(($(f urgent p99_us) / 1000))" \
			"$(($(f urgent p999_us) / 1000))" \
			"$(f background goodput)" \
			"$(($(f background p99_us) / 1000))"
		sleep 2
	done
	violations=$((violations + $(sized_violations)))
	stop_sized
done
kept=$(awk -F, '$1 == "product" { g[$2] = $4 }
	END { print g[100] ? int(100 * g[300] / g[100]) : 0 }' "$out/table.csv")
echo "overload: capacity=$capacity urgent_kept_percent_at_3x=$kept" \
	"violations=$violations"
test "$violations" = 0
