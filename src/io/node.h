/*
 * node - functions that all daemons share: membership, table and routing view
 *
 * Holds the member list and the table under one lock. Runs the control thread
 * (membership over UDP, timers), the pull thread (fetches newer tables and
 * member lists) and the transfer threads (serve state and dumps over TCP, one
 * request per connection, each with a timeout). Publishes the routing view by
 * RCU.
 *
 * Readers of the view register with liburcu and use nod_view() inside a
 * read-side critical section.
 */
#ifndef JUJUBE_NODE_H
#define JUJUBE_NODE_H

#include <pthread.h>
#include "jujube/atomic.h"
#include <stdio.h>
#include "jujube/frame.h"
#include "jujube/member.h"
#include "jujube/metric.h"
#include "jujube/table.h"
#include "jujube/turn.h"
#include "jujube/view.h"
#include "logio.h"

/*
 * Lanes of a process: each numbers its frames separately, so that receivers
 * can detect replays. Every sending thread has its own.
 */
enum nod_lane_id {
	NOD_LANE_CONTROL = 0,
	NOD_LANE_PULL = 1,
	NOD_LANE_TRANSFER = 2, /* the first of NOD_TRANSFERS */
	NOD_LANE_ADMIN = 8,
	NOD_LANE_HANDOVER = 9,
	NOD_LANE_WORKER = 16, /* the first of any number */
};

#define NOD_TRANSFERS 3
#define NOD_PAUSE_MS 1000 /* a longer gap between two rounds is a pause */

/* State for sealing messages; used by one thread at a time. */
struct nod_lane {
	struct frm_sender out;
	uint8_t buf[FRM_MAX_DATAGRAM];
};

struct nod;

struct nod_hooks {
	/* The view changed; control thread, in a read-side critical section. */
	void (*view_changed)(void *ctx, struct nod_lane *lane,
			     const struct viw *view);
	/* Every control message, after membership has handled it. */
	void (*control)(void *ctx, struct nod_lane *lane,
			const struct viw *view, const Jj__Envelope *env);
	/* In each round of the control thread. */
	void (*tick)(void *ctx, struct nod_lane *lane, const struct viw *view);
	/* Appends the daemon's own state to a dump. */
	void (*dump)(void *ctx, FILE *out);
	/*
	 * A request over TCP that the node does not handle itself. Sets a
	 * body in reply, on the heap, which the node frees; 0: no reply.
	 */
	int (*request)(void *ctx, const Jj__Envelope *env, Jj__Envelope *reply);
	void *request_ctx;
	void *ctx;
};

struct nod_desc {
	const char *name;
	const char *data_centre;
	const char *service; /* agents only */
	const char *target; /* agents only: its name in the table */
	Jj__Role role;
	Jj__Phase phase;
	const char *ip;
	uint16_t control_port;
	uint16_t data_port;
	const char *key;
	const char *seeds;
	uint32_t probe_ms;
	uint32_t suspect_ms;
	uint32_t gossip_ms;
	uint32_t members_max; /* 0: MBR_CAPACITY */
	uint32_t rows_max; /* 0: TBL_CAPACITY_DEFAULT */
	uint32_t lanes_max; /* 0: FRM_LANES */
	struct nod_hooks hooks;
	struct lio *log;
};

/* A request to the pull thread to fetch the table of another process. */
struct nod_pull {
	uint32_t ip;
	uint16_t port;
	int pending;
	int with_members; /* also fetch the member list */
};

