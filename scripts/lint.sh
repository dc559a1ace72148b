#!/bin/sh
# Checks the formatting and runs clang-tidy; any finding is an error.
set -eu
build=${1:-build}
sources=$(git ls-files 'src/*.c' 'src/*.h' 'platform/*.c' 'platform/*.h' 'include/*.h' 'tests/*.c' 'tests/*.h' \
	'tests/*.cc' 'bench/*.c' 'bench/*.h')
# shellcheck disable=SC2086
clang-format --dry-run -Werror $sources
[ -f "$build/compile_commands.json" ] ||
	cmake -S . -B "$build" -G Ninja >/dev/null
# shellcheck disable=SC2046
printf '%s\n' $(git ls-files 'src/*.c' 'platform/*.c') |
	xargs -P 8 -n 4 clang-tidy -p "$build" --quiet --warnings-as-errors='*' \
		2>/dev/null
