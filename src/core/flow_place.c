/*
 * Placing a new flow.
 *
 * Answers a load that is uneven by nature: callers' flows fall on homes by
 * hash, and their work differs by an order of magnitude. The home gives each
 * to the agent with the least work in hand for its slots, by reports that are
 * some tens of milliseconds old, and counts its own choices in at once, so
 * that a burst does not follow one report to one target. Among equals the
 * data centre that the packet came through goes first. The agent that gets it
 * decides again by what it knows of its own target; one that is full passes
 * the packet on, FLW_TRIED_MAX times at most. When nobody has room, a fresh
 * opening waits shortly (see flow_wait.c), and any other is refused at once.
 */
#include "flow_internal.h"

#include <string.h>

#define FILL_SCALE 1000 /* fill is counted in thousandths of the cap */
#define ELSEWHERE 1 /* added for a target in another data centre */
/* Added for a peer that is avoided: above any fill, it comes last. */
#define AVOIDED (4 * FILL_SCALE)
#define NOBODY UINT32_MAX

/* -- reports ------------------------------------------------------------- */

/* Peer lock held. */
static struct flw_peer *obtain_peer(struct flw *flw, uint64_t id, uint64_t now)
{
	struct flw_peer *use = NULL;
	int i;

	for (i = 0; i < FLW_PEERS; i++) {
		struct flw_peer *peer = &flw->peers[i];

		if (peer->id == id)
			return peer;
		if (!use && (!peer->id || now > peer->at + FLW_LOAD_FRESH_US))
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
	peer = obtain_peer(flw, sender, call->now);
	if (peer) {
		peer->load = load->in_flight;
		peer->cap = load->cap;
		peer->at = call->now;
		peer->avoided = 0;
	}
	pthread_mutex_unlock(&flw->peer_lock);
}

void flw_avoid_peer(struct flw *flw, uint64_t id)
{
	int i;

	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < FLW_PEERS; i++)
		if (flw->peers[i].id == id)
			flw->peers[i].avoided = 1;
	pthread_mutex_unlock(&flw->peer_lock);
}

static uint32_t offered_cap(const struct flw_call *call,
			    const struct viw_service *service,
			    const struct viw_agent *me)
{
	const char *why = flw_cannot_open(call->flw, service, me, call->now);

	/* Full is for the receiver of the report to see. */
	if (why && call->flw->in_hand < flw_cap(call->flw, service, call->now))
		return 0;
	return flw_cap(call->flw, service, call->now);
}

/* To the next peers of the circle. */
static void send_load(const struct flw_call *call,
		      const struct viw_service *service,
		      const struct viw_agent *me, uint32_t cap, uint32_t first,
		      uint32_t most)
{
	struct flw *flw = call->flw;
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Load load = JJ__LOAD__INIT;
	uint32_t i;

	load.in_flight = flw->in_hand;
	load.cap = cap;
	load.flows = flw->flow_count;
	env.body_case = JJ__ENVELOPE__BODY_LOAD;
	env.load = &load;
	for (i = 0; i < most && i < service->count; i++) {
		uint32_t at = (first + i) % service->count;
		const struct viw_agent *to =
			&call->view->agents[service->first + at];

		if (to != me)
			flw->desc.hooks.control(flw->desc.hooks.ctx,
						call->thread, to, &env);
	}
}

/*
 * A change, and every FLW_LOAD_MAX_US the state as it is, goes to all peers,
 * a few in a round. A change meanwhile begins the circle anew from where it
 * is, so that no peer is left out.
 */
void flw_report_load(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	const struct viw_service *service =
		viw_service(call->view, flw->service);
	const struct viw_agent *me = viw_agent(call->view, flw->desc.id);
	uint32_t first;
	uint32_t most;
	uint32_t cap;

	if (!service || !me || call->now < flw->load_sent_at + FLW_LOAD_US)
		return;
	cap = offered_cap(call, service, me);
	pthread_mutex_lock(&flw->peer_lock);
	if (flw->in_hand != flw->load_sent || cap != flw->cap_sent ||
	    call->now >= flw->load_full_at + FLW_LOAD_MAX_US) {
		flw->load_left = service->count;
		flw->load_full_at = call->now;
		flw->load_sent = flw->in_hand;
		flw->cap_sent = cap;
	}
	most = flw->load_left < FLW_LOAD_PEERS ? flw->load_left :
						 FLW_LOAD_PEERS;
	first = flw->load_next;
	flw->load_next += most;
	flw->load_left -= most;
	if (most)
		flw->load_sent_at = call->now;
	pthread_mutex_unlock(&flw->peer_lock);
	send_load(call, service, me, cap, first, most);
}

/* -- choosing ------------------------------------------------------------ */

static int was_tried(const struct flw_work *work, uint64_t id)
{
	size_t i;

	for (i = 0; i < work->packet->n_tried; i++)
		if (work->packet->tried[i] == id)
			return 1;
	return 0;
}

