/*
 * relay - the balancer's part of relaying flows (see flow.h)
 *
 * Picks the agent for a caller's packet: the holder that was told, else the
 * flow's home. A repeated opening says that the home did not get it to a
 * target that answers, so it goes to the next one; a home that loses openings
 * in a row gets none for RLY_AVOID_MS. All of it is only a guess: a wrong one
 * costs a hop or a repetition, never a flow.
 *
 * Thread safe; the cache is that of route.h.
 */
#ifndef JUJUBE_RELAY_H
#define JUJUBE_RELAY_H

#include "jujube/flow.h"
#include "jujube/route.h"

#define RLY_HOMES 3 /* homes that an opening is sent to in turn */
#define RLY_FAILING_MAX 64 /* agents watched at a time */
#define RLY_LOST_MAX 2 /* lost openings in a row that mean silence */
/* As long as a caller waits between its first two copies and a half more. */
#define RLY_AVOID_MS 500

struct rly_failing_agent {
	uint64_t agent; /* 0: free */
	uint32_t lost_openings;
	uint64_t avoid_until_ms; /* avoided so long */
};

struct rly {
	struct rt rt;
	uint64_t data_centre; /* of this balancer; its agents are homes first */
	pthread_mutex_t lock;
	struct rly_failing_agent failing_agents[RLY_FAILING_MAX];
};

struct rly_choice {
	const struct viw_agent *agent;
	const struct viw_service *service;
	int cached;
};

/* JJ_SYSTEM: out of memory. */
enum jj_status rly_init(struct rly *rly, const struct rt_desc *desc);
void rly_finish(struct rly *rly);

/*
 * JJ_NOT_FOUND: no route leads anywhere, an opening may be reset.
 * JJ_UNAVAILABLE: there is a route, and nobody to send the packet to.
 */
enum jj_status rly_pick(struct rly *rly, const struct viw *view,
			const struct flw_packet *packet, uint64_t key,
			uint64_t now_ms, struct rly_choice *choice);

/* An agent holds a flow: its target has answered. */
void rly_learn(struct rly *rly, const struct viw *view, uint64_t key,
	       uint64_t holder, uint64_t now_ms);

#endif
