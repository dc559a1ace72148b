/*
 * agent_internal - functions that the agent's source files share
 *
 * agent.c             setup, flow table, routing of packets
 * agent_echo.c        Echo values
 * agent_serve.c       requests: deduplication, admission, answers
 * agent_target.c      answers and notifications of the target
 * agent_exceptions.c  flows that peers hold although this agent is first rank
 * agent_peers.c       flow lists exchanged with other agents
 * agent_place.c       load reports and placement of new flows
 * agent_handover.c    state transfer over a planned restart
 */
#ifndef AGENT_INTERNAL_H
#define AGENT_INTERNAL_H

#include "jujube/agent.h"

/* A received packet and what is needed to handle it. */
struct agt_rx {
	const struct agt_call *call;
	struct agt_shard *shard;
	const struct viw_service *service;
	const struct viw_agent *self; /* this agent */
	const Jj__Packet *packet;
	struct agt_flow *flow; /* of the packet, null: not held here */
	struct cx_msg msg;
};

/* -- agent.c -- */
struct agt_shard *agt_shard_by_key(struct agt *agt, uint64_t key);
uint32_t agt_flow_handle(const struct agt *agt, const struct agt_shard *shard,
			 const struct agt_flow *flow);
struct agt_flow *agt_find_flow(struct agt_shard *shard, uint64_t key);
struct agt_flow *agt_open_flow(const struct agt_rx *rx, int guest);
struct agt_flow *agt_alloc_flow(struct agt *agt, struct agt_shard *shard,
				uint64_t key, uint16_t local_port);
void agt_become_holder(const struct agt_call *call, struct agt_shard *shard,
		       struct agt_flow *flow);
void agt_close_flow(const struct agt_call *call, struct agt_shard *shard,
		    struct agt_flow *flow);
void agt_forward(const struct agt_rx *rx, const struct viw_agent *to,
		 enum agt_mode mode);
struct agt_shard *agt_shard_by_handle(struct agt *agt, uint32_t handle);
/* Returns null for a stale handle. The shard must be locked. */
struct agt_flow *agt_flow_by_handle(const struct agt *agt,
				    struct agt_shard *shard, uint32_t handle);

/* -- agent_echo.c -- */
#define AGT_ECHO_BYTES 40
enum agt_echo {
	AGT_ECHO_NONE, /* no valid value, or not issued for this flow */
	AGT_ECHO_OWN, /* of this incarnation, or one handed over to it */
	AGT_ECHO_OTHER, /* issued by another agent */
	AGT_ECHO_KEY_LOST, /* of an incarnation that was not handed over */
};
enum agt_echo agt_read_echo(const struct agt_rx *rx, uint64_t *agent,
			    uint32_t *age_s);
void agt_write_echo(const struct agt_rx *rx, uint8_t echo[AGT_ECHO_BYTES]);

/* Hash of the token of the request that a valid Echo value was issued for. */
uint64_t agt_echo_token_hash(const struct cx_msg *msg);

/* -- agent_serve.c -- */
void agt_serve_request(const struct agt_rx *rx, int guest);
void agt_answer_outcome_unknown(const struct agt_rx *rx);
void agt_expire_requests(const struct agt_call *call, struct agt_shard *shard);
void agt_start_queued(const struct agt_call *call);
void agt_fail_sent_requests(const struct agt_call *call,
			    struct agt_shard *shard, struct agt_flow *flow,
			    const struct agt_pending *except);
struct agt_pending *agt_find_pending(struct agt_shard *shard, uint64_t flow,
				     const struct cx_msg *msg);
void agt_on_answer(const struct agt_call *call, struct agt_shard *shard,
		   struct agt_pending *pending, const struct cx_msg *msg,
		   uint8_t *data, size_t len);
void agt_send_to_caller(const struct agt_call *call,
			const struct agt_flow *flow, const uint8_t *data,
			size_t len);

/* -- agent_target.c -- */
void agt_end_observations(const struct agt_call *call, struct agt_flow *flow);
void agt_on_empty_message(const struct agt_rx *rx, struct agt_flow *flow);

/* -- agent_exceptions.c -- */
enum jj_status agt_put_exception(struct agt_shard *shard, uint64_t key,
				 uint64_t holder, uint64_t incarnation);
const struct viw_agent *agt_exception_holder(const struct agt_rx *rx);
void agt_drop_exception(struct agt_shard *shard, uint64_t key);
void agt_purge_exceptions(const struct agt_call *call, struct agt_shard *shard);

/* -- agent_peers.c -- */
void agt_notify_first_ranked(const struct agt_call *call, struct agt_flow *flow,
			     int closed);
void agt_peers_tick(const struct agt_call *call);
/* Null if unknown. The peers must be locked, also for agt_for_each_peer(). */
struct agt_peer *agt_find_peer(struct agt *agt, uint64_t id);
void agt_for_each_peer(const struct agt_call *call,
		       void (*fn)(const struct agt_call *call,
				  const struct viw_agent *agent,
				  struct agt_peer *peer));

/* -- agent_place.c -- */
void agt_on_load_report(const struct agt_call *call, const Jj__Envelope *env);
void agt_report_load(const struct agt_call *call);
void agt_update_peer_median(const struct agt_call *call);
int agt_start_placement(const struct agt_rx *rx);
int agt_continue_placement(const struct agt_rx *rx);

#endif
