/* Flow lists that the agents of one service exchange. */
#include "agent_internal.h"

#include <string.h>

/* -- peers --------------------------------------------------------------- */

struct agt_peer *agt_find_peer(struct agt *agt, uint64_t id)
{
	int i;

	for (i = 0; i < AGT_PEERS_MAX; i++)
		if (agt->peers[i].used && agt->peers[i].id == id)
			return &agt->peers[i];
	return NULL;
}

static struct agt_peer *find_or_add_peer(struct agt *agt, uint64_t id,
					 uint64_t incarnation)
{
	struct agt_peer *peer = agt_find_peer(agt, id);
	int i;

	for (i = 0; !peer && i < AGT_PEERS_MAX; i++)
		if (!agt->peers[i].used)
			peer = &agt->peers[i];
	if (!peer)
		return NULL;
	if (!peer->used || peer->incarnation != incarnation)
		*peer = (struct agt_peer){ .id = id,
					   .incarnation = incarnation,
					   .used = 1 };
	return peer;
}

static void remove_departed_peers(const struct agt_call *call)
{
	int i;

	for (i = 0; i < AGT_PEERS_MAX; i++) {
		struct agt_peer *peer = &call->agt->peers[i];

		if (peer->used && !viw_agent(call->view, peer->id))
			peer->used = 0;
	}
}

/* Calls fn for each other agent of the service that may hold flows. */
void agt_for_each_peer(const struct agt_call *call,
		       void (*fn)(const struct agt_call *call,
				  const struct viw_agent *agent,
				  struct agt_peer *peer))
{
	const struct viw_service *service =
		viw_service(call->view, call->agt->service);
	uint32_t i;

	for (i = 0; service && i < service->count; i++) {
		const struct viw_agent *agent =
			&call->view->agents[service->first + i];
		struct agt_peer *peer;

		if (agent->id == call->agt->desc.id || !agent->can_hold)
			continue;
		peer = find_or_add_peer(call->agt, agent->id,
					agent->incarnation);
		if (peer)
			fn(call, agent, peer);
	}
}

/* -- settling ------------------------------------------------------------ */

/* Settled: every peer in the view has sent its list for this digest. */
static void update_settled(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	const struct viw_service *service =
		viw_service(call->view, agt->service);
	uint32_t missing = 0;
	uint32_t i;

	for (i = 0; service && i < service->count; i++) {
		const struct viw_agent *agent =
			&call->view->agents[service->first + i];
		const struct agt_peer *peer;

		if (agent->id == agt->desc.id || !agent->can_hold)
			continue;
		peer = agt_find_peer(agt, agent->id);
		if (!peer || peer->incarnation != agent->incarnation ||
		    peer->in_complete != agt->digest)
			missing++;
	}
	if (service && !missing && !agt->settled) {
		agt->settled = 1;
		log_put(agt->desc.log, EV_FLOW_LISTS_COMPLETE, "view=%016llx",
			(unsigned long long)agt->digest);
	}
}

static void restart_list(const struct agt_call *call,
			 const struct viw_agent *agent, struct agt_peer *peer)
{
	(void)agent;
	peer->out_digest = call->agt->digest;
	peer->out_acked = 0;
	peer->out_parts = 0;
	peer->out_resend_at = call->now;
}

static void reset_received_list(const struct agt_call *call,
				const struct viw_agent *agent,
				struct agt_peer *peer)
{
	(void)call;
	(void)agent;
	peer->in_complete = 0;
	peer->in_digest = 0;
	peer->in_parts = 0;
}

static void request_list(const struct agt_call *call,
			 const struct viw_agent *agent, struct agt_peer *peer)
{
	struct agt *agt = call->agt;
	Jj__FlowListRequest request = JJ__FLOW_LIST_REQUEST__INIT;
	Jj__Envelope env = JJ__ENVELOPE__INIT;

	if (peer->in_complete == agt->digest)
		return;
	env.body_case = JJ__ENVELOPE__BODY_FLOW_LIST_REQUEST;
	env.flow_list_request = &request;
	agt->desc.hooks.send_control(agt->desc.hooks.ctx, call->thread, agent,
				     &env);
}

/*
 * While this process was paused, its peers may have opened flows whose first
 * rank it is, and the lists that they sent may be lost.
 */
void agt_resync_after_pause(const struct agt_call *call)
{
	pthread_mutex_lock(&call->agt->peer_lock);
	call->agt->settled = 0;
	agt_for_each_peer(call, reset_received_list);
	update_settled(call);
	pthread_mutex_unlock(&call->agt->peer_lock);
}

