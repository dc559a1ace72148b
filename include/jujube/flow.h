/*
 * flow - the agent's side of relaying flows
 *
 * Flows are relayed without terminating them: packets travel between callers
 * and targets unchanged, and only the two ends can read the payload. Each
 * target has an agent beside it. Every packet for the target passes through
 * that agent, so the agent alone knows which flows its target holds, and it
 * enforces what the target may be given, whatever the balancers assume.
 *
 * Terms:
 * - opening: the first packet of a flow, as a TCP SYN
 * - home: the agent that ranks first for a flow's key (see viw_rank_homes());
 *   it decides where the flow is opened and records where that is
 * - holder: the agent whose target holds the flow
 * - origin: the agent that first placed an opening at another agent
 * - gateway: the agent that an opening from another data centre is sent to, and
 *   that places it in its own (see spill.h)
 * - ISN: initial sequence number
 *
 * How an opening is handled, beginning at the home:
 *  1. The home places it at the target with the least work in progress, going
 *     by the load reports of its peers, and records the choice. No caller is
 *     kept waiting if any target has room.
 *  2. The receiving agent checks itself that its target can take the flow (not
 *     leaving, cold, silent or full) and otherwise forwards the opening to
 *     another agent.
 *  3. If a target does not answer within FLW_TARGET_TIMEOUT_US, or returns the
 *     packet, the opening goes to another agent. The same happens if the home
 *     is not notified of an answer within FLW_PLACEMENT_TIMEOUT_US.
 *  4. If no target of the data centre has room, the opening goes to another
 *     data centre if that is worthwhile (flow_spill.c). Otherwise it waits by
 *     the terms of its route (flow_wait.c), or for a short time without them
 *     (flow_pending.c), or it is refused with a reset (flow_place.c).
 *
 * When the target answers, its ISN distinguishes the flow from that of any
 * other target that received a copy of the opening. The agent then notifies the
 * home and the balancer that it holds the flow.
 *
 * Any other packet goes to this agent's target if it acknowledges data of that
 * target, else to the holder that the home has recorded. Otherwise the agent
 * sends inquiries to all agents of the service, for many flows at once (see
 * flow_lookup.c). An agent that knows every flow of its target gives a definite
 * answer. One that started later than its target passes the packet to the
 * target on trial and reports if the target returns it. When every agent,
 * including those considered dead, definitely does not hold the flow, the flow
 * is lost; its caller gets a reset so that it need not wait for its deadline.
 *
 * Resets are sent only in that case, for refused openings, for flows that the
 * target no longer knows, for flows of a target whose process is gone (see
 * flow_lost.c), and for flows whose route was removed. In doubt a packet is
 * dropped.
 *
 * Thread safety: state is sharded by flow key, each shard with its own lock.
 * The peers have a lock of their own, taken after a shard's. Hooks are called
 * with a shard locked and must not call back. Times are microseconds of a
 * monotonic clock.
 */
#ifndef JUJUBE_FLOW_H
#define JUJUBE_FLOW_H

#include <pthread.h>
#include "jujube/atomic.h"
#include "jujube/log.h"
#include "jujube/metric.h"
#include "jujube/probe.h"
#include "jujube/speed.h"
#include "jujube/spill.h"
#include "jujube/view.h"
#include "jujube/waitq.h"

#define FLW_SHARDS 4
/* agents of a service whose load is tracked or that get inquiries */
#define FLW_PEERS_MAX 512
#define FLW_NO_CELL UINT32_MAX
#define FLW_OPENING_BYTES 64 /* largest opening packet */
#define FLW_TRIED_MAX 4 /* agents that one opening may visit */
#define FLW_HOPS_MAX 8 /* times that a packet may be forwarded */
/*
 * A target's kernel answers in under 1 ms; a target that takes this long is
 * considered down.
 */
#define FLW_TARGET_TIMEOUT_US 60000
/*
 * By then a chosen agent has either had the opening answered or forwarded it.
 */
