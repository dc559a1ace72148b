#!/bin/sh
# Runs the benchmarks whose results docs/MEASUREMENTS.md lists.
set -eu
build=build-bench
seed=${SEED:-20261204}
cmake -S . -B $build -G Ninja >/dev/null
ninja -C $build bench_decide bench_relay bench_placement bench_cold_start member_test >/dev/null
echo "== decide"
$build/bench/bench_decide "$seed"
echo "== relay"
$build/bench/bench_relay 3 "$seed"
for ms in 40 100 400; do
	echo "== placement, 7 targets of 5 slots, service time $ms ms"
	$build/bench/bench_placement "$seed" 7 5 $ms
done
echo "== cold start"
$build/bench/bench_cold_start "$seed"
echo "== spreading and control traffic"
$build/tests/member_test --gtest_filter='*Spread*:*AtRest*' \
	--gtest_output=xml:$build/member.xml >/dev/null
grep -oE '(spread_ms|bytes_per_s_[0-9]+)" value="[0-9]+' $build/member.xml |
	sed 's/" value="/	/'
