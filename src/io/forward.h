/*
 * fwd - the balancer's forwarding threads
 *
 * Each thread owns a socket on every service address and one on the data
 * port, all shared with the other threads by SO_REUSEPORT. Callers' packets
 * go to the agent that route.h picks; replies go out from the socket of
 * their service. Packets are moved in batches without allocation. A packet
 * that waited longer than max_queue_age_ms in a socket buffer is dropped:
 * the process was paused, and the caller has repeated it meanwhile.
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
/* Stops after what has arrived is forwarded. */
void fwd_finish(struct fwd *fwd);

#endif
