/*
 * route - selects the agent for a caller's packet
 *
 * A balancer sends a packet to the agent that holds its flow, as learned from
 * replies, if the view allows it, else to the highest ranked agent. Holders
 * are stored in a flow cache. A wrong or missing entry costs one more hop, but
 * never loses a flow. The cache is 4-way set associative, has shards with a
 * lock each, and allocates only in rt_init().
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
	uint32_t last_seen_s; /* last use, for expiry and eviction */
	uint32_t padding;
};

struct rt_shard {
	pthread_mutex_t lock;
	struct rt_entry *entries;
};

struct rt_desc {
	uint32_t max_flows; /* cache size, 0: 400,000 */
	uint32_t flow_idle_s; /* expiry of cache entries, 0: 90 */
	uint32_t confirm_ms; /* see rt_fenced(), 0: 3000 */
};

struct rt {
	struct rt_desc desc;
	struct rt_entry *entries; /* backing array of all shards */
	struct rt_shard shards[RT_SHARDS];
	uint32_t sets; /* per shard, power of two */
};

struct rt_choice {
	const struct viw_agent *agent;
	int cached; /* agent was found in the flow cache */
};

/* JJ_SYSTEM: out of memory. */
enum jj_status rt_init(struct rt *rt, const struct rt_desc *desc);
void rt_finish(struct rt *rt);

/* Flow key: hash of the caller's address and the service id. Never 0. */
uint64_t rt_flow_key(uint32_t caller_ip, uint16_t caller_port,
		     uint64_t service);

/* Selects the agent for a packet. JJ_NOT_FOUND: no agent can take it. */
enum jj_status rt_pick(struct rt *rt, const struct viw *view,
		       const struct viw_service *service, uint64_t key,
		       uint64_t now_ms, struct rt_choice *choice);

/* Looks up the holder of a flow in the cache, 0: not found. */
uint64_t rt_holder(struct rt *rt, uint64_t key, uint64_t now_ms);

/* Stores the holder of a flow, as named in a reply. */
void rt_learn(struct rt *rt, uint64_t key, uint64_t holder, uint64_t now_ms);

/*
 * True if forwarding must stop because no other member has confirmed the table
 * revision for confirm_ms: the process was paused, or is partitioned from the
 * fleet. Never true if this process is the only member. confirmed_ms is from
 * mbr_confirmed(); members is the number of live members other than this
 * process.
 */
int rt_fenced(const struct rt *rt, uint64_t confirmed_ms, uint64_t now_ms,
	      uint32_t members);

#endif
