#!/bin/bash
# The store turns some machines away; those that are in touch must still learn
# of an evacuation and of a configuration in time. See claim.txt.
. "$(dirname "$0")/../standin-3/fleet.sh"

evac_ms=5000
config_ms=3000
refused_s=9.0

routes="$(route r-1 443 desk),$(route r-2 444 vault),$(route r-3 445 vault)"
start_fleet
start_peers 50 1:443:15 2:443:15 3:443:15 4:443:15 1:445:5 2:445:5 3:445:5 4:445:5
wait_ready
sleep 6

# The machines that wait in a watch at the store: those whose last call was one.
watching=()
others=()
for name in balancer-{1..4} side-{1..8}; do
	if grep -q watch "$dir/store-$name" && [ "$(tail -n 1 "$dir/store-$name" | cut -d' ' -f2)" = watch ]; then
		watching+=("$name")
	else
		others+=("$name")
	fi
done
note "watching ${watching[*]}"
# At most 0.35 of the machines may be turned away.
[ ${#watching[@]} -le 4 ] || cannot_run "${#watching[@]} of 12 machines watch"

# The others have just read the list.
seen=$(cat "$dir"/store-* | grep -c read)
for ((i = 0; i < 150; i++)); do
	[ "$(cat "$dir"/store-* | grep -c read)" -ge $((seen + ${#others[@]})) ] && break
	sleep 0.1
done
sleep 0.3

from=$(now)
if [ "$trouble" != 0 ]; then
	for name in "${watching[@]}"; do kill -USR1 "${pids[relay-$name]}"; done
	note "refused ${watching[*]}"
fi
sleep 0.3
operator POST op/evacuate/zone-2 '{}'
evacuated=$(now)
configure 2 "$(route r-1 443 desk),$(route r-2 444 vault)"
configured=$(now)
sleep "$(awk -v f="$from" -v n="$(now)" -v s=$refused_s 'BEGIN { print s - (n - f) / 1000 }')"
for name in "${watching[@]}"; do kill -USR2 "${pids[relay-$name]}"; done
note "served again"
sleep 5
say stop
sleep 0.5
kept=$(now)
note "end"

gone=$(check_alive)
[ -z "$gone" ] || cannot_run "ended: $gone"

# Judged: requests on flows that were sent through, and arrived at, machines that
# the store never turned away.
out=" "
[ "$trouble" = 0 ] || out=" ${watching[*]} "
awk -v evacuated="$evacuated" -v configured="$configured" -v out="$out" \
	-v evac="$evac_ms" -v config="$config_ms" -v until="$kept" '
	$2 == "sent" { sent[$3] = $1 }
	$2 == "answered" { answered++ }
	$2 == "run" {
		for (i = 4; i <= NF; i++) { split($i, kv, "="); f[kv[1]] = kv[2] }
		if (index(out, " balancer-" f["client"] " ") || index(out, " side-" f["server"] " "))
			next
		judged++
		if (f["zone"] == "zone-2" && f["arrived"] > evacuated + evac) {
			late++; worst = f["arrived"] - evacuated
		}
		if (f["port"] == 445 && sent[$3] > configured + config) {
			old++; oldest = sent[$3] - configured
		}
	}
	END {
		printf "answered=%d judged=%d EVAC=%d (last after %d ms) CONFIG=%d (last after %d ms)\n",
			answered, judged, late, worst, old, oldest
		if (answered < 500 || judged < 100) exit 2
		exit late || old ? 1 : 0
	}' "$record" >"$dir/verdict"
code=$?
cat "$dir/verdict"
note "$(cat "$dir/verdict")"
exit $code
