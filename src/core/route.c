#include "jujube/route.h"

#include <stdlib.h>
#include <string.h>

enum jj_status rt_init(struct rt *rt, const struct rt_desc *desc)
{
	uint32_t i;

	memset(rt, 0, sizeof(*rt));
	rt->desc = *desc;
	if (!rt->desc.max_flows)
		rt->desc.max_flows = 400000;
	if (!rt->desc.flow_idle_s)
		rt->desc.flow_idle_s = 90;
	if (!rt->desc.confirm_ms)
		rt->desc.confirm_ms = 3000;
	rt->sets = 16;
	while ((uint64_t)rt->sets * RT_SHARDS * RT_WAYS <
	       (uint64_t)rt->desc.max_flows * 5 / 4)
		rt->sets *= 2;
	/* One allocation: pages without any flow are never touched. */
	rt->entries = calloc((size_t)rt->sets * RT_WAYS * RT_SHARDS,
			     sizeof(*rt->entries));
	if (!rt->entries)
		return JJ_SYSTEM;
	for (i = 0; i < RT_SHARDS; i++) {
		pthread_mutex_init(&rt->shards[i].lock, NULL);
		rt->shards[i].entries =
			rt->entries + (size_t)i * rt->sets * RT_WAYS;
	}
	return JJ_OK;
}

void rt_finish(struct rt *rt)
{
	uint32_t i;

	free(rt->entries);
	for (i = 0; i < RT_SHARDS; i++)
		pthread_mutex_destroy(&rt->shards[i].lock);
}

uint64_t rt_flow_key(uint32_t caller_ip, uint16_t caller_port, uint64_t service)
{
	uint64_t parts[2] = { service,
			      (uint64_t)caller_ip << 16 | caller_port };
	uint64_t key = rnk_hash(parts, sizeof(parts));

	return key ? key : 1;
}

/* -- cache --------------------------------------------------------------- */

static struct rt_shard *shard_of(struct rt *rt, uint64_t key)
{
	return &rt->shards[key % RT_SHARDS];
}

static struct rt_entry *set_of(const struct rt *rt, struct rt_shard *shard,
			       uint64_t key)
{
	uint32_t set = (uint32_t)(key >> 16) & (rt->sets - 1);

	return &shard->entries[(size_t)set * RT_WAYS];
}

static int is_current(const struct rt *rt, const struct rt_entry *entry,
		      uint32_t now_s)
{
	return now_s < entry->last_seen_s + rt->desc.flow_idle_s;
}

uint64_t rt_holder(struct rt *rt, uint64_t key, uint64_t now_ms)
{
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	struct rt_shard *shard = shard_of(rt, key);
	uint64_t holder = 0;
	struct rt_entry *set;
	int i;

	pthread_mutex_lock(&shard->lock);
	set = set_of(rt, shard, key);
	for (i = 0; i < RT_WAYS; i++) {
		if (set[i].key != key || !is_current(rt, &set[i], now_s))
			continue;
		set[i].last_seen_s = now_s;
		holder = set[i].holder;
	}
	pthread_mutex_unlock(&shard->lock);
	return holder;
}

void rt_learn(struct rt *rt, uint64_t key, uint64_t holder, uint64_t now_ms)
{
	struct rt_shard *shard = shard_of(rt, key);
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	struct rt_entry *set;
	struct rt_entry *use;
	int i;

	pthread_mutex_lock(&shard->lock);
	set = set_of(rt, shard, key);
	use = &set[0];
	for (i = 0; i < RT_WAYS; i++) {
		if (set[i].key == key) {
			use = &set[i];
			break;
		}
		if (set[i].last_seen_s < use->last_seen_s)
			use = &set[i];
	}
	*use = (struct rt_entry){ .key = key,
				  .holder = holder,
				  .last_seen_s = now_s };
	pthread_mutex_unlock(&shard->lock);
}

/* -- agent selection ----------------------------------------------------- */

/* Fallback when no agent accepts new flows: this one can send a refusal. */
static const struct viw_agent *
first_holding_agent(const struct viw *view, const struct viw_service *service)
{
	uint32_t i;

	for (i = 0; i < service->count; i++)
		if (view->agents[service->first + i].can_hold)
			return &view->agents[service->first + i];
	return NULL;
}

enum jj_status rt_pick(struct rt *rt, const struct viw *view,
		       const struct viw_service *service, uint64_t key,
		       uint64_t now_ms, struct rt_choice *choice)
{
	uint64_t holder = rt_holder(rt, key, now_ms);
	const struct viw_agent *agent = holder ? viw_agent(view, holder) : NULL;

	choice->cached = 1;
	choice->agent = agent;
	if (agent && agent->can_hold &&
	    &view->services[agent->service] == service)
		return JJ_OK;
	choice->cached = 0;
	choice->agent = viw_first_ranked(view, service, key);
	if (!choice->agent)
		choice->agent = first_holding_agent(view, service);
	return choice->agent ? JJ_OK : JJ_NOT_FOUND;
}

int rt_fenced(const struct rt *rt, uint64_t confirmed_ms, uint64_t now_ms,
	      uint32_t members)
{
	if (!members)
		return 0;
	return now_ms > confirmed_ms + rt->desc.confirm_ms;
}
