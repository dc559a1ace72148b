/*
 * Tables of a shard: flows that this agent's target holds, and recorded
 * locations of flows that other agents hold.
 */
#include "flow_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static enum jj_status init_shard(struct flw *flw, uint32_t number)
{
	struct flw_shard *shard = &flw->shards[number];
	uint32_t cells = map_cells_for(flw->flow_capacity);

	pthread_mutex_init(&shard->lock, NULL);
	shard->flows = flw->flows + (size_t)number * flw->flow_capacity;
	shard->locations = flw->locations + (size_t)number * flw->flow_capacity;
	shard->location_count = flw->flow_capacity;
	shard->flow_free = FLW_NO_CELL;
	shard->flow_cells = malloc(cells * sizeof(*shard->flow_cells));
	shard->location_cells = malloc(cells * sizeof(*shard->location_cells));
	if (!shard->flow_cells || !shard->location_cells)
		return JJ_SYSTEM;
	map_init(&shard->flow_index, shard->flow_cells, cells);
	map_init(&shard->location_index, shard->location_cells, cells);
	return JJ_OK;
}

enum jj_status flw_init_tables(struct flw *flw)
{
	size_t cells = (size_t)flw->flow_capacity * FLW_SHARDS;
	uint32_t i;

	/*
	 * One block each for all shards: memory pages that are never used stay
	 * unallocated.
	 */
	flw->flows = calloc(cells, sizeof(*flw->flows));
	flw->locations = calloc(cells, sizeof(*flw->locations));
	if (!flw->flows || !flw->locations)
		return JJ_SYSTEM;
	for (i = 0; i < FLW_SHARDS; i++)
		if (init_shard(flw, i) != JJ_OK)
			return JJ_SYSTEM;
	return JJ_OK;
}

void flw_finish_tables(struct flw *flw)
{
	uint32_t i;

	free(flw->flows);
	free(flw->locations);
	for (i = 0; i < FLW_SHARDS; i++) {
		free(flw->shards[i].flow_cells);
		free(flw->shards[i].location_cells);
		pthread_mutex_destroy(&flw->shards[i].lock);
	}
}

struct flw_shard *flw_shard_of(struct flw *flw, uint64_t key)
{
	return &flw->shards[(key >> 40) % FLW_SHARDS];
}

struct flw_flow *flw_find_flow(struct flw_shard *shard, uint64_t key)
{
	uint32_t at = map_get(&shard->flow_index, key);

	return at == MAP_NONE ? NULL : &shard->flows[at];
}

struct flw_flow *flw_add_flow(struct flw *flw, struct flw_shard *shard,
			      uint64_t key, uint64_t now)
{
	uint32_t at = shard->flow_free;
	struct flw_flow *flow;

	if (flw->flow_count >= flw->desc.max_flows)
		return NULL;
	if (at == FLW_NO_CELL && shard->flow_high_water == flw->flow_capacity)
		return NULL;
	if (at == FLW_NO_CELL)
		at = shard->flow_high_water++;
	else
		shard->flow_free = shard->flows[at].next_free;
	flow = &shard->flows[at];
	memset(flow, 0, sizeof(*flow));
	flow->key = key;
	flow->opened_at = now;
	flow->last_packet_at = now;
	flow->probe_number = flw->probe_number;
	if (map_put(&shard->flow_index, key, at) != JJ_OK) {
		flow->key = 0;
		flow->next_free = shard->flow_free;
		shard->flow_free = at;
		return NULL;
	}
	flw->flow_count++;
	return flow;
}

void flw_remove_flow(struct flw *flw, struct flw_shard *shard,
		     struct flw_flow *flow)
{
	flw_clear_busy(flw, flow);
	map_del(&shard->flow_index, flow->key);
	flow->key = 0;
	flow->next_free = shard->flow_free;
	shard->flow_free = (uint32_t)(flow - shard->flows);
	flw->flow_count--;
}

struct flw_location *flw_find_location(struct flw_shard *shard, uint64_t key)
{
	uint32_t at = map_get(&shard->location_index, key);

	return at == MAP_NONE ? NULL : &shard->locations[at];
}

void flw_put_location(struct flw_shard *shard,
		      const struct flw_location *location)
{
	struct flw_location *held = flw_find_location(shard, location->key);

	if (!held) {
		held = &shard->locations[shard->location_next];
		assert(held);
		if (held->key)
			map_del(&shard->location_index, held->key);
		if (map_put(&shard->location_index, location->key,
			    shard->location_next) != JJ_OK)
			return;
		shard->location_next++;
		if (shard->location_next == shard->location_count)
			shard->location_next = 0;
	}
	*held = *location;
}

void flw_set_busy(struct flw *flw, struct flw_flow *flow, uint64_t now)
{
	if (flow->busy)
		return;
	flow->busy = 1;
	flow->busy_since = now;
	flw->in_flight++;
}

void flw_clear_busy(struct flw *flw, struct flw_flow *flow)
{
	if (!flow->busy)
		return;
	flow->busy = 0;
	flw->in_flight--;
}
