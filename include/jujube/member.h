/*
 * member - membership and the spreading of news
 *
 * SWIM-style: each member probes one other a period, asks a few to probe for
 * it when no answer comes, suspects before it declares dead, and carries news
 * on the probes. Cost for a member does not grow with their number. A record
 * is ordered by (incarnation, version, liveness); only its owner raises the
 * version, so nobody can talk a live member dead for long.
 *
 * The table revision travels in the envelope of every message. Whoever hears
 * a higher one than its own is behind and is told so by the behind() hook.
 * After the own revision rose, news is pushed for a few periods even when no
 * member changed, so that the rise reaches everybody in logarithmic time.
 *
 * Confirmation: an answer to an own probe that names no higher revision than
 * the own one proves that, when the probe was sent, somebody else knew of
 * nothing newer. mbr_confirmed() gives the time of the newest such probe.
 * A process that was paused has an old one and must not forward.
 *
 * No locks inside: the owner has one. Times are milliseconds of a monotonic
 * clock given by the caller.
 */
#ifndef JUJUBE_MEMBER_H
#define JUJUBE_MEMBER_H

#include "jujube/log.h"
#include "jujube/map.h"
#include "jujube/status.h"
#include "jujube.pb-c.h"

#define MBR_NAME_MAX 64
#define MBR_CAPACITY 16384 /* default */
#define MBR_UPDATES_MAX 8 /* records a message carries */
#define MBR_SEEDS_MAX 64
#define MBR_INDIRECT_PROBES 3 /* members asked for an indirect probe */
#define MBR_FANOUT 2 /* members pushed to a gossip period */
#define MBR_DEAD_RETENTION_MS 600000 /* dead records are kept so long */
/* A dead member and a seed are tried so often: 0.2 KB/s of the 3 allowed. */
#define MBR_REJOIN_MS 1000
/*
 * One that was thought dead has come back: a cut has healed, and for so long
 * the other dead ones are tried each gossip period.
 */
#define MBR_HEAL_MS 2000

struct mbr_member {
	uint64_t id;
	char name[MBR_NAME_MAX];
	char data_centre[MBR_NAME_MAX];
	char service[MBR_NAME_MAX];
	char target[MBR_NAME_MAX]; /* agents: name in the table */
	Jj__Role role;
	uint32_t ip;
	uint16_t control_port;
	uint16_t data_port;
	uint64_t incarnation;
	uint32_t version;
	Jj__Liveness liveness;
	Jj__Phase phase;
	uint64_t liveness_since; /* time of the last change of liveness */
	uint64_t last_heard; /* last message from it, 0: never */
	uint64_t revision; /* highest table revision it was heard to hold */
	uint32_t sends_left; /* times its news was still to be sent */
	uint32_t used;
};

struct mbr_seed {
	uint32_t ip;
	uint16_t port;
};

enum mbr_event {
	MBR_JOINED,
	MBR_SUSPECTED,
	MBR_DIED,
	MBR_DEPARTED,
	MBR_PHASE_CHANGED,
	MBR_ALIVE_AGAIN,
	MBR_RESTARTED,
};

struct mbr_hooks {
	/* Sends one message to an address; env's sender fields are unset. */
	void (*send)(void *ctx, uint32_t ip, uint16_t port, Jj__Envelope *env);
	/* A record changed in a way that routing may care about; may be null. */
	void (*changed)(void *ctx, const struct mbr_member *member,
			enum mbr_event event);
	/* member holds a higher table revision than this process; may be null. */
	void (*newer_revision)(void *ctx, uint32_t ip, uint16_t port,
			       uint64_t revision);
	void *ctx;
};

