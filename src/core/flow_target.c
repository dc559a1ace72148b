/*
 * State and limits of the target.
 *
 * A target's heartbeat decides whether it is leaving or cold. Whether it can
 * take a flow is decided by its behaviour: one that leaves FLW_UNANSWERED_MAX
 * openings in a row unanswered gets none for FLW_SILENT_RETRY_US after each,
 * until it answers again.
 */
#include "flow_internal.h"

#include <stdio.h>
#include <string.h>

/* heartbeats missed until the target counts as gone */
#define MISSED_HEARTBEATS_MAX 3
/*
 * After a start of this agent, a heartbeat of a running target arrives within
 * this many intervals.
 */
#define STARTUP_HEARTBEATS 2
#define FIRST_HEARTBEAT_SEQ 1 /* number of a target's first heartbeat */

/* -- heartbeats ---------------------------------------------------------- */

/* Negative: heartbeat is older than held, the last one that was accepted. */
static int compare_heartbeats(const struct flw_heartbeat *heartbeat,
			      const struct flw_heartbeat *held)
{
	if (heartbeat->started_ms && held->started_ms &&
	    heartbeat->started_ms != held->started_ms)
		return heartbeat->started_ms > held->started_ms ? 1 : -1;
	if (strcmp(heartbeat->id, held->id))
		return 1;
	if (heartbeat->seq != held->seq)
		return heartbeat->seq > held->seq ? 1 : -1;
	return 0;
}

/* Whether no heartbeat has come for as long as a running target sends some. */
static int is_silent(const struct flw *flw, uint64_t now)
{
	return now > flw->target.last_at + MISSED_HEARTBEATS_MAX *
						   flw->desc.heartbeat_ms *
						   1000ull;
}

/* Whether the heartbeat is of the agent's target, by its content alone. */
static enum jj_status check_identity(const struct flw *flw,
				     const struct flw_heartbeat *heartbeat,
				     struct jj_error *err)
{
	const struct flw_desc *desc = &flw->desc;

	if (strcmp(heartbeat->service, desc->service))
		return st_fail(err, JJ_INVALID,
			       "target %s belongs to service %s, not %s",
			       heartbeat->id, heartbeat->service,
			       desc->service);
	if (heartbeat->ip != desc->target_ip ||
	    heartbeat->port != desc->target_port)
		return st_fail(err, JJ_INVALID,
			       "target %s does not have the address that this "
			       "agent serves",
			       heartbeat->id);
	return JJ_OK;
}

/*
 * Whether the heartbeat may replace the last one. Once that is silent, any
 * heartbeat of the target may: a record that another writer left would else
 * keep the target out for good. Target lock held.
 */
static enum jj_status check_order(const struct flw *flw,
				  const struct flw_heartbeat *heartbeat,
				  uint64_t now, struct jj_error *err)
{
	const struct flw_heartbeat *held = &flw->target.last;

	if (!*held->id || is_silent(flw, now))
		return JJ_OK;
	if (held->started_ms && !heartbeat->started_ms)
		return st_fail(err, JJ_INVALID,
			       "target %s gives no start, unlike target %s, "
			       "which is running",
			       heartbeat->id, held->id);
	if (compare_heartbeats(heartbeat, held) < 0)
		return st_fail(err, JJ_STALE,
			       "target %s: heartbeat %llu of start %llu is "
			       "older than the last one",
			       heartbeat->id,
			       (unsigned long long)heartbeat->seq,
			       (unsigned long long)heartbeat->started_ms);
	return JJ_OK;
}

static int is_new_start(const struct flw_heartbeat *heartbeat,
			const struct flw_heartbeat *held)
{
	return strcmp(heartbeat->id, held->id) ||
	       heartbeat->started_ms != held->started_ms;
}

/*
 * A first heartbeat alone is no proof: a former life of this agent may have
 * given the target flows before. The target must have started after this agent
 * did, that is, after an earlier start was heard here or while its address
 * refused connections.
 */
static enum flw_followed follow_new_start(const struct flw_target *target,
					  const struct flw_heartbeat *heartbeat)
{
	const struct flw_heartbeat *held = &target->last;

	if (heartbeat->seq > FIRST_HEARTBEAT_SEQ ||
	    heartbeat->started_ms < held->started_ms ||
	    !flw_start_is_plausible(heartbeat))
		return FLW_NOT_FOLLOWED;
	if (*held->id)
		return FLW_FOLLOWED;
	return target->absent ? FLW_FOLLOWED_IF_LISTENING : FLW_NOT_FOLLOWED;
}

