#include "jujube/flow_explain.h"

#include <string.h>
#include "flow_internal.h"

const char *flw_decision_name(enum flw_decision decision)
{
	static const char *const names[] = { "drop",  "deliver", "open",
					     "place", "wait",	 "refuse",
					     "spill", "pass" };

	return (unsigned)decision < sizeof(names) / sizeof(names[0]) ?
		       names[decision] :
		       "?";
}

void flw_trace_peer(struct flw_trace *trace, uint64_t id, uint32_t cost)
{
	trace->eligible[trace->count].id = id;
	trace->eligible[trace->count++].cost = cost;
}

/* -- the flow's way to a home -------------------------------------------- */

static void add_home(const struct viw *view, const struct viw_service *service,
		     const struct viw_balancer *balancer,
		     struct flw_explanation *out)
{
	const struct viw_agent *home =
		viw_first_home(view, service, out->key, balancer->data_centre);
	uint32_t i;

	for (i = 0; i < out->home_count; i++)
		if (out->homes[i].data_centre == balancer->data_centre)
			return;
	if (home && out->home_count < FLW_EXPLAIN_HOMES)
		out->homes[out->home_count++] =
			(struct flw_explained_home){ balancer->data_centre,
						     balancer->id, home->id };
}

static void fill_homes(const struct viw *view,
		       const struct viw_service *service,
		       struct flw_explanation *out)
{
	uint32_t i;

	for (i = 0; i < view->balancer_count; i++)
		add_home(view, service, &view->balancers[i], out);
}

/* A balancer of the agent's data centre, else any; 0: there is none. */
static uint64_t choose_via(const struct viw *view, const struct viw_agent *me)
{
	uint64_t via = 0;
	uint32_t i;

	for (i = 0; i < view->balancer_count; i++) {
		const struct viw_balancer *balancer = &view->balancers[i];

		if (!via || balancer->data_centre == me->data_centre)
			via = balancer->id;
		if (balancer->data_centre == me->data_centre)
			break;
	}
	return via;
}

/* -- candidates ---------------------------------------------------------- */

static const char *exclusion_reason(const struct flw_work *work,
				    const struct flw_peer *peer,
				    const struct viw_agent *agent)
{
	if (work->call->now > peer->reported_at + FLW_LOAD_FRESH_US)
		return "load report is too old";
	if (!agent)
		return "not a live member";
	if (agent->out || agent->draining)
		return "draining, or taken out by the table";
	if (&work->call->view->services[agent->service] != work->service)
		return "of another service";
	if (!flw_may_cross(work) && agent->data_centre != work->me->data_centre)
		return "in another data centre, where only spilling leads";
	return peer->cap ? "target is full" : "target takes no flows";
}

static struct flw_candidate *add_candidate(struct flw_explanation *out,
					   uint64_t agent)
{
	struct flw_candidate *candidate =
		&out->candidates[out->candidate_count++];

	*candidate = (struct flw_candidate){ .agent = agent };
	return candidate;
}

static void add_peer(const struct flw_work *work, const struct flw_peer *peer,
		     struct flw_explanation *out)
{
	const struct flw_trace *trace = work->trace;
	const struct viw_agent *agent = viw_agent(work->call->view, peer->id);
	struct flw_candidate *candidate = add_candidate(out, peer->id);
	uint32_t i;

	candidate->data_centre = agent ? agent->data_centre : 0;
	candidate->load = peer->load;
	candidate->cap = peer->cap;
	candidate->typical_us = peer->typical_us;
	candidate->report_age_us = work->call->now > peer->reported_at ?
					   work->call->now - peer->reported_at :
					   0;
	candidate->queued = peer->queued;
	candidate->avoided = peer->avoided;
	for (i = 0; i < trace->count; i++)
		if (trace->eligible[i].id == peer->id) {
			candidate->cost = trace->eligible[i].cost;
			return;
		}
	candidate->why = exclusion_reason(work, peer, agent);
}

static void add_self(const struct flw_work *work, uint32_t cost,
		     const char *why, struct flw_explanation *out)
{
	struct flw *flw = work->call->flw;
	struct flw_candidate *candidate = add_candidate(out, work->me->id);

	candidate->data_centre = work->me->data_centre;
	candidate->load = flw->in_flight;
	candidate->cap = flw_cap(flw, work->service, work->call->now);
	candidate->typical_us = flw_typical_us(flw, work->call->now);
	candidate->queued = flw->waiting_count;
	candidate->avoided = (uint8_t)flw_held_back(flw, work->call->now);
	candidate->cost = cost;
	candidate->why = why;
}

static void add_peers(const struct flw_work *work, struct flw_explanation *out)
{
	struct flw *flw = work->call->flw;
	int i;

	pthread_mutex_lock(&flw->peer_lock);
	for (i = 0; i < FLW_PEERS_MAX; i++)
		if (flw->peers[i].id)
			add_peer(work, &flw->peers[i], out);
	pthread_mutex_unlock(&flw->peer_lock);
}

