#!/bin/sh
# Runs all tests. Those listed in KNOWN-RED.txt run last; their results are
# printed but do not affect the exit status.
set -u
build=${1:-build}
red=$(sed -n 's/^\([a-z_]*\) |.*/\1/p' KNOWN-RED.txt | paste -sd'|')
if [ -z "$red" ]; then
	exec ctest --test-dir "$build" --output-on-failure -j 4
fi
ctest --test-dir "$build" --output-on-failure -j 4 -E "^($red)\$"
status=$?
echo "KNOWN RED, not counted: $red"
ctest --test-dir "$build" -R "^($red)\$" | sed 's/^/KNOWN RED: /'
exit $status
