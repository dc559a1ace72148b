/* Notifications about which agent holds a flow, sent and received. */
#include "flow_internal.h"

void flw_fill_holding(Jj__Holding *item, const struct flw *flw,
		      const struct flw_flow *flow)
{
	jj__holding__init(item);
	item->flow = flow->key;
	item->holder = flw->desc.id;
	item->first = flow->target_isn;
	item->known = flow->target_isn_known;
}

static void send_holdings(const struct flw_call *call, uint32_t ip,
			  uint16_t port, Jj__Holding **items, size_t count)
{
	struct flw *flw = call->flw;
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Holdings holdings = JJ__HOLDINGS__INIT;

	holdings.items = items;
	holdings.n_items = count;
	env.body_case = JJ__ENVELOPE__BODY_HOLDINGS;
	env.holdings = &holdings;
	flw->desc.hooks.to_process(flw->desc.hooks.ctx, call->thread, ip, port,
				   &env);
}

static const struct viw_agent *home_of(const struct flw_call *call,
				       const struct flw_flow *flow)
{
	const struct viw_service *service =
		viw_service(call->view, call->flw->service);

	return service ? viw_first_home(call->view, service, flow->key,
					viw_balancer_data_centre(
						call->view, flow->via_id)) :
			 NULL;
}

/*
 * Identifies an agent and its incarnation, so that a restarted agent differs;
 * 0: no agent.
 */
static uint64_t incarnation_id(const struct viw_agent *agent)
{
	return agent ? agent->id ^ agent->incarnation : 0;
}

/*
 * The origin may not be the home in this agent's view: balancers that avoid a
 * home, or know other agents, send openings to agents that rank lower here.
 */
void flw_notify_home_and_origin(const struct flw_call *call,
				struct flw_flow *flow)
{
	struct flw *flw = call->flw;
	const struct viw_agent *home = home_of(call, flow);
	const struct viw_agent *origin =
		flow->origin ? viw_agent(call->view, flow->origin) : NULL;
	Jj__Holding item;
	Jj__Holding *items = &item;

	flw_fill_holding(&item, flw, flow);
	flow->notified_home = incarnation_id(home);
	if (home && home->id != flw->desc.id)
		send_holdings(call, home->ip, home->data_port, &items, 1);
	if (origin && origin != home && origin->id != flw->desc.id)
		send_holdings(call, origin->ip, origin->data_port, &items, 1);
}

/*
 * Records that the agent chosen for an opening, or one that it was forwarded
 * to, refused it.
 */
static void record_refusal(struct flw_shard *shard, uint64_t key)
{
	struct flw_location *location = flw_find_location(shard, key);

	if (location && !location->target_isn_known)
		location->refused = 1;
}

void flw_notify_refusal(const struct flw_work *work)
{
	const struct viw_agent *origin =
		viw_agent(work->call->view, work->packet->origin);
	Jj__Holding item = JJ__HOLDING__INIT;
	Jj__Holding *items = &item;

	item.flow = work->packet->flow;
	item.holder = work->me->id;
	item.closed = 1;
	if (origin == work->me)
		record_refusal(work->shard, item.flow);
	else if (origin)
		send_holdings(work->call, origin->ip, origin->data_port, &items,
			      1);
}

void flw_notify_waiting(const struct flw_call *call, uint32_t ip, uint16_t port,
			const uint64_t *keys, uint32_t count)
{
	Jj__Holding items[FLW_WAITING_BATCH];
	Jj__Holding *list[FLW_WAITING_BATCH];
	uint32_t i;

	for (i = 0; i < count; i++) {
		jj__holding__init(&items[i]);
		items[i].flow = keys[i];
		items[i].holder = call->flw->desc.id;
		items[i].waiting = 1;
		list[i] = &items[i];
	}
	send_holdings(call, ip, port, list, count);
}

void flw_notify_balancer(const struct flw_call *call, struct flw_flow *flow)
{
	Jj__Holding item;
	Jj__Holding *items = &item;

	if (!flow->via_id || flow->notified_via == flow->via_id)
		return;
	flow->notified_via = flow->via_id;
	flw_fill_holding(&item, call->flw, flow);
	send_holdings(call, flow->via_ip, flow->via_port, &items, 1);
}

/*
 * Records where an opening waits, unless it has been answered: messages may
 * overtake each other.
 */
static void record_waiting(struct flw_shard *shard,
			   const struct flw_location *location)
{
	const struct flw_location *held =
		flw_find_location(shard, location->key);

	if (!held || !held->target_isn_known)
		flw_put_location(shard, location);
}

void flw_on_holdings(const struct flw_call *call, const Jj__Holdings *holdings)
{
	struct flw *flw = call->flw;
	size_t i;

	for (i = 0; i < holdings->n_items; i++) {
		const Jj__Holding *item = holdings->items[i];
		struct flw_shard *shard = flw_shard_of(flw, item->flow);
		struct flw_location location = { .key = item->flow,
						 .holder = item->holder,
						 .target_isn = item->first,
						 .target_isn_known =
							 item->known,
						 .waiting = item->waiting != 0,
						 .updated_at = call->now };

		pthread_mutex_lock(&shard->lock);
		if (item->closed)
			record_refusal(shard, item->flow);
		else if (item->waiting)
			record_waiting(shard, &location);
		else
			flw_put_location(shard, &location);
		pthread_mutex_unlock(&shard->lock);
	}
}

void flw_view_changed(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	const struct viw_service *service =
		viw_service(call->view, flw->service);
	uint32_t i;

	if (!service || service->digest == flw->homes_digest)
		return;
	flw->homes_digest = service->digest;
	for (i = 0; i < FLW_SHARDS; i++) {
		struct flw_shard *shard = &flw->shards[i];
		uint32_t j;

		pthread_mutex_lock(&shard->lock);
		for (j = 0; j < shard->flow_high_water; j++) {
			struct flw_flow *flow = &shard->flows[j];

			if (flow->key &&
			    (flow->state == FLW_ANSWERED ||
			     flow->state == FLW_OPEN) &&
			    incarnation_id(home_of(call, flow)) !=
				    flow->notified_home)
				flw_notify_home_and_origin(call, flow);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

/* -- openings that wait -------------------------------------------------- */

/* Collects entries of one balancer that are due. Returns their number. */
static uint32_t collect_due(struct flw *flw, uint64_t now, uint64_t *keys,
			    uint32_t *ip, uint16_t *port)
{
	uint32_t count = 0;
	uint32_t i;

	pthread_mutex_lock(&flw->pending_lock);
	for (i = 0; i < flw->wait_queue.count && count < FLW_WAITING_BATCH;
	     i++) {
		struct flw_waiting *entry =
			&flw->waiting[flw->wait_queue.order[i]];

		if (entry->balancer_notified || !entry->via_id ||
		    now < entry->queued_at + FLW_WAIT_NOTIFY_US ||
		    (count &&
		     (entry->via_ip != *ip || entry->via_port != *port)))
			continue;
		*ip = entry->via_ip;
		*port = entry->via_port;
		entry->balancer_notified = 1;
		keys[count++] = entry->key;
	}
	pthread_mutex_unlock(&flw->pending_lock);
	return count;
}

void flw_notify_balancers_of_waiting(const struct flw_call *call)
{
	uint64_t keys[FLW_WAITING_BATCH];
	uint32_t ip = 0;
	uint16_t port = 0;
	uint32_t count;

	while (call->flw->waiting_count &&
	       (count = collect_due(call->flw, call->now, keys, &ip, &port)))
		flw_notify_waiting(call, ip, port, keys, count);
}
