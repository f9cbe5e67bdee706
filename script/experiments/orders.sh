# What the claim of a key adds to an order, and the store's calls an order.
violations=0
printf '%s\n' "service s0 queue=100 deadline=3000 # load" \
	"route POST */o s0 class=urgent idempotent=no # load" >"$out/rules.base"
echo '[{"method": "POST", "path": "/o", "keyed": true, "body": "o"}]' \
	>"$out/mix.json"
row claims rate ok p50_ms p99_ms store_writes_an_order peak_store_writes_s
for claims in 0 1
do
	cp "$out/rules.base" "$out/rules"
	start_service_fleet 6 3 ", \"claims\": $claims" "$out/rules" 1 \
		--slots 60 --work-ms 5
	for rate in 1 10 100 1000
	do
		writes=$(sized_counter writes)
		seconds=8
		"$bin/fescue-load" --nodes "$(sized_callers)" --rate $rate \
			--mix "$out/mix.json" --seconds $seconds \
			--name "o$claims$rate" --history "$out/load.events" \
			>"$out/load.txt" 2>/dev/null
		f() { load_field "$out/load.txt" urgent "$1"; }
		# Leases of six relays are renewed every 3 s: 2 writes a second.
		writes=$(($(sized_counter writes) - writes - 2 * seconds))
		row $claims $rate "$(f ok)" \
			"$(awk "BEGIN { print $(f p50_us) / 1000 }")" \
			"$(awk "BEGIN { print $(f p99_us) / 1000 }")" \
			"$(awk "BEGIN { print $writes / $(f sent) }")" \
			"$(sized_counter peak_writes_per_s)"
	done
	if test $claims = 1
	then
		curl -s -o /dev/null -d '{"outage": "refuse"}' \
			"http://$store/control/faults"
		"$bin/fescue-load" --nodes "$(sized_callers)" --rate 50 \
			--mix "$out/mix.json" --seconds 4 --name outage \
			--history "$out/load.events" >"$out/load.txt" 2>/dev/null
		outage_ok=$(f ok)
		outage_refused=$(f not_run)
	fi
	violations=$((violations + $(sized_judge)))
	stop_sized
done
echo "orders: outage_ok=$outage_ok outage_refused=$outage_refused" \
	"violations=$violations"
test "$violations" = 0
