/*
 * agent - the owner of one target's flows and requests
 *
 * The agent beside a target is the only place that knows which flows the
 * target holds, which requests it was given and how much it bears. Packets
 * reach it through any balancer, or through another agent that knew better.
 *
 * Packet of a flow that is not held here, in this order:
 *  1. it carries an Echo that names an agent: that agent gets it, and when
 *     its incarnation is gone the answer is "outcome unknown";
 *  2. the flow is on the exception list: its holder gets it;
 *  3. another agent ranks first: that one gets it;
 *  4. this agent ranks first but has not yet heard every peer's flow list
 *     for the present view: it asks along the ranks, and opens the flow only
 *     when nobody holds it;
 *  5. it is opened here, or, when this agent is above the mean of the
 *     service, at the least loaded of a few peers that the packet visits.
 *
 * Message layer: towards the target the agent acknowledges for the caller,
 * towards the caller it turns every answer into the acknowledgement of the
 * request. A lost datagram is made good by the caller's repetition, and the
 * target never waits for an acknowledgement that takes the long way.
 *
 * Flow lists: whenever the view of the service changes, each agent sends each
 * peer the flows that it holds although the peer ranks first for them. The
 * list names the view by its digest; an agent is settled when it has the
 * lists of all live peers for its own digest.
 *
 * Unsafe requests run at most once: only a request with an Echo that this
 * incarnation gave to this flow is run, and only after it was entered in the
 * ledger. Requests without one are asked to repeat with an Echo and are
 * never refused, so that "not run" is only said by the one agent that could
 * have run them.
 *
 * Thread safe: state is in shards by flow key, each under its own lock; a
 * shard is locked before the peers, never after. The
 * hooks are called with a shard locked and must not call back. Times are
 * microseconds of a monotonic clock.
 */
#ifndef JUJUBE_AGENT_H
#define JUJUBE_AGENT_H

#include <pthread.h>
#include "jujube/admit.h"
#include "jujube/atomic.h"
#include "jujube/coapx.h"
#include "jujube/ledger.h"
#include "jujube/log.h"
#include "jujube/metric.h"
#include "jujube/view.h"

#define AGT_SHARDS 8
#define AGT_PEERS_MAX 256
#define AGT_HOPS_MAX 24 /* forwards of one packet */
#define AGT_LIST_KEYS_MAX 140 /* flow keys in one datagram */
#define AGT_LIST_RESEND_US 200000 /* unacknowledged flow lists */
#define AGT_LIST_REQUEST_US \
	600000 /* unsettled for so long: lists are asked for */
#define AGT_PLACEMENT_VISITS 3 /* agents that a new flow's packet visits */
#define AGT_LOAD_INTERVAL_US 150000 /* least time between load reports */
#define AGT_LOAD_VALID_US 1000000 /* reports older than this do not count */
#define AGT_ECHO_VALID_S 60
#define AGT_MEMBER_SPREAD_S 5 /* time for news of a new agent to spread */
#define AGT_TICK_US 20000
#define AGT_NO_INDEX UINT32_MAX
#define AGT_OBSERVATIONS_MAX \
	4 /* feeds of one flow that are told when it ends */
#define AGT_UNACKED_MAX 8 /* notifications until a caller counts as gone */
#define AGT_SEPARATE_ACK_US \
	40000000 /* requests are acknowledged when it takes so long */
#define AGT_ECHO_KEYS_MAX 8 /* former incarnations whose Echo values count */

/* How the agent that gets a packet is to treat it. */
enum agt_mode {
	AGT_NORMAL,
	AGT_SEARCH, /* take it if you hold the flow, else pass it on */
	AGT_PLACE, /* compare loads for a new flow, see agent_place.c */
	AGT_OPEN, /* open the flow here */
	AGT_GUEST, /* the flow's holder asks you to serve one request */
};

