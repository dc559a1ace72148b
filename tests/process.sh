#!/bin/bash
# Process tests: a fleet of separate processes under load and failures.
# usage: process.sh SCENARIO   (one of the functions test_* below)
#
# Waits for events with generous timeouts; results depend on counts, never on
# speed.
set -u
BUILD=${BUILD:-build}
DIR=$(mktemp -d /tmp/jujube-test.XXXXXX)
. "$(dirname "$0")/fleet.sh"
trap 'fleet_stop; rm -rf "$DIR"' EXIT
trap 'exit 1' INT TERM

fail() {
	echo "FAILED: $1" >&2
	[ ! -f "$DIR/report" ] || cat "$DIR/report" "$DIR/caller.log" >&2
	awk '/^run / { n[$4]++; l[$4] = l[$4] "\n" $0 }
		END { for (i in n) if (n[i] > 1) print l[i] }' "$DIR/runs.log" >&2
	[ ! -f "$DIR/start.out" ] || cat "$DIR/start.out" >&2
	grep -h -E '^<[34]>|JJ51' "$DIR"/*.log | grep -v JJ20 | tail -n 40 >&2
	exit 1
}

# expect WHAT ACTUAL WANTED
expect() {
	[ "$2" = "$3" ] || fail "$1 is $2, not $3"
}

value() {
	awk -F= -v key="$1" '$1 == key { print $2 }' "$DIR/report"
}

start() {
	fleet_start >"$DIR/start.out" 2>&1 || fail "the fleet did not start"
}

# load SECONDS [FEEDS HOLDS DOWNLOADS STATUS EXCUSED]: in the background
load() {
	"$BUILD/tests/standin-caller" "$HOLDS" "$DOSSIER" "$1" "${2:-40}" \
		"${3:-20}" "${4:-5}" "${5:-20}" "$DIR/acks" "${6:-none}" test \
		>"$DIR/report" 2>"$DIR/caller.log" &
	caller=$!
}

load_end() {
	wait "$caller" || fail "the load generator failed"
}

# Prints the number of holds that ran more than once.
doubled() {
	awk '/^run / { n[$4]++ } END { for (i in n) if (n[i] > 1) d++
		print d + 0 }' "$DIR/runs.log"
}

# mismatched WORD RAN: prints the number of holds with outcome WORD (ok, refused)
# that did run although RAN is 0, or did not although RAN is 1
mismatched() {
	awk -v word="$1" -v ran_wanted="$2" 'FNR == NR {
		if ($1 == "run") ran[substr($4, 4)] = 1; next }
		$1 == word && (($2 in ran) != ran_wanted) { n++ }
		END { print n + 0 }' "$DIR/runs.log" "$DIR/acks"
}

expect_at_most_once() {
	expect "holds run twice" "$(doubled)" 0
	expect "acknowledged holds that did not run" "$(mismatched ok 1)" 0
	expect "refused holds that ran" "$(mismatched refused 0)" 0
}

expect_all_answered() {
	expect "unanswered" "$(($(value unanswered) + $(value hold_lost) + \
		$(value download_lost) + $(value status_lost)))" 0
	expect "wrong dossiers" "$(value wrong_dossiers)" 0
	[ "$(value hold_ok)" -gt 0 ] || fail "no hold was answered"
}

# end_process NAME SIGNAL: sends the signal and waits for the process to exit
end_process() {
	pid=$(pid_of "$1")
	kill "-$2" "$pid"
	wait "$pid" 2>/dev/null
}

counter() { # PROCESS NAME
	jujube dump "$1" | awk -F= -v name="counter $2" '$1 == name { print $2 }'
}

platform() { # PATH
	curl -s -X PUT -o /dev/null "http://127.$NET.0.1:8500/fault/$1"
}

revision() {
	jujube status | sed -n 's/^revision \([0-9]*\),.*/\1/p'
}

# -- normal operation and restarts --------------------------------------------

test_stock_client() {
	start
	for i in 1 2 3 4 5 6 7 8 9; do
		got=$(timeout 20 coap-client-notls -m post -e "id-$i" \
			"coap://$HOLDS/holds")
		echo "$got" | grep -q target- || fail "hold $i: '$got'"
		got=$(timeout 20 coap-client-notls -m get "coap://$HOLDS/status")
		echo "$got" | grep -q target- || fail "status $i: '$got'"
	done
	for i in 1 2 3; do
		[ "$(counter "balancer-$i" forwarded)" -gt 0 ] ||
			jujube dump "balancer-$i" >/dev/null || fail "balancer $i"
	done
	expect "dossier bytes" "$(timeout 20 coap-client-notls -m get \
		"coap://$DOSSIER/dossier" | head -c 12000 | wc -c)" 12000
	expect "holds run" "$(grep -c '^run ' "$DIR/runs.log")" 9
	expect "holds run twice" "$(doubled)" 0
}

