/* jujube-relayd - the balancer on an entry host, relaying flows unchanged. */
#include "daemon.h"
#include "ingress.h"
#include "net.h"
#include "relay_daemon.h"

struct relay {
	struct nod nod;
	struct ing ing;
	struct rld rld;
	struct lio log;
	_Atomic uint32_t drain_ms;
};

static int is_ready(void *ctx)
{
	struct relay *relay = ctx;

	return ing_ready(&relay->ing);
}

static void start(struct relay *relay, const Jj__RelaySettings *s)
{
	struct nod_desc node = { .role = JJ__ROLE__ROLE_BALANCER,
				 .log = &relay->log };
	struct rld_hooks hooks = { .ready = is_ready, .ctx = relay };
	struct ing_desc ingress = {
		.threads = s->ingress->threads,
		.data_ip = net_parse_ip(s->identity->ip),
		.data_port = (uint16_t)s->identity->data_port,
		.cache = { .max_flows = s->ingress->max_flows,
			   .flow_idle_s = s->ingress->flow_idle_s },
		.codec = pf_codec(),
	};
	struct jj_error err;
	uint32_t ignored;

	dmn_check(tbl_parse_address(s->ingress->address, &ingress.ip,
				    &ingress.port, &err),
		  &err);
	ingress.caller_port = ingress.port;
	if (*s->ingress->callers)
		dmn_check(tbl_parse_address(s->ingress->callers, &ignored,
					    &ingress.caller_port, &err),
			  &err);
	dmn_fill_node_desc(&node, s->identity, s->fleet);
	rld_init(&relay->rld, s->registry, &relay->log, &hooks);
	dmn_check(nod_init(&relay->nod, &node, &err), &err);
	dmn_check(ing_init(&relay->ing, &ingress, &relay->nod, &err), &err);
	rld_listen(&relay->rld, &relay->nod, s->ingress->ready, "");
	dmn_check(nod_start(&relay->nod, &err), &err);
	dmn_check(ing_start(&relay->ing, &err), &err);
	rld_start(&relay->rld);
}

static void on_reload(void *ctx, const ProtobufCMessage *msg)
{
	const Jj__RelaySettings *settings = (const void *)msg;
	struct relay *relay = ctx;

	lio_set_level(&relay->log, settings->log->level);
	relay->drain_ms = settings->ingress->drain_ms;
}

int main(int argc, char **argv)
{
	static struct relay relay;
	struct dmn_args args = dmn_parse_args(
		argc, argv,
		"The balancer on an entry host: relays callers' packets "
		"unchanged.");
	const ProtobufCMessageDescriptor *type =
		&jj__relay_settings__descriptor;
	ProtobufCMessage *msg = dmn_load(&args, type);
	const Jj__RelaySettings *settings = (const void *)msg;
	struct dmn_hooks hooks = { on_reload, &relay };

	lio_init(&relay.log, "jujube-relayd", settings->log->level, LIO_FIELDS);
	relay.drain_ms = settings->ingress->drain_ms;
	dmn_block_signals();
	start(&relay, settings);
	log_put(&relay.log.sink, EV_STARTED, "name=%s",
		settings->identity->name);
	dmn_wait(&args, type, &relay.nod, &hooks);
	/* The fabric stops sending once the readiness check fails. */
	relay.rld.stopping = 1;
	dmn_drain(relay.drain_ms, ing_idle, &relay.ing);
	nod_leave(&relay.nod);
	ing_finish(&relay.ing);
	rld_finish(&relay.rld, 1);
	nod_stop(&relay.nod);
	nod_finish(&relay.nod);
	log_put(&relay.log.sink, EV_STOPPED, "name=%s",
		settings->identity->name);
	set_free(msg);
	return 0;
}
