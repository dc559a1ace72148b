/* Export and import of the agent's state for a planned restart. */
#include "agent_internal.h"

#include <stdlib.h>
#include <string.h>

/* -- export -------------------------------------------------------------- */

/* The handover message and all memory that it points to. */
struct export_buffer {
	Jj__Handover msg;
	Jj__HeldEcho echoes[AGT_ECHO_KEYS_MAX];
	Jj__HeldEcho *echo_key_ptrs[AGT_ECHO_KEYS_MAX];
	Jj__HeldFlow *flows;
	Jj__HeldFlow **flow_ptrs;
	ProtobufCBinaryData *tokens; /* AGT_OBSERVATIONS_MAX per flow */
	Jj__HeldRequest *requests;
	Jj__HeldRequest **request_ptrs;
	uint8_t *answers;
	size_t answers_used;
	size_t answers_size;
};

static void free_export(struct export_buffer *ex)
{
	free(ex->flows);
	free(ex->flow_ptrs);
	free(ex->tokens);
	free(ex->requests);
	free(ex->request_ptrs);
	free(ex->answers);
	free(ex);
}

static struct export_buffer *alloc_export(struct agt *agt)
{
	struct export_buffer *ex = calloc(1, sizeof(*ex));
	size_t flows = agt->flow_count + 1;
	size_t requests = 1;
	int i;

	if (!ex)
		return NULL;
	for (i = 0; i < AGT_SHARDS; i++) {
		const struct ldg *ldg = &agt->shards[i].ledger;

		requests += ldg->head - ldg->tail;
		ex->answers_size += ldg->answer_head - ldg->answer_tail;
	}
	ex->flows = calloc(flows, sizeof(*ex->flows));
	ex->flow_ptrs = calloc(flows, sizeof(*ex->flow_ptrs));
	ex->tokens = calloc(flows * AGT_OBSERVATIONS_MAX, sizeof(*ex->tokens));
	ex->requests = calloc(requests, sizeof(*ex->requests));
	ex->request_ptrs = calloc(requests, sizeof(*ex->request_ptrs));
	ex->answers = malloc(ex->answers_size + 1);
	if (ex->flows && ex->flow_ptrs && ex->tokens && ex->requests &&
	    ex->request_ptrs && ex->answers)
		return ex;
	free_export(ex);
	return NULL;
}

static void export_echo_keys(struct agt *agt, struct export_buffer *ex)
{
	uint32_t i;

	for (i = 0; i < agt->echo_key_count; i++) {
		jj__held_echo__init(&ex->echoes[i]);
		ex->echoes[i].incarnation = agt->echo_keys[i].incarnation;
		ex->echoes[i].key.data = agt->echo_keys[i].key;
		ex->echoes[i].key.len = sizeof(agt->echo_keys[i].key);
		ex->echo_key_ptrs[i] = &ex->echoes[i];
	}
	ex->msg.echoes = ex->echo_key_ptrs;
	ex->msg.n_echoes = agt->echo_key_count;
}

static void export_flow(struct agt *agt, struct agt_shard *shard,
			struct agt_flow *flow, struct export_buffer *ex)
{
	size_t at = ex->msg.n_flows++;
	Jj__HeldFlow *held = &ex->flows[at];
	uint8_t i;

	jj__held_flow__init(held);
	held->key = flow->key;
	held->caller_ip = flow->caller_ip;
	held->caller_port = flow->caller_port;
	held->local_port = agt->desc.hooks.local_port(
		agt->desc.hooks.ctx, agt_flow_handle(agt, shard, flow));
	held->via_id = flow->via_id;
	held->via_ip = flow->via_ip;
	held->via_port = flow->via_port;
	held->feed = flow->observed;
	held->guest = flow->guest;
	held->feed_tokens = &ex->tokens[at * AGT_OBSERVATIONS_MAX];
	held->n_feed_tokens = flow->observation_count;
	for (i = 0; i < flow->observation_count; i++) {
		held->feed_tokens[i].data = flow->observations[i].token;
		held->feed_tokens[i].len = flow->observations[i].token_len;
	}
	ex->flow_ptrs[at] = held;
}

/* A request still pending may have been sent, so its outcome is unknown. */
static void export_request(const struct ldg *ldg, const struct ldg_entry *entry,
			   uint64_t now_ms, struct export_buffer *ex)
{
	size_t at = ex->msg.n_requests++;
	Jj__HeldRequest *held = &ex->requests[at];

	jj__held_request__init(held);
	held->id = entry->id;
	held->state = entry->state == LDG_PENDING ? LDG_UNKNOWN : entry->state;
	held->flow = entry->flow;
	held->age_ms = (uint32_t)(now_ms - entry->created);
	held->answer.data = ex->answers + ex->answers_used;
	held->answer.len = ldg_copy_answer(ldg, entry, held->answer.data,
					   ex->answers_size - ex->answers_used);
	ex->answers_used += held->answer.len;
	ex->request_ptrs[at] = held;
}

