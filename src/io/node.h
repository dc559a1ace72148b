/*
 * node - what every daemon of the fleet does
 *
 * Holds the member list and the table under one lock, runs the control
 * thread (membership on UDP, timers), the transfer threads (state transfer
 * and dumps on TCP, one request a connection, each bounded in time), and
 * publishes the routing view under liburcu.
 *
 * Readers of the view register with liburcu and use nod_view() inside a
 * read-side section.
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
#include "jujube/view.h"
#include "logio.h"

/* Lanes of a process: one for each thread that sends. */
enum nod_lane_id {
	NOD_LANE_CONTROL = 0,
	NOD_LANE_PULL = 1,
	NOD_LANE_TRANSFER = 2, /* and up to NOD_TRANSFERS of them */
	NOD_LANE_ADMIN = 8,
	NOD_LANE_HANDOVER = 9,
	NOD_LANE_WORKER = 16, /* and up */
};

#define NOD_TRANSFERS 3
#define NOD_PAUSE_MS 1000 /* a gap between two rounds that means a pause */

/* One sending thread's outgoing state. */
struct nod_lane {
	struct frm_out out;
	uint8_t buf[FRM_MAX_DATAGRAM];
};

struct nod;

struct nod_hooks {
	/* The view changed; control thread, inside a read-side section. */
	void (*view_changed)(void *ctx, struct nod_lane *lane,
			     const struct viw *view);
	/* A control message that membership does not handle. */
	void (*control)(void *ctx, struct nod_lane *lane,
			const struct viw *view, const Jj__Envelope *env);
	/* Each round of the control thread. */
	void (*tick)(void *ctx, struct nod_lane *lane, const struct viw *view);
	/* Adds the daemon's own part to a dump. */
	void (*dump)(void *ctx, FILE *out);
	/*
	 * A request on TCP that the node does not know. Fills reply with a
	 * body on the heap, which the node frees; 0: no reply.
	 */
	int (*request)(void *ctx, const Jj__Envelope *env, Jj__Envelope *reply);
	void *request_ctx;
	void *ctx;
};

struct nod_desc {
	const char *name;
	const char *data_centre;
	const char *service; /* agents */
	const char *target; /* agents: name in the table */
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
	uint32_t rows_max; /* 0: TBL_ROWS */
	uint32_t lanes_max; /* 0: FRM_LANES */
	struct nod_hooks hooks;
	struct lio *log;
};

struct nod_pull {
	uint32_t ip;
	uint16_t port;
	int pending;
	int with_members;
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
	pthread_mutex_t lock; /* members, table, control lane */
	struct mbr mbr;
	struct tbl tbl;
	struct nod_lane control_lane;
	struct nod_lane handover_lane; /* main thread only */
	int view_outdated; /* the view must be built anew */
	struct viw *view; /* read under liburcu */
	uint64_t views_published; /* published so far */
	JJ_ATOMIC(uint64_t) revision;
	JJ_ATOMIC(uint64_t) confirmed_ms;
	JJ_ATOMIC(uint32_t) live_peers; /* live members besides this one */
	JJ_ATOMIC(int) stopping;
	JJ_ATOMIC(int) fence_logged;
	JJ_ATOMIC(int) joined; /* all members there are were heard of */
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
/* Tells the fleet that this process leaves. */
void nod_leave(struct nod *nod);
/* Ends the threads; hooks are not called any more. */
void nod_stop(struct nod *nod);
/* Frees everything. The threads must have ended. */
void nod_finish(struct nod *nod);

void nod_lane_init(struct nod *nod, struct nod_lane *lane, uint32_t id);

/* Seals and sends one message from the control socket. */
void nod_send(struct nod *nod, struct nod_lane *lane, uint32_t ip,
	      uint16_t port, Jj__Envelope *env);

/* Counts and logs a message that was not taken. */
void nod_count_rejected(struct nod *nod, enum jj_status status, uint32_t ip,
			uint16_t port);

const struct viw *nod_view(struct nod *nod);

/*
 * Takes over a table from the platform or a peer, when it is sound. JJ_STALE:
 * what is held is newer.
 */
enum jj_status nod_merge_table(struct nod *nod, const Jj__Table *table,
			       struct jj_error *err);

void nod_set_phase(struct nod *nod, Jj__Phase phase);

/* tbl_replace(), tbl_keep_sources() and tbl_advance() on this node's table. */
void nod_replace_rows(struct nod *nod, const char *source,
		      const struct tbl_row *rows, uint32_t count,
		      uint64_t revision);
void nod_keep_sources(struct nod *nod, const char *const *sources,
		      uint32_t count, uint64_t revision);
void nod_advance_table(struct nod *nod, uint64_t revision);

/*
 * Whether this process is among the first of its data centre, by hash over the
 * live members (same_role: of its role only). Where views differ a few more
 * believe it of themselves; nobody has to agree.
 */
int nod_ranks_first(struct nod *nod, int same_role, uint32_t most);

/* This process's member record, on the heap; null: no memory. */
Jj__Member *nod_own_record(struct nod *nod);

/*
 * A former life of this process had an incarnation: this one's becomes higher.
 * The clock may have been set back since.
 */
void nod_raise_incarnation(struct nod *nod, uint64_t former);

/* Takes note of a member that was read elsewhere and says hello to it. */
void nod_add_member(struct nod *nod, Jj__Member *member);

/* One request on a new connection; null: no answer in time. Free it. */
Jj__Envelope *nod_request(struct nod *nod, struct nod_lane *lane, uint32_t ip,
			  uint16_t port, Jj__Envelope *request,
			  uint32_t timeout_ms);

/* Writes the whole state as text. */
void nod_dump(struct nod *nod, FILE *out);
/* The same as a heap string. */
char *nod_dump_text(struct nod *nod);

/*
 * Milliseconds that the process or its host stood still since the last round
 * of a thread, which notes the time of each in last_ms; 0: it did not.
 */
uint64_t nod_pause_ms(uint64_t *last_ms);

#endif
