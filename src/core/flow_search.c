/*
 * Packets of flows that the target does not hold: to the holder that is known,
 * else around the service, and around those that the address led to before.
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
	holder = viw_holder(view, e->holder);
	return !work->head.acknowledges || flw_fits(work->head.ack, e->first) ?
		       holder :
		       NULL;
}

/* Agents that a searching packet has visited, this one included. */
struct visits {
	uint64_t ids[FLW_SEARCH_MAX];
	uint32_t count;
	uint32_t searched; /* services of the address, before this one */
	int doubt; /* some agent's target may hold the flow nevertheless */
};

static int has_visited(const struct visits *visits, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < visits->count; i++)
		if (visits->ids[i] == id)
			return 1;
	return 0;
}

static void visits_of(const struct flw_work *work, struct visits *visits)
{
	const Jj__Packet *packet = work->packet;
	size_t i;

	visits->count = 0;
	visits->searched = packet->searched;
	visits->doubt = packet->doubt;
	if (packet->mode == FLW_SEARCH)
		for (i = 0; i < packet->n_tried && i + 1 < FLW_SEARCH_MAX; i++)
			visits->ids[visits->count++] = packet->tried[i];
	visits->ids[visits->count++] = work->me->id;
}

static uint32_t save_trial(struct flw *flw, uint64_t key,
			   const struct visits *visits)
{
	struct flw_trial *trial;
	uint32_t at;

	pthread_mutex_lock(&flw->trial_lock);
	at = flw->next_trial++ % FLW_TRIALS;
	trial = &flw->trials[at];
	trial->key = key;
	trial->count = visits->count;
	trial->searched = visits->searched;
	trial->doubt = (uint8_t)visits->doubt;
	memcpy(trial->visited, visits->ids,
	       visits->count * sizeof(*visits->ids));
	pthread_mutex_unlock(&flw->trial_lock);
	return at + 1;
}

static int load_trial(struct flw *flw, uint64_t key, uint32_t mark,
		      struct visits *visits)
{
	const struct flw_trial *trial;
	int found;

	if (!mark || mark > FLW_TRIALS)
		return 0;
	pthread_mutex_lock(&flw->trial_lock);
	trial = &flw->trials[mark - 1];
	found = trial->key == key;
	visits->count = trial->count;
	visits->searched = trial->searched;
	visits->doubt = trial->doubt;
	memcpy(visits->ids, trial->visited,
	       trial->count * sizeof(*visits->ids));
	pthread_mutex_unlock(&flw->trial_lock);
	return found;
}

/*
 * The target of an agent that was started lately may hold flows that the
 * agent does not know, so their packets are tried there until one comes back.
 * That none did proves nothing: bare acknowledgements are not answered, and a
 * target that was given another copy of the opening may swallow all. Every
 * second packet that asks for an answer therefore goes on searching, in doubt.
 * Returns 1: tried.
 */
static int try_target(const struct flw_work *work, struct visits *visits)
{
	const struct flw_call *call = work->call;
	struct flw *flw = call->flw;
	uint64_t key = work->packet->flow;
	struct flw_exception *known = flw_exception(work->shard, key);
	struct flw_exception e = { .key = key, .at = call->now };
	uint8_t buf[FRM_MAX_DATAGRAM];

	if (call->now > flw->started + flw->desc.flow_ttl_s * 1000000ull ||
	    (known && known->not_here) || work->packet->data.len > sizeof(buf))
		return 0;
	if (known)
		e = *known;
	e.trials += work->head.payload || work->head.closes;
	flw_put_exception(work->shard, &e);
	if (e.trials && e.trials % 2 == 0) {
		visits->doubt = 1;
		return 0;
	}
	memcpy(buf, work->packet->data.data, work->packet->data.len);
	flw->desc.codec.set_mark(buf, save_trial(flw, key, visits));
	met_add(flw->desc.met, MET_TRIED, 1);
	flw->desc.hooks.to_target(flw->desc.hooks.ctx, buf,
				  work->packet->data.len);
	return 1;
}

/* The next agent of the circle that was not visited, or null. */
static const struct viw_agent *next_agent(const struct flw_work *work,
					  const struct visits *visits)
{
	const struct viw *view = work->call->view;
	uint32_t at = (uint32_t)(work->me - view->agents);
	uint32_t i;

	for (i = 1; i < work->service->count; i++) {
		at++;
		if (at == work->service->first + work->service->count)
			at = work->service->first;
		if (!has_visited(visits, view->agents[at].id))
			return &view->agents[at];
	}
	return NULL;
}

/*
 * The service that the flow's address leads or led to, next in the circle of
 * all such services after one; that itself when there is no other.
 */