static void export_shard(struct agt *agt, struct agt_shard *shard,
			 uint64_t now_ms, struct export_buffer *ex)
{
	const struct ldg *ldg = &shard->ledger;
	uint64_t at;
	uint32_t i;

	for (i = 0; i < agt->flow_capacity; i++)
		if (shard->flows[i].key)
			export_flow(agt, shard, &shard->flows[i], ex);
	for (at = ldg->tail; at < ldg->head; at++)
		export_request(ldg, &ldg->entries[at % ldg->capacity], now_ms,
			       ex);
}

uint8_t *agt_export(struct agt *agt, uint64_t now, size_t *len)
{
	struct export_buffer *ex = alloc_export(agt);
	uint8_t *packed;
	int i;

	if (!ex)
		return NULL;
	jj__handover__init(&ex->msg);
	ex->msg.agent = agt->desc.id;
	export_echo_keys(agt, ex);
	ex->msg.flows = ex->flow_ptrs;
	ex->msg.requests = ex->request_ptrs;
	for (i = 0; i < AGT_SHARDS; i++) {
		pthread_mutex_lock(&agt->shards[i].lock);
		export_shard(agt, &agt->shards[i], now / 1000, ex);
		pthread_mutex_unlock(&agt->shards[i].lock);
	}
	*len = jj__handover__get_packed_size(&ex->msg);
	packed = malloc(*len + 1);
	if (packed)
		jj__handover__pack(&ex->msg, packed);
	free_export(ex);
	return packed;
}

/* -- import -------------------------------------------------------------- */

static void import_echo_keys(struct agt *agt, const Jj__Handover *handover)
{
	size_t i;

	for (i = 0; i < handover->n_echoes; i++) {
		const Jj__HeldEcho *held = handover->echoes[i];
		struct agt_echo_key *key;

		if (agt->echo_key_count == AGT_ECHO_KEYS_MAX ||
		    held->key.len != sizeof(key->key))
			return;
		key = &agt->echo_keys[agt->echo_key_count++];
		key->incarnation = held->incarnation;
		memcpy(key->key, held->key.data, sizeof(key->key));
	}
}

static void import_observations(struct agt_flow *flow, const Jj__HeldFlow *held)
{
	size_t i;

	flow->observed = held->feed;
	for (i = 0; i < held->n_feed_tokens && i < AGT_OBSERVATIONS_MAX; i++) {
		size_t len = held->feed_tokens[i].len;

		if (len > CX_TOKEN_MAX)
			continue;
		flow->observations[flow->observation_count].token_len =
			(uint8_t)len;
		memcpy(flow->observations[flow->observation_count++].token,
		       held->feed_tokens[i].data, len);
	}
}

static void import_flow(const struct agt_call *call, const Jj__HeldFlow *held)
{
	struct agt *agt = call->agt;
	struct agt_shard *shard = agt_shard_by_key(agt, held->key);
	struct agt_flow *flow;

	if (!held->key || !held->local_port || held->local_port > 65535)
		return;
	pthread_mutex_lock(&shard->lock);
	flow = agt_find_flow(shard, held->key);
	if (!flow)
		flow = agt_alloc_flow(agt, shard, held->key,
				      (uint16_t)held->local_port);
	if (flow) {
		flow->caller_ip = held->caller_ip;
		flow->caller_port = (uint16_t)held->caller_port;
		flow->via_id = held->via_id;
		flow->via_ip = held->via_ip;
		flow->via_port = (uint16_t)held->via_port;
		flow->guest = held->guest;
		flow->last_active = call->now;
		if (!held->guest)
			agt_drop_exception(shard, held->key);
		import_observations(flow, held);
	}
	pthread_mutex_unlock(&shard->lock);
}

static void import_request(const struct agt_call *call,
			   const Jj__HeldRequest *held)
{
	struct agt_shard *shard = agt_shard_by_key(call->agt, held->flow);
	uint64_t now_ms = call->now / 1000;
	struct ldg_entry *entry;

	if (held->state < LDG_ANSWERED || held->state > LDG_UNKNOWN ||
	    held->age_ms > now_ms)
		return;
	pthread_mutex_lock(&shard->lock);
	if (!ldg_find(&shard->ledger, held->id)) {
		entry = ldg_add(&shard->ledger, held->id, held->flow,
				now_ms - held->age_ms);
		if (entry)
			ldg_set_outcome(&shard->ledger, entry,
					(enum ldg_state)held->state,
					held->answer.len ? held->answer.data :
							   NULL,
					held->answer.len);
	}
	pthread_mutex_unlock(&shard->lock);
}

void agt_import(const struct agt_call *call, const Jj__Handover *handover)
{
	size_t i;

	if (handover->agent != call->agt->desc.id)
		return;
	import_echo_keys(call->agt, handover);
	for (i = 0; i < handover->n_requests; i++)
		import_request(call, handover->requests[i]);
	for (i = 0; i < handover->n_flows; i++)
		import_flow(call, handover->flows[i]);
}
