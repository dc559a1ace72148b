#ifndef JUJUBE_FLOW_INTERNAL_H
#define JUJUBE_FLOW_INTERNAL_H

#include "jujube/flow.h"

/* How the receiving agent is to treat a packet; sent as Packet.mode. */
enum flw_mode {
	/* sent to the flow's home, by a balancer or another service's agent */
	FLW_MODE_HOME,
	FLW_MODE_PLACED, /* an opening, placed at this agent's target */
	FLW_MODE_HOLDER, /* sent to the flow's recorded holder */
	/* sent to an agent that cannot tell whether its target holds it */
	FLW_MODE_TRIAL,
	/* an opening from a data centre that is short of room */
	FLW_MODE_SPILLED,
	/* an opening that may wait for room at the receiving agent */
	FLW_MODE_QUEUE,
};

#define FLW_COST_NONE UINT32_MAX /* the target cannot be chosen */

/* Peers that can be chosen for an opening. */
struct flw_trace {
	struct {
		uint64_t id;
		uint32_t cost;
	} eligible[FLW_PEERS_MAX];
	uint32_t count;
};

/* A packet that is being handled, with its shard locked. */
struct flw_work {
	const struct flw_call *call;
	struct flw_shard *shard;
	const Jj__Packet *packet;
	struct flw_packet head;
	const struct viw_service *service;
	const struct viw_agent *me;
	/*
	 * Not null: only the choice of a target is wanted. Peers that can be
	 * chosen are recorded, and nothing else is changed.
	 */
	struct flw_trace *trace;
};

/* flow_table.c: flows and recorded locations of one shard */
enum jj_status flw_init_tables(struct flw *flw);
void flw_finish_tables(struct flw *flw);
struct flw_shard *flw_shard_of(struct flw *flw, uint64_t key);
struct flw_flow *flw_find_flow(struct flw_shard *shard, uint64_t key);
/* Returns null if the table is full. */
struct flw_flow *flw_add_flow(struct flw *flw, struct flw_shard *shard,
			      uint64_t key, uint64_t now);
void flw_remove_flow(struct flw *flw, struct flw_shard *shard,
		     struct flw_flow *flow);
struct flw_location *flw_find_location(struct flw_shard *shard, uint64_t key);
void flw_put_location(struct flw_shard *shard,
		      const struct flw_location *location);
/*
 * Call when the caller has sent the target something to respond to, and when no
 * response is expected any more.
 */
void flw_set_busy(struct flw *flw, struct flw_flow *flow, uint64_t now);
void flw_clear_busy(struct flw *flw, struct flw_flow *flow);

/* flow_place.c: choosing a target for an opening */
void flw_place(const struct flw_work *work);
/* Returns 0 if no target has room; nothing was done then. */
int flw_try_place(const struct flw_work *work);
/*
 * The peer that is to get the opening; null: this agent's own target, unless
 * *own is FLW_COST_NONE. The opening is added to the peer's load.
 */
const struct viw_agent *flw_choose_peer(const struct flw_work *work,
					uint32_t *own);
/*
 * Handles an opening that another agent passed here to wait: opens it at this
 * agent's target, queues or refuses it.
 */
void flw_place_queued(const struct flw_work *work);
/* Refuses an opening for good. */
void flw_refuse(const struct flw_work *work, const char *why);
/*
 * Opens the flow at this agent's target if it may take it, else forwards the
 * opening to another agent.
 */
void flw_open_or_forward(const struct flw_work *work);
enum flw_retry_cause {
	FLW_RETRY_UNANSWERED, /* the target may still have a copy */
	FLW_RETRY_RETURNED, /* by the target */
	FLW_RETRY_LOST, /* the target's process is gone */
};

/*
 * Sends the opening of a flow that the target did not answer to another agent.
 */
void flw_retry_opening(const struct flw_call *call, struct flw_shard *shard,
		       struct flw_flow *flow, enum flw_retry_cause cause);
void flw_report_load(const struct flw_call *call);
/* Ranks a peer behind all others until its next load report. */
void flw_avoid_peer(struct flw *flw, uint64_t id);
void flw_note_answer(struct flw *flw);
/* Most requests in progress that peers may assume, 0: no flows are taken. */
uint32_t flw_advertised_cap(const struct flw_call *call,
			    const struct viw_service *service,
			    const struct viw_agent *me);

/* flow_data_centre.c: the load of this data centre, and reports on it */
/*
 * Whether openings to the service are sent to other data centres: the setting
 * is on, and the service has too many agents for all to know each other's load.
 */