static uint64_t entry_data_centre(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	uint32_t i;

	for (i = 0; i < view->balancer_count; i++)
		if (view->balancers[i].id == work->packet->via_id)
			return view->balancers[i].data_centre;
	return 0;
}

/*
 * A caller's later copy is late already: it takes a slot that would be idle,
 * and no place in line before fresh ones.
 */
static uint32_t room_for(const struct flw_work *work, uint32_t cap)
{
	uint32_t queue = work->call->flw->desc.queue;

	return work->head.repeat && cap > queue ? cap - queue : cap;
}

static uint32_t fill(uint32_t load, uint32_t cap, const struct viw_agent *agent,
		     uint64_t data_centre)
{
	if (load >= cap)
		return NOBODY;
	return (load + 1) * FILL_SCALE / cap +
	       (agent->data_centre == data_centre ? 0 : ELSEWHERE);
}

/* The peer with the least fill below limit; its load is counted up. */
static const struct viw_agent *least_peer(const struct flw_work *work,
					  uint32_t limit)
{
	const struct flw_call *call = work->call;
	struct flw *flw = call->flw;
	uint64_t data_centre = entry_data_centre(work);
	const struct viw_agent *best = NULL;
	struct flw_peer *chosen = NULL;
	int i;

	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < FLW_PEERS; i++) {
		struct flw_peer *peer = &flw->peers[i];
		const struct viw_agent *agent;
		uint32_t at;

		if (!peer->id || call->now > peer->at + FLW_LOAD_FRESH_US)
			continue;
		agent = viw_agent(call->view, peer->id);
		if (!agent || agent->out || agent->draining ||
		    &call->view->services[agent->service] != work->service ||
		    was_tried(work, peer->id))
			continue;
		at = fill(peer->load, room_for(work, peer->cap), agent,
			  data_centre);
		if (at != NOBODY && peer->avoided)
			at += AVOIDED;
		if (at < limit) {
			limit = at;
			best = agent;
			chosen = peer;
		}
	}
	if (chosen)
		chosen->load++;
	pthread_mutex_unlock(&flw->peer_lock);
	return best;
}

static uint32_t own_fill(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	uint64_t now = work->call->now;

	if (flw_cannot_open(flw, work->service, work->me, now))
		return NOBODY;
	return fill(flw->in_hand,
		    room_for(work, flw_cap(flw, work->service, now)), work->me,
		    entry_data_centre(work));
}

/* -- opening ------------------------------------------------------------- */

static void log_opening(const struct flw_work *work, enum log_event event,
			const char *how, const char *detail)
{
	const struct flw_packet *head = &work->head;

	log_put(work->call->flw->desc.log, event,
		"flow=%08x:%u>%08x:%u repeat=%u revision=%llu in_hand=%u "
		"tried=%zu %s=%s",
		head->caller_ip, head->caller_port, head->service_ip,
		head->service_port, head->repeat,
		(unsigned long long)work->call->view->revision,
		(unsigned)work->call->flw->in_hand, work->packet->n_tried, how,
		detail);
}

/* Whether some target of the service may have room shortly. */
static int room_expected(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	uint32_t i;

	for (i = 0; i < work->service->count; i++) {
		const struct viw_agent *agent =
			&view->agents[work->service->first + i];

		if (!agent->out && !agent->draining && agent->weight &&
		    agent->phase < JJ__PHASE__PHASE_DRAINING)
			return 1;
	}
	return 0;
}

/* A target was given a copy, as far as this agent knows. */
static int was_given(const struct flw_work *work)
{
	const struct flw_exception *e =
		flw_exception(work->shard, work->packet->flow);

	return e && e->holder && !e->refused;
}

/*
 * The caller hears so at once, unless a target was given a copy, here or by an
 * agent before: it may have answered, and silence is the truth.
 */
void flw_refuse(const struct flw_work *work, const char *why)
{
	met_add(work->call->flw->desc.met, MET_REFUSED, 1);
	log_opening(work, EV_FLOW_REFUSED, "why", why);
	flw_tell_refusal(work);
	if (!work->packet->doubt && !was_given(work))
		flw_reset_caller(work->call, &work->head, 0);
}

/* Nobody has room now. */
static void wait_or_refuse(const struct flw_work *work, const char *why)
{
	if (!work->head.repeat && room_expected(work) && flw_wait(work)) {
		met_add(work->call->flw->desc.met, MET_DEFERRED, 1);
		return;
	}
	flw_refuse(work, why);
}

static void remember(const struct flw_work *work, uint64_t holder)
{
	struct flw_exception e = { .key = work->packet->flow,
				   .holder = holder,
				   .at = work->call->now };

	flw_put_exception(work->shard, &e);
}

