/*
 * egress - sockets and threads of an agent that relays flows
 *
 * One socket, at the address that the target sends to, carries both directions
 * between agent and target, and the answers to callers. Another receives
 * messages of balancers and other agents. The target reports its state by
 * heartbeats over HTTP (see egr_on_heartbeat()).
 */
#ifndef JUJUBE_EGRESS_H
#define JUJUBE_EGRESS_H

#include "jujube/flow.h"
#include "node.h"
#include "port_probe.h"

struct egr_desc {
	struct flw_desc flow; /* egr_init() sets id, target, hooks, met, log */
	uint32_t threads;
	uint32_t ip; /* address that the target sends to */
	uint16_t port;
	uint16_t caller_port; /* where callers receive packets */
	uint32_t data_ip;
	uint16_t data_port; /* for messages of balancers and agents */
	uint32_t target_ip;
	uint16_t target_port;
};

struct egr_thread;

/* Probes of the target's address after a start of this process. */
enum egr_start_probe {
	EGR_PROBE_AT_ONCE,
	EGR_PROBE_AFTER_DELAY,
	EGR_PROBE_DONE,
};

struct egr {
	struct egr_desc desc;
	struct nod *nod;
	struct flw flw;
	struct egr_thread *threads;
	uint64_t started_ms;
	uint64_t stopping_ms;
	struct ppr probe; /* of the target's address */
	/* see flw_begin_probe(); 0: no probe, or the one after a start */
	uint64_t probe_began_at;
	enum egr_start_probe start_probe; /* the next one */
	_Atomic int stopping;
};

enum jj_status egr_init(struct egr *egr, const struct egr_desc *desc,
			struct nod *nod, struct jj_error *err);
enum jj_status egr_start(struct egr *egr, struct jj_error *err);
void egr_finish(struct egr *egr);

/* Handles a heartbeat of the target; returns as flw_on_heartbeat(). */
enum jj_status egr_on_heartbeat(struct egr *egr,
				const struct flw_heartbeat *heartbeat,
				struct jj_error *err);

/*
 * Stops accepting new flows. egr_idle() returns 1 when the other processes have
 * had time to learn of it and the target has answered every open request; for
 * dmn_drain().
 */
void egr_stop(struct egr *egr);
int egr_idle(void *ctx);

/* Hooks for the node; ctx is the struct egr. */
void egr_view_changed(void *ctx, struct nod_lane *lane, const struct viw *view);
void egr_control(void *ctx, struct nod_lane *lane, const struct viw *view,
		 const Jj__Envelope *env);
void egr_tick(void *ctx, struct nod_lane *lane, const struct viw *view);
void egr_dump(void *ctx, FILE *out);
/* Answers ExplainRequest; see struct nod_hooks. */
int egr_request(void *ctx, const Jj__Envelope *env, Jj__Envelope *reply);

#endif
