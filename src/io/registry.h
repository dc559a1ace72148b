/*
 * registry - how the fleet finds itself and its table on the platform
 *
 * For platforms whose store keeps what operators write, item by item, instead
 * of the fleet's own table value (see table_sync.h). One thread:
 *
 *  - enters this process under a lease and renews it; an entry that was taken
 *    away is written again. Entries only serve processes that start: who is
 *    alive is for the membership to say.
 *  - reads the operators' items once. Then the REG_WATCHERS processes of each
 *    data centre that rank first among its live members wait on a watch, and
 *    the fleet tells the others by revision; there is no election, and a
 *    watcher that dies is followed as soon as it is thought dead. Rows are
 *    replaced item by item; a list after a gap removes what is not there any
 *    more. Revisions only rise: an older answer changes nothing.
 *
 * What it costs: a renewal in half of the lease and with it, for those who do
 * not watch, a list that may be seconds old, in case that all watchers are
 * cut off from the store; for a watcher a call a watch_s and one a change.
 * Calls are retried after an exponential delay with jitter.
 */
#ifndef JUJUBE_REGISTRY_H
#define JUJUBE_REGISTRY_H

#include "node.h"

#define REG_RETRY_MS 100 /* first delay after a failed call */
#define REG_RETRY_MAX_MS 1600
#define REG_RETRY_NO_TABLE_MAX_MS \
	400 /* longest delay while there is no table */
#define REG_PAGES 64 /* of one list */
#define REG_SOURCES 256 /* items that operators may have written */
#define REG_WATCHERS 2 /* a data centre: one may be frozen or refused */
/* New members have heard of each other by then; all would watch before. */
#define REG_WATCH_DELAY_MS 1000
#define REG_IDLE_MS 100 /* what is due is looked for so often */

enum reg_status {
	REG_OK,
	REG_ABSENT, /* no such item, lease or history */
	REG_CHANGED, /* a condition does not hold */
	REG_REFUSED, /* not done: busy, or not allowed */
	REG_UNKNOWN, /* no answer: it may have been done, or may yet */
};

struct reg_item {
	char key[201];
	uint8_t *value; /* on the heap */
	size_t len;
	uint64_t revision;
	int removed;
};

struct reg_items {
	struct reg_item *items; /* on the heap */
	size_t count;
	size_t capacity;
	uint64_t as_of; /* revision of the store */
	int more; /* another page follows the last key */
};

/* The store's calls; ctx belongs to one thread. */
struct reg_store {
	/* stale: the answer may be seconds old, and is cheaper. */
	enum reg_status (*list)(void *ctx, const char *prefix,
				const char *after, int stale,
				struct reg_items *out);
	/* Waits for changes after a revision; REG_ABSENT: history dropped. */
	enum reg_status (*watch)(void *ctx, const char *prefix, uint64_t after,
				 uint32_t wait_ms, struct reg_items *out);
	enum reg_status (*put)(void *ctx, const char *key, const uint8_t *value,
			       size_t len, uint64_t lease);
	enum reg_status (*grant)(void *ctx, uint32_t ttl_ms, uint64_t *lease);
	enum reg_status (*renew)(void *ctx, uint64_t lease);
	enum reg_status (*revoke)(void *ctx, uint64_t lease);
	/* Rows that an item stands for, on the heap. */
	enum jj_status (*to_rows)(void *ctx, const struct reg_item *item,
				  struct tbl_row **rows, uint32_t *count,
				  const struct log_sink *log);
	const char *member_prefix; /* prefix of the fleet's own entries */
	const char *item_prefix; /* prefix of the operators' items */
	void *ctx;
};

struct reg_desc {
	struct reg_store store;
	uint32_t lease_ms;
	uint32_t watch_ms;
	const struct log_sink *log;
};

/* Entries are read before one's own is written, and after: of two processes
 * that start together, one sees the other. */
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
	enum reg_step step; /* in becoming a member */
	uint64_t as_of; /* operators' items are known up to it, 0: not yet */
	uint64_t watch_from; /* ms: watchers are chosen from then on */
	int watching;
	int stale_read_due; /* a list that may be old */
	uint32_t delay_ms;
	uint32_t failures; /* in a row */
};

void reg_items_free(struct reg_items *items);
/* Room for one more item, zeroed; null: no memory. */
struct reg_item *reg_items_add(struct reg_items *items);

void reg_init(struct reg *reg, const struct reg_desc *desc);

enum jj_status reg_start(struct reg *reg, struct nod *nod,
			 struct jj_error *err);
/*
 * Ends the thread. leave: takes the entry back; else it lapses with its lease,
 * and processes that start meanwhile know that somebody is absent.
 */
void reg_finish(struct reg *reg, int leave);

#endif