static int open_here(const struct flw_work *work)
{
	const struct flw_call *call = work->call;
	const Jj__Packet *packet = work->packet;
	struct flw *flw = call->flw;
	struct flw_flow *flow =
		flw_take(flw, work->shard, packet->flow, call->now);
	size_t i;

	if (!flow)
		return 0;
	flow->via_id = packet->via_id;
	flow->via_ip = packet->via_ip;
	flow->via_port = (uint16_t)packet->via_port;
	flow->origin = packet->origin;
	flow->doubt = (uint8_t)packet->doubt;
	flow->caller_ip = work->head.caller_ip;
	flow->caller_port = work->head.caller_port;
	flow->service_ip = work->head.service_ip;
	flow->service_port = work->head.service_port;
	flow->caller_first = work->head.seq;
	flow->caller_next = work->head.seq + 1;
	if (packet->data.len <= FLW_OPENING_MAX) {
		memcpy(flow->opening, packet->data.data, packet->data.len);
		flow->opening_len = (uint8_t)packet->data.len;
	}
	for (i = 0; i < packet->n_tried && i < FLW_TRIED_MAX; i++)
		flow->tried[flow->tried_count++] = packet->tried[i];
	flw_begin_work(flw, flow, call->now);
	flw_note_opening(flw, call->now);
	met_add(flw->desc.met, MET_FLOWS_OPENED, 1);
	log_opening(work, EV_FLOW_OPENED, "via",
		    packet->mode == FLW_FIRST ? "home" : "peer");
	flw->desc.hooks.to_target(flw->desc.hooks.ctx, packet->data.data,
				  packet->data.len);
	return 1;
}

/* Passes the opening on to the best peer that has not had it. */
static void pass_on(const struct flw_work *work, const char *why)
{
	uint64_t tried[FLW_TRIED_MAX];
	Jj__Packet packet = *work->packet;
	struct flw_work next = *work;
	const struct viw_agent *to;

	if (packet.n_tried >= FLW_TRIED_MAX) {
		wait_or_refuse(work, why);
		return;
	}
	if (packet.n_tried)
		memcpy(tried, packet.tried, packet.n_tried * sizeof(*tried));
	tried[packet.n_tried++] = work->me->id;
	packet.tried = tried;
	if (!packet.origin)
		packet.origin = work->me->id;
	next.packet = &packet;
	to = least_peer(&next, NOBODY);
	if (!to) {
		wait_or_refuse(work, why);
		return;
	}
	remember(work, to->id);
	flw_forward(&next, to, FLW_PLACED);
}

void flw_open_or_pass(const struct flw_work *work)
{
	const char *why = flw_cannot_open(work->call->flw, work->service,
					  work->me, work->call->now);

	if (!why && own_fill(work) == NOBODY)
		why = "target is full";
	if (!why && !open_here(work))
		why = "flow table is full";
	if (why)
		pass_on(work, why);
}

int flw_try_place(const struct flw_work *work)
{
	uint32_t own = was_tried(work, work->me->id) ? NOBODY : own_fill(work);
	const struct viw_agent *peer = least_peer(work, own);
	struct flw_work chosen = *work;
	Jj__Packet packet;

	if (peer) {
		met_add(work->call->flw->desc.met, MET_FLOWS_PLACED, 1);
		remember(work, peer->id);
		packet = *work->packet;
		/* Who placed it first is told of the answer, and watches. */
		if (!packet.origin) {
			packet.origin = work->me->id;
			flw_keep_chosen(work, peer->id);
		}
		chosen.packet = &packet;
		flw_forward(&chosen, peer, FLW_PLACED);
		return 1;
	}
	if (own == NOBODY)
		return 0;
	flw_open_or_pass(work);
	return 1;
}

void flw_place(const struct flw_work *work)
{
	const char *why;

	if (flw_try_place(work))
		return;
	why = flw_cannot_open(work->call->flw, work->service, work->me,
			      work->call->now);
	wait_or_refuse(work, why ? why : "all targets are full");
}

void flw_place_again(const struct flw_call *call, struct flw_shard *shard,
		     struct flw_flow *flow, int returned)
{
	uint8_t opening[FLW_OPENING_MAX];
	uint64_t tried[FLW_TRIED_MAX];
	struct flw_flow from = *flow;
	Jj__Packet packet;
	struct flw_work work;

	memcpy(opening, from.opening, from.opening_len);
	memcpy(tried, from.tried, sizeof(tried));
	flw_release(call->flw, shard, flow);
	if (!flw_resume(call, &work, &packet, from.key, opening,
			from.opening_len))
		return;
	packet.via_id = from.via_id;
	packet.via_ip = from.via_ip;
	packet.via_port = from.via_port;
	packet.origin = from.origin;
	/* A silent target may still have it; one that returned it has not. */
	packet.doubt = from.doubt || !returned;
	packet.tried = tried;
	packet.n_tried = from.tried_count;
	if (!returned && !work.head.repeat)
		work.head.repeat = 1;
	pass_on(&work, returned ? "target returned it" : "target is silent");
}
