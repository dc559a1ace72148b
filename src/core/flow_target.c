/*
 * What the target said of itself, and what it can take.
 *
 * A target is believed when it says that it leaves or is cold. That it can
 * take a flow is judged by what it does: one that leaves openings unanswered
 * is given a single one at a time until it answers again.
 */
#include "flow_internal.h"

#include <stdio.h>
#include <string.h>

#define MISSED_BEATS 3 /* heartbeats missed by a target that is gone */
/* Heartbeats that one which is there sends in any case after a start of ours */
#define FIRST_BEATS 2
/* Of the first report in a start: nobody was told of the target before. */
#define FIRST_SEQ 1

/* -- reports ------------------------------------------------------------- */

/* Negative: report is older than what was heard. */
static int report_order(const struct flw_report *report,
			const struct flw_report *held)
{
	if (!*held->id)
		return 1;
	if (report->born_ms && held->born_ms &&
	    report->born_ms != held->born_ms)
		return report->born_ms > held->born_ms ? 1 : -1;
	if (strcmp(report->id, held->id))
		return 1;
	if (report->seq != held->seq)
		return report->seq > held->seq ? 1 : -1;
	return 0;
}

static int another_start(const struct flw_report *report,
			 const struct flw_report *held)
{
	return strcmp(report->id, held->id) || report->born_ms != held->born_ms;
}

/* Target lock held. */
static void take_report(struct flw *flw, const struct flw_report *report,
			uint64_t now)
{
	struct flw_target *target = &flw->target;
	int fresh_start = another_start(report, &target->said);

	if (fresh_start || report->leaving != target->said.leaving)
		log_put(flw->desc.log, EV_TARGET_REPORT,
			"target=%s born_ms=%llu seq=%llu leaving=%d "
			"cold_ms=%u slots=%u",
			report->id, (unsigned long long)report->born_ms,
			(unsigned long long)report->seq, report->leaving,
			report->cold_ms, report->slots);
	if (fresh_start) {
		target->from_birth = report->seq <= FIRST_SEQ;
		target->speed = (struct spd){ 0 };
		target->unanswered = 0;
		target->gone = 0;
		target->cold_until = 0;
	}
	target->said = *report;
	target->heard = now;
	if (report->cold_ms)
		target->cold_until = now + report->cold_ms * 1000ull;
	else
		target->cold_until = 0;
}

enum jj_status flw_on_report(struct flw *flw, const struct flw_report *report,
			     uint64_t now, struct jj_error *err)
{
	enum jj_status status = JJ_OK;

	if (strcmp(report->service, flw->desc.service))
		return st_fail(err, JJ_INVALID,
			       "target %s is of service %s, not %s", report->id,
			       report->service, flw->desc.service);
	pthread_mutex_lock(&flw->target_lock);
	if (report_order(report, &flw->target.said) >= 0)
		take_report(flw, report, now);
	else
		status = st_fail(err, JJ_STALE,
				 "target %s: report %llu of start %llu is old",
				 report->id, (unsigned long long)report->seq,
				 (unsigned long long)report->born_ms);
	pthread_mutex_unlock(&flw->target_lock);
	return status;
}

enum jj_status flw_on_left(struct flw *flw, const char *id)
{
	enum jj_status status = JJ_NOT_FOUND;

	pthread_mutex_lock(&flw->target_lock);
	if (!strcmp(flw->target.said.id, id)) {
		flw->target.gone = 1;
		status = JJ_OK;
		log_put(flw->desc.log, EV_TARGET_LEFT, "target=%s", id);
	}
	pthread_mutex_unlock(&flw->target_lock);
	return status;
}

/* Target lock held. */
static int is_gone(const struct flw *flw, uint64_t now)
{
	uint64_t beat_us = flw->desc.heartbeat_ms * 1000ull;

	if (!*flw->target.said.id)
		return flw->target.absent ||
		       now > flw->started + FIRST_BEATS * beat_us;
	return flw->target.gone ||
	       now > flw->target.heard + MISSED_BEATS * beat_us;
}

int flw_target_heard(struct flw *flw)
{
	int heard;

	pthread_mutex_lock(&flw->target_lock);
	heard = *flw->target.said.id != 0;
	pthread_mutex_unlock(&flw->target_lock);
	return heard;
}

void flw_target_absent(struct flw *flw)
{
	pthread_mutex_lock(&flw->target_lock);
	flw->target.absent = 1;
	pthread_mutex_unlock(&flw->target_lock);
	log_put(flw->desc.log, EV_TARGET_NOT_LISTENING, "service=%s",
		flw->desc.service);
}

/*
 * Every packet for the target passes its agent, and an agent gives it nothing
 * before it was heard of. So one that heard the target's first report has seen
 * all flows open; another has after the time in which flows without packets
 * are forgotten. A target that tells nothing holds nothing that can be served.
 */
