#include "jujube/ledger.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum jj_status ldg_init(struct ldg *ldg, uint32_t entries,
			uint64_t answer_bytes)
{
	uint32_t cells = map_cells_for(entries);

	memset(ldg, 0, sizeof(*ldg));
	ldg->capacity = entries;
	ldg->answer_capacity = answer_bytes;
	ldg->entries = calloc(entries, sizeof(*ldg->entries));
	ldg->cells = calloc(cells, sizeof(*ldg->cells));
	ldg->answers = calloc(1, answer_bytes);
	if (!ldg->entries || !ldg->cells || !ldg->answers) {
		ldg_finish(ldg);
		return JJ_SYSTEM;
	}
	map_init(&ldg->index, ldg->cells, cells);
	return JJ_OK;
}

void ldg_finish(struct ldg *ldg)
{
	free(ldg->entries);
	free(ldg->cells);
	free(ldg->answers);
	ldg->entries = NULL;
	ldg->cells = NULL;
	ldg->answers = NULL;
}

struct ldg_entry *ldg_find(struct ldg *ldg, uint64_t id)
{
	uint32_t at = map_get(&ldg->index, id);

	return at == MAP_NONE ? NULL : &ldg->entries[at];
}

static struct ldg_entry *oldest(struct ldg *ldg)
{
	return &ldg->entries[ldg->tail % ldg->capacity];
}

void ldg_expire(struct ldg *ldg, uint64_t now)
{
	while (ldg->tail < ldg->head) {
		struct ldg_entry *entry = oldest(ldg);

		if (now < entry->created + LDG_RETENTION_MS ||
		    entry->state == LDG_PENDING)
			break;
		map_del(&ldg->index, entry->id);
		ldg->tail++;
	}
	if (ldg->tail == ldg->head)
		ldg->answer_tail = ldg->answer_head;
}

/*
 * Frees the answer ring up to the lowest position that an entry uses. Answers
 * are stored in order of arrival, entries in order of creation, so finding it
 * takes a scan of all entries; it is done only when the ring seems full.
 */
static void reclaim_answers(struct ldg *ldg)
{
	uint64_t oldest_used = ldg->answer_head;
	uint64_t i;

	for (i = ldg->tail; i < ldg->head; i++) {
		const struct ldg_entry *entry =
			&ldg->entries[i % ldg->capacity];

		if (entry->answer_len && entry->answer_pos < oldest_used)
			oldest_used = entry->answer_pos;
	}
	ldg->answer_tail = oldest_used;
}

/* Whether there is space for the answers of all pending requests plus one. */
static int has_answer_space(const struct ldg *ldg)
{
	uint64_t used = ldg->answer_head - ldg->answer_tail;
	uint64_t need = (uint64_t)(ldg->pending + 1) * LDG_ANSWER_MAX;

	return used + need <= ldg->answer_capacity;
}

struct ldg_entry *ldg_add(struct ldg *ldg, uint64_t id, uint64_t flow,
			  uint64_t now)
{
	struct ldg_entry *entry;

	assert(!ldg_find(ldg, id));
	ldg_expire(ldg, now);
	if (ldg->head - ldg->tail == ldg->capacity)
		return NULL;
	if (!has_answer_space(ldg)) {
		reclaim_answers(ldg);
		if (!has_answer_space(ldg))
			return NULL;
	}
	if (map_put(&ldg->index, id, (uint32_t)(ldg->head % ldg->capacity)) !=
	    JJ_OK)
		return NULL;
	entry = &ldg->entries[ldg->head++ % ldg->capacity];
	*entry = (struct ldg_entry){
		.id = id, .flow = flow, .created = now, .state = LDG_PENDING
	};
	ldg->pending++;
	return entry;
}

static void append_answer(struct ldg *ldg, const uint8_t *data, size_t len)
{
	size_t at = ldg->answer_head % ldg->answer_capacity;
	size_t until_wrap = ldg->answer_capacity - at;
	size_t first = len < until_wrap ? len : until_wrap;

	memcpy(ldg->answers + at, data, first);
	memcpy(ldg->answers, data + first, len - first);
	ldg->answer_head += len;
}

void ldg_set_outcome(struct ldg *ldg, struct ldg_entry *entry,
		     enum ldg_state state, const uint8_t *data, size_t len)
{
	uint64_t used = ldg->answer_head - ldg->answer_tail;

	if (entry->state == LDG_PENDING)
		ldg->pending--;
	entry->state = (uint8_t)state;
	if (!data || len > LDG_ANSWER_MAX || used + len > ldg->answer_capacity)
		return;
	entry->answer_pos = ldg->answer_head;
	entry->answer_len = (uint16_t)len;
	append_answer(ldg, data, len);
}

size_t ldg_copy_answer(const struct ldg *ldg, const struct ldg_entry *entry,
		       uint8_t *buf, size_t size)
{
	size_t at = entry->answer_pos % ldg->answer_capacity;
	size_t until_wrap = ldg->answer_capacity - at;
	size_t len = entry->answer_len;
	size_t first = len < until_wrap ? len : until_wrap;

	if (len > size)
		return 0;
	memcpy(buf, ldg->answers + at, first);
	memcpy(buf + first, ldg->answers, len - first);
	return len;
}
