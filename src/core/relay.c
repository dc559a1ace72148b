#include "jujube/relay.h"

#include <string.h>

enum jj_status rly_init(struct rly *rly, const struct rt_desc *desc)
{
	struct rt_desc waiting = { .max_flows = RLY_WAITING_MAX,
				   .flow_idle_s = RLY_WAITING_S };

	memset(rly, 0, sizeof(*rly));
	pthread_mutex_init(&rly->lock, NULL);
	if (rt_init(&rly->rt, desc) != JJ_OK)
		return JJ_SYSTEM;
	return rt_init(&rly->waiting, &waiting);
}

void rly_finish(struct rly *rly)
{
	rt_finish(&rly->rt);
	rt_finish(&rly->waiting);
	pthread_mutex_destroy(&rly->lock);
}

/* -- homes that lose openings -------------------------------------------- */

/* Lock held. Null: no entry, and create is 0 or all entries are in use. */
static struct rly_failing_agent *find_failing(struct rly *rly, uint64_t agent,
					      int create)
{
	struct rly_failing_agent *unused = NULL;
	int i;

	for (i = 0; i < RLY_FAILING_MAX; i++) {
		if (rly->failing_agents[i].agent == agent)
			return &rly->failing_agents[i];
		if (!unused && !rly->failing_agents[i].agent)
			unused = &rly->failing_agents[i];
	}
	if (create && unused)
		*unused = (struct rly_failing_agent){ .agent = agent };
	return create ? unused : NULL;
}

static void record_lost_opening(struct rly *rly, uint64_t agent,
				uint64_t now_ms)
{
	struct rly_failing_agent *failing;

	pthread_mutex_lock(&rly->lock);
	failing = find_failing(rly, agent, 1);
	if (failing && ++failing->lost_openings >= RLY_LOST_MAX)
		failing->avoid_until_ms = now_ms + RLY_AVOID_MS;
	pthread_mutex_unlock(&rly->lock);
}

static void clear_lost_openings(struct rly *rly, uint64_t agent)
{
	struct rly_failing_agent *failing;

	pthread_mutex_lock(&rly->lock);
	failing = find_failing(rly, agent, 0);
	if (failing)
		failing->agent = 0;
	pthread_mutex_unlock(&rly->lock);
}

static int is_avoided(struct rly *rly, uint64_t agent, uint64_t now_ms)
{
	struct rly_failing_agent *failing;
	int result;

	pthread_mutex_lock(&rly->lock);
	failing = find_failing(rly, agent, 0);
	result = failing && now_ms < failing->avoid_until_ms;
	pthread_mutex_unlock(&rly->lock);
	return result;
}

/* -- choosing an agent --------------------------------------------------- */

/*
 * The home of the given rank, counting only those that are not avoided; the
 * last one if there are fewer.
 */
static const struct viw_agent *home_of_rank(struct rly *rly,
					    const struct viw *view,
					    const struct viw_service *service,
					    uint64_t key, uint64_t now_ms,
					    unsigned rank)
{
	int homes[RLY_HOMES];
	int count = viw_rank_homes(view, service, key, rly->data_centre, homes,
				   RLY_HOMES);
	const struct viw_agent *last = NULL;
	int i;

	for (i = 0; i < count; i++) {
		const struct viw_agent *agent = &view->agents[homes[i]];

		if (i + 1 < count && is_avoided(rly, agent->id, now_ms))
			continue;
		last = agent;
		if (!rank--)
			break;
	}
	return last;
}

static enum jj_status choose_home(struct rly *rly, const struct viw *view,
				  uint64_t key, uint64_t now_ms, unsigned rank,
				  struct rly_choice *choice)
{
	choice->agent =
		home_of_rank(rly, view, choice->service, key, now_ms, rank);
	return choice->agent ? JJ_OK : JJ_UNAVAILABLE;
}

static void forget_waiting(struct rly *rly, uint64_t key, uint64_t now_ms)
{
	if (rt_holder(&rly->waiting, key, now_ms))
		rt_learn(&rly->waiting, key, 0, now_ms);
}

