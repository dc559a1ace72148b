/*
 * Placing new flows.
 *
 * Load is uneven by nature: flows are assigned to homes by hash, and the work
 * that they cause differs by an order of magnitude. A home therefore gives each
 * opening to the agent with the least work in progress relative to its
 * capacity. It goes by load reports that are some tens of milliseconds old and
 * adds its own choices at once, so that a burst does not go to a single target
 * because of one report. At equal cost, the data centre that the packet came
 * through is preferred.
 *
 * The chosen agent decides again by the current state of its own target; if
 * that is full, it forwards the packet, FLW_TRIED_MAX times at most. If no
 * target has room, a first opening is queued for a short time (see
 * flow_pending.c); any other is refused at once.
 */
#include "flow_internal.h"

#include <string.h>

#define COST_SCALE 1000 /* costs are in thousandths of the cap */
#define COST_REMOTE 1 /* added for a target in another data centre */
#define COST_MAX 100000
/* Added for avoided peers: more than any other cost, so that they come last. */
#define COST_AVOIDED (2 * COST_MAX)
#define COST_NONE FLW_COST_NONE /* not eligible */

/* -- load reports -------------------------------------------------------- */

/* Peer lock held. Reuses expired entries; null: all are in use. */
static struct flw_peer *find_or_add_peer(struct flw *flw, uint64_t id,
					 uint64_t now)
{
	struct flw_peer *use = NULL;
	int i;

	for (i = 0; i < FLW_PEERS_MAX; i++) {
		struct flw_peer *peer = &flw->peers[i];

		if (peer->id == id)
			return peer;
		if (!use &&
		    (!peer->id || now > peer->reported_at + FLW_LOAD_FRESH_US))
			use = peer;
	}
	if (use)
		*use = (struct flw_peer){ .id = id };
	return use;
}

void flw_on_load(const struct flw_call *call, uint64_t sender,
		 const Jj__Load *load)
{
	struct flw *flw = call->flw;
	struct flw_peer *peer;

	pthread_mutex_lock(&flw->peer_lock);
	peer = find_or_add_peer(flw, sender, call->now);
	if (peer) {
		peer->load = load->in_flight;
		peer->cap = load->cap;
		peer->queued = load->queued;
		peer->reported_at = call->now;
		peer->typical_us = load->median_us;
		peer->avoided = (uint8_t)load->held_back;
	}
	pthread_mutex_unlock(&flw->peer_lock);
	if (load->data_centre)
		flw_on_data_centre_load(call, load->data_centre);
}

/* Peer lock held. */
static uint32_t median_of_peers(const struct flw *flw, uint64_t now)
{
	uint32_t times[FLW_PEERS_MAX];
	uint32_t count = 0;
	int i;

	for (i = 0; i < FLW_PEERS_MAX; i++)
		if (flw->peers[i].id && flw->peers[i].typical_us &&
		    now < flw->peers[i].reported_at + FLW_LOAD_FRESH_US)
			times[count++] = flw->peers[i].typical_us;
	return spd_median(times, count);
}

void flw_avoid_peer(struct flw *flw, uint64_t id)
{
	int i;

	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < FLW_PEERS_MAX; i++)
		if (flw->peers[i].id == id)
			flw->peers[i].avoided = 1;
	pthread_mutex_unlock(&flw->peer_lock);
}

uint32_t flw_advertised_cap(const struct flw_call *call,
			    const struct viw_service *service,
			    const struct viw_agent *me)
{
	struct flw *flw = call->flw;
	uint32_t cap = flw_cap(flw, service, call->now);

	/*
	 * A full target still reports its cap: recipients compare it with the
	 * load. Where openings wait, one that takes no flows reports 0 even if
	 * it is full, so that it gets none to wait there.
	 */
	if (flw_unavailable_reason(flw, service, me, call->now) &&
	    (flw->in_flight < cap || flw->desc.wait_queue))
		return 0;
	return cap;
}

