# Starts and stops a fleet of separate processes on 127.NET.0.0/16.
#
# Sourced by demo.sh, measure.sh and process.sh. Needs BUILD (the build directory)
# and DIR (an empty directory); NET selects the addresses. Lists the processes that
# it starts in DIR/pids; fleet_stop ends only those.

NET=${NET:-$((61 + $$ % 150))}
KEY=00112233445566778899aabbccddeeff
TOKEN=demo-operator-token
HOLDS=127.$NET.9.1:5683
DOSSIER=127.$NET.9.2:5683
SEEDS="127.$NET.1.1:7001, 127.$NET.1.2:7001, 127.$NET.1.3:7001"
ADMINS="127.$NET.1.1:8080, 127.$NET.1.2:8080, 127.$NET.1.3:8080"

# record_pid NAME PID
record_pid() {
	echo "$1 $2" >>"$DIR/pids"
}

pid_of() {
	awk -v name="$1" '$1 == name { pid = $2 } END { print pid }' "$DIR/pids"
}

start_platform() {
	"$BUILD/tests/standin-platform" "127.$NET.0.1" 8500 \
		2>>"$DIR/platform.log" &
	record_pid platform $!
}

# identity NAME CENTRE IP: the sections that both daemons share
identity() {
	cat <<-INI
	[identity]
	name = $1
	data_centre = $2
	ip = $3
	control_port = 7001
	data_port = 7002
	[fleet]
	key = $KEY
	seeds = $SEEDS
	[log]
	level = info
	INI
}

# start_balancer N
start_balancer() {
	ip=127.$NET.1.$1
	{
		identity "balancer-$1" entry "$ip"
		cat <<-INI
		[platform]
		url = http://127.$NET.0.1:8500
		timeout_ms = 1000
		watch_s = 5
		[forward]
		threads = 2
		drain_s = 2
		[admin]
		ip = $ip
		port = 8080
		token = $TOKEN
		INI
	} >"$DIR/balancer-$1.ini"
	"$BUILD/jujubed" -c "$DIR/balancer-$1.ini" 2>>"$DIR/balancer-$1.log" &
	record_pid "balancer-$1" $!
}

# start_target N SERVICE CENTRE [COLD_ANSWERS [SERVICE_MS]]
start_target() {
	"$BUILD/tests/standin-target" "$2" "target-$1" "$3" \
		"127.$NET.3.$1" 5683 "$DIR/runs.log" "${5:-40}" 5 2 "${4:-20}" \
		"$1" 2>>"$DIR/target-$1.log" &
	record_pid "target-$1" $!
}

# start_agent N SERVICE CENTRE
start_agent() {
	{
		identity "agent-$1" "$3" "127.$NET.2.$1"
		cat <<-INI
		[target]
		service = $2
		name = target-$1
		address = 127.$NET.3.$1:5683
		slots = 5
		cold_slots = 1
		drain_s = 10
		INI
	} >"$DIR/agent-$1.ini"
	"$BUILD/jujube-agentd" -c "$DIR/agent-$1.ini" 2>>"$DIR/agent-$1.log" &
	record_pid "agent-$1" $!
}

write_operator_ini() {
	cat >"$DIR/operator.ini" <<-INI
	[operator]
	admin = $ADMINS
	token = $TOKEN
	who = demo
	timeout_s = 10
	INI
}

jujube() {
	"$BUILD/jujube" -c "$DIR/operator.ini" "$@"
}

# wait_for SECONDS COMMAND...: until the command succeeds
wait_for() {
	tries=$(($1 * 10))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.1
	done
}

# agents_serving COUNT: true if at least COUNT agents are cold or warm
agents_serving() {
	[ "$(jujube status | grep -cE ' agent .* (cold|warm) ')" -ge "$1" ]
}

# spray [COUNT]: makes packets reach a random one of COUNT sockets per address
spray() {
	"$BUILD/tests/standin-spray" "${1:-6}" "$HOLDS" "$DOSSIER"
}

# Starts the Peritos fleet: four data centres, 7 targets of service holds and 4 of
# dossier.
fleet_start() {
	: >"$DIR/pids"
	: >"$DIR/runs.log"
	write_operator_ini
	start_platform
	for i in 1 2 3; do start_balancer "$i"; done
	for i in 1 2 3 4 5 6 7; do
		start_target "$i" holds "lisbon-$((i % 4 + 1))"
		start_agent "$i" holds "lisbon-$((i % 4 + 1))"
	done
	for i in 8 9 10 11; do
		start_target "$i" dossier "lisbon-$((i % 4 + 1))"
		start_agent "$i" dossier "lisbon-$((i % 4 + 1))"
	done
	cat >"$DIR/table.csv" <<-CSV
	kind,name,address,weight,state
	service,holds,$HOLDS,100,in
	service,dossier,$DOSSIER,100,in
	data-centre,lisbon-1,,100,in
	data-centre,lisbon-2,,100,in
	data-centre,lisbon-3,,100,in
	data-centre,lisbon-4,,100,in
	CSV
	wait_for 10 jujube status || return 1
	jujube -m "first table" table put "$DIR/table.csv" || return 1
	wait_for 15 agents_serving 11 || return 1
	wait_for 5 spray
}

# Kills the processes that were started, also paused ones.
fleet_stop() {
	[ -f "$DIR/pids" ] || return 0
	pids=$(awk '{ print $2 }' "$DIR/pids")
	for pid in $pids; do kill -CONT "$pid" 2>/dev/null || true; done
	for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
}
