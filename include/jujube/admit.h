/*
 * admit - admission control for one target
 *
 * Limits the requests in flight at a target and decides for each new request
 * whether it starts, waits or is refused. After a cold start the cap begins at
 * the cold limit and is adjusted in stages of ADM_STAGE answers (or cap, if
 * larger): it rises by a quarter if at least half of a stage's answers were in
 * time, and is halved, down to the cold limit, otherwise. A request that the
 * target refuses as overloaded or does not answer halves the cap at once.
 *
 * The reference for "in time" is the median of the warm targets of the same
 * service; if that is unknown, this target's median when it was last warm;
 * else the median after the last stage that did not lower the cap, with longer
 * stages. A target that reports itself cold stays at the cold limit; a report
 * of being warm has no effect, the measured times decide. A warm target becomes
 * cold again after several slow answers in a row, or when requests are in
 * flight and none was answered for too long.
 *
 * Thread safe, with its own lock. Times are microseconds of a monotonic clock.
 * Waiting requests are 64-bit handles that this module does not interpret.
 */
#ifndef JUJUBE_ADMIT_H
#define JUJUBE_ADMIT_H

#include <pthread.h>
#include "jujube/status.h"

#define ADM_QUEUE_MAX 1024
#define ADM_STAGE 8 /* answers after which the cap is adjusted */
#define ADM_STAGE_NO_REFERENCE 24 /* the same without a warm reference */
#define ADM_IN_TIME_FACTOR 1.8 /* in time: up to this times the reference */
/* Late stages at the cold limit until the reference is dropped. */
#define ADM_LATE_STAGES_MAX 80
#define ADM_SLOW_STREAK 4 /* slow answers in a row that make a target cold */
#define ADM_SLOW_FACTOR 3 /* slow: above this many times the median */
#define ADM_SLOW_FLOOR_US 20000 /* faster answers never count as slow */

struct adm_limits {
	uint32_t slots; /* maximum in flight when warm */
	uint32_t cold_slots; /* maximum in flight when cold */
	uint32_t queue; /* maximum of waiting requests */
};

struct adm {
	pthread_mutex_t lock;
	struct adm_limits limits;
	uint32_t cap;
	uint32_t in_flight;
	uint32_t in_time; /* answers in time in this stage */
	uint32_t late; /* late answers in this stage */
	uint32_t late_stages; /* at the cold limit, since the cold start */
	uint32_t slow_streak; /* slow answers in a row while warm */
	double median_us; /* running estimate of the service time */
	double last_warm_median_us; /* 0: never warm */
	double stage_median_us; /* see reference_us() */
	uint64_t last_answer; /* time, or that of the first start since idle */
	double peer_median_us; /* of warm targets, 0: unknown */
	int reported_cold;
	uint64_t queue[ADM_QUEUE_MAX];
	uint32_t queue_head;
	uint32_t queued;
	int warm;
};

enum adm_verdict { ADM_START, ADM_WAIT, ADM_FULL };

struct adm_state {
	uint32_t in_flight;
	uint32_t queued;
	uint32_t cap;
	uint32_t slots;
	uint32_t median_us;
	int warm;
};

/* Fills in defaults and checks the limits. */
enum jj_status adm_resolve(struct adm_limits *limits, struct jj_error *err);
void adm_init(struct adm *adm, const struct adm_limits *limits);
void adm_finish(struct adm *adm);

/* Replaces the limits, for example after an operator's change. */
void adm_set_limits(struct adm *adm, const struct adm_limits *limits);

/* Admits a new request. ADM_WAIT: handle was queued. */
enum adm_verdict adm_request(struct adm *adm, uint64_t handle, uint64_t now);

/* Takes the next waiting request if one may start; it is then in flight. */
int adm_start_next(struct adm *adm, uint64_t *handle, uint64_t now);

enum adm_result {
	ADM_ANSWERED, /* answered */
	ADM_OVERLOADED, /* the target refused it as overloaded */
	ADM_NO_ANSWER, /* no answer by its deadline, or the target is gone */
	ADM_CANCELLED, /* never reached the target */
};

/* Ends a request that was started and updates the cap. */
void adm_done(struct adm *adm, uint64_t service_us, enum adm_result result,
	      uint64_t now);

/* Marks the target cold, for example after its restart. */
void adm_mark_cold(struct adm *adm);

/* Sets what the target reports. Cold keeps the cap at the cold limit. */
void adm_set_reported_cold(struct adm *adm, int cold);

/* Sets the median service time of the service's warm targets, 0: unknown. */
void adm_set_peer_median(struct adm *adm, double median_us);

struct adm_state adm_state(struct adm *adm);

#endif
