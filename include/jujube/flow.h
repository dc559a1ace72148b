/*
 * flow - the agent's part of relaying flows that only their ends can read
 *
 * Packets of callers are carried to targets, and back, as they are. The agent
 * beside a target is the only place that knows which flows the target holds;
 * every packet for the target passes it, so what the target must not be given
 * is stopped here, whatever balancers believe.
 *
 * Opening packet, at the agent that ranks first for the flow (its home, see
 * viw_rank_homes()):
 *  1. the home places it at the target with the least work in hand, by the
 *     reports of its peers, and remembers where; nobody keeps a flow waiting;
 *  2. the agent that gets it checks for itself that its target may take it
 *     (leaving, cold, silent, full) and else passes it on;
 *  3. a target that does not answer within FLW_ANSWER_US, or returns the
 *     packet, loses it to another agent; so does an agent from which the home
 *     hears nothing within FLW_CHOSEN_US;
 *  4. when no target has room it waits for the caller's next copy, or is
 *     refused with a reset (see flow_place.c).
 * When the target answers, its first sequence number tells its flow from that
 * of any other target that was given a copy. The agent tells home and balancer
 * that it holds the flow.
 *
 * Any other packet goes to the target when it acknowledges what the target
 * has sent; else to the holder that the home knows; else the agent that has it
 * asks all agents of the service, for many flows at once (see flow_ask.c). An
 * agent that knows all that its target holds answers for sure; one that was
 * started later than its target tries the packet there and tells when it comes
 * back. When every agent, dead ones included, has surely no such flow, it has
 * ended, and its caller is reset, so that it need not wait for its deadline.
 * Resets are sent only then, for openings, for flows that the target has
 * forgotten, and for flows whose route was removed; when in doubt a packet is
 * dropped.
 *
 * Thread safe: state is in shards by flow key, each under its own lock; the
 * peers have another, taken after a shard's. Hooks are called with a shard
 * locked and must not call back. Times are microseconds of a monotonic clock.
 */
#ifndef JUJUBE_FLOW_H
#define JUJUBE_FLOW_H

#include <pthread.h>
#include "jujube/atomic.h"
#include "jujube/log.h"
#include "jujube/metric.h"
#include "jujube/speed.h"
#include "jujube/view.h"

#define FLW_SHARDS 4
#define FLW_PEERS 512 /* agents of a service that are known by load, or asked */
#define FLW_NONE UINT32_MAX
#define FLW_OPENING_MAX 64 /* bytes of an opening packet */
#define FLW_TRIED_MAX 4 /* agents that an opening packet visits */
#define FLW_HOPS_MAX 8 /* forwards of a packet */
/* A target's kernel answers in under 1 ms; so long means that it is gone. */
#define FLW_ANSWER_US 60000
/* An agent that was chosen has had an opening answered, or passed it on. */
#define FLW_CHOSEN_US (FLW_ANSWER_US + 40000)
#define FLW_SILENT_MAX 2 /* unanswered openings that mean a silent target */
#define FLW_RETRY_US 500000 /* a silent target is tried so often */
/* The caller's round trip is under 20 ms; it has given up after so long. */
#define FLW_HALF_OPEN_US 2000000
/* A caller that takes a target's answer does so within its round trip. */
#define FLW_UNTAKEN_US 250000
#define FLW_CLOSED_US 3000000 /* late copies of the last packets */
#define FLW_COPIES 3 /* openings that a caller sends for one attempt */
#define FLW_WAITING 64 /* openings that wait for room at one agent */
/*
 * A caller's three attempts together wait for a quarter of the time in which
 * it expects the answer; the rest is for the work itself.
 */
#define FLW_WAIT_SHARE 12
#define FLW_WAIT_DEFAULT_US 20000 /* where the route names no such time */
/* Packets tried at the target at a time, as after all agents have restarted. */
#define FLW_TRIALS 256
#define FLW_ROUNDS 8 /* inquiries under way */
/*
 * For each agent of the service a round gathers flows for so long: 0.1 s at
 * 200 agents, where a home has tens of lost flows after a loss of power.
 */
