#!/bin/bash
# Process tests of a fleet that relays flows; each scenario is one failure.
# usage: relay.sh SCENARIO
. "$(dirname "$0")/relay_lib.sh"

case $1 in
restored_lease) lease_s=2 ;;
large_configurations) rows_max=$(grep '^rows_max' deploy/relay.ini) ;;
kill_target | frozen_target) egress_settings='probe_silence_ms = 250' ;;
esac
start_fleet

case $1 in
calm)
	start_load 4 100
	check_load 0
	;;
kill_agent) # its target keeps running; the agent's flows resume after its start
	start_load 5 100
	sleep 1.5
	kill -9 "${pids[agent-2]}"
	sleep 1
	start_agent 2 desk
	check_load 25
	;;
kill_target) # its callers are reset within 1 s, no others, and served elsewhere
	start_load 8 200
	sleep 5
	kill -s RTMIN+5 "${pids[load]}"
	check_load 40
	grep -q "crashes=1 .* unnotified=0$" "$dir/load.out" ||
		fail "callers of the crashed target were not notified in time"
	grep -q "JJ530.* proof=refused connection" "$dir/agent-5.log" ||
		fail "agent-5 did not find its target gone"
	grep -q "JJ204.* name=agent-5 .*phase=5" "$dir/agent-1.log" ||
		fail "agent-1 does not list agent-5 as down"
	notified=$(sed -n 's/.* notified=\([0-9]*\).*/\1/p' "$dir/load.out")
	[ "$notified" -ge 3 ] || fail "only $notified callers were notified"
	;;
frozen_target) # refuses connections, but its process lives: no flow is reset
	WORLD_UNLISTENED=1 start_load 8 200
	sleep 4
	kill -HUP "${pids[load]}"
	sleep 2
	kill -HUP "${pids[load]}"
	check_load 25
	grep -q "JJ532.* accepted=0 refused=1" "$dir/agent-6.log" || fail "agent-6 did not probe its target"
	grep -q "JJ204.* name=agent-6 .*phase=4" "$dir/agent-1.log" ||
		fail "agent-1 does not list agent-6 as draining"
	! grep -q "JJ530\|JJ522" "$dir/agent-6.log" || fail "agent-6 reset flows"
	;;
no_target) # a closed target port is detected before a heartbeat is due
	start_load 6 100
	sleep 1.5
	start_agent 7 desk
	sleep 1
	grep -q "JJ527" "$dir/agent-7.log" || fail "agent 7 did not probe its target's port"
	grep -q "JJ204.* name=agent-7 .*phase=5" "$dir/agent-1.log" ||
		fail "agent-1 does not list agent-7 as down"
	check_load 0
	;;
restart_agent) # planned; its target keeps the flows while the agent restarts
	start_load 6 100
	sleep 1.5
	kill -TERM "${pids[agent-2]}"
	wait "${pids[agent-2]}"
	curl -s --noproxy '*' "http://$store/kv-range?prefix=jujube/members/" |
		grep -q 'members/agent-2"' || fail "the member entry of agent-2 was removed"
	start_agent 2 desk
	check_load 5
	;;
restart_balancer) # planned: no caller may fail
	start_load 6 100
	sleep 1.5
	kill -TERM "${pids[balancer-1]}"
	[ "$(ready 1)" != 200 ] || fail "a stopping balancer is ready"
	check_load 0
	;;
frozen) # packets that were queued in their sockets open no flows
	start_load 7 200
	sleep 2
	kill -STOP "${pids[balancer-1]}" "${pids[agent-2]}"
	sleep 1.5
	kill -CONT "${pids[balancer-1]}" "${pids[agent-2]}"
	check_load 100
	for name in balancer-1 agent-2; do
		kill -USR1 "${pids[$name]}"
		sleep 0.3
		grep -q "counter too_old=[1-9]" "$dir/$name.log" ||
			fail "$name dropped no packets queued over the pause"
	done
	;;
