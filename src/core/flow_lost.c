/*
 * Targets whose process is gone.
 *
 * Callers of a target that has crashed are notified at once instead of waiting
 * for their deadlines. Two events prove that flows are gone:
 *
 * - A probe is refused (see probe.h). The flows that the target was given
 *   before the probe began are ended. Each flow records the number of probes
 *   begun when the target was last given its opening, and a probe begins only
 *   when the packets that are being handled have been sent. Clocks are not
 *   compared, since threads read them before they take a lock.
 * - A heartbeat of a later start arrives. The flows that the target answered
 *   while its earlier start is known to have been alive are ended.
 *
 * With proof, openings that the target did not answer go to other agents at
 * once, and the agent is in phase down, which proves to all others that it
 * holds no flow. For this to be true even if gossip is late, an agent that
 * returns from phase down gives its target no flow for FLW_RETURN_DELAY_US. A
 * new incarnation opens flows at once, so that all targets can be used right
 * after a power failure; others may still have the phase of the former one, but
 * rely on it only after several unanswered inquiries (see flow_lookup.c).
 */
#include "flow_internal.h"

#include <string.h>

/* A start that is later by more has not happened; clocks step by seconds. */
#define CLOCK_STEP_MAX_MS 3600000

/* Which flows are gone; the fields that are not set do not apply. */
struct lost {
	uint32_t probe_number; /* those given to the target before this probe */
	uint64_t answered_before;
	const char *proof;
};

int flw_probes_target(const struct flw *flw)
{
	return flw->desc.probe_silence_ms > 0;
}

/* -- state of the target ------------------------------------------------- */

