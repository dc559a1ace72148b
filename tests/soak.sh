#!/bin/bash
# A fleet that relays flows under faults drawn from a seed, in series and
# overlapping: processes killed, stopped and started, paused; the store down,
# silent, without its history; answers lost; changes and evacuations meanwhile.
# The load judges from what callers and targets see (standin/world.c); at the
# end all is well again and every feed must be answered.
# usage: soak.sh SEED [SECONDS]
. "$(dirname "$0")/relay_lib.sh"

seed=$1
seconds=${2:-20}
RANDOM=$seed
TAIL_S=6 # without faults, for what must be whole at the end
declare -A state # of each process that is not running as it should
undo_at=()
undo_do=()
version=7
zone_out=0

now_ms() { date +%s%3N; }

# draw LIMIT: sets drawn; not by command substitution, which would draw the
# same number again and again
draw() { drawn=$((RANDOM % $1)); }

# later MS COMMAND...: runs it then
later() {
	undo_at+=("$(($(now_ms) + $1))")
	shift
	undo_do+=("$*")
}

run_due() {
	local i now
	now=$(now_ms)
	for i in "${!undo_at[@]}"; do
		[ "$now" -ge "${undo_at[$i]}" ] || [ "${1:-}" = all ] || continue
		${undo_do[$i]}
		unset "undo_at[$i]" "undo_do[$i]"
	done
}

say() { echo "$(($(now_ms) - begin)) $*" >>"$dir/faults.log"; }

service_of() { [ "$1" -le 4 ] && echo desk || echo vault; }

bring_back() {
	local name=$1
	say "start $name"
	wait "${pids[$name]}" 2>/dev/null
	case $name in
	balancer-*) start_balancer "${name#*-}" ;;
	agent-*) start_agent "${name#*-}" "$(service_of "${name#*-}")" ;;
	esac
	unset "state[$name]"
}

resume() {
	say "resume $1"
	kill -CONT "${pids[$1]}"
	unset "state[$1]"
}

store_up() {
	say "store up"
	fault up
	unset "state[store]"
}

draw_process() {
	local names=(agent-{1..6} agent-{1..6} balancer-1 balancer-2)
	draw ${#names[@]}
	name=${names[$drawn]}
	[ -z "${state[$name]:-}" ] || return 1
	# One balancer stays: callers have no other way in.
	case $name in balancer-*)
		[ -z "${state[balancer-1]:-}${state[balancer-2]:-}" ] ;;
	esac
}

# Accepted changes only: what the store did not take binds nobody.
switch_zone() {
	[ -z "${state[store]:-}" ] || return
	if [ $zone_out = 0 ]; then
		operator POST op/evacuate/zone-1 '{}'
	else # taken back: the load first, so that no opening is judged by it
		kill -USR2 "${pids[world]}"
		operator DELETE op/evacuate/zone-1
	fi
	[ $zone_out = 1 ] || kill -USR2 "${pids[world]}"
	zone_out=$((1 - zone_out))
	say "zone-1 out=$zone_out"
}

one_fault() {
	draw 11
	case $drawn in
	0 | 1)
		draw_process || return
		say "kill $name"
		kill -9 "${pids[$name]}"
		state[$name]=killed
		draw 1500
		later $((200 + drawn)) bring_back "$name"
		;;
	2 | 3)
		draw_process || return
		say "stop $name"
		kill -TERM "${pids[$name]}"
		state[$name]=stopped
		draw 1000
		later $((500 + drawn)) bring_back "$name"
		;;
	4 | 5)
		draw_process || return
		say "pause $name"
		kill -STOP "${pids[$name]}"
		state[$name]=paused
		draw 1800
		later $((200 + drawn)) resume "$name"
		;;
	6)
		[ -z "${state[store]:-}" ] || return
		say "store down"
		fault down
		state[store]=down
		draw 2500
		later $((500 + drawn)) store_up
		;;
	7)
		[ -z "${state[store]:-}" ] || return
		say "store silent"
		kill -STOP "${pids[store]}"
		state[store]=silent
		draw 2500
		later $((500 + drawn)) resume store
		;;
	8)
		[ -z "${state[store]:-}" ] || return
		draw 2
		[ "$drawn" = 0 ] && fault compact || fault lose
		version=$((version + 1))
		say "change $version"
		configure $version
		;;
	9) switch_zone ;;
	10) # the load says so with each heartbeat until it is acknowledged
		[ -z "${state[drained]:-}" ] || return
		say "server 1 drains"
		kill -USR1 "${pids[world]}"
		state[drained]=yes
		;;
	esac
}

# No process of the fleet may ever go back to a lower revision.
revisions_rise() {
	local log
	for log in "$dir"/agent-*.log "$dir"/balancer-*.log; do
		sed -n 's/.*pid=\([0-9]*\) event=JJ300.* revision=\([0-9]*\) .*/\1 \2/p' \
			"$log" | awk '$2 < last[$1] { bad = 1 }
			{ last[$1] = $2 } END { exit bad }' ||
			fail "seed $seed: a revision fell, $log"
	done
}

start_fleet
sleep 1
begin=$(now_ms)
world $((seconds + TAIL_S)) 60
sleep 1
while [ "$(now_ms)" -lt $((begin + seconds * 1000)) ]; do
	run_due
	one_fault
	draw 900
	sleep "0.$(printf %03d $((100 + drawn)))"
done
run_due all
[ $zone_out = 0 ] || switch_zone
if ! wait "${pids[world]}"; then
	cat "$dir/faults.log"
	fail "seed $seed: a promise is broken: $(cat "$dir/world.out")"
fi
unset 'pids[world]'
revisions_rise
echo "seed $seed faults=$(wc -l <"$dir/faults.log") $(cat "$dir/world.out")"
echo "PASS soak"
