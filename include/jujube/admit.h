/*
 * admit - what a target can bear
 *
 * Counts the requests in flight at one target and says whether another may
 * start, must wait, or finds no room. In a cold start the cap begins at the
 * cold limit and moves in stages of ADM_STAGE answers (or cap, if more): when
 * most answers of a stage came in time it rises by a quarter, else it falls.
 * "In time" is measured against the warm targets of the same service as far
 * as their medians are known, else against this target's own last warm time,
 * else against the stage before, in longer stages. A target that says it is
 * cold stays at the cold limit; one that says it is warm is not believed. A
 * warm target goes back to cold after slow answers in a row, and when
 * requests are in flight and none was answered for long.
 *
 * Has its own lock. Times are microseconds of a monotonic clock. Waiting requests are named by 64-bit handles that mean
 * something to the caller only.
 */
#ifndef JUJUBE_ADMIT_H
#define JUJUBE_ADMIT_H

#include <pthread.h>
#include "jujube/status.h"

#define ADM_QUEUE_MAX 1024
#define ADM_STAGE 8 /* answers that decide whether the cap moves */
#define ADM_STAGE_NO_REFERENCE 24 /* the same with nothing to compare with */
#define ADM_IN_TIME_FACTOR 1.8 /* times the reference that count as in time */
#define ADM_LATE_STAGES_MAX \
	80 /* late stages at the cold limit until own times rule */
#define ADM_SLOW_STREAK 4 /* slow answers in a row that mean "cold" */
#define ADM_SLOW_FACTOR 3 /* slower than so many times the median */
#define ADM_SLOW_FLOOR_US 20000 /* answers faster than this are never slow */

struct adm_limits {
	uint32_t slots; /* requests in flight when warm */
	uint32_t cold_slots; /* requests in flight when cold */
	uint32_t queue; /* requests that may wait */
};

struct adm {
	pthread_mutex_t lock;
	struct adm_limits limits;
	uint32_t cap;
	uint32_t in_flight;
	uint32_t in_time; /* answers of this stage */
	uint32_t late;
	uint32_t late_stages; /* late stages at the cold limit in a row */
	uint32_t slow_streak; /* slow answers in a row, when warm */
	double median_us; /* running estimate of the service time */
	double last_warm_median_us; /* the median when last warm, 0: never */
	double stage_median_us; /* that of the last stage that was in time */
	uint64_t
		last_answer; /* time of the last answer, or of the first start */
	double peer_median_us; /* median of warm peers, 0: unknown */
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

enum jj_status adm_resolve(struct adm_limits *limits, struct jj_error *err);
void adm_init(struct adm *adm, const struct adm_limits *limits);
void adm_finish(struct adm *adm);

/* New limits, as after an operator's change. */
void adm_set_limits(struct adm *adm, const struct adm_limits *limits);

/* A request arrives. ADM_WAIT: handle was queued. */
enum adm_verdict adm_request(struct adm *adm, uint64_t handle, uint64_t now);

/* Next waiting request, when one may start (it counts as in flight then). */
int adm_start_next(struct adm *adm, uint64_t *handle, uint64_t now);

enum adm_result {
	ADM_ANSWERED, /* answered */
	ADM_OVERLOADED, /* the target refused it as overloaded */
	ADM_NO_ANSWER, /* no answer by its deadline, or the target is gone */
	ADM_CANCELLED, /* never reached the target */
};

/* A request that was started has ended. */
void adm_done(struct adm *adm, uint64_t service_us, enum adm_result result,
	      uint64_t now);

/* The target was restarted, or came back: it counts as cold. */
void adm_mark_cold(struct adm *adm);

/* What the target claims. True holds the cap at the cold limit. */
void adm_set_reported_cold(struct adm *adm, int cold);

/* Median service time of the warm targets of the service, 0: unknown. */
void adm_set_peer_median(struct adm *adm, double median_us);

struct adm_state adm_state(struct adm *adm);

#endif