test_kill_balancers() {
	start
	load 24
	for i in 1 2 3; do
		sleep 3
		end_process "balancer-$i" KILL
		sleep 3
		start_balancer "$i"
		wait_for 10 agents_serving 11 || fail "balancer $i is not back"
		spray
	done
	load_end
	expect "broken feeds" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

test_restart_balancers() {
	start
	load 24
	for i in 1 2 3; do
		sleep 2
		end_process "balancer-$i" TERM
		start_balancer "$i"
		wait_for 10 agents_serving 11 || fail "balancer $i is not back"
		spray
	done
	load_end
	expect "broken feeds" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

test_restart_agents() {
	start
	load 40
	sleep 3
	for i in 1 2 3 4 5 6 7; do
		end_process "agent-$i" TERM
		start_agent "$i" holds "lisbon-$((i % 4 + 1))"
		wait_for 15 agents_serving 11 || fail "agent $i is not back"
	done
	load_end
	expect "broken feeds" "$(value feeds_broken)" 0
	expect "outcomes unknown" "$(value hold_unknown)" 0
	expect_all_answered
	expect_at_most_once
	grep -qh JJ511 "$DIR"/agent-*.log || fail "no agent restored its state"
}

# -- failures -----------------------------------------------------------------

test_kill_agent() {
	start
	load 20 40 20 5 20 lisbon-4
	sleep 4
	end_process agent-3 KILL # lisbon-4
	sleep 6
	start_agent 3 holds lisbon-4
	wait_for 15 agents_serving 11 || fail "agent 3 is not back"
	load_end
	expect "feeds broken that were not its own" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

test_kill_target() {
	start
	load 20 40 20 5 20 lisbon-4
	sleep 4
	end_process target-3 KILL # lisbon-4
	sleep 6
	start_target 3 holds lisbon-4
	wait_for 15 agents_serving 11 || fail "target 3 is not back"
	load_end
	expect "feeds broken that were not its own" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

# Packets that reached agents of lisbon-2: delivered, forwarded or dropped.
packets_in_centre() {
	sum=0
	for i in 1 5 9; do
		for name in out_dropped passed_on safe run challenged; do
			sum=$((sum + $(counter "agent-$i" $name)))
		done
	done
	echo $sum
}

test_frozen_balancer() {
	start
	load 24 40 20 5 20 lisbon-2
	sleep 3
	kill -STOP "$(pid_of balancer-2)"
	sleep 1
	jujube out data-centre lisbon-2 || fail "out is not accepted"
	sleep 3 # the few seconds that may pass until it is in force
	before=$(packets_in_centre)
	sleep 3
	kill -CONT "$(pid_of balancer-2)" # with old packets in its buffers
	wait_for 10 grep -q 'JJ107' "$DIR/balancer-2.log" ||
		fail "balancer 2 did not notice its pause"
	sleep 4
	expect "packets into a data centre that is out" \
		"$(($(packets_in_centre) - before))" 0
	jujube --wait in data-centre lisbon-2 || fail "in is not in force"
	load_end
	expect "broken feeds" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

test_frozen_agent() {
	start
	load 24 40 20 5 20 lisbon-4
	sleep 3
	kill -STOP "$(pid_of agent-3)"
	sleep 6
	kill -CONT "$(pid_of agent-3)"
	wait_for 15 agents_serving 11 || fail "agent 3 is not back"
	load_end
	expect "feeds broken that were not its own" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

test_platform_outage() {
	start
	load 25
	platform down
	sleep 2
	# without the platform, no change is accepted nor reported as accepted
	timeout 20 "$BUILD/jujube" -c "$DIR/operator.ini" drain target agent-2 \
		>"$DIR/outage.out"
	expect "exit status of a change without a platform" $? 6
	grep -q "still settling" "$DIR/outage.out" || fail "the change is not reported as settling"
	id=$(sed -n "s/.*jujube change \([0-9a-f]*\)'.*/\1/p" "$DIR/outage.out")
	# a process that starts now gets the table from its peers
	end_process balancer-3 KILL
	start_balancer 3
	wait_for 10 grep -q JJ403 "$DIR/balancer-3.log" ||
		fail "balancer 3 has no table"
	spray
	platform up
	wait_for 15 jujube change "$id" || fail "the change is not settled"
	wait_for 10 sh -c "$BUILD/jujube -c $DIR/operator.ini status |
		grep -q 'target .*agent-2 .*draining'" || fail "not in force"
	load_end
	expect "broken feeds" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

test_platform_restored() {
	start
	jujube --wait out data-centre lisbon-3 || fail "out"
	platform restore # the accepted change is gone from the platform
	wait_for 15 grep -qh JJ303 "$DIR"/balancer-*.log ||
		fail "no process wrote the newer rows back"
	jujube --wait table set data-centre lisbon-4 weight=50 ||
		fail "a change after the restore"
	jujube status | grep -q 'lisbon-3 .* out' || fail "the change reverted"
	# a process that reads only the platform's table has both changes
	for p in $(awk '/balancer|agent/ { print $2 }' "$DIR/pids"); do
		kill -KILL "$p"
		wait "$p" 2>/dev/null
	done
	start_balancer 1
	wait_for 15 sh -c "$BUILD/jujube -c $DIR/operator.ini status |
		grep -q 'lisbon-3 .* out'" || fail "the platform lost the change"
}

test_lost_replies() {
	start
	for i in 1 2 3 4; do
		platform "lose?n=1"
		jujube table set target "t-$i" weight=$((i * 10)) ||
			fail "change $i is not accepted"
	done
	platform "late?ms=2500" # longer than the platform's timeout
	jujube table set target t-9 weight=90 || fail "a late write"
	for i in 1 2 3 4 9; do
		expect "changes of t-$i" "$(jujube changes |
			grep -c "target t-$i ")" 1
	done
}

test_two_operators() {
	start
	accepted=0
	conflicts=0
	for round in 1 2 3 4 5; do
		for who in 1 2 3; do
			jujube -m "operator $who" table set target shared \
				weight=$((round * 10 + who)) \
				>"$DIR/op-$who.out" 2>&1 &
			eval "op$who=$!"
		done
		for who in 1 2 3; do
			eval "wait \$op$who"
			case $? in
			0) accepted=$((accepted + 1)) ;;
			4) conflicts=$((conflicts + 1))
				grep -q "conflict: shared changed since: now" \
					"$DIR/op-$who.out" || fail "no versions" ;;
			*) fail "operator $who: $(cat "$DIR/op-$who.out")" ;;
			esac
		done
	done
	expect "definite outcomes" $((accepted + conflicts)) 15
	expect "changes in the table" "$(jujube changes |
		grep -c 'target shared ')" "$accepted"
	# different rows never conflict
	for who in 1 2 3; do
		jujube table set target "own-$who" weight=7 >/dev/null &
		eval "op$who=$!"
	done
	for who in 1 2 3; do
		eval "wait \$op$who" || fail "operators on rows of their own"
	done
}

test_bad_input() {
	start
	before=$(revision)
	# settings: each program reports file, line and reason and does not start
	for program in jujubed jujube-agentd jujube; do
		echo "[identity" >"$DIR/bad.ini"
		"$BUILD/$program" -c "$DIR/bad.ini" status 2>"$DIR/bad.out"
		[ $? -ne 0 ] || fail "$program takes bad settings"
		"$BUILD/$program" -c "$DIR/bad.ini" 2>>"$DIR/bad.out"
	done
	sed 's/threads = 2/threads = many/' "$DIR/balancer-1.ini" >"$DIR/bad.ini"
	"$BUILD/jujubed" -c "$DIR/bad.ini" 2>"$DIR/bad.out"
	expect "exit status" $? 2
	grep -q "bad.ini:[0-9]*: forward.threads: 'many' is not a number" \
		"$DIR/bad.out" || fail "the reason: $(cat "$DIR/bad.out")"
	# a reload with an error keeps the old settings
	cp "$DIR/balancer-1.ini" "$DIR/good.ini"
	cp "$DIR/bad.ini" "$DIR/balancer-1.ini"
	kill -HUP "$(pid_of balancer-1)"
	wait_for 5 grep -q JJ105 "$DIR/balancer-1.log" || fail "the bad settings are not rejected"
	cp "$DIR/good.ini" "$DIR/balancer-1.ini"
	kill -HUP "$(pid_of balancer-1)"
	wait_for 5 grep -q JJ104 "$DIR/balancer-1.log" || fail "no reload"
	# tables
	printf 'kind,name,state\ntarget,a,sideways\n' >"$DIR/bad.csv"
	jujube table put "$DIR/bad.csv" >"$DIR/bad.out"
	expect "exit status of a bad table" $? 5
	grep -q "line 2" "$DIR/bad.out" || fail "the reason"
	jujube table set target "a b" weight=1 >/dev/null 2>&1 &&
		fail "a bad name is taken"
	jujube nonsense 2>/dev/null
	expect "exit status of an unknown command" $? 2
	code=$(curl -s -o /dev/null -w '%{http_code}' \
		-H "Authorization: Bearer wrong-token" \
		"http://127.$NET.1.1:8080/v1/table")
	expect "code without the token" "$code" 401
	# messages: random bytes at every port are counted and dropped
	for port in 7001 7002; do
		for target in "127.$NET.1.1" "127.$NET.2.1"; do
			for n in 0 5 40 1400 3000; do
				head -c $n /dev/urandom |
					timeout 2 bash -c "cat >/dev/udp/$target/$port"
			done
			head -c 100 /dev/urandom |
				timeout 2 bash -c "cat >/dev/tcp/$target/$port" \
					2>/dev/null
		done
	done
	head -c 600 /dev/urandom | timeout 2 bash -c "cat >/dev/udp/${HOLDS%:*}/5683"
	wait_for 5 sh -c "[ \$($BUILD/jujube -c $DIR/operator.ini dump balancer-1 |
		awk -F= '/counter bad_/ { n += \$2 } END { print n }') -gt 5 ]" ||
		fail "noise is not counted"
	[ "$(counter agent-1 bad_auth)" -gt 0 ] || fail "noise at the agent"
	kill -USR1 "$(pid_of agent-1)"
	wait_for 5 grep -q '^counter control_in=' "$DIR/agent-1.log" ||
		fail "no dump on SIGUSR1"
	expect "revision after all that" "$(revision)" "$before"
	# the entry of another writer, with a number beyond signed 64 bits
	platform flags
	jujube table set target target-1 weight=90 >"$DIR/bad.out" ||
		fail "the table cannot be read: $(cat "$DIR/bad.out")"
	platform up
	test_still_serves
}

