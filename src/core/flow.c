#include "flow_internal.h"

#include <string.h>
#include "jujube/frame.h"

/* -- start and finish ---------------------------------------------------- */

enum jj_status flw_resolve(struct flw_desc *desc, struct jj_error *err)
{
	const struct flw_codec *codec = &desc->codec;

	if (!desc->max_flows)
		desc->max_flows = 2000;
	if (!desc->flow_ttl_s)
		desc->flow_ttl_s = 60;
	if (!desc->heartbeat_ms)
		desc->heartbeat_ms = 1000;
	if (!desc->wait_max_ms)
		desc->wait_max_ms = FLW_WAIT_MAX_MS;
	if (!*desc->service)
		return st_fail(err, JJ_INVALID, "agent has no service name");
	if (!desc->met)
		return st_fail(err, JJ_INVALID, "agent has no metrics");
	if (!codec->decode || !codec->reset || !codec->mark ||
	    !codec->set_mark || !codec->restore)
		return st_fail(err, JJ_INVALID, "packet codec is incomplete");
	return JJ_OK;
}

enum jj_status flw_init(struct flw *flw, const struct flw_desc *desc,
			uint64_t now)
{
	memset(flw, 0, sizeof(*flw));
	flw->desc = *desc;
	flw->service = rnk_name_id(desc->service);
	flw->started_at = now;
	flw->target.probe.silence_us = desc->probe_silence_ms * 1000;
	/*
	 * Keys are distributed unevenly over shards: allow a quarter more than
	 * the even share.
	 */
	flw->flow_capacity = desc->max_flows / FLW_SHARDS * 5 / 4 + 16;
	pthread_mutex_init(&flw->target_lock, NULL);
	pthread_mutex_init(&flw->peer_lock, NULL);
	pthread_mutex_init(&flw->pending_lock, NULL);
	pthread_mutex_init(&flw->trial_lock, NULL);
	pthread_mutex_init(&flw->lookup_lock, NULL);
	if (flw_init_tables(flw) != JJ_OK || flw_init_waiting(flw) != JJ_OK) {
		flw_finish(flw);
		return JJ_SYSTEM;
	}
	return JJ_OK;
}

void flw_finish(struct flw *flw)
{
	flw_finish_tables(flw);
	flw_finish_waiting(flw);
	pthread_mutex_destroy(&flw->target_lock);
	pthread_mutex_destroy(&flw->peer_lock);
	pthread_mutex_destroy(&flw->pending_lock);
	pthread_mutex_destroy(&flw->trial_lock);
	pthread_mutex_destroy(&flw->lookup_lock);
}

void flw_stop(struct flw *flw)
{
	flw->stopping = 1;
}

void flw_set_members_known(struct flw *flw)
{
	flw->members_known = 1;
}

uint64_t flw_key(const struct flw_packet *packet)
{
	uint64_t parts[2] = {
		(uint64_t)packet->caller_ip << 32 | packet->service_ip,
		(uint64_t)packet->caller_port << 16 | packet->service_port
	};
	uint64_t key = rnk_hash(parts, sizeof(parts));

	return key ? key : 1;
}

/*
 * Time between two events. Threads read the clock before they take a lock, so
 * an event that was recorded first may carry the later time; the result is 0
 * then.
 */
static uint64_t elapsed_us(uint64_t from, uint64_t to)
{
	return to > from ? to - from : 0;
}

/* -- sending ------------------------------------------------------------- */

void flw_forward(const struct flw_work *work, const struct viw_agent *to,
		 enum flw_mode mode)
{
	struct flw *flw = work->call->flw;
	Jj__Packet packet = *work->packet;

	packet.hops++;
	packet.mode = mode;
	/* The flow may have stayed with another service than its route's. */
	packet.service = work->call->view->services[to->service].id;
	packet.to_agent = to->id;
	packet.to_incarnation = to->incarnation;
	met_add(flw->desc.met, MET_PASSED_ON, 1);
	flw->desc.hooks.to_agent(flw->desc.hooks.ctx, work->call->thread, to,
				 &packet);
}

