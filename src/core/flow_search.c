/*
 * Packets of flows that the target is not known to hold: to the holder that is
 * known, else on trial to the target when it may hold it, else all agents are
 * asked, and then those of services that the address led to before.
 */
#include "flow_internal.h"

#include <string.h>
#include "jujube/frame.h"

int flw_fits(uint32_t ack, uint32_t first)
{
	return ack - first <= FLW_SPAN;
}

/* Another agent that is said to hold the packet's flow, or null. */
static const struct viw_agent *known_holder(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	const struct flw_exception *e =
		flw_exception(work->shard, work->packet->flow);
	const struct viw_agent *holder;

	if (!e || !e->holder || e->holder == work->me->id)
		return NULL;
	if (!e->first_known)
		return viw_agent(view, e->holder);
	holder = viw_find_holder(view, e->holder);
	return !work->head.acknowledges || flw_fits(work->head.ack, e->first) ?
		       holder :
		       NULL;
}

/* -- trials -------------------------------------------------------------- */

/*
 * The target of an agent that was started later may hold flows that the agent
 * does not know, so their packets are tried there until one comes back. That
 * none did proves nothing: bare acknowledgements are not answered, and a
 * target that was given another copy of the opening may swallow all.
 */
void flw_try_target(const struct flw_work *work, uint64_t asker)
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
				     .asker = asker,
				     .via_id = packet->via_id,
				     .via_ip = packet->via_ip,
				     .via_port = (uint16_t)packet->via_port };
	pthread_mutex_unlock(&flw->trial_lock);
	memcpy(buf, packet->data.data, packet->data.len);
	flw->desc.codec.set_mark(buf, at + 1);
	met_add(flw->desc.met, MET_TRIED, 1);
	flw->desc.hooks.to_target(flw->desc.hooks.ctx, buf, packet->data.len);
}

static int load_trial(struct flw *flw, uint64_t key, uint32_t mark,
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

/* Counts a trial of a flow; the number of those before. */
static uint32_t count_trial(const struct flw_work *work)
{
	const struct flw_exception *known =
		flw_exception(work->shard, work->packet->flow);
	struct flw_exception e = { .key = work->packet->flow,
				   .at = work->call->now };
	uint32_t before;

	if (known)
		e = *known;
	before = e.trials;
	if (e.trials < UINT8_MAX)
		e.trials++;
	flw_put_exception(work->shard, &e);
	return before;
}

static void note_not_here(struct flw_shard *shard, uint64_t key, uint64_t now)
{
	const struct flw_exception *held = flw_exception(shard, key);
	struct flw_exception e = { .key = key, .at = now };

	if (held)
		e = *held;
	e.not_here = 1;
	flw_put_exception(shard, &e);
}

static int surely_not_here(const struct flw_work *work,
			   const struct flw_flow *flow)
{
	const struct flw_exception *known =
		flw_exception(work->shard, work->packet->flow);

	return (flow && flow->first_known) || (known && known->not_here) ||
	       flw_knows_all(work->call);
}

static void tell_not_held(const struct flw_call *call, uint64_t asker,
			  uint64_t key)
{
	struct flw *flw = call->flw;
	const struct viw_agent *to = viw_agent(call->view, asker);
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
 * The service that the flow's address leads or led to, next in the circle of
 * all such services after one; that itself when there is no other.
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

/* How many services the flow's address leads or led to. */
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
 * A flow stays with its service when its route moves to another. 1: it is
 * looked for there.
 */
static int search_former(const struct flw_work *work, uint32_t before)
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
		packet.service = service->id;
		packet.searched = searched;
		packet.hops = 0;
		search.packet = &packet;
		flw_forward(&search, home, FLW_FIRST);
		return 1;
	}
	return 0;
}

/* -- decisions ----------------------------------------------------------- */

/* Nobody holds it, as far as all agents that could know. */
static int is_proof(const struct flw_work *work,
		    const struct flw_verdict *verdict)
{
	return work->call->flw->settled && !verdict->silent &&
	       !verdict->unknown && !verdict->partial &&
	       count_services(work) <= 1 &&
	       next_service(work, NULL) == work->service &&
	       work->head.acknowledges && !work->head.resets;
}

void flw_on_unfound(const struct flw_work *work,
		    const struct flw_verdict *verdict)
{
	struct flw *flw = work->call->flw;
	int proves = is_proof(work, verdict);

	if (search_former(work, verdict->searched)) {
		flw_forget_asked(flw, work->packet->flow);
		return;
	}
	if (verdict->again && !proves)
		return;
	met_add(flw->desc.met, MET_UNHELD, 1);
	log_put(flw->desc.log, EV_FLOW_WITHOUT_HOLDER,
		"flow=%08x:%u>%08x:%u ack=%u asked=%u silent=%u unknown=%u "
		"reset=%d revision=%llu",
		work->head.caller_ip, work->head.caller_port,
		work->head.service_ip, work->head.service_port, work->head.ack,
		verdict->asked, verdict->silent, verdict->unknown, proves,
		(unsigned long long)work->call->view->revision);
	if (proves)
		flw_reset_caller(work->call, &work->head, work->head.ack);
}

void flw_on_unheld(const struct flw_work *work, const struct flw_flow *flow)
{
	const struct viw_agent *holder = known_holder(work);
	int not_here = surely_not_here(work, flow);

	if (work->packet->mode == FLW_TRIAL) {
		if (not_here)
			tell_not_held(work->call, work->packet->origin,
				      work->packet->flow);
		else
			flw_try_target(work, work->packet->origin);
		return;
	}
	if (holder && work->packet->mode == FLW_FIRST) {
		met_add(work->call->flw->desc.met, MET_EXCEPTION_HITS, 1);
		flw_forward(work, holder, FLW_HELD);
		return;
	}
	/* The first trial may settle it; without a result all are asked. */
	if (!not_here && !count_trial(work)) {
		flw_try_target(work, work->me->id);
		flw_ask_later(work);
	} else {
		flw_ask(work, not_here);
	}
}

void flw_on_not_held(const struct flw_call *call, struct flw_shard *shard,
		     uint64_t key, const struct flw_packet *head, uint8_t *data,
		     size_t len)
{
	struct flw *flw = call->flw;
	uint32_t mark = flw->desc.codec.mark(data);
	struct flw_trial trial;
	Jj__Packet packet;
	struct flw_work work;

	(void)head;
	if (!load_trial(flw, key, mark, &trial))
		return;
	note_not_here(shard, key, call->now);
	if (trial.asker != flw->desc.id) {
		tell_not_held(call, trial.asker, key);
		return;
	}
	flw->desc.codec.restore(data);
	if (!flw_resume(call, &work, &packet, key, data, len))
		return;
	packet.via_id = trial.via_id;
	packet.via_ip = trial.via_ip;
	packet.via_port = trial.via_port;
	flw_ask(&work, 1);
}
