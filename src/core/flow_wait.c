/*
 * Openings that wait by the terms of their routes (see waitq.h): which ones may
 * wait, where, and until when.
 *
 * An entry is taken out of the queue with its shard locked, while it is placed
 * or refused, so that no copy of it can be placed in the meantime.
 */
#include "flow_internal.h"

#include <string.h>

/* Times after an opening at which its caller sends the copies. */
#define FIRST_COPY_US 200000
#define SECOND_COPY_US 600000

/* -- terms --------------------------------------------------------------- */

static struct viw_terms terms_of(const struct flw_work *work)
{
	return viw_terms(work->call->view, work->head.service_ip,
			 work->head.service_port);
}

int flw_waits_by_terms(const struct flw_work *work)
{
	return work->call->flw->desc.wait_queue && flw_has_terms(work);
}

int flw_is_urgent(const struct flw_work *work)
{
	uint32_t priority = terms_of(work).priority;

	return priority && priority < work->service->lowest_priority;
}

uint64_t flw_attempt_age_us(const struct flw_work *work)
{
	uint64_t age_us = work->packet->age_ms * 1000ull;
	uint64_t copy_us = work->head.repeat > 1  ? SECOND_COPY_US :
			   work->head.repeat == 1 ? FIRST_COPY_US :
						    0;

	return age_us > copy_us ? age_us : copy_us;
}

static struct wtq_request make_request(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	struct viw_terms terms = terms_of(work);
	uint64_t age_us = flw_attempt_age_us(work);
	uint64_t now = work->call->now;
	uint64_t began_at = now > age_us ? now - age_us : 0;

	return (struct wtq_request){
		.priority = terms.priority,
		.began_at = began_at,
		.target_latency_us = terms.target_latency_ms * 1000ull,
		.deadline_us = terms.deadline_ms * 1000ull,
		.expires_at = began_at + flw->desc.wait_max_ms * 1000ull,
	};
}

/*
 * This agent's target. One that is returning has sent no heartbeat yet; its
 * slots are those that the table gives.
 */
static struct wtq_room own_room(const struct flw_call *call,
				const struct viw_service *service,
				const struct viw_agent *me)
{
	struct flw *flw = call->flw;
	struct wtq_room room = {
		.slots = flw_cap(flw, service, call->now) - flw->desc.queue,
		.typical_us = flw_typical_us(flw, call->now),
	};

	if (!room.slots)
		room.slots = me->slots;
	if (!room.typical_us)
		room.typical_us = flw->peer_median_us;
	return room;
}

/*
 * Whether a target of the service may get openings again before long. A target
 * that is gone counts: it may be started again while the opening waits.
 */
static int may_return(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	uint32_t i;

	for (i = 0; i < work->service->count; i++) {
		const struct viw_agent *agent =
			&view->agents[work->service->first + i];

		if (!agent->out && !agent->draining && agent->weight)
			return 1;
	}
	return 0;
}

/* -- arrival ------------------------------------------------------------- */

static void notify_origin(const struct flw_work *work)
{
	const struct viw_agent *origin =
		viw_agent(work->call->view, work->packet->origin);

	if (origin && origin != work->me)
		flw_notify_waiting(work->call, origin->ip, origin->data_port,
				   &work->packet->flow, 1);
}

static void log_waiting(const struct flw_work *work,
			const struct wtq_request *request,
			const struct wtq_added *added)
{
	const struct flw_packet *head = &work->head;
	struct flw *flw = work->call->flw;

	log_put(flw->desc.log, EV_OPENING_WAITS,
		"flow=%08x:%u>%08x:%u repeat=%u priority=%u estimate_ms=%llu "
		"late=%d queued=%u",
		head->caller_ip, head->caller_port, head->service_ip,
		head->service_port, head->repeat, request->priority,
		(unsigned long long)added->estimate_us / 1000,
		added->verdict == WTQ_WAITS_LATE, (unsigned)flw->waiting_count);
}

