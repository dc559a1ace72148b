/*
 * speed - response times of a target, compared with its peers and its past
 *
 * Handles two failures that the number of requests in progress does not show. A
 * target that has become several times slower looks idle at light load, so that
 * it still gets one request in a few, each of which is late. A target that
 * fails every request at once, while it reports that it is healthy, never has
 * requests in progress; it is always the least loaded and draws the load of its
 * peers.
 *
 * Responses cannot be read here, but the time until they begin can be measured.
 * The typical time is the median of the last SPD_SAMPLES responses, so that a
 * single long request does not matter. The baseline is a slowly moving mean.
 * Only a sudden change counts as too fast: not a target that has always been
 * faster than its peers, for example because of a cache, nor one whose peers
 * have become as fast.
 *
 * Plain values without locks: the owner has to lock. Times are microseconds of
 * a monotonic clock.
 */
#ifndef JUJUBE_SPEED_H
#define JUJUBE_SPEED_H

#include <stdint.h>

#define SPD_SAMPLES 5 /* the typical time is the median of so many responses */
#define SPD_SAMPLES_MIN 3 /* fewest samples that a median is taken of */
/*
 * Responses that the baseline averages over; it adapts to changes within a
 * minute.
 */
#define SPD_BASELINE_SAMPLES 64
/* Requests of one kind differ in work by a factor of two. */
#define SPD_SLOW_FACTOR 2
/* One response in 200 takes a quarter of the baseline by chance. */
#define SPD_FAST_FACTOR 4
/*
 * Without new responses, the typical time of a slow target halves in this time.
 */
#define SPD_HALF_LIFE_US 1000000
/*
 * A target is held back as too fast for this long; after that the new response
 * time becomes its baseline.
 */
#define SPD_FAST_HOLD_US 30000000

struct spd {
	uint32_t samples[SPD_SAMPLES];
	uint32_t sample_count; /* samples ever added */
	uint32_t baseline_us;
	uint64_t last_sample_at; /* time of the last answer */
	uint64_t fast_since; /* 0: not too fast */
};

/*
 * Adds the time from a request to the first packet of its response.
 * peer_median_us: median of the peers' typical times, 0: not known.
 */
void spd_add_sample(struct spd *spd, uint32_t us, uint32_t peer_median_us,
		    uint64_t now);

/* Typical response time, 0: not known. */
uint32_t spd_typical_us(const struct spd *spd, uint64_t now);

/* Whether the target has suddenly become so fast that it may be failing. */
int spd_too_fast(const struct spd *spd, uint64_t now);

/*
 * Factor in percent for the target's requests in progress when loads are
 * compared: 100, or more if it is at least SPD_SLOW_FACTOR times slower than
 * its peers. Either time may be 0, not known.
 */
uint32_t spd_weight(uint32_t typical_us, uint32_t peer_median_us);

/* Median of the given times; sorts values. 0: fewer than SPD_SAMPLES_MIN. */
uint32_t spd_median(uint32_t *values, uint32_t count);

#endif
