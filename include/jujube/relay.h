/*
 * relay - the balancer's side of relaying flows (see flow.h)
 *
 * Chooses the agent for a caller's packet: the flow's recorded holder, else its
 * home. A repeated opening goes to the agent where the opening is known to wait
 * for room. Otherwise it means that no target has answered the one that the
 * home got, so the next home is chosen. A home that loses RLY_LOST_MAX openings
 * in a row gets none for RLY_AVOID_MS. These choices need not be right: a wrong
 * one costs a hop or a retransmission, never a flow.
 *
 * Thread safe. The cache of holders is that of route.h.
 */
#ifndef JUJUBE_RELAY_H
#define JUJUBE_RELAY_H

#include "jujube/flow.h"
#include "jujube/route.h"

#define RLY_HOMES 3 /* homes that get an opening and its copies in turn */
#define RLY_FAILING_MAX 64 /* agents with lost openings that are tracked */
#define RLY_LOST_MAX 2 /* lost openings in a row until an agent is avoided */
/*
 * Openings tracked that wait for room at an agent: those of several seconds in
 * which one balancer gets all callers of a deployment.
 */
#define RLY_WAITING_MAX 8192
#define RLY_WAITING_S 2 /* a caller's attempt lasts 1.4 s */
/* One and a half times the interval between a caller's first two copies. */
#define RLY_AVOID_MS 500

struct rly_failing_agent {
	uint64_t agent; /* 0: free */
	uint32_t lost_openings;
	uint64_t avoid_until_ms; /* no openings before this time */
};

struct rly {
	struct rt rt;
	struct rt waiting; /* flow -> agent where its opening waits */
	uint64_t data_centre; /* of this balancer; homes are preferably in it */
	pthread_mutex_t lock;
	struct rly_failing_agent failing_agents[RLY_FAILING_MAX];
};

struct rly_choice {
	const struct viw_agent *agent;
	const struct viw_service *service;
	int cached; /* the agent is the recorded holder */
};

/* JJ_SYSTEM: out of memory. */
enum jj_status rly_init(struct rly *rly, const struct rt_desc *desc);
void rly_finish(struct rly *rly);

/*
 * JJ_NOT_FOUND: no route for the packet's address; an opening may be reset.
 * JJ_UNAVAILABLE: there is a route, but no agent to send the packet to.
 */
enum jj_status rly_pick(struct rly *rly, const struct viw *view,
			const struct flw_packet *packet, uint64_t key,
			uint64_t now_ms, struct rly_choice *choice);

/* Records that an agent holds a flow, since its target has answered. */
void rly_learn(struct rly *rly, const struct viw *view, uint64_t key,
	       uint64_t holder, uint64_t now_ms);

/*
 * Records that an opening waits for room at an agent. The next copy goes there.
 * The agent confirms each copy by such a notification; without that, the copy
 * after it goes to the next home, since the agent may be dead.
 */
void rly_learn_waiting(struct rly *rly, const struct viw *view, uint64_t key,
		       uint64_t agent, uint64_t now_ms);

#endif