static void set_opening(struct flw_waiting *entry, const struct flw_work *work)
{
	const Jj__Packet *packet = work->packet;

	entry->seq = work->head.seq;
	entry->opening_len = (uint8_t)packet->data.len;
	memcpy(entry->opening, packet->data.data, packet->data.len);
}

static uint8_t copy_bit(const struct flw_work *work)
{
	return (uint8_t)(1u << (work->head.repeat < 3 ? work->head.repeat : 3));
}

/*
 * Whether a copy that the caller has sent by now may have gone to another
 * agent, as the notification of the balancer was lost or late. A target may
 * have answered it, so that a reset would end an open flow.
 */
static int copy_elsewhere(const struct flw_waiting *entry, uint64_t now)
{
	uint64_t began_at = entry->request.began_at;
	uint8_t sent = 1;

	if (now >= began_at + FIRST_COPY_US)
		sent |= 1 << 1;
	if (now >= began_at + SECOND_COPY_US)
		sent |= 1 << 2;
	return (sent & ~entry->copies) != 0;
}

/* Refuses an opening on arrival. */
static void refuse_arrival(const struct flw_work *work,
			   const struct flw_waiting *entry, const char *why)
{
	Jj__Packet packet = *work->packet;
	struct flw_work refused = *work;

	packet.doubt |= copy_elsewhere(entry, work->call->now);
	refused.packet = &packet;
	flw_refuse(&refused, why);
}

/* Whether the opening fits in the queue and its attempt has not ended. */
static int is_storable(const struct flw_work *work,
		       const struct wtq_request *request)
{
	return work->packet->data.len <= FLW_OPENING_BYTES &&
	       work->call->now < request->expires_at;
}

/* Null: an opening with this verdict waits. */
static const char *queue_refusal_reason(enum wtq_verdict verdict)
{
	if (verdict == WTQ_HOPELESS)
		return "no room before the deadline";
	return verdict == WTQ_FULL ? "too many openings wait" : NULL;
}

static void queue_opening(const struct flw_work *work, const char *why)
{
	const Jj__Packet *packet = work->packet;
	struct flw *flw = work->call->flw;
	struct wtq_room room = own_room(work->call, work->service, work->me);
	struct flw_waiting entry = {
		.key = packet->flow,
		.origin = packet->origin,
		.via_id = packet->via_id,
		.via_ip = packet->via_ip,
		.via_port = (uint16_t)packet->via_port,
		.queued_at = work->call->now,
		.request = make_request(work),
		.copy_possible = (uint8_t)packet->doubt,
		.copies = copy_bit(work),
	};
	struct wtq_added added;

	if (!is_storable(work, &entry.request)) {
		refuse_arrival(work, &entry, why);
		return;
	}
	set_opening(&entry, work);
	added = flw_add_waiting(flw, &entry, &room, work->call->now);
	if (added.handle == WTQ_NONE) {
		met_add(flw->desc.met,
			added.verdict == WTQ_HOPELESS ? MET_WAIT_HOPELESS :
							MET_WAIT_EVICTED,
			1);
		refuse_arrival(work, &entry,
			       queue_refusal_reason(added.verdict));
		return;
	}
	met_add(flw->desc.met, MET_DEFERRED, 1);
	met_add(flw->desc.met, MET_WAITED, 1);
	log_waiting(work, &entry.request, &added);
	notify_origin(work);
}

/* Whether the opening is passed to another agent's queue if there is one. */
static int may_pass(const struct flw_work *work)
{
	return work->packet->mode != FLW_MODE_QUEUE &&
	       flw_unavailable_reason(work->call->flw, work->service, work->me,
				      work->call->now);
}

void flw_wait_by_terms(const struct flw_work *work, const char *why)
{
	if (may_pass(work) && flw_pass_to_queue(work))
		return;
	if (may_return(work))
		queue_opening(work, why);
	else
		flw_refuse(work, why);
}