void flw_reset_caller(const struct flw_call *call,
		      const struct flw_packet *packet, uint32_t seq)
{
	struct flw *flw = call->flw;
	uint8_t buf[FLW_OPENING_BYTES];
	size_t len = flw->desc.codec.reset(packet, seq, buf, sizeof(buf));

	met_add(flw->desc.met, MET_RESETS, 1);
	if (len)
		flw->desc.hooks.to_caller(flw->desc.hooks.ctx,
					  packet->caller_ip, buf, len);
}

void flw_reset_flow(const struct flw_call *call, const struct flw_flow *flow,
		    const char *why)
{
	struct flw_packet head = { .caller_ip = flow->caller_ip,
				   .caller_port = flow->caller_port,
				   .service_ip = flow->service_ip,
				   .service_port = flow->service_port };

	log_put(call->flw->desc.log, EV_FLOW_RESET,
		"flow=%08x:%u>%08x:%u state=%d age_ms=%llu why=%s",
		flow->caller_ip, flow->caller_port, flow->service_ip,
		flow->service_port, flow->state,
		(unsigned long long)elapsed_us(flow->opened_at, call->now) /
			1000,
		why);
	flw_reset_caller(call, &head, flow->caller_ack);
}

int flw_restore_work(const struct flw_call *call, struct flw_work *work,
		     Jj__Packet *packet, uint64_t key, uint8_t *data,
		     size_t len)
{
	struct flw *flw = call->flw;

	jj__packet__init(packet);
	*work = (struct flw_work){ .call = call,
				   .packet = packet,
				   .shard = flw_shard_of(flw, key),
				   .service = viw_service(call->view,
							  flw->service),
				   .me = viw_agent(call->view, flw->desc.id) };
	packet->service = flw->service;
	packet->flow = key;
	packet->data.data = data;
	packet->data.len = len;
	if (!work->service || !work->me ||
	    flw->desc.codec.decode(data, len, 0, &work->head) != JJ_OK)
		return 0;
	packet->caller_ip = work->head.caller_ip;
	packet->caller_port = work->head.caller_port;
	return 1;
}

/* -- packets of callers -------------------------------------------------- */

static void update_reply_path(struct flw_flow *flow,
			      const struct flw_work *work)
{
	flow->last_packet_at = work->call->now;
	flow->via_id = work->packet->via_id;
	flow->via_ip = work->packet->via_ip;
	flow->via_port = (uint16_t)work->packet->via_port;
}

static int packet_matches_flow(const struct flw_flow *flow,
			       const struct flw_packet *head)
{
	if (head->resets || !head->acknowledges)
		return 1;
	/* An adopted flow: the target sends on it, but its ISN is not known. */
	if (!flow->target_isn_known)
		return flow->state >= FLW_OPEN;
	return flw_ack_matches(head->ack, flow->target_isn);
}

static void deliver_to_target(const struct flw_work *work,
			      struct flw_flow *flow)
{
	const struct flw_packet *head = &work->head;
	struct flw *flw = work->call->flw;

	update_reply_path(flow, work);
	if (flow->state == FLW_ANSWERED) {
		flow->state = FLW_OPEN;
		flow->opening_len = 0;
	}
	if (head->acknowledges)
		flow->caller_ack = head->ack;
	if (head->payload &&
	    (int32_t)(head->seq + head->payload - flow->caller_next_seq) > 0) {
		flow->caller_next_seq = head->seq + head->payload;
		flow->last_request_at = work->call->now;
		flw_note_asked(flw, work->call->now);
		flw_set_busy(flw, flow, work->call->now);
	}
	flow->caller_closed |= head->closes;
	if (head->resets) {
		flow->state = FLW_CLOSED;
		flw_clear_busy(flw, flow);
	}
	met_add(flw->desc.met, MET_DELIVERED, 1);
	flw->desc.hooks.to_target(flw->desc.hooks.ctx, work->packet->data.data,
				  work->packet->data.len);
	flw_notify_balancer(work->call, flow);
}

/*
 * A copy of an opening that the target already has, or a new flow that reuses
 * the ports of an old one. Returns 0 in the second case.
 */
static int on_repeated_opening(const struct flw_work *work,
			       struct flw_flow *flow)
{
	struct flw *flw = work->call->flw;