drain) # no openings from the acknowledgement on; checked by the load
	start_load 5 100
	sleep 1.5
	kill -USR1 "${pids[load]}"
	check_load 0
	grep -q "leaving=1" "$dir/agent-1.log" || fail "agent-1 received no drain"
	;;
evacuate)
	operator POST op/evacuate/zone-1 '{}'
	sleep 1
	start_load 4 100
	check_load 0
	grep -q "JJ520" "$dir/agent-1.log" && fail "zone-1 received flows"
	grep -q "JJ520" "$dir/agent-2.log" || fail "zone-0 received no flows"
	;;
store_outage) # the table changes and the history is dropped during the outage
	sleep 2
	[ -n "$(list_watchers)" ] || fail "no process watches the store"
	start_load 7 100
	sleep 1
	fault down
	sleep 1
	configure 9
	operator POST op/evacuate/zone-1 '{}'
	fault compact
	fault up
	check_load 0
	for name in $(list_watchers); do # other processes need not call the store
		grep -q "JJ310" "$dir/$name.log" || fail "outage not logged"
		grep -q "JJ311" "$dir/$name.log" || fail "return not logged"
	done
	sleep 1
	before=$(grep -c JJ520 "$dir/agent-1.log")
	start_load 3 100
	check_load 0
	[ "$(grep -c JJ520 "$dir/agent-1.log")" = "$before" ] ||
		fail "the evacuation is not in force"
	;;
muted_watches) # no waiting watch gets a response; a change must not wait for them
	sleep 2
	[ -n "$(list_watchers)" ] || fail "no process watches the store"
	fault mute
	sleep 1.5
	configure 9
	revision=$(curl -s --noproxy '*' \
		"http://$store/kv-range?prefix=op/config" |
		sed -n 's/.*"revision": *\([0-9]*\).*/\1/p')
	[ -n "$revision" ] || fail "no revision"
	sleep 3
	for name in balancer-{1..2} agent-{1..6}; do
		has_table_revision "$name" "1.$revision" || fail "$name has an old table"
	done
	;;
restored_reissued) # a change at a revision that was given out before the restore
	sleep 2
	[ -n "$(list_watchers)" ] || fail "no process watches the store"
	fault copy
	configure 9
	configure 10
	configure 11
	sleep 1
	restore_store
	configure 11
	operator POST op/evacuate/zone-1 '{}'
	# The store's revision passes the one that watchers remember.
	for i in 1 2 3; do operator POST "servers/$i" '{}'; done
	fault up
	sleep 3
	start_load 4 100
	check_load 0
	for i in 1 3 5; do
		grep -q "JJ520" "$dir/agent-$i.log" && fail "agent-$i in the evacuated zone-1 received flows"
	done
	grep -q "JJ520" "$dir/agent-2.log" || fail "zone-0 received no flows"
	;;
restored_start) # a process that starts before operators have written again
	fault copy
	configure 9 '{"name":"r-3","host":"198.18.0.1","prefix":"/445/","service":"desk"}'
	operator POST op/evacuate/zone-1 '{}'
	sleep 1
	kill -9 "${pids[agent-2]}" "${pids[balancer-1]}"
	restore_store
	fault up
	sleep 1
	start_agent 2 desk
	start_balancer 1
	sleep 3
	for name in balancer-{1..2} agent-{1..6}; do
		# services desk and vault, three routes, one evacuation
		[ "$(rows_held "$name")" = 6 ] || fail "$name lost rows: $(rows_held "$name")"
	done
	start_load 4 100
	check_load 0
	for i in 1 3 5; do
		grep -q "JJ520" "$dir/agent-$i.log" && fail "agent-$i in the evacuated zone-1 received flows"
	done
	;;
restored_lease) # leases lost by the restore are given to others
	fault copy
	start_agent 7 desk
	start_agent 8 desk
	sleep 1
	restore_store
	fault up
	for i in 1 2; do
		curl -s --noproxy '*' "http://$store/kv-lease" -d '{"ttlMs":60000}' >/dev/null
	done
	sleep 3
	for i in 7 8; do
		curl -s --noproxy '*' "http://$store/kv-range?prefix=jujube/members/" |
			grep -q "members/agent-$i\"" || fail "agent-$i is not registered"
	done
	;;
