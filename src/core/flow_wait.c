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

static uint64_t longest_wait(const struct flw_work *work)
{
	uint32_t target_latency_ms =
		viw_target_latency_ms(work->call->view, work->head.service_ip,
				      work->head.service_port);

	return target_latency_ms ?
		       target_latency_ms * 1000ull / FLW_WAIT_SHARE :
		       FLW_WAIT_DEFAULT_US;
}

static int keep(const struct flw_work *work, uint64_t chosen, uint64_t wait_us)
{
	struct flw *flw = work->call->flw;
	const Jj__Packet *packet = work->packet;
	struct flw_waiting *use = NULL;
	int i;

	if (packet->data.len > FLW_OPENING_MAX)
		return 0;
	pthread_mutex_lock(&flw->wait_lock);
	for (i = 0; i < FLW_WAITING && !use; i++)
		if (!flw->waiting[i].since)
			use = &flw->waiting[i];
	if (use) {
		*use = (struct flw_waiting){
			.since = work->call->now,
			.until = work->call->now + wait_us,
			.key = packet->flow,
			.chosen = chosen,
			.origin = packet->origin,
			.via_id = packet->via_id,
			.via_ip = packet->via_ip,
			.via_port = (uint16_t)packet->via_port,
			.doubt = (uint8_t)packet->doubt,
			.opening_len = (uint8_t)packet->data.len,
		};
		memcpy(use->opening, packet->data.data, packet->data.len);
		flw->waiting_count += !chosen;
	}
	pthread_mutex_unlock(&flw->wait_lock);
	return use != NULL;
}

int flw_wait(const struct flw_work *work)
{
	return keep(work, 0, longest_wait(work));
}

void flw_keep_chosen(const struct flw_work *work, uint64_t chosen)
{
	/* Without room the caller's next copy has to do. */
	(void)keep(work, chosen, FLW_CHOSEN_US);
}

/* Takes the newest out, or one whose time is over; 0: nobody waits. */
static int take_next(struct flw *flw, uint64_t now, struct flw_waiting *out)
{
	struct flw_waiting *next = NULL;
	int i;

	pthread_mutex_lock(&flw->wait_lock);
	for (i = 0; i < FLW_WAITING; i++) {
		struct flw_waiting *waiting = &flw->waiting[i];

		if (!waiting->since || waiting->chosen)
			continue;
		if (!next || waiting->since > next->since)
			next = waiting;
		if (now >= waiting->until) {
			next = waiting;
			break;
		}
	}
	if (next) {
		*out = *next;
		next->since = 0;
		flw->waiting_count--;
	}
	pthread_mutex_unlock(&flw->wait_lock);
	return next != NULL;
}

static void put_back(struct flw *flw, const struct flw_waiting *waiting)
{
	int i;

	pthread_mutex_lock(&flw->wait_lock);
	for (i = 0; i < FLW_WAITING; i++) {
		if (flw->waiting[i].since)
			continue;
		flw->waiting[i] = *waiting;
		flw->waiting_count++;
		break;
	}
	pthread_mutex_unlock(&flw->wait_lock);
}

/* The surroundings of a kept opening; 0: nothing can be done with it. */
static int resume(const struct flw_call *call, struct flw_waiting *waiting,
		  struct flw_work *work, Jj__Packet *packet)
{
	if (!flw_resume(call, work, packet, waiting->key, waiting->opening,
			waiting->opening_len))
		return 0;
	packet->origin = waiting->origin;
	packet->via_id = waiting->via_id;
	packet->via_ip = waiting->via_ip;
	packet->via_port = waiting->via_port;
	packet->doubt = waiting->doubt;
	return 1;
}

/* 1: it was placed or refused; 0: it has to wait on. */
static int serve_one(const struct flw_call *call, struct flw_waiting *waiting)
{
	Jj__Packet packet;
	struct flw_work work;
	int served;

	if (!resume(call, waiting, &work, &packet))
		return 1;
	pthread_mutex_lock(&work.shard->lock);
	served = flw_try_place(&work);
	if (!served && call->now >= waiting->until) {
		const char *why = flw_cannot_open(call->flw, work.service,
						  work.me, call->now);

		flw_refuse(&work, why ? why : "no room in time");
		served = 1;
	}
	pthread_mutex_unlock(&work.shard->lock);
	return served;
}

void flw_serve_waiting(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	struct flw_waiting waiting;

	while (flw->waiting_count && take_next(flw, call->now, &waiting)) {
		if (serve_one(call, &waiting))
			continue;
		put_back(flw, &waiting);
		return;
	}
}

/* -- openings given to another agent ------------------------------------- */

static int take_due(struct flw *flw, uint64_t now, struct flw_waiting *out)
{
	int found = 0;
	int i;

	pthread_mutex_lock(&flw->wait_lock);
	for (i = 0; i < FLW_WAITING && !found; i++) {
		struct flw_waiting *waiting = &flw->waiting[i];

		if (!waiting->since || !waiting->chosen || now < waiting->until)
			continue;
		*out = *waiting;
		waiting->since = 0;
		found = 1;
	}
	pthread_mutex_unlock(&flw->wait_lock);
	return found;
}

/*
 * Neither the chosen agent nor one that it passed the opening on to has told
 * of an answer. It may be dead, and would look idle until its reports are
 * old; or the answer was lost, so that the opening counts as a copy from here.
 */
static void check_one(const struct flw_call *call, struct flw_waiting *waiting)
{
	const struct flw_exception *e;
	Jj__Packet packet;
	struct flw_work work;

	if (!resume(call, waiting, &work, &packet))
		return;
	pthread_mutex_lock(&work.shard->lock);
	e = flw_exception(work.shard, waiting->key);
	/* It may have come back, and be open here. */
	if (e && e->holder == waiting->chosen && !e->first_known &&
	    !e->refused && !flw_find(work.shard, waiting->key)) {
		log_put(call->flw->desc.log, EV_PEER_REPORT_MISSING,
			"flow=%08x:%u>%08x:%u agent=%016llx",
			work.head.caller_ip, work.head.caller_port,
			work.head.service_ip, work.head.service_port,
			(unsigned long long)waiting->chosen);
		flw_avoid_peer(call->flw, waiting->chosen);
		packet.tried = &waiting->chosen;
		packet.n_tried = 1;
		packet.doubt = 1;
		if (!work.head.repeat)
			work.head.repeat = 1;
		flw_try_place(&work);
	}
	pthread_mutex_unlock(&work.shard->lock);
}

void flw_check_chosen(const struct flw_call *call)
{
	struct flw_waiting waiting;

	while (take_due(call->flw, call->now, &waiting))
		check_one(call, &waiting);
}
