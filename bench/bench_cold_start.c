/*
 * return - a data centre comes back at full load
 *
 * Its targets are cold: they take three times as long, longer yet above their
 * cold limit, and fall over when they are kept above it for a second. Demand
 * always waits. Compared over 200 seeds each:
 *   admit            admission as in src/core/admit.c, warm peers known,
 *                    targets that do not say that they are cold
 *   fixed 10 s, 30 s the cap rises with time alone
 *   none             all slots at once
 * Prints how many fell over, the time until the cap was at all slots, and
 * the answers given in the first 30 s. Peritos' 5 slots and Kandurata's 8.
 *
 * usage: bench_cold_start [SEED]
 */
#include <stdio.h>
#include <stdlib.h>
#include "bench.h"
#include "jujube/admit.h"

#define SEEDS 200
#define SPAN_US 30000000.0
#define FALL_AFTER_US 1000000.0
#define FALL_US 3000000.0
#define MEAN_US 40000.0
#define STEP_US 1000.0
#define FLIGHT_MAX 64

struct target {
	double ends[FLIGHT_MAX];
	double starts[FLIGHT_MAX];
	int in_flight;
	int cold_limit;
	int cold_left;
	double over_since; /* < 0: not above the limit */
	double fallen_until;
	int fell;
	int answers;
	uint64_t rng;
};

static void start(struct target *t, double now)
{
	double us = MEAN_US * bench_lognormal(&t->rng, 0.6);
	int n = t->in_flight + 1;

	if (t->cold_left > 0) {
		us *= 3;
		if (n > t->cold_limit)
			us *= (double)(n * n) / (t->cold_limit * t->cold_limit);
	}
	if (now < t->fallen_until)
		us += t->fallen_until - now;
	t->starts[t->in_flight] = now;
	t->ends[t->in_flight++] = now + us;
}

static void watch_overload(struct target *t, double now)
{
	if (t->cold_left <= 0 || t->in_flight <= t->cold_limit) {
		t->over_since = -1;
		return;
	}
	if (t->over_since < 0)
		t->over_since = now;
	if (now - t->over_since < FALL_AFTER_US)
		return;
	t->fell = 1;
	t->over_since = -1;
	t->fallen_until = now + FALL_US;
}

/* Cap of a fixed ramp, from the cold limit of the row on. */
static int ramp_cap(double now, double ramp_us, int slots)
{
	int cap = ramp_us > 0 ? 1 + (int)((slots - 1) * now / ramp_us) : slots;

	return cap < slots ? cap : slots;
}

struct outcome {
	int fallen;
	double full_s; /* sum over the seeds that got there */
	int got_full;
	double answers;
};

static void run(struct outcome *out, uint64_t seed, int slots, int cold_answers,
		double ramp_us, int by_admit)
{
	struct target t = { .cold_limit = slots / 2,
			    .cold_left = cold_answers,
			    .over_since = -1,
			    .rng = seed };
	struct adm_limits limits = { (uint32_t)slots, 1, 0 };
	struct adm adm;
	double full = -1;
	double now;

	adm_init(&adm, &limits);
	adm_set_peers(&adm, MEAN_US * 0.84);
	for (now = 0; now < SPAN_US; now += STEP_US) {
		int i = 0;
		int cap;

		while (i < t.in_flight) {
			if (t.ends[i] > now) {
				i++;
				continue;
			}
			adm_done(&adm, (uint64_t)(t.ends[i] - t.starts[i]),
				 ADM_GOOD, (uint64_t)now);
			t.in_flight--;
			t.ends[i] = t.ends[t.in_flight];
			t.starts[i] = t.starts[t.in_flight];
			t.answers++;
			if (t.cold_left > 0)
				t.cold_left--;
		}
		if (by_admit) {
			while (adm_request(&adm, 1, (uint64_t)now) == ADM_START)
				start(&t, now);
			cap = (int)adm_state(&adm).cap;
		} else {
			cap = ramp_cap(now, ramp_us, slots);
			while (t.in_flight < cap)
				start(&t, now);
		}
		watch_overload(&t, now);
		if (full < 0 && cap >= slots)
			full = now;
	}
	adm_finish(&adm);
	out->fallen += t.fell;
	out->answers += t.answers;
	if (full >= 0) {
		out->full_s += full / 1e6;
		out->got_full++;
	}
}

static void compare(uint64_t seed, int slots, int cold_answers)
{
	static const struct {
		const char *name;
		double ramp_us;
		int by_admit;
	} rules[] = { { "admit", 0, 1 },
		      { "fixed 10 s", 10e6, 0 },
		      { "fixed 30 s", 30e6, 0 },
		      { "none", 0, 0 } };
	size_t r;

	for (r = 0; r < sizeof(rules) / sizeof(rules[0]); r++) {
		struct outcome out = { 0 };
		int i;

		for (i = 0; i < SEEDS; i++)
			run(&out, seed + (uint64_t)i * 7919, slots,
			    cold_answers, rules[r].ramp_us, rules[r].by_admit);
		printf("%d\t%d\t%s\t%d\t%.2f\t%.0f\n", slots, cold_answers,
		       rules[r].name, out.fallen,
		       out.got_full ? out.full_s / out.got_full : -1,
		       out.answers / SEEDS);
	}
}

int main(int argc, char **argv)
{
	static const int colds[] = { 20, 100, 300 };
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 20261204;
	size_t i;

	printf("slots\tcold answers\trule\tfell over\tfull after s\t"
	       "answers in 30 s\n");
	for (i = 0; i < sizeof(colds) / sizeof(colds[0]); i++) {
		compare(seed, 5, colds[i]);
		compare(seed, 8, colds[i]);
	}
	return 0;
}