herd) # all processes restart at once; store and targets keep running
	start_load 7 100
	sleep 1.5
	for name in "${!pids[@]}"; do
		case $name in
		agent-* | balancer-*) kill -9 "${pids[$name]}" ;;
		esac
	done
	start_balancer 1
	start_balancer 2
	start_agents
	check_load 120
	;;
watchers) # all are paused at once: others must take over and get the change
	sleep 3
	watchers=$(list_watchers)
	[ "$(echo $watchers | wc -w)" = 4 ] || fail "watchers: $watchers"
	for name in $watchers; do kill -STOP "${pids[$name]}"; done
	configure 9
	operator POST op/evacuate/zone-1 '{}'
	revision=$(curl -s --noproxy '*' \
		"http://$store/kv-range?prefix=op/evacuate/" |
		sed -n 's/.*"revision": *\([0-9]*\).*/\1/p')
	[ -n "$revision" ] || fail "no revision"
	sleep 3
	for name in balancer-1 balancer-2 agent-{1..6}; do
		case " $watchers " in *" $name "*) continue ;; esac
		has_table_revision "$name" "1.$revision" || fail "$name has an old table"
	done
	for name in $watchers; do kill -CONT "${pids[$name]}"; done
	sleep 3
	for name in $watchers; do
		has_table_revision "$name" "1.$revision" || fail "$name has an old table after the pause"
	done
	for name in $watchers; do
		case " $(list_watchers) " in *" $name "*) continue ;; esac
		fail "$name does not watch again"
	done
	;;
bad_input) # random bytes at every port must not affect other traffic
	sleep 2
	watchers=$(list_watchers)
	[ -n "$watchers" ] || fail "no process watches the store"
	start_load 4 100
	for port in 8172 7735 7720; do
		for i in 1 2 3 4 5 6 7 8; do
			head -c $((i * 40)) /dev/urandom \
				>"/dev/udp/127.$net.1.1/$port"
		done
	done
	for port in 8162 7735 7720; do
		head -c 200 /dev/urandom >"/dev/udp/127.$net.2.1/$port"
	done
	code=$(curl -s --noproxy '*' -o "$dir/out" -w '%{http_code}' -X PUT \
		"http://127.$net.2.1:8166/instances/i-9" -d '{"state":"odd"}')
	[ "$code" = 400 ] || fail "a bad heartbeat got $code"
	code=$(curl -s --noproxy '*' -o "$dir/out" -w '%{http_code}' -X PUT \
		"http://127.$net.2.1:8166/instances/x-other" \
		-d '{"service":"desk","zone":"zone-1","version":"v1","slots":8,
		"state":"ready","warmupLeftMs":0,"seq":5}')
	[ "$code" = 400 ] || fail "a heartbeat without an address got $code"
	applied=$(grep -c JJ300 "$dir/agent-1.log")
	operator POST op/config 'no configuration'
	check_load 0
	[ "$(grep -c JJ300 "$dir/agent-1.log")" = "$applied" ] ||
		fail "a rejected item raised the table's revision"
	grep -q "JJ507" "$dir/agent-1.log" || fail "bad heartbeat not logged"
	for name in $watchers; do # they read the operators' items
		grep -q "JJ323" "$dir/$name.log" || fail "bad item not logged"
	done
	curl -s --noproxy '*' "http://127.$net.1.1:8167/metrics" |
		grep -q '^jujube_bad_frame [1-9]' || fail "noise not counted"
	;;
