/*
 * Packets of flows that are not in the table of this agent.
 *
 * Such a packet goes to the recorded holder. Without one, it goes to this
 * agent's target on trial if that may hold the flow, else all agents of the
 * service are asked (see flow_lookup.c), and then those of other services that
 * the address leads or led to.
 */
#include "flow_internal.h"

#include <string.h>
#include "jujube/frame.h"

int flw_ack_matches(uint32_t ack, uint32_t target_isn)
{
	return ack - target_isn <= FLW_ACK_SPAN;
}

/* The other agent that is recorded as holder of the packet's flow, or null. */
static const struct viw_agent *known_holder(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	const struct flw_location *location =
		flw_find_location(work->shard, work->packet->flow);
	const struct viw_agent *holder;

	if (!location || !location->holder || location->holder == work->me->id)
		return NULL;
	if (!location->target_isn_known)
		return viw_agent(view, location->holder);
	holder = viw_find_holder(view, location->holder);
	return !work->head.acknowledges ||
			       flw_ack_matches(work->head.ack,
					       location->target_isn) ?
		       holder :
		       NULL;
}

/* -- trials -------------------------------------------------------------- */

/*
 * An agent that started later than its target does not know all flows of the
 * target, so packets of unknown flows are passed to the target on trial, until
 * it returns one. A packet that is not returned proves nothing: bare
 * acknowledgements get no answer, and a target that received another copy of
 * the opening may discard everything silently.
 */
void flw_try_target(const struct flw_work *work, uint64_t requester)
{
	struct flw *flw = work->call->flw;
	const Jj__Packet *packet = work->packet;
	uint8_t buf[FRM_MAX_DATAGRAM];
	struct flw_trial *trial;
	uint32_t at;

	if (packet->data.len > sizeof(buf))
		return;
	pthread_mutex_lock(&flw->trial_lock);
	at = flw->next_trial++ % FLW_TRIALS;
	trial = &flw->trials[at];
	*trial = (struct flw_trial){ .key = packet->flow,
				     .requester = requester,
				     .via_id = packet->via_id,
				     .via_ip = packet->via_ip,
				     .via_port = (uint16_t)packet->via_port };
	pthread_mutex_unlock(&flw->trial_lock);
	memcpy(buf, packet->data.data, packet->data.len);
	flw->desc.codec.set_mark(buf, at + 1);
	met_add(flw->desc.met, MET_TRIALS, 1);
	flw->desc.hooks.to_target(flw->desc.hooks.ctx, buf, packet->data.len);
}

static int find_trial_by_mark(struct flw *flw, uint64_t key, uint32_t mark,
			      struct flw_trial *out)
{
	int found;

	if (!mark || mark > FLW_TRIALS)
		return 0;
	pthread_mutex_lock(&flw->trial_lock);
	*out = flw->trials[mark - 1];
	found = out->key == key;
	pthread_mutex_unlock(&flw->trial_lock);
	return found;
}

int flw_find_trial(struct flw *flw, uint64_t key, struct flw_trial *out)
{
	uint32_t i;
	int found = 0;

	pthread_mutex_lock(&flw->trial_lock);
	for (i = 0; i < FLW_TRIALS && !found; i++) {
		found = flw->trials[i].key == key;
		*out = flw->trials[i];
	}
	pthread_mutex_unlock(&flw->trial_lock);
	return found;
}

/*
 * Counts a trial of the packet's flow and returns the number of earlier ones.
 */
static uint32_t count_trial(const struct flw_work *work)
{
	const struct flw_location *known =
		flw_find_location(work->shard, work->packet->flow);
	struct flw_location location = { .key = work->packet->flow,
					 .updated_at = work->call->now };
	uint32_t before;

	if (known)
		location = *known;
	before = location.trial_count;
	if (location.trial_count < UINT8_MAX)
		location.trial_count++;
	flw_put_location(work->shard, &location);
	return before;
}

static void record_not_local(struct flw_shard *shard, uint64_t key,
			     uint64_t now)
{
	const struct flw_location *held = flw_find_location(shard, key);
	struct flw_location location = { .key = key, .updated_at = now };

	if (held)
		location = *held;
	location.not_local = 1;
	flw_put_location(shard, &location);
}

static int is_not_local(const struct flw_work *work,
			const struct flw_flow *flow)
{
	const struct flw_location *known =
		flw_find_location(work->shard, work->packet->flow);

	return (flow && flow->target_isn_known) ||
	       (known && known->not_local) || flw_knows_all_flows(work->call);
}

static void send_not_held(const struct flw_call *call, uint64_t requester,
			  uint64_t key)
{
	struct flw *flw = call->flw;
	const struct viw_agent *to = viw_agent(call->view, requester);
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__InquiryReply reply = JJ__INQUIRY_REPLY__INIT;

	if (!to)
		return;
	reply.not_held = &key;
	reply.n_not_held = 1;
	env.body_case = JJ__ENVELOPE__BODY_INQUIRY_REPLY;
	env.inquiry_reply = &reply;
	flw->desc.hooks.to_process(flw->desc.hooks.ctx, call->thread, to->ip,
				   to->data_port, &env);
}

/* -- other services ------------------------------------------------------ */