#define FLW_GATHER_US 500
#define FLW_ROUND_KEYS 48 /* flows of one, so that it fits a datagram */
#define FLW_ASK_PACKET 512 /* bytes of a packet that is kept meanwhile */
/* Two ways between data centres and a busy agent: who is silent is not there. */
#define FLW_ASK_US 150000
/* What was not known may be known then; a target's heartbeat takes as long. */
#define FLW_ASK_AGAIN_US 180000
/* Callers send again after 1.6 s at most, or have given up. */
#define FLW_ASK_KEEP_US 2000000
#define FLW_ROUND_US 2500000 /* a round without packets is over */
#define FLW_SPAN (1u << 24) /* bytes of answers on one flow */
#define FLW_LOAD_US 20000 /* least time between load reports */
#define FLW_LOAD_MAX_US 300000 /* longest time between load reports */
/* Peers in one round: 400 reports a second at most, 24 KB, of a busy agent. */
#define FLW_LOAD_PEERS 8
#define FLW_LOAD_ALL 24 /* agents of a service that all hear of each other */
/* Peers elsewhere that hear of an agent, so that its neighbours' work can go
 * there; a home hears of as many, and an opening visits FLW_TRIED_MAX. */
#define FLW_LOAD_FAR 12
#define FLW_LOAD_FRESH_US 700000 /* peers silent for longer get no flows */
#define FLW_TICK_US 20000
/* A target that may be failing is tried so often, see speed.h. */
#define FLW_PROBE_US 500000
#define FLW_COLD_WINDOW_US 1050000 /* a second, and how exact clocks are */
#define FLW_COLD_RING 256 /* openings of the last second remembered */

/* What the ends of a flow show of a packet to those between them. */
struct flw_packet {
	uint32_t caller_ip;
	uint32_t service_ip; /* address that the caller uses */
	uint16_t caller_port;
	uint16_t service_port;
	uint32_t seq;
	uint32_t ack;
	uint16_t payload; /* bytes */
	uint8_t opens;
	uint8_t acknowledges; /* ack is set */
	uint8_t closes;
	uint8_t resets;
	uint8_t returned; /* the target could not take it */
	uint8_t repeat; /* copies of this opening sent earlier */
};

/* Reads and changes packets of one wire format. */
struct flw_codec {
	enum jj_status (*decode)(const uint8_t *data, size_t len,
				 int from_target, struct flw_packet *packet);
	/* A reset for the caller of a packet; bytes written, 0: no room. */
	size_t (*reset)(const struct flw_packet *of, uint32_t seq, uint8_t *buf,
			size_t size);
	/* A number that a returned packet brings back; 0 on fresh ones. */
	uint32_t (*mark)(const uint8_t *data);
	void (*set_mark)(uint8_t *data, uint32_t mark);
	/* Makes a returned packet what its caller sent. */
	void (*restore)(uint8_t *data);
};

struct flw_hooks {
	void (*to_target)(void *ctx, const uint8_t *data, size_t len);
	void (*to_caller)(void *ctx, uint32_t ip, const uint8_t *data,
			  size_t len);
	/* Passes a packet to another agent. */
	void (*to_agent)(void *ctx, void *thread, const struct viw_agent *agent,
			 Jj__Packet *packet);
	/* Sends a message to another process's data port. */
	void (*to_process)(void *ctx, void *thread, uint32_t ip, uint16_t port,
			   Jj__Envelope *env);
	/* Sends a control message to another agent. */
	void (*control)(void *ctx, void *thread, const struct viw_agent *agent,
			Jj__Envelope *env);
	void *ctx;
};

struct flw_desc {
	char service[TBL_NAME_MAX];
	uint64_t id;
	uint32_t max_flows; /* 0: 2000 */
	uint32_t queue; /* work in hand beyond the slots, 0: none */
	uint32_t flow_ttl_s; /* 0: 60 */
	uint32_t heartbeat_ms; /* of the target, 0: 1000 */
	struct flw_codec codec;
	struct flw_hooks hooks;
	struct met *met;
	const struct log_sink *log;
};

enum flw_state {
	FLW_OPENING, /* given to the target, which has not answered */
	FLW_ANSWERED, /* the target has, the caller has not */
	FLW_OPEN,
	FLW_CLOSED, /* ended; kept for late copies */
};

struct flw_flow {
	uint64_t key; /* 0: free */
	uint64_t opened;
	uint64_t seen;
	uint64_t via_id; /* balancer */
	uint64_t origin; /* agent that placed it here, or 0 */
	uint32_t via_ip;
	uint16_t via_port;
	uint16_t caller_port;
	uint32_t caller_ip;
	uint32_t service_ip;
	uint16_t service_port;
	uint8_t state; /* enum flw_state */
	uint8_t first_known;
	uint8_t in_hand; /* the target owes an answer */
	uint8_t caller_closed;
	uint8_t target_closed;
	uint8_t doubt; /* another target may have a copy of its opening */
	uint8_t opening_len;
	uint8_t tried_count;
	uint32_t first; /* the target's first sequence number */
	uint32_t caller_ack; /* last */
	uint32_t caller_first; /* sequence number of its opening */
	uint32_t caller_next; /* sequence number after the caller's data */
	uint32_t next_free;
	uint64_t told_via; /* balancer that was told last */
	uint64_t told_home; /* life of the home that was told last */
	uint64_t work_since; /* in hand since */
	uint64_t asked_at; /* time of a request without an answer yet, or 0 */
	uint64_t tried[FLW_TRIED_MAX];
	uint8_t opening[FLW_OPENING_MAX];
};

