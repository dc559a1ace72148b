#!/bin/bash
. "$(dirname "$0")/../standin/fleet.sh"

# Server 3 crashes and starts again, and sends its first heartbeat an interval later.
# Before that, flows are opened there and its agent is killed. The callers go on when
# nothing has been disturbed for longer than contactMs.
write_config 1 ""
{
	start_fleet 2 3 desk
	if [ "$TROUBLE" != 0 ]; then
		echo "crash 3"
		echo "server 3 desk zone-a 1 770"
	fi
	echo "open 30 443"
	[ "$TROUBLE" = 0 ] || echo "sh $dir/do restart agent-3 KILL"
	echo "sleep 6000"
	for i in 1 2 3 4 5 6 7 8; do
		echo talk
		echo "sleep 500"
	done
	echo "sleep 2000"
} >"$dir/scenario"
run_case 2 3 desk <"$dir/scenario"
