/*
 * jujube-relay-agentd - the agent next to a target whose flows are relayed
 * unchanged.
 */
#include "daemon.h"
#include "egress.h"
#include "net.h"
#include "relay_daemon.h"

struct agent {
	struct nod nod;
	struct egr egr;
	struct rld rld;
	struct lio log;
	_Atomic uint32_t drain_ms;
};

static int is_ready(void *ctx)
{
	struct agent *agent = ctx;

	return agent->nod.revision != 0;
}

static enum jj_status on_heartbeat(void *ctx,
				   const struct flw_heartbeat *heartbeat,
				   struct jj_error *err)
{
	struct agent *agent = ctx;

	return egr_on_heartbeat(&agent->egr, heartbeat, err);
}

static enum jj_status on_deregister(void *ctx, const char *id)
{
	struct agent *agent = ctx;

	return flw_on_target_left(&agent->egr.flw, id);
}

static void start(struct agent *agent, const Jj__RelayAgentSettings *s)
{
	struct nod_desc node = {
		.service = s->egress->service,
		.target = s->identity->name,
		.role = JJ__ROLE__ROLE_AGENT,
		.phase = JJ__PHASE__PHASE_JOINING,
		.hooks = { .view_changed = egr_view_changed,
			   .control = egr_control,
			   .tick = egr_tick,
			   .dump = egr_dump,
			   .request = egr_request,
			   .request_ctx = &agent->egr,
			   .ctx = &agent->egr },
		.log = &agent->log,
	};
	struct rld_hooks hooks = { .ready = is_ready,
				   .heartbeat = on_heartbeat,
				   .deregister = on_deregister,
				   .ctx = agent };
	struct egr_desc egress = {
		.flow = { .max_flows = s->egress->max_flows,
			  .queue = s->egress->queue,
			  .flow_ttl_s = s->egress->flow_ttl_s,
			  .heartbeat_ms = s->egress->heartbeat_ms,
			  .wait_queue = s->egress->wait_queue,
			  .wait_max_ms = s->egress->wait_max_ms,
			  .urgent_places = s->egress->urgent_places,
			  .probe_silence_ms = s->egress->probe_silence_ms,
			  .spill = s->egress->spill,
			  .crossing_ms = s->egress->crossing_ms,
			  .crossing_price_ms = s->egress->crossing_price_ms,
			  .codec = pf_codec() },
		.threads = s->egress->threads,
		.data_ip = net_parse_ip(s->identity->ip),
		.data_port = (uint16_t)s->identity->data_port,
	};
	struct jj_error err;
	uint32_t ignored;

	snprintf(egress.flow.service, sizeof(egress.flow.service), "%s",
		 s->egress->service);
	dmn_check(tbl_parse_address(s->egress->target, &egress.target_ip,
				    &egress.target_port, &err),
		  &err);
	dmn_check(tbl_parse_address(s->egress->address, &egress.ip,
				    &egress.port, &err),
		  &err);
	dmn_check(tbl_parse_address(s->egress->callers, &ignored,
				    &egress.caller_port, &err),
		  &err);
	dmn_fill_node_desc(&node, s->identity, s->fleet);
	rld_init(&agent->rld, s->registry, &agent->log, &hooks);
	dmn_check(nod_init(&agent->nod, &node, &err), &err);
	dmn_check(egr_init(&agent->egr, &egress, &agent->nod, &err), &err);
	rld_listen(&agent->rld, &agent->nod, s->egress->ready,
		   s->egress->heartbeats);
	dmn_check(nod_start(&agent->nod, &err), &err);
	dmn_check(egr_start(&agent->egr, &err), &err);
	rld_start(&agent->rld);
}

static void on_reload(void *ctx, const ProtobufCMessage *msg)
{
	const Jj__RelayAgentSettings *settings = (const void *)msg;
	struct agent *agent = ctx;

	lio_set_level(&agent->log, settings->log->level);
	agent->drain_ms = settings->egress->drain_ms;
}

int main(int argc, char **argv)
{
	static struct agent agent;
	struct dmn_args args = dmn_parse_args(
		argc, argv,
		"The agent next to a target whose flows are relayed "
		"unchanged.");
	const ProtobufCMessageDescriptor *type =
		&jj__relay_agent_settings__descriptor;
	ProtobufCMessage *msg = dmn_load(&args, type);
	const Jj__RelayAgentSettings *settings = (const void *)msg;
	struct dmn_hooks hooks = { on_reload, &agent };

	lio_init(&agent.log, "jujube-relay-agentd", settings->log->level,
		 LIO_FIELDS);
	agent.drain_ms = settings->egress->drain_ms;
	dmn_block_signals();
	start(&agent, settings);
	log_put(&agent.log.sink, EV_STARTED, "name=%s",
		settings->identity->name);
	dmn_wait(&args, type, &agent.nod, &hooks);
	egr_stop(&agent.egr);
	dmn_drain(agent.drain_ms, egr_idle, &agent.egr);
	nod_leave(&agent.nod);
	/*
	 * The registry entry is removed only when the target is down too. A
	 * target that keeps running keeps its flows, and the restarted agent
	 * continues to serve them.
	 */
	rld_finish(&agent.rld, flw_phase(&agent.egr.flw, net_now_us()) ==
				       JJ__PHASE__PHASE_DOWN);
	nod_stop(&agent.nod);
	egr_finish(&agent.egr);
	nod_finish(&agent.nod);
	log_put(&agent.log.sink, EV_STOPPED, "name=%s",
		settings->identity->name);
	set_free(msg);
	return 0;
}