int flw_knows_all(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	uint64_t idle_us = flw_idle_us(call);
	int known;

	if (flw->missed_at && call->now < flw->missed_at + idle_us)
		return 0;
	pthread_mutex_lock(&flw->target_lock);
	known = flw->target.from_birth || is_gone(flw, call->now);
	pthread_mutex_unlock(&flw->target_lock);
	return known || call->now > flw->started + idle_us;
}

Jj__Phase flw_phase(struct flw *flw, uint64_t now)
{
	const struct flw_target *target = &flw->target;
	Jj__Phase phase = JJ__PHASE__PHASE_WARM;

	pthread_mutex_lock(&flw->target_lock);
	if (is_gone(flw, now))
		phase = JJ__PHASE__PHASE_DOWN;
	else if (!*target->said.id)
		phase = JJ__PHASE__PHASE_JOINING;
	else if (target->said.leaving || flw->stopping)
		phase = JJ__PHASE__PHASE_DRAINING;
	else if (now < target->cold_until)
		phase = JJ__PHASE__PHASE_COLD;
	pthread_mutex_unlock(&flw->target_lock);
	return phase;
}

/* -- limits -------------------------------------------------------------- */

/* Openings in the last second; target lock held. */
static uint32_t recent_openings(const struct flw_target *target, uint64_t now)
{
	uint32_t count = 0;

	while (count < FLW_COLD_RING) {
		uint32_t at = (target->cold_next - 1 - count) % FLW_COLD_RING;
		uint64_t when = target->cold_ring[at];

		if (!when || now > when + FLW_COLD_WINDOW_US)
			break;
		count++;
	}
	return count;
}

/* Whether a cold target may be given one more; target lock held. */
static int cold_room(const struct flw_target *target,
		     const struct viw_service *service, uint64_t now)
{
	uint32_t limit = service->cold_per_ks / 1000;

	if (now >= target->cold_until || !service->cold_per_ks)
		return 1;
	if (limit > FLW_COLD_RING)
		limit = FLW_COLD_RING;
	return recent_openings(target, now) < limit;
}

static const char *
target_refusal(struct flw *flw, const struct viw_service *service, uint64_t now)
{
	const struct flw_target *target = &flw->target;

	if (!*target->said.id)
		return "target not heard of";
	if (is_gone(flw, now))
		return "target has left, or tells nothing";
	if (target->said.leaving)
		return "target is leaving";
	if (target->unanswered >= FLW_SILENT_MAX &&
	    now < target->unanswered_at + FLW_RETRY_US)
		return "target is silent";
	if (!cold_room(target, service, now))
		return "target is cold";
	return NULL;
}

const char *flw_cannot_open(struct flw *flw, const struct viw_service *service,
			    const struct viw_agent *me, uint64_t now)
{
	const char *why;

	if (flw->stopping)
		return "agent is stopping";
	if (!service->open || me->out || me->draining || !me->weight)
		return "taken out by the table";
	pthread_mutex_lock(&flw->target_lock);
	why = target_refusal(flw, service, now);
	pthread_mutex_unlock(&flw->target_lock);
	if (!why && flw->in_hand >= flw_cap(flw, service, now))
		why = "target is full";
	return why;
}

/* Work in hand that the target may have; more would only wait. */
uint32_t flw_cap(struct flw *flw, const struct viw_service *service,
		 uint64_t now)
{
	uint32_t slots;

	(void)service;
	(void)now;
	pthread_mutex_lock(&flw->target_lock);
	slots = flw->target.said.slots;
	pthread_mutex_unlock(&flw->target_lock);
	return slots + flw->desc.queue;
}

void flw_note_opening(struct flw *flw, uint64_t now)
{
	struct flw_target *target = &flw->target;

	pthread_mutex_lock(&flw->target_lock);
	target->cold_ring[target->cold_next++ % FLW_COLD_RING] = now;
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_note_speed(struct flw *flw, uint64_t us, uint64_t now)
{
	struct flw_target *target = &flw->target;
	int before;

	pthread_mutex_lock(&flw->target_lock);
	before = spd_too_fast(&target->speed, now);
	spd_note(&target->speed, us > UINT32_MAX ? UINT32_MAX : (uint32_t)us,
		 flw->peers_us, now);
	if (spd_too_fast(&target->speed, now) != before)
		log_put(flw->desc.log, EV_TARGET_HELD_BACK,
			"target=%s held=%d typical_us=%u usual_us=%u "
			"peers_us=%u",
			target->said.id, !before,
			spd_typical_us(&target->speed, now),
			target->speed.usual_us, (unsigned)flw->peers_us);
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
	last = target->cold_ring[(target->cold_next - 1) % FLW_COLD_RING];
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
	if (target->unanswered == FLW_SILENT_MAX)
		log_put(flw->desc.log, EV_TARGET_DOWN,
			"target=%s unanswered=%u", target->said.id,
			target->unanswered);
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_note_answer(struct flw *flw)
{
	pthread_mutex_lock(&flw->target_lock);
	flw->target.unanswered = 0;
	pthread_mutex_unlock(&flw->target_lock);
}
