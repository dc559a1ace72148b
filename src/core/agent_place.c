/*
 * Load reports and the placement of new flows by load
 *
 * The first rank of a flow opens it itself unless its load is at its cap, or
 * above the mean of the service by the load reports that it has. Otherwise it
 * forwards the packet to the agent with the lowest reported load. Each agent
 * visited compares its current load with the lowest so far and forwards the
 * packet to another one drawn at random. After AGT_PLACEMENT_VISITS agents, or
 * at an idle one, the agent with the lowest load opens the flow. The packet
 * carries all state of the placement, so that no agent has to keep any or to
 * wait.
 */
#include "agent_internal.h"

#include <stdlib.h>
#include <string.h>

#define LOAD_RATIO_SCALE 1000 /* load ratios are thousandths of the cap */
#define LOAD_RATIO_NONE UINT32_MAX /* the agent can take no flow */

/* -- loads of the peers -------------------------------------------------- */

void agt_on_load_report(const struct agt_call *call, const Jj__Envelope *env)
{
	struct agt *agt = call->agt;
	struct agt_peer *peer;

	pthread_mutex_lock(&agt->peer_lock);
	peer = agt_find_peer(agt, env->sender);
	if (peer && peer->incarnation == env->incarnation) {
		peer->load = env->load->in_flight + env->load->queued;
		peer->load_cap = env->load->cap;
		peer->median_us = env->load->median_us;
		peer->load_received = call->now;
	}
	pthread_mutex_unlock(&agt->peer_lock);
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/* Passes the median of the warm peers' median times to admission control. */
void agt_update_peer_median(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	uint32_t medians[AGT_PEERS_MAX];
	uint32_t count = 0;
	int i;

	pthread_mutex_lock(&agt->peer_lock);
	for (i = 0; i < AGT_PEERS_MAX; i++) {
		const struct agt_peer *peer = &agt->peers[i];

		if (peer->used && peer->median_us)
			medians[count++] = peer->median_us;
	}
	pthread_mutex_unlock(&agt->peer_lock);
	qsort(medians, count, sizeof(*medians), compare_u32);
	adm_set_peer_median(&agt->adm, count ? medians[count / 2] : 0);
}

static void send_load(const struct agt_call *call,
		      const struct viw_agent *agent, struct agt_peer *peer)
{
	struct adm_state state = adm_state(&call->agt->adm);
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Load load = JJ__LOAD__INIT;

	(void)peer;
	load.in_flight = state.in_flight;
	load.queued = state.queued;
	load.cap = state.cap;
	load.median_us = state.warm ? state.median_us : 0;
	load.flows = call->agt->flow_count;
	env.body_case = JJ__ENVELOPE__BODY_LOAD;
	env.load = &load;
	call->agt->desc.hooks.send_control(call->agt->desc.hooks.ctx,
					   call->thread, agent, &env);
}

/* Due when the load changed, else often enough that reports stay valid. */
static int load_report_due(const struct agt_call *call)
{
	struct agt *agt = call->agt;
	struct adm_state state = adm_state(&agt->adm);
	uint32_t load = state.in_flight + state.queued;

	if (call->now < agt->next_load)
		return 0;
	if (load == agt->load_sent && state.cap == agt->cap_sent &&
	    call->now - agt->next_load < AGT_LOAD_VALID_US / 2)
		return 0;
	agt->load_sent = load;
	agt->cap_sent = state.cap;
	agt->next_load = call->now + AGT_LOAD_INTERVAL_US;
	return 1;
}

void agt_report_load(const struct agt_call *call)
{
	pthread_mutex_lock(&call->agt->peer_lock);
	if (load_report_due(call))
		agt_for_each_peer(call, send_load);
	pthread_mutex_unlock(&call->agt->peer_lock);
}

/* -- placement ----------------------------------------------------------- */

static uint32_t load_ratio(uint32_t load, uint32_t cap)
{
	return cap ? load * LOAD_RATIO_SCALE / cap : LOAD_RATIO_NONE;
}

/* Load ratio of this agent's target with one more request. */
static uint32_t own_load_ratio(const struct agt_rx *rx)
{
	struct adm_state state = adm_state(&rx->call->agt->adm);

	if (!rx->self->can_open || rx->call->agt->stopping)
		return LOAD_RATIO_NONE;
	return load_ratio(state.in_flight + state.queued + 1, state.cap);
}

/*
 * The peer with the lowest reported load, if this agent's load is above the
 * mean of the service or at its cap; else null. The peer's load is increased by
 * one at once, so that flows until its next report do not all go there.
 */
static const struct viw_agent *least_loaded_peer(const struct agt_rx *rx)
{
	struct agt *agt = rx->call->agt;
	struct adm_state state = adm_state(&agt->adm);
	uint64_t sum = load_ratio(state.in_flight + state.queued, state.cap);
	uint64_t own_ratio = sum;
	const struct viw_agent *best = NULL;
	struct agt_peer *least = NULL;
	uint32_t lowest = LOAD_RATIO_NONE;
	uint32_t count = 1;
	int i;

	pthread_mutex_lock(&agt->peer_lock);
	for (i = 0; i < AGT_PEERS_MAX; i++) {
		struct agt_peer *peer = &agt->peers[i];
		const struct viw_agent *agent;

		if (!peer->used || !peer->load_received ||
		    rx->call->now > peer->load_received + AGT_LOAD_VALID_US)
			continue;
		agent = viw_agent(rx->call->view, peer->id);
		if (!agent || !agent->can_open)
			continue;
		sum += load_ratio(peer->load, peer->load_cap);
		count++;
		if (load_ratio(peer->load, peer->load_cap) < lowest) {
			lowest = load_ratio(peer->load, peer->load_cap);
			least = peer;
			best = agent;
		}
	}
	if (own_ratio * count <= sum && state.in_flight < state.cap)
		best = NULL;
	else if (least)
		least->load++;
	pthread_mutex_unlock(&agt->peer_lock);
	return best;
}

/*
 * Pseudo-random agent that may open the flow, other than this one, the origin
 * and the best so far; null: none.
 */
static const struct viw_agent *pick_random_agent(const struct agt_rx *rx)
{
	const struct viw_service *service = rx->service;
	const Jj__Packet *packet = rx->packet;
	uint64_t parts[2] = { packet->flow, packet->asks_left };
	uint64_t start = rnk_hash(parts, sizeof(parts));
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		const struct viw_agent *agent =
			&rx->call->view->agents[service->first +
						(start + i) % service->count];

		if (agent->can_open && agent != rx->self &&
		    agent->id != packet->origin && agent->id != packet->best)
			return agent;
	}
	return NULL;
}

