#include "agent_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* -- start and finish ---------------------------------------------------- */

static uint32_t value_or_default(uint32_t value, uint32_t fallback)
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
	desc->max_flows = value_or_default(desc->max_flows, 2000);
	desc->deadline_ms = value_or_default(desc->deadline_ms, 30000);
	desc->flow_idle_s = value_or_default(desc->flow_idle_s, 150);
	desc->feed_idle_s = value_or_default(desc->feed_idle_s, 86400);
	desc->ledger_entries = value_or_default(desc->ledger_entries, 32768);
	if (desc->deadline_ms > 120000)
		return st_fail(err, JJ_INVALID,
			       "deadline_ms %u exceeds the maximum of 120000",
			       desc->deadline_ms);
	if (!*desc->service)
		return st_fail(err, JJ_INVALID, "agent has no service name");
	if (!desc->met)
		return st_fail(err, JJ_INVALID, "agent has no metrics");
	return JJ_OK;
}

static int init_shard(struct agt_shard *shard, const struct agt *agt)
{
	uint32_t flow_cells = map_cells_for(agt->flow_capacity);
	uint32_t exception_cells = map_cells_for(agt->exception_capacity);
	uint32_t pending_cells = map_cells_for(agt->pending_capacity);
	uint32_t entries = agt->desc.ledger_entries / AGT_SHARDS + 1;
	uint32_t i;

	pthread_mutex_init(&shard->lock, NULL);
	shard->flows = calloc(agt->flow_capacity, sizeof(*shard->flows));
	shard->last_answers =
		calloc(agt->flow_capacity, sizeof(*shard->last_answers));
	shard->flow_cells = calloc(flow_cells, sizeof(struct map_cell));
	shard->exceptions =
		calloc(agt->exception_capacity, sizeof(*shard->exceptions));
	shard->exception_cells =
		calloc(exception_cells, sizeof(struct map_cell));
	shard->pending = calloc(agt->pending_capacity, sizeof(*shard->pending));
	shard->pending_cells = calloc(pending_cells, sizeof(struct map_cell));
	if (!shard->flows || !shard->last_answers || !shard->flow_cells ||
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
			i + 1 < agt->flow_capacity ? i + 1 : AGT_NO_INDEX;
	for (i = 0; i < agt->exception_capacity; i++)
		shard->exceptions[i].next_free =
			i + 1 < agt->exception_capacity ? i + 1 : AGT_NO_INDEX;
	for (i = 0; i < agt->pending_capacity; i++)
		shard->pending[i].next_free =
			i + 1 < agt->pending_capacity ? i + 1 : AGT_NO_INDEX;
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
	agt->echo_keys[0].incarnation = desc->incarnation;
	memcpy(agt->echo_keys[0].key, desc->echo_key, sizeof(desc->echo_key));
	agt->echo_key_count = 1;
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
		free(shard->last_answers);
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

uint32_t agt_open_requests(struct agt *agt)
{
	struct adm_state state = adm_state(&agt->adm);

	return state.in_flight + state.queued;
}

int agt_settled(const struct agt *agt)
{
	return agt->settled;
}

/* -- flows --------------------------------------------------------------- */

/*
 * A flow handle holds generation, shard and position. The generation makes
 * handles of an earlier use of the same entry invalid.
 */
#define HANDLE_SHARD_BITS 3
#define HANDLE_INDEX_BITS 17
#define HANDLE_GENERATIONS \
	((1u << (32 - HANDLE_SHARD_BITS - HANDLE_INDEX_BITS)) - 1)

struct agt_shard *agt_shard_by_key(struct agt *agt, uint64_t key)
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

struct agt_shard *agt_shard_by_handle(struct agt *agt, uint32_t handle)
{
	return &agt->shards[handle >> HANDLE_INDEX_BITS & (AGT_SHARDS - 1)];
}

struct agt_flow *agt_flow_by_handle(const struct agt *agt,
				    struct agt_shard *shard, uint32_t handle)
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

static void update_reply_path(struct agt_flow *flow, const struct agt_rx *rx)
{
	flow->last_active = rx->call->now;
	flow->via_id = rx->packet->via_id;
	flow->via_ip = rx->packet->via_ip;
	flow->via_port = (uint16_t)rx->packet->via_port;
}

/* Adds a flow and opens its socket; null: no space, or no socket. */
struct agt_flow *agt_alloc_flow(struct agt *agt, struct agt_shard *shard,
				uint64_t key, uint16_t local_port)
{
	uint32_t at = shard->flow_free;
	struct agt_flow *flow;
	uint32_t next_free;
	uint16_t generation;

	if (at == AGT_NO_INDEX || agt->flow_count >= agt->max_flows)
		return NULL;
	flow = &shard->flows[at];
	next_free = flow->next_free;
	generation = (uint16_t)((flow->generation + 1) & HANDLE_GENERATIONS);
	*flow = (struct agt_flow){ .key = key, .generation = generation };
	shard->last_answers[at].len = 0;
	if (agt->desc.hooks.open_socket(agt->desc.hooks.ctx,
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

/* Guest flows stay on the exception list, since another agent holds them. */
void agt_become_holder(const struct agt_call *call, struct agt_shard *shard,
		       struct agt_flow *flow)
{
	flow->guest = 0;
	agt_drop_exception(shard, flow->key);
	agt_notify_first_ranked(call, flow, 0);
}

struct agt_flow *agt_open_flow(const struct agt_rx *rx, int guest)
{
	struct agt_flow *flow =
		agt_alloc_flow(rx->call->agt, rx->shard, rx->packet->flow, 0);

	if (!flow)
		return NULL;
	flow->caller_ip = rx->packet->caller_ip;
	flow->caller_port = (uint16_t)rx->packet->caller_port;
	flow->guest = (uint8_t)guest;
	update_reply_path(flow, rx);
	if (!guest)
		agt_become_holder(rx->call, rx->shard, flow);
	return flow;
}

void agt_close_flow(const struct agt_call *call, struct agt_shard *shard,
		    struct agt_flow *flow)
{
	struct agt *agt = call->agt;

	if (!flow->guest)
		agt_notify_first_ranked(call, flow, 1);
	agt->desc.hooks.close_socket(agt->desc.hooks.ctx,
				     agt_flow_handle(agt, shard, flow));
	map_del(&shard->flow_index, flow->key);
	flow->key = 0;
	flow->next_free = shard->flow_free;
	shard->flow_free = (uint32_t)(flow - shard->flows);
	agt->flow_count--;
	met_add(agt->desc.met, MET_FLOWS_CLOSED, 1);
}

/* -- packets of flows that are not held here ----------------------------- */

void agt_forward(const struct agt_rx *rx, const struct viw_agent *to,
		 enum agt_mode mode)
{
	struct agt *agt = rx->call->agt;
	Jj__Packet packet = *rx->packet;

	packet.hops++;
	packet.mode = mode;
	packet.to_agent = to->id;
	packet.to_incarnation = to->incarnation;
	met_add(agt->desc.met, MET_PASSED_ON, 1);
	agt->desc.hooks.send_to_agent(agt->desc.hooks.ctx, rx->call->thread, to,
				      &packet);
}

/*
 * Only the agent that issued the Echo value may run the request, and only it
 * knows whether it has the ledger of the incarnation that the value names.
 */
static void forward_by_echo(const struct agt_rx *rx, uint64_t agent,
			    uint32_t age_s, enum agt_mode mode)
{
	const struct viw_agent *to = viw_agent(rx->call->view, agent);

	if (to && to->out)
		agt_answer_outcome_unknown(rx);
	else if (to && rx->packet->hops < AGT_HOPS_MAX)
		agt_forward(rx, to, mode);
	else if (age_s >= AGT_MEMBER_SPREAD_S)
		agt_answer_outcome_unknown(rx);
	/* Else the agent may be too new for this view: the caller retries. */
}

/* Next agent of the service that may hold flows; null: search is complete. */
static const struct viw_agent *next_search_agent(const struct agt_rx *rx,
						 uint64_t origin)
{
	const struct viw *view = rx->call->view;
	uint32_t count = rx->service->count;
	uint32_t at = (uint32_t)(rx->self - view->agents);
	uint32_t i;

	for (i = 1; i < count; i++) {
		const struct viw_agent *next;

		at = at + 1 < rx->service->first + count ? at + 1 :
							   rx->service->first;
		next = &view->agents[at];
		if (next->id == origin)
			return NULL;
		if (next->can_hold)
			return next;
	}
	return NULL;
}

static void serve_request_here(const struct agt_rx *rx)
{
	if (rx->msg.kind == CX_REQUEST)
		agt_serve_request(rx, 0);
}

/*
 * A search visits every agent of the service that may hold flows, in the
 * view's order, until one holds the flow. If none does, it returns to the
 * agent that started it, which opens the flow. The packet carries this origin,
 * since agents may have different views and no other may open the flow.
 */
static void continue_search(const struct agt_rx *rx, uint64_t origin)
{
	const struct viw_agent *next = next_search_agent(rx, origin);
	struct agt_rx search = *rx;
	Jj__Packet packet = *rx->packet;

	packet.origin = origin;
	search.packet = &packet;
	if (next && packet.hops < AGT_HOPS_MAX) {
		agt_forward(&search, next, AGT_SEARCH);
		return;
	}
	if (rx->self->id == origin) {
		serve_request_here(rx);
		return;
	}
	next = viw_agent(rx->call->view, origin);
	if (next)
		agt_forward(&search, next, AGT_OPEN);
}

static void open_or_search(const struct agt_rx *rx)
{
	if (!rx->call->agt->settled) {
		continue_search(rx, rx->self->id);
		return;
	}
	if (!agt_start_placement(rx))
		agt_serve_request(rx, 0);
}

/* Routes the packet by rules 2 to 5 at the head of agent.h. */
static void on_flow_not_held(const struct agt_rx *rx)
{
	struct agt *agt = rx->call->agt;
	const struct viw_agent *holder = agt_exception_holder(rx);
	const struct viw_agent *first;

	if (holder) {
		met_add(agt->desc.met, MET_HOLDER_HITS, 1);
		agt_forward(rx, holder, AGT_NORMAL);
		return;
	}
	if (rx->packet->mode == AGT_SEARCH) {
		continue_search(rx, rx->packet->origin);
		return;
	}
	if (rx->packet->mode == AGT_PLACE) {
		if (!agt_continue_placement(rx))
			serve_request_here(rx);
		return;
	}
	first = viw_first_ranked(rx->call->view, rx->service, rx->packet->flow);
	if (rx->packet->mode == AGT_OPEN || !first ||
	    rx->packet->hops >= AGT_HOPS_MAX) {
		serve_request_here(rx);
		return;
	}
	if (first != rx->self) {
		agt_forward(rx, first, AGT_NORMAL);
		return;
	}
	if (rx->msg.kind == CX_REQUEST)
		open_or_search(rx);
	else if (!agt->settled)
		continue_search(rx, rx->self->id);
}

/* -- packets ------------------------------------------------------------- */

static int is_taken_out(const struct agt_rx *rx)
{
	return rx->self->out || rx->call->view->self_out;
}

/*
 * A draining target keeps its flows but gets no new unsafe requests: the first
 * rank of the flow serves them as a guest. Returns 1: the packet was forwarded.
 */
static int forward_unsafe_request(const struct agt_rx *rx)
{
	const struct viw_agent *first;

	if (!rx->msg.unsafe || rx->packet->mode == AGT_GUEST)
		return 0;
	if (!rx->self->draining && !rx->call->agt->stopping)
		return 0;
	first = viw_first_ranked(rx->call->view, rx->service, rx->packet->flow);
	if (!first || first == rx->self)
		return 0;
	agt_forward(rx, first, AGT_GUEST);
	return 1;
}

static int serve_as_guest(const struct agt_rx *rx, const struct agt_flow *flow)
{
	return flow ? flow->guest : rx->packet->mode == AGT_GUEST;
}

/*
 * Handles an unsafe request whose Echo value is valid here, is of an
 * incarnation that was not handed over, or names another agent; returns 1.
 * Returns 0 for all other requests.
 */
static int route_by_echo(const struct agt_rx *rx, struct agt_flow *flow)
{
	int held = flow && !flow->guest;
	uint64_t agent;
	uint32_t age_s;

	if (!rx->msg.unsafe)
		return 0;
	switch (agt_read_echo(rx, &agent, &age_s)) {
	case AGT_ECHO_OTHER:
		forward_by_echo(rx, agent, age_s,
				held ? AGT_GUEST : AGT_NORMAL);
		return 1;
	case AGT_ECHO_KEY_LOST:
		agt_answer_outcome_unknown(rx);
		return 1;
	case AGT_ECHO_OWN:
		agt_serve_request(rx, serve_as_guest(rx, flow));
		return 1;
	case AGT_ECHO_NONE:
		break;
	}
	return 0;
}

static void on_caller_request(const struct agt_rx *rx, struct agt_flow *flow)
{
	if (route_by_echo(rx, flow))
		return;
	if (rx->packet->mode == AGT_GUEST)
		agt_serve_request(rx, 1);
	else if (!flow || flow->guest)
		on_flow_not_held(rx);
	else if (!forward_unsafe_request(rx))
		agt_serve_request(rx, 0);
}

static void on_packet(struct agt_rx *rx)
{
	struct agt_flow *flow = agt_find_flow(rx->shard, rx->packet->flow);

	rx->flow = flow;
	if (flow)
		update_reply_path(flow, rx);
	if (rx->msg.kind == CX_REQUEST)
		on_caller_request(rx, flow);
	else if (!flow)
		on_flow_not_held(rx);
	else if (rx->msg.kind == CX_EMPTY)
		agt_on_empty_message(rx, flow);
}

void agt_on_packet(const struct agt_call *call, const Jj__Packet *packet)
{
	struct agt *agt = call->agt;
	struct agt_rx rx = { .call = call, .packet = packet };

	if (packet->service != agt->service) {
		met_add(agt->desc.met, MET_WRONG_SERVICE, 1);
		log_put(agt->desc.log, EV_WRONG_SERVICE, "flow=%016llx",
			(unsigned long long)packet->flow);
		return;
	}
	rx.self = viw_agent(call->view, agt->desc.id);
	rx.service = viw_service(call->view, agt->service);
	if (!rx.self || !rx.service) {
		met_add(agt->desc.met, MET_NO_TARGET, 1);
		return;
	}
	if (is_taken_out(&rx)) {
		met_add(agt->desc.met, MET_OUT_DROPPED, 1);
		return;
	}
	if (cx_parse(packet->data.data, packet->data.len, &rx.msg) != JJ_OK) {
		met_add(agt->desc.met, MET_BAD_FRAME, 1);
		return;
	}
	rx.shard = agt_shard_by_key(agt, packet->flow);
	pthread_mutex_lock(&rx.shard->lock);
	on_packet(&rx);
	pthread_mutex_unlock(&rx.shard->lock);
}

/* -- data centre or target taken out ------------------------------------- */

/*
 * Ends the observations of a target that was taken out. Their callers are
 * notified, so that they register with another target at once. Requests in
 * progress are still answered.
 */
static void end_all_observations(const struct agt_call *call)
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
			agt_end_observations(call, flow);
			if (!flow->open_requests)
				agt_close_flow(call, shard, flow);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

static void check_taken_out(const struct agt_call *call)
{
	const struct viw_agent *self =
		viw_agent(call->view, call->agt->desc.id);
	int out = call->view->self_out || (self && self->out);

	if (out && (!call->agt->was_taken_out || call->agt->flow_count))
		end_all_observations(call);
	call->agt->was_taken_out = out;
}

/* -- timers -------------------------------------------------------------- */

static void expire_flows(const struct agt_call *call, struct agt_shard *shard)
{
	struct agt *agt = call->agt;
	uint32_t i;

	for (i = 0; i < agt->flow_capacity; i++) {
		struct agt_flow *flow = &shard->flows[i];
		uint64_t idle_s = flow->observed ? agt->desc.feed_idle_s :
						   agt->desc.flow_idle_s;

		if (flow->key && !flow->open_requests &&
		    call->now > flow->last_active &&
		    call->now - flow->last_active > idle_s * 1000000)
			agt_close_flow(call, shard, flow);
	}
}

void agt_tick(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	int i;

	if (call->now >= agt->next_expire) {
		agt->next_expire = call->now + AGT_TICK_US;
		for (i = 0; i < AGT_SHARDS; i++) {
			struct agt_shard *shard = &agt->shards[i];

			pthread_mutex_lock(&shard->lock);
			agt_expire_requests(call, shard);
			expire_flows(call, shard);
			ldg_expire(&shard->ledger, call->now / 1000);
			pthread_mutex_unlock(&shard->lock);
		}
	}
	check_taken_out(call);
	agt_peers_tick(call);
	agt_start_queued(call);
}
