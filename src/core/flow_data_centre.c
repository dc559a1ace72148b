/*
 * The load of this data centre, and reports on it to other data centres.
 *
 * Each agent adds up what its peers here report, so that no agent has to
 * collect it for the others. Agents elsewhere use it to decide whether an
 * opening is sent here (see flow_spill.c).
 */
#include "flow_internal.h"

/* Queue at the target that is part of a peer's cap, see flw_cap(). */
static uint32_t slots_of(const struct flw *flw, uint32_t cap)
{
	return cap > flw->desc.queue ? cap - flw->desc.queue : cap;
}

/* Openings that wait for room at this agent. */
static uint32_t openings_waiting(const struct flw *flw)
{
	return flw->pending_count + flw->waiting_count;
}

int flw_spills(const struct flw *flw, const struct viw_service *service)
{
	return flw->desc.spill && service->count > FLW_LOAD_FULL_MESH;
}

/* -- the load of this data centre ---------------------------------------- */

/* Targets of this data centre that may take flows. */
struct local_load {
	uint32_t reports; /* fresh load reports, also of closed targets */
	uint32_t slots;
	uint32_t free_slots;
	uint32_t queued; /* openings and requests beyond the slots */
	uint32_t typical_us; /* median */
	uint64_t wait_us; /* smallest wait at any of them */
	/* the same at targets that get flows only as a last resort */
	uint64_t avoided_wait_us;
};

static int is_open(const struct viw_agent *agent)
{
	return !agent->out && !agent->draining && agent->weight;
}

static void add_target(struct local_load *sum, uint32_t load, uint32_t queued,
		       uint32_t slots, uint32_t typical_us, int avoided)
{
	uint64_t ahead = (uint64_t)load + queued;
	uint64_t wait_us = spl_wait_us(ahead, slots, typical_us);
	uint64_t *least = avoided ? &sum->avoided_wait_us : &sum->wait_us;

	sum->queued += ahead > slots ? (uint32_t)ahead - slots : 0;
	if (!slots)
		return;
	if (wait_us < *least)
		*least = wait_us;
	if (avoided)
		return;
	sum->slots += slots;
	if (ahead < slots)
		sum->free_slots += slots - (uint32_t)ahead;
}

/* Peer lock held. */
static void add_peers(const struct flw_call *call, const struct viw_agent *me,
		      struct local_load *sum)
{
	const struct flw *flw = call->flw;
	uint32_t times[FLW_PEERS_MAX];
	uint32_t count = 0;
	int i;

	for (i = 0; i < FLW_PEERS_MAX; i++) {
		const struct flw_peer *peer = &flw->peers[i];
		const struct viw_agent *agent;

		if (!peer->id ||
		    call->now > peer->reported_at + FLW_LOAD_FRESH_US)
			continue;
		agent = viw_agent(call->view, peer->id);
		if (!agent || agent->service != me->service ||
		    agent->data_centre != me->data_centre)
			continue;
		sum->reports++;
		if (peer->typical_us)
			times[count++] = peer->typical_us;
		add_target(sum, peer->load, peer->queued,
			   is_open(agent) ? slots_of(flw, peer->cap) : 0,
			   peer->typical_us ? peer->typical_us :
					      flw->peer_median_us,
			   peer->avoided);
	}
	sum->typical_us = spd_median(times, count);
}

static struct local_load load_of_data_centre(const struct flw_call *call,
					     const struct viw_service *service,
					     const struct viw_agent *me)
{
	struct flw *flw = call->flw;
	struct local_load sum = { .wait_us = SPL_WAIT_UNLIMITED,
				  .avoided_wait_us = SPL_WAIT_UNLIMITED };
	uint32_t cap = service->open && is_open(me) ?
			       flw_advertised_cap(call, service, me) :
			       0;
	uint32_t typical_us = flw_typical_us(flw, call->now);

	add_target(&sum, flw->in_flight, openings_waiting(flw),
		   slots_of(flw, cap),
		   typical_us ? typical_us : flw->peer_median_us,
		   flw_held_back(flw, call->now));
	pthread_mutex_lock(&flw->peer_lock);
	add_peers(call, me, &sum);
	pthread_mutex_unlock(&flw->peer_lock);
	if (!sum.typical_us)
		sum.typical_us = flw->peer_median_us;
	if (sum.wait_us == SPL_WAIT_UNLIMITED)
		sum.wait_us = sum.avoided_wait_us;
	return sum;
}

