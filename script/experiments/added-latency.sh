# Latency that the mesh adds to a call, compared with calling the backend server
# directly, and the nodes' CPU time per call.
violations=0
printf '%s\n' "service s0 queue=100 deadline=3000 # load" \
	"route GET */u/ s0 class=urgent idempotent=yes # load" >"$out/rules"
echo '[{"path": "/u/1", "class": "urgent"}]' >"$out/mix.json"
start_service_fleet 6 3 "" "$out/rules" 1 --slots 100 --work-ms 0
row path rate ok p50_ms p99_ms p999_ms node_cpu_us_a_call
backends=$(sized_callers | sed 's/:8000/:8100/g')
for path in direct mesh
do
	for rate in 200 1000 2000
	do
		targets=$backends
		test $path = direct || targets=$(sized_callers)
		ticks=$(cpu_ticks)
		"$bin/fescue-load" --nodes "$targets" --rate $rate \
			--mix "$out/mix.json" --seconds 8 --name "$path$rate" \
			--history "$out/load.events" >"$out/load.txt" 2>/dev/null
		ticks=$(($(cpu_ticks) - ticks))
		f() { load_field "$out/load.txt" urgent "$1"; }
		row $path $rate "$(f ok)" \
			"$(awk "BEGIN { print $(f p50_us) / 1000 }")" \
			"$(awk "BEGIN { print $(f p99_us) / 1000 }")" \
			"$(awk "BEGIN { print $(f p999_us) / 1000 }")" \
			"$(awk "BEGIN { print int($ticks * 10000 / $(f ok)) }")"
	done
done
violations=$(sized_violations)
stop_sized
added=$(awk -F, '$2 == 1000 { p[$1] = $5 } END { print p["mesh"] - p["direct"] }' \
	"$out/table.csv")
echo "added-latency: p99_added_ms_at_1000=$added violations=$violations"
test "$violations" = 0
