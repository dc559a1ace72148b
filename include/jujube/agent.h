/*
 * agent - flow and request handling beside one target
 *
 * The agent beside a target keeps the only record of the flows that the
 * target holds, of the requests in progress and of the target's load. Packets
 * reach it from any balancer, or from another agent that forwards them.
 *
 * A flow is held by one agent, which owns its socket towards the target.
 * Rendezvous hashing ranks the agents of a service for each flow key; a new
 * flow normally goes to the agent that ranks first, its first rank. A guest
 * flow is one on which an agent serves single requests for a flow that another
 * agent holds.
 *
 * A packet of a flow that is not held here is routed by the first rule that
 * applies:
 *  1. It carries an Echo value that names another agent: it is forwarded to
 *     that agent. If the incarnation that issued the value is gone, the
 *     answer is "outcome unknown".
 *  2. The flow is on the exception list: it is forwarded to its holder.
 *  3. Another agent is the first rank: it is forwarded there.
 *  4. This agent is the first rank but lacks flow lists of peers for the
 *     current view: the packet searches the agents of the service, and the
 *     flow is opened here only if none of them holds it.
 *  5. The flow is opened here or, if this agent's load is above the mean of
 *     the service, at the least loaded of a few agents that the packet visits.
 *
 * Message layer: towards the target the agent acknowledges on behalf of the
 * caller; towards the caller it sends each answer as the acknowledgement of
 * the request. Lost datagrams are recovered by the caller's retransmission,
 * and the target never waits for an acknowledgement from the caller's side.
 *
 * Flow lists: when the view of the service changes, each agent sends each
 * peer the flows that it holds although the peer is their first rank. A list
 * carries the digest of the view it was made for. An agent is settled when it
 * has the lists of all live peers for the digest of its own view.
 *
 * Unsafe requests run at most once: a request is run only with an Echo value
 * that this incarnation, or one that handed its state over to it, issued for
 * this flow, and only after it was entered in the ledger. A request without
 * one is answered with an Echo challenge and never refused, so that "not run"
 * is only said by the one agent that could have run the request.
 *
 * Thread safe. State is split into shards by flow key, each with its own lock.
 * Lock order: shard, then peers. Hooks are called with a shard locked and must
 * not call the agent. Times are microseconds of a monotonic clock.
 */
#ifndef JUJUBE_AGENT_H
#define JUJUBE_AGENT_H

#include <pthread.h>
#include "jujube/admit.h"
#include "jujube/atomic.h"
#include "jujube/coap_codec.h"
#include "jujube/ledger.h"
#include "jujube/log.h"
#include "jujube/metric.h"
#include "jujube/view.h"

#define AGT_SHARDS 8
#define AGT_PEERS_MAX 256
#define AGT_HOPS_MAX 24 /* times that one packet is forwarded */
#define AGT_LIST_KEYS_MAX 140 /* flow keys in one datagram */
#define AGT_LIST_RESEND_US 200000 /* interval for unacknowledged flow lists */
/* Missing flow lists are requested after being unsettled for this long. */
#define AGT_LIST_REQUEST_US 600000
#define AGT_PLACEMENT_VISITS 3 /* agents that a new flow's packet visits */
#define AGT_LOAD_INTERVAL_US 150000 /* minimum time between load reports */
#define AGT_LOAD_VALID_US 1000000 /* older load reports are ignored */
#define AGT_ECHO_VALID_S 60 /* an older Echo value starts no request */
/* Time in which every process learns of a new agent. */
#define AGT_MEMBER_SPREAD_S 5
#define AGT_TICK_US 20000
#define AGT_NO_INDEX UINT32_MAX
/* Observations of one flow whose callers are notified when they end. */
#define AGT_OBSERVATIONS_MAX 4
/* Unacknowledged notifications in a row until a caller counts as gone. */
#define AGT_UNACKED_MAX 8
/* Requests without an answer for this long get a separate acknowledgement. */
#define AGT_SEPARATE_ACK_US 40000000
/* Incarnations, this one included, whose Echo values are accepted. */
#define AGT_ECHO_KEYS_MAX 8

/* How the receiving agent handles a forwarded packet. */
enum agt_mode {
	AGT_NORMAL,
	AGT_SEARCH, /* serve it if the flow is held here, else continue */
	AGT_PLACE, /* compare loads for a new flow, see agent_place.c */
	AGT_OPEN, /* open the flow here */
	AGT_GUEST, /* serve one request for the flow's holder */
};

