# Starts a small deployment for a case: the programs of deploy/system.toml with its
# commands, their settings rendered from its templates, and the stand-ins. Sourced
# by the run.sh of a case, which then calls run_case.
#
# Addresses: balancers 127.NET.1.i, agents and servers 127.NET.2.i, callers
# 127.NET.3.1, store 127.NET.9.1.
set -u
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$case_dir/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
export net=${NET:-$((150 + $$ % 80))}
export dir
dir=$(mktemp -d /tmp/jujube-review.XXXXXX)

finish() {
	local file
	for file in "$dir"/*.pid; do
		[ -e "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
	done
	[ -z "${KEEP_LOGS:-}" ] || cp -r "$dir" "$KEEP_LOGS"
	rm -rf "$dir"
}
trap finish EXIT

for program in target/jujube-relayd target/jujube-relay-agentd review/bin/driver \
	review/bin/metastore; do
	[ -x "$program" ] || {
		echo "$program is missing: build with deploy/system.toml and review/build.sh"
		exit 2
	}
done

# render TEMPLATE NAME ZONE IP [SERVICE]
render() {
	sed -e "s/{{nodeName}}/$2/;s/{{zone}}/$3/;s/{{ip}}/$4/" \
		-e "s/{{internalPorts.0}}/7720/;s/{{internalPorts.1}}/7735/" \
		-e "s/{{service}}/${5:-}/;s/{{app}}/$4:8165/" \
		-e "s/{{listen.outbound}}/$4:8162/;s/{{listen.datagramAddr}}/$4:8172/" \
		-e "s/{{listen.ready}}/$4:8167/;s/{{listen.control}}/$4:8166/" \
		-e "s/{{heartbeatMs}}/770/;s/{{bounds.flowTtlS}}/60/" \
		-e "s/{{platform.address}}/127.$net.9.1:8169/" "$1" >"$dir/$2.ini"
}

# $dir/do ACTION NAME [SIGNAL], for commands of the driver:
#   launch NAME          starts the daemon of a name, "balancer-i" or "agent-i"
#   kill NAME SIGNAL     sends it a signal
#   restart NAME SIGNAL  in the background, like the platform: sends the signal,
#                        waits for the end, and starts it again after a short delay
cat >"$dir/do" <<'END'
#!/bin/bash
launch() {
	local program=target/jujube-relayd
	[ "${1%-*}" = agent ] && program=target/jujube-relay-agentd
	"$program" -c "$dir/$1.ini" >>"$dir/$1.log" 2>&1 </dev/null &
	echo $! >"$dir/$1.pid"
}
restart() {
	local pid tries=400
	pid=$(cat "$dir/$1.pid")
	kill -s "$2" "$pid"
	while grep -qs '^State:[[:space:]]*[^Z[:space:]]' "/proc/$pid/status" &&
		[ $tries -gt 0 ]; do
		sleep 0.02
		tries=$((tries - 1))
	done
	sleep 0.3
	launch "$1"
}
case $1 in
launch) launch "$2" ;;
kill) kill -s "$3" "$(cat "$dir/$2.pid")" ;;
restart) restart "$2" "$3" >/dev/null 2>&1 & ;;
esac
END
chmod +x "$dir/do"

# run_case BALANCERS AGENTS SERVICE: the commands of the case are on standard input.
# Agent i is in zone-a, or in zone-b if zones=2 and i is even.
run_case() {
	local i zone
	cat >"$dir/commands"
	review/bin/metastore "127.$net.9.1" 8169 >"$dir/store.log" 2>&1 &
	echo $! >"$dir/store.pid"
	sleep 0.3
	for i in $(seq "$1"); do
		render deploy/relay.ini "balancer-$i" zone-a "127.$net.1.$i"
	done
	for i in $(seq "$2"); do
		zone=zone-a
		[ "${zones:-1}" = 2 ] && [ $((i % 2)) = 0 ] && zone=zone-b
		render deploy/relay-agent.ini "agent-$i" "$zone" "127.$net.2.$i" "$3"
	done
	review/bin/driver "$net" "$case_dir/record.txt" <"$dir/commands"
	status=$?
	[ $status -le 1 ] || status=2
	echo "exit $status"
	exit $status
}

# start_fleet BALANCERS AGENTS SERVICE: commands that start everything
start_fleet() {
	local i zone
	echo "config $dir/config-1.json"
	for i in $(seq "$1"); do echo "sh $dir/do launch balancer-$i"; done
	for i in $(seq "$2"); do echo "sh $dir/do launch agent-$i"; done
	echo "balancers $1"
	for i in $(seq "$2"); do
		zone=zone-a
		[ "${zones:-1}" = 2 ] && [ $((i % 2)) = 0 ] && zone=zone-b
		echo "server $i $3 $zone ${first_seq:-1}"
	done
	echo ready
	echo "sleep 3000"
}

# write_config VERSION ROUTES: ROUTES is JSON, with a comma behind each
write_config() {
	cat >"$dir/config-$1.json" <<-END
	{"version":$1,"routes":[$2
	{"name":"r-main","host":"127.$net.8.1","prefix":"/443/","kind":"idempotent",
	"timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"desk",
	"attempts":2}],"services":[{"name":"desk","healthPath":"/healthz",
	"maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,
	"warmupPerS":44.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
	"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
	END
}

# route NAME PORT: JSON of a route to desk
route() {
	printf '{"name":"%s","host":"127.'$net'.8.1","prefix":"/%s/","kind":"idempotent",' "$1" "$2"
	printf '"timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"desk"},'
}
