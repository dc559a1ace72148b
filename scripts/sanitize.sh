#!/bin/sh
# Runs the unit tests with the address and undefined-behaviour sanitizers.
set -eu
tests="core table table_csv restore admit agent flow load waitq overload probe lost spill spill_fleet explain platform fuzz"
cmake -S . -B build-san -G Ninja -DJJ_SANITIZE=ON >/dev/null
# shellcheck disable=SC2046,SC2086
ninja -C build-san $(printf '%s_test ' $tests)
ctest --test-dir build-san --output-on-failure -R "^($(echo "$tests" | tr ' ' '|'))\$"
