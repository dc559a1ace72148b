/*
 * ingress - sockets and threads of a balancer that relays flows
 *
 * The network fabric sends callers' packets to one address, which the threads
 * share by SO_REUSEPORT. Answers do not pass through here: agents send them to
 * callers directly. In a graceful shutdown the readiness check fails first,
 * and packets are forwarded for as long as they arrive.
 */
#ifndef JUJUBE_INGRESS_H
#define JUJUBE_INGRESS_H

#include "jujube/relay.h"
#include "node.h"

struct ing_desc {
	uint32_t threads;
	uint32_t ip; /* address that the fabric sends to */
	uint16_t port;
	uint16_t caller_port; /* where callers receive packets */
	uint32_t data_ip;
	uint16_t data_port; /* for messages of agents */
	struct rt_desc cache;
	struct flw_codec codec;
};

struct ing_thread;

struct ing {
	struct ing_desc desc;
	struct nod *nod;
	struct rly rly;
	struct ing_thread *threads;
	uint64_t started_ms;
	_Atomic int stopping;
	_Atomic uint64_t last_packet_ms;
};

enum jj_status ing_init(struct ing *ing, const struct ing_desc *desc,
			struct nod *nod, struct jj_error *err);
enum jj_status ing_start(struct ing *ing, struct jj_error *err);
void ing_finish(struct ing *ing);

/* Whether packets can be forwarded: there is a table and a usable agent. */
int ing_ready(const struct ing *ing);

/* Whether no packet has arrived for some time; for dmn_drain(). */
int ing_idle(void *ctx);

#endif
