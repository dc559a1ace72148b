#include "agent_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* -- start and finish ---------------------------------------------------- */

static uint32_t or_default(uint32_t value, uint32_t fallback)
{
	return value ? value : fallback;
}

enum jj_status agt_resolve(struct agt_desc *desc, struct jj_error *err)
{
	struct adm_limits limits = { desc->slots, desc->cold_slots,
				     desc->queue };
	enum jj_status status = adm_resolve(&limits, err);

	if (status != JJ_OK)
		return status;
	desc->slots = limits.slots;
	desc->cold_slots = limits.cold_slots;
	desc->max_flows = or_default(desc->max_flows, 2000);
	desc->deadline_ms = or_default(desc->deadline_ms, 30000);
	desc->flow_idle_s = or_default(desc->flow_idle_s, 150);
	desc->feed_idle_s = or_default(desc->feed_idle_s, 86400);
	desc->ledger = or_default(desc->ledger, 32768);
	if (desc->deadline_ms > 120000)
		return st_fail(err, JJ_INVALID, "deadline_ms %u is over 120000",
			       desc->deadline_ms);
	if (!*desc->service)
		return st_fail(err, JJ_INVALID, "agent without a service");
	if (!desc->met)
		return st_fail(err, JJ_INVALID, "agent without counters");
	return JJ_OK;
}

static int init_shard(struct agt_shard *shard, const struct agt *agt)
{
	uint32_t flow_cells = map_cells_for(agt->flow_capacity);
	uint32_t exception_cells = map_cells_for(agt->exception_capacity);
	uint32_t pending_cells = map_cells_for(agt->pending_capacity);
	uint32_t entries = agt->desc.ledger / AGT_SHARDS + 1;
	uint32_t i;

	pthread_mutex_init(&shard->lock, NULL);
	shard->flows = calloc(agt->flow_capacity, sizeof(*shard->flows));
	shard->last = calloc(agt->flow_capacity, sizeof(*shard->last));
	shard->flow_cells = calloc(flow_cells, sizeof(struct map_cell));
	shard->exceptions =
		calloc(agt->exception_capacity, sizeof(*shard->exceptions));
	shard->exception_cells =
		calloc(exception_cells, sizeof(struct map_cell));
	shard->pending = calloc(agt->pending_capacity, sizeof(*shard->pending));
	shard->pending_cells = calloc(pending_cells, sizeof(struct map_cell));
	if (!shard->flows || !shard->last || !shard->flow_cells ||
	    !shard->exceptions || !shard->exception_cells || !shard->pending ||
	    !shard->pending_cells ||
	    ldg_init(&shard->ledger, entries, (uint64_t)entries * 128 + 65536))
		return 0;
	map_init(&shard->flow_index, shard->flow_cells, flow_cells);
	map_init(&shard->exception_index, shard->exception_cells,
		 exception_cells);
	map_init(&shard->pending_index, shard->pending_cells, pending_cells);
	for (i = 0; i < agt->flow_capacity; i++)
		shard->flows[i].next_free =
			i + 1 < agt->flow_capacity ? i + 1 : AGT_NONE;
	for (i = 0; i < agt->exception_capacity; i++)
		shard->exceptions[i].next_free =
			i + 1 < agt->exception_capacity ? i + 1 : AGT_NONE;
	for (i = 0; i < agt->pending_capacity; i++)
		shard->pending[i].next_free =
			i + 1 < agt->pending_capacity ? i + 1 : AGT_NONE;
	return 1;
}

enum jj_status agt_init(struct agt *agt, const struct agt_desc *desc)
{
	struct adm_limits limits = { desc->slots, desc->cold_slots,
				     desc->queue };
	int i;

	memset(agt, 0, sizeof(*agt));
	agt->desc = *desc;
	agt->service = rnk_name_id(desc->service);
	agt->echoes[0].incarnation = desc->incarnation;
	memcpy(agt->echoes[0].key, desc->echo_key, sizeof(desc->echo_key));
	agt->echo_count = 1;
	agt->max_flows = desc->max_flows;
	agt->flow_capacity = desc->max_flows;
	agt->exception_capacity = desc->max_flows;
	agt->pending_capacity = desc->slots + desc->queue + 16;
	pthread_mutex_init(&agt->peer_lock, NULL);
	adm_init(&agt->adm, &limits);
	for (i = 0; i < AGT_SHARDS; i++) {
		if (!init_shard(&agt->shards[i], agt)) {
			agt_finish(agt);
			return JJ_SYSTEM;
		}
	}
	return JJ_OK;
}