static const struct viw_service *next_service(const struct flw_work *work,
					      const struct viw_service *after)
{
	const struct viw *view = work->call->view;
	const struct viw_service *next = viw_former(
		view, work->head.service_ip, work->head.service_port, after);

	return next ? next :
		      viw_former(view, work->head.service_ip,
				 work->head.service_port, NULL);
}

/* How many services the flow's address leads or led to. */
static uint32_t count_services(const struct flw_work *work)
{
	const struct viw_service *service = NULL;
	uint32_t count = 0;

	while ((service = viw_former(work->call->view, work->head.service_ip,
				     work->head.service_port, service)))
		count++;
	return count;
}

/*
 * A flow stays with its service when its route moves to another. 1: the search
 * goes on there.
 */
static int search_former(const struct flw_work *work,
			 const struct visits *visits)
{
	const struct viw *view = work->call->view;
	const struct viw_service *service = work->service;
	uint32_t left = count_services(work);
	uint32_t searched = visits->searched + 1;

	for (; searched < left; searched++) {
		const struct viw_agent *home;
		Jj__Packet packet = *work->packet;
		struct flw_work search = *work;

		service = next_service(work, service);
		home = viw_home(view, service, packet.flow);
		if (!home || service == work->service)
			continue;
		packet.service = service->id;
		packet.searched = searched;
		packet.doubt = visits->doubt;
		packet.n_tried = 0;
		packet.hops = 0;
		search.packet = &packet;
		flw_forward(&search, home, FLW_FIRST);
		return 1;
	}
	return 0;
}

/* Nobody holds it, as far as all agents that could know. */
static int search_proves(const struct flw_work *work)
{
	return work->call->flw->settled && count_services(work) <= 1 &&
	       next_service(work, NULL) == work->service &&
	       !work->service->absent && work->head.acknowledges &&
	       !work->head.resets;
}

static void search_on(const struct flw_work *work, const struct visits *visits)
{
	struct flw *flw = work->call->flw;
	const struct viw_agent *next = next_agent(work, visits);
	Jj__Packet packet = *work->packet;
	struct flw_work search = *work;
	int proves;

	packet.tried = (uint64_t *)visits->ids;
	packet.n_tried = visits->count;
	packet.doubt = visits->doubt;
	packet.searched = visits->searched;
	packet.hops = 0;
	search.packet = &packet;
	if (next && visits->count < FLW_SEARCH_MAX) {
		flw_forward(&search, next, FLW_SEARCH);
		return;
	}
	if (search_former(work, visits))
		return;
	proves = !next && !visits->doubt && search_proves(work);
	met_add(flw->desc.met, MET_UNHELD, 1);
	log_put(flw->desc.log, EV_FLOW_UNHELD,
		"flow=%08x:%u>%08x:%u ack=%u visited=%u absent=%u doubt=%d "
		"reset=%d "
		"revision=%llu",
		work->head.caller_ip, work->head.caller_port,
		work->head.service_ip, work->head.service_port, work->head.ack,
		visits->count, work->service->absent, visits->doubt, proves,
		(unsigned long long)work->call->view->revision);
	if (proves)
		flw_reset_caller(work->call, &work->head, work->head.ack);
}

/* flow: of the target, when it answered another copy of the opening, or null */
void flw_on_unheld(const struct flw_work *work, const struct flw_flow *flow)
{
	const struct viw_agent *holder = known_holder(work);
	struct visits visits;

	if (holder && work->packet->mode == FLW_FIRST) {
		met_add(work->call->flw->desc.met, MET_EXCEPTION_HITS, 1);
		flw_forward(work, holder, FLW_HELD);
		return;
	}
	visits_of(work, &visits);
	if ((flow && flow->first_known) || !try_target(work, &visits))
		search_on(work, &visits);
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

/* A trial of an agent that was started lately: the search goes on. */
void flw_on_not_held(const struct flw_call *call, struct flw_shard *shard,
		     uint64_t key, const struct flw_packet *head, uint8_t *data,
		     size_t len)
{
	struct flw *flw = call->flw;
	uint32_t mark = flw->desc.codec.mark(data);
	struct visits visits;
	Jj__Packet packet = JJ__PACKET__INIT;
	struct flw_work work = { .call = call,
				 .shard = shard,
				 .packet = &packet,
				 .head = *head,
				 .service =
					 viw_service(call->view, flw->service),
				 .me = viw_agent(call->view, flw->desc.id) };

	if (!work.service || !work.me || !load_trial(flw, key, mark, &visits))
		return;
	note_not_here(shard, key, call->now);
	flw->desc.codec.restore(data);
	packet.service = flw->service;
	packet.caller_ip = head->caller_ip;
	packet.caller_port = head->caller_port;
	packet.flow = key;
	packet.data.data = data;
	packet.data.len = len;
	search_on(&work, &visits);
}
