/* jujubed - the balancer on an entry host. */
#include <stdlib.h>
#include "admin.h"
#include "table_sync.h"
#include "daemon.h"
#include "forward.h"
#include "handover.h"
#include "kv.h"
#include "net.h"

struct balancer {
	struct nod nod;
	struct tsy tsy;
	struct adn adn;
	struct fwd fwd;
	struct hnd hnd;
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
		.hooks = { .request = hnd_on_request,
			   .request_ctx = &balancer->hnd },
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
	struct tsy_desc table_sync = { .url = s->platform->url,
				       .table_key = s->platform->table_key,
				       .timeout_ms = s->platform->timeout_ms,
				       .watch_s = s->platform->watch_s };
	struct adn_desc admin = { .ip = s->admin->ip,
				  .port = (uint16_t)s->admin->port,
				  .token = s->admin->token };
	struct jj_error err;

	hnd_init(&balancer->hnd);
	dmn_fill_node_desc(&node, s->identity, s->fleet);
	dmn_check(nod_init(&balancer->nod, &node, &err), &err);
	dmn_check(fwd_init(&balancer->fwd, &forward, &balancer->nod, &err),
		  &err);
	dmn_check(tsy_init(&balancer->tsy, &table_sync, &balancer->nod, &err),
		  &err);
	dmn_check(nod_start(&balancer->nod, &err), &err);
	dmn_check(fwd_start(&balancer->fwd, &err), &err);
	dmn_check(tsy_start(&balancer->tsy, &err), &err);
	dmn_check(adn_start(&balancer->adn, &admin, &balancer->nod,
			    &balancer->tsy, &err),
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
	tsy_finish(&balancer.tsy);
	nod_stop(&balancer.nod);
	nod_finish(&balancer.nod);
	hnd_finish(&balancer.hnd);
	log_put(&balancer.log.sink, EV_STOPPED, "name=%s",
		settings->identity->name);
	set_free(msg);
	return 0;
}
