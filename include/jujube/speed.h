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
 * The typical time is the median of the last SPD_RING answers, so that one
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

#define SPD_RING 5 /* answers whose median is the typical time */
#define SPD_KNOWN 3 /* answers that a judgement needs */
/* Answers that make up the usual time; a minute's change is followed. */
#define SPD_USUAL 64
/* Work differs by a factor of two between requests of one kind. */
#define SPD_SLOW 2
/* An answer takes a quarter of the usual time by chance in one of 200. */
#define SPD_FAST 4
/* Without answers the memory of a slow target halves in this time. */
#define SPD_HALVES_US 1000000
/* So long a target is held back as too fast; then it has become faster. */
#define SPD_HELD_US 30000000

struct spd {
	uint32_t ring[SPD_RING];
	uint32_t count; /* answers in all */
	uint32_t usual_us;
	uint64_t last; /* time of the last answer */
	uint64_t fast_since; /* 0: not too fast */
};

/* An answer began so long after its request; peers_us as in spd_too_fast(). */
void spd_note(struct spd *spd, uint32_t us, uint32_t peers_us, uint64_t now);

/* Typical time, 0: not known. */
uint32_t spd_typical_us(const struct spd *spd, uint64_t now);

/* Suddenly so fast that it may be failing; peers_us: their median, 0: none. */
int spd_too_fast(const struct spd *spd, uint64_t now);

/*
 * By what its work in hand counts, in percent: 100 unless it is SPD_SLOW times
 * slower than its peers. Either time may be 0, not known.
 */
uint32_t spd_weight(uint32_t typical_us, uint32_t peers_us);

/* Median of known times; sorts values; 0: fewer than SPD_KNOWN. */
uint32_t spd_median(uint32_t *values, uint32_t count);

#endif
