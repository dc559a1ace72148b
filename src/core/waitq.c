#include "jujube/waitq.h"

#include <assert.h>
#include <stddef.h>

void wtq_init(struct wtq *queue, struct wtq_cell *cells, uint32_t *order,
	      uint32_t capacity)
{
	uint32_t i;

	assert(capacity <= WTQ_CAPACITY_MAX);
	*queue = (struct wtq){ .cells = cells,
			       .order = order,
			       .capacity = capacity };
	for (i = 0; i < capacity; i++)
		order[i] = i;
}

void wtq_finish(struct wtq *queue)
{
	*queue = (struct wtq){ 0 };
}

/* -- order --------------------------------------------------------------- */

/* Whether a request served after wait_us is answered too late to be in time. */
static int is_late(const struct wtq_request *request,
		   const struct wtq_room *room, uint64_t wait_us, uint64_t now)
{
	uint64_t reserve_us =
		(uint64_t)room->typical_us * WTQ_RESERVE_PERCENT / 100;

	return now + wait_us + reserve_us >
	       request->began_at + request->target_latency_us;
}

static int is_served_before(const struct wtq_request *a, int a_late,
			    const struct wtq_request *b, int b_late)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a_late != b_late)
		return b_late;
	return a_late ? a->expires_at < b->expires_at :
			a->began_at > b->began_at;
}

static const struct wtq_request *request_at(const struct wtq *queue,
					    uint32_t position)
{
	return &queue->cells[queue->order[position]].request;
}

static uint32_t first_in_order(const struct wtq *queue,
			       const struct wtq_room *room, uint32_t below,
			       uint64_t now)
{
	const struct wtq_request *first = NULL;
	uint32_t handle = WTQ_NONE;
	int first_late = 0;
	uint32_t i;

	for (i = 0; i < queue->count; i++) {
		const struct wtq_request *request = request_at(queue, i);
		int late = is_late(request, room, 0, now);

		if ((below && request->priority >= below) ||
		    (first &&
		     !is_served_before(request, late, first, first_late)))
			continue;
		first = request;
		first_late = late;
		handle = queue->order[i];
	}
	return handle;
}

static uint32_t last_in_order(const struct wtq *queue,
			      const struct wtq_room *room, uint64_t now)
{
	const struct wtq_request *last = NULL;
	uint32_t handle = WTQ_NONE;
	int last_late = 0;
	uint32_t i;

	for (i = 0; i < queue->count; i++) {
		const struct wtq_request *request = request_at(queue, i);
		int late = is_late(request, room, 0, now);

		if (last && !is_served_before(last, last_late, request, late))
			continue;
		last = request;
		last_late = late;
		handle = queue->order[i];
	}
	return handle;
}

/*
 * The entry that expires first among those with a priority number above the
 * given one and, unless that is 0, smaller than below.
 */
static uint32_t first_expiry(const struct wtq *queue, uint32_t above,
			     uint32_t below)
{
	uint32_t handle = WTQ_NONE;
	uint64_t expires_at = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < queue->count; i++) {
		const struct wtq_request *request = request_at(queue, i);

		if (request->priority <= above ||
		    (below && request->priority >= below) ||
		    request->expires_at >= expires_at)
			continue;
		expires_at = request->expires_at;
		handle = queue->order[i];
	}
	return handle;
}

uint32_t wtq_next(const struct wtq *queue, const struct wtq_room *room,
		  uint32_t below, uint64_t now)
{
	uint32_t first = first_in_order(queue, room, below, now);
	uint32_t lower = WTQ_NONE;

	if (first != WTQ_NONE && queue->served % WTQ_TURN == WTQ_TURN - 1)
		lower = first_expiry(
			queue, queue->cells[first].request.priority, below);
	return lower != WTQ_NONE ? lower : first;
}

uint32_t wtq_expired(const struct wtq *queue, uint64_t now)
{
	uint32_t handle = first_expiry(queue, 0, 0);

	return handle != WTQ_NONE &&
			       queue->cells[handle].request.expires_at <= now ?
		       handle :
		       WTQ_NONE;
}

