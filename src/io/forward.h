/*
 * forward - forwarding threads of a balancer
 *
 * Each thread has its own socket on every service address and on the data
 * port; SO_REUSEPORT spreads packets over the threads. Callers' packets go to
 * the agent that rt_pick() selects; replies leave through the socket of their
 * service. Packets are received and sent in batches, without allocation. A
 * packet that spent more than max_queue_age_ms in a socket buffer is dropped:
 * the process was paused, and the caller has retransmitted the packet since.
 */
#ifndef JUJUBE_FORWARD_H
#define JUJUBE_FORWARD_H

#include "jujube/route.h"
#include "node.h"

struct fwd_desc {
	uint32_t threads;
	uint32_t max_queue_age_ms;
	uint32_t ip;
	uint16_t data_port;
	struct rt_desc route;
};

struct fwd_thread;

struct fwd {
	struct fwd_desc desc;
	struct nod *nod;
	struct rt rt;
	struct fwd_thread *threads;
	_Atomic int stopping;
};

enum jj_status fwd_init(struct fwd *fwd, const struct fwd_desc *desc,
			struct nod *nod, struct jj_error *err);
enum jj_status fwd_start(struct fwd *fwd, struct jj_error *err);
/* Stops the threads after they have forwarded what is already queued. */
void fwd_finish(struct fwd *fwd);

#endif
