/* jujube-agentd - the agent that runs next to a target. */
#include <stdlib.h>
#include <string.h>
#include "daemon.h"
#include "net.h"
#include "sidecar.h"

struct agent {
	struct nod nod;
	struct sid sid;
	struct lio log;
	_Atomic uint32_t drain_s;
	uint64_t stopping_ms;
};

#define DRAIN_MIN_MS 2000

static void on_reload(void *ctx, const ProtobufCMessage *msg)
{
	const Jj__AgentSettings *settings = (const void *)msg;
	struct agent *agent = ctx;

	lio_set_level(&agent->log, settings->log->level);
	agent->drain_s = settings->target->drain_s;
}

/*
 * Balancers keep sending requests until they learn that this agent is
 * stopping, so the drain takes at least DRAIN_MIN_MS even without requests.
 */
static int drain_done(void *ctx)
{
	struct agent *agent = ctx;

	return net_now_ms() - agent->stopping_ms > DRAIN_MIN_MS &&
	       agt_open_requests(&agent->sid.agt) == 0;
}

static void start(struct agent *agent, const Jj__AgentSettings *s)
{
	struct nod_desc node = {
		.service = s->target->service,
		.target =
			*s->target->name ? s->target->name : s->identity->name,
		.role = JJ__ROLE__ROLE_AGENT,
		.phase = JJ__PHASE__PHASE_JOINING,
		.hooks = { .view_changed = sid_view_changed,
			   .control = sid_control,
			   .tick = sid_tick,
			   .dump = sid_dump,
			   .ctx = &agent->sid },
		.log = &agent->log,
	};
	struct sid_desc agent_desc = {
		.agent = { .slots = s->target->slots,
			   .cold_slots = s->target->cold_slots,
			   .max_flows = s->target->max_flows,
			   .queue = s->target->queue,
			   .deadline_ms = s->target->deadline_ms,
			   .flow_idle_s = s->target->flow_idle_s,
			   .feed_idle_s = s->target->feed_idle_s,
			   .ledger_entries = s->target->ledger },
		.threads = s->target->threads,
		.ip = net_parse_ip(s->identity->ip),
		.data_port = (uint16_t)s->identity->data_port,
		.health_ms = s->target->health_ms,
	};
	struct jj_error err;

	snprintf(agent_desc.agent.service, sizeof(agent_desc.agent.service),
		 "%s", s->target->service);
	dmn_check(tbl_parse_address(s->target->address, &agent_desc.target_ip,
				    &agent_desc.target_port, &err),
		  &err);
	dmn_fill_node_desc(&node, s->identity, s->fleet);
	dmn_check(nod_init(&agent->nod, &node, &err), &err);
	dmn_check(sid_init(&agent->sid, &agent_desc, &agent->nod, &err), &err);
	dmn_check(nod_start(&agent->nod, &err), &err);
	dmn_check(sid_start(&agent->sid, &err), &err);
}

int main(int argc, char **argv)
{
	static struct agent agent;
	struct dmn_args args =
		dmn_parse_args(argc, argv,
			       "The agent next to a target: manages its flows, "
			       "requests, admission and drain.");
	const ProtobufCMessageDescriptor *type =
		&jj__agent_settings__descriptor;
	ProtobufCMessage *msg = dmn_load(&args, type);
	const Jj__AgentSettings *settings = (const void *)msg;
	struct dmn_hooks hooks = { on_reload, &agent };

	lio_init(&agent.log, "jujube-agentd", settings->log->level, LIO_SYSLOG);
	agent.drain_s = settings->target->drain_s;
	dmn_block_signals();
	start(&agent, settings);
	log_put(&agent.log.sink, EV_STARTED, "name=%s",
		settings->identity->name);
	dmn_wait(&args, type, &agent.nod, &hooks);
	agt_stop(&agent.sid.agt);
	agent.stopping_ms = net_now_ms();
	dmn_drain(agent.drain_s * 1000, drain_done, &agent);
	sid_stop(&agent.sid);
	/*
	 * After a handover balancers keep the flows for the restarted agent.
	 * The agent does not announce that it leaves, so that the fleet keeps
	 * it as a member until it is declared dead.
	 */
	if (!sid_hand_over(&agent.sid))
		nod_leave(&agent.nod);
	nod_stop(&agent.nod);
	sid_finish(&agent.sid);
	nod_finish(&agent.nod);
	log_put(&agent.log.sink, EV_STOPPED, "name=%s",
		settings->identity->name);
	set_free(msg);
	return 0;
}