/*
 * Changes of the load go to the near recipients, and every FLW_LOAD_MAX_US the
 * current state goes to all of them, a few per round. If the load changes
 * during a pass over the recipients, a new pass starts at the current position,
 * so that none is left out.
 */
void flw_report_load(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	const struct viw_service *service =
		viw_service(call->view, flw->service);
	const struct viw_agent *me = viw_agent(call->view, flw->desc.id);
	uint32_t to[FLW_PEERS_MAX];
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Load load = JJ__LOAD__INIT;
	Jj__DataCentreLoad data_centre = JJ__DATA_CENTRE_LOAD__INIT;
	uint32_t count;
	uint32_t first;
	uint32_t batch;
	uint32_t i;
	int full_round;

	if (!service || !me || call->now < flw->load_sent_at + FLW_LOAD_MIN_US)
		return;
	load.cap = flw_advertised_cap(call, service, me);
	load.in_flight = flw->in_flight;
	load.flows = flw->flow_count;
	load.queued = flw->waiting_count;
	load.median_us = flw_typical_us(flw, call->now);
	load.held_back = flw_held_back(flw, call->now);
	pthread_mutex_lock(&flw->peer_lock);
	/*
	 * Agents that started together report to other data centres at
	 * different times, so that reports on one arrive evenly.
	 */
	if (!flw->load_full_at && flw_spills(flw, service))
		flw->load_full_at = call->now - me->id % FLW_LOAD_MAX_US;
	full_round = call->now >= flw->load_full_at + FLW_LOAD_MAX_US;
	count = flw_load_recipients(flw, call->view, service, me,
				    full_round || flw->load_remote_left, to);
	if (full_round) {
		flw->load_full_at = call->now;
		flw->load_remote_left = count;
		flw->peer_median_us = median_of_peers(flw, call->now);
	}
	if (full_round || load.in_flight != flw->load_sent ||
	    load.cap != flw->cap_sent ||
	    load.held_back != flw->held_back_sent) {
		flw->load_reports_left = count;
		flw->load_sent = load.in_flight;
		flw->cap_sent = load.cap;
		flw->held_back_sent = (uint8_t)load.held_back;
	}
	batch = flw->load_reports_left < FLW_LOAD_BATCH ?
			flw->load_reports_left :
			FLW_LOAD_BATCH;
	first = flw->load_next;
	flw->load_next += batch;
	flw->load_reports_left -= batch;
	flw->load_remote_left -=
		batch < flw->load_remote_left ? batch : flw->load_remote_left;
	if (batch)
		flw->load_sent_at = call->now;
	pthread_mutex_unlock(&flw->peer_lock);
	env.body_case = JJ__ENVELOPE__BODY_LOAD;
	env.load = &load;
	for (i = 0; i < batch && count; i++) {
		const struct viw_agent *agent =
			&call->view->agents[to[(first + i) % count]];

		load.data_centre = NULL;
		if (agent->data_centre != me->data_centre &&
		    flw_spills(flw, service)) {
			if (!data_centre.id)
				flw_fill_data_centre_load(call, &data_centre);
			load.data_centre = &data_centre;
		}
		flw->desc.hooks.control(flw->desc.hooks.ctx, call->thread,
					agent, &env);
	}
}

/* -- choosing a target --------------------------------------------------- */

static int was_tried(const struct flw_work *work, uint64_t id)
{
	size_t i;

	for (i = 0; i < work->packet->n_tried; i++)
		if (work->packet->tried[i] == id)
			return 1;
	return 0;
}

/* weight: factor for the load, in percent, see spd_weight() */
static uint32_t placement_cost(uint32_t load, uint32_t cap, uint32_t weight,
			       const struct viw_agent *agent,
			       uint64_t data_centre)
{
	uint64_t expected;

	if (load >= cap)
		return COST_NONE;
	expected = (uint64_t)(load + 1) * COST_SCALE / cap * weight / 100;
	if (expected > COST_MAX)
		expected = COST_MAX;
	return (uint32_t)expected +
	       (agent->data_centre == data_centre ? 0 : COST_REMOTE);
}