struct nod {
	struct nod_desc desc;
	uint64_t id;
	JJ_ATOMIC(uint64_t) incarnation; /* see nod_raise_incarnation() */
	uint64_t started_ms;
	uint32_t ip;
	struct frm_key key;
	struct frm_replay replay;
	struct met met;
	pthread_mutex_t lock; /* mbr, tbl and control_lane */
	struct mbr mbr;
	struct tbl tbl;
	struct nod_lane control_lane;
	struct nod_lane handover_lane; /* main thread only */
	int view_outdated; /* the view must be rebuilt */
	struct viw *view; /* protected by RCU, see nod_view() */
	uint64_t views_published;
	JJ_ATOMIC(uint64_t) revision;
	JJ_ATOMIC(uint64_t) confirmed_ms; /* see mbr_confirmed() */
	JJ_ATOMIC(uint32_t) live_peers; /* live members besides this one */
	JJ_ATOMIC(int) stopping; /* 2: nod_stop() was called */
	JJ_ATOMIC(int) was_fenced; /* last result of rt_fenced() */
	JJ_ATOMIC(int) joined; /* a seed or the registry sent all members */
	int control_fd;
	int listen_fd;
	pthread_mutex_t pull_lock;
	pthread_cond_t pull_wake;
	struct nod_pull pull;
	pthread_t control_thread;
	pthread_t pull_thread;
	pthread_t transfer_threads[NOD_TRANSFERS];
	JJ_ATOMIC(uint32_t) next_transfer_lane;
};

enum jj_status nod_init(struct nod *nod, const struct nod_desc *desc,
			struct jj_error *err);
/* Starts the threads. */
enum jj_status nod_start(struct nod *nod, struct jj_error *err);
/* Announces to other members that this process leaves. */
void nod_leave(struct nod *nod);
/* Ends the threads; hooks are not called any more. */
void nod_stop(struct nod *nod);
/* Frees all resources. The threads must have ended. */
void nod_finish(struct nod *nod);

void nod_lane_init(struct nod *nod, struct nod_lane *lane, uint32_t id);

/* Seals and sends one message from the control socket. */
void nod_send(struct nod *nod, struct nod_lane *lane, uint32_t ip,
	      uint16_t port, Jj__Envelope *env);

/* Counts and logs a message that was rejected with status. */
void nod_count_rejected(struct nod *nod, enum jj_status status, uint32_t ip,
			uint16_t port);

const struct viw *nod_view(struct nod *nod);

/*
 * Merges a table from the platform or a peer, if it is valid. JJ_STALE: this
 * process holds a newer one, see tbl_merge().
 */
enum jj_status nod_merge_table(struct nod *nod, const Jj__Table *table,
			       struct jj_error *err);

void nod_set_phase(struct nod *nod, Jj__Phase phase);

/*
 * Apply tbl_replace_source() (errors are logged), tbl_retain_sources() and
 * tbl_raise_revision() to this process's table. If that changes it, its
 * revision is announced and the view is rebuilt. nod_retain_sources() returns
 * the number of held rows.
 */
enum jj_status nod_replace_source(struct nod *nod,
				  const struct tbl_source *source);
uint32_t nod_retain_sources(struct nod *nod, const char *const *sources,
			    uint32_t count, uint64_t revision, int hold);
void nod_raise_revision(struct nod *nod, uint64_t revision);

/*
 * Whether this process ranks among the first limit live members of its data
 * centre (same_role: of those with its role), by hash of their ids. Needs no
 * agreement: while member lists differ, more than limit processes may rank
 * themselves among the first.
 */
int nod_ranks_first(struct nod *nod, int same_role, uint32_t limit);

/* trn_find() on the members of this process. */
int nod_find_turn(struct nod *nod, uint32_t per_data_centre, struct trn *trn);

/* Copy of this process's member record, on the heap; null: out of memory. */
Jj__Member *nod_own_record(struct nod *nod);

/*
 * Makes this process's incarnation higher than that of a previous run. The
 * clock, from which it is taken, may have been set back since.
 */
void nod_raise_incarnation(struct nod *nod, uint64_t previous);

/* Merges a member record from the registry and probes that member. */
void nod_add_member(struct nod *nod, Jj__Member *member);

/*
 * Sends one request on a new connection. The caller frees the reply; null: none
 * came in time.
 */
Jj__Envelope *nod_request(struct nod *nod, struct nod_lane *lane, uint32_t ip,
			  uint16_t port, Jj__Envelope *request,
			  uint32_t timeout_ms);

/* Writes the state of this process as text. */
void nod_dump(struct nod *nod, FILE *out);
/* Returns the same as a string on the heap. */
char *nod_dump_text(struct nod *nod);

/*
 * Milliseconds for which the process or its host was paused since the calling
 * thread's previous round; 0: no pause. *last_ms holds the time of that round
 * and is updated.
 */
uint64_t nod_pause_ms(uint64_t *last_ms);

#endif