/* Target lock held. */
static void apply_heartbeat(struct flw *flw,
			    const struct flw_heartbeat *heartbeat, uint64_t now)
{
	struct flw_target *target = &flw->target;
	int new_start = is_new_start(heartbeat, &target->last);

	flw_compare_starts(flw, heartbeat, now);
	if (new_start)
		target->followed_from_start =
			follow_new_start(target, heartbeat);
	if (new_start || heartbeat->leaving != target->last.leaving)
		log_put(flw->desc.log, EV_TARGET_REPORT,
			"target=%s born_ms=%llu seq=%llu leaving=%d "
			"cold_ms=%u slots=%u followed=%d",
			heartbeat->id,
			(unsigned long long)heartbeat->started_ms,
			(unsigned long long)heartbeat->seq, heartbeat->leaving,
			heartbeat->cold_ms, heartbeat->slots,
			target->followed_from_start);
	if (new_start) {
		target->speed = (struct spd){ 0 };
		target->unanswered = 0;
		target->left = 0;
		target->cold_until = 0;
	}
	target->last = *heartbeat;
	target->last_at = now;
	if (heartbeat->cold_ms)
		target->cold_until = now + heartbeat->cold_ms * 1000ull;
	else
		target->cold_until = 0;
}

enum jj_status flw_on_heartbeat(struct flw *flw,
				const struct flw_heartbeat *heartbeat,
				uint64_t now, struct jj_error *err)
{
	enum jj_status status = check_identity(flw, heartbeat, err);

	if (status != JJ_OK)
		return status;
	pthread_mutex_lock(&flw->target_lock);
	status = check_order(flw, heartbeat, now, err);
	if (status == JJ_OK)
		apply_heartbeat(flw, heartbeat, now);
	pthread_mutex_unlock(&flw->target_lock);
	return status;
}

enum jj_status flw_on_target_left(struct flw *flw, const char *id)
{
	enum jj_status status = JJ_NOT_FOUND;

	pthread_mutex_lock(&flw->target_lock);
	if (!strcmp(flw->target.last.id, id)) {
		flw->target.left = 1;
		status = JJ_OK;
		log_put(flw->desc.log, EV_TARGET_LEFT, "target=%s", id);
	}
	pthread_mutex_unlock(&flw->target_lock);
	return status;
}

int flw_target_gone(const struct flw *flw, uint64_t now)
{
	if (flw->target.lost_at)
		return 1;
	if (!*flw->target.last.id)
		return flw->target.port_closed ||
		       now > flw->started_at + STARTUP_HEARTBEATS *
						       flw->desc.heartbeat_ms *
						       1000ull;
	return flw->target.left || is_silent(flw, now);
}

int flw_target_proven_gone(const struct flw *flw, uint64_t now)
{
	if (!flw_probes_target(flw))
		return flw_target_gone(flw, now);
	return flw->target.lost_at || flw->target.left ||
	       (!*flw->target.last.id && flw->target.port_closed);
}

int flw_target_known(struct flw *flw)
{
	int received;

	pthread_mutex_lock(&flw->target_lock);
	received = *flw->target.last.id != 0;
	pthread_mutex_unlock(&flw->target_lock);
	return received;
}