/* -- the decision -------------------------------------------------------- */

/* For an opening for which no target has room now. */
static void decide_wait(const struct flw_work *work, const char *why,
			struct flw_explanation *out)
{
	struct flw_wait_outcome wait;

	out->why = why;
	out->decision = FLW_DECIDES_REFUSE;
	if (!out->by_terms) {
		if (flw_may_wait(work) && out->wait_limit_us)
			out->decision = FLW_DECIDES_WAIT;
		return;
	}
	wait = flw_assess_wait(work, why);
	out->why = wait.why;
	if (wait.passed_to) {
		out->decision = FLW_DECIDES_PASS;
		out->agent = wait.passed_to->id;
		return;
	}
	out->estimated = (uint8_t)wait.assessed;
	out->estimate_us = wait.added.estimate_us;
	if (wait.waits) {
		out->decision = FLW_DECIDES_WAIT;
		out->late = wait.added.verdict == WTQ_WAITS_LATE;
		out->wait_limit_us = wait.at_most_us;
	}
}

/*
 * In the order of flw_place(). Candidates are recorded in each case. Shard
 * locked.
 */
static void decide_place(const struct flw_work *work,
			 struct flw_explanation *out)
{
	const char *why = flw_opening_refusal_reason(work);
	const struct viw_agent *gateway =
		flw_choose_gateway(work, &out->local_wait_us, &out->spill);
	uint32_t own;
	const struct viw_agent *peer = flw_choose_peer(work, &own);

	if (gateway) {
		out->decision = FLW_DECIDES_SPILL;
		out->agent = gateway->id;
	} else if (peer) {
		out->decision = FLW_DECIDES_PLACE;
		out->agent = peer->id;
		out->by_rank = !work->trace->count;
	} else if (own != FLW_COST_NONE) {
		out->decision = FLW_DECIDES_OPEN;
		out->agent = out->me;
	} else {
		decide_wait(work, why ? why : "all targets are full", out);
	}
	if (own == FLW_COST_NONE && !why)
		why = "target is full";
	add_self(work, own, own == FLW_COST_NONE ? why : NULL, out);
	add_peers(work, out);
}

/* Shard locked. */
static void decide(const struct flw_work *work, struct flw_explanation *out)
{
	const struct flw_flow *flow = flw_find_flow(work->shard, out->key);
	const struct flw_location *location =
		flw_find_location(work->shard, out->key);

	out->recorded_holder = location ? location->holder : 0;
	if (flow && flow->state != FLW_CLOSED) {
		out->decision = FLW_DECIDES_DELIVER;
		out->agent = out->me;
	} else if (flw_is_waiting(work->call->flw, out->key)) {
		out->decision = FLW_DECIDES_WAIT;
		out->why = "a copy of the opening waits here";
	} else {
		decide_place(work, out);
	}
}

/* Null: the opening is handled by this agent. */
static const char *drop_reason(const struct flw_call *call,
			       const struct viw_service *routed)
{
	const struct viw_service *own =
		viw_service(call->view, call->flw->service);

	if (!routed)
		return "no active route for the address";
	if (routed != own)
		return "the route leads this flow to another service";
	if (!viw_agent(call->view, call->flw->desc.id))
		return "this agent is not a live member in its own view";
	return NULL;
}

void flw_explain(const struct flw_call *call, const struct flw_packet *opening,
		 struct flw_explanation *out)
{
	const struct viw *view = call->view;
	struct flw *flw = call->flw;
	struct flw_trace trace = { .count = 0 };
	Jj__Packet packet = JJ__PACKET__INIT;
	struct flw_work work = { .call = call,
				 .packet = &packet,
				 .head = *opening,
				 .trace = &trace };

	memset(out, 0, sizeof(*out));
	out->key = flw_key(opening);
	out->revision = view->revision;
	out->me = flw->desc.id;
	out->terms =
		viw_terms(view, opening->service_ip, opening->service_port);
	work.service = viw_route(view, opening->service_ip,
				 opening->service_port, out->key);
	out->service = work.service ? work.service->id : 0;
	out->waiting = flw->pending_count + flw->waiting_count;
	if (work.service)
		fill_homes(view, work.service, out);
	out->why = drop_reason(call, work.service);
	if (out->why)
		return;
	work.head.opens = 1;
	work.head.repeat = 0;
	work.me = viw_agent(view, flw->desc.id);
	packet.service = work.service->id;
	packet.flow = out->key;
	packet.via_id = choose_via(view, work.me);
	work.shard = flw_shard_of(flw, out->key);
	out->by_terms = (uint8_t)flw_waits_by_terms(&work);
	out->wait_limit_us = out->by_terms ? flw->desc.wait_max_ms * 1000ull :
					     flw_wait_limit_us(&work);
	out->local_wait_us = flw_local_wait_us(&work);
	pthread_mutex_lock(&work.shard->lock);
	decide(&work, out);
	pthread_mutex_unlock(&work.shard->lock);
}