/*
 * The balancer is notified of each copy that arrives here: that is how it knows
 * that this agent is still alive. A packet with another sequence number begins
 * a new attempt from the same port.
 */
void flw_refresh_waiting(const struct flw_work *work)
{
	const Jj__Packet *packet = work->packet;
	struct flw *flw = work->call->flw;
	uint32_t handle;

	pthread_mutex_lock(&flw->pending_lock);
	handle = map_get(&flw->waiting_index, packet->flow);
	if (handle != MAP_NONE) {
		struct flw_waiting *entry = &flw->waiting[handle];

		entry->via_id = packet->via_id;
		entry->via_ip = packet->via_ip;
		entry->via_port = (uint16_t)packet->via_port;
		entry->copy_possible |= packet->doubt != 0;
		entry->balancer_notified = 1;
		entry->copies |= copy_bit(work);
		if (!entry->origin)
			entry->origin = packet->origin;
		if (work->head.seq != entry->seq &&
		    packet->data.len <= FLW_OPENING_BYTES) {
			set_opening(entry, work);
			entry->copies = copy_bit(work);
			entry->queued_at = work->call->now;
			entry->request = make_request(work);
			flw->wait_cells[handle].request = entry->request;
		}
	}
	pthread_mutex_unlock(&flw->pending_lock);
	notify_origin(work);
	if (packet->via_id)
		flw_notify_waiting(work->call, packet->via_ip,
				   (uint16_t)packet->via_port, &packet->flow,
				   1);
}

/* -- passing openings on ------------------------------------------------- */

static uint64_t wait_at_peer_us(const struct flw *flw,
				const struct flw_peer *peer)
{
	uint32_t slots =
		peer->cap > flw->desc.queue ? peer->cap - flw->desc.queue : 1;
	uint32_t typical_us = peer->typical_us	  ? peer->typical_us :
			      flw->peer_median_us ? flw->peer_median_us :
						    1;

	return ((uint64_t)peer->load + peer->queued) * typical_us / slots;
}

/*
 * The agent of this data centre with the shortest expected wait, or null. Its
 * queue is counted as longer by one until its next report, unless the choice is
 * only explained.
 */
static const struct viw_agent *shortest_queue(const struct flw_work *work)
{
	const struct flw_call *call = work->call;
	struct flw *flw = call->flw;
	const struct viw_agent *best = NULL;
	struct flw_peer *chosen = NULL;
	uint64_t shortest_us = UINT64_MAX;
	int i;

	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < FLW_PEERS_MAX; i++) {
		struct flw_peer *peer = &flw->peers[i];
		const struct viw_agent *agent;
		uint64_t wait_us;

		if (!peer->id || !peer->cap || peer->avoided ||
		    call->now > peer->reported_at + FLW_LOAD_FRESH_US)
			continue;
		agent = viw_agent(call->view, peer->id);
		if (!agent || !agent->can_open ||
		    agent->data_centre != work->me->data_centre ||
		    &call->view->services[agent->service] != work->service)
			continue;
		wait_us = wait_at_peer_us(flw, peer);
		if (wait_us < shortest_us) {
			shortest_us = wait_us;
			best = agent;
			chosen = peer;
		}
	}
	if (chosen && !work->trace)
		chosen->queued++;
	pthread_mutex_unlock(&flw->peer_lock);
	return best;
}

int flw_pass_to_queue(const struct flw_work *work)
{
	const struct viw_agent *to = shortest_queue(work);
	Jj__Packet packet = *work->packet;
	struct flw_work next = *work;
	struct flw_location location = { .key = packet.flow,
					 .updated_at = work->call->now };

	if (!to)
		return 0;
	location.holder = to->id;
	flw_put_location(work->shard, &location);
	if (!packet.origin) {
		packet.origin = work->me->id;
		flw_watch_placement(work, to->id);
	}
	next.packet = &packet;
	flw_forward(&next, to, FLW_MODE_QUEUE);
	return 1;
}

