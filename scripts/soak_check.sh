#!/bin/bash
# Mutation test of the soak test's checks: in a copy of the tree, breaks one
# guarantee at a time; with at least one seed the soak test must count a
# violation of it.
# usage: [ONLY=COUNTER] [MODE=terms] soak_check.sh [SEED...]
set -u
seeds=${*:-1 2 3 4}
copy=$(mktemp -d /tmp/jujube-soak-check.XXXXXX)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cd "$copy" || exit 1
cmake -S . -B build -G Ninja -DJJ_WERROR=OFF >/dev/null
programs="jujube-relayd jujube-relay-agentd tests/standin-world tests/standin-metastore"
failed=0

# detected COUNTER: whether the soak test fails with COUNTER above zero for
# one of the seeds
detected() {
	local seed
	for seed in $seeds; do
		BUILD=build NET=${NET:-230} bash tests/soak.sh "$seed" 20 \
			${MODE:-} \
			>soak.out 2>&1
		grep -aq "FAIL.* $1=[1-9]" soak.out && return 0
	done
	return 1
}

# mutation COUNTER FILE SED: with SED applied to FILE, the soak test must
# count at least one violation in COUNTER
mutation() {
	[ -z "${ONLY:-}" ] || [ "$ONLY" = "$1" ] || return 0
	cp "$2" "$2.kept"
	sed -i "$3" "$2"
	if cmp -s "$2" "$2.kept"; then
		echo "$1: the sed expression changes nothing"
		failed=$((failed + 1))
	elif ! ninja -C build $programs >build.out 2>&1; then
		echo "$1: does not build"
		failed=$((failed + 1))
	elif detected "$1"; then
		echo "$1: detected with $2 changed by: $3"
	else
		echo "$1: not detected by seeds $seeds with $2 changed by: $3"
		failed=$((failed + 1))
	fi
	mv "$2.kept" "$2"
	touch "$2"
}

core=src/core
mutation late $core/flow_target.c 's/^	if (target->last.leaving)$/	if (0)/; s/else if (target->last.leaving || flw->stopping)/else if (flw->stopping)/'
mutation evacuated $core/flow_target.c 's/me->out || me->draining/me->out/'
mutation broken $core/flow_search.c 's/return work->call->flw->members_known .*/return 1 ||/'
mutation broken $core/flow_target.c 's/heartbeat->seq <= FIRST_HEARTBEAT_SEQ;/1;/'
mutation wrong $core/view.c '/^int viw_has_route/,/^}/ s/if (&view->services\[route->service\] == service &&/if (service \&\&/; /viw_route(const/,/^}/ s/return &view->services\[route->service\];/return \&view->services[key % view->service_count];/'
[ "$failed" -eq 0 ]