struct agt_hooks {
	/* Opens a local socket towards the target for a flow; 0 or -1. */
	int (*open_socket)(void *ctx, uint32_t flow, uint16_t local_port);
	/* Local port of a flow's socket. */
	uint16_t (*local_port)(void *ctx, uint32_t flow);
	void (*close_socket)(void *ctx, uint32_t flow);
	/*
	 * Passes a datagram to the target through a flow's socket. 0: sent;
	 * 1: sent, and the target's port had refused an earlier one; -1: not.
	 */
	int (*send_to_target)(void *ctx, uint32_t flow, const uint8_t *data,
			      size_t len);
	/* Sends an answer back through a balancer. */
	void (*send_to_balancer)(void *ctx, void *thread, uint32_t ip,
				 uint16_t port, Jj__Reply *reply);
	/* Passes a packet to another agent. */
	void (*send_to_agent)(void *ctx, void *thread,
			      const struct viw_agent *agent,
			      Jj__Packet *packet);
	/* Sends a control message to another agent. */
	void (*send_control)(void *ctx, void *thread,
			     const struct viw_agent *agent, Jj__Envelope *env);
	void *ctx;
};

struct agt_desc {
	char service[TBL_NAME_MAX];
	uint64_t id;
	uint64_t incarnation;
	uint32_t slots; /* used when the table gives none */
	uint32_t cold_slots;
	uint32_t max_flows; /* 0: 2000 */
	uint32_t queue;
	uint32_t deadline_ms; /* 0: 30,000; at most 120,000 */
	uint32_t flow_idle_s; /* 0: 150 */
	uint32_t feed_idle_s; /* 0: 86,400 */
	uint32_t ledger_entries; /* entries, 0: 32,768 */
	uint8_t echo_key[16];
	struct agt_hooks hooks;
	struct met *met;
	const struct log_sink *log;
};

/* An observation (RFC 7641) that the target serves on a flow. */
struct agt_observation {
	uint8_t token_len;
	uint8_t token[CX_TOKEN_MAX];
	uint8_t ended; /* the caller is gone: the target is told */
	uint8_t unacknowledged; /* confirmable notifications in a row */
	uint16_t mid; /* of the last notification */
};

struct agt_flow {
	uint64_t key; /* 0: free */
	uint64_t last_active;
	uint64_t via_id;
	uint32_t caller_ip;
	uint32_t via_ip;
	uint16_t caller_port;
	uint16_t via_port;
	uint16_t generation;
	uint8_t observed; /* the target sends notifications on it */
	uint8_t guest; /* another agent holds it; serves single requests */
	uint8_t first_rank_acked; /* the first rank confirmed that it knows */
	uint8_t observation_count;
	struct agt_observation observations[AGT_OBSERVATIONS_MAX];
	uint16_t
		balancer_rotation; /* of the balancers that notifications go through */
	uint16_t next_mid; /* of answers that are no acknowledgement */
	uint32_t open_requests; /* requests queued or in flight */
	uint32_t next_free;
};

/* The newest answer to a safe request of a flow, for its lost copies. */
struct agt_last_answer {
	uint64_t flow_token_hash; /* hash of flow and token */
	uint16_t mid; /* of the request */
	uint16_t len; /* 0: none */
	uint8_t data[CX_DATAGRAM_MAX];
};

struct agt_exception {
	uint64_t key; /* 0: free */
	uint64_t holder;
	uint64_t incarnation;
	uint32_t next_free;
};

enum agt_pending_state {
	AGT_REQUEST_FREE,
	AGT_REQUEST_QUEUED,
	AGT_REQUEST_SENT
};

struct agt_pending {
	enum agt_pending_state state;
	uint16_t generation;
	uint32_t flow;
	uint64_t flow_token_hash; /* hash of flow and token */
	uint64_t ledger_id; /* 0: a safe request */
	uint64_t arrived;
	uint64_t started;
	uint64_t deadline;
	uint8_t ack_sent; /* the caller repeats it no more */
	struct cx_msg msg; /* of the last copy seen */
	uint16_t len;
	uint8_t data[CX_DATAGRAM_MAX];
	uint32_t next_free;
};

struct agt_shard {
	pthread_mutex_t lock;
	struct agt_flow *flows;
	struct agt_last_answer *last_answers; /* parallel to flows */
	uint32_t flow_free;
	struct map flow_index;
	struct map_cell *flow_cells;
	struct agt_exception *exceptions;
	uint32_t exception_count;
	uint32_t exception_free;
	struct map exception_index;
	struct map_cell *exception_cells;
	struct agt_pending *pending;
	uint32_t pending_free;
	struct map pending_index;
	struct map_cell *pending_cells;
	struct ldg ledger;
};