void flw_note_asked(struct flw *flw, uint64_t now)
{
	if (!flw_probes_target(flw))
		return;
	pthread_mutex_lock(&flw->target_lock);
	prb_on_asked(&flw->target.probe, flw->in_flight, now);
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_note_heard(struct flw *flw, uint64_t now)
{
	if (!flw_probes_target(flw))
		return;
	pthread_mutex_lock(&flw->target_lock);
	prb_on_heard(&flw->target.probe, now);
	if (flw->target.lost_at)
		prb_on_contradiction(&flw->target.probe);
	flw->target.lost_at = 0;
	pthread_mutex_unlock(&flw->target_lock);
}

/*
 * A heartbeat may be read late, so its arrival does not show that the target
 * was alive just before. The target sends one per interval, so it was alive
 * when the one before arrived, unless both were read at about the same time.
 */
static void note_alive(struct flw *flw, const struct flw_heartbeat *heartbeat,
		       uint64_t now)
{
	struct flw_target *target = &flw->target;
	uint64_t interval_us = flw->desc.heartbeat_ms * 1000ull;

	if (heartbeat->seq > target->last.seq &&
	    now >= target->last_at + interval_us / 2)
		target->alive_at = target->last_at;
	if (heartbeat->seq > target->last.seq && target->lost_at)
		prb_on_contradiction(&target->probe);
}

int flw_start_is_plausible(const struct flw_heartbeat *heartbeat)
{
	return !heartbeat->received_ms ||
	       heartbeat->started_ms <=
		       heartbeat->received_ms + CLOCK_STEP_MAX_MS;
}

/*
 * The same target has started again if both starts are known. Heartbeats of
 * another target, sent here by mistake, prove nothing.
 */
static int is_later_start(const struct flw_heartbeat *heartbeat,
			  const struct flw_heartbeat *held)
{
	return !strcmp(heartbeat->id, held->id) && held->started_ms &&
	       heartbeat->started_ms > held->started_ms &&
	       flw_start_is_plausible(heartbeat);
}

void flw_compare_starts(struct flw *flw, const struct flw_heartbeat *heartbeat,
			uint64_t now)
{
	struct flw_target *target = &flw->target;
	const struct flw_heartbeat *held = &target->last;

	if (!flw_probes_target(flw))
		return;
	if (!strcmp(heartbeat->id, held->id) &&
	    heartbeat->started_ms == held->started_ms) {
		note_alive(flw, heartbeat, now);
	} else {
		if (is_later_start(heartbeat, held) && target->alive_at)
			target->gone_before = target->alive_at;
		target->alive_at = 0;
		prb_restart(&target->probe);
	}
	target->lost_at = 0;
}

/*
 * A target answers all copies of an opening with the same ISN while it runs.
 * The flow of the process that answered before is gone; if its ISN were kept,
 * packets of the new flow would be looked up elsewhere and the caller reset.
 */
void flw_reopen_after_restart(const struct flw *flw, struct flw_flow *flow,
			      const struct flw_packet *head)
{
	if (!flw_probes_target(flw) || !head->opens ||
	    flow->state != FLW_ANSWERED || flow->answered_at ||
	    head->seq == flow->target_isn)
		return;
	flow->state = FLW_OPENING;
	flow->notified_via = 0;
}

/* -- phase down ---------------------------------------------------------- */

void flw_on_phase_announced(struct flw *flw, Jj__Phase phase, uint64_t now)
{
	struct flw_target *target = &flw->target;

	pthread_mutex_lock(&flw->target_lock);
	if (phase == JJ__PHASE__PHASE_DOWN) {
		target->announced_down = 1;
	} else if (target->announced_down) {
		target->announced_down = 0;
		target->left_down_at = now;
		target->left_down_known_at = 0;
	}
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_on_ping_answered(struct flw *flw, uint64_t sent_at, uint64_t now)
{
	struct flw_target *target = &flw->target;

	pthread_mutex_lock(&flw->target_lock);
	if (!target->announced_down && !target->left_down_known_at &&
	    sent_at > target->left_down_at)
		target->left_down_known_at = now;
	pthread_mutex_unlock(&flw->target_lock);
}

int flw_is_returning(const struct flw *flw, uint64_t now)
{
	const struct flw_target *target = &flw->target;

	if (!flw_probes_target(flw) || target->announced_down)
		return flw_probes_target(flw);
	return target->left_down_at &&
	       (!target->left_down_known_at ||
		now < target->left_down_known_at + FLW_RETURN_DELAY_US);
}

int flw_was_down(const struct flw_call *call, uint64_t agent)
{
	const struct viw_agent *found = viw_agent(call->view, agent);

	if (!flw_probes_target(call->flw))
		return 0;
	if (!found)
		found = viw_find_dead(call->view, agent);
	return found && found->phase == JJ__PHASE__PHASE_DOWN;
}

/* -- ending flows -------------------------------------------------------- */

static int is_lost(const struct flw_flow *flow, const struct lost *lost)
{
	if (lost->answered_before)
		return flow->answered_at &&
		       flow->answered_at < lost->answered_before;
	return (int32_t)(lost->probe_number - flow->probe_number) > 0;
}

/*
 * Shard locked. Returns 1 if the caller was sent a reset. It gets none if it
 * may have accepted the answer of another target, which has a copy of the
 * opening.
 */
static int end_flow(const struct flw_call *call, struct flw_shard *shard,
		    struct flw_flow *flow)
{
	struct flw_flow ended = *flow;

	if (flow->state == FLW_OPENING) {
		flw_retry_opening(call, shard, flow, FLW_RETRY_LOST);
		return 0;
	}
	flw_remove_flow(call->flw, shard, flow);
	if (ended.state == FLW_CLOSED ||
	    (ended.state == FLW_ANSWERED && ended.copy_possible))
		return 0;
	if (ended.state == FLW_ANSWERED)
		ended.caller_ack = ended.target_isn + 1;
	flw_reset_flow(call, &ended, "target's process is gone");
	met_add(call->flw->desc.met, MET_LOST_FLOWS, 1);
	return 1;
}

static void end_flows(const struct flw_call *call, const struct lost *lost)
{
	struct flw *flw = call->flw;
	uint64_t silent_since;
	uint32_t count = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < FLW_SHARDS; i++) {
		struct flw_shard *shard = &flw->shards[i];

		pthread_mutex_lock(&shard->lock);
		for (j = 0; j < shard->flow_high_water; j++)
			if (shard->flows[j].key &&
			    is_lost(&shard->flows[j], lost))
				count += (uint32_t)end_flow(call, shard,
							    &shard->flows[j]);
		pthread_mutex_unlock(&shard->lock);
	}
	pthread_mutex_lock(&flw->target_lock);
	silent_since = prb_silent_since(&flw->target.probe);
	log_put(flw->desc.log, EV_TARGET_LOST,
		"target=%s flows=%u silent_ms=%llu proof=%s",
		flw->target.last.id, count,
		(unsigned long long)(silent_since && call->now > silent_since ?
					     (call->now - silent_since) / 1000 :
					     0),
		lost->proof);
	pthread_mutex_unlock(&flw->target_lock);
}

void flw_end_lost_flows(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	struct lost lost = { .proof = "heartbeat of a new start" };

	if (!flw_probes_target(flw))
		return;
	pthread_mutex_lock(&flw->target_lock);
	lost.answered_before = flw->target.gone_before;
	flw->target.gone_before = 0;
	pthread_mutex_unlock(&flw->target_lock);
	if (lost.answered_before)
		end_flows(call, &lost);
}

/* -- probes -------------------------------------------------------------- */

/* Waits until the packets that threads are handling now have been sent. */
static void wait_for_senders(struct flw *flw)
{
	uint32_t i;

	for (i = 0; i < FLW_SHARDS; i++) {
		pthread_mutex_lock(&flw->shards[i].lock);
		pthread_mutex_unlock(&flw->shards[i].lock);
	}
}

uint64_t flw_begin_probe(const struct flw_call *call)
{
	struct flw *flw = call->flw;
	struct flw_target *target = &flw->target;
	enum prb_reason reason;

	pthread_mutex_lock(&flw->target_lock);
	reason = prb_due(&target->probe, flw->in_flight,
			 flw_target_gone(flw, call->now) &&
				 !flw_target_proven_gone(flw, call->now),
			 call->now);
	if (reason != PRB_NOT_DUE)
		prb_begin(&target->probe, call->now);
	pthread_mutex_unlock(&flw->target_lock);
	if (reason == PRB_NOT_DUE)
		return 0;
	flw->probe_number++;
	wait_for_senders(flw);
	met_add(flw->desc.met, MET_TARGET_PROBES, 1);
	return call->now;
}

/*
 * A target that is leaving may have stopped to listen while it serves its last
 * flows.
 */
static enum prb_result usable_result(const struct flw_target *target,
				     enum prb_result result)
{
	return result == PRB_REFUSED && target->last.leaving ? PRB_UNKNOWN :
							       result;
}

void flw_on_probe_result(const struct flw_call *call, uint64_t began_at,
			 enum prb_result result)
{
	struct flw *flw = call->flw;
	struct flw_target *target = &flw->target;
	struct lost lost = { .probe_number = flw->probe_number,
			     .proof = "refused connection" };
	int proven;

	pthread_mutex_lock(&flw->target_lock);
	log_put(flw->desc.log, EV_TARGET_PROBED,
		"target=%s accepted=%d refused=%d in_hand=%u", target->last.id,
		result == PRB_ACCEPTED, result == PRB_REFUSED,
		(unsigned)flw->in_flight);
	proven = prb_end(&target->probe, began_at,
			 usable_result(target, result), call->now);
	if (proven)
		target->lost_at = call->now;
	pthread_mutex_unlock(&flw->target_lock);
	if (proven)
		end_flows(call, &lost);
}
