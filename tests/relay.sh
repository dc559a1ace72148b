#!/bin/bash
# A fleet that relays flows, as processes on 127.NET, with stand-ins for the
# platform's store, the targets and the callers. usage: relay.sh SCENARIO
set -u
cd "$(dirname "$0")/.." || exit 1
build=${BUILD:-build}
net=${NET:-140}
dir=$(mktemp -d /tmp/jujube-relay.XXXXXX)
store=127.$net.9.1:8169
declare -A pids

finish() {
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT

fail() {
	echo "FAIL: $*"
	tail -n 5 "$dir"/*.log
	exit 1
}

fleet_section() {
	cat <<-END
	[fleet]
	key = 00112233445566778899aabbccddeeff
	probe_ms = 200
	suspect_ms = 600
	gossip_ms = 100
	[registry]
	address = $store
	END
}

# Starts a process in the background under a name, with its own log.
start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	pids[$name]=$!
}

start_balancer() {
	cat >"$dir/balancer-$1.ini" <<-END
	[identity]
	name = balancer-$1
	data_centre = zone-0
	ip = 127.$net.1.$1
	control_port = 7720
	data_port = 7735
	$(fleet_section)
	[ingress]
	address = 127.$net.1.$1:8172
	ready = 127.$net.1.$1:8167
	END
	start "balancer-$1" "$build/jujube-relayd" -c "$dir/balancer-$1.ini"
}

start_agent() {
	cat >"$dir/agent-$1.ini" <<-END
	[identity]
	name = agent-$1
	data_centre = zone-$(($1 % 2))
	ip = 127.$net.2.$1
	control_port = 7720
	data_port = 7735
	$(fleet_section)
	[egress]
	service = $2
	target = 127.$net.2.$1:8165
	address = 127.$net.2.$1:8162
	callers = 127.$net.2.$1:8172
	heartbeats = 127.$net.2.$1:8166
	heartbeat_ms = 300
	END
	start "agent-$1" "$build/jujube-relay-agentd" -c "$dir/agent-$1.ini"
}

start_agents() {
	local i
	for i in 1 2 3 4; do start_agent "$i" desk; done
	for i in 5 6; do start_agent "$i" vault; done
}

operator() {
	curl -s --noproxy '*' -X "$1" "http://$store/operator?key=$2" \
		-d "${3:-}" >/dev/null
}

fault() {
	curl -s --noproxy '*' "http://$store/fault?mode=$1" >/dev/null
}

configure() {
	operator POST op/config '{"version":'"$1"',"routes":[
		{"name":"r-1","host":"198.18.0.1","prefix":"/443/",
		 "service":"desk","targetLatencyMs":300},
		{"name":"r-2","host":"198.18.0.1","prefix":"/444/",
		 "service":"vault","targetLatencyMs":300}],
		"services":[{"name":"desk"},{"name":"vault"}],
		"limits":{"idleTimeoutMs":15000}}'
}

ready() {
	curl -s --noproxy '*' -o "$dir/ready" -w '%{http_code}' \
		"http://127.$net.1.$1:8167/ready"
}

wait_ready() {
	local tries=100
	until [ "$(ready "$1")" = 200 ]; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || fail "balancer $1 is not ready"
		sleep 0.1
	done
}

# Processes that wait for changes at the store, by their last word on it.
watching() {
	local name
	for name in balancer-1 balancer-2 agent-{1..6}; do
		grep JJ324 "$dir/$name.log" | tail -n 1 |
			grep -q 'watching=1' && echo "$name"
	done | paste -sd' '
}

# follows NAME REVISION: whether that table is in force there.
follows() {
	grep -q "JJ300.* revision=$2 " "$dir/$1.log"
}

# world SECONDS PER_SECOND: the load, in the background.
world() {
	"$build/tests/standin-world" "$net" "$1" "$2" 2 1:4:desk 5:2:vault \
		>"$dir/world.out" 2>"$dir/world.log" &
	pids[world]=$!
}

# result MOST_FAILED: waits for the load and judges it.
result() {
	wait "${pids[world]}" || fail "a promise is broken: $(cat "$dir/world.out")"
	unset 'pids[world]'
	cat "$dir/world.out"
	failed=$(sed -n 's/.* failed=\([0-9]*\).*/\1/p' "$dir/world.out")
	answered=$(sed -n 's/.* answered=\([0-9]*\).*/\1/p' "$dir/world.out")
	[ "${failed:-9999}" -le "$1" ] || fail "$failed callers failed"
	[ "${answered:-0}" -ge 200 ] || fail "only $answered callers served"
}

start store "$build/tests/standin-metastore" "127.$net.9.1" 8169
sleep 0.3
configure 7
start_balancer 1
start_balancer 2
start_agents
wait_ready 1
wait_ready 2

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
	grep -q "JJ323" "$dir/agent-1.log" || fail "bad item not logged"
	curl -s --noproxy '*' "http://127.$net.1.1:8167/metrics" |
		grep -q '^jujube_bad_frame [1-9]' || fail "noise not counted"
	;;
*)
	fail "unknown scenario $1"
	;;
esac
echo "PASS $1"
