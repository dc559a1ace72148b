/* jujube-agentd - the agent beside a target. */
#include <stdlib.h>
#include <string.h>
#include "daemon.h"
#include "egress.h"
#include "net.h"
#include "relayd.h"
#include "side.h"

struct agent {
	struct nod nod;
	struct sid sid;
	struct lio log;
	_Atomic uint32_t drain_s;
	uint64_t stopping_ms;
};

#define TELL_MS 2000

static void on_reload(void *ctx, const ProtobufCMessage *msg)
{
	const Jj__AgentSettings *settings = (const void *)msg;
	struct agent *agent = ctx;

	lio_set_level(&agent->log, settings->log->level);
	agent->drain_s = settings->target->drain_s;
}

/* The fleet must have heard of the stop before the last request counts. */
static int idle(void *ctx)
{
	struct agent *agent = ctx;

	return net_now_ms() - agent->stopping_ms > TELL_MS &&
	       agt_busy(&agent->sid.agt) == 0;
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
	struct sid_desc side = {
		.agent = { .slots = s->target->slots,
			   .cold_slots = s->target->cold_slots,
			   .max_flows = s->target->max_flows,
			   .queue = s->target->queue,
			   .deadline_ms = s->target->deadline_ms,
			   .flow_idle_s = s->target->flow_idle_s,
			   .feed_idle_s = s->target->feed_idle_s,
			   .ledger = s->target->ledger },
		.threads = s->target->threads,
		.ip = net_parse_ip(s->identity->ip),
		.data_port = (uint16_t)s->identity->data_port,
		.health_ms = s->target->health_ms,
	};
	struct jj_error err;

	snprintf(side.agent.service, sizeof(side.agent.service), "%s",
		 s->target->service);
	dmn_must(tbl_parse_address(s->target->address, &side.target_ip,
				   &side.target_port, &err),
		 &err);
	dmn_describe_node(&node, s->identity, s->fleet);
	dmn_must(nod_init(&agent->nod, &node, &err), &err);
	dmn_must(sid_init(&agent->sid, &side, &agent->nod, &err), &err);
	dmn_must(nod_start(&agent->nod, &err), &err);
	dmn_must(sid_start(&agent->sid, &err), &err);
}

/* -- relaying for the users' platform ------------------------------------ */

struct relay_agent {
	struct nod nod;
	struct egr egr;
	struct rld rld;
	struct lio log;
	_Atomic uint32_t drain_ms;
};

static int relay_ready(void *ctx)
{
	struct relay_agent *agent = ctx;

	return agent->nod.revision != 0;
}

static enum jj_status on_report(void *ctx, const struct flw_report *report,
				struct jj_error *err)
{
	struct relay_agent *agent = ctx;

	return egr_on_report(&agent->egr, report, err);
}

static enum jj_status on_left(void *ctx, const char *id)
{
	struct relay_agent *agent = ctx;

	return flw_on_left(&agent->egr.flw, id);
}

