# Starts a small deployment on loopback addresses with the commands and templates
# of the deploy file. Sourced by the scripts of this review.
#
# Two zones, each with 2 balancers and 4 side machines: 3 servers of "desk", 1 of
# "vault". Machine addresses: balancer B 127.NET.1.B, side S 127.NET.2.S, the store
# 127.NET.9.1; each machine reaches the store through a relay of its own. Routes have
# the address 127.NET.4.1, which nothing sends to.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
here=$(cd "$(dirname "$0")" && pwd)
tools=target/review-3
dir=$(mktemp -d /tmp/jujube-review.XXXXXX) || exit 2
trouble=${TROUBLE:-1}
net=${NET:-$((150 + $$ % 90))}
record=$here/record.txt
declare -A pids

finish() {
	local pid
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp -r "$dir" "$KEEP"
	rm -rf "$dir"
}
trap finish EXIT

cannot_run() {
	echo "cannot run: $*"
	exit 2
}

for file in target/jujube-relayd target/jujube-relay-agentd \
	$tools/standin-metastore $tools/standin-peers $tools/standin-relay; do
	[ -x "$file" ] || cannot_run "no $file"
done
: >"$record"

now() { date +%s%3N; }

note() { echo "$(now) $*" >>"$record"; }

zone_of_balancer() { echo "zone-$((($1 + 1) / 2))"; }
zone_of_side() { echo "zone-$((($1 + 3) / 4))"; }
service_of_side() { [ $(($1 % 4)) = 0 ] && echo vault || echo desk; }

# fill TEMPLATE NAME=VALUE...: the template with its placeholders filled in
fill() {
	local template=$1 text pair
	shift
	text=$(cat "$template")
	for pair in "$@"; do
		text=${text//"{{${pair%%=*}}}"/${pair#*=}}
	done
	case $text in *'{{'*) cannot_run "a placeholder of $template is unknown" ;; esac
	printf '%s\n' "$text"
}

# start NAME COMMAND...: a process in the background, with a log of its own
start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 </dev/null &
	pids[$name]=$!
}

start_relay() { # NAME ADDRESS
	start "relay-$1" $tools/standin-relay "$2" 8169 "127.$net.9.1" 8169 "$dir/store-$1"
}

start_balancer() {
	local ip=127.$net.1.$1
	fill deploy/relay.ini "nodeName=balancer-$1" "zone=$(zone_of_balancer "$1")" \
		"ip=$ip" internalPorts.0=7720 internalPorts.1=7735 \
		"listen.datagramAddr=$ip:8172" "listen.ready=$ip:8167" \
		"platform.address=127.$net.8.$1:8169" >"$dir/balancer-$1.ini"
	start "balancer-$1" target/jujube-relayd -c "$dir/balancer-$1.ini"
}

start_agent() {
	local ip=127.$net.2.$1
	fill deploy/relay-agent.ini "nodeName=side-$1" "zone=$(zone_of_side "$1")" \
		"ip=$ip" internalPorts.0=7720 internalPorts.1=7735 \
		"service=$(service_of_side "$1")" "app=$ip:8165" \
		"listen.outbound=$ip:8162" "listen.datagramAddr=$ip:8172" \
		"listen.ready=$ip:8167" "listen.control=$ip:8166" heartbeatMs=770 \
		bounds.flowTtlS=60 "platform.address=127.$net.7.$1:8169" >"$dir/side-$1.ini"
	start "side-$1" target/jujube-relay-agentd -c "$dir/side-$1.ini"
}

# operator METHOD KEY [VALUE]: returns after the acknowledgement
operator() {
	printf '%s' "${3:-}" | curl -sf -m 5 --noproxy '*' -X "$1" --data-binary @- \
		"http://127.$net.9.1:8169/operator?key=$2" >/dev/null ||
		cannot_run "the store did not acknowledge $2"
	note "acknowledged $1 $2"
}

# configure VERSION ROUTES
configure() {
	operator POST op/config '{"version":'"$1"',"routes":['"$2"'],
		"services":[{"name":"desk","healthPath":"/healthz","maxConns":2000,
		"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0},
		{"name":"vault","healthPath":"/healthz","maxConns":2000,
		"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
		"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
}

route() { # NAME PORT SERVICE
	echo '{"name":"'"$1"'","host":"127.'"$net"'.4.1","prefix":"/'"$2"'/","kind":"idempotent",
		"timeoutMs":2500,"targetLatencyMs":150,"priority":2,
		"service":"'"$3"'","attempts":2}'
}

is_ready() {
	[ "$(curl -s -m 1 --noproxy '*' -o /dev/null -w '%{http_code}' \
		"http://127.$net.1.$1:8167/ready")" = 200 ]
}

start_fleet() {
	local i tries
	start store $tools/standin-metastore "127.$net.9.1" 8169
	for i in 1 2 3 4; do start_relay "balancer-$i" "127.$net.8.$i"; done
	for i in 1 2 3 4 5 6 7 8; do start_relay "side-$i" "127.$net.7.$i"; done
	sleep 0.3
	configure 1 "${routes:-$(route r-1 443 desk),$(route r-2 444 vault)}"
	for i in 1 2 3 4; do start_balancer "$i"; done
	for i in 1 2 3 4 5 6 7 8; do start_agent "$i"; done
}

# start_peers SECONDS CLIENT...: clients, and a server on each side machine
start_peers() {
	local seconds=$1 i servers=()
	shift
	for i in 1 2 3 4 5 6 7 8; do
		servers+=("$i:$(service_of_side "$i"):$(zone_of_side "$i")")
	done
	mkfifo "$dir/commands" || cannot_run "no fifo"
	exec 9<>"$dir/commands"
	$tools/standin-peers "$net" "$seconds" "$record" -c "$@" -s "${servers[@]}" \
		<"$dir/commands" >"$dir/peers.log" 2>&1 &
	pids[peers]=$!
}

wait_ready() {
	local i tries=100
	for i in 1 2 3 4; do
		until is_ready "$i"; do
			tries=$((tries - 1))
			[ $tries -gt 0 ] || cannot_run "balancer-$i is not ready: $(tail -n 2 "$dir"/*.log)"
			sleep 0.1
		done
	done
}

say() { echo "$*" >&9; }

# Whether the daemons still run; a program that ended is a crash.
check_alive() {
	local name
	for name in balancer-{1..4} side-{1..8}; do
		kill -0 "${pids[$name]}" 2>/dev/null || echo "$name"
	done
}