void agt_view_changed(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	const struct viw_service *service =
		viw_service(call->view, agt->service);
	const struct viw_agent *self = viw_agent(call->view, agt->desc.id);
	int i;

	if (self) {
		struct adm_limits limits = {
			self->slots ? self->slots : agt->desc.slots,
			self->cold_slots ? self->cold_slots :
					   agt->desc.cold_slots,
			agt->desc.queue,
		};

		/* Pools are sized by the settings, the table can only lower. */
		if (limits.slots > agt->desc.slots)
			limits.slots = agt->desc.slots;
		if (limits.cold_slots > limits.slots)
			limits.cold_slots = limits.slots;
		adm_set_limits(&agt->adm, &limits);
		agt->max_flows =
			self->max_flows &&
					self->max_flows < agt->desc.max_flows ?
				self->max_flows :
				agt->desc.max_flows;
	}
	if (!service || service->digest == agt->digest)
		return;
	for (i = 0; i < AGT_SHARDS; i++) {
		pthread_mutex_lock(&agt->shards[i].lock);
		agt_purge_exceptions(call, &agt->shards[i]);
		pthread_mutex_unlock(&agt->shards[i].lock);
	}
	pthread_mutex_lock(&agt->peer_lock);
	agt->digest = service->digest;
	agt->settled = 0;
	remove_departed_peers(call);
	agt_for_each_peer(call, restart_list);
	update_settled(call);
	pthread_mutex_unlock(&agt->peer_lock);
	agt_peers_tick(call);
}

/* -- sending lists ------------------------------------------------------- */

static void send_keys(const struct agt_call *call,
		      const struct viw_agent *agent, uint64_t digest,
		      uint32_t part, uint32_t parts, uint64_t *keys,
		      size_t count, int closed)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__FlowList list = JJ__FLOW_LIST__INIT;

	list.digest = digest;
	list.part = part;
	list.parts = parts;
	list.keys = keys;
	list.n_keys = count;
	list.closed = closed;
	env.body_case = JJ__ENVELOPE__BODY_FLOW_LIST;
	env.flow_list = &list;
	call->agt->desc.hooks.send_control(call->agt->desc.hooks.ctx,
					   call->thread, agent, &env);
}

/* Whether the flow belongs on agent's exception list: agent ranks first. */
static int is_listed_for(const struct agt_call *call,
			 const struct viw_service *service,
			 const struct agt_flow *flow,
			 const struct viw_agent *agent)
{
	return flow->key && !flow->guest &&
	       viw_first_ranked(call->view, service, flow->key) == agent;
}

/* Parts of a list: one bit each in the masks in struct agt_peer. */
#define LIST_PARTS_MAX 64
#define SHARD_KEYS (AGT_LIST_KEYS_MAX * LIST_PARTS_MAX / AGT_SHARDS)

struct key_list {
	uint64_t keys[AGT_SHARDS][SHARD_KEYS];
	uint32_t counts[AGT_SHARDS];
	uint32_t parts;
};

static uint32_t collect_shard_keys(const struct agt_call *call,
				   struct agt_shard *shard,
				   const struct viw_agent *agent,
				   uint64_t *keys)
{
	const struct viw_service *service =
		&call->view->services[agent->service];
	uint32_t used = 0;
	uint32_t i;

	pthread_mutex_lock(&shard->lock);
	for (i = 0; i < call->agt->flow_capacity && used < SHARD_KEYS; i++)
		if (is_listed_for(call, service, &shard->flows[i], agent))
			keys[used++] = shard->flows[i].key;
	pthread_mutex_unlock(&shard->lock);
	return used;
}

/* Collects the keys for agent. A part has keys of one shard only. */
static void collect_keys(const struct agt_call *call,
			 const struct viw_agent *agent, struct key_list *list)
{
	int i;

	list->parts = 0;
	for (i = 0; i < AGT_SHARDS; i++) {
		uint32_t count = collect_shard_keys(call, &call->agt->shards[i],
						    agent, list->keys[i]);

		list->counts[i] = count;
		list->parts +=
			(count + AGT_LIST_KEYS_MAX - 1) / AGT_LIST_KEYS_MAX;
	}
	if (!list->parts)
		list->parts = 1;
}

static void send_parts(const struct agt_call *call,
		       const struct viw_agent *agent, uint64_t digest,
		       struct key_list *list)
{
	uint32_t part = 0;
	int i;

	for (i = 0; i < AGT_SHARDS; i++) {
		uint32_t at;

		for (at = 0; at < list->counts[i]; at += AGT_LIST_KEYS_MAX) {
			uint32_t left = list->counts[i] - at;

			if (left > AGT_LIST_KEYS_MAX)
				left = AGT_LIST_KEYS_MAX;
			send_keys(call, agent, digest, part++, list->parts,
				  list->keys[i] + at, left, 0);
		}
	}
	if (!part)
		send_keys(call, agent, digest, 0, 1, NULL, 0, 0);
}

