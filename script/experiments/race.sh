# Two operators apply a change of the same version in each round. In every third
# round the store loses an answer.
rounds=${1:-20}
generate_fleet 6 3 2 ""
generate_rules "$out/rules" 10 2
start_sized_store
sized_apply "$out/rules"
start_sized_nodes
wait_sized_hosts 6
sleep 2
wrong=0
row round lost_answer winners conflicts
for i in $(seq "$rounds")
do
	for who in a b
	do
		cp "$out/rules" "$out/$who.rules"
		"$bin/fescuectl" edit "$out/$who.rules" --add \
			"route GET */$who$i/ s0 # $who" >/dev/null
	done
	lost=$((i % 3 == 0))
	curl -s -o /dev/null -d "{\"lose_answers\": $lost}" \
		"http://$store/control/faults"
	pids=""
	for who in a b
	do
		"$bin/fescuectl" --store "$store" --events \
			"$out/accepted-$who.events" apply "$out/$who.rules" \
			>"$out/$who.txt" 2>&1 &
		pids="$pids $!"
	done
	winners=0
	for pid in $pids
	do
		wait "$pid" && winners=$((winners + 1))
	done
	conflicts=$(cat "$out/a.txt" "$out/b.txt" | grep -c 'conflict:' || true)
	row "$i" $lost $winners "$conflicts"
	test "$winners $conflicts" = "1 1" || wrong=$((wrong + 1))
	"$bin/fescuectl" --store "$store" show >"$out/rules"
done
sleep 3.2
violations=$(sized_violations)
echo "race: rounds=$rounds wrong=$wrong violations=$((violations + wrong))"
test $((violations + wrong)) = 0