/*
 * After its start, an agent may be the home of flows before it has received any
 * load report. The best-ranked agent then decides, since it has more
 * information.
 */
static const struct viw_agent *choose_by_rank(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	int ranks[FLW_TRIED_MAX];
	int count = viw_rank_agents(view, work->service, work->packet->flow,
				    ranks, FLW_TRIED_MAX);
	int crosses = flw_may_cross(work);
	int i;

	for (i = 0; i < count; i++) {
		const struct viw_agent *agent = &view->agents[ranks[i]];

		if (!crosses && agent->data_centre != work->me->data_centre)
			continue;
		if (agent != work->me && !was_tried(work, agent->id))
			return agent;
	}
	return NULL;
}

/*
 * The peer with the lowest cost below limit, or null. The opening is added to
 * its load. If no peer has reported its load lately and this agent's target
 * cannot take the flow, an agent is chosen by rank.
 */
static const struct viw_agent *cheapest_peer(const struct flw_work *work,
					     uint32_t limit)
{
	const struct flw_call *call = work->call;
	struct flw *flw = call->flw;
	uint64_t data_centre =
		viw_balancer_data_centre(call->view, work->packet->via_id);
	const struct viw_agent *best = NULL;
	struct flw_peer *chosen = NULL;
	struct flw_cap_change change = flw_cap_change(work);
	int crosses = flw_may_cross(work);
	int any_fresh = 0;
	int i;

	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < FLW_PEERS_MAX; i++) {
		struct flw_peer *peer = &flw->peers[i];
		const struct viw_agent *agent;
		uint32_t cost;

		if (!peer->id ||
		    call->now > peer->reported_at + FLW_LOAD_FRESH_US)
			continue;
		any_fresh = 1;
		agent = viw_agent(call->view, peer->id);
		if (!agent || agent->out || agent->draining ||
		    &call->view->services[agent->service] != work->service ||
		    was_tried(work, peer->id))
			continue;
		if (!crosses && agent->data_centre != work->me->data_centre)
			continue;
		cost = placement_cost(
			peer->load, flw_usable_cap(change, peer->cap),
			spd_weight(peer->typical_us, flw->peer_median_us),
			agent, data_centre);
		if (cost != COST_NONE && peer->avoided)
			cost += COST_AVOIDED;
		if (work->trace && cost != COST_NONE)
			flw_trace_peer(work->trace, peer->id, cost);
		if (cost < limit) {
			limit = cost;
			best = agent;
			chosen = peer;
		}
	}
	if (chosen && !work->trace)
		chosen->load++;
	pthread_mutex_unlock(&flw->peer_lock);
	return any_fresh || limit != COST_NONE ? best : choose_by_rank(work);
}

static uint32_t own_cost(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	uint64_t now = work->call->now;
	uint32_t weight =
		spd_weight(flw_typical_us(flw, now), flw->peer_median_us);
	uint32_t cost;

	if (flw_opening_refusal_reason(work))
		return COST_NONE;
	cost = placement_cost(flw->in_flight,
			      flw_usable_cap(flw_cap_change(work),
					     flw_cap(flw, work->service, now)),
			      weight, work->me,
			      viw_balancer_data_centre(work->call->view,
						       work->packet->via_id));
	if (cost != COST_NONE && flw_held_back(flw, now))
		cost += COST_AVOIDED;
	return cost;
}

/* -- placing an opening -------------------------------------------------- */

static void log_opening(const struct flw_work *work, enum log_event event,
			const char *how, const char *detail)
{
	const struct flw_packet *head = &work->head;

	log_put(work->call->flw->desc.log, event,
		"flow=%08x:%u>%08x:%u repeat=%u revision=%s in_hand=%u "
		"tried=%zu %s=%s",
		head->caller_ip, head->caller_port, head->service_ip,
		head->service_port, head->repeat,
		tbl_format_revision(work->call->view->revision).text,
		(unsigned)work->call->flw->in_flight, work->packet->n_tried,
		how, detail);
}

/*
 * Whether an agent is recorded that got the opening and did not refuse it, so
 * that its target may have received a copy.
 */