#define FLW_PLACEMENT_TIMEOUT_US (FLW_TARGET_TIMEOUT_US + 40000)
/* unanswered openings in a row until a target counts as silent */
#define FLW_UNANSWERED_MAX 2
/* for this long after an unanswered opening, a silent target gets none */
#define FLW_SILENT_RETRY_US 500000
/*
 * Callers' round trips are under 20 ms; after this long without a packet, the
 * caller of an answered flow has given up.
 */
#define FLW_HALF_OPEN_US 2000000
/*
 * A caller that accepts the target's answer acknowledges it within a round
 * trip. After this long, an unacknowledged flow no longer counts as busy.
 */
#define FLW_UNACKED_US 250000
/* closed flows are kept for late copies of the last packets */
#define FLW_CLOSED_US 3000000
#define FLW_COPIES 3 /* openings that a caller sends per connection attempt */
#define FLW_PENDING_MAX 64 /* openings queued at one agent */
/*
 * The queueing time of a caller's three attempts together is limited to a
 * quarter of the latency that it expects (three times a twelfth); the rest is
 * for the request itself.
 */
#define FLW_WAIT_DIVISOR 12
#define FLW_WAIT_DEFAULT_US 20000 /* if the route gives no target latency */
/*
 * Longest wait of an opening that waits by the terms of its route, from the
 * start of the caller's attempt. The attempt ends by itself after 1.4 s; the
 * rest is for the way to a target and back to the caller.
 */
#define FLW_WAIT_MAX_MS 1300
/*
 * Wait after which the balancer is notified: before the caller's first copy,
 * which it sends 200 ms after the opening, and late enough that openings which
 * are served at once cause no message.
 */
#define FLW_WAIT_NOTIFY_US 100000
/* displaced openings that are still to be refused */
#define FLW_EVICTED_MAX 16
/*
 * Trial packets tracked at a time; many are needed after all agents have
 * restarted.
 */
#define FLW_TRIALS 256
#define FLW_BATCHES 8 /* lookup batches in progress */
/*
 * A batch collects flows for this long per agent of the service before it is
 * sent: 0.1 s at 200 agents, where a home has tens of lost flows after a power
 * failure.
 */
#define FLW_BATCH_DELAY_US 500
/* flows per batch, so that an inquiry fits in a datagram */
#define FLW_BATCH_LOOKUPS 48
/* Agents of a fleet up to which a lookup can prove that a flow is lost. */
#define FLW_LOOKUP_AGENTS_MAX 1536
#define FLW_LOOKUP_PACKET_BYTES 512 /* largest packet kept during a lookup */
/*
 * Covers two trips between data centres and a busy agent; an agent that is
 * silent for longer is taken as absent.
 */
#define FLW_INQUIRY_TIMEOUT_US 150000
/*
 * Agents that could not answer for sure may be able to by then: a target's
 * heartbeat takes this long to arrive.
 */
#define FLW_INQUIRY_RETRY_US 180000
/* A caller retransmits after 1.6 s at most, or has given up. */
#define FLW_LOOKUP_TTL_US 2000000
/* a batch without packets for this long is freed */
#define FLW_BATCH_IDLE_US 2500000
#define FLW_ACK_SPAN (1u << 24) /* most bytes that a target sends on one flow */
#define FLW_LOAD_MIN_US 20000 /* minimum time between load reports */
#define FLW_LOAD_MAX_US 300000 /* maximum time between load reports */
/*
 * Peers per round of load reports. Limits a busy agent to 400 reports or 24 KB
 * a second.
 */
#define FLW_LOAD_BATCH 8
/* up to this many agents of a service, all report load to each other */
#define FLW_LOAD_FULL_MESH 24
/*
 * Peers in other data centres that get an agent's load reports, so that homes
 * there can place flows with it. Each home receives reports of about as many
 * remote agents; an opening visits FLW_TRIED_MAX agents at most.
 */