/* -- adding and removing ------------------------------------------------- */

static uint64_t wait_us(const struct wtq *queue,
			const struct wtq_request *request, int late,
			const struct wtq_room *room, uint64_t now)
{
	uint64_t ahead = 0;
	uint32_t i;

	for (i = 0; i < queue->count; i++) {
		const struct wtq_request *other = request_at(queue, i);

		ahead += (uint64_t)is_served_before(
			other, is_late(other, room, 0, now), request, late);
	}
	return ahead * room->typical_us / (room->slots ? room->slots : 1);
}

uint64_t wtq_estimate_us(const struct wtq *queue,
			 const struct wtq_request *request,
			 const struct wtq_room *room, uint64_t now)
{
	uint64_t us = wait_us(queue, request, 0, room, now);

	return is_late(request, room, us, now) ?
		       wait_us(queue, request, 1, room, now) :
		       us;
}

/*
 * If the queue is full, a request with the verdict given in added displaces the
 * entry of the lowest rank unless that is the request itself.
 */
static struct wtq_added find_displaced(const struct wtq *queue,
				       const struct wtq_request *request,
				       const struct wtq_room *room,
				       uint64_t now, struct wtq_added added)
{
	uint32_t last;

	if (queue->count < queue->capacity)
		return added;
	last = last_in_order(queue, room, now);
	if (last == WTQ_NONE ||
	    !is_served_before(
		    request, added.verdict == WTQ_WAITS_LATE,
		    &queue->cells[last].request,
		    is_late(&queue->cells[last].request, room, 0, now)))
		added.verdict = WTQ_FULL;
	else
		added.displaced = last;
	return added;
}

/* Adds a request unless it is refused. */
static struct wtq_added insert(struct wtq *queue,
			       const struct wtq_request *request,
			       struct wtq_added added)
{
	struct wtq_cell *cell;

	if (added.verdict == WTQ_HOPELESS || added.verdict == WTQ_FULL)
		return added;
	if (added.displaced != WTQ_NONE)
		wtq_remove(queue, added.displaced);
	added.handle = queue->order[queue->count];
	cell = &queue->cells[added.handle];
	cell->request = *request;
	cell->position = queue->count++;
	return added;
}

struct wtq_added wtq_assess(const struct wtq *queue,
			    const struct wtq_request *request,
			    const struct wtq_room *room, uint64_t now)
{
	struct wtq_added added = { .handle = WTQ_NONE, .displaced = WTQ_NONE };

	added.estimate_us = wtq_estimate_us(queue, request, room, now);
	added.verdict = is_late(request, room, added.estimate_us, now) ?
				WTQ_WAITS_LATE :
				WTQ_WAITS;
	if (now + added.estimate_us + room->typical_us >
	    request->began_at + request->deadline_us) {
		added.verdict = WTQ_HOPELESS;
		return added;
	}
	return find_displaced(queue, request, room, now, added);
}

struct wtq_added wtq_add(struct wtq *queue, const struct wtq_request *request,
			 const struct wtq_room *room, uint64_t now)
{
	return insert(queue, request, wtq_assess(queue, request, room, now));
}

struct wtq_added wtq_put_back(struct wtq *queue,
			      const struct wtq_request *request,
			      const struct wtq_room *room, uint64_t now)
{
	struct wtq_added added = { .handle = WTQ_NONE, .displaced = WTQ_NONE };

	added.verdict =
		is_late(request, room, 0, now) ? WTQ_WAITS_LATE : WTQ_WAITS;
	return insert(queue, request,
		      find_displaced(queue, request, room, now, added));
}

void wtq_remove(struct wtq *queue, uint32_t handle)
{
	uint32_t position = queue->cells[handle].position;
	uint32_t moved = queue->order[--queue->count];

	queue->order[position] = moved;
	queue->cells[moved].position = position;
	queue->order[queue->count] = handle;
}

void wtq_note_served(struct wtq *queue)
{
	queue->served++;
}