/* Where the home sent a flow, or was told that it is. */
struct flw_exception {
	uint64_t key; /* 0: free */
	uint64_t holder; /* 0: not known */
	uint64_t at;
	uint32_t first;
	uint8_t first_known;
	uint8_t refused; /* by the holder */
	uint8_t trials; /* packets given to this agent's target on trial */
	uint8_t not_here; /* this agent's target returned a packet of it */
};

struct flw_shard {
	pthread_mutex_t lock;
	struct flw_flow *flows;
	uint32_t flow_free;
	uint32_t flow_high; /* cells that were ever used */
	struct map flow_index;
	struct map_cell *flow_cells;
	struct flw_exception *exceptions; /* a ring, oldest overwritten */
	uint32_t exception_next;
	uint32_t exception_count; /* cells of the ring */
	struct map exception_index;
	struct map_cell *exception_cells;
};

/* A packet that was tried at the target, which may hold its flow. */
struct flw_trial {
	uint64_t key;
	uint64_t asker; /* agent that is told when it comes back, or this one */
	uint64_t via_id;
	uint32_t via_ip;
	uint16_t via_port;
};

/* A flow that the agents are asked for. */
struct flw_asked {
	uint64_t key; /* 0: free */
	uint64_t via_id;
	uint32_t via_ip;
	uint16_t via_port;
	uint16_t len;
	uint64_t since; /* time of the newest packet */
	uint64_t again_at; /* time of the next round, 0: this one is not over */
	uint32_t searched; /* services of the address, before this one */
	uint16_t rounds; /* this one included */
	uint8_t tried; /* its packets go to agents that do not know */
	uint8_t not_here; /* surely not at this agent */
	uint8_t not_held[FLW_PEERS / 8]; /* by agents of the round */
	uint8_t unknown[FLW_PEERS / 8];
	uint8_t packet[FLW_ASK_PACKET]; /* the newest */
};

struct flw_round {
	uint64_t begun;
	uint64_t asked_at; /* 0: gathers flows */
	uint64_t used; /* time of the last packet, 0: free */
	uint32_t agent_count;
	uint32_t key_count;
	uint32_t left; /* live agents that have not answered */
	uint8_t partial; /* the service has more agents */
	uint64_t agents[FLW_PEERS];
	uint8_t heard[FLW_PEERS]; /* has answered, or is thought dead */
	struct flw_asked asked[FLW_ROUND_KEYS];
};

/* An opening that waits, for room or for the answer of who was chosen. */
struct flw_waiting {
	uint64_t since; /* 0: free */
	uint64_t until;
	uint64_t key;
	uint64_t chosen; /* agent, 0: waits for room */
	uint64_t origin; /* agent that placed it here, or 0 */
	uint64_t via_id;
	uint32_t via_ip;
	uint16_t via_port;
	uint8_t doubt; /* some target may have a copy */
	uint8_t opening_len;
	uint8_t opening[FLW_OPENING_MAX];
};

struct flw_peer {
	uint64_t id; /* 0: free */
	uint32_t load;
	uint32_t cap;
	uint32_t typical_us; /* see speed.h */
	uint64_t at;
	/* Held back, or did not tell of an answer since its last report. */
	uint8_t avoided;
};

/* What the target said last, as decoded from its heartbeat. */
struct flw_report {
	char id[TBL_NAME_MAX];
	char service[TBL_NAME_MAX];
	uint64_t born_ms; /* of its start, 0: not given */
	uint64_t seq; /* rises within a start */
	uint32_t slots;
	uint32_t cold_ms; /* it stays cold for so long */
	uint8_t leaving;
};

struct flw_target {
	struct flw_report said; /* empty id: nothing yet */
	uint64_t heard; /* time of the last report */
	uint64_t cold_until;
	uint64_t unanswered_at; /* time of the last unanswered opening */
	uint32_t unanswered; /* openings in a row */
	uint32_t cold_next; /* in cold_ring */
	uint64_t cold_ring[FLW_COLD_RING];
	uint8_t gone; /* it said that it has left */
	uint8_t from_birth; /* heard of from its first report on */
	uint8_t absent; /* nothing listens at its address */
	struct spd speed;
};