/* A flow is passed by its handle, see agent.c. */
struct agt_hooks {
	/* Opens a flow's local socket towards the target; 0 or -1. */
	int (*open_socket)(void *ctx, uint32_t handle, uint16_t local_port);
	/* Local port of a flow's socket. */
	uint16_t (*local_port)(void *ctx, uint32_t handle);
	void (*close_socket)(void *ctx, uint32_t handle);
	/*
	 * Sends a datagram to the target through a flow's socket. Returns 0:
	 * sent; 1: sent, but the target's port refused an earlier datagram;
	 * -1: not sent.
	 */
	int (*send_to_target)(void *ctx, uint32_t handle, const uint8_t *data,
			      size_t len);
	/* Sends an answer back through a balancer. */
	void (*send_to_balancer)(void *ctx, void *thread, uint32_t ip,
				 uint16_t port, Jj__Reply *reply);
	/* Forwards a packet to another agent. */
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
	uint32_t slots; /* upper bound, and default if the table has none */
	uint32_t cold_slots;
	uint32_t max_flows; /* 0: 2,000 */
	uint32_t queue;
	uint32_t deadline_ms; /* 0: 30,000; at most 120,000 */
	uint32_t flow_idle_s; /* idle timeout of flows, 0: 150 */
	uint32_t feed_idle_s; /* the same for observed flows, 0: 86,400 */
	uint32_t ledger_entries; /* 0: 32,768 */
	uint8_t echo_key[16];
	struct agt_hooks hooks;
	struct met *met;
	const struct log_sink *log;
};

/* An observation (RFC 7641) that the target serves on a flow. */
struct agt_observation {
	uint8_t token_len;
	uint8_t token[CX_TOKEN_MAX];
	uint8_t ended; /* caller gone: notifications get a reset */
	uint8_t unacknowledged; /* confirmable notifications in a row */
	uint16_t mid; /* of the last notification */
};

/* A flow that this agent holds, or serves as a guest. */
struct agt_flow {
	uint64_t key; /* 0: free */
	uint64_t last_active; /* time of the last datagram */
	uint64_t via_id; /* balancer of the last packet; answers go there */
	uint32_t caller_ip;
	uint32_t via_ip;
	uint16_t caller_port;
	uint16_t via_port;
	uint16_t generation; /* part of the handle, see agent.c */
	uint8_t observed; /* the target sends notifications on it */
	uint8_t guest; /* another agent holds the flow */
	uint8_t first_rank_acked; /* the first rank knows the holder */
	uint8_t observation_count;
	struct agt_observation observations[AGT_OBSERVATIONS_MAX];
	uint16_t balancer_rotation; /* selects the balancer of notifications */
	uint16_t next_mid; /* of answers that are not acknowledgements */
	uint32_t open_requests; /* queued or in flight */
	uint32_t next_free;
};

/* Latest answer to a safe request of a flow, resent on retransmission. */
struct agt_last_answer {
	uint64_t flow_token_hash;
	uint16_t mid; /* of the request */
	uint16_t len; /* 0: none */
	uint8_t data[CX_DATAGRAM_MAX];
};

/* A flow held by another agent although this one is its first rank. */
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

/* A request that waits for a slot or for the target's answer. */
struct agt_pending {
	enum agt_pending_state state;
	uint16_t generation;
	uint32_t flow; /* position in the shard's flows */
	uint64_t flow_token_hash; /* key in pending_index */
	uint64_t ledger_id; /* 0: a safe request */
	uint64_t arrived;
	uint64_t started;
	uint64_t deadline;
	uint8_t ack_sent; /* the caller no longer retransmits it */
	struct cx_msg msg; /* the latest copy received */
	uint16_t len;
	uint8_t data[CX_DATAGRAM_MAX];
	uint32_t next_free;
};

