/* jujubed - the balancer on an entry host. */
#include <stdlib.h>
#include "admin.h"
#include "conf.h"
#include "daemon.h"
#include "fwd.h"
#include "keep.h"
#include "kv.h"
#include "net.h"

struct balancer {
	struct nod nod;
	struct cnf cnf;
	struct adn adn;
	struct fwd fwd;
	struct kep kep;
	struct lio log;
	_Atomic uint32_t drain_s;
};

static void on_reload(void *ctx, const ProtobufCMessage *msg)
{
	const Jj__BalancerSettings *settings = (const void *)msg;
	struct balancer *balancer = ctx;

	lio_set_level(&balancer->log, settings->log->level);
	balancer->drain_s = settings->forward->drain_s;
}

static int never_done(void *ctx)
{
	(void)ctx;
	return 0;
}

static void start(struct balancer *balancer, const Jj__BalancerSettings *s)
{
	struct nod_desc node = {
		.role = JJ__ROLE__ROLE_BALANCER,
		.hooks = { .request = kep_request,
			   .request_ctx = &balancer->kep },
		.log = &balancer->log,
	};
	struct fwd_desc forward = {
		.threads = s->forward->threads,
		.max_queue_age_ms = s->forward->max_queue_age_ms,
		.ip = net_parse_ip(s->identity->ip),
		.data_port = (uint16_t)s->identity->data_port,
		.route = { .max_flows = s->forward->max_flows,
			   .flow_idle_s = s->forward->flow_idle_s },
	};
	struct cnf_desc conf = { .url = s->platform->url,
				 .table_key = s->platform->table_key,
				 .timeout_ms = s->platform->timeout_ms,
				 .watch_s = s->platform->watch_s };
	struct adn_desc admin = { .ip = s->admin->ip,
				  .port = (uint16_t)s->admin->port,
				  .token = s->admin->token };
	struct jj_error err;

	kep_init(&balancer->kep);
	dmn_describe_node(&node, s->identity, s->fleet);
	dmn_must(nod_init(&balancer->nod, &node, &err), &err);
	dmn_must(fwd_init(&balancer->fwd, &forward, &balancer->nod, &err),
		 &err);
	dmn_must(cnf_init(&balancer->cnf, &conf, &balancer->nod, &err), &err);
	dmn_must(nod_start(&balancer->nod, &err), &err);
	dmn_must(fwd_start(&balancer->fwd, &err), &err);
	dmn_must(cnf_start(&balancer->cnf, &err), &err);
	dmn_must(adn_start(&balancer->adn, &admin, &balancer->nod,
			   &balancer->cnf, &err),
		 &err);
}

int main(int argc, char **argv)
{
	static struct balancer balancer;
	struct dmn_args args = dmn_parse_args(
		argc, argv,
		"The balancer on an entry host: forwards callers' "
		"datagrams and serves the admin interface.");
	const ProtobufCMessageDescriptor *type =
		&jj__balancer_settings__descriptor;
	ProtobufCMessage *msg = dmn_load(&args, type);
	const Jj__BalancerSettings *settings = (const void *)msg;
	struct dmn_hooks hooks = { on_reload, &balancer };

	lio_init(&balancer.log, "jujubed", settings->log->level, LIO_SYSLOG);
	balancer.drain_s = settings->forward->drain_s;
	dmn_block_signals();
	start(&balancer, settings);
	log_put(&balancer.log.sink, EV_STARTED, "name=%s",
		settings->identity->name);
	dmn_wait(&args, type, &balancer.nod, &hooks);
	/*
	 * Announces to the fleet first that this balancer leaves. The fabric
	 * may still send packets here, which are forwarded for drain_s.
	 */
	nod_leave(&balancer.nod);
	dmn_drain(balancer.drain_s * 1000, never_done, NULL);
	fwd_finish(&balancer.fwd);
	adn_finish(&balancer.adn);
	cnf_finish(&balancer.cnf);
	nod_stop(&balancer.nod);
	nod_finish(&balancer.nod);
	kep_finish(&balancer.kep);
	log_put(&balancer.log.sink, EV_STOPPED, "name=%s",
		settings->identity->name);
	set_free(msg);
	return 0;
}
