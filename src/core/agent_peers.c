/* What agents of one service tell each other of their flows. */
#include "agent_internal.h"

#include <string.h>

/* -- peers --------------------------------------------------------------- */

struct agt_peer *agt_find_peer(struct agt *agt, uint64_t id)
{
	int i;

	for (i = 0; i < AGT_PEERS; i++)
		if (agt->peers[i].used && agt->peers[i].id == id)
			return &agt->peers[i];
	return NULL;
}

static struct agt_peer *obtain_peer(struct agt *agt, uint64_t id,
				    uint64_t incarnation)
{
	struct agt_peer *peer = agt_find_peer(agt, id);
	int i;

	for (i = 0; !peer && i < AGT_PEERS; i++)
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

static void forget_gone_peers(const struct agt_call *call)
{
	int i;

	for (i = 0; i < AGT_PEERS; i++) {
		struct agt_peer *peer = &call->agt->peers[i];

		if (peer->used && !viw_agent(call->view, peer->id))
			peer->used = 0;
	}
}

/* Calls fn for every other agent of the service that may hold flows. */
void agt_each_peer(const struct agt_call *call,
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
		peer = obtain_peer(call->agt, agent->id, agent->incarnation);
		if (peer)
			fn(call, agent, peer);
	}
}

/* -- settling ------------------------------------------------------------ */

static void check_settled(const struct agt_call *call)
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

static void start_list(const struct agt_call *call,
		       const struct viw_agent *agent, struct agt_peer *peer)
{
	(void)agent;
	peer->out_digest = call->agt->digest;
	peer->out_acked = 0;
	peer->out_parts = 0;
	peer->out_next = call->now;
}

static void forget_list(const struct agt_call *call,
			const struct viw_agent *agent, struct agt_peer *peer)
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
	agt->desc.hooks.control(agt->desc.hooks.ctx, call->thread, agent, &env);
}

/*
 * While this process was paused the others may have opened flows for which it
 * ranks first, and have sent lists that it never saw.
 */
void agt_paused(const struct agt_call *call)
{
	pthread_mutex_lock(&call->agt->peer_lock);
	call->agt->settled = 0;
	agt_each_peer(call, forget_list);
	check_settled(call);
	pthread_mutex_unlock(&call->agt->peer_lock);
}

