#!/bin/bash
# One failure each of a fleet that relays flows. usage: relay.sh SCENARIO
. "$(dirname "$0")/relay_lib.sh"

start_fleet

case $1 in
calm)
	world 4 100
	result 0
	;;
kill_agent) # its target lives on; flows opened there wait or go on after
	world 5 100
	sleep 1.5
	kill -9 "${pids[agent-2]}"
	sleep 1
	start_agent 2 desk
	result 25
	;;
no_target) # an agent beside a closed port is down before a heartbeat is due
	world 6 100
	sleep 1.5
	start_agent 7 desk
	sleep 1
	grep -q "JJ527" "$dir/agent-7.log" || fail "it did not look"
	grep -q "JJ204.* name=agent-7 .*phase=5" "$dir/agent-1.log" ||
		fail "the others wait for its target"
	result 0
	;;
restart_agent) # planned; its target keeps the flows for its next life
	world 6 100
	sleep 1.5
	kill -TERM "${pids[agent-2]}"
	wait "${pids[agent-2]}"
	curl -s --noproxy '*' "http://$store/kv-range?prefix=jujube/members/" |
		grep -q 'members/agent-2"' || fail "its entry is gone"
	start_agent 2 desk
	result 5
	;;
restart_balancer) # planned: nobody may notice
	world 6 100
	sleep 1.5
	kill -TERM "${pids[balancer-1]}"
	[ "$(ready 1)" != 200 ] || fail "a stopping balancer is ready"
	result 0
	;;
frozen) # what waited in their sockets meanwhile opens nothing
	world 7 200
	sleep 2
	kill -STOP "${pids[balancer-1]}" "${pids[agent-2]}"
	sleep 1.5
	kill -CONT "${pids[balancer-1]}" "${pids[agent-2]}"
	result 100
	for name in balancer-1 agent-2; do
		kill -USR1 "${pids[$name]}"
		sleep 0.3
		grep -q "counter too_old=[1-9]" "$dir/$name.log" ||
			fail "$name took what waited"
	done
	;;
drain) # from the acknowledgement on; the load checks it
	world 5 100
	sleep 1.5
	kill -USR1 "${pids[world]}"
	result 0
	grep -q "leaving=1" "$dir/agent-1.log" || fail "no drain heard"
	;;
evacuate)
	operator POST op/evacuate/zone-1 '{}'
	sleep 1
	world 4 100
	result 0
	grep -q "JJ520" "$dir/agent-1.log" && fail "zone-1 was given flows"
	grep -q "JJ520" "$dir/agent-2.log" || fail "zone-0 was given none"
	;;
store_outage) # down, changed meanwhile, history dropped, back
	sleep 2
	[ -n "$(watching)" ] || fail "nobody watches"
	world 7 100
	sleep 1
	fault down
	sleep 1
	configure 9
	operator POST op/evacuate/zone-1 '{}'
	fault compact
	fault up
	result 0
	for name in $(watching); do # the others need not call it meanwhile
		grep -q "JJ310" "$dir/$name.log" || fail "outage not logged"
		grep -q "JJ311" "$dir/$name.log" || fail "return not logged"
	done
	sleep 1
	before=$(grep -c JJ520 "$dir/agent-1.log")
	world 3 100
	result 0
	[ "$(grep -c JJ520 "$dir/agent-1.log")" = "$before" ] ||
		fail "the evacuation is not in force"
	;;
herd) # all processes at once; the store and the targets stay
	world 7 100
	sleep 1.5
	for name in "${!pids[@]}"; do
		case $name in
		agent-* | balancer-*) kill -9 "${pids[$name]}" ;;
		esac
	done
	start_balancer 1
	start_balancer 2
	start_agents
	result 120
	;;
watchers) # all frozen at once: the others notice, and follow the change
	sleep 3
	watchers=$(watching)
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
		follows "$name" "$revision" || fail "$name is behind"
	done
	for name in $watchers; do kill -CONT "${pids[$name]}"; done
	sleep 3
	for name in $watchers; do
		follows "$name" "$revision" || fail "$name stays behind"
	done
	for name in $watchers; do
		case " $(watching) " in *" $name "*) continue ;; esac
		fail "$name does not watch again"
	done
	;;
bad_input) # noise at every port; nothing else is touched
	sleep 2
	watchers=$(watching)
	[ -n "$watchers" ] || fail "nobody watches"
	world 4 100
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
	operator POST op/config 'no configuration'
	result 0
	grep -q "JJ507" "$dir/agent-1.log" || fail "bad heartbeat not logged"
	for name in $watchers; do # who reads the operators' items
		grep -q "JJ323" "$dir/$name.log" || fail "bad item not logged"
	done
	curl -s --noproxy '*' "http://127.$net.1.1:8167/metrics" |
		grep -q '^jujube_bad_frame [1-9]' || fail "noise not counted"
	;;
*)
	fail "unknown scenario $1"
	;;
esac
echo "PASS $1"