# Terms of routes by command line and CSV, through a balancer to the platform.
test_routes() {
	start
	jujube table set route r-1.holds service=holds address=198.18.0.1:443 \
		target_latency_ms=400 deadline_ms=2500 priority=2 idempotent=no ||
		fail "a route is not accepted"
	jujube table get >"$DIR/t.csv"
	grep -q '^"route","r-1.holds",.*,400,2500,2,"no"$' "$DIR/t.csv" ||
		fail "the route is not exported: $(cat "$DIR/t.csv")"
	sed 's/,400,2500,2,"no"$/,400,2500,,yes/' "$DIR/t.csv" >"$DIR/edited.csv"
	jujube table put "$DIR/edited.csv" || fail "an edited export is refused"
	jujube table set route r-1.holds deadline_ms= || fail "a term is not removed"
	jujube table get | grep -q '^"route","r-1.holds",.*,400,,,"yes"$' ||
		fail "the edits are not in force: $(jujube table get)"
	before=$(revision)
	jujube table set target target-1 priority=2 >"$DIR/bad.out"
	expect "exit status of a term of a target" $? 5
	grep -q "line 2: target-1: priority is only valid in rows of kind route" \
		"$DIR/bad.out" || fail "the reason: $(cat "$DIR/bad.out")"
	jujube table set route r-1.holds deadline_ms=399 >"$DIR/bad.out"
	expect "exit status of a deadline below the target latency" $? 5
	grep -q "target_latency_ms 400 is above deadline_ms 399" "$DIR/bad.out" ||
		fail "the reason: $(cat "$DIR/bad.out")"
	expect "revision after refused edits" "$(revision)" "$before"
	jujube --wait remove route r-1.holds || fail "a route is not removed"
	jujube table get | grep -q r-1.holds && fail "the route is still exported"
	test_still_serves
}

test_still_serves() {
	got=$(timeout 20 coap-client-notls -m get "coap://$HOLDS/status")
	echo "$got" | grep -q target- || fail "no service: '$got'"
}

test_drain_target() {
	start
	load 20
	sleep 3
	jujube --wait drain target target-4 || fail "drain"
	sleep 3
	before=$(grep -c '^run .*target-4 ' "$DIR/runs.log")
	opened=$(counter agent-4 flows_opened)
	sleep 6
	expect "holds run on a leaving target" \
		"$(($(grep -c '^run .*target-4 ' "$DIR/runs.log") - before))" 0
	expect "flows opened on a leaving target" \
		"$(($(counter agent-4 flows_opened) - opened))" 0
	load_end
	expect "broken feeds" "$(value feeds_broken)" 0
	expect_all_answered
	expect_at_most_once
}

"test_$1"
echo "passed: $1"
