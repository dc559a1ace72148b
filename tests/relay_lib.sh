# Runs a fleet that relays flows as processes on 127.NET.0.0/16, with stand-ins
# for the platform's store, the targets and the callers. Sourced by relay.sh and
# soak.sh.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
build=${BUILD:-build}
net=${NET:-140}
dir=$(mktemp -d /tmp/jujube-relay.XXXXXX)
store=127.$net.9.1:8169
declare -A pids
egress_settings= # further lines of agents' section [egress]
# Terms of the routes of desk and vault, as JSON fields after the latency.
desk_terms=
vault_terms=
more_routes= # JSON of routes after the first two
server_terms= # slots and work of the load's servers, see standin/world.c

finish() {
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT

fail() {
	echo "FAIL: $*"
	[ -z "${KEEP_LOGS:-}" ] || cp -r "$dir" "$KEEP_LOGS"
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
	${rows_max:-}
	[registry]
	address = $store
	lease_s = ${lease_s:-20}
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
	$egress_settings
	END
	start "agent-$1" "$build/jujube-relay-agentd" -c "$dir/agent-$1.ini"
}

start_agents() {
	local i
	for i in 1 2 3 4; do start_agent "$i" desk; done
	for i in 5 6; do start_agent "$i" vault; done
}

operator() {
	printf '%s' "${3:-}" | curl -s --noproxy '*' -X "$1" --data-binary @- \
		"http://$store/operator?key=$2" >/dev/null
}

fault() {
	curl -s --noproxy '*' "http://$store/fault?mode=$1" >/dev/null
}

# configure VERSION [ROUTE]: writes a configuration, with another route if given
configure() {
	operator POST op/config '{"version":'"$1"',"routes":['"${2:+$2,}"'
		{"name":"r-1","host":"198.18.0.1","prefix":"/443/",
		 "service":"desk","targetLatencyMs":300'"$desk_terms"'},
		{"name":"r-2","host":"198.18.0.1","prefix":"/444/",
		 "service":"vault","targetLatencyMs":300'"$vault_terms"'}],
		"services":[{"name":"desk"},{"name":"vault"}],
		"limits":{"idleTimeoutMs":15000}}'
}

# restore_store: the store is away for a moment and comes back from its copy
restore_store() {
	fault down
	sleep 0.3
	fault restore
}

# rows_held NAME: rows of the table that the process has last put into force
rows_held() {
	grep JJ300 "$dir/$1.log" | tail -n 1 | sed 's/.* rows=\([0-9]*\).*/\1/'
}

# rows_in_force NAME: the same, without rows that were removed
rows_in_force() {
	grep JJ300 "$dir/$1.log" | tail -n 1 |
		sed 's/.* rows=\([0-9]*\) removed=\([0-9]*\).*/\1 \2/' |
		awk '{ print $1 - $2 }'
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

# Processes that watch the store, by the latest JJ324 event in their logs.
list_watchers() {
	local name
	for name in balancer-1 balancer-2 agent-{1..6}; do
		grep JJ324 "$dir/$name.log" | tail -n 1 |
			grep -q 'watching=1' && echo "$name"
	done | paste -sd' '
}

# has_table_revision NAME REVISION: whether the process has put that revision into force.
has_table_revision() {
	grep -q "JJ300.* revision=$2 " "$dir/$1.log"
}

# start_load SECONDS PER_SECOND: starts the load in the background.
start_load() {
	"$build/tests/standin-world" "$net" "$1" "$2" 2 \
		"1:4:desk$server_terms" "5:2:vault$server_terms" \
		>"$dir/load.out" 2>"$dir/load.log" &
	pids[load]=$!
}

# check_load MAX_FAILED: waits for the load and checks its counters.
check_load() {
	wait "${pids[load]}" || fail "the load failed or counted a violation: $(cat "$dir/load.out")"
	unset 'pids[load]'
	cat "$dir/load.out"
	failed=$(sed -n 's/.* failed=\([0-9]*\).*/\1/p' "$dir/load.out")
	answered=$(sed -n 's/.* answered=\([0-9]*\).*/\1/p' "$dir/load.out")
	[ "${failed:-9999}" -le "$1" ] || fail "$failed callers failed"
	[ "${answered:-0}" -ge 200 ] || fail "only $answered callers served"
}

# use_terms: from now on, routes carry priorities, deadlines and kinds, agents use
# them, and servers need 50 ms for a request. A burst of ten times the load then
# exceeds the capacity of desk by a third.
use_terms() {
	egress_settings=$'wait_queue = 512\nurgent_places = 2
probe_silence_ms = 250\nspill = 1'
	server_terms=:4:50
	desk_terms=',"timeoutMs":2000,"priority":1,"kind":"idempotent"'
	vault_terms=',"timeoutMs":2500,"priority":1,"kind":"non_idempotent"'
	more_routes='{"name":"r-3","host":"198.18.0.1","prefix":"/445/",
		"service":"desk","targetLatencyMs":300,"timeoutMs":2500,
		"priority":2,"kind":"upload"}'
}

# Starts the store with its first configuration, then the whole fleet.
start_fleet() {
	start store "$build/tests/standin-metastore" "127.$net.9.1" 8169
	sleep 0.3
	configure 7 "$more_routes"
	start_balancer 1
	start_balancer 2
	start_agents
	wait_ready 1
	wait_ready 2
}
