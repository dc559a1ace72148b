#!/bin/bash
# A service is replaced by a new one: one configuration sends its route to the
# new service and no longer lists the old one, whose servers still hold open
# flows. Nothing fails and nothing is restarted.
# TROUBLE=0: the old service stays in the list.
. "$(dirname "$0")/../standin-2/fleet.sh"

zone=lisboa-a
service() {
	printf '{"name":"%s","healthPath":"/healthz","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}' "$1"
}
# config VERSION SERVICE_OF_PORT_443 SERVICES
config() {
	operator_put op/config '{"version":'"$1"',"routes":[
		{"name":"r-443","host":"127.2.0.1","prefix":"/443/",
		 "kind":"idempotent","timeoutMs":2500,"targetLatencyMs":150,
		 "priority":2,"service":"'"$2"'","attempts":2},
		{"name":"r-444","host":"127.2.0.1","prefix":"/444/",
		 "kind":"download","timeoutMs":8000,"targetLatencyMs":500,
		 "priority":2,"service":"arquivo","attempts":2}],
		"services":['"$3"'],"limits":{"idleTimeoutMs":15000}}'
}

start_store
config 7 agenda "$(service agenda),$(service agenda-2),$(service arquivo)"
for i in 1 2; do start_balancer $i $zone; done
for i in 1 2 3 4; do start_agent $i agenda $zone; done
for i in 5 6 7 8; do start_agent $i agenda-2 $zone; done
for i in 9 10; do start_agent $i arquivo $zone; done
start_world 2 {1,2,3,4}:agenda:$zone:5 {5,6,7,8}:agenda-2:$zone:5 {9,10}:arquivo:$zone:5
sleep 1
for i in 1 2 3 4 5 6 7 8 9 10; do world start $i; done
sleep 4
world open 60 443 1000
world once 400 444 20
sleep 4
world mark "the route of port 443 moves from agenda to agenda-2"
if [ "$trouble" != 0 ]; then
	config 12 agenda-2 "$(service agenda-2),$(service arquivo)"
else
	config 12 agenda-2 "$(service agenda),$(service agenda-2),$(service arquivo)"
fi
sleep 3
world once 100 443 20
sleep 12
end_world
[ "$(total opened)" -ge 300 ] || cannot_run "only $(total opened) flows were opened"
[ "$(total broken)" = 0 ]