#define FLW_LOAD_REMOTE 12
/* peers that are silent for longer get no openings */
#define FLW_LOAD_FRESH_US 700000
#define FLW_TICK_US 20000
/*
 * Interval at which a target that may be failing gets an opening, see speed.h.
 */
#define FLW_PROBE_US 500000
/*
 * An agent that was in phase down gives its target no flow until another member
 * has received its new phase and this time has passed, in which gossip reaches
 * all members. Until then a lookup elsewhere may still count the agent as down,
 * which is proof that it holds nothing. Applies with probe_silence_ms above 0.
 */
#define FLW_RETURN_DELAY_US 500000
/* one second and a margin for inexact clocks */
#define FLW_COLD_WINDOW_US 1050000
#define FLW_OPENING_TIMES 256 /* recent openings remembered */

/* Header fields of a packet that the processes between the ends use. */
struct flw_packet {
	uint32_t caller_ip;
	uint32_t service_ip; /* address that the caller connects to */
	uint16_t caller_port;
	uint16_t service_port;
	uint32_t seq;
	uint32_t ack;
	uint16_t payload; /* length in bytes */
	uint8_t opens;
	uint8_t acknowledges; /* ack is valid */
	uint8_t closes;
	uint8_t resets;
	uint8_t returned; /* the target could not accept the packet */
	uint8_t repeat; /* copies of this opening that the caller sent before */
};

/* Parses and modifies packets of one wire format. */
struct flw_codec {
	enum jj_status (*decode)(const uint8_t *data, size_t len,
				 int from_target, struct flw_packet *packet);
	/*
	 * Builds a reset for the caller of a packet. Returns its length, 0: no
	 * room.
	 */
	size_t (*reset)(const struct flw_packet *of, uint32_t seq, uint8_t *buf,
			size_t size);
	/*
	 * Reads or sets a number that a packet carries to the target and back
	 * if it is returned; 0 when the packet is new.
	 */
	uint32_t (*mark)(const uint8_t *data);
	void (*set_mark)(uint8_t *data, uint32_t mark);
	/* Turns a returned packet back into what its caller sent. */
	void (*restore)(uint8_t *data);
};

struct flw_hooks {
	void (*to_target)(void *ctx, const uint8_t *data, size_t len);
	void (*to_caller)(void *ctx, uint32_t ip, const uint8_t *data,
			  size_t len);
	/* Forwards a packet to another agent. */
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
	uint32_t queue; /* requests accepted beyond the slots, 0: none */
	uint32_t flow_ttl_s; /* 0: 60 */
	uint32_t heartbeat_ms; /* of the target, 0: 1000 */
	uint32_t target_ip; /* of the target, as in its heartbeats */
	uint16_t target_port;
	/* Settings of the same names, see proto/settings.proto. */
	uint32_t wait_queue;
	uint32_t wait_max_ms; /* 0: FLW_WAIT_MAX_MS */
	uint32_t urgent_places;
	uint32_t probe_silence_ms;
	uint32_t spill;
	uint32_t crossing_ms;
	uint32_t crossing_price_ms;
	struct flw_codec codec;
	struct flw_hooks hooks;
	struct met *met;
	const struct log_sink *log;
};

enum flw_state {
	FLW_OPENING, /* given to the target, no answer yet */
	/* answered by the target, not yet acknowledged by the caller */
	FLW_ANSWERED,
	FLW_OPEN,
	FLW_CLOSED, /* finished; kept for late copies */
};