struct agt_shard {
	pthread_mutex_t lock;
	struct agt_flow *flows;
	struct agt_last_answer *last_answers; /* parallel to flows */
	uint32_t flow_free; /* head of the free list, as the next two *_free */
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

/* Flow-list and load state of another agent of the service. */
struct agt_peer {
	uint64_t id;
	uint64_t incarnation;
	uint64_t in_digest; /* view of the list being received */
	uint64_t in_parts; /* bit mask of the parts received */
	uint64_t in_complete; /* view of the latest complete list */
	uint64_t out_digest; /* view of the list being sent */
	uint64_t out_acked; /* bit mask of the parts acknowledged */
	uint32_t out_parts; /* 0: not sent yet */
	uint64_t out_resend_at;
	uint32_t load; /* requests in flight and queued */
	uint32_t load_cap;
	uint32_t median_us; /* 0: not warm */
	uint64_t load_received;
	uint8_t used;
};

/* Key of an incarnation of this agent that issued Echo values. */
struct agt_echo_key {
	uint64_t incarnation;
	uint8_t key[16];
};

struct agt {
	struct agt_desc desc;
	/* [0] is this incarnation's, the others were handed over. */
	struct agt_echo_key echo_keys[AGT_ECHO_KEYS_MAX];
	uint32_t echo_key_count;
	int was_taken_out;
	uint64_t service; /* hash of its name */
	struct agt_shard shards[AGT_SHARDS];
	uint32_t flow_capacity; /* per shard, as the next two */
	uint32_t pending_capacity;
	uint32_t exception_capacity;
	JJ_ATOMIC(uint32_t) flow_count;
	JJ_ATOMIC(uint32_t) max_flows;
	struct adm adm;
	pthread_mutex_t peer_lock;
	struct agt_peer peers[AGT_PEERS_MAX];
	uint64_t digest; /* of the current view of the service */
	JJ_ATOMIC(int) settled; /* has all peers' flow lists for digest */
	JJ_ATOMIC(int) stopping;
	uint64_t next_expire;
	uint64_t next_load;
	uint64_t next_peer_sync;
	uint64_t unsettled_since;
	uint32_t load_sent; /* load and cap of the last report */
	uint32_t cap_sent;
};

/* Fills in defaults and checks the settings. */
enum jj_status agt_resolve(struct agt_desc *desc, struct jj_error *err);
enum jj_status agt_init(struct agt *agt, const struct agt_desc *desc);
void agt_finish(struct agt *agt);

/* Arguments that all entry points share; view must outlive the call. */
struct agt_call {
	struct agt *agt;
	void *thread; /* passed to the hooks */
	const struct viw *view;
	uint64_t now; /* microseconds */
};

/* Handles a caller's packet from a balancer or another agent. */
void agt_on_packet(const struct agt_call *call, const Jj__Packet *packet);

/* Handles a datagram that the target sent on a flow's socket. */
void agt_on_target_datagram(const struct agt_call *call, uint32_t handle,
			    const uint8_t *data, size_t len);

/* Fails the flow's sent requests: the target's port refused a datagram. */
void agt_on_target_refused(const struct agt_call *call, uint32_t handle);

/* Applies a changed view: limits, and new flow lists to and from peers. */
void agt_view_changed(const struct agt_call *call);

/* Discards the peers' flow lists, which a process pause made unreliable. */
void agt_resync_after_pause(const struct agt_call *call);

/* Handles flow lists, list acknowledgements and load reports of peers. */
void agt_on_control(const struct agt_call *call, const Jj__Envelope *env);

/* Runs deadlines, resends and idle timeouts; call every AGT_TICK_US. */
void agt_tick(const struct agt_call *call);

/*
 * Sends new flows and unsafe requests to other agents, where there are any.
 * Held flows and requests in progress continue.
 */
void agt_stop(struct agt *agt);

/* Number of requests queued or in flight. */
uint32_t agt_open_requests(struct agt *agt);

/* Whether the agent has the flow lists of all peers, see above. */
int agt_settled(const struct agt *agt);

/* Index of a flow's handle in AGT_SHARDS * agt->flow_capacity slots. */
uint32_t agt_flow_slot(const struct agt *agt, uint32_t handle);

/*
 * State transfer over a planned restart. agt_export() packs flows, ledger and
 * Echo keys into a Jj__Handover on the heap; the agent must not serve anything
 * afterwards. agt_import() loads such a state before the first packet is
 * served; a flow whose local port cannot be bound again is left out.
 */
uint8_t *agt_export(struct agt *agt, uint64_t now, size_t *len);
void agt_import(const struct agt_call *call, const Jj__Handover *handover);

#endif
