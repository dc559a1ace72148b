/*
 * view - immutable snapshot of all routing data
 *
 * Built from the table and the member list whenever one of them changes, and
 * published by pointer (with liburcu in the daemons). Never modified after
 * that. Services are sorted by id, agents by service, data centre and id, so
 * processes with the same table and member list build the same view.
 *
 * Each relayed flow has a few home agents, which track which agent holds it.
 * They are chosen by rendezvous hashing, see viw_rank_homes().
 */
#ifndef JUJUBE_VIEW_H
#define JUJUBE_VIEW_H

#include "jujube/member.h"
#include "jujube/rank.h"
#include "jujube/table.h"

/*
 * How long a dead or departed agent stays in viw.recently_dead. Flows of the
 * platform's callers last at most 60 s, so after that its target holds none.
 */
#define VIW_RECENTLY_DEAD_MS 65000
/*
 * A data centre needs this many home agents to track its own flows. With
 * fewer, the loss of one agent could lose the tracking of all of them.
 */
#define VIW_LOCAL_HOMES_MIN 4

/* A live agent of a service, with its target. */
struct viw_agent {
	uint64_t id;
	uint64_t incarnation;
	uint32_t ip;
	uint16_t control_port;
	uint16_t data_port;
	uint32_t service; /* position in services */
	uint32_t weight; /* effective, in hundredths of a percent */
	Jj__Phase phase;
	uint8_t can_open; /* accepts new flows */
	uint8_t can_hold; /* accepts packets of flows it holds */
	uint8_t out; /* it, its service or data centre is out */
	uint8_t draining; /* by the table, or by its own phase */
	uint32_t slots; /* limits from the table, 0: not set */
	uint32_t max_flows;
	uint32_t cold_slots;
	uint64_t data_centre; /* id of its name */
};

/* One service that is reached through an address that callers use. */
struct viw_route {
	uint32_t ip;
	uint16_t port;
	uint8_t former; /* inactive, but earlier flows may still exist */
	uint32_t weight;
	uint32_t target_latency_ms; /* see jujube.proto, 0: not set */
	uint32_t deadline_ms; /* see jujube.proto, 0: not set */
	uint32_t priority; /* 1 is the highest, 0: not set */
	Jj__Idempotence idempotent;
	uint32_t service; /* position in services */
};

/* What callers of an address need; 0: not set. */
struct viw_terms {
	uint32_t target_latency_ms; /* time in which they expect a reply */
	uint32_t deadline_ms; /* time after which they give up */
	uint32_t priority; /* 1 is the highest */
	Jj__Idempotence idempotent;
};

/* A service of the table, or one that only agents in the view have. */
struct viw_service {
	uint64_t id;
	char name[TBL_NAME_MAX];
	uint32_t ip; /* address of its own, 0: none */
	uint16_t port;
	uint8_t open; /* listed, and state is in: accepts new flows */
	uint32_t first; /* its agents: agents[first .. first + count) */
	uint32_t count;
	uint64_t digest; /* hash of its agents' ranking inputs */
	uint32_t recently_dead_count; /* of its agents in viw.recently_dead */
	uint32_t cold_per_ks; /* see jujube.proto, 0: no limit */
	uint32_t flow_idle_ms; /* 0: use the setting */
	/*
	 * Largest priority number of its active routes, 0: none is set. Routes
	 * with a smaller number are urgent.
	 */
	uint32_t lowest_priority;
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
	uint64_t revision; /* of the table */
	uint64_t serial; /* unique for each view; set by the publisher */
	struct viw_service *services;
	uint32_t service_count;
	struct viw_agent *agents;
	struct rnk_node *open_nodes; /* per agent; weight 0: no new flows */
	struct rnk_node *home_nodes; /* per agent; weight 0: can't hold flows */
	uint32_t agent_count;
	/* sorted by id; may hold flows unless in phase down */
	struct viw_agent *recently_dead;
	uint32_t recently_dead_count;
	struct viw_balancer *balancers;
	uint32_t balancer_count;
	struct map agent_index; /* agent id -> position in agents */
	struct map_cell *cells;
	uint8_t self_out; /* the data centre of this process is out */
	struct viw_route *routes; /* sorted by address */
	uint32_t route_count;
};

