/*
 * Openings that wait for room at a target.
 *
 * They handle load that exceeds the capacity of all targets for some seconds,
 * for example after everything was restarted. Slots become free every few
 * milliseconds, so a short wait serves a caller in time, whereas a reset would
 * make it use up its retries within milliseconds. The newest opening is served
 * first: under lasting overload the oldest is already late when its turn comes,
 * and serving it makes the next one late, too. An opening that has waited for
 * its share of the target latency is refused at once.
 */
#include "flow_internal.h"

#include <string.h>

int flw_has_terms(const struct flw_work *work)
{
	struct viw_terms terms =
		viw_terms(work->call->view, work->head.service_ip,
			  work->head.service_port);

	return terms.priority && terms.target_latency_ms && terms.deadline_ms;
}

static uint64_t max_wait_us(const struct flw_work *work)
{
	uint32_t target_latency_ms =
		viw_terms(work->call->view, work->head.service_ip,
			  work->head.service_port)
			.target_latency_ms;

	return target_latency_ms ?
		       target_latency_ms * 1000ull / FLW_WAIT_DIVISOR :
		       FLW_WAIT_DEFAULT_US;
}

/* Whether some target of the service may have room soon. */
static int capacity_expected(const struct flw_work *work)
{
	const struct viw *view = work->call->view;
	uint32_t i;

	for (i = 0; i < work->service->count; i++) {
		const struct viw_agent *agent =
			&view->agents[work->service->first + i];

		if (!agent->out && !agent->draining && agent->weight &&
		    agent->phase < JJ__PHASE__PHASE_DRAINING)
			return 1;
	}
	return 0;
}

int flw_may_wait(const struct flw_work *work)
{
	return !work->head.repeat && capacity_expected(work);
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
			.age_ms = (uint32_t)(flw_attempt_age_us(work) / 1000),
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

uint64_t flw_wait_limit_us(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	int has_space = 0;
	int i;

	pthread_mutex_lock(&flw->pending_lock);
	for (i = 0; i < FLW_PENDING_MAX && !has_space; i++)
		has_space = !flw->pending[i].queued_at;
	pthread_mutex_unlock(&flw->pending_lock);
	return has_space ? max_wait_us(work) : 0;
}

void flw_watch_placement(const struct flw_work *work, uint64_t chosen)
{
	/* If the queue is full, the caller's next copy triggers the retry. */
	(void)store_opening(work, chosen, FLW_PLACEMENT_TIMEOUT_US);
}

/*
 * Removes the newest opening, or one whose deadline has passed. Returns 0 if
 * none waits for room.
 */
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

/* Returns 0 if other threads have filled the queue in the meantime. */
static int requeue(struct flw *flw, const struct flw_pending *entry)
{
	int found = 0;
	int i;

	pthread_mutex_lock(&flw->pending_lock);
	for (i = 0; i < FLW_PENDING_MAX && !found; i++) {
		if (flw->pending[i].queued_at)
			continue;
		flw->pending[i] = *entry;
		flw->pending_count++;
		found = 1;
	}
	pthread_mutex_unlock(&flw->pending_lock);
	return found;
}

/* Threads read the clock before they take a lock: to may be before from. */
static uint32_t elapsed_ms(uint64_t from, uint64_t to)
{
	return to > from ? (uint32_t)((to - from) / 1000) : 0;
}

/*
 * Rebuilds the context of a stored opening. Returns 0 if it can no longer be
 * handled.
 */
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
	packet->age_ms =
		entry->age_ms + elapsed_ms(entry->queued_at, call->now);
	return 1;
}

/*
 * Returns 1 if the opening was placed or refused, 0 if it has to wait longer.
 * A refusal is sent if the wait has ended or last is set.
 */
static int try_pending(const struct flw_call *call, struct flw_pending *entry,
		       int last)
{
	Jj__Packet packet;
	struct flw_work work;
	int served;

	if (!restore_pending(call, entry, &work, &packet))
		return 1;
	pthread_mutex_lock(&work.shard->lock);
	served = flw_try_place(&work);
	if (!served && (last || call->now >= entry->deadline)) {
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
		if (try_pending(call, &entry, 0))
			continue;
		if (!requeue(flw, &entry))
			(void)try_pending(call, &entry, 1);
		return;
	}
}

/* -- openings placed at other agents ------------------------------------- */

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
 * The chosen agent, and any agent that it forwarded the opening to, sent no
 * notification of an answer. Either it is dead, and would look idle until its
 * load reports expire; or the answer was lost, so the opening that is sent now
 * counts as a copy.
 */
static void retry_unanswered(const struct flw_call *call,
			     struct flw_pending *entry)
{
	const struct flw_location *location;
	Jj__Packet packet;
	struct flw_work work;

	if (!restore_pending(call, entry, &work, &packet))
		return;
	pthread_mutex_lock(&work.shard->lock);
	location = flw_find_location(work.shard, entry->key);
	/* The opening may have been forwarded back, and wait or be open here. */
	if (location && location->holder == entry->chosen_agent &&
	    !location->target_isn_known && !location->refused &&
	    !location->waiting && !flw_find_flow(work.shard, entry->key) &&
	    !flw_is_waiting(call->flw, entry->key)) {
		log_put(call->flw->desc.log, EV_PEER_REPORT_MISSING,
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
