/*
 * member - group membership and gossip, after the SWIM protocol
 *
 * In each period a member pings one other member and, without a reply, asks a
 * few others to ping it (indirect probes). A member that doesn't reply is
 * first marked suspect and later dead. Probes carry updates of member records,
 * so the cost for a member doesn't grow with the size of the fleet. Updates
 * are ordered by (incarnation, version, liveness). Only a member itself raises
 * its version, so a false report that a live member is dead is soon refuted.
 *
 * Every message carries the sender's table revision. A member that receives a
 * higher revision than its own calls the newer_revision() hook. After its own
 * revision has risen, a member sends pings for a few gossip periods even if no
 * record changed, so the new revision reaches all members in logarithmic time.
 *
 * Confirmation: a reply to this member's ping that carries no higher revision
 * than its own proves that another member knew no newer one when the ping was
 * sent. mbr_confirmed() returns the time of the newest such ping. After a
 * pause this time is old, and the process must not forward.
 *
 * Not thread safe; callers must lock. Times are milliseconds of a monotonic
 * clock, passed in by the caller.
 */
#ifndef JUJUBE_MEMBER_H
#define JUJUBE_MEMBER_H

#include "jujube/log.h"
#include "jujube/map.h"
#include "jujube/status.h"
#include "jujube.pb-c.h"

#define MBR_NAME_MAX 64
/* Incarnations are times in ms: the last one of the year 9999. */
#define MBR_INCARNATION_MAX 253402300799999
#define MBR_CAPACITY 16384 /* default member limit */
#define MBR_UPDATES_MAX 8 /* member records per message */
#define MBR_SEEDS_MAX 64
#define MBR_INDIRECT_PROBES 3 /* members asked to ping a silent member */
#define MBR_FANOUT 2 /* members pinged in a gossip period */
#define MBR_DEAD_RETENTION_MS 600000 /* how long dead ones are retried */
/*
 * Period in which one dead member and one seed are pinged. Uses 0.2 KB/s of
 * the 3 KB/s allowed.
 */
#define MBR_REJOIN_MS 1000
/*
 * When a dead member has come back, a network partition has probably healed.
 * For this time, dead members are pinged in every gossip period.
 */
#define MBR_HEAL_MS 2000

/* One record; message Member in proto/jujube.proto describes most fields. */
struct mbr_member {
	uint64_t id;
	char name[MBR_NAME_MAX];
	char data_centre[MBR_NAME_MAX];
	char service[MBR_NAME_MAX];
	char target[MBR_NAME_MAX]; /* agents: the target's name in the table */
	Jj__Role role;
	uint32_t ip;
	uint16_t control_port;
	uint16_t data_port;
	uint64_t incarnation;
	uint32_t version;
	Jj__Liveness liveness;
	Jj__Phase phase;
	uint64_t liveness_since; /* liveness change, or reply while suspect */
	uint64_t last_heard; /* time of its last message, 0: never */
	uint64_t revision; /* highest table revision it has sent */
	uint32_t sends_left; /* how often its record is still to be sent */
	uint32_t used; /* 0: free entry */
};

/* Address to contact in order to join the fleet. */
struct mbr_seed {
	uint32_t ip;
	uint16_t port;
};

enum mbr_event {
	MBR_JOINED, /* new record */
	MBR_SUSPECTED,
	MBR_DIED,
	MBR_DEPARTED, /* left in a graceful shutdown */
	MBR_PHASE_CHANGED,
	MBR_ALIVE_AGAIN,
	MBR_RESTARTED, /* new incarnation */
};

struct mbr_hooks {
	/* Sends a message; must fill in the sender fields of env. */
	void (*send)(void *ctx, uint32_t ip, uint16_t port, Jj__Envelope *env);
	/* A record changed in a way that may affect routing; may be null. */
	void (*changed)(void *ctx, const struct mbr_member *member,
			enum mbr_event event);
	/* A message carried a higher table revision; may be null. */
	void (*newer_revision)(void *ctx, uint32_t ip, uint16_t port,
			       uint64_t revision);
	void *ctx;
};