struct mbr_desc {
	struct mbr_member self; /* name, role, addresses, incarnation, phase */
	struct mbr_seed seeds[MBR_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t capacity; /* members, 0: MBR_CAPACITY */
	uint32_t probe_ms; /* 0: 500 */
	uint32_t suspect_ms; /* 0: 2000 */
	uint32_t gossip_ms; /* 0: 200 */
	uint64_t random_seed;
	struct mbr_hooks hooks;
	const struct log_sink *log;
};

struct mbr_indirect_probe {
	uint64_t seq; /* ours */
	uint64_t requester_seq;
	uint64_t requester_id; /* who asked */
	uint32_t ip;
	uint16_t port;
};

#define MBR_INDIRECT_PROBES_MAX 64
#define MBR_PINGS_MAX 64 /* own probes remembered */

struct mbr {
	struct mbr_desc desc;
	struct mbr_member *members; /* [0] is this process */
	uint32_t count; /* cells of members in use, with freed ones */
	uint32_t live_count; /* live or suspect, with this process */
	struct map index;
	struct map_cell *cells;
	uint32_t *probe_order; /* probing order, shuffled each round */
	uint32_t probe_order_count;
	uint32_t probe_order_next;
	uint32_t suspect_count;
	uint32_t records_to_send; /* records with news left to send */
	uint64_t rng;
	uint64_t seq;
	uint64_t probe_seq; /* outstanding probe, 0: none */
	uint64_t probe_id;
	uint64_t probe_sent;
	int indirect_probes_sent;
	uint64_t next_probe;
	uint64_t next_gossip;
	uint64_t next_rejoin;
	uint64_t healing_until; /* see MBR_HEAL_MS */
	uint64_t last_tick;
	uint64_t revision;
	uint32_t
		push_periods_left; /* gossip periods in which to push the revision */
	uint64_t ping_sent[MBR_PINGS_MAX]; /* by seq % MBR_PINGS_MAX */
	uint64_t confirmed_at;
	struct mbr_indirect_probe indirect_probes[MBR_INDIRECT_PROBES_MAX];
	uint32_t next_indirect_probe;
	int has_left;
	int suppress_gossip; /* records change without being news */
};

/* Resolves defaults; JJ_INVALID when the description breaks a rule. */
enum jj_status mbr_resolve(struct mbr_desc *desc, struct jj_error *err);

/* desc must be resolved. JJ_SYSTEM: out of memory. */
enum jj_status mbr_init(struct mbr *mbr, const struct mbr_desc *desc,
			uint64_t now);
void mbr_finish(struct mbr *mbr);

/* Does what is due. Call at least every MBR_TICK_MS. */
#define MBR_TICK_MS 50
void mbr_tick(struct mbr *mbr, uint64_t now);

/*
 * One authenticated message of any kind from the control port of ip:port.
 * Pings, answers and indirect probes are handled here; of other kinds only
 * sender and revision are noted.
 */
void mbr_message(struct mbr *mbr, uint64_t now, uint32_t ip, uint16_t port,
		 const Jj__Envelope *env);

/*
 * Takes over records of a state transfer. They are not spread further: whoever
 * gave them has spread them.
 */
void mbr_merge(struct mbr *mbr, uint64_t now, Jj__Member *const *news,
	       size_t count);

/* Tells the module which table revision this process holds now. */
void mbr_set_revision(struct mbr *mbr, uint64_t revision);

/* This process counts as started anew, as if with this incarnation. */
void mbr_set_incarnation(struct mbr *mbr, uint64_t incarnation);

/* Changes this process's phase and spreads it. */
void mbr_set_phase(struct mbr *mbr, Jj__Phase phase);

/* Tells a number of members that this process leaves. */
void mbr_leave(struct mbr *mbr, uint64_t now);

/* Probes a member out of turn, for its revision. */
void mbr_ping(struct mbr *mbr, uint64_t now, const struct mbr_member *member);

const struct mbr_member *mbr_find(const struct mbr *mbr, uint64_t id);

/* Send time of the newest confirming probe, 0: none. */
uint64_t mbr_confirmed(const struct mbr *mbr);

/* Fills msg, whose strings point into member. */
void mbr_to_msg(const struct mbr_member *member, Jj__Member *msg);

/* Whether a member may be sent to: alive or merely suspect. */
static inline int mbr_live(const struct mbr_member *member)
{
	return member->used && member->liveness <= JJ__LIVENESS__LIVE_SUSPECT;
}

#endif
