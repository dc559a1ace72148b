/* Exception list: flows that peers hold although this agent is first rank. */
#include "agent_internal.h"

static struct agt_exception *find_exception(struct agt_shard *shard,
					    uint64_t key)
{
	uint32_t at = map_get(&shard->exception_index, key);

	return at == MAP_NONE ? NULL : &shard->exceptions[at];
}

void agt_drop_exception(struct agt_shard *shard, uint64_t key)
{
	struct agt_exception *exception = find_exception(shard, key);

	if (!exception)
		return;
	map_del(&shard->exception_index, key);
	exception->key = 0;
	exception->next_free = shard->exception_free;
	shard->exception_free = (uint32_t)(exception - shard->exceptions);
	shard->exception_count--;
}

enum jj_status agt_put_exception(struct agt_shard *shard, uint64_t key,
				 uint64_t holder, uint64_t incarnation)
{
	struct agt_exception *exception = find_exception(shard, key);
	uint32_t at = shard->exception_free;

	if (!exception) {
		if (at == AGT_NO_INDEX ||
		    map_put(&shard->exception_index, key, at) != JJ_OK)
			return JJ_FULL;
		exception = &shard->exceptions[at];
		shard->exception_free = exception->next_free;
		shard->exception_count++;
	}
	exception->key = key;
	exception->holder = holder;
	exception->incarnation = incarnation;
	return JJ_OK;
}

/* Holder of the packet's flow by the exception list; null: none, or gone. */
const struct viw_agent *agt_exception_holder(const struct agt_rx *rx)
{
	struct agt_exception *exception =
		find_exception(rx->shard, rx->packet->flow);
	const struct viw_agent *holder;

	if (!exception)
		return NULL;
	holder = viw_agent(rx->call->view, exception->holder);
	if (holder && holder->incarnation == exception->incarnation &&
	    holder->can_hold && holder->service == rx->self->service)
		return holder;
	agt_drop_exception(rx->shard, rx->packet->flow);
	return NULL;
}

void agt_purge_exceptions(const struct agt_call *call, struct agt_shard *shard)
{
	uint32_t i;

	for (i = 0; i < call->agt->exception_capacity; i++) {
		struct agt_exception *exception = &shard->exceptions[i];
		const struct viw_agent *holder;

		if (!exception->key)
			continue;
		holder = viw_agent(call->view, exception->holder);
		if (!holder || holder->incarnation != exception->incarnation ||
		    !holder->can_hold)
			agt_drop_exception(shard, exception->key);
	}
}