static uint64_t parts_mask(uint32_t parts)
{
	return parts >= LIST_PARTS_MAX ? UINT64_MAX : (1ull << parts) - 1;
}

/*
 * Whether the peer's list is due now; if so, schedules its next resend. The
 * peers must be locked.
 */
static int claim_list_send(const struct agt_call *call, struct agt_peer *peer)
{
	if (call->now < peer->out_resend_at)
		return 0;
	if (peer->out_parts && peer->out_acked == parts_mask(peer->out_parts))
		return 0;
	peer->out_resend_at = call->now + AGT_LIST_RESEND_US;
	return 1;
}

static void set_list_parts(struct agt *agt, uint64_t id, uint32_t parts)
{
	struct agt_peer *peer;

	pthread_mutex_lock(&agt->peer_lock);
	peer = agt_find_peer(agt, id);
	if (peer && peer->out_parts != parts) {
		peer->out_parts = parts;
		peer->out_acked = 0;
	}
	pthread_mutex_unlock(&agt->peer_lock);
}

/*
 * Sends complete lists to the peers that have not acknowledged theirs. The lock
 * order is shard before peers, so keys are collected with the peers unlocked.
 */
static void send_lists(const struct agt_call *call)
{
	static __thread struct key_list list;
	const struct viw_service *service =
		viw_service(call->view, call->agt->service);
	struct agt *agt = call->agt;
	uint32_t i;

	for (i = 0; service && i < service->count; i++) {
		const struct viw_agent *agent =
			&call->view->agents[service->first + i];
		struct agt_peer *peer;
		uint64_t digest;
		int due;

		if (agent->id == agt->desc.id || !agent->can_hold)
			continue;
		pthread_mutex_lock(&agt->peer_lock);
		peer = find_or_add_peer(agt, agent->id, agent->incarnation);
		due = peer && claim_list_send(call, peer);
		digest = peer ? peer->out_digest : 0;
		pthread_mutex_unlock(&agt->peer_lock);
		if (!due)
			continue;
		collect_keys(call, agent, &list);
		set_list_parts(agt, agent->id, list.parts);
		send_parts(call, agent, digest, &list);
	}
}

/* Notifies a flow's first rank that the flow was opened or closed here. */
void agt_notify_first_ranked(const struct agt_call *call, struct agt_flow *flow,
			     int closed)
{
	const struct viw_service *service =
		viw_service(call->view, call->agt->service);
	const struct viw_agent *first =
		service ? viw_first_ranked(call->view, service, flow->key) :
			  NULL;

	if (!first || first->id == call->agt->desc.id) {
		flow->first_rank_acked = 1;
		return;
	}
	send_keys(call, first, 0, 0, 0, &flow->key, 1, closed);
}