void agt_finish(struct agt *agt)
{
	int i;

	for (i = 0; i < AGT_SHARDS; i++) {
		struct agt_shard *shard = &agt->shards[i];

		free(shard->flows);
		free(shard->last);
		free(shard->flow_cells);
		free(shard->exceptions);
		free(shard->exception_cells);
		free(shard->pending);
		free(shard->pending_cells);
		ldg_finish(&shard->ledger);
		pthread_mutex_destroy(&shard->lock);
	}
	adm_finish(&agt->adm);
	pthread_mutex_destroy(&agt->peer_lock);
}

void agt_stop(struct agt *agt)
{
	agt->stopping = 1;
}

uint32_t agt_busy(struct agt *agt)
{
	struct adm_state state = adm_state(&agt->adm);

	return state.in_flight + state.queued;
}

int agt_settled(const struct agt *agt)
{
	return agt->settled;
}

/* -- flows --------------------------------------------------------------- */

/* Handle: generation, shard, position. A reused cell has another one. */
#define HANDLE_SHARD_BITS 3
#define HANDLE_INDEX_BITS 17
#define HANDLE_GENERATIONS \
	((1u << (32 - HANDLE_SHARD_BITS - HANDLE_INDEX_BITS)) - 1)

struct agt_shard *agt_shard_of(struct agt *agt, uint64_t key)
{
	return &agt->shards[(key >> 40) % AGT_SHARDS];
}

uint32_t agt_flow_handle(const struct agt *agt, const struct agt_shard *shard,
			 const struct agt_flow *flow)
{
	uint32_t index = (uint32_t)(flow - shard->flows);
	uint32_t at = (uint32_t)(shard - agt->shards);

	return (uint32_t)flow->generation
		       << (HANDLE_SHARD_BITS + HANDLE_INDEX_BITS) |
	       at << HANDLE_INDEX_BITS | index;
}

uint32_t agt_flow_slot(const struct agt *agt, uint32_t handle)
{
	uint32_t index = handle & ((1u << HANDLE_INDEX_BITS) - 1);
	uint32_t at = handle >> HANDLE_INDEX_BITS & (AGT_SHARDS - 1);

	return at * agt->flow_capacity + index % agt->flow_capacity;
}

struct agt_shard *agt_handle_shard(struct agt *agt, uint32_t handle)
{
	return &agt->shards[handle >> HANDLE_INDEX_BITS & (AGT_SHARDS - 1)];
}

struct agt_flow *agt_handle_flow(const struct agt *agt, struct agt_shard *shard,
				 uint32_t handle)
{
	uint32_t index = handle & ((1u << HANDLE_INDEX_BITS) - 1);
	struct agt_flow *flow;

	if (index >= agt->flow_capacity)
		return NULL;
	flow = &shard->flows[index];
	if (!flow->key || agt_flow_handle(agt, shard, flow) != handle)
		return NULL;
	return flow;
}

struct agt_flow *agt_find_flow(struct agt_shard *shard, uint64_t key)
{
	uint32_t at = map_get(&shard->flow_index, key);

	return at == MAP_NONE ? NULL : &shard->flows[at];
}

static void note_path(struct agt_flow *flow, const struct agt_work *work)
{
	flow->seen = work->call->now;
	flow->via_id = work->packet->via_id;
	flow->via_ip = work->packet->via_ip;
	flow->via_port = (uint16_t)work->packet->via_port;
}