explain) # a live agent names the target that it would choose, or the reason
	use_terms
	configure 9 "$more_routes"
	start_load 30 0 # only heartbeats
	sleep 2
	explain() { "$build/jujube" -c "$dir/agent-1.ini" explain "$@" >"$dir/out" 2>&1; }
	before=$(cat "$dir"/agent-*.log | grep -c JJ520)
	for i in 1 2 3 4; do
		explain "100.64.0.7:4000$i" 198.18.0.1:443 "127.$net.2.$i:7720" ||
			fail "agent-$i does not explain: $(cat "$dir/out")"
		grep -Eq '^decision (open|place) agent=agent-[1-4]$' "$dir/out" ||
			fail "no target: $(cat "$dir/out")"
		[ "$(grep -c '^candidate agent=agent-[1-4] ' "$dir/out")" = 4 ] ||
			fail "candidates: $(cat "$dir/out")"
		grep -q '^home entry=zone-0 agent=agent-' "$dir/out" || fail "no home"
		grep -q '^terms priority=2 target_latency_ms=300 deadline_ms=2000 idempotent=yes' \
			"$dir/out" || fail "terms: $(cat "$dir/out")"
	done
	[ "$(cat "$dir"/agent-*.log | grep -c JJ520)" = "$before" ] || fail "a flow was opened"
	explain 100.64.0.7:40001 198.18.0.1:444 || fail "no answer"
	grep -q '^decision drop why=the route leads this flow to another service' "$dir/out" ||
		fail "other service: $(cat "$dir/out")"
	operator POST op/evacuate/zone-0 '{}'
	operator POST op/evacuate/zone-1 '{}'
	sleep 1
	explain 100.64.0.7:40001 198.18.0.1:443 || fail "no answer"
	grep -q '^decision refuse why=taken out by the table' "$dir/out" ||
		fail "evacuated: $(cat "$dir/out")"
	# Bad input gets an error that names it, and exit status 2; no answer 1.
	while IFS='|' read -r args status reason; do
		# shellcheck disable=SC2086
		explain $args
		[ $? = "$status" ] && grep -q "$reason" "$dir/out" ||
			fail "explain $args: $(cat "$dir/out")"
	done <<-END
	100.64.0.7:0 198.18.0.1:443|2|caller: '0' is not a port
	100.64.0.7 198.18.0.1:443|2|caller: '100.64.0.7' is not ip:port
	100.64.0.7:1 desk|2|service: 'desk' is not ip:port
	100.64.0.7:1 198.18.0.1:443 agent-1|2|agent: 'agent-1' is not ip:port
	100.64.0.7:1|2|usage: explain CALLER SERVICE
	100.64.0.7:1 198.18.0.1:443 127.$net.2.9:7720|1|no answer from 127.$net.2.9:7720
	100.64.0.7:1 198.18.0.1:443 127.$net.1.1:7720|1|must be the control address of a relay agent
	END
	"$build/jujube" -c "$dir/balancer-1.ini" explain 100.64.0.7:1 198.18.0.1:443 >"$dir/out" 2>&1
	[ $? = 2 ] || fail "settings of a balancer were accepted"
	;;
large_configurations) # each is in force in time, and after a power failure, too
	large() { # VERSION ROUTES: that many routes besides the first two
		local route='{"name":"x-&","host":"198.18.9.1","prefix":"/&/","service":"desk"}'
		configure "$1" "$(seq "$2" | sed "s|.*|$route|" | paste -sd,)"
	}
	in_force() { # VERSION: at all processes within 3 s
		local tries=30 name
		for name in balancer-1 balancer-2 agent-{1..6}; do
			until [ "$(rows_in_force "$name")" = $(($2 + 4)) ]; do
				tries=$((tries - 1))
				[ $tries -gt 0 ] || fail "version $1 is not in force at $name"
				sleep 0.1
			done
		done
	}
	start_load 14 100
	for i in 1 2 3 4; do
		large $((8 + i)) $((1400 * i))
		in_force $((8 + i)) $((1400 * i))
	done
	large 13 700 # drops most of them
	in_force 13 700
	check_load 0
	for name in balancer-1 balancer-2 agent-{1..6}; do
		kill -9 "${pids[$name]}"
		wait "${pids[$name]}" 2>/dev/null
	done
	large 14 5600
	fault slow # as over a link on which the table takes over half a second
	start_balancer 1
	start_balancer 2
	start_agents
	in_force 14 5600
	start_load 5 100
	check_load 125 # balancers become ready with the first heartbeats
	;;
*)
	fail "unknown scenario $1"
	;;
esac
echo "PASS $1"