struct flw {
	struct flw_desc desc;
	uint64_t service;
	uint64_t started;
	struct flw_flow *flows; /* of all shards */
	struct flw_exception *exceptions;
	struct flw_shard shards[FLW_SHARDS];
	uint32_t flow_capacity; /* a shard */
	JJ_ATOMIC(uint32_t) flow_count;
	JJ_ATOMIC(uint32_t) in_hand;
	JJ_ATOMIC(int) stopping;
	pthread_mutex_t target_lock; /* the last to be taken */
	struct flw_target target;
	JJ_ATOMIC(int)
	settled; /* all members were heard of: see flw_settle() */
	pthread_mutex_t trial_lock; /* taken after a shard's */
	struct flw_trial trials[FLW_TRIALS];
	uint32_t next_trial;
	JJ_ATOMIC(uint64_t) missed_at; /* a flow found no room in the table */
	pthread_mutex_t ask_lock; /* taken after a shard's */
	struct flw_round rounds[FLW_ROUNDS];
	pthread_mutex_t wait_lock;
	struct flw_waiting waiting[FLW_WAITING];
	JJ_ATOMIC(uint32_t) waiting_count; /* for room */
	pthread_mutex_t peer_lock;
	struct flw_peer peers[FLW_PEERS];
	JJ_ATOMIC(uint32_t) peers_us; /* median of their typical times, or 0 */
	uint64_t next_tick;
	uint64_t load_sent_at; /* the last round */
	uint64_t load_full_at; /* the last report to all peers began */
	uint32_t load_left; /* peers that have not had the last report */
	uint32_t load_far; /* reports left until all elsewhere have one */
	uint32_t load_next; /* position in the service of the next peer */
	uint32_t load_sent;
	uint32_t cap_sent;
	uint8_t held_sent;
	uint64_t digest; /* of the view whose homes know this agent's flows */
};

/* One call's surroundings; view must stay valid during the call. */
struct flw_call {
	struct flw *flw;
	void *thread; /* handed to the hooks */
	const struct viw *view;
	uint64_t now;
	uint8_t waited; /* the packet lay in a socket over a pause */
};

/* Resolves defaults and checks. */
enum jj_status flw_resolve(struct flw_desc *desc, struct jj_error *err);
enum jj_status flw_init(struct flw *flw, const struct flw_desc *desc,
			uint64_t now);
void flw_finish(struct flw *flw);

/* Key of a flow, the same in the whole fleet; never 0. */
uint64_t flw_key(const struct flw_packet *packet);

/* A caller's packet, from a balancer or another agent. */
void flw_from_fleet(const struct flw_call *call, const Jj__Packet *packet);

/* A packet that the target sent or returned; may be changed. */
void flw_from_target(const struct flw_call *call, uint8_t *data, size_t len);

/* Others hold flows that this agent is home of. */
void flw_on_holdings(const struct flw_call *call, const Jj__Holdings *holdings);

/* Another agent asks which flows this agent's target holds. */
void flw_on_inquiry(const struct flw_call *call, const Jj__Inquiry *inquiry);

/* What another agent answered. */
void flw_on_inquiry_reply(const struct flw_call *call, uint64_t sender,
			  const Jj__InquiryReply *reply);

/* A load report of another agent. */
void flw_on_load(const struct flw_call *call, uint64_t sender,
		 const Jj__Load *load);

/*
 * The target's heartbeat. JJ_STALE: older than what was heard; JJ_INVALID:
 * of another service. Neither changes anything.
 */
enum jj_status flw_on_report(struct flw *flw, const struct flw_report *report,
			     uint64_t now, struct jj_error *err);

/* The target says that it has left. JJ_NOT_FOUND: it is another one. */
enum jj_status flw_on_left(struct flw *flw, const char *id);

/*
 * Whether the target was heard of; if not, and nothing listens at its address,
 * it holds nothing.
 */
int flw_target_heard(struct flw *flw);
void flw_target_absent(struct flw *flw);

/* The view changed: new homes hear of this agent's flows. */
void flw_view_changed(const struct flw_call *call);

/* Due work; call every FLW_TICK_US or so. */
void flw_tick(const struct flw_call *call);

/*
 * This process has heard of every member there is, dead ones included, so that
 * an inquiry which found nothing proves something.
 */
void flw_settle(struct flw *flw);

/* No new flows from here on. */
void flw_stop(struct flw *flw);

/* What the target can take, for the membership. */
Jj__Phase flw_phase(struct flw *flw, uint64_t now);

#endif