/* Resends the notices of opened flows that are not acknowledged yet. */
static void resend_flow_notices(const struct agt_call *call)
{
	int i;

	for (i = 0; i < AGT_SHARDS; i++) {
		struct agt_shard *shard = &call->agt->shards[i];
		uint32_t j;

		pthread_mutex_lock(&shard->lock);
		for (j = 0; j < call->agt->flow_capacity; j++) {
			struct agt_flow *flow = &shard->flows[j];

			if (flow->key && !flow->guest &&
			    !flow->first_rank_acked)
				agt_notify_first_ranked(call, flow, 0);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

/* -- receiving lists ----------------------------------------------------- */

static void apply_list(const struct agt_call *call, const Jj__Envelope *env)
{
	const Jj__FlowList *list = env->flow_list;
	struct agt *agt = call->agt;
	size_t i;

	for (i = 0; i < list->n_keys; i++) {
		uint64_t key = list->keys[i];
		struct agt_shard *shard = agt_shard_by_key(agt, key);
		struct agt_flow *flow;

		pthread_mutex_lock(&shard->lock);
		flow = agt_find_flow(shard, key);
		if (list->closed)
			agt_drop_exception(shard, key);
		else if (!flow || flow->guest)
			agt_put_exception(shard, key, env->sender,
					  env->incarnation);
		pthread_mutex_unlock(&shard->lock);
	}
}

static void acknowledge_list(const struct agt_call *call,
			     const struct viw_agent *agent,
			     const Jj__FlowList *list)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__FlowListAck ack = JJ__FLOW_LIST_ACK__INIT;

	ack.digest = list->digest;
	ack.part = list->part;
	if (!list->parts) {
		ack.keys = list->keys;
		ack.n_keys = list->n_keys;
	}
	env.body_case = JJ__ENVELOPE__BODY_FLOW_LIST_ACK;
	env.flow_list_ack = &ack;
	call->agt->desc.hooks.send_control(call->agt->desc.hooks.ctx,
					   call->thread, agent, &env);
}

/* Records a part of a peer's list. Notices of single flows have no parts. */
static void record_list_part(const struct agt_call *call, struct agt_peer *peer,
			     const Jj__FlowList *list)
{
	if (!list->parts || list->part >= list->parts ||
	    list->part >= LIST_PARTS_MAX)
		return;
	if (peer->in_digest != list->digest) {
		peer->in_digest = list->digest;
		peer->in_parts = 0;
	}
	peer->in_parts |= 1ull << list->part;
	if (peer->in_parts == parts_mask(list->parts))
		peer->in_complete = list->digest;
	update_settled(call);
}

static void on_list(const struct agt_call *call, const Jj__Envelope *env)
{
	const struct viw_agent *from = viw_agent(call->view, env->sender);
	struct agt *agt = call->agt;
	struct agt_peer *peer;

	/*
	 * The sender is not in the view, or in another incarnation. If it is
	 * new, this agent cannot know its flows and is no longer settled. The
	 * list is resent until it is acknowledged, after the view has changed.
	 */
	if (!from || from->incarnation != env->incarnation) {
		if (!from || from->incarnation < env->incarnation)
			agt->settled = 0;
		return;
	}
	apply_list(call, env);
	pthread_mutex_lock(&agt->peer_lock);
	peer = find_or_add_peer(agt, env->sender, env->incarnation);
	if (peer)
		record_list_part(call, peer, env->flow_list);
	pthread_mutex_unlock(&agt->peer_lock);
	acknowledge_list(call, from, env->flow_list);
}

static void on_list_ack(const struct agt_call *call, const Jj__Envelope *env)
{
	const Jj__FlowListAck *ack = env->flow_list_ack;
	struct agt *agt = call->agt;
	struct agt_peer *peer;
	size_t i;

	for (i = 0; i < ack->n_keys; i++) {
		struct agt_shard *shard = agt_shard_by_key(agt, ack->keys[i]);
		struct agt_flow *flow;

		pthread_mutex_lock(&shard->lock);
		flow = agt_find_flow(shard, ack->keys[i]);
		if (flow)
			flow->first_rank_acked = 1;
		pthread_mutex_unlock(&shard->lock);
	}
	if (ack->n_keys)
		return;
	pthread_mutex_lock(&agt->peer_lock);
	peer = agt_find_peer(agt, env->sender);
	if (peer && peer->incarnation == env->incarnation &&
	    peer->out_digest == ack->digest && ack->part < LIST_PARTS_MAX)
		peer->out_acked |= 1ull << ack->part;
	pthread_mutex_unlock(&agt->peer_lock);
}

/* -- dispatch and timers ------------------------------------------------- */

static void on_list_request(const struct agt_call *call,
			    const Jj__Envelope *env)
{
	struct agt *agt = call->agt;
	struct agt_peer *peer;

	pthread_mutex_lock(&agt->peer_lock);
	peer = agt_find_peer(agt, env->sender);
	if (peer && peer->incarnation == env->incarnation)
		restart_list(call, NULL, peer);
	pthread_mutex_unlock(&agt->peer_lock);
}

void agt_on_control(const struct agt_call *call, const Jj__Envelope *env)
{
	switch (env->body_case) {
	case JJ__ENVELOPE__BODY_FLOW_LIST_REQUEST:
		on_list_request(call, env);
		return;
	case JJ__ENVELOPE__BODY_FLOW_LIST:
		on_list(call, env);
		return;
	case JJ__ENVELOPE__BODY_FLOW_LIST_ACK:
		on_list_ack(call, env);
		return;
	case JJ__ENVELOPE__BODY_LOAD:
		agt_on_load_report(call, env);
		return;
	default:
		return;
	}
}

/* Lists are sent unrequested; missing ones are requested after a while. */
static void request_missing_lists(const struct agt_call *call)
{
	struct agt *agt = call->agt;

	pthread_mutex_lock(&agt->peer_lock);
	update_settled(call);
	if (agt->settled)
		agt->unsettled_since = call->now;
	else if (call->now > agt->unsettled_since + AGT_LIST_REQUEST_US)
		agt_for_each_peer(call, request_list);
	pthread_mutex_unlock(&agt->peer_lock);
}

void agt_peers_tick(const struct agt_call *call)
{
	struct agt *agt = call->agt;

	send_lists(call);
	agt_report_load(call);
	if (call->now >= agt->next_peer_sync) {
		agt->next_peer_sync = call->now + AGT_LIST_RESEND_US;
		agt_update_peer_median(call);
		request_missing_lists(call);
		resend_flow_notices(call);
	}
}
