/*
 * Sending openings to another data centre when this one is short of room.
 *
 * The home decides by the load reports of its own data centre, and by what
 * agents elsewhere report about theirs (see spill.h). It sends the opening to
 * the flow's first home in the chosen data centre, the gateway, which places it
 * by its own, newer state. A spilled opening is never sent to a third data
 * centre: it carries the agent that sent it as its origin, and an agent whose
 * data centre is not the origin's only considers targets of its own.
 *
 * Small services are not concerned, as each of their homes knows the load of
 * all targets.
 */
#include "flow_internal.h"

#include <stdio.h>
#include <string.h>

int flw_may_cross(const struct flw_work *work)
{
	return !flw_spills(work->call->flw, work->service) ||
	       !flw_has_terms(work);
}

/*
 * Time until a placed opening is part of the reports on its data centre: agents
 * there report changes to FLW_LOAD_BATCH peers every FLW_LOAD_MIN_US. Assumes
 * that data centres are of about the same size.
 */
static uint64_t report_lag_us(const struct flw_call *call,
			      const struct viw_service *service,
			      const struct viw_agent *me)
{
	uint32_t first;
	uint32_t count =
		viw_local_agents(call->view, service, me->data_centre, &first);

	return (count / FLW_LOAD_BATCH + 1ull) * FLW_LOAD_MIN_US +
	       call->flw->desc.crossing_ms * 1000ull;
}

/* -- sending ------------------------------------------------------------- */

static int was_tried(const struct flw_work *work, uint64_t id)
{
	size_t i;

	for (i = 0; i < work->packet->n_tried; i++)
		if (work->packet->tried[i] == id)
			return 1;
	return 0;
}

/* Whether the opening has not left this data centre before. */
static int may_leave(const struct flw_work *work)
{
	const struct viw_agent *origin;

	if (work->packet->mode == FLW_MODE_SPILLED)
		return 0;
	if (!work->packet->origin)
		return 1;
	origin = viw_agent(work->call->view, work->packet->origin);
	return origin && origin->data_centre == work->me->data_centre;
}

/* The best home in a data centre that the opening has not visited, or null. */
static const struct viw_agent *gateway_in(const struct flw_work *work,
					  uint64_t data_centre)
{
	const struct viw *view = work->call->view;
	int homes[FLW_TRIED_MAX];
	int count = viw_rank_homes(view, work->service, work->packet->flow,
				   data_centre, homes, FLW_TRIED_MAX);
	int i;

	for (i = 0; i < count; i++) {
		const struct viw_agent *agent = &view->agents[homes[i]];

		if (agent->data_centre == data_centre &&
		    !was_tried(work, agent->id))
			return agent;
	}
	return NULL;
}

/*
 * Data centre of a gateway that did not report in time. It is tried last, since
 * the whole data centre may be cut off.
 */
static uint64_t failed_data_centre(const struct flw_work *work)
{
	const struct viw_agent *agent =
		work->packet->n_tried ?
			viw_agent(work->call->view, work->packet->tried[0]) :
			NULL;

	return agent && agent->data_centre != work->me->data_centre ?
		       agent->data_centre :
		       0;
}

/* Returns the gateway, or null if the opening stays here. */
static const struct viw_agent *choose_gateway(const struct flw_work *work,
					      uint64_t wait_us,
					      struct spl_choice *choice)
{
	const struct flw_call *call = work->call;
	struct flw *flw = call->flw;
	struct spl_request request = {
		.now = call->now,
		.local_wait_us = wait_us,
		.crossing_us = flw->desc.crossing_ms * 1000ull,
		.price_us = flw->desc.crossing_price_ms * 1000ull,
		.lag_us = report_lag_us(call, work->service, work->me),
		.roll = (uint32_t)(work->packet->flow >> 32),
		.excluded = failed_data_centre(work),
	};
	const struct viw_agent *gateway = NULL;
	struct spl copy;
	struct spl *spill = work->trace ? &copy : &flw->spill;
	int found;

	pthread_mutex_lock(&flw->peer_lock);
	/* spl_choose() begins new windows: an explanation uses a copy. */
	if (work->trace)
		copy = flw->spill;
	found = spl_choose(spill, &request, choice);
	if (!found && request.excluded) {
		request.excluded = 0;
		found = spl_choose(spill, &request, choice);
	}
	if (found)
		gateway = gateway_in(work, choice->id);
	if (gateway)
		spl_note_sent(spill, choice->id);
	pthread_mutex_unlock(&flw->peer_lock);
	return gateway;
}