	if (flow->state == FLW_CLOSED ||
	    (flow->state == FLW_OPEN && work->head.seq != flow->caller_isn)) {
		flw_remove_flow(flw, work->shard, flow);
		return 0;
	}
	update_reply_path(flow, work);
	/* If the target has restarted, this copy opens the flow there. */
	flow->probe_number = flw->probe_number;
	flow->answered_at = 0;
	flw->desc.hooks.to_target(flw->desc.hooks.ctx, work->packet->data.data,
				  work->packet->data.len);
	flw_notify_balancer(work->call, flow);
	return 1;
}

/*
 * A repeated opening means that the agent chosen before, or its target, does
 * not answer. Unless that agent may be answering right now, another is chosen.
 */
static void place_as_home(const struct flw_work *work)
{
	struct flw_location *location =
		flw_find_location(work->shard, work->packet->flow);
	const struct viw_agent *holder;
	Jj__Packet packet = *work->packet;
	struct flw_work again = *work;
	uint64_t tried[FLW_TRIED_MAX];

	if (!location || !location->holder || location->refused ||
	    !work->head.repeat) {
		flw_place(work);
		return;
	}
	if (flw_follow_spilled(work, location))
		return;
	holder = viw_agent(work->call->view, location->holder);
	/* If it does not wait there any more, that agent decides like a home. */
	if (holder && holder != work->me && location->waiting) {
		flw_forward(work, holder, FLW_MODE_HOME);
		return;
	}
	if (holder && holder != work->me &&
	    (location->target_isn_known ||
	     work->call->now < location->updated_at + FLW_TARGET_TIMEOUT_US)) {
		flw_forward(work, holder, FLW_MODE_HOLDER);
		return;
	}
	tried[0] = location->holder;
	packet.tried = tried;
	packet.n_tried = 1;
	again.packet = &packet;
	flw_place(&again);
}

/*
 * An opening that was delayed while this process was paused is dropped: its
 * caller has repeated it, perhaps to another agent, or has given up.
 */
static void on_opening(const struct flw_work *work, struct flw_flow *flow)
{
	if (work->call->delayed) {
		met_add(work->call->flw->desc.met, MET_TOO_OLD, 1);
		return;
	}
	if (flow && on_repeated_opening(work, flow))
		return;
	if (flw_is_waiting(work->call->flw, work->packet->flow)) {
		flw_refresh_waiting(work);
		return;
	}
	if (!viw_has_route(work->call->view, work->head.service_ip,
			   work->head.service_port, work->service, 0)) {
		met_add(work->call->flw->desc.met, MET_WRONG_SERVICE, 1);
		log_put(work->call->flw->desc.log, EV_WRONG_SERVICE,
			"flow=%08x:%u>%08x:%u revision=%s",
			work->head.caller_ip, work->head.caller_port,
			work->head.service_ip, work->head.service_port,
			tbl_format_revision(work->call->view->revision).text);
		return;
	}
	if (work->packet->mode == FLW_MODE_HOME)
		place_as_home(work);
	else if (work->packet->mode == FLW_MODE_PLACED)
		flw_open_or_forward(work);
	else if (work->packet->mode == FLW_MODE_QUEUE)
		flw_place_queued(work);
	else if (work->packet->mode == FLW_MODE_SPILLED)
		flw_place_spilled(work);
	/*
	 * Otherwise a copy for a holder that no longer has the flow: dropped,
	 * since the caller repeats it.
	 */
}

void flw_from_caller(const struct flw_call *call, const Jj__Packet *packet)
{
	struct flw *flw = call->flw;
	struct flw_work work = { .call = call, .packet = packet };
	struct flw_flow *flow;

	work.me = viw_agent(call->view, flw->desc.id);
	work.service = viw_service(call->view, flw->service);
	if (packet->service != flw->service) {
		met_add(flw->desc.met, MET_WRONG_SERVICE, 1);
		return;
	}
	if (!work.me || !work.service || packet->hops > FLW_HOPS_MAX) {
		met_add(flw->desc.met, MET_NO_TARGET, 1);
		return;
	}
	if (flw->desc.codec.decode(packet->data.data, packet->data.len, 0,
				   &work.head) != JJ_OK) {
		met_add(flw->desc.met, MET_BAD_FRAME, 1);
		return;
	}
	work.shard = flw_shard_of(flw, packet->flow);
	pthread_mutex_lock(&work.shard->lock);
	flow = flw_find_flow(work.shard, packet->flow);
	if (work.head.opens)
		on_opening(&work, flow);
	else if (flow && packet_matches_flow(flow, &work.head))
		deliver_to_target(&work, flow);
	else
		flw_on_unknown_flow(&work, flow);
	pthread_mutex_unlock(&work.shard->lock);
	/* A reset may have freed a slot, an opening may have displaced one. */
	if (work.head.resets || flw->evicted_count)
		flw_place_waiting(call);
}

