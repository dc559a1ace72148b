/*
 * ledger - outcomes of unsafe requests, for deduplication
 *
 * A request is entered before it is sent to the target. Its entry is kept for
 * longer than a retransmission can arrive (RFC 7252, EXCHANGE_LIFETIME, plus
 * the longest deadline). A duplicate is answered from the entry. Entries are
 * never dropped early: a full ledger accepts no new request. Not thread safe;
 * each shard of the agent has its own. Times are milliseconds of a monotonic
 * clock.
 */
#ifndef JUJUBE_LEDGER_H
#define JUJUBE_LEDGER_H

#include "jujube/map.h"
#include "jujube/status.h"

#define LDG_RETENTION_MS \
	370000 /* 247 s exchange lifetime and 120 s of deadline */
#define LDG_ANSWER_MAX 1400 /* bytes */

enum ldg_state {
	LDG_PENDING = 1, /* queued, or sent to the target */
	LDG_ANSWERED, /* the target's answer is stored */
	LDG_REFUSED, /* answered "not run"; must never run */
	LDG_UNKNOWN, /* sent without an answer: outcome unknown */
};

struct ldg_entry {
	uint64_t id;
	uint64_t flow; /* key of its flow */
	uint64_t created;
	uint64_t answer_pos; /* position in the answer ring */
	uint16_t answer_len;
	uint8_t state;
};

struct ldg {
	struct ldg_entry *entries; /* ring buffer, oldest at tail */
	uint32_t capacity;
	uint64_t head;
	uint64_t tail;
	struct map index; /* id -> position in entries */
	struct map_cell *cells;
	uint8_t *answers; /* ring buffer of encoded answers */
	uint64_t answer_capacity;
	uint64_t answer_head;
	uint64_t answer_tail; /* bytes before this position are free */
	uint32_t pending;
};

/* JJ_SYSTEM: out of memory. */
enum jj_status ldg_init(struct ldg *ldg, uint32_t entries,
			uint64_t answer_bytes);
void ldg_finish(struct ldg *ldg);

/* Null if the request was never entered or its entry has expired. */
struct ldg_entry *ldg_find(struct ldg *ldg, uint64_t id);

/* Adds a pending request, valid until it expires. Null: ledger is full. */
struct ldg_entry *ldg_add(struct ldg *ldg, uint64_t id, uint64_t flow,
			  uint64_t now);

/*
 * Sets the outcome of a pending or unknown request and stores its answer. data
 * may be null except for LDG_ANSWERED.
 */
void ldg_set_outcome(struct ldg *ldg, struct ldg_entry *entry,
		     enum ldg_state state, const uint8_t *data, size_t len);

/* Copies the stored answer to buf; returns its length, 0: none. */
size_t ldg_copy_answer(const struct ldg *ldg, const struct ldg_entry *entry,
		       uint8_t *buf, size_t size);

/* Removes entries older than LDG_RETENTION_MS. */
void ldg_expire(struct ldg *ldg, uint64_t now);

#endif