void agt_view_changed(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	const struct viw_service *service =
		viw_service(call->view, agt->service);
	const struct viw_agent *me = viw_agent(call->view, agt->desc.id);
	int i;

	if (me) {
		struct adm_limits limits = {
			me->slots ? me->slots : agt->desc.slots,
			me->cold_slots ? me->cold_slots : agt->desc.cold_slots,
			agt->desc.queue,
		};

		/* Pools were sized by the settings; the table may only lower. */
		if (limits.slots > agt->desc.slots)
			limits.slots = agt->desc.slots;
		if (limits.cold_slots > limits.slots)
			limits.cold_slots = limits.slots;
		adm_set_limits(&agt->adm, &limits);
		agt->max_flows =
			me->max_flows && me->max_flows < agt->desc.max_flows ?
				me->max_flows :
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
	forget_gone_peers(call);
	agt_each_peer(call, start_list);
	check_settled(call);
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
	call->agt->desc.hooks.control(call->agt->desc.hooks.ctx, call->thread,
				      agent, &env);
}

/* Whether the flow has to be on agent's exception list. */
static int belongs_on_list(const struct agt_call *call,
			   const struct viw_service *service,
			   const struct agt_flow *flow,
			   const struct viw_agent *agent)
{
	return flow->key && !flow->guest &&
	       viw_first_ranked(call->view, service, flow->key) == agent;
}

#define LIST_PARTS 64
#define SHARD_KEYS (AGT_LIST_KEYS * LIST_PARTS / AGT_SHARDS)

struct key_list {
	uint64_t keys[AGT_SHARDS][SHARD_KEYS];
	uint32_t counts[AGT_SHARDS];
	uint32_t parts;
};

static uint32_t keys_of_shard(const struct agt_call *call,
			      struct agt_shard *shard,
			      const struct viw_agent *agent, uint64_t *keys)
{
	const struct viw_service *service =
		&call->view->services[agent->service];
	uint32_t used = 0;
	uint32_t i;

	pthread_mutex_lock(&shard->lock);
	for (i = 0; i < call->agt->flow_capacity && used < SHARD_KEYS; i++)
		if (belongs_on_list(call, service, &shard->flows[i], agent))
			keys[used++] = shard->flows[i].key;
	pthread_mutex_unlock(&shard->lock);
	return used;
}

/* One part holds keys of one shard only. */
static void collect_keys(const struct agt_call *call,
			 const struct viw_agent *agent, struct key_list *list)
{
	int i;

	list->parts = 0;
	for (i = 0; i < AGT_SHARDS; i++) {
		uint32_t count = keys_of_shard(call, &call->agt->shards[i],
					       agent, list->keys[i]);

		list->counts[i] = count;
		list->parts += (count + AGT_LIST_KEYS - 1) / AGT_LIST_KEYS;
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

		for (at = 0; at < list->counts[i]; at += AGT_LIST_KEYS) {
			uint32_t left = list->counts[i] - at;

			if (left > AGT_LIST_KEYS)
				left = AGT_LIST_KEYS;
			send_keys(call, agent, digest, part++, list->parts,
				  list->keys[i] + at, left, 0);
		}
	}
	if (!part)
		send_keys(call, agent, digest, 0, 1, NULL, 0, 0);
}

static uint64_t all_parts(uint32_t parts)
{
	return parts >= 64 ? UINT64_MAX : (1ull << parts) - 1;
}

/* Takes the peer's turn: true when its list is due now. Peers are locked. */
static int take_turn(const struct agt_call *call, struct agt_peer *peer)
{
	if (call->now < peer->out_next)
		return 0;
	if (peer->out_parts && peer->out_acked == all_parts(peer->out_parts))
		return 0;
	peer->out_next = call->now + AGT_RESEND_US;
	return 1;
}

static void note_parts(struct agt *agt, uint64_t id, uint32_t parts)
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
 * Sends whole lists to the peers that have not acknowledged theirs. Flow
 * shards are locked before peers everywhere, so keys are collected with the
 * peers unlocked.
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
		peer = obtain_peer(agt, agent->id, agent->incarnation);
		due = peer && take_turn(call, peer);
		digest = peer ? peer->out_digest : 0;
		pthread_mutex_unlock(&agt->peer_lock);
		if (!due)
			continue;
		collect_keys(call, agent, &list);
		note_parts(agt, agent->id, list.parts);
		send_parts(call, agent, digest, &list);
	}
}

/* Tells the first rank of a flow that was opened, or has ended, off rank. */
void agt_tell_first(const struct agt_call *call, struct agt_flow *flow,
		    int closed)
{
	const struct viw_service *service =
		viw_service(call->view, call->agt->service);
	const struct viw_agent *first =
		service ? viw_first_ranked(call->view, service, flow->key) :
			  NULL;

	if (!first || first->id == call->agt->desc.id) {
		flow->told = 1;
		return;
	}
	send_keys(call, first, 0, 0, 0, &flow->key, 1, closed);
}