/*
 * Returns the service that follows after in the cyclic order of the services
 * that the flow's address leads or led to: after itself if there is no other.
 */
static const struct viw_service *next_service(const struct flw_work *work,
					      const struct viw_service *after)
{
	const struct viw *view = work->call->view;
	const struct viw_service *next = viw_next_routed_service(
		view, work->head.service_ip, work->head.service_port, after);

	return next ? next :
		      viw_next_routed_service(view, work->head.service_ip,
					      work->head.service_port, NULL);
}

/* Number of services that the flow's address leads or led to. */
static uint32_t count_services(const struct flw_work *work)
{
	const struct viw_service *service = NULL;
	uint32_t count = 0;

	while ((service = viw_next_routed_service(
			work->call->view, work->head.service_ip,
			work->head.service_port, service)))
		count++;
	return count;
}

/*
 * A flow stays with its service when its route moves to another. Forwards the
 * packet to the home in the next service that was not searched; returns 0 if
 * there is none. before: number of services searched before this one.
 */
static int search_former_services(const struct flw_work *work, uint32_t before)
{
	const struct viw *view = work->call->view;
	const struct viw_service *service = work->service;
	uint32_t left = count_services(work);
	uint32_t searched = before + 1;

	for (; searched < left; searched++) {
		const struct viw_agent *home;
		Jj__Packet packet = *work->packet;
		struct flw_work search = *work;

		service = next_service(work, service);
		home = viw_first_home(
			view, service, packet.flow,
			viw_balancer_data_centre(view, packet.via_id));
		if (!home || service == work->service)
			continue;
		packet.searched = searched;
		packet.hops = 0;
		search.packet = &packet;
		flw_forward(&search, home, FLW_MODE_HOME);
		return 1;
	}
	return 0;
}

/* -- unknown flows ------------------------------------------------------- */

/*
 * Whether the lookup proves that no target holds the flow: every agent of the
 * fleet gave a definite answer. The services that the address is known to lead
 * to prove nothing, see flow_lookup.c.
 */
static int proves_lost(const struct flw_work *work,
		       const struct flw_lookup_result *result)
{
	return work->call->flw->members_known && result->wide &&
	       !result->silent && !result->unknown && !result->partial &&
	       work->head.acknowledges && !work->head.resets;
}

void flw_on_lookup_failed(const struct flw_work *work,
			  const struct flw_lookup_result *result)
{
	struct flw *flw = work->call->flw;
	int lost = proves_lost(work, result);

	if (!lost && search_former_services(work, result->searched)) {
		flw_cancel_lookup(flw, work->packet->flow);
		return;
	}
	/* The agents of all services are asked next. */
	if (!result->wide && !result->silent && !result->unknown)
		return;
	if (result->repeated && !lost)
		return;
	met_add(flw->desc.met, MET_WITHOUT_HOLDER, 1);
	log_put(flw->desc.log, EV_FLOW_WITHOUT_HOLDER,
		"flow=%08x:%u>%08x:%u ack=%u asked=%u silent=%u unknown=%u "
		"reset=%d revision=%s",
		work->head.caller_ip, work->head.caller_port,
		work->head.service_ip, work->head.service_port, work->head.ack,
		result->agent_count, result->silent, result->unknown, lost,
		tbl_format_revision(work->call->view->revision).text);
	if (lost)
		flw_reset_caller(work->call, &work->head, work->head.ack);
}

void flw_on_unknown_flow(const struct flw_work *work,
			 const struct flw_flow *flow)
{
	const struct viw_agent *holder = known_holder(work);
	int not_local = is_not_local(work, flow);

	if (work->packet->mode == FLW_MODE_TRIAL) {
		if (not_local)
			send_not_held(work->call, work->packet->origin,
				      work->packet->flow);
		else
			flw_try_target(work, work->packet->origin);
		return;
	}
	if (holder && work->packet->mode == FLW_MODE_HOME) {
		met_add(work->call->flw->desc.met, MET_HOLDER_HITS, 1);
		flw_forward(work, holder, FLW_MODE_HOLDER);
		return;
	}
	/*
	 * The first trial may be enough. If it gives no result, all agents are
	 * asked.
	 */
	if (!not_local && !count_trial(work)) {
		flw_try_target(work, work->me->id);
		flw_look_up_later(work);
	} else {
		flw_look_up(work, not_local);
	}
}

void flw_on_trial_returned(const struct flw_call *call, struct flw_shard *shard,
			   uint64_t key, const struct flw_packet *head,
			   uint8_t *data, size_t len)
{
	struct flw *flw = call->flw;
	uint32_t mark = flw->desc.codec.mark(data);
	struct flw_trial trial;
	Jj__Packet packet;
	struct flw_work work;

	(void)head;
	if (!find_trial_by_mark(flw, key, mark, &trial))
		return;
	record_not_local(shard, key, call->now);
	if (trial.requester != flw->desc.id) {
		send_not_held(call, trial.requester, key);
		return;
	}
	flw->desc.codec.restore(data);
	if (!flw_restore_work(call, &work, &packet, key, data, len))
		return;
	packet.via_id = trial.via_id;
	packet.via_ip = trial.via_ip;
	packet.via_port = trial.via_port;
	flw_look_up(&work, 1);
}
