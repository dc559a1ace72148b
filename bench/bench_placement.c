/*
 * placement - how unevenly requests fall on the targets of one service
 *
 * Requests of new flows arrive as a Poisson stream at 75% load; service times
 * are log-normal. Each rule places the same stream:
 *   random            any target
 *   rendezvous        the first rank
 *   maglev            a lookup table filled in turns (65537 entries)
 *   balancers         each of B balancers picks the less loaded of two ranks
 *                     by the loads that it saw in replies
 *   walk, N asks      the first rank; when it is above the mean by reports of
 *                     up to AGT_LOAD_INTERVAL_US ago, the packet visits N others, as in
 *                     src/core/agent_place.c
 *   perfect           the least loaded at the time (the limit)
 * Prints for each rule the busiest target over the mean: at each instant (in
 * requests in flight) and over the whole time, the share of requests that
 * find every slot taken, and the share held off their first rank.
 *
 * usage: bench_placement [SEED [TARGETS [SLOTS [SERVICE_MS]]]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "bench.h"
#include "jujube/agent.h"
#include "jujube/rank.h"

#define TARGETS_MAX 64
#define BALANCERS_MAX 64
#define REQUESTS 200000
#define LOAD 0.75
#define SIGMA 1.0
#define MAGLEV_SIZE 65537

enum rule {
	RANDOM,
	RENDEZVOUS,
	MAGLEV,
	BALANCERS,
	WALK_1,
	WALK_2,
	WALK_3,
	PERFECT,
	RULES
};

struct run {
	enum rule rule;
	int targets;
	int slots;
	int balancers;
	double service_us;
	uint64_t seed;
	struct rnk_node nodes[TARGETS_MAX];
	int maglev[MAGLEV_SIZE];
	double ends[TARGETS_MAX][256]; /* of requests in flight */
	int in_flight[TARGETS_MAX];
	uint64_t total[TARGETS_MAX];
	int known[TARGETS_MAX]
		 [TARGETS_MAX]; /* loads as each agent knows them */
	double report_at[TARGETS_MAX];
	int seen[BALANCERS_MAX][TARGETS_MAX];
	uint64_t full;
	uint64_t passes;
	uint64_t off_rank;
	double busy_sum;
	double mean_sum;
};

/* -- rules --------------------------------------------------------------- */

static void fill_maglev(struct run *r)
{
	uint64_t next[TARGETS_MAX] = { 0 };
	int filled = 0;
	int i;

	for (i = 0; i < MAGLEV_SIZE; i++)
		r->maglev[i] = -1;
	while (filled < MAGLEV_SIZE) {
		for (i = 0; i < r->targets && filled < MAGLEV_SIZE; i++) {
			uint64_t offset = r->nodes[i].id % MAGLEV_SIZE;
			uint64_t skip = r->nodes[i].id / MAGLEV_SIZE %
						(MAGLEV_SIZE - 1) +
					1;
			uint64_t at;

			do {
				at = (offset + next[i]++ * skip) % MAGLEV_SIZE;
			} while (r->maglev[at] >= 0);
			r->maglev[at] = i;
			filled++;
		}
	}
}

static int least(const struct run *r, const int *loads)
{
	int best = 0;
	int i;

	for (i = 1; i < r->targets; i++)
		if (loads[i] < loads[best])
			best = i;
	return best;
}

/* The walk of src/core/agent_place.c, with every target's cap alike. */
static int least_reported(struct run *r, int at)
{
	double sum = r->in_flight[at];
	int best = -1;
	int i;

	for (i = 0; i < r->targets; i++) {
		if (i == at)
			continue;
		sum += r->known[at][i];
		if (best < 0 || r->known[at][i] < r->known[at][best])
			best = i;
	}
	if (r->in_flight[at] <= sum / r->targets && r->in_flight[at] < r->slots)
		return -1;
	r->known[at][best]++;
	return best;
}

static int walk(struct run *r, int first, int asks)
{
	int best = first;
	int at = least_reported(r, first);

	while (at >= 0 && asks--) {
		int next;

		r->passes++;
		if (r->in_flight[at] < r->in_flight[best])
			best = at;
		if (!r->in_flight[at] || !asks)
			break;
		do {
			next = (int)(bench_random(&r->seed) %
				     (uint64_t)r->targets);
		} while (next == first || next == best || next == at);
		at = next;
	}
	return best;
}

