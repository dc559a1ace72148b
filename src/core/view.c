#include "jujube/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* -- building ------------------------------------------------------------ */

static int by_service_id(const void *a, const void *b)
{
	const struct viw_service *x = a;
	const struct viw_service *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

static int by_service_and_centre(const void *a, const void *b)
{
	const struct viw_agent *x = a;
	const struct viw_agent *y = b;

	if (x->service != y->service)
		return x->service > y->service ? 1 : -1;
	if (x->data_centre != y->data_centre)
		return x->data_centre > y->data_centre ? 1 : -1;
	return (x->id > y->id) - (x->id < y->id);
}

static int by_agent_id(const void *a, const void *b)
{
	const struct viw_agent *x = a;
	const struct viw_agent *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

static int by_balancer_id(const void *a, const void *b)
{
	const struct viw_balancer *x = a;
	const struct viw_balancer *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

static void add_services(struct viw *view, const struct tbl *tbl)
{
	uint32_t i;

	for (i = 0; i < tbl->count; i++) {
		const struct tbl_row *row = &tbl->rows[i];
		struct viw_service *service;

		if (row->kind != JJ__KIND__KIND_SERVICE ||
		    row->state >= JJ__ROW_STATE__STATE_OUT)
			continue;
		service = &view->services[view->service_count];
		service->id = rnk_name_id(row->name);
		snprintf(service->name, sizeof(service->name), "%s", row->name);
		service->cold_per_ks = row->cold_per_ks;
		service->flow_idle_ms = row->flow_idle_ms;
		if (*row->address &&
		    tbl_parse_address(row->address, &service->ip,
				      &service->port, NULL) != JJ_OK)
			continue;
		service->open = row->state == JJ__ROW_STATE__STATE_IN;
		view->service_count++;
	}
}

/* Like tbl_find(), without removed rows. */
static const struct tbl_row *find_active_row(const struct tbl *tbl,
					     Jj__Kind kind, const char *name)
{
	const struct tbl_row *row = tbl_find(tbl, kind, name);

	if (row && row->state == JJ__ROW_STATE__STATE_REMOVED)
		return NULL;
	return row;
}

/* Whether a member may have flows: it is live, or has died recently. */
static int may_hold_flows(const struct mbr *mbr,
			  const struct mbr_member *member)
{
	return member->used && member->role == JJ__ROLE__ROLE_AGENT &&
	       (mbr_live(member) ||
		mbr->last_tick < member->liveness_since + VIW_RECENTLY_DEAD_MS);
}

static void drop_duplicate_services(struct viw *view)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < view->service_count; i++)
		if (!kept ||
		    view->services[kept - 1].id != view->services[i].id)
			view->services[kept++] = view->services[i];
	view->service_count = kept;
}

/*
 * Adds services that the table does not list, but that agents have: flows that
 * were opened before the list changed stay with them. They accept no new flows.
 */
static void add_unlisted_services(struct viw *view, const struct tbl *tbl,
				  const struct mbr *mbr)
{
	uint32_t i;

	for (i = 0; i < mbr->count; i++) {
		const struct mbr_member *member = &mbr->members[i];
		const struct tbl_row *removed;
		struct viw_service *service;

		if (!may_hold_flows(mbr, member) ||
		    find_active_row(tbl, JJ__KIND__KIND_SERVICE,
				    member->service))
			continue;
		removed =
			tbl_find(tbl, JJ__KIND__KIND_SERVICE, member->service);
		service = &view->services[view->service_count++];
		service->id = rnk_name_id(member->service);
		snprintf(service->name, sizeof(service->name), "%s",
			 member->service);
		service->flow_idle_ms = removed ? removed->flow_idle_ms : 0;
	}
	qsort(view->services, view->service_count, sizeof(*view->services),
	      by_service_id);
	drop_duplicate_services(view);
}

static int by_address(const void *a, const void *b)
{
	const struct viw_route *x = a;
	const struct viw_route *y = b;

	if (x->ip != y->ip)
		return x->ip > y->ip ? 1 : -1;
	if (x->port != y->port)
		return x->port > y->port ? 1 : -1;
	return (x->service > y->service) - (x->service < y->service);
}

/* Includes tombstones: their services may still hold flows opened earlier. */
static void add_routes(struct viw *view, const struct tbl *tbl)
{
	uint32_t i;

	for (i = 0; i < tbl->count; i++) {
		const struct tbl_row *row = &tbl->rows[i];
		const struct viw_service *found;
		struct viw_service *service;
		struct viw_route *route;

		if (row->kind != JJ__KIND__KIND_ROUTE)
			continue;
		found = viw_service(view, rnk_name_id(row->service));
		route = &view->routes[view->route_count];
		if (!found || tbl_parse_address(row->address, &route->ip,
						&route->port, NULL) != JJ_OK)
			continue;
		service = &view->services[found - view->services];
		route->service = (uint32_t)(service - view->services);
		route->weight = row->weight;
		route->target_latency_ms = row->target_latency_ms;
		route->deadline_ms = row->deadline_ms;
		route->priority = row->priority;
		route->idempotent = row->idempotent;
		route->former = row->state != JJ__ROW_STATE__STATE_IN;
		if (!route->former && row->priority > service->lowest_priority)
			service->lowest_priority = row->priority;
		view->route_count++;
	}
	qsort(view->routes, view->route_count, sizeof(*view->routes),
	      by_address);
}

/* Finds the row by the target's own name, else by the name of its agent. */
static const struct tbl_row *target_row(const struct tbl *tbl,
					const struct mbr_member *member)
{
	const struct tbl_row *row =
		find_active_row(tbl, JJ__KIND__KIND_TARGET, member->target);

	return row ? row :
		     find_active_row(tbl, JJ__KIND__KIND_TARGET, member->name);
}

static uint32_t first_nonzero(uint32_t a, uint32_t b)
{
	return a ? a : b;
}

/* Limits of the target's row; those that it doesn't set, of the service's. */
static void set_limits(struct viw_agent *agent, const struct tbl_row *target,
		       const struct tbl_row *service)
{
	static const struct tbl_row none;

	if (!target)
		target = &none;
	agent->slots = first_nonzero(target->slots, service->slots);
	agent->max_flows = first_nonzero(target->max_flows, service->max_flows);
	agent->cold_slots =
		first_nonzero(target->cold_slots, service->cold_slots);
}

static Jj__RowState more_restrictive(Jj__RowState state,
				     const struct tbl_row *row)
{
	return row && row->state > state ? row->state : state;
}

/*
 * Sets the weight, the product of those of target and data centre, and the
 * flags, by the agent's phase and the most restrictive state of the three rows.
 */
static void set_state(struct viw_agent *agent, const struct tbl_row *target,
		      const struct tbl_row *centre,
		      const struct tbl_row *service)
{
	Jj__RowState state = service->state;
	uint64_t weight = 100;

	state = more_restrictive(more_restrictive(state, target), centre);
	weight *= target ? target->weight : TBL_WEIGHT_DEFAULT;
	weight = weight * (centre ? centre->weight : TBL_WEIGHT_DEFAULT) / 100;
	agent->weight = (uint32_t)(weight > UINT32_MAX ? UINT32_MAX : weight);
	agent->out = state >= JJ__ROW_STATE__STATE_OUT;
	agent->draining = state == JJ__ROW_STATE__STATE_DRAINING ||
			  agent->phase == JJ__PHASE__PHASE_DRAINING;
	agent->can_open = !agent->out && !agent->draining && agent->weight &&
			  (agent->phase == JJ__PHASE__PHASE_COLD ||
			   agent->phase == JJ__PHASE__PHASE_WARM);
	agent->can_hold = !agent->out && agent->phase != JJ__PHASE__PHASE_DOWN;
}

static void set_identity(struct viw_agent *agent,
			 const struct mbr_member *member, uint32_t service)
{
	agent->id = member->id;
	agent->incarnation = member->incarnation;
	agent->ip = member->ip;
	agent->control_port = member->control_port;
	agent->data_port = member->data_port;
	agent->service = service;
	agent->phase = member->phase;
	agent->data_centre = rnk_name_id(member->data_centre);
}

static void add_agent(struct viw *view, const struct tbl *tbl,
		      const struct mbr_member *member)
{
	static const struct tbl_row unlisted = {
		.state = JJ__ROW_STATE__STATE_DRAINING
	};
	const struct tbl_row *service =
		find_active_row(tbl, JJ__KIND__KIND_SERVICE, member->service);
	const struct tbl_row *target = target_row(tbl, member);
	const struct tbl_row *centre = find_active_row(
		tbl, JJ__KIND__KIND_DATA_CENTRE, member->data_centre);
	const struct viw_service *in_view =
		viw_service(view, rnk_name_id(member->service));
	struct viw_agent *agent;

	if (!in_view)
		return;
	/* The table may assign the target to another service; it decides. */
	if (!service || (target && *target->service &&
			 strcmp(target->service, member->service)))
		service = &unlisted;
	agent = &view->agents[view->agent_count++];
	set_identity(agent, member, (uint32_t)(in_view - view->services));
	set_limits(agent, target, service);
	set_state(agent, target, centre, service);
}

static void add_balancer(struct viw *view, const struct tbl *tbl,
			 const struct mbr_member *member)
{
	const struct tbl_row *centre = find_active_row(
		tbl, JJ__KIND__KIND_DATA_CENTRE, member->data_centre);
	struct viw_balancer *balancer =
		&view->balancers[view->balancer_count++];

	balancer->id = member->id;
	balancer->ip = member->ip;
	balancer->data_port = member->data_port;
	balancer->control_port = member->control_port;
	balancer->data_centre = rnk_name_id(member->data_centre);
	balancer->usable = !centre || centre->state < JJ__ROW_STATE__STATE_OUT;
}

/*
 * Adds an agent that is dead, or has left, but whose target may still hold
 * flows. If the target went down before its agent did, it holds none; the
 * entry's phase shows that. An agent that has left in phase down said so itself
 * and is left out, so that no lookup waits for its reply: during a release some
 * agent always has just left.
 */
static void add_recently_dead(struct viw *view, const struct mbr *mbr,
			      const struct mbr_member *member)
{
	struct viw_service *service = (struct viw_service *)viw_service(
		view, rnk_name_id(member->service));

	if (!service || !may_hold_flows(mbr, member) ||
	    (member->phase == JJ__PHASE__PHASE_DOWN &&
	     member->liveness == JJ__LIVENESS__LIVE_LEFT))
		return;
	if (member->phase != JJ__PHASE__PHASE_DOWN)
		service->recently_dead_count++;
	set_identity(&view->recently_dead[view->recently_dead_count++], member,
		     (uint32_t)(service - view->services));
}

static void add_members(struct viw *view, const struct tbl *tbl,
			const struct mbr *mbr)
{
	const struct tbl_row *centre = find_active_row(
		tbl, JJ__KIND__KIND_DATA_CENTRE, mbr->members[0].data_centre);
	uint32_t i;

	view->self_out = centre && centre->state >= JJ__ROW_STATE__STATE_OUT;
	for (i = 0; i < mbr->count; i++) {
		const struct mbr_member *member = &mbr->members[i];

		if (!mbr_live(member)) {
			add_recently_dead(view, mbr, member);
			continue;
		}
		if (member->role == JJ__ROLE__ROLE_AGENT)
			add_agent(view, tbl, member);
		else if (member->role == JJ__ROLE__ROLE_BALANCER)
			add_balancer(view, tbl, member);
	}
	qsort(view->agents, view->agent_count, sizeof(*view->agents),
	      by_service_and_centre);
	qsort(view->recently_dead, view->recently_dead_count,
	      sizeof(*view->recently_dead), by_agent_id);
	qsort(view->balancers, view->balancer_count, sizeof(*view->balancers),
	      by_balancer_id);
}

/*
 * Fills the node lists, the id index and the range and digest of each service.
 * The digest includes can_hold as well as can_open, since every agent that can
 * hold flows must send its flow list.
 */
static void index_agents(struct viw *view)
{
	uint32_t i;

	for (i = 0; i < view->agent_count; i++) {
		const struct viw_agent *agent = &view->agents[i];
		struct viw_service *service = &view->services[agent->service];
		uint64_t hashed_fields[4] = { agent->id, agent->incarnation,
					      agent->can_open ? agent->weight :
								0,
					      agent->can_hold };

		view->open_nodes[i].id = agent->id;
		view->open_nodes[i].weight =
			agent->can_open ? agent->weight : 0;
		view->home_nodes[i].id = agent->id;
		view->home_nodes[i].weight = agent->can_hold;
		map_put(&view->agent_index, agent->id, i);
		if (!service->count++)
			service->first = i;
		service->digest =
			(service->digest ^
			 rnk_hash(hashed_fields, sizeof(hashed_fields))) *
				0x9e3779b97f4a7c15ull +
			1;
	}
}

struct viw *viw_build(const struct tbl *tbl, const struct mbr *mbr)
{
	struct viw *view = calloc(1, sizeof(*view));
	uint32_t cells = map_cells_for(mbr->count + 1);

	if (!view)
		return NULL;
	view->revision = tbl->revision;
	view->services =
		calloc(tbl->count + mbr->count + 1, sizeof(*view->services));
	view->agents = calloc(mbr->count + 1, sizeof(*view->agents));
	view->recently_dead = calloc(mbr->count - mbr->live_count + 1,
				     sizeof(*view->recently_dead));
	view->open_nodes = calloc(mbr->count + 1, sizeof(*view->open_nodes));
	view->home_nodes = calloc(mbr->count + 1, sizeof(*view->home_nodes));
	view->routes = calloc(tbl->count + 1, sizeof(*view->routes));
	view->balancers = calloc(mbr->count + 1, sizeof(*view->balancers));
	view->cells = calloc(cells, sizeof(*view->cells));
	if (!view->services || !view->agents || !view->recently_dead ||
	    !view->open_nodes || !view->home_nodes || !view->routes ||
	    !view->balancers || !view->cells) {
		viw_free(view);
		return NULL;
	}
	map_init(&view->agent_index, view->cells, cells);
	add_services(view, tbl);
	add_unlisted_services(view, tbl, mbr);
	add_routes(view, tbl);
	add_members(view, tbl, mbr);
	index_agents(view);
	return view;
}

void viw_free(struct viw *view)
{
	if (!view)
		return;
	free(view->services);
	free(view->agents);
	free(view->recently_dead);
	free(view->open_nodes);
	free(view->home_nodes);
	free(view->routes);
	free(view->balancers);
	free(view->cells);
	free(view);
}

/* -- lookup -------------------------------------------------------------- */

const struct viw_service *viw_service(const struct viw *view, uint64_t id)
{
	struct viw_service key = { .id = id };

	return bsearch(&key, view->services, view->service_count,
		       sizeof(*view->services), by_service_id);
}

const struct viw_agent *viw_agent(const struct viw *view, uint64_t id)
{
	uint32_t at = map_get(&view->agent_index, id);

	return at == MAP_NONE ? NULL : &view->agents[at];
}

const struct viw_agent *viw_find_dead(const struct viw *view, uint64_t id)
{
	struct viw_agent key = { .id = id };

	return bsearch(&key, view->recently_dead, view->recently_dead_count,
		       sizeof(*view->recently_dead), by_agent_id);
}

const struct viw_agent *viw_find_holder(const struct viw *view, uint64_t id)
{
	const struct viw_agent *agent = viw_agent(view, id);

	if (agent)
		return agent;
	agent = viw_find_dead(view, id);
	return agent && agent->phase != JJ__PHASE__PHASE_DOWN ? agent : NULL;
}

const struct viw_agent *viw_first_ranked(const struct viw *view,
					 const struct viw_service *service,
					 uint64_t key)
{
	int at = rnk_first(view->open_nodes + service->first,
			   (int)service->count, key);

	return at < 0 ? NULL : &view->agents[service->first + (uint32_t)at];
}

int viw_rank_agents(const struct viw *view, const struct viw_service *service,
		    uint64_t key, int *out, int max)
{
	int used = rnk_order(view->open_nodes + service->first,
			     (int)service->count, key, out, max);
	int i;

	for (i = 0; i < used; i++)
		out[i] += (int)service->first;
	return used;
}

uint32_t viw_local_agents(const struct viw *view,
			  const struct viw_service *service,
			  uint64_t data_centre, uint32_t *first)
{
	uint32_t end = service->first + service->count;
	uint32_t last;

	*first = service->first;
	while (*first < end && view->agents[*first].data_centre != data_centre)
		++*first;
	last = *first;
	while (last < end && view->agents[last].data_centre == data_centre)
		last++;
	return last - *first;
}

uint64_t viw_balancer_data_centre(const struct viw *view, uint64_t balancer)
{
	struct viw_balancer key = { .id = balancer };
	const struct viw_balancer *found =
		bsearch(&key, view->balancers, view->balancer_count,
			sizeof(*view->balancers), by_balancer_id);

	return found ? found->data_centre : 0;
}

/* Ranks those of agents[first .. first + count) that can hold flows. */
static int rank_homes_in_range(const struct viw *view, uint32_t first,
			       uint32_t count, uint64_t key, int *out, int max)
{
	int used =
		rnk_order(view->home_nodes + first, (int)count, key, out, max);
	int i;

	for (i = 0; i < used; i++)
		out[i] += (int)first;
	return used;
}

/* Agents in a data centre; 0: fewer than VIW_LOCAL_HOMES_MIN can be homes. */
static uint32_t local_home_range(const struct viw *view,
				 const struct viw_service *service,
				 uint64_t data_centre, uint32_t *first)
{
	uint32_t count = viw_local_agents(view, service, data_centre, first);
	uint32_t home_count = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		home_count += view->home_nodes[*first + i].weight > 0;
	return home_count < VIW_LOCAL_HOMES_MIN ? 0 : count;
}

int viw_rank_homes(const struct viw *view, const struct viw_service *service,
		   uint64_t key, uint64_t data_centre, int *out, int max)
{
	uint32_t first;
	uint32_t count = local_home_range(view, service, data_centre, &first);
	uint32_t end = service->first + service->count;
	int before[1];
	int after[1];
	int used;

	if (!count)
		return rank_homes_in_range(view, service->first, service->count,
					   key, out, max);
	used = rank_homes_in_range(view, first, count, key, out,
				   max > 1 ? max - 1 : 1);
	if (used == max)
		return used;
	/* The last home: the best agent before or after the local range. */
	if (!rank_homes_in_range(view, service->first, first - service->first,
				 key, before, 1))
		return used + rank_homes_in_range(view, first + count,
						  end - first - count, key,
						  out + used, 1);
	if (!rank_homes_in_range(view, first + count, end - first - count, key,
				 after, 1) ||
	    rnk_ranks_before(&view->home_nodes[before[0]],
			     &view->home_nodes[after[0]], key))
		out[used++] = before[0];
	else
		out[used++] = after[0];
	return used;
}

const struct viw_agent *viw_first_home(const struct viw *view,
				       const struct viw_service *service,
				       uint64_t key, uint64_t data_centre)
{
	int at;

	return viw_rank_homes(view, service, key, data_centre, &at, 1) ?
		       &view->agents[at] :
		       NULL;
}

/*
 * Returns the first route of an address, and in *end the position after its
 * last. Both are equal if it has none.
 */
static const struct viw_route *routes_of(const struct viw *view, uint32_t ip,
					 uint16_t port,
					 const struct viw_route **end)
{
	struct viw_route key = { .ip = ip, .port = port };
	uint32_t low = 0;
	uint32_t high = view->route_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (by_address(&view->routes[middle], &key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	high = low;
	while (high < view->route_count && view->routes[high].ip == ip &&
	       view->routes[high].port == port)
		high++;
	*end = view->routes + high;
	return view->routes + low;
}

const struct viw_service *viw_route(const struct viw *view, uint32_t ip,
				    uint16_t port, uint64_t key)
{
	const struct viw_route *end;
	const struct viw_route *first = routes_of(view, ip, port, &end);
	const struct viw_route *route;
	uint64_t sum = 0;
	uint64_t at;

	for (route = first; route < end; route++)
		sum += route->former ? 0 : route->weight;
	if (!sum)
		return NULL;
	at = rnk_hash(&key, sizeof(key)) % sum;
	for (route = first; route < end; route++) {
		if (route->former)
			continue;
		if (at < route->weight)
			return &view->services[route->service];
		at -= route->weight;
	}
	return NULL;
}

int viw_has_route(const struct viw *view, uint32_t ip, uint16_t port,
		  const struct viw_service *service, int former)
{
	const struct viw_route *end;
	const struct viw_route *route = routes_of(view, ip, port, &end);

	for (; route < end; route++)
		if (&view->services[route->service] == service &&
		    (former || (!route->former && route->weight)))
			return 1;
	return 0;
}

struct viw_terms viw_terms(const struct viw *view, uint32_t ip, uint16_t port)
{
	const struct viw_route *end;
	const struct viw_route *route = routes_of(view, ip, port, &end);
	struct viw_terms terms = { 0 };

	while (route < end && route->former)
		route++;
	if (route < end)
		terms = (struct viw_terms){
			.target_latency_ms = route->target_latency_ms,
			.deadline_ms = route->deadline_ms,
			.priority = route->priority,
			.idempotent = route->idempotent,
		};
	return terms;
}

const struct viw_service *
viw_next_routed_service(const struct viw *view, uint32_t ip, uint16_t port,
			const struct viw_service *previous)
{
	const struct viw_route *end;
	const struct viw_route *route = routes_of(view, ip, port, &end);

	for (; route < end; route++)
		if (!previous || &view->services[route->service] > previous)
			return &view->services[route->service];
	return NULL;
}

const struct viw_balancer *viw_return_balancer(const struct viw *view,
					       uint64_t via, uint64_t key)
{
	uint32_t usable = 0;
	uint32_t i;

	for (i = 0; i < view->balancer_count; i++) {
		if (!view->balancers[i].usable)
			continue;
		if (view->balancers[i].id == via)
			return &view->balancers[i];
		usable++;
	}
	if (!usable)
		return NULL;
	usable = (uint32_t)(key % usable);
	for (i = 0; i < view->balancer_count; i++)
		if (view->balancers[i].usable && usable-- == 0)
			return &view->balancers[i];
	return NULL;
}
