/*
 * side - sockets and threads of the agent beside a target
 *
 * Worker threads share the data port by SO_REUSEPORT; each also watches the
 * flow sockets that it opened. A flow socket is a UDP socket of its own
 * connected to the target, so the target sees one peer a flow. The control
 * thread's tick asks the target for its health and drives the agent's timers.
 */
#ifndef JUJUBE_SIDECAR_H
#define JUJUBE_SIDECAR_H

#include "jujube/agent.h"
#include "node.h"

struct sid_desc {
	struct agt_desc agent; /* hooks, id, incarnation, key are filled in */
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
	uint32_t handle;
};

struct sid {
	struct sid_desc desc;
	struct nod *nod;
	struct agt agt;
	struct sid_worker *workers;
	struct sid_flow *flows; /* by agt_flow_slot() */
	_Atomic int stopping;
	_Atomic int paused; /* a worker noticed a pause */
	_Atomic int state_restored; /* state of a former life was taken over */
	int health_fd;
	uint16_t health_mid;
	uint64_t health_sent_ms; /* ms */
	uint64_t health_answered_ms;
	int wrong_target; /* another target answered */
	int target_draining;
	Jj__Phase phase;
	uint32_t shown_cap;
};

enum jj_status sid_init(struct sid *sid, const struct sid_desc *desc,
			struct nod *nod, struct jj_error *err);
/*
 * Takes over what a former life of this process handed over, as far as
 * balancers have it, and starts to serve. The node must have been started.
 */
enum jj_status sid_start(struct sid *sid, struct jj_error *err);
/* Ends the workers; the node's hooks may still be called. */
void sid_stop(struct sid *sid);
/* After sid_stop(): leaves flows and ledger with balancers; 1 when taken. */
int sid_hand_over(struct sid *sid);
void sid_finish(struct sid *sid);

/* Asks the target for its health and reads what it answered. */
void sid_check_health(struct sid *sid, uint64_t now_ms);
/* Announces another phase when there is one. */
void sid_update_phase(struct sid *sid, uint64_t now_ms);

/* Hooks for the node; ctx is the struct sid. */
void sid_view_changed(void *ctx, struct nod_lane *lane, const struct viw *view);
void sid_control(void *ctx, struct nod_lane *lane, const struct viw *view,
		 const Jj__Envelope *env);
void sid_tick(void *ctx, struct nod_lane *lane, const struct viw *view);
void sid_dump(void *ctx, FILE *out);

#endif
