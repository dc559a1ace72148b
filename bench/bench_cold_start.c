/*
 * cold_start - ramp-up of the cold targets of a data centre at full load
 *
 * Simulates a data centre that returns to service. Its targets are cold:
 * requests take three times as long, longer still above the cold limit, and a
 * target kept above the limit for a second fails. Requests are always waiting.
 * Compares over 200 seeds each:
 *   admit            admission control of src/core/admit.c; the median of the
 *                    warm peers is known, the targets do not report being cold
 *   fixed 10 s, 30 s the cap rises with time alone
 *   none             all slots are used at once
 * Prints how many targets failed ("fell over"), the mean time until the cap
 * reached all slots, and the answers in the first 30 s, for 5 slots (Peritos)
 * and 8 slots (Kandurata).
 *
 * usage: bench_cold_start [SEED]
 */
#include <stdio.h>
#include <stdlib.h>
#include "bench.h"
#include "jujube/admit.h"

#define SEEDS 200
#define DURATION_US 30000000.0
#define OVERLOAD_LIMIT_US 1000000.0
#define OUTAGE_US 3000000.0
#define MEAN_SERVICE_US 40000.0
#define STEP_US 1000.0
#define IN_FLIGHT_MAX 64

struct target {
	double completions[IN_FLIGHT_MAX];
	double starts[IN_FLIGHT_MAX];
	int in_flight;
	int cold_limit;
	int cold_left;
	double overloaded_since; /* < 0: not above the cold limit */
	double down_until;
	int failed;
	int answers;
	uint64_t rng;
};

static void start_request(struct target *t, double now)
{
	double us = MEAN_SERVICE_US * bench_lognormal(&t->rng, 0.6);
	int n = t->in_flight + 1;

	if (t->cold_left > 0) {
		us *= 3;
		if (n > t->cold_limit)
			us *= (double)(n * n) / (t->cold_limit * t->cold_limit);
	}
	if (now < t->down_until)
		us += t->down_until - now;
	t->starts[t->in_flight] = now;
	t->completions[t->in_flight++] = now + us;
}

static void check_overload(struct target *t, double now)
{
	if (t->cold_left <= 0 || t->in_flight <= t->cold_limit) {
		t->overloaded_since = -1;
		return;
	}
	if (t->overloaded_since < 0)
		t->overloaded_since = now;
	if (now - t->overloaded_since < OVERLOAD_LIMIT_US)
		return;
	t->failed = 1;
	t->overloaded_since = -1;
	t->down_until = now + OUTAGE_US;
}

/* Cap of a linear ramp that starts at the configured cold limit of 1. */
static int ramp_cap(double now, double ramp_us, int slots)
{
	int cap = ramp_us > 0 ? 1 + (int)((slots - 1) * now / ramp_us) : slots;

	return cap < slots ? cap : slots;
}

struct outcome {
	int failed_count;
	double full_s; /* sum over the seeds whose cap reached all slots */
	int reached_full;
	double answers;
};

static void run(struct outcome *out, uint64_t seed, int slots, int cold_answers,
		double ramp_us, int use_admission)
{
	struct target t = { .cold_limit = slots / 2,
			    .cold_left = cold_answers,
			    .overloaded_since = -1,
			    .rng = seed };
	struct adm_limits limits = { (uint32_t)slots, 1, 0 };
	struct adm adm;
	double full_at = -1;
	double now;

	adm_init(&adm, &limits);
	/* The median of service times with sigma 0.6 is 0.84 of the mean. */
	adm_set_peer_median(&adm, MEAN_SERVICE_US * 0.84);
	for (now = 0; now < DURATION_US; now += STEP_US) {
		int i = 0;
		int cap;

		while (i < t.in_flight) {
			if (t.completions[i] > now) {
				i++;
				continue;
			}
			adm_done(&adm,
				 (uint64_t)(t.completions[i] - t.starts[i]),
				 ADM_ANSWERED, (uint64_t)now);
			t.in_flight--;
			t.completions[i] = t.completions[t.in_flight];
			t.starts[i] = t.starts[t.in_flight];
			t.answers++;
			if (t.cold_left > 0)
				t.cold_left--;
		}
		if (use_admission) {
			while (adm_request(&adm, 1, (uint64_t)now) == ADM_START)
				start_request(&t, now);
			cap = (int)adm_state(&adm).cap;
		} else {
			cap = ramp_cap(now, ramp_us, slots);
			while (t.in_flight < cap)
				start_request(&t, now);
		}
		check_overload(&t, now);
		if (full_at < 0 && cap >= slots)
			full_at = now;
	}
	adm_finish(&adm);
	out->failed_count += t.failed;
	out->answers += t.answers;
	if (full_at >= 0) {
		out->full_s += full_at / 1e6;
		out->reached_full++;
	}
}

static void compare(uint64_t seed, int slots, int cold_answers)
{
	static const struct {
		const char *name;
		double ramp_us;
		int use_admission;
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
			    cold_answers, rules[r].ramp_us,
			    rules[r].use_admission);
		printf("%d\t%d\t%s\t%d\t%.2f\t%.0f\n", slots, cold_answers,
		       rules[r].name, out.failed_count,
		       out.reached_full ? out.full_s / out.reached_full : -1,
		       out.answers / SEEDS);
	}
}

int main(int argc, char **argv)
{
	static const int cold_counts[] = { 20, 100, 300 };
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 20261204;
	size_t i;

	printf("slots\tcold answers\trule\tfell over\tfull after s\t"
	       "answers in 30 s\n");
	for (i = 0; i < sizeof(cold_counts) / sizeof(cold_counts[0]); i++) {
		compare(seed, 5, cold_counts[i]);
		compare(seed, 8, cold_counts[i]);
	}
	return 0;
}
