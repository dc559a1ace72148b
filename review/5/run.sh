#!/bin/bash
. "$(dirname "$0")/../standin/fleet.sh"

write_config 1 ""
{
	start_fleet 2 3 desk
	echo "load 60 443"
	echo "sleep 2000"
	echo "note server 1 is emptied"
	echo "drain 1"
	[ "$TROUBLE" = 0 ] || echo 'writer 1 {"service":"desk","zone":"zone-a","version":"v0","slots":8,"state":"ready","warmupLeftMs":0,"seq":5}'
	echo "sleep 12000"
	echo "load 0 443"
	echo "sleep 2000"
} >"$dir/scenario"
run_case 2 3 desk <"$dir/scenario"