struct flw_wait_outcome flw_assess_wait(const struct flw_work *work,
					const char *why)
{
	struct flw_wait_outcome out = { .why = why };
	struct wtq_request request = make_request(work);
	struct wtq_room room = own_room(work->call, work->service, work->me);
	uint64_t now = work->call->now;
	const char *refusal;

	if (may_pass(work))
		out.passed_to = shortest_queue(work);
	if (out.passed_to || !may_return(work) || !is_storable(work, &request))
		return out;
	out.added = flw_assess_waiting(work->call->flw, &request, &room, now);
	out.assessed = 1;
	out.at_most_us = request.expires_at - now;
	refusal = queue_refusal_reason(out.added.verdict);
	out.waits = !refusal;
	if (refusal)
		out.why = refusal;
	return out;
}

/* -- leaving the queue --------------------------------------------------- */

/*
 * Whether the opening has been answered by a target while it waited, so that it
 * must neither be placed again nor refused. This agent's target may have
 * answered a copy that arrived while the entry was displaced, or an earlier one
 * late; another one may have answered a copy that the balancer sent elsewhere.
 */
static int is_answered(struct flw_shard *shard, const struct flw_waiting *entry)
{
	const struct flw_location *location =
		flw_find_location(shard, entry->key);

	/* An older location is that of an earlier flow from the same port. */
	return flw_find_flow(shard, entry->key) ||
	       (location && location->target_isn_known &&
		location->updated_at > entry->queued_at);
}

/* Returns 0 if the opening is to be dropped. Shard of the entry locked. */
static int restore_waiting(const struct flw_call *call,
			   struct flw_waiting *entry, struct flw_work *work,
			   Jj__Packet *packet)
{
	uint64_t began_at = entry->request.began_at;

	if (!flw_restore_work(call, work, packet, entry->key, entry->opening,
			      entry->opening_len) ||
	    is_answered(work->shard, entry))
		return 0;
	packet->origin = entry->origin;
	packet->via_id = entry->via_id;
	packet->via_ip = entry->via_ip;
	packet->via_port = entry->via_port;
	packet->doubt =
		entry->copy_possible || copy_elsewhere(entry, call->now);
	if (call->now > began_at)
		packet->age_ms = (uint32_t)((call->now - began_at) / 1000);
	return 1;
}

static void note_wait(struct flw *flw, const struct flw_waiting *entry,
		      uint64_t now)
{
	met_time(flw->desc.met, MET_TIME_WAIT,
		 now > entry->queued_at ? now - entry->queued_at : 0);
}

/* Shard of the entry locked. */
static void refuse_entry(const struct flw_call *call, struct flw_waiting *entry,
			 enum met_counter counter, const char *why)
{
	struct flw *flw = call->flw;
	struct flw_work work;
	Jj__Packet packet;

	met_add(flw->desc.met, counter, 1);
	note_wait(flw, entry, call->now);
	if (restore_waiting(call, entry, &work, &packet))
		flw_refuse(&work, why);
}

static void refuse_evicted(const struct flw_call *call)
{
	struct flw *flw = call->flw;

	while (flw->evicted_count) {
		struct flw_waiting entry = { 0 };
		struct flw_shard *shard;

		pthread_mutex_lock(&flw->pending_lock);
		if (flw->evicted_count)
			entry = flw->evicted[--flw->evicted_count];
		pthread_mutex_unlock(&flw->pending_lock);
		if (!entry.key)
			return;
		shard = flw_shard_of(flw, entry.key);
		pthread_mutex_lock(&shard->lock);
		refuse_entry(call, &entry, MET_WAIT_EVICTED,
			     "too many openings wait");
		pthread_mutex_unlock(&shard->lock);
	}
}