/* What is known of another agent of the service. */
struct agt_peer {
	uint64_t id;
	uint64_t incarnation;
	uint64_t in_digest; /* view of the list being received */
	uint64_t in_parts; /* bits of the parts received */
	uint64_t in_complete; /* digest of the newest complete list */
	uint64_t out_digest; /* view of the list being sent */
	uint64_t out_acked; /* bits of the parts acknowledged */
	uint32_t out_parts; /* 0: not sent yet */
	uint64_t out_resend_at; /* time to send again */
	uint32_t load; /* requests in flight and queued */
	uint32_t load_cap;
	uint32_t median_us; /* 0: not warm */
	uint64_t load_received;
	uint8_t used;
};

/* An incarnation, this one or a former one, that gave out Echo values. */
struct agt_echo_key {
	uint64_t incarnation;
	uint8_t key[16];
};

struct agt {
	struct agt_desc desc;
	struct agt_echo_key
		echo_keys[AGT_ECHO_KEYS_MAX]; /* [0] is this incarnation's */
	uint32_t echo_key_count;
	int was_taken_out;
	uint64_t service;
	struct agt_shard shards[AGT_SHARDS];
	uint32_t flow_capacity; /* a shard */
	uint32_t pending_capacity;
	uint32_t exception_capacity;
	JJ_ATOMIC(uint32_t) flow_count;
	JJ_ATOMIC(uint32_t) max_flows;
	struct adm adm;
	pthread_mutex_t peer_lock;
	struct agt_peer peers[AGT_PEERS_MAX];
	uint64_t digest;
	JJ_ATOMIC(int) settled;
	JJ_ATOMIC(int) stopping;
	uint64_t next_expire;
	uint64_t next_load;
	uint64_t next_peer_sync;
	uint64_t unsettled_since;
	uint32_t load_sent;
	uint32_t cap_sent;
};

enum jj_status agt_resolve(struct agt_desc *desc, struct jj_error *err);
enum jj_status agt_init(struct agt *agt, const struct agt_desc *desc);
void agt_finish(struct agt *agt);

/* One call's surroundings; view must stay valid during the call. */
struct agt_call {
	struct agt *agt;
	void *thread; /* handed to the hooks */
	const struct viw *view;
	uint64_t now; /* microseconds */
};

/* A caller's packet, from a balancer or another agent. */
void agt_on_packet(const struct agt_call *call, const Jj__Packet *packet);

/* A datagram of the target on a flow's socket. */
void agt_on_target_datagram(const struct agt_call *call, uint32_t flow,
			    const uint8_t *data, size_t len);

/* The target's port refused a datagram of this flow. */
void agt_on_target_refused(const struct agt_call *call, uint32_t flow);

/* The view changed: settle anew with the peers. */
void agt_view_changed(const struct agt_call *call);

/* The process was paused: what it knew of its peers' flows may be old. */
void agt_resync_after_pause(const struct agt_call *call);

/* Flow lists, their acknowledgements and load reports of other agents. */
void agt_on_control(const struct agt_call *call, const Jj__Envelope *env);

/* Deadlines, resends, idle flows. Call every AGT_TICK_US or so. */
void agt_tick(const struct agt_call *call);

/* No new work from here on; held flows and requests go on. */
void agt_stop(struct agt *agt);

/* Requests queued or in flight. */
uint32_t agt_open_requests(struct agt *agt);

int agt_settled(const struct agt *agt);

/* Position of a flow's handle among AGT_SHARDS * agt->flow_capacity. */
uint32_t agt_flow_slot(const struct agt *agt, uint32_t handle);

/*
 * Planned restart. agt_export() packs flows, ledger and Echo keys into a
 * Jj__Handover on the heap; nothing may be served after it. agt_import()
 * takes such a state over before the first packet is served; a flow whose
 * local port cannot be had again is left out.
 */
uint8_t *agt_export(struct agt *agt, uint64_t now, size_t *len);
void agt_import(const struct agt_call *call, const Jj__Handover *handover);

#endif
