/*
 * view - what routing needs to know, on one immutable page
 *
 * Built from the table and the member list whenever one of them changes,
 * published by pointer (liburcu in the daemons) and never changed again.
 * Services are sorted by id, agents by service, data centre and id, so that
 * processes that know the same facts hold the same view.
 */
#ifndef JUJUBE_VIEW_H
#define JUJUBE_VIEW_H

#include "jujube/member.h"
#include "jujube/rank.h"
#include "jujube/table.h"

/* Flows of the platform's callers live for 60 s at most. */
#define VIW_RECENTLY_DEAD_MS 65000
/* With fewer agents, a data centre's flows would all lose track with one. */
#define VIW_LOCAL_HOMES_MIN 4

struct viw_agent {
	uint64_t id;
	uint64_t incarnation;
	uint32_t ip;
	uint16_t control_port;
	uint16_t data_port;
	uint32_t service; /* position in services */
	uint32_t weight; /* effective, in hundredths of a percent */
	Jj__Phase phase;
	uint8_t can_open; /* may be given new flows */
	uint8_t can_hold; /* may be sent packets of flows it holds */
	uint8_t out; /* operators took it or its data centre out */
	uint8_t draining; /* by the table or by itself */
	uint32_t slots; /* limits from the table, 0: none given */
	uint32_t max_flows;
	uint32_t cold_slots;
	uint64_t data_centre; /* hash of its name */
};

/* An address that callers use, with one of the services behind it. */
struct viw_route {
	uint32_t ip;
	uint16_t port;
	uint8_t former; /* flows opened earlier may still be there */
	uint32_t weight;
	uint32_t target_latency_ms; /* see table.h, 0: not given */
	uint32_t service; /* position in services */
};

struct viw_service {
	uint64_t id;
	char name[TBL_NAME_MAX];
	uint32_t ip;
	uint16_t port;
	uint8_t open; /* state in: new flows are taken */
	uint32_t first; /* its agents: agents[first .. first + count) */
	uint32_t count;
	uint64_t digest; /* of everything that ranking depends on */
	/* Agents that are gone lately, and whose targets may hold flows. */
	uint32_t recently_dead_count;
	uint32_t cold_per_ks; /* see table.h, 0: not limited */
	uint32_t flow_idle_ms; /* 0: by the settings */
};

struct viw_balancer {
	uint64_t id;
	uint32_t ip;
	uint16_t data_port;
	uint16_t control_port;
	uint8_t usable; /* its data centre is not out */
	uint64_t data_centre;
};

struct viw {
	uint64_t revision;
	uint64_t serial; /* tells published views apart; set by the publisher */
	struct viw_service *services;
	uint32_t service_count;
	struct viw_agent *agents;
	struct rnk_node
		*open_nodes; /* parallel to agents; weight 0: not eligible */
	struct rnk_node
		*home_nodes; /* parallel to agents; who may hold flows */
	uint32_t agent_count;
	struct viw_agent
		*recently_dead; /* thought dead for a short time, by id */
	uint32_t recently_dead_count;
	struct viw_balancer *balancers;
	uint32_t balancer_count;
	struct map agent_index; /* agent id -> position */
	struct map_cell *cells;
	uint8_t self_out; /* this process's data centre is out */
	struct viw_route *routes; /* by address */
	uint32_t route_count;
};

/* On the heap; null: out of memory. viw_free() takes null. */
struct viw *viw_build(const struct tbl *tbl, const struct mbr *mbr);
void viw_free(struct viw *view);

const struct viw_service *viw_service(const struct viw *view, uint64_t id);
const struct viw_agent *viw_agent(const struct viw *view, uint64_t id);

/*
 * The same, for packets of a flow that it is known to hold: an agent that is
 * thought dead may live behind a cut, and nobody else can serve the flow.
 */
const struct viw_agent *viw_find_holder(const struct viw *view, uint64_t id);

/* First rank of a service for a flow, among agents that may open it. */
const struct viw_agent *viw_first_ranked(const struct viw *view,
					 const struct viw_service *service,
					 uint64_t key);

/* First ranks as positions in view->agents, at most max and at most 16. */
int viw_rank_agents(const struct viw *view, const struct viw_service *service,
		    uint64_t key, int *out, int max);

/*
 * Agents that keep track of a relayed flow, as positions in view->agents, best
 * first: ranks among all that may hold flows, whether they may open any or
 * not, so that a drain or a cold start moves none. Those of the data centre
 * that the flow comes in through go first when it has VIW_LOCAL_HOMES_MIN of them,
 * so that its packets need not cross to another; the last is then elsewhere.
 */
int viw_rank_homes(const struct viw *view, const struct viw_service *service,
		   uint64_t key, uint64_t data_centre, int *out, int max);
const struct viw_agent *viw_first_home(const struct viw *view,
				       const struct viw_service *service,
				       uint64_t key, uint64_t data_centre);

/* A service's agents in a data centre: agents[*first .. *first + count). */
uint32_t viw_local_agents(const struct viw *view,
			  const struct viw_service *service,
			  uint64_t data_centre, uint32_t *first);

/* Data centre of a balancer, 0: it is not known. */
uint64_t viw_balancer_data_centre(const struct viw *view, uint64_t balancer);

/*
 * Service that new flows of a route's address go to, drawn by weight from the
 * flow's key; null: no route, or its service has no row.
 */
const struct viw_service *viw_route(const struct viw *view, uint32_t ip,
				    uint16_t port, uint64_t key);

/* Whether the address leads to the service, now or (former) earlier. */
int viw_has_route(const struct viw *view, uint32_t ip, uint16_t port,
		  const struct viw_service *service, int former);

/* Time that callers of an address expect an answer in, 0: not given. */
uint32_t viw_target_latency_ms(const struct viw *view, uint32_t ip,
			       uint16_t port);

/* The next service after previous (null: first) that a route led to. */
const struct viw_service *
viw_next_routed_service(const struct viw *view, uint32_t ip, uint16_t port,
			const struct viw_service *previous);

/* A balancer that answers for id via can go through: via itself or another. */
const struct viw_balancer *viw_return_balancer(const struct viw *view,
					       uint64_t via, uint64_t key);

#endif