static void tell_again(const struct agt_call *call)
{
	int i;

	for (i = 0; i < AGT_SHARDS; i++) {
		struct agt_shard *shard = &call->agt->shards[i];
		uint32_t j;

		pthread_mutex_lock(&shard->lock);
		for (j = 0; j < call->agt->flow_capacity; j++) {
			struct agt_flow *flow = &shard->flows[j];

			if (flow->key && !flow->guest && !flow->told)
				agt_tell_first(call, flow, 0);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

/* -- receiving lists ----------------------------------------------------- */

static void store_keys(const struct agt_call *call, const Jj__Envelope *env)
{
	const Jj__FlowList *list = env->flow_list;
	struct agt *agt = call->agt;
	size_t i;

	for (i = 0; i < list->n_keys; i++) {
		uint64_t key = list->keys[i];
		struct agt_shard *shard = agt_shard_of(agt, key);
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

static void acknowledge(const struct agt_call *call,
			const struct viw_agent *agent, const Jj__FlowList *list)
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
	call->agt->desc.hooks.control(call->agt->desc.hooks.ctx, call->thread,
				      agent, &env);
}

static void note_part(const struct agt_call *call, struct agt_peer *peer,
		      const Jj__FlowList *list)
{
	if (!list->parts || list->part >= list->parts || list->part >= 64)
		return;
	if (peer->in_digest != list->digest) {
		peer->in_digest = list->digest;
		peer->in_parts = 0;
	}
	peer->in_parts |= 1ull << list->part;
	if (peer->in_parts == all_parts(list->parts))
		peer->in_complete = list->digest;
	check_settled(call);
}

static void on_list(const struct agt_call *call, const Jj__Envelope *env)
{
	const struct viw_agent *from = viw_agent(call->view, env->sender);
	struct agt *agt = call->agt;
	struct agt_peer *peer;

	/*
	 * Unknown, or an earlier or later life of the sender: there is a peer
	 * whose flows this agent cannot know. The list comes again until it is
	 * acknowledged, and the view is about to change.
	 */
	if (!from || from->incarnation != env->incarnation) {
		if (!from || from->incarnation < env->incarnation)
			agt->settled = 0;
		return;
	}
	store_keys(call, env);
	pthread_mutex_lock(&agt->peer_lock);
	peer = obtain_peer(agt, env->sender, env->incarnation);
	if (peer)
		note_part(call, peer, env->flow_list);
	pthread_mutex_unlock(&agt->peer_lock);
	acknowledge(call, from, env->flow_list);
}

static void on_list_ack(const struct agt_call *call, const Jj__Envelope *env)
{
	const Jj__FlowListAck *ack = env->flow_list_ack;
	struct agt *agt = call->agt;
	struct agt_peer *peer;
	size_t i;

	for (i = 0; i < ack->n_keys; i++) {
		struct agt_shard *shard = agt_shard_of(agt, ack->keys[i]);
		struct agt_flow *flow;

		pthread_mutex_lock(&shard->lock);
		flow = agt_find_flow(shard, ack->keys[i]);
		if (flow)
			flow->told = 1;
		pthread_mutex_unlock(&shard->lock);
	}
	if (ack->n_keys)
		return;
	pthread_mutex_lock(&agt->peer_lock);
	peer = agt_find_peer(agt, env->sender);
	if (peer && peer->incarnation == env->incarnation &&
	    peer->out_digest == ack->digest && ack->part < 64)
		peer->out_acked |= 1ull << ack->part;
	pthread_mutex_unlock(&agt->peer_lock);
}

/* -- dispatch and time --------------------------------------------------- */

static void on_list_request(const struct agt_call *call,
			    const Jj__Envelope *env)
{
	struct agt *agt = call->agt;
	struct agt_peer *peer;

	pthread_mutex_lock(&agt->peer_lock);
	peer = agt_find_peer(agt, env->sender);
	if (peer && peer->incarnation == env->incarnation)
		start_list(call, NULL, peer);
	pthread_mutex_unlock(&agt->peer_lock);
}

void agt_control(const struct agt_call *call, const Jj__Envelope *env)
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
		agt_note_load(call, env);
		return;
	default:
		return;
	}
}

/* Lists come unasked; after a while without them they are asked for. */
static void ask_for_lists(const struct agt_call *call)
{
	struct agt *agt = call->agt;

	pthread_mutex_lock(&agt->peer_lock);
	check_settled(call);
	if (agt->settled)
		agt->unsettled_since = call->now;
	else if (call->now > agt->unsettled_since + AGT_ASK_LISTS_US)
		agt_each_peer(call, request_list);
	pthread_mutex_unlock(&agt->peer_lock);
}

void agt_peers_tick(const struct agt_call *call)
{
	struct agt *agt = call->agt;

	send_lists(call);
	agt_report_load(call);
	if (call->now >= agt->next_tell) {
		agt->next_tell = call->now + AGT_RESEND_US;
		agt_compare_with_peers(call);
		ask_for_lists(call);
		tell_again(call);
	}
}
