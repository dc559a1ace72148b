#include "jujube/admit.h"

#include <string.h>

enum jj_status adm_resolve(struct adm_limits *limits, struct jj_error *err)
{
	if (!limits->slots)
		limits->slots = 5;
	if (!limits->cold_slots)
		limits->cold_slots = 1;
	if (limits->cold_slots > limits->slots)
		return st_fail(err, JJ_INVALID,
			       "cold_slots %u exceeds slots %u",
			       limits->cold_slots, limits->slots);
	if (limits->queue > ADM_QUEUE_MAX)
		return st_fail(err, JJ_INVALID,
			       "queue %u exceeds the maximum of %d",
			       limits->queue, ADM_QUEUE_MAX);
	return JJ_OK;
}

void adm_init(struct adm *adm, const struct adm_limits *limits)
{
	memset(adm, 0, sizeof(*adm));
	pthread_mutex_init(&adm->lock, NULL);
	adm->limits = *limits;
	adm->cap = limits->cold_slots;
}

void adm_finish(struct adm *adm)
{
	pthread_mutex_destroy(&adm->lock);
}

static void update_warm(struct adm *adm)
{
	if (adm->cap >= adm->limits.slots) {
		adm->cap = adm->limits.slots;
		adm->warm = 1;
	}
}

void adm_set_limits(struct adm *adm, const struct adm_limits *limits)
{
	pthread_mutex_lock(&adm->lock);
	adm->limits = *limits;
	if (adm->warm)
		adm->cap = limits->slots;
	else if (adm->cap < limits->cold_slots)
		adm->cap = limits->cold_slots;
	update_warm(adm);
	pthread_mutex_unlock(&adm->lock);
}

/* -- warming up and cooling down ----------------------------------------- */

static void reset_stage(struct adm *adm)
{
	adm->in_time = 0;
	adm->late = 0;
}

static void mark_cold(struct adm *adm)
{
	if (adm->warm)
		adm->last_warm_median_us = adm->median_us;
	adm->warm = 0;
	adm->cap = adm->limits.cold_slots;
	adm->slow_streak = 0;
	adm->late_stages = 0;
	adm->stage_median_us = 0;
	reset_stage(adm);
	if (!adm->reported_cold)
		update_warm(adm);
}

static void lower_cap(struct adm *adm)
{
	adm->warm = 0;
	adm->cap /= 2;
	if (adm->cap < adm->limits.cold_slots)
		adm->cap = adm->limits.cold_slots;
	reset_stage(adm);
}

/* Moves the estimate by 5 % towards each sample, which tracks the median. */
static void update_median(struct adm *adm, double us)
{
	if (adm->median_us <= 0)
		adm->median_us = us > 1 ? us : 1;
	else if (us > adm->median_us)
		adm->median_us *= 1.05;
	else
		adm->median_us /= 1.05;
}

static void detect_slow_answers(struct adm *adm, double us)
{
	if (us > ADM_SLOW_FLOOR_US && adm->median_us > 0 &&
	    us > ADM_SLOW_FACTOR * adm->median_us)
		adm->slow_streak++;
	else
		adm->slow_streak = 0;
	update_median(adm, us);
	if (adm->slow_streak >= ADM_SLOW_STREAK)
		mark_cold(adm);
}

/* Detects that requests are in flight and none was answered for too long. */
static void detect_stall(struct adm *adm, uint64_t now)
{
	double since_answer = (double)(now - adm->last_answer);

	if (adm->warm && adm->in_flight > adm->limits.cold_slots &&
	    now > adm->last_answer && since_answer > ADM_SLOW_FLOOR_US &&
	    since_answer > ADM_SLOW_FACTOR * adm->median_us)
		mark_cold(adm);
}

/* Expected service time of a warm target, 0: unknown. */
static double warm_reference_us(const struct adm *adm)
{
	if (adm->late_stages >= ADM_LATE_STAGES_MAX)
		return 0;
	return adm->peer_median_us > 0 ? adm->peer_median_us :
					 adm->last_warm_median_us;
}

/* Reference for answers in time, as described in admit.h; 0: none yet. */
static double reference_us(const struct adm *adm)
{
	double warm = warm_reference_us(adm);

	return warm > 0 ? warm : adm->stage_median_us;
}

static uint32_t stage_length(const struct adm *adm)
{
	uint32_t least =
		warm_reference_us(adm) > 0 ? ADM_STAGE : ADM_STAGE_NO_REFERENCE;

	return adm->cap > least ? adm->cap : least;
}

