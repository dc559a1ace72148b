/* Shared by the benchmarks: a monotonic clock and seeded random numbers. */
#ifndef BENCH_H
#define BENCH_H

#include <math.h>
#include <stdint.h>
#include <time.h>

static inline uint64_t bench_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

/* xorshift64*; state must not be 0. */
static inline uint64_t bench_random(uint64_t *state)
{
	*state ^= *state >> 12;
	*state ^= *state << 25;
	*state ^= *state >> 27;
	return *state * 0x2545f4914f6cdd1dull;
}

/* Uniformly distributed in (0, 1). */
static inline double bench_uniform(uint64_t *state)
{
	return ((double)(bench_random(state) >> 11) + 0.5) * 0x1p-53;
}

/* Log-normally distributed with mean 1. */
static inline double bench_lognormal(uint64_t *state, double sigma)
{
	double u = bench_uniform(state);
	double v = bench_uniform(state);
	double z = sqrt(-2 * log(u)) * cos(6.283185307179586 * v);

	return exp(sigma * z - sigma * sigma / 2);
}

#endif