static void log_spilled(const struct flw_work *work,
			const struct viw_agent *gateway, uint64_t wait_us,
			const struct spl_choice *choice)
{
	const struct flw_packet *head = &work->head;

	log_put(work->call->flw->desc.log, EV_OPENING_SPILLED,
		"flow=%08x:%u>%08x:%u repeat=%u from=%016llx to=%016llx "
		"gateway=%016llx local_wait_ms=%lld free=%u age_ms=%llu",
		head->caller_ip, head->caller_port, head->service_ip,
		head->service_port, head->repeat,
		(unsigned long long)work->me->data_centre,
		(unsigned long long)choice->id, (unsigned long long)gateway->id,
		wait_us == SPL_WAIT_UNLIMITED ? -1LL :
						(long long)(wait_us / 1000),
		choice->free_slots, (unsigned long long)choice->age_us / 1000);
}

static void send_to_gateway(const struct flw_work *work,
			    const struct viw_agent *gateway)
{
	struct flw_location location = { .key = work->packet->flow,
					 .holder = gateway->id,
					 .spilled = 1,
					 .updated_at = work->call->now };
	struct flw_work next = *work;
	Jj__Packet packet = *work->packet;

	flw_put_location(work->shard, &location);
	if (!packet.origin) {
		packet.origin = work->me->id;
		flw_watch_placement(work, gateway->id);
	}
	/* Visited agents of this data centre mean nothing there. */
	packet.tried = NULL;
	packet.n_tried = 0;
	next.packet = &packet;
	met_add(work->call->flw->desc.met, MET_SPILLED, 1);
	flw_forward(&next, gateway, FLW_MODE_SPILLED);
}

const struct viw_agent *flw_choose_gateway(const struct flw_work *work,
					   uint64_t *wait_us,
					   struct spl_choice *choice)
{
	if (!flw_spills(work->call->flw, work->service) || !may_leave(work) ||
	    !flw_has_terms(work))
		return NULL;
	*wait_us = flw_local_wait_us(work);
	if (!work->trace)
		(void)flw_note_local_wait(work->call, *wait_us);
	if (*wait_us <= flw_crossing_cost_us(work->call->flw))
		return NULL;
	return choose_gateway(work, *wait_us, choice);
}

int flw_try_spill(const struct flw_work *work)
{
	struct spl_choice choice;
	uint64_t wait_us;
	const struct viw_agent *gateway =
		flw_choose_gateway(work, &wait_us, &choice);

	if (!gateway)
		return 0;
	log_spilled(work, gateway, wait_us, &choice);
	send_to_gateway(work, gateway);
	return 1;
}

int flw_follow_spilled(const struct flw_work *work,
		       const struct flw_location *location)
{
	const struct viw_agent *gateway =
		viw_agent(work->call->view, location->holder);

	if (!location->spilled || location->target_isn_known || !gateway ||
	    work->call->now >= location->updated_at + FLW_PLACEMENT_TIMEOUT_US)
		return 0;
	flw_forward(work, gateway, FLW_MODE_SPILLED);
	return 1;
}

/* -- the gateway --------------------------------------------------------- */

/*
 * The origin may send a copy while this agent's choice is still answering; it
 * then goes there. Otherwise another target is chosen.
 */
void flw_place_spilled(const struct flw_work *work)
{
	const struct flw_location *location =
		flw_find_location(work->shard, work->packet->flow);
	const struct viw_agent *holder;
	struct flw_work again = *work;
	Jj__Packet packet = *work->packet;
	uint64_t tried;

	met_add(work->call->flw->desc.met, MET_SPILL_RECEIVED, 1);
	if (!location || !location->holder || location->refused ||
	    !work->head.repeat) {
		flw_place(work);
		return;
	}
	holder = viw_agent(work->call->view, location->holder);
	if (holder && holder != work->me &&
	    work->call->now < location->updated_at + FLW_TARGET_TIMEOUT_US) {
		flw_forward(work, holder, FLW_MODE_HOLDER);
		return;
	}
	tried = location->holder;
	packet.tried = &tried;
	packet.n_tried = 1;
	again.packet = &packet;
	flw_place(&again);
}

/* -- state for operators ------------------------------------------------- */

size_t flw_format_spill(struct flw *flw, uint64_t now, char *buf, size_t size)
{
	size_t len = 0;
	int i;

	*buf = '\0';
	if (!flw->desc.spill)
		return 0;
	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < SPL_CENTRES_MAX && len < size - 1; i++) {
		const struct spl_centre *centre = &flw->spill.centres[i];
		uint64_t age = now > centre->reported_at ?
				       now - centre->reported_at :
				       0;
		int wrote;

		if (!centre->report.id)
			continue;
		wrote = snprintf(
			buf + len, size - len,
			"data_centre id=%016llx slots=%u free=%u queued=%u "
			"typical_us=%u short_of_room=%d age_ms=%llu sent=%u\n",
			(unsigned long long)centre->report.id,
			centre->report.slots, centre->report.free_slots,
			centre->report.queued, centre->report.typical_us,
			centre->report.short_of_room,
			(unsigned long long)age / 1000, centre->sent);
		if (wrote < 0 || (size_t)wrote >= size - len)
			break;
		len += (size_t)wrote;
	}
	pthread_mutex_unlock(&flw->peer_lock);
	buf[len] = '\0';
	return len;
}