/* Returns null when out of memory. viw_free() accepts null. */
struct viw *viw_build(const struct tbl *tbl, const struct mbr *mbr);
void viw_free(struct viw *view);

/* Lookups by id; null: not found. */
const struct viw_service *viw_service(const struct viw *view, uint64_t id);
const struct viw_agent *viw_agent(const struct viw *view, uint64_t id);

/*
 * Like viw_agent(), but also finds recently dead agents, unless they were in
 * phase down. For packets of a flow that the agent holds: it may be alive behind
 * a network partition, and no other agent can serve the flow.
 */
const struct viw_agent *viw_find_holder(const struct viw *view, uint64_t id);

/*
 * A recently dead or departed agent in any phase, or null. The phase is the
 * last one that its incarnation announced.
 */
const struct viw_agent *viw_find_dead(const struct viw *view, uint64_t id);

/* Highest ranked agent for a flow among those that accept new flows. */
const struct viw_agent *viw_first_ranked(const struct viw *view,
					 const struct viw_service *service,
					 uint64_t key);

/*
 * Ranks the agents that accept new flows. Writes the best max (at most 16) to
 * out as positions in view->agents and returns their number.
 */
int viw_rank_agents(const struct viw *view, const struct viw_service *service,
		    uint64_t key, int *out, int max);

/*
 * Home agents of a relayed flow, as positions in view->agents, best first.
 * Ranks all agents that can hold flows, also those that accept no new ones, so
 * that a drain or a cold start doesn't move any home. If the data centre where
 * the flow enters has at least VIW_LOCAL_HOMES_MIN such agents, they rank
 * first, so that packets need not cross to another data centre; the last home
 * is then the best one in any other data centre.
 */
int viw_rank_homes(const struct viw *view, const struct viw_service *service,
		   uint64_t key, uint64_t data_centre, int *out, int max);
/* The first of viw_rank_homes(), or null. */
const struct viw_agent *viw_first_home(const struct viw *view,
				       const struct viw_service *service,
				       uint64_t key, uint64_t data_centre);

/*
 * A service's agents in a data centre: agents[*first .. *first + count).
 * Returns count.
 */
uint32_t viw_local_agents(const struct viw *view,
			  const struct viw_service *service,
			  uint64_t data_centre, uint32_t *first);

/* Data centre of a balancer, 0: unknown balancer. */
uint64_t viw_balancer_data_centre(const struct viw *view, uint64_t balancer);

/*
 * Selects the service for a new flow to an address: picks one of its routes by
 * weight and the flow's key. Null: no active route.
 */
const struct viw_service *viw_route(const struct viw *view, uint32_t ip,
				    uint16_t port, uint64_t key);

/*
 * True if a route from the address to the service is active, or, with former
 * set, was so earlier.
 */
int viw_has_route(const struct viw *view, uint32_t ip, uint16_t port,
		  const struct viw_service *service, int former);

/* Terms of the first active route of an address; all 0 if there is none. */
struct viw_terms viw_terms(const struct viw *view, uint32_t ip, uint16_t port);

/*
 * Iterates over all services that active or former routes of an address lead
 * to: returns the next one after previous (null: the first), or null.
 */
const struct viw_service *
viw_next_routed_service(const struct viw *view, uint32_t ip, uint16_t port,
			const struct viw_service *previous);

/*
 * Balancer that sends replies to the caller: the one with id via if it is
 * usable, else one chosen by key; null: none is usable.
 */
const struct viw_balancer *viw_return_balancer(const struct viw *view,
					       uint64_t via, uint64_t key);

#endif
