#!/bin/bash
# A route moves to another service; then two of the eight daemons beside servers
# and both balancers are restarted in turn, one at a time, with SIGTERM. The flows
# that were open stay at the former service.
# TROUBLE=0: without the restarts.
. "$(dirname "$0")/../standin-2/fleet.sh"

zone=lisboa-a
# config VERSION SERVICE_OF_PORT_443
config() {
	operator_put op/config '{"version":'"$1"',"routes":[
		{"name":"r-443","host":"127.2.0.1","prefix":"/443/",
		 "kind":"idempotent","timeoutMs":2500,"targetLatencyMs":150,
		 "priority":2,"service":"'"$2"'","attempts":2},
		{"name":"r-444","host":"127.2.0.1","prefix":"/444/",
		 "kind":"download","timeoutMs":8000,"targetLatencyMs":500,
		 "priority":2,"service":"arquivo","attempts":2},
		{"name":"r-445","host":"127.2.0.1","prefix":"/445/",
		 "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":200,
		 "priority":1,"service":"agenda","attempts":2}],
		"services":[
		{"name":"agenda","healthPath":"/healthz","maxConns":2000,
		 "protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0},
		{"name":"arquivo","healthPath":"/healthz","maxConns":2000,
		 "protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}],
		"limits":{"idleTimeoutMs":15000}}'
}

start_store
config 7 agenda
for i in 1 2; do start_balancer $i $zone; done
for i in 1 2 3 4; do start_agent $i agenda $zone; done
for i in 5 6 7 8; do start_agent $i arquivo $zone; done
start_world 2 {1,2,3,4}:agenda:$zone:5 {5,6,7,8}:arquivo:$zone:5
sleep 1
for i in 1 2 3 4 5 6 7 8; do world start $i; done
sleep 4
world open 60 443 1000
world once 2000 445 20
sleep 3
world mark "the route of port 443 moves from agenda to arquivo"
config 12 arquivo
sleep 5
if [ "$trouble" != 0 ]; then
	for i in 5 6; do
		world mark "restart of side-$i"
		stop side-$i
		sleep 0.3
		start_agent $i arquivo $zone
		sleep 1
	done
	for i in 1 2; do
		world mark "restart of frontend-$i"
		stop frontend-$i
		sleep 0.3
		start_balancer $i $zone
		sleep 2
	done
else
	sleep 11
fi
sleep 5
end_world
[ "$(total opened)" -ge 60 ] || cannot_run "only $(total opened) flows were opened"
[ "$(total broken)" = 0 ]
