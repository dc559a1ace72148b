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
#define FILL_MAX 100000
/* Added for a peer that is avoided: above any fill, it comes last. */
#define AVOIDED (2 * FILL_MAX)
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
		peer->typical_us = load->median_us;
		peer->avoided = (uint8_t)load->held_back;
	}
	pthread_mutex_unlock(&flw->peer_lock);
}

/* Peer lock held. */
static uint32_t median_of_peers(const struct flw *flw, uint64_t now)
{
	uint32_t times[FLW_PEERS];
	uint32_t count = 0;
	int i;

	for (i = 0; i < FLW_PEERS; i++)
		if (flw->peers[i].id && flw->peers[i].typical_us &&
		    now < flw->peers[i].at + FLW_LOAD_FRESH_US)
			times[count++] = flw->peers[i].typical_us;
	return spd_median(times, count);
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

/*
 * Who hears of this agent's load, as positions in the view. In a small service
 * that is everybody. In a large one the agents of its data centre do, which
 * are the homes of most flows there, and a few elsewhere, drawn by hash: each
 * home then knows as many of other data centres, for when its own is full.
 */
static uint32_t audience(const struct viw *view,
			 const struct viw_service *service,
			 const struct viw_agent *me, int far, uint32_t *out)
{
	uint32_t first = service->first;
	uint32_t count = service->count;
	int ranks[FLW_LOAD_FAR];
	uint32_t used = 0;
	int ranked;
	uint32_t i;

	if (count > FLW_LOAD_ALL)
		count = viw_local_agents(view, service, me->data_centre,
					 &first);
	for (i = 0; i < count && used < FLW_PEERS - FLW_LOAD_FAR; i++)
		if (&view->agents[first + i] != me)
			out[used++] = first + i;
	if (!far || count == service->count)
		return used;
	ranked = rnk_order(view->home_nodes + service->first,
			   (int)service->count, me->id, ranks, FLW_LOAD_FAR);
	for (i = 0; i < (uint32_t)ranked; i++) {
		uint32_t at = service->first + (uint32_t)ranks[i];

		if (view->agents[at].data_centre != me->data_centre)
			out[used++] = at;
	}
	return used;
}

/*
 * A change goes to those near, and every FLW_LOAD_MAX_US the state as it is to
 * all, a few in a round. A change meanwhile begins the circle anew from where
 * it is, so that nobody is left out.
 */
void flw_report_load(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	const struct viw_service *service =
		viw_service(call->view, flw->service);
	const struct viw_agent *me = viw_agent(call->view, flw->desc.id);
	uint32_t to[FLW_PEERS];
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Load load = JJ__LOAD__INIT;
	uint32_t count;
	uint32_t first;
	uint32_t most;
	uint32_t i;
	int full;

	if (!service || !me || call->now < flw->load_sent_at + FLW_LOAD_US)
		return;
	load.cap = offered_cap(call, service, me);
	load.in_flight = flw->in_hand;
	load.flows = flw->flow_count;
	load.median_us = flw_typical_us(flw, call->now);
	load.held_back = flw_held_back(flw, call->now);
	pthread_mutex_lock(&flw->peer_lock);
	full = call->now >= flw->load_full_at + FLW_LOAD_MAX_US;
	count = audience(call->view, service, me, full || flw->load_far, to);
	if (full) {
		flw->load_full_at = call->now;
		flw->load_far = count;
		flw->peers_us = median_of_peers(flw, call->now);
	}
	if (full || load.in_flight != flw->load_sent ||
	    load.cap != flw->cap_sent || load.held_back != flw->held_sent) {
		flw->load_left = count;
		flw->load_sent = load.in_flight;
		flw->cap_sent = load.cap;
		flw->held_sent = (uint8_t)load.held_back;
	}
	most = flw->load_left < FLW_LOAD_PEERS ? flw->load_left :
						 FLW_LOAD_PEERS;
	first = flw->load_next;
	flw->load_next += most;
	flw->load_left -= most;
	flw->load_far -= most < flw->load_far ? most : flw->load_far;
	if (most)
		flw->load_sent_at = call->now;
	pthread_mutex_unlock(&flw->peer_lock);
	env.body_case = JJ__ENVELOPE__BODY_LOAD;
	env.load = &load;
	for (i = 0; i < most && count; i++)
		flw->desc.hooks.control(
			flw->desc.hooks.ctx, call->thread,
			&call->view->agents[to[(first + i) % count]], &env);
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

/*
 * A caller's later copy is late already: it takes a slot that would be idle,
 * and no place in line before fresh ones.
 */
static uint32_t room_for(const struct flw_work *work, uint32_t cap)
{
	uint32_t queue = work->call->flw->desc.queue;

	return work->head.repeat && cap > queue ? cap - queue : cap;
}

/* weight: by what work in hand counts there, in percent */
static uint32_t fill(uint32_t load, uint32_t cap, uint32_t weight,
		     const struct viw_agent *agent, uint64_t data_centre)
{
	uint64_t expected;

	if (load >= cap)
		return NOBODY;
	expected = (uint64_t)(load + 1) * FILL_SCALE / cap * weight / 100;
	if (expected > FILL_MAX)
		expected = FILL_MAX;
	return (uint32_t)expected +
	       (agent->data_centre == data_centre ? 0 : ELSEWHERE);
}

/*
 * An agent that has just started is the home of flows before it has heard of
 * anybody's load: the best rank decides then, which knows more.
 */
static const struct viw_agent *blind_choice(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	int ranks[FLW_TRIED_MAX];
	int count = viw_rank_agents(view, work->service, work->packet->flow,
				    ranks, FLW_TRIED_MAX);
	int i;

	for (i = 0; i < count; i++) {
		const struct viw_agent *agent = &view->agents[ranks[i]];

		if (agent != work->me && !was_tried(work, agent->id))
			return agent;
	}
	return NULL;
}

/* The peer with the least fill below limit; its load is counted up. */
static const struct viw_agent *least_peer(const struct flw_work *work,
					  uint32_t limit)
{
	const struct flw_call *call = work->call;
	struct flw *flw = call->flw;
	uint64_t data_centre =
		viw_balancer_data_centre(call->view, work->packet->via_id);
	const struct viw_agent *best = NULL;
	struct flw_peer *chosen = NULL;
	int heard = 0;
	int i;

	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < FLW_PEERS; i++) {
		struct flw_peer *peer = &flw->peers[i];
		const struct viw_agent *agent;
		uint32_t at;

		if (!peer->id || call->now > peer->at + FLW_LOAD_FRESH_US)
			continue;
		heard = 1;
		agent = viw_agent(call->view, peer->id);
		if (!agent || agent->out || agent->draining ||
		    &call->view->services[agent->service] != work->service ||
		    was_tried(work, peer->id))
			continue;
		at = fill(peer->load, room_for(work, peer->cap),
			  spd_weight(peer->typical_us, flw->peers_us), agent,
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
	return heard || limit != NOBODY ? best : blind_choice(work);
}

static uint32_t own_fill(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	uint64_t now = work->call->now;
	uint32_t weight = spd_weight(flw_typical_us(flw, now), flw->peers_us);
	uint32_t at;

	if (flw_cannot_open(flw, work->service, work->me, now))
		return NOBODY;
	at = fill(flw->in_hand,
		  room_for(work, flw_cap(flw, work->service, now)), weight,
		  work->me,
		  viw_balancer_data_centre(work->call->view,
					   work->packet->via_id));
	if (at != NOBODY && flw_held_back(flw, now))
		at += AVOIDED;
	return at;
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

/* Passes it on to the best peer below limit that has not had it; 0: none. */
static int pass_to_peer(const struct flw_work *work, uint32_t limit)
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
	to = least_peer(&next, limit);
	if (!to)
		return 0;
	remember(work, to->id);
	flw_forward(&next, to, FLW_PLACED);
	return 1;
}

static void pass_on(const struct flw_work *work, const char *why)
{
	if (!pass_to_peer(work, NOBODY))
		wait_or_refuse(work, why);
}

void flw_open_or_pass(const struct flw_work *work)
{
	const char *why = flw_cannot_open(work->call->flw, work->service,
					  work->me, work->call->now);
	uint32_t own = why ? NOBODY : own_fill(work);

	if (!why && own == NOBODY)
		why = "target is full";
	if (!why && own >= AVOIDED && pass_to_peer(work, AVOIDED))
		return;
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
