/*
 * ledger - what became of every unsafe request
 *
 * A request is entered before it is passed to the target, and its entry
 * stays for longer than a copy of it can be under way (RFC 7252,
 * EXCHANGE_LIFETIME, plus the longest deadline). A duplicate finds the entry
 * and gets what is stored there. Entries are never dropped early: a full
 * ledger takes no new request. Not thread safe; one a shard of the agent.
 */
#ifndef JUJUBE_LEDGER_H
#define JUJUBE_LEDGER_H

#include "jujube/map.h"
#include "jujube/status.h"

#define LDG_RETENTION_MS \
	370000 /* 247 s exchange lifetime and 120 s of deadline */
#define LDG_ANSWER_MAX 1400 /* bytes */

enum ldg_state {
	LDG_PENDING = 1, /* queued, or passed to the target */
	LDG_ANSWERED, /* the target's answer is stored */
	LDG_REFUSED, /* said "not run"; must never run */
	LDG_UNKNOWN, /* passed on, no answer: outcome unknown */
};

struct ldg_entry {
	uint64_t id;
	uint64_t flow; /* key of the flow it came on */
	uint64_t created;
	uint64_t answer_pos; /* position in the ring of answers */
	uint16_t answer_len;
	uint8_t state;
};

struct ldg {
	struct ldg_entry *entries; /* a ring, oldest at tail */
	uint32_t capacity;
	uint64_t head;
	uint64_t tail;
	struct map index; /* id -> position in entries */
	struct map_cell *cells;
	uint8_t *answers; /* a ring of bytes */
	uint64_t answer_capacity;
	uint64_t answer_head;
	uint64_t answer_tail; /* everything before may be overwritten */
	uint32_t pending;
};

/* JJ_SYSTEM: out of memory. */
enum jj_status ldg_init(struct ldg *ldg, uint32_t entries,
			uint64_t answer_bytes);
void ldg_finish(struct ldg *ldg);

/* Null when the request was never seen, or long ago. */
struct ldg_entry *ldg_find(struct ldg *ldg, uint64_t id);

/* Enters a new request as pending; null: full. Valid until it expires. */
struct ldg_entry *ldg_add(struct ldg *ldg, uint64_t id, uint64_t flow,
			  uint64_t now);

/* Settles a pending or unknown request. data may be null except for answers. */
void ldg_set_outcome(struct ldg *ldg, struct ldg_entry *entry,
		     enum ldg_state state, const uint8_t *data, size_t len);

/* Copies the stored answer out; returns bytes. */
size_t ldg_copy_answer(const struct ldg *ldg, const struct ldg_entry *entry,
		       uint8_t *buf, size_t size);

/* Drops entries whose time is over. */
void ldg_expire(struct ldg *ldg, uint64_t now);

#endif