/* Returns 0 if no entry's wait has ended. */
static int expire_one(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	struct flw_waiting entry;
	struct flw_shard *shard;
	uint64_t key = 0;
	uint32_t handle;

	pthread_mutex_lock(&flw->pending_lock);
	handle = wtq_expired(&flw->wait_queue, call->now);
	if (handle != WTQ_NONE)
		key = flw->waiting[handle].key;
	pthread_mutex_unlock(&flw->pending_lock);
	if (!key)
		return 0;
	shard = flw_shard_of(flw, key);
	pthread_mutex_lock(&shard->lock);
	if (flw_take_waiting(flw, key, &entry))
		refuse_entry(call, &entry, MET_WAIT_EXPIRED,
			     "no target had room in time");
	pthread_mutex_unlock(&shard->lock);
	return 1;
}

static uint64_t next_key(const struct flw_call *call,
			 const struct wtq_room *room, uint32_t below)
{
	struct flw *flw = call->flw;
	uint64_t key = 0;
	uint32_t handle;

	pthread_mutex_lock(&flw->pending_lock);
	handle = wtq_next(&flw->wait_queue, room, below, call->now);
	if (handle != WTQ_NONE)
		key = flw->waiting[handle].key;
	pthread_mutex_unlock(&flw->pending_lock);
	return key;
}

/*
 * Places the opening if there is room. Returns 0 if it has to wait longer.
 * Shard locked.
 */
static int place_entry(const struct flw_call *call, struct flw_waiting *entry)
{
	struct flw_work work;
	Jj__Packet packet;

	if (!restore_waiting(call, entry, &work, &packet))
		return 1;
	if (!viw_has_route(call->view, work.head.service_ip,
			   work.head.service_port, work.service, 0)) {
		flw_refuse(&work, "route was removed");
		return 1;
	}
	/*
	 * The origin no longer watches an opening that waits elsewhere. As the
	 * new origin, this agent watches the placement; copies reach it through
	 * the old one.
	 */
	packet.origin = 0;
	return flw_try_place(&work) ||
	       (flw_unavailable_reason(call->flw, work.service, work.me,
				       call->now) &&
		flw_pass_to_queue(&work));
}

/*
 * Places the entry that is next, of those with a priority number smaller than
 * below unless that is 0. Returns 0 if there is none or it has no room.
 */
static int serve_one(const struct flw_call *call, const struct wtq_room *room,
		     uint32_t below)
{
	struct flw *flw = call->flw;
	uint64_t key = next_key(call, room, below);
	struct flw_shard *shard = flw_shard_of(flw, key);
	struct flw_waiting entry;
	int served = 1;

	if (!key)
		return 0;
	pthread_mutex_lock(&shard->lock);
	if (flw_take_waiting(flw, key, &entry)) {
		served = place_entry(call, &entry);
		if (served) {
			pthread_mutex_lock(&flw->pending_lock);
			wtq_note_served(&flw->wait_queue);
			pthread_mutex_unlock(&flw->pending_lock);
			note_wait(flw, &entry, call->now);
		} else if (flw_put_back_waiting(flw, &entry, room, call->now)
				   .handle == WTQ_NONE) {
			/* Other threads have filled the queue meanwhile. */
			refuse_entry(call, &entry, MET_WAIT_EVICTED,
				     "too many openings wait");
		}
	}
	pthread_mutex_unlock(&shard->lock);
	return served;
}

void flw_place_waiting(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	const struct viw_service *service;
	const struct viw_agent *me;
	struct wtq_room room;
	uint32_t left;

	refuse_evicted(call);
	if (!flw->waiting_count)
		return;
	service = viw_service(call->view, flw->service);
	me = viw_agent(call->view, flw->desc.id);
	if (!service || !me)
		return;
	while (expire_one(call))
		;
	room = own_room(call, service, me);
	/* An entry may come back if the flow table is full: no endless loop. */
	left = flw->waiting_count;
	while (left && serve_one(call, &room, 0))
		left--;
	/* The next entry may have no room where urgent ones have it. */
	if (flw->desc.urgent_places)
		while (left && serve_one(call, &room, service->lowest_priority))
			left--;
}
