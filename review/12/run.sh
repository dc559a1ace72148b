#!/bin/bash
# A machine freezes for moments; flows of machines in touch may not be reset.
# See claim.txt.
. "$(dirname "$0")/../standin-3/fleet.sh"

times=46
frozen_s=0.6

start_fleet
start_peers 110 1:443:450:1200 2:443:450:1200
wait_ready
sleep 4
note "begin"
for ((i = 0; i < times; i++)); do
	if [ "$trouble" != 0 ]; then
		kill -STOP "${pids[side-1]}"
		note "frozen side-1"
		sleep $frozen_s
		kill -CONT "${pids[side-1]}"
		note "awake side-1"
	else
		sleep $frozen_s
	fi
	sleep 1.3
done
sleep 3
say stop
sleep 1
note "end"

gone=$(check_alive)
[ -z "$gone" ] || cannot_run "ended: $gone"

# Judged: resets of open flows whose server and whose sender of the reset are on
# machines that were never frozen; no balancer was.
awk -v frozen="127.$net.2.1" '
	$2 == "opened" { opened++ }
	$2 == "answered" { answered++ }
	$2 == "foreign" || $2 == "wrong" { other++ }
	$2 == "reset" && $4 == "open=1" {
		all++
		if ($5 != "from=" frozen && $6 != "holder=1") broken++
	}
	END {
		printf "opened=%d answered=%d resets of open flows=%d FLOW=%d other=%d\n",
			opened, answered, all, broken, other
		if (answered < 1000) exit 2
		exit broken ? 1 : 0
	}' "$record" >"$dir/verdict"
code=$?
cat "$dir/verdict"
note "$(cat "$dir/verdict")"
exit $code
