#!/bin/bash
# Checks the soak's own checks: in a copy a promise is broken on purpose, and
# some seed must notice by the counter of that promise.
# usage: [ONLY=COUNTER] soak_check.sh [SEED...]
set -u
seeds=${*:-1 2 3 4}
copy=$(mktemp -d /tmp/jujube-soak-check.XXXXXX)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cd "$copy" || exit 1
cmake -S . -B build -G Ninja -DJJ_WERROR=OFF >/dev/null
programs="jujube-relayd jujube-relay-agentd tests/standin-world tests/standin-metastore"
failed=0

# noticed COUNTER: whether a seed ends with that counter above zero
noticed() {
	local seed
	for seed in $seeds; do
		BUILD=build NET=${NET:-230} bash tests/soak.sh "$seed" 20 \
			>soak.out 2>&1
		grep -aq "FAIL.* $1=[1-9]" soak.out && return 0
	done
	return 1
}

# mutation COUNTER FILE SED: FILE changed by SED must raise the counter
mutation() {
	[ -z "${ONLY:-}" ] || [ "$ONLY" = "$1" ] || return 0
	cp "$2" "$2.kept"
	sed -i "$3" "$2"
	if cmp -s "$2" "$2.kept"; then
		echo "$1: the change does not apply"
		failed=$((failed + 1))
	elif ! ninja -C build $programs >build.out 2>&1; then
		echo "$1: does not build"
		failed=$((failed + 1))
	elif noticed "$1"; then
		echo "$1: noticed without $2: $3"
	else
		echo "$1: not noticed by seeds $seeds without $2: $3"
		failed=$((failed + 1))
	fi
	mv "$2.kept" "$2"
	touch "$2"
}

core=src/core
mutation late $core/flow_target.c 's/^	if (target->said.leaving)$/	if (0)/; s/else if (target->said.leaving || flw->stopping)/else if (flw->stopping)/'
mutation evacuated $core/flow_target.c 's/me->out || me->draining/me->out/'
mutation broken $core/flow_search.c 's/return work->call->flw->settled .*/return 1 ||/'
mutation broken $core/flow_target.c 's/target->from_birth = report->seq <= FIRST_SEQ;/target->from_birth = 1;/'
mutation wrong $core/view.c '/^int viw_has_route/,/^}/ s/if (&view->services\[route->service\] == service &&/if (service \&\&/; /viw_route(const/,/^}/ s/return &view->services\[route->service\];/return \&view->services[key % view->service_count];/'
[ "$failed" -eq 0 ]