static void start_relay(struct relay_agent *agent, const Jj__AgentSettings *s)
{
	struct nod_desc node = {
		.service = s->target->service,
		.target = s->identity->name,
		.role = JJ__ROLE__ROLE_AGENT,
		.phase = JJ__PHASE__PHASE_JOINING,
		.hooks = { .view_changed = egr_view_changed,
			   .control = egr_control,
			   .tick = egr_tick,
			   .dump = egr_dump,
			   .ctx = &agent->egr },
		.log = &agent->log,
	};
	struct rld_hooks hooks = { .ready = relay_ready,
				   .report = on_report,
				   .left = on_left,
				   .ctx = agent };
	struct egr_desc egress = {
		.flow = { .max_flows = s->target->max_flows,
			  .queue = s->target->queue,
			  .flow_ttl_s = s->egress->flow_ttl_s,
			  .codec = pf_codec() },
		.threads = s->target->threads,
		.data_ip = net_parse_ip(s->identity->ip),
		.data_port = (uint16_t)s->identity->data_port,
		.heartbeat_ms = s->egress->heartbeat_ms,
	};
	struct jj_error err;
	uint32_t ignored;

	snprintf(egress.flow.service, sizeof(egress.flow.service), "%s",
		 s->target->service);
	dmn_must(tbl_parse_address(s->target->address, &egress.target_ip,
				   &egress.target_port, &err),
		 &err);
	dmn_must(tbl_parse_address(s->egress->address, &egress.ip, &egress.port,
				   &err),
		 &err);
	dmn_must(tbl_parse_address(s->egress->callers, &ignored,
				   &egress.caller_port, &err),
		 &err);
	dmn_describe_node(&node, s->identity, s->fleet);
	rld_begin(&agent->rld, s->registry, &agent->log, &hooks);
	dmn_must(nod_init(&agent->nod, &node, &err), &err);
	dmn_must(egr_init(&agent->egr, &egress, &agent->nod, &err), &err);
	rld_listen(&agent->rld, &agent->nod, s->egress->ready,
		   s->egress->heartbeats);
	dmn_must(nod_start(&agent->nod, &err), &err);
	dmn_must(egr_start(&agent->egr, &err), &err);
	rld_start(&agent->rld);
}

static void on_relay_reload(void *ctx, const ProtobufCMessage *msg)
{
	const Jj__AgentSettings *settings = (const void *)msg;
	struct relay_agent *agent = ctx;

	lio_set_level(&agent->log, settings->log->level);
	agent->drain_ms = settings->egress->drain_ms;
}

static void run_relay(const struct dmn_args *args,
		      const Jj__AgentSettings *settings)
{
	static struct relay_agent agent;
	struct dmn_hooks hooks = { on_relay_reload, &agent };

	lio_init(&agent.log, "jujube-agentd", settings->log->level);
	agent.drain_ms = settings->egress->drain_ms;
	dmn_block_signals();
	start_relay(&agent, settings);
	log_put(&agent.log.sink, EV_STARTED, "name=%s",
		settings->identity->name);
	dmn_wait(args, &jj__agent_settings__descriptor, &agent.nod, &hooks);
	egr_stop(&agent.egr);
	dmn_drain(agent.drain_ms, egr_idle, &agent.egr);
	nod_leave(&agent.nod);
	rld_finish(&agent.rld);
	nod_stop(&agent.nod);
	egr_finish(&agent.egr);
	nod_finish(&agent.nod);
	log_put(&agent.log.sink, EV_STOPPED, "name=%s",
		settings->identity->name);
}

int main(int argc, char **argv)
{
	static struct agent agent;
	struct dmn_args args =
		dmn_parse_args(argc, argv,
			       "The agent beside a target: owns its flows, "
			       "requests, admission and drain.");
	const ProtobufCMessageDescriptor *type =
		&jj__agent_settings__descriptor;
	ProtobufCMessage *msg = dmn_load(&args, type);
	const Jj__AgentSettings *settings = (const void *)msg;
	struct dmn_hooks hooks = { on_reload, &agent };

	if (*settings->egress->address) {
		run_relay(&args, settings);
		set_free(msg);
		return 0;
	}
	lio_init(&agent.log, "jujube-agentd", settings->log->level);
	agent.drain_s = settings->target->drain_s;
	dmn_block_signals();
	start(&agent, settings);
	log_put(&agent.log.sink, EV_STARTED, "name=%s",
		settings->identity->name);
	dmn_wait(&args, type, &agent.nod, &hooks);
	agt_stop(&agent.sid.agt);
	agent.stopping_ms = net_now_ms();
	dmn_drain(agent.drain_s * 1000, idle, &agent);
	sid_stop(&agent.sid);
	/*
	 * Handed over, the flows wait for this agent's next life: the fleet
	 * keeps it on its lists until it counts as dead.
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
