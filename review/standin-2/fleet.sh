# A small deployment on loopback addresses, for the cases 6 to 10. Sourced by
# their run.sh. Programs and settings are those of deploy/.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
bin=target/review-2
trouble=${TROUBLE:-1}
dir=$(mktemp -d /tmp/review-2.XXXXXX) || exit 2
record=${RECORD:-$here/record.txt}
world_pid=
store_pid=
heartbeat_ms=770
flow_ttl_s=60

finish() {
	local pid
	for pid in $(cat "$dir"/*.pid 2>/dev/null) $world_pid $store_pid; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	[ -z "${KEEP_LOGS:-}" ] || cp -r "$dir" "$KEEP_LOGS"
	rm -rf "$dir"
}
trap finish EXIT

cannot_run() {
	echo "cannot run: $*"
	exit 2
}

for file in target/jujube-relayd target/jujube-relay-agentd "$bin/world" \
	"$bin/store"; do
	[ -x "$file" ] || cannot_run "$file is not built"
done

# Starts the store on a free loopback network, 127.$net.0.0/16.
start_store() {
	local tries
	for tries in 1 2 3 4 5 6 7 8; do
		net=$((20 + RANDOM % 230))
		store_ip=127.$net.9.1
		"$bin/store" "$store_ip" 8169 >"$dir/store.log" 2>&1 &
		store_pid=$!
		sleep 0.3
		kill -0 "$store_pid" 2>/dev/null && return
	done
	cannot_run "no free addresses"
}

# http METHOD PATH [BODY]: calls the store
http() {
	local body=${3:-} line
	exec 5<>"/dev/tcp/$store_ip/8169" || cannot_run "no store"
	printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$2" "${#body}" "$body" >&5
	read -r -t 5 line <&5
	exec 5<&- 5>&-
	[[ $line == *" 200 "* ]] || cannot_run "the store answers $line"
}

operator_put() {
	http POST "/operator?key=$1" "$2"
}

operator_delete() {
	http DELETE "/operator?key=$1"
}

# render TEMPLATE NAME=VALUE...: fills in a template of deploy/
render() {
	local template=$1 script= pair
	shift
	for pair in "$@" "bounds.flowTtlS=$flow_ttl_s" "heartbeatMs=$heartbeat_ms" \
		internalPorts.0=7720 internalPorts.1=7735 \
		"platform.address=$store_ip:8169"; do
		script+="s|{{${pair%%=*}}}|${pair#*=}|g;"
	done
	sed "$script" "$template"
}

# start_balancer N ZONE
start_balancer() {
	render deploy/relay.ini "nodeName=frontend-$1" "zone=$2" \
		"ip=127.$net.1.$1" "listen.datagramAddr=127.$net.1.$1:8172" \
		"listen.ready=127.$net.1.$1:8167" >"$dir/frontend-$1.ini"
	target/jujube-relayd -c "$dir/frontend-$1.ini" \
		>>"$dir/frontend-$1.log" 2>&1 &
	echo "$!" >"$dir/frontend-$1.pid"
}

# start_agent N SERVICE ZONE
start_agent() {
	render deploy/relay-agent.ini "nodeName=side-$1" "zone=$3" \
		"ip=127.$net.2.$1" "service=$2" "app=127.$net.2.$1:8165" \
		"listen.outbound=127.$net.2.$1:8162" \
		"listen.datagramAddr=127.$net.2.$1:8172" \
		"listen.ready=127.$net.2.$1:8167" \
		"listen.control=127.$net.2.$1:8166" >"$dir/side-$1.ini"
	target/jujube-relay-agentd -c "$dir/side-$1.ini" \
		>>"$dir/side-$1.log" 2>&1 &
	echo "$!" >"$dir/side-$1.pid"
}

# stop NAME: SIGTERM, and SIGKILL after the 6 s of graceS
stop() {
	local pid i
	pid=$(cat "$dir/$1.pid")
	kill -TERM "$pid"
	for ((i = 0; i < 60; i++)); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.1
	done
	kill -9 "$pid" 2>/dev/null
	rm "$dir/$1.pid"
	wait "$pid" 2>/dev/null
}

# kill_now NAME: SIGKILL
kill_now() {
	local pid
	pid=$(cat "$dir/$1.pid")
	kill -9 "$pid"
	rm "$dir/$1.pid"
	wait "$pid" 2>/dev/null
}

# start_world BALANCERS SERVER...
start_world() {
	local balancers=$1
	shift
	mkfifo "$dir/commands"
	"$bin/world" "$net" "$record" "$heartbeat_ms" "$balancers" "$@" \
		<"$dir/commands" 2>"$dir/world.log" &
	world_pid=$!
	exec 6>"$dir/commands"
}

world() {
	kill -0 "$world_pid" 2>/dev/null || cannot_run "the stand-in of servers and clients has ended"
	echo "$*" >&6
}

# Ends the world; total NAME is then a number of its last line.
end_world() {
	world end
	wait "$world_pid"
	world_pid=
	tail -n 1 "$record"
}

total() {
	tail -n 1 "$record" | sed -n "s/.* $1=\([0-9]*\).*/\1/p"
}