int flw_spills(const struct flw *flw, const struct viw_service *service);
/*
 * Expected wait of an opening for a slot of this data centre. 0: one is idle
 * now; SPL_WAIT_UNLIMITED: no target may take flows.
 */
uint64_t flw_local_wait_us(const struct flw_work *work);
/* Wait above which an opening may be sent to another data centre. */
uint64_t flw_crossing_cost_us(const struct flw *flw);
/*
 * Records the present wait. Returns whether openings may leave the data centre.
 */
int flw_note_local_wait(const struct flw_call *call, uint64_t wait_us);
/*
 * Agents that get this agent's load reports, as positions in the view, at most
 * FLW_PEERS_MAX. Returns their number.
 */
uint32_t flw_load_recipients(const struct flw *flw, const struct viw *view,
			     const struct viw_service *service,
			     const struct viw_agent *me, int include_remote,
			     uint32_t *out);
/* The load of this agent's data centre, as far as it knows. */
void flw_fill_data_centre_load(const struct flw_call *call,
			       Jj__DataCentreLoad *load);
void flw_on_data_centre_load(const struct flw_call *call,
			     const Jj__DataCentreLoad *load);

/* flow_spill.c: sending openings to another data centre */
/*
 * Whether a target for the opening may be chosen in any data centre. If
 * openings are spilled, flw_try_spill() alone chooses the data centre, and one
 * that was spilled stays where it was sent.
 */
int flw_may_cross(const struct flw_work *work);
/*
 * The agent in another data centre that is to get the opening, or null. The
 * opening is counted as sent there unless work->trace is set.
 */
const struct viw_agent *flw_choose_gateway(const struct flw_work *work,
					   uint64_t *wait_us,
					   struct spl_choice *choice);
/*
 * Sends the opening to another data centre if that is worthwhile. Returns 0 if
 * not; nothing was done then.
 */
int flw_try_spill(const struct flw_work *work);
/* Places an opening that another data centre sent, as its gateway. */
void flw_place_spilled(const struct flw_work *work);
/*
 * Sends a copy of a spilled opening to its gateway, which may still be placing
 * it. Returns 0 if the opening was not sent to a gateway, or too long ago.
 */
int flw_follow_spilled(const struct flw_work *work,
		       const struct flw_location *location);

/* flow_pending.c: openings that wait for room, newest first */
/* Whether an opening may wait without the terms of its route. */
int flw_may_wait(const struct flw_work *work);
/*
 * Whether the opening's route has all terms that decisions under load need:
 * priority, target latency and deadline.
 */
int flw_has_terms(const struct flw_work *work);
/* Returns 0 if the opening cannot be queued. */
int flw_queue_opening(const struct flw_work *work);
/* Longest time that the opening could wait for room here, 0: queue is full. */
uint64_t flw_wait_limit_us(const struct flw_work *work);
/* Keeps an opening until the chosen agent's target should have answered it. */
void flw_watch_placement(const struct flw_work *work, uint64_t chosen);
/* Places queued openings as long as there is room. No lock may be held. */
void flw_place_pending(const struct flw_call *call);
/*
 * Places openings elsewhere whose chosen agent did not answer in time. No lock
 * may be held.
 */
void flw_check_placements(const struct flw_call *call);

/* flow_wait_table.c: table of the openings that wait by the terms of routes */
enum jj_status flw_init_waiting(struct flw *flw);
void flw_finish_waiting(struct flw *flw);
int flw_is_waiting(struct flw *flw, uint64_t key);
/* Takes an opening out of the table; 0: it does not wait. */
int flw_take_waiting(struct flw *flw, uint64_t key, struct flw_waiting *out);
/*
 * Adds an opening. One that it displaces is refused by flw_place_waiting().
 */
struct wtq_added flw_add_waiting(struct flw *flw,
				 const struct flw_waiting *entry,
				 const struct wtq_room *room, uint64_t now);
/* The same for an entry that was taken out and has found no room. */
struct wtq_added flw_put_back_waiting(struct flw *flw,
				      const struct flw_waiting *entry,
				      const struct wtq_room *room,
				      uint64_t now);
/* What flw_add_waiting() would answer, without adding anything. */
struct wtq_added flw_assess_waiting(struct flw *flw,
				    const struct wtq_request *request,
				    const struct wtq_room *room, uint64_t now);

/* flow_wait.c: openings that wait by the terms of their routes */
/*
 * Whether the opening's route has a smaller priority number than others of its
 * service, so that it may use urgent_places.
 */