/* The agent where the opening waits, or null: not known or dead. */
static const struct viw_agent *take_waiting(struct rly *rly,
					    const struct viw *view,
					    const struct viw_service *service,
					    uint64_t key, uint64_t now_ms)
{
	uint64_t id = rt_holder(&rly->waiting, key, now_ms);
	const struct viw_agent *agent = id ? viw_agent(view, id) : NULL;

	forget_waiting(rly, key, now_ms);
	return agent && &view->services[agent->service] == service ? agent :
								     NULL;
}

static enum jj_status choose_for_opening(struct rly *rly,
					 const struct viw *view,
					 const struct flw_packet *packet,
					 uint64_t key, uint64_t now_ms,
					 const struct viw_agent *holder,
					 struct rly_choice *choice)
{
	choice->service =
		viw_route(view, packet->service_ip, packet->service_port, key);
	if (!choice->service)
		return JJ_NOT_FOUND;
	if (packet->repeat) {
		choice->agent =
			take_waiting(rly, view, choice->service, key, now_ms);
		if (choice->agent)
			return JJ_OK;
	}
	if (packet->repeat && holder && viw_agent(view, holder->id) &&
	    &view->services[holder->service] == choice->service &&
	    packet->repeat < 2) {
		choice->agent = holder;
		choice->cached = 1;
		return JJ_OK;
	}
	if (packet->repeat == 1) {
		const struct viw_agent *home = viw_first_home(
			view, choice->service, key, rly->data_centre);

		if (home)
			record_lost_opening(rly, home->id, now_ms);
	}
	return choose_home(rly, view, key, now_ms, packet->repeat ? 1 : 0,
			   choice);
}

/*
 * Any agent can search for the holder of a flow (see flow_search.c), so that
 * flows do not depend on agents of the service to which their route leads now.
 */
static enum jj_status choose_searcher(struct rly *rly, const struct viw *view,
				      uint64_t key, uint64_t now_ms,
				      struct rly_choice *choice)
{
	enum jj_status status = choose_home(rly, view, key, now_ms, 0, choice);
	uint32_t i;

	for (i = 0; status != JJ_OK && i < view->service_count; i++) {
		choice->service = &view->services[i];
		status = choose_home(rly, view, key, now_ms, 0, choice);
	}
	return status;
}

enum jj_status rly_pick(struct rly *rly, const struct viw *view,
			const struct flw_packet *packet, uint64_t key,
			uint64_t now_ms, struct rly_choice *choice)
{
	uint64_t id = rt_holder(&rly->rt, key, now_ms);
	const struct viw_agent *holder = id ? viw_find_holder(view, id) : NULL;

	*choice = (struct rly_choice){ 0 };
	if (packet->opens)
		return choose_for_opening(rly, view, packet, key, now_ms,
					  holder, choice);
	if (holder) {
		choice->agent = holder;
		choice->service = &view->services[holder->service];
		choice->cached = 1;
		return JJ_OK;
	}
	choice->service =
		viw_route(view, packet->service_ip, packet->service_port, key);
	if (!choice->service)
		choice->service = viw_next_routed_service(
			view, packet->service_ip, packet->service_port, NULL);
	if (!choice->service)
		return JJ_NOT_FOUND;
	return choose_searcher(rly, view, key, now_ms, choice);
}

/* Neither the agent nor the flow's home loses openings. */
static void clear_for_flow(struct rly *rly, const struct viw *view,
			   uint64_t key, uint64_t id)
{
	const struct viw_agent *agent = viw_agent(view, id);
	const struct viw_agent *home =
		agent ? viw_first_home(view, &view->services[agent->service],
				       key, rly->data_centre) :
			NULL;

	clear_lost_openings(rly, id);
	if (home)
		clear_lost_openings(rly, home->id);
}

void rly_learn_waiting(struct rly *rly, const struct viw *view, uint64_t key,
		       uint64_t agent, uint64_t now_ms)
{
	rt_learn(&rly->waiting, key, agent, now_ms);
	clear_for_flow(rly, view, key, agent);
}

void rly_learn(struct rly *rly, const struct viw *view, uint64_t key,
	       uint64_t holder, uint64_t now_ms)
{
	rt_learn(&rly->rt, key, holder, now_ms);
	forget_waiting(rly, key, now_ms);
	clear_for_flow(rly, view, key, holder);
}