struct flw_flow {
	uint64_t key; /* 0: free */
	uint64_t opened_at;
	uint64_t last_packet_at;
	uint64_t via_id; /* balancer that the flow's packets come through */
	uint64_t origin; /* agent that placed the opening here, or 0 */
	uint32_t via_ip;
	uint16_t via_port;
	uint16_t caller_port;
	uint32_t caller_ip;
	uint32_t service_ip;
	uint16_t service_port;
	uint8_t state; /* enum flw_state */
	uint8_t target_isn_known;
	uint8_t busy; /* counted in in_flight: the target has yet to respond */
	uint8_t caller_closed;
	uint8_t target_closed;
	/* another target may have received the opening */
	uint8_t copy_possible;
	uint8_t opening_len;
	uint8_t tried_count;
	uint32_t target_isn; /* ISN of the target */
	uint32_t caller_ack; /* last acknowledgement of the caller */
	uint32_t caller_isn; /* ISN of the caller */
	uint32_t caller_next_seq; /* sequence number after the caller's data */
	uint32_t next_free;
	uint64_t notified_via; /* balancer that was last notified */
	/* incarnation_id() of the home that was last notified */
	uint64_t notified_home;
	uint32_t age_ms; /* of the caller's attempt when the flow was opened */
	/* the target's answer to the opening, 0: none since the last copy */
	uint64_t answered_at;
	/* flw.probe_number when the target was last given the opening */
	uint32_t probe_number;
	uint64_t busy_since; /* time at which busy was set */
	uint64_t last_request_at; /* without an answer yet, 0: none */
	uint64_t tried[FLW_TRIED_MAX];
	uint8_t opening[FLW_OPENING_BYTES];
};

/* Where a flow is: where the home placed it, or which agent reported it. */
struct flw_location {
	uint64_t key; /* 0: free */
	uint64_t holder; /* 0: unknown */
	uint64_t updated_at;
	uint32_t target_isn;
	uint8_t target_isn_known;
	uint8_t refused; /* the holder refused the opening */
	/* packets passed to this agent's target on trial */
	uint8_t trial_count;
	/* this agent's target returned a packet of the flow */
	uint8_t not_local;
	uint8_t waiting; /* the opening waits for room at the holder */
	/* the holder is the gateway that an opening was sent to, see spill.h */
	uint8_t spilled;
};

struct flw_shard {
	pthread_mutex_t lock;
	struct flw_flow *flows;
	uint32_t flow_free;
	uint32_t flow_high_water; /* cells that were used at some time */
	struct map flow_index;
	struct map_cell *flow_cells;
	struct flw_location *locations; /* a ring, the oldest is overwritten */
	uint32_t location_next;
	uint32_t location_count; /* size of the ring */
	struct map location_index;
	struct map_cell *location_cells;
};

/*
 * A packet that was passed to the target on trial, to find out whether the
 * target holds the flow.
 */
struct flw_trial {
	uint64_t key;
	/* agent that is notified if the target returns it; may be this one */
	uint64_t requester;
	uint64_t via_id;
	uint32_t via_ip;
	uint16_t via_port;
};

/* A flow whose holder is being looked up at the other agents. */
struct flw_lookup {
	uint64_t key; /* 0: free */
	uint64_t via_id;
	uint32_t via_ip;
	uint16_t via_port;
	uint16_t len;
	uint64_t last_packet_at; /* arrival of the latest packet */
	uint64_t retry_at; /* time of the next inquiry, 0: one is in progress */
	/* services of the address that were searched before this one */
	uint32_t searched;
	uint16_t attempts; /* inquiries, including the one in progress */
	/* packets are passed on trial to agents that may hold the flow */
	uint8_t trials_sent;
	uint8_t not_local; /* definitely not held by this agent's target */
	uint8_t not_held[FLW_LOOKUP_AGENTS_MAX / 8]; /* bit per batch's agent */
	uint8_t unknown[FLW_LOOKUP_AGENTS_MAX / 8];
	uint8_t packet[FLW_LOOKUP_PACKET_BYTES]; /* the latest */
};