int flw_is_urgent(const struct flw_work *work);
/* Whether an opening waits by the terms of its route if there is no room. */
int flw_waits_by_terms(const struct flw_work *work);
/*
 * Queues the opening here or at another agent of the data centre, or refuses
 * it.
 */
void flw_wait_by_terms(const struct flw_work *work, const char *why);
/* What flw_wait_by_terms() does with an opening. */
struct flw_wait_outcome {
	const struct viw_agent *passed_to; /* null: it stays here */
	int waits; /* here */
	struct wtq_added added; /* valid if assessed */
	int assessed; /* the queue was asked */
	uint64_t at_most_us; /* longest wait */
	const char *why; /* of the wait or the refusal */
};

/* Finds that without an effect; work->trace has to be set. */
struct flw_wait_outcome flw_assess_wait(const struct flw_work *work,
					const char *why);
/*
 * Passes an opening to the agent of this data centre with the shortest wait.
 * Returns 0 if there is none.
 */
int flw_pass_to_queue(const struct flw_work *work);
/* Handles a copy of an opening that waits here. */
void flw_refresh_waiting(const struct flw_work *work);
/*
 * Places waiting openings as long as there is room and refuses those whose wait
 * has ended. No lock may be held.
 */
void flw_place_waiting(const struct flw_call *call);
/* Age of the caller's attempt, from the packet and the number of its copy. */
uint64_t flw_attempt_age_us(const struct flw_work *work);

/* flow_target.c: state and limits of the target */
/* Like flw_refusal_reason(), but whether the target is full does not matter. */
const char *flw_unavailable_reason(struct flw *flw,
				   const struct viw_service *service,
				   const struct viw_agent *me, uint64_t now);
/* Why the target may not be given a new flow now, null: it may. */
const char *flw_refusal_reason(struct flw *flw,
			       const struct viw_service *service,
			       const struct viw_agent *me, uint64_t now);
/* What an opening may use of a target's cap, compared with a first opening. */
struct flw_cap_change {
	uint32_t less;
	uint32_t more;
};

struct flw_cap_change flw_cap_change(const struct flw_work *work);
uint32_t flw_usable_cap(struct flw_cap_change change, uint32_t cap);
/* Like flw_refusal_reason(), for a certain opening. */
const char *flw_opening_refusal_reason(const struct flw_work *work);
/* Whether this agent knows every flow that its target holds. */
int flw_knows_all_flows(const struct flw_call *call);
uint32_t flw_cap(struct flw *flw, const struct viw_service *service,
		 uint64_t now);
void flw_note_opening(struct flw *flw, uint64_t now);
/* Records the time from a request to the first packet of its response. */
void flw_note_response_time(struct flw *flw, uint64_t us, uint64_t now);
uint32_t flw_typical_us(struct flw *flw, uint64_t now);
/*
 * Whether the target may be failing; it then gets only flows for which no other
 * target has room.
 */
int flw_held_back(struct flw *flw, uint64_t now);
void flw_note_unanswered(struct flw *flw, uint64_t now);

/* Target lock held. Whether the target has left or its heartbeats stopped. */
int flw_target_gone(const struct flw *flw, uint64_t now);
/* Target lock held. Whether it is certain that the target holds no flows. */
int flw_target_proven_gone(const struct flw *flw, uint64_t now);

/* flow_lost.c: targets whose process is gone */
/* Whether targets are probed, and the phase down is proof. */
int flw_probes_target(const struct flw *flw);
/* The target was given an opening or a request. */
void flw_note_asked(struct flw *flw, uint64_t now);
/* The target sent a packet. */
void flw_note_heard(struct flw *flw, uint64_t now);
/*
 * Target lock held. A heartbeat that is newer than the last one, or repeats it,
 * has arrived but is not applied yet.
 */
/*
 * Whether the start can have happened. A heartbeat with another one is used, as
 * clocks may be set back, but proves nothing about flows.
 */
int flw_start_is_plausible(const struct flw_heartbeat *heartbeat);
void flw_compare_starts(struct flw *flw, const struct flw_heartbeat *heartbeat,
			uint64_t now);
/*
 * Call for each packet of the target: if the target has restarted and answers a
 * copy of the opening, the answer of the former process no longer counts.
 */
void flw_reopen_after_restart(const struct flw *flw, struct flw_flow *flow,
			      const struct flw_packet *head);
/* Ends flows of an earlier start of the target. No lock may be held. */
void flw_end_lost_flows(const struct flw_call *call);
/*
 * Target lock held. Whether other agents may still count this one as down, so
 * that it must open no flow.
 */
