/*
 * Openings that wait for room.
 *
 * Answers a load above what all targets bear for some seconds, as after
 * everything was started again: slots come free every few milliseconds, so
 * that a short wait serves a caller in time, where a reset would make it spend
 * its retries within milliseconds. The newest goes first: under lasting
 * overload the oldest is late before it is served, and serving it makes the
 * next late, too. Whoever has waited for its share of the expected time is
 * refused at once.
 */
#include "flow_internal.h"

#include <string.h>

static uint64_t max_wait_us(const struct flw_work *work)
{
	uint32_t target_latency_ms =
		viw_target_latency_ms(work->call->view, work->head.service_ip,
				      work->head.service_port);

	return target_latency_ms ?
		       target_latency_ms * 1000ull / FLW_WAIT_DIVISOR :
		       FLW_WAIT_DEFAULT_US;
}

static int store_opening(const struct flw_work *work, uint64_t chosen,
			 uint64_t wait_us)
{
	struct flw *flw = work->call->flw;
	const Jj__Packet *packet = work->packet;
	struct flw_pending *use = NULL;
	int i;

	if (packet->data.len > FLW_OPENING_BYTES)
		return 0;
	pthread_mutex_lock(&flw->pending_lock);
	for (i = 0; i < FLW_PENDING_MAX && !use; i++)
		if (!flw->pending[i].queued_at)
			use = &flw->pending[i];
	if (use) {
		*use = (struct flw_pending){
			.queued_at = work->call->now,
			.deadline = work->call->now + wait_us,
			.key = packet->flow,
			.chosen_agent = chosen,
			.origin = packet->origin,
			.via_id = packet->via_id,
			.via_ip = packet->via_ip,
			.via_port = (uint16_t)packet->via_port,
			.copy_possible = (uint8_t)packet->doubt,
			.opening_len = (uint8_t)packet->data.len,
		};
		memcpy(use->opening, packet->data.data, packet->data.len);
		flw->pending_count += !chosen;
	}
	pthread_mutex_unlock(&flw->pending_lock);
	return use != NULL;
}

int flw_queue_opening(const struct flw_work *work)
{
	return store_opening(work, 0, max_wait_us(work));
}

void flw_watch_placement(const struct flw_work *work, uint64_t chosen)
{
	/* Without room the caller's next copy has to do. */
	(void)store_opening(work, chosen, FLW_PLACEMENT_TIMEOUT_US);
}

/* Takes the newest out, or one whose time is over; 0: nobody waits. */
static int remove_newest(struct flw *flw, uint64_t now, struct flw_pending *out)
{
	struct flw_pending *next = NULL;
	int i;

	pthread_mutex_lock(&flw->pending_lock);
	for (i = 0; i < FLW_PENDING_MAX; i++) {
		struct flw_pending *entry = &flw->pending[i];

		if (!entry->queued_at || entry->chosen_agent)
			continue;
		if (!next || entry->queued_at > next->queued_at)
			next = entry;
		if (now >= entry->deadline) {
			next = entry;
			break;
		}
	}
	if (next) {
		*out = *next;
		next->queued_at = 0;
		flw->pending_count--;
	}
	pthread_mutex_unlock(&flw->pending_lock);
	return next != NULL;
}

static void requeue(struct flw *flw, const struct flw_pending *entry)
{
	int i;

	pthread_mutex_lock(&flw->pending_lock);
	for (i = 0; i < FLW_PENDING_MAX; i++) {
		if (flw->pending[i].queued_at)
			continue;
		flw->pending[i] = *entry;
		flw->pending_count++;
		break;
	}
	pthread_mutex_unlock(&flw->pending_lock);
}

/* The surroundings of a kept opening; 0: nothing can be done with it. */
static int restore_pending(const struct flw_call *call,
			   struct flw_pending *entry, struct flw_work *work,
			   Jj__Packet *packet)
{
	if (!flw_restore_work(call, work, packet, entry->key, entry->opening,
			      entry->opening_len))
		return 0;
	packet->origin = entry->origin;
	packet->via_id = entry->via_id;
	packet->via_ip = entry->via_ip;
	packet->via_port = entry->via_port;
	packet->doubt = entry->copy_possible;
	return 1;
}

/* 1: it was placed or refused; 0: it has to wait on. */
static int try_pending(const struct flw_call *call, struct flw_pending *entry)
{
	Jj__Packet packet;
	struct flw_work work;
	int served;

	if (!restore_pending(call, entry, &work, &packet))
		return 1;
	pthread_mutex_lock(&work.shard->lock);
	served = flw_try_place(&work);
	if (!served && call->now >= entry->deadline) {
		const char *why = flw_refusal_reason(call->flw, work.service,
						     work.me, call->now);

		flw_refuse(&work, why ? why : "no target had room in time");
		served = 1;
	}
	pthread_mutex_unlock(&work.shard->lock);
	return served;
}

void flw_place_pending(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	struct flw_pending entry;

	while (flw->pending_count && remove_newest(flw, call->now, &entry)) {
		if (try_pending(call, &entry))
			continue;
		requeue(flw, &entry);
		return;
	}
}

/* -- openings given to another agent ------------------------------------- */

static int remove_expired(struct flw *flw, uint64_t now,
			  struct flw_pending *out)
{
	int found = 0;
	int i;

	pthread_mutex_lock(&flw->pending_lock);
	for (i = 0; i < FLW_PENDING_MAX && !found; i++) {
		struct flw_pending *entry = &flw->pending[i];

		if (!entry->queued_at || !entry->chosen_agent ||
		    now < entry->deadline)
			continue;
		*out = *entry;
		entry->queued_at = 0;
		found = 1;
	}
	pthread_mutex_unlock(&flw->pending_lock);
	return found;
}

/*
 * Neither the chosen agent nor one that it passed the opening on to has told
 * of an answer. It may be dead, and would look idle until its reports are
 * old; or the answer was lost, so that the opening counts as a copy from here.
 */
static void retry_unanswered(const struct flw_call *call,
			     struct flw_pending *entry)
{
	const struct flw_location *e;
	Jj__Packet packet;
	struct flw_work work;

	if (!restore_pending(call, entry, &work, &packet))
		return;
	pthread_mutex_lock(&work.shard->lock);
	e = flw_location(work.shard, entry->key);
	/* It may have come back, and be open here. */
	if (e && e->holder == entry->chosen_agent && !e->target_isn_known &&
	    !e->refused && !flw_find_flow(work.shard, entry->key)) {
		log_put(call->flw->desc.log, EV_PEER_SILENT,
			"flow=%08x:%u>%08x:%u agent=%016llx",
			work.head.caller_ip, work.head.caller_port,
			work.head.service_ip, work.head.service_port,
			(unsigned long long)entry->chosen_agent);
		flw_avoid_peer(call->flw, entry->chosen_agent);
		packet.tried = &entry->chosen_agent;
		packet.n_tried = 1;
		packet.doubt = 1;
		if (!work.head.repeat)
			work.head.repeat = 1;
		flw_try_place(&work);
	}
	pthread_mutex_unlock(&work.shard->lock);
}

void flw_check_placements(const struct flw_call *call)
{
	struct flw_pending entry;

	while (remove_expired(call->flw, call->now, &entry))
		retry_unanswered(call, &entry);
}