void flw_on_target_absent(struct flw *flw)
{
	pthread_mutex_lock(&flw->target_lock);
	flw->target.absent = 1;
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_on_target_port_closed(struct flw *flw)
{
	pthread_mutex_lock(&flw->target_lock);
	flw->target.absent = 1;
	flw->target.port_closed = 1;
	pthread_mutex_unlock(&flw->target_lock);
	log_put(flw->desc.log, EV_TARGET_NOT_LISTENING, "service=%s",
		flw->desc.service);
}

/* Target lock held. */
static int is_followed(const struct flw *flw)
{
	const struct flw_target *target = &flw->target;

	if (target->followed_from_start == FLW_FOLLOWED_IF_LISTENING)
		return !flw_probes_target(flw) ||
		       prb_has_listened(&target->probe);
	return target->followed_from_start == FLW_FOLLOWED;
}

/*
 * Every packet for the target passes through its agent. If the target's process
 * is younger than this agent, it saw all flows open. Any other agent knows them
 * all once it has run for the time after which idle flows are removed. A target
 * that is gone holds no flow that could be served.
 */
int flw_knows_all_flows(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	uint64_t idle_us = flw_idle_us(call);
	int known_all;

	if (flw->table_full_at && call->now < flw->table_full_at + idle_us)
		return 0;
	pthread_mutex_lock(&flw->target_lock);
	known_all = is_followed(flw) || flw_target_proven_gone(flw, call->now);
	pthread_mutex_unlock(&flw->target_lock);
	return known_all || call->now > flw->started_at + idle_us;
}

Jj__Phase flw_phase(struct flw *flw, uint64_t now)
{
	struct flw_target *target = &flw->target;
	Jj__Phase phase = JJ__PHASE__PHASE_WARM;

	pthread_mutex_lock(&flw->target_lock);
	if (flw_target_proven_gone(flw, now) &&
	    !(flw_probes_target(flw) && flw->in_flight))
		phase = JJ__PHASE__PHASE_DOWN;
	else if (flw_target_gone(flw, now))
		phase = JJ__PHASE__PHASE_DRAINING;
	else if (!*target->last.id)
		phase = JJ__PHASE__PHASE_JOINING;
	else if (target->last.leaving || flw->stopping)
		phase = JJ__PHASE__PHASE_DRAINING;
	else if (now < target->cold_until)
		phase = JJ__PHASE__PHASE_COLD;
	/*
	 * From here on no flow is opened, since the phase may be announced
	 * after a heartbeat that ends it.
	 */
	if (phase == JJ__PHASE__PHASE_DOWN)
		target->announced_down = 1;
	pthread_mutex_unlock(&flw->target_lock);
	return phase;
}

/* -- limits -------------------------------------------------------------- */

/* Number of openings within FLW_COLD_WINDOW_US; target lock held. */
static uint32_t recent_openings(const struct flw_target *target, uint64_t now)
{
	uint32_t count = 0;

	while (count < FLW_OPENING_TIMES) {
		uint32_t at =
			(target->opening_next - 1 - count) % FLW_OPENING_TIMES;
		uint64_t when = target->opening_times[at];

		if (!when || now > when + FLW_COLD_WINDOW_US)
			break;
		count++;
	}
	return count;
}

/* Whether a cold target may get one more opening; target lock held. */
static int cold_limit_allows(const struct flw_target *target,
			     const struct viw_service *service, uint64_t now)
{
	uint32_t limit = service->cold_per_ks / 1000;

	if (now >= target->cold_until || !service->cold_per_ks)
		return 1;
	if (limit > FLW_OPENING_TIMES)
		limit = FLW_OPENING_TIMES;
	return recent_openings(target, now) < limit;
}

static const char *target_refusal_reason(struct flw *flw,
					 const struct viw_service *service,
					 uint64_t now)
{
	const struct flw_target *target = &flw->target;

	if (!*target->last.id)
		return "no heartbeat from the target yet";
	if (target->lost_at)
		return "target's process is gone";
	if (flw_target_gone(flw, now))
		return "target has left or sends no heartbeats";
	if (target->last.leaving)
		return "target is leaving";
	if (target->unanswered >= FLW_UNANSWERED_MAX &&
	    now < target->unanswered_at + FLW_SILENT_RETRY_US)
		return "target does not answer";
	if (!cold_limit_allows(target, service, now))
		return "cold target is at its limit of new flows";
	if (flw_is_returning(flw, now))
		return "other agents may count this one as down";
	return NULL;
}

const char *flw_unavailable_reason(struct flw *flw,
				   const struct viw_service *service,
				   const struct viw_agent *me, uint64_t now)
{
	const char *why;

	if (flw->stopping)
		return "agent is stopping";
	if (!service->open || me->out || me->draining || !me->weight)
		return "taken out by the table";
	pthread_mutex_lock(&flw->target_lock);
	why = target_refusal_reason(flw, service, now);
	pthread_mutex_unlock(&flw->target_lock);
	return why;
}

const char *flw_refusal_reason(struct flw *flw,
			       const struct viw_service *service,
			       const struct viw_agent *me, uint64_t now)
{
	const char *why = flw_unavailable_reason(flw, service, me, now);

	if (!why && flw->in_flight >= flw_cap(flw, service, now))
		why = "target is full";
	return why;
}

/*
 * Most requests that the target may have in progress; more would only wait
 * there.
 */
uint32_t flw_cap(struct flw *flw, const struct viw_service *service,
		 uint64_t now)
{
	uint32_t slots;

	(void)service;
	(void)now;
	pthread_mutex_lock(&flw->target_lock);
	slots = flw->target.last.slots;
	pthread_mutex_unlock(&flw->target_lock);
	return slots + flw->desc.queue;
}

/*
 * A repeated opening is late already: it may use an idle slot, but does not
 * queue at the target ahead of first openings. Where openings wait by their
 * terms, their order decides instead.
 */
/* Whether the opening can no longer be answered within the target latency. */
static int is_late(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	struct viw_terms terms =
		viw_terms(work->call->view, work->head.service_ip,
			  work->head.service_port);

	return flw_attempt_age_us(work) + flw_typical_us(flw, work->call->now) >
	       terms.target_latency_ms * 1000ull;
}

/*
 * Late openings may use idle slots but no places in the queue at the target,
 * unless they are urgent: those that can be in time would wait behind them.
 * Without terms, a repeated opening counts as late.
 */
struct flw_cap_change flw_cap_change(const struct flw_work *work)
{
	const struct flw_desc *desc = &work->call->flw->desc;
	struct flw_cap_change change = { 0 };

	int urgent = desc->urgent_places && flw_is_urgent(work);

	if (flw_waits_by_terms(work) ? !urgent && is_late(work) :
				       work->head.repeat)
		change.less = desc->queue;
	if (urgent)
		change.more = desc->urgent_places;
	return change;
}

uint32_t flw_usable_cap(struct flw_cap_change change, uint32_t cap)
{
	if (cap > change.less)
		cap -= change.less;
	return cap ? cap + change.more : 0;
}

const char *flw_opening_refusal_reason(const struct flw_work *work)
{
	struct flw *flw = work->call->flw;
	uint64_t now = work->call->now;
	const char *why =
		flw_unavailable_reason(flw, work->service, work->me, now);

	if (!why && flw->in_flight >= flw_cap(flw, work->service, now) +
					      flw_cap_change(work).more)
		why = "target is full";
	return why;
}

void flw_note_opening(struct flw *flw, uint64_t now)
{
	struct flw_target *target = &flw->target;

	pthread_mutex_lock(&flw->target_lock);
	target->opening_times[target->opening_next++ % FLW_OPENING_TIMES] = now;
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_note_response_time(struct flw *flw, uint64_t us, uint64_t now)
{
	struct flw_target *target = &flw->target;
	int before;

	pthread_mutex_lock(&flw->target_lock);
	before = spd_too_fast(&target->speed, now);
	spd_add_sample(&target->speed,
		       us > UINT32_MAX ? UINT32_MAX : (uint32_t)us,
		       flw->peer_median_us, now);
	if (spd_too_fast(&target->speed, now) != before)
		log_put(flw->desc.log, EV_TARGET_HELD_BACK,
			"target=%s held=%d typical_us=%u usual_us=%u "
			"peers_us=%u",
			target->last.id, !before,
			spd_typical_us(&target->speed, now),
			target->speed.baseline_us,
			(unsigned)flw->peer_median_us);
	pthread_mutex_unlock(&flw->target_lock);
}

uint32_t flw_typical_us(struct flw *flw, uint64_t now)
{
	uint32_t us;

	pthread_mutex_lock(&flw->target_lock);
	us = spd_typical_us(&flw->target.speed, now);
	pthread_mutex_unlock(&flw->target_lock);
	return us;
}

int flw_held_back(struct flw *flw, uint64_t now)
{
	const struct flw_target *target = &flw->target;
	uint64_t last;
	int held;

	pthread_mutex_lock(&flw->target_lock);
	last = target->opening_times[(target->opening_next - 1) %
				     FLW_OPENING_TIMES];
	held = spd_too_fast(&target->speed, now) && now < last + FLW_PROBE_US;
	pthread_mutex_unlock(&flw->target_lock);
	return held;
}

void flw_note_unanswered(struct flw *flw, uint64_t now)
{
	struct flw_target *target = &flw->target;

	pthread_mutex_lock(&flw->target_lock);
	target->unanswered++;
	target->unanswered_at = now;
	prb_on_unanswered(&target->probe);
	if (target->unanswered == FLW_UNANSWERED_MAX)
		log_put(flw->desc.log, EV_TARGET_DOWN,
			"target=%s unanswered=%u", target->last.id,
			target->unanswered);
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_note_answer(struct flw *flw)
{
	pthread_mutex_lock(&flw->target_lock);
	flw->target.unanswered = 0;
	pthread_mutex_unlock(&flw->target_lock);
}