int agt_start_placement(const struct agt_rx *rx)
{
	const struct viw_agent *next = least_loaded_peer(rx);
	struct agt_rx forwarded = *rx;
	Jj__Packet packet = *rx->packet;

	if (!next)
		return 0;
	packet.origin = rx->self->id;
	packet.best = rx->self->id;
	packet.best_fill = own_load_ratio(rx);
	packet.asks_left = AGT_PLACEMENT_VISITS;
	forwarded.packet = &packet;
	agt_forward(&forwarded, next, AGT_PLACE);
	return 1;
}

/* Returns 1: the packet was forwarded, 0: open the flow here. */
int agt_continue_placement(const struct agt_rx *rx)
{
	struct agt *agt = rx->call->agt;
	uint32_t own_ratio = own_load_ratio(rx);
	struct agt_rx forwarded = *rx;
	Jj__Packet packet = *rx->packet;
	const struct viw_agent *next;

	forwarded.packet = &packet;
	if (own_ratio < packet.best_fill) {
		packet.best = rx->self->id;
		packet.best_fill = own_ratio;
	}
	if (packet.asks_left > AGT_PLACEMENT_VISITS)
		packet.asks_left = AGT_PLACEMENT_VISITS;
	if (packet.asks_left)
		packet.asks_left--;
	next = NULL;
	if (packet.asks_left && agt_open_requests(agt))
		next = pick_random_agent(&forwarded);
	if (next) {
		agt_forward(&forwarded, next, AGT_PLACE);
		return 1;
	}
	if (packet.best != packet.origin)
		met_add(agt->desc.met, MET_FLOWS_PLACED, 1);
	if (packet.best == rx->self->id)
		return 0;
	next = viw_agent(rx->call->view, packet.best);
	if (!next)
		return 0;
	agt_forward(&forwarded, next, AGT_OPEN);
	return 1;
}