/* Whether the table lets some target of this data centre take flows. */
static int any_open(const struct viw *view, const struct viw_service *service,
		    const struct viw_agent *me)
{
	uint32_t first;
	uint32_t count =
		viw_local_agents(view, service, me->data_centre, &first);
	uint32_t i;

	for (i = 0; service->open && i < count; i++)
		if (is_open(&view->agents[first + i]))
			return 1;
	return 0;
}

/*
 * An agent that was just started has no reports yet. It must not take its data
 * centre for closed, since the openings would be sent away without a limit.
 */
static uint64_t local_wait(const struct flw_call *call,
			   const struct viw_service *service,
			   const struct viw_agent *me,
			   const struct local_load *sum)
{
	if (!sum->reports && sum->wait_us == SPL_WAIT_UNLIMITED &&
	    any_open(call->view, service, me))
		return 0;
	return sum->wait_us;
}

uint64_t flw_local_wait_us(const struct flw_work *work)
{
	struct local_load sum =
		load_of_data_centre(work->call, work->service, work->me);

	return local_wait(work->call, work->service, work->me, &sum);
}

uint64_t flw_crossing_cost_us(const struct flw *flw)
{
	return ((uint64_t)flw->desc.crossing_ms + flw->desc.crossing_price_ms) *
	       1000;
}

int flw_note_local_wait(const struct flw_call *call, uint64_t wait_us)
{
	struct flw *flw = call->flw;
	int changed;
	int lacking;
	int is_short;

	pthread_mutex_lock(&flw->peer_lock);
	changed = spl_note_wait(&flw->spill,
				wait_us > flw_crossing_cost_us(flw), call->now);
	lacking = spl_lacks_room(&flw->spill, call->now);
	is_short = flw->spill.short_of_room;
	pthread_mutex_unlock(&flw->peer_lock);
	if (changed)
		log_put(flw->desc.log, EV_SHORTAGE,
			"short=%d local_wait_ms=%lld", is_short,
			wait_us == SPL_WAIT_UNLIMITED ?
				-1LL :
				(long long)(wait_us / 1000));
	return lacking;
}

/* -- reports between data centres ---------------------------------------- */

/*
 * Each data centre gets an equal part of the reports. Neighbours in the ranking
 * of agents report to successive agents there, so that each gets about as many.
 */
static uint32_t remote_recipients(const struct viw *view,
				  const struct viw_service *service,
				  const struct viw_agent *me, uint32_t *out)
{
	uint32_t end = service->first + service->count;
	uint32_t number = (uint32_t)(me - view->agents) - service->first;
	uint32_t centres = 0;
	uint32_t used = 0;
	uint32_t at;
	uint32_t i;

	for (at = service->first; at < end; at++)
		centres += at == service->first ||
			   view->agents[at].data_centre !=
				   view->agents[at - 1].data_centre;
	for (at = service->first; at < end;) {
		uint64_t data_centre = view->agents[at].data_centre;
		uint32_t first;
		uint32_t count =
			viw_local_agents(view, service, data_centre, &first);
		uint32_t part =
			FLW_LOAD_REMOTE / (centres > 1 ? centres - 1 : 1);

		part = part ? part : 1;
		for (i = 0; data_centre != me->data_centre && i < part &&
			    i < count && used < FLW_LOAD_REMOTE;
		     i++)
			out[used++] = first + (number * part + i) % count;
		at += count;
	}
	return used;
}

