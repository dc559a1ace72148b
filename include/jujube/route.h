/*
 * route - the balancer's decision
 *
 * Picks the agent for a caller's packet: the holder that replies named, as
 * long as the view allows it, else the first rank. The flow cache is only a
 * cache: a wrong or missing entry costs a hop, never a flow. It is sharded,
 * each shard under its own lock, 4-way associative, and never allocates
 * after rt_init().
 */
#ifndef JUJUBE_ROUTE_H
#define JUJUBE_ROUTE_H

#include <pthread.h>
#include "jujube/view.h"

#define RT_SHARDS 64
#define RT_WAYS 4

struct rt_entry {
	uint64_t key; /* 0: free */
	uint64_t holder;
	uint32_t last_seen_s;
	uint32_t padding;
};

struct rt_shard {
	pthread_mutex_t lock;
	struct rt_entry *entries;
};

struct rt_desc {
	uint32_t max_flows; /* 0: 400,000 */
	uint32_t flow_idle_s; /* 0: 90 */
	uint32_t confirm_ms; /* 0: 3000 */
};

struct rt {
	struct rt_desc desc;
	struct rt_entry *entries; /* of all shards */
	struct rt_shard shards[RT_SHARDS];
	uint32_t sets; /* a shard, power of two */
};

struct rt_choice {
	const struct viw_agent *agent;
	int cached;
};

/* JJ_SYSTEM: out of memory. */
enum jj_status rt_init(struct rt *rt, const struct rt_desc *desc);
void rt_finish(struct rt *rt);

/* Key of a flow: caller's address and port, and the service. Never 0. */
uint64_t rt_flow_key(uint32_t caller_ip, uint16_t caller_port,
		     uint64_t service);

/* JJ_NOT_FOUND: no agent may be sent this packet. */
enum jj_status rt_pick(struct rt *rt, const struct viw *view,
		       const struct viw_service *service, uint64_t key,
		       uint64_t now_ms, struct rt_choice *choice);

/* Agent that holds a flow by the cache, 0: not known. */
uint64_t rt_holder(struct rt *rt, uint64_t key, uint64_t now_ms);

/* A reply named the holder of a flow. */
void rt_learn(struct rt *rt, uint64_t key, uint64_t holder, uint64_t now_ms);

/*
 * Whether forwarding must stop since nobody has confirmed the revision
 * lately: the process was paused, or is cut off. confirmed_ms as by
 * mbr_confirmed(); members: live members besides this process.
 */
int rt_fenced(const struct rt *rt, uint64_t confirmed_ms, uint64_t now_ms,
	      uint32_t members);

#endif