static int place(struct run *r, uint64_t key)
{
	int first = rnk_first(r->nodes, r->targets, key);
	int order[2];
	int *seen;

	switch (r->rule) {
	case RANDOM:
		return (int)(bench_random(&r->seed) % (uint64_t)r->targets);
	case MAGLEV:
		return r->maglev[key % MAGLEV_SIZE];
	case BALANCERS:
		seen = r->seen[bench_random(&r->seed) % (uint64_t)r->balancers];
		rnk_order(r->nodes, r->targets, key, order, 2);
		return seen[order[1]] < seen[order[0]] ? order[1] : order[0];
	case WALK_1:
		return walk(r, first, 1);
	case WALK_2:
		return walk(r, first, 2);
	case WALK_3:
		return walk(r, first, 3);
	case PERFECT:
		return least(r, r->in_flight);
	default:
		return first;
	}
}

/* -- time ---------------------------------------------------------------- */

/* Ends what is due by now; a balancer sees the load with each answer. */
static void end_due(struct run *r, double now)
{
	int t;

	for (t = 0; t < r->targets; t++) {
		int i = 0;

		while (i < r->in_flight[t]) {
			if (r->ends[t][i] > now) {
				i++;
				continue;
			}
			r->ends[t][i] = r->ends[t][--r->in_flight[t]];
			r->seen[bench_random(&r->seed) % (uint64_t)r->balancers]
			       [t] = r->in_flight[t];
		}
		if (now - r->report_at[t] >= AGT_LOAD_INTERVAL_US) {
			int to;

			r->report_at[t] = now;
			for (to = 0; to < r->targets; to++)
				r->known[to][t] = r->in_flight[t];
		}
	}
}

static void sample(struct run *r)
{
	int busiest = 0;
	double sum = 0;
	int t;

	for (t = 0; t < r->targets; t++) {
		sum += r->in_flight[t];
		if (r->in_flight[t] > busiest)
			busiest = r->in_flight[t];
	}
	r->busy_sum += busiest;
	r->mean_sum += sum / r->targets;
}

static void run(struct run *r)
{
	double gap = r->service_us / (LOAD * r->targets * r->slots);
	double now = 0;
	int i;

	for (i = 0; i < REQUESTS; i++) {
		uint64_t key = bench_random(&r->seed);
		double took = r->service_us * bench_lognormal(&r->seed, SIGMA);
		int t;

		now += -log(bench_uniform(&r->seed)) * gap;
		end_due(r, now);
		t = place(r, key);
		r->full += r->in_flight[t] >= r->slots;
		r->off_rank += t != rnk_first(r->nodes, r->targets, key);
		r->total[t]++;
		if (r->in_flight[t] < 256)
			r->ends[t][r->in_flight[t]++] = now + took;
		sample(r);
	}
}

static void report(const struct run *r, const char *name)
{
	uint64_t most = 0;
	uint64_t all = 0;
	int t;

	for (t = 0; t < r->targets; t++) {
		all += r->total[t];
		if (r->total[t] > most)
			most = r->total[t];
	}
	printf("%s\t%d\t%.2f\t%.3f\t%.1f%%\t%.0f%%\t%.2f\n", name, r->balancers,
	       r->busy_sum / r->mean_sum,
	       (double)most * r->targets / (double)all,
	       100.0 * (double)r->full / REQUESTS,
	       100.0 * (double)r->off_rank / REQUESTS,
	       (double)r->passes / REQUESTS);
}

int main(int argc, char **argv)
{
	static const char *const names[] = { "random",	     "rendezvous",
					     "maglev",	     "balancers",
					     "walk, 1 ask",  "walk, 2 asks",
					     "walk, 3 asks", "perfect" };
	static const int counts[] = { 3, 16, 64 };
	static struct run r;
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 20261204;
	int targets = argc > 2 ? atoi(argv[2]) : 7;
	int slots = argc > 3 ? atoi(argv[3]) : 5;
	double service_ms = argc > 4 ? atof(argv[4]) : 400;
	int rule;
	int c;
	int t;

	if (targets < 4 || targets > TARGETS_MAX)
		return 2;
	printf("rule\tbalancers\tinstant\tover time\tfind it full\toff rank\tpasses\n");
	for (c = 0; c < 3; c++) {
		for (rule = 0; rule < RULES; rule++) {
			memset(&r, 0, sizeof(r));
			r.rule = (enum rule)rule;
			r.targets = targets;
			r.slots = slots;
			r.balancers = counts[c];
			r.service_us = service_ms * 1000;
			r.seed = seed;
			for (t = 0; t < targets; t++) {
				char name[32];

				snprintf(name, sizeof(name), "target-%d", t);
				r.nodes[t].id = rnk_name_id(name);
				r.nodes[t].weight = 100;
			}
			fill_maglev(&r);
			run(&r);
			report(&r, names[rule]);
		}
	}
	return 0;
}
