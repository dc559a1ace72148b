/*
 * registry - discovers members and reads the table through the platform's store
 *
 * For platforms whose store holds operators' settings as separate items, not
 * as one table value (see table_sync.h). One thread:
 *
 *  - registers this process under a lease and renews the lease. An entry that
 *    was removed is written again. Entries only let a starting process find
 *    the others; membership (member.h) decides which members are alive.
 *  - reads the operators' items once. After that, the REG_WATCHERS processes
 *    that rank first among the live members of each data centre watch the
 *    items; the others learn of a higher revision by gossip and pull the
 *    table. There is no election: when a watcher is declared dead, the next in
 *    rank takes over. They take turns to end their watches (see
 *    jujube/turn.h), as a watch may never be answered, all at once if the store
 *    is in trouble. Rows are replaced item by item; a full list, read after
 *    a gap in the history, also removes rows whose item no longer exists.
 *    Within an era of the store, revisions only rise: an older response
 *    changes nothing.
 *  - notices in any response that the store was restored from an older copy,
 *    as its era has risen. What it acknowledged in earlier eras no longer
 *    counts: the process registers again under a new lease, since the id of the
 *    old one may belong to another process, and reads all items again, since
 *    the revision that it had reached may be given out again. Items that the
 *    restored store lacks stay in force for REG_HOLD_MS, in which operators are
 *    expected to write them again.
 *
 * Calls to the store: one renewal every lease_ms / 2. With it, processes that
 * do not watch read a list that may be seconds old, in case all watchers are
 * cut off from the store. All watchers together make about one call per
 * REG_TURN_MS, each at least one per lease_ms / 3, and one per change. Failed
 * calls are retried with exponential backoff and jitter.
 */
#ifndef JUJUBE_REGISTRY_H
#define JUJUBE_REGISTRY_H

#include "node.h"

#define REG_RETRY_MS 100 /* first delay after a failed call */
#define REG_RETRY_MAX_MS 1600 /* longest delay */
#define REG_RETRY_NO_TABLE_MAX_MS 400 /* the same without a table yet */
#define REG_PAGES 64 /* pages of one list */
#define REG_SOURCES 256 /* limit of operators' items */
#define REG_WATCHERS 2 /* per data centre, as one may be frozen or refused */
/* Earlier, new members may not know each other, and all would watch. */
#define REG_WATCH_DELAY_MS 1000
/*
 * Interval at which some watch of the fleet ends. A change during which no watch
 * is answered is noticed after it and the time limit of a call.
 */
#define REG_TURN_MS 1000
#define REG_CHECK_WAIT_MS 1 /* of the first watch after a failed call */
#define REG_IDLE_MS 100 /* interval to check for due calls */
/*
 * How long rows are held after a start or a restore of the store. A process
 * that starts may receive rows from peers that the restored store lacks.
 */
#define REG_HOLD_MS 30000

enum reg_status {
	REG_OK,
	REG_ABSENT, /* no such item, lease or history */
	REG_CHANGED, /* a condition of the call does not hold */
	REG_REFUSED, /* not done: store busy, or call not allowed */
	REG_UNKNOWN, /* no response: may have taken effect, or still may */
	REG_RESTORED, /* the store was restored: the response is not used */
};

struct reg_item {
	char key[201];
	uint8_t *value; /* on the heap */
	size_t len;
	uint64_t revision;
	int removed;
	int rejected; /* was not applied to the table */
};

struct reg_items {
	struct reg_item *items; /* on the heap */
	size_t count;
	size_t capacity;
	uint64_t as_of; /* revision of the store when it was read */
	int more; /* another page follows the last key */
};

/* Operations of the store; called by one thread. */
struct reg_store {
	/* stale: the response may be seconds old, which is cheaper. */
	enum reg_status (*list)(void *ctx, const char *prefix,
				const char *after, int stale,
				struct reg_items *out);
	/*
	 * Waits for changes after a revision. REG_ABSENT: the store no longer
	 * has the history since then.
	 */
	enum reg_status (*watch)(void *ctx, const char *prefix, uint64_t after,
				 uint32_t wait_ms, struct reg_items *out);
	enum reg_status (*put)(void *ctx, const char *key, const uint8_t *value,
			       size_t len, uint64_t lease);
	enum reg_status (*grant)(void *ctx, uint32_t ttl_ms, uint64_t *lease);
	enum reg_status (*renew)(void *ctx, uint64_t lease);
	enum reg_status (*revoke)(void *ctx, uint64_t lease);
	/*
	 * Sets how often the store was restored from an older copy, by its last
	 * response; 0: no response has told so far.
	 */
	int (*era)(void *ctx, uint64_t *era);
	/* Sets the version and the rows of an item, which are on the heap. */
	enum jj_status (*to_rows)(void *ctx, const struct reg_item *item,
				  struct tbl_source *source,
				  const struct log_sink *log);
	const char *member_prefix; /* of the keys of member entries */
	const char *item_prefix; /* of the keys of operators' items */
	void *ctx;
};

struct reg_desc {
	struct reg_store store;
	uint32_t lease_ms;
	uint32_t watch_ms;
	const struct log_sink *log;
};

/*
 * Steps of joining. Entries are read before and after this process writes its
 * own, so that of two processes that start together at least one sees the
 * other.
 */
enum reg_step {
	REG_READ_PREVIOUS,
	REG_REGISTER,
	REG_READ_MEMBERS,
	REG_REGISTERED
};

struct reg {
	struct reg_desc desc;
	struct nod *nod; /* null until reg_start() */
	pthread_t thread;
	JJ_ATOMIC(int) stopping;
	uint64_t lease; /* 0: none */
	uint64_t renew_at; /* ms */
	enum reg_step step; /* next step of joining */
	uint64_t era; /* of the store, see reg_store.era */
	int era_known;
	uint64_t hold_until; /* ms, see REG_HOLD_MS */
	uint32_t held_rows; /* rows held in the last list */
	uint64_t as_of; /* revision up to which items are known, 0: none */
	uint64_t watch_from; /* ms; this process does not watch before */
	int watching;
	struct trn turn; /* valid if watching */
	int stale_read_due; /* read a list that may be old */
	uint32_t delay_ms; /* before the next retry */
	uint32_t failures; /* in a row */
};

void reg_items_free(struct reg_items *items);
/* Appends a zeroed item; null: out of memory. */
struct reg_item *reg_items_add(struct reg_items *items);

void reg_init(struct reg *reg, const struct reg_desc *desc);

enum jj_status reg_start(struct reg *reg, struct nod *nod,
			 struct jj_error *err);
/*
 * Ends the thread. leave: also removes this process's entry. Otherwise it
 * expires with its lease, and processes that start before then know that a
 * member is absent.
 */
void reg_finish(struct reg *reg, int leave);

#endif