struct flw_lookup_batch {
	uint64_t created_at;
	uint64_t sent_at; /* 0: the batch still collects flows */
	uint64_t last_used_at; /* arrival of the last packet, 0: free */
	uint32_t agent_count;
	uint32_t lookup_count;
	uint32_t replies_left; /* live agents that have not replied */
	uint8_t partial; /* more than FLW_LOOKUP_AGENTS_MAX were to be asked */
	uint64_t agents[FLW_LOOKUP_AGENTS_MAX];
	uint8_t other_service[FLW_LOOKUP_AGENTS_MAX]; /* than this agent's */
	/* the agent has replied or is considered dead */
	uint8_t replied[FLW_LOOKUP_AGENTS_MAX];
	struct flw_lookup lookups[FLW_BATCH_LOOKUPS];
};

/*
 * An opening that waits for a target with room, or for the agent that was
 * chosen for it to answer.
 */
struct flw_pending {
	uint64_t queued_at; /* 0: free */
	uint64_t deadline;
	uint64_t key;
	uint64_t chosen_agent; /* 0: waits for room */
	uint64_t origin; /* agent that placed the opening here, or 0 */
	uint64_t via_id;
	uint32_t via_ip;
	uint16_t via_port;
	uint8_t copy_possible; /* some target may have received a copy */
	uint8_t opening_len;
	uint32_t age_ms; /* of the caller's attempt at queued_at */
	uint8_t opening[FLW_OPENING_BYTES];
};

/* An opening that waits by the terms of its route, see waitq.h. */
struct flw_waiting {
	uint64_t key;
	uint64_t origin; /* agent that placed the opening here, or 0 */
	uint64_t via_id;
	uint64_t queued_at;
	struct wtq_request request;
	uint32_t via_ip;
	uint16_t via_port;
	uint8_t copy_possible; /* some target may have received a copy */
	uint8_t copies; /* bit per number of a copy that arrived here */
	uint8_t balancer_notified;
	uint8_t opening_len;
	uint32_t seq; /* of the opening */
	uint8_t opening[FLW_OPENING_BYTES];
};

struct flw_peer {
	uint64_t id; /* 0: free */
	uint32_t load;
	uint32_t cap;
	uint32_t queued; /* openings that wait for room there */
	uint32_t typical_us; /* see speed.h */
	uint64_t reported_at;
	/*
	 * Its target is held back, or it missed an answer since its last load
	 * report.
	 */
	uint8_t avoided;
};

/* The content of a target's heartbeat. */
struct flw_heartbeat {
	char id[TBL_NAME_MAX];
	char service[TBL_NAME_MAX];
	uint32_t ip; /* address that the target serves */
	uint16_t port;
	uint64_t started_ms; /* start time of the target, 0: not given */
	uint64_t received_ms; /* wall clock at the arrival, 0: not known */
	uint64_t seq; /* increases while the target runs */
	uint32_t slots;
	uint32_t cold_ms; /* time for which the target stays cold */
	uint8_t leaving;
};

/* Whether all packets for the target's present process passed this agent. */
enum flw_followed {
	FLW_NOT_FOLLOWED, /* not known: it may be older than this agent */
	/* yes if it accepts connections; without it, a refused one was no proof */
	FLW_FOLLOWED_IF_LISTENING,
	FLW_FOLLOWED,
};

struct flw_target {
	struct flw_heartbeat last; /* empty id: none received yet */
	uint64_t last_at; /* arrival of the last heartbeat */
	uint64_t cold_until;
	uint64_t unanswered_at; /* time of the latest unanswered opening */
	uint32_t unanswered; /* unanswered openings in a row */
	uint32_t opening_next; /* next position in opening_times */
	uint64_t opening_times[FLW_OPENING_TIMES];
	uint8_t left; /* the target announced that it has left */
	uint8_t followed_from_start; /* enum flw_followed */
	uint8_t port_closed; /* connections to its address are refused */
	/* its address refused a connection before the first heartbeat */
	uint8_t absent;
	struct spd speed;
	struct prb probe;
	/* proof that the target's process is gone, 0: none since it was heard */
	uint64_t lost_at;
	/* the target was alive then in its present start, 0: not known */
	uint64_t alive_at;
	/* flows answered before are gone and are yet to be ended, 0: none */
	uint64_t gone_before;
	uint8_t announced_down; /* the phase is announced as down, or will be */
	/* announcement of another phase than down after it, 0: none */
	uint64_t left_down_at;
	/* a member has received that announcement, 0: not known yet */
	uint64_t left_down_known_at;
};