/* A fresh flow with its socket, entered under key; null: no room. */
struct agt_flow *agt_take_flow(struct agt *agt, struct agt_shard *shard,
			       uint64_t key, uint16_t local_port)
{
	uint32_t at = shard->flow_free;
	struct agt_flow *flow;
	uint32_t next_free;
	uint16_t generation;

	if (at == AGT_NONE || agt->flow_count >= agt->max_flows)
		return NULL;
	flow = &shard->flows[at];
	next_free = flow->next_free;
	generation = (uint16_t)((flow->generation + 1) & HANDLE_GENERATIONS);
	*flow = (struct agt_flow){ .key = key, .generation = generation };
	shard->last[at].len = 0;
	if (agt->desc.hooks.open(agt->desc.hooks.ctx,
				 agt_flow_handle(agt, shard, flow),
				 local_port) ||
	    map_put(&shard->flow_index, key, at) != JJ_OK) {
		flow->key = 0;
		flow->next_free = next_free;
		return NULL;
	}
	shard->flow_free = next_free;
	agt->flow_count++;
	met_add(agt->desc.met, MET_FLOWS_OPENED, 1);
	return flow;
}

/* A guest's flow stays on the exception list: its holder is elsewhere. */
void agt_become_holder(const struct agt_call *call, struct agt_shard *shard,
		       struct agt_flow *flow)
{
	flow->guest = 0;
	agt_drop_exception(shard, flow->key);
	agt_tell_first(call, flow, 0);
}

struct agt_flow *agt_open_flow(const struct agt_work *work, int guest)
{
	struct agt_flow *flow = agt_take_flow(work->call->agt, work->shard,
					      work->packet->flow, 0);

	if (!flow)
		return NULL;
	flow->caller_ip = work->packet->caller_ip;
	flow->caller_port = (uint16_t)work->packet->caller_port;
	flow->guest = (uint8_t)guest;
	note_path(flow, work);
	if (!guest)
		agt_become_holder(work->call, work->shard, flow);
	return flow;
}

void agt_close_flow(const struct agt_call *call, struct agt_shard *shard,
		    struct agt_flow *flow)
{
	struct agt *agt = call->agt;

	if (!flow->guest)
		agt_tell_first(call, flow, 1);
	agt->desc.hooks.close(agt->desc.hooks.ctx,
			      agt_flow_handle(agt, shard, flow));
	map_del(&shard->flow_index, flow->key);
	flow->key = 0;
	flow->next_free = shard->flow_free;
	shard->flow_free = (uint32_t)(flow - shard->flows);
	agt->flow_count--;
	met_add(agt->desc.met, MET_FLOWS_CLOSED, 1);
}

/* -- packets of flows that are not held here ----------------------------- */

void agt_forward(const struct agt_work *work, const struct viw_agent *to,
		 enum agt_mode mode)
{
	struct agt *agt = work->call->agt;
	Jj__Packet packet = *work->packet;

	packet.hops++;
	packet.mode = mode;
	packet.to_agent = to->id;
	packet.to_incarnation = to->incarnation;
	met_add(agt->desc.met, MET_PASSED_ON, 1);
	agt->desc.hooks.to_agent(agt->desc.hooks.ctx, work->call->thread, to,
				 &packet);
}

/*
 * Whoever gave the Echo decides; nobody else may run the request. The agent
 * itself knows whether it still has the ledger of the incarnation named.
 */
static void forward_bound(const struct agt_work *work, uint64_t agent,
			  uint32_t age_s, enum agt_mode mode)
{
	const struct viw_agent *to = viw_agent(work->call->view, agent);

	if (to && to->out)
		agt_say_unknown(work);
	else if (to && work->packet->hops < AGT_HOPS_MAX)
		agt_forward(work, to, mode);
	else if (age_s >= AGT_ECHO_NEW_S)
		agt_say_unknown(work);
	/* Else not heard of yet: the caller will repeat it. */
}

/* The next agent that may hold flows, in a circle that ends before origin. */
static const struct viw_agent *next_holder(const struct agt_work *work,
					   uint64_t origin)
{
	const struct viw *view = work->call->view;
	uint32_t count = work->service->count;
	uint32_t at = (uint32_t)(work->me - view->agents);
	uint32_t i;

	for (i = 1; i < count; i++) {
		const struct viw_agent *next;

		at = at + 1 < work->service->first + count ?
			     at + 1 :
			     work->service->first;
		next = &view->agents[at];
		if (next->id == origin)
			return NULL;
		if (next->can_hold)
			return next;
	}
	return NULL;
}