/*
 * Agents that get this agent's load reports, as positions in the view. In a
 * small service these are all agents. In a large one they are the agents of its
 * data centre, which are the homes of most flows there, and a few agents
 * elsewhere, chosen by hash. Each home then knows about as many agents in other
 * data centres, for use when its own is full.
 */
uint32_t flw_load_recipients(const struct flw *flw, const struct viw *view,
			     const struct viw_service *service,
			     const struct viw_agent *me, int include_remote,
			     uint32_t *out)
{
	uint32_t first = service->first;
	uint32_t count = service->count;
	int ranks[FLW_LOAD_REMOTE];
	uint32_t used = 0;
	int ranked;
	uint32_t i;

	if (count > FLW_LOAD_FULL_MESH)
		count = viw_local_agents(view, service, me->data_centre,
					 &first);
	for (i = 0; i < count && used < FLW_PEERS_MAX - FLW_LOAD_REMOTE; i++)
		if (&view->agents[first + i] != me)
			out[used++] = first + i;
	if (!include_remote || count == service->count)
		return used;
	if (flw_spills(flw, service))
		return used + remote_recipients(view, service, me, out + used);
	ranked = rnk_order(view->home_nodes + service->first,
			   (int)service->count, me->id, ranks, FLW_LOAD_REMOTE);
	for (i = 0; i < (uint32_t)ranked; i++) {
		uint32_t at = service->first + (uint32_t)ranks[i];

		if (view->agents[at].data_centre != me->data_centre)
			out[used++] = at;
	}
	return used;
}

void flw_fill_data_centre_load(const struct flw_call *call,
			       Jj__DataCentreLoad *load)
{
	const struct viw_service *service =
		viw_service(call->view, call->flw->service);
	const struct viw_agent *me = viw_agent(call->view, call->flw->desc.id);
	struct local_load sum;

	if (!service || !me)
		return;
	sum = load_of_data_centre(call, service, me);
	load->short_of_room =
		flw_note_local_wait(call, local_wait(call, service, me, &sum));
	load->id = me->data_centre;
	load->slots = sum.slots;
	load->free_slots = sum.free_slots;
	load->queued = sum.queued;
	load->median_us = sum.typical_us;
}

/*
 * Homes that may send openings to a data centre: those of this one and of
 * others that are short of room. Peer lock held.
 */
static uint32_t count_senders(const struct flw_call *call,
			      const struct viw_service *service,
			      const struct viw_agent *me, uint64_t to)
{
	const struct viw *view = call->view;
	const struct spl_report *report = NULL;
	uint64_t data_centre = 0;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < service->count; i++) {
		uint32_t at = service->first + i;

		if (view->agents[at].data_centre != data_centre) {
			data_centre = view->agents[at].data_centre;
			report = spl_report_of(&call->flw->spill, data_centre,
					       call->now);
		}
		if (view->home_nodes[at].weight > 0 && data_centre != to &&
		    (data_centre == me->data_centre ||
		     (report && report->short_of_room)))
			count++;
	}
	return count;
}

void flw_on_data_centre_load(const struct flw_call *call,
			     const Jj__DataCentreLoad *load)
{
	struct flw *flw = call->flw;
	const struct viw_service *service =
		viw_service(call->view, flw->service);
	const struct viw_agent *me = viw_agent(call->view, flw->desc.id);
	struct spl_report report = { .id = load->id,
				     .slots = load->slots,
				     .free_slots = load->free_slots,
				     .queued = load->queued,
				     .typical_us = load->median_us,
				     .short_of_room =
					     (uint8_t)load->short_of_room };

	if (!service || !me || !flw_spills(flw, service) ||
	    load->id == me->data_centre)
		return;
	pthread_mutex_lock(&flw->peer_lock);
	if (!flw->spill_ready)
		spl_init(&flw->spill, (uint32_t)(me - call->view->agents));
	flw->spill_ready = 1;
	(void)spl_on_report(&flw->spill, &report,
			    count_senders(call, service, me, load->id),
			    call->now);
	pthread_mutex_unlock(&flw->peer_lock);
}