struct flw {
	struct flw_desc desc;
	uint64_t service;
	uint64_t started_at;
	struct flw_flow *flows; /* of all shards */
	struct flw_location *locations;
	struct flw_shard shards[FLW_SHARDS];
	uint32_t flow_capacity; /* per shard */
	JJ_ATOMIC(uint32_t) flow_count;
	JJ_ATOMIC(uint32_t) in_flight; /* number of busy flows */
	JJ_ATOMIC(uint32_t) probe_number; /* probes of the target so far */
	JJ_ATOMIC(int) stopping;
	pthread_mutex_t target_lock; /* innermost lock */
	struct flw_target target;
	JJ_ATOMIC(int) members_known; /* see flw_set_members_known() */
	uint32_t next_trial;
	pthread_mutex_t trial_lock; /* taken after a shard's lock */
	struct flw_trial trials[FLW_TRIALS];
	/* last time that a flow did not fit in the table */
	JJ_ATOMIC(uint64_t) table_full_at;
	pthread_mutex_t lookup_lock; /* taken after a shard's lock */
	struct flw_lookup_batch batches[FLW_BATCHES];
	pthread_mutex_t pending_lock;
	struct flw_pending pending[FLW_PENDING_MAX];
	JJ_ATOMIC(uint32_t) pending_count; /* entries that wait for room */
	/* Openings that wait by the terms of their routes; by pending_lock. */
	struct wtq wait_queue;
	struct wtq_cell *wait_cells;
	uint32_t *wait_order;
	struct flw_waiting *waiting; /* by handle of wait_queue */
	struct map waiting_index; /* key -> handle */
	struct map_cell *waiting_cells;
	JJ_ATOMIC(uint32_t) waiting_count;
	JJ_ATOMIC(uint32_t) evicted_count;
	struct flw_waiting evicted[FLW_EVICTED_MAX];
	pthread_mutex_t peer_lock;
	struct flw_peer peers[FLW_PEERS_MAX];
	/* median response time of the peers, or 0 */
	JJ_ATOMIC(uint32_t) peer_median_us;
	struct spl spill; /* peer lock */
	uint64_t next_tick;
	uint64_t load_sent_at; /* time of the last round */
	uint64_t load_full_at; /* start of the last report to all peers */
	/* peers that have not received the latest report */
	uint32_t load_reports_left;
	/* reports left until all remote peers have one */
	uint32_t load_remote_left;
	uint32_t load_next; /* position of the next recipient */
	uint32_t load_sent;
	uint32_t cap_sent;
	uint8_t held_back_sent;
	uint8_t spill_ready; /* spill was initialised; peer lock */
	/* digest of the service when homes were last notified */
	uint64_t homes_digest;
};

/*
 * Arguments that are common to all calls; view must stay valid during the call.
 */
struct flw_call {
	struct flw *flw;
	void *thread; /* passed to the hooks */
	const struct viw *view;
	uint64_t now;
	/* the packet lay in a socket while this process was paused */
	uint8_t delayed;
};

/* Fills in default values and checks the descriptor. */
enum jj_status flw_resolve(struct flw_desc *desc, struct jj_error *err);
enum jj_status flw_init(struct flw *flw, const struct flw_desc *desc,
			uint64_t now);
void flw_finish(struct flw *flw);

/* Key of a flow, the same in all processes; never 0. */
uint64_t flw_key(const struct flw_packet *packet);

