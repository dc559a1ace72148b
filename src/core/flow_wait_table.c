/*
 * Table of the openings that wait by the terms of their routes.
 *
 * An entry that another one displaces may belong to any shard; it is kept in
 * flw.evicted until it can be refused with no other shard locked.
 */
#include "flow_internal.h"

#include <stdlib.h>

enum jj_status flw_init_waiting(struct flw *flw)
{
	uint32_t capacity = flw->desc.wait_queue;
	uint32_t cells = map_cells_for(capacity + 1);

	if (!capacity)
		return JJ_OK;
	flw->wait_cells = calloc(capacity, sizeof(*flw->wait_cells));
	flw->wait_order = calloc(capacity, sizeof(*flw->wait_order));
	flw->waiting = calloc(capacity, sizeof(*flw->waiting));
	flw->waiting_cells = calloc(cells, sizeof(*flw->waiting_cells));
	if (!flw->wait_cells || !flw->wait_order || !flw->waiting ||
	    !flw->waiting_cells)
		return JJ_SYSTEM;
	map_init(&flw->waiting_index, flw->waiting_cells, cells);
	wtq_init(&flw->wait_queue, flw->wait_cells, flw->wait_order, capacity);
	return JJ_OK;
}

void flw_finish_waiting(struct flw *flw)
{
	wtq_finish(&flw->wait_queue);
	free(flw->wait_cells);
	free(flw->wait_order);
	free(flw->waiting);
	free(flw->waiting_cells);
}

/* Pending lock held. */
static void remove_entry(struct flw *flw, uint32_t handle)
{
	wtq_remove(&flw->wait_queue, handle);
	map_del(&flw->waiting_index, flw->waiting[handle].key);
	flw->waiting_count--;
}

int flw_take_waiting(struct flw *flw, uint64_t key, struct flw_waiting *out)
{
	uint32_t handle;

	pthread_mutex_lock(&flw->pending_lock);
	handle = map_get(&flw->waiting_index, key);
	if (handle != MAP_NONE) {
		*out = flw->waiting[handle];
		remove_entry(flw, handle);
	}
	pthread_mutex_unlock(&flw->pending_lock);
	return handle != MAP_NONE;
}

/*
 * Pending lock held. Whether an entry may be added: no entry is displaced if
 * there is nowhere to keep it.
 */
static int may_add(const struct flw *flw)
{
	return flw->wait_queue.count < flw->wait_queue.capacity ||
	       flw->evicted_count < FLW_EVICTED_MAX;
}

/* put: wtq_add() or wtq_put_back() */
static struct wtq_added
store_entry(struct flw *flw, const struct flw_waiting *entry,
	    const struct wtq_room *room, uint64_t now,
	    struct wtq_added (*put)(struct wtq *queue,
				    const struct wtq_request *request,
				    const struct wtq_room *room, uint64_t now))
{
	struct wtq_added added = { .verdict = WTQ_FULL,
				   .handle = WTQ_NONE,
				   .displaced = WTQ_NONE };

	pthread_mutex_lock(&flw->pending_lock);
	if (may_add(flw))
		added = put(&flw->wait_queue, &entry->request, room, now);
	if (added.displaced != WTQ_NONE) {
		const struct flw_waiting *old = &flw->waiting[added.displaced];

		flw->evicted[flw->evicted_count++] = *old;
		map_del(&flw->waiting_index, old->key);
		flw->waiting_count--;
	}
	if (added.handle != WTQ_NONE) {
		flw->waiting[added.handle] = *entry;
		(void)map_put(&flw->waiting_index, entry->key, added.handle);
		flw->waiting_count++;
	}
	pthread_mutex_unlock(&flw->pending_lock);
	return added;
}

struct wtq_added flw_add_waiting(struct flw *flw,
				 const struct flw_waiting *entry,
				 const struct wtq_room *room, uint64_t now)
{
	return store_entry(flw, entry, room, now, wtq_add);
}

struct wtq_added flw_put_back_waiting(struct flw *flw,
				      const struct flw_waiting *entry,
				      const struct wtq_room *room, uint64_t now)
{
	return store_entry(flw, entry, room, now, wtq_put_back);
}

struct wtq_added flw_assess_waiting(struct flw *flw,
				    const struct wtq_request *request,
				    const struct wtq_room *room, uint64_t now)
{
	struct wtq_added added = { .verdict = WTQ_FULL,
				   .handle = WTQ_NONE,
				   .displaced = WTQ_NONE };

	pthread_mutex_lock(&flw->pending_lock);
	if (may_add(flw))
		added = wtq_assess(&flw->wait_queue, request, room, now);
	pthread_mutex_unlock(&flw->pending_lock);
	return added;
}

int flw_is_waiting(struct flw *flw, uint64_t key)
{
	uint32_t handle;

	if (!flw->waiting_count)
		return 0;
	pthread_mutex_lock(&flw->pending_lock);
	handle = map_get(&flw->waiting_index, key);
	pthread_mutex_unlock(&flw->pending_lock);
	return handle != MAP_NONE;
}