static void serve_here(const struct agt_work *work)
{
	if (work->msg.kind == CX_REQUEST)
		agt_serve(work, 0);
}

/*
 * A search passes every agent of the service that may hold flows and comes
 * back to the agent that began it, which then opens the flow. Whoever holds
 * it takes it out of the search. Views may differ on the way, so the packet
 * names its origin: nobody else opens the flow.
 */
static void pass_search_on(const struct agt_work *work, uint64_t origin)
{
	const struct viw_agent *next = next_holder(work, origin);
	struct agt_work search = *work;
	Jj__Packet packet = *work->packet;

	packet.origin = origin;
	search.packet = &packet;
	if (next && packet.hops < AGT_HOPS_MAX) {
		agt_forward(&search, next, AGT_SEARCH);
		return;
	}
	if (work->me->id == origin) {
		serve_here(work);
		return;
	}
	next = viw_agent(work->call->view, origin);
	if (next)
		agt_forward(&search, next, AGT_OPEN);
}

static void open_as_first(const struct agt_work *work)
{
	if (!work->call->agt->settled) {
		pass_search_on(work, work->me->id);
		return;
	}
	if (!agt_start_walk(work))
		agt_serve(work, 0);
}

static void on_unheld(const struct agt_work *work)
{
	struct agt *agt = work->call->agt;
	const struct viw_agent *holder = agt_exception(work);
	const struct viw_agent *first;

	if (holder) {
		met_add(agt->desc.met, MET_EXCEPTION_HITS, 1);
		agt_forward(work, holder, AGT_NORMAL);
		return;
	}
	if (work->packet->mode == AGT_SEARCH) {
		pass_search_on(work, work->packet->origin);
		return;
	}
	if (work->packet->mode == AGT_PLACE) {
		if (!agt_on_walk(work))
			serve_here(work);
		return;
	}
	first = viw_first_ranked(work->call->view, work->service,
				 work->packet->flow);
	if (work->packet->mode == AGT_OPEN || !first ||
	    work->packet->hops >= AGT_HOPS_MAX) {
		serve_here(work);
		return;
	}
	if (first != work->me) {
		agt_forward(work, first, AGT_NORMAL);
		return;
	}
	if (work->msg.kind == CX_REQUEST)
		open_as_first(work);
	else if (!agt->settled)
		pass_search_on(work, work->me->id);
}

/* -- packets ------------------------------------------------------------- */

static int must_not_deliver(const struct agt_work *work)
{
	return work->me->out || work->call->view->self_out;
}

/* A leaving target's flows go on; new unsafe requests go elsewhere. */
static int hand_to_other(const struct agt_work *work)
{
	const struct viw_agent *first;

	if (!work->msg.unsafe || work->packet->mode == AGT_GUEST)
		return 0;
	if (!work->me->draining && !work->call->agt->stopping)
		return 0;
	first = viw_first_ranked(work->call->view, work->service,
				 work->packet->flow);
	if (!first || first == work->me)
		return 0;
	agt_forward(work, first, AGT_GUEST);
	return 1;
}

static int serve_as_guest(const struct agt_work *work,
			  const struct agt_flow *flow)
{
	return flow ? flow->guest : work->packet->mode == AGT_GUEST;
}

/* Whether the Echo settles who serves the request. */
static int follow_echo(const struct agt_work *work, struct agt_flow *flow)
{
	int held = flow && !flow->guest;
	uint64_t agent;
	uint32_t age_s;

	if (!work->msg.unsafe)
		return 0;
	switch (agt_read_echo(work, &agent, &age_s)) {
	case AGT_ECHO_OTHER:
		forward_bound(work, agent, age_s,
			      held ? AGT_GUEST : AGT_NORMAL);
		return 1;
	case AGT_ECHO_LOST:
		agt_say_unknown(work);
		return 1;
	case AGT_ECHO_MINE:
		agt_serve(work, serve_as_guest(work, flow));
		return 1;
	case AGT_ECHO_NONE:
		break;
	}
	return 0;
}

