#ifndef JUJUBE_FLOW_INTERNAL_H
#define JUJUBE_FLOW_INTERNAL_H

#include "jujube/flow.h"

/* How the agent that gets a packet is to treat it. */
enum flw_mode {
	FLW_MODE_HOME, /* from a balancer, to the flow's home */
	FLW_MODE_PLACED, /* an opening, chosen for this agent's target */
	FLW_MODE_HOLDER, /* to the agent that is said to hold it */
	FLW_MODE_TRIAL, /* to one that does not know whether its target holds it */
};

/* One packet being worked on, with its shard locked. */
struct flw_work {
	const struct flw_call *call;
	struct flw_shard *shard;
	const Jj__Packet *packet;
	struct flw_packet head;
	const struct viw_service *service;
	const struct viw_agent *me;
};

/* flow_table.c: flows and exceptions of one shard */
enum jj_status flw_init_tables(struct flw *flw);
void flw_finish_tables(struct flw *flw);
struct flw_shard *flw_shard_of(struct flw *flw, uint64_t key);
struct flw_flow *flw_find_flow(struct flw_shard *shard, uint64_t key);
/* Null: no room. */
struct flw_flow *flw_add_flow(struct flw *flw, struct flw_shard *shard,
			      uint64_t key, uint64_t now);
void flw_remove_flow(struct flw *flw, struct flw_shard *shard,
		     struct flw_flow *flow);
struct flw_location *flw_location(struct flw_shard *shard, uint64_t key);
void flw_put_location(struct flw_shard *shard, const struct flw_location *e);
/* Work begins or ends at the target. */
void flw_mark_busy(struct flw *flw, struct flw_flow *flow, uint64_t now);
void flw_mark_idle(struct flw *flw, struct flw_flow *flow);

/* flow_place.c: what the target can take, and who else can */
void flw_place(const struct flw_work *work);
/* 0: nobody has room, and nothing was done. */
int flw_try_place(const struct flw_work *work);
/* Turns an opening down for good. */
void flw_refuse(const struct flw_work *work, const char *why);
/* Opens it here, when the target may take it, else passes it on. */
void flw_open_or_forward(const struct flw_work *work);
/* The opening packet of a flow that the target did not answer goes on. */
void flw_retry_opening(const struct flw_call *call, struct flw_shard *shard,
		       struct flw_flow *flow, int returned);
void flw_report_load(const struct flw_call *call);
/* Comes after all others until it is heard of again. */
void flw_avoid_peer(struct flw *flw, uint64_t id);
void flw_note_answer(struct flw *flw);

/* flow_pending.c: openings that wait for room, newest first */
/* 0: it cannot wait. */
int flw_queue_opening(const struct flw_work *work);
/* Keeps an opening until the chosen agent's target should have answered. */
void flw_watch_placement(const struct flw_work *work, uint64_t chosen);
/* Places those that wait as far as there is room. No lock may be held. */
void flw_place_pending(const struct flw_call *call);
/* Places those again whose chosen agent is silent. No lock may be held. */
void flw_check_placements(const struct flw_call *call);

/* flow_target.c */
/* Why the target may not be given a flow now, or null. */
const char *flw_refusal_reason(struct flw *flw,
			       const struct viw_service *service,
			       const struct viw_agent *me, uint64_t now);
/* Whether this agent knows of every flow that its target holds. */
int flw_knows_all_flows(const struct flw_call *call);
uint32_t flw_cap(struct flw *flw, const struct viw_service *service,
		 uint64_t now);
void flw_note_opening(struct flw *flw, uint64_t now);
/* An answer began so long after its request. */
void flw_note_response_time(struct flw *flw, uint64_t us, uint64_t now);
uint32_t flw_typical_us(struct flw *flw, uint64_t now);
/* The target may be failing: it gets what nobody else has room for. */
int flw_held_back(struct flw *flw, uint64_t now);
void flw_note_unanswered(struct flw *flw, uint64_t now);

/* flow.c */
void flw_forward(const struct flw_work *work, const struct viw_agent *to,
		 enum flw_mode mode);
void flw_reset_caller(const struct flw_call *call,
		      const struct flw_packet *packet, uint32_t seq);

/* Rebuilds a kept packet's surroundings; 0: nothing can be done with it. */
int flw_restore_work(const struct flw_call *call, struct flw_work *work,
		     Jj__Packet *packet, uint64_t key, uint8_t *data,
		     size_t len);
/* Time after which a flow without packets is forgotten. */
uint64_t flw_idle_us(const struct flw_call *call);

/* flow_search.c */
/* Whether a packet acknowledges what the target with that start has sent. */
int flw_ack_matches(uint32_t ack, uint32_t first);
/* flow: of the target, when it answered another copy of the opening, or null */
void flw_on_unknown_flow(const struct flw_work *work,
			 const struct flw_flow *flow);
/* The target returned a packet that it was given on trial. */
void flw_on_trial_returned(const struct flw_call *call, struct flw_shard *shard,
			   uint64_t key, const struct flw_packet *head,
			   uint8_t *data, size_t len);
/* Gives a packet to this agent's target, for the agent that asks. */
void flw_try_target(const struct flw_work *work, uint64_t asker);
/* The trial of a flow that the target turned out to hold; 0: none. */
int flw_find_trial(struct flw *flw, uint64_t key, struct flw_trial *out);
/* Nobody holds the flow of a packet, or nobody that can be found. */
struct flw_lookup_result {
	uint32_t agent_count; /* agents */
	uint32_t silent;
	uint32_t unknown;
	uint32_t searched; /* services before this one */
	int partial; /* the service has more agents */
	int repeated; /* all were asked before */
};
void flw_on_lookup_failed(const struct flw_work *work,
			  const struct flw_lookup_result *result);

/* flow_lookup.c */
/* Asks all agents of the service for a flow; not_local: surely not this one. */
void flw_look_up(const struct flw_work *work, int not_local);
/* The same, unless the flow turns up at this agent's target meanwhile. */
void flw_look_up_later(const struct flw_work *work);
/* The flow was found, or is looked for elsewhere. */
void flw_cancel_lookup(struct flw *flw, uint64_t key);
/* Sends gathered inquiries, ends those that are due. No lock may be held. */
void flw_check_lookups(const struct flw_call *call);
/* An agent's target surely does not hold a flow. No lock may be held. */
void flw_note_not_held(const struct flw_call *call, uint64_t agent,
		       uint64_t key);

/* flow_notify.c */
/* Those who have to know where the flow is: its home, and who placed it. */
void flw_notify_placers(const struct flw_call *call, struct flw_flow *flow);
void flw_fill_holding(Jj__Holding *item, const struct flw *flw,
		      const struct flw_flow *flow);
/* The balancer that the flow's packets come through, once each. */
void flw_notify_balancer(const struct flw_call *call, struct flw_flow *flow);
/* Who placed an opening here need not wait for an answer. */
void flw_notify_refusal(const struct flw_work *work);

#endif
