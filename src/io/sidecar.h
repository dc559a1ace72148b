/*
 * sidecar - sockets and threads of the agent that runs beside a target
 *
 * Worker threads share the data port by SO_REUSEPORT; each also polls the flow
 * sockets assigned to it. Each flow has a UDP socket connected to the target,
 * so that the target sees one peer address per flow. The control thread's tick
 * checks the target's health and runs the agent's timers.
 */
#ifndef JUJUBE_SIDECAR_H
#define JUJUBE_SIDECAR_H

#include "jujube/agent.h"
#include "node.h"

struct sid_desc {
	/* sid_init() sets id, incarnation, hooks, echo_key, met and log */
	struct agt_desc agent;
	uint32_t threads;
	uint32_t ip;
	uint16_t data_port;
	uint32_t target_ip;
	uint16_t target_port;
	uint32_t health_ms;
};

struct sid_worker;

struct sid_flow {
	int fd;
	uint32_t handle; /* of the flow, AGT_NO_INDEX: closed */
};

struct sid {
	struct sid_desc desc;
	struct nod *nod;
	struct agt agt;
	struct sid_worker *workers;
	struct sid_flow *flows; /* by agt_flow_slot() */
	_Atomic int stopping;
	_Atomic int paused; /* a worker detected a pause of the process */
	_Atomic int restore_done; /* or there was no state to restore */
	int health_fd;
	uint16_t health_mid; /* CoAP message id of the last request */
	uint64_t health_sent_ms; /* last request */
	uint64_t health_answered_ms; /* last response, 0: none */
	int wrong_target; /* a target of another service responded */
	int target_draining; /* by its last response */
	Jj__Phase phase;
	uint32_t shown_cap;
};

enum jj_status sid_init(struct sid *sid, const struct sid_desc *desc,
			struct nod *nod, struct jj_error *err);
/*
 * Restores the state that a previous run of this process handed over to
 * balancers, if they still have it, and starts to serve. The node must have
 * been started.
 */
enum jj_status sid_start(struct sid *sid, struct jj_error *err);
/* Ends the worker threads; the node's hooks may still be called. */
void sid_stop(struct sid *sid);
/*
 * After sid_stop(): sends flows and ledger to balancers; 1 when at least one
 * stored them.
 */
int sid_hand_over(struct sid *sid);
void sid_finish(struct sid *sid);

/* Reads responses to health requests, and sends the next one when due. */
void sid_check_health(struct sid *sid, uint64_t now_ms);
/* Computes the phase and announces it if it has changed. */
void sid_update_phase(struct sid *sid, uint64_t now_ms);

/* Hooks for the node; ctx is the struct sid. */
void sid_view_changed(void *ctx, struct nod_lane *lane, const struct viw *view);
void sid_control(void *ctx, struct nod_lane *lane, const struct viw *view,
		 const Jj__Envelope *env);
void sid_tick(void *ctx, struct nod_lane *lane, const struct viw *view);
void sid_dump(void *ctx, FILE *out);

#endif