/* Handles a caller's packet that a balancer or another agent sent. */
void flw_from_caller(const struct flw_call *call, const Jj__Packet *packet);

/* Handles a packet that the target sent or returned; data may be modified. */
void flw_from_target(const struct flw_call *call, uint8_t *data, size_t len);

/*
 * Handles notifications of agents that hold flows of which this agent is the
 * home.
 */
void flw_on_holdings(const struct flw_call *call, const Jj__Holdings *holdings);

/*
 * Answers another agent's inquiry for flows that this agent's target may hold.
 */
void flw_on_inquiry(const struct flw_call *call, const Jj__Inquiry *inquiry);

/* Handles another agent's reply to an inquiry. */
void flw_on_inquiry_reply(const struct flw_call *call, uint64_t sender,
			  const Jj__InquiryReply *reply);

/* Handles a load report of another agent. */
void flw_on_load(const struct flw_call *call, uint64_t sender,
		 const Jj__Load *load);

/*
 * Handles a heartbeat of the target. Changes nothing and returns JJ_INVALID if
 * it is of another service or address, or leaves out its start though the
 * running target gives one; JJ_STALE if it is older than the last one of a
 * running target.
 */
enum jj_status flw_on_heartbeat(struct flw *flw,
				const struct flw_heartbeat *heartbeat,
				uint64_t now, struct jj_error *err);

/*
 * Handles the target's announcement that it has left. JJ_NOT_FOUND: id is not
 * that of the current target.
 */
enum jj_status flw_on_target_left(struct flw *flw, const char *id);

/* Whether a heartbeat of the target was received. */
int flw_target_known(struct flw *flw);
/*
 * A connection to the target's address was refused after this agent's start: a
 * process that serves the address later is younger than this agent.
 */
void flw_on_target_absent(struct flw *flw);
/*
 * The same when a running target would have sent a heartbeat: until it sends
 * one, it counts as gone and holds no flows.
 */
void flw_on_target_port_closed(struct flw *flw);

/* Handles a new view: notifies new homes of the flows that this agent holds. */
void flw_view_changed(const struct flw_call *call);

/*
 * Writes the state of sending openings to other data centres, one line for
 * each, to buf. Returns the length, at most size - 1.
 */
size_t flw_format_spill(struct flw *flw, uint64_t now, char *buf, size_t size);

/* Does the work that is due; to be called about every FLW_TICK_US. */
void flw_tick(const struct flw_call *call);

/*
 * Records that this process knows all members, including dead ones. Only then
 * does a lookup that finds nothing prove that a flow is lost.
 */
void flw_set_members_known(struct flw *flw);

/* Stops accepting new flows. */
void flw_stop(struct flw *flw);

/*
 * Phase of the target for the member list. With probe_silence_ms above 0, down
 * is proof that the target holds no flows; a target whose heartbeats have
 * stopped is draining until a probe proves that it is gone. Once down is
 * returned, no flow is opened until another phase is announced, see
 * flw_on_phase_announced().
 */
Jj__Phase flw_phase(struct flw *flw, uint64_t now);

/*
 * The phase was entered in the member list; now is read after that. Then the
 * time of the newest ping, sent with that list, that another member answered;
 * see FLW_RETURN_DELAY_US.
 */
void flw_on_phase_announced(struct flw *flw, Jj__Phase phase, uint64_t now);
void flw_on_ping_answered(struct flw *flw, uint64_t sent_at, uint64_t now);

/*
 * Begins a probe of the target if one is due: returns its start time, or 0. The
 * caller then connects to the target's address and reports the result.
 */
uint64_t flw_begin_probe(const struct flw_call *call);
/*
 * Result of the probe that began at began_at. If it proves that the target's
 * process is gone, ends the flows that the target was given before, and gives
 * it no more until a heartbeat or a packet of it arrives.
 */
void flw_on_probe_result(const struct flw_call *call, uint64_t began_at,
			 enum prb_result result);

#endif