struct mbr_desc {
	struct mbr_member self; /* name, role, addresses, incarnation, phase */
	struct mbr_seed seeds[MBR_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t capacity; /* maximum of members, 0: MBR_CAPACITY */
	uint32_t probe_ms; /* 0: 500 */
	uint32_t suspect_ms; /* 0: 2000 */
	uint32_t gossip_ms; /* 0: 200 */
	uint64_t random_seed;
	struct mbr_hooks hooks;
	const struct log_sink *log;
};

/* A ping that this process sends on behalf of another member. */
struct mbr_indirect_probe {
	uint64_t seq; /* of the ping sent, 0: unused */
	uint64_t requester_seq; /* of the request */
	uint64_t requester_id;
	uint32_t ip;
	uint16_t port;
};

#define MBR_INDIRECT_PROBES_MAX 64
#define MBR_PINGS_MAX 64 /* most recent pings whose send time is kept */

struct mbr {
	struct mbr_desc desc;
	struct mbr_member *members; /* members[0] is this process */
	uint32_t count; /* entries of members in use */
	uint32_t live_count; /* alive or suspect, including this process */
	struct map index; /* member id -> position in members */
	struct map_cell *cells;
	uint32_t *probe_list; /* positions in members, shuffled each round */
	uint32_t probe_list_count;
	uint32_t probe_at; /* next position in probe_list */
	uint32_t suspect_count;
	uint32_t records_to_send; /* records whose sends_left is not 0 */
	uint64_t rng;
	uint64_t seq; /* of the last ping sent */
	uint64_t probe_seq; /* ping awaiting a reply, 0: none */
	uint64_t probe_id; /* member being probed */
	uint64_t probe_sent;
	int indirect_probes_sent;
	uint64_t next_probe;
	uint64_t next_gossip;
	uint64_t next_rejoin;
	uint64_t healing_until; /* see MBR_HEAL_MS */
	uint64_t last_tick;
	uint64_t revision;
	uint32_t push_periods_left; /* remaining pushes of the revision */
	/* Send times of own pings, by seq % MBR_PINGS_MAX. */
	uint64_t ping_sent[MBR_PINGS_MAX];
	uint64_t confirmed_at; /* see mbr_confirmed() */
	struct mbr_indirect_probe indirect_probes[MBR_INDIRECT_PROBES_MAX];
	uint32_t next_indirect_probe;
	int has_left; /* mbr_leave() was called */
	int suppress_gossip; /* changes are not sent to others */
};

/* Replaces zeros by defaults; JJ_INVALID if desc is invalid. */
enum jj_status mbr_resolve(struct mbr_desc *desc, struct jj_error *err);

/* desc must be resolved. JJ_SYSTEM: out of memory. */
enum jj_status mbr_init(struct mbr *mbr, const struct mbr_desc *desc,
			uint64_t now);
void mbr_finish(struct mbr *mbr);

/* Runs timers: probes, gossip, rejoin. Call at least every MBR_TICK_MS. */
#define MBR_TICK_MS 50
void mbr_tick(struct mbr *mbr, uint64_t now);

/*
 * Handles an authenticated message of any kind from control port ip:port.
 * Processes pings, acks and requests for indirect probes; of other messages,
 * only records the sender and its revision.
 */
void mbr_message(struct mbr *mbr, uint64_t now, uint32_t ip, uint16_t port,
		 const Jj__Envelope *env);

/*
 * Checks a record of any source: a message, a state transfer, or an entry of
 * the store, which others may write, too. JJ_INVALID: a field is missing or out
 * of range; such records are not merged.
 */
enum jj_status mbr_check_record(const Jj__Member *record, struct jj_error *err);

/*
 * Merges the member records of a state transfer. They are not gossiped
 * further, since the sender has done so.
 */
void mbr_merge(struct mbr *mbr, uint64_t now, Jj__Member *const *updates,
	       size_t count);

/* Sets the table revision of this process; a lower one is ignored. */
void mbr_set_revision(struct mbr *mbr, uint64_t revision);

/* Announces this process as restarted, with a new incarnation. */
void mbr_set_incarnation(struct mbr *mbr, uint64_t incarnation);

/* Sets the phase of this process and gossips it. */
void mbr_set_phase(struct mbr *mbr, Jj__Phase phase);

/* Announces to some random members that this process leaves. */
void mbr_leave(struct mbr *mbr, uint64_t now);

/* Pings a member at once, out of turn. */
void mbr_ping(struct mbr *mbr, uint64_t now, const struct mbr_member *member);

/* Returns the member with this id, in any state, or null. */
const struct mbr_member *mbr_find(const struct mbr *mbr, uint64_t id);

/* Send time of the newest ping that confirmed the revision, 0: none. */
uint64_t mbr_confirmed(const struct mbr *mbr);

/* Fills msg, whose strings point into member. */
void mbr_to_msg(const struct mbr_member *member, Jj__Member *msg);

/* True if a member can be sent to: alive or suspect. */
static inline int mbr_live(const struct mbr_member *member)
{
	return member->used && member->liveness <= JJ__LIVENESS__LIVE_SUSPECT;
}

#endif
