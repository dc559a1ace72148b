/*
 * speed - how fast a target answers, compared with its peers and with itself
 *
 * Answers two loads that work in hand alone does not show. A target that has
 * become several times slower looks idle at light load, so that one request in
 * a few goes there and is late. One that fails at once, while it says that it
 * is well, never has work in hand, so that the least loaded target is always
 * this one and it draws the load of its peers.
 *
 * Nobody may read an answer here, but the time until it begins can be seen.
 * The typical time is the median of the last SPD_SAMPLES answers, so that one
 * long request does not count; the usual time moves slowly. Only a sudden
 * change counts as too fast: a target that has always been faster than its
 * peers, as with a cache, is none, and neither is one whose peers have become
 * as fast.
 *
 * Plain values, no locks: the owner has one. Times are microseconds of a
 * monotonic clock.
 */
#ifndef JUJUBE_SPEED_H
#define JUJUBE_SPEED_H

#include <stdint.h>

#define SPD_SAMPLES 5 /* answers whose median is the typical time */
#define SPD_SAMPLES_MIN 3 /* answers that a judgement needs */
/* Answers that make up the usual time; a minute's change is followed. */
#define SPD_BASELINE_SAMPLES 64
/* Work differs by a factor of two between requests of one kind. */
#define SPD_SLOW_FACTOR 2
/* An answer takes a quarter of the usual time by chance in one of 200. */
#define SPD_FAST_FACTOR 4
/* Without answers the memory of a slow target halves in this time. */
#define SPD_HALF_LIFE_US 1000000
/* So long a target is held back as too fast; then it has become faster. */
#define SPD_FAST_HOLD_US 30000000

struct spd {
	uint32_t samples[SPD_SAMPLES];
	uint32_t sample_count; /* answers in all */
	uint32_t baseline_us;
	uint64_t last_sample_at; /* time of the last answer */
	uint64_t fast_since; /* 0: not too fast */
};

/* An answer began so long after its request; peer_median_us as in spd_too_fast(). */
void spd_add_sample(struct spd *spd, uint32_t us, uint32_t peer_median_us,
		    uint64_t now);

/* Typical time, 0: not known. */
uint32_t spd_typical_us(const struct spd *spd, uint64_t now);

/* Suddenly so fast that it may be failing; peer_median_us: their median, 0: none. */
int spd_too_fast(const struct spd *spd, uint64_t now);

/*
 * By what its work in hand counts, in percent: 100 unless it is SPD_SLOW_FACTOR times
 * slower than its peers. Either time may be 0, not known.
 */
uint32_t spd_weight(uint32_t typical_us, uint32_t peer_median_us);

/* Median of known times; sorts values; 0: fewer than SPD_SAMPLES_MIN. */
uint32_t spd_median(uint32_t *values, uint32_t count);

#endif