int flw_is_returning(const struct flw *flw, uint64_t now);
/* Whether the agent's last known phase proves that its target holds nothing. */
int flw_was_down(const struct flw_call *call, uint64_t agent);

/* flow.c: packets of callers and of the target */
void flw_reset_flow(const struct flw_call *call, const struct flw_flow *flow,
		    const char *why);
void flw_forward(const struct flw_work *work, const struct viw_agent *to,
		 enum flw_mode mode);
void flw_reset_caller(const struct flw_call *call,
		      const struct flw_packet *packet, uint32_t seq);

/*
 * Rebuilds the context of a stored packet. Returns 0 if it can no longer be
 * handled.
 */
int flw_restore_work(const struct flw_call *call, struct flw_work *work,
		     Jj__Packet *packet, uint64_t key, uint8_t *data,
		     size_t len);
/* Time after which a flow without packets is removed. */
uint64_t flw_idle_us(const struct flw_call *call);

/* flow_search.c: packets of flows that are not in the flow table */
/* Whether ack acknowledges data of a target whose ISN is target_isn. */
int flw_ack_matches(uint32_t ack, uint32_t target_isn);
/*
 * flow: an entry with the same key that the packet does not belong to, since
 * the target answered another copy of the opening; or null.
 */
void flw_on_unknown_flow(const struct flw_work *work,
			 const struct flw_flow *flow);
/*
 * Handles a packet that was passed to the target on trial and returned by it.
 */
void flw_on_trial_returned(const struct flw_call *call, struct flw_shard *shard,
			   uint64_t key, const struct flw_packet *head,
			   uint8_t *data, size_t len);
/*
 * Passes a packet to this agent's target on trial; requester is notified if the
 * target returns it.
 */
void flw_try_target(const struct flw_work *work, uint64_t requester);
/* Finds a trial of the flow. Returns 0 if there is none. */
int flw_find_trial(struct flw *flw, uint64_t key, struct flw_trial *out);

/* Result of a lookup that found no holder. */
struct flw_lookup_result {
	uint32_t agent_count; /* agents in the lookup */
	uint32_t silent; /* agents without a reply */
	uint32_t unknown; /* agents that may hold the flow */
	uint32_t searched; /* services searched before this one */
	int partial; /* there are more agents than were asked */
	int wide; /* agents of all services were asked */
	int repeated; /* the agents were asked before */
};

void flw_on_lookup_failed(const struct flw_work *work,
			  const struct flw_lookup_result *result);

/* flow_lookup.c: asking other agents for flows */
/*
 * Asks all agents for a flow, first those of the service. not_local: this
 * agent's target definitely does not hold it.
 */
void flw_look_up(const struct flw_work *work, int not_local);
/*
 * Asks for a flow after FLW_INQUIRY_RETRY_US, unless this agent's target turns
 * out to hold it before then.
 */
void flw_look_up_later(const struct flw_work *work);
/* Call when the flow was found, or is searched in another service. */
void flw_cancel_lookup(struct flw *flw, uint64_t key);
/* Sends inquiries that are due and completes lookups. No lock may be held. */
void flw_check_lookups(const struct flw_call *call);
/*
 * Records that an agent's target definitely does not hold a flow. No lock may
 * be held.
 */
void flw_note_not_held(const struct flw_call *call, uint64_t agent,
		       uint64_t key);

/* flow_explain.c: decisions without effect */
void flw_trace_peer(struct flw_trace *trace, uint64_t id, uint32_t cost);

/* flow_notify.c: notifying other processes of flow holders */
/* Notifies the flow's home and its origin that this agent holds it. */
void flw_notify_home_and_origin(const struct flw_call *call,
				struct flw_flow *flow);
void flw_fill_holding(Jj__Holding *item, const struct flw *flw,
		      const struct flw_flow *flow);
/*
 * Notifies the balancer that the flow's packets come through, once per
 * balancer.
 */
void flw_notify_balancer(const struct flw_call *call, struct flw_flow *flow);
/*
 * Notifies an agent or a balancer that openings wait here; count is at most
 * FLW_WAITING_BATCH.
 */
#define FLW_WAITING_BATCH 16 /* fits in a datagram */
void flw_notify_waiting(const struct flw_call *call, uint32_t ip, uint16_t port,
			const uint64_t *keys, uint32_t count);
/* Notifies balancers of openings that wait. No lock may be held. */
void flw_notify_balancers_of_waiting(const struct flw_call *call);
/* Notifies the origin of an opening that it was refused here. */
void flw_notify_refusal(const struct flw_work *work);

#endif