/* -- packets of the target ----------------------------------------------- */

/*
 * Adds a flow on which the target sends, but which is not in the table: an
 * earlier incarnation of this agent opened it, or the answer to its opening
 * came late.
 */
static struct flw_flow *adopt_flow(const struct flw_call *call,
				   struct flw_shard *shard, uint64_t key,
				   const struct flw_packet *head)
{
	struct flw_flow *flow = flw_add_flow(call->flw, shard, key, call->now);
	struct flw_trial trial;

	if (!flow) {
		call->flw->table_full_at = call->now;
		return NULL;
	}
	if (flw_find_trial(call->flw, key, &trial)) {
		flow->origin = trial.requester;
		flow->via_id = trial.via_id;
		flow->via_ip = trial.via_ip;
		flow->via_port = trial.via_port;
	}
	flow->state = head->opens ? FLW_ANSWERED : FLW_OPEN;
	flow->answered_at = call->now;
	flow->target_isn = head->seq;
	flow->target_isn_known = head->opens;
	flow->caller_isn = head->ack - 1; /* valid if head answers an opening */
	flow->caller_ip = head->caller_ip;
	flow->caller_port = head->caller_port;
	flow->service_ip = head->service_ip;
	flow->service_port = head->service_port;
	flow->caller_next_seq = head->ack;
	flw_cancel_lookup(call->flw, key);
	met_add(call->flw->desc.met, MET_ADOPTED, 1);
	flw_notify_home_and_origin(call, flow);
	flw_notify_balancer(call, flow);
	return flow;
}

static void on_target_sent(const struct flw_call *call, struct flw_flow *flow,
			   const struct flw_packet *head)
{
	struct flw *flw = call->flw;

	flow->last_packet_at = call->now;
	flow->target_closed |= head->closes;
	flw_reopen_after_restart(flw, flow, head);
	if (head->opens && flow->state == FLW_OPENING) {
		flow->state = FLW_ANSWERED;
		flow->answered_at = call->now;
		flow->target_isn = head->seq;
		flow->target_isn_known = 1;
		met_time(flw->desc.met, MET_TIME_OPENING,
			 elapsed_us(flow->opened_at, call->now));
		flw_notify_balancer(call, flow);
		flw_notify_home_and_origin(call, flow);
	}
	if (head->payload && flow->busy)
		met_time(flw->desc.met, MET_TIME_ANSWER,
			 elapsed_us(flow->busy_since, call->now));
	if (head->payload && flow->last_request_at) {
		flw_note_response_time(
			flw, elapsed_us(flow->last_request_at, call->now),
			call->now);
		flow->last_request_at = 0;
	}
	if (head->payload || head->closes || head->resets)
		flw_clear_busy(flw, flow);
	if (head->resets || (flow->caller_closed && flow->target_closed))
		flow->state = FLW_CLOSED;
}

/*
 * The target returned a packet of a flow that it held before: it has restarted.
 */
static void on_flow_unknown_to_target(const struct flw_call *call,
				      struct flw_shard *shard,
				      struct flw_flow *flow)
{
	if (flow->state != FLW_CLOSED)
		flw_reset_flow(call, flow, "target does not know the flow");
	flw_remove_flow(call->flw, shard, flow);
}

static void on_returned(const struct flw_call *call, struct flw_shard *shard,
			uint64_t key, const struct flw_packet *head,
			uint8_t *data, size_t len)
{
	struct flw_flow *flow = flw_find_flow(shard, key);

	met_add(call->flw->desc.met, MET_RETURNED, 1);
	if (head->opens) {
		if (flow && flow->state == FLW_OPENING)
			flw_retry_opening(call, shard, flow,
					  FLW_RETRY_RETURNED);
		return;
	}
	if (flow && packet_matches_flow(flow, head))
		on_flow_unknown_to_target(call, shard, flow);
	else
		flw_on_trial_returned(call, shard, key, head, data, len);
}