static void on_request_of(const struct agt_work *work, struct agt_flow *flow)
{
	if (follow_echo(work, flow))
		return;
	if (work->packet->mode == AGT_GUEST)
		agt_serve(work, 1);
	else if (!flow || flow->guest)
		on_unheld(work);
	else if (!hand_to_other(work))
		agt_serve(work, 0);
}

static void on_packet(struct agt_work *work)
{
	struct agt_flow *flow = agt_find_flow(work->shard, work->packet->flow);

	work->flow = flow;
	if (flow)
		note_path(flow, work);
	if (work->msg.kind == CX_REQUEST)
		on_request_of(work, flow);
	else if (!flow)
		on_unheld(work);
	else if (work->msg.kind == CX_EMPTY)
		agt_on_empty(work, flow);
}

void agt_packet(const struct agt_call *call, const Jj__Packet *packet)
{
	struct agt *agt = call->agt;
	struct agt_work work = { .call = call, .packet = packet };

	if (packet->service != agt->service) {
		met_add(agt->desc.met, MET_WRONG_SERVICE, 1);
		log_put(agt->desc.log, EV_WRONG_SERVICE, "flow=%016llx",
			(unsigned long long)packet->flow);
		return;
	}
	work.me = viw_agent(call->view, agt->desc.id);
	work.service = viw_service(call->view, agt->service);
	if (!work.me || !work.service) {
		met_add(agt->desc.met, MET_NO_TARGET, 1);
		return;
	}
	if (must_not_deliver(&work)) {
		met_add(agt->desc.met, MET_OUT_DROPPED, 1);
		return;
	}
	if (cx_parse(packet->data.data, packet->data.len, &work.msg) != JJ_OK) {
		met_add(agt->desc.met, MET_BAD_FRAME, 1);
		return;
	}
	work.shard = agt_shard_of(agt, packet->flow);
	pthread_mutex_lock(&work.shard->lock);
	on_packet(&work);
	pthread_mutex_unlock(&work.shard->lock);
}

/* -- data centre or target taken out ------------------------------------- */

/*
 * Feeds of a target that was taken out are given up; their callers are told,
 * so that they ask elsewhere at once. Requests in progress are answered.
 */
static void give_up_feeds(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	uint32_t i;
	int at;

	for (at = 0; at < AGT_SHARDS; at++) {
		struct agt_shard *shard = &agt->shards[at];

		pthread_mutex_lock(&shard->lock);
		for (i = 0; i < agt->flow_capacity; i++) {
			struct agt_flow *flow = &shard->flows[i];

			if (!flow->key)
				continue;
			agt_end_feeds(call, flow);
			if (!flow->busy)
				agt_close_flow(call, shard, flow);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

static void follow_out(const struct agt_call *call)
{
	const struct viw_agent *me = viw_agent(call->view, call->agt->desc.id);
	int out = call->view->self_out || (me && me->out);

	if (out && (!call->agt->was_out || call->agt->flow_count))
		give_up_feeds(call);
	call->agt->was_out = out;
}

/* -- time ---------------------------------------------------------------- */

static void expire_flows(const struct agt_call *call, struct agt_shard *shard)
{
	struct agt *agt = call->agt;
	uint32_t i;

	for (i = 0; i < agt->flow_capacity; i++) {
		struct agt_flow *flow = &shard->flows[i];
		uint64_t idle_s = flow->feed ? agt->desc.feed_idle_s :
					       agt->desc.flow_idle_s;

		if (flow->key && !flow->busy && call->now > flow->seen &&
		    call->now - flow->seen > idle_s * 1000000)
			agt_close_flow(call, shard, flow);
	}
}

void agt_tick(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	int i;

	if (call->now >= agt->next_expire) {
		agt->next_expire = call->now + AGT_EXPIRE_US;
		for (i = 0; i < AGT_SHARDS; i++) {
			struct agt_shard *shard = &agt->shards[i];

			pthread_mutex_lock(&shard->lock);
			agt_expire_requests(call, shard);
			expire_flows(call, shard);
			ldg_expire(&shard->ledger, call->now / 1000);
			pthread_mutex_unlock(&shard->lock);
		}
	}
	follow_out(call);
	agt_peers_tick(call);
	agt_start_waiting(call);
}