static int may_have_copy(const struct flw_work *work)
{
	const struct flw_location *location =
		flw_find_location(work->shard, work->packet->flow);

	return location && location->holder && !location->refused;
}

/*
 * The caller gets a reset at once, unless a target may have received a copy
 * here or at an earlier agent. That target may have answered, so a reset could
 * be wrong and nothing is sent.
 */
void flw_refuse(const struct flw_work *work, const char *why)
{
	met_add(work->call->flw->desc.met, MET_REFUSED, 1);
	log_opening(work, EV_FLOW_REFUSED, "why", why);
	flw_notify_refusal(work);
	if (!work->packet->doubt && !may_have_copy(work))
		flw_reset_caller(work->call, &work->head, 0);
}

/* For an opening for which no target has room now. */
static void wait_or_refuse(const struct flw_work *work, const char *why)
{
	if (flw_waits_by_terms(work)) {
		flw_wait_by_terms(work, why);
		return;
	}
	if (flw_may_wait(work) && flw_queue_opening(work)) {
		met_add(work->call->flw->desc.met, MET_DEFERRED, 1);
		return;
	}
	flw_refuse(work, why);
}

static void record_holder(const struct flw_work *work, uint64_t holder)
{
	struct flw_location location = { .key = work->packet->flow,
					 .holder = holder,
					 .updated_at = work->call->now };

	flw_put_location(work->shard, &location);
}

static int open_locally(const struct flw_work *work)
{
	const struct flw_call *call = work->call;
	const Jj__Packet *packet = work->packet;
	struct flw *flw = call->flw;
	struct flw_flow *flow =
		flw_add_flow(flw, work->shard, packet->flow, call->now);
	size_t i;

	if (!flow)
		return 0;
	flow->via_id = packet->via_id;
	flow->via_ip = packet->via_ip;
	flow->via_port = (uint16_t)packet->via_port;
	flow->origin = packet->origin;
	flow->copy_possible = (uint8_t)packet->doubt;
	flow->age_ms = (uint32_t)(flw_attempt_age_us(work) / 1000);
	flow->caller_ip = work->head.caller_ip;
	flow->caller_port = work->head.caller_port;
	flow->service_ip = work->head.service_ip;
	flow->service_port = work->head.service_port;
	flow->caller_isn = work->head.seq;
	flow->caller_next_seq = work->head.seq + 1;
	if (packet->data.len <= FLW_OPENING_BYTES) {
		memcpy(flow->opening, packet->data.data, packet->data.len);
		flow->opening_len = (uint8_t)packet->data.len;
	}
	for (i = 0; i < packet->n_tried && i < FLW_TRIED_MAX; i++)
		flow->tried[flow->tried_count++] = packet->tried[i];
	flw_note_asked(flw, call->now);
	flw_set_busy(flw, flow, call->now);
	flw_note_opening(flw, call->now);
	met_add(flw->desc.met, MET_FLOWS_OPENED, 1);
	log_opening(work, EV_FLOW_OPENED, "via",
		    packet->mode == FLW_MODE_HOME ? "home" : "peer");
	flw->desc.hooks.to_target(flw->desc.hooks.ctx, packet->data.data,
				  packet->data.len);
	return 1;
}

/*
 * Forwards an opening to the cheapest peer below limit that it has not visited.
 * Returns 0 if there is none.
 */
static int forward_to_peer(const struct flw_work *work, uint32_t limit)
{
	uint64_t tried[FLW_TRIED_MAX];
	Jj__Packet packet = *work->packet;
	struct flw_work next = *work;
	const struct viw_agent *to;

	if (packet.n_tried >= FLW_TRIED_MAX)
		return 0;
	if (packet.n_tried)
		memcpy(tried, packet.tried, packet.n_tried * sizeof(*tried));
	tried[packet.n_tried++] = work->me->id;
	packet.tried = tried;
	if (!packet.origin)
		packet.origin = work->me->id;
	next.packet = &packet;
	to = cheapest_peer(&next, limit);
	if (!to)
		return 0;
	record_holder(work, to->id);
	flw_forward(&next, to, FLW_MODE_PLACED);
	return 1;
}

