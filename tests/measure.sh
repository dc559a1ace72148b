#!/bin/bash
# Measures an idle Peritos fleet: processor time, memory and control traffic of a
# balancer and an agent, and the platform's requests when idle and for a change.
# usage: measure.sh [SECONDS]
set -u
BUILD=${BUILD:-build}
DIR=$(mktemp -d /tmp/jujube-measure.XXXXXX)
. "$(dirname "$0")/fleet.sh"
trap 'fleet_stop; rm -rf "$DIR"' EXIT
seconds=${1:-10}
fleet_start >"$DIR/start.out" 2>&1 || exit 1
sleep 5

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
control() { jujube dump "$1" | awk -F= '/counter control_out/ { print $2 }'; }
calls() { curl -s "http://127.$NET.0.1:8500/stats"; }

for name in balancer-1 agent-1; do
	pid=$(pid_of $name)
	t0=$(ticks "$pid")
	c0=$(control $name)
	sleep "$seconds"
	t1=$(ticks "$pid")
	c1=$(control $name)
	awk -v n=$name -v t=$((t1 - t0)) -v c=$((c1 - c0)) -v s="$seconds" \
		-v rss="$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")" \
		-v hz="$(getconf CLK_TCK)" 'BEGIN {
		printf "%s\tcpu %.2f%% of a core\trss %.1f MB\tcontrol %.0f bytes/s\n",
		n, 100 * t / hz / s, rss / 1024, c / s }'
done
echo "platform before: $(calls)"
sleep "$seconds"
echo "platform after $seconds s at rest: $(calls)"
jujube --wait table set target t1 weight=50 >/dev/null
echo "platform after a change: $(calls)"