void flw_from_target(const struct flw_call *call, uint8_t *data, size_t len)
{
	struct flw *flw = call->flw;
	struct flw_packet head;
	struct flw_shard *shard;
	struct flw_flow *flow;
	uint64_t key;

	if (flw->desc.codec.decode(data, len, 1, &head) != JJ_OK) {
		met_add(flw->desc.met, MET_BAD_FRAME, 1);
		return;
	}
	flw_note_heard(flw, call->now);
	key = flw_key(&head);
	shard = flw_shard_of(flw, key);
	pthread_mutex_lock(&shard->lock);
	if (head.returned) {
		on_returned(call, shard, key, &head, data, len);
		pthread_mutex_unlock(&shard->lock);
		return;
	}
	flow = flw_find_flow(shard, key);
	if (!flow && !head.resets)
		flow = adopt_flow(call, shard, key, &head);
	if (flow)
		on_target_sent(call, flow, &head);
	pthread_mutex_unlock(&shard->lock);
	flw_note_answer(flw);
	flw_place_waiting(call);
	flw_place_pending(call);
	met_add(flw->desc.met, MET_ANSWERED, 1);
	flw->desc.hooks.to_caller(flw->desc.hooks.ctx, head.caller_ip, data,
				  len);
}

/* -- expiry -------------------------------------------------------------- */

uint64_t flw_idle_us(const struct flw_call *call)
{
	const struct viw_service *service =
		viw_service(call->view, call->flw->service);
	uint64_t limit = call->flw->desc.flow_ttl_s * 1000000ull;

	if (service && service->flow_idle_ms)
		limit = service->flow_idle_ms * 1000ull;
	return limit + FLW_HALF_OPEN_US;
}

/*
 * Whether the flow's route was removed from the table and no other route
 * replaces it.
 */
static int route_removed(const struct flw_call *call,
			 const struct flw_flow *flow)
{
	const struct viw_service *service =
		viw_service(call->view, call->flw->service);

	return service &&
	       viw_has_route(call->view, flow->service_ip, flow->service_port,
			     service, 1) &&
	       !viw_route(call->view, flow->service_ip, flow->service_port,
			  flow->key);
}

static void check_flow(const struct flw_call *call, struct flw_shard *shard,
		       struct flw_flow *flow, uint64_t idle_us)
{
	struct flw *flw = call->flw;
	uint64_t idle = elapsed_us(flow->last_packet_at, call->now);

	if (flow->state == FLW_OPENING &&
	    call->now > flow->opened_at + FLW_TARGET_TIMEOUT_US) {
		flw_note_unanswered(flw, call->now);
		flw_retry_opening(call, shard, flow, FLW_RETRY_UNANSWERED);
		return;
	}
	if (flow->state == FLW_ANSWERED &&
	    call->now > flow->opened_at + FLW_UNACKED_US)
		flw_clear_busy(flw, flow);
	if ((flow->state == FLW_ANSWERED && idle > FLW_HALF_OPEN_US) ||
	    (flow->state == FLW_CLOSED && idle > FLW_CLOSED_US) ||
	    idle > idle_us) {
		met_add(flw->desc.met, MET_FLOWS_CLOSED, 1);
		flw_remove_flow(flw, shard, flow);
		return;
	}
	if (route_removed(call, flow)) {
		if (flow->state != FLW_CLOSED)
			flw_reset_flow(call, flow, "route was removed");
		flw_remove_flow(flw, shard, flow);
	}
}

void flw_tick(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	uint64_t idle_us = flw_idle_us(call);
	uint32_t i;

	flw_place_waiting(call);
	flw_place_pending(call);
	flw_report_load(call);
	if (call->now < flw->next_tick)
		return;
	flw->next_tick = call->now + FLW_TICK_US;
	flw_end_lost_flows(call);
	flw_check_placements(call);
	flw_notify_balancers_of_waiting(call);
	flw_check_lookups(call);
	for (i = 0; i < FLW_SHARDS; i++) {
		struct flw_shard *shard = &flw->shards[i];
		uint32_t j;

		pthread_mutex_lock(&shard->lock);
		for (j = 0; j < shard->flow_high_water; j++)
			if (shard->flows[j].key)
				check_flow(call, shard, &shard->flows[j],
					   idle_us);
		pthread_mutex_unlock(&shard->lock);
	}
	/* Flows that ended may have freed slots. */
	flw_place_waiting(call);
}