static void forward_or_wait(const struct flw_work *work, const char *why)
{
	if (!forward_to_peer(work, COST_NONE) && !flw_try_spill(work))
		wait_or_refuse(work, why);
}

void flw_open_or_forward(const struct flw_work *work)
{
	const char *why = flw_opening_refusal_reason(work);
	uint32_t own = why ? COST_NONE : own_cost(work);

	if (!why && own == COST_NONE)
		why = "target is full";
	if (!why && own >= COST_AVOIDED && forward_to_peer(work, COST_AVOIDED))
		return;
	if (!why && !open_locally(work))
		why = "flow table is full";
	if (why)
		forward_or_wait(work, why);
}

const struct viw_agent *flw_choose_peer(const struct flw_work *work,
					uint32_t *own)
{
	*own = was_tried(work, work->me->id) ? COST_NONE : own_cost(work);
	return cheapest_peer(work, *own);
}

void flw_place_queued(const struct flw_work *work)
{
	const char *why = flw_opening_refusal_reason(work);

	if (!why && !open_locally(work))
		why = "flow table is full";
	if (why)
		wait_or_refuse(work, why);
}

int flw_try_place(const struct flw_work *work)
{
	uint32_t own;
	const struct viw_agent *peer;
	struct flw_work chosen = *work;
	Jj__Packet packet;

	if (flw_try_spill(work))
		return 1;
	peer = flw_choose_peer(work, &own);
	if (peer) {
		met_add(work->call->flw->desc.met, MET_FLOWS_PLACED, 1);
		record_holder(work, peer->id);
		packet = *work->packet;
		/*
		 * The first agent that places it is notified of the answer, so
		 * it also checks for a missing one.
		 */
		if (!packet.origin) {
			packet.origin = work->me->id;
			flw_watch_placement(work, peer->id);
		}
		chosen.packet = &packet;
		flw_forward(&chosen, peer, FLW_MODE_PLACED);
		return 1;
	}
	if (own == COST_NONE)
		return 0;
	flw_open_or_forward(work);
	return 1;
}

void flw_place(const struct flw_work *work)
{
	const char *why;

	if (flw_try_place(work))
		return;
	why = flw_opening_refusal_reason(work);
	wait_or_refuse(work, why ? why : "all targets are full");
}

void flw_retry_opening(const struct flw_call *call, struct flw_shard *shard,
		       struct flw_flow *flow, enum flw_retry_cause cause)
{
	static const char *const reasons[] = {
		[FLW_RETRY_UNANSWERED] = "target does not answer",
		[FLW_RETRY_RETURNED] = "target returned the packet",
		[FLW_RETRY_LOST] = "target's process is gone",
	};
	uint8_t opening[FLW_OPENING_BYTES];
	uint64_t tried[FLW_TRIED_MAX];
	struct flw_flow from = *flow;
	Jj__Packet packet;
	struct flw_work work;

	memcpy(opening, from.opening, from.opening_len);
	memcpy(tried, from.tried, sizeof(tried));
	flw_remove_flow(call->flw, shard, flow);
	if (!flw_restore_work(call, &work, &packet, from.key, opening,
			      from.opening_len))
		return;
	packet.via_id = from.via_id;
	packet.via_ip = from.via_ip;
	packet.via_port = from.via_port;
	packet.origin = from.origin;
	packet.age_ms = from.age_ms;
	if (call->now > from.opened_at)
		packet.age_ms +=
			(uint32_t)((call->now - from.opened_at) / 1000);
	/*
	 * A silent target may still have a copy; one that returned it, or is
	 * gone, has none.
	 */
	packet.doubt = from.copy_possible || cause == FLW_RETRY_UNANSWERED;
	packet.tried = tried;
	packet.n_tried = from.tried_count;
	if (cause == FLW_RETRY_UNANSWERED && !work.head.repeat)
		work.head.repeat = 1;
	forward_or_wait(&work, reasons[cause]);
}