static void end_stage(struct adm *adm)
{
	if (adm->late * 2 <= adm->in_time + adm->late) {
		adm->stage_median_us = adm->median_us;
		adm->cap += adm->cap / 4 ? adm->cap / 4 : 1;
		update_warm(adm);
	} else if (adm->cap > adm->limits.cold_slots) {
		lower_cap(adm);
	} else {
		/*
		 * A target that stays slower than the reference would never
		 * warm up: after ADM_LATE_STAGES_MAX late stages it is compared
		 * with its own previous stage, see warm_reference_us().
		 */
		adm->late_stages++;
		adm->stage_median_us = adm->median_us;
	}
	reset_stage(adm);
}

static void on_cold_answer(struct adm *adm, double us)
{
	double reference = reference_us(adm);
	uint32_t stage = stage_length(adm);

	update_median(adm, us);
	if (adm->reported_cold)
		return;
	if (reference > 0 && us > ADM_SLOW_FLOOR_US &&
	    us > ADM_IN_TIME_FACTOR * reference)
		adm->late++;
	else
		adm->in_time++;
	/* End the stage early once most of its answers are late. */
	if (adm->in_time + adm->late >= stage || adm->late * 2 > stage)
		end_stage(adm);
}

static void on_answered(struct adm *adm, double us)
{
	if (adm->warm)
		detect_slow_answers(adm, us);
	else
		on_cold_answer(adm, us);
}

/* -- requests ------------------------------------------------------------ */

static void count_start(struct adm *adm, uint64_t now)
{
	if (!adm->in_flight++)
		adm->last_answer = now;
}

enum adm_verdict adm_request(struct adm *adm, uint64_t handle, uint64_t now)
{
	enum adm_verdict verdict = ADM_FULL;

	pthread_mutex_lock(&adm->lock);
	detect_stall(adm, now);
	if (adm->in_flight < adm->cap && !adm->queued) {
		count_start(adm, now);
		verdict = ADM_START;
	} else if (adm->queued < adm->limits.queue) {
		uint32_t at = (adm->queue_head + adm->queued) % ADM_QUEUE_MAX;

		adm->queue[at] = handle;
		adm->queued++;
		verdict = ADM_WAIT;
	}
	pthread_mutex_unlock(&adm->lock);
	return verdict;
}

int adm_start_next(struct adm *adm, uint64_t *handle, uint64_t now)
{
	int found = 0;

	pthread_mutex_lock(&adm->lock);
	detect_stall(adm, now);
	if (adm->queued && adm->in_flight < adm->cap) {
		*handle = adm->queue[adm->queue_head];
		adm->queue_head = (adm->queue_head + 1) % ADM_QUEUE_MAX;
		adm->queued--;
		count_start(adm, now);
		found = 1;
	}
	pthread_mutex_unlock(&adm->lock);
	return found;
}

void adm_done(struct adm *adm, uint64_t service_us, enum adm_result result,
	      uint64_t now)
{
	pthread_mutex_lock(&adm->lock);
	detect_stall(adm, now);
	adm->last_answer = now;
	if (adm->in_flight)
		adm->in_flight--;
	if (result == ADM_ANSWERED)
		on_answered(adm, (double)service_us);
	else if (result != ADM_CANCELLED)
		lower_cap(adm);
	pthread_mutex_unlock(&adm->lock);
}

void adm_mark_cold(struct adm *adm)
{
	pthread_mutex_lock(&adm->lock);
	mark_cold(adm);
	pthread_mutex_unlock(&adm->lock);
}

void adm_set_reported_cold(struct adm *adm, int cold)
{
	pthread_mutex_lock(&adm->lock);
	if (cold && !adm->reported_cold) {
		adm->reported_cold = 1;
		mark_cold(adm);
	}
	adm->reported_cold = cold;
	pthread_mutex_unlock(&adm->lock);
}

void adm_set_peer_median(struct adm *adm, double median_us)
{
	pthread_mutex_lock(&adm->lock);
	adm->peer_median_us = median_us;
	pthread_mutex_unlock(&adm->lock);
}

struct adm_state adm_state(struct adm *adm)
{
	struct adm_state state;

	pthread_mutex_lock(&adm->lock);
	state.in_flight = adm->in_flight;
	state.queued = adm->queued;
	state.cap = adm->cap;
	state.slots = adm->limits.slots;
	state.median_us = (uint32_t)adm->median_us;
	state.warm = adm->warm;
	pthread_mutex_unlock(&adm->lock);
	return state;
}
